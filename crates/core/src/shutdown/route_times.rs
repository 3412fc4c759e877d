//! Times that the responses of a route take, as a high quantile of the latest ones.

use std::time::Duration;

/// Number of responses that are kept. The quantile is the fourth longest of a full window.
const WINDOW: usize = 64;
/// Share of the responses that are expected to take less time.
const QUANTILE: f64 = 0.95;
/// Time of an output token before one has been observed: that of a loaded engine.
const INITIAL_TOKEN_MS: f32 = 50.0;

/// The latest values of a time, in milliseconds.
#[derive(Clone, Debug, Default)]
struct TimeWindow {
    values: Vec<f32>,
    next: usize,
}

impl TimeWindow {
    fn record(&mut self, value_ms: f32) {
        match self.values.get_mut(self.next) {
            Some(value) => *value = value_ms,
            None => self.values.push(value_ms),
        }
        self.next = (self.next + 1) % WINDOW;
    }

    /// Returns the quantile; the longest of a few values.
    fn quantile(&self) -> Option<f32> {
        let mut sorted = self.values.clone();
        sorted.sort_by(f32::total_cmp);
        let rank = (sorted.len() as f64 * QUANTILE).ceil() as usize;
        sorted.get(rank.checked_sub(1)?).copied()
    }
}

/// Times of the latest responses of a route.
#[derive(Clone, Debug, Default)]
pub struct RouteTimes {
    /// Time to the response, or to the first event of a stream.
    first: TimeWindow,
    /// Time of the rest of a stream for each token that it might have had. Streams that end early
    /// and events with several tokens make it shorter.
    per_token: TimeWindow,
}

impl RouteTimes {
    /// Records the time from the arrival of a request to its response, or to the first event.
    pub fn record_first(&mut self, time: Duration) {
        self.first.record(time.as_secs_f32() * 1_000.0);
    }

    /// Records the time from the first event to the end of a stream of at most `max_tokens` tokens.
    pub fn record_rest(&mut self, time: Duration, max_tokens: u64) {
        if max_tokens > 1 {
            let token_ms = time.as_secs_f32() * 1_000.0 / (max_tokens - 1) as f32;
            self.per_token.record(token_ms);
        }
    }

    /// Returns the expected time to the response or the first event; `initial` before one has been
    /// observed.
    pub fn expected_first(&self, initial: Duration) -> Duration {
        self.first.quantile().map_or(initial, duration)
    }

    /// Returns the expected time from the first event to the end of a stream.
    pub fn expected_rest(&self, max_tokens: u64) -> Duration {
        let token_ms = self.per_token.quantile().unwrap_or(INITIAL_TOKEN_MS);
        duration(token_ms * max_tokens.saturating_sub(1) as f32)
    }
}

/// Converts milliseconds; a time beyond all deadlines stands for one that is too long.
fn duration(time_ms: f32) -> Duration {
    const LONGEST: Duration = Duration::from_secs(86_400);
    Duration::try_from_secs_f32(time_ms / 1_000.0)
        .unwrap_or(LONGEST)
        .min(LONGEST)
}
