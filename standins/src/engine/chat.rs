//! Chat requests of an engine, from the batch to the last token.

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
    behaviour::take_one,
    engine::{
        answer::{self, ChatRequest},
        batch::Place,
        engine::Engine,
        engine_behaviour::MAX_COUNTED_IDS,
        loaded_weights::joined,
    },
    piece_body::PieceBody,
    respond,
};

impl Engine {
    pub(crate) async fn chat(
        self: Arc<Self>,
        mut request: Request,
    ) -> http_types::Result<Response> {
        let body = respond::read(&mut request).await?;
        let chat: ChatRequest = match serde_json::from_slice(&body) {
            Ok(chat) => chat,
            Err(err) => return Ok(respond::error(400, &err.to_string())),
        };
        let request_id = respond::header(&request, "X-Request-Id").unwrap_or_default();
        let priority = respond::header(&request, "X-Priority").and_then(|it| it.parse().ok());
        self.count_request(&request_id);
        let behaviour = self.behaviour.get();
        let crash_text = behaviour.crash_on_prompt.as_str();
        if !crash_text.is_empty() && chat.prompt().contains(crash_text) {
            self.crash();
            return respond::cut();
        }
        if self.weights.lock().unwrap().fingerprint().is_none() {
            return Ok(respond::error(503, "no weights are loaded"));
        }
        let concurrency = || self.behaviour.get().concurrency;
        let place = self.batch.enter(priority.unwrap_or(0), concurrency).await;
        self.note_prefix(&chat.prompt());
        self.pause(behaviour.first_token_ms).await;
        let answered = self.crossed(request_id, chat);
        if answered.chat.stream {
            return Ok(self.stream(answered, place));
        }
        self.whole(answered, place).await
    }

    async fn whole(
        self: Arc<Self>,
        answered: Answered,
        place: Place,
    ) -> http_types::Result<Response> {
        let mut guard = CancelGuard::new(self.clone());
        let mut fingerprint = self.fingerprint();
        for _ in 1..answered.chat.n_tokens() {
            self.pause(self.behaviour.get().token_ms).await;
            fingerprint = joined(&fingerprint, &self.fingerprint());
        }
        drop(place);
        guard.finish(&fingerprint);
        let Answered { request_id, chat, prompt } = answered;
        let text = answer::expected_answer(&prompt, chat.n_tokens());
        let value = answer::completion(&request_id, &chat, &text, &fingerprint);
        let mut response = respond::json(200, &value);
        response.insert_header("X-Request-Id", request_id);
        let text = serde_json::to_vec(&value)?;
        let half = text[..text.len() / 2].to_vec();
        if self.behaviour.update(|it| take_one(&mut it.short_answers)) {
            response.set_body(half);
        } else if self.behaviour.update(|it| take_one(&mut it.cut_answers)) {
            let (sender, receiver) = async_channel::bounded(2);
            let _ = sender.try_send(Ok(half));
            let _ = sender.try_send(Err(io::ErrorKind::ConnectionAborted.into()));
            response.set_body(PieceBody::body(receiver, Some(text.len())));
        }
        Ok(response)
    }

    fn stream(self: Arc<Self>, answered: Answered, place: Place) -> Response {
        let (sender, receiver) = async_channel::bounded(1);
        let mut response = respond::empty(200);
        response.insert_header("Content-Type", "text/event-stream");
        response.insert_header("X-Request-Id", answered.request_id.as_str());
        response.set_body(PieceBody::body(receiver, None));
        runtime::spawn(async move {
            let crashed = self.crashed.listen();
            let cut = async {
                crashed.await;
                let _ = sender.try_send(Err(io::ErrorKind::ConnectionAborted.into()));
            };
            self.clone().send_events(&sender, &answered).or(cut).await;
            drop(place);
        })
        .detach();
        response
    }

    async fn send_events(
        self: Arc<Self>,
        sender: &Sender<io::Result<Vec<u8>>>,
        answered: &Answered,
    ) {
        let mut guard = CancelGuard::new(self.clone());
        let is_cut = self.behaviour.update(|it| take_one(&mut it.cut_answers));
        let is_short = self.behaviour.update(|it| take_one(&mut it.short_answers));
        let is_doubled = self.behaviour.update(|it| take_one(&mut it.duplicate_answers));
        let n_tokens = answered.chat.n_tokens();
        let mut fingerprint = self.fingerprint();
        for idx in 0..n_tokens {
            if idx > 0 {
                self.pause(self.behaviour.get().token_ms).await;
                fingerprint = joined(&fingerprint, &self.fingerprint());
            }
            if is_short && idx >= n_tokens / 2 {
                return;
            }
            if is_cut && idx >= n_tokens / 2 {
                let _ = sender.send(Err(io::ErrorKind::ConnectionAborted.into())).await;
                return;
            }
            let piece = answered.event(idx, &fingerprint);
            if is_doubled && sender.send(Ok(piece.clone())).await.is_err() {
                return;
            }
            if sender.send(Ok(piece)).await.is_err() {
                return;
            }
        }
        guard.finish(&fingerprint);
        let _ = sender.send(Ok(answer::END_EVENT.to_vec())).await;
    }

    /// Swaps id and prompt with those of an earlier request while that fault is on.
    fn crossed(&self, request_id: String, chat: ChatRequest) -> Answered {
        let prompt = chat.prompt();
        let own = (request_id.clone(), prompt.clone());
        let earlier = self.last_text.lock().unwrap().replace(own);
        let is_crossed = self.behaviour.update(|it| take_one(&mut it.cross_request_ids));
        match earlier.filter(|_| is_crossed) {
            Some((request_id, prompt)) => Answered { request_id, chat, prompt },
            None => Answered { request_id, chat, prompt },
        }
    }

    fn fingerprint(&self) -> String {
        self.weights.lock().unwrap().fingerprint().unwrap_or_default()
    }

    /// Waits for a time of the model, and for the end of a stall.
    async fn pause(&self, time_ms: u64) {
        let slow = u64::from(self.behaviour.get().slow);
        runtime::sleep(Duration::from_millis(time_ms * slow)).await;
        while self.behaviour.get().stall {
            runtime::sleep(Duration::from_millis(20)).await;
        }
    }

    fn count_request(&self, request_id: &str) {
        let mut counts = self.counts.lock().unwrap();
        counts.requests += 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        counts.last_request_unix_ms = now.as_millis() as u64;
        if counts.runs.len() < MAX_COUNTED_IDS {
            *counts.runs.entry(request_id.to_owned()).or_default() += 1;
        }
    }
}

/// A request with the id and the prompt that its answer is made from.
struct Answered {
    request_id: String,
    chat: ChatRequest,
    prompt: String,
}

impl Answered {
    fn event(&self, idx: usize, fingerprint: &str) -> Vec<u8> {
        let is_last = idx + 1 == self.chat.n_tokens();
        let text = answer::token(&self.prompt, idx);
        answer::event(&self.request_id, &self.chat, &text, is_last, fingerprint)
    }
}

/// Counts a request as cancelled unless it was finished.
struct CancelGuard {
    inner: Arc<Engine>,
    is_finished: bool,
}

impl CancelGuard {
    fn new(inner: Arc<Engine>) -> CancelGuard {
        CancelGuard { inner, is_finished: false }
    }

    fn finish(&mut self, fingerprint: &str) {
        self.is_finished = true;
        let mut counts = self.inner.counts.lock().unwrap();
        counts.completed += 1;
        let is_whole = fingerprint.parse::<Digest>().is_ok();
        counts.answered_mixed += u64::from(!is_whole);
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.inner.counts.lock().unwrap().cancelled += 1;
        }
    }
}
