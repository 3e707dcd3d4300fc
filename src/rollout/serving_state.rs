//! Which version a slot answers with now, and how many requests it admitted under it.

use std::sync::{Arc, Mutex};

use event_listener::Event;

use crate::{
    ids::{SwitchNumber, VersionId},
    runtime::{self, TimedOut},
};

/// What a slot serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Serving {
    /// The slot admits nothing.
    Closed,
    /// The slot admits requests under `switch_number`.
    Open {
        /// Version that the backend server confirmed; empty at a plain service.
        version: VersionId,
        /// Switch number in force.
        switch_number: SwitchNumber,
    },
}

/// Why a request was not admitted; none of its bytes reached the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// The slot serves nothing now.
    Closed,
    /// The slot is at another switch number.
    SwitchMismatch(SwitchNumber),
}

/// Admission of requests at one slot.
#[derive(Debug)]
pub struct ServingState {
    inner: Mutex<Inner>,
    idle: Event,
}

#[derive(Debug)]
struct Inner {
    serving: Serving,
    prepared: Option<Prepared>,
    highest_switch_number: SwitchNumber,
    n_admitted: usize,
}

/// A version that the slot may serve from a coming switch on.
#[derive(Debug)]
struct Prepared {
    version: VersionId,
    switch_number: SwitchNumber,
}

impl ServingState {
    /// Starts closed.
    pub fn new() -> Arc<ServingState> {
        let inner = Inner {
            serving: Serving::Closed,
            prepared: None,
            highest_switch_number: 0,
            n_admitted: 0,
        };
        Arc::new(ServingState { inner: Mutex::new(inner), idle: Event::new() })
    }

    /// What the slot serves now.
    pub fn serving(&self) -> Serving {
        self.inner.lock().unwrap().serving.clone()
    }

    /// Opens the slot for a version; ignored when a later switch was adopted.
    pub fn open(&self, version: &str, switch_number: SwitchNumber) {
        let mut inner = self.inner.lock().unwrap();
        if switch_number < inner.highest_switch_number {
            return;
        }
        inner.highest_switch_number = switch_number;
        inner.prepared = None;
        inner.serving = Serving::Open { version: version.to_owned(), switch_number };
    }

    /// Admits nothing from now on; requests admitted before go on.
    pub fn close(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.serving = Serving::Closed;
        inner.prepared = None;
    }

    /// Admits nothing under `switch_number`; ignored when a later switch was adopted.
    pub fn close_at(&self, switch_number: SwitchNumber) {
        if switch_number >= self.inner.lock().unwrap().highest_switch_number {
            self.close();
        }
    }

    /// Lets the first request under `switch_number` open the slot for `version`.
    ///
    /// The entry hosts learn of a switch before most slots do; a prepared slot need not wait for
    /// the document that the entry host already has.
    pub fn prepare(&self, version: &str, switch_number: SwitchNumber) {
        let mut inner = self.inner.lock().unwrap();
        if switch_number > inner.highest_switch_number {
            inner.prepared = Some(Prepared { version: version.to_owned(), switch_number });
        }
    }

    /// Admits one request, which counts as in progress until the admission is dropped.
    ///
    /// `switch_number` is `None` at a plain service. A greater number than the own one is adopted:
    /// the slot serves under it if prepared, and nothing older from then on.
    pub fn admit(
        self: &Arc<Self>,
        switch_number: Option<SwitchNumber>,
    ) -> Result<Admission, AdmissionError> {
        let mut inner = self.inner.lock().unwrap();
        if let Some(number) = switch_number {
            inner.adopt_switch(number);
        }
        let Serving::Open { version, switch_number: current } = &inner.serving else {
            return Err(AdmissionError::Closed);
        };
        let current = *current;
        if switch_number.is_some_and(|it| it != current) {
            return Err(AdmissionError::SwitchMismatch(current));
        }
        let version = version.clone();
        inner.n_admitted += 1;
        drop(inner);
        Ok(Admission { state: self.clone(), version, switch_number: current })
    }

    /// Number of requests in progress.
    pub fn n_admitted(&self) -> usize {
        self.inner.lock().unwrap().n_admitted
    }

    /// Waits until no request is in progress, for at most `limit`.
    pub async fn wait_until_idle(&self, limit: std::time::Duration) -> Result<(), TimedOut> {
        let idle = async {
            loop {
                let listener = self.idle.listen();
                if self.n_admitted() == 0 {
                    return;
                }
                listener.await;
            }
        };
        runtime::timeout(limit, idle).await
    }

    fn release(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.n_admitted -= 1;
        if inner.n_admitted == 0 {
            self.idle.notify(usize::MAX);
        }
    }
}

impl Inner {
    fn adopt_switch(&mut self, number: SwitchNumber) {
        if number <= self.highest_switch_number {
            return;
        }
        self.highest_switch_number = number;
        let prepared = self.prepared.take().filter(|it| it.switch_number == number);
        self.serving = match prepared {
            Some(it) => Serving::Open { version: it.version, switch_number: number },
            None => Serving::Closed,
        };
    }
}

/// One admitted request.
#[derive(Debug)]
pub struct Admission {
    state: Arc<ServingState>,
    /// Version that answers the request.
    pub version: VersionId,
    /// Switch number that the request runs under.
    pub switch_number: SwitchNumber,
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.state.release();
    }
}
