//! A client for the platform's metadata store, which keeps objects by kind and name.
//!
//! Every change gets a revision, and a watch returns the changes after a revision.

use std::{
    cell::RefCell,
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::{
    http1::{Call, Client, HttpError, Response},
    ids::Revision,
    platform::{
        store_decoding::{decode_changes, decode_page},
        wire_objects, StoreContact, StorePoint,
    },
};

/// Timeout of a call that does not wait for changes.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of a list call that accepts stale data.
const STALE_LIST_TIMEOUT: Duration = Duration::from_millis(900);
/// Time that a watch gets for its response beyond its wait.
const WATCH_RESPONSE_MARGIN: Duration = Duration::from_millis(1500);
/// Maximum length of a response: a page of a list and a margin.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Maximum number of pages of one list; further pages are not read.
const MAX_PAGES: usize = 64;
/// Bytes of names, besides letters and digits, that stand for themselves in the query of a target.
const UNRESERVED: &[u8] = b"-._~:@/!$'()*,;";

quick_error! {
    /// An error of a call to the store.
    #[derive(Debug)]
    pub enum StoreError {
        /// No complete response arrived; a write may have taken effect.
        NoResponse(err: HttpError) {
            from()
            source(err)
            display("no complete response from the store: {err}")
        }
        /// The store refused the call with this HTTP status; nothing was changed.
        Refused(status: u16) {
            display("the store refused the call with status {status}")
        }
        /// The store no longer has the changes after the requested revision; list again.
        HistoryLost {
            display("the store no longer has the changes since this revision; list again")
        }
        /// The source has not reached the point in the store's history that this process knows.
        Behind {
            display("the source is behind what this process knows; use another one")
        }
        /// A watch waits without an answer though the store has changes for it; list again.
        WatchSilent {
            display("a watch gets no changes although the store has some; list again")
        }
        /// The object has another revision or already exists.
        Conflict {
            display("another process changed the object; read it again")
        }
        /// The body of the response could not be decoded.
        InvalidResponse(err: serde_json::Error) {
            from()
            source(err)
            display("invalid response from the store: {err}")
        }
    }
}

/// An object as the store returns it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The name and the revision.
    pub metadata: Metadata,
    /// The content, as its writer set it; null if it can't be decoded.
    #[serde(default)]
    pub spec: Value,
}

/// The metadata that the store keeps for every object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Metadata {
    /// The name, unique within the kind.
    pub name: String,
    /// The revision of the last change.
    pub revision: Revision,
}

/// All objects of a kind at one point in the store's history.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The objects.
    pub objects: Vec<StoredObject>,
    /// The point from which a watch continues.
    pub at: StorePoint,
}

/// A response to a watch: the changes of one kind after a point in the store's history.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The changes, oldest first.
    pub events: Vec<Change>,
    /// The point from which the next watch continues.
    #[serde(flatten)]
    pub at: StorePoint,
    /// Maximum age of the changes. The store reports changes at once, so its responses have none.
    #[serde(rename = "max-age-ms", default)]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_age: Duration,
}

impl Changes {
    /// Keeps only the newest change of each object, in order.
    pub fn retain_newest(&mut self) {
        let mut seen = BTreeSet::new();
        self.events.reverse();
        self.events.retain(|it| seen.insert(it.object.metadata.name.clone()));
        self.events.reverse();
    }
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The object after the change; if it was removed, the object before the removal.
    pub object: StoredObject,
    /// Whether the object was removed.
    #[serde(default)]
    pub deleted: bool,
}

/// A client for the store.
#[derive(Clone, Debug)]
pub struct Store {
    address: SocketAddr,
    client: Rc<Client>,
    /// Whether the responder is an entry host, which is told the generation of a watch.
    is_relay: bool,
    /// The store's responses to this client and those that share the state.
    contact: Rc<RefCell<StoreContact>>,
}

impl Store {
    /// Creates a client for the store at `address`.
    pub fn new(address: SocketAddr) -> Store {
        Store { address, client: Rc::default(), is_relay: false, contact: Rc::default() }
    }

    /// Creates a client for an entry host that relays the store.
    pub fn of_relay(address: SocketAddr) -> Store {
        Store { is_relay: true, ..Store::new(address) }
    }

    /// Records the store's responses, or what a relay tells of them, in the contact of `other` too.
    pub(crate) fn sharing_contact(self, other: &Store) -> Store {
        Store { contact: other.contact.clone(), ..self }
    }

    /// Returns when the store responded, as far as its clients know.
    pub fn contact(&self) -> StoreContact {
        *self.contact.borrow()
    }

    /// Records a message of another host, which shows that this process isn't cut off.
    pub(crate) fn record_peer(&self, now: Instant) {
        self.contact.borrow_mut().record_peer(now);
    }

    /// Records that the store came back, whatever its responses show.
    pub(crate) fn record_return(&self) {
        self.contact.borrow_mut().record_return(Instant::now());
    }

    /// Lists all objects of a kind, page by page. Objects without a name that can be decoded are skipped,
    /// and a page without any such name ends the list.
    ///
    /// The point is that of the first page, so that a watch also returns changes that happened
    /// while later pages were read.
    ///
    /// # Errors
    ///
    /// Returns `StoreError::HistoryLost` if the store came back from an older copy between two pages.
    pub async fn list(&self, kind: &str) -> Result<Listing, StoreError> {
        let mut objects: Vec<StoredObject> = Vec::new();
        let mut first_at = None;
        let mut after: Option<String> = None;
        for _ in 0..MAX_PAGES {
            let query = after.as_ref().map(|it| format!("?after={}", encode_name(it)));
            let target = format!("/v1/objects/{kind}{}", query.unwrap_or_default());
            let call = Call::get(&target, CALL_TIMEOUT, MAX_RESPONSE_BYTES);
            let page = decode_page(kind, &self.call(&call).await?)?;
            if first_at.get_or_insert(page.at).generation != page.at.generation {
                return Err(StoreError::HistoryLost);
            }
            let last_name = page.objects.last().map(|it| it.metadata.name.clone());
            objects.extend(page.objects);
            if !page.more {
                break;
            }
            // A page whose names don't go on can't be passed.
            if last_name.is_none() || last_name == after {
                log::warn!("platform: the list ends early, no page follows by name kind={kind}");
                break;
            }
            after = last_name;
        }
        Ok(Listing { objects, at: first_at.unwrap_or_default() })
    }

    /// Lists the first page of a kind and accepts data that is some seconds old, which puts little
    /// load on the store.
    pub async fn list_stale(&self, kind: &str) -> Result<Listing, StoreError> {
        let target = format!("/v1/objects/{kind}?allow-stale=1");
        let call = Call::get(&target, STALE_LIST_TIMEOUT, MAX_RESPONSE_BYTES);
        let page = decode_page(kind, &self.call(&call).await?)?;
        Ok(Listing { objects: page.objects, at: page.at })
    }

    /// Waits for changes of a kind after `at`, for at most `wait`. The store can't tell that `at` is
    /// of an earlier generation, so compare the generation of the changes.
    pub async fn watch(
        &self,
        kind: &str,
        at: StorePoint,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let StorePoint { generation, revision } = at;
        let mut target =
            format!("/v1/objects/{kind}?watch={revision}&wait-ms={}", wait.as_millis());
        if self.is_relay {
            target.push_str(&format!("&generation={generation}"));
        }
        let call = Call::get(&target, wait + WATCH_RESPONSE_MARGIN, MAX_RESPONSE_BYTES);
        let response = self.call(&call).await?;
        decode_changes(kind, revision, &response)
    }

    /// Returns the changes of a kind after `at` that the store has now; they may lack those of some
    /// seconds. This puts little load on the store.
    pub async fn changes_stale(&self, kind: &str, at: StorePoint) -> Result<Changes, StoreError> {
        let revision = at.revision;
        let target = format!("/v1/objects/{kind}?watch={revision}&wait-ms=0&allow-stale=1");
        let call = Call::get(&target, STALE_LIST_TIMEOUT, MAX_RESPONSE_BYTES);
        decode_changes(kind, revision, &self.call(&call).await?)
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

    async fn write(&self, method: &str, target: &str, body: Value) -> Result<(), StoreError> {
        let call = Call::json(method, target, serde_json::to_vec(&body)?, CALL_TIMEOUT);
        self.call(&call).await.map(drop)
    }

    /// Sends a request; a response with status 404 counts as success.
    async fn call(&self, call: &Call) -> Result<Response, StoreError> {
        let response = self.client.call(self.address, call).await?;
        self.record_response(&response);
        match response.head.status {
            200..=299 | 404 => Ok(response),
            409 => Err(StoreError::Conflict),
            410 => Err(StoreError::HistoryLost),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Records a response of the store that is no refusal, or what a relay tells.
    fn record_response(&self, response: &Response) {
        let now = Instant::now();
        let mut contact = self.contact.borrow_mut();
        match response.head.status {
            200..=299 if self.is_relay => {
                contact.merge(wire_objects::decode_contact(&response.body), now)
            }
            200..=299 | 404 | 409 | 410 if !self.is_relay => contact.record_answer(now),
            _ => {}
        }
    }
}

/// Encodes a name for the query of a target.
fn encode_name(name: &str) -> String {
    let encode = |byte: u8| match byte {
        b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' => char::from(byte).to_string(),
        _ if UNRESERVED.contains(&byte) => char::from(byte).to_string(),
        _ => format!("%{byte:02X}"),
    };
    name.bytes().map(encode).collect()
}
