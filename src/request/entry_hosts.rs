//! The list of entry hosts that callers should use.

use http_types::{Response, StatusCode};
use serde::Serialize;

use crate::{
    membership::{HostRole, MemberRecord},
    node::Node,
    request::{failure::json_body, headers},
    verdict::Verdict,
};

/// Body of `GET /v1/entry-hosts`.
#[derive(Serialize)]
struct EntryHostList {
    entry_hosts: Vec<String>,
}

/// Returns the addresses of the live entry hosts: first those in the zone of `own`, then those in
/// its region, then the others.
///
/// Within each group the order is random, so that callers are distributed evenly.
pub fn order_entry_hosts(
    own: &MemberRecord,
    live: &[MemberRecord],
    random: &mut fastrand::Rng,
) -> Vec<String> {
    let is_entry = |it: &&MemberRecord| it.role == HostRole::Entry;
    let mut hosts: Vec<&MemberRecord> = live.iter().filter(is_entry).collect();
    random.shuffle(&mut hosts);
    hosts.sort_by_key(|it| {
        let is_same_region = it.region == own.region;
        let is_same_zone = is_same_region && it.zone == own.zone;
        (!is_same_zone, !is_same_region)
    });
    hosts.into_iter().map(|it| it.request_address.to_string()).collect()
}

/// Returns the entry host addresses that a caller of this process should currently use.
pub(crate) fn addresses(node: &Node) -> Vec<String> {
    let live: Vec<MemberRecord> = node.membership.live().iter().map(|it| (**it).clone()).collect();
    order_entry_hosts(&node.membership.own(), &live, &mut fastrand::Rng::new())
}

/// Returns the response to `GET /v1/entry-hosts`.
pub(crate) fn response(node: &Node, id: &str) -> Response {
    let max_age = node.settings.limits.entry_hosts_max_age_s.as_secs();
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header(headers::REQUEST_ID, id);
    response.insert_header(headers::VERDICT, Verdict::Ran.as_str());
    response.insert_header("Cache-Control", format!("max-age={max_age}"));
    response.set_body(json_body(&EntryHostList { entry_hosts: addresses(node) }));
    response
}
