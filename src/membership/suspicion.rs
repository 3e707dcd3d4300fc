//! Evaluates probe results and schedules the confirmation of a suspicion.

use std::time::Duration;

use crate::peer::ProbeResponse;

/// The time that a suspect host has to refute the suspicion before the first hosts probe it again.
const CONFIRM_DELAY: Duration = Duration::from_secs(4);
/// The number of hosts that probe a suspect again at the same time.
const CONCURRENT_CONFIRMERS: usize = 3;
/// The additional delay after which the next group of hosts probes the suspect again.
const TAKEOVER_DELAY: Duration = Duration::from_secs(4);

/// The conclusion from the direct and indirect probes of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// At least one probe reached the host.
    Alive,
    /// No probe reached the host, and either a reachable host probed it indirectly or there was no
    /// host to probe through.
    Unreachable,
    /// None of the intermediaries responded; the network link of this host may be down.
    Inconclusive,
}

/// Evaluates the indirect probes of a host that did not respond to a direct probe.
///
/// `responses` has one entry for each intermediary that was requested to probe the host, `None` if
/// the intermediary itself did not respond. `n_intermediaries` is the number of hosts that were
/// available as intermediaries.
pub fn classify_probes(
    n_intermediaries: usize,
    responses: &[Option<ProbeResponse>],
) -> Reachability {
    if responses.contains(&Some(ProbeResponse::Alive)) {
        return Reachability::Alive;
    }
    let is_confirmed = responses.contains(&Some(ProbeResponse::Silent));
    if is_confirmed || n_intermediaries == 0 {
        return Reachability::Unreachable;
    }
    Reachability::Inconclusive
}

/// Returns the age of a suspicion at which the host at position `rank` probes the suspect again.
///
/// `rank` counts from 0. Later hosts act only if the earlier ones have not settled the suspicion.
pub fn confirm_delay(rank: usize) -> Duration {
    let n_takeovers = (rank / CONCURRENT_CONFIRMERS) as u32;
    CONFIRM_DELAY + TAKEOVER_DELAY * n_takeovers
}
