//! Times that the responses of a route take, as a high quantile of the latest ones.

use std::time::Duration;

/// Number of responses that are kept.
const WINDOW: usize = 64;
/// Share of the responses that are expected to take less time.
const QUANTILE: f32 = 0.95;
/// Time of an output token before one has been observed: that of a loaded engine.
const INITIAL_TOKEN_MS: f32 = 50.0;

/// An observed time.
#[derive(Clone, Copy, Debug)]
struct TimeSample {
    time_ms: f32,
    /// How much it counts among the others.
    weight: f32,
}

/// The latest samples of a time.
#[derive(Clone, Debug, Default)]
struct TimeWindow {
    samples: Vec<TimeSample>,
    next: usize,
}

impl TimeWindow {
    fn record(&mut self, sample: TimeSample) {
        match self.samples.get_mut(self.next) {
            Some(oldest) => *oldest = sample,
            None => self.samples.push(sample),
        }
        self.next = (self.next + 1) % WINDOW;
    }

    /// Returns the shortest time that is not exceeded by [`QUANTILE`] of the weight: the longest one
    /// of a few samples.
    fn quantile_ms(&self) -> Option<f32> {
        let mut sorted = self.samples.clone();
        sorted.sort_by(|left, right| left.time_ms.total_cmp(&right.time_ms));
        let total: f32 = sorted.iter().map(|sample| sample.weight).sum();
        let mut weight = 0.0;
        let reached = sorted.iter().find(|sample| {
            weight += sample.weight;
            weight >= total * QUANTILE
        });
        reached.or(sorted.last()).map(|sample| sample.time_ms)
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
    /// Records the time from a request to its response, or to the first event.
    pub fn record_first(&mut self, time: Duration) {
        self.first.record(TimeSample {
            time_ms: time.as_secs_f32() * 1_000.0,
            weight: 1.0,
        });
    }

    /// Records the time from the first event to the end of a stream of at most `max_tokens` tokens.
    /// A stream counts by its tokens, as the time of a few ones says little about long streams.
    pub fn record_rest(&mut self, time: Duration, max_tokens: u64) {
        if max_tokens > 1 {
            let weight = (max_tokens - 1) as f32;
            self.per_token.record(TimeSample {
                time_ms: time.as_secs_f32() * 1_000.0 / weight,
                weight,
            });
        }
    }

    /// Returns the expected time to the response or the first event; `initial` before one has been
    /// observed.
    pub fn expected_first(&self, initial: Duration) -> Duration {
        self.first.quantile_ms().map_or(initial, duration)
    }

    /// Returns the expected time from the first event to the end of a stream.
    pub fn expected_rest(&self, max_tokens: u64) -> Duration {
        let token_ms = self.per_token.quantile_ms().unwrap_or(INITIAL_TOKEN_MS);
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
