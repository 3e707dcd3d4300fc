//! The error for a settings file reports all problems, each with its line and the allowed values.
//!
//! Each line `; expect: TEXT` in a file under `tests/settings` is a text that the error for this
//! file must contain. A file without such a line must be accepted.

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
