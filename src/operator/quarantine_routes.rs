//! Routes that list the quarantine and clear fingerprints from it.

use std::sync::Arc;

use http_types::{Response, StatusCode};
use serde_json::json;

use crate::{
    digest::Digest,
    node::Node,
    operator::response::{error_response, json_response},
    peer::DocumentName,
    request::{self, Quarantine, QuarantineStatus},
    verdict::Verdict,
};

/// Handles `GET /v1/quarantine`.
pub(crate) fn list(node: &Node) -> Response {
    json_response(StatusCode::Ok, &current_quarantine(node))
}

/// Handles `DELETE /v1/quarantine/<fingerprint>`.
pub(crate) async fn clear(node: &Arc<Node>, fingerprint: &str) -> Response {
    let Ok(digest) = fingerprint.parse::<Digest>() else {
        let message =
            "a fingerprint has 64 hexadecimal digits; `crocustiller quarantine list` shows them";
        return error_response(StatusCode::BadRequest, message, Verdict::NotRun);
    };
    if current_quarantine(node).status_of(&digest) == QuarantineStatus::Clear {
        let message = format!("{digest} is not in quarantine; `crocustiller quarantine list` shows the current entries");
        return error_response(StatusCode::NotFound, &message, Verdict::NotRun);
    }
    request::clear_quarantine(node, digest).await;
    if current_quarantine(node).status_of(&digest) == QuarantineStatus::Clear {
        log::info!("operator: quarantine cleared fingerprint={digest}");
        return json_response(
            StatusCode::Ok,
            &json!({ "fingerprint": digest, "state": "cleared" }),
        );
    }
    let message = "the platform did not respond; clear the fingerprint again, repeating it is safe";
    error_response(StatusCode::GatewayTimeout, message, Verdict::MayHaveRun)
}

fn current_quarantine(node: &Node) -> Quarantine {
    let document = node.documents.document(&DocumentName::Quarantine);
    document.and_then(|it| Quarantine::parse(&it.json)).unwrap_or_default()
}
