//! Checks of what callers received around stops.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use serde_json::Value;

use super::callers::{BODY, RequestKind, StopRecord};
use crate::fixture::event_ids;

/// Time after SIGTERM until which callers may send streams that the end of the process cuts.
const CUT_SENT: Duration = Duration::from_secs(3);
/// Time after SIGTERM from which streams may be cut: 0.8 s before the end of the grace period.
const CUT_AFTER: Duration = Duration::from_millis(7_200);
/// Grace period of the relays.
const GRACE: Duration = Duration::from_secs(8);
/// Longest time from the last byte of a request to the end of its connection that crosses it.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Timers of the relay and the caller may differ by this much at a deadline.
const DEADLINE_SLACK: Duration = Duration::from_millis(50);
/// Timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(15);
/// Shortest timeout that schedules write for the idempotent route.
const SHORTEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after SIGTERM within which short requests are served.
const SERVED_SENT: Duration = Duration::from_millis(2_500);
/// Number of events of the streams that are served.
const SERVED_EVENTS: u64 = 20;
/// Time after SIGTERM before which the deadlines of requests end that are not refused.
const EARLY_DEADLINE: Duration = Duration::from_secs(7);

/// A stop of a relay's process and its end.
#[derive(Clone, Debug)]
pub(super) struct StopOutcome {
    pub(super) relay: usize,
    pub(super) terminated: Instant,
    /// Time at which the end of the process was seen.
    pub(super) exited: Instant,
    /// Exit status; `None` if the process was ended by a signal or did not end.
    pub(super) status: Option<i32>,
    /// Log of the process.
    pub(super) log: String,
}

/// Everything that the checks look at.
#[derive(Clone, Debug, Default)]
pub(super) struct SoakEvidence {
    pub(super) records: Vec<StopRecord>,
    pub(super) stops: Vec<StopOutcome>,
    /// Number of runs of each attempt, by the journals of the runners.
    pub(super) runs: HashMap<String, usize>,
    /// Whether short requests may take longer because runners were slow.
    pub(super) has_slow_runners: bool,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// Its caller got a complete response.
    Answered,
    /// It was not sent whole.
    Unsent,
    /// Its deadline or the route's timeout was reached.
    Expired,
    /// It crossed the close of its connection, and no runner has run it.
    Crossed,
    /// The end of the process cut a stream whose engine was at work.
    Cut,
    /// None of these.
    Lost,
}

impl SoakEvidence {
    /// Returns the stop of the process that a request was sent to: that which its connection was
    /// opened to. The request itself may be sent when the process has ended.
    fn stop_of(&self, record: &StopRecord) -> Option<&StopOutcome> {
        let stops = self.stops.iter().filter(|stop| stop.relay == record.relay);
        stops
            .filter(|stop| record.connected <= stop.exited)
            .min_by_key(|stop| stop.exited)
    }

    fn run_count(&self, record: &StopRecord) -> usize {
        self.runs.get(&record.attempt).copied().unwrap_or(0)
    }

    /// Classifies the end of a request.
    pub(super) fn end_of(&self, record: &StopRecord) -> RequestEnd {
        let Some(written) = record.written else {
            return RequestEnd::Unsent;
        };
        if record.status.is_some() && record.is_complete {
            return RequestEnd::Answered;
        }
        let timeout = match record.kind {
            RequestKind::Safe => SHORTEST_TIMEOUT,
            _ => ROUTE_TIMEOUT,
        };
        let limit = record.deadline.min(record.sent + timeout);
        if record.ended + DEADLINE_SLACK >= limit {
            return RequestEnd::Expired;
        }
        let has_run = self.run_count(record) > 0;
        let Some(stop) = self.stop_of(record) else {
            return RequestEnd::Lost;
        };
        if !has_run && record.ended <= written + LOSS_SLACK && record.ended >= stop.terminated {
            return RequestEnd::Crossed;
        }
        // A request without a response can be told what is known of it.
        let has_begun = record.kind.is_stream() && record.status.is_some();
        let is_sent_early = record.sent <= stop.terminated + CUT_SENT;
        let is_cut_late = record.ended >= stop.terminated + CUT_AFTER;
        match has_begun && has_run && is_sent_early && is_cut_late {
            true => RequestEnd::Cut,
            false => RequestEnd::Lost,
        }
    }

    /// Whether the process that a request was sent to had served its route before.
    fn has_served_before(&self, record: &StopRecord) -> bool {
        let exited = self.stop_of(record).map(|stop| stop.exited);
        self.records.iter().any(|other| {
            other.relay == record.relay
                && other.kind == record.kind
                && other.status == Some(200)
                && other.ended < record.sent
                && self.stop_of(other).map(|stop| stop.exited) == exited
        })
    }

    /// Checks all rules and returns a description of each violation.
    pub(super) fn find_violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let interrupted = self.interrupted();
        for record in &self.records {
            let found = [
                self.check_end(record, &interrupted),
                self.check_runs(record),
                check_body(record),
                self.check_served(record),
                self.check_early_deadline(record),
            ];
            let found = found.into_iter().flatten();
            violations.extend(found.map(|rule| format!("{rule}: {}", self.describe(record))));
        }
        violations.extend(self.stops.iter().filter_map(check_exit));
        violations
    }

    fn check_end(&self, record: &StopRecord, interrupted: &HashSet<String>) -> Option<String> {
        let end = self.end_of(record);
        if end == RequestEnd::Lost {
            return Some("lost".to_owned());
        }
        let is_logged = end != RequestEnd::Cut || interrupted.contains(&record.attempt);
        (!is_logged).then(|| "cut without a line `interrupted`".to_owned())
    }

    fn check_runs(&self, record: &StopRecord) -> Option<String> {
        let runs = self.run_count(record);
        if record.kind.runs_once() && runs > 1 {
            return Some(format!("ran {runs} times"));
        }
        let is_refused = record.status == Some(503) && runs > 0;
        is_refused.then(|| "ran although it was refused".to_owned())
    }

    /// A short request that is sent early in a stop is served.
    fn check_served(&self, record: &StopRecord) -> Option<String> {
        let is_short = match record.kind {
            RequestKind::Extra => false,
            kind => !kind.is_stream() || record.events <= SERVED_EVENTS,
        };
        let stop = self.stop_of(record)?;
        // A piece of a request may be on its way for some time.
        let written = record.written?;
        let sent = stop.terminated..stop.terminated + SERVED_SENT;
        let is_early = sent.contains(&record.sent) && sent.contains(&written);
        let is_served = record.status == Some(200) && record.is_complete;
        let is_due = is_short && is_early && !record.was_closed && !self.has_slow_runners;
        let is_refused = is_due && !is_served && self.has_served_before(record);
        is_refused.then(|| "not served although it fits".to_owned())
    }

    /// A request whose deadline is before the end of the process is not refused for the stop.
    fn check_early_deadline(&self, record: &StopRecord) -> Option<String> {
        let stop = self.stop_of(record)?;
        let is_refused = record.status == Some(503)
            && String::from_utf8_lossy(&record.body).contains("stopping");
        // The relay counts from the head, which may arrive with the last piece.
        let deadline = record.written? + (record.deadline - record.sent);
        let is_early = deadline < stop.terminated + EARLY_DEADLINE;
        let is_wrong = is_refused && is_early && self.has_served_before(record);
        is_wrong.then(|| "refused although its deadline is early".to_owned())
    }

    /// Returns the ids of the requests that the logs name as cut by the end of the process.
    fn interrupted(&self) -> HashSet<String> {
        let lines = self.stops.iter().flat_map(|stop| stop.log.lines());
        let lines = lines.flat_map(serde_json::from_str::<Value>);
        let lines = lines.filter(|line| line["event"] == "interrupted");
        lines
            .filter_map(|line| line["id"].as_str().map(str::to_owned))
            .collect()
    }

    /// Describes a request by its times after SIGTERM.
    pub(super) fn describe(&self, record: &StopRecord) -> String {
        let base = self.stop_of(record).map(|stop| stop.terminated);
        let time = |time: Instant| match base {
            Some(base) if time >= base => format!("{:.3} s", (time - base).as_secs_f64()),
            Some(base) => format!("-{:.3} s", (base - time).as_secs_f64()),
            None => "without a stop".to_owned(),
        };
        format!(
            "{} at relay {}: {} events, sent {}, written {}, ended {}, deadline {}, status {:?}, \
             complete: {}, {} runs, {} bytes, process ended {}",
            record.attempt,
            record.relay,
            record.events,
            time(record.sent),
            record.written.map_or("never".to_owned(), time),
            time(record.ended),
            time(record.deadline),
            record.status,
            record.is_complete,
            self.run_count(record),
            record.body.len(),
            self.stop_of(record)
                .map_or("never".to_owned(), |stop| time(stop.exited))
        )
    }
}

/// Checks that a complete response is that of the request.
fn check_body(record: &StopRecord) -> Option<String> {
    if record.status != Some(200) || !record.is_complete {
        return None;
    }
    let is_right = match record.kind.is_stream() {
        true => event_ids(&record.body).into_iter().eq(0..record.events),
        false => record.body == format!("{}:{BODY}", record.attempt).into_bytes(),
    };
    (!is_right).then(|| "wrong response".to_owned())
}

/// Checks that a process has ended by itself within the grace period, with a complete log.
fn check_exit(stop: &StopOutcome) -> Option<String> {
    let time = stop.exited - stop.terminated;
    let last = stop.log.lines().last().unwrap_or_default();
    let last: Value = serde_json::from_str(last).unwrap_or_default();
    let is_right = stop.status == Some(0) && time < GRACE && last["event"] == "stopped";
    (!is_right).then(|| {
        format!(
            "relay {} ended after {time:?} with {:?}, last line {last}",
            stop.relay, stop.status
        )
    })
}
