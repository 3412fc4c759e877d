//! What the holder of a model's lease does: recovery, orders of the deployment, role changes.

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
    task::{self, OrderEnd, OrderTask, TaskKind},
};
use crate::{
    config, process,
    table::TableError,
    target::{TargetKind, TargetState, now_ms},
    telemetry::names,
};

/// Reads of rows or engine states under way at once.
const CONCURRENT_READS: usize = 8;

/// One engine of the model, as configured.
#[derive(Clone)]
struct ModelEngine {
    target: sync::Arc<TargetState>,
    fencing: settings::FencingSupport,
    admin_idle_close_ms: Option<u64>,
}

/// A change under way.
struct ActiveChange {
    zone: ids::ZoneId,
    role_change: Option<RoleChange>,
}

/// What is known in one term.
struct TermState {
    term: u64,
    taken_ms: u64,
    rows: HashMap<ids::TargetId, StoredTarget>,
    observed: HashMap<ids::TargetId, wire::EngineState>,
    surveyed_ms: Option<u64>,
    config_version: u64,
    /// Time from which an order may be tried again after one without effect.
    retry_ms: HashMap<ids::TargetId, u64>,
    /// Time at which an order was left open in this term.
    left_open_ms: HashMap<ids::TargetId, u64>,
    /// Targets whose wait for an operator is logged.
    announced: HashSet<ids::TargetId>,
}

/// The holder's part for one model.
pub(super) struct ModelController {
    lease: sync::Arc<ModelLease>,
    term: Option<TermState>,
    planner: Option<RolePlanner>,
    active: HashMap<ids::TargetId, ActiveChange>,
    tasks: JoinSet<(ids::TargetId, OrderEnd)>,
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

    /// Whether no order is under way.
    pub(super) fn is_idle(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Does what is due. Called about once a second.
    pub(super) async fn step(&mut self) {
        self.reap();
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
            log::warn!("rows of model {} not read: {error}", self.lease.model);
            return;
        }
        self.finish_open(&engines, &config);
        self.survey(&engines, &config).await;
        self.order_missing(&engines, &config);
        self.change_roles(&engines, &config);
    }

    fn state(&self) -> &process::ProcessState {
        &self.lease.state
    }

    /// Engines of the model in the deployment in force.
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

    /// Takes the results of ended orders.
    fn reap(&mut self) {
        while let Some(ended) = self.tasks.try_join_next() {
            let Ok((target, end)) = ended else {
                log::error!("an order's task of model {} failed", self.lease.model);
                self.active.clear();
                self.term = None;
                continue;
            };
            let active = self.active.remove(&target);
            let change = active.and_then(|active| active.role_change);
            if let (OrderEnd::Done, Some(change)) = (end, change) {
                count_role_change(&self.lease.model, &change);
            }
            let retry_ms = now_ms() + self.state().settings.timers.lease_ttl_ms;
            let Some(term) = &mut self.term else {
                continue;
            };
            term.rows.remove(&target);
            term.surveyed_ms = None;
            match end {
                OrderEnd::Done => drop(term.retry_ms.remove(&target)),
                OrderEnd::Open => drop(term.left_open_ms.insert(target, now_ms())),
                OrderEnd::Waiting => {}
                OrderEnd::Failed | OrderEnd::NotSent | OrderEnd::StillBusy => {
                    term.retry_ms.insert(target, retry_ms);
                }
            }
        }
    }

    /// Reads the rows that are not known in this term. No order is given before all are known.
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
        let mut reads = stream::iter(reads).buffer_unordered(CONCURRENT_READS);
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

    /// Brings open orders of earlier terms, and own ones with a lost end, to their end.
    fn finish_open(&mut self, engines: &[ModelEngine], config: &config::ConfigVersion) {
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
            let action = wanted_action(&row.order.action, target, config);
            let role_change = match &row.order.action {
                wire::OrderAction::SetRole { role } => Some(RoleChange {
                    target: target.clone(),
                    from: engine.target.condition.load().role,
                    to: *role,
                }),
                _ => None,
            };
            let kind = TaskKind::Finish(may_replace.then_some(action));
            self.start(engine, stored, kind, role_change);
        }
    }

    /// Reads the states of the engines, after a change of the configuration and once a renewal
    /// interval.
    async fn survey(&mut self, engines: &[ModelEngine], config: &config::ConfigVersion) {
        let interval_ms = self.state().settings.timers.lease_renewal_ms;
        let Some(term) = &self.term else {
            return;
        };
        let is_due = term
            .surveyed_ms
            .is_none_or(|surveyed_ms| now_ms() >= surveyed_ms + interval_ms);
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
            .buffer_unordered(CONCURRENT_READS)
            .filter_map(|found| async { found })
            .collect()
            .await;
        if let Some(term) = &mut self.term {
            term.observed = found.into_iter().collect();
            term.surveyed_ms = Some(now_ms());
            term.config_version = config.version;
        }
    }

    /// Orders versions and adapters that the deployment names and an engine lacks: one engine at a
    /// time in each zone.
    fn order_missing(&mut self, engines: &[ModelEngine], config: &config::ConfigVersion) {
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
            if is_zone_busy || !self.may_load(engine, engines) {
                continue;
            }
            let Some(stored) = self.stored(&engine.target.id) else {
                continue;
            };
            self.start(engine, stored, TaskKind::Start(action), None);
        }
    }

    fn change_roles(&mut self, engines: &[ModelEngine], config: &config::ConfigVersion) {
        let policy = &config.deployment.policy;
        let is_current = self
            .planner
            .as_ref()
            .is_some_and(|planner| planner.is_for(policy.planner, &policy.adaptation));
        if !is_current {
            let planner = RolePlanner::new(policy.planner, policy.adaptation.clone());
            self.planner = Some(self.with_earlier_changes(planner));
        }
        let views: Vec<EngineView> = engines
            .iter()
            .map(|engine| self.view(engine, engines))
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
                "planner: target {} from {:?} to {:?}",
                change.target,
                change.from,
                change.to
            );
            let action = wire::OrderAction::SetRole { role: change.to };
            self.start(engine, stored, TaskKind::Start(action), Some(change));
        }
    }

    /// A new planner does not know when its predecessor changed a role: the dwell time of an engine
    /// whose last order was a role change starts anew.
    fn with_earlier_changes(&self, mut planner: RolePlanner) -> RolePlanner {
        let rows = self.term.iter().flat_map(|term| &term.rows);
        for (target, stored) in rows {
            let action = stored.row.as_ref().map(|row| &row.order.action);
            if let Some(wire::OrderAction::SetRole { .. }) = action {
                planner.record_change(now_ms(), target);
            }
        }
        planner
    }

    fn view(&self, engine: &ModelEngine, engines: &[ModelEngine]) -> EngineView {
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
            is_available: self.may_take_away(engine, engines),
        }
    }

    /// Whether an engine in service may be taken away now.
    fn may_take_away(&self, engine: &ModelEngine, engines: &[ModelEngine]) -> bool {
        let is_accepting = engine.target.is_accepting(now_ms());
        is_accepting && self.is_free(&engine.target.id) && has_other(engine, engines)
    }

    /// Whether a version or an adapter may be ordered now. An engine that is out of service, such
    /// as one that lacks its model, is not missed.
    fn may_load(&self, engine: &ModelEngine, engines: &[ModelEngine]) -> bool {
        let is_accepting = engine.target.is_accepting(now_ms());
        self.is_free(&engine.target.id) && (!is_accepting || has_other(engine, engines))
    }

    /// Whether the last order of a target is finished and was not in vain a moment ago.
    fn is_free(&self, target: &ids::TargetId) -> bool {
        let Some(term) = &self.term else {
            return false;
        };
        let retry_ms = term.retry_ms.get(target);
        let is_finished = term
            .rows
            .get(target)
            .is_some_and(|stored| stored.open_row().is_none());
        is_finished
            && retry_ms.is_none_or(|retry_ms| now_ms() >= *retry_ms)
            && !self.active.contains_key(target)
    }

    fn stored(&self, target: &ids::TargetId) -> Option<StoredTarget> {
        self.term.as_ref()?.rows.get(target).cloned()
    }

    fn start(
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
        let active = ActiveChange {
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
            taken_ms: now_ms(),
            rows: HashMap::new(),
            observed: HashMap::new(),
            surveyed_ms: None,
            config_version: 0,
            retry_ms: HashMap::new(),
            left_open_ms: HashMap::new(),
            announced: HashSet::new(),
        }
    }

    /// Whether an open order that its target does not know may be replaced now, so that the
    /// replaced one can no longer take effect after its successor.
    fn may_replace(
        &mut self,
        lease: &ModelLease,
        engine: &ModelEngine,
        row: &order::TargetRow,
    ) -> bool {
        let timers = lease::timers(&lease.state);
        let wait = order::takeover_wait(engine.fencing, engine.admin_idle_close_ms, &timers);
        // The wait counts from the end of the authority under which the order may be written.
        let from_ms = match row.term == self.term {
            true => self.left_open_ms.get(&engine.target.id).copied(),
            false => Some(self.taken_ms),
        };
        match wait {
            TakeoverWait::Time(wait_ms) => now_ms() >= from_ms.unwrap_or(self.taken_ms) + wait_ms,
            TakeoverWait::Confirmation => {
                if self.announced.insert(engine.target.id.clone()) {
                    log::error!(
                        "target {} ignores fencing numbers and has no admin_idle_close_ms: its \
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

/// Whether the model keeps another engine in service, or has no other one.
fn has_other(engine: &ModelEngine, engines: &[ModelEngine]) -> bool {
    let now_ms = now_ms();
    let mut others = engines
        .iter()
        .filter(|other| other.target.id != engine.target.id);
    engines.len() == 1 || others.any(|other| other.target.is_accepting(now_ms))
}

/// What an open order is replaced by: itself, or the configured state when the configuration no
/// longer asks for it.
fn wanted_action(
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

/// The first order that brings an engine to what the deployment names.
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
    if !order::is_in_force(&load, observed) {
        return Some(load);
    }
    let adapters = entry.adapters.iter();
    let mut loads = adapters.map(|adapter| wire::OrderAction::LoadAdapter {
        model: model.clone(),
        adapter: adapter.clone(),
    });
    loads.find(|load| !order::is_in_force(load, observed))
}

/// Counts a completed change; the former role is not known when a predecessor ordered it and the
/// engine already had the new one.
fn count_role_change(model: &ids::ModelId, change: &RoleChange) {
    let name = |role: settings::EngineRole| match role {
        settings::EngineRole::Mixed => "mixed",
        settings::EngineRole::Prefill => "prefill",
        settings::EngineRole::Decode => "decode",
    };
    let from = match change.from == change.to {
        true => "unknown",
        false => name(change.from),
    };
    metrics::counter!(
        names::ROLE_CHANGES,
        "model" => model.to_string(), "from" => from, "to" => name(change.to)
    )
    .increment(1);
}
