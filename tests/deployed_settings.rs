//! Settings of processes on the platform.

use std::path::Path;

use crocustiller::settings::DeployedSettings;

fn parse(host_keys: &str) -> Result<DeployedSettings, String> {
    let text = format!(
        "[host]\nid = entry-1\nrole = entry\nregion = south\nzone = depot\n{host_keys}\n\
         [listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\ndirectory = 127.0.0.1:3\n\
         peers = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n\n[store]\naddress = 127.0.0.1:6\n"
    );
    DeployedSettings::parse(&text, Path::new("entry.ini")).map_err(|err| err.to_string())
}

#[test]
fn processor_share_is_checked() {
    assert_eq!(parse("processor_share = 0.24").unwrap().processor_share, 0.24);
    assert_eq!(parse("").unwrap().processor_share, 1.0, "the default");
    for wrong in ["0", "-1", "half"] {
        let problems = parse(&format!("processor_share = {wrong}")).unwrap_err();
        assert!(problems.contains("processor_share"), "{problems}");
    }
}

#[test]
fn memory_is_checked() {
    assert_eq!(parse("memory_mb = 160").unwrap().memory_bytes, 160 << 20);
    assert_eq!(parse("").unwrap().memory_bytes, 256 << 20, "the default");
    for wrong in ["0", "-1", "much"] {
        let problems = parse(&format!("memory_mb = {wrong}")).unwrap_err();
        assert!(problems.contains("memory_mb"), "{problems}");
    }
}

/// Guards against blaming valid keys after an invalid one in the same section.
#[test]
fn invalid_evacuation_time() {
    let bounds = "[bounds]\nevacuation_ms = soon\ncold_over = 1.5\ncold_slack = 2";
    let problems = parse(bounds).unwrap_err();
    assert!(problems.contains("evacuation_ms"), "{problems}");
    assert!(!problems.contains("cold_"), "{problems}");
}
