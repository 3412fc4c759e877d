//! The report of a load run and the recorder that builds it.

use std::{collections::BTreeMap, fmt};

use hdrhistogram::Histogram;

/// Largest latency that the histograms hold, in microseconds (ten minutes); larger ones are
/// recorded as this one.
const MAX_LATENCY_US: u64 = 600_000_000;

/// How one request ended, as its caller saw it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestOutcome {
    /// Whether the complete response arrived.
    pub completed: bool,
    /// Whether the complete response arrived before the deadline.
    pub in_time: bool,
    /// Time from the planned arrival to the first token, in microseconds.
    pub first_token_us: Option<u64>,
    /// Intervals between consecutive tokens, in microseconds.
    pub between_tokens_us: Vec<u64>,
    /// Number of tokens received.
    pub tokens: u64,
    /// Reason and verdict of the last refusal or failure.
    pub failure: Option<(String, String)>,
    /// Number of attempts after the first.
    pub retries: u32,
    /// Whether the request was urgent.
    pub urgent: bool,
    /// Position of the request's phase in the script.
    pub phase: usize,
}

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LatencySummary {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// Request counts of one phase.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct PhaseReport {
    /// Number of requests planned.
    pub requests: u64,
    /// Number of requests completed in time.
    pub in_time: u64,
}

/// The result of a load run.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RunReport {
    /// Name of the run.
    pub name: String,
    /// Seed from which the requests and their arrival times were drawn.
    pub seed: u64,
    /// Number of requests planned.
    pub requests: u64,
    /// Number of requests whose complete response arrived.
    pub completed: u64,
    /// Number of requests whose complete response arrived before the deadline.
    pub in_time: u64,
    /// Share of the requests completed in time, from 0 to 1.
    pub goodput: f64,
    /// Number of urgent requests planned.
    pub urgent_requests: u64,
    /// Number of urgent requests completed in time.
    pub urgent_in_time: u64,
    /// Number of tokens received.
    pub tokens: u64,
    /// Number of retries by callers.
    pub caller_retries: u64,
    /// Number of requests that did not complete, by `reason/verdict` of their last failure.
    pub failures: BTreeMap<String, u64>,
    /// Number of retries inside the system, by reason; empty without operators' addresses.
    pub system_retries: BTreeMap<String, u64>,
    /// Number of role changes during the run; absent without operators' addresses.
    pub role_changes: Option<u64>,
    /// Time from the planned arrival to the first token.
    pub first_token: LatencySummary,
    /// Interval between consecutive tokens.
    pub between_tokens: LatencySummary,
    /// Duration of the run, in milliseconds.
    pub elapsed_ms: u64,
    /// Request counts of each phase, in the order of the script.
    pub phases: Vec<PhaseReport>,
}

/// Adds up request outcomes into a report.
pub(super) struct OutcomeRecorder {
    report: RunReport,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
}

impl OutcomeRecorder {
    pub(super) fn new(name: &str, seed: u64, phases: usize) -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_LATENCY_US, 3).expect("three digits are supported");
        Self {
            report: RunReport {
                name: name.to_owned(),
                seed,
                phases: vec![PhaseReport::default(); phases],
                ..RunReport::default()
            },
            first_token: histogram(),
            between_tokens: histogram(),
        }
    }

    pub(super) fn record(&mut self, outcome: &RequestOutcome) {
        let report = &mut self.report;
        report.requests += 1;
        report.completed += u64::from(outcome.completed);
        report.in_time += u64::from(outcome.in_time);
        report.urgent_requests += u64::from(outcome.urgent);
        report.urgent_in_time += u64::from(outcome.urgent && outcome.in_time);
        report.tokens += outcome.tokens;
        report.caller_retries += u64::from(outcome.retries);
        let phase = &mut report.phases[outcome.phase];
        phase.requests += 1;
        phase.in_time += u64::from(outcome.in_time);
        if let (false, Some((reason, verdict))) = (outcome.completed, &outcome.failure) {
            *report
                .failures
                .entry(format!("{reason}/{verdict}"))
                .or_default() += 1;
        }
        if let Some(latency) = outcome.first_token_us {
            self.first_token.saturating_record(latency);
        }
        for latency in &outcome.between_tokens_us {
            self.between_tokens.saturating_record(*latency);
        }
    }

    /// Number of requests recorded so far and of those completed in time.
    pub(super) fn counts(&self) -> (u64, u64) {
        (self.report.requests, self.report.in_time)
    }

    pub(super) fn into_report(mut self, elapsed_ms: u64) -> RunReport {
        self.report.first_token = summarize(&self.first_token);
        self.report.between_tokens = summarize(&self.between_tokens);
        self.report.elapsed_ms = elapsed_ms;
        if self.report.requests > 0 {
            self.report.goodput = self.report.in_time as f64 / self.report.requests as f64;
        }
        self.report
    }
}

fn summarize(histogram: &Histogram<u64>) -> LatencySummary {
    let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    LatencySummary {
        p50_ms: quantile_ms(0.5),
        p95_ms: quantile_ms(0.95),
        p99_ms: quantile_ms(0.99),
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "run {} (seed {})", self.name, self.seed)?;
        writeln!(
            formatter,
            "requests {}, completed {}, in time {}, goodput {:.4}",
            self.requests, self.completed, self.in_time, self.goodput
        )?;
        if self.urgent_requests > 0 {
            let (in_time, requests) = (self.urgent_in_time, self.urgent_requests);
            writeln!(formatter, "urgent requests {requests}, in time {in_time}")?;
        }
        let seconds = self.elapsed_ms as f64 / 1_000.0;
        writeln!(formatter, "tokens {} in {seconds:.1} s", self.tokens)?;
        for (name, latency) in [
            ("first token", &self.first_token),
            ("between tokens", &self.between_tokens),
        ] {
            let LatencySummary {
                p50_ms,
                p95_ms,
                p99_ms,
            } = latency;
            writeln!(
                formatter,
                "{name}: p50 {p50_ms:.1} p95 {p95_ms:.1} p99 {p99_ms:.1} ms"
            )?;
        }
        writeln!(formatter, "caller retries {}", self.caller_retries)?;
        for (reason, count) in &self.failures {
            writeln!(formatter, "failed with {reason}: {count}")?;
        }
        for (reason, count) in &self.system_retries {
            writeln!(formatter, "system retries, {reason}: {count}")?;
        }
        if let Some(changes) = self.role_changes {
            writeln!(formatter, "role changes {changes}")?;
        }
        for (index, phase) in self.phases.iter().enumerate() {
            let PhaseReport { requests, in_time } = phase;
            writeln!(
                formatter,
                "phase {index}: requests {requests}, in time {in_time}"
            )?;
        }
        Ok(())
    }
}
