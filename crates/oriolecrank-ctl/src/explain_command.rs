//! `explain`: collects the log lines of all processes about one request.

use std::path::{Path, PathBuf};

use oriolecrank_schema::event::LogEvent;
use serde_json::{Map, Value, json};
use snafu::ResultExt;

use crate::ctl_error::{CtlError, ReadFileSnafu};
use crate::ctl_report::CtlReport;

/// Fields that the text of a line does not list as `name=value`. Timestamp, event and message stand
/// at its beginning; the level and the request are not shown.
const COMMON_FIELDS: [&str; 5] = ["timestamp", "level", "message", "event", "request"];

/// One log line.
#[derive(Debug, Clone)]
struct LogLine {
    /// Time in RFC 3339 format and UTC, so that text order is time order; empty if the line has
    /// none.
    time: String,
    /// Path of the file, then any text that a log collector has put before the JSON object.
    source: String,
    fields: Map<String, Value>,
}

/// Lines of all files, and how many lines are known to be missing.
#[derive(Debug, Default)]
struct LogContents {
    lines: Vec<LogLine>,
    /// Number of lines that contain `{` but no valid JSON object after it, such as truncated lines.
    unreadable: usize,
    /// Total number of lines that the processes have logged as dropped.
    dropped: u64,
}

/// Prints the lines about a request in order of time, why the request ended, and what is missing
/// from the logs.
pub(crate) fn explain(request: &str, files: &[PathBuf]) -> Result<CtlReport, CtlError> {
    let mut contents = LogContents::default();
    for file in files {
        let bytes = std::fs::read(file).context(ReadFileSnafu { path: file })?;
        contents.read(file, &String::from_utf8_lossy(&bytes));
    }
    let lines = contents.lines_about(request);
    let cause = cause(&lines);
    let missing = contents.missing(&lines);
    let mut text: Vec<String> = lines.iter().map(LogLine::text).collect();
    text.push(format!("cause: {cause}"));
    text.extend(missing.iter().map(|missing| format!("missing: {missing}")));
    let objects: Vec<Value> = lines.into_iter().map(LogLine::into_json).collect();
    Ok(CtlReport::new(
        text.join("\n"),
        json!({ "request": request, "lines": objects, "cause": cause, "missing": missing }),
    ))
}

impl LogContents {
    fn read(&mut self, file: &Path, text: &str) {
        for line in text.lines() {
            // Log collectors put times or names before the object.
            let Some(start) = line.find('{') else {
                continue;
            };
            let (prefix, object) = line.split_at(start);
            let Ok(Value::Object(fields)) = serde_json::from_str(object) else {
                self.unreadable += 1;
                continue;
            };
            if event_number(&fields) == Some(LogEvent::LinesDropped.number().into()) {
                self.dropped += fields.get("dropped").and_then(Value::as_u64).unwrap_or(0);
            }
            let time = fields.get("timestamp").and_then(Value::as_str);
            self.lines.push(LogLine {
                time: time.unwrap_or_default().to_owned(),
                source: format!("{} {}", file.display(), prefix.trim())
                    .trim()
                    .to_owned(),
                fields,
            });
        }
    }

    /// Lines about the request, and lines without a request about its upstreams that were logged
    /// between the first and the last of them, in order of time.
    fn lines_about(&self, request: &str) -> Vec<LogLine> {
        let is_about_request = |line: &&LogLine| line.field("request") == Some(request);
        let request_lines: Vec<&LogLine> = self.lines.iter().filter(is_about_request).collect();
        let first = request_lines.iter().map(|line| line.time.as_str()).min();
        let last = request_lines.iter().map(|line| line.time.as_str()).max();
        let upstreams: Vec<&str> = request_lines
            .iter()
            .filter_map(|line| line.field("upstream"))
            .collect();
        let between = self.lines.iter().filter(|line| {
            let upstream = line.field("upstream");
            line.field("request").is_none()
                && upstream.is_some_and(|upstream| upstreams.contains(&upstream))
                && first <= Some(line.time.as_str())
                && Some(line.time.as_str()) <= last
        });
        let mut found: Vec<LogLine> = request_lines
            .iter()
            .copied()
            .chain(between)
            .cloned()
            .collect();
        found.sort_by(|one, other| one.time.cmp(&other.time));
        found
    }

    fn missing(&self, lines: &[LogLine]) -> Vec<String> {
        let mut missing = Vec::new();
        if lines.is_empty() {
            missing.push("no line names this request".to_owned());
        }
        if self.unreadable > 0 {
            let count = self.unreadable;
            missing.push(format!("{count} lines are cut off or damaged"));
        }
        if self.dropped > 0 {
            let count = self.dropped;
            missing.push(format!("the processes have dropped {count} lines"));
        }
        missing
    }
}

impl LogLine {
    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    fn text(&self) -> String {
        let event = event_number(&self.fields).unwrap_or_default();
        let message = self.field("message").unwrap_or_default();
        let fields = self.fields.iter();
        let fields = fields.filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        let fields: Vec<String> = fields
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let (time, source) = (&self.time, &self.source);
        let fields = fields.join(" ");
        format!("{time} {source} [{event}] {message} {fields}")
            .trim_end()
            .to_owned()
    }

    fn into_json(self) -> Value {
        json!({ "source": self.source, "line": self.fields })
    }
}

fn event_number(fields: &Map<String, Value>) -> Option<u64> {
    fields.get("event").and_then(Value::as_u64)
}

/// Why the request ended, according to its last `RequestFailed` or `AnswerBroken` line.
fn cause(lines: &[LogLine]) -> String {
    let final_line = lines.iter().rev().find(|line| {
        let event = event_number(&line.fields);
        let final_events = [LogEvent::RequestFailed, LogEvent::AnswerBroken];
        final_events
            .iter()
            .any(|end| event == Some(end.number().into()))
    });
    let Some(end) = final_line else {
        return "no failure is logged; it was answered, or lines are missing".to_owned();
    };
    let last_line_of = |event: LogEvent| {
        let number = Some(u64::from(event.number()));
        let line = lines.iter().rev();
        line.into_iter()
            .find(|line| event_number(&line.fields) == number)
    };
    if event_number(&end.fields) == Some(LogEvent::AnswerBroken.number().into()) {
        let reason = end.field("reason").unwrap_or("unknown");
        let upstream = end.field("upstream").unwrap_or("an upstream");
        return format!("the answer of {upstream} was broken off: {reason}");
    }
    let failure = end.field("failure").unwrap_or("unknown");
    let attempt = last_line_of(LogEvent::AttemptFailed).map(|line| {
        let upstream = line.field("upstream").unwrap_or("an upstream");
        let reason = line.field("error").or_else(|| line.field("message"));
        format!(
            "; the last attempt was at {upstream}: {}",
            reason.unwrap_or("unknown")
        )
    });
    let refusal = last_line_of(LogEvent::RequestRefused).map(|line| {
        let reason = line.field("reason").unwrap_or("unknown");
        format!("; no upstream took it: {reason}")
    });
    let attempt = attempt.unwrap_or_default();
    let refusal = refusal.unwrap_or_default();
    format!("the request failed: {failure}{refusal}{attempt}")
}
