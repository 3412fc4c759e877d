//! `acaciabank explain`: what happened to one request, from the logs of several daemons.

use std::{collections::HashMap, path};

use serde_json::Value;

use super::check;
use crate::error::{Error, Result};

/// Time before the first and after the last line of a request within which events of its targets
/// are included, in milliseconds.
const CONTEXT_WINDOW_MS: u64 = 3_000;
/// Events of a target that may explain the outcome of a request sent to it.
const TARGET_EVENTS: [&str; 6] = [
    "target_state",
    "target_stage",
    "target_gone",
    "target_crashed",
    "order",
    "report_failed",
];

/// One parsed line of a log.
#[derive(Clone, Debug)]
struct LogLine {
    host: String,
    /// Time of the host's clock, in milliseconds.
    time_ms: u64,
    /// Position in the input, which orders the lines of one daemon independently of its clock.
    position: usize,
    fields: Value,
}

/// Log lines of one host about a request, with events of the request's targets.
#[derive(Debug)]
struct HostTimeline {
    host: String,
    lines: Vec<LogLine>,
}

/// Prints the log lines about a request, grouped by host.
pub(super) fn explain(files: &[path::PathBuf], json: bool, id: &str) -> Result<()> {
    let mut lines = Vec::new();
    for file in files {
        let text = check::read_text(file)?;
        parse_lines(&text, &mut lines);
    }
    let timelines = collect_timelines(&lines, id);
    if timelines.is_empty() {
        let message = format!("no line about {id} in {} log lines", lines.len());
        return Err(Error::UnexpectedContent(message));
    }
    match json {
        true => print_json(&timelines),
        false => timelines.iter().for_each(print_timeline),
    }
    Ok(())
}

/// Parses the JSON objects of a log and appends them to `lines`. Skips lines without an object and
/// whatever a log collector wrote before one.
fn parse_lines(text: &str, lines: &mut Vec<LogLine>) {
    for line in text.lines() {
        let Some(start) = line.find('{') else {
            continue;
        };
        let Ok(fields) = serde_json::from_str::<Value>(&line[start..]) else {
            continue;
        };
        lines.push(LogLine {
            host: fields["host"].as_str().unwrap_or_default().to_owned(),
            time_ms: fields["ms"].as_u64().unwrap_or(0),
            position: lines.len(),
            fields,
        });
    }
}

/// Groups the lines about the request by host and adds the events of its targets that the same
/// daemons logged around that time. Lines are ordered only within a host, because the clocks of two
/// hosts may differ.
fn collect_timelines(lines: &[LogLine], id: &str) -> Vec<HostTimeline> {
    let mut by_host: HashMap<&str, Vec<&LogLine>> = HashMap::new();
    for line in lines.iter().filter(|line| line.fields["id"] == id) {
        by_host.entry(&line.host).or_default().push(line);
    }
    let mut timelines: Vec<HostTimeline> = by_host
        .into_iter()
        .map(|(host, request_lines)| HostTimeline {
            host: host.to_owned(),
            lines: with_context(lines, host, &request_lines),
        })
        .collect();
    timelines.sort_by_key(|timeline| timeline.lines.first().map(|line| line.time_ms));
    timelines
}

/// Returns the request's own lines on a host and the target events around them, in log order.
fn with_context(lines: &[LogLine], host: &str, request_lines: &[&LogLine]) -> Vec<LogLine> {
    let first_ms = request_lines
        .iter()
        .map(|line| line.time_ms)
        .min()
        .unwrap_or(0);
    let last_ms = request_lines
        .iter()
        .map(|line| line.time_ms)
        .max()
        .unwrap_or(0);
    let window_start_ms = first_ms.saturating_sub(CONTEXT_WINDOW_MS);
    let targets: Vec<&str> = request_lines
        .iter()
        .flat_map(|line| [&line.fields["target_id"], &line.fields["prefill_id"]])
        .filter_map(Value::as_str)
        .collect();
    let is_about_target = |line: &LogLine| {
        let event = line.fields["event"].as_str().unwrap_or_default();
        let target = line.fields["target_id"].as_str().unwrap_or_default();
        let is_in_window = (window_start_ms..=last_ms + CONTEXT_WINDOW_MS).contains(&line.time_ms);
        is_in_window && TARGET_EVENTS.contains(&event) && targets.contains(&target)
    };
    let host_lines = lines.iter().filter(|line| line.host == host);
    let selected = host_lines.filter(|line| {
        request_lines
            .iter()
            .any(|own_line| own_line.position == line.position)
            || is_about_target(line)
    });
    selected.cloned().collect()
}

fn print_json(timelines: &[HostTimeline]) {
    let hosts = timelines.iter().map(|timeline| {
        let lines: Vec<&Value> = timeline.lines.iter().map(|line| &line.fields).collect();
        serde_json::json!({"host": timeline.host, "lines": lines})
    });
    println!("{}", Value::Array(hosts.collect()));
}

fn print_timeline(timeline: &HostTimeline) {
    println!("{} (times of its own clock)", timeline.host);
    let start_ms = timeline.lines.first().map_or(0, |line| line.time_ms);
    for line in &timeline.lines {
        let event = line.fields["event"].as_str().unwrap_or("?");
        let offset = line.time_ms.saturating_sub(start_ms);
        println!(
            "  +{offset:>6} ms  {event:<16} {}",
            format_fields(&line.fields)
        );
    }
}

/// Formats the fields that are not printed elsewhere as `name=value`.
fn format_fields(fields: &Value) -> String {
    let excluded = ["ms", "host", "level", "event", "id"];
    let Some(fields) = fields.as_object() else {
        return String::new();
    };
    let rest = fields
        .iter()
        .filter(|(name, _)| !excluded.contains(&name.as_str()));
    let texts = rest.map(|(name, value)| match value.as_str() {
        Some(text) => format!("{name}={text}"),
        None => format!("{name}={value}"),
    });
    texts.collect::<Vec<_>>().join(" ")
}
