//! A request that crashes engines crashes at most two, and concurrent requests get a response.

mod deployment;

use std::time::Duration;

use crocustiller::{runtime, verdict::Verdict};
use crocustiller_standins::{expected_answer, EngineBehaviour, PlatformBehaviour};
use deployment::{prompt, streamed_prompt, Deployment, DeploymentOptions};
use futures_util::future::join_all;

#[test]
fn request_refused_after_two_crashes() {
    check_repeated_crashes(prompt, false);
}

#[test]
fn stream_refused_after_two_crashes() {
    check_repeated_crashes(|text| streamed_prompt(text, 4), false);
}

/// Without the platform, an entry host cannot share the fingerprint, but refuses it itself.
#[test]
fn platform_outage_still_refuses_request() {
    check_repeated_crashes(prompt, true);
}

/// Requests in progress at an engine that crashes are retried elsewhere. The fingerprints of these
/// requests must not be refused later.
#[test]
fn concurrent_requests_survive_crash() {
    runtime::run_until(async {
        let options = DeploymentOptions {
            n_entry_hosts: 2,
            n_engines: 3,
            concurrency: 16,
            ..DeploymentOptions::default()
        };
        let deployment = Deployment::start(options).await;
        let slow = EngineBehaviour { first_token_ms: 200, ..crash_on_poison() };
        deployment.engines.iter().for_each(|it| it.set_behaviour(slow.clone()));
        let texts: Vec<String> = (0..24).map(|idx| format!("innocent {idx}")).collect();
        let bodies: Vec<String> = texts.iter().map(|it| prompt(it)).collect();
        let calls = join_all(bodies.iter().map(|it| deployment.chat(it, &[])));
        let crash = async {
            runtime::sleep(Duration::from_millis(100)).await;
            deployment.chat_at(1, deployment::TOKEN, &prompt("POISON"), &[]).await
        };
        let (responses, crashing) = futures_util::future::join(calls, crash).await;
        for (text, response) in texts.iter().zip(&responses) {
            assert_eq!(response.status, 200, "{text}: {}", response.body);
            assert_eq!(response.generated_text(), expected_answer(text, 4));
        }
        assert_ne!(crashing.status, 200);
        assert!(n_crashed(&deployment) <= 2);
        for text in &texts {
            assert_eq!(
                deployment.chat(&prompt(text), &[]).await.status,
                200,
                "{text} is not in quarantine"
            );
        }
    });
}

/// Sends the crashing request 9 times and checks that it is refused after two crashes.
///
/// The requests alternate between all three entry hosts. During an outage of the platform, they use
/// only the first one, as the others do not receive the fingerprint.
fn check_repeated_crashes(body: impl Fn(&str) -> String, is_platform_unavailable: bool) {
    runtime::run_until(async {
        let deployment = start().await;
        deployment.engines.iter().for_each(|it| it.set_behaviour(crash_on_poison()));
        let outage = PlatformBehaviour { outage: is_platform_unavailable, ..Default::default() };
        deployment.platform.set_behaviour(outage);
        let poison = body("POISON");
        let mut last = None;
        for round in 0..9 {
            let entry = if is_platform_unavailable { 0 } else { round % 3 };
            last = Some(deployment.chat_at(entry, deployment::TOKEN, &poison, &[]).await);
            runtime::sleep(Duration::from_millis(300)).await;
        }
        let last = last.unwrap();
        assert_eq!((last.status, last.verdict), (422, Some(Verdict::NotRun)), "{}", last.body);
        assert!(last.body.contains("crashed 2 backend servers"), "{}", last.body);
        assert_eq!(n_crashed(&deployment), 2);
        let other = deployment.chat(&prompt("innocent"), &[]).await;
        assert_eq!(other.status, 200, "{}", other.body);
    });
}

async fn start() -> Deployment {
    Deployment::start(DeploymentOptions {
        n_entry_hosts: 3,
        n_engines: 5,
        ..DeploymentOptions::default()
    })
    .await
}

fn crash_on_poison() -> EngineBehaviour {
    EngineBehaviour { crash_on_prompt: "POISON".to_owned(), ..EngineBehaviour::default() }
}

fn n_crashed(deployment: &Deployment) -> usize {
    deployment.engines.iter().filter(|it| it.is_crashed()).count()
}
