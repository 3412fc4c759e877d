//! Versions of streams: bases, records and take-ups, on daemons that may all be killed at once.

use std::collections::HashMap;

use acaciabank_core::{
    store_version::StoreVersion,
    stream_version::{BaseVersion, ListedVersion, STREAM_LIFETIME_MS, TakeUp, VersionHistory},
};
use rand::{RngExt, SeedableRng, rngs};

fn listed(versions: &[(u64, u64)]) -> Vec<ListedVersion> {
    let listed = versions.iter().map(|(version, born_ms)| ListedVersion {
        version: *version,
        oldest_born_ms: *born_ms,
    });
    listed.collect()
}

fn base(version: u64, number: u64) -> BaseVersion {
    BaseVersion {
        version,
        stored: StoreVersion::new(1, number),
    }
}

fn certain(version: u64) -> TakeUp {
    TakeUp {
        without_record: version,
        unread: Some(version),
    }
}

/// Guards against records while one version serves, and against streams that do not go on then while
/// the store is away.
#[test]
fn one_version_needs_no_record() {
    let mut history = VersionHistory::default();
    assert_eq!(history.take_up(0), None);
    for now_ms in [0, 500, 60_000] {
        history.observe(&listed(&[(1, 10)]), now_ms);
        assert!(!history.needs_record(1));
        assert_eq!(history.take_up(now_ms), Some(certain(1)));
        assert_eq!(history.next_base(now_ms), None);
        assert!(!history.may_have_records(now_ms));
    }
}

/// Guards against a base that moves while its streams may be alive, or that never moves.
#[test]
fn the_base_moves_when_its_streams_have_ended() {
    let mut history = VersionHistory::default();
    history.observe(&listed(&[(1, 10)]), 0);
    let both = listed(&[(1, 10), (2, 900)]);
    history.observe(&both, 1_000);
    assert_eq!(history.next_base(1_000), Some(1));
    history.adopt(base(1, 5));
    assert!(history.needs_record(2) && !history.needs_record(1));
    let new = listed(&[(2, 900)]);
    for now_ms in (2_000..STREAM_LIFETIME_MS + 1_000).step_by(500) {
        history.observe(&new, now_ms);
        assert_eq!(history.next_base(now_ms), None, "{now_ms}");
        assert!(history.needs_record(2));
    }
    let now_ms = STREAM_LIFETIME_MS + 1_500;
    history.observe(&new, now_ms);
    assert_eq!(history.next_base(now_ms), Some(2));
    history.adopt(base(2, 6));
    assert!(!history.needs_record(2));
    assert_eq!(history.take_up(now_ms), Some(certain(2)));
    // An older report changes nothing.
    history.adopt(base(1, 5));
    assert_eq!(history.base(), Some(2));
}

/// Guards against a daemon that has just started and takes the only listed version for that of all
/// streams.
#[test]
fn a_daemon_that_has_just_started_looks_records_up() {
    let mut history = VersionHistory::default();
    history.adopt(base(1, 5));
    history.observe(&listed(&[(2, 900)]), 0);
    let take_up = TakeUp {
        without_record: 1,
        unread: None,
    };
    assert_eq!(history.take_up(0), Some(take_up));
    assert_eq!(history.next_base(5_000), None);
    // Streams of the former base are refused without a record.
    assert!(!history.is_listed(1));
}

/// Guards against a service whose old version has left before the new one came, so that no base was
/// written while both were listed.
#[test]
fn a_base_that_left_before_the_next_version_came_is_written() {
    let mut history = VersionHistory::default();
    history.observe(&listed(&[(1, 10)]), 0);
    history.observe(&[], 1_000);
    assert_eq!(history.next_base(1_000), None);
    history.observe(&listed(&[(2, 900)]), 2_000);
    assert_eq!(history.next_base(2_000), Some(1));
    assert!(history.needs_record(2));
}

/// Guards against a base that is forgotten with its row, when the store comes back from an older copy.
#[test]
fn a_base_whose_row_is_lost_is_written_again() {
    let mut history = VersionHistory::default();
    history.observe(&listed(&[(2, 900)]), 0);
    history.adopt(base(1, 5));
    // A read from before the row was written says nothing.
    history.record_absent(StoreVersion::new(1, 4));
    assert_eq!(history.stored(), Some(base(1, 5)));
    history.record_absent(StoreVersion::new(2, 3));
    assert_eq!((history.stored(), history.base()), (None, Some(1)));
    assert_eq!(history.next_base(500), Some(1));
    let again = BaseVersion {
        version: 1,
        stored: StoreVersion::new(2, 4),
    };
    history.adopt(again);
    assert_eq!((history.base(), history.next_base(500)), (Some(1), None));
}

/// Guards against rows that are read and removed for ever after one change of versions.
#[test]
fn records_end_with_their_streams() {
    let mut history = VersionHistory::default();
    history.observe(&listed(&[(1, 10), (2, 900)]), 0);
    history.adopt(base(1, 5));
    assert!(history.may_have_records(0));
    for now_ms in (500..=STREAM_LIFETIME_MS).step_by(500) {
        history.observe(&listed(&[(1, 10)]), now_ms);
    }
    assert!(!history.may_have_records(STREAM_LIFETIME_MS));
}

/// Guards against daemons that assume different bases before the first row is written.
#[test]
fn the_oldest_version_is_the_base_without_a_row() {
    let mut history = VersionHistory::default();
    history.observe(&listed(&[(2, 900), (1, 10)]), 0);
    assert_eq!(history.base(), Some(1));
    let mut watching = VersionHistory::default();
    watching.observe(&listed(&[(1, 10)]), 0);
    watching.observe(&listed(&[(2, 5), (1, 10)]), 500);
    assert_eq!(watching.base(), Some(1));
}

/// A store, daemons and streams of one service.
struct Model {
    rng: rngs::StdRng,
    now_ms: u64,
    daemons: Vec<VersionHistory>,
    row: Option<BaseVersion>,
    row_number: u64,
    era: u64,
    records: HashMap<u64, u64>,
    /// Version and time of each stream.
    streams: HashMap<u64, (u64, u64)>,
}

impl Model {
    fn step(&mut self, versions: &[ListedVersion]) {
        self.now_ms += 500;
        for index in 0..self.daemons.len() {
            // A daemon may lag behind the list.
            if self.rng.random_range(0..4) > 0 {
                self.daemons[index].observe(versions, self.now_ms);
            }
            if let Some(row) = self.row {
                self.daemons[index].adopt(row);
            }
        }
        if let Some(version) = self.daemons[0].next_base(self.now_ms)
            && self.daemons[0].stored() == self.row
        {
            self.row_number += 1;
            self.row = Some(BaseVersion {
                version,
                stored: StoreVersion::new(self.era, self.row_number),
            });
        }
    }

    /// Has the store come back from a copy without the row; the daemon that writes notices it.
    fn lose_row(&mut self) {
        self.era += 1;
        self.row = None;
        self.daemons[0].record_absent(StoreVersion::new(self.era, self.row_number));
        self.row_number += 1;
    }

    fn kill_all(&mut self) {
        for daemon in &mut self.daemons {
            *daemon = VersionHistory::default();
            if let Some(row) = self.row {
                daemon.adopt(row);
            }
        }
    }

    fn begin(&mut self, id: u64, versions: &[ListedVersion]) {
        let daemon = self.rng.random_range(0..self.daemons.len());
        let version = versions[self.rng.random_range(0..versions.len())].version;
        let history = &self.daemons[daemon];
        if !history.is_listed(version) {
            return;
        }
        if history.needs_record(version) {
            self.records.insert(id, version);
        }
        self.streams.insert(id, (version, self.now_ms));
    }

    /// Returns the version at which a daemon lets a stream go on.
    fn take_up(&mut self, id: u64) -> Option<u64> {
        let daemon = self.rng.random_range(0..self.daemons.len());
        let history = &self.daemons[daemon];
        let without_record = history.take_up(self.now_ms)?.without_record;
        let version = self.records.get(&id).copied().unwrap_or(without_record);
        history.is_listed(version).then_some(version)
    }
}

/// Guards against streams that go on at another version, or not at all, over random changes of the
/// versions, daemons that lag, a lost row of the base and kills of all daemons.
#[test]
fn no_stream_goes_on_at_another_version() {
    let (mut possible, mut gone_on) = (0, 0);
    for seed in 0..300 {
        let mut model = Model {
            rng: rngs::StdRng::seed_from_u64(seed),
            now_ms: 0,
            daemons: vec![VersionHistory::default(); 4],
            row: None,
            row_number: 0,
            era: 1,
            records: HashMap::new(),
            streams: HashMap::new(),
        };
        let mut serving = vec![1];
        for step in 0..400 {
            if step > 10 && model.rng.random_range(0..25) == 0 {
                let newest = serving.iter().max().copied().unwrap_or(0);
                match serving.len() {
                    1 => serving.push(newest + 1),
                    _ => {
                        let index = model.rng.random_range(0..serving.len());
                        serving.remove(index);
                    }
                }
                // The list reaches some daemons before a kill of all.
                model.step(&versions(&serving));
            }
            model.step(&versions(&serving));
            if step > 10 && model.rng.random_range(0..60) == 0 {
                model.lose_row();
                model.step(&versions(&serving));
                model.step(&versions(&serving));
            }
            if step > 10 && model.rng.random_range(0..40) == 0 {
                model.kill_all();
                let listed = versions(&serving);
                for daemon in &mut model.daemons {
                    daemon.observe(&listed, model.now_ms);
                }
            }
            model.begin(step, &versions(&serving));
            let oldest = model.now_ms.saturating_sub(10_000);
            let alive: Vec<_> = model
                .streams
                .iter()
                .map(|(id, begun)| (*id, *begun))
                .collect();
            for (id, (version, begun_ms)) in alive {
                if begun_ms < oldest || model.rng.random_range(0..6) > 0 {
                    continue;
                }
                let taken_up = model.take_up(id);
                assert!(
                    taken_up.is_none_or(|taken_up| taken_up == version),
                    "seed {seed}, step {step}: {id} began at {version}, goes on at {taken_up:?}"
                );
                possible += usize::from(serving.contains(&version));
                gone_on += usize::from(taken_up.is_some());
            }
        }
    }
    assert!(gone_on * 10 > possible * 8, "{gone_on} of {possible}");
}

fn versions(serving: &[u64]) -> Vec<ListedVersion> {
    let versions: Vec<_> = serving
        .iter()
        .map(|version| (*version, version * 1_000))
        .collect();
    listed(&versions)
}
