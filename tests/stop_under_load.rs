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
    charter, complete_response, event_chunk, read_response, request,
    sent_request::{check, send_at, wait_for_exit, SentRequest},
    stream_head, Deployment, API_KEY, HOST,
};

/// The grace period in the settings of the test deployment, 4 s.
const GRACE_PERIOD: Duration = Duration::from_secs(4);

/// Guards against accepting a stream after the stop signal that may last beyond the exit.
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
        thread::spawn(move || send_at(caller, at, id, &[draft]))
    };
    let threads: Vec<_> = callers.into_iter().enumerate().map(send).collect();
    let ended = wait_for_exit(&mut deployment.entry, stopped + GRACE_PERIOD);
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
        thread::spawn(move || send_at(caller, at, id, &[hold]))
    };
    let threads: Vec<_> = callers.into_iter().enumerate().map(send).collect();
    let ended = wait_for_exit(&mut deployment.entry, stopped + GRACE_PERIOD);
    let sent: Vec<SentRequest> = threads.into_iter().map(|it| it.join().unwrap()).collect();
    check(&sent, ended, &[ledger]);
}

/// Guards against an exit without an answer to a request whose body is still arriving.
#[test]
fn slow_bodies_are_refused_before_the_exit() {
    let ledger = ScriptedServer::start(complete_response("x")).unwrap();
    let mut deployment = Deployment::start("ledger", &[&ledger]);
    let callers: Vec<TcpStream> = (0..12).map(|_| deployment.entry.connect()).collect();
    deployment.entry.terminate();
    let stopped = Instant::now();
    let send = |(idx, caller): (usize, TcpStream)| {
        let at = stopped + Duration::from_millis(2700) + Duration::from_millis(50) * idx as u32;
        let id = format!("slow-{idx}");
        let mut pieces = vec![head_with_body(&id, 20)];
        pieces.extend((0..20).map(|_| b"x".to_vec()));
        thread::spawn(move || send_at(caller, at, id, &pieces))
    };
    let threads: Vec<_> = callers.into_iter().enumerate().map(send).collect();
    let ended = wait_for_exit(&mut deployment.entry, stopped + GRACE_PERIOD);
    let sent: Vec<SentRequest> = threads.into_iter().map(|it| it.join().unwrap()).collect();
    assert!(ended.duration_since(stopped) < GRACE_PERIOD);
    assert!(sent.iter().all(SentRequest::is_refused), "{sent:?}");
    assert_eq!(ledger.requests().len(), 0);
}

/// Guards against an exit that closes the connection of a request without an answer.
#[test]
fn unfinished_request_is_answered_before_the_exit() {
    let ledger = ScriptedServer::start(|_: &RawRequest| vec![Step::Pause(GRACE_PERIOD * 2)]);
    let ledger = ledger.unwrap();
    let mut deployment = Deployment::start("ledger", &[&ledger]);
    let mut charter = charter(2);
    for route in charter["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = 7000.into();
    }
    deployment.store.put("config", "main", charter);
    thread::sleep(Duration::from_millis(1500));
    let caller = deployment.entry.connect();
    let hold = String::from_utf8(request("POST", "/hold/1", "long", "")).unwrap();
    let hold = hold.replace("X-Deadline-Ms: 3000", "X-Deadline-Ms: 7000").into_bytes();
    let thread = thread::spawn(|| send_at(caller, Instant::now(), "long".into(), &[hold]));
    thread::sleep(Duration::from_millis(300));
    deployment.entry.terminate();
    wait_for_exit(&mut deployment.entry, Instant::now() + GRACE_PERIOD);
    let sent = thread.join().unwrap();
    assert_eq!(sent.status(), 504, "{sent:?}");
    assert!(sent.response.unwrap().text().contains("X-Verdict: may-have-run"));
}

fn head_with_body(id: &str, body_bytes: usize) -> Vec<u8> {
    format!(
        "POST /hold/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\
         Authorization: Bearer {API_KEY}\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
    .into_bytes()
}

/// Starts an engine whose streams take 2.2 s, of the 2.5 s that their route allows.
fn long_stream_server() -> ScriptedServer {
    let script = |request: &RawRequest| {
        let mut steps = vec![Step::Send(stream_head(request))];
        for number in 1..=11 {
            steps.push(Step::Send(event_chunk(number)));
            steps.push(Step::Pause(Duration::from_millis(200)));
        }
        steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
        steps
    };
    ScriptedServer::start(script).unwrap()
}
