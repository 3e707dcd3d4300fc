//! Which entry host to use, and graceful shutdown of entry hosts without a cut request.

mod deployment;

use std::time::Duration;

use crocustiller::{
    membership::{announce_leaving, HostState},
    net::HttpClient,
    runtime,
    verdict::Verdict,
};
use crocustiller_standins::EngineBehaviour;
use deployment::{prompt, streamed_prompt, Deployment, Plan};
use futures_util::future::{join, join_all};
use http_types::{Method, Request, Url};

#[test]
fn leaving_entry_host_is_left_out_at_once() {
    runtime::run_until(async {
        let deployment = start().await;
        let (before, max_age) = entry_hosts(&deployment, 0).await;
        assert_eq!((before.len(), max_age.as_str()), (3, "max-age=1"));
        let leaving = &deployment.entry_hosts[2];
        announce_leaving(&leaving.node).await;
        for asked in 0..3 {
            let (after, _) = entry_hosts(&deployment, asked).await;
            assert_eq!(after.len(), 2, "asked {asked}");
            assert!(!after.contains(&leaving.server.address().to_string()));
        }
    });
}

#[test]
fn leaving_entry_host_serves_for_max_age_then_names_others() {
    runtime::run_until(async {
        let deployment = start().await;
        announce_leaving(&deployment.entry_hosts[0].node).await;
        let answer = deployment.chat(&prompt("kept address"), &[]).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        runtime::sleep(Duration::from_millis(1500)).await;
        let answer = deployment.chat(&prompt("too late"), &[]).await;
        assert_eq!((answer.status, answer.verdict), (503, Some(Verdict::NotRun)));
        let json: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
        let others = json["error"]["entry_hosts"].as_array().unwrap().len();
        assert_eq!(others, 2, "{}", answer.body);
    });
}

/// All entry hosts leave one by one under load; callers go by the lists that they are given.
#[test]
fn no_request_is_cut_while_entry_hosts_leave() {
    runtime::run_until(async {
        let deployment = start().await;
        let slow = EngineBehaviour { first_token_ms: 50, token_ms: 20, ..Default::default() };
        deployment.engines.iter().for_each(|it| it.set_behaviour(slow.clone()));
        let callers = join_all((0..20).map(|idx| call_for_a_while(&deployment, idx)));
        let leave = async {
            for host in &deployment.entry_hosts[..2] {
                runtime::sleep(Duration::from_millis(300)).await;
                announce_leaving(&host.node).await;
                runtime::sleep(Duration::from_millis(1200)).await;
                let idle = host.server.wait_until_idle(Duration::from_secs(20)).await;
                assert!(idle.is_ok(), "requests in progress come to their end");
            }
        };
        let (n_answered, ()) = join(callers, leave).await;
        assert!(n_answered.iter().all(|it| *it > 10), "{n_answered:?}");
        let live = deployment.entry_hosts[2].node.membership.own().state;
        assert_eq!(live, HostState::Live);
    });
}

/// Sends streams for some seconds; a refusal names other hosts, anything else must be whole.
async fn call_for_a_while(deployment: &Deployment, caller: usize) -> usize {
    let mut entry = caller % 3;
    let mut n_answered = 0;
    for round in 0..25 {
        let body = streamed_prompt(&format!("{caller} {round}"), 5);
        let answer = deployment.chat_at(entry, deployment::TOKEN, &body, &[]).await;
        if answer.verdict == Some(Verdict::NotRun) {
            let json: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
            let next = json["error"]["entry_hosts"][0].as_str().expect("another host").to_owned();
            let is_next = |it: &deployment::Host| it.server.address().to_string() == next;
            entry = deployment.entry_hosts.iter().position(is_next).unwrap();
            continue;
        }
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert!(answer.body.ends_with("data: [DONE]\n\n"), "{}", answer.body);
        n_answered += 1;
    }
    n_answered
}

async fn start() -> Deployment {
    let plan = Plan { n_entry_hosts: 3, concurrency: 32, ..Plan::default() };
    Deployment::start(plan).await
}

async fn entry_hosts(deployment: &Deployment, asked: usize) -> (Vec<String>, String) {
    let address = deployment.entry_hosts[asked].server.address();
    let url = Url::parse(&format!("http://{address}/v1/entry-hosts")).unwrap();
    let request = Request::new(Method::Get, url);
    let limit = Duration::from_secs(10);
    let (response, body) = HttpClient::new().fetch(address, request, limit, 65536).await.unwrap();
    let json: serde_json::Value = serde_json::from_slice(&body).unwrap();
    let hosts = json["entry_hosts"].as_array().unwrap();
    let hosts = hosts.iter().map(|it| it.as_str().unwrap().to_owned()).collect();
    (hosts, response.header("Cache-Control").unwrap().as_str().to_owned())
}
