//! Calls of the platform's service.

use std::{net::SocketAddr, time::Duration};

use http_types::{Method, Request, Response, Url};
use quick_error::quick_error;
use serde::Deserialize;

use crate::{
    ids::{HostId, Revision},
    net::{CallError, HttpClient},
    verdict::Verdict,
};

/// Longest value of an object, and a margin for its head.
const MAX_RESPONSE_BYTES: usize = (1 << 20) + 4096;

/// An object as the platform holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Revision of the object, for a conditional update.
    pub revision: Revision,
    /// Value of the object.
    pub value: Vec<u8>,
}

/// One line of the platform's list of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ListedHost {
    /// The host.
    pub host: HostId,
    /// Address for calls between processes.
    pub peer_address: SocketAddr,
}

#[derive(Deserialize)]
struct HostList {
    hosts: Vec<ListedHost>,
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has this revision.
    Revision(Revision),
}

quick_error! {
    /// Why a call of the platform failed.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The precondition does not hold; the write did not take effect.
        Conflict(name: String) {
            display("the object {name} was changed by somebody else; read it again")
        }
        /// The platform could not be asked or did not answer.
        Unavailable(verdict: Verdict, reason: String) {
            display("the platform does not answer ({verdict}): {reason}")
        }
        /// The platform refused the call.
        Refused(name: String, status: u16) {
            display("the platform refused the call for {name} with status {status}")
        }
    }
}

impl PlatformError {
    /// Whether a write may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            PlatformError::Unavailable(verdict, _) => *verdict,
            PlatformError::Conflict(_) | PlatformError::Refused(..) => Verdict::NotRun,
        }
    }
}

/// A client of the platform's service.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    addresses: Vec<SocketAddr>,
    timeout: Duration,
    http: HttpClient,
}

impl PlatformClient {
    /// Makes a client that asks `addresses` in turn, with `timeout` a call.
    pub fn new(addresses: Vec<SocketAddr>, timeout: Duration, http: HttpClient) -> PlatformClient {
        PlatformClient { addresses, timeout, http }
    }

    /// Reads an object.
    pub async fn get(&self, name: &str) -> Result<Option<Object>, PlatformError> {
        let request = |address| Request::new(Method::Get, url(address, name));
        let (response, value) = self.call(request, self.timeout).await?;
        match u16::from(response.status()) {
            200 => Ok(Some(Object { revision: revision_of(&response), value })),
            404 => Ok(None),
            status => Err(status_error(name, status)),
        }
    }

    /// Reads the list of hosts, which lags and may be wrong.
    pub async fn hosts(&self) -> Result<Vec<ListedHost>, PlatformError> {
        let request = |address: SocketAddr| {
            let url = Url::parse(&format!("http://{address}/hosts"));
            Request::new(Method::Get, url.expect("an address makes a URL"))
        };
        let (response, value) = self.call(request, self.timeout).await?;
        match u16::from(response.status()) {
            200 => serde_json::from_slice::<HostList>(&value)
                .map(|it| it.hosts)
                .map_err(|err| PlatformError::Unavailable(Verdict::Ran, err.to_string())),
            status => Err(status_error("hosts", status)),
        }
    }

    /// Waits at most `wait` for a revision greater than `known`.
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

    /// Writes an object if the precondition holds; gives the new revision.
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
        let mut last_err = PlatformError::Unavailable(Verdict::NotRun, "no address".to_owned());
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

fn revision_of(response: &Response) -> Revision {
    response.header("ETag").and_then(|it| it.as_str().parse().ok()).unwrap_or(0)
}

fn status_error(name: &str, status: u16) -> PlatformError {
    match status {
        429 | 503 => PlatformError::Unavailable(Verdict::NotRun, format!("status {status}")),
        _ => PlatformError::Refused(name.to_owned(), status),
    }
}
