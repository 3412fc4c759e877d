//! Stops of relays and the faults beside them, which depend only on the seed.

use std::{ops::Range, time::Duration};

use rand::{RngExt, SeedableRng, rngs};
use serde_json::{Value, json};

/// Seeds from this one on run a large deployment.
pub(super) const FIRST_LARGE_SEED: u64 = 1_000;
/// Ids of the runners: a plain service (`r`), a prefill engine (`p`) and decode engines (`d`).
pub(super) const RUNNER_IDS: [&str; 4] = ["r-1", "p-1", "d-1", "d-2"];
/// Moments at which the first stops begin, in milliseconds.
const FIRST_STOP_MS: Range<u64> = 1_500..4_500;
/// Longest time between two stops of a series, in milliseconds.
const SERIES_GAP_MS: Range<u64> = 0..900;
/// Moments of further signals and processes, in milliseconds after SIGTERM.
const SIGNAL_MS: Range<u64> = 50..6_500;

/// Number of processes and callers of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SoakSize {
    pub(super) relays: usize,
    pub(super) callers: usize,
}

/// What happens to a relay during its stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopFault {
    Terminate,
    HangUp,
    /// A second process starts with the same settings.
    StartSecond,
}

/// A stop of a relay. The relay starts again as soon as its process has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PlannedStop {
    pub(super) relay: usize,
    pub(super) start: Duration,
    /// Further faults with their time after SIGTERM.
    pub(super) faults: Vec<(Duration, StopFault)>,
}

/// A change beside the stops.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum SideFault {
    /// Sets faults of a runner, as a `/control` patch.
    Runner(usize, Value),
    /// Writes a configuration with this timeout of the idempotent route, with or without the route
    /// that is dropped.
    Configure { timeout_ms: u64, has_extra: bool },
}

/// The schedule of a seed.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StopSchedule {
    pub(super) size: SoakSize,
    pub(super) stops: Vec<PlannedStop>,
    /// Changes in the order of their start.
    pub(super) changes: Vec<(Duration, SideFault)>,
}

impl StopSchedule {
    /// Whether a runner is slow at some time.
    pub(super) fn has_slow_runners(&self) -> bool {
        let mut changes = self.changes.iter();
        changes.any(|(_, fault)| matches!(fault, SideFault::Runner(..)))
    }
}

/// Draws the stops, and in two of three seeds slow runners and configurations beside them.
pub(super) fn schedule(seed: u64) -> StopSchedule {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let size = match seed >= FIRST_LARGE_SEED {
        true => SoakSize {
            relays: 12,
            callers: 160,
        },
        false => SoakSize {
            relays: rng.random_range(3..5),
            callers: 24,
        },
    };
    let mut stops = Vec::new();
    let mut start_ms = rng.random_range(FIRST_STOP_MS);
    let are_together = rng.random_range(0..3) == 0;
    // The relay behind the last one has no configuration.
    let first = rng.random_range(0..size.relays);
    let others = (0..size.relays).map(|relay| (first + relay) % size.relays);
    for relay in others.chain([size.relays]) {
        stops.push(PlannedStop {
            relay,
            start: Duration::from_millis(start_ms),
            faults: stop_faults(&mut rng),
        });
        if !are_together {
            start_ms += rng.random_range(SERIES_GAP_MS);
        }
    }
    let changes = match seed % 3 {
        0 => Vec::new(),
        _ => changes(&mut rng),
    };
    StopSchedule {
        size,
        stops,
        changes,
    }
}

fn stop_faults(rng: &mut rngs::StdRng) -> Vec<(Duration, StopFault)> {
    let mut faults = Vec::new();
    for fault in [
        StopFault::Terminate,
        StopFault::HangUp,
        StopFault::StartSecond,
    ] {
        if rng.random_range(0..2) == 0 {
            let after = Duration::from_millis(rng.random_range(SIGNAL_MS));
            faults.push((after, fault));
        }
    }
    faults.sort_by_key(|(after, _)| *after);
    faults
}

fn changes(rng: &mut rngs::StdRng) -> Vec<(Duration, SideFault)> {
    let mut changes = Vec::new();
    for (runner, id) in RUNNER_IDS.iter().enumerate() {
        if rng.random_range(0..2) == 0 {
            continue;
        }
        let (patch, cleared) = match id.split_once('-') {
            Some(("r", _)) => (json!({"is_mute": true}), json!({"is_mute": false})),
            Some(("p", _)) => {
                let delay_ms = rng.random_range(500..15_000);
                let patch = json!({"prefill_delay_ms": delay_ms});
                (patch, json!({"prefill_delay_ms": 0}))
            }
            _ => {
                let delay_ms = rng.random_range(500..9_000);
                let patch = json!({"first_event_delay_ms": delay_ms});
                (patch, json!({"first_event_delay_ms": 0}))
            }
        };
        let start_ms = rng.random_range(1_000..9_000);
        let end_ms = start_ms + rng.random_range(300..4_000);
        for (time_ms, patch) in [(start_ms, patch), (end_ms, cleared)] {
            let change = SideFault::Runner(runner, patch);
            changes.push((Duration::from_millis(time_ms), change));
        }
    }
    for number in 0..rng.random_range(1..4) {
        let change = SideFault::Configure {
            timeout_ms: rng.random_range(10_000..15_000),
            has_extra: number % 2 == 1,
        };
        let start = Duration::from_millis(rng.random_range(1_500..10_000));
        changes.push((start, change));
    }
    changes.sort_by_key(|(start, _)| *start);
    changes
}
