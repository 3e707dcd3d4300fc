//! Rests neighbours that send wrong bytes.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::ids::HostId;

/// Wrong chunks after which a host is not asked for a while.
const MAX_STRIKES: u32 = 3;
/// Time for which a host is not asked.
const REST: Duration = Duration::from_secs(60);

/// Wrong chunks by the host that sent them.
#[derive(Clone, Debug, Default)]
pub struct Strikes {
    hosts: HashMap<HostId, Strike>,
}

#[derive(Clone, Debug, Default)]
struct Strike {
    n_strikes: u32,
    rests_until: Option<Instant>,
}

impl Strikes {
    /// Counts one wrong chunk; `true` when the host rests from now on.
    pub fn add(&mut self, host: &str, now: Instant) -> bool {
        let strike = self.hosts.entry(host.to_owned()).or_default();
        strike.n_strikes += 1;
        if strike.n_strikes < MAX_STRIKES {
            return false;
        }
        strike.n_strikes = 0;
        strike.rests_until = Some(now + REST);
        true
    }

    /// Whether the host is not to be asked at `now`.
    pub fn is_resting(&self, host: &str, now: Instant) -> bool {
        let until = self.hosts.get(host).and_then(|it| it.rests_until);
        until.is_some_and(|it| it > now)
    }
}
