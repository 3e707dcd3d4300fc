//! How long a request may still wait for engines.
//!
//! Load pattern: engines begin and end pauses, and regions and evacuations change, while requests wait. The
//! entry host then asks again within the time that is left.

use std::time::Duration;

/// The time for which a request may still wait while all engines are full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLeft {
    /// Time where requests are served in order of arrival.
    pub usual: Duration,
    /// Time where requests are ranked, or if the class of the request is served too seldom.
    pub longest: Duration,
}

impl WaitLeft {
    /// Returns what is left of both times after `waited`.
    pub fn after(waited: Duration, usual: Duration, longest: Duration) -> WaitLeft {
        WaitLeft { usual: usual.saturating_sub(waited), longest: longest.saturating_sub(waited) }
    }

    /// Returns the part of it until a pause ends.
    pub fn until(self, pause_ends: Option<Duration>) -> WaitLeft {
        let cut = |time: Duration| pause_ends.map_or(time, |it| it.min(time));
        WaitLeft { usual: cut(self.usual), longest: cut(self.longest) }
    }

    /// Returns `true` if no time is left.
    pub fn is_over(self) -> bool {
        self.usual.is_zero() && self.longest.is_zero()
    }

    /// Returns `true` if a request that was refused after `waited` had waited for all of `part`, so that time
    /// is left. A refusal before the end of the wait says that asking again is no use.
    pub fn exceeds(self, part: WaitLeft, waited: Duration) -> bool {
        let ended = |part: Duration, time: Duration| part < time && waited >= part;
        ended(part.usual, self.usual) || ended(part.longest, self.longest)
    }
}
