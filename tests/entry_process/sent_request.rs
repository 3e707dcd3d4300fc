//! Requests that callers send around the planned stop of an entry host, and what became of them.

use std::{
    io::{ErrorKind, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer};

use super::{read_response, CallerResponse, EntryProcess};

/// The timeout of all routes of the charter.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time within which a request is refused if it can't be accepted.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Time before the end of the process in which a request may cross the close of its connection.
const CROSSING_TIME: Duration = Duration::from_millis(150);

/// What became of one request that a caller sent completely.
#[derive(Debug)]
pub struct SentRequest {
    /// Its id.
    pub id: String,
    /// When its last byte was sent.
    pub sent: Instant,
    /// When the response was complete or the connection ended.
    pub answered: Instant,
    /// The response; `None` if there were no bytes of one.
    pub response: Option<CallerResponse>,
}

impl SentRequest {
    /// Returns the status code; 0 if there is no response.
    pub fn status(&self) -> u16 {
        self.response.as_ref().map_or(0, |it| it.status())
    }

    /// Returns `true` if it was refused as not run.
    pub fn is_refused(&self) -> bool {
        let text = self.response.as_ref().map(|it| it.text()).unwrap_or_default();
        self.status() == 503 && text.contains("X-Verdict: not-run")
    }
}

/// Checks that no accepted request was cut, that none that was refused or not answered has run, and
/// that all were answered at once that did not cross the end of the process.
pub fn check(sent: &[SentRequest], ended: Instant, servers: &[ScriptedServer]) {
    let received: Vec<RawRequest> = servers.iter().flat_map(|it| it.requests()).collect();
    let has_run = |id: &str| received.iter().any(|it| it.header("x-request-id") == Some(id));
    for it in sent {
        let response = it.response.as_ref();
        if it.status() == 200 {
            // On a busy machine a stream may take more than its route allows, which ends it.
            let took = it.answered.duration_since(it.sent);
            let is_ended = response.unwrap().is_complete() || took >= ROUTE_TIMEOUT;
            assert!(is_ended, "an accepted request was cut after {took:?}: {it:?}");
            continue;
        }
        assert!(!has_run(&it.id), "a request that was not answered has run: {it:?}");
        if it.is_refused() {
            let took = it.answered.duration_since(it.sent);
            assert!(took < REFUSAL_TIME, "refused after {took:?}: {it:?}");
            assert!(response.unwrap().text().contains("Connection: close"), "{it:?}");
            continue;
        }
        let before_end = ended.saturating_duration_since(it.sent);
        assert!(
            before_end < CROSSING_TIME,
            "no answer, sent {before_end:?} before the end: {it:?}"
        );
    }
}

/// Waits until `at`, sends the pieces of a request with pauses of 50 ms, unless the host answers
/// before the last one, and reads the response.
pub fn send_at(mut caller: TcpStream, at: Instant, id: String, pieces: &[Vec<u8>]) -> SentRequest {
    thread::sleep(at.saturating_duration_since(Instant::now()));
    for (idx, piece) in pieces.iter().enumerate() {
        if idx > 0 {
            thread::sleep(Duration::from_millis(50));
        }
        if idx > 0 && has_input(&caller) {
            break;
        }
        // A host that has closed the connection is noticed when the response is read.
        drop(caller.write_all(piece));
    }
    let sent = Instant::now();
    let response = read_response(&mut caller);
    let answered = Instant::now();
    let response = (!response.bytes.is_empty()).then_some(response);
    SentRequest { id, sent, answered, response }
}

fn has_input(caller: &TcpStream) -> bool {
    caller.set_nonblocking(true).unwrap();
    let res = caller.peek(&mut [0]);
    caller.set_nonblocking(false).unwrap();
    !matches!(res, Err(err) if err.kind() == ErrorKind::WouldBlock)
}

/// Waits for the end of the process and returns its time; fails after `latest`, the end of the grace period.
pub fn wait_for_exit(entry: &mut EntryProcess, latest: Instant) -> Instant {
    while !entry.has_exited() {
        assert!(Instant::now() < latest, "the process runs longer than its grace period");
        thread::sleep(Duration::from_millis(5));
    }
    Instant::now()
}
