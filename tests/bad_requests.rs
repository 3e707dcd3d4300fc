//! Malformed and forbidden requests get a status, a text and the verdict `not-run`.

mod deployment;

use crocustiller::runtime;
use deployment::{prompt, Deployment, Plan, MAX_BODY_BYTES};

#[test]
fn bad_input_is_refused() {
    runtime::run_until(async {
        let deployment = Deployment::start(Plan::default()).await;
        for (name, request, status) in table() {
            let answer = deployment.send_raw(&request).await;
            check(name, &answer, status);
        }
        assert_eq!(deployment.n_engine_requests(), 0, "nothing reached an engine");
        let answer = deployment.chat(&prompt("after all that"), &[]).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    });
}

#[test]
fn short_request_never_runs() {
    runtime::run_until(async {
        let deployment = Deployment::start(Plan::default()).await;
        let body = prompt("short");
        let head = head("POST", "/v1/chat/completions", "token-a", &[]);
        let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len() + 10);
        check_cut(&deployment, text.as_bytes()).await;
        let chunk =
            format!("{head}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n", body.len());
        check_cut(&deployment, chunk.as_bytes()).await;
        assert_eq!(deployment.n_engine_requests(), 0);
    });
}

/// Name, bytes and expected status of each bad request; every one ends its connection.
fn table() -> Vec<(&'static str, Vec<u8>, u16)> {
    let chat = "/v1/chat/completions";
    let ok = prompt("never run");
    let other_pool = ok.replace("\"chat\"", "\"unknown\"");
    let long = "x".repeat(MAX_BODY_BYTES + 1);
    let long_header = "y".repeat(10_000);
    let line = |extra: &str| format!("Content-Length: {}\r\n{extra}", ok.len());
    let raw = |framing: &str, body: &str| {
        let head = head("POST", chat, "token-a", &[]);
        format!("{head}{framing}\r\n{body}").into_bytes()
    };
    let sent = |method: &str, path: &str, token: &str, extra: &[&str], body: &str| {
        let head = head(method, path, token, extra);
        format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    };
    let get = |path: &str| sent("GET", path, "token-a", &[], "");
    let with = |extra: &str| sent("POST", chat, "token-a", &[extra], &ok);
    let post = |body: &str| sent("POST", chat, "token-a", &[], body);
    let mut bad_utf8_body = sent("POST", chat, "token-a", &[], &"z".repeat(4));
    let n = bad_utf8_body.len();
    bad_utf8_body[n - 4..].copy_from_slice(&[0xff, 0xfe, 0x80, 0xc0]);
    let mut bad_utf8_head = with("X-Request-Id: abcd");
    let at = bad_utf8_head.windows(4).position(|it| it == b"abcd").unwrap();
    bad_utf8_head[at] = 0xff;
    vec![
        ("two equal lengths", raw(&line(&line("")), &ok), 400),
        ("two lengths", raw(&line("Content-Length: 5\r\n"), &ok), 400),
        ("length and chunked", raw(&line("Transfer-Encoding: chunked\r\n"), &ok), 400),
        ("unknown coding", raw("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 400),
        (
            "two codings",
            raw("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", ""),
            400,
        ),
        ("negative length", raw("Content-Length: -1\r\n", ""), 400),
        ("length is no number", raw("Content-Length: ten\r\n", ""), 400),
        ("no head at all", b"hello\r\n\r\n".to_vec(), 400),
        ("no host", b"POST / HTTP/1.1\r\n\r\n".to_vec(), 400),
        ("other protocol", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(), 400),
        ("head not UTF-8", bad_utf8_head, 400),
        ("head too long", with(&format!("X-Long: {long_header}")), 431),
        ("head without line ends", vec![b'x'; 100_000], 431),
        ("body too long", post(&long), 413),
        ("body not UTF-8", bad_utf8_body, 400),
        ("body no JSON", post("{"), 400),
        ("no model", post("{}"), 400),
        ("no body", post(""), 400),
        ("no token", sent("POST", chat, "", &[], &ok), 401),
        ("wrong token", sent("POST", chat, "token-x", &[], &ok), 401),
        ("unknown pool", post(&other_pool), 404),
        ("customer of another pool", sent("POST", chat, "token-d", &[], &ok), 403),
        ("unknown path", get("/v2/other"), 404),
        ("wrong method", get(chat), 405),
        ("no service", get("/v1/services/"), 404),
        ("unknown service", get("/v1/services/other/x"), 404),
        ("no key", sent("POST", "/v1/services/ledger/x", "token-a", &[], "x"), 400),
        ("bad key", with("Idempotency-Key: two words"), 400),
        ("bad deadline", with("X-Deadline-Ms: soon"), 400),
        ("bad request id", with("X-Request-Id: two words"), 400),
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

fn check(name: &str, answer: &str, expected: u16) {
    let status = answer.split(' ').nth(1).and_then(|it| it.parse().ok());
    assert_eq!(status, Some(expected), "{name}: {answer}");
    let answer = answer.to_ascii_lowercase();
    assert!(answer.contains("x-verdict: not-run"), "{name}: {answer}");
    let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
    let json: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    let message = json["error"]["message"].as_str().unwrap_or_default();
    assert!(message.len() > 20, "{name}: the text says what to do: {answer}");
    assert_eq!(json["error"]["verdict"], "not-run", "{name}");
}

async fn check_cut(deployment: &Deployment, request: &[u8]) {
    use futures_lite::{AsyncReadExt, AsyncWriteExt};
    let address = deployment.entry_hosts[0].server.address();
    let mut stream = async_net::TcpStream::connect(address).await.unwrap();
    stream.write_all(request).await.unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer);
    assert!(!answer.contains("200 OK"), "{answer}");
}
