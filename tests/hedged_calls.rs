//! Calls to plain services whose server is late: those that may be repeated are hedged once.

mod entry_process;

use std::time::Duration;

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step};
use entry_process::{encode_response, request, Deployment};

/// Longer than the latency objective, shorter than the callers' deadline.
const LATE: Duration = Duration::from_millis(1200);
/// Latency of other calls, which a busy machine makes little longer.
const USUAL: Duration = Duration::from_millis(50);

/// Starts two servers, of which the first is late for calls whose path ends with `late`, and sends
/// enough calls to make the usual latency known.
fn start(kind: &str) -> (Deployment, [ScriptedServer; 2]) {
    let script = |pause: Duration| {
        move |request: &RawRequest| {
            let pause = if request.target.ends_with("late") { pause } else { USUAL };
            vec![Step::Pause(pause), Step::Send(encode_response(request, 200, "done"))]
        }
    };
    let servers = [LATE, USUAL].map(|it| ScriptedServer::start(script(it)).unwrap());
    let deployment = Deployment::start("ledger", &[&servers[0], &servers[1]]);
    for number in 0..20 {
        let path = format!("/{kind}/1");
        deployment.entry.exchange(&request("GET", &path, &format!("usual-{number}"), ""));
    }
    (deployment, servers)
}

fn n_received(server: &ScriptedServer, id: &str) -> usize {
    server.requests().iter().filter(|it| it.header("x-request-id") == Some(id)).count()
}

/// Sends calls until the late server got one, and returns the id of that.
fn send_late_call(deployment: &Deployment, late: &ScriptedServer, kind: &str) -> String {
    for number in 0..40 {
        let id = format!("late-{number}");
        let path = format!("/{kind}/late");
        let response = deployment.entry.exchange(&request("GET", &path, &id, ""));
        assert_eq!(response.status(), 200, "{}", response.text());
        if n_received(late, &id) > 0 {
            return id;
        }
    }
    panic!("the late server got no call");
}

/// Guards against a repeatable call that waits for its late server alone, or is sent more than once again.
#[test]
fn repeatable_call_is_hedged() {
    let (deployment, servers) = start("stock");
    let id = send_late_call(&deployment, &servers[0], "stock");
    assert_eq!(servers.each_ref().map(|it| n_received(it, &id)), [1, 1]);
    let hedged = format!("relay: hedged request={id}");
    assert!(
        deployment.entry.logs(&hedged),
        "{}",
        std::fs::read_to_string(deployment.entry.log_path()).unwrap()
    );
}

/// Guards against running a call twice that must not be repeated.
#[test]
fn other_call_is_sent_once() {
    let (deployment, servers) = start("hold");
    let id = send_late_call(&deployment, &servers[0], "hold");
    assert_eq!(servers.each_ref().map(|it| n_received(it, &id)), [1, 0]);
}
