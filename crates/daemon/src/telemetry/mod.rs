//! Structured logging and metrics.

pub mod logging;
pub mod names;

use std::sync;

use acaciabank_protocol::{reason, verdict};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: sync::OnceLock<PrometheusHandle> = sync::OnceLock::new();

/// Installs the global metrics recorder, describes the metrics and creates the reason counters.
/// Later calls return the same handle.
pub fn install_metrics() -> &'static PrometheusHandle {
    HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("a metrics recorder is already installed");
        }
        names::describe();
        init_counters();
        handle
    })
}

/// Increments the refusal counter for the reason and verdict of a refusal.
pub fn count_refusal(refusal: &reason::Refusal) {
    refusal_counter(refusal.reason, refusal.verdict).increment(1);
}

fn refusal_counter(reason: reason::RefusalReason, verdict: verdict::Verdict) -> metrics::Counter {
    metrics::counter!(names::REFUSALS, "reason" => reason.as_str(), "verdict" => verdict.as_str())
}

/// Creates the reason counters with the value 0. A rate over a counter misses its first increment
/// unless the counter existed before.
fn init_counters() {
    for reason in reason::RefusalReason::ALL {
        for verdict in [verdict::Verdict::NotRun, verdict::Verdict::MayHaveRun] {
            refusal_counter(*reason, verdict).increment(0);
        }
    }
    for reason in names::RETRY_REASONS {
        metrics::counter!(names::RETRIES, "reason" => reason.as_str()).increment(0);
    }
}
