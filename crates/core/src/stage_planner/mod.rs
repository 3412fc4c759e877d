//! Which engines process prompts and which generate.
//!
//! Load answered: prompts of thousands of tokens and outputs of some ten, so that most engines have
//! to process prompts and few can generate for all of them. A change takes an engine away for
//! seconds, so stages follow the work only when it has moved clearly, a few engines at a time.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::{placement::EngineStage, stage_planner::{EngineStatus, StagePlanner}};
//!
//! let status = |zone| EngineStatus {
//!     target_hash: zone, zone, stage: EngineStage::Decode, is_switching: false, running: 0,
//!     slots: 64, backlog_tokens: 0, changed_ms: None,
//! };
//! let engines: Vec<EngineStatus> = (0..4).map(status).collect();
//! let changes = StagePlanner::default().next_changes(0, &engines);
//! assert_eq!(changes[0].to, EngineStage::Prefill);
//! ```

use crate::placement::EngineStage;

/// Share of the engines that process prompts while no load speaks against it. A prompt of 10,000
/// tokens takes 200 ms alone, the tokens after it as long in a batch of many.
const PREFILL_SHARE: f64 = 0.7;
/// Share of the places of the engines that generate from which one more of them is needed: beyond
/// it a lost engine overloads the others.
const CROWDED_FILL: f64 = 0.5;
/// Share below which one engine fewer suffices.
const IDLE_FILL: f64 = 0.2;
/// Prompt tokens that wait at an engine on average from which one more engine is needed: 400 ms.
const CROWDED_TOKENS: u64 = 20_000;
/// Prompt tokens below which one engine fewer suffices.
const IDLE_TOKENS: u64 = 5_000;
/// Time for which a need has to last: the load of a batch swings within a second.
const CONFIRM_MS: u64 = 2_000;
/// Time for which an engine keeps a stage: several times what a change costs.
const DWELL_MS: u64 = 12_000;
/// Engines that change at once at most, as a share of all.
const SWITCHING_SHARE: f64 = 0.2;
/// Engines that change for a pressure that has lasted, as a share of all: small against what the
/// others can take over, and large enough to follow a shift within some seconds.
const PRESSURE_SHARE: f64 = 0.04;

/// What the planner knows of an engine that accepts work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineStatus {
    /// Short name.
    pub target_hash: u64,
    /// Its availability zone, as a number that only serves to compare.
    pub zone: u64,
    /// Its stage, or the one that it is changing to.
    pub stage: EngineStage,
    /// Whether an order is being carried out.
    pub is_switching: bool,
    /// Requests that run there.
    pub running: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens that are not processed yet.
    pub backlog_tokens: u64,
    /// Time of its last order, or a later one until which an order may still be carried out.
    pub changed_ms: Option<u64>,
}

/// A change of one engine's stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// Short name of the engine.
    pub target_hash: u64,
    /// Stage that it gets.
    pub to: EngineStage,
}

/// Which stage needs more engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pressure {
    Prefill,
    Decode,
    /// Both stages are idle: the usual share is restored.
    Idle,
    /// Nothing that a change would help.
    Settled,
}

/// Planner of the stages of one service's engines.
#[derive(Clone, Debug, Default)]
pub struct StagePlanner {
    pressing: Option<(Pressure, u64)>,
}

impl StagePlanner {
    /// The next changes to order.
    pub fn next_changes(&mut self, now_ms: u64, engines: &[EngineStatus]) -> Vec<StageChange> {
        if engines.len() < 2 {
            return Vec::new();
        }
        let wanted = self.wanted_decodes(now_ms, engines);
        let limit = (engines.len() as f64 * SWITCHING_SHARE).ceil() as usize;
        let mut engines = engines.to_vec();
        let mut changes = Vec::new();
        while let Some(change) = change_towards(wanted, limit, now_ms, &engines) {
            changes.push(change);
            let changed = engines
                .iter_mut()
                .filter(|engine| engine.target_hash == change.target_hash);
            for engine in changed {
                engine.stage = change.to;
                engine.is_switching = true;
            }
        }
        if !changes.is_empty() {
            self.pressing = None;
        }
        changes
    }

    /// Engines that should generate.
    fn wanted_decodes(&mut self, now_ms: u64, engines: &[EngineStatus]) -> usize {
        let pressure = pressure_of(engines);
        let is_lasting = self.lasts(pressure, now_ms);
        let decodes = count(engines, EngineStage::Decode);
        let usual = (engines.len() as f64 * (1.0 - PREFILL_SHARE)).round() as usize;
        let usual = usual.clamp(1, engines.len() - 1);
        let step = (engines.len() as f64 * PRESSURE_SHARE).ceil() as usize;
        match pressure {
            _ if decodes == 0 => 1,
            _ if decodes == engines.len() => decodes - 1,
            Pressure::Idle => usual,
            Pressure::Prefill if is_lasting => decodes.saturating_sub(step).max(usual.min(decodes)),
            Pressure::Decode if is_lasting => (decodes + step).min(engines.len() - 1),
            _ => decodes,
        }
    }

    /// Whether a pressure has lasted for [`CONFIRM_MS`].
    fn lasts(&mut self, pressure: Pressure, now_ms: u64) -> bool {
        match self.pressing {
            Some((known, since)) if known == pressure => now_ms - since >= CONFIRM_MS,
            _ => {
                self.pressing = Some((pressure, now_ms));
                false
            }
        }
    }
}

/// One more change towards the wanted number of engines that generate, while fewer than `limit`
/// engines change.
fn change_towards(
    wanted: usize,
    limit: usize,
    now_ms: u64,
    engines: &[EngineStatus],
) -> Option<StageChange> {
    let switching = engines.iter().filter(|engine| engine.is_switching).count();
    if switching >= limit {
        return None;
    }
    let decodes = count(engines, EngineStage::Decode);
    let (from, to) = match decodes.cmp(&wanted) {
        std::cmp::Ordering::Greater => (EngineStage::Decode, EngineStage::Prefill),
        std::cmp::Ordering::Less => (EngineStage::Prefill, EngineStage::Decode),
        std::cmp::Ordering::Equal => return None,
    };
    let target_hash = pick_engine(now_ms, engines, from)?;
    Some(StageChange { target_hash, to })
}

fn pressure_of(engines: &[EngineStatus]) -> Pressure {
    let fill = mean(engines, EngineStage::Decode, |engine| {
        f64::from(engine.running) / f64::from(engine.slots.max(1))
    });
    let tokens = mean(engines, EngineStage::Prefill, |engine| {
        engine.backlog_tokens as f64
    });
    let (crowded, idle) = (CROWDED_TOKENS as f64, IDLE_TOKENS as f64);
    match (tokens, fill) {
        (tokens, fill) if tokens < idle && fill < IDLE_FILL => Pressure::Idle,
        (tokens, fill) if tokens > crowded && fill < CROWDED_FILL => Pressure::Prefill,
        (tokens, fill) if fill > CROWDED_FILL && tokens < crowded => Pressure::Decode,
        _ => Pressure::Settled,
    }
}

fn mean(engines: &[EngineStatus], stage: EngineStage, value: impl Fn(&EngineStatus) -> f64) -> f64 {
    let here = engines.iter().filter(|engine| engine.stage == stage);
    let (sum, count) = here.fold((0.0, 0), |(sum, count), engine| {
        (sum + value(engine), count + 1)
    });
    sum / f64::from(count.max(1))
}

fn count(engines: &[EngineStatus], stage: EngineStage) -> usize {
    engines
        .iter()
        .filter(|engine| engine.stage == stage)
        .count()
}

/// The engine with the least work in the availability zone that has most engines of the stage.
fn pick_engine(now_ms: u64, engines: &[EngineStatus], from: EngineStage) -> Option<u64> {
    let in_zone = |zone: u64| {
        let same = engines.iter().filter(|engine| engine.zone == zone);
        same.filter(|engine| engine.stage == from).count()
    };
    let is_free = |engine: &&EngineStatus| {
        let is_rested = engine
            .changed_ms
            .is_none_or(|changed| now_ms.saturating_sub(changed) >= DWELL_MS);
        engine.stage == from && !engine.is_switching && is_rested
    };
    let free = engines.iter().filter(is_free);
    let rank = |engine: &&EngineStatus| {
        let zone = std::cmp::Reverse(in_zone(engine.zone));
        (zone, engine.running, engine.target_hash)
    };
    free.min_by_key(rank).map(|engine| engine.target_hash)
}
