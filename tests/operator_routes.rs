//! Statuses, verdicts and messages of the administration API, and its check of the operator token.

mod tool;

use std::time::Duration;

use crocustiller::net::HttpClient;
use crocustiller_standins::PlatformBehaviour;
use http_types::{Method, Request};

use tool::{Deployment, TOKEN};

const FIRST_PATCH: &str = r#"{"pools": {"lots": {"version": "v1", "customers": []}}}"#;

/// A request, and the status, the verdict and a text of the body that its response must have.
struct Call {
    method: Method,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    status: u16,
    verdict: &'static str,
    text: &'static str,
}

/// A GET request that succeeds or reports a state, without a verdict.
const fn get(path: &'static str, status: u16, text: &'static str) -> Call {
    Call { method: Method::Get, path, headers: &[], body: "", status, verdict: "", text }
}

/// A GET request that is refused with the verdict `not-run`.
const fn refused(path: &'static str, status: u16, text: &'static str) -> Call {
    Call { verdict: "not-run", ..get(path, status, text) }
}

/// A patch of the charter.
const fn patch(
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    status: u16,
    verdict: &'static str,
    text: &'static str,
) -> Call {
    Call { method: Method::Patch, path: "/v1/charter", headers, body, status, verdict, text }
}

const FIRST_HEADERS: &[(&str, &str)] = &[("If-Match", "0"), ("Idempotency-Key", "first")];
const STALE_HEADERS: &[(&str, &str)] = &[("If-Match", "9"), ("Idempotency-Key", "stale")];
const NEXT_HEADERS: &[(&str, &str)] = &[("If-Match", "1"), ("Idempotency-Key", "next")];
const DEADLINE_HEADERS: &[(&str, &str)] =
    &[("If-Match", "1"), ("Idempotency-Key", "short"), ("X-Deadline-Ms", "300")];

/// The calls in the order in which they are sent. Those after the accepted patch need the charter
/// that it creates.
const CALLS: &[Call] = &[
    get("/healthz", 200, "ok"),
    get("/readyz", 503, "not ready"),
    get("/metrics", 200, "crocustiller_charter_number 0"),
    refused("/v1/charter", 404, "make the first one"),
    refused("/v1/pools", 404, "make the first one"),
    refused("/v1/nowhere", 404, "docs/INTERFACES.md"),
    refused("/v1/charter/patches", 404, "no route"),
    Call { method: Method::Delete, ..refused("/v1/charter", 404, "no route") },
    Call { method: Method::Delete, ..refused("/v1/quarantine/abc", 400, "64 hexadecimal digits") },
    patch(&[], FIRST_PATCH, 428, "not-run", "If-Match"),
    patch(&[("If-Match", "0")], FIRST_PATCH, 428, "not-run", "Idempotency-Key"),
    patch(&[("If-Match", "one")], FIRST_PATCH, 428, "not-run", "If-Match"),
    patch(FIRST_HEADERS, "{", 422, "not-run", "not JSON"),
    patch(FIRST_HEADERS, r#"{"pools": {"lots": 5}}"#, 422, "not-run", "pools.lots"),
    patch(
        FIRST_HEADERS,
        r#"{"rollout": {"origin_copies": 9}}"#,
        422,
        "not-run",
        "rollout.origin_copies",
    ),
    patch(STALE_HEADERS, FIRST_PATCH, 412, "not-run", "builds on charter 9, but 0"),
    patch(FIRST_HEADERS, FIRST_PATCH, 200, "", r#""number":1"#),
    patch(FIRST_HEADERS, FIRST_PATCH, 200, "", r#""number":1"#),
    get("/readyz", 200, "ready"),
    get("/v1/charter", 200, r#""version":"v1""#),
    get("/v1/charter/patches/first", 200, r#""state":"accepted""#),
    get("/v1/charter/patches/unheard", 200, r#""state":"refused""#),
    get("/v1/charter/status", 200, r#""n_in_force":1"#),
    get("/v1/hosts", 200, r#""host":"entry-1""#),
    get("/v1/pools", 200, r#""pools":[]"#),
    get("/v1/process", 200, r#""control_sent_bytes":"#),
    get("/v1/quarantine", 200, r#""entries":[]"#),
    get("/v1/requests/r-9", 200, r#""requests":[]"#),
    get("/v1/burn", 200, r#""host":"entry-1""#),
];

#[test]
fn routes_respond_as_documented() {
    crocustiller::runtime::run_until(async {
        let deployment = Deployment::start().await;
        for call in CALLS {
            check(&deployment, call, Some(TOKEN)).await;
        }
        deployment.close().await;
    });
}

#[test]
fn invalid_tokens_are_rejected() {
    crocustiller::runtime::run_until(async {
        let deployment = Deployment::start().await;
        for token in [None, Some(""), Some("another"), Some("operator-token-of-the-tes")] {
            for call in CALLS.iter().filter(|it| it.path.starts_with("/v1")) {
                let unauthorized = Call {
                    status: 401,
                    verdict: "not-run",
                    text: "operator token is missing or wrong",
                    headers: call.headers,
                    ..*call
                };
                check(&deployment, &unauthorized, token).await;
            }
        }
        assert_eq!(deployment.node.documents.charter_number(), 0);
        deployment.close().await;
    });
}

/// Without the platform, a patch must fail with the verdict `not-run` while the charter stays
/// readable.
#[test]
fn platform_outage_rejects_only_patches() {
    crocustiller::runtime::run_until(async {
        let deployment = Deployment::start().await;
        check(&deployment, &patch(FIRST_HEADERS, FIRST_PATCH, 200, "", "accepted"), Some(TOKEN))
            .await;
        let outage = PlatformBehaviour { outage: true, ..PlatformBehaviour::default() };
        deployment.platform.set_behaviour(outage);
        check(&deployment, &patch(DEADLINE_HEADERS, "{}", 503, "not-run", "again"), Some(TOKEN))
            .await;
        check(&deployment, &get("/v1/charter", 200, "v1"), Some(TOKEN)).await;
        deployment.platform.set_behaviour(PlatformBehaviour::default());
        check(&deployment, &patch(NEXT_HEADERS, "{}", 200, "", "accepted"), Some(TOKEN)).await;
        deployment.close().await;
    });
}

async fn check(deployment: &Deployment, call: &Call, token: Option<&str>) {
    let url = format!("http://{}{}", deployment.operator_address, call.path);
    let mut request = Request::new(call.method, url.as_str());
    if let Some(token) = token {
        request.insert_header("Authorization", format!("Bearer {token}"));
    }
    for (name, value) in call.headers {
        request.insert_header(*name, *value);
    }
    request.set_body(call.body);
    let timeout = Duration::from_secs(30);
    let http = HttpClient::new();
    let fetch = http.fetch(deployment.operator_address, request, timeout, 1 << 20);
    let (response, body) = fetch.await.unwrap();
    let body = String::from_utf8(body).unwrap();
    let context = format!("{} {} {:?}: {body}", call.method, call.path, call.headers);
    assert_eq!(u16::from(response.status()), call.status, "{context}");
    let verdict = response.header("X-Verdict").map_or("", |it| it.as_str());
    assert_eq!(verdict, call.verdict, "{context}");
    assert!(body.contains(call.text), "no {:?} in {context}", call.text);
}
