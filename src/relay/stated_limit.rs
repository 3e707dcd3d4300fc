//! What the head of a response says of a request limit.

use crate::placement::RequestLimit;

/// What the head of a response says of a request limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatedLimit {
    /// The backend server names none.
    Unlimited,
    /// It names this one.
    Limited(RequestLimit),
    /// It names something that is no number, which says nothing.
    Unreadable,
}
