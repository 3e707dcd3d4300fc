//! The platform's metadata store: objects by kind and name, revisions, watches, faults.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use serde_json::{json, Value};

use crate::deployed::RawRequest;

/// Objects of one page of a list.
const PAGE: usize = 50;

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// It works.
    #[default]
    None,
    /// It turns every call away with this status.
    Status(u16),
    /// It breaks every connection off.
    Reset,
    /// It takes calls and never answers.
    Silent,
}

impl StoreFault {
    /// This fault, or `other` if it is none.
    fn or(self, other: StoreFault) -> StoreFault {
        match self {
            StoreFault::None => other,
            fault => fault,
        }
    }
}

/// A store that any number of threads share.
#[derive(Clone)]
pub struct StoreStandin {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<(String, String), Value>,
    /// Changes with their kind, oldest first.
    history: Vec<(String, Value)>,
    revision: u64,
    /// Revision up to which history is gone.
    compacted: u64,
    fault: StoreFault,
    n_calls: u64,
}

/// An address of a store for some of its callers.
#[derive(Clone)]
pub struct StoreDoor {
    address: SocketAddr,
    state: Arc<Mutex<DoorState>>,
    store: StoreStandin,
}

/// How an address misbehaves, and what was asked there.
#[derive(Default)]
struct DoorState {
    fault: StoreFault,
    /// Kinds whose lists were given, in order.
    lists: Vec<String>,
}

impl StoreDoor {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Misbehaves towards its callers from now on; watches that wait are cut off.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.lock().unwrap().fault = fault;
        self.store.shared.changed.notify_all();
    }

    /// Lists of a kind that were given here.
    pub fn n_lists(&self, kind: &str) -> usize {
        self.state.lock().unwrap().lists.iter().filter(|it| *it == kind).count()
    }
}

/// Status and body of an answer.
type Reply = (u16, Value);

impl StoreStandin {
    /// Listens on a free port of the loopback address.
    pub fn start() -> io::Result<StoreStandin> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = StoreStandin { address: listener.local_addr()?, shared: Arc::default() };
        store.shared.state.lock().unwrap().revision = 1;
        serve_all(listener, store.shared.clone(), Arc::default());
        Ok(store)
    }

    /// Opens another address of the same store, which may misbehave by itself.
    pub fn open_door(&self) -> io::Result<StoreDoor> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let door = StoreDoor { address, state: Arc::default(), store: self.clone() };
        serve_all(listener, self.shared.clone(), door.state.clone());
        Ok(door)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes an object as the operator or an engine would.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.shared.state.lock().unwrap().put(kind, name, spec);
        self.shared.changed.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.state.lock().unwrap().remove(kind, name);
        self.shared.changed.notify_all();
    }

    /// Misbehaves from now on; watches that wait are cut off.
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.state.lock().unwrap().fault = fault;
        self.shared.changed.notify_all();
    }

    /// Drops all history.
    pub fn compact(&self) {
        let mut state = self.shared.state.lock().unwrap();
        state.compacted = state.revision;
        state.history.clear();
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Calls so far.
    pub fn n_calls(&self) -> u64 {
        self.shared.state.lock().unwrap().n_calls
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Value) -> Value {
        self.revision += 1;
        let metadata = json!({
            "name": name, "revision": self.revision, "created": self.revision,
            "finalizers": [], "delete-requested": false,
        });
        let object = json!({ "metadata": metadata, "spec": spec, "status": null });
        self.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        self.history.push((kind.to_owned(), json!({ "object": object, "deleted": false })));
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let Some(mut object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        self.revision += 1;
        object["metadata"]["revision"] = json!(self.revision);
        self.history.push((kind.to_owned(), json!({ "object": object, "deleted": true })));
    }

    fn list(&self, kind: &str, after: &str) -> Reply {
        let of_kind = self.objects.iter().filter(|it| it.0 .0 == kind && it.0 .1.as_str() > after);
        let items: Vec<&Value> = of_kind.map(|it| it.1).collect();
        let more = items.len() > PAGE;
        (200, json!({ "items": items[..items.len().min(PAGE)], "more": more, "at": self.revision }))
    }

    fn events(&self, kind: &str, since: u64) -> Vec<&Value> {
        let is_new = |it: &&(String, Value)| {
            it.0 == kind && it.1["object"]["metadata"]["revision"].as_u64() > Some(since)
        };
        self.history.iter().filter(is_new).map(|it| &it.1).collect()
    }

    fn create(&mut self, kind: &str, object: &Value) -> Reply {
        let name = object["metadata"]["name"].as_str().unwrap_or("").to_owned();
        match self.objects.get(&(kind.to_owned(), name.clone())) {
            Some(held) => (409, held.clone()),
            None => (200, self.put(kind, &name, object["spec"].clone())),
        }
    }

    fn replace(&mut self, kind: &str, name: &str, object: &Value) -> Reply {
        let Some(held) = self.objects.get(&(kind.to_owned(), name.to_owned())) else {
            return (404, Value::Null);
        };
        let expected = &object["metadata"]["revision"];
        if !expected.is_null() && *expected != held["metadata"]["revision"] {
            return (409, held.clone());
        }
        (200, self.put(kind, name, object["spec"].clone()))
    }
}

/// Serves every connection in a thread of its own.
fn serve_all(listener: TcpListener, shared: Arc<Shared>, door: Arc<Mutex<DoorState>>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (shared, door) = (shared.clone(), door.clone());
            // A caller may end its connection at any moment.
            thread::spawn(move || drop(shared.serve(stream, &door)));
        }
    });
}

impl Shared {
    fn serve(&self, stream: TcpStream, door: &Mutex<DoorState>) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = RawRequest::read(&mut reader)? {
            let Some((status, body)) = self.answer(&request, door) else { return Ok(()) };
            let body = body.to_string();
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all((head + &body).as_bytes())?;
        }
        Ok(())
    }

    /// The answer to a call; `None` ends the connection.
    fn answer(&self, request: &RawRequest, door: &Mutex<DoorState>) -> Option<Reply> {
        let mut state = self.state.lock().unwrap();
        state.n_calls += 1;
        let fault = state.fault.or(door.lock().unwrap().fault);
        match fault {
            StoreFault::None => {}
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
        let reply = match (request.method.as_str(), field("watch")) {
            ("GET", Some(since)) => {
                drop(state);
                let wait = field("wait-ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                let wait = Duration::from_millis(wait);
                return self.watch(kind, since.parse().unwrap_or(0), wait, door);
            }
            ("GET", None) => {
                if field("allow-stale").is_none() {
                    door.lock().unwrap().lists.push(kind.to_owned());
                }
                state.list(kind, field("after").unwrap_or(""))
            }
            ("POST", _) => state.create(kind, &body),
            ("PUT", _) => state.replace(kind, name, &body),
            ("DELETE", _) => {
                state.remove(kind, name);
                (200, Value::Null)
            }
            _ => (404, Value::Null),
        };
        drop(state);
        self.changed.notify_all();
        Some(reply)
    }

    fn watch(
        &self,
        kind: &str,
        since: u64,
        wait: Duration,
        door: &Mutex<DoorState>,
    ) -> Option<Reply> {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if state.fault.or(door.lock().unwrap().fault) != StoreFault::None {
                return None;
            }
            if since < state.compacted {
                return Some((410, Value::Null));
            }
            let events = state.events(kind, since);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return Some((200, json!({ "events": events, "at": state.revision })));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
