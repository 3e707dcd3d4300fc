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
pub enum Refusal {
    /// The slot serves nothing now.
    Closed,
    /// The slot is at another switch number.
    OtherSwitch(SwitchNumber),
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
    n_admitted: usize,
}

impl ServingState {
    /// Starts closed.
    pub fn new() -> Arc<ServingState> {
        let inner = Inner { serving: Serving::Closed, n_admitted: 0 };
        Arc::new(ServingState { inner: Mutex::new(inner), idle: Event::new() })
    }

    /// What the slot serves now.
    pub fn serving(&self) -> Serving {
        self.inner.lock().unwrap().serving.clone()
    }

    /// Opens the slot for a version.
    pub fn open(&self, version: &str, switch_number: SwitchNumber) {
        let serving = Serving::Open { version: version.to_owned(), switch_number };
        self.inner.lock().unwrap().serving = serving;
    }

    /// Admits nothing from now on; requests admitted before go on.
    pub fn close(&self) {
        self.inner.lock().unwrap().serving = Serving::Closed;
    }

    /// Admits one request, which counts as in progress until the admission is dropped.
    ///
    /// `switch_number` is `None` at a plain service.
    pub fn admit(
        self: &Arc<Self>,
        switch_number: Option<SwitchNumber>,
    ) -> Result<Admission, Refusal> {
        let mut inner = self.inner.lock().unwrap();
        let Serving::Open { version, switch_number: own } = &inner.serving else {
            return Err(Refusal::Closed);
        };
        let own = *own;
        if switch_number.is_some_and(|it| it != own) {
            return Err(Refusal::OtherSwitch(own));
        }
        let version = version.clone();
        inner.n_admitted += 1;
        drop(inner);
        Ok(Admission { state: self.clone(), version, switch_number: own })
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
