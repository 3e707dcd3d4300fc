//! Handles the chat requests of an engine, from the queue to the last token.

use std::{
    io,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_channel::Sender;
use crocustiller::{digest::Digest, runtime};
use futures_lite::FutureExt;
use http_types::{Request, Response};

use crate::{
    behaviour::consume_fault,
    channel_body::ChannelBody,
    engine::{
        batch::BatchSlot,
        chat_completion::{self, ChatRequest},
        engine::Engine,
        engine_behaviour::MAX_COUNTED_IDS,
        loaded_weights::combine_fingerprints,
    },
    http,
};

impl Engine {
    pub(crate) async fn chat(
        self: Arc<Self>,
        mut request: Request,
    ) -> http_types::Result<Response> {
        let body = http::read_body(&mut request).await?;
        let chat: ChatRequest = match serde_json::from_slice(&body) {
            Ok(chat) => chat,
            Err(err) => return Ok(http::error_response(400, &err.to_string())),
        };
        let request_id = http::header(&request, "X-Request-Id").unwrap_or_default();
        let priority = http::header(&request, "X-Priority").and_then(|it| it.parse().ok());
        self.record_request(&request_id);
        let behaviour = self.behaviour.get();
        let crash_text = behaviour.crash_on_prompt.as_str();
        if !crash_text.is_empty() && chat.prompt().contains(crash_text) {
            self.crash();
            return http::abort_connection();
        }
        if self.weights.lock().unwrap().fingerprint().is_none() {
            return Ok(http::error_response(
                503,
                "no weights are loaded; load them with POST /admin/load",
            ));
        }
        let concurrency = || self.behaviour.get().concurrency;
        let batch_slot = self.batch.acquire(priority.unwrap_or(0), concurrency).await;
        self.record_cache_event(&chat.prompt());
        self.simulate_delay(behaviour.first_token_ms).await;
        let pending = self.apply_cross_request_fault(request_id, chat);
        if pending.chat.stream {
            return Ok(self.respond_streaming(pending, batch_slot));
        }
        self.respond_complete(pending, batch_slot).await
    }

    async fn respond_complete(
        self: Arc<Self>,
        pending: PendingResponse,
        batch_slot: BatchSlot,
    ) -> http_types::Result<Response> {
        let mut guard = CancelGuard::new(self.clone());
        let mut fingerprint = self.fingerprint();
        for _ in 1..pending.chat.n_tokens() {
            self.simulate_delay(self.behaviour.get().token_ms).await;
            fingerprint = combine_fingerprints(&fingerprint, &self.fingerprint());
        }
        drop(batch_slot);
        guard.finish(&fingerprint);
        let PendingResponse { request_id, chat, prompt } = pending;
        let text = chat_completion::expected_answer(&prompt, chat.n_tokens());
        let value = chat_completion::completion(&request_id, &chat, &text, &fingerprint);
        let mut response = http::json_response(200, &value);
        response.insert_header("X-Request-Id", request_id);
        let text = serde_json::to_vec(&value)?;
        let half = text[..text.len() / 2].to_vec();
        if self.behaviour.update(|it| consume_fault(&mut it.short_answers)) {
            response.set_body(half);
        } else if self.behaviour.update(|it| consume_fault(&mut it.cut_answers)) {
            let (sender, receiver) = async_channel::bounded(2);
            let _ = sender.try_send(Ok(half));
            let _ = sender.try_send(Err(io::ErrorKind::ConnectionAborted.into()));
            response.set_body(ChannelBody::body(receiver, Some(text.len())));
        }
        Ok(response)
    }

    fn respond_streaming(
        self: Arc<Self>,
        pending: PendingResponse,
        batch_slot: BatchSlot,
    ) -> Response {
        let (sender, receiver) = async_channel::bounded(1);
        let mut response = http::empty_response(200);
        response.insert_header("Content-Type", "text/event-stream");
        response.insert_header("X-Request-Id", pending.request_id.as_str());
        response.set_body(ChannelBody::body(receiver, None));
        runtime::spawn(async move {
            let crashed = self.crashed.listen();
            let cut = async {
                crashed.await;
                let _ = sender.try_send(Err(io::ErrorKind::ConnectionAborted.into()));
            };
            self.clone().send_events(&sender, &pending).or(cut).await;
            drop(batch_slot);
        })
        .detach();
        response
    }

    async fn send_events(
        self: Arc<Self>,
        sender: &Sender<io::Result<Vec<u8>>>,
        pending: &PendingResponse,
    ) {
        let mut guard = CancelGuard::new(self.clone());
        let is_cut = self.behaviour.update(|it| consume_fault(&mut it.cut_answers));
        let is_short = self.behaviour.update(|it| consume_fault(&mut it.short_answers));
        let is_duplicate = self.behaviour.update(|it| consume_fault(&mut it.duplicate_answers));
        let n_tokens = pending.chat.n_tokens();
        let mut fingerprint = self.fingerprint();
        for idx in 0..n_tokens {
            if idx > 0 {
                self.simulate_delay(self.behaviour.get().token_ms).await;
                fingerprint = combine_fingerprints(&fingerprint, &self.fingerprint());
            }
            if is_short && idx >= n_tokens / 2 {
                return;
            }
            if is_cut && idx >= n_tokens / 2 {
                let _ = sender.send(Err(io::ErrorKind::ConnectionAborted.into())).await;
                return;
            }
            let event_bytes = pending.event(idx, &fingerprint);
            if is_duplicate && sender.send(Ok(event_bytes.clone())).await.is_err() {
                return;
            }
            if sender.send(Ok(event_bytes)).await.is_err() {
                return;
            }
        }
        guard.finish(&fingerprint);
        let _ = sender.send(Ok(chat_completion::END_EVENT.to_vec())).await;
    }

    /// Uses the id and prompt of the previous request if the fault `cross_request_ids` is active.
    fn apply_cross_request_fault(&self, request_id: String, chat: ChatRequest) -> PendingResponse {
        let prompt = chat.prompt();
        let own = (request_id.clone(), prompt.clone());
        let earlier = self.last_request.lock().unwrap().replace(own);
        let is_fault_active = self.behaviour.update(|it| consume_fault(&mut it.cross_request_ids));
        match earlier.filter(|_| is_fault_active) {
            Some((request_id, prompt)) => PendingResponse { request_id, chat, prompt },
            None => PendingResponse { request_id, chat, prompt },
        }
    }

    fn fingerprint(&self) -> String {
        self.weights.lock().unwrap().fingerprint().unwrap_or_default()
    }

    /// Waits for `time_ms` times the slowdown factor, then until the engine is not stalled.
    async fn simulate_delay(&self, time_ms: u64) {
        let slow = u64::from(self.behaviour.get().slow);
        runtime::sleep(Duration::from_millis(time_ms * slow)).await;
        while self.behaviour.get().stall {
            runtime::sleep(Duration::from_millis(20)).await;
        }
    }

    fn record_request(&self, request_id: &str) {
        let mut counts = self.counts.lock().unwrap();
        counts.requests += 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        counts.last_request_unix_ms = now.as_millis() as u64;
        if counts.runs.len() < MAX_COUNTED_IDS {
            *counts.runs.entry(request_id.to_owned()).or_default() += 1;
        }
    }
}

/// A chat request, with the id and the prompt that its response is made from.
///
/// They belong to another request while the fault `cross_request_ids` is active.
struct PendingResponse {
    request_id: String,
    chat: ChatRequest,
    prompt: String,
}

impl PendingResponse {
    fn event(&self, idx: usize, fingerprint: &str) -> Vec<u8> {
        let is_last = idx + 1 == self.chat.n_tokens();
        let text = chat_completion::token(&self.prompt, idx);
        chat_completion::event(&self.request_id, &self.chat, &text, is_last, fingerprint)
    }
}

/// Counts a request as cancelled when dropped, unless it was finished.
struct CancelGuard {
    engine: Arc<Engine>,
    is_finished: bool,
}

impl CancelGuard {
    fn new(engine: Arc<Engine>) -> CancelGuard {
        CancelGuard { engine, is_finished: false }
    }

    fn finish(&mut self, fingerprint: &str) {
        self.is_finished = true;
        let mut counts = self.engine.counts.lock().unwrap();
        counts.completed += 1;
        let is_single_version = fingerprint.parse::<Digest>().is_ok();
        counts.answered_mixed += u64::from(!is_single_version);
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.engine.counts.lock().unwrap().cancelled += 1;
        }
    }
}
