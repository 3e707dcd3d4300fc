//! Fingerprints of requests that were in progress when a backend server crashed.

use serde::{Deserialize, Serialize};

use crate::{
    digest::Digest,
    ids::{DocumentNumber, HostId},
};

/// Hosts that a request may crash before it is refused.
pub const MAX_CRASHED_HOSTS: usize = 2;
/// Fingerprints remembered; the oldest goes first.
const MAX_ENTRIES: usize = 256;

/// The document that all entry hosts share; changed only by conditional update.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// Rises by one with every change.
    pub number: DocumentNumber,
    /// Suspected and refused requests, oldest first.
    pub entries: Vec<QuarantineEntry>,
}

/// One suspected or refused request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// Digest of the request.
    pub fingerprint: Digest,
    /// Hosts that crashed while the request was in progress there.
    pub hosts: Vec<HostId>,
}

/// How a request is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Nothing is known against the request.
    Clear,
    /// It was in progress on a host that crashed; it runs alone.
    Suspect,
    /// It crashed too many hosts and is refused.
    Refused,
}

/// A change of the quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The request was in progress on a host that crashed.
    Crashed {
        /// Digest of the request.
        fingerprint: Digest,
        /// The host.
        host: HostId,
    },
    /// The request ran to its end alone, or an operator cleared it.
    Cleared {
        /// Digest of the request.
        fingerprint: Digest,
    },
}

impl Quarantine {
    /// How the request with `fingerprint` is to be treated.
    pub fn status_of(&self, fingerprint: &Digest) -> QuarantineStatus {
        let entry = self.entries.iter().find(|it| it.fingerprint == *fingerprint);
        match entry.map_or(0, |it| it.hosts.len()) {
            0 => QuarantineStatus::Clear,
            n if n < MAX_CRASHED_HOSTS => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Refused,
        }
    }

    /// Applies `change`; applying it again changes nothing.
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
