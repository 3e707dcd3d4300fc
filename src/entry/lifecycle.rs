//! The lifecycle of an entry host as a typestate: starting, serving, leaving.

use std::{
    io,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use async_executor::Task;
use async_io::Async;

use crate::{
    entry::{
        admission_client, beacon_exchange,
        caller_connection::CallerConnection,
        cell_owner,
        count_guard::CountGuard,
        directory::{directory_response, readiness_response},
        entry_host::EntryHost,
        evacuations,
        metrics_endpoint::{self, metrics_response},
        own_registration, peer_catch_up, peer_messages, store_relay, store_sync,
    },
    fleet::{ExpiredEntries, StoreSource},
    http1::{
        accept_all, Connection, ConnectionLimits, ConnectionSlot, HttpEndpoint, PortConnections,
        RequestHead,
    },
    net::listen::listen as net_listen,
    runtime,
    settings::{DeployedSettings, EntryListenSettings},
    stop_signals::StopSignals,
};

/// Shortest time for which a leaving host still accepts connections, as callers may have its
/// address cached.
const MIN_LEAVE_TIME: Duration = Duration::from_secs(4);
/// Interval at which a leaving host checks whether its requests have ended.
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of checks for expired backend servers and for entry hosts that have timed out.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(250);

/// An entry host that accepts requests.
struct Serving {
    host: Rc<EntryHost>,
    signals: StopSignals,
    tasks: Vec<Task<()>>,
    endpoints: Vec<HttpEndpoint>,
}

/// An entry host that completes the requests in progress before it exits.
struct Leaving {
    host: Rc<EntryHost>,
    tasks: Vec<Task<()>>,
    endpoints: Vec<HttpEndpoint>,
    _signals: StopSignals,
}

/// Runs an entry host until it receives SIGTERM or SIGINT.
pub(crate) async fn run(settings: DeployedSettings, listen: EntryListenSettings) -> io::Result<()> {
    let serving = Serving::start(settings, listen)?;
    serving.wait_for_stop().await.close().await;
    Ok(())
}

impl Serving {
    fn start(settings: DeployedSettings, listen: EntryListenSettings) -> io::Result<Serving> {
        let signals = StopSignals::listen()?;
        let host = EntryHost::new(settings, listen.clone())?;
        let store = host.sources.client(StoreSource::Store);
        let listener = Async::new(net_listen(listen.callers)?)?;
        let limits = ConnectionLimits::of_process(host.settings.n_descriptors);
        let retry = store_sync::new_retry();
        let mut tasks = store_sync::start(&host, &retry);
        tasks.extend(evacuations::start(&host, &retry));
        tasks.push(store_relay::start(&host, limits.peers)?);
        tasks.push(runtime::spawn_local(own_registration::keep(host.clone(), store)));
        tasks.push(runtime::spawn_local(beacon_exchange::run(host.clone())));
        tasks.push(runtime::spawn_local(peer_messages::run(host.clone())));
        tasks.push(runtime::spawn_local(peer_catch_up::run(host.clone())));
        tasks.push(runtime::spawn_local(cell_owner::run(host.clone())));
        tasks.push(runtime::spawn_local(admission_client::report(host.clone())));
        let callers = host.clone();
        let connections = PortConnections::new("callers", limits.callers);
        let accept =
            accept_all(listener, connections, move |it, slot| serve(callers.clone(), it, slot));
        tasks.push(runtime::spawn_local(accept));
        tasks.push(runtime::spawn_local(expire(host.clone())));
        let directory = {
            let host = host.clone();
            let respond = move |it: &RequestHead| directory_response(&host, &it.target);
            HttpEndpoint::listen("directory", listen.directory, limits.directory, respond)?
        };
        let readiness = {
            let host = host.clone();
            let respond = move |_: &RequestHead| readiness_response(&host);
            HttpEndpoint::listen("readiness", listen.readiness, limits.checks, respond)?
        };
        let metrics = {
            let host = host.clone();
            metrics_endpoint::install_recorder();
            let respond = move |_: &RequestHead| metrics_response(&host);
            HttpEndpoint::listen("metrics", listen.metrics, limits.checks, respond)?
        };
        log::info!("daemon: started host={} role=entry", host.settings.host.id);
        Ok(Serving { host, signals, tasks, endpoints: vec![directory, readiness, metrics] })
    }

    async fn wait_for_stop(mut self) -> Leaving {
        self.signals.wait().await;
        log::info!("daemon: leaving in_progress={}", self.host.n_exchanges.get());
        self.host.departure.begin();
        Leaving {
            host: self.host,
            tasks: self.tasks,
            endpoints: self.endpoints,
            _signals: self.signals,
        }
    }
}

impl Leaving {
    /// Waits until no request is in progress or the grace period ends, then closes all connections.
    ///
    /// A process that exits early is replaced early. It sets the time of its exit beforehand, as a
    /// request may arrive at any moment and has to be answered, or refused, until then.
    async fn close(self) {
        let since = Instant::now();
        let mut exits_early = false;
        while self.host.departure.time_until_exit().is_some_and(|it| !it.is_zero()) {
            runtime::sleep(LEAVE_CHECK_INTERVAL).await;
            let has_ended = since.elapsed() > MIN_LEAVE_TIME && self.host.n_exchanges.get() == 0;
            if has_ended && !exits_early {
                self.host.departure.exit_early();
                exits_early = true;
            }
        }
        log::info!("daemon: stopped in_progress={}", self.host.n_exchanges.get());
        for endpoint in self.endpoints {
            endpoint.close().await;
        }
        for task in self.tasks {
            task.cancel().await;
        }
    }
}

async fn serve(host: Rc<EntryHost>, connection: Connection, slot: Arc<ConnectionSlot>) {
    let _guard = CountGuard::new(host.clone(), |it| &it.n_connections);
    CallerConnection::new(connection, slot, host).serve().await;
}

/// Removes backend servers that lapsed in an outage of the store and did not register again, and
/// applies the timeouts of entry hosts.
async fn expire(host: Rc<EntryHost>) {
    loop {
        runtime::sleep(EXPIRE_INTERVAL).await;
        host.refresh_peers();
        host.backends.borrow_mut().refresh_weights(Instant::now());
        let expired = host.backends.borrow_mut().expire(Instant::now());
        let has_changed = expired != ExpiredEntries::default();
        if has_changed {
            log::info!(
                "fleet: backend servers expired n={} confirmed={}",
                expired.removed.len(),
                expired.confirmed.len()
            );
        }
        expired.confirmed.iter().for_each(|it| host.server_notices.note_listed(it));
        evacuations::expire(&host);
        forget_removed_backends(&host);
        if has_changed || host.departure.since().is_some() {
            host.engine_owners.update(&host);
        }
    }
}

fn forget_removed_backends(host: &EntryHost) {
    let backends = host.backends.borrow();
    let is_registered = |id: &str| backends.get(id).is_some();
    host.health.borrow_mut().forget_removed(is_registered, Instant::now());
    host.plain_servers.borrow_mut().forget_removed(is_registered, Instant::now());
    host.server_notices.expire(is_registered);
    host.limited_servers.expire(is_registered);
}
