//! Decayed sums of a team's requests and work.

/// Time in which a sum without additions falls to 1/e, in milliseconds. It covers the interval
/// between two requests of a team with one request per second.
const TIME_CONSTANT_MS: f64 = 5_000.0;

/// Recent requests of a team, or of all teams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamSums {
    /// Engine time of the requests, with each repeated request counted once.
    pub asked_ms: f64,
    /// Engine time of the requests that were placed.
    pub placed_ms: f64,
    /// Number of requests, with each repeated request counted once.
    pub asked: f64,
    /// Number of requests that were placed.
    pub placed: f64,
    updated_ms: u64,
}

impl TeamSums {
    /// Returns the sums at the given time.
    pub fn decayed(&self, now_ms: u64) -> Self {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        if elapsed_ms == 0 {
            return *self;
        }
        let factor = (-(elapsed_ms as f64) / TIME_CONSTANT_MS).exp();
        Self {
            asked_ms: self.asked_ms * factor,
            placed_ms: self.placed_ms * factor,
            asked: self.asked * factor,
            placed: self.placed * factor,
            updated_ms: now_ms,
        }
    }
}
