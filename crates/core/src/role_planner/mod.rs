//! Planner of the role changes of one model's engines.
//!
//! The load of a phase is its work relative to the capacity that the engines have for it in their
//! roles. At 1.0, prompts wait for as long as the target time to first token allows, or every slot
//! decodes.
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

use crate::route::DEFAULT_PREFILL_US_PER_TOKEN;
use forecast::Forecast;

/// Wait of a prompt that counts as full load: the target for the time to first token.
const FULL_LOAD_WAIT_US: f64 = 340_000.0;
/// Capacity for a phase of an engine in the other phase's role, relative to a mixed engine.
const OTHER_ROLE_FACTOR: f64 = 0.5;
/// Capacity for a phase of an engine in that phase's role, relative to a mixed engine. The same
/// factor of 2 applies when targets are chosen.
const OWN_ROLE_FACTOR: f64 = 2.0;
/// Load of a phase below which no change is needed: engines of other roles take the work that
/// spills over.
const SPILLOVER_LOAD: f64 = 0.7;
/// Load of the busier phase below which the threshold planner does nothing: the ratio of two small
/// loads is mostly noise.
const MIN_THRESHOLD_LOAD: f64 = 0.1;
/// Consecutive evaluations that must favour a change to the same role, so that a single outdated
/// load report does not change an engine's role.
const CONFIRMATIONS: u32 = 3;
/// Time constant of the forecasts' smoothing, as a share of the planning horizon.
const SMOOTHING_SHARE: f64 = 0.25;

/// Load and role of an engine, as seen by the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// Target id of the engine.
    pub target: ids::TargetId,
    /// Availability zone of the engine.
    pub zone: ids::ZoneId,
    /// Current role of the engine.
    pub role: EngineRole,
    /// Requests in the engine's batch.
    pub running: u32,
    /// Requests that wait at the engine.
    pub waiting: u32,
    /// Prompt tokens that the engine has not processed yet.
    pub waiting_prefill_tokens: u64,
    /// Requests in the decode phase.
    pub running_decode: u32,
    /// Maximum number of requests in the batch.
    pub slots: u32,
    /// Whether the engine accepts new work.
    pub is_available: bool,
}

/// A change of one engine's role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleChange {
    /// Target id of the engine.
    pub target: ids::TargetId,
    /// Role before the change.
    pub from: EngineRole,
    /// Role after the change.
    pub to: EngineRole,
}

/// Loads of both phases; 1.0 is full load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PhaseLoads {
    /// Load of the prefill phase.
    pub prefill: f64,
    /// Load of the decode phase.
    pub decode: f64,
}

/// Work of, or capacity for, both phases, in units of the capacity of one mixed engine.
#[derive(Clone, Copy, Debug, Default)]
struct PhaseWork {
    prefill: f64,
    decode: f64,
}

/// Plans role changes. Keeps forecasts of both phases' work and the times of earlier changes.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    policy: PlannerPolicy,
    adaptation: AdaptationSettings,
    prefill: Forecast,
    decode: Forecast,
    changed_ms: HashMap<ids::TargetId, u64>,
    /// Role that the last evaluations have favoured, with their number.
    favoured: Option<(EngineRole, u32)>,
}

impl RolePlanner {
    /// Creates a planner without history.
    pub fn new(policy: PlannerPolicy, adaptation: AdaptationSettings) -> Self {
        let smoothing_ms = adaptation.horizon_ms as f64 * SMOOTHING_SHARE;
        Self {
            policy,
            adaptation,
            prefill: Forecast::new(smoothing_ms),
            decode: Forecast::new(smoothing_ms),
            changed_ms: HashMap::new(),
            favoured: None,
        }
    }

    /// Returns whether the planner has the given policy and parameters.
    pub fn has_settings(&self, policy: PlannerPolicy, adaptation: &AdaptationSettings) -> bool {
        self.policy == policy && self.adaptation == *adaptation
    }

    /// Returns the changes to start at the given time, which must not decrease between calls.
    /// `changing` lists the zone of each change in progress.
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

    /// Records a change that this planner has not planned, such as one of the previous lease
    /// holder.
    pub fn record_change(&mut self, now_ms: u64, target: &ids::TargetId) {
        self.changed_ms.insert(target.clone(), now_ms);
    }

    fn plan_threshold(
        &self,
        engines: &[EngineView],
        changing: &[ids::ZoneId],
    ) -> Option<RoleChange> {
        let loads = phase_loads(engines);
        let min_ratio = f64::from(self.adaptation.threshold_percent) / 100.0;
        let is_idle = loads.prefill.max(loads.decode) < MIN_THRESHOLD_LOAD;
        let to = if is_idle {
            return None;
        } else if loads.prefill > loads.decode * min_ratio {
            EngineRole::Prefill
        } else if loads.decode > loads.prefill * min_ratio {
            EngineRole::Decode
        } else {
            return None;
        };
        let candidates = engines.iter().filter(|engine| engine.role != to);
        let changeable = candidates.filter(|engine| self.may_change(engine, changing));
        changeable
            .min_by_key(|engine| preference(engine, to))
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

    /// Returns the change with the highest gain among those that are worth their cost.
    fn best_change(
        &self,
        now_ms: u64,
        engines: &[EngineView],
        changing: &[ids::ZoneId],
    ) -> Option<RoleChange> {
        let changeable = engines
            .iter()
            .filter(|engine| self.may_change(engine, changing) && self.has_dwelt(now_ms, engine));
        let mut best: Option<(f64, &EngineView, EngineRole)> = None;
        for engine in changeable {
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

    /// Returns the gain of a change in engine-milliseconds over the horizon, or `None` if it is not
    /// worth its cost. The gain is estimated conservatively: with the lower bound of the forecast
    /// for the phase that gains capacity and the upper bound for the other one.
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
        let (gaining_work, losing_work) = match after.prefill > before.prefill {
            true => (prefill_low, decode_high),
            false => (decode_low, prefill_high),
        };
        let max_load = |capacity: &PhaseWork| {
            let (gaining, losing) = match after.prefill > before.prefill {
                true => (capacity.prefill, capacity.decode),
                false => (capacity.decode, capacity.prefill),
            };
            (gaining_work / gaining).max(losing_work / losing)
        };
        let (load_before, load_after) = (max_load(&before), max_load(&after));
        if load_before < SPILLOVER_LOAD || load_after >= load_before {
            return None;
        }
        let horizon_ms = self.adaptation.horizon_ms as f64;
        let gain = (load_before - load_after) * engines.len() as f64 * horizon_ms;
        let cost = self.adaptation.switch_cost_ms as f64;
        let min_gain = cost * f64::from(self.adaptation.min_gain_percent) / 100.0;
        (gain > min_gain).then_some(gain)
    }

    fn may_change(&self, engine: &EngineView, changing: &[ids::ZoneId]) -> bool {
        let in_progress = changing.iter().filter(|zone| **zone == engine.zone).count();
        engine.is_available && in_progress < self.adaptation.max_concurrent_changes as usize
    }

    fn has_dwelt(&self, now_ms: u64, engine: &EngineView) -> bool {
        let changed = self.changed_ms.get(&engine.target);
        changed
            .is_none_or(|changed| now_ms.saturating_sub(*changed) >= self.adaptation.min_dwell_ms)
    }
}

/// Returns the loads of both phases at the given engines.
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
        work.prefill += tokens * DEFAULT_PREFILL_US_PER_TOKEN as f64 / FULL_LOAD_WAIT_US;
        let decoding = f64::from(engine.running_decode + engine.waiting);
        work.decode += decoding / f64::from(engine.slots.max(1));
    }
    work
}

/// Returns the work that the engines can do at full load.
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
        EngineRole::Prefill => OWN_ROLE_FACTOR,
        EngineRole::Decode => OTHER_ROLE_FACTOR,
    }
}

fn decode_factor(role: EngineRole) -> f64 {
    match role {
        EngineRole::Mixed => 1.0,
        EngineRole::Prefill => OTHER_ROLE_FACTOR,
        EngineRole::Decode => OWN_ROLE_FACTOR,
    }
}

/// Sort key for changes with the same gain: mixed engines first, since their change costs the other
/// phase less capacity, then the engine that drains soonest.
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
