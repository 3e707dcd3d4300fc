//! Callers' questions for addresses of entry hosts.

use std::net::SocketAddr;

use serde_json::json;

use crate::{
    http1::SmallResponse,
    ids::{RegionId, ZoneId},
};

/// Path of the question.
const PATH: &str = "/v1/resolve";

/// Where a caller is; the host name that it also sends does not matter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryQuestion {
    /// Region of the caller.
    pub region: RegionId,
    /// Availability zone of the caller.
    pub zone: ZoneId,
}

/// Reads a question from the target of a request.
pub fn decode(target: &str) -> Option<DirectoryQuestion> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let field = |name: &str| {
        let fields = query.split('&').filter_map(|it| it.split_once('='));
        fields.filter(|it| it.0 == name).map(|it| it.1.to_owned()).next().unwrap_or_default()
    };
    (path == PATH).then(|| DirectoryQuestion { region: field("region"), zone: field("zone") })
}

/// Writes an answer; callers may keep it for `max_age_s`.
pub fn encode(addresses: &[SocketAddr], max_age_s: u32) -> SmallResponse {
    let body = json!({ "addresses": addresses, "ttl-s": max_age_s });
    SmallResponse {
        status: 200,
        content_type: "application/json",
        body: body.to_string().into_bytes(),
    }
}
