//! A request that crashes each backend server costs at most two, and its neighbours are answered.

mod deployment;

use std::time::Duration;

use crocustiller::{runtime, verdict::Verdict};
use crocustiller_standins::{expected_answer, EngineBehaviour, PlatformBehaviour};
use deployment::{prompt, streamed_prompt, Deployment, Plan};
use futures_util::future::join_all;

#[test]
fn two_hosts_are_lost_then_it_is_refused_everywhere() {
    check_crash(prompt, false);
}

#[test]
fn streams_crash_no_more_hosts() {
    check_crash(|text| streamed_prompt(text, 4), false);
}

/// Without the platform, what an entry host learns stays there, but holds.
#[test]
fn platform_outage_keeps_it_at_the_entry_host() {
    check_crash(prompt, true);
}

#[test]
fn innocent_neighbours_are_answered() {
    runtime::run_until(async {
        let deployment = start().await;
        let slow = EngineBehaviour { first_token_ms: 300, ..poison() };
        deployment.engines.iter().for_each(|it| it.set_behaviour(slow.clone()));
        let texts: Vec<String> = (0..20).map(|idx| format!("innocent {idx}")).collect();
        let bodies: Vec<String> = texts.iter().map(|it| prompt(it)).collect();
        let calls = join_all(bodies.iter().map(|it| deployment.chat(it, &[])));
        let crash = async {
            runtime::sleep(Duration::from_millis(100)).await;
            deployment.chat_at(1, deployment::TOKEN, &prompt("POISON"), &[]).await
        };
        let (answers, poisoned) = futures_util::future::join(calls, crash).await;
        for (text, answer) in texts.iter().zip(&answers) {
            assert_eq!(answer.status, 200, "{text}: {}", answer.body);
            assert_eq!(answer.text(), expected_answer(text, 4));
        }
        assert_ne!(poisoned.status, 200);
        assert!(n_crashed(&deployment) <= 2);
        for text in &texts {
            assert_eq!(deployment.chat(&prompt(text), &[]).await.status, 200, "{text} is clear");
        }
    });
}

/// The callers send the poison again and again, through all entry hosts.
fn check_crash(body: impl Fn(&str) -> String, is_platform_out: bool) {
    runtime::run_until(async {
        let deployment = start().await;
        deployment.engines.iter().for_each(|it| it.set_behaviour(poison()));
        let outage = PlatformBehaviour { outage: is_platform_out, ..Default::default() };
        deployment.platform.set_behaviour(outage);
        let poison = body("POISON");
        let mut last = None;
        for round in 0..9 {
            let entry = if is_platform_out { 0 } else { round % 3 };
            last = Some(deployment.chat_at(entry, deployment::TOKEN, &poison, &[]).await);
            runtime::sleep(Duration::from_millis(300)).await;
        }
        let last = last.unwrap();
        assert_eq!((last.status, last.verdict), (422, Some(Verdict::NotRun)), "{}", last.body);
        assert!(last.body.contains("crashed 2 backend servers"), "{}", last.body);
        assert_eq!(n_crashed(&deployment), 2);
        let innocent = deployment.chat(&prompt("innocent"), &[]).await;
        assert_eq!(innocent.status, 200, "{}", innocent.body);
    });
}

async fn start() -> Deployment {
    Deployment::start(Plan { n_entry_hosts: 3, n_engines: 5, ..Plan::default() }).await
}

fn poison() -> EngineBehaviour {
    EngineBehaviour { crash_on_prompt: "POISON".to_owned(), ..EngineBehaviour::default() }
}

fn n_crashed(deployment: &Deployment) -> usize {
    deployment.engines.iter().filter(|it| it.is_crashed()).count()
}
