//! The world of the model and the random events in it.

mod checks;
mod passing;

use std::{
    collections::{BTreeMap, HashMap},
    rc,
};

use acaciabank_core::placement::EngineStage;
use acaciabank_relay::gossip::PeerReport;
use rand::{RngExt, SeedableRng, rngs};

use crate::{
    daemon::{Daemon, POLL_MS, SILENCE_MS},
    store::{Document, Record, Store},
};

const IDS: [&str; 5] = ["t-0", "t-1", "t-2", "t-3", "t-4"];
const PORTS: [u16; 3] = [9, 10, 11];
const DAEMONS: usize = 4;
/// Step of the time.
const TICK_MS: u64 = 100;
/// Time in which targets and the operator write again what a return has lost.
pub const REWRITE_MS: u64 = 2_000;
/// Time within which a target must write again to stay in use at all daemons: they learn of a row
/// up to [`NEWS_MS`] after it was written.
const PROMPT_REWRITE_MS: u64 = REWRITE_MS - NEWS_MS;
/// Time after which a daemon that can read the store knows what it holds.
const NEWS_MS: u64 = 1_300;
/// Largest age of a copy from which the store comes back.
const MAX_COPY_AGE_MS: u64 = 8_000;

/// A run of a target.
#[derive(Clone, Debug)]
struct Target {
    record: Record,
    /// Time at which it writes its row again.
    rewrite_ms: Option<u64>,
}

/// What a daemon tells the others.
#[derive(Clone)]
struct Message {
    deliver_ms: u64,
    to: usize,
    report: rc::Rc<PeerReport>,
}

/// What targets do in a world.
#[derive(Clone, Copy)]
pub struct WorldTraits {
    /// Time in which targets write again what a return has lost.
    pub rewrite_limit_ms: u64,
    /// Whether a target starts again under its id while a copy may still have its former run.
    pub has_quick_restarts: bool,
    /// Whether a daemon that is cut off from the store is expected to keep targets in use that a
    /// return has lost and that have written their rows again.
    pub expects_use_while_cut_off: bool,
    /// Whether a daemon is expected to remember of a run that has left that it was draining, if a
    /// copy lists it for longer than the silence time.
    pub expects_drained_memory: bool,
}

impl WorldTraits {
    pub const MODERATE: Self = Self {
        rewrite_limit_ms: PROMPT_REWRITE_MS,
        has_quick_restarts: false,
        expects_use_while_cut_off: false,
        expects_drained_memory: false,
    };
}

/// The store, the targets, the operator and the daemons.
pub struct World {
    rng: rngs::StdRng,
    pub now_ms: u64,
    store: Store,
    targets: BTreeMap<String, Target>,
    /// Last document that the operator wrote.
    newest: Document,
    /// Documents that the operator writes after a return, with the time.
    rewrites: Vec<(u64, Document)>,
    /// Time of the return that began each era.
    return_ms: HashMap<u64, u64>,
    /// Time at which the platform removes the rows of targets that do not run.
    sweep_ms: u64,
    pub daemons: Vec<Daemon>,
    messages: Vec<Message>,
    boots: u64,
    traits: WorldTraits,
    /// Last time at which the store had a row, by id of the target.
    listed_ms: HashMap<String, u64>,
    pub events: Vec<String>,
}

impl World {
    pub fn new(seed: u64, traits: WorldTraits) -> Self {
        let now_ms = 100_000;
        let mut world = Self {
            rng: rngs::StdRng::seed_from_u64(seed),
            now_ms,
            store: Store::new(),
            targets: BTreeMap::new(),
            newest: Document {
                number: 1,
                digest: 1,
            },
            rewrites: Vec::new(),
            return_ms: HashMap::new(),
            sweep_ms: 0,
            daemons: (0..DAEMONS)
                .map(|rank| Daemon::new(rank, rank as u64, now_ms))
                .collect(),
            messages: Vec::new(),
            boots: DAEMONS as u64,
            traits,
            listed_ms: HashMap::new(),
            events: Vec::new(),
        };
        let document = world.newest.clone();
        world.store.write_config(document, now_ms);
        world
    }

    fn log(&mut self, event: String) {
        let version = self.store.version();
        self.events
            .push(format!("{} ms, {version}: {event}", self.now_ms));
    }

    fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.rng.random_range(0..values.len())]
    }

    /// Applies one random event.
    pub fn step(&mut self) -> Result<(), String> {
        let id = self.pick(&IDS);
        let daemon = self.rng.random_range(0..DAEMONS);
        match self.rng.random_range(0..20) {
            0..4 => self.start_target(id),
            4 | 5 => self.change_stage(id),
            6 => self.drain(id),
            7 | 8 => self.leave(id),
            9 => self.crash(id),
            10 | 11 => self.write_config(),
            12..15 => {
                self.return_store();
                if self.traits.expects_use_while_cut_off {
                    // The daemon has read the restored list by then.
                    self.pass(POLL_MS + 2 * TICK_MS)?;
                    self.cut_off(daemon);
                }
            }
            15 => self.cut_off(daemon),
            16 | 17 => self.restart(daemon)?,
            _ => {}
        }
        let pause_ms = self.pick(&[0, 100, 100, 300, 700, 1_500, 3_000]);
        self.pass(pause_ms)
    }

    fn write_target(&mut self, id: &str) {
        let record = self.targets.get(id).map(|target| target.record.clone());
        let now_ms = self.now_ms;
        self.store.write_target(id, record.clone(), now_ms);
        if let Some(target) = self.targets.get_mut(id) {
            target.rewrite_ms = None;
        }
        self.log(format!("writes {id}: {record:?}"));
    }

    fn start_target(&mut self, id: &str) {
        let record = Record {
            born_ms: self.now_ms,
            port: self.pick(&PORTS),
            stage: self.pick(&[None, Some(EngineStage::Prefill), Some(EngineStage::Decode)]),
            is_draining: false,
        };
        let is_running = self.targets.get(id).map(|target| target.record.born_ms);
        let listed_ms = self.listed_ms.get(id).copied();
        let is_quick = listed_ms.is_some_and(|ms| self.now_ms < ms + MAX_COPY_AGE_MS);
        if is_running == Some(self.now_ms) || (is_quick && !self.traits.has_quick_restarts) {
            return;
        }
        let rewrite_ms = None;
        let target = Target { record, rewrite_ms };
        self.targets.insert(id.to_owned(), target);
        self.write_target(id);
    }

    fn change_stage(&mut self, id: &str) {
        let stage = self.pick(&[Some(EngineStage::Prefill), Some(EngineStage::Decode)]);
        if let Some(target) = self.targets.get_mut(id) {
            target.record.stage = stage;
            self.write_target(id);
        }
    }

    fn drain(&mut self, id: &str) {
        if let Some(target) = self.targets.get_mut(id) {
            target.record.is_draining = true;
            self.write_target(id);
        }
    }

    fn leave(&mut self, id: &str) {
        if self.targets.remove(id).is_some() {
            self.write_target(id);
        }
    }

    /// Ends a target that says nothing; the platform removes its row later.
    fn crash(&mut self, id: &str) {
        if self.targets.remove(id).is_some() {
            self.sweep_ms = self.sweep_ms.max(self.now_ms + SILENCE_MS);
            self.log(format!("{id} crashes"));
        }
    }

    fn write_config(&mut self) {
        if !self.rewrites.is_empty() {
            return;
        }
        self.newest.number += self.rng.random_range(1..4);
        self.newest.digest = self.rng.random();
        let (document, now_ms) = (self.newest.clone(), self.now_ms);
        self.log(format!("operator writes {document:?}"));
        self.store.write_config(document, now_ms);
    }

    fn return_store(&mut self) {
        let age_ms = self.rng.random_range(0..MAX_COPY_AGE_MS);
        let keeps_history = self.rng.random_bool(0.5);
        let time_ms = self.now_ms - age_ms;
        self.store.return_to(time_ms, keeps_history);
        self.return_ms.insert(self.store.era, self.now_ms);
        self.sweep_ms = self.now_ms + SILENCE_MS;
        let limit_ms = self.traits.rewrite_limit_ms;
        for target in self.targets.values_mut() {
            let rewrite_ms = self.now_ms + self.rng.random_range(0..limit_ms);
            target.rewrite_ms = Some(rewrite_ms);
        }
        self.plan_rewrites();
        let rows: Vec<_> = self.store.rows.targets.iter().collect();
        let text = format!("returns by {age_ms} ms to {rows:?}");
        let config = &self.store.rows.config;
        let text = format!("{text}, {config:?}");
        self.log(text);
    }

    /// Plans what the operator writes again: the newest document or another one with its number,
    /// and sometimes an older one before.
    fn plan_rewrites(&mut self) {
        if self.rng.random_bool(0.3) {
            self.newest.digest = self.rng.random();
        }
        let rewrite_ms = self.now_ms + self.rng.random_range(0..REWRITE_MS);
        self.rewrites = vec![(rewrite_ms, self.newest.clone())];
        if self.rng.random_bool(0.3) {
            let older = Document {
                number: self.newest.number.saturating_sub(1),
                digest: self.rng.random(),
            };
            self.rewrites.insert(0, (self.now_ms, older));
        }
    }

    fn cut_off(&mut self, daemon: usize) {
        let until_ms = self.now_ms + self.rng.random_range(0..12_000);
        self.daemons[daemon].cut_off_until_ms = until_ms;
        self.log(format!("daemon {daemon} is cut off until {until_ms}"));
    }

    /// Restarts a daemon without any knowledge, or with what another one exports.
    fn restart(&mut self, daemon: usize) -> Result<(), String> {
        self.boots += 1;
        let cut_off_until_ms = self.daemons[daemon].cut_off_until_ms;
        self.daemons[daemon] = Daemon::new(daemon, self.boots, self.now_ms);
        self.daemons[daemon].cut_off_until_ms = cut_off_until_ms;
        self.log(format!("daemon {daemon} restarts"));
        let other = self.rng.random_range(0..DAEMONS);
        if other != daemon && self.now_ms < cut_off_until_ms {
            let changes = self.daemons[other].registry.export();
            self.log(format!("daemon {daemon} gets the list of daemon {other}"));
            self.daemons[daemon].apply_targets(changes, None, self.now_ms)?;
        }
        Ok(())
    }
}
