//! Streams that are slow but sound are kept; those that stall are resumed at another engine.

mod entry_process;

use std::time::{Duration, Instant};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step};
use entry_process::{event_chunk, request, stream_head, CallerResponse, Deployment};

const PING: &[u8] = b"8\r\n: ping\n\n\r\n";
const END: &[u8] = b"0\r\n\r\n";

/// Comments are no progress, so a stream that only sends them has stalled.
#[test]
fn stalled_stream_with_comments() {
    let (response, n_sent, took) = exchange(|request| {
        if request.header("last-event-id").is_some() {
            return vec![Step::Send([event_chunk(2), END.to_vec()].concat())];
        }
        std::iter::once(Step::Send(event_chunk(1))).chain(pings()).collect()
    });
    assert!(response.is_complete(), "{}", response.text());
    assert_eq!((tokens(&response), n_sent), (vec![1, 2], 2));
    assert!(took < Duration::from_millis(1800), "{took:?}");
}

#[test]
fn comments_before_first_event() {
    let first = std::sync::atomic::AtomicBool::new(true);
    let (response, n_sent, took) = exchange(move |_| {
        if first.swap(false, std::sync::atomic::Ordering::Relaxed) {
            return pings().collect();
        }
        vec![Step::Send([event_chunk(1), END.to_vec()].concat())]
    });
    assert!(response.is_complete(), "{}", response.text());
    assert_eq!((tokens(&response), n_sent), (vec![1], 2));
    assert!(took < Duration::from_millis(2200), "{took:?}");
}

#[test]
fn slow_stream_is_kept() {
    let (response, n_sent, _) = exchange(|_| {
        let pause = || Step::Pause(Duration::from_millis(900));
        let send = |number| Step::Send(event_chunk(number));
        vec![send(1), pause(), send(2), pause(), send(3), Step::Send(END.to_vec())]
    });
    assert!(response.is_complete(), "{}", response.text());
    assert_eq!((tokens(&response), n_sent), (vec![1, 2, 3], 1));
}

/// Reading 19,100 tokens takes an engine of this pool a second.
#[test]
fn long_prompt_is_kept() {
    let (response, n_sent, _) = exchange_prompt(19_100, |_| {
        let events = [event_chunk(1), END.to_vec()].concat();
        vec![Step::Pause(Duration::from_millis(1700)), Step::Send(events)]
    });
    assert!(response.is_complete(), "{}", response.text());
    assert_eq!((tokens(&response), n_sent), (vec![1], 1));
}

fn pings() -> impl Iterator<Item = Step> {
    let ping = |_| [Step::Pause(Duration::from_millis(200)), Step::Send(PING.to_vec())];
    (0..12).flat_map(ping)
}

fn exchange(
    body: impl Fn(&RawRequest) -> Vec<Step> + Send + Sync + 'static,
) -> (CallerResponse, usize, Duration) {
    exchange_prompt(200, body)
}

/// Sends a stream request to two engines that send a head and then `body`; returns the response, the
/// number of requests that engines received, and the time taken.
fn exchange_prompt(
    prompt_tokens: u32,
    body: impl Fn(&RawRequest) -> Vec<Step> + Send + Sync + 'static,
) -> (CallerResponse, usize, Duration) {
    let body = std::sync::Arc::new(body);
    let engines = [(); 2].map(|()| {
        let body = body.clone();
        let script = move |request: &RawRequest| {
            std::iter::once(Step::Send(stream_head(request))).chain(body(request)).collect()
        };
        ScriptedServer::start(script).unwrap()
    });
    let deployment = Deployment::start("pool", &[&engines[0], &engines[1]]);
    let started = Instant::now();
    let headers = format!("X-Model: lots\r\nX-Token-Counts: {prompt_tokens},20\r\n");
    let response = deployment.entry.exchange(&request("POST", "/draft/1", "slow", &headers));
    let n_sent = engines.iter().map(|it| it.requests().len()).sum();
    (response, n_sent, started.elapsed())
}

fn tokens(response: &CallerResponse) -> Vec<u32> {
    let text = response.text();
    let ids = text.lines().filter_map(|it| it.strip_prefix("id: "));
    ids.map(|it| it.trim().parse().unwrap()).collect()
}
