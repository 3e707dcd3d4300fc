//! The life of an entry host as a typestate: starting, serving, leaving.

use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use async_executor::Task;
use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

use crate::{
    entry::{
        beacon_exchange, beliefs,
        caller_connection::CallerConnection,
        counted::Counted,
        directory::{answer_directory, answer_readiness},
        entry_host::EntryHost,
        metrics_page::{self, answer_metrics},
        news_server,
    },
    fleet::StoreSource,
    http1::{accept_all, Connection, Responder},
    net::listen::listen as net_listen,
    runtime,
    settings::{DeployedSettings, EntryListenSettings},
};

/// Least time for which a leaving host goes on to take connections of callers that know it.
const MIN_LEAVE_TIME: Duration = Duration::from_secs(4);
/// Pause between two looks at what is in progress.
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two looks at entries that lapsed.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(250);

/// An entry host that serves.
struct Serving {
    host: Rc<EntryHost>,
    signals: Signals,
    tasks: Vec<Task<()>>,
    responders: Vec<Responder>,
}

/// An entry host that finishes what is in progress.
struct Leaving {
    host: Rc<EntryHost>,
    tasks: Vec<Task<()>>,
    responders: Vec<Responder>,
}

/// Runs an entry host until it is stopped.
pub(crate) async fn run(settings: DeployedSettings, listen: EntryListenSettings) -> io::Result<()> {
    let serving = Serving::start(settings, listen)?;
    serving.wait_for_stop().await.close().await;
    Ok(())
}

impl Serving {
    fn start(settings: DeployedSettings, listen: EntryListenSettings) -> io::Result<Serving> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        let host = EntryHost::new(settings, listen.clone());
        let store = host.sources.client(StoreSource::Store);
        let listener = Async::new(net_listen(listen.callers)?)?;
        let mut tasks = beliefs::follow(&host);
        tasks.push(news_server::start(&host)?);
        tasks.extend(beacon_exchange::start(&host, &store)?);
        let callers = host.clone();
        let accept = accept_all(listener, move |it| serve(callers.clone(), it));
        tasks.push(runtime::spawn_local(accept));
        tasks.push(runtime::spawn_local(expire(host.clone())));
        let directory = {
            let host = host.clone();
            Responder::listen(listen.directory, move |it| answer_directory(&host, &it.target))?
        };
        let readiness = {
            let host = host.clone();
            Responder::listen(listen.readiness, move |_| answer_readiness(&host))?
        };
        let metrics = {
            let host = host.clone();
            metrics_page::install_recorder();
            Responder::listen(listen.metrics, move |_| answer_metrics(&host))?
        };
        log::info!("daemon: started host={} role=entry", host.settings.host.id);
        Ok(Serving { host, signals, tasks, responders: vec![directory, readiness, metrics] })
    }

    async fn wait_for_stop(mut self) -> Leaving {
        while let Some(signal) = self.signals.next().await {
            match signal {
                Ok(Signal::Hup) => log::info!("daemon: settings are read at the next start"),
                Ok(_) => break,
                Err(err) => log::warn!("daemon: signal not read error=\"{err}\""),
            }
        }
        log::info!("daemon: leaving in_progress={}", self.host.n_exchanges.get());
        self.host.leave();
        // The signals stay caught while the process leaves.
        let mut signals = self.signals;
        self.tasks
            .push(runtime::spawn_local(async move { while signals.next().await.is_some() {} }));
        Leaving { host: self.host, tasks: self.tasks, responders: self.responders }
    }
}

impl Leaving {
    /// Finishes what is in progress within the grace period.
    async fn close(self) {
        let since = Instant::now();
        while self.host.time_to_end().is_some_and(|it| !it.is_zero()) {
            runtime::sleep(LEAVE_CHECK_INTERVAL).await;
            if since.elapsed() > MIN_LEAVE_TIME && self.host.n_connections.get() == 0 {
                break;
            }
        }
        log::info!("daemon: ended in_progress={}", self.host.n_exchanges.get());
        for responder in self.responders {
            responder.close().await;
        }
        for task in self.tasks {
            task.cancel().await;
        }
    }
}

async fn serve(host: Rc<EntryHost>, connection: Connection) {
    let _counted = Counted::new(host.clone(), |it| &it.n_connections);
    CallerConnection::new(connection, host).serve().await;
}

/// Drops entries that lapsed in an outage and did not come back, and entry hosts that are silent.
async fn expire(host: Rc<EntryHost>) {
    loop {
        runtime::sleep(EXPIRE_INTERVAL).await;
        host.refresh_peers();
        let gone = host.backends.borrow_mut().expire(Instant::now());
        if !gone.is_empty() {
            log::info!("fleet: lapsed entries dropped n={}", gone.len());
            host.update_engine_owners();
        }
    }
}
