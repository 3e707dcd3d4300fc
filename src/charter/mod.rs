//! The charter and its patches.

mod charter;

pub use crate::charter::charter::{
    AcceptedPatch, Charter, CustomerTerms, PoolTerms, RolloutMode, RolloutTerms, ServiceLevels,
    ServiceTerms, RECENT_PATCHES,
};
