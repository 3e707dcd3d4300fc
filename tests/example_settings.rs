//! The example settings and charters under `examples/` are valid.

use std::{fs, path::Path};

use crocustiller::{
    charter::{Charter, RolloutMode},
    settings::{RoleSettings, Settings},
};

#[test]
fn habimana_rolls_out_time_first() {
    check_examples("habimana", RolloutMode::TimeFirst);
}

#[test]
fn senarc_rolls_out_origin_first() {
    check_examples("senarc", RolloutMode::OriginFirst);
}

#[test]
fn loopback_examples_are_valid() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/loopback");
    for file in ["entry-1.ini", "entry-2.ini", "engine-1.ini", "engine-2.ini"] {
        Settings::load(&directory.join(file)).unwrap_or_else(|err| panic!("{err}"));
    }
    check_charter(&directory.join("first.json"), RolloutMode::TimeFirst);
}

fn check_examples(deployment: &str, mode: RolloutMode) {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(deployment);
    let directory = tempfile::tempdir().unwrap();
    fs::write(directory.path().join("peer.key"), "a shared secret for tests").unwrap();
    for (file, role) in [("entry.ini", RoleSettings::Entry), ("backend.ini", RoleSettings::Backend)]
    {
        let path = directory.path().join(file);
        fs::copy(examples.join(file), &path).unwrap();
        let settings = Settings::load(&path).unwrap_or_else(|err| panic!("{err}"));
        assert_eq!(settings.host.role, role);
    }
    check_charter(&examples.join("charter.json"), mode);
}

fn check_charter(path: &Path, mode: RolloutMode) {
    let mut patch: serde_json::Value =
        serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap();
    patch["number"] = 1.into();
    let charter: Charter = serde_json::from_value(patch).unwrap();
    assert_eq!(charter.rollout.mode, mode);
    for pool in charter.pools.values() {
        assert!(pool.customers.iter().all(|it| charter.customers.contains_key(it)));
    }
}
