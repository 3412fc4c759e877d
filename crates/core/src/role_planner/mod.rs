//! Planner of role changes of one model's engines.
//!
//! The loads of both phases are measured against what the engines of their roles can take: 1.0
//! means prompts wait as long as the time to first token allows, or every slot decodes.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::role_planner::{EngineView, RolePlanner};
//! use acaciabank_protocol::{ids, settings};
//!
//! let adaptation = settings::AdaptationSettings::default();
//! let mut planner = RolePlanner::new(settings::PlannerPolicy::Threshold, adaptation);
//! let engine = |name: &str, role, waiting_prefill_tokens| EngineView {
//!     target: ids::TargetId::from(name),
//!     zone: ids::ZoneId::from("a"),
//!     role,
//!     running: 4,
//!     waiting: 0,
//!     waiting_prefill_tokens,
//!     running_decode: 2,
//!     slots: 32,
//!     is_available: true,
//! };
//! let engines = [
//!     engine("e1", settings::EngineRole::Prefill, 60_000),
//!     engine("e2", settings::EngineRole::Decode, 0),
//! ];
//! let changes = planner.plan(0, &engines, &[]);
//! assert_eq!(changes[0].target.as_str(), "e2");
//! assert_eq!(changes[0].to, settings::EngineRole::Prefill);
//! ```

mod forecast;

use std::collections::HashMap;

use acaciabank_protocol::{
    ids,
    settings::{AdaptationSettings, EngineRole, PlannerPolicy},
};

use crate::route::DEFAULT_PREFILL_US;
use forecast::Forecast;

/// Wait of a prompt that counts as full load: the aim for the time to first token.
const PREFILL_WAIT_US: f64 = 340_000.0;
/// Speed of a phase at an engine of the other role, of the mixed role and of its own role, relative
/// to a mixed engine. The factor 2 is that of the choice of targets.
const OTHER_FACTOR: f64 = 0.5;
const OWN_FACTOR: f64 = 2.0;
/// Load of a phase below which work that spills over to engines of other roles suffices.
const SPILLOVER_LOAD: f64 = 0.7;
/// Load of the busier phase below which the threshold planner does nothing: the ratio of two small
/// loads is random.
const LEAST_THRESHOLD_LOAD: f64 = 0.1;
/// Evaluations in a row that must favour a change of the same kind. One lagging load report must
/// not move an engine.
const CONFIRMATIONS: u32 = 3;
/// Share of the horizon that the forecast's levels average over.
const LEVEL_SHARE: f64 = 0.25;

/// What the planner knows of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// Name.
    pub target: ids::TargetId,
    /// Availability zone.
    pub zone: ids::ZoneId,
    /// Role in force.
    pub role: EngineRole,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that are not processed yet.
    pub waiting_prefill_tokens: u64,
    /// Requests in the decode phase.
    pub running_decode: u32,
    /// Requests that it batches at most.
    pub slots: u32,
    /// Whether it takes new work.
    pub is_available: bool,
}

/// A change to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleChange {
    /// Engine.
    pub target: ids::TargetId,
    /// Role in force.
    pub from: EngineRole,
    /// Role to take.
    pub to: EngineRole,
}

/// Loads of both phases.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PhaseLoads {
    /// Load of the prefill phase.
    pub prefill: f64,
    /// Load of the decode phase.
    pub decode: f64,
}

/// Work of both phases, in units of what one mixed engine takes.
#[derive(Clone, Copy, Debug, Default)]
struct PhaseWork {
    prefill: f64,
    decode: f64,
}

/// Decides role changes; keeps the forecast and the times of earlier changes.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    policy: PlannerPolicy,
    adaptation: AdaptationSettings,
    prefill: Forecast,
    decode: Forecast,
    changed_ms: HashMap<ids::TargetId, u64>,
    favoured: Option<(EngineRole, u32)>,
}

impl RolePlanner {
    /// A planner without history.
    pub fn new(policy: PlannerPolicy, adaptation: AdaptationSettings) -> Self {
        let level_ms = adaptation.horizon_ms as f64 * LEVEL_SHARE;
        Self {
            policy,
            adaptation,
            prefill: Forecast::new(level_ms),
            decode: Forecast::new(level_ms),
            changed_ms: HashMap::new(),
            favoured: None,
        }
    }

    /// Whether the planner runs with the given policy and parameters.
    pub fn is_for(&self, policy: PlannerPolicy, adaptation: &AdaptationSettings) -> bool {
        self.policy == policy && self.adaptation == *adaptation
    }

    /// Changes to start at the given time, which grows from call to call. `changing` names the
    /// zone of each change that is under way.
    pub fn plan(
        &mut self,
        now_ms: u64,
        engines: &[EngineView],
        changing: &[ids::ZoneId],
    ) -> Vec<RoleChange> {
        let chosen = match self.policy {
            PlannerPolicy::Off => None,
            PlannerPolicy::Threshold => self.plan_threshold(engines, changing),
            PlannerPolicy::Adaptive => self.plan_adaptive(now_ms, engines, changing),
        };
        if let Some(change) = &chosen {
            self.changed_ms.insert(change.target.clone(), now_ms);
        }
        chosen.into_iter().collect()
    }

    /// Records a change that was not planned here, such as one that a predecessor started.
    pub fn record_change(&mut self, now_ms: u64, target: &ids::TargetId) {
        self.changed_ms.insert(target.clone(), now_ms);
    }

    fn plan_threshold(
        &self,
        engines: &[EngineView],
        changing: &[ids::ZoneId],
    ) -> Option<RoleChange> {
        let loads = phase_loads(engines);
        let bound = f64::from(self.adaptation.threshold_percent) / 100.0;
        let is_idle = loads.prefill.max(loads.decode) < LEAST_THRESHOLD_LOAD;
        let to = if is_idle {
            return None;
        } else if loads.prefill > loads.decode * bound {
            EngineRole::Prefill
        } else if loads.decode > loads.prefill * bound {
            EngineRole::Decode
        } else {
            return None;
        };
        let candidates = engines.iter().filter(|engine| engine.role != to);
        let open = candidates.filter(|engine| self.has_room(engine, changing));
        open.min_by_key(|engine| preference(engine, to))
            .map(|engine| change(engine, to))
    }

    fn plan_adaptive(
        &mut self,
        now_ms: u64,
        engines: &[EngineView],
        changing: &[ids::ZoneId],
    ) -> Option<RoleChange> {
        let work = phase_work(engines);
        self.prefill.record(now_ms, work.prefill);
        self.decode.record(now_ms, work.decode);
        let best = self.best_change(now_ms, engines, changing);
        let role = best.as_ref().map(|change| change.to);
        let count = match (role, self.favoured) {
            (Some(role), Some((favoured, count))) if role == favoured => count + 1,
            _ => 1,
        };
        self.favoured = role.map(|role| (role, count));
        if count < CONFIRMATIONS {
            return None;
        }
        self.favoured = None;
        best
    }

    /// The change with the highest gain among those that pay.
    fn best_change(
        &self,
        now_ms: u64,
        engines: &[EngineView],
        changing: &[ids::ZoneId],
    ) -> Option<RoleChange> {
        let open = engines
            .iter()
            .filter(|engine| self.has_room(engine, changing) && self.has_dwelt(now_ms, engine));
        let mut best: Option<(f64, &EngineView, EngineRole)> = None;
        for engine in open {
            for to in [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode] {
                let Some(gain) = self.gain(engines, engine, to) else {
                    continue;
                };
                let is_better = best.is_none_or(|(best_gain, best_engine, best_to)| {
                    gain > best_gain
                        || (gain == best_gain
                            && preference(engine, to) < preference(best_engine, best_to))
                });
                if is_better {
                    best = Some((gain, engine, to));
                }
            }
        }
        best.map(|(_, engine, to)| change(engine, to))
    }

    /// Gain of a change in engine-milliseconds over the horizon, when it pays. The phase that gains
    /// is taken at the lower bound of its forecast and the other one at its upper bound.
    fn gain(&self, engines: &[EngineView], engine: &EngineView, to: EngineRole) -> Option<f64> {
        if engine.role == to {
            return None;
        }
        let before = capacity(engines);
        let mut after = before;
        after.prefill += prefill_factor(to) - prefill_factor(engine.role);
        after.decode += decode_factor(to) - decode_factor(engine.role);
        let lead_ms = self.adaptation.switch_cost_ms as f64;
        let (prefill_low, prefill_high) = self.prefill.bounds(lead_ms);
        let (decode_low, decode_high) = self.decode.bounds(lead_ms);
        let (work, other) = match after.prefill > before.prefill {
            true => (prefill_low, decode_high),
            false => (decode_low, prefill_high),
        };
        let worst = |capacity: &PhaseWork| {
            let (own, rest) = match after.prefill > before.prefill {
                true => (capacity.prefill, capacity.decode),
                false => (capacity.decode, capacity.prefill),
            };
            (work / own).max(other / rest)
        };
        let (load_before, load_after) = (worst(&before), worst(&after));
        if load_before < SPILLOVER_LOAD || load_after >= load_before {
            return None;
        }
        let horizon_ms = self.adaptation.horizon_ms as f64;
        let gain = (load_before - load_after) * engines.len() as f64 * horizon_ms;
        let cost = self.adaptation.switch_cost_ms as f64;
        let least = cost * f64::from(self.adaptation.min_gain_percent) / 100.0;
        (gain > least).then_some(gain)
    }

    fn has_room(&self, engine: &EngineView, changing: &[ids::ZoneId]) -> bool {
        let under_way = changing.iter().filter(|zone| **zone == engine.zone).count();
        engine.is_available && under_way < self.adaptation.max_concurrent_changes as usize
    }

    fn has_dwelt(&self, now_ms: u64, engine: &EngineView) -> bool {
        let changed = self.changed_ms.get(&engine.target);
        changed
            .is_none_or(|changed| now_ms.saturating_sub(*changed) >= self.adaptation.min_dwell_ms)
    }
}

/// Loads of both phases at the given engines.
pub fn phase_loads(engines: &[EngineView]) -> PhaseLoads {
    let work = phase_work(engines);
    let capacity = capacity(engines);
    if engines.is_empty() {
        return PhaseLoads::default();
    }
    PhaseLoads {
        prefill: work.prefill / capacity.prefill,
        decode: work.decode / capacity.decode,
    }
}

fn phase_work(engines: &[EngineView]) -> PhaseWork {
    let mut work = PhaseWork::default();
    for engine in engines {
        let tokens = engine.waiting_prefill_tokens as f64;
        work.prefill += tokens * DEFAULT_PREFILL_US as f64 / PREFILL_WAIT_US;
        let decoding = f64::from(engine.running_decode + engine.waiting);
        work.decode += decoding / f64::from(engine.slots.max(1));
    }
    work
}

/// Work that the engines take at full load.
fn capacity(engines: &[EngineView]) -> PhaseWork {
    let mut capacity = PhaseWork::default();
    for engine in engines {
        capacity.prefill += prefill_factor(engine.role);
        capacity.decode += decode_factor(engine.role);
    }
    capacity
}

fn prefill_factor(role: EngineRole) -> f64 {
    match role {
        EngineRole::Mixed => 1.0,
        EngineRole::Prefill => OWN_FACTOR,
        EngineRole::Decode => OTHER_FACTOR,
    }
}

fn decode_factor(role: EngineRole) -> f64 {
    match role {
        EngineRole::Mixed => 1.0,
        EngineRole::Prefill => OTHER_FACTOR,
        EngineRole::Decode => OWN_FACTOR,
    }
}

/// Order among engines that would gain the same: mixed ones first, since they lose less of the
/// other phase, then the one that drains soonest.
fn preference(engine: &EngineView, to: EngineRole) -> (bool, bool, u32, &ids::TargetId) {
    let is_opposite = engine.role != EngineRole::Mixed;
    let load = engine.running + engine.waiting;
    (to == EngineRole::Mixed, is_opposite, load, &engine.target)
}

fn change(engine: &EngineView, to: EngineRole) -> RoleChange {
    RoleChange {
        target: engine.target.clone(),
        from: engine.role,
        to,
    }
}
