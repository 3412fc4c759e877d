//! Checks of what callers received, and of the logs and journals of a soak.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde_json::Value;

use super::{
    callers::{CallRecord, EVENT_COUNT},
    fixture::{DrainRecord, NamedLimit},
};

use crate::{fixture::event_ids, rate_limits, software_versions};

/// Time after the store's acknowledgement from which a draining runner gets no request, in
/// milliseconds (users' rule).
pub(super) const DRAIN_BOUND_MS: u64 = 2_000;
/// Number of crashes after which relays have to know a part.
pub(super) const KNOWN_CRASHES: usize = 5;
/// Time that relays in touch have to tell each other of a part, in milliseconds (`contact_ms` of
/// the users' rule).
pub(super) const CONTACT_MS: u64 = 3_000;
/// Number of requests with a known part that may still reach engines, and so the largest number of
/// engines that it still crashes (users' rule).
pub(super) const MAX_LATE_REQUESTS: usize = 3;

/// Checks the guarantees and returns a description of each violation.
pub(super) fn find_violations(
    records: &[CallRecord],
    runs: &HashMap<String, usize>,
) -> Vec<String> {
    let mut violations = Vec::new();
    for record in records {
        let ran = runs.get(&record.attempt).copied().unwrap_or(0);
        if matches!(record.kind, "once" | "stream") && ran > 1 {
            violations.push(format!("{} ran {ran} times", record.attempt));
        }
        let Some((status, body)) = &record.response else {
            continue;
        };
        if matches!(status, 429 | 503) && ran > 0 && matches!(record.kind, "once" | "stream") {
            violations.push(format!(
                "{} ran although it was refused with {status}",
                record.attempt
            ));
        }
        if *status != 200 {
            continue;
        }
        let is_complete = match record.kind {
            "once" | "safe" => *body == format!("{0}:{0}", record.attempt).into_bytes(),
            _ => event_ids(body) == (0..u64::from(EVENT_COUNT)).collect::<Vec<_>>(),
        };
        let text = String::from_utf8_lossy(body);
        if software_versions::versions(&text).len() > 1 {
            violations.push(format!("{} holds two versions: {text}", record.attempt));
        }
        if !is_complete {
            let text = String::from_utf8_lossy(body).into_owned();
            violations.push(format!(
                "{} got an incomplete response or that of another request: {text}",
                record.attempt
            ));
        }
    }
    violations
}

/// Time between a response of a runner and the log line about it, and between the arrival of a
/// request and its dispatch.
pub(super) const LOG_SLACK_MS: u64 = 50;

/// Until when a relay sends nothing to a runner, by its log.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuietPeriod {
    from_ms: u64,
    until_ms: u64,
}

/// Whether a log line is about a refusal of a request that was sent before this time.
pub(super) fn is_refusal_before(line: &Value, time_ms: u64) -> bool {
    let ms = line["ms"].as_u64().unwrap_or(0);
    let sent_ms = ms.saturating_sub(line["elapsed_ms"].as_u64().unwrap_or(0));
    let is_refusal = line["event"] == "attempt_failed" && line["reason"] == "target_refused";
    // A later send of a request is not as old as the request.
    is_refusal && line["send"] == 1 && sent_ms < time_ms
}

/// Checks by a relay's log that no request that arrived after a runner had stated that it leaves,
/// or had asked for a pause, was sent to it. A new run of either ends the period, and a response of
/// an earlier run, which a slow link may deliver after the new run is listed, does not begin one.
pub(super) fn find_signal_violations(log: &str) -> Vec<String> {
    let mut violations = Vec::new();
    let mut quiet: HashMap<String, QuietPeriod> = HashMap::new();
    let mut listed: HashMap<String, u64> = HashMap::new();
    let lines = log.lines().map(serde_json::from_str::<Value>);
    for line in lines.flatten() {
        let target = line["target_id"].as_str().unwrap_or_default().to_owned();
        let from_ms = line["ms"].as_u64().unwrap_or(0);
        let listed_ms = listed.get(&target).copied().unwrap_or(0);
        if is_refusal_before(&line, listed_ms) {
            let is_own = |period: &QuietPeriod| period.from_ms + LOG_SLACK_MS >= from_ms;
            if quiet.get(&target).is_some_and(is_own) {
                quiet.remove(&target);
            }
            continue;
        }
        match line["event"].as_str().unwrap_or_default() {
            "started" => quiet.clear(),
            "target_listed" => {
                quiet.remove(&target);
                listed.insert(target, from_ms);
            }
            "target_signals_adopted" => {
                let until_ms = match line["leaving"].as_bool() {
                    Some(true) => u64::MAX,
                    _ => from_ms + line["pause_ms"].as_u64().unwrap_or(0),
                };
                quiet.insert(target, QuietPeriod { from_ms, until_ms });
            }
            "target_leaving" => {
                let until_ms = u64::MAX;
                quiet.insert(target, QuietPeriod { from_ms, until_ms });
            }
            "target_paused" => {
                let until_ms = from_ms + line["pause_ms"].as_u64().unwrap_or(0);
                quiet
                    .entry(target)
                    .or_insert(QuietPeriod { from_ms, until_ms });
            }
            "target_resumed" => {
                quiet.remove(&target);
            }
            "answered" | "attempt_failed" if line["reason"] != "target_unavailable" => {
                let arrived_ms = from_ms.saturating_sub(line["elapsed_ms"].as_u64().unwrap_or(0));
                let is_sent_late = |id: &str| {
                    quiet.get(id).is_some_and(|period| {
                        arrived_ms > period.from_ms + LOG_SLACK_MS && from_ms < period.until_ms
                    })
                };
                let prefill = line["prefill_id"].as_str().unwrap_or_default();
                if is_sent_late(&target) || is_sent_late(prefill) {
                    violations.push(format!("sent to a leaving or paused runner: {line}"));
                }
            }
            _ => {}
        }
    }
    violations
}

/// Returns the fencing tokens that two holders used, from the journal entries of all engines.
pub(super) fn find_shared_fences(entries: &[Value]) -> Vec<String> {
    let mut holders: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for entry in entries {
        let order = &entry["order"];
        if let (Some(fence), Some(holder)) = (order["fence"].as_u64(), order["holder"].as_str()) {
            holders.entry(fence).or_default().insert(holder);
        }
    }
    let shared = holders.iter().filter(|(_, holders)| holders.len() > 1);
    shared
        .map(|(fence, holders)| format!("fencing token {fence} of {holders:?}"))
        .collect()
}

/// Returns the requests that a runner ran although it had been draining for longer than the bound.
pub(super) fn find_drain_violations(drain: &DrainRecord, entries: &[Value]) -> Vec<String> {
    let late = drain.acknowledged_ms + DRAIN_BOUND_MS..drain.ended_ms;
    let is_late = |entry: &&Value| {
        let ran_ms = entry["unix_ms"].as_u64().unwrap_or(0);
        entry["ran"].is_string() && late.contains(&ran_ms)
    };
    let found = entries.iter().filter(is_late);
    found
        .map(|entry| format!("sent to a draining runner: {entry}"))
        .collect()
}

/// Checks that a runner got no more requests than its limit allows, from [`CONTACT_MS`] after the
/// first one that it answered with the limit.
pub(super) fn find_limit_violations(limit: &NamedLimit, entries: &[Value]) -> Vec<String> {
    let times = rate_limits::arrival_times(entries);
    let of_limit = times.iter().copied();
    let of_limit = of_limit.filter(|time| (limit.named_ms..limit.ended_ms).contains(time));
    let of_limit: Vec<u64> = of_limit.collect();
    let Some(first_ms) = of_limit.first() else {
        return Vec::new();
    };
    let worst = rate_limits::worst_window(&of_limit, first_ms + CONTACT_MS);
    let allowed = rate_limits::allowed(limit.per_s);
    match worst as f64 <= allowed {
        true => Vec::new(),
        false => vec![format!(
            "{worst} requests in 4 s, allowed {allowed}: {limit:?}"
        )],
    }
}

/// Returns how many crashing requests engines ran later than [`CONTACT_MS`] after the fifth crash,
/// from the times of all crashes and of all runs of such requests.
pub(super) fn late_request_count(crash_times: &[u64], run_times: &[u64]) -> usize {
    let mut crash_times = crash_times.to_vec();
    crash_times.sort_unstable();
    let Some(known_ms) = crash_times.get(KNOWN_CRASHES - 1) else {
        return 0;
    };
    let late = run_times
        .iter()
        .filter(|run_ms| **run_ms > known_ms + CONTACT_MS);
    late.count()
}
