//! Judges what probes of a host say about it.

use std::time::Duration;

use crate::peer::ProbeResponse;

/// Time for which a suspect host can refute before the first confirmer looks at it.
const CONFIRM_DELAY: Duration = Duration::from_secs(4);
/// Hosts that confirm a suspicion at the same time.
const CONFIRMERS: usize = 3;
/// Further time after which the next confirmers take over.
const TAKEOVER_DELAY: Duration = Duration::from_secs(4);

/// What is known after the probes of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Somebody reached the host.
    Alive,
    /// Nobody reached the host, and those asked are themselves reachable.
    Unreachable,
    /// Nobody could be asked; the own link may be cut.
    Unsure,
}

/// Judges a host that did not answer a direct probe.
///
/// `answers` are those of the third hosts asked, `None` for one that did not answer itself.
pub fn judge(n_third_hosts: usize, answers: &[Option<ProbeResponse>]) -> Finding {
    if answers.contains(&Some(ProbeResponse::Alive)) {
        return Finding::Alive;
    }
    let is_confirmed = answers.contains(&Some(ProbeResponse::Silent));
    if is_confirmed || n_third_hosts == 0 {
        return Finding::Unreachable;
    }
    Finding::Unsure
}

/// Age of a suspicion at which the host that ranks at `rank` checks it again.
pub fn confirm_delay(rank: usize) -> Duration {
    let n_takeovers = (rank / CONFIRMERS) as u32;
    CONFIRM_DELAY + TAKEOVER_DELAY * n_takeovers
}
