//! Decodes callers' queries for the addresses of entry hosts and encodes the responses.

use std::net::SocketAddr;

use serde_json::json;

use crate::{
    http1::SmallResponse,
    ids::{RegionId, ZoneId},
};

/// The path of a query.
const PATH: &str = "/v1/resolve";

/// A caller's query, with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// The host name to which the caller sends requests; empty if it names none.
    pub name: String,
    /// The region of the caller.
    pub region: RegionId,
    /// The availability zone of the caller.
    pub zone: ZoneId,
}

/// Decodes a query from the target of a request; returns `None` for another path.
pub fn decode_query(target: &str) -> Option<DirectoryQuery> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let field = |name: &str| {
        let fields = query.split('&').filter_map(|it| it.split_once('='));
        fields.filter(|it| it.0 == name).map(|it| it.1.to_owned()).next().unwrap_or_default()
    };
    (path == PATH).then(|| DirectoryQuery {
        name: field("name"),
        region: field("region"),
        zone: field("zone"),
    })
}

/// Encodes a response that callers may cache for `max_age_s` seconds.
pub fn encode_response(addresses: &[SocketAddr], max_age_s: u32) -> SmallResponse {
    let body = json!({ "addresses": addresses, "ttl-s": max_age_s });
    SmallResponse {
        status: 200,
        content_type: "application/json",
        body: body.to_string().into_bytes(),
    }
}
