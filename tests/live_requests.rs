//! Chat requests from the entry host to the engine and back, with faults of engines and slots.

mod deployment;

use std::time::Duration;

use crocustiller::{runtime, verdict::Verdict};
use crocustiller_standins::{expected_answer, EngineBehaviour};
use deployment::{prompt, streamed_prompt, Deployment, DeploymentOptions};

#[test]
fn engine_response_reaches_the_caller() {
    runtime::run_until(async {
        let deployment = Deployment::start(DeploymentOptions::default()).await;
        let response = deployment.chat(&prompt("scrap"), &[("X-Request-Id", "r-1")]).await;
        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(response.verdict, Some(Verdict::Ran));
        assert_eq!(response.generated_text(), expected_answer("scrap", 4));
        let header = |name: &str| response.head.header(name).unwrap().as_str().to_owned();
        assert_eq!(header("X-Request-Id"), "r-1");
        assert_eq!(header("X-Version"), "v1");
        assert_eq!(header("X-Switch"), "1");
    });
}

#[test]
fn stream_is_complete() {
    runtime::run_until(async {
        let deployment = Deployment::start(DeploymentOptions::default()).await;
        let response = deployment.chat(&streamed_prompt("scrap", 6), &[]).await;
        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(response.body.matches("chat.completion.chunk").count(), 6);
        assert!(response.body.ends_with("data: [DONE]\n\n"));
    });
}

/// Each engine truncates, cuts or swaps one response. The caller must get the complete response to
/// its own request, or an error whose verdict is not `not-run`.
#[test]
fn wrong_answer_after_engine_fault() {
    check_fault("none", EngineBehaviour::default(), false, 200);
    check_fault("truncated", EngineBehaviour { short_answers: 1, ..no_faults() }, false, 200);
    check_fault("connection closed", EngineBehaviour { cut_answers: 1, ..no_faults() }, false, 200);
    check_fault("swapped", EngineBehaviour { cross_request_ids: 1, ..no_faults() }, false, 200);
    check_fault("truncated stream", EngineBehaviour { short_answers: 1, ..no_faults() }, true, 0);
    check_fault(
        "connection of stream closed",
        EngineBehaviour { cut_answers: 1, ..no_faults() },
        true,
        0,
    );
    check_fault(
        "swapped stream",
        EngineBehaviour { cross_request_ids: 1, ..no_faults() },
        true,
        200,
    );
}

/// An engine that continues after the caller has disconnected wastes its capacity.
#[test]
fn caller_disconnect_cancels_engine_request() {
    runtime::run_until(async {
        let deployment =
            Deployment::start(DeploymentOptions { n_engines: 1, ..DeploymentOptions::default() })
                .await;
        let slow = EngineBehaviour { token_ms: 50, ..no_faults() };
        deployment.engines[0].set_behaviour(slow);
        for body in [streamed_prompt("long", 1000), unstreamed_prompt("long", 1000)] {
            let before = deployment.engines[0].counts();
            let call = deployment.chat(&body, &[]);
            let _ = runtime::timeout(Duration::from_millis(400), call).await;
            let is_cancelled = || deployment.engines[0].counts().cancelled > before.cancelled;
            wait_until("the engine cancels the request", is_cancelled).await;
        }
        wait_until("the slot is idle", || deployment.engine_slots[0].serving.n_admitted() == 0)
            .await;
        assert_eq!(deployment.engines[0].counts().completed, 0);
    });
}

/// One engine and the slot of another one are closed without notice.
#[test]
fn dead_engine_is_skipped() {
    runtime::run_until(async {
        let mut deployment =
            Deployment::start(DeploymentOptions { n_engines: 3, ..DeploymentOptions::default() })
                .await;
        deployment.engines.remove(0).close().await;
        deployment.engine_slots.remove(1).kill().await;
        for idx in 0..40 {
            let text = format!("prompt {idx}");
            let response = deployment.chat(&prompt(&text), &[]).await;
            assert_eq!(response.status, 200, "{idx}: {}", response.body);
            assert_eq!(response.generated_text(), expected_answer(&text, 4));
        }
    });
}

/// A request for a pool whose slot is closed waits until the slot reopens or its deadline expires.
#[test]
fn request_waits_for_closed_pool() {
    runtime::run_until(async {
        let deployment =
            Deployment::start(DeploymentOptions { n_engines: 1, ..DeploymentOptions::default() })
                .await;
        let slot = &deployment.engine_slots[0];
        slot.serving.close();
        let serving = slot.serving.clone();
        let reopen = runtime::spawn(async move {
            runtime::sleep(Duration::from_millis(500)).await;
            serving.open("v1", 1);
        });
        let response = deployment.chat(&prompt("patient"), &[]).await;
        assert_eq!(response.status, 200, "{}", response.body);
        reopen.await;
        slot.serving.close();
        let response = deployment.chat(&prompt("late"), &[("X-Deadline-Ms", "300")]).await;
        assert_eq!((response.status, response.verdict), (503, Some(Verdict::NotRun)));
        assert_eq!(deployment.n_engine_requests(), 1);
    });
}

/// An entry host that has missed a switch learns its number from the slot, without failing a
/// request.
#[test]
fn newer_switch_number_applied() {
    runtime::run_until(async {
        let deployment =
            Deployment::start(DeploymentOptions { n_engines: 1, ..DeploymentOptions::default() })
                .await;
        let slot = &deployment.engine_slots[0];
        slot.node.documents.offer(deployment::documents::pool_document(2, 2)).unwrap();
        slot.serving.open("v1", 2);
        let response = deployment.chat(&prompt("switch"), &[]).await;
        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(response.head.header("X-Switch").unwrap().as_str(), "2");
    });
}

#[test]
fn no_requests_to_leaving_slot() {
    use crocustiller::membership::HostState;
    runtime::run_until(async {
        let deployment = Deployment::start(DeploymentOptions::default()).await;
        let slow = EngineBehaviour { first_token_ms: 500, ..no_faults() };
        deployment.engines.iter().for_each(|it| it.set_behaviour(slow.clone()));
        let leaving = &deployment.engine_slots[0];
        let requests: Vec<_> = (0..8).map(|idx| prompt(&format!("early {idx}"))).collect();
        let calls = requests.iter().map(|it| deployment.chat(it, &[]));
        let leave = async {
            runtime::sleep(Duration::from_millis(200)).await;
            leaving.node.membership.update_own(|it| it.state = HostState::Leaving);
            let before = deployment.engines[0].counts().requests;
            for idx in 0..8 {
                let response = deployment.chat(&prompt(&format!("late {idx}")), &[]).await;
                assert_eq!(response.status, 200, "{}", response.body);
            }
            assert_eq!(deployment.engines[0].counts().requests, before);
        };
        let (responses, ()) =
            futures_util::future::join(futures_util::future::join_all(calls), leave).await;
        let statuses: Vec<u16> = responses.iter().map(|it| it.status).collect();
        assert_eq!(statuses, vec![200; 8], "all requests in progress complete");
    });
}

fn check_fault(name: &str, behaviour: EngineBehaviour, is_streamed: bool, expected: u16) {
    runtime::run_until(async {
        let deployment = Deployment::start(DeploymentOptions::default()).await;
        let body = |text: &str| {
            if is_streamed {
                streamed_prompt(text, 4)
            } else {
                prompt(text)
            }
        };
        for idx in 0..4 {
            deployment.chat(&body(&format!("earlier {idx}")), &[]).await;
        }
        deployment.engines.iter().for_each(|it| it.set_behaviour(behaviour.clone()));
        let response = deployment.chat(&body("own"), &[]).await;
        assert_eq!(response.status, expected, "{name}: {}", response.body);
        if response.status == 200 && !is_streamed {
            assert_eq!(response.generated_text(), expected_answer("own", 4), "{name}");
        }
        if response.status != 200 {
            assert!(
                response.verdict != Some(Verdict::NotRun),
                "{name}: the verdict is not-run, but the request ran"
            );
        }
    });
}

fn no_faults() -> EngineBehaviour {
    EngineBehaviour::default()
}

/// Returns the body of a chat request for `n_tokens` tokens without streaming.
fn unstreamed_prompt(text: &str, n_tokens: u32) -> String {
    streamed_prompt(text, n_tokens).replace("\"stream\":true", "\"stream\":false")
}

async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    for _ in 0..1000 {
        if condition() {
            return;
        }
        runtime::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out after 10 s: {description}");
}
