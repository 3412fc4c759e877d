//! Forecast of one quantity: exponentially weighted level and trend (Holt), with bounds from the
//! errors of earlier forecasts.

/// Errors on both sides of the forecast that the bounds span, in mean absolute errors.
const BOUND_ERRORS: f64 = 2.0;
/// Weight of the trend relative to that of the level. Load reports come in steps, and a fast trend
/// would extrapolate each step.
const TREND_SHARE: f64 = 0.2;

/// Forecast of one quantity.
#[derive(Clone, Debug)]
pub(super) struct Forecast {
    level_ms: f64,
    last: Option<LastValue>,
}

#[derive(Clone, Copy, Debug)]
struct LastValue {
    at_ms: u64,
    level: f64,
    /// Change in one millisecond.
    trend: f64,
    /// Mean absolute error.
    error: f64,
}

impl Forecast {
    /// A forecast whose level averages over about `level_ms`.
    pub(super) fn new(level_ms: f64) -> Self {
        Self {
            level_ms: level_ms.max(1.0),
            last: None,
        }
    }

    /// Takes a value.
    pub(super) fn record(&mut self, now_ms: u64, value: f64) {
        let Some(last) = self.last else {
            self.last = Some(LastValue {
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
        let weight = 1.0 - (-elapsed_ms / self.level_ms).exp();
        let expected = last.level + last.trend * elapsed_ms;
        let level = expected + weight * (value - expected);
        let slope = (level - last.level) / elapsed_ms;
        let deviation = (value - expected).abs();
        self.last = Some(LastValue {
            at_ms: now_ms,
            level,
            trend: last.trend + weight * TREND_SHARE * (slope - last.trend),
            error: last.error + weight * (deviation - last.error),
        });
    }

    /// Lower and upper bound of the value after `lead_ms`.
    pub(super) fn bounds(&self, lead_ms: f64) -> (f64, f64) {
        let Some(last) = self.last else {
            return (0.0, 0.0);
        };
        let expected = (last.level + last.trend * lead_ms).max(0.0);
        let margin = last.error * BOUND_ERRORS;
        ((expected - margin).max(0.0), expected + margin)
    }
}
