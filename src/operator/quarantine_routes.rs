//! Routes that show and clear the quarantine.

use std::sync::Arc;

use http_types::{Response, StatusCode};
use serde_json::json;

use crate::{
    digest::Digest,
    node::Node,
    operator::answer::{error_answer, json_answer},
    peer::DocumentName,
    request::{self, Quarantine, QuarantineStatus},
    verdict::Verdict,
};

/// `GET /v1/quarantine`.
pub(crate) fn list(node: &Node) -> Response {
    json_answer(StatusCode::Ok, &held(node))
}

/// `DELETE /v1/quarantine/<fingerprint>`.
pub(crate) async fn clear(node: &Arc<Node>, fingerprint: &str) -> Response {
    let Ok(digest) = fingerprint.parse::<Digest>() else {
        let message =
            "a fingerprint has 64 hexadecimal digits; `crocustiller quarantine list` shows them";
        return error_answer(StatusCode::BadRequest, message, Verdict::NotRun);
    };
    if held(node).status_of(&digest) == QuarantineStatus::Clear {
        let message = format!("{digest} is not in quarantine; list it again");
        return error_answer(StatusCode::NotFound, &message, Verdict::NotRun);
    }
    request::clear_quarantine(node, digest).await;
    if held(node).status_of(&digest) == QuarantineStatus::Clear {
        log::info!("operator: quarantine cleared fingerprint={digest}");
        return json_answer(StatusCode::Ok, &json!({ "fingerprint": digest, "state": "cleared" }));
    }
    let message = "the platform did not answer; clear it again, twice does no harm";
    error_answer(StatusCode::GatewayTimeout, message, Verdict::MayHaveRun)
}

fn held(node: &Node) -> Quarantine {
    let document = node.documents.document(&DocumentName::Quarantine);
    document.and_then(|it| serde_json::from_slice(&it.json).ok()).unwrap_or_default()
}
