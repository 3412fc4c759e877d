//! What a run measured.

use std::{collections::BTreeMap, fmt};

use hdrhistogram::Histogram;

/// Longest latency that is told apart, in microseconds: ten minutes.
const MAX_LATENCY_US: u64 = 600_000_000;

/// How one request ended, as its caller saw it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestOutcome {
    /// The whole answer arrived.
    pub completed: bool,
    /// It arrived before the deadline.
    pub in_time: bool,
    /// From the planned arrival to the first token, in microseconds.
    pub first_token_us: Option<u64>,
    /// Between tokens, in microseconds.
    pub between_tokens_us: Vec<u64>,
    /// Tokens received.
    pub tokens: u64,
    /// Reason of the last refusal or failure, with its verdict.
    pub failure: Option<(String, String)>,
    /// Further attempts that the caller made.
    pub retries: u32,
    /// Whether the request was urgent.
    pub urgent: bool,
    /// Phase of the script.
    pub phase: usize,
}

/// Quantiles of a latency, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LatencySummary {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// Counts of one phase.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct PhaseReport {
    /// Requests planned.
    pub requests: u64,
    /// Requests completed in time.
    pub in_time: u64,
}

/// The result of a run.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Name of the run.
    pub name: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Requests planned.
    pub requests: u64,
    /// Requests whose whole answer arrived.
    pub completed: u64,
    /// Requests whose whole answer arrived in time.
    pub in_time: u64,
    /// Share of the requests completed in time, from 0 to 1.
    pub goodput: f64,
    /// Urgent requests planned.
    pub urgent_requests: u64,
    /// Urgent requests completed in time.
    pub urgent_in_time: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Further attempts that callers made.
    pub caller_retries: u64,
    /// Last refusal of requests that did not complete, by `reason/verdict`.
    pub failures: BTreeMap<String, u64>,
    /// Retries inside the system, by reason; empty without operators' addresses.
    pub system_retries: BTreeMap<String, u64>,
    /// Role changes during the run; absent without operators' addresses.
    pub role_changes: Option<u64>,
    /// From the planned arrival to the first token.
    pub first_token: LatencySummary,
    /// Between tokens.
    pub between_tokens: LatencySummary,
    /// Length of the run, in milliseconds.
    pub elapsed_ms: u64,
    /// Counts by phase.
    pub phases: Vec<PhaseReport>,
}

/// Collects outcomes.
pub(super) struct OutcomeRecorder {
    report: LoadReport,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
}

impl OutcomeRecorder {
    pub(super) fn new(name: &str, seed: u64, phases: usize) -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_LATENCY_US, 3).expect("three digits are supported");
        Self {
            report: LoadReport {
                name: name.to_owned(),
                seed,
                phases: vec![PhaseReport::default(); phases],
                ..LoadReport::default()
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

    pub(super) fn counts(&self) -> (u64, u64) {
        (self.report.requests, self.report.in_time)
    }

    pub(super) fn into_report(mut self, elapsed_ms: u64) -> LoadReport {
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
    let quantile = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    LatencySummary {
        p50_ms: quantile(0.5),
        p95_ms: quantile(0.95),
        p99_ms: quantile(0.99),
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "run {} (seed {})", self.name, self.seed)?;
        writeln!(
            formatter,
            "requests {}, completed {}, in time {}, goodput {:.4}",
            self.requests, self.completed, self.in_time, self.goodput
        )?;
        if self.urgent_requests > 0 {
            let (in_time, all) = (self.urgent_in_time, self.urgent_requests);
            writeln!(formatter, "urgent requests {all}, in time {in_time}")?;
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
