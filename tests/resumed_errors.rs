//! Errors of the engine that is to continue a stream after another engine broke it off.

mod entry_process;

use std::time::Duration;

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step};
use entry_process::{event_chunk, request, stream_head, CallerResponse, Deployment};

/// Text in the body and the head of each error.
const ERROR_TEXT: &str = "engine-error";
const FRAMINGS: [&str; 3] = ["length", "chunks", "close"];

/// The caller has the start of a stream, so the error of the next engine must not follow it.
#[test]
fn error_after_stream_start() {
    std::thread::scope(|scope| {
        for framing in FRAMINGS {
            scope.spawn(move || check_errors(framing));
        }
    });
}

fn check_errors(framing: &'static str) {
    for status in [204, 301, 400, 404, 408, 421, 422, 429, 500, 502, 503, 504] {
        for extra_headers in ["", "X-Not-Run: 1\r\n"] {
            let response = exchange_with_second(move |request| {
                let mut steps = vec![Step::Send(error(request, status, framing, extra_headers))];
                steps.extend((framing == "close").then_some(Step::Close));
                steps
            });
            check_stream_is_cut(&response, &format!("{status} {framing} {extra_headers}"));
        }
    }
}

/// A success that is no event stream does not follow the start of a stream either.
#[test]
fn other_body_after_stream_start() {
    for framing in FRAMINGS {
        for extra in ["Content-Type: text/plain\r\n", "Content-Type: text/event-stream-not\r\n", ""]
        {
            let response = exchange_with_second(move |request| {
                let mut steps = vec![Step::Send(error(request, 200, framing, extra))];
                steps.extend((framing == "close").then_some(Step::Close));
                steps
            });
            check_stream_is_cut(&response, &format!("{framing} {extra}"));
        }
    }
}

/// An engine that breaks off in the head or body of its error adds nothing to the stream.
#[test]
fn cut_error_after_stream_start() {
    for status in [404, 503] {
        for n_left_out in [1, 8, 30, 60] {
            let response = exchange_with_second(move |request| {
                let mut bytes = error(request, status, "length", "");
                bytes.truncate(bytes.len() - n_left_out);
                vec![Step::Send(bytes), Step::Close]
            });
            check_stream_is_cut(&response, &format!("{status} {n_left_out}"));
        }
    }
}

/// Checks that the caller has the first event, nothing of the error, and no end.
fn check_stream_is_cut(response: &CallerResponse, case: &str) {
    let text = response.text();
    assert!(response.is_closed && !response.is_complete(), "{case}: {text}");
    assert!(text.contains("token-1"), "{case}: {text}");
    assert!(!text.contains(ERROR_TEXT), "{case}: {text}");
    assert_eq!(text.matches("HTTP/1.1").count(), 1, "{case}: {text}");
    assert!(!text.contains("verdict"), "{case}: {text}");
}

/// Returns what a caller gets whose stream one engine breaks off after the first event, and the
/// next one is to continue with `second`.
fn exchange_with_second(
    second: impl Fn(&RawRequest) -> Vec<Step> + Clone + Send + Sync + 'static,
) -> CallerResponse {
    let script = move |request: &RawRequest| match request.header("last-event-id") {
        Some(_) => second(request),
        None => {
            let bytes = [stream_head(request), event_chunk(1)].concat();
            vec![Step::Send(bytes), Step::Pause(Duration::from_millis(10)), Step::Reset]
        }
    };
    let engines = [(); 2].map(|()| ScriptedServer::start(script.clone()).unwrap());
    let deployment = Deployment::start("pool", &engines.each_ref());
    let headers = "X-Model: lots\r\nX-Token-Counts: 200,260\r\n";
    let response = deployment.entry.exchange(&request("POST", "/draft/1", "resumed", headers));
    let n_resumed = engines.iter().flat_map(|it| it.requests());
    let n_resumed = n_resumed.filter(|it| it.header("last-event-id").is_some()).count();
    assert_eq!(n_resumed, 1, "the stream was sent to the second engine");
    response
}

/// Returns the bytes of an engine's response with this status.
fn error(request: &RawRequest, status: u16, framing: &str, extra_headers: &str) -> Vec<u8> {
    let id = request.header("x-request-id").unwrap();
    let head = format!(
        "HTTP/1.1 {status} x\r\nX-Request-Id: {id}\r\nX-Server-Stamp: {ERROR_TEXT}\r\n{extra_headers}"
    );
    let length = ERROR_TEXT.len();
    let rest = match framing {
        "length" => format!("Content-Length: {length}\r\n\r\n{ERROR_TEXT}"),
        "chunks" => {
            format!("Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{ERROR_TEXT}\r\n0\r\n\r\n")
        }
        _ => format!("\r\n{ERROR_TEXT}"),
    };
    (head + &rest).into_bytes()
}
