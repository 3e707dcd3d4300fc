//! Puts together what the logs of several processes tell of one request.

/// First words of lines that change what a process believes.
const BELIEF_PARTS: [&str; 7] =
    ["charter:", "versions:", "fleet:", "store:", "health:", "slot:", "daemon:"];

/// A log line with the process that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoryLine {
    /// Time of the line as it was written.
    pub time: String,
    /// The log file that it stands in.
    pub source: String,
    /// Rest of the line.
    pub text: String,
}

/// What the logs tell of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogStory {
    /// The newest line of each part about beliefs before the request's first line, by process.
    pub beliefs: Vec<StoryLine>,
    /// Lines that name the request, in the order of their time.
    pub lines: Vec<StoryLine>,
}

impl LogStory {
    /// Reads the story of the request `id` from logs, each given as its name and its text.
    pub fn read(id: &str, logs: &[(String, String)]) -> LogStory {
        let mut story = LogStory::default();
        for (source, text) in logs {
            let of_log: Vec<StoryLine> =
                text.lines().filter_map(|it| StoryLine::parse(source, it)).collect();
            let field = format!("request={id}");
            let names = |it: &StoryLine| it.text.split_whitespace().any(|it| it == field);
            let Some(first) = of_log.iter().position(names) else { continue };
            story.beliefs.extend(newest_beliefs(&of_log[..first]));
            story.lines.extend(of_log.into_iter().filter(names));
        }
        story.lines.sort();
        story.beliefs.sort();
        story
    }
}

impl StoryLine {
    fn parse(source: &str, line: &str) -> Option<StoryLine> {
        let (time, text) = line.split_once(' ')?;
        Some(StoryLine {
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

fn newest_beliefs(lines: &[StoryLine]) -> Vec<StoryLine> {
    let newest = |part: &&str| lines.iter().rev().find(|it| it.part() == Some(*part)).cloned();
    BELIEF_PARTS.iter().filter_map(newest).collect()
}
