//! A client of the operator interface of entry hosts.

use std::{net::SocketAddr, time::Duration};

use http_types::{Method, Request, Url};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    error::{CommandError, FailedAttempt},
    net::HttpClient,
    subcommand::common_options::CommonOptions,
    verdict::Verdict,
};

/// Timeout of one call to one process.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum length of a response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A client that tries entry hosts one after the other until one handles the call.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    entry_hosts: Vec<SocketAddr>,
    token: String,
    http: HttpClient,
    /// Whether to print JSON.
    pub(crate) is_json: bool,
}

/// One call to an operator address.
#[derive(Clone, Debug)]
pub(crate) struct OperatorCall {
    /// Method of the HTTP request.
    pub(crate) method: Method,
    /// Path on the operator address.
    pub(crate) path: String,
    /// Headers other than the token.
    pub(crate) headers: Vec<(&'static str, String)>,
    /// Body of the HTTP request.
    pub(crate) body: Vec<u8>,
}

impl OperatorCall {
    /// Returns a `GET` call for `path`.
    pub(crate) fn get(path: &str) -> OperatorCall {
        OperatorCall {
            method: Method::Get,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }
}

impl OperatorClient {
    /// Creates a client from the options; opens no connection.
    pub(crate) fn new(options: &CommonOptions) -> Result<OperatorClient, CommandError> {
        Ok(OperatorClient {
            entry_hosts: options.entry_hosts()?,
            token: options.token()?,
            http: HttpClient::new(),
            is_json: options.is_json,
        })
    }

    /// Returns the operator addresses that the operator gave.
    pub(crate) fn entry_hosts(&self) -> &[SocketAddr] {
        &self.entry_hosts
    }

    /// Sends `call` to one entry host after the other, until one responds or may have run it.
    pub(crate) async fn send(&self, call: &OperatorCall) -> Result<Value, CommandError> {
        let mut failed_attempts = Vec::new();
        for address in &self.entry_hosts {
            match self.send_to(*address, call, CALL_TIMEOUT).await {
                Err(CommandError::Unreachable(attempts)) => failed_attempts.extend(attempts),
                res => return res,
            }
        }
        Err(CommandError::Unreachable(failed_attempts))
    }

    /// Sends `GET path` to the entry hosts and decodes the first response.
    pub(crate) async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let value = self.send(&OperatorCall::get(path)).await?;
        serde_json::from_value(value).map_err(|err| CommandError::InvalidResponse(err.to_string()))
    }

    /// Sends `call` to one process.
    ///
    /// Fails with `ResponseLost` if a call other than `GET` may have run, because sending it to
    /// another process could run it twice.
    pub(crate) async fn send_to(
        &self,
        address: SocketAddr,
        call: &OperatorCall,
        timeout: Duration,
    ) -> Result<Value, CommandError> {
        let request = self.request(address, call);
        let res = self.http.fetch(address, request, timeout, MAX_RESPONSE_BYTES).await;
        let is_read = call.method == Method::Get;
        let (response, body) = res.map_err(|err| match err.verdict() {
            Verdict::MayHaveRun if !is_read => CommandError::ResponseLost(err.to_string()),
            _ => unreachable_error(address, &err.to_string()),
        })?;
        let status = u16::from(response.status());
        let value: Value = serde_json::from_slice(&body)
            .map_err(|err| CommandError::InvalidResponse(format!("{err}, status {status}")))?;
        if response.status().is_success() {
            return Ok(value);
        }
        Err(rejection_error(address, status, &value))
    }

    fn request(&self, address: SocketAddr, call: &OperatorCall) -> Request {
        let text = format!("http://{address}{}", call.path);
        let url = Url::parse(&text).expect("an address and a path make a URL");
        let mut request = Request::new(call.method, url);
        request.insert_header("Authorization", format!("Bearer {}", self.token));
        for (name, value) in &call.headers {
            request.insert_header(*name, value.as_str());
        }
        request.set_body(call.body.clone());
        request
    }
}

/// Returns the error for a response whose status is not a success.
///
/// A 503 with the verdict `not-run` counts as unreachable, so that the next entry host is tried.
fn rejection_error(address: SocketAddr, status: u16, value: &Value) -> CommandError {
    let message = value["error"]["message"].as_str().unwrap_or("rejected").to_owned();
    let verdict = Verdict::from_header(value["error"]["verdict"].as_str().unwrap_or(""));
    if status == 503 && verdict == Verdict::NotRun {
        return unreachable_error(address, &message);
    }
    CommandError::Refused(status, message, verdict)
}

fn unreachable_error(address: SocketAddr, reason: &str) -> CommandError {
    CommandError::Unreachable(vec![FailedAttempt { address, reason: reason.to_owned() }])
}
