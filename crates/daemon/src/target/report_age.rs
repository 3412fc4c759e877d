//! Age of the load reports of a target, whose time of day differs from this host's.

use std::time::Duration;

/// Microseconds by which two clocks may drift apart in a millisecond. Quartz clocks drift by less
/// than a tenth of it.
const MAX_DRIFT_US_PER_MS: i128 = 1;

/// Estimates how old each report of a target is on arrival.
///
/// A report states the target's time of day. It is compared with earlier reports and never with
/// this host's time of day, which may be set while the process runs: a report that arrived as soon
/// after its stated time as any other counts as new.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportAge {
    last: Option<LastReport>,
}

#[derive(Clone, Copy, Debug)]
struct LastReport {
    stated_ms: u64,
    received_ms: u64,
    /// Shortest time from a stated time to the arrival, between clocks of different origins.
    min_lag_us: i128,
}

impl ReportAge {
    /// Returns the age of a report that states the target's time of day `stated_ms` and arrives at
    /// `received_ms` on a monotonic clock of this process.
    pub fn record(&mut self, stated_ms: u64, received_ms: u64) -> Duration {
        let lag_us = (i128::from(received_ms) - i128::from(stated_ms)) * 1_000;
        // A stated time before the last one shows that the target's clock was set back.
        let comparable = self.last.filter(|last| stated_ms >= last.stated_ms);
        let min_lag_us = comparable.map_or(lag_us, |last| {
            let elapsed_ms = i128::from(received_ms.saturating_sub(last.received_ms));
            lag_us.min(last.min_lag_us + elapsed_ms * MAX_DRIFT_US_PER_MS)
        });
        self.last = Some(LastReport {
            stated_ms,
            received_ms,
            min_lag_us,
        });
        Duration::from_micros(u64::try_from(lag_us - min_lag_us).unwrap_or(0))
    }
}
