//! The quarantine: fingerprints of requests that were in progress when a backend server crashed.

use serde::{Deserialize, Serialize};

use crate::{
    digest::Digest,
    ids::{DocumentNumber, HostId},
    json_parts,
};

/// Number of crashed backend servers, on different hosts, after which a request is refused.
pub const MAX_CRASHED_HOSTS: usize = 2;
/// Maximum number of stored fingerprints; the oldest is removed first.
const MAX_ENTRIES: usize = 256;

/// The quarantine document, shared by all entry hosts.
///
/// It keeps retries of one request from crashing one backend server after another. The document is
/// changed only by conditional updates.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// Document number, incremented by one with every change.
    pub number: DocumentNumber,
    /// Suspect and refused requests, oldest first.
    pub entries: Vec<QuarantineEntry>,
}

/// A suspect or refused request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// Fingerprint of the request.
    pub fingerprint: Digest,
    /// Hosts whose backend server crashed while the request was in progress there.
    pub hosts: Vec<HostId>,
}

/// How entry hosts treat a request, by the number of hosts whose backend server it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No crash is recorded for the request.
    Clear,
    /// The backend server of a host crashed while the request was in progress there; it runs alone.
    Suspect,
    /// The same happened on at least `MAX_CRASHED_HOSTS` hosts; the request is refused.
    Refused,
}

/// A change of the quarantine document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A backend server crashed while the request was in progress there.
    Crashed {
        /// Fingerprint of the request.
        fingerprint: Digest,
        /// Host of the backend server that crashed.
        host: HostId,
    },
    /// The request completed while it ran alone, or an operator cleared it.
    Cleared {
        /// Fingerprint of the request.
        fingerprint: Digest,
    },
}

impl Quarantine {
    /// Parses a JSON text; `None` if it has no number or no entries. An entry that can't be decoded is
    /// skipped, so that it doesn't clear the others.
    pub fn parse(json: &[u8]) -> Option<Quarantine> {
        let members = json_parts::members(json)?;
        let number = json_parts::decode_member(&members, "number")?;
        let entries = json_parts::member(&members, "entries").and_then(json_parts::items)?;
        Some(Quarantine { number, entries: json_parts::decode_items(&entries) })
    }

    /// Returns the status of the request with `fingerprint`.
    pub fn status_of(&self, fingerprint: &Digest) -> QuarantineStatus {
        let entry = self.entries.iter().find(|it| it.fingerprint == *fingerprint);
        match entry.map_or(0, |it| it.hosts.len()) {
            0 => QuarantineStatus::Clear,
            n if n < MAX_CRASHED_HOSTS => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Refused,
        }
    }

    /// Applies `change`; idempotent.
    pub fn apply(&mut self, change: &QuarantineChange) {
        match change {
            QuarantineChange::Crashed { fingerprint, host } => {
                self.record_crash(*fingerprint, host)
            }
            QuarantineChange::Cleared { fingerprint } => {
                self.entries.retain(|it| it.fingerprint != *fingerprint);
            }
        }
    }

    fn record_crash(&mut self, fingerprint: Digest, host: &str) {
        let existing = self.entries.iter_mut().find(|it| it.fingerprint == fingerprint);
        if let Some(entry) = existing {
            if !entry.hosts.iter().any(|it| it == host) {
                entry.hosts.push(host.to_owned());
            }
            return;
        }
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.remove(0);
        }
        self.entries.push(QuarantineEntry { fingerprint, hosts: vec![host.to_owned()] });
    }
}
