//! Commands of the command-line tool against the operator address of an entry host.

mod tool;

use std::{ffi::OsStr, os::unix::ffi::OsStrExt, process::Command, time::Duration};

use crocustiller::{
    digest::Digest,
    membership::{HostRole, HostState, MemberRecord},
    objects::Precondition,
    peer::{Document, DocumentName},
    report::RequestOutcome,
    request::{Quarantine, QuarantineEntry},
    rollout::{PoolDocument, RolloutStep, WeightsTarget},
    runtime,
    verdict::Verdict,
};
use serde::Serialize;
use serde_bytes::ByteBuf;
use serde_json::Value;

use tool::{Deployment, UNREACHABLE_ADDRESS};

const FIRST_PATCH: &str = r#"{"customers": {"weavers": {"token_digest":
    "7f788d037b098aeb984fd395054238b8db7c25d5a96a242da125f3e3ac547633"}},
    "pools": {"lots": {"version": "v1", "customers": ["weavers"]}}}"#;

/// At least three failing calls of each command: arguments, exit code and text of the error.
///
/// `@` before the arguments omits the options for the entry host and its token.
const FAILING_COMMANDS: &[(&str, i32, &str)] = &[
    ("@charter show", 2, "no entry host given; use --entry"),
    ("@charter show --entry {entry}", 2, "no operator token; give --token-file"),
    ("charter show surplus", 2, "surplus"),
    ("charter patch {dir}/first.json", 2, "--base"),
    ("charter patch {dir}/nowhere.json --base 0", 2, "check the path"),
    ("charter patch {dir}/token --base 0", 2, "write a JSON merge patch"),
    ("charter patch {dir}/first.json --base 7", 1, "the patch builds on charter 7, but 1"),
    ("charter patch {dir}/unknown.json --base 1", 1, "no_such_field"),
    ("charter status a b", 2, "b"),
    ("@charter status --entry 127.0.0.1:1 --token-file {dir}/token", 3, "no entry host accepted"),
    ("@charter status a --entry nonsense --token-file {dir}/token", 2, "not an operator address"),
    ("charter history --since 3", 2, "--since"),
    ("@charter history --entry {entry} --token-file {dir}/wrong", 1, "operator token is missing"),
    ("@charter history --entry 127.0.0.1:1 --token-file {dir}/token", 3, "127.0.0.1:1: no conn"),
    ("hosts", 2, "list"),
    ("@hosts list --entry", 2, "--entry needs a value"),
    ("@hosts list --entry 127.0.0.1:1 --token-file {dir}/token", 3, "no entry host accepted"),
    ("hosts leave", 2, "host"),
    ("hosts leave entry-9", 1, "no host entry-9; `crocustiller hosts list`"),
    ("hosts leave entry-2", 3, "127.0.0.1:1: no connection"),
    ("pools show nowhere", 1, "no pool nowhere; `crocustiller pools show`"),
    ("pools list", 2, "list"),
    ("@pools show --entry {entry} --token-file {dir}/nowhere", 2, "check the path"),
    ("rollout watch", 2, "pool"),
    ("rollout watch nowhere", 1, "no pool nowhere"),
    ("rollout watch lots --timeout-s soon", 2, "soon"),
    ("requests lookup", 2, "id_or_key"),
    ("requests lookup nothing", 1, "no entry host has a record of nothing"),
    ("@requests lookup r-1 --entry {entry} --token-file {dir}/wrong", 1, "token is missing or"),
    ("quarantine list all", 2, "all"),
    ("quarantine drop", 2, "drop"),
    ("@quarantine list --entry {entry}", 2, "CROCUSTILLER_TOKEN"),
    ("quarantine clear", 2, "fingerprint"),
    ("quarantine clear abcd", 1, "a fingerprint has 64 hexadecimal digits"),
    (
        "quarantine clear 7f788d037b098aeb984fd395054238b8db7c25d5a96a242da125f3e3ac547633",
        1,
        "is not in quarantine",
    ),
    ("burn --html", 2, "html"),
    ("burn --html {dir}/no/such/folder.html", 2, "check the path"),
    ("@burn --entry 127.0.0.1:1 --token-file {dir}/token", 3, "no entry host accepted"),
    ("@token digest", 2, "no operator token"),
    ("@token digest --token-file {dir}/nowhere", 2, "check the path"),
    ("@token", 2, "digest"),
    ("@weights manifest {dir}/token", 2, "--version"),
    ("@weights manifest --version v1", 2, "file"),
    ("@weights manifest {dir}/nowhere --version v1", 2, "check the path"),
    ("@fly", 2, "fly"),
];

#[test]
fn failing_commands_suggest_next_step() {
    runtime::run_until(async {
        let deployment = start_deployment().await;
        for (args, code, text) in FAILING_COMMANDS {
            let run = match args.strip_prefix('@') {
                Some(args) => deployment.run_without_defaults(args).await,
                None => deployment.run(args).await,
            };
            assert_eq!(run.code, *code, "{args}: {run:?}");
            assert!(run.stderr.contains(text), "{args}: no {text:?} in {}", run.stderr);
        }
        assert!(deployment.leave.is_empty());
        deployment.close().await;
    });
}

#[test]
fn patched_charter_is_shown() {
    runtime::run_until(async {
        let deployment = start_deployment().await;
        deployment.write_file("second.json", r#"{"pools": {"lots": {"version": "v2"}}}"#);
        let run = deployment.run("charter patch {dir}/second.json --base 1 --id change-7").await;
        assert_eq!(run.stdout, "patch change-7: accepted as charter 2\n", "{run:?}");
        let again = deployment.run("charter patch {dir}/second.json --base 1 --id change-7").await;
        assert_eq!(again.stdout, run.stdout, "a repeated patch gets the same response");
        let charter = run_json(&deployment, "charter show --json").await;
        assert_eq!(charter["pools"]["lots"]["version"], "v2");
        let status = run_json(&deployment, "charter status change-7 --json").await;
        assert_eq!((&status["state"], &status["number"]), (&"accepted".into(), &2.into()));
        let spread = run_json(&deployment, "charter status --json").await;
        assert_eq!((&spread["number"], &spread["n_hosts"]), (&2.into(), &3.into()));
        let history = run_json(&deployment, "charter history --json").await;
        assert_eq!(history[1]["id"], "change-7");
        deployment.close().await;
    });
}

#[test]
fn unreachable_entry_host_is_skipped() {
    runtime::run_until(async {
        let deployment = start_deployment().await;
        let args = format!(
            "hosts list --entry {UNREACHABLE_ADDRESS},{{entry}} --token-file {{dir}}/token"
        );
        let run = deployment.run_without_defaults(&args).await;
        assert_eq!(run.code, 0, "{run:?}");
        assert!(run.stdout.contains("entry-1"), "{run:?}");
        deployment.close().await;
    });
}

#[test]
fn leave_command_reaches_host() {
    runtime::run_until(async {
        let deployment = start_deployment().await;
        let run = deployment.run("hosts leave entry-1").await;
        assert_eq!(run.code, 0, "{run:?}");
        assert!(deployment.leave.try_recv().is_ok());
        deployment.close().await;
    });
}

#[test]
fn rollout_watch_ends_once_loaded() {
    runtime::run_until(async {
        let deployment = start_deployment().await;
        let run = deployment.run("rollout watch lots --json").await;
        assert_eq!(run.code, 0, "{run:?}");
        let view: Value = serde_json::from_str(run.stdout.lines().last().unwrap()).unwrap();
        assert_eq!((&view["hosts"], &view["loaded"]), (&1.into(), &1.into()));
        let pools = run_json(&deployment, "pools show lots --json").await;
        assert_eq!(pools["pools"][0]["serving"]["version"], "v1");
        deployment.close().await;
    });
}

#[test]
fn find_request() {
    runtime::run_until(async {
        let deployment = start_deployment().await;
        for name in ["r-1", "key-1"] {
            let found = run_json(&deployment, &format!("requests lookup {name} --json")).await;
            assert_eq!(found["answers"][0]["requests"][0]["verdict"], "may-have-run");
            assert_eq!(found["missing"][0]["host"], "entry-2");
        }
        deployment.close().await;
    });
}

#[test]
fn burn_report_lists_missing_host() {
    runtime::run_until(async {
        let deployment = start_deployment().await;
        let run = deployment.run("burn --html {dir}/burn.html").await;
        assert_eq!(run.code, 0, "{run:?}");
        assert!(run.stdout.contains("PARTIAL: no counts from entry-2"), "{run:?}");
        let report = run_json(&deployment, "burn --json").await;
        assert_eq!((&report["is_partial"], &report["hosts"][0]), (&true.into(), &"entry-1".into()));
        deployment.close().await;
    });
}

#[test]
fn cleared_fingerprint_is_removed() {
    runtime::run_until(async {
        let deployment = start_deployment().await;
        let fingerprint = Digest::of(b"crash");
        let listed = deployment.run("quarantine list").await;
        assert!(listed.stdout.contains("refused"), "{listed:?}");
        let run = deployment.run(&format!("quarantine clear {fingerprint}")).await;
        assert_eq!(run.code, 0, "{run:?}");
        let quarantine = run_json(&deployment, "quarantine list --json").await;
        assert_eq!(quarantine["entries"], serde_json::json!([]));
        deployment.close().await;
    });
}

#[test]
fn non_utf8_argument_is_rejected() {
    let tool = env!("CARGO_BIN_EXE_crocustiller");
    let output = Command::new(tool).arg(OsStr::from_bytes(b"\xff")).output().unwrap();
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stderr).contains("is not UTF-8"), "{output:?}");
}

#[test]
fn help_lists_exit_codes() {
    runtime::run_until(async {
        let deployment = Deployment::start().await;
        let run = deployment.run_without_defaults("--help").await;
        assert_eq!(run.code, 0, "{run:?}");
        for text in ["--entry", "--token-file", "--json", "4 the command may have taken effect"] {
            assert!(run.stdout.contains(text), "no {text:?} in {}", run.stdout);
        }
        deployment.close().await;
    });
}

/// Starts an entry host with a charter, a pool, an engine with loaded weights, one request and one
/// fingerprint in quarantine. A second entry host in its membership is unreachable.
async fn start_deployment() -> Deployment {
    let deployment = Deployment::start().await;
    deployment.write_file("first.json", FIRST_PATCH);
    deployment.write_file("unknown.json", r#"{"no_such_field": 1}"#);
    deployment.write_file("wrong", "another-token");
    let run = deployment.run("charter patch {dir}/first.json --base 0").await;
    assert_eq!(run.code, 0, "{run:?}");
    offer_document(&deployment, DocumentName::Pool("lots".to_owned()), 1, &pool_document());
    deployment
        .node
        .membership
        .merge(vec![unreachable_entry_host(&deployment), loaded_engine(&deployment)]);
    deployment.node.request_history.record(unanswered_request());
    let quarantine = crash_quarantine();
    let bytes = serde_json::to_vec(&quarantine).unwrap();
    deployment.node.platform.put("quarantine", &bytes, Precondition::Absent).await.unwrap();
    offer_document(&deployment, DocumentName::Quarantine, quarantine.number, &quarantine);
    deployment
}

/// Runs a successful command and parses its output as JSON.
async fn run_json(deployment: &Deployment, args: &str) -> Value {
    let run = deployment.run(args).await;
    assert_eq!(run.code, 0, "{args}: {run:?}");
    serde_json::from_str(&run.stdout).unwrap()
}

fn offer_document(
    deployment: &Deployment,
    name: DocumentName,
    number: u64,
    value: &impl Serialize,
) {
    let json = ByteBuf::from(serde_json::to_vec(value).unwrap());
    assert!(deployment.node.documents.offer(Document { name, number, json }).unwrap());
}

fn weights_target() -> WeightsTarget {
    WeightsTarget { version: "v1".to_owned(), manifest_digest: Digest::of(b"v1") }
}

fn pool_document() -> PoolDocument {
    PoolDocument {
        number: 1,
        pool: "lots".to_owned(),
        serving: Some(weights_target()),
        target: Some(weights_target()),
        switch_number: 1,
        step: RolloutStep::Steady,
    }
}

fn unreachable_entry_host(deployment: &Deployment) -> MemberRecord {
    let own = deployment.node.membership.own();
    let unreachable = UNREACHABLE_ADDRESS.parse().unwrap();
    let host = "entry-2".to_owned();
    MemberRecord { host, operator_address: unreachable, state: HostState::Live, ..(*own).clone() }
}

fn loaded_engine(deployment: &Deployment) -> MemberRecord {
    let own = deployment.node.membership.own();
    let mut record = MemberRecord {
        host: "engine-1".to_owned(),
        role: HostRole::Engine("lots".to_owned()),
        ..(*own).clone()
    };
    record.weights.loaded = Some(weights_target().manifest_digest);
    record
}

/// Returns a request that got no response and may have run.
fn unanswered_request() -> RequestOutcome {
    RequestOutcome {
        request_id: "r-1".to_owned(),
        idempotency_key: Some("key-1".to_owned()),
        customer: "weavers".to_owned(),
        pool: "lots".to_owned(),
        host: Some("engine-1".to_owned()),
        is_answered: false,
        verdict: Verdict::MayHaveRun,
        first_token_ms: None,
        wait_ms: Duration::from_millis(3),
        version_is_intended: true,
    }
}

/// Returns a quarantine with a fingerprint that crashed two engines.
fn crash_quarantine() -> Quarantine {
    let hosts = vec!["engine-1".to_owned(), "engine-2".to_owned()];
    let entry = QuarantineEntry { fingerprint: Digest::of(b"crash"), hosts };
    Quarantine { number: 1, entries: vec![entry] }
}
