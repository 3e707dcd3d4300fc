//! Ways to leave other than the stop of an entry host: none ends a request that was accepted.

mod entry_process;

use std::{
    io::Write,
    net::TcpStream,
    thread::{self, JoinHandle},
    time::Duration,
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step};
use entry_process::{
    event_chunk, read_response, request, server_entry, stream_head, CallerResponse, Deployment,
};

/// Guards against a SIGHUP that ends streams or closes kept connections.
#[test]
fn hang_up_closes_nothing() {
    let engine = stream_server();
    let deployment = Deployment::start("pool", &[&engine]);
    let idle = deployment.entry.connect();
    let running = start_stream(deployment.entry.connect(), "running");
    thread::sleep(Duration::from_millis(300));
    deployment.entry.hang_up();
    let kept = start_stream(idle, "kept");
    assert_eq!(deployment.entry.readiness_status(), 200);
    for response in [running, kept].map(|it| it.join().unwrap()) {
        assert!(response.is_complete() && response.status() == 200, "{}", response.text());
        assert!(!response.text().contains("Connection: close"), "{}", response.text());
    }
}

/// Guards against cutting a stream, or beginning it again, when its engine drains or its entry goes.
#[test]
fn stream_outlives_the_entry_of_its_engine() {
    let engine = stream_server();
    let deployment = Deployment::start("pool", &[&engine]);
    let running = start_stream(deployment.entry.connect(), "running");
    thread::sleep(Duration::from_millis(300));
    let draining = server_entry("pool", engine.address(), "draining");
    deployment.store.put("servers", "pool-0", draining);
    thread::sleep(Duration::from_millis(300));
    deployment.store.remove("servers", "pool-0");
    let response = running.join().unwrap();
    assert!(response.is_complete() && response.status() == 200, "{}", response.text());
    assert_eq!(engine.requests().len(), 1);
    let late = start_stream(deployment.entry.connect(), "late").join().unwrap();
    assert_eq!((late.status(), engine.requests().len()), (503, 1), "{}", late.text());
}

/// Starts an engine whose streams take 1.5 s.
fn stream_server() -> ScriptedServer {
    let script = |request: &RawRequest| {
        let mut steps = vec![Step::Send(stream_head(request))];
        for number in 1..=15 {
            steps.push(Step::Send(event_chunk(number)));
            steps.push(Step::Pause(Duration::from_millis(100)));
        }
        steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
        steps
    };
    ScriptedServer::start(script).unwrap()
}

fn start_stream(mut caller: TcpStream, id: &str) -> JoinHandle<CallerResponse> {
    let draft = request("POST", "/draft/1", id, "X-Model: lots\r\nX-Token-Counts: 9,9\r\n");
    caller.write_all(&draft).unwrap();
    thread::spawn(move || read_response(&mut caller))
}
