//! The list of entry hosts for callers, and the graceful shutdown of entry hosts.

mod deployment;

use std::time::Duration;

use crocustiller::{
    membership::{announce_leaving, HostState},
    net::HttpClient,
    runtime,
    verdict::Verdict,
};
use crocustiller_standins::EngineBehaviour;
use deployment::{prompt, streamed_prompt, Deployment, DeploymentOptions};
use futures_util::future::{join, join_all};
use http_types::{Method, Request, Url};

/// A caller that gets the address of a leaving entry host would lose its connection soon.
#[test]
fn leaving_entry_host_unlisted() {
    runtime::run_until(async {
        let deployment = start().await;
        let (before, max_age) = list_entry_hosts(&deployment, 0).await;
        assert_eq!((before.len(), max_age.as_str()), (3, "max-age=1"));
        let leaving = &deployment.entry_hosts[2];
        announce_leaving(&leaving.node).await;
        for queried_idx in 0..3 {
            let (after, _) = list_entry_hosts(&deployment, queried_idx).await;
            assert_eq!(after.len(), 2, "queried {queried_idx}");
            assert!(!after.contains(&leaving.server.address().to_string()));
        }
    });
}

/// Callers may use a cached address for `max-age` (1 s here); the host then refuses their requests
/// and lists the other entry hosts.
#[test]
fn leaving_entry_host_still_serves() {
    runtime::run_until(async {
        let deployment = start().await;
        announce_leaving(&deployment.entry_hosts[0].node).await;
        let response = deployment.chat(&prompt("kept address"), &[]).await;
        assert_eq!(response.status, 200, "{}", response.body);
        runtime::sleep(Duration::from_millis(1500)).await;
        let response = deployment.chat(&prompt("too late"), &[]).await;
        assert_eq!((response.status, response.verdict), (503, Some(Verdict::NotRun)));
        let json: serde_json::Value = serde_json::from_str(&response.body).unwrap();
        let n_others = json["error"]["entry_hosts"].as_array().unwrap().len();
        assert_eq!(n_others, 2, "{}", response.body);
    });
}

/// Two of three entry hosts leave one by one under load. Callers that get the verdict `not-run` use
/// the entry hosts that the error lists.
#[test]
fn no_request_interrupted_by_leaving() {
    runtime::run_until(async {
        let deployment = start().await;
        let slow = EngineBehaviour { first_token_ms: 50, token_ms: 20, ..Default::default() };
        deployment.engines.iter().for_each(|it| it.set_behaviour(slow.clone()));
        let callers = join_all((0..20).map(|idx| send_streams(&deployment, idx)));
        let leave = async {
            for host in &deployment.entry_hosts[..2] {
                runtime::sleep(Duration::from_millis(300)).await;
                announce_leaving(&host.node).await;
                runtime::sleep(Duration::from_millis(1200)).await;
                let idle = host.server.wait_until_idle(Duration::from_secs(20)).await;
                assert!(idle.is_ok(), "requests in progress finish within 20 s");
            }
        };
        let (n_answered, ()) = join(callers, leave).await;
        assert!(n_answered.iter().all(|it| *it > 10), "{n_answered:?}");
        let state = deployment.entry_hosts[2].node.membership.own().state;
        assert_eq!(state, HostState::Live);
    });
}

/// Sends 25 requests in sequence and returns how many got a complete stream.
///
/// A refusal must list other entry hosts, of which the first is used next.
async fn send_streams(deployment: &Deployment, caller_idx: usize) -> usize {
    let mut entry_idx = caller_idx % 3;
    let mut n_answered = 0;
    for round in 0..25 {
        let body = streamed_prompt(&format!("{caller_idx} {round}"), 5);
        let response = deployment.chat_at(entry_idx, deployment::TOKEN, &body, &[]).await;
        if response.verdict == Some(Verdict::NotRun) {
            let json: serde_json::Value = serde_json::from_str(&response.body).unwrap();
            let next = json["error"]["entry_hosts"][0]
                .as_str()
                .expect("the refusal lists another entry host")
                .to_owned();
            let is_next = |it: &deployment::Host| it.server.address().to_string() == next;
            entry_idx = deployment.entry_hosts.iter().position(is_next).unwrap();
            continue;
        }
        assert_eq!(response.status, 200, "{}", response.body);
        assert!(response.body.ends_with("data: [DONE]\n\n"), "{}", response.body);
        n_answered += 1;
    }
    n_answered
}

async fn start() -> Deployment {
    let options =
        DeploymentOptions { n_entry_hosts: 3, concurrency: 32, ..DeploymentOptions::default() };
    Deployment::start(options).await
}

/// Returns the entry hosts that a host lists, and the `Cache-Control` header of the response.
async fn list_entry_hosts(deployment: &Deployment, queried_idx: usize) -> (Vec<String>, String) {
    let address = deployment.entry_hosts[queried_idx].server.address();
    let url = Url::parse(&format!("http://{address}/v1/entry-hosts")).unwrap();
    let request = Request::new(Method::Get, url);
    let timeout = Duration::from_secs(10);
    let (head, body) = HttpClient::new().fetch(address, request, timeout, 65536).await.unwrap();
    let json: serde_json::Value = serde_json::from_slice(&body).unwrap();
    let hosts = json["entry_hosts"].as_array().unwrap();
    let hosts = hosts.iter().map(|it| it.as_str().unwrap().to_owned()).collect();
    (hosts, head.header("Cache-Control").unwrap().as_str().to_owned())
}
