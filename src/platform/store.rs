//! The platform's metadata store: objects by kind and name, with revisions and watches.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::{
    http1::{Call, Client, HttpError, Response},
    ids::Revision,
};

/// Time limit of a call that does not wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time limit of a call that may be answered by old data.
const STALE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for the answer of a watch beyond its wait.
const WATCH_SLACK: Duration = Duration::from_millis(1500);
/// Longest answer: a page of a list and a margin.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Pages of one list at most.
const MAX_PAGES: usize = 64;

quick_error! {
    /// Why a call of the store failed.
    #[derive(Debug)]
    pub enum StoreError {
        /// No whole answer came; a write may have taken effect.
        Unanswered(err: HttpError) {
            from()
            source(err)
            display("the store does not answer: {err}")
        }
        /// The store turned the call away; nothing was done.
        TurnedAway(status: u16) {
            display("the store turned the call away with status {status}")
        }
        /// The history that a watch asks for is gone; list again.
        HistoryGone {
            display("the store has dropped the history; list again")
        }
        /// The object has another revision, or exists already.
        Conflict {
            display("the object was changed by somebody else; read it again")
        }
        /// The answer can't be read.
        Unreadable(err: serde_json::Error) {
            from()
            source(err)
            display("the store's answer can't be read: {err}")
        }
    }
}

/// An object as the store holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Name, revision and marks.
    pub metadata: Metadata,
    /// What the writer put there.
    #[serde(default)]
    pub spec: Value,
}

/// What the store keeps of every object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Metadata {
    /// Name within its kind.
    pub name: String,
    /// Revision of the last change.
    pub revision: Revision,
}

/// All objects of a kind at one revision of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The objects.
    pub objects: Vec<StoredObject>,
    /// The store's revision; a watch goes on from it.
    pub at: Revision,
}

/// Changes of a kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The changes, oldest first.
    pub events: Vec<Change>,
    /// The store's revision; the next watch goes on from it.
    pub at: Revision,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The object after the change, or before its removal.
    pub object: StoredObject,
    /// Whether it is gone.
    #[serde(default)]
    pub deleted: bool,
}

#[derive(Deserialize)]
struct Page {
    items: Vec<Value>,
    #[serde(default)]
    more: bool,
    at: Revision,
}

/// A client of the store.
#[derive(Clone, Debug)]
pub struct Store {
    address: SocketAddr,
    client: Rc<Client>,
}

impl Store {
    /// Makes a client of the store at `address`.
    pub fn new(address: SocketAddr) -> Store {
        Store { address, client: Rc::default() }
    }

    /// Reads all objects of a kind; those that can't be read are logged and left out.
    pub async fn list(&self, kind: &str) -> Result<Listing, StoreError> {
        let mut objects: Vec<StoredObject> = Vec::new();
        let mut first_at = None;
        let mut query = String::new();
        for _ in 0..MAX_PAGES {
            let target = format!("/v1/objects/{kind}{query}");
            let call = Call::get(&target, CALL_TIMEOUT, MAX_ANSWER_BYTES);
            let page: Page = serde_json::from_slice(&self.call(&call).await?.body)?;
            first_at.get_or_insert(page.at);
            let last = page.items.last().and_then(|it| it["metadata"]["name"].as_str());
            query = last.map(|it| format!("?after={it}")).unwrap_or_default();
            objects.extend(page.items.into_iter().filter_map(|it| readable(kind, it)));
            if !page.more || query.is_empty() {
                break;
            }
        }
        Ok(Listing { objects, at: first_at.unwrap_or(0) })
    }

    /// Reads the first page of a kind as it was seconds ago, which costs little.
    pub async fn list_stale(&self, kind: &str) -> Result<Listing, StoreError> {
        let target = format!("/v1/objects/{kind}?allow-stale=1");
        let call = Call::get(&target, STALE_TIMEOUT, MAX_ANSWER_BYTES);
        let page: Page = serde_json::from_slice(&self.call(&call).await?.body)?;
        let objects = page.items.into_iter().filter_map(|it| readable(kind, it)).collect();
        Ok(Listing { objects, at: page.at })
    }

    /// Waits at most `wait` for changes of a kind after revision `at`.
    pub async fn watch(
        &self,
        kind: &str,
        at: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let target = format!("/v1/objects/{kind}?watch={at}&wait-ms={}", wait.as_millis());
        let call = Call::get(&target, wait + WATCH_SLACK, MAX_ANSWER_BYTES);
        let answer = self.call(&call).await?;
        let raw: Value = serde_json::from_slice(&answer.body)?;
        let Some(events) = raw["events"].as_array() else {
            return Ok(serde_json::from_value(raw)?);
        };
        let events = events.iter().filter_map(|it| {
            let object = readable(kind, it["object"].clone())?;
            Some(Change { object, deleted: it["deleted"].as_bool().unwrap_or(false) })
        });
        Ok(Changes { events: events.collect(), at: raw["at"].as_u64().unwrap_or(at) })
    }

    /// Creates an object.
    pub async fn create(&self, kind: &str, name: &str, spec: Value) -> Result<(), StoreError> {
        let body = json!({ "metadata": { "name": name }, "spec": spec });
        self.write("POST", &format!("/v1/objects/{kind}"), body).await
    }

    /// Replaces an object, whatever its revision.
    pub async fn replace(&self, kind: &str, name: &str, spec: Value) -> Result<(), StoreError> {
        let body = json!({ "metadata": { "name": name }, "spec": spec });
        self.write("PUT", &format!("/v1/objects/{kind}/{name}"), body).await
    }

    /// Removes an object; one that is gone already is no error.
    pub async fn remove(&self, kind: &str, name: &str) -> Result<(), StoreError> {
        let target = format!("/v1/objects/{kind}/{name}");
        let call = Call::json("DELETE", &target, Vec::new(), CALL_TIMEOUT);
        self.call(&call).await.map(drop)
    }

    async fn write(&self, method: &str, target: &str, body: Value) -> Result<(), StoreError> {
        let call = Call::json(method, target, serde_json::to_vec(&body)?, CALL_TIMEOUT);
        self.call(&call).await.map(drop)
    }

    async fn call(&self, call: &Call) -> Result<Response, StoreError> {
        let answer = self.client.call(self.address, call).await?;
        match answer.head.status {
            200..=299 | 404 => Ok(answer),
            409 => Err(StoreError::Conflict),
            410 => Err(StoreError::HistoryGone),
            status => Err(StoreError::TurnedAway(status)),
        }
    }
}

fn readable(kind: &str, item: Value) -> Option<StoredObject> {
    match serde_json::from_value(item) {
        Ok(object) => Some(object),
        Err(err) => {
            log::warn!("platform: object left out kind={kind} error=\"{err}\"");
            None
        }
    }
}
