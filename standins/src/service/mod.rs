//! A plain service whose calls have an effect each time they run.

mod service_standin;

pub use crate::service::service_standin::{ServiceBehaviour, ServiceCounts, ServiceStandin};
