//! Which engines process prompts and which generate.
//!
//! Load answered: prompts of thousands of tokens and outputs of some ten, so that most engines have
//! to process prompts and few can generate for all of them. A change takes an engine away for
//! seconds, so stages follow the work only when it has moved clearly, a few engines at a time.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::{place::EngineStage, stage::{EngineDuty, StagePlanner}};
//!
//! let duty = |zone| EngineDuty {
//!     target: zone, zone, stage: EngineStage::Decode, is_switching: false, running: 0,
//!     slots: 64, changed_ms: None,
//! };
//! let engines: Vec<EngineDuty> = (0..4).map(duty).collect();
//! let change = StagePlanner::default().next_change(0, &engines).unwrap();
//! assert_eq!(change.to, EngineStage::Prefill);
//! ```

use crate::place::EngineStage;

/// Share of the engines that process prompts while no load speaks against it. A prompt of 10,000
/// tokens takes 200 ms alone, the tokens after it as long in a batch of many.
const PREFILL_SHARE: f64 = 0.7;
/// Share of the places of the engines that generate from which one more of them is needed: beyond
/// it a lost engine overloads the others.
const CROWDED_FILL: f64 = 0.55;
/// Share below which one engine fewer suffices, so that the count does not swing.
const IDLE_FILL: f64 = 0.25;
/// Time for which a need has to last: the load of a batch swings within a second.
const CONFIRM_MS: u64 = 2_000;
/// Time for which an engine keeps a stage: several times what a change costs.
const DWELL_MS: u64 = 12_000;
/// Engines that change at once at most, as a share of all.
const SWITCHING_SHARE: f64 = 0.2;

/// What the planner knows of an engine that accepts work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineDuty {
    /// Short name.
    pub target: u64,
    /// Its availability zone, as a number that only serves to compare.
    pub zone: u64,
    /// Its stage.
    pub stage: EngineStage,
    /// Whether an order is being carried out.
    pub is_switching: bool,
    /// Requests that run there.
    pub running: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time of its last order, if any.
    pub changed_ms: Option<u64>,
}

/// A change of one engine's stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// Short name of the engine.
    pub target: u64,
    /// Stage that it gets.
    pub to: EngineStage,
}

/// Planner of the stages of one service's engines.
#[derive(Clone, Debug, Default)]
pub struct StagePlanner {
    /// Engines that generate beyond the usual number.
    extra: u32,
    pressing_since: Option<u64>,
    idle_since: Option<u64>,
}

impl StagePlanner {
    /// The next change to order, if any.
    pub fn next_change(&mut self, now_ms: u64, engines: &[EngineDuty]) -> Option<StageChange> {
        if engines.len() < 2 {
            return None;
        }
        self.follow_load(now_ms, engines);
        let switching = engines.iter().filter(|engine| engine.is_switching).count();
        let limit = (engines.len() as f64 * SWITCHING_SHARE).ceil() as usize;
        if switching >= limit {
            return None;
        }
        let decodes = count(engines, EngineStage::Decode);
        let wanted = self.wanted_decodes(engines.len());
        let (from, to) = match decodes.cmp(&wanted) {
            std::cmp::Ordering::Greater => (EngineStage::Decode, EngineStage::Prefill),
            std::cmp::Ordering::Less => (EngineStage::Prefill, EngineStage::Decode),
            std::cmp::Ordering::Equal => return None,
        };
        let target = pick_engine(now_ms, engines, from)?;
        Some(StageChange { target, to })
    }

    fn wanted_decodes(&self, engines: usize) -> usize {
        let usual = (engines as f64 * (1.0 - PREFILL_SHARE)).round() as usize;
        (usual + self.extra as usize).clamp(1, engines - 1)
    }

    fn follow_load(&mut self, now_ms: u64, engines: &[EngineDuty]) {
        let decodes = engines
            .iter()
            .filter(|engine| engine.stage == EngineStage::Decode);
        let (running, slots) = decodes.fold((0, 0), |(running, slots), engine| {
            (running + engine.running, slots + engine.slots)
        });
        let fill = f64::from(running) / f64::from(slots.max(1));
        if lasts(&mut self.pressing_since, fill > CROWDED_FILL, now_ms) {
            self.extra += 1;
            self.pressing_since = None;
        }
        if lasts(&mut self.idle_since, fill < IDLE_FILL, now_ms) {
            self.extra = self.extra.saturating_sub(1);
            self.idle_since = None;
        }
    }
}

/// Whether a condition has held for [`CONFIRM_MS`].
fn lasts(since: &mut Option<u64>, holds: bool, now_ms: u64) -> bool {
    if !holds {
        *since = None;
        return false;
    }
    now_ms - *since.get_or_insert(now_ms) >= CONFIRM_MS
}

/// Engines of a stage, an engine that changes counted where it comes from: the platform tells the
/// new stage when it is in force.
fn count(engines: &[EngineDuty], stage: EngineStage) -> usize {
    engines
        .iter()
        .filter(|engine| stage_after(engine) == stage)
        .count()
}

fn stage_after(engine: &EngineDuty) -> EngineStage {
    match (engine.stage, engine.is_switching) {
        (stage, false) => stage,
        (EngineStage::Prefill, true) => EngineStage::Decode,
        (EngineStage::Decode, true) => EngineStage::Prefill,
    }
}

/// The engine with the least work in the availability zone that has most engines of the stage.
fn pick_engine(now_ms: u64, engines: &[EngineDuty], from: EngineStage) -> Option<u64> {
    let in_zone = |zone: u64| {
        let same = engines.iter().filter(|engine| engine.zone == zone);
        same.filter(|engine| stage_after(engine) == from).count()
    };
    let is_free = |engine: &&EngineDuty| {
        let is_rested = engine
            .changed_ms
            .is_none_or(|changed| now_ms - changed >= DWELL_MS);
        engine.stage == from && !engine.is_switching && is_rested
    };
    let free = engines.iter().filter(is_free);
    let rank = |engine: &&EngineDuty| {
        let zone = std::cmp::Reverse(in_zone(engine.zone));
        (zone, engine.running, engine.target)
    };
    free.min_by_key(rank).map(|engine| engine.target)
}
