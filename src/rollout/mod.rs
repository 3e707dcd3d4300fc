//! Rolls a new version of weights out to the hosts of a pool.
//!
//! Entry hosts decide on the steps of a rollout and write them to the pool document; each slot
//! drives its engine to the state that the document requires.

mod next_step;
mod pool_document;
mod rollout_decider;
mod service_driver;
mod serving_state;
mod slot_driver;
mod slot_intent;

pub use crate::rollout::{
    next_step::{first_wave_size, next_step, pool_hosts, PoolView},
    pool_document::{PoolDocument, RolloutStep, WeightsTarget},
    rollout_decider::{object_name, DecideError, RolloutDecider},
    service_driver::ServiceDriver,
    serving_state::{Admission, AdmissionError, Serving, ServingState},
    slot_driver::SlotDriver,
    slot_intent::{may_acknowledge, slot_intent, SlotIntent},
};
