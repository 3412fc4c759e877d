//! Load of a service, measured from the cumulative totals that daemons report.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

/// Time over which a rate is measured: several reports of each daemon, and less than a boot.
const RATE_WINDOW_MS: u64 = 2_000;
/// Shortest time between two samples of the totals.
const SAMPLE_INTERVAL_MS: u64 = 250;
/// Time for which samples are kept: two windows, to compare the load with an earlier one.
const SAMPLE_TTL_MS: u64 = 3 * RATE_WINDOW_MS;
/// Time for which the totals of a silent source are kept.
const SOURCE_TTL_MS: u64 = 60_000;
/// Share of a decode engine's slots that are in use when it counts as busy: steps get slower with
/// each further request.
const FULL_OCCUPANCY: f64 = 0.8;
/// Rise within a window, as a share of the load, below which it counts as fluctuation.
const MIN_RISE: f64 = 0.15;
/// Largest factor between the expected and the present load: one kind of request may double while
/// engines boot.
const MAX_RISE_FACTOR: f64 = 2.0;

/// Work of callers since the start of a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkTotals {
    /// Prompts, including those that were refused for lack of engines.
    pub prompts: u64,
    /// Prompt tokens that had to be processed: those that were not cached.
    pub prompt_tokens: u64,
    /// Time for which requests generated tokens, summed over the requests. The rate of tokens over
    /// the speed of a stream is the number of concurrent streams, and so is the rise of this time.
    pub stream_ms: u64,
}

impl WorkTotals {
    /// Returns the difference to earlier totals; zero for what has decreased.
    fn since(&self, earlier: &Self) -> Self {
        Self {
            prompts: self.prompts.saturating_sub(earlier.prompts),
            prompt_tokens: self.prompt_tokens.saturating_sub(earlier.prompt_tokens),
            stream_ms: self.stream_ms.saturating_sub(earlier.stream_ms),
        }
    }

    fn add(&mut self, other: &Self) {
        self.prompts += other.prompts;
        self.prompt_tokens += other.prompt_tokens;
        self.stream_ms += other.stream_ms;
    }

    /// Returns the number of engines that the work keeps busy when it arrives within `elapsed_ms`.
    fn busy_engines(&self, speeds: &EngineSpeeds, elapsed_ms: u64) -> f64 {
        let prompt_ms = self.prompt_tokens as f64 / speeds.prompt_tokens_per_ms.max(f64::EPSILON)
            + self.prompts as f64 * speeds.prompt_overhead_ms;
        let streams = f64::from(speeds.slots.max(1)) * FULL_OCCUPANCY;
        (prompt_ms + self.stream_ms as f64 / streams) / elapsed_ms.max(1) as f64
    }
}

/// Totals of a service at one daemon since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadTotals {
    /// Work of the most urgent priority.
    pub urgent: WorkTotals,
    /// All other work.
    pub other: WorkTotals,
    /// Requests that were refused because the engines had too much work.
    pub refused: u64,
}

impl LoadTotals {
    fn since(&self, earlier: &Self) -> Self {
        Self {
            urgent: self.urgent.since(&earlier.urgent),
            other: self.other.since(&earlier.other),
            refused: self.refused.saturating_sub(earlier.refused),
        }
    }

    fn add(&mut self, other: &Self) {
        self.urgent.add(&other.urgent);
        self.other.add(&other.other);
        self.refused += other.refused;
    }

    fn prompts(&self) -> u64 {
        self.urgent.prompts + self.other.prompts
    }
}

/// Speeds of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeeds {
    /// Prompt tokens that a prefill engine processes in a millisecond.
    pub prompt_tokens_per_ms: f64,
    /// Time of a prompt that does not depend on its length.
    pub prompt_overhead_ms: f64,
    /// Requests that a decode engine runs at the same time.
    pub slots: u32,
}

/// Load of a service, in engines that it keeps busy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// All work, with the rise that is expected while an engine boots.
    pub all: f64,
    /// All work without an expected rise.
    pub all_now: f64,
    /// The most urgent work, with its expected rise.
    pub urgent: f64,
    /// The most urgent work without an expected rise.
    pub urgent_now: f64,
    /// Share of the requests that were refused because the engines had too much work.
    pub refused_share: f64,
}

#[derive(Clone, Copy, Debug)]
struct SourceTotals {
    totals: LoadTotals,
    seen_ms: u64,
}

/// Sums the totals of all daemons and measures their rise.
#[derive(Clone, Debug, Default)]
pub struct LoadMeter {
    /// Last totals by source. The first ones of a source are its baseline: the work before it was
    /// known does not count.
    sources: HashMap<u64, SourceTotals>,
    sum: LoadTotals,
    samples: VecDeque<(u64, LoadTotals)>,
}

impl LoadMeter {
    /// Records the totals of one run of a daemon. Repeated and older totals change nothing.
    pub fn record(&mut self, now_ms: u64, source: u64, totals: &LoadTotals) {
        let known = self.sources.entry(source).or_insert(SourceTotals {
            totals: *totals,
            seen_ms: now_ms,
        });
        known.seen_ms = now_ms;
        let increase = totals.since(&known.totals);
        known.totals.add(&increase);
        self.sum.add(&increase);
    }

    /// Keeps a sample of the sum, and forgets sources that are silent.
    pub fn sample(&mut self, now_ms: u64) {
        let last_ms = self.samples.back().map(|(at_ms, _)| *at_ms);
        if last_ms.is_some_and(|last_ms| now_ms < last_ms + SAMPLE_INTERVAL_MS) {
            return;
        }
        self.samples.push_back((now_ms, self.sum));
        while self
            .samples
            .front()
            .is_some_and(|(at_ms, _)| now_ms - at_ms > SAMPLE_TTL_MS)
        {
            self.samples.pop_front();
        }
        self.sources
            .retain(|_, source| now_ms.saturating_sub(source.seen_ms) < SOURCE_TTL_MS);
    }

    /// Returns the load expected at the end of a boot of `boot_ms` that begins now; `None` until
    /// there has been any work for the length of a measurement.
    pub fn load(&self, now_ms: u64, speeds: &EngineSpeeds, boot_ms: u64) -> Option<EngineLoad> {
        if self.sum.prompts() == 0 {
            return None;
        }
        let (middle_ms, middle) = self.sample_at(now_ms.checked_sub(RATE_WINDOW_MS)?)?;
        let (last_ms, last) = self.samples.back().copied()?;
        let recent = last.since(&middle);
        let recent_ms = last_ms.saturating_sub(middle_ms);
        let busy = |work: &WorkTotals| work.busy_engines(speeds, recent_ms);
        let (urgent, other) = (busy(&recent.urgent), busy(&recent.other));
        let earlier = self.sample_at(middle_ms.saturating_sub(RATE_WINDOW_MS));
        let earlier = earlier.filter(|(at_ms, _)| *at_ms < middle_ms);
        let expected = |present: f64, work: fn(&LoadTotals) -> &WorkTotals| {
            let Some((earlier_ms, totals)) = earlier else {
                return present;
            };
            let before = work(&middle).since(work(&totals));
            let before = before.busy_engines(speeds, middle_ms - earlier_ms);
            let rise = (present - before) / RATE_WINDOW_MS as f64;
            if rise * (RATE_WINDOW_MS as f64) < MIN_RISE * present {
                return present;
            }
            (present + rise * boot_ms as f64).min(MAX_RISE_FACTOR * present)
        };
        let rising_urgent = expected(urgent, |totals| &totals.urgent);
        Some(EngineLoad {
            all: rising_urgent + expected(other, |totals| &totals.other),
            all_now: urgent + other,
            urgent: rising_urgent,
            urgent_now: urgent,
            refused_share: recent.refused as f64 / recent.prompts().max(1) as f64,
        })
    }

    /// Returns the last sample that is not younger than `at_ms`.
    fn sample_at(&self, at_ms: u64) -> Option<(u64, LoadTotals)> {
        let mut samples = self.samples.iter().rev();
        samples.find(|(sample_ms, _)| *sample_ms <= at_ms).copied()
    }
}
