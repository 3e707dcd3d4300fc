//! The request handler of the operator address.

use std::sync::Arc;

use http_types::{Method, Request, Response, StatusCode};
use serde_json::json;

use crate::{
    membership::HostState,
    net::Handler,
    node::Node,
    operator::{
        charter_routes, metrics_page,
        operator_context::OperatorContext,
        process_report::ProcessReport,
        quarantine_routes,
        response::{error_response, json_response, text_response},
    },
    verdict::Verdict,
};

/// Returns the handler for requests to the operator address and installs the metrics recorder.
pub fn handler(node: Arc<Node>, context: Arc<OperatorContext>) -> Handler {
    metrics_page::install_recorder();
    Arc::new(move |request| {
        let node = node.clone();
        let context = context.clone();
        Box::pin(async move { Ok(route(&node, &context, request).await) })
    })
}

async fn route(node: &Arc<Node>, context: &OperatorContext, request: Request) -> Response {
    let path = request.url().path().trim_matches('/').to_owned();
    let segments: Vec<&str> = path.split('/').collect();
    match segments.as_slice() {
        ["healthz"] => return text_response(StatusCode::Ok, "ok\n"),
        ["readyz"] => return readiness(node),
        ["metrics"] => return text_response(StatusCode::Ok, &metrics_page::render(node, context)),
        _ => {}
    }
    if !is_authorized(node, &request) {
        return unauthorized();
    }
    match (request.method(), segments.as_slice()) {
        (Method::Get, ["v1", "charter"]) => charter_routes::show(node),
        (Method::Get, ["v1", "charter", "status"]) => charter_routes::status(node).await,
        (Method::Patch, ["v1", "charter"]) => charter_routes::patch(node, request).await,
        (Method::Get, ["v1", "charter", "patches", id]) => {
            charter_routes::patch_state(node, id).await
        }
        (Method::Get, ["v1", "hosts"]) => hosts(node),
        (Method::Post, ["v1", "hosts", "self", "leave"]) => leave(node, context),
        (Method::Get, ["v1", "pools"]) => pools(node),
        (Method::Get, ["v1", "process"]) => {
            json_response(StatusCode::Ok, &ProcessReport::collect(node, context))
        }
        (Method::Get, ["v1", "burn"]) => burn(node, context),
        (Method::Get, ["v1", "requests", id]) => requests(context, id),
        (Method::Get, ["v1", "quarantine"]) => quarantine_routes::list(node),
        (Method::Delete, ["v1", "quarantine", fingerprint]) => {
            quarantine_routes::clear(node, fingerprint).await
        }
        _ => not_found(&path),
    }
}

fn readiness(node: &Node) -> Response {
    let state = node.membership.own().state;
    if state == HostState::Live && node.documents.charter().is_some() {
        return text_response(StatusCode::Ok, "ready\n");
    }
    let number = node.documents.charter_number();
    let text = format!("not ready: state={state:?} charter={number}\n");
    text_response(StatusCode::ServiceUnavailable, &text)
}

/// Returns `true` if the request has the operator token. Compares digests in constant time.
fn is_authorized(node: &Node, request: &Request) -> bool {
    let header = request.header("Authorization").map(|it| it.as_str());
    let Some(token) = header.and_then(|it| it.strip_prefix("Bearer ")) else { return false };
    let expected = blake3::Hash::from(*node.settings.secrets.operator_token_digest.as_bytes());
    blake3::hash(token.trim().as_bytes()) == expected
}

fn unauthorized() -> Response {
    let message = "the operator token is missing or wrong; send `Authorization: Bearer <token>`";
    let mut response = error_response(StatusCode::Unauthorized, message, Verdict::NotRun);
    response.insert_header("WWW-Authenticate", "Bearer");
    response
}

fn not_found(path: &str) -> Response {
    let message =
        format!("no route matches /{path} with this method; docs/INTERFACES.md lists the routes");
    error_response(StatusCode::NotFound, &message, Verdict::NotRun)
}

fn hosts(node: &Node) -> Response {
    let records = node.membership.records();
    json_response(StatusCode::Ok, &json!({ "hosts": records }))
}

fn leave(node: &Node, context: &OperatorContext) -> Response {
    let host = node.membership.own().host.clone();
    log::info!("operator: leave requested host={host}");
    let _ = context.leave.try_send(());
    json_response(StatusCode::Accepted, &json!({ "host": host, "state": HostState::Leaving }))
}

fn pools(node: &Node) -> Response {
    let Some(charter) = node.documents.charter() else {
        return charter_routes::no_charter();
    };
    let pools: Vec<_> = charter.pools.keys().filter_map(|it| node.documents.pool(it)).collect();
    json_response(StatusCode::Ok, &json!({ "pools": pools }))
}

fn burn(node: &Node, context: &OperatorContext) -> Response {
    let counts = context.request_history.burn_counts(&node.settings.host.id);
    json_response(StatusCode::Ok, &counts)
}

fn requests(context: &OperatorContext, id_or_key: &str) -> Response {
    json_response(StatusCode::Ok, &json!({ "requests": context.request_history.find(id_or_key) }))
}
