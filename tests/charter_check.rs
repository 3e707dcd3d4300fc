//! `crocustiller charter check`: what an operator learns of a configuration before it is sent.

mod entry_process;

use std::process::{Command, Output};

use entry_process::charter;
use serde_json::{json, Value};
use tempfile::TempDir;

/// A change of the sound configuration at a JSON pointer, and the kinds of findings that it causes.
type Case = (&'static str, Value, &'static [&'static str]);

struct Checker {
    folder: TempDir,
}

impl Checker {
    fn new() -> Checker {
        Checker { folder: tempfile::tempdir().unwrap() }
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.folder.path().join(name), text).unwrap();
    }

    /// Runs the check in the folder, without an entry host or a token.
    fn run(&self, arguments: &str) -> Output {
        Command::new(env!("CARGO_BIN_EXE_crocustiller"))
            .args(["charter", "check"])
            .args(arguments.split(' '))
            .current_dir(self.folder.path())
            .env_clear()
            .output()
            .unwrap()
    }

    /// Returns the exit status and the kinds of findings for a configuration.
    fn kinds(&self, config: &Value) -> (i32, Vec<String>) {
        self.write("new.json", &config.to_string());
        let output = self.run("new.json --json");
        let report: Value = serde_json::from_slice(&output.stdout).unwrap();
        let findings = report["findings"].as_array().unwrap();
        let kind = |it: &Value| it["kind"].as_str().unwrap().to_owned();
        (output.status.code().unwrap(), findings.iter().map(kind).collect())
    }
}

/// Guards against a finding that is missed, and against findings in a sound configuration.
#[test]
fn findings_of_each_kind() {
    let checker = Checker::new();
    assert_eq!(checker.kinds(&charter(1)), (0, Vec::new()));
    let ledger = charter(1)["services"][0].clone();
    let stock = charter(1)["routes"][0].clone();
    let tenant = |name: &str, keys: &[&str], regions: &[&str]| json!({ "name": name, "api-keys": keys, "allowed-regions": regions });
    let cases: &[Case] = &[
        ("/services/1", ledger, &["duplicate-service", "unknown-service"]),
        ("/routes/0/service", json!("nowhere"), &["unknown-service"]),
        ("/routes/0/service", json!(null), &["no-target"]),
        ("/routes/0/max-attempts", json!(0), &["no-attempt"]),
        ("/routes/1", stock, &["hidden-route"]),
        ("/routes/0/host", json!("lots.example:80"), &["host-never-matches"]),
        ("/routes/0/path-prefix", json!("stock/"), &["prefix-never-matches"]),
        ("/routes/0/timeout-ms", json!(399), &["timeout-under-objective"]),
        ("/limits/idle-timeout-ms", json!(499), &["idle-under-header"]),
        ("/limits/max-header-bytes", json!(0), &["zero-limit"]),
        ("/tenants", json!([tenant("a", &["k"], &[]), tenant("b", &["k"], &[])]), &["shared-key"]),
        ("/tenants", json!([tenant("a", &["k", "k"], &[])]), &[]),
        ("/tenants", json!([tenant("a", &[], &[])]), &["no-key"]),
        ("/tenants", json!([tenant("a", &["k"], &["north"])]), &["regions-exclude"]),
    ];
    for (pointer, value, kinds) in cases {
        let mut config = charter(1);
        config["routes"][0]["allowed-regions"] = json!(["south"]);
        *config.pointer_mut(pointer).unwrap() = value.clone();
        let expected: Vec<String> = kinds.iter().map(|it| it.to_string()).collect();
        let code = i32::from(!kinds.is_empty());
        assert_eq!(checker.kinds(&config), (code, expected), "{pointer} {value}");
    }
}

/// Guards against a difference that is missed or taken for a finding, and against a number that the entry
/// hosts ignore.
#[test]
fn differences_from_the_one_in_force() {
    let checker = Checker::new();
    checker.write("old.json", &charter(7).to_string());
    let mut config = charter(8);
    config["routes"][0]["goal-ms"] = json!(300);
    config["routes"].as_array_mut().unwrap().pop();
    config["limits"]["max-body-bytes"] = json!(1000);
    config["tenants"][0]["name"] = json!("spinners");
    checker.write("new.json", &config.to_string());
    let output = checker.run("new.json --against old.json");
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0), "{text}");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "differs: route lots.example/stock/: changed",
            "differs: route lots.example/draft/: removed",
            "differs: customer spinners: added",
            "differs: customer weavers: removed",
            "differs: limits: changed",
            "no findings",
        ]
    );
    let output = checker.run("old.json --against new.json");
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stdout).contains("version 7 isn't greater than 8"));
}

/// Guards against a key in the output, which lands in logs.
#[test]
fn keys_are_not_printed() {
    let checker = Checker::new();
    let mut config = charter(1);
    let tenant = |name: &str| json!({ "name": name, "api-keys": ["secret-key"] });
    config["tenants"] = json!([tenant("a"), tenant("b")]);
    checker.write("new.json", &config.to_string());
    let output = checker.run("new.json --against new.json");
    assert!(!String::from_utf8_lossy(&output.stdout).contains("secret-key"));
}

/// Guards against a report of no findings for input that wasn't read.
#[test]
fn unreadable_input() {
    let checker = Checker::new();
    checker.write("text.json", "no JSON");
    checker.write("other.json", "{}");
    for arguments in ["text.json", "other.json", "nowhere.json", "", "other.json --against"] {
        let output = checker.run(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments}: {output:?}");
        assert!(output.stdout.is_empty() && !output.stderr.is_empty(), "{arguments}");
    }
}
