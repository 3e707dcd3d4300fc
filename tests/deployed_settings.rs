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

/// Guards against a process that doesn't start, as the platform states a bound with a fraction.
#[test]
fn bounds_with_fractions() {
    let text = "[bounds]\ngrace_s = 7.5\nversion_ms = 8000.0\nretry_slack = 102.6\n\
                retry_window_s = 9.5\nevacuation_ms = 2500.5\ncold_slack = 5.0";
    let bounds = parse(text).unwrap().bounds;
    let times = [bounds.grace, bounds.version, bounds.retry_window, bounds.evacuation.unwrap()];
    assert_eq!(times.map(|it| it.as_micros()), [7_500_000, 8_000_000, 9_500_000, 2_500_500]);
    // Never more than is allowed.
    assert_eq!((bounds.retry_slack, bounds.cold_slack), (102, 5));
    for wrong in ["grace_s = 0.5", "grace_s = NaN", "version_ms = 1e9", "retry_slack = -1"] {
        let problems = parse(&format!("[bounds]\n{wrong}")).unwrap_err();
        assert!(problems.contains("give a number from"), "{problems}");
    }
}
