//! The behaviour of the stand-ins on which the other tests depend.

use std::{net::SocketAddr, time::Duration};

use crocustiller::{
    net::HttpClient,
    objects::{PlatformClient, PlatformError, Precondition},
    runtime,
    verdict::Verdict,
};
use crocustiller_standins::{
    expected_answer, EngineBehaviour, EngineStandin, NewVersion, OriginBehaviour, OriginStandin,
    PlatformBehaviour, PlatformStandin, ServiceBehaviour, ServiceStandin, PARTIAL_WEIGHTS,
};
use http_types::{Method, Request, Response};
use serde_json::{json, Value};

const TIMEOUT: Duration = Duration::from_secs(20);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn request(method: Method, address: SocketAddr, path: &str) -> Request {
    Request::new(method, format!("http://{address}{path}").as_str())
}

async fn fetch(request: Request) -> Result<(Response, Vec<u8>), Verdict> {
    let address: SocketAddr = request.url().socket_addrs(|| None).unwrap()[0];
    let res = HttpClient::new().fetch(address, request, TIMEOUT, MAX_RESPONSE_BYTES).await;
    res.map_err(|err| err.verdict())
}

fn chat_request(address: SocketAddr, id: &str, prompt: &str, stream: bool) -> Request {
    let mut request = request(Method::Post, address, "/v1/chat/completions");
    request.insert_header("X-Request-Id", id);
    let body = json!({
        "model": "m", "stream": stream, "max_tokens": 4,
        "messages": [{"role": "user", "content": prompt}],
    });
    request.set_body(body.to_string());
    request
}

async fn load(engine: &EngineStandin, origin: &OriginStandin, version: &str, fencing: u64) -> u16 {
    let url = format!("http://{}/weights/{version}/content", origin.address());
    let mut request = request(Method::Post, engine.address(), "/admin/load");
    request.set_body(json!({"version": version, "url": url, "fencing": fencing}).to_string());
    fetch(request).await.unwrap().0.status().into()
}

async fn origin_with(version: &str, size_bytes: u64) -> OriginStandin {
    let origin = OriginStandin::start(any_address()).await.unwrap();
    let new_version =
        NewVersion { version: version.to_owned(), seed: 1, size_bytes, ..Default::default() };
    origin.add_version(&new_version).unwrap();
    origin
}

#[test]
fn platform_updates_conditionally() {
    runtime::run_until(async {
        let platform = PlatformStandin::start(any_address()).await.unwrap();
        let http = HttpClient::new();
        let client = PlatformClient::new(vec![platform.address()], TIMEOUT, http);
        let first = client.put("pools/a", b"1", Precondition::Absent).await.unwrap();
        let second_create = client.put("pools/a", b"2", Precondition::Absent).await;
        assert!(matches!(second_create, Err(PlatformError::Conflict(_))));

        let watch = client.watch("pools/a", first, TIMEOUT);
        let write = client.put("pools/a", b"3", Precondition::Revision(first));
        let (watched, written) = futures_util::future::join(watch, write).await;
        assert_eq!(watched.unwrap().unwrap().value, b"3");
        let second = written.unwrap();

        platform.set_behaviour(PlatformBehaviour { lose_answers: 1, ..Default::default() });
        let lost_response = client.put("pools/a", b"4", Precondition::Revision(second)).await;
        assert_eq!(lost_response.unwrap_err().verdict(), Verdict::MayHaveRun);
        assert_eq!(platform.object("pools/a").unwrap(), b"4");

        platform.set_behaviour(PlatformBehaviour { outage: true, ..Default::default() });
        assert!(client.get("pools/a").await.is_err());
        let counts = platform.counts();
        assert_eq!((counts.puts, counts.watches, counts.gets), (4, 1, 1));
        platform.close().await;
    });
}

#[test]
fn platform_reads_lag() {
    runtime::run_until(async {
        let platform = PlatformStandin::start(any_address()).await.unwrap();
        let client = PlatformClient::new(vec![platform.address()], TIMEOUT, HttpClient::new());
        platform
            .set_behaviour(PlatformBehaviour { lagging_reads_ms: 3_600_000, ..Default::default() });
        client.put("charter", b"1", Precondition::Absent).await.unwrap();
        assert_eq!(client.get("charter").await.unwrap(), None);
        platform.set_behaviour(PlatformBehaviour::default());
        assert_eq!(client.get("charter").await.unwrap().unwrap().value, b"1");
        platform.close().await;
    });
}

#[test]
fn origin_serves_ranges() {
    runtime::run_until(async {
        let origin = origin_with("v1", 300_000).await;
        let content = origin.content("v1").unwrap();
        let range = |text: &str| {
            let mut request = request(Method::Get, origin.address(), "/weights/v1/content");
            request.insert_header("Range", text);
            request
        };
        let (response, bytes) = fetch(range("bytes=100000-199999")).await.unwrap();
        assert_eq!(u16::from(response.status()), 206);
        assert_eq!(bytes, content[100_000..200_000]);
        assert_eq!(origin.counts().versions["v1"].content_bytes, 100_000);

        origin.set_behaviour(OriginBehaviour { corrupt_percent: 100, ..Default::default() });
        let (_, bytes) = fetch(range("bytes=0-99999")).await.unwrap();
        let n_wrong = bytes.iter().zip(content.iter()).filter(|(a, b)| a != b).count();
        assert_eq!(n_wrong, 1);

        origin.set_behaviour(OriginBehaviour { status_429: true, ..Default::default() });
        let (response, _) = fetch(range("bytes=0-9")).await.unwrap();
        assert_eq!(u16::from(response.status()), 429);
        assert_eq!(response.header("Retry-After").unwrap().as_str(), "1");

        origin.set_behaviour(OriginBehaviour { down: true, ..Default::default() });
        assert_eq!(fetch(range("bytes=0-9")).await.unwrap_err(), Verdict::MayHaveRun);
        origin.close().await;
    });
}

#[test]
fn engine_reports_loaded_digest() {
    runtime::run_until(async {
        let origin = origin_with("v1", 200_000).await;
        let digest = blake3::hash(&origin.content("v1").unwrap()).to_string();
        let engine = EngineStandin::start(any_address()).await.unwrap();
        let (response, _) = fetch(chat_request(engine.address(), "r0", "hi", false)).await.unwrap();
        assert_eq!(u16::from(response.status()), 503);

        assert_eq!(load(&engine, &origin, "v1", 5).await, 200);
        assert_eq!(load(&engine, &origin, "v1", 4).await, 409);
        let (response, body) =
            fetch(chat_request(engine.address(), "r1", "hi", false)).await.unwrap();
        assert_eq!(response.header("X-Request-Id").unwrap().as_str(), "r1");
        let value: Value = serde_json::from_slice(&body).unwrap();
        assert_eq!(value["system_fingerprint"], json!(digest));
        assert_eq!(value["choices"][0]["message"]["content"], json!(expected_answer("hi", 4)));

        let (_, body) = fetch(chat_request(engine.address(), "r2", "hi", true)).await.unwrap();
        let text = String::from_utf8(body).unwrap();
        assert_eq!(text.matches("data: {").count(), 4);
        assert!(text.ends_with("data: [DONE]\n\n"));

        let unfenced = EngineBehaviour { ignore_fencing: true, ..Default::default() };
        engine.set_behaviour(unfenced);
        assert_eq!(load(&engine, &origin, "v1", 1).await, 200);
        engine.close().await;
    });
}

#[test]
fn engine_reports_partial_weights() {
    runtime::run_until(async {
        let origin = origin_with("v1", 400_000).await;
        let engine = EngineStandin::start(any_address()).await.unwrap();
        assert_eq!(load(&engine, &origin, "v1", 1).await, 200);
        origin.set_behaviour(OriginBehaviour { stall: true, ..Default::default() });
        let send_request = async {
            while engine.content_digest().is_some() {
                runtime::sleep(Duration::from_millis(5)).await;
            }
            let (_, body) = fetch(chat_request(engine.address(), "r1", "hi", false)).await.unwrap();
            let value: Value = serde_json::from_slice(&body).unwrap();
            assert_eq!(value["system_fingerprint"], json!(PARTIAL_WEIGHTS));
        };
        let stalled = async {
            load(&engine, &origin, "v1", 2).await;
        };
        futures_lite::FutureExt::or(send_request, stalled).await;
        assert_eq!(engine.counts().answered_mixed, 1);
        engine.close().await;
    });
}

#[test]
fn engine_faults_fail_requests() {
    runtime::run_until(async {
        let origin = origin_with("v1", 100_000).await;
        let engine = EngineStandin::start(any_address()).await.unwrap();
        assert_eq!(load(&engine, &origin, "v1", 1).await, 200);
        engine.set_behaviour(EngineBehaviour {
            cut_answers: 2,
            crash_on_prompt: "boom".to_owned(),
            ..Default::default()
        });
        for stream in [false, true] {
            let cut = fetch(chat_request(engine.address(), "r1", "hi", stream)).await;
            assert_eq!(cut.unwrap_err(), Verdict::MayHaveRun);
        }
        let crash = fetch(chat_request(engine.address(), "r2", "big boom", false)).await;
        assert_eq!(crash.unwrap_err(), Verdict::MayHaveRun);
        assert!(engine.is_crashed());
        let refused = fetch(chat_request(engine.address(), "r3", "hi", false)).await;
        assert_eq!(refused.unwrap_err(), Verdict::NotRun);
        engine.restart().await.unwrap();
        assert_eq!(engine.content_digest(), None);
        engine.close().await;
    });
}

#[test]
fn service_counts_runs() {
    runtime::run_until(async {
        let service = ServiceStandin::start(any_address()).await.unwrap();
        let booking = || {
            let mut request = request(Method::Post, service.address(), "/bookings");
            request.insert_header("Idempotency-Key", "k1");
            request.set_body("slot 7");
            request
        };
        assert!(fetch(booking()).await.is_ok());
        service.set_behaviour(ServiceBehaviour { lose_answers: 1, short: 1, ..Default::default() });
        assert_eq!(fetch(booking()).await.unwrap_err(), Verdict::MayHaveRun);
        assert_eq!(fetch(booking()).await.unwrap_err(), Verdict::MayHaveRun);
        assert_eq!(service.counts().runs["k1"], 3);
        service.close().await;
    });
}
