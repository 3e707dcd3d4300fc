//! Several entry hosts as processes, and a request that crashes each server of a plain service.

mod entry_process;

use std::{
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{
    charter, encode_response, request, server_entry, CallerResponse, Deployment, EntryProcess,
};

/// Time until a crashed server is back.
const RESTART_TIME: Duration = Duration::from_millis(900);
/// Requests that may still reach servers after a request has crashed the third.
const MAX_RETRIES: usize = 3;
/// Part of the refusal that names its reason.
const REFUSAL: &str = "crashed while running this request";
const CRASHING_PATH: &str = "/hold/crash";

/// Entry hosts of one zone in front of servers that crash when they run the request for `CRASHING_PATH`.
struct Fleet {
    store: StoreStandin,
    servers: Vec<ScriptedServer>,
    hosts: Vec<EntryProcess>,
}

impl Fleet {
    fn start(n_hosts: usize, n_servers: usize) -> Fleet {
        let store = StoreStandin::start().unwrap();
        store.put("config", "main", charter(1));
        let servers: Vec<ScriptedServer> =
            (0..n_servers).map(|_| ScriptedServer::start(respond).unwrap()).collect();
        for (idx, server) in servers.iter().enumerate() {
            let entry = server_entry("ledger", server.address(), "ready");
            store.put("servers", &format!("ledger-{idx}"), entry);
        }
        let hosts: Vec<EntryProcess> =
            (1..=n_hosts).map(|it| EntryProcess::start(&store, &format!("entry-{it}"))).collect();
        hosts.iter().for_each(EntryProcess::wait_until_ready);
        thread::sleep(Duration::from_millis(800));
        Fleet { store, servers, hosts }
    }

    fn n_crashes(&self) -> usize {
        let requests = self.servers.iter().flat_map(ScriptedServer::requests);
        requests.filter(|it| it.target == CRASHING_PATH).count()
    }

    /// Sends the crashing request to all hosts in turn, until one refuses it.
    fn crash_until_refused(&self) {
        for number in 0..8 {
            let response = send_crashing(&self.hosts[number % self.hosts.len()], number);
            if response.text().contains(REFUSAL) {
                return;
            }
            thread::sleep(Duration::from_millis(250));
        }
        panic!("{} crashes and no refusal", self.n_crashes());
    }

    /// Kills each host in turn and starts it again.
    fn restart_hosts(&mut self) {
        for idx in 0..self.hosts.len() {
            drop(self.hosts.remove(idx));
            thread::sleep(Duration::from_millis(1500));
            let host = EntryProcess::start(&self.store, &format!("entry-{}", idx + 1));
            host.wait_until_ready();
            self.hosts.insert(idx, host);
            thread::sleep(Duration::from_millis(500));
        }
    }
}

fn respond(request: &RawRequest) -> Vec<Step> {
    if request.target == CRASHING_PATH {
        return vec![Step::Pause(Duration::from_millis(20)), Step::Crash(RESTART_TIME)];
    }
    let pause = Step::Pause(Duration::from_millis(150));
    vec![pause, Step::Send(encode_response(request, 200, "held"))]
}

fn send_crashing(host: &EntryProcess, number: usize) -> CallerResponse {
    host.exchange(&request("POST", CRASHING_PATH, &format!("crash-{number}"), ""))
}

/// The request comes all the while, and once more at each host after all have been restarted twice.
#[test]
fn restarts_forget_request() {
    let mut fleet = Fleet::start(3, 8);
    fleet.crash_until_refused();
    let n_known = fleet.n_crashes();
    for round in 0..2 {
        fleet.restart_hosts();
        for (number, host) in fleet.hosts.iter().enumerate() {
            send_crashing(host, 100 + 10 * round + number);
            thread::sleep(Duration::from_millis(300));
        }
    }
    let n_retries = fleet.n_crashes() - n_known;
    assert!(n_retries <= MAX_RETRIES, "{n_retries} retries reached servers");
    assert_eq!(fleet.hosts[0].exchange(&request("POST", "/hold/1", "sound", "")).status(), 200);
}

/// A server that is full refuses the crashing request after each second crash.
#[test]
fn refusals_clear_request() {
    let n_requests = Arc::new(AtomicUsize::new(0));
    let script = move |request: &RawRequest| match n_requests.fetch_add(1, Ordering::Relaxed) % 3 {
        2 => {
            let bytes = encode_response(request, 503, "full");
            let head = String::from_utf8(bytes).unwrap();
            vec![Step::Send(head.replacen("\r\n", "\r\nX-Not-Run: 1\r\n", 1).into_bytes())]
        }
        _ => vec![Step::Crash(Duration::from_millis(100))],
    };
    let servers = [(); 6].map(|()| ScriptedServer::start(script.clone()).unwrap());
    let deployment = Deployment::start("ledger", &servers.each_ref());
    let refused = (0..9).position(|number| {
        thread::sleep(Duration::from_millis(200));
        send_crashing(&deployment.entry, number).text().contains(REFUSAL)
    });
    assert_eq!(refused, Some(4), "three crashes, a refusal by a server");
}

/// All servers of a service crash at once, with requests for one page at each of them, and are back.
#[test]
fn crashed_service_refuses_page() {
    let fleet = Fleet::start(2, 6);
    let ask = |caller: usize, number: usize| {
        let bytes = request("GET", "/stock/page", &format!("page-{caller}-{number}"), "");
        fleet.hosts[caller % 2].exchange(&bytes)
    };
    thread::scope(|scope| {
        for caller in 0..24 {
            scope.spawn(move || (0..4).for_each(|number| drop(ask(caller, number))));
        }
        thread::sleep(Duration::from_millis(200));
        fleet.servers.iter().for_each(|it| it.crash(RESTART_TIME));
    });
    let refused = ask(0, 100).text();
    assert!(refused.contains(REFUSAL), "the page was not suspected: {refused}");
    // The callers come back until one is tried.
    for number in 0..25 {
        ask(number, 200 + number);
        thread::sleep(Duration::from_millis(200));
    }
    for caller in 0..20 {
        assert_eq!(ask(caller, 300).status(), 200, "caller {caller}");
    }
}

/// A request that crashes servers comes at all hosts, several at a time.
#[test]
fn refused_request_crashes_on() {
    let fleet = Fleet::start(3, 8);
    fleet.crash_until_refused();
    let n_known = fleet.n_crashes();
    thread::scope(|scope| {
        for caller in 0..6 {
            let fleet = &fleet;
            scope.spawn(move || {
                for number in 0..60 {
                    send_crashing(&fleet.hosts[caller % 3], 1000 * (caller + 1) + number);
                    thread::sleep(Duration::from_millis(130));
                }
            });
        }
    });
    let n_tries = fleet.n_crashes() - n_known;
    assert!((1..=MAX_RETRIES).contains(&n_tries), "{n_tries} tries reached servers");
}
