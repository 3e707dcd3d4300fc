//! Decides what one slot must hold, load and serve under a pool document.

use crate::{
    digest::Digest,
    ids::SwitchNumber,
    rollout::pool_document::{PoolDocument, RolloutStep, WeightsTarget},
};

/// What a slot is to do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotIntent {
    /// Weights to fetch and hold, the more urgent first.
    pub keep: Vec<WeightsTarget>,
    /// Weights that the engine is to have loaded.
    pub load: Option<WeightsTarget>,
    /// Whether requests are admitted once the engine has loaded `load`.
    pub is_serving: bool,
    /// Switch number to acknowledge once the engine has loaded `load`.
    pub prepare: Option<SwitchNumber>,
}

/// The intent of `host` under `pool`.
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

/// Whether the acknowledgement of `intent` may be given when the engine has `loaded`.
///
/// A host outside the first wave acknowledges at once: after the switch it stops serving.
pub fn may_acknowledge(intent: &SlotIntent, loaded: Option<Digest>) -> bool {
    intent.is_serving || intent.load.as_ref().map(|it| it.manifest_digest) == loaded
}

fn weights_to_keep(pool: &PoolDocument) -> Vec<WeightsTarget> {
    let mut targets: Vec<WeightsTarget> = pool.serving.iter().cloned().collect();
    targets.extend(pool.target.iter().filter(|it| Some(*it) != pool.serving.as_ref()).cloned());
    targets
}
