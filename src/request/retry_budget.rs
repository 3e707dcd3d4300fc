//! Bounds retries to a share of the requests, so that retries do not amplify an overload.

/// Retries that each request adds to the budget, in thousandths.
const DEPOSIT_MILLI: u64 = 100;
/// Maximum number of retries in the budget, in thousandths.
const MAX_BALANCE_MILLI: u64 = 10_000;

/// A retry budget of one retry per ten requests, with a small reserve at the start.
///
/// Each request adds a tenth of a retry to the budget, and each retry removes one from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    balance_milli: u64,
}

impl RetryBudget {
    /// Maximum number of retries in the budget, which is also the number in a new budget.
    pub const RESERVE: u64 = MAX_BALANCE_MILLI / 1000;

    /// Creates a budget with a full reserve.
    pub fn new() -> RetryBudget {
        RetryBudget { balance_milli: MAX_BALANCE_MILLI }
    }

    /// Adds the retries that one request allows.
    pub fn deposit(&mut self) {
        self.balance_milli = (self.balance_milli + DEPOSIT_MILLI).min(MAX_BALANCE_MILLI);
    }

    /// Removes one retry from the budget; returns `true` if there was one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance_milli < 1000 {
            return false;
        }
        self.balance_milli -= 1000;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new()
    }
}
