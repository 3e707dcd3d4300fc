//! The charter and its patches.

mod charter;
mod charter_check;
pub mod charter_patch;
mod patch;
mod patch_attempt;
mod patch_order;
mod push;
mod status;

pub use crate::charter::{
    charter::{
        AcceptedPatch, Charter, CustomerTerms, PoolTerms, RolloutMode, RolloutTerms, ServiceLevels,
        ServiceTerms, RECENT_PATCHES,
    },
    patch::{patch, patch_state},
    patch_attempt::{CharterWrite, PatchAttempt, PatchStep, WriteResult},
    patch_order::{FieldError, PatchOrder, PatchOutcome, PatchState},
    push::push_document,
    status::{charter_status, summarise, CharterStatus},
};
