//! The end of an entry host whose requests take longer than its drain timeout.

mod daemon_process;
mod deployment;
mod entry_process;

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use crocustiller::{runtime, verdict::Verdict};
use crocustiller_standins::ServiceBehaviour;
use daemon_process::DaemonProcess;
use deployment::{CallerResponse, Deployment, DeploymentOptions, TOKEN};
use entry_process::read_response;

/// The process exits 2.5 s after the signal, and a request may take up to 60 s.
const LIMITS: &str = "entry_hosts_max_age_s = 1\ndrain_timeout_ms = 500";
const PATH: &str = "/v1/services/ledger/reservations";
/// Time after which the service responds, long after the exit.
const RESPONSE_TIME: Duration = Duration::from_secs(10);

/// Guards against an exit that closes the connection of a request without an answer.
#[test]
fn request_is_answered_at_the_drain_timeout() {
    runtime::run_until(async {
        let deployment = start().await;
        let mut entry = start_entry(&deployment);
        let running = runtime::spawn(reserve(entry.request, "running"));
        runtime::sleep(Duration::from_millis(500)).await;
        entry.signal("TERM");
        let response = running.await;
        assert_eq!((response.status, response.verdict), (504, Some(Verdict::MayHaveRun)));
        assert!(entry.wait_for_success());
    });
}

/// Guards against passing on a request to a leaving host that may take longer than the process lives.
#[test]
fn late_request_is_refused_before_it_runs() {
    runtime::run_until(async {
        let deployment = start().await;
        let mut entry = start_entry(&deployment);
        entry.signal("TERM");
        runtime::sleep(Duration::from_millis(300)).await;
        let response = reserve(entry.request, "late").await;
        assert_eq!((response.status, response.verdict), (503, Some(Verdict::NotRun)));
        assert!(response.body.contains("entry_hosts"), "{}", response.body);
        assert_eq!(deployment.n_runs("late"), 0);
        assert!(entry.wait_for_success());
    });
}

/// Guards against an exit without an answer to a request whose body is still arriving.
#[test]
fn unread_request_is_refused_at_the_drain_timeout() {
    runtime::run_until(async {
        let deployment = start().await;
        let mut entry = start_entry(&deployment);
        let mut caller = TcpStream::connect(entry.request).unwrap();
        let head = format!(
            "POST {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n\
             Idempotency-Key: unread\r\nContent-Length: 9\r\n\r\n{{"
        );
        caller.write_all(head.as_bytes()).unwrap();
        entry.signal("TERM");
        let response = read_response(&mut caller);
        assert_eq!(response.status(), 503, "{}", response.text());
        assert!(response.text().to_lowercase().contains("x-verdict: not-run"));
        assert_eq!(deployment.n_runs("unread"), 0);
        assert!(entry.wait_for_success());
    });
}

async fn start() -> Deployment {
    let deployment = Deployment::start(DeploymentOptions::default()).await;
    let answer_delay_ms = RESPONSE_TIME.as_millis() as u64;
    let slow = ServiceBehaviour { answer_delay_ms, ..Default::default() };
    deployment.services.iter().for_each(|it| it.set_behaviour(slow.clone()));
    deployment
}

fn start_entry(deployment: &Deployment) -> DaemonProcess {
    let platform = deployment.platform_proxy.address();
    let peer = deployment.entry_hosts[0].node.membership.own().peer_address;
    let entry = DaemonProcess::start_entry(platform, Some(peer), LIMITS);
    entry.wait_until_ready();
    // The records of the slots arrive by gossip.
    thread::sleep(Duration::from_millis(500));
    entry
}

async fn reserve(address: SocketAddr, key: &'static str) -> CallerResponse {
    CallerResponse::of_post(address, TOKEN, PATH, "{}", &[("Idempotency-Key", key)]).await
}
