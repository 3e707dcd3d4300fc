//! Admission of requests at a slot: its version, its switch number and its requests in progress.

use std::sync::{Arc, Mutex};

use event_listener::Event;

use crate::{
    ids::{SwitchNumber, VersionId},
    runtime::{self, TimedOut},
};

/// Whether a slot admits requests, and with which version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Serving {
    /// The slot admits nothing.
    Closed,
    /// The slot admits requests under `switch_number`.
    Open {
        /// Version that the backend server confirmed; empty for a plain service.
        version: VersionId,
        /// Current switch number of the slot.
        switch_number: SwitchNumber,
    },
}

/// The reason why a request was not admitted.
///
/// No byte of the request was sent to the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// The slot is closed.
    Closed,
    /// The request has a switch number other than that of the slot, which this variant contains.
    SwitchMismatch(SwitchNumber),
}

/// The version that a slot serves and a count of its requests in progress.
///
/// A request carries the switch number that its entry host routed it under. The slot admits it only
/// under the same number, so that one request is never served by a version of another switch.
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

/// The version that the slot serves once a request arrives with `switch_number`.
#[derive(Debug)]
struct Prepared {
    version: VersionId,
    switch_number: SwitchNumber,
}

impl ServingState {
    /// Creates the state of a closed slot.
    pub fn new() -> Arc<ServingState> {
        let inner = Inner {
            serving: Serving::Closed,
            prepared: None,
            highest_switch_number: 0,
            n_admitted: 0,
        };
        Arc::new(ServingState { inner: Mutex::new(inner), idle: Event::new() })
    }

    /// Returns whether the slot admits requests, and with which version.
    pub fn serving(&self) -> Serving {
        self.inner.lock().unwrap().serving.clone()
    }

    /// Opens the slot for a version.
    ///
    /// Does nothing if the slot has already adopted a greater switch number.
    pub fn open(&self, version: &str, switch_number: SwitchNumber) {
        let mut inner = self.inner.lock().unwrap();
        if switch_number < inner.highest_switch_number {
            return;
        }
        inner.highest_switch_number = switch_number;
        inner.prepared = None;
        inner.serving = Serving::Open { version: version.to_owned(), switch_number };
    }

    /// Closes the slot; requests that were already admitted continue.
    pub fn close(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.serving = Serving::Closed;
        inner.prepared = None;
    }

    /// Closes the slot unless it has already adopted a switch number greater than `switch_number`.
    pub fn close_at(&self, switch_number: SwitchNumber) {
        if switch_number >= self.inner.lock().unwrap().highest_switch_number {
            self.close();
        }
    }

    /// Prepares the slot to open for `version` on the first request with `switch_number`.
    ///
    /// Entry hosts receive the pool document of a switch before most slots do. A prepared slot
    /// admits their requests without waiting for its own copy of the document.
    pub fn prepare(&self, version: &str, switch_number: SwitchNumber) {
        let mut inner = self.inner.lock().unwrap();
        if switch_number > inner.highest_switch_number {
            inner.prepared = Some(Prepared { version: version.to_owned(), switch_number });
        }
    }

    /// Admits one request, which counts as in progress until the admission is dropped.
    ///
    /// `switch_number` is `None` for a plain service. The slot adopts a number greater than its
    /// own: it opens under that number if it is prepared for it and closes otherwise, and it no
    /// longer admits requests with an older number.
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

    /// Returns the number of requests in progress.
    pub fn n_admitted(&self) -> usize {
        self.inner.lock().unwrap().n_admitted
    }

    /// Waits until no request is in progress, for at most `timeout`.
    pub async fn wait_until_idle(&self, timeout: std::time::Duration) -> Result<(), TimedOut> {
        let idle = async {
            loop {
                let listener = self.idle.listen();
                if self.n_admitted() == 0 {
                    return;
                }
                listener.await;
            }
        };
        runtime::timeout(timeout, idle).await
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

/// An admitted request, which counts as in progress until this value is dropped.
#[derive(Debug)]
pub struct Admission {
    state: Arc<ServingState>,
    /// Version that serves the request.
    pub version: VersionId,
    /// Switch number under which the request was admitted.
    pub switch_number: SwitchNumber,
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.state.release();
    }
}
