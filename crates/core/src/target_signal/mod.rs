//! Signals that targets give in their responses: that they leave, that they want no requests for a
//! while, and how many requests they take (see [`crate::rate_limit`]).
//!
//! A leaving mark belongs to one incarnation of a target and is never taken back. A pause ends at a
//! deadline; the first requests after it are spread over [`RESUME_WINDOW_MS`], so that what was
//! held back does not arrive in a bunch.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::target_signal::{SignalState, parse_pause};
//!
//! let mut state = SignalState::default();
//! state.record_pause(parse_pause("2").unwrap(), 10_000, 0.0);
//! assert!(state.is_blocked(11_999));
//! assert!(!state.is_blocked(12_000));
//! ```

use crate::rate_limit::RateLimit;

/// Longest pause that one response can ask for. It covers the overload and the restarts that
/// targets ask pauses for; a target that wants a longer one asks again with its next refusal, while
/// one incorrect value puts it out of use for a minute at most.
pub const MAX_PAUSE_MS: u64 = 60_000;
/// Pause of a target that asks for one of a length that cannot be read.
pub const UNREADABLE_PAUSE_MS: u64 = 1_000;
/// Longest random extension of a pause, so that not all daemons resume at the same moment.
const MAX_JITTER_MS: f64 = 200.0;
/// Time after a pause in which the requests to the target are spread.
pub const RESUME_WINDOW_MS: u64 = 500;
/// Shortest average time between two requests of a daemon in the [`RESUME_WINDOW_MS`].
pub const RESUME_INTERVAL_MS: u64 = 25;
/// Time for which a leaving mark is kept for an incarnation that the platform does not list: far
/// longer than a target takes to stop and than an outage of the platform's store delays records.
pub const MARK_TTL_MS: u64 = 3_600_000;
/// Longest text of a length in seconds. It covers every value up to [`MAX_PAUSE_MS`] with more
/// digits than a clock resolves.
const MAX_SECONDS_DIGITS: usize = 24;

/// What is wrong with a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalFault {
    /// The value is empty.
    Empty,
    /// The value cannot be read.
    Unreadable,
    /// The pause is longer than [`MAX_PAUSE_MS`].
    TooLong,
    /// The response carries the header more than once.
    Repeated,
}

impl SignalFault {
    /// Returns the value used in log lines and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Unreadable => "unreadable",
            Self::TooLong => "too_long",
            Self::Repeated => "repeated",
        }
    }
}

/// Signals of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetSignals {
    /// Whether the target leaves.
    pub is_leaving: bool,
    /// Time for which the target wants no requests, at most [`MAX_PAUSE_MS`].
    pub pause_ms: Option<u64>,
    /// Requests a second that the target takes from all daemons together.
    pub limit: Option<RateLimit>,
    /// What is wrong with a signal of the response.
    pub fault: Option<SignalFault>,
}

impl TargetSignals {
    /// Whether the response carries no signal.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Adds the value of one header that asks for a pause. If there are several, the longest pause
    /// counts.
    pub fn add_pause(&mut self, value: &str) {
        if self.pause_ms.is_some() {
            self.fault = Some(SignalFault::Repeated);
        }
        let pause_ms = match parse_pause(value) {
            Ok(pause_ms) => pause_ms,
            Err(fault) => {
                self.fault = Some(fault);
                bounded_pause_ms(fault)
            }
        };
        self.pause_ms = self.pause_ms.max(Some(pause_ms));
    }

    /// Adds the value of one header that names a rate limit. If there are several, the lowest one
    /// counts. An unreadable value names none.
    pub fn add_limit(&mut self, value: &str) {
        match RateLimit::parse(value) {
            Ok(limit) => {
                if let Some(known) = self.limit {
                    self.fault = Some(SignalFault::Repeated);
                    self.limit = Some(known.min(limit));
                } else {
                    self.limit = Some(limit);
                }
            }
            Err(fault) => self.fault = Some(fault),
        }
    }

    /// Adds the value of one header that states whether the target leaves. An unreadable value
    /// does not mark the target, because the mark is never taken back.
    pub fn add_leaving(&mut self, value: &str) {
        match value.trim() {
            "1" => self.is_leaving = true,
            "0" => {}
            "" => self.fault = Some(SignalFault::Empty),
            _ => self.fault = Some(SignalFault::Unreadable),
        }
    }
}

/// Reads the length of a pause in seconds, with or without a fraction, and returns milliseconds,
/// rounded up.
///
/// # Errors
///
/// Returns a fault if the text is not a plain decimal number or exceeds [`MAX_PAUSE_MS`].
pub fn parse_pause(text: &str) -> Result<u64, SignalFault> {
    let text = decimal_text(text)?;
    if text.len() > MAX_SECONDS_DIGITS {
        return Err(SignalFault::TooLong);
    }
    let seconds: f64 = text.parse().map_err(|_| SignalFault::Unreadable)?;
    let pause_ms = (seconds * 1_000.0).ceil();
    match pause_ms <= MAX_PAUSE_MS as f64 {
        true => Ok(pause_ms as u64),
        false => Err(SignalFault::TooLong),
    }
}

/// Returns the text of a plain decimal number, without spaces around it.
pub(crate) fn decimal_text(text: &str) -> Result<&str, SignalFault> {
    let text = text.trim();
    if text.is_empty() {
        return Err(SignalFault::Empty);
    }
    let is_digit = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    let is_decimal = text.starts_with(|first: char| first.is_ascii_digit());
    match is_decimal && text.bytes().all(is_digit) {
        true => Ok(text),
        false => Err(SignalFault::Unreadable),
    }
}

/// Returns the pause that follows from a faulty value.
fn bounded_pause_ms(fault: SignalFault) -> u64 {
    match fault {
        SignalFault::TooLong => MAX_PAUSE_MS,
        SignalFault::Empty | SignalFault::Unreadable | SignalFault::Repeated => UNREADABLE_PAUSE_MS,
    }
}

/// Source from which a daemon knows that a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingSource {
    /// A response of the target to this daemon.
    Response,
    /// A report of another daemon.
    Peer,
}

impl LeavingSource {
    /// Returns the value used in log lines and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Response => "header",
            Self::Peer => "peer",
        }
    }
}

/// States that an incarnation of a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeavingMark {
    /// Source of the mark.
    pub source: LeavingSource,
    /// Time of the response that stated it first, as far as this daemon knows.
    pub since_ms: u64,
}

/// What an incarnation of a target has signalled so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalState {
    /// Set once the target is known to leave.
    leaving: Option<LeavingMark>,
    /// Time until which it wants no requests.
    paused_until_ms: u64,
}

impl SignalState {
    /// Records that the target leaves; returns whether that is new.
    pub fn record_leaving(&mut self, mark: LeavingMark) -> bool {
        match &mut self.leaving {
            Some(known) => {
                known.since_ms = known.since_ms.min(mark.since_ms);
                false
            }
            None => {
                self.leaving = Some(mark);
                true
            }
        }
    }

    /// Records a pause of `pause_ms` from now on; returns whether the target was not paused before.
    /// A pause is never shortened. `jitter` is a random number between 0 and 1.
    pub fn record_pause(&mut self, pause_ms: u64, now_ms: u64, jitter: f64) -> bool {
        let is_new = now_ms >= self.paused_until_ms;
        let pause_ms = pause_ms.min(MAX_PAUSE_MS) + (jitter * MAX_JITTER_MS) as u64;
        let until_ms = now_ms.saturating_add(pause_ms);
        self.paused_until_ms = self.paused_until_ms.max(until_ms);
        is_new
    }

    /// Adds what the target has signalled according to another record.
    pub fn merge(&mut self, other: Self) {
        if let Some(mark) = other.leaving {
            self.record_leaving(mark);
        }
        self.paused_until_ms = self.paused_until_ms.max(other.paused_until_ms);
    }

    /// Returns the mark that the target leaves.
    pub fn leaving(&self) -> Option<LeavingMark> {
        self.leaving
    }

    /// Returns the time until which the target wants no requests, if that is not over.
    pub fn paused_until_ms(&self, now_ms: u64) -> Option<u64> {
        (now_ms < self.paused_until_ms).then_some(self.paused_until_ms)
    }

    /// Whether nothing may be sent to the target.
    pub fn is_blocked(&self, now_ms: u64) -> bool {
        self.leaving.is_some() || now_ms < self.paused_until_ms
    }

    /// Whether a request may be sent to the target after `resumed_sends` others since the last
    /// pause.
    pub fn accepts(&self, resumed_sends: u32, now_ms: u64) -> bool {
        if self.is_blocked(now_ms) {
            return false;
        }
        let resumed_ms = now_ms - self.paused_until_ms;
        resumed_ms >= RESUME_WINDOW_MS
            || u64::from(resumed_sends) <= resumed_ms / RESUME_INTERVAL_MS
    }

    /// Whether the pause and the spread of requests after it are over.
    pub fn has_resumed(&self, now_ms: u64) -> bool {
        now_ms >= self.paused_until_ms.saturating_add(RESUME_WINDOW_MS)
    }

    /// Whether the state has to be kept for an incarnation that the platform does not list.
    pub fn is_kept_unlisted(&self, now_ms: u64) -> bool {
        let is_recent = |mark: LeavingMark| now_ms.saturating_sub(mark.since_ms) < MARK_TTL_MS;
        self.leaving.is_some_and(is_recent) || !self.has_resumed(now_ms)
    }
}

/// Time that each step of priority adds to the time after which callers return to a service that is
/// paused, so that the most urgent requests come first.
const PRIORITY_STEP_MS: u64 = 100;
/// Priority from which further steps add nothing.
const MAX_PRIORITY_STEPS: u8 = 5;
/// Period over which the callers of one priority return.
const RETURN_SPREAD_MS: f64 = 200.0;

/// Returns the time after which a caller may return if the pause that ends first is over after
/// `remaining_ms`. `jitter` is a random number between 0 and 1.
pub fn retry_after_ms(remaining_ms: u64, priority: u8, jitter: f64) -> u64 {
    let priority_ms = PRIORITY_STEP_MS * u64::from(priority.min(MAX_PRIORITY_STEPS));
    remaining_ms + priority_ms + (jitter * RETURN_SPREAD_MS) as u64
}
