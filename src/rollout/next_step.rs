//! Decides the next step of a pool's rollout.

use crate::{
    charter::PoolSpec,
    ids::HostId,
    membership::{HostRole, HostState, MemberRecord},
    rollout::pool_document::{PoolDocument, RolloutStep, WeightsTarget},
};

/// The data from which a decider computes the next step of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolView<'a> {
    /// Name of the pool.
    pub pool: &'a str,
    /// Specification of the pool in the charter.
    pub spec: &'a PoolSpec,
    /// Weights of the intended version, which the charter specifies.
    pub intended: &'a WeightsTarget,
    /// All known hosts.
    pub members: &'a [MemberRecord],
}

/// Returns the document that replaces `current`, or `None` if no step can be taken yet.
///
/// The result depends only on the arguments, so that deciders with the same view agree.
pub fn next_step(view: PoolView, current: Option<&PoolDocument>) -> Option<PoolDocument> {
    let Some(current) = current else { return Some(first_document(view)) };
    if current.target.as_ref() != Some(view.intended) {
        return Some(retarget(view, current));
    }
    match &current.step {
        RolloutStep::Steady => None,
        RolloutStep::Stage => begin_first_wave(view, current),
        RolloutStep::FirstWave { hosts } => begin_prepare(view, current, hosts),
        RolloutStep::Prepare { hosts } => switch(view, current, hosts),
    }
}

/// Returns the live hosts of the pool in the order of `members`, which is sorted by host id.
pub fn pool_hosts<'a>(
    pool: &str,
    spec: &PoolSpec,
    members: &'a [MemberRecord],
) -> Vec<&'a MemberRecord> {
    let is_listed = |it: &&MemberRecord| spec.hosts.is_empty() || spec.hosts.contains(&it.host);
    let is_engine = |it: &&MemberRecord| matches!(&it.role, HostRole::Engine(own) if own == pool);
    let is_live = |it: &&MemberRecord| it.state == HostState::Live;
    members.iter().filter(is_engine).filter(is_live).filter(is_listed).collect()
}

/// Returns the number of hosts in the first wave.
///
/// The hosts outside the first wave serve the old version until the switch, the hosts of the first
/// wave serve the target after it. At least one half of the hosts, rounded down, serves at any
/// time.
pub fn first_wave_size(n_hosts: usize) -> usize {
    n_hosts.div_ceil(2)
}

fn first_document(view: PoolView) -> PoolDocument {
    PoolDocument {
        number: 1,
        pool: view.pool.to_owned(),
        serving: None,
        target: Some(view.intended.clone()),
        switch_number: 0,
        step: RolloutStep::Stage,
    }
}

fn retarget(view: PoolView, current: &PoolDocument) -> PoolDocument {
    let is_already_serving = current.serving.as_ref() == Some(view.intended);
    let step = if is_already_serving { RolloutStep::Steady } else { RolloutStep::Stage };
    let target = Some(view.intended.clone());
    PoolDocument { number: current.number + 1, target, step, ..current.clone() }
}

fn begin_first_wave(view: PoolView, current: &PoolDocument) -> Option<PoolDocument> {
    let hosts = pool_hosts(view.pool, view.spec, view.members);
    if hosts.is_empty() || !hosts.iter().all(|it| has_verified(it, view.intended)) {
        return None;
    }
    let n_first_wave = match current.serving {
        None => hosts.len(),
        Some(_) => first_wave_size(hosts.len()),
    };
    let hosts = hosts.iter().take(n_first_wave).map(|it| it.host.clone()).collect();
    Some(with_step(current, RolloutStep::FirstWave { hosts }))
}

fn begin_prepare(view: PoolView, current: &PoolDocument, wave: &[HostId]) -> Option<PoolDocument> {
    let wave = WaveView::of(view, wave);
    if wave.n_remaining() < min_wave_hosts(view, current) {
        return Some(with_step(current, RolloutStep::Stage));
    }
    if !wave.has_all_loaded(view.intended) {
        return None;
    }
    let hosts = wave.live.iter().map(|it| it.host.clone()).collect();
    Some(with_step(current, RolloutStep::Prepare { hosts }))
}

fn switch(view: PoolView, current: &PoolDocument, wave: &[HostId]) -> Option<PoolDocument> {
    let wave = WaveView::of(view, wave);
    if wave.n_remaining() < min_wave_hosts(view, current) {
        return Some(with_step(current, RolloutStep::Stage));
    }
    let next_number = current.switch_number + 1;
    let has_acknowledged = |it: &MemberRecord| it.weights.has_acknowledged(view.pool, next_number);
    let is_live_entry_host =
        |it: &&MemberRecord| it.role == HostRole::Entry && it.state == HostState::Live;
    let have_entry_hosts_acknowledged =
        view.members.iter().filter(is_live_entry_host).all(has_acknowledged);
    let pool_hosts = pool_hosts(view.pool, view.spec, view.members);
    let have_pool_hosts_acknowledged = pool_hosts.into_iter().all(has_acknowledged);
    if !(have_entry_hosts_acknowledged
        && have_pool_hosts_acknowledged
        && wave.has_all_loaded(view.intended))
    {
        return None;
    }
    Some(PoolDocument {
        number: current.number + 1,
        serving: current.target.clone(),
        switch_number: next_number,
        step: RolloutStep::Steady,
        ..current.clone()
    })
}

/// The state of the first wave's hosts in the member table of one decider.
struct WaveView<'a> {
    live: Vec<&'a MemberRecord>,
    /// Hosts that are unknown, joining or suspect; other deciders may see them as live.
    n_uncertain: usize,
}

impl<'a> WaveView<'a> {
    /// Creates the view of `hosts` from the records in `view`.
    ///
    /// A host counts as lost only if its record says that it is `Leaving` or `Gone`. A decider that
    /// has just started has few records and must not undo the step of another decider.
    fn of(view: PoolView<'a>, hosts: &[HostId]) -> WaveView<'a> {
        let mut wave = WaveView { live: Vec::new(), n_uncertain: 0 };
        for host in hosts {
            let record = view.members.iter().find(|it| it.host == *host);
            match record.map(|it| (it.state, it)) {
                Some((HostState::Live, record)) => wave.live.push(record),
                Some((HostState::Leaving | HostState::Gone, _)) => {}
                Some((HostState::Joining | HostState::Suspect, _)) | None => wave.n_uncertain += 1,
            }
        }
        wave
    }

    fn n_remaining(&self) -> usize {
        self.live.len() + self.n_uncertain
    }

    fn has_all_loaded(&self, target: &WeightsTarget) -> bool {
        self.n_uncertain == 0 && self.live.iter().all(|it| has_loaded(it, target))
    }
}

/// Returns the number of first-wave hosts below which the rollout goes back to the stage step.
///
/// These hosts must serve the pool after the switch. While the pool serves no version, one host is
/// enough.
fn min_wave_hosts(view: PoolView, current: &PoolDocument) -> usize {
    if current.serving.is_none() {
        return 1;
    }
    let n_hosts = pool_hosts(view.pool, view.spec, view.members).len();
    min_serving_hosts(view.spec, n_hosts).max(1)
}

/// Returns the number of hosts that must serve at any time during a rollout.
///
/// It is at most one half of the hosts, so that either side of the switch can provide it.
fn min_serving_hosts(spec: &PoolSpec, n_hosts: usize) -> usize {
    let n_required = n_hosts * spec.min_serving_percent as usize / 100;
    n_required.min(n_hosts / 2)
}

fn has_verified(member: &MemberRecord, target: &WeightsTarget) -> bool {
    member.weights.verified.contains(&target.manifest_digest)
}

fn has_loaded(member: &MemberRecord, target: &WeightsTarget) -> bool {
    member.weights.loaded == Some(target.manifest_digest)
}

fn with_step(current: &PoolDocument, step: RolloutStep) -> PoolDocument {
    PoolDocument { number: current.number + 1, step, ..current.clone() }
}
