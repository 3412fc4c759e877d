//! Rate limits that targets name in their responses: how many requests a second a target takes from
//! all daemons together, for as long as it says so.
//!
//! A [`LimitTable`] holds what is known of the limits. One daemon grants the requests to targets with
//! a limit, so that the sum over the fleet keeps it however the load is spread; its [`GrantTable`]
//! holds a token bucket for each of these targets.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::rate_limit::{GrantAnswer, GrantRequest, GrantTable, RateLimit};
//!
//! let limit = RateLimit::parse("2").unwrap();
//! let mut table = GrantTable::default();
//! let mut ask = |id, now_ms| {
//!     let request = GrantRequest { id, target_hash: 7, priority: 0, team: None };
//!     table.decide(&request, limit, 1.0, now_ms)
//! };
//! assert!(matches!(ask(1, 0), GrantAnswer::Denied { open_in_ms: 500, .. }));
//! assert_eq!(ask(2, 500), GrantAnswer::Granted);
//! ```

mod grant;
mod table;
mod teams;

pub use grant::{GRANT_TTL_MS, GrantAnswer, GrantRequest, GrantTable, granted_share};
pub use table::{AnswerTimes, LimitChange, LimitRecord, LimitTable};

use acaciabank_protocol::value_type;

use crate::target_signal::{self, SignalFault};

/// Longest text of a limit: enough for every limit that a target can mean.
const MAX_LIMIT_DIGITS: usize = 24;
/// Thousandths of a request in a request.
const UNITS_PER_REQUEST: f64 = 1_000.0;

value_type!(
    /// Requests a second that a target takes from all daemons together, in thousandths of a request.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct RateLimit(u64);
);

impl RateLimit {
    /// Reads a decimal number of requests a second. Fractions of a thousandth are dropped, so that
    /// the limit is not exceeded.
    ///
    /// # Errors
    ///
    /// Returns a fault if the text is not a plain decimal number.
    pub fn parse(text: &str) -> Result<Self, SignalFault> {
        let text = target_signal::decimal_text(text)?;
        if text.len() > MAX_LIMIT_DIGITS {
            return Err(SignalFault::Unreadable);
        }
        let per_s: f64 = text.parse().map_err(|_| SignalFault::Unreadable)?;
        Ok(Self((per_s * UNITS_PER_REQUEST) as u64))
    }

    /// Returns the requests a second.
    pub fn per_s(self) -> f64 {
        self.0 as f64 / UNITS_PER_REQUEST
    }
}
