//! A store and an entry host, which tests send requests to.

use crocustiller_standins::raw_http::{ScriptedServer, StoreStandin};

use super::{charter, server_entry, EntryProcess};

/// A store and one entry host that serves requests with its entries.
pub struct Deployment {
    pub store: StoreStandin,
    pub entry: EntryProcess,
}

impl Deployment {
    /// Starts an entry host in front of `servers`, which all belong to the pool or service
    /// `service`, and waits until it is ready.
    pub fn start(service: &str, servers: &[&ScriptedServer]) -> Deployment {
        let store = StoreStandin::start().unwrap();
        store.put("config", "main", charter(1));
        for (idx, server) in servers.iter().enumerate() {
            let name = format!("{service}-{idx}");
            store.put("servers", &name, server_entry(service, server.address(), "ready"));
        }
        let entry = EntryProcess::start(&store, "entry-1");
        entry.wait_until_ready();
        Deployment { store, entry }
    }
}
