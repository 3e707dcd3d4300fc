//! The rollout of a pool, simulated for many seeds with hosts that die, join and lag behind.

use std::collections::BTreeMap;

use crocustiller::{
    charter::PoolSpec,
    digest::Digest,
    membership::{HostRole, HostState, MemberRecord, WeightsStatus},
    rollout::{
        may_acknowledge, next_step, pool_hosts, slot_intent, PoolDocument, PoolView, RolloutStep,
        WeightsTarget,
    },
};
use fastrand::Rng;

const POOL: &str = "chat";
const N_SEEDS: u64 = 1_000;
const N_ROUNDS: usize = 400;
/// The number of rounds after which a rollout without faults counts as stuck.
const MAX_ROUNDS: usize = 20_000;

#[test]
fn requests_admitted_under_right_switch() {
    for seed in 0..N_SEEDS {
        let mut model = Model::new(seed, 1 + (seed as usize % 9), 3);
        for _ in 0..N_ROUNDS {
            model.step();
            model.check_switch_versions();
        }
    }
}

#[test]
fn rollout_ends_after_faults() {
    for seed in 0..N_SEEDS {
        let mut model = Model::new(seed, 1 + (seed as usize % 9), 3);
        for _ in 0..N_ROUNDS / 2 {
            model.step();
        }
        model.has_faults = false;
        model.restart_all_hosts();
        assert!(model.reaches_intended_version(), "first rollout, seed {seed}");
        model.set_intended_version("last");
        assert!(model.reaches_intended_version(), "second rollout, seed {seed}");
    }
}

#[test]
fn switch_keeps_half_serving() {
    for n_hosts in [1, 2, 3, 15, 60] {
        let mut model = Model::new(7, n_hosts, 2);
        model.has_faults = false;
        while !(model.is_steady() && model.n_serving() == n_hosts) {
            model.step();
        }
        model.set_intended_version("v2");
        while !(model.is_steady() && model.n_serving() == n_hosts) {
            model.step();
            assert!(model.n_serving() >= n_hosts / 2, "{n_hosts} hosts");
        }
    }
}

#[test]
fn unverified_host_blocks_switch() {
    let mut model = Model::new(3, 4, 2);
    model.has_faults = false;
    model.run_until_steady();
    model.set_intended_version("v2");
    let blocked_host = model.slots.keys().next().unwrap().clone();
    for _ in 0..N_ROUNDS {
        model.step_without(&blocked_host);
    }
    assert_eq!(model.document.as_ref().unwrap().step, RolloutStep::Stage);
    assert_eq!(model.document.as_ref().unwrap().serving.as_ref().unwrap().version, "v1");
}

#[test]
fn partial_view_undoes_nothing() {
    let mut model = Model::new(5, 6, 2);
    model.has_faults = false;
    while !matches!(model.document, Some(PoolDocument { step: RolloutStep::FirstWave { .. }, .. }))
    {
        model.step();
    }
    let known_members = &model.members()[6..];
    let view = PoolView {
        pool: POOL,
        spec: &model.spec,
        intended: &model.intended,
        members: known_members,
    };
    assert_eq!(next_step(view, model.document.as_ref()), None);
}

/// A slot and its engine.
#[derive(Clone)]
struct Slot {
    record: MemberRecord,
    engine: Option<Digest>,
    /// The document that the slot received last; may be older than the platform's.
    known_document: Option<PoolDocument>,
}

impl Slot {
    /// Returns the switch number and weights under which the slot admits requests, by the document
    /// that it received last; `None` if it admits none.
    fn admitted_switch(&self) -> Option<(u64, Digest)> {
        self.admitted_under(self.known_document.as_ref()?)
    }

    fn admitted_under(&self, document: &PoolDocument) -> Option<(u64, Digest)> {
        let intent = slot_intent(document, &self.record.host);
        let intended = intent.load?.manifest_digest;
        let is_admitting = intent.is_serving && self.engine == Some(intended);
        is_admitting.then_some((document.switch_number, intended))
    }
}

struct Model {
    rng: Rng,
    spec: PoolSpec,
    intended: WeightsTarget,
    document: Option<PoolDocument>,
    slots: BTreeMap<String, Slot>,
    entry_hosts: BTreeMap<String, MemberRecord>,
    switches: BTreeMap<u64, Digest>,
    n_versions: u32,
    has_faults: bool,
}

impl Model {
    fn new(seed: u64, n_slots: usize, n_entry_hosts: usize) -> Model {
        let mut rng = Rng::with_seed(seed);
        let slots = (0..n_slots).map(|it| {
            let host = format!("slot-{it:02}");
            let record = record(&host, HostRole::Engine(POOL.to_owned()));
            (host, Slot { record, engine: None, known_document: None })
        });
        let entry_hosts = (0..n_entry_hosts).map(|it| {
            let host = format!("entry-{it}");
            (host.clone(), record(&host, HostRole::Entry))
        });
        Model {
            spec: PoolSpec { min_serving_percent: rng.u32(0..=100), ..spec("v1") },
            rng,
            intended: target("v1"),
            document: None,
            slots: slots.collect(),
            entry_hosts: entry_hosts.collect(),
            switches: BTreeMap::new(),
            n_versions: 1,
            has_faults: true,
        }
    }

    fn set_intended_version(&mut self, version: &str) {
        self.intended = target(version);
        self.spec.version = version.to_owned();
    }

    /// Runs until every live engine has the intended version; returns `false` if that takes more
    /// than `MAX_ROUNDS`.
    fn reaches_intended_version(&mut self) -> bool {
        (0..MAX_ROUNDS).any(|_| {
            self.step();
            let intended = Some(self.intended.manifest_digest);
            self.is_steady() && self.live_slots().all(|it| it.engine == intended)
        })
    }

    fn run_until_steady(&mut self) {
        while !self.is_steady() {
            self.step();
        }
    }

    fn is_steady(&self) -> bool {
        let is_done = |it: &PoolDocument| {
            it.step == RolloutStep::Steady && it.serving.as_ref() == Some(&self.intended)
        };
        self.document.as_ref().is_some_and(is_done)
    }

    fn live_slots(&self) -> impl Iterator<Item = &Slot> {
        self.slots.values().filter(|it| it.record.state == HostState::Live)
    }

    /// Returns the number of slots that would serve requests under the platform's document.
    ///
    /// A prepared slot applies the switch at the first request that carries its number.
    fn n_serving(&self) -> usize {
        let Some(document) = &self.document else { return 0 };
        self.live_slots().filter(|it| it.admitted_under(document).is_some()).count()
    }

    fn step(&mut self) {
        self.step_without("");
    }

    fn step_without(&mut self, blocked_host: &str) {
        match self.rng.u32(0..12) {
            0 if self.has_faults => self.kill_random_host(),
            1 if self.has_faults => self.restart_one_host(),
            2 if self.has_faults && self.rng.u32(0..10) == 0 => self.set_new_intended_version(),
            0..=4 => self.decide_next_step(),
            5 => self.acknowledge_on_entry_host(),
            _ => self.advance_random_slot(blocked_host),
        }
    }

    fn decide_next_step(&mut self) {
        let members = self.members();
        let view =
            PoolView { pool: POOL, spec: &self.spec, intended: &self.intended, members: &members };
        let Some(next) = next_step(view, self.document.as_ref()) else { return };
        let number = self.document.as_ref().map_or(0, |it| it.number);
        assert_eq!(next.number, number + 1);
        self.check_change(&next, &members);
        self.document = Some(next);
    }

    /// Checks that the serving version changes only by a switch that every live host acknowledged.
    fn check_change(&mut self, next: &PoolDocument, members: &[MemberRecord]) {
        let Some(old) = &self.document else { return };
        if next.serving == old.serving {
            assert_eq!(next.switch_number, old.switch_number);
            return;
        }
        assert_eq!(next.switch_number, old.switch_number + 1);
        assert!(matches!(old.step, RolloutStep::Prepare { .. }));
        for host in pool_hosts(POOL, &self.spec, members) {
            assert!(host.weights.has_acknowledged(POOL, next.switch_number));
        }
        self.switches.insert(next.switch_number, next.serving.as_ref().unwrap().manifest_digest);
    }

    fn advance_random_slot(&mut self, blocked_host: &str) {
        let Some(document) = self.document.clone() else { return };
        let hosts: Vec<String> = self.slots.keys().cloned().collect();
        let host = self.rng.choice(hosts).unwrap();
        let action = self.rng.u32(0..4);
        let slot = self.slots.get_mut(&host).unwrap();
        if slot.record.state != HostState::Live || host == blocked_host {
            return;
        }
        if action == 0 || slot.known_document.is_none() {
            slot.known_document = Some(document);
        }
        let known_document = slot.known_document.clone().unwrap();
        let intent = slot_intent(&known_document, &host);
        match action {
            1 => slot.record.weights.verified = digests(&intent.keep),
            2 => load_engine(slot, intent.load.as_ref()),
            _ => {}
        }
        slot.record.weights.loaded = slot.engine;
        if let Some(number) = intent.prepare.filter(|_| may_acknowledge(&intent, slot.engine)) {
            slot.record.weights.acknowledge(POOL, number);
        }
    }

    fn acknowledge_on_entry_host(&mut self) {
        let Some(document) = &self.document else { return };
        if !matches!(document.step, RolloutStep::Prepare { .. }) {
            return;
        }
        let hosts: Vec<String> = self.entry_hosts.keys().cloned().collect();
        let host = self.rng.choice(hosts).unwrap();
        let entry = self.entry_hosts.get_mut(&host).unwrap();
        entry.weights.acknowledge(POOL, document.switch_number + 1);
    }

    fn kill_random_host(&mut self) {
        let hosts: Vec<String> = self.slots.keys().cloned().collect();
        let host = self.rng.choice(hosts).unwrap();
        self.slots.get_mut(&host).unwrap().record.state = HostState::Gone;
    }

    fn restart_one_host(&mut self) {
        let has_left = |it: &&Slot| it.record.state == HostState::Gone;
        let Some(host) = self.slots.values().find(has_left).map(|it| it.record.host.clone()) else {
            return;
        };
        let record = record(&host, HostRole::Engine(POOL.to_owned()));
        self.slots.insert(host, Slot { record, engine: None, known_document: None });
    }

    fn restart_all_hosts(&mut self) {
        while self.slots.values().any(|it| it.record.state == HostState::Gone) {
            self.restart_one_host();
        }
    }

    fn set_new_intended_version(&mut self) {
        self.n_versions += 1;
        let version = format!("v{}", self.n_versions);
        self.set_intended_version(&version);
    }

    fn check_switch_versions(&self) {
        for slot in self.slots.values() {
            let Some((number, digest)) = slot.admitted_switch() else { continue };
            assert_eq!(
                self.switches.get(&number),
                Some(&digest),
                "requests admitted for a version under the wrong switch number"
            );
        }
    }

    fn members(&self) -> Vec<MemberRecord> {
        let slots = self.slots.values().map(|it| it.record.clone());
        slots.chain(self.entry_hosts.values().cloned()).collect()
    }
}

fn load_engine(slot: &mut Slot, intended: Option<&WeightsTarget>) {
    let Some(intended) = intended else { return };
    if slot.record.weights.verified.contains(&intended.manifest_digest) {
        slot.engine = Some(intended.manifest_digest);
    }
}

fn digests(targets: &[WeightsTarget]) -> Vec<Digest> {
    targets.iter().map(|it| it.manifest_digest).collect()
}

fn target(version: &str) -> WeightsTarget {
    let manifest_digest = Digest::of(version.as_bytes());
    WeightsTarget { version: version.to_owned(), manifest_digest }
}

fn spec(version: &str) -> PoolSpec {
    PoolSpec {
        version: version.to_owned(),
        customers: Vec::new(),
        hosts: Vec::new(),
        min_serving_percent: 50,
    }
}

fn record(host: &str, role: HostRole) -> MemberRecord {
    let address = "127.0.0.1:1".parse().unwrap();
    MemberRecord {
        host: host.to_owned(),
        role,
        region: "kigali".to_owned(),
        zone: "kigali-a".to_owned(),
        peer_address: address,
        request_address: address,
        operator_address: address,
        incarnation: 1,
        sequence: 0,
        state: HostState::Live,
        weights: WeightsStatus::default(),
    }
}
