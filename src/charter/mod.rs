//! The charter, which configures pools, services and customers, and the patches that change it.

mod charter;
mod charter_check;
pub mod charter_patch;
mod patch;
mod patch_attempt;
mod patch_request;
mod push;
mod status;

pub use crate::charter::{
    charter::{
        AcceptedPatch, Charter, CustomerSpec, PoolSpec, RolloutMode, RolloutSpec, ServiceLevels,
        ServiceSpec, RECENT_PATCHES,
    },
    patch::{patch, patch_state},
    patch_attempt::{CharterWrite, PatchAttempt, PatchStep, WriteResult},
    patch_request::{FieldError, PatchOutcome, PatchRequest, PatchState},
    push::push_document,
    status::{charter_status, summarise, CharterStatus},
};
