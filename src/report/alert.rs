//! Alert rules, each of which must hold in two windows of time.

use serde::{Deserialize, Serialize};

/// Burn rate over five minutes and one hour that raises a page: 2 % of a month's budget in an hour.
const PAGE_BURN_RATE: f64 = 14.4;
/// Burn rate over one and six hours that raises a ticket: 5 % of a month's budget in six hours.
const TICKET_BURN_RATE: f64 = 6.0;

/// The alert that a burn rate raises, in ascending order of severity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Alert {
    /// No alert.
    None,
    /// Needs attention on the same day.
    Ticket,
    /// Needs attention immediately.
    Page,
}

impl Alert {
    /// Returns the alert for the burn rates over 5 min, 1 h and 6 h.
    ///
    /// Both windows of a rule must reach its burn rate: the long one shows that the budget is
    /// affected, the short one that the fault still continues.
    pub fn of_burn(burn: [Option<f64>; 3]) -> Alert {
        let [short, middle, long] = burn.map(|it| it.unwrap_or(0.0));
        if short >= PAGE_BURN_RATE && middle >= PAGE_BURN_RATE {
            return Alert::Page;
        }
        if middle >= TICKET_BURN_RATE && long >= TICKET_BURN_RATE {
            return Alert::Ticket;
        }
        Alert::None
    }

    /// Returns the alert for the ratios of waits over 5 min, 1 h and 6 h.
    ///
    /// The ratios over 5 min and 1 h must both exceed `limit` to raise a ticket; the ratio over 6 h
    /// is not used.
    pub fn of_ratio(ratio: [Option<f64>; 3], limit: f64) -> Alert {
        let [short, middle, _] = ratio.map(|it| it.unwrap_or(0.0));
        if short > limit && middle > limit {
            return Alert::Ticket;
        }
        Alert::None
    }

    /// Returns the text for the alert in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Alert::None => "-",
            Alert::Ticket => "ticket",
            Alert::Page => "page",
        }
    }
}
