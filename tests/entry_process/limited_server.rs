//! Backend servers that name a limit on their requests.

use crocustiller_standins::raw_http::Step;

/// Returns the steps of a response that names a limit, from those of one that names none.
pub fn with_limit(steps: Vec<Step>, limit: &str) -> Vec<Step> {
    let header = format!("Server-Limit: {limit}\r\nX-Server-Stamp");
    let named = |step: Step| match step {
        Step::Send(bytes) => {
            let text = String::from_utf8(bytes).unwrap();
            Step::Send(text.replacen("X-Server-Stamp", &header, 1).into_bytes())
        }
        step => step,
    };
    steps.into_iter().map(named).collect()
}
