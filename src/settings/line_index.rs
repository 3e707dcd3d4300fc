//! Line numbers of the sections and keys of an INI text, which error messages show.

use std::collections::BTreeMap;

/// The line of the first occurrence of each section and key, and all later occurrences.
#[derive(Debug, Default)]
pub(crate) struct LineIndex {
    sections: BTreeMap<String, usize>,
    keys: BTreeMap<(String, String), usize>,
    repeated: Vec<RepeatedEntry>,
}

/// A section or key that occurs again after its first occurrence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RepeatedEntry {
    /// Line of the later occurrence, from 1.
    pub(crate) line: usize,
    /// Line of the first occurrence, from 1.
    pub(crate) first_line: usize,
    /// Name of the section.
    pub(crate) section: String,
    /// Name of the key; `None` if the section itself is repeated.
    pub(crate) key: Option<String>,
}

impl LineIndex {
    /// Indexes `text`; empty lines and comments are skipped.
    pub(crate) fn new(text: &str) -> LineIndex {
        let mut index = LineIndex::default();
        let mut section = String::new();
        for (idx, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with([';', '#']) {
                continue;
            }
            match section_name(line) {
                Some(name) => {
                    section = name.to_owned();
                    index.add_section(&section, idx + 1);
                }
                None => index.add_key(&section, key_name(line), idx + 1),
            }
        }
        index
    }

    /// Returns the line of a key, from 1, or 0 if the text doesn't contain it.
    pub(crate) fn line_of(&self, section: &str, key: &str) -> usize {
        self.keys.get(&(section.to_owned(), key.to_owned())).copied().unwrap_or(0)
    }

    /// Returns `true` if the text contains the section.
    pub(crate) fn has_section(&self, section: &str) -> bool {
        self.sections.contains_key(section)
    }

    /// Returns all sections with their lines.
    pub(crate) fn sections(&self) -> impl Iterator<Item = (&str, usize)> {
        self.sections.iter().map(|(name, line)| (name.as_str(), *line))
    }

    /// Returns all keys with their sections and lines.
    pub(crate) fn keys(&self) -> impl Iterator<Item = (&str, &str, usize)> {
        self.keys.iter().map(|((section, key), line)| (section.as_str(), key.as_str(), *line))
    }

    /// Returns the second and later occurrences of sections and keys.
    pub(crate) fn repeated(&self) -> &[RepeatedEntry] {
        &self.repeated
    }

    fn add_section(&mut self, section: &str, line: usize) {
        let first_line = *self.sections.entry(section.to_owned()).or_insert(line);
        if first_line != line {
            let section = section.to_owned();
            self.repeated.push(RepeatedEntry { line, first_line, section, key: None });
        }
    }

    fn add_key(&mut self, section: &str, key: &str, line: usize) {
        let full_key = (section.to_owned(), key.to_owned());
        let first_line = *self.keys.entry(full_key).or_insert(line);
        if first_line != line {
            let (section, key) = (section.to_owned(), Some(key.to_owned()));
            self.repeated.push(RepeatedEntry { line, first_line, section, key });
        }
    }
}

fn section_name(line: &str) -> Option<&str> {
    let (name, _) = line.strip_prefix('[')?.split_once(']')?;
    Some(name.trim())
}

fn key_name(line: &str) -> &str {
    line.split(['=', ':']).next().unwrap_or("").trim()
}
