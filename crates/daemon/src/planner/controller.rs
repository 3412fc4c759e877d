//! The controller of one model's engines, active while this daemon holds the model's lease:
//! completes open orders, loads what the deployment names, and changes roles.

use std::{
    collections::{HashMap, HashSet},
    sync,
};

use acaciabank_core::{
    order::{self, TakeoverWait},
    role_planner::{EngineView, RoleChange, RolePlanner},
};
use acaciabank_protocol::{ids, settings, wire};
use futures::{StreamExt, stream};
use tokio::task::JoinSet;

use super::{
    lease::{self, ModelLease},
    rows::{self, StoredTarget},
    task::{self, OrderTask, TaskKind, TaskOutcome},
};
use crate::{
    config, process,
    table::TableError,
    target::{TargetKind, TargetState, now_ms},
    telemetry::names,
};

/// Maximum number of concurrent reads of rows or engine states.
const MAX_CONCURRENT_READS: usize = 8;

/// An engine of the model, with the settings that the send rule needs.
#[derive(Clone)]
struct ModelEngine {
    target: sync::Arc<TargetState>,
    fencing: settings::FencingSupport,
    admin_idle_close_ms: Option<u64>,
}

/// An order in progress.
struct ActiveOrder {
    zone: ids::ZoneId,
    role_change: Option<RoleChange>,
}

/// State of one term of the lease.
struct TermState {
    term: u64,
    started_ms: u64,
    /// Rows of the targets, as read in this term.
    rows: HashMap<ids::TargetId, StoredTarget>,
    observed: HashMap<ids::TargetId, wire::EngineState>,
    last_observed_ms: Option<u64>,
    /// Version of the configuration at the last observation.
    config_version: u64,
    /// Time from which the next order is allowed after one without effect, by target.
    retry_at_ms: HashMap<ids::TargetId, u64>,
    /// Time at which an order of this term was left open, by target.
    left_open_ms: HashMap<ids::TargetId, u64>,
    /// Targets whose wait for an operator has been logged.
    logged_waits: HashSet<ids::TargetId>,
}

/// Gives orders to one model's engines while the lease is held.
pub(super) struct ModelController {
    lease: sync::Arc<ModelLease>,
    term: Option<TermState>,
    planner: Option<RolePlanner>,
    active: HashMap<ids::TargetId, ActiveOrder>,
    tasks: JoinSet<(ids::TargetId, TaskOutcome)>,
}

impl ModelController {
    pub(super) fn new(lease: sync::Arc<ModelLease>) -> Self {
        Self {
            lease,
            term: None,
            planner: None,
            active: HashMap::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Returns whether no order is in progress.
    pub(super) fn is_idle(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Starts the orders that are due. Called about once a second.
    pub(super) async fn reconcile(&mut self) {
        self.collect_finished();
        let Some(grant) = self.lease.grant() else {
            self.term = None;
            self.planner = None;
            return;
        };
        if self.lease.is_stopping() {
            return;
        }
        let Some(config) = self.state().config.current() else {
            return;
        };
        if self.term.as_ref().map(|term| term.term) != Some(grant.term) {
            self.term = Some(TermState::new(grant.term));
        }
        let engines = self.engines();
        if let Err(error) = self.read_rows(&engines).await {
            log::warn!(
                "cannot read the rows of model {}: {error}",
                self.lease.model
            );
            return;
        }
        self.resume_open_orders(&engines, &config);
        self.observe_engines(&engines, &config).await;
        self.load_missing(&engines, &config);
        self.change_roles(&engines, &config);
    }

    fn state(&self) -> &process::ProcessState {
        &self.lease.state
    }

    /// Returns the model's engines in the deployment in force.
    fn engines(&self) -> Vec<ModelEngine> {
        let snapshot = self.state().targets.snapshot();
        let routes = snapshot.by_model.get(&self.lease.model);
        let engines = routes.into_iter().flatten().filter_map(|route| {
            let TargetKind::Engine {
                fencing,
                admin_idle_close_ms,
                ..
            } = &route.target.kind
            else {
                return None;
            };
            Some(ModelEngine {
                target: sync::Arc::clone(&route.target),
                fencing: *fencing,
                admin_idle_close_ms: *admin_idle_close_ms,
            })
        });
        engines.collect()
    }

    /// Processes the outcomes of ended orders.
    fn collect_finished(&mut self) {
        while let Some(ended) = self.tasks.try_join_next() {
            let Ok((target, outcome)) = ended else {
                log::error!("the task of an order of model {} failed", self.lease.model);
                self.active.clear();
                self.term = None;
                continue;
            };
            let active = self.active.remove(&target);
            let change = active.and_then(|active| active.role_change);
            if let (TaskOutcome::Done, Some(change)) = (outcome, change) {
                count_role_change(&self.lease.model, &change);
            }
            let retry_at_ms = now_ms() + self.state().settings.timers.lease_ttl_ms;
            let Some(term) = &mut self.term else {
                continue;
            };
            term.rows.remove(&target);
            term.last_observed_ms = None;
            match outcome {
                TaskOutcome::Done => drop(term.retry_at_ms.remove(&target)),
                TaskOutcome::Open => drop(term.left_open_ms.insert(target, now_ms())),
                TaskOutcome::Waiting => {}
                TaskOutcome::Failed | TaskOutcome::NotSent | TaskOutcome::StillBusy => {
                    term.retry_at_ms.insert(target, retry_at_ms);
                }
            }
        }
    }

    /// Reads the rows that have not been read in this term. No order is given before all are known.
    async fn read_rows(&mut self, engines: &[ModelEngine]) -> Result<(), TableError> {
        let Some(term) = &self.term else {
            return Ok(());
        };
        let missing: Vec<ids::TargetId> = engines
            .iter()
            .map(|engine| engine.target.id.clone())
            .filter(|target| !term.rows.contains_key(target) && !self.active.contains_key(target))
            .collect();
        let table = &self.lease.state.table;
        let reads = missing.into_iter().map(|target| async move {
            let stored = rows::read_target(table, &target).await?;
            Ok::<_, TableError>((target, stored))
        });
        let mut reads = stream::iter(reads).buffer_unordered(MAX_CONCURRENT_READS);
        let mut found = Vec::new();
        while let Some(read) = reads.next().await {
            found.push(read?);
        }
        drop(reads);
        if let Some(term) = &mut self.term {
            term.rows.extend(found);
        }
        Ok(())
    }

    /// Resumes open orders: those of earlier terms, and those of this term whose end is unknown.
    fn resume_open_orders(&mut self, engines: &[ModelEngine], config: &config::ConfigVersion) {
        for engine in engines {
            let target = &engine.target.id;
            if self.active.contains_key(target) {
                continue;
            }
            let Some(term) = &mut self.term else {
                return;
            };
            let Some(stored) = term.rows.get(target).cloned() else {
                continue;
            };
            let Some(row) = stored.open_row() else {
                continue;
            };
            let may_replace = term.may_replace(&self.lease, engine, row);
            let action = replacement_action(&row.order.action, target, config);
            let role_change = match &row.order.action {
                wire::OrderAction::SetRole { role } => Some(RoleChange {
                    target: target.clone(),
                    from: engine.target.condition.load().role,
                    to: *role,
                }),
                _ => None,
            };
            let kind = TaskKind::Resume(may_replace.then_some(action));
            self.start_order(engine, stored, kind, role_change);
        }
    }

    /// Reads the states of engines without an order in progress, once per renewal interval and
    /// after a change of the configuration.
    async fn observe_engines(&mut self, engines: &[ModelEngine], config: &config::ConfigVersion) {
        let interval_ms = self.state().settings.timers.lease_renewal_ms;
        let Some(term) = &self.term else {
            return;
        };
        let is_due = term
            .last_observed_ms
            .is_none_or(|last_observed_ms| now_ms() >= last_observed_ms + interval_ms);
        if !is_due && term.config_version == config.version {
            return;
        }
        let state = &self.lease.state;
        let idle = engines
            .iter()
            .filter(|engine| !self.active.contains_key(&engine.target.id));
        let reads = idle.map(|engine| {
            let target = sync::Arc::clone(&engine.target);
            async move {
                let observed = task::observe(state, &target).await.ok()?;
                Some((target.id.clone(), observed))
            }
        });
        let reads: Vec<_> = reads.collect();
        let found: Vec<_> = stream::iter(reads)
            .buffer_unordered(MAX_CONCURRENT_READS)
            .filter_map(|read| async { read })
            .collect()
            .await;
        if let Some(term) = &mut self.term {
            term.observed = found.into_iter().collect();
            term.last_observed_ms = Some(now_ms());
            term.config_version = config.version;
        }
    }

    /// Orders engines to load versions and adapters of the deployment that they lack, one engine at
    /// a time in each zone.
    fn load_missing(&mut self, engines: &[ModelEngine], config: &config::ConfigVersion) {
        for engine in engines {
            let Some(term) = &self.term else {
                return;
            };
            let Some(observed) = term.observed.get(&engine.target.id) else {
                continue;
            };
            let Some(action) = missing_action(&self.lease.model, observed, config) else {
                continue;
            };
            let is_zone_busy = self
                .active
                .values()
                .any(|active| active.zone == engine.target.zone);
            if is_zone_busy || !self.can_load(engine, engines) {
                continue;
            }
            let Some(stored) = self.stored(&engine.target.id) else {
                continue;
            };
            self.start_order(engine, stored, TaskKind::Start(action), None);
        }
    }

    fn change_roles(&mut self, engines: &[ModelEngine], config: &config::ConfigVersion) {
        let policy = &config.deployment.policy;
        let is_current = self
            .planner
            .as_ref()
            .is_some_and(|planner| planner.has_settings(policy.planner, &policy.adaptation));
        if !is_current {
            let planner = RolePlanner::new(policy.planner, policy.adaptation.clone());
            self.planner = Some(self.with_recorded_changes(planner));
        }
        let views: Vec<EngineView> = engines
            .iter()
            .map(|engine| self.engine_view(engine, engines))
            .collect();
        let changing: Vec<ids::ZoneId> = self
            .active
            .values()
            .map(|active| active.zone.clone())
            .collect();
        let Some(planner) = &mut self.planner else {
            return;
        };
        for change in planner.plan(now_ms(), &views, &changing) {
            let engine = engines
                .iter()
                .find(|engine| engine.target.id == change.target);
            let Some((engine, stored)) = engine.zip(self.stored(&change.target)) else {
                continue;
            };
            log::info!(
                "changing the role of target {} from {:?} to {:?}",
                change.target,
                change.from,
                change.to
            );
            let action = wire::OrderAction::SetRole { role: change.to };
            self.start_order(engine, stored, TaskKind::Start(action), Some(change));
        }
    }

    /// Restarts the dwell time of engines whose last order was a role change: a new planner does
    /// not know when the previous one changed the role.
    fn with_recorded_changes(&self, mut planner: RolePlanner) -> RolePlanner {
        let rows = self.term.iter().flat_map(|term| &term.rows);
        for (target, stored) in rows {
            let action = stored.row.as_ref().map(|row| &row.order.action);
            if let Some(wire::OrderAction::SetRole { .. }) = action {
                planner.record_change(now_ms(), target);
            }
        }
        planner
    }

    fn engine_view(&self, engine: &ModelEngine, engines: &[ModelEngine]) -> EngineView {
        let condition = engine.target.condition.load();
        let load = &condition.load;
        EngineView {
            target: engine.target.id.clone(),
            zone: engine.target.zone.clone(),
            role: condition.role,
            running: load.running,
            waiting: load.waiting,
            waiting_prefill_tokens: load.waiting_prefill_tokens,
            running_decode: load.running_decode,
            slots: engine.target.slots,
            is_available: self.can_change_role(engine, engines),
        }
    }

    /// Returns whether an engine in service may be interrupted for a role change now.
    fn can_change_role(&self, engine: &ModelEngine, engines: &[ModelEngine]) -> bool {
        let is_accepting = engine.target.is_accepting(now_ms());
        is_accepting && self.accepts_order(&engine.target.id) && has_alternative(engine, engines)
    }

    /// Returns whether an engine may be ordered to load now. An engine that is out of service, such
    /// as one that lacks its model, needs no alternative.
    fn can_load(&self, engine: &ModelEngine, engines: &[ModelEngine]) -> bool {
        let is_accepting = engine.target.is_accepting(now_ms());
        self.accepts_order(&engine.target.id) && (!is_accepting || has_alternative(engine, engines))
    }

    /// Returns whether the last order of a target is finished and, if it had no effect, the time
    /// until the next one has passed.
    fn accepts_order(&self, target: &ids::TargetId) -> bool {
        let Some(term) = &self.term else {
            return false;
        };
        let retry_at_ms = term.retry_at_ms.get(target);
        let is_finished = term
            .rows
            .get(target)
            .is_some_and(|stored| stored.open_row().is_none());
        is_finished
            && retry_at_ms.is_none_or(|retry_at_ms| now_ms() >= *retry_at_ms)
            && !self.active.contains_key(target)
    }

    fn stored(&self, target: &ids::TargetId) -> Option<StoredTarget> {
        self.term.as_ref()?.rows.get(target).cloned()
    }

    fn start_order(
        &mut self,
        engine: &ModelEngine,
        stored: StoredTarget,
        kind: TaskKind,
        role_change: Option<RoleChange>,
    ) {
        let Some(term) = &self.term else {
            return;
        };
        let task = OrderTask {
            lease: sync::Arc::clone(&self.lease),
            term: term.term,
            target: sync::Arc::clone(&engine.target),
            fencing: engine.fencing,
            admin_idle_close_ms: engine.admin_idle_close_ms,
        };
        let target = engine.target.id.clone();
        let active = ActiveOrder {
            zone: engine.target.zone.clone(),
            role_change,
        };
        self.active.insert(target.clone(), active);
        self.tasks
            .spawn(async move { (target, task.run(stored, kind).await) });
    }
}

impl TermState {
    fn new(term: u64) -> Self {
        Self {
            term,
            started_ms: now_ms(),
            rows: HashMap::new(),
            observed: HashMap::new(),
            last_observed_ms: None,
            config_version: 0,
            retry_at_ms: HashMap::new(),
            left_open_ms: HashMap::new(),
            logged_waits: HashSet::new(),
        }
    }

    /// Returns whether an open order that its target does not know may be replaced now: the
    /// replaced order must not be able to take effect after its replacement.
    fn may_replace(
        &mut self,
        lease: &ModelLease,
        engine: &ModelEngine,
        row: &order::TargetRow,
    ) -> bool {
        let timers = lease::timers(&lease.state);
        let wait = order::takeover_wait(engine.fencing, engine.admin_idle_close_ms, &timers);
        // The wait starts when the grant under which the order could be sent has ended.
        let from_ms = match row.term == self.term {
            true => self.left_open_ms.get(&engine.target.id).copied(),
            false => Some(self.started_ms),
        };
        match wait {
            TakeoverWait::Time(wait_ms) => now_ms() >= from_ms.unwrap_or(self.started_ms) + wait_ms,
            TakeoverWait::Confirmation => {
                if self.logged_waits.insert(engine.target.id.clone()) {
                    log::error!(
                        "target {} ignores fencing tokens and has no admin_idle_close_ms: its \
                         open order {} waits for confirm_takeover by an operator",
                        engine.target.id,
                        row.order.order_id
                    );
                }
                false
            }
        }
    }
}

/// Returns whether another engine of the model is in service, or the model has only this engine.
fn has_alternative(engine: &ModelEngine, engines: &[ModelEngine]) -> bool {
    let now_ms = now_ms();
    let mut others = engines
        .iter()
        .filter(|other| other.target.id != engine.target.id);
    engines.len() == 1 || others.any(|other| other.target.is_accepting(now_ms))
}

/// Returns the action that replaces an open order: the same one, or the configured state if the
/// configuration no longer asks for that action.
fn replacement_action(
    action: &wire::OrderAction,
    target: &ids::TargetId,
    config: &config::ConfigVersion,
) -> wire::OrderAction {
    let deployment = &config.deployment;
    match action {
        wire::OrderAction::SetRole { .. }
            if deployment.policy.planner == settings::PlannerPolicy::Off =>
        {
            let engine = deployment
                .engines
                .iter()
                .find(|engine| engine.name == *target);
            engine.map_or(action.clone(), |engine| wire::OrderAction::SetRole {
                role: engine.role,
            })
        }
        wire::OrderAction::LoadModel { model, .. } => {
            let entry = deployment.models.iter().find(|entry| entry.name == *model);
            entry.map_or(action.clone(), |entry| wire::OrderAction::LoadModel {
                model: model.clone(),
                version: entry.version.clone(),
            })
        }
        _ => action.clone(),
    }
}

/// Returns the first action that is needed to load what the deployment names.
fn missing_action(
    model: &ids::ModelId,
    observed: &wire::EngineState,
    config: &config::ConfigVersion,
) -> Option<wire::OrderAction> {
    let models = &config.deployment.models;
    let entry = models.iter().find(|entry| entry.name == *model)?;
    if observed.switching.is_some() {
        return None;
    }
    let load = wire::OrderAction::LoadModel {
        model: model.clone(),
        version: entry.version.clone(),
    };
    if !order::is_satisfied(&load, observed) {
        return Some(load);
    }
    let adapters = entry.adapters.iter();
    let mut loads = adapters.map(|adapter| wire::OrderAction::LoadAdapter {
        model: model.clone(),
        adapter: adapter.clone(),
    });
    loads.find(|load| !order::is_satisfied(load, observed))
}

/// Counts a completed role change. The previous role is unknown if an earlier holder ordered the
/// change and the engine already had the new role.
fn count_role_change(model: &ids::ModelId, change: &RoleChange) {
    let role_name = |role: settings::EngineRole| match role {
        settings::EngineRole::Mixed => "mixed",
        settings::EngineRole::Prefill => "prefill",
        settings::EngineRole::Decode => "decode",
    };
    let from = match change.from == change.to {
        true => "unknown",
        false => role_name(change.from),
    };
    metrics::counter!(
        names::ROLE_CHANGES,
        "model" => model.to_string(), "from" => from, "to" => role_name(change.to)
    )
    .increment(1);
}
