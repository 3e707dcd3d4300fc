//! Malformed and forbidden requests get an error status, a message and the verdict `not-run`.

mod deployment;

use crocustiller::{net::read_request_body, runtime};
use deployment::{prompt, Deployment, DeploymentOptions, MAX_BODY_BYTES};
use futures_lite::io::Cursor;
use http_types::{Body, Method, Request, Url};

#[test]
fn invalid_requests_are_rejected() {
    runtime::run_until(async {
        let deployment = Deployment::start(DeploymentOptions::default()).await;
        for (name, request, status) in invalid_requests() {
            let response = deployment.send_raw(&request).await;
            check_rejected(name, &response, status);
        }
        assert_eq!(deployment.n_engine_requests(), 0, "no request reached an engine");
        let response = deployment.chat(&prompt("after all that"), &[]).await;
        assert_eq!(response.status, 200, "{}", response.body);
    });
}

/// A connection that closes early leaves a body shorter than its framing says.
#[test]
fn truncated_request_never_runs() {
    runtime::run_until(async {
        let deployment = Deployment::start(DeploymentOptions::default()).await;
        let body = prompt("short");
        let head = head("POST", "/v1/chat/completions", "token-a", &[]);
        let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len() + 10);
        check_truncated(&deployment, text.as_bytes()).await;
        let chunk =
            format!("{head}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n", body.len());
        check_truncated(&deployment, chunk.as_bytes()).await;
        assert_eq!(deployment.n_engine_requests(), 0);
    });
}

/// A body that ends before `Content-Length` must not be passed on as complete.
#[test]
fn truncated_body_is_an_error() {
    runtime::run_until(async {
        for (n_sent, n_announced, is_complete) in [(10, 10, true), (9, 10, false), (0, 1, false)] {
            let url = Url::parse("http://127.0.0.1/").unwrap();
            let mut request = Request::new(Method::Post, url);
            let bytes = Cursor::new(vec![b'x'; n_sent]);
            request.set_body(Body::from_reader(bytes, Some(n_announced)));
            let res = read_request_body(&mut request, 100).await;
            assert_eq!(res.is_ok(), is_complete, "{n_sent} of {n_announced}: {res:?}");
        }
    });
}

/// Returns the name, the bytes and the expected status of each invalid request.
///
/// Each request has `Connection: close` or is malformed, so that the host closes the connection.
fn invalid_requests() -> Vec<(&'static str, Vec<u8>, u16)> {
    let chat = "/v1/chat/completions";
    let ok = prompt("never run");
    let other_pool = ok.replace("\"chat\"", "\"unknown\"");
    let long = "x".repeat(MAX_BODY_BYTES + 1);
    let long_header = "y".repeat(10_000);
    let length_header = |extra: &str| format!("Content-Length: {}\r\n{extra}", ok.len());
    let with_framing = |framing: &str, body: &str| {
        let head = head("POST", chat, "token-a", &[]);
        format!("{head}{framing}\r\n{body}").into_bytes()
    };
    let request_bytes = |method: &str, path: &str, token: &str, extra: &[&str], body: &str| {
        let head = head(method, path, token, extra);
        format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    };
    let get = |path: &str| request_bytes("GET", path, "token-a", &[], "");
    let with_header = |extra: &str| request_bytes("POST", chat, "token-a", &[extra], &ok);
    let post = |body: &str| request_bytes("POST", chat, "token-a", &[], body);
    let mut bad_utf8_body = request_bytes("POST", chat, "token-a", &[], &"z".repeat(4));
    let len = bad_utf8_body.len();
    bad_utf8_body[len - 4..].copy_from_slice(&[0xff, 0xfe, 0x80, 0xc0]);
    let mut bad_utf8_head = with_header("X-Request-Id: abcd");
    let idx = bad_utf8_head.windows(4).position(|it| it == b"abcd").unwrap();
    bad_utf8_head[idx] = 0xff;
    vec![
        ("two equal content lengths", with_framing(&length_header(&length_header("")), &ok), 400),
        (
            "two different content lengths",
            with_framing(&length_header("Content-Length: 5\r\n"), &ok),
            400,
        ),
        (
            "content length and chunked",
            with_framing(&length_header("Transfer-Encoding: chunked\r\n"), &ok),
            400,
        ),
        (
            "unknown transfer coding",
            with_framing("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"),
            400,
        ),
        (
            "two transfer codings",
            with_framing("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", ""),
            400,
        ),
        ("negative length", with_framing("Content-Length: -1\r\n", ""), 400),
        ("length not a number", with_framing("Content-Length: ten\r\n", ""), 400),
        ("no request line", b"hello\r\n\r\n".to_vec(), 400),
        ("no host", b"POST / HTTP/1.1\r\n\r\n".to_vec(), 400),
        ("other protocol", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(), 400),
        ("head not UTF-8", bad_utf8_head, 400),
        ("head too long", with_header(&format!("X-Long: {long_header}")), 431),
        ("head without line ends", vec![b'x'; 100_000], 431),
        ("body too long", post(&long), 413),
        ("body not UTF-8", bad_utf8_body, 400),
        ("body not JSON", post("{"), 400),
        ("no model", post("{}"), 400),
        ("no body", post(""), 400),
        ("no token", request_bytes("POST", chat, "", &[], &ok), 401),
        ("wrong token", request_bytes("POST", chat, "token-x", &[], &ok), 401),
        ("unknown pool", post(&other_pool), 404),
        ("customer of another pool", request_bytes("POST", chat, "token-d", &[], &ok), 403),
        ("unknown path", get("/v2/other"), 404),
        ("wrong method", get(chat), 405),
        ("no service name", get("/v1/services/"), 404),
        ("unknown service", get("/v1/services/other/x"), 404),
        (
            "no idempotency key",
            request_bytes("POST", "/v1/services/ledger/x", "token-a", &[], "x"),
            400,
        ),
        ("invalid idempotency key", with_header("Idempotency-Key: two words"), 400),
        ("invalid deadline", with_header("X-Deadline-Ms: soon"), 400),
        ("invalid request id", with_header("X-Request-Id: two words"), 400),
    ]
}

fn head(method: &str, path: &str, token: &str, extra: &[&str]) -> String {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n");
    if !token.is_empty() {
        head += &format!("Authorization: Bearer {token}\r\n");
    }
    for line in extra {
        head += &format!("{line}\r\n");
    }
    head
}

fn check_rejected(name: &str, response: &str, expected: u16) {
    let status = response.split(' ').nth(1).and_then(|it| it.parse().ok());
    assert_eq!(status, Some(expected), "{name}: {response}");
    let response = response.to_ascii_lowercase();
    assert!(response.contains("x-verdict: not-run"), "{name}: {response}");
    let body = response.split("\r\n\r\n").nth(1).unwrap_or_default();
    let json: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    let message = json["error"]["message"].as_str().unwrap_or_default();
    assert!(message.len() > 20, "{name}: the message is too short to say what to do: {response}");
    assert_eq!(json["error"]["verdict"], "not-run", "{name}");
}

async fn check_truncated(deployment: &Deployment, request: &[u8]) {
    use futures_lite::{AsyncReadExt, AsyncWriteExt};
    let address = deployment.entry_hosts[0].server.address();
    let mut stream = async_net::TcpStream::connect(address).await.unwrap();
    stream.write_all(request).await.unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    let response = String::from_utf8_lossy(&response);
    assert!(!response.contains("200 OK"), "{response}");
}
