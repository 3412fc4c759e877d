//! Forecast of a quantity by Holt's linear trend method, with bounds from the errors of earlier
//! forecasts.

/// Distance of each bound from the forecast, in mean absolute errors.
const BOUND_ERRORS: f64 = 2.0;
/// Smoothing weight of the trend, relative to that of the level. Load reports change in steps, and
/// a trend that adapts faster would extrapolate each step.
const TREND_WEIGHT_FACTOR: f64 = 0.2;

/// Forecast of one quantity: smoothed level, trend and error.
#[derive(Clone, Debug)]
pub(super) struct Forecast {
    /// Time constant of the smoothing.
    smoothing_ms: f64,
    last: Option<SmoothedValue>,
}

#[derive(Clone, Copy, Debug)]
struct SmoothedValue {
    at_ms: u64,
    level: f64,
    /// Change per millisecond.
    trend: f64,
    /// Mean absolute error of the forecasts.
    error: f64,
}

impl Forecast {
    /// Creates a forecast whose level averages over about `smoothing_ms`.
    pub(super) fn new(smoothing_ms: f64) -> Self {
        Self {
            smoothing_ms: smoothing_ms.max(1.0),
            last: None,
        }
    }

    /// Records the value at a time; a time that is not later than the last one is ignored.
    pub(super) fn record(&mut self, now_ms: u64, value: f64) {
        let Some(last) = self.last else {
            self.last = Some(SmoothedValue {
                at_ms: now_ms,
                level: value,
                trend: 0.0,
                error: 0.0,
            });
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(last.at_ms) as f64;
        if elapsed_ms <= 0.0 {
            return;
        }
        let weight = 1.0 - (-elapsed_ms / self.smoothing_ms).exp();
        let expected = last.level + last.trend * elapsed_ms;
        let level = expected + weight * (value - expected);
        let slope = (level - last.level) / elapsed_ms;
        let deviation = (value - expected).abs();
        self.last = Some(SmoothedValue {
            at_ms: now_ms,
            level,
            trend: last.trend + weight * TREND_WEIGHT_FACTOR * (slope - last.trend),
            error: last.error + weight * (deviation - last.error),
        });
    }

    /// Returns the lower and upper bound of the value `lead_ms` after the last one.
    pub(super) fn bounds(&self, lead_ms: f64) -> (f64, f64) {
        let Some(last) = self.last else {
            return (0.0, 0.0);
        };
        let expected = (last.level + last.trend * lead_ms).max(0.0);
        let margin = last.error * BOUND_ERRORS;
        ((expected - margin).max(0.0), expected + margin)
    }
}
