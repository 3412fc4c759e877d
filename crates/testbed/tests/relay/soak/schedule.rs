//! Faults of a soak and their schedules, which depend only on the seed.

use std::time::Duration;

use acaciabank_testbed::proxy::FaultKind;
use rand::{RngExt, SeedableRng, rngs};
use serde_json::{Value, json};

/// Changes a seed so that the returns of the store are drawn from other numbers than the faults and
/// the crashing requests.
pub(super) const RETURN_SALT: u64 = 0x7265_7475_726e;
/// Changes a seed so that the limits of targets are drawn from other numbers than the faults.
pub(super) const LIMIT_SALT: u64 = 0x6c69_6d69_7473;
/// Limits that targets name, in requests a second.
pub(super) const LIMITS: [&str; 5] = ["0.4", "1.3", "3.1", "4.8", "8"];
/// Time for which a target names a limit: longer than all faults last, so that the limit is checked
/// beside them and after them.
pub(super) const LIMIT_TIME: Duration = Duration::from_secs(11);
/// Ages of the copies that the store returns from, in milliseconds.
pub(super) const COPY_AGES_MS: std::ops::Range<u64> = 1_000..6_000;
/// Longest time after a return until the operator writes again what was lost, in milliseconds.
pub(super) const MAX_REWRITE_DELAY_MS: u64 = 1_500;
/// Age of the copy of the last return, in milliseconds: its lost versions take as long to be given
/// out again, more than the drain after it lasts.
pub(super) const LAST_COPY_AGE_MS: u64 = 6_000;
/// Start of the last return: all faults that a schedule draws have ended.
pub(super) const LAST_RETURN: Duration = Duration::from_secs(8);
/// Time from the end of the last return to the start of the drain after it.
pub(super) const DRAIN_DELAY: Duration = Duration::from_millis(200);
/// Duration of the drain after the last return.
pub(super) const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Length of the period in which faults start.
pub(super) const FAULT_WINDOW: Duration = Duration::from_secs(6);
pub(super) const RELAY_COUNT: usize = 3;

/// A fault; relays and runners are given by their index.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum SoakFault {
    KillRelay(usize),
    PauseRelay(usize),
    /// Ends a relay with SIGTERM.
    StopRelay(usize),
    /// Faults of a runner, as a `/control` patch.
    Runner(usize, Value),
    KillRunner(usize),
    /// Fault of a named link to a runner, or from a relay to the store.
    Link(String, FaultKind),
    /// Faults of the store, as a `/control` patch.
    Store(Value),
    /// A runner says that it leaves, stops at the end of the fault, and starts again at its address.
    LeaveRunner(usize),
    /// A runner leaves while the store does not respond.
    LeaveWithoutStore(usize),
    /// A runner leaves while a relay is cut off from the store.
    LeaveWhileCutOff {
        runner: usize,
        relay: usize,
    },
    /// All runners of the plain service ask for pauses.
    PauseAll,
    /// A runner asks for a pause and is killed at the end of the fault.
    PauseAndKill(usize),
    /// Writes a new configuration with another timeout; not a fault by itself.
    Configure,
    /// Callers send requests with a prompt part that crashes engines.
    CrashingRequests,
    /// The store does not respond, and returns from a copy at the end of the fault.
    RestoreStore {
        age_ms: u64,
        rewrite_delay_ms: u64,
    },
    /// A runner names how many requests a second it takes.
    LimitRunner {
        runner: usize,
        per_s: &'static str,
    },
    /// A runner drains while nothing else fails, so that it gets no request from the bound on.
    DrainRunner(usize),
}

/// Link faults that a schedule draws from.
pub(super) const LINK_FAULTS: [FaultKind; 6] = [
    FaultKind::Cut,
    FaultKind::Blackhole,
    FaultKind::BlackholeUp,
    FaultKind::BlackholeDown,
    FaultKind::Delay,
    FaultKind::DropAnswers,
];
/// Delay of each read on a link with `FaultKind::Delay`, in milliseconds.
pub(super) const LINK_DELAY_MS: u64 = 60;
/// Ids of the runners: plain services (`r`), prefill engines (`p`) and decode engines (`d`).
pub(super) const RUNNER_IDS: [&str; 8] = ["r-0", "r-1", "r-2", "p-1", "p-2", "p-3", "d-1", "d-2"];

/// A fault with its start and end, relative to the start of the run.
#[derive(Clone, Debug)]
pub(super) struct PlannedFault {
    pub(super) start: Duration,
    pub(super) end: Duration,
    pub(super) fault: SoakFault,
}

/// Generates the fault schedule of a seed; faults overlap.
pub(super) fn schedule(seed: u64) -> Vec<PlannedFault> {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut start = Duration::from_millis(300);
    while start < FAULT_WINDOW {
        let relay = rng.random_range(0..RELAY_COUNT);
        let runner = rng.random_range(0..RUNNER_IDS.len());
        let link_fault = LINK_FAULTS[rng.random_range(0..LINK_FAULTS.len())];
        let fault = match rng.random_range(0..23) {
            0 => SoakFault::KillRelay(relay),
            1 => SoakFault::PauseRelay(relay),
            2 => SoakFault::StopRelay(relay),
            3 => SoakFault::Store(json!({"is_silent": true})),
            4 => SoakFault::Store(json!({"refuses": true})),
            5 => SoakFault::Store(json!({"loses_answers": true})),
            6 => SoakFault::Runner(runner, json!({"refuses": true})),
            7 => SoakFault::Runner(runner, json!({"loses_answers": true})),
            8 => SoakFault::Runner(runner, json!({"crosses_answers": true})),
            9 => SoakFault::Runner(runner, json!({"breaks_after": rng.random_range(0..6)})),
            10 => SoakFault::Runner(runner, json!({"cuts_bodies": true})),
            11 => SoakFault::KillRunner(runner),
            12 | 13 => SoakFault::Link(RUNNER_IDS[runner].to_owned(), link_fault),
            14 => SoakFault::Link(store_link(relay), link_fault),
            15 => SoakFault::Configure,
            16 => SoakFault::Runner(runner, json!({"is_draining": true})),
            17 => SoakFault::LeaveRunner(runner),
            18 => SoakFault::LeaveWithoutStore(runner),
            19 => SoakFault::LeaveWhileCutOff { runner, relay },
            20 => SoakFault::PauseAll,
            21 => SoakFault::PauseAndKill(runner),
            _ => SoakFault::Runner(runner, json!({"is_mute": true})),
        };
        let end = start + Duration::from_millis(rng.random_range(200..1_800));
        planned.push(PlannedFault { start, end, fault });
        start += Duration::from_millis(rng.random_range(50..700));
    }
    planned
}

/// Adds a period of crashing requests to the schedule of a seed, without a change of its faults.
/// The period outlasts the faults, so that requests still come once the part has to be known.
pub(super) fn schedule_with_crashes(seed: u64) -> Vec<PlannedFault> {
    let mut rng = rngs::StdRng::seed_from_u64(!seed);
    let mut planned = schedule(seed);
    planned.push(PlannedFault {
        start: Duration::from_millis(rng.random_range(300..1_500)),
        end: FAULT_WINDOW + Duration::from_millis(rng.random_range(4_000..5_000)),
        fault: SoakFault::CrashingRequests,
    });
    planned
}

/// Adds returns of the store to the schedule of a seed, without a change of its faults, and a return
/// with a drain of a plain runner after them.
pub(super) fn schedule_with_returns(seed: u64) -> Vec<PlannedFault> {
    let mut rng = rngs::StdRng::seed_from_u64(seed ^ RETURN_SALT);
    let mut planned = schedule(seed);
    let mut start = Duration::from_millis(rng.random_range(1_000..2_500));
    while start < FAULT_WINDOW {
        let end = start + Duration::from_millis(rng.random_range(100..800));
        let fault = SoakFault::RestoreStore {
            age_ms: rng.random_range(COPY_AGES_MS),
            rewrite_delay_ms: rng.random_range(0..MAX_REWRITE_DELAY_MS),
        };
        planned.push(PlannedFault { start, end, fault });
        start = end + Duration::from_millis(rng.random_range(300..2_500));
    }
    let end = LAST_RETURN + Duration::from_millis(rng.random_range(100..500));
    planned.push(PlannedFault {
        start: LAST_RETURN,
        end,
        fault: SoakFault::RestoreStore {
            age_ms: LAST_COPY_AGE_MS,
            rewrite_delay_ms: rng.random_range(0..MAX_REWRITE_DELAY_MS),
        },
    });
    let plain: Vec<usize> = plain_runners().collect();
    planned.push(PlannedFault {
        start: end + DRAIN_DELAY,
        end: end + DRAIN_DELAY + DRAIN_TIME,
        fault: SoakFault::DrainRunner(plain[rng.random_range(0..plain.len())]),
    });
    planned
}

/// Adds limits of runners to the schedule of a seed, without a change of its faults.
pub(super) fn schedule_with_limits(seed: u64) -> Vec<PlannedFault> {
    let mut rng = rngs::StdRng::seed_from_u64(seed ^ LIMIT_SALT);
    let mut planned = schedule(seed);
    for runner in 0..RUNNER_IDS.len() {
        if rng.random_range(0..2) == 0 {
            continue;
        }
        let start = Duration::from_millis(rng.random_range(100..4_000));
        let per_s = LIMITS[rng.random_range(0..LIMITS.len())];
        planned.push(PlannedFault {
            start,
            end: start + LIMIT_TIME,
            fault: SoakFault::LimitRunner { runner, per_s },
        });
    }
    planned
}

pub(super) fn leaving_patch() -> Value {
    json!({"is_leaving": true})
}

pub(super) fn pausing_patch() -> Value {
    json!({"refuses": true, "retry_after": "1"})
}

/// Returns the name of the link from a relay to the store.
pub(super) fn store_link(relay: usize) -> String {
    format!("relay-{}", relay + 1)
}

/// Returns the indices of the runners of the plain service.
pub(super) fn plain_runners() -> impl Iterator<Item = usize> {
    (0..RUNNER_IDS.len()).filter(|index| RUNNER_IDS[*index].starts_with('r'))
}

/// Returns the patch that ends the faults set by `patch`.
pub(super) fn clearing_patch(patch: &Value) -> Value {
    let fields = patch.as_object().cloned().unwrap_or_default();
    let cleared = fields.into_iter().map(|(name, value)| match value {
        Value::Bool(_) => (name, json!(false)),
        _ => (name, Value::Null),
    });
    Value::Object(cleared.collect())
}
