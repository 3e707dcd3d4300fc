//! Settings files are checked as a whole: each problem is reported with its line and what is allowed.
//!
//! The lines `; expect: TEXT` of a file under `tests/settings` are texts of its error; a file
//! without such a line must be accepted.

use std::path::Path;

use crocustiller::settings::Settings;

datatest_stable::harness! {
    { test = check_settings_file, root = "tests/settings", pattern = r"\.ini$" },
}

fn check_settings_file(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let expected: Vec<&str> = text.lines().filter_map(|it| it.strip_prefix("; expect: ")).collect();
    let message = match Settings::load(path) {
        Ok(_) => String::new(),
        Err(err) => err.to_string(),
    };
    assert_eq!(message.is_empty(), expected.is_empty(), "{message}");
    for text in expected {
        assert!(message.contains(text), "no {text:?} in:\n{message}");
    }
    Ok(())
}
