//! Reads typed values from an INI text and collects all problems.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::SocketAddr,
    ops::RangeInclusive,
    path::{Path, PathBuf},
    str::FromStr,
    time::Duration,
};

use ini::Ini;
use quick_error::quick_error;

use crate::{digest::Digest, peer::PeerKey, settings::line_index::LineIndex};

/// The minimum length of a secret from which a peer key is derived.
const MIN_SECRET_CHARS: usize = 16;

quick_error! {
    /// An error that makes a settings file unusable.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file can't be read.
        Unreadable(path: PathBuf, err: std::io::Error) {
            source(err)
            display("the settings file {} can't be read: {err}; give a readable file with --settings", path.display())
        }
        /// The file is not valid INI.
        Syntax(path: PathBuf, err: ini::ParseError) {
            source(err)
            display("{}: line {}: {}; write sections as [name] and values as key = value", path.display(), err.line + 1, err.msg)
        }
        /// Sections or keys are unknown, missing, repeated or have invalid values.
        Problems(path: PathBuf, problems: Vec<Problem>) {
            display("{}: {}\n{}", path.display(), problem_count(problems), problem_lines(problems))
        }
    }
}

/// One problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Line in the file, from 1; 0 if the key is missing.
    pub line: usize,
    /// Section and key, as `[section] key`.
    pub key: String,
    /// What is wrong, and which values are allowed.
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "  {}: {}", self.key, self.reason),
            line => write!(f, "  line {line}: {}: {}", self.key, self.reason),
        }
    }
}

/// A reader of typed values from one settings file.
///
/// An invalid or missing value is recorded as a problem and read as `None`; `finish` reports all
/// problems together.
pub(crate) struct IniReader {
    ini: Ini,
    lines: LineIndex,
    path: PathBuf,
    known_keys: BTreeSet<(String, String)>,
    optional_sections: BTreeSet<&'static str>,
    problems: Vec<Problem>,
}

impl IniReader {
    /// Parses `text`, the content of the file at `path`; fails if it isn't valid INI.
    pub(crate) fn new(text: &str, path: &Path) -> Result<IniReader, SettingsError> {
        let ini =
            Ini::load_from_str(text).map_err(|err| SettingsError::Syntax(path.to_owned(), err))?;
        Ok(IniReader {
            ini,
            lines: LineIndex::new(text),
            path: path.to_owned(),
            known_keys: BTreeSet::new(),
            optional_sections: BTreeSet::new(),
            problems: Vec::new(),
        })
    }

    /// Checks for unknown and repeated entries; fails with all problems if there are any.
    pub(crate) fn finish(mut self) -> Result<(), SettingsError> {
        self.report_unknown_sections();
        self.report_unknown_keys();
        self.report_repeated();
        if self.problems.is_empty() {
            return Ok(());
        }
        self.problems.sort();
        Err(SettingsError::Problems(self.path, self.problems))
    }

    /// Records the section as allowed; returns `true` if the file has it.
    pub(crate) fn has_section(&mut self, section: &'static str) -> bool {
        self.optional_sections.insert(section);
        self.lines.has_section(section)
    }

    /// Records the key as allowed; returns `true` if the file has it.
    pub(crate) fn has_key(&mut self, section: &str, key: &str) -> bool {
        self.optional_text(section, key).is_some()
    }

    /// Reads all keys of a section that may be missing, with names as values.
    pub(crate) fn names_by_key(&mut self, section: &'static str) -> BTreeMap<String, String> {
        self.has_section(section);
        let in_section = self.lines.keys().filter(|it| it.0 == section);
        let keys: Vec<String> = in_section.map(|it| it.1.to_owned()).collect();
        keys.into_iter().filter_map(|it| Some((it.clone(), self.name(section, &it)?))).collect()
    }

    /// Records a problem for a section that the other settings don't allow.
    pub(crate) fn reject_section(&mut self, section: &str, reason: &str) {
        for (_, line) in self.lines.sections().filter(|it| it.0 == section) {
            let key = format!("[{section}]");
            self.problems.push(Problem { line, key, reason: reason.to_owned() });
        }
    }

    /// Reads a required name.
    pub(crate) fn name(&mut self, section: &str, key: &str) -> Option<String> {
        let allowed = "letters, digits, '-', '_' and '.', 1 to 64 of them";
        let is_name = |it: &str| {
            let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
            (1..=64).contains(&it.len()) && it.chars().all(is_allowed)
        };
        let text = self.required_text(section, key, allowed)?;
        if is_name(&text) {
            return Some(text);
        }
        self.reject_value(section, key, &text, allowed)
    }

    /// Reads a required socket address.
    pub(crate) fn address(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        self.parse_required(section, key, "an IP address and port such as 10.0.0.7:8000")
    }

    /// Reads a required digest.
    pub(crate) fn digest(&mut self, section: &str, key: &str) -> Option<Digest> {
        self.parse_required(
            section,
            key,
            "64 hexadecimal digits, as `crocustiller token digest` prints",
        )
    }

    /// Reads a required list of socket addresses.
    pub(crate) fn addresses(&mut self, section: &str, key: &str) -> Option<Vec<SocketAddr>> {
        let allowed = "one or more IP addresses and ports, with commas between them";
        let text = self.required_text(section, key, allowed)?;
        match parse_addresses(&text) {
            Some(addresses) if !addresses.is_empty() => Some(addresses),
            _ => self.reject_value(section, key, &text, allowed),
        }
    }

    /// Reads a list of socket addresses; empty if the key is missing.
    pub(crate) fn optional_addresses(&mut self, section: &str, key: &str) -> Vec<SocketAddr> {
        if self.optional_text(section, key).is_none() {
            return Vec::new();
        }
        self.addresses(section, key).unwrap_or_default()
    }

    /// Reads a whole number within `range`, or `default` if the key is missing.
    pub(crate) fn number(
        &mut self,
        section: &str,
        key: &str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Option<u64> {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        self.parse_or(section, key, default, &allowed, |it| range.contains(it))
    }

    /// Reads a number within `range`, with a fraction or without, or `default` if the key is missing.
    pub(crate) fn decimal(
        &mut self,
        section: &str,
        key: &str,
        range: RangeInclusive<f64>,
        default: f64,
    ) -> Option<f64> {
        let allowed = format!("a number from {} to {}", range.start(), range.end());
        self.parse_or(section, key, default, &allowed, |it| range.contains(it))
    }

    /// Reads a duration in whole milliseconds, or `default` if the key is missing.
    pub(crate) fn milliseconds(
        &mut self,
        section: &str,
        key: &str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Option<Duration> {
        self.number(section, key, range, default).map(Duration::from_millis)
    }

    /// Reads a number from 0 to 1, or `default` if the key is missing.
    pub(crate) fn fraction(&mut self, section: &str, key: &str, default: f64) -> Option<f64> {
        self.decimal(section, key, 0.0..=1.0, default)
    }

    /// Reads a finite number above 0, or `default` if the key is missing.
    pub(crate) fn positive_number(
        &mut self,
        section: &str,
        key: &str,
        default: f64,
    ) -> Option<f64> {
        let is_allowed = |it: &f64| it.is_finite() && *it > 0.0;
        self.parse_or(section, key, default, "a number above 0", is_allowed)
    }

    /// Reads `true` or `false`, or `default` if the key is missing.
    pub(crate) fn flag(&mut self, section: &str, key: &str, default: bool) -> Option<bool> {
        self.parse_or(section, key, default, "true or false", |_| true)
    }

    /// Reads a value that `is_allowed`, or `default` if the key is missing.
    fn parse_or<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        allowed: &str,
        is_allowed: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let Some(text) = self.optional_text(section, key) else { return Some(default) };
        match text.parse().ok().filter(is_allowed) {
            Some(value) => Some(value),
            None => self.reject_value(section, key, &text, allowed),
        }
    }

    /// Reads the required name of one of `choices` and returns the value of that choice.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        section: &str,
        key: &str,
        choices: &[(&str, T)],
    ) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|it| it.0).collect();
        let allowed = format!("one of {}", names.join(", "));
        let text = self.required_text(section, key, &allowed)?;
        match choices.iter().find(|it| it.0 == text) {
            Some(choice) => Some(choice.1),
            None => self.reject_value(section, key, &text, &allowed),
        }
    }

    /// Reads the name of one of `choices`; the first one is the default.
    pub(crate) fn choice_or_first<T: Copy>(
        &mut self,
        section: &str,
        key: &str,
        choices: &[(&str, T)],
    ) -> Option<T> {
        match self.optional_text(section, key) {
            Some(_) => self.choice(section, key, choices),
            None => Some(choices[0].1),
        }
    }

    /// Reads the required name of a file, relative to the settings file, and derives the peer key
    /// from the secret in it.
    pub(crate) fn peer_key(&mut self, section: &str, key: &str) -> Option<PeerKey> {
        let allowed = format!(
            "a readable file with a shared secret of {MIN_SECRET_CHARS} characters or more"
        );
        let text = self.required_text(section, key, &allowed)?;
        let folder = self.path.parent().unwrap_or(Path::new("."));
        match std::fs::read_to_string(folder.join(&text)) {
            Ok(secret) if secret.trim_end().chars().count() >= MIN_SECRET_CHARS => {
                Some(PeerKey::from_secret(secret.trim_end().as_bytes()))
            }
            _ => self.reject_value(section, key, &text, &allowed),
        }
    }

    fn parse_required<T: FromStr>(&mut self, section: &str, key: &str, allowed: &str) -> Option<T> {
        let text = self.required_text(section, key, allowed)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => self.reject_value(section, key, &text, allowed),
        }
    }

    fn optional_text(&mut self, section: &str, key: &str) -> Option<String> {
        self.known_keys.insert((section.to_owned(), key.to_owned()));
        self.ini.get_from(Some(section), key).map(str::to_owned)
    }

    fn required_text(&mut self, section: &str, key: &str, allowed: &str) -> Option<String> {
        let value = self.optional_text(section, key);
        if value.is_none() {
            let reason = format!("missing; give {allowed}");
            self.problems.push(Problem { line: 0, key: full_key(section, key), reason });
        }
        value
    }

    fn reject_value<T>(
        &mut self,
        section: &str,
        key: &str,
        text: &str,
        allowed: &str,
    ) -> Option<T> {
        let line = self.lines.line_of(section, key);
        let reason = format!("'{text}' is not allowed; give {allowed}");
        self.problems.push(Problem { line, key: full_key(section, key), reason });
        None
    }

    fn report_unknown_sections(&mut self) {
        let mut names: BTreeSet<&str> = self.known_keys.iter().map(|it| it.0.as_str()).collect();
        names.extend(&self.optional_sections);
        let allowed = names.iter().copied().collect::<Vec<&str>>().join(", ");
        let mut problems = Vec::new();
        for (section, line) in self.lines.sections().filter(|it| !names.contains(it.0)) {
            let reason = format!("unknown section; allowed are {allowed}");
            problems.push(Problem { line, key: format!("[{section}]"), reason });
        }
        self.problems.append(&mut problems);
    }

    fn report_unknown_keys(&mut self) {
        let mut problems = Vec::new();
        for (section, key, line) in self.lines.keys() {
            if self.known_keys.contains(&(section.to_owned(), key.to_owned())) {
                continue;
            }
            let keys = self.known_keys_in(section);
            let reason = match (section, keys.is_empty()) {
                ("", _) => "key before the first section; move it into a section".to_owned(),
                (_, true) => continue,
                (_, false) => format!("unknown key; allowed are {}", keys.join(", ")),
            };
            problems.push(Problem { line, key: full_key(section, key), reason });
        }
        self.problems.append(&mut problems);
    }

    fn report_repeated(&mut self) {
        for it in self.lines.repeated() {
            let key = match &it.key {
                Some(key) => full_key(&it.section, key),
                None => format!("[{}]", it.section),
            };
            let reason = format!("already set on line {}; remove one of them", it.first_line);
            self.problems.push(Problem { line: it.line, key, reason });
        }
    }

    fn known_keys_in(&self, section: &str) -> Vec<&str> {
        let in_section = self.known_keys.iter().filter(|it| it.0 == section);
        in_section.map(|it| it.1.as_str()).collect()
    }
}

fn full_key(section: &str, key: &str) -> String {
    format!("[{section}] {key}")
}

fn parse_addresses(text: &str) -> Option<Vec<SocketAddr>> {
    let parts = text.split(',').map(str::trim).filter(|it| !it.is_empty());
    parts.map(|it| it.parse().ok()).collect()
}

fn problem_count(problems: &[Problem]) -> String {
    match problems.len() {
        1 => "1 problem".to_owned(),
        n => format!("{n} problems"),
    }
}

fn problem_lines(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}
