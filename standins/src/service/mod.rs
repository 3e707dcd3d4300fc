//! A stand-in for a plain service, whose calls are not idempotent.

mod service_standin;

pub use crate::service::service_standin::{ServiceBehaviour, ServiceCounts, ServiceStandin};
