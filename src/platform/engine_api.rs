//! An engine as the slot process beside it sees it: report, staging area and orders.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use quick_error::quick_error;
use serde::Deserialize;
use serde_json::{json, Value};

use crate::{
    http1::{Call, Client, HttpError, Response},
    ids::WeightsVersion,
    platform::wire_server::WireWeights,
    routing::LoadedLayers,
};

/// Time limit of a call on the own machine.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest answer: a piece and a margin.
const MAX_ANSWER_BYTES: usize = 8 << 20;

quick_error! {
    /// Why a call of an engine or of the origin failed.
    #[derive(Debug)]
    pub enum EngineError {
        /// No whole answer came; an order may have been accepted.
        Unanswered(err: HttpError) {
            from()
            source(err)
            display("no answer: {err}")
        }
        /// The call was refused.
        Refused(status: u16) {
            display("refused with status {status}")
        }
        /// The answer can't be read.
        Unreadable(err: serde_json::Error) {
            from()
            source(err)
            display("the answer can't be read: {err}")
        }
    }
}

/// State of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Weights that it holds.
    pub weights: Vec<LoadedLayers>,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Orders that it has accepted since its start.
    pub n_orders: u64,
    /// Start of the engine in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Requests that run.
    pub n_running: u32,
    /// Requests that wait.
    pub n_queued: u32,
}

#[derive(Deserialize)]
struct WireReport {
    #[serde(flatten)]
    weights: WireWeights,
    #[serde(default)]
    busy: bool,
    /// Orders accepted, despite its name.
    #[serde(default)]
    sequence: u64,
    #[serde(default)]
    born: u64,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    queued: u32,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It has begun.
    Begun,
    /// It is in effect already.
    InEffect,
    /// It does not fit the engine's state; read the report.
    Conflict,
}

/// How an engine goes over to other weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwitchMode {
    /// It finishes what runs.
    Wait,
    /// It breaks off what runs.
    Cut,
}

/// A client of one engine.
#[derive(Clone, Debug)]
pub struct EngineApi {
    address: SocketAddr,
    client: Rc<Client>,
}

impl EngineApi {
    /// Makes a client of the engine at `address`.
    pub fn new(address: SocketAddr) -> EngineApi {
        EngineApi { address, client: Rc::default() }
    }

    /// Reads the engine's state.
    pub async fn report(&self) -> Result<EngineReport, EngineError> {
        let answer = self.call(&Call::get("/v1/report", CALL_TIMEOUT, MAX_ANSWER_BYTES)).await?;
        let report: WireReport = serde_json::from_slice(&answer.body)?;
        Ok(EngineReport {
            weights: report.weights.decode(),
            is_busy: report.busy,
            n_orders: report.sequence,
            started_ms: report.born,
            n_running: report.running,
            n_queued: report.queued,
        })
    }

    /// Numbers of the pieces that lie in the staging area.
    pub async fn staged(&self, model: &str) -> Result<Vec<u32>, EngineError> {
        let target = format!("/v1/stage-get/{model}");
        let answer = self.call(&Call::get(&target, CALL_TIMEOUT, MAX_ANSWER_BYTES)).await;
        let answer = match answer {
            Err(EngineError::Refused(404)) => return Ok(Vec::new()),
            res => res?,
        };
        let value: Value = serde_json::from_slice(&answer.body)?;
        let held = value["held"].as_array().cloned().unwrap_or_default();
        Ok(held.iter().filter_map(|it| it.as_u64()).map(|it| it as u32).collect())
    }

    /// Reads a piece from the staging area; nothing has checked it.
    pub async fn staged_piece(&self, model: &str, number: u32) -> Result<Vec<u8>, EngineError> {
        let target = format!("/v1/stage-get/{model}?num={number}");
        let answer = self.call(&Call::get(&target, CALL_TIMEOUT, MAX_ANSWER_BYTES)).await?;
        Ok(answer.body)
    }

    /// Puts a piece into the staging area.
    pub async fn stage(&self, model: &str, number: u32, bytes: &[u8]) -> Result<(), EngineError> {
        let target = format!("/v1/stage-put/{model}?num={number}");
        let mut call = Call::json("PUT", &target, bytes.to_vec(), CALL_TIMEOUT);
        call.head.headers.set("Content-Type", "application/octet-stream");
        self.call(&call).await.map(drop)
    }

    /// Orders the engine to load what lies in the staging area, if it has accepted `n_orders` so far.
    pub async fn load_staged(
        &self,
        model: &str,
        version: WeightsVersion,
        mode: SwitchMode,
        n_orders: u64,
    ) -> Result<OrderOutcome, EngineError> {
        let mode = match mode {
            SwitchMode::Wait => "wait",
            SwitchMode::Cut => "cut",
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
            Ok(answer) if answer.head.status == 202 => Ok(OrderOutcome::Begun),
            Ok(_) => Ok(OrderOutcome::InEffect),
            Err(EngineError::Refused(409)) => Ok(OrderOutcome::Conflict),
            Err(err) => Err(err),
        }
    }

    async fn call(&self, call: &Call) -> Result<Response, EngineError> {
        accepted(self.client.call(self.address, call).await?)
    }
}

/// The answer of a call that was not refused.
pub(crate) fn accepted(answer: Response) -> Result<Response, EngineError> {
    match answer.head.status {
        200..=299 => Ok(answer),
        status => Err(EngineError::Refused(status)),
    }
}
