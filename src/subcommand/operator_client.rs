//! Sends orders to the operator addresses of entry hosts.

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

/// Time limit of one order at one entry host.
pub(crate) const ORDER_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;

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
pub(crate) struct Order {
    /// Method of the request.
    pub(crate) method: Method,
    /// Path on the operator address.
    pub(crate) path: String,
    /// Headers besides the token.
    pub(crate) headers: Vec<(&'static str, String)>,
    /// Body.
    pub(crate) body: Vec<u8>,
}

impl Order {
    /// An order that only reads.
    pub(crate) fn get(path: &str) -> Order {
        Order { method: Method::Get, path: path.to_owned(), headers: Vec::new(), body: Vec::new() }
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
    pub(crate) async fn send(&self, order: &Order) -> Result<Value, CommandError> {
        let mut failed = Vec::new();
        for address in &self.entry_hosts {
            match self.send_to(*address, order, ORDER_TIMEOUT).await {
                Err(CommandError::Unreachable(attempts)) => failed.extend(attempts),
                res => return res,
            }
        }
        Err(CommandError::Unreachable(failed))
    }

    /// Reads `path` at the first entry host that answers.
    pub(crate) async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let value = self.send(&Order::get(path)).await?;
        serde_json::from_value(value).map_err(|err| CommandError::InvalidResponse(err.to_string()))
    }

    /// Sends `order` to one process.
    pub(crate) async fn send_to(
        &self,
        address: SocketAddr,
        order: &Order,
        limit: Duration,
    ) -> Result<Value, CommandError> {
        let request = self.request(address, order);
        let res = self.http.fetch(address, request, limit, MAX_ANSWER_BYTES).await;
        let is_read = order.method == Method::Get;
        let (response, body) = res.map_err(|err| match err.verdict() {
            Verdict::MayHaveRun if !is_read => CommandError::ResponseLost(err.to_string()),
            _ => unreachable(address, &err.to_string()),
        })?;
        let status = u16::from(response.status());
        let value: Value = serde_json::from_slice(&body)
            .map_err(|err| CommandError::InvalidResponse(format!("{err}, status {status}")))?;
        if response.status().is_success() {
            return Ok(value);
        }
        Err(refusal(address, status, &value))
    }

    fn request(&self, address: SocketAddr, order: &Order) -> Request {
        let text = format!("http://{address}{}", order.path);
        let url = Url::parse(&text).expect("an address and a path make a URL");
        let mut request = Request::new(order.method, url);
        request.insert_header("Authorization", format!("Bearer {}", self.token));
        for (name, value) in &order.headers {
            request.insert_header(*name, value.as_str());
        }
        request.set_body(order.body.clone());
        request
    }
}

/// An entry host that can't take the order now lets the next one try.
fn refusal(address: SocketAddr, status: u16, value: &Value) -> CommandError {
    let message = value["error"]["message"].as_str().unwrap_or("refused").to_owned();
    let verdict = Verdict::from_header(value["error"]["verdict"].as_str().unwrap_or(""));
    if status == 503 && verdict == Verdict::NotRun {
        return unreachable(address, &message);
    }
    CommandError::Refused(status, message, verdict)
}

fn unreachable(address: SocketAddr, reason: &str) -> CommandError {
    CommandError::Unreachable(vec![FailedAttempt { address, reason: reason.to_owned() }])
}
