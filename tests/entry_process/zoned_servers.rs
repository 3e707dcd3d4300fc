//! Backend servers in availability zones, of a plain service and a pool, and requests to both.

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use serde_json::json;

use super::{
    encode_response, event_chunk, request, server_entry, stream_head, CallerResponse, EntryProcess,
};

/// The routes to both, by method and path.
pub const ROUTES: [(&str, &str); 3] =
    [("GET", "/stock/1"), ("POST", "/hold/1"), ("POST", "/draft/1")];
/// The services of these routes.
pub const SERVICES: [&str; 2] = ["ledger", "pool"];

/// Writes the entry of a server in a zone that processes `slots` requests at once.
pub fn put_server(
    store: &StoreStandin,
    service: &str,
    zone: &str,
    server: &ScriptedServer,
    slots: u32,
) {
    let mut entry = server_entry(service, server.address(), "ready");
    entry["zone"] = json!(zone);
    entry["slots"] = json!(slots);
    store.put("servers", &format!("{service}-{zone}"), entry);
}

/// Sends a request of a route and reads the response.
pub fn send(host: &EntryProcess, route: (&str, &str), id: &str) -> CallerResponse {
    let headers = "X-Model: lots\r\nX-Token-Counts: 100,20\r\n";
    host.exchange(&request(route.0, route.1, id, headers))
}

/// Returns `true` if the response to a request is a stream.
pub fn is_stream(request: &RawRequest) -> bool {
    request.target.starts_with("/draft/")
}

/// Returns a complete response to a request of any route.
pub fn served(request: &RawRequest) -> Vec<Step> {
    if !is_stream(request) {
        return vec![Step::Send(encode_response(request, 200, "served"))];
    }
    let events = [event_chunk(1), event_chunk(2), b"0\r\n\r\n".to_vec()].concat();
    vec![Step::Send([stream_head(request), events].concat())]
}
