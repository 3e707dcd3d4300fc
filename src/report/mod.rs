//! Counts of live requests and the burn of error budgets worked out from them.

mod request_accounts;
mod request_outcome;

pub use crate::report::{request_accounts::RequestAccounts, request_outcome::RequestOutcome};
