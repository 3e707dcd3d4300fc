//! A stand-in for the platform's metadata store: objects by kind and name, with revisions and
//! watches, and with injected faults.

use std::{
    collections::BTreeSet,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use serde_json::{json, Value};

use crate::raw_http::{
    store_state::{State, StoreResponse},
    RawRequest,
};

/// A fault that the store injects into all calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Refuses every call with this status.
    Status(u16),
    /// Closes the connection of every call without a response.
    Reset,
    /// Reads calls, sends no response and closes the connection after 60 s.
    Silent,
    /// Answers each watch that its history is gone.
    NoHistory,
}

impl StoreFault {
    /// Returns this fault, or `other` if this is `None`.
    fn or(self, other: StoreFault) -> StoreFault {
        match self {
            StoreFault::None => other,
            fault => fault,
        }
    }
}

/// A running stand-in for the metadata store, which any number of threads may share.
///
/// Tests change its objects and faults while processes read and watch it.
#[derive(Clone)]
pub struct StoreStandin {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<Served>,
    changed: Condvar,
}

/// The contents of the store, with the fault of all calls and their counts.
#[derive(Default)]
struct Served {
    store: State,
    fault: StoreFault,
    counts: CallCounts,
    /// The kinds whose next watch gets no answer.
    silent_kinds: BTreeSet<String>,
}

/// The numbers of calls that a store received, by kind; refused calls count too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Lists, one for each page.
    pub lists: u64,
    /// Lists and watches that accept stale data.
    pub stale_lists: u64,
    /// Watches.
    pub watches: u64,
    /// All other calls.
    pub writes: u64,
}

/// An additional address of a store, with a fault of its own.
///
/// Lets a test cut some processes off from the store while others still reach it.
#[derive(Clone)]
pub struct StoreEndpoint {
    address: SocketAddr,
    state: Arc<Mutex<EndpointState>>,
    store: StoreStandin,
}

/// The fault of an address and the list calls that it received.
#[derive(Default)]
struct EndpointState {
    fault: StoreFault,
    /// The kinds of the list calls that were served without `allow-stale`, in order.
    lists: Vec<String>,
}

impl StoreEndpoint {
    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Injects a fault into the calls to this address; waiting watches are closed.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.lock().unwrap().fault = fault;
        self.store.shared.changed.notify_all();
    }

    /// Returns the number of list calls for a kind that were served here without `allow-stale`.
    pub fn n_lists(&self, kind: &str) -> usize {
        self.state.lock().unwrap().lists.iter().filter(|it| *it == kind).count()
    }
}

impl StoreStandin {
    /// Listens on a free port of the loopback address.
    pub fn start() -> io::Result<StoreStandin> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = StoreStandin { address: listener.local_addr()?, shared: Arc::default() };
        store.shared.state.lock().unwrap().store = State::new();
        accept_connections(listener, store.shared.clone(), Arc::default());
        Ok(store)
    }

    /// Opens an additional address of the same store, which can have a fault of its own.
    pub fn open_endpoint(&self) -> io::Result<StoreEndpoint> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let endpoint = StoreEndpoint { address, state: Arc::default(), store: self.clone() };
        accept_connections(listener, self.shared.clone(), endpoint.state.clone());
        Ok(endpoint)
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes an object, as an operator or an engine does.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.shared.state.lock().unwrap().store.put(kind, name, spec);
        self.shared.changed.notify_all();
    }

    /// Writes an object whose `spec` is sent as this text, which need not be JSON.
    pub fn put_text(&self, kind: &str, name: &str, spec: &[u8]) {
        self.shared.state.lock().unwrap().store.put_text(kind, name, spec);
        self.shared.changed.notify_all();
    }

    /// Deletes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.state.lock().unwrap().store.remove(kind, name);
        self.shared.changed.notify_all();
    }

    /// Injects a fault into all calls; waiting watches are closed.
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.state.lock().unwrap().fault = fault;
        self.shared.changed.notify_all();
    }

    /// Never answers one watch of a kind, the next one if none waits, and keeps its connection open.
    pub fn silence_watch(&self, kind: &str) {
        self.shared.state.lock().unwrap().silent_kinds.insert(kind.to_owned());
        self.shared.changed.notify_all();
    }

    /// Drops the history of changes, so that watches from earlier revisions fail.
    pub fn compact(&self) {
        self.shared.state.lock().unwrap().store.compact();
        self.shared.changed.notify_all();
    }

    /// Goes back to the state before the latest `n_changes` changes, as if restored from a copy, and
    /// gives out their revisions again; waiting watches are closed.
    pub fn restore(&self, n_changes: usize) {
        self.shared.state.lock().unwrap().store.restore(n_changes);
        self.shared.changed.notify_all();
    }

    /// Returns the objects of a kind.
    pub fn objects(&self, kind: &str) -> Vec<Value> {
        self.shared.state.lock().unwrap().store.objects_of(kind)
    }

    /// Returns the number of calls received so far.
    pub fn n_calls(&self) -> u64 {
        let counts = self.counts();
        counts.lists + counts.stale_lists + counts.watches + counts.writes
    }

    /// Returns the numbers of calls received so far, by kind.
    pub fn counts(&self) -> CallCounts {
        self.shared.state.lock().unwrap().counts
    }
}

/// Accepts connections and serves each in its own thread.
fn accept_connections(
    listener: TcpListener,
    shared: Arc<Shared>,
    endpoint: Arc<Mutex<EndpointState>>,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (shared, endpoint) = (shared.clone(), endpoint.clone());
            // An error is ignored because a caller may close its connection at any time.
            thread::spawn(move || drop(shared.serve(stream, &endpoint)));
        }
    });
}

impl Shared {
    fn serve(&self, stream: TcpStream, endpoint: &Mutex<EndpointState>) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = RawRequest::read(&mut reader)? {
            let Some((status, body)) = self.respond(&request, endpoint) else { return Ok(()) };
            let (body, era) = {
                let store = &self.state.lock().unwrap().store;
                (store.encode(&body), store.era())
            };
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all(&[head.as_bytes(), &body].concat())?;
        }
        Ok(())
    }

    /// Returns the response to a call, or `None` to close the connection.
    fn respond(
        &self,
        request: &RawRequest,
        endpoint: &Mutex<EndpointState>,
    ) -> Option<StoreResponse> {
        let mut state = self.state.lock().unwrap();
        state.counts.count(request);
        let fault = state.fault.or(endpoint.lock().unwrap().fault);
        match fault {
            StoreFault::None | StoreFault::NoHistory => {}
            StoreFault::Status(status) => return Some((status, Value::Null)),
            StoreFault::Reset => return None,
            StoreFault::Silent => {
                drop(state);
                thread::sleep(Duration::from_secs(60));
                return None;
            }
        }
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let mut parts = path.trim_start_matches("/v1/objects/").splitn(2, '/');
        let (kind, name) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        let field = |name: &str| {
            let fields = query.split('&').filter_map(|it| it.split_once('='));
            fields.filter(|it| it.0 == name).map(|it| it.1).next()
        };
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let response = match (request.method.as_str(), field("watch")) {
            ("GET", Some(since)) => {
                drop(state);
                let wait = field("wait-ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                let wait = Duration::from_millis(wait);
                return self.watch(kind, since.parse().unwrap_or(0), wait, endpoint);
            }
            ("GET", None) => {
                if field("allow-stale").is_none() {
                    endpoint.lock().unwrap().lists.push(kind.to_owned());
                }
                state.store.list(kind, field("after").unwrap_or(""))
            }
            ("POST", _) => state.store.create(kind, &body),
            ("PUT", _) => state.store.replace(kind, name, &body),
            ("DELETE", _) => {
                state.store.remove(kind, name);
                (200, Value::Null)
            }
            _ => (404, Value::Null),
        };
        drop(state);
        self.changed.notify_all();
        Some(response)
    }

    fn watch(
        &self,
        kind: &str,
        since: u64,
        wait: Duration,
        endpoint: &Mutex<EndpointState>,
    ) -> Option<StoreResponse> {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        let era = state.store.era();
        loop {
            match state.fault.or(endpoint.lock().unwrap().fault) {
                StoreFault::None if state.store.era() == era => {}
                StoreFault::NoHistory => return Some((410, Value::Null)),
                _ => return None,
            }
            if !state.store.has_history_since(since) {
                return Some((410, Value::Null));
            }
            if !wait.is_zero() && state.silent_kinds.remove(kind) {
                drop(state);
                thread::sleep(Duration::from_secs(60));
                return None;
            }
            let events = state.store.events(kind, since);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                return Some((200, json!({ "events": events, "at": state.store.revision() })));
            }
            state = self.changed.wait_timeout(state, remaining).unwrap().0;
        }
    }
}

impl CallCounts {
    fn count(&mut self, request: &RawRequest) {
        let is_get = request.method == "GET";
        let count = match request.target.as_str() {
            it if is_get && it.contains("allow-stale") => &mut self.stale_lists,
            it if is_get && it.contains("watch=") => &mut self.watches,
            _ if is_get => &mut self.lists,
            _ => &mut self.writes,
        };
        *count += 1;
    }
}
