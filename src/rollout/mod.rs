//! The rollout of a new version over the hosts of a pool.

mod pool_document;
mod serving_state;

pub use crate::rollout::{
    pool_document::{PoolDocument, RolloutStep, WeightsTarget},
    serving_state::{Admission, Refusal, Serving, ServingState},
};
