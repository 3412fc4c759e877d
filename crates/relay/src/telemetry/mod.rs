//! Logs on standard output and the metrics of the process.

mod events;
mod logging;
mod overload;

pub use events::{RefusalCause, count_interrupted, count_refusal, count_retry, record_latency};
pub use logging::{flush as flush_log, install as install_log};
pub use overload::{OverloadReason, count_overload};

use std::sync;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: sync::OnceLock<PrometheusHandle> = sync::OnceLock::new();

/// Installs the metrics recorder and returns its handle; later calls return the same handle.
pub fn install_metrics() -> &'static PrometheusHandle {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("a metrics recorder is already installed");
        }
        handle
    })
}
