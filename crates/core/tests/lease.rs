//! Random interleavings of two daemons that compete for one lease. Guards against two holders that
//! act at the same time, which happens when a challenger does not wait for the grant to expire.

use std::collections::HashSet;

use acaciabank_core::lease::{
    LeaseElector, LeaseRead, LeaseRow, LeaseStep, LeaseTimers, LeaseWrite, VersionedRow,
    WriteResult, rank,
};
use acaciabank_core::store_version::StoreVersion;
use acaciabank_protocol::ids;

const TIMERS: LeaseTimers = LeaseTimers {
    ttl_ms: 3,
    renewal_ms: 1,
    margin_ms: 1,
};
const LAST_MS: u64 = 16;
const ERA: u64 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SentWrite {
    write: LeaseWrite,
    sent_ms: u64,
    /// Result in the store once the write was applied; the answer may still be lost.
    result: Option<WriteResult>,
}

/// Two daemons and the store. A daemon that takes no step is paused. A write is applied at any time
/// after it is sent, even after the sender has stopped waiting for its result.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now_ms: u64,
    row: Option<VersionedRow>,
    electors: [LeaseElector; 2],
    sent: [Option<SentWrite>; 2],
    unanswered: Vec<LeaseWrite>,
    /// Answers that may still be lost.
    losses_left: u8,
}

impl World {
    fn new() -> Self {
        let elector = |name: &str| LeaseElector::new(ids::DaemonId::from(name), 1, TIMERS);
        Self {
            now_ms: 0,
            row: None,
            electors: [elector("a"), elector("b")],
            sent: [None, None],
            unanswered: Vec::new(),
            losses_left: 2,
        }
    }

    fn read(&self) -> LeaseRead {
        LeaseRead {
            era: ERA,
            row: self.row.clone(),
        }
    }

    fn apply(&mut self, write: &LeaseWrite) -> WriteResult {
        if self.row.as_ref().map(|row| row.version) != write.condition {
            return WriteResult::Conflict;
        }
        let number = write.condition.map_or(0, |version| version.number);
        let version = StoreVersion::new(ERA, number + 1);
        self.row = Some(VersionedRow {
            version,
            body: write.body.clone(),
        });
        WriteResult::Committed(version)
    }

    fn successors(&self) -> Vec<World> {
        let mut worlds = Vec::new();
        if self.now_ms < LAST_MS {
            let mut world = self.clone();
            world.now_ms += 1;
            worlds.push(world);
        }
        for position in 0..self.unanswered.len() {
            let mut world = self.clone();
            let write = world.unanswered.remove(position);
            world.apply(&write);
            worlds.push(world);
        }
        for index in 0..2 {
            match &self.sent[index] {
                None => worlds.extend(self.start_step(index)),
                Some(sent) => self.end_step(index, sent, &mut worlds),
            }
        }
        worlds
    }

    fn start_step(&self, index: usize) -> Option<World> {
        let mut world = self.clone();
        let now_ms = world.now_ms;
        let step = match world.electors[index].on_tick(now_ms) {
            LeaseStep::Read => world.electors[index].on_read(now_ms, &self.read(), 0),
            step => step,
        };
        if let LeaseStep::Write(write) = step {
            world.sent[index] = Some(SentWrite {
                write,
                sent_ms: now_ms,
                result: None,
            });
        }
        Some(world)
    }

    fn end_step(&self, index: usize, sent: &SentWrite, worlds: &mut Vec<World>) {
        let mut world = self.clone();
        match sent.result {
            None => {
                let result = world.apply(&sent.write);
                world.sent[index].as_mut().expect("sent").result = Some(result);
            }
            Some(result) => {
                world.sent[index] = None;
                world.electors[index].on_written(sent.sent_ms, &sent.write, result);
            }
        }
        worlds.push(world);
        if self.losses_left > 0 {
            let mut world = self.clone();
            world.losses_left -= 1;
            world.sent[index] = None;
            if sent.result.is_none() {
                world.unanswered.push(sent.write.clone());
            }
            world.electors[index].on_written(sent.sent_ms, &sent.write, WriteResult::Unknown);
            worlds.push(world);
        }
    }

    fn check(&self) -> bool {
        let grants = [0, 1].map(|index| self.electors[index].grant(self.now_ms));
        if let [Some(first), Some(second)] = grants {
            panic!("two holders act: {first:?} {second:?} in {self:?}");
        }
        grants.iter().flatten().any(|grant| grant.term > 1)
    }
}

/// Guards against two valid grants at any time. Takes random walks from a fixed seed, as the state
/// space is too large to enumerate.
#[test]
fn two_holders_never_act_at_the_same_time() {
    let mut random: u64 = 20_261_204;
    let mut takeovers = 0;
    for _ in 0..3_000 {
        let mut world = World::new();
        for _ in 0..60 {
            takeovers += usize::from(world.check());
            let mut worlds = world.successors();
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            world = worlds.swap_remove((random >> 33) as usize % worlds.len());
        }
    }
    println!("{takeovers} states after a takeover");
    assert!(takeovers > 0, "no takeover was explored");
}

/// Guards against a grant that is counted from the answer to a renewal instead of from before its
/// sending: the challenger may have seen the row earlier.
#[test]
fn grant_counts_from_before_the_renewal_was_sent() {
    let mut elector = LeaseElector::new(ids::DaemonId::from("a"), 1, TIMERS);
    let read = LeaseRead {
        era: ERA,
        row: None,
    };
    let LeaseStep::Write(write) = elector.on_read(10, &read, 0) else {
        panic!("no write");
    };
    let version = StoreVersion::new(ERA, 1);
    elector.on_written(10, &write, WriteResult::Committed(version));
    assert!(elector.may_act(11));
    assert!(!elector.may_act(12));
}

/// Guards against a successor that waits out the TTL of a lease whose holder has resigned.
#[test]
fn resigned_lease_is_taken_over_at_once() {
    let mut elector = LeaseElector::new(ids::DaemonId::from("b"), 1, TIMERS);
    let version = StoreVersion::new(ERA, 5);
    let row = VersionedRow {
        version,
        body: LeaseRow {
            holder: None,
            boot_id: 1,
            term: 3,
            acquired: StoreVersion::new(ERA, 2),
            renewal: 4,
        },
    };
    let read = LeaseRead {
        era: ERA,
        row: Some(row),
    };
    let LeaseStep::Write(write) = elector.on_read(0, &read, 0) else {
        panic!("no write");
    };
    assert_eq!((write.condition, write.body.term), (Some(version), 4));
}

/// Guards against a ranking by which all models prefer one daemon, so that it holds every lease.
#[test]
fn models_prefer_different_daemons() {
    let daemons: Vec<ids::DaemonId> = (0..8)
        .map(|number| ids::DaemonId::new(format!("d{number}")))
        .collect();
    let preferred: HashSet<_> = (0..13)
        .map(|number| ids::ModelId::new(format!("m{number}")))
        .filter_map(|model| {
            daemons
                .iter()
                .find(|daemon| rank(&model, daemon, &daemons) == Some(0))
        })
        .collect();
    assert!(preferred.len() >= 4, "{preferred:?}");
}
