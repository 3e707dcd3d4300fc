//! A client for the platform's object service.

use std::{net::SocketAddr, time::Duration};

use http_types::{Method, Request, Response, Url};
use quick_error::quick_error;
use serde::Deserialize;

use crate::{
    ids::{HostId, Revision},
    json_parts,
    net::{CallError, HttpClient},
    verdict::Verdict,
};

/// Maximum length of a response: the largest value of an object, plus a margin for the head.
const MAX_RESPONSE_BYTES: usize = (1 << 20) + 4096;

/// An object that the platform stores.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The revision of the object, for a conditional update.
    pub revision: Revision,
    /// The value of the object.
    pub value: Vec<u8>,
}

/// An item of the platform's list of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ListedHost {
    /// The id of the host.
    pub host: HostId,
    /// The address for calls from other processes.
    pub peer_address: SocketAddr,
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has this revision.
    Revision(Revision),
}

quick_error! {
    /// An error of a call to the platform.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The precondition was not met; the write did not take effect.
        Conflict(name: String) {
            display("another process changed the object {name}; read it again")
        }
        /// The platform could not be reached, did not respond, was overloaded or sent an invalid
        /// list.
        Unavailable(verdict: Verdict, reason: String) {
            display("the platform is unavailable ({verdict}): {reason}; check that it runs and is not overloaded")
        }
        /// The platform refused the call with this HTTP status.
        Refused(name: String, status: u16) {
            display("the platform refused the call for {name} with status {status}; see the log of the platform")
        }
    }
}

impl PlatformError {
    /// Returns whether a write may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            PlatformError::Unavailable(verdict, _) => *verdict,
            PlatformError::Conflict(_) | PlatformError::Refused(..) => Verdict::NotRun,
        }
    }
}

/// A client for the platform's object service.
///
/// It tries the next address only if it could not connect, so that a write is never sent twice.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    addresses: Vec<SocketAddr>,
    timeout: Duration,
    http: HttpClient,
}

impl PlatformClient {
    /// Creates a client that tries `addresses` in order, with `timeout` for each of them.
    pub fn new(addresses: Vec<SocketAddr>, timeout: Duration, http: HttpClient) -> PlatformClient {
        PlatformClient { addresses, timeout, http }
    }

    /// Reads an object; returns `None` if it does not exist.
    pub async fn get(&self, name: &str) -> Result<Option<Object>, PlatformError> {
        let request = |address| Request::new(Method::Get, url(address, name));
        let (response, value) = self.call(request, self.timeout).await?;
        match u16::from(response.status()) {
            200 => Ok(Some(Object { revision: revision_of(&response), value })),
            404 => Ok(None),
            status => Err(status_error(name, status)),
        }
    }

    /// Reads the list of hosts, which may be stale or wrong; skips hosts that can't be decoded.
    pub async fn hosts(&self) -> Result<Vec<ListedHost>, PlatformError> {
        let request = |address: SocketAddr| {
            let url = Url::parse(&format!("http://{address}/hosts"));
            Request::new(Method::Get, url.expect("an address makes a URL"))
        };
        let (response, value) = self.call(request, self.timeout).await?;
        match u16::from(response.status()) {
            200 => decode_hosts(&value).ok_or_else(|| {
                PlatformError::Unavailable(Verdict::Ran, "no list of hosts".to_owned())
            }),
            status => Err(status_error("hosts", status)),
        }
    }

    /// Waits for a revision greater than `known_revision`, for at most `wait`; returns `None` if
    /// there is none.
    pub async fn watch(
        &self,
        name: &str,
        known_revision: Revision,
        wait: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        let query = format!("watch={known_revision}&timeout_ms={}", wait.as_millis());
        let request = |address| {
            let mut url = url(address, name);
            url.set_query(Some(&query));
            Request::new(Method::Get, url)
        };
        let (response, value) = self.call(request, self.timeout + wait).await?;
        match u16::from(response.status()) {
            200 => Ok(Some(Object { revision: revision_of(&response), value })),
            304 | 404 => Ok(None),
            status => Err(status_error(name, status)),
        }
    }

    /// Writes an object if the precondition is met; returns the new revision.
    pub async fn put(
        &self,
        name: &str,
        value: &[u8],
        precondition: Precondition,
    ) -> Result<Revision, PlatformError> {
        let request = |address| {
            let mut request = Request::new(Method::Put, url(address, name));
            match precondition {
                Precondition::Absent => request.insert_header("If-None-Match", "*"),
                Precondition::Revision(it) => request.insert_header("If-Match", it.to_string()),
            };
            request.set_body(value.to_vec());
            request
        };
        let (response, _) = self.call(request, self.timeout).await?;
        match u16::from(response.status()) {
            200 => Ok(revision_of(&response)),
            412 => Err(PlatformError::Conflict(name.to_owned())),
            status => Err(status_error(name, status)),
        }
    }

    async fn call(
        &self,
        request: impl Fn(SocketAddr) -> Request,
        timeout: Duration,
    ) -> Result<(Response, Vec<u8>), PlatformError> {
        let mut last_err =
            PlatformError::Unavailable(Verdict::NotRun, "no address is configured".to_owned());
        for address in &self.addresses {
            let res =
                self.http.fetch(*address, request(*address), timeout, MAX_RESPONSE_BYTES).await;
            match res {
                Ok(response) => return Ok(response),
                Err(err @ CallError::Connect(..)) => {
                    last_err = PlatformError::Unavailable(Verdict::NotRun, err.to_string());
                }
                Err(err) => {
                    return Err(PlatformError::Unavailable(err.verdict(), err.to_string()));
                }
            }
        }
        Err(last_err)
    }
}

fn url(address: SocketAddr, name: &str) -> Url {
    let text = format!("http://{address}/objects/{name}");
    Url::parse(&text).expect("an address and an object name make a URL")
}

fn decode_hosts(text: &[u8]) -> Option<Vec<ListedHost>> {
    let members = json_parts::members(text)?;
    let hosts = json_parts::member(&members, "hosts").and_then(json_parts::items)?;
    Some(json_parts::decode_items(&hosts))
}

fn revision_of(response: &Response) -> Revision {
    response.header("ETag").and_then(|it| it.as_str().parse().ok()).unwrap_or(0)
}

fn status_error(name: &str, status: u16) -> PlatformError {
    match status {
        429 | 503 => PlatformError::Unavailable(Verdict::NotRun, format!("status {status}")),
        _ => PlatformError::Refused(name.to_owned(), status),
    }
}
