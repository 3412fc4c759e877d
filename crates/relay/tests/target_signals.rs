//! Signals of targets in the registry, against a model of what each daemon was told.

use std::collections::HashMap;

use acaciabank_core::{
    rate_limit::LimitChange,
    store_version::StoreVersion,
    target_signal::{LeavingMark, LeavingSource, MARK_TTL_MS},
};
use acaciabank_relay::{
    platform,
    target::{TargetRegistry, TargetState},
};
use rand::{RngExt, SeedableRng, rngs};

const SERVICE: &str = "models";
const ERA: u64 = 1;
/// Time of changes of the list, which in one era matters to none of them.
const NOW_MS: u64 = 0;
const IDS: [&str; 4] = ["t-0", "t-1", "t-2", "t-3"];
/// Start times of an id's runs.
const BORN_MS: [u64; 3] = [1, 2, 3];
/// All targets listen on one of these addresses.
const PORTS: [u16; 2] = [9, 10];
const SEEDS: u64 = 400;
const STEPS: usize = 300;
/// Longest time until a target is used again after its pause.
const REUSE_MS: u64 = 1_000;

/// Id and start time.
type Incarnation = (String, u64);

fn entry(id: &str, born_ms: u64, version: u64, port: u16) -> platform::TargetEntry {
    platform::TargetEntry {
        version: StoreVersion::new(ERA, version),
        id: id.to_owned(),
        born_ms,
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "zone-a".to_owned(),
        software: "v1".to_owned(),
        slots: 8,
        is_draining: false,
        stage: None,
        is_spot: false,
        leaves_ms: None,
    }
}

fn hash_of(id: &str, born_ms: u64) -> u64 {
    let mut registry = TargetRegistry::default();
    let present = vec![entry(id, born_ms, 1, PORTS[0])];
    let changes = platform::TargetChanges {
        present,
        ..platform::TargetChanges::default()
    };
    registry.apply(changes, 0, |_| 0);
    registry.of_service(SERVICE)[0].hash
}

fn incarnation(target: &TargetState) -> Incarnation {
    (target.entry.id.clone(), target.entry.born_ms)
}

/// A daemon's registry, and what targets and other daemons have told it.
#[derive(Default)]
struct Daemon {
    registry: TargetRegistry,
    leaving: HashMap<Incarnation, u64>,
    paused_until_ms: HashMap<Incarnation, u64>,
}

impl Daemon {
    fn record_leaving(&mut self, told: &Incarnation, source: LeavingSource, now_ms: u64) {
        let mark = LeavingMark {
            source,
            since_ms: now_ms,
        };
        let hash = hash_of(&told.0, told.1);
        self.registry.record_leaving(hash, mark, now_ms);
        self.leaving.insert(told.clone(), now_ms);
    }

    fn record_pause(&mut self, told: &Incarnation, pause_ms: u64, now_ms: u64) {
        let hash = hash_of(&told.0, told.1);
        self.registry.record_pause(hash, pause_ms, now_ms, 0.0);
        let until_ms = self.paused_until_ms.entry(told.clone()).or_default();
        *until_ms = (*until_ms).max(now_ms + pause_ms);
    }

    fn apply(&mut self, changes: platform::TargetChanges) {
        self.registry.apply(changes, NOW_MS, |_| 0);
    }

    /// Tells another daemon what this one knows, as a report does.
    fn report_to(&self, other: &mut Self, now_ms: u64) {
        for told in self.leaving.keys() {
            other.record_leaving(told, LeavingSource::Peer, now_ms);
        }
    }

    fn check(&self, now_ms: u64) -> Result<(), String> {
        for target in self.registry.of_service(SERVICE) {
            let told = incarnation(target);
            let paused_until_ms = self.paused_until_ms.get(&told).copied().unwrap_or(0);
            let is_blocked = self.leaving.contains_key(&told) || now_ms < paused_until_ms;
            let is_accepting = target.is_accepting(now_ms);
            if is_blocked && (is_accepting || target.admit_request(now_ms)) {
                return Err(format!("{told:?} is used at {now_ms}"));
            }
            let is_due = now_ms >= paused_until_ms + REUSE_MS && !target.is_draining.get();
            if !is_blocked && is_due && !is_accepting {
                return Err(format!("{told:?} is not used at {now_ms}"));
            }
        }
        Ok(())
    }
}

/// The store and two daemons.
struct World {
    rng: rngs::StdRng,
    now_ms: u64,
    /// Version of the store.
    version: u64,
    daemons: [Daemon; 2],
    /// All records that the store has ever had.
    records: Vec<platform::TargetEntry>,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: rngs::StdRng::seed_from_u64(seed),
            now_ms: 1_000_000,
            version: 1,
            daemons: Default::default(),
            records: Vec::new(),
        }
    }

    fn pick<T: Clone>(&mut self, values: &[T]) -> T {
        values[self.rng.random_range(0..values.len())].clone()
    }

    fn any_incarnation(&mut self) -> Incarnation {
        (self.pick(&IDS).to_owned(), self.pick(&BORN_MS))
    }

    /// Applies one random event and returns its description.
    fn step(&mut self) -> String {
        let daemon = self.rng.random_range(0..self.daemons.len());
        let told = self.any_incarnation();
        let now_ms = self.now_ms;
        match self.rng.random_range(0..12) {
            0 => {
                self.daemons[daemon].record_leaving(&told, LeavingSource::Response, now_ms);
                format!("{told:?} tells daemon {daemon} that it leaves")
            }
            1 | 2 => {
                let pause_ms = self.rng.random_range(0..5_000);
                self.daemons[daemon].record_pause(&told, pause_ms, now_ms);
                format!("{told:?} asks daemon {daemon} for a pause of {pause_ms} ms")
            }
            3..=5 => {
                self.version += 1;
                let port = self.pick(&PORTS);
                let record = entry(&told.0, told.1, self.version, port);
                let record = platform::TargetEntry {
                    is_draining: self.rng.random_bool(0.1),
                    ..record
                };
                self.records.push(record.clone());
                self.apply(daemon, vec![record], Vec::new());
                format!("daemon {daemon} reads that {told:?} is listed")
            }
            6 if !self.records.is_empty() => {
                let records = self.records.clone();
                let record = self.pick(&records);
                let text = format!("daemon {daemon} reads the old record {record:?}");
                self.apply(daemon, vec![record], Vec::new());
                text
            }
            7 => {
                self.version += 1;
                let absent = (told.0.clone(), StoreVersion::new(ERA, self.version));
                self.apply(daemon, Vec::new(), vec![absent]);
                format!("daemon {daemon} reads that {} is not listed", told.0)
            }
            8 => {
                let [first, second] = &mut self.daemons;
                match daemon {
                    0 => first.report_to(second, now_ms),
                    _ => second.report_to(first, now_ms),
                }
                format!("daemon {daemon} sends a report")
            }
            9 if self.rng.random_bool(0.2) => {
                self.daemons[daemon] = Daemon::default();
                let [first, second] = &mut self.daemons;
                let (source, started) = match daemon {
                    0 => (second, first),
                    _ => (first, second),
                };
                started.apply(source.registry.export());
                source.report_to(started, now_ms);
                format!("daemon {daemon} restarts and asks the other one")
            }
            _ => {
                let step_ms = self.pick(&[0, 1, 20, 400, 1_000, 4_000]);
                self.now_ms += step_ms;
                format!("{step_ms} ms pass")
            }
        }
    }

    fn apply(
        &mut self,
        daemon: usize,
        present: Vec<platform::TargetEntry>,
        absent: Vec<(String, StoreVersion)>,
    ) {
        let changes = platform::TargetChanges {
            is_complete: false,
            present,
            absent,
            version: StoreVersion::new(ERA, self.version),
        };
        self.daemons[daemon].apply(changes);
    }
}

/// Guards against a target that is used after it has stated that it leaves or within its pause,
/// because of an old record, a report, a record that disappears for a while or a restart, and
/// against one that is not used again: after a pause, or because an earlier run of it has left.
#[test]
fn nothing_is_sent_after_a_mark_or_within_a_pause() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        let mut events = Vec::new();
        for _ in 0..STEPS {
            events.push(world.step());
            for daemon in &world.daemons {
                if let Err(violation) = daemon.check(world.now_ms) {
                    let start = events.len().saturating_sub(12);
                    panic!("seed {seed}: {violation}\n{}", events[start..].join("\n"));
                }
            }
        }
    }
}

/// Guards against marks that accumulate without end, and against a mark that is dropped while the
/// target is still listed.
#[test]
fn marks_of_unlisted_incarnations_expire() {
    let mut daemon = Daemon::default();
    let present = vec![entry("t-0", 1, 1, PORTS[0])];
    daemon.apply(platform::TargetChanges {
        present,
        ..platform::TargetChanges::default()
    });
    for id in ["t-0", "t-1"] {
        let told = (id.to_owned(), 1);
        daemon.record_leaving(&told, LeavingSource::Response, 1_000);
    }
    let later_ms = 1_000 + MARK_TTL_MS;
    daemon.record_pause(&("t-2".to_owned(), 1), 10, later_ms);
    let marked: Vec<u64> = daemon
        .registry
        .leaving_marks()
        .map(|(hash, _)| hash)
        .collect();
    assert_eq!(marked, [hash_of("t-0", 1)]);
    daemon.check(later_ms).expect("the listed target is unused");
}

/// Guards against different incarnations with the same hash, which would share their marks: `t-1`
/// that started at 1 had the hash of `t-3` that started at 3.
#[test]
fn incarnations_have_different_hashes() {
    let mut hashes = HashMap::new();
    for number in 0..100 {
        for born_ms in 0..100 {
            let told = (format!("t-{number}"), born_ms);
            let other = hashes.insert(hash_of(&told.0, told.1), told.clone());
            assert_eq!(other, None, "{told:?}");
        }
    }
}

/// Guards against a crowd at a target that has just taken its limit back.
#[test]
fn the_first_requests_after_the_end_of_a_limit_are_spread() {
    let mut registry = TargetRegistry::default();
    let present = vec![entry("t-0", 1, 1, PORTS[0])];
    let changes = platform::TargetChanges {
        present,
        ..platform::TargetChanges::default()
    };
    registry.apply(changes, NOW_MS, |_| 0);
    let hash = registry.of_service(SERVICE)[0].hash;
    let ended_ms = 10_000;
    registry.apply_limit_change(hash, LimitChange::Ended, ended_ms, 0.0);
    let target = &registry.of_service(SERVICE)[0];
    let sends = (0..100).filter(|number| target.admit_request(ended_ms + number));
    assert!((1..=5).contains(&sends.count()));
    let sends = (0..100).filter(|number| target.admit_request(ended_ms + REUSE_MS + number));
    assert_eq!(sends.count(), 100);
}
