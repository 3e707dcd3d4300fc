//! The lifecycle of a process as a typestate: starting, serving, leaving.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::Receiver;
use futures_lite::FutureExt;
use quick_error::quick_error;

use crate::{
    daemon::components::Components,
    membership::{self, HostState},
    node::Node,
    runtime,
    settings::{RoleSettings, Settings},
    stop_signals::StopSignals,
};

/// Interval between two checks of whether a starting process has a charter and may serve.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a leaving slot stays reachable, so that entry hosts are notified before it stops.
const SLOT_LEAVE_GRACE: Duration = Duration::from_secs(2);
/// Time added to the maximum age of cached lists of entry hosts before a leaving entry host drains.
const ENTRY_LEAVE_GRACE: Duration = Duration::from_secs(1);
/// Time after the drain timeout for writing the responses to requests that it has ended.
const LAST_RESPONSE_TIME: Duration = Duration::from_millis(200);

quick_error! {
    /// An error that prevents the start of a process.
    #[derive(Debug)]
    pub enum StartError {
        /// The process can't listen on an address.
        Listen(key: &'static str, err: io::Error) {
            source(err)
            display("[listen] {key}: failed to listen: {err}; choose a free address of this host")
        }
        /// The signal handlers can't be installed.
        Signals(err: io::Error) {
            source(err)
            display("failed to install signal handlers: {err}")
        }
    }
}

/// The state of a process that listens but doesn't serve requests yet.
#[derive(Debug)]
pub struct Starting(());

/// The state of a process that serves requests.
#[derive(Debug)]
pub struct Serving(());

/// The state of a process that completes the requests in progress before it stops.
#[derive(Debug)]
pub struct Leaving(());

/// One process in the lifecycle state `S`.
pub struct Daemon<S> {
    node: Arc<Node>,
    components: Components,
    leave: Receiver<()>,
    signals: StopSignals,
    _state: S,
}

impl Daemon<Starting> {
    /// Listens on every address and starts to fetch state from peers and the platform.
    pub async fn start(settings: Settings) -> Result<Daemon<Starting>, StartError> {
        let signals = StopSignals::listen().map_err(StartError::Signals)?;
        let (leave_sender, leave) = async_channel::bounded(1);
        let node = Node::new(settings);
        let components = Components::start(node.clone(), leave_sender).await?;
        let host = &node.settings.host;
        log::info!("daemon: started host={} region={} zone={}", host.id, host.region, host.zone);
        Ok(Daemon { node, components, leave, signals, _state: Starting(()) })
    }

    /// Waits until a charter is available, then serves requests.
    ///
    /// A signal or an operator's call to leave ends the wait; the process then doesn't serve.
    pub async fn serve(mut self) -> Result<Daemon<Serving>, StartError> {
        let node = self.node.clone();
        let ready = async {
            while node.documents.charter().is_none() {
                runtime::sleep(READY_CHECK_INTERVAL).await;
            }
            true
        };
        let signal = async {
            self.signals.wait().await;
            false
        };
        let leave_call = async {
            let _ = self.leave.recv().await;
            false
        };
        let is_ready = ready.or(signal).or(leave_call);
        if is_ready.await {
            self.node.membership.update_own(|it| it.state = HostState::Live);
            log::info!("daemon: serving charter={}", self.node.documents.charter_number());
        }
        Ok(self.into_state(Serving(())))
    }
}

impl Daemon<Serving> {
    /// Serves until the process receives a signal or an operator's call to leave.
    pub async fn wait_for_leave(mut self) -> Daemon<Leaving> {
        if self.node.membership.own().state == HostState::Live {
            let signal = self.signals.wait();
            let leave_call = async {
                let _ = self.leave.recv().await;
            };
            signal.or(leave_call).await;
        }
        self.node.membership.update_own(|it| it.state = HostState::Leaving);
        log::info!("daemon: leaving");
        self.into_state(Leaving(()))
    }
}

impl Daemon<Leaving> {
    /// Announces the leave, waits for the requests in progress and stops all components.
    ///
    /// `drain_timeout_ms` limits the wait for admitted requests, and again for open responses.
    /// Requests that would take longer are refused or ended, so that their callers get a response.
    pub async fn close(self) {
        let grace = match self.node.settings.host.role {
            RoleSettings::Entry => {
                self.node.settings.limits.entry_hosts_max_age_s + ENTRY_LEAVE_GRACE
            }
            RoleSettings::Backend => SLOT_LEAVE_GRACE,
        };
        let drain_timeout = self.node.settings.limits.drain_timeout_ms;
        self.node.drain.begin(Instant::now() + grace + drain_timeout);
        membership::announce_leaving(&self.node).await;
        runtime::sleep(grace).await;
        self.components.wait_until_idle(drain_timeout + LAST_RESPONSE_TIME).await;
        self.components.close().await;
        log::info!("daemon: stopped");
    }
}

impl<S> Daemon<S> {
    fn into_state<T>(self, state: T) -> Daemon<T> {
        let Daemon { node, components, leave, signals, _state: _ } = self;
        Daemon { node, components, leave, signals, _state: state }
    }
}
