//! Planner of the stages of a service's engines: which prefill and which decode.
//!
//! Prompts have thousands of tokens and outputs about ten, so most engines have to prefill and a
//! few can decode for all of them. An engine is unavailable for seconds while it changes its stage,
//! so stages follow the load only when it has clearly shifted, a few engines at a time.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::{placement::EngineStage, stage_planner::{EngineStatus, StagePlanner}};
//!
//! let status = |number| EngineStatus {
//!     target_hash: number, zone_hash: number, stage: EngineStage::Decode, is_switching: false,
//!     is_reachable: true,
//!     running: 0, slots: 64, backlog_tokens: 0, changed_ms: None,
//! };
//! let engines: Vec<EngineStatus> = (0..4).map(status).collect();
//! let changes = StagePlanner::default().next_changes(0, &engines);
//! assert_eq!(changes[0].to, EngineStage::Prefill);
//! ```

use crate::placement::EngineStage;

/// Share of prefill engines while both stages are idle. A prompt of 10,000 tokens takes 200 ms
/// alone, and its output takes as long in a large batch.
const DEFAULT_PREFILL_SHARE: f64 = 0.7;
/// Average occupancy of the decode engines' slots above which more decode engines are needed:
/// beyond it, the loss of an engine overloads the others.
const HIGH_OCCUPANCY: f64 = 0.5;
/// Average occupancy of the decode engines' slots below which the stage is idle.
const IDLE_OCCUPANCY: f64 = 0.2;
/// Average backlog of the prefill engines above which more prefill engines are needed, in prompt
/// tokens; they take 400 ms.
const HIGH_BACKLOG_TOKENS: u64 = 20_000;
/// Average backlog of the prefill engines below which the stage is idle, in prompt tokens.
const IDLE_BACKLOG_TOKENS: u64 = 5_000;
/// Time for which a demand has to last: the load of a batch fluctuates within a second.
const CONFIRM_MS: u64 = 2_000;
/// Shortest time between two changes of an engine: several times what a change costs.
const MIN_DWELL_MS: u64 = 12_000;
/// Largest number of engines that change at the same time, as a share of all.
const MAX_SWITCHING_SHARE: f64 = 0.2;
/// Number of engines that change for a lasting demand, as a share of all: small compared with what
/// the others can take over, and large enough to follow a shift within seconds.
const DEMAND_STEP_SHARE: f64 = 0.04;

/// Load and stage of one engine, as seen by the planner. Draining engines are left out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineStatus {
    /// Hash of the engine's target id.
    pub target_hash: u64,
    /// Hash of the engine's availability zone, for comparisons only.
    pub zone_hash: u64,
    /// Stage of the engine, or the one that it is changing to.
    pub stage: EngineStage,
    /// Whether the engine is changing its stage.
    pub is_switching: bool,
    /// Whether the engine accepted the last connection. One that does not is back within seconds,
    /// or is removed from the platform's list.
    pub is_reachable: bool,
    /// Number of running requests.
    pub running: u32,
    /// Requests that the engine can run at the same time.
    pub slots: u32,
    /// Prompt tokens that the engine has not processed yet.
    pub backlog_tokens: u64,
    /// Time of the engine's last order, or the later time until which an unanswered order may still
    /// be carried out.
    pub changed_ms: Option<u64>,
}

/// A change of one engine's stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// Hash of the engine's target id.
    pub target_hash: u64,
    /// Stage to change to.
    pub to: EngineStage,
}

/// The stage that needs more engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Demand {
    Prefill,
    Decode,
    /// Both stages are idle: the default shares are restored.
    Idle,
    /// None, or both: no change would help.
    Balanced,
}

/// Planner of the stages of one service's engines.
#[derive(Clone, Debug, Default)]
pub struct StagePlanner {
    /// The last demand and the time since which it has lasted.
    last_demand: Option<(Demand, u64)>,
}

impl StagePlanner {
    /// Returns the changes to order now.
    pub fn next_changes(&mut self, now_ms: u64, engines: &[EngineStatus]) -> Vec<StageChange> {
        if engines.len() < 2 {
            return Vec::new();
        }
        let wanted = self.wanted_decodes(now_ms, engines);
        let limit = (engines.len() as f64 * MAX_SWITCHING_SHARE).ceil() as usize;
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
            self.last_demand = None;
        }
        changes
    }

    /// Returns the number of decode engines that there should be.
    fn wanted_decodes(&mut self, now_ms: u64, engines: &[EngineStatus]) -> usize {
        let demand = stage_demand(engines);
        let has_lasted = self.has_lasted(demand, now_ms);
        let decodes = count(engines, EngineStage::Decode);
        let default = (engines.len() as f64 * (1.0 - DEFAULT_PREFILL_SHARE)).round() as usize;
        let default = default.clamp(1, engines.len() - 1);
        let step = (engines.len() as f64 * DEMAND_STEP_SHARE).ceil() as usize;
        match demand {
            _ if decodes == 0 => 1,
            _ if decodes == engines.len() => decodes - 1,
            // Without load there is no hurry, and the engines that could change are those that
            // work while others are down.
            Demand::Idle if engines.iter().any(|engine| !engine.is_reachable) => decodes,
            Demand::Idle => default,
            Demand::Prefill if has_lasted => decodes.saturating_sub(step).max(default.min(decodes)),
            Demand::Decode if has_lasted => (decodes + step).min(engines.len() - 1),
            _ => decodes,
        }
    }

    /// Returns whether a demand has lasted for [`CONFIRM_MS`].
    fn has_lasted(&mut self, demand: Demand, now_ms: u64) -> bool {
        match self.last_demand {
            Some((last, since_ms)) if last == demand => now_ms - since_ms >= CONFIRM_MS,
            _ => {
                self.last_demand = Some((demand, now_ms));
                false
            }
        }
    }
}

/// Returns one change towards the wanted number of decode engines, unless `limit` engines are
/// already changing.
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

fn stage_demand(engines: &[EngineStatus]) -> Demand {
    let occupancy = mean(engines, EngineStage::Decode, |engine| {
        f64::from(engine.running) / f64::from(engine.slots.max(1))
    });
    let backlog = mean(engines, EngineStage::Prefill, |engine| {
        engine.backlog_tokens as f64
    });
    let (high, idle) = (HIGH_BACKLOG_TOKENS as f64, IDLE_BACKLOG_TOKENS as f64);
    match (backlog, occupancy) {
        (backlog, occupancy) if backlog < idle && occupancy < IDLE_OCCUPANCY => Demand::Idle,
        (backlog, occupancy) if backlog > high && occupancy < HIGH_OCCUPANCY => Demand::Prefill,
        (backlog, occupancy) if occupancy > HIGH_OCCUPANCY && backlog < high => Demand::Decode,
        _ => Demand::Balanced,
    }
}

/// Returns the mean of a value over the engines of a stage, or 0 if there is none.
fn mean(engines: &[EngineStatus], stage: EngineStage, value: impl Fn(&EngineStatus) -> f64) -> f64 {
    let of_stage = engines.iter().filter(|engine| engine.stage == stage);
    let (sum, count) = of_stage.fold((0.0, 0), |(sum, count), engine| {
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

/// Picks the engine with the fewest running requests in the availability zone with the most engines
/// of the stage, among those that may change.
fn pick_engine(now_ms: u64, engines: &[EngineStatus], from: EngineStage) -> Option<u64> {
    let in_zone = |zone_hash: u64| {
        let same_zone = engines
            .iter()
            .filter(|engine| engine.zone_hash == zone_hash);
        same_zone.filter(|engine| engine.stage == from).count()
    };
    let may_change = |engine: &&EngineStatus| {
        let has_dwelt = engine
            .changed_ms
            .is_none_or(|changed| now_ms.saturating_sub(changed) >= MIN_DWELL_MS);
        engine.stage == from && engine.is_reachable && !engine.is_switching && has_dwelt
    };
    let changeable = engines.iter().filter(may_change);
    let sort_key = |engine: &&EngineStatus| {
        let engines_in_zone = std::cmp::Reverse(in_zone(engine.zone_hash));
        (engines_in_zone, engine.running, engine.target_hash)
    };
    changeable
        .min_by_key(sort_key)
        .map(|engine| engine.target_hash)
}
