//! The two-window alert rule.

use serde::{Deserialize, Serialize};

/// Burn over five minutes and one hour that asks for somebody at once: 2 % of a month's budget an hour.
const PAGE_BURN_RATE: f64 = 14.4;
/// Burn over one and six hours that asks for a look today: 5 % of a month's budget in six hours.
const TICKET_BURN_RATE: f64 = 6.0;

/// What a burn asks for; later ones are graver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Alert {
    /// Nothing.
    None,
    /// A look on the same day.
    Ticket,
    /// Somebody at once.
    Page,
}

impl Alert {
    /// The alert for burn rates over 5 min, 1 h and 6 h.
    ///
    /// Two windows must agree: the long one shows that the budget suffers, the short one that it
    /// still goes on.
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

    /// The alert for ratios of waits over 5 min, 1 h and 6 h, of which none may pass `limit`.
    pub fn of_ratio(ratio: [Option<f64>; 3], limit: f64) -> Alert {
        let [short, middle, _] = ratio.map(|it| it.unwrap_or(0.0));
        if short > limit && middle > limit {
            return Alert::Ticket;
        }
        Alert::None
    }

    /// Name of the alert in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Alert::None => "-",
            Alert::Ticket => "ticket",
            Alert::Page => "page",
        }
    }
}
