//! The outcome of a patch whose write response was lost: reported as accepted exactly if it took
//! effect.

use std::time::{Duration, Instant};

use crocustiller::{
    charter::{
        charter_patch, CharterWrite, PatchAttempt, PatchOutcome, PatchRequest, PatchStep,
        WriteResult,
    },
    objects::{Object, Precondition},
};
use serde_json::{json, Value};

const N_SEEDS: u64 = 4000;
/// The greatest number of steps before an attempt reaches its deadline.
const MAX_STEPS: usize = 40;

/// A platform model that loses responses, delays writes and returns old values to reads.
struct Platform {
    /// All values that were ever stored, by revision; revision 0 is "no object".
    history: Vec<Option<Vec<u8>>>,
    delayed: Vec<CharterWrite>,
    fault_percent: u8,
}

impl Platform {
    fn new(fault_percent: u8) -> Platform {
        Platform { history: vec![None], delayed: Vec::new(), fault_percent }
    }

    fn revision(&self) -> u64 {
        self.history.len() as u64 - 1
    }

    fn read(&self, random: &mut fastrand::Rng) -> Option<Object> {
        let is_lagging = self.is_fault(random);
        let revision = if is_lagging { random.u64(0..=self.revision()) } else { self.revision() };
        let value = self.history[revision as usize].clone()?;
        Some(Object { revision, value })
    }

    fn write(&mut self, write: CharterWrite, random: &mut fastrand::Rng) -> WriteResult {
        if !self.is_fault(random) {
            return match self.apply(write) {
                true => WriteResult::Written(self.revision()),
                false => WriteResult::Conflict,
            };
        }
        match random.u8(0..4) {
            0 => return WriteResult::NotRun,
            1 => {
                self.apply(write);
            }
            2 => self.delayed.push(write),
            _ => {}
        }
        WriteResult::Lost
    }

    fn apply_delayed_write(&mut self, random: &mut fastrand::Rng) {
        if self.delayed.is_empty() {
            return;
        }
        let write = self.delayed.swap_remove(random.usize(0..self.delayed.len()));
        self.apply(write);
    }

    fn apply(&mut self, write: CharterWrite) -> bool {
        let is_met = match write.precondition {
            Precondition::Absent => self.revision() == 0,
            Precondition::Revision(it) => self.revision() == it,
        };
        if is_met {
            self.history.push(Some(write.value));
        }
        is_met
    }

    fn charter(&self) -> Value {
        let text = self.history.last().unwrap().clone();
        serde_json::from_slice(&text.unwrap_or_else(charter_patch::empty_charter)).unwrap()
    }

    fn is_fault(&self, random: &mut fastrand::Rng) -> bool {
        random.u8(0..100) < self.fault_percent
    }
}

struct Operator {
    id: String,
    attempt: PatchAttempt,
    step: PatchStep,
    n_steps_left: usize,
}

impl Operator {
    fn new(idx: usize, base_number: u64, n_steps_left: usize) -> Operator {
        let id = format!("patch-{idx}");
        let patch = json!({ "rollout": { "origin_copies": 1 + idx % 4 } });
        let deadline = Instant::now() + Duration::from_secs(3600);
        let request = PatchRequest { id: id.clone(), base_number, patch, deadline };
        Operator {
            id,
            attempt: PatchAttempt::new(request, base_number),
            step: PatchStep::Read,
            n_steps_left,
        }
    }

    fn outcome(&self) -> Option<PatchOutcome> {
        if let PatchStep::Done(outcome, _) = &self.step {
            return Some(outcome.clone());
        }
        (self.n_steps_left == 0).then(|| self.attempt.outcome_at_deadline("out of time"))
    }

    fn advance(&mut self, platform: &mut Platform, random: &mut fastrand::Rng) {
        self.n_steps_left -= 1;
        self.step = match self.step.clone() {
            PatchStep::Read => self.attempt.on_read(platform.read(random)),
            PatchStep::Write(write) => self.attempt.on_write(platform.write(write, random)),
            done => done,
        };
    }
}

#[test]
fn outcome_matches_stored_charter() {
    let mut n_accepted = 0;
    let mut n_unsettled = 0;
    for seed in 0..N_SEEDS {
        let fault_percent = (seed % 4 * 20) as u8;
        let outcomes = run_seed(seed, fault_percent);
        n_accepted += outcomes.iter().filter(|it| matches!(it, PatchOutcome::Accepted(_))).count();
        let n_lost = outcomes.iter().filter(|it| matches!(it, PatchOutcome::Unsettled(_))).count();
        assert!(fault_percent > 0 || n_lost == 0, "seed {seed}: unsettled outcome without a fault");
        n_unsettled += n_lost;
    }
    assert!(n_accepted > N_SEEDS as usize, "too few patches were accepted: {n_accepted}");
    assert!(n_unsettled > 0, "no seed reached a deadline with a lost response");
}

fn run_seed(seed: u64, fault_percent: u8) -> Vec<PatchOutcome> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut platform = Platform::new(fault_percent);
    let mut operators: Vec<Operator> = Vec::new();
    for idx in 0..8 {
        let base_number = charter_patch::number_of(&platform.charter());
        operators.push(Operator::new(idx, base_number, random.usize(2..=MAX_STEPS)));
        for _ in 0..random.usize(0..30) {
            advance_one(&mut operators, &mut platform, &mut random);
        }
    }
    while operators.iter().any(|it| it.outcome().is_none()) {
        advance_one(&mut operators, &mut platform, &mut random);
    }
    while !platform.delayed.is_empty() {
        platform.apply_delayed_write(&mut random);
    }
    check_outcomes(seed, &platform, &operators);
    operators.iter().filter_map(Operator::outcome).collect()
}

fn advance_one(operators: &mut [Operator], platform: &mut Platform, random: &mut fastrand::Rng) {
    if random.u8(0..10) == 0 {
        platform.apply_delayed_write(random);
    }
    let running = operators.iter_mut().filter(|it| it.outcome().is_none());
    if let Some(operator) = choose_random(running.collect(), random) {
        operator.advance(platform, random);
    }
}

fn check_outcomes(seed: u64, platform: &Platform, operators: &[Operator]) {
    let charter = platform.charter();
    let n_recent = charter["recent_patches"].as_array().map_or(0, Vec::len) as u64;
    assert_eq!(
        n_recent,
        charter_patch::number_of(&charter),
        "seed {seed}: not one number per patch"
    );
    for operator in operators {
        let took_effect = charter_patch::accepted_number(&charter, &operator.id);
        match operator.outcome().unwrap() {
            PatchOutcome::Accepted(number) => {
                assert_eq!(took_effect, Some(number), "seed {seed}: {}", operator.id);
            }
            PatchOutcome::Unsettled(_) => {}
            refused => assert_eq!(took_effect, None, "seed {seed}: {} {refused:?}", operator.id),
        }
    }
}

fn choose_random<T>(mut items: Vec<T>, random: &mut fastrand::Rng) -> Option<T> {
    if items.is_empty() {
        return None;
    }
    Some(items.swap_remove(random.usize(0..items.len())))
}

/// While reads lag behind the charter in force here, the read is repeated; a smaller number is
/// never reported as the current one.
#[test]
fn lagging_reads_are_repeated() {
    let deadline = Instant::now();
    let id = "p1".to_owned();
    let request = PatchRequest { id, base_number: 8, patch: json!({}), deadline };
    let mut attempt = PatchAttempt::new(request, 8);
    let old = Object { revision: 70, value: json!({ "number": 7 }).to_string().into_bytes() };
    for _ in 0..100 {
        assert_eq!(attempt.on_read(Some(old.clone())), PatchStep::Read);
    }
    assert!(matches!(attempt.outcome_at_deadline("lag"), PatchOutcome::Unavailable(_)));
    let new = Object { revision: 90, value: json!({ "number": 9 }).to_string().into_bytes() };
    let stale = PatchStep::Done(PatchOutcome::Stale { current: 9 }, None);
    assert_eq!(attempt.on_read(Some(new)), stale);
}
