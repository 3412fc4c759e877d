//! `acaciabank explain`: the story of one request from the logs of several daemons.

use std::{collections::HashMap, path};

use serde_json::Value;

use super::check;
use crate::error::{Error, Result};

/// Time around the lines of a request within which lines about its targets belong to its story.
const CONTEXT_MS: u64 = 3_000;
/// Events about a target that may explain what became of a request there.
const TARGET_EVENTS: [&str; 6] = [
    "target_state",
    "target_stage",
    "target_gone",
    "target_crashed",
    "order",
    "report_failed",
];

/// One line of a log.
#[derive(Clone, Debug)]
struct LogLine {
    host: String,
    ms: u64,
    /// Position in the logs; the order of one daemon's lines does not depend on its clock.
    position: usize,
    fields: Value,
}

/// Lines about a request on one host.
#[derive(Debug)]
struct HostStory {
    host: String,
    lines: Vec<LogLine>,
}

/// Prints the lines about a request, host by host.
pub(super) fn explain(files: &[path::PathBuf], json: bool, id: &str) -> Result<()> {
    let mut lines = Vec::new();
    for file in files {
        let text = check::read_text(file)?;
        read_lines(&text, &mut lines);
    }
    let stories = collect(&lines, id);
    if stories.is_empty() {
        let message = format!("no line about {id} in {} log lines", lines.len());
        return Err(Error::InvalidResponse(message));
    }
    match json {
        true => print_json(&stories),
        false => stories.iter().for_each(print_story),
    }
    Ok(())
}

/// Reads the JSON objects of a log; a collector's prefix before an object is passed over.
fn read_lines(text: &str, lines: &mut Vec<LogLine>) {
    for line in text.lines() {
        let Some(start) = line.find('{') else {
            continue;
        };
        let Ok(fields) = serde_json::from_str::<Value>(&line[start..]) else {
            continue;
        };
        lines.push(LogLine {
            host: fields["host"].as_str().unwrap_or_default().to_owned(),
            ms: fields["ms"].as_u64().unwrap_or(0),
            position: lines.len(),
            fields,
        });
    }
}

/// Lines about the request, and those of the same daemons about its targets at that time. The clocks
/// of two hosts may differ, so lines are put in order within a host alone.
fn collect(lines: &[LogLine], id: &str) -> Vec<HostStory> {
    let mut by_host: HashMap<&str, Vec<&LogLine>> = HashMap::new();
    for line in lines.iter().filter(|line| line.fields["id"] == id) {
        by_host.entry(&line.host).or_default().push(line);
    }
    let mut stories: Vec<HostStory> = by_host
        .into_iter()
        .map(|(host, own)| HostStory {
            host: host.to_owned(),
            lines: with_context(lines, host, &own),
        })
        .collect();
    stories.sort_by_key(|story| story.lines.first().map(|line| line.ms));
    stories
}

fn with_context(lines: &[LogLine], host: &str, own: &[&LogLine]) -> Vec<LogLine> {
    let first_ms = own.iter().map(|line| line.ms).min().unwrap_or(0);
    let last_ms = own.iter().map(|line| line.ms).max().unwrap_or(0);
    let from_ms = first_ms.saturating_sub(CONTEXT_MS);
    let targets: Vec<&str> = own
        .iter()
        .flat_map(|line| [&line.fields["target_id"], &line.fields["prefill_id"]])
        .filter_map(Value::as_str)
        .collect();
    let is_about_target = |line: &LogLine| {
        let event = line.fields["event"].as_str().unwrap_or_default();
        let target = line.fields["target_id"].as_str().unwrap_or_default();
        let is_near = (from_ms..=last_ms + CONTEXT_MS).contains(&line.ms);
        is_near && TARGET_EVENTS.contains(&event) && targets.contains(&target)
    };
    let here = lines.iter().filter(|line| line.host == host);
    let belonging = here.filter(|line| {
        own.iter().any(|known| known.position == line.position) || is_about_target(line)
    });
    belonging.cloned().collect()
}

fn print_json(stories: &[HostStory]) {
    let hosts = stories.iter().map(|story| {
        let lines: Vec<&Value> = story.lines.iter().map(|line| &line.fields).collect();
        serde_json::json!({"host": story.host, "lines": lines})
    });
    println!("{}", Value::Array(hosts.collect()));
}

fn print_story(story: &HostStory) {
    println!("{} (times of its own clock)", story.host);
    let start_ms = story.lines.first().map_or(0, |line| line.ms);
    for line in &story.lines {
        let event = line.fields["event"].as_str().unwrap_or("?");
        let offset = line.ms.saturating_sub(start_ms);
        println!("  +{offset:>6} ms  {event:<16} {}", describe(&line.fields));
    }
}

fn describe(fields: &Value) -> String {
    let shown = ["ms", "host", "level", "event", "id"];
    let Some(fields) = fields.as_object() else {
        return String::new();
    };
    let rest = fields
        .iter()
        .filter(|(name, _)| !shown.contains(&name.as_str()));
    let texts = rest.map(|(name, value)| match value.as_str() {
        Some(text) => format!("{name}={text}"),
        None => format!("{name}={value}"),
    });
    texts.collect::<Vec<_>>().join(" ")
}
