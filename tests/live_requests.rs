//! Requests of callers, from entry host to engine and back, with faults of the engine.

mod deployment;

use std::time::Duration;

use crocustiller::{runtime, verdict::Verdict};
use crocustiller_standins::{expected_answer, EngineBehaviour};
use deployment::{prompt, streamed_prompt, Deployment, Plan};

#[test]
fn answer_is_the_engines() {
    runtime::run_until(async {
        let deployment = Deployment::start(Plan::default()).await;
        let answer = deployment.chat(&prompt("scrap"), &[("X-Request-Id", "r-1")]).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(answer.verdict, Some(Verdict::Ran));
        assert_eq!(answer.text(), expected_answer("scrap", 4));
        let header = |name: &str| answer.response.header(name).unwrap().as_str().to_owned();
        assert_eq!(header("X-Request-Id"), "r-1");
        assert_eq!(header("X-Version"), "v1");
        assert_eq!(header("X-Switch"), "1");
    });
}

#[test]
fn stream_is_whole() {
    runtime::run_until(async {
        let deployment = Deployment::start(Plan::default()).await;
        let answer = deployment.chat(&streamed_prompt("scrap", 6), &[]).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(answer.body.matches("chat.completion.chunk").count(), 6);
        assert!(answer.body.ends_with("data: [DONE]\n\n"));
    });
}

/// Each fault hits each engine once; the caller gets its own whole answer or a truthful failure.
#[test]
fn faults_never_give_a_wrong_answer() {
    check_fault("none", EngineBehaviour::default(), false, 200);
    check_fault("short", EngineBehaviour { short_answers: 1, ..fault() }, false, 200);
    check_fault("cut", EngineBehaviour { cut_answers: 1, ..fault() }, false, 200);
    check_fault("crossed", EngineBehaviour { cross_request_ids: 1, ..fault() }, false, 200);
    check_fault("short stream", EngineBehaviour { short_answers: 1, ..fault() }, true, 0);
    check_fault("cut stream", EngineBehaviour { cut_answers: 1, ..fault() }, true, 0);
    check_fault("crossed stream", EngineBehaviour { cross_request_ids: 1, ..fault() }, true, 200);
}

#[test]
fn caller_that_leaves_cancels_at_the_engine() {
    runtime::run_until(async {
        let deployment = Deployment::start(Plan { n_engines: 1, ..Plan::default() }).await;
        let slow = EngineBehaviour { token_ms: 50, ..fault() };
        deployment.engines[0].set_behaviour(slow);
        for body in [streamed_prompt("long", 1000), prompt_of("long", 1000)] {
            let before = deployment.engines[0].counts();
            let call = deployment.chat(&body, &[]);
            let _ = runtime::timeout(Duration::from_millis(400), call).await;
            let is_cancelled = || deployment.engines[0].counts().cancelled > before.cancelled;
            wait_until("the engine's request is cancelled", is_cancelled).await;
        }
        wait_until("the slot is idle", || deployment.engine_slots[0].serving.n_admitted() == 0)
            .await;
        assert_eq!(deployment.engines[0].counts().completed, 0);
    });
}

#[test]
fn dead_engine_is_passed_over() {
    runtime::run_until(async {
        let mut deployment = Deployment::start(Plan { n_engines: 3, ..Plan::default() }).await;
        deployment.engines.remove(0).close().await;
        deployment.engine_slots.remove(1).kill().await;
        for idx in 0..40 {
            let text = format!("prompt {idx}");
            let answer = deployment.chat(&prompt(&text), &[]).await;
            assert_eq!(answer.status, 200, "{idx}: {}", answer.body);
            assert_eq!(answer.text(), expected_answer(&text, 4));
        }
    });
}

#[test]
fn request_waits_for_a_closed_pool() {
    runtime::run_until(async {
        let deployment = Deployment::start(Plan { n_engines: 1, ..Plan::default() }).await;
        let slot = &deployment.engine_slots[0];
        slot.serving.close();
        let serving = slot.serving.clone();
        let reopen = runtime::spawn(async move {
            runtime::sleep(Duration::from_millis(500)).await;
            serving.open("v1", 1);
        });
        let answer = deployment.chat(&prompt("patient"), &[]).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        reopen.await;
        slot.serving.close();
        let answer = deployment.chat(&prompt("late"), &[("X-Deadline-Ms", "300")]).await;
        assert_eq!((answer.status, answer.verdict), (503, Some(Verdict::NotRun)));
        assert_eq!(deployment.n_engine_requests(), 1);
    });
}

#[test]
fn greater_switch_number_is_learnt_from_the_slot() {
    runtime::run_until(async {
        let deployment = Deployment::start(Plan { n_engines: 1, ..Plan::default() }).await;
        let slot = &deployment.engine_slots[0];
        slot.node.documents.offer(deployment::pool_document(2, 2)).unwrap();
        slot.serving.open("v1", 2);
        let answer = deployment.chat(&prompt("switch"), &[]).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(answer.response.header("X-Switch").unwrap().as_str(), "2");
    });
}

#[test]
fn leaving_slot_takes_no_new_work() {
    use crocustiller::membership::HostState;
    runtime::run_until(async {
        let deployment = Deployment::start(Plan::default()).await;
        let slow = EngineBehaviour { first_token_ms: 500, ..fault() };
        deployment.engines.iter().for_each(|it| it.set_behaviour(slow.clone()));
        let leaving = &deployment.engine_slots[0];
        let requests: Vec<_> = (0..8).map(|idx| prompt(&format!("early {idx}"))).collect();
        let calls = requests.iter().map(|it| deployment.chat(it, &[]));
        let leave = async {
            runtime::sleep(Duration::from_millis(200)).await;
            leaving.node.membership.update_own(|it| it.state = HostState::Leaving);
            let before = deployment.engines[0].counts().requests;
            for idx in 0..8 {
                let answer = deployment.chat(&prompt(&format!("late {idx}")), &[]).await;
                assert_eq!(answer.status, 200, "{}", answer.body);
            }
            assert_eq!(deployment.engines[0].counts().requests, before);
        };
        let (answers, ()) =
            futures_util::future::join(futures_util::future::join_all(calls), leave).await;
        let statuses: Vec<u16> = answers.iter().map(|it| it.status).collect();
        assert_eq!(statuses, vec![200; 8], "no request in progress is cut");
    });
}

fn check_fault(name: &str, behaviour: EngineBehaviour, is_stream: bool, expected: u16) {
    runtime::run_until(async {
        let deployment = Deployment::start(Plan::default()).await;
        let body = |text: &str| {
            if is_stream {
                streamed_prompt(text, 4)
            } else {
                prompt(text)
            }
        };
        for idx in 0..4 {
            deployment.chat(&body(&format!("earlier {idx}")), &[]).await;
        }
        deployment.engines.iter().for_each(|it| it.set_behaviour(behaviour.clone()));
        let answer = deployment.chat(&body("own"), &[]).await;
        assert_eq!(answer.status, expected, "{name}: {}", answer.body);
        if answer.status == 200 && !is_stream {
            assert_eq!(answer.text(), expected_answer("own", 4), "{name}");
        }
        if answer.status != 200 {
            assert!(answer.verdict != Some(Verdict::NotRun), "{name}: it ran");
        }
    });
}

fn fault() -> EngineBehaviour {
    EngineBehaviour::default()
}

fn prompt_of(text: &str, n_tokens: u32) -> String {
    streamed_prompt(text, n_tokens).replace("\"stream\":true", "\"stream\":false")
}

async fn wait_until(what: &str, is_true: impl Fn() -> bool) {
    for _ in 0..1000 {
        if is_true() {
            return;
        }
        runtime::sleep(Duration::from_millis(10)).await;
    }
    panic!("not within 10 s: {what}");
}
