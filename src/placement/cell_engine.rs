//! An engine of a cell.

use crate::{
    ids::BackendId,
    placement::{RateLimit, RequestLimit},
};

/// An engine of the cell as the owner sees it now.
#[derive(Clone, Debug, PartialEq)]
pub struct CellEngine {
    /// Its id.
    pub id: BackendId,
    /// The number of requests that it processes at once. Smaller while the owner has yet to learn
    /// what runs there.
    pub slots: u32,
    /// Whether it may have only one request in progress, which tests if it has recovered.
    pub is_on_probation: bool,
    /// The rate of its requests, if it starts cold.
    pub rate_limit: Option<RateLimit>,
    /// The limit that it named on the requests of all hosts.
    pub request_limit: Option<RequestLimit>,
}
