//! Derives the weights that a slot must keep, load and serve from a pool document.

use crate::{
    digest::Digest,
    ids::SwitchNumber,
    rollout::pool_document::{PoolDocument, RolloutStep, WeightsTarget},
};

/// The state that a pool document requires of one slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotIntent {
    /// Weights to fetch and keep, the most urgent first.
    pub keep: Vec<WeightsTarget>,
    /// Weights that the engine must have loaded.
    pub load: Option<WeightsTarget>,
    /// Whether the slot admits requests once the engine has loaded `load`.
    pub is_serving: bool,
    /// Switch number to acknowledge as soon as `may_acknowledge` allows it.
    pub prepare: Option<SwitchNumber>,
}

/// Returns the state that `pool` requires of the slot on `host`.
pub fn slot_intent(pool: &PoolDocument, host: &str) -> SlotIntent {
    let is_in_first_wave = match &pool.step {
        RolloutStep::FirstWave { hosts } | RolloutStep::Prepare { hosts } => {
            hosts.iter().any(|it| it == host)
        }
        RolloutStep::Steady | RolloutStep::Stage => false,
    };
    let load = if is_in_first_wave { pool.target.clone() } else { pool.serving.clone() };
    let is_preparing = matches!(pool.step, RolloutStep::Prepare { .. });
    SlotIntent {
        keep: weights_to_keep(pool),
        load,
        is_serving: !is_in_first_wave,
        prepare: is_preparing.then_some(pool.switch_number + 1),
    }
}

/// Returns `true` if a slot whose engine has `loaded` may acknowledge the next switch.
///
/// A host of the first wave must have loaded the target. A host outside the first wave
/// acknowledges at once, because it stops serving at the switch.
pub fn may_acknowledge(intent: &SlotIntent, loaded: Option<Digest>) -> bool {
    intent.is_serving || intent.load.as_ref().map(|it| it.manifest_digest) == loaded
}

fn weights_to_keep(pool: &PoolDocument) -> Vec<WeightsTarget> {
    let mut targets: Vec<WeightsTarget> = pool.serving.iter().cloned().collect();
    targets.extend(pool.target.iter().filter(|it| Some(*it) != pool.serving.as_ref()).cloned());
    targets
}
