//! The objects and changes of the stand-in for the metadata store, apart from its calls.

use std::collections::{BTreeMap, VecDeque};

use serde_json::{json, Value};

/// The maximum number of objects in one page of a list.
const PAGE_SIZE: usize = 50;
/// The maximum number of changes that a restored copy may lack.
const MAX_COPIES: usize = 256;

/// The status and body of a response.
pub(crate) type StoreResponse = (u16, Value);

/// Objects by kind and name.
type Objects = BTreeMap<(String, String), Value>;

/// The objects and changes of a store.
#[derive(Default)]
pub(crate) struct State {
    objects: Objects,
    /// Changes with the kind of their object, oldest first.
    history: Vec<(String, Value)>,
    revision: u64,
    /// The number of times that the store was restored from a copy, plus one.
    era: u64,
    /// The revision up to which history was dropped; a watch from before it gets status 410.
    compacted_revision: u64,
    /// The objects before each of the latest changes, newest first.
    copies: VecDeque<Objects>,
    /// Texts that take the place of a string in responses, by this string; see `put_text`.
    texts: BTreeMap<String, Vec<u8>>,
}

impl State {
    pub(crate) fn new() -> State {
        State { revision: 1, era: 1, ..State::default() }
    }

    pub(crate) fn era(&self) -> u64 {
        self.era
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns `true` if a watch from `revision` lacks no change that the store knows of.
    pub(crate) fn has_history_since(&self, revision: u64) -> bool {
        (self.compacted_revision..=self.revision).contains(&revision)
    }

    /// Starts a change: takes a copy and returns the new revision.
    fn next_revision(&mut self) -> u64 {
        self.copies.push_front(self.objects.clone());
        self.copies.truncate(MAX_COPIES);
        self.revision += 1;
        self.revision
    }

    pub(crate) fn put(&mut self, kind: &str, name: &str, spec: Value) -> Value {
        let revision = self.next_revision();
        let metadata = json!({
            "name": name, "revision": revision, "created": revision,
            "finalizers": [], "delete-requested": false,
        });
        let object = json!({ "metadata": metadata, "spec": spec, "status": null });
        self.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        self.history.push((kind.to_owned(), json!({ "object": object, "deleted": false })));
        object
    }

    /// Writes an object whose `spec` is sent as this text, which need not be JSON.
    pub(crate) fn put_text(&mut self, kind: &str, name: &str, spec: &[u8]) {
        let placeholder = format!("text-{}", self.revision);
        self.put(kind, name, json!(placeholder));
        self.texts.insert(placeholder, spec.to_vec());
    }

    /// Returns the bytes of a response's body.
    pub(crate) fn encode(&self, body: &Value) -> Vec<u8> {
        let body = body.to_string();
        // A part between two quotation marks is a whole string if it is the name of a text.
        let parts = body.split('"').map(|it| self.texts.get(it).ok_or(it));
        let mut encoded: Vec<u8> = Vec::new();
        let mut is_after_text = true;
        for part in parts {
            if let Ok(text) = part {
                encoded.extend(text);
                is_after_text = true;
                continue;
            }
            if !std::mem::take(&mut is_after_text) {
                encoded.push(b'"');
            }
            encoded.extend(part.unwrap_err().as_bytes());
        }
        encoded
    }

    pub(crate) fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = self.objects.get(&key).cloned() else { return };
        object["metadata"]["revision"] = json!(self.next_revision());
        self.objects.remove(&key);
        self.history.push((kind.to_owned(), json!({ "object": object, "deleted": true })));
    }

    /// Drops the history.
    pub(crate) fn compact(&mut self) {
        self.compacted_revision = self.revision;
        self.history.clear();
    }

    /// Goes back to the copy before the latest `n_changes` changes.
    pub(crate) fn restore(&mut self, n_changes: usize) {
        for _ in 0..n_changes {
            self.objects = self.copies.pop_front().expect("a copy of each change");
            self.revision -= 1;
        }
        let is_kept = |it: &(String, Value)| revision_of(&it.1["object"]) <= self.revision;
        self.history.retain(is_kept);
        self.compacted_revision = self.compacted_revision.min(self.revision);
        self.era += 1;
    }

    pub(crate) fn objects_of(&self, kind: &str) -> Vec<Value> {
        self.objects.iter().filter(|it| it.0 .0 == kind).map(|it| it.1.clone()).collect()
    }

    pub(crate) fn list(&self, kind: &str, after: &str) -> StoreResponse {
        let of_kind = self.objects.iter().filter(|it| it.0 .0 == kind && it.0 .1.as_str() > after);
        let items: Vec<&Value> = of_kind.map(|it| it.1).collect();
        let more = items.len() > PAGE_SIZE;
        let page = &items[..items.len().min(PAGE_SIZE)];
        (200, json!({ "items": page, "more": more, "at": self.revision }))
    }

    pub(crate) fn events(&self, kind: &str, since: u64) -> Vec<&Value> {
        let is_new = |it: &&(String, Value)| it.0 == kind && revision_of(&it.1["object"]) > since;
        self.history.iter().filter(is_new).map(|it| &it.1).collect()
    }

    pub(crate) fn create(&mut self, kind: &str, object: &Value) -> StoreResponse {
        let name = object["metadata"]["name"].as_str().unwrap_or("").to_owned();
        match self.objects.get(&(kind.to_owned(), name.clone())) {
            Some(stored) => (409, stored.clone()),
            None => (200, self.put(kind, &name, object["spec"].clone())),
        }
    }

    pub(crate) fn replace(&mut self, kind: &str, name: &str, object: &Value) -> StoreResponse {
        let Some(stored) = self.objects.get(&(kind.to_owned(), name.to_owned())) else {
            return (404, Value::Null);
        };
        let expected = &object["metadata"]["revision"];
        if !expected.is_null() && *expected != stored["metadata"]["revision"] {
            return (409, stored.clone());
        }
        (200, self.put(kind, name, object["spec"].clone()))
    }
}

fn revision_of(object: &Value) -> u64 {
    object["metadata"]["revision"].as_u64().unwrap_or(0)
}
