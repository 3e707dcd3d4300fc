//! Sends orders to the operator addresses of entry hosts.

use std::{net::SocketAddr, time::Duration};

use http_types::{Method, Request, Url};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    error::{Attempt, CommandError},
    net::HttpClient,
    subcommand::common_options::CommonOptions,
    verdict::Verdict,
};

/// Time limit of one order at one entry host.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest answer.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Sends orders to entry hosts in turn.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    entry_hosts: Vec<SocketAddr>,
    token: String,
    http: HttpClient,
    /// Print JSON.
    pub(crate) is_json: bool,
}

/// One order.
#[derive(Clone, Debug)]
pub(crate) struct OperatorCall {
    /// Method of the request.
    pub(crate) method: Method,
    /// Path on the operator address.
    pub(crate) path: String,
    /// Headers besides the token.
    pub(crate) headers: Vec<(&'static str, String)>,
    /// Body.
    pub(crate) body: Vec<u8>,
}

impl OperatorCall {
    /// An order that only reads.
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
    /// Makes a client from the options; opens no connection.
    pub(crate) fn new(options: &CommonOptions) -> Result<OperatorClient, CommandError> {
        Ok(OperatorClient {
            entry_hosts: options.entry_hosts()?,
            token: options.token()?,
            http: HttpClient::new(),
            is_json: options.is_json,
        })
    }

    /// The entry hosts that the operator named.
    pub(crate) fn entry_hosts(&self) -> &[SocketAddr] {
        &self.entry_hosts
    }

    /// Sends `order` to the entry hosts in turn until one answers or may have run it.
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

    /// Reads `path` at the first entry host that answers.
    pub(crate) async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let value = self.send(&OperatorCall::get(path)).await?;
        serde_json::from_value(value).map_err(|err| CommandError::Answer(err.to_string()))
    }

    /// Sends `order` to one process.
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
            Verdict::MayHaveRun if !is_read => CommandError::Lost(err.to_string()),
            _ => unreachable_error(address, &err.to_string()),
        })?;
        let status = u16::from(response.status());
        let value: Value = serde_json::from_slice(&body)
            .map_err(|err| CommandError::Answer(format!("{err}, status {status}")))?;
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

/// An entry host that can't take the order now lets the next one try.
fn rejection_error(address: SocketAddr, status: u16, value: &Value) -> CommandError {
    let message = value["error"]["message"].as_str().unwrap_or("refused").to_owned();
    let verdict = Verdict::from_header(value["error"]["verdict"].as_str().unwrap_or(""));
    if status == 503 && verdict == Verdict::NotRun {
        return unreachable_error(address, &message);
    }
    CommandError::Refused(status, message, verdict)
}

fn unreachable_error(address: SocketAddr, reason: &str) -> CommandError {
    CommandError::Unreachable(vec![Attempt { address, reason: reason.to_owned() }])
}
