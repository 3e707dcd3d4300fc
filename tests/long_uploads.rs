//! Callers that still send a body when their request is refused.

mod entry_process;

use std::{io::Write, thread, time::Duration};

use entry_process::{read_response, Deployment, HOST};

/// Guards against losing the refusal of a body that is too long while the caller still sends it.
#[test]
fn refusal_of_long_body_arrives() {
    let deployment = Deployment::start("ledger", &[]);
    let mut caller = deployment.entry.connect();
    let head = format!(
        "POST /hold/1 HTTP/1.1\r\nHost: {}\r\nX-Request-Id: long\r\nContent-Length: 1000000\r\n\r\n",
        HOST
    );
    caller.write_all(head.as_bytes()).unwrap();
    for _ in 0..15 {
        thread::sleep(Duration::from_millis(100));
        if caller.write_all(&[b'x'; 10_000]).is_err() {
            break;
        }
    }
    assert_eq!(read_response(&mut caller).status(), 413);
}
