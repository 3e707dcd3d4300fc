//! A client for the engine on the same host: reads its report, fills its staging area and orders it
//! to load weights.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use quick_error::quick_error;
use serde::Deserialize;
use serde_json::json;

use crate::{
    http1::{Call, Client, HttpError, Response},
    ids::WeightsVersion,
    json_parts,
    placement::TRIAL_INTERVAL,
    platform::{wire_headers, wire_server::WireWeights},
    routing::LoadedLayers,
};

/// Timeout of a call to an engine, which runs on the same host.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum length of a response: one piece and a margin.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// The members of a report that are decoded.
const REPORT_MEMBERS: [&str; 7] =
    ["models", "layers", "busy", "sequence", "born", "running", "queued"];

quick_error! {
    /// An error of a call to an engine or to the origin of weights.
    #[derive(Debug)]
    pub enum EngineError {
        /// No complete response arrived; an order may have been accepted.
        NoResponse(err: HttpError) {
            from()
            source(err)
            display("no complete response: {err}")
        }
        /// The call was refused with this HTTP status.
        Refused(status: u16) {
            display("refused with status {status}")
        }
        /// The engine asked for a pause, which has not ended; nothing was sent.
        Paused {
            display("the engine asked for a pause")
        }
        /// The body of the response could not be decoded.
        InvalidResponse(err: serde_json::Error) {
            from()
            source(err)
            display("invalid response: {err}")
        }
    }
}

/// The state of an engine, as the engine reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// The layers that are loaded, with their versions.
    pub weights: Vec<LoadedLayers>,
    /// Whether the engine is carrying out an order.
    pub is_busy: bool,
    /// The number of orders that the engine has accepted since its start.
    pub n_orders: u64,
    /// The time at which the engine started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The number of requests that are running.
    pub n_running: u32,
    /// The number of requests that are queued.
    pub n_queued: u32,
}

impl EngineReport {
    /// Returns the number of requests that are running or queued.
    pub fn n_unfinished(&self) -> u32 {
        self.n_running.saturating_add(self.n_queued)
    }
}

#[derive(Deserialize)]
struct WireReport {
    #[serde(flatten)]
    weights: WireWeights,
    #[serde(default)]
    busy: bool,
    /// The number of orders accepted, despite the name.
    #[serde(default)]
    sequence: u64,
    #[serde(default)]
    born: u64,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    queued: u32,
}

/// The engine's reaction to an order that it received and did not reject as invalid.
///
/// The names of the variants are written into the log field `outcome=`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order and has started to carry it out.
    Begun,
    /// The order is already in effect.
    InEffect,
    /// The engine is not in the expected state; read its report again.
    Conflict,
}

/// What an engine does with running requests when it switches to other weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwitchMode {
    /// It completes running requests before it switches.
    Drain,
    /// It aborts running requests.
    Abort,
}

/// A client for one engine, which sends nothing in a pause that the engine asked for.
#[derive(Clone, Debug)]
pub struct EngineApi {
    address: SocketAddr,
    client: Rc<Client>,
    pause_end: Rc<Cell<Option<Instant>>>,
}

impl EngineApi {
    /// Creates a client for the engine at `address`.
    pub fn new(address: SocketAddr) -> EngineApi {
        EngineApi { address, client: Rc::default(), pause_end: Rc::default() }
    }

    /// Reads the report of the engine's state.
    pub async fn read_report(&self) -> Result<EngineReport, EngineError> {
        let response =
            self.call(&Call::get("/v1/report", CALL_TIMEOUT, MAX_RESPONSE_BYTES)).await?;
        let members = members_of(&response)?;
        let report: WireReport =
            serde_json::from_slice(&json_parts::select(&members, &REPORT_MEMBERS))?;
        Ok(EngineReport {
            weights: report.weights.decode(),
            is_busy: report.busy,
            n_orders: report.sequence,
            started_ms: report.born,
            n_running: report.running,
            n_queued: report.queued,
        })
    }

    /// Returns the numbers of the staged pieces of `model`; empty if the engine responds with 404.
    pub async fn list_staged_pieces(&self, model: &str) -> Result<Vec<u32>, EngineError> {
        let target = format!("/v1/stage-get/{model}");
        let response = self.call(&Call::get(&target, CALL_TIMEOUT, MAX_RESPONSE_BYTES)).await;
        let response = match response {
            Err(EngineError::Refused(404)) => return Ok(Vec::new()),
            res => res?,
        };
        let members = members_of(&response)?;
        let numbers = json_parts::member(&members, "held").and_then(json_parts::items);
        Ok(json_parts::decode_items(&numbers.unwrap_or_default()))
    }

    /// Reads a piece from the staging area, without verifying its digest.
    pub async fn read_staged_piece(
        &self,
        model: &str,
        number: u32,
    ) -> Result<Vec<u8>, EngineError> {
        let target = format!("/v1/stage-get/{model}?num={number}");
        let response = self.call(&Call::get(&target, CALL_TIMEOUT, MAX_RESPONSE_BYTES)).await?;
        Ok(response.body)
    }

    /// Writes a piece to the staging area.
    pub async fn stage_piece(
        &self,
        model: &str,
        number: u32,
        bytes: &[u8],
    ) -> Result<(), EngineError> {
        let target = format!("/v1/stage-put/{model}?num={number}");
        let mut call = Call::json("PUT", &target, bytes.to_vec(), CALL_TIMEOUT);
        call.head.headers.set("Content-Type", "application/octet-stream");
        self.call(&call).await.map(drop)
    }

    /// Orders the engine to load the staged pieces as `version`.
    ///
    /// The engine accepts the order only if it has accepted exactly `n_orders` orders before, so that
    /// a repeated order is not carried out twice.
    pub async fn load_staged(
        &self,
        model: &str,
        version: WeightsVersion,
        mode: SwitchMode,
        n_orders: u64,
    ) -> Result<OrderOutcome, EngineError> {
        let mode = match mode {
            SwitchMode::Drain => "wait",
            SwitchMode::Abort => "cut",
        };
        let order = json!({
            "op": "start",
            "model": model,
            "version": version,
            "switch-mode": mode,
            "precondition": n_orders,
        });
        let body = order.to_string().into_bytes();
        match self.call(&Call::json("POST", "/v1/order", body, CALL_TIMEOUT)).await {
            Ok(response) if response.head.status == 202 => Ok(OrderOutcome::Begun),
            Ok(_) => Ok(OrderOutcome::InEffect),
            Err(EngineError::Refused(409)) => Ok(OrderOutcome::Conflict),
            Err(err) => Err(err),
        }
    }

    async fn call(&self, call: &Call) -> Result<Response, EngineError> {
        if self.pause_end.get().is_some_and(|it| Instant::now() < it) {
            return Err(EngineError::Paused);
        }
        let response = self.client.call(self.address, call).await?;
        if let Some(pause) = wire_headers::decode_response_info(&response.head).pause {
            let end = Instant::now() + pause.min(TRIAL_INTERVAL);
            self.pause_end.set(self.pause_end.get().max(Some(end)));
        }
        check_status(response)
    }
}

/// Returns the names and the texts of the members of a response's body.
fn members_of(response: &Response) -> Result<Vec<(String, &[u8])>, EngineError> {
    let invalid = || serde::de::Error::custom("the body is cut or is not an object");
    json_parts::members(&response.body).ok_or_else(|| EngineError::InvalidResponse(invalid()))
}

/// Returns the response if its status is 2xx, else `EngineError::Refused`.
pub(crate) fn check_status(response: Response) -> Result<Response, EngineError> {
    match response.head.status {
        200..=299 => Ok(response),
        status => Err(EngineError::Refused(status)),
    }
}
