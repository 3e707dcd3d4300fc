//! Merges the log lines of several processes that concern one request.

/// First words of log lines that report a change in a process's state.
const STATE_PARTS: [&str; 11] = [
    "charter:",
    "versions:",
    "fleet:",
    "store:",
    "health:",
    "drain:",
    "pause:",
    "limit:",
    "crashes:",
    "slot:",
    "daemon:",
];

/// A log line with the name of the log file it was read from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogLine {
    /// Timestamp, unchanged from the log.
    pub time: String,
    /// Name of the log file that contains the line.
    pub source: String,
    /// The line without its timestamp.
    pub text: String,
}

/// The log lines of one request, and the state of the processes that logged it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestTimeline {
    /// State of each process when it first logged the request: the newest earlier line of each part
    /// in `STATE_PARTS`.
    pub state_lines: Vec<LogLine>,
    /// Lines that name the request, ordered by time.
    pub lines: Vec<LogLine>,
}

impl RequestTimeline {
    /// Builds the timeline of the request `id` from logs, each given as its name and its text.
    pub fn read(id: &str, logs: &[(String, String)]) -> RequestTimeline {
        let mut timeline = RequestTimeline::default();
        for (source, text) in logs {
            let log_lines: Vec<LogLine> =
                text.lines().filter_map(|it| LogLine::parse(source, it)).collect();
            let field = format!("request={id}");
            let names_request = |it: &LogLine| it.text.split_whitespace().any(|it| it == field);
            let Some(first) = log_lines.iter().position(names_request) else { continue };
            timeline.state_lines.extend(newest_state_lines(&log_lines[..first]));
            timeline.lines.extend(log_lines.into_iter().filter(names_request));
        }
        timeline.lines.sort();
        timeline.state_lines.sort();
        timeline
    }
}

impl LogLine {
    fn parse(source: &str, line: &str) -> Option<LogLine> {
        let (time, text) = line.split_once(' ')?;
        Some(LogLine {
            time: time.to_owned(),
            source: source.to_owned(),
            text: text.trim().to_owned(),
        })
    }

    /// Returns the part of the program that wrote the line: the first word that ends in a colon.
    fn part(&self) -> Option<&str> {
        self.text.split_whitespace().find(|it| it.ends_with(':'))
    }
}

/// Returns the newest line of each part in `STATE_PARTS`.
fn newest_state_lines(lines: &[LogLine]) -> Vec<LogLine> {
    let newest = |part: &&str| lines.iter().rev().find(|it| it.part() == Some(*part)).cloned();
    STATE_PARTS.iter().filter_map(newest).collect()
}
