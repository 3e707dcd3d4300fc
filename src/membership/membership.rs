//! One process's view of the hosts, and its own record in it.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use event_listener::{Event, EventListener};

use crate::{
    ids::HostId,
    membership::member_record::{HostState, MemberRecord},
};

/// The hosts as one process knows them; the own record changes only through `update_own`.
#[derive(Debug)]
pub struct Membership {
    own: HostId,
    view: Mutex<View>,
    changed: Event,
}

#[derive(Debug, Default)]
struct View {
    records: BTreeMap<HostId, Arc<MemberRecord>>,
}

impl Membership {
    /// Starts a view that holds only the own record.
    pub fn new(own: MemberRecord) -> Membership {
        let host = own.host.clone();
        let records = BTreeMap::from([(host.clone(), Arc::new(own))]);
        Membership { own: host, view: Mutex::new(View { records }), changed: Event::new() }
    }

    /// The own record.
    pub fn own(&self) -> Arc<MemberRecord> {
        self.view.lock().unwrap().records[&self.own].clone()
    }

    /// All records, in order of host id.
    pub fn records(&self) -> Vec<Arc<MemberRecord>> {
        self.view.lock().unwrap().records.values().cloned().collect()
    }

    /// The record of one host.
    pub fn record(&self, host: &str) -> Option<Arc<MemberRecord>> {
        self.view.lock().unwrap().records.get(host).cloned()
    }

    /// Changes the own record; a change raises its sequence and is passed on.
    pub fn update_own(&self, change: impl FnOnce(&mut MemberRecord)) {
        let mut view = self.view.lock().unwrap();
        let old = view.records[&self.own].clone();
        let mut new = (*old).clone();
        change(&mut new);
        if new == *old {
            return;
        }
        new.sequence = old.sequence + 1;
        view.records.insert(self.own.clone(), Arc::new(new));
        drop(view);
        self.changed.notify(usize::MAX);
    }

    /// Takes the records that are newer than the held ones; says how many were.
    pub fn merge(&self, events: Vec<MemberRecord>) -> usize {
        let mut view = self.view.lock().unwrap();
        let mut n_taken = 0;
        for event in events {
            let held = view.records.get(&event.host);
            if event.host == self.own || held.is_some_and(|it| !event.is_newer_than(it)) {
                continue;
            }
            view.records.insert(event.host.clone(), Arc::new(event));
            n_taken += 1;
        }
        drop(view);
        if n_taken > 0 {
            self.changed.notify(usize::MAX);
        }
        n_taken
    }

    /// Records of hosts that take new work.
    pub fn live(&self) -> Vec<Arc<MemberRecord>> {
        let records = self.records();
        records.into_iter().filter(|it| it.state == HostState::Live).collect()
    }

    /// Listens for the next change; call before reading, then wait.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }
}
