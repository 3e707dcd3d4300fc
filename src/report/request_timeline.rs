//! Puts together what the logs of several processes tell of one request.

/// First words of lines that change what a process believes.
const STATE_PARTS: [&str; 7] =
    ["charter:", "versions:", "fleet:", "store:", "health:", "slot:", "daemon:"];

/// A log line with the process that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogLine {
    /// Time of the line as it was written.
    pub time: String,
    /// The log file that it stands in.
    pub source: String,
    /// Rest of the line.
    pub text: String,
}

/// What the logs tell of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestTimeline {
    /// The newest line of each part about beliefs before the request's first line, by process.
    pub state_lines: Vec<LogLine>,
    /// Lines that name the request, in the order of their time.
    pub lines: Vec<LogLine>,
}

impl RequestTimeline {
    /// Reads the story of the request `id` from logs, each given as its name and its text.
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

    /// The part that wrote the line.
    fn part(&self) -> Option<&str> {
        self.text.split_whitespace().find(|it| it.ends_with(':'))
    }
}

fn newest_state_lines(lines: &[LogLine]) -> Vec<LogLine> {
    let newest = |part: &&str| lines.iter().rev().find(|it| it.part() == Some(*part)).cloned();
    STATE_PARTS.iter().filter_map(newest).collect()
}
