//! A process as a typestate: starting, serving, leaving.

use std::{io, sync::Arc, time::Duration};

use async_channel::Receiver;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use quick_error::quick_error;

use crate::{
    daemon::components::Components,
    membership::{self, HostState},
    node::Node,
    runtime,
    settings::{RoleSettings, Settings},
};

/// Pause between two looks at whether a process may begin to serve.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time that a leaving slot stays reachable, so that entry hosts hear of it before it is gone.
const SLOT_LEAVE_GRACE: Duration = Duration::from_secs(2);
/// Time added to the age of kept lists of entry hosts before a leaving entry host refuses.
const ENTRY_LEAVE_GRACE: Duration = Duration::from_secs(1);

quick_error! {
    /// Why a process could not start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address can't be listened on.
        Listen(key: &'static str, err: io::Error) {
            source(err)
            display("[listen] {key} can't be used: {err}; choose a free address of this host")
        }
        /// Signals can't be waited for.
        Signals(err: io::Error) {
            source(err)
            display("signals can't be waited for: {err}")
        }
    }
}

/// State of a process that listens but serves nothing yet.
#[derive(Debug)]
pub struct Starting(());

/// State of a process that serves.
#[derive(Debug)]
pub struct Serving(());

/// State of a process that finishes what is in progress.
#[derive(Debug)]
pub struct Leaving(());

/// One process in the life cycle state `S`.
pub struct Daemon<S> {
    node: Arc<Node>,
    components: Components,
    leave: Receiver<()>,
    signals: Signals,
    _state: S,
}

impl Daemon<Starting> {
    /// Listens on every address and begins to learn from peers and the platform.
    pub async fn start(settings: Settings) -> Result<Daemon<Starting>, StartError> {
        let signals = Signals::new([Signal::Term, Signal::Int]).map_err(StartError::Signals)?;
        let (leave_sender, leave) = async_channel::bounded(1);
        let node = Node::new(settings);
        let components = Components::start(node.clone(), leave_sender).await?;
        let host = &node.settings.host;
        log::info!("daemon: started host={} region={} zone={}", host.id, host.region, host.zone);
        Ok(Daemon { node, components, leave, signals, _state: Starting(()) })
    }

    /// Waits for a charter, then takes requests; a signal or an order to leave ends it.
    pub async fn serve(mut self) -> Result<Daemon<Serving>, StartError> {
        let node = self.node.clone();
        let ready = async {
            while node.documents.charter().is_none() {
                runtime::sleep(READY_CHECK_INTERVAL).await;
            }
            true
        };
        let signal = async {
            self.signals.next().await;
            false
        };
        let order = async {
            let _ = self.leave.recv().await;
            false
        };
        let is_ready = ready.or(signal).or(order);
        if is_ready.await {
            self.node.membership.update_own(|it| it.state = HostState::Live);
            log::info!("daemon: serving charter={}", self.node.documents.charter_number());
        }
        Ok(self.into_state(Serving(())))
    }
}

impl Daemon<Serving> {
    /// Serves until a signal or an operator asks the process to leave.
    pub async fn wait_for_leave(mut self) -> Daemon<Leaving> {
        if self.node.membership.own().state == HostState::Live {
            let signal = async {
                self.signals.next().await;
            };
            let order = async {
                let _ = self.leave.recv().await;
            };
            signal.or(order).await;
        }
        self.node.membership.update_own(|it| it.state = HostState::Leaving);
        log::info!("daemon: leaving");
        self.into_state(Leaving(()))
    }
}

impl Daemon<Leaving> {
    /// Tells the others, finishes every request in progress and closes all stages.
    pub async fn close(self) {
        membership::announce_leaving(&self.node).await;
        let grace = match self.node.settings.host.role {
            RoleSettings::Entry => {
                self.node.settings.limits.entry_hosts_max_age_s + ENTRY_LEAVE_GRACE
            }
            RoleSettings::Backend => SLOT_LEAVE_GRACE,
        };
        runtime::sleep(grace).await;
        self.components.wait_until_idle(self.node.settings.limits.drain_timeout_ms).await;
        self.components.close().await;
        log::info!("daemon: ended");
    }
}

impl<S> Daemon<S> {
    fn into_state<T>(self, state: T) -> Daemon<T> {
        let Daemon { node, components, leave, signals, _state: _ } = self;
        Daemon { node, components, leave, signals, _state: state }
    }
}
