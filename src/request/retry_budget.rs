//! Bounds retries to a share of the requests, so that retries never feed an overload.

/// Retries that each request pays for, in thousandths.
const DEPOSIT_MILLI: u64 = 100;
/// Retries that may be saved up, in thousandths.
const MAX_BALANCE_MILLI: u64 = 10_000;

/// A budget of at most one retry for ten requests, with a small reserve at the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    balance_milli: u64,
}

impl RetryBudget {
    /// Retries that may be saved up and that a new budget begins with.
    pub const RESERVE: u64 = MAX_BALANCE_MILLI / 1000;

    /// Starts with a full reserve.
    pub fn new() -> RetryBudget {
        RetryBudget { balance_milli: MAX_BALANCE_MILLI }
    }

    /// Counts one request.
    pub fn deposit(&mut self) {
        self.balance_milli = (self.balance_milli + DEPOSIT_MILLI).min(MAX_BALANCE_MILLI);
    }

    /// Takes one retry from the budget; says whether there was one.
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
