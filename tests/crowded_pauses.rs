//! Many requests at the begin of a pause, in it and at its end.

mod entry_process;

use std::{
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex, OnceLock,
    },
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{ScriptedServer, Step};
use entry_process::{
    charter,
    pausing_server::{refusal, retry_after, send, start_pool, wait_for_lines, whole_stream},
    server_entry,
};

const MS: Duration = Duration::from_millis(1);

/// Load pattern: many requests at once when the pause begins, some of them waiting. Half a second
/// after the refusal none arrives any more, and all callers are told when to come back.
#[test]
fn burst_at_the_begin_of_a_pause() {
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let recorded = arrivals.clone();
    let server = ScriptedServer::start(move |request| {
        recorded.lock().unwrap().push(Instant::now());
        vec![Step::Pause(30 * MS), Step::Send(refusal(request, "1.5", "X-Not-Run: 1\r\n"))]
    })
    .unwrap();
    let deployment = start_pool(charter(1), &[(&server, 2)]);
    let entry = &deployment.entry;
    let started = Instant::now();
    thread::scope(|scope| {
        for caller in 0..12 {
            scope.spawn(move || {
                for number in 0..16 {
                    let response = send(entry, "/draft/1", &format!("burst-{caller}-{number}"));
                    assert_eq!(response.status(), 503, "{}", response.text());
                    let told = retry_after(&response).unwrap();
                    assert!(told <= 1.5, "{}", response.text());
                    thread::sleep(80 * MS);
                }
            });
        }
    });
    assert!(started.elapsed() > Duration::from_millis(1200), "{:?}", started.elapsed());
    let arrivals = arrivals.lock().unwrap();
    let paused = arrivals[0] + 30 * MS + Duration::from_millis(500)..arrivals[0] + 1500 * MS;
    let n_in_pause = arrivals.iter().filter(|it| paused.contains(it)).count();
    assert_eq!(n_in_pause, 0, "{} arrivals", arrivals.len());
}

/// Load pattern: all callers that were refused in a pause come back at its end. The engine gets no
/// more of them at once than it has places, and the others are refused within their wait.
#[test]
fn crowd_after_a_pause() {
    const N_CALLERS: usize = 24;
    let n_running = Arc::new(AtomicU32::new(0));
    let most_running = Arc::new(AtomicU32::new(0));
    let (running, most) = (n_running.clone(), most_running.clone());
    let n_requests = AtomicU32::new(0);
    let server = ScriptedServer::start(move |request| {
        if n_requests.fetch_add(1, Ordering::Relaxed) == 0 {
            return vec![Step::Send(refusal(request, "1.5", "X-Not-Run: 1\r\n"))];
        }
        most.fetch_max(running.fetch_add(1, Ordering::Relaxed) + 1, Ordering::Relaxed);
        thread::sleep(200 * MS);
        running.fetch_sub(1, Ordering::Relaxed);
        whole_stream(request)
    })
    .unwrap();
    let deployment = start_pool(charter(1), &[(&server, 2)]);
    let entry = &deployment.entry;
    let started = Instant::now();
    assert_eq!(send(entry, "/draft/1", "first").status(), 503);
    let n_served = AtomicU32::new(0);
    thread::scope(|scope| {
        for caller in 0..N_CALLERS {
            let n_served = &n_served;
            scope.spawn(move || {
                thread::sleep(10 * MS * caller as u32);
                let response = send(entry, "/draft/1", &format!("paused-{caller}"));
                assert_eq!(response.status(), 503, "{}", response.text());
                let told = Duration::from_secs_f64(retry_after(&response).unwrap());
                // Not before the end, and not long after it.
                let back = started.elapsed() + told;
                assert!(back >= 1500 * MS && back < 2000 * MS, "{back:?}");
                thread::sleep(told);
                let sent = Instant::now();
                let response = send(entry, "/draft/1", &format!("back-{caller}"));
                assert!(sent.elapsed() < Duration::from_secs(1), "{:?}", sent.elapsed());
                match response.status() {
                    200 => drop(n_served.fetch_add(1, Ordering::Relaxed)),
                    status => {
                        assert_eq!(status, 503, "{}", response.text());
                        assert!(retry_after(&response).is_some(), "{}", response.text());
                    }
                }
            });
        }
    });
    // Two in slots, one that waits at the engine.
    assert!(most_running.load(Ordering::Relaxed) <= 3, "{most_running:?}");
    assert!(n_served.load(Ordering::Relaxed) >= 3, "{n_served:?}");
}

/// Guards against refusing a request that waits while engines begin to pause: their places are free
/// at once, are granted to it and can't be used, though another engine has room in time.
#[test]
fn pauses_begun_while_a_request_waits() {
    const N_PAUSING: usize = 6;
    const SOUND_SLOTS: usize = 8;
    static STARTED: OnceLock<Instant> = OnceLock::new();
    let elapsed = || STARTED.get().unwrap().elapsed();
    let until = move |time: Duration| Step::Pause(time.saturating_sub(elapsed()));
    let pause_at = Duration::from_millis(1500);
    let pausing = [(); N_PAUSING].map(|()| {
        ScriptedServer::start(move |request| {
            vec![until(pause_at), Step::Send(refusal(request, "20", "X-Not-Run: 1\r\n"))]
        })
        .unwrap()
    });
    let sound = ScriptedServer::start(move |request| {
        let pause = until(pause_at + Duration::from_millis(300));
        [vec![pause], whole_stream(request)].concat()
    })
    .unwrap();
    let mut charter = charter(1);
    // A request waits for 1.5 s, an eighth of the objective.
    charter["routes"][2]["goal-ms"] = 12000.into();
    charter["routes"][2]["timeout-ms"] = 8000.into();
    let slots = |idx| if idx < N_PAUSING { 1 } else { SOUND_SLOTS as u32 };
    let engines = pausing.iter().chain([&sound]).enumerate();
    let engines: Vec<(&ScriptedServer, u32)> = engines.map(|it| (it.1, slots(it.0))).collect();
    let deployment = start_pool(charter, &engines);
    STARTED.set(Instant::now()).unwrap();
    let entry = &deployment.entry;
    // An engine takes one request beyond its slots.
    let n_places = 2 * N_PAUSING + SOUND_SLOTS + 1;
    thread::scope(|scope| {
        for number in 0..n_places {
            scope.spawn(move || send(entry, "/draft/1", &format!("running-{number}")));
        }
        let servers = || pausing.iter().chain([&sound]);
        let n_running = || servers().map(|it| it.requests().len()).sum::<usize>();
        while n_running() < n_places {
            assert!(elapsed() < pause_at, "{} requests run", n_running());
            thread::sleep(10 * MS);
        }
        thread::sleep(Duration::from_millis(1000).saturating_sub(elapsed()));
        let response = send(entry, "/draft/1", "waiting");
        assert!(elapsed() > pause_at, "{}", response.text());
        assert_eq!(response.status(), 200, "{}", response.text());
    });
    let paused = |idx| format!("backend=pool-{idx} pause_ms=20000");
    let paused: Vec<String> = (0..N_PAUSING).map(paused).collect();
    wait_for_lines(entry, &paused.iter().map(String::as_str).collect::<Vec<_>>());
}

/// Guards against refusing a request that waits at a busy engine while the pause of another one ends,
/// which was excluded when it began to wait.
#[test]
fn pause_that_ends_while_a_request_waits() {
    let n_received = Arc::new(AtomicU32::new(0));
    let pausing =
        ScriptedServer::start(move |request| match n_received.fetch_add(1, Ordering::Relaxed) {
            0 => vec![Step::Send(refusal(request, "2", "X-Not-Run: 1\r\n"))],
            _ => whole_stream(request),
        })
        .unwrap();
    let busy = ScriptedServer::start(|request| {
        [vec![Step::Pause(Duration::from_secs(4))], whole_stream(request)].concat()
    })
    .unwrap();
    let mut charter = charter(1);
    // A request waits for 1.5 s, an eighth of the objective.
    charter["routes"][2]["goal-ms"] = 12000.into();
    charter["routes"][2]["timeout-ms"] = 8000.into();
    let deployment = start_pool(charter, &[(&pausing, 1)]);
    let entry = &deployment.entry;
    let paused = Instant::now();
    assert_eq!(send(entry, "/draft/1", "refused").status(), 503);
    let mut listed = server_entry("pool", busy.address(), "ready");
    listed["slots"] = 1.into();
    deployment.store.put("servers", "pool-1", listed);
    thread::sleep(600 * MS);
    thread::scope(|scope| {
        for number in 0..2 {
            scope.spawn(move || send(entry, "/draft/1", &format!("running-{number}")));
        }
        thread::sleep(300 * MS);
        assert_eq!((pausing.requests().len(), busy.requests().len()), (1, 2));
        let response = send(entry, "/draft/1", "waiting");
        assert_eq!(response.status(), 200, "{}", response.text());
        let after_begin = paused.elapsed();
        assert!(after_begin >= 2000 * MS, "{after_begin:?}");
    });
}
