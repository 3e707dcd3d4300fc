//! The timeline of a request, read from logs by its id, and the limits of log output.

use std::{io::Write, process::Command};

use crocustiller::{
    logging::{LineDecision, LineWriter, RateLimit},
    report::RequestTimeline,
};

const ENTRY_1: &str = "\
2026-12-04T08:00:01.000Z INFO  charter: in force number=6 before=0
2026-12-04T08:00:02.000Z INFO  charter: in force number=7 before=6
2026-12-04T08:00:02.100Z INFO  fleet: engine=10.0.0.3:80 serves=None
2026-12-04T08:00:03.000Z INFO  relay: attempt lost request=r-1 backend=i-3 reason=\"the message was cut off\"
2026-12-04T08:00:03.100Z INFO  request: ended request=r-1 outcome=cut charter=7 attempts=i-3,i-4
2026-12-04T08:00:04.000Z INFO  charter: in force number=8 before=7
";
const ENTRY_2: &str = "\
2026-12-04T08:00:03.400Z INFO  request: ended request=r-1 outcome=answered status=200 charter=7
2026-12-04T08:00:03.500Z INFO  request: ended request=r-12 outcome=answered status=200 charter=7
";

fn logs() -> Vec<(String, String)> {
    vec![("entry-2.log".into(), ENTRY_2.into()), ("entry-1.log".into(), ENTRY_1.into())]
}

#[test]
fn timeline_merges_logs_by_time() {
    let timeline = RequestTimeline::read("r-1", &logs());
    let texts: Vec<&str> = timeline.lines.iter().map(|it| it.source.as_str()).collect();
    assert_eq!(texts, ["entry-1.log", "entry-1.log", "entry-2.log"]);
    let state_lines: Vec<&str> = timeline.state_lines.iter().map(|it| it.text.as_str()).collect();
    assert_eq!(
        state_lines,
        [
            "INFO  charter: in force number=7 before=6",
            "INFO  fleet: engine=10.0.0.3:80 serves=None"
        ]
    );
}

/// A request is explained with the response that closed a server or began a pause, be it its own or
/// one before it.
#[test]
fn timeline_names_closed_servers() {
    let log = "\
2026-12-05T08:00:01.000Z INFO  drain: a backend server leaves request=r-1 backend=i-3 started_ms=7 status=200
2026-12-05T08:00:02.000Z INFO  pause: a backend server takes no requests for a time request=r-2 backend=i-4 pause_ms=900
2026-12-05T08:00:02.500Z INFO  request: ended request=r-3 outcome=refused status=503
";
    let logs = [("entry-1.log".to_owned(), log.to_owned())];
    let first = RequestTimeline::read("r-1", &logs);
    assert!(first.lines[0].text.contains("leaves request=r-1 backend=i-3"), "{first:?}");
    let third = RequestTimeline::read("r-3", &logs);
    let state: Vec<&str> = third.state_lines.iter().map(|it| it.text.as_str()).collect();
    assert_eq!(state.len(), 2, "{state:?}");
    assert!(state[0].contains("request=r-1 backend=i-3"), "{state:?}");
    assert!(state[1].contains("request=r-2 backend=i-4"), "{state:?}");
}

#[test]
fn explain_command_exit_status() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry-1.log");
    std::fs::write(&path, ENTRY_1).unwrap();
    let run = |id: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_crocustiller"));
        command.args(["requests", "explain", id]).arg(&path).output().unwrap()
    };
    let found = run("r-1");
    assert!(found.status.success(), "{found:?}");
    assert!(String::from_utf8_lossy(&found.stdout).contains("outcome=cut"));
    let missing = run("r-9");
    assert_eq!(missing.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("no log line contains request r-9"));
}

#[test]
fn rate_limit_counts_dropped_lines() {
    let limit = RateLimit::new(3);
    let now = std::time::Instant::now();
    let n_written = (0..50).filter(|_| limit.decide(now) != LineDecision::Drop).count();
    assert_eq!(n_written, 3);
    let later = now + std::time::Duration::from_secs(1);
    assert_eq!(limit.decide(later), LineDecision::Write { n_dropped: 47 });
}

/// An output that blocks never delays the code that logs.
#[test]
fn blocked_output_never_delays_logging() {
    struct Blocked;
    impl Write for Blocked {
        fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
            std::thread::sleep(std::time::Duration::from_secs(60));
            Ok(0)
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let writer = LineWriter::start(Blocked).unwrap();
    let since = std::time::Instant::now();
    for number in 0..100_000 {
        writer.enqueue(format!("line {number}\n"));
    }
    assert!(since.elapsed() < std::time::Duration::from_secs(5));
}

/// A request that is refused because of limits is explained with the newest limit, from whomever the host
/// heard it.
#[test]
fn timeline_names_limits() {
    let log = "\
2026-12-07T08:00:01.000Z INFO  limit: a backend server takes few requests request=r-1 backend=i-3 max_requests_per_s=2 age_ms=0 left_out=0
2026-12-07T08:00:02.000Z INFO  limit: a backend server takes few requests from=10.0.0.2:7700 backend=i-4 max_requests_per_s=1 age_ms=12 left_out=0
2026-12-07T08:00:02.500Z INFO  request: ended request=r-3 outcome=refused status=503 verdict=not-run reason=\"all backend servers limit their requests; retry after the stated time\"
";
    let logs = [("entry-1.log".to_owned(), log.to_owned())];
    let timeline = RequestTimeline::read("r-3", &logs);
    let state: Vec<&str> = timeline.state_lines.iter().map(|it| it.text.as_str()).collect();
    assert_eq!(state.len(), 1, "{state:?}");
    assert!(state[0].contains("backend=i-4 max_requests_per_s=1 age_ms=12"), "{state:?}");
    assert!(timeline.lines[0].text.contains("limit their requests"), "{timeline:?}");
}
