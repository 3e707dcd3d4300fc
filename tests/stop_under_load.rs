//! A planned stop of an entry host while callers go on sending on connections that they have kept.

mod entry_process;

use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step};
use entry_process::{
    complete_response, event_chunk, read_response, request, stream_head, CallerResponse, Deployment,
};

/// The grace period in the settings of the test deployment, 4 s.
const GRACE_PERIOD: Duration = Duration::from_secs(4);
/// Time within which a request is refused if it can't be accepted.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Time before the end of the process in which a request may cross the close of its connection.
const CROSSING_TIME: Duration = Duration::from_millis(150);

/// What became of one request that a caller sent completely.
#[derive(Debug)]
struct SentRequest {
    id: String,
    sent: Instant,
    answered: Instant,
    response: Option<CallerResponse>,
}

impl SentRequest {
    fn status(&self) -> u16 {
        self.response.as_ref().map_or(0, |it| it.status())
    }

    fn is_refused(&self) -> bool {
        let text = self.response.as_ref().map(|it| it.text()).unwrap_or_default();
        self.status() == 503 && text.contains("X-Verdict: not-run")
    }
}

/// Guards against cutting a stream that was accepted after the stop signal: it was accepted with
/// 0.8 of its time left until the exit, and took longer.
#[test]
fn late_streams_are_not_cut() {
    let engines = [long_stream_server(), long_stream_server()];
    let mut deployment = Deployment::start("pool", &[&engines[0], &engines[1]]);
    let callers: Vec<TcpStream> = (0..18).map(|_| deployment.entry.connect()).collect();
    deployment.entry.terminate();
    let stopped = Instant::now();
    let send = |(idx, caller): (usize, TcpStream)| {
        let at = stopped + Duration::from_millis(150) * idx as u32;
        let id = format!("late-{idx}");
        let draft = request("POST", "/draft/1", &id, "X-Model: lots\r\nX-Token-Counts: 9,9\r\n");
        thread::spawn(move || send_at(caller, at, id, &draft))
    };
    let threads: Vec<_> = callers.into_iter().enumerate().map(send).collect();
    let ended = wait_for_exit(&mut deployment, stopped);
    let sent: Vec<SentRequest> = threads.into_iter().map(|it| it.join().unwrap()).collect();
    check(&sent, ended, &engines);
    assert!(sent[..5].iter().all(|it| it.status() == 200), "{:?}", sent[..5].iter());
}

/// Guards against dropping requests on kept connections that a leaving host closed as idle.
#[test]
fn idle_connections_are_served_until_the_exit() {
    let ledger = ScriptedServer::start(complete_response("x")).unwrap();
    let mut deployment = Deployment::start("ledger", &[&ledger]);
    let mut callers: Vec<TcpStream> = (0..70).map(|_| deployment.entry.connect()).collect();
    for (idx, caller) in callers.iter_mut().enumerate() {
        caller.write_all(&request("GET", "/stock/1", &format!("first-{idx}"), "")).unwrap();
        assert_eq!(read_response(caller).status(), 200);
    }
    deployment.entry.terminate();
    let stopped = Instant::now();
    let send = |(idx, caller): (usize, TcpStream)| {
        let at = stopped + Duration::from_millis(50) * idx as u32;
        let id = format!("kept-{idx}");
        let hold = request("POST", "/hold/1", &id, "");
        thread::spawn(move || send_at(caller, at, id, &hold))
    };
    let threads: Vec<_> = callers.into_iter().enumerate().map(send).collect();
    let ended = wait_for_exit(&mut deployment, stopped);
    let sent: Vec<SentRequest> = threads.into_iter().map(|it| it.join().unwrap()).collect();
    check(&sent, ended, &[ledger]);
}

/// Checks that no accepted request was cut, that none that was refused or not answered has run, and
/// that all were answered at once that did not cross the end of the process.
fn check(sent: &[SentRequest], ended: Instant, servers: &[ScriptedServer]) {
    let received: Vec<RawRequest> = servers.iter().flat_map(|it| it.requests()).collect();
    let has_run = |id: &str| received.iter().any(|it| it.header("x-request-id") == Some(id));
    for it in sent {
        let response = it.response.as_ref();
        if it.status() == 200 {
            assert!(response.unwrap().is_complete(), "an accepted request was cut: {it:?}");
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

/// Waits until `at`, sends a request, unless the host has closed the connection, and reads the
/// response.
fn send_at(mut caller: TcpStream, at: Instant, id: String, bytes: &[u8]) -> SentRequest {
    thread::sleep(at.saturating_duration_since(Instant::now()));
    // A host that has closed the connection is noticed when the response is read.
    drop(caller.write_all(bytes));
    let sent = Instant::now();
    let response = read_response(&mut caller);
    let answered = Instant::now();
    let response = (!response.bytes.is_empty()).then_some(response);
    SentRequest { id, sent, answered, response }
}

/// Starts an engine whose streams take 2.3 s, of the 2.5 s that their route allows.
fn long_stream_server() -> ScriptedServer {
    let script = |request: &RawRequest| {
        let mut steps = vec![Step::Send(stream_head(request))];
        for number in 1..=23 {
            steps.push(Step::Send(event_chunk(number)));
            steps.push(Step::Pause(Duration::from_millis(100)));
        }
        steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
        steps
    };
    ScriptedServer::start(script).unwrap()
}

/// Waits for the end of the process and returns its time.
fn wait_for_exit(deployment: &mut Deployment, stopped: Instant) -> Instant {
    while !deployment.entry.has_exited() {
        assert!(stopped.elapsed() < GRACE_PERIOD, "the process runs longer than its grace period");
        thread::sleep(Duration::from_millis(5));
    }
    Instant::now()
}
