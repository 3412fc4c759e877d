//! Random interleavings of two daemons and one lease; guards against two holders that act at the
//! same time or for the same term.

use std::collections::HashSet;

use acaciabank_core::lease::{
    LeaseElector, LeaseRow, LeaseStep, LeaseTimers, LeaseWrite, VersionedRow, WriteResult, rank,
};
use acaciabank_protocol::ids;

const TIMERS: LeaseTimers = LeaseTimers {
    ttl_ms: 3,
    renewal_ms: 1,
    margin_ms: 1,
};
const LAST_MS: u64 = 16;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SentWrite {
    write: LeaseWrite,
    sent_ms: u64,
    /// Result at the table once the write was applied; the answer may still be lost.
    result: Option<WriteResult>,
}

/// Daemons are paused by taking no step. Writes are applied at any time after they are sent, and
/// stay under way after the sender has given up waiting.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now_ms: u64,
    row: Option<VersionedRow>,
    seats: [LeaseElector; 2],
    sent: [Option<SentWrite>; 2],
    late: Vec<LeaseWrite>,
    lost_left: u8,
}

impl World {
    fn new() -> Self {
        let seat = |name: &str| LeaseElector::new(ids::DaemonId::from(name), 1, TIMERS);
        Self {
            now_ms: 0,
            row: None,
            seats: [seat("a"), seat("b")],
            sent: [None, None],
            late: Vec::new(),
            lost_left: 2,
        }
    }

    fn apply(&mut self, write: &LeaseWrite) -> WriteResult {
        if self.row.as_ref().map(|row| row.version) != write.condition {
            return WriteResult::Conflict;
        }
        self.row = Some(VersionedRow {
            version: write.condition.unwrap_or(0) + 1,
            body: write.body.clone(),
        });
        WriteResult::Committed
    }

    fn successors(&self) -> Vec<World> {
        let mut worlds = Vec::new();
        if self.now_ms < LAST_MS {
            let mut world = self.clone();
            world.now_ms += 1;
            worlds.push(world);
        }
        for position in 0..self.late.len() {
            let mut world = self.clone();
            let write = world.late.remove(position);
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
        let step = match world.seats[index].on_tick(now_ms) {
            LeaseStep::Read => world.seats[index].on_read(now_ms, self.row.as_ref(), 0),
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
                world.seats[index].on_written(sent.sent_ms, &sent.write, result);
            }
        }
        worlds.push(world);
        if self.lost_left > 0 {
            let mut world = self.clone();
            world.lost_left -= 1;
            world.sent[index] = None;
            if sent.result.is_none() {
                world.late.push(sent.write.clone());
            }
            world.seats[index].on_written(sent.sent_ms, &sent.write, WriteResult::Unknown);
            worlds.push(world);
        }
    }

    fn check(&self) -> bool {
        let grants = [0, 1].map(|index| self.seats[index].grant(self.now_ms));
        if let [Some(first), Some(second)] = grants {
            panic!("two holders act: {first:?} {second:?} in {self:?}");
        }
        grants.iter().flatten().any(|grant| grant.term > 1)
    }
}

/// Walks of a seeded generator: the whole space of interleavings is too large to enumerate.
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

/// Guards against a holder whose authority is counted from the answer to its renewal instead of
/// from its sending.
#[test]
fn authority_counts_from_before_the_renewal() {
    let mut seat = LeaseElector::new(ids::DaemonId::from("a"), 1, TIMERS);
    let LeaseStep::Write(write) = seat.on_read(10, None, 0) else {
        panic!("no write");
    };
    seat.on_written(10, &write, WriteResult::Committed);
    assert!(seat.may_act(11));
    assert!(!seat.may_act(12));
}

/// Guards against a resigned lease that has to time out.
#[test]
fn resigned_lease_is_taken_at_once() {
    let mut seat = LeaseElector::new(ids::DaemonId::from("b"), 1, TIMERS);
    let row = VersionedRow {
        version: 5,
        body: LeaseRow {
            holder: None,
            boot_id: 1,
            term: 3,
            renewal: 4,
        },
    };
    let LeaseStep::Write(write) = seat.on_read(0, Some(&row), 0) else {
        panic!("no write");
    };
    assert_eq!((write.condition, write.body.term), (Some(5), 4));
}

/// Guards against all models preferring one daemon.
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
