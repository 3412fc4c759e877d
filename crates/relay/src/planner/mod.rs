//! Stage changes of engines, planned and ordered by the daemon that holds the lease.

mod order;

use std::{collections::HashMap, rc, time::Duration};

use acaciabank_core::{placement::EngineStage, stage_planner};

use crate::{capacity, clock, config, platform, state, target};

/// Interval between planning rounds of the daemon that holds the lease.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an order without a response can no longer take effect.
const UNKNOWN_ORDER_MS: u64 = 13_000;

/// Orders that are sent concurrently: each takes a connection and processor time, which small hosts
/// are short of.
const MAX_CONCURRENT_ORDERS: usize = 32;
/// Time between reporting that an engine changes its stage and sending the order, in which the
/// other daemons stop sending requests to it and those in flight start.
const ORDER_DELAY: Duration = Duration::from_millis(300);
/// Time after a stage change in which the platform may still list the old stage: two heartbeats of
/// an engine.
const LIST_LAG_MS: u64 = 3_000;
/// Time for which an engine is unavailable while it changes its stage, in addition to the
/// configured time.
const SWITCH_SLACK_MS: u64 = 300;

/// Plans stage changes while this daemon holds the lease.
pub async fn run<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
) {
    let mut task = PlannerTask {
        state,
        planners: HashMap::new(),
        changed_ms: HashMap::new(),
    };
    loop {
        task.state.lease.wait_held().await;
        if task.state.phase.get() == state::RelayPhase::Draining {
            return;
        }
        task.plan().await;
        tokio::time::sleep(PLAN_INTERVAL).await;
    }
}

struct PlannerTask<Codec, Store> {
    state: state::SharedState<Codec, Store>,
    planners: HashMap<String, stage_planner::StagePlanner>,
    /// By hash of the engine: the time of its last order, or the time until which that order may
    /// still take effect if its outcome is unknown.
    changed_ms: HashMap<u64, u64>,
}

impl<Codec: platform::MessageCodec, Store: platform::PlatformStore> PlannerTask<Codec, Store> {
    /// Plans stage changes and sends the orders.
    async fn plan(&mut self) {
        let Some(config) = self.state.config() else {
            return;
        };
        for spec in config.engine_services() {
            let Some(engine) = &spec.engine else {
                continue;
            };
            let engines = self.engine_statuses(spec);
            let planner = self.planners.entry(spec.name.clone()).or_default();
            let changes = planner.next_changes(clock::now_ms(), &engines);
            if self.state.lease.grant(clock::now_ms()).is_none() {
                return;
            }
            let orders = changes
                .iter()
                .take(MAX_CONCURRENT_ORDERS)
                .filter_map(|change| {
                    let target = self
                        .state
                        .targets
                        .borrow()
                        .by_hash(change.target_hash)
                        .cloned()?;
                    if target.is_blocked(clock::now_ms()) {
                        return None;
                    }
                    let state = rc::Rc::clone(&self.state);
                    Some(change_stage(state, target, change.to, engine.switch_ms))
                });
            let outcomes = futures::future::join_all(orders).await;
            self.changed_ms.extend(outcomes.into_iter().flatten());
        }
    }

    /// Returns the engines of a service that neither boot nor drain nor leave, with their load from
    /// all daemons.
    fn engine_statuses(&self, spec: &config::ServiceSpec) -> Vec<stage_planner::EngineStatus> {
        let now_ms = clock::now_ms();
        self.state.peers.borrow_mut().refresh_loads(now_ms);
        let targets = self.state.targets.borrow();
        let peers = self.state.peers.borrow();
        let active = targets.of_service(&spec.name).iter();
        let active = active.filter(|target| {
            let is_staying = !target.is_draining.get() && !target.is_leaving();
            is_staying && !capacity::is_booting(spec, &self.state, target)
        });
        let status = |target: &rc::Rc<target::TargetState>| {
            let peer_load = peers.load_of(target.hash);
            Some(stage_planner::EngineStatus {
                target_hash: target.hash,
                zone_hash: target.zone_hash,
                stage: target.stage(now_ms)?,
                is_switching: target.switching_until_ms.get() > now_ms,
                is_reachable: !target.detector.borrow().is_unreachable(now_ms),
                running: peer_load.running + target.running.get(),
                backlog_tokens: peer_load.backlog.tokens() + target.backlog.get().tokens(),
                slots: target.entry.slots,
                changed_ms: self.changed_ms.get(&target.hash).copied(),
            })
        };
        active.filter_map(status).collect()
    }
}

/// Orders an engine to change its stage. If sending was attempted, returns the hash of the engine
/// and the time to keep for it in [`PlannerTask::changed_ms`].
async fn change_stage<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
    target: rc::Rc<target::TargetState>,
    to: EngineStage,
    switch_ms: u64,
) -> Option<(u64, u64)> {
    let report = match order::read_report(&state, &target).await {
        Ok(report) => report,
        Err(error) => {
            log::info!(target_id = target.entry.id.as_str(), error = error.as_str(); "report_failed");
            return None;
        }
    };
    if report.is_busy || report.stage == Some(to) {
        target
            .switching_until_ms
            .set(clock::now_ms() + SWITCH_SLACK_MS);
        set_ordered_stage(&target, to, clock::now_ms() + LIST_LAG_MS);
        return None;
    }
    let now_ms = clock::now_ms();
    target.last_order_ms.set(Some(now_ms));
    let delay_ms = ORDER_DELAY.as_millis() as u64;
    target
        .switching_until_ms
        .set(now_ms + delay_ms + SWITCH_SLACK_MS);
    state.report_now.notify_one();
    // Waits until requests in flight have reached the engine, so that it does not refuse them.
    tokio::time::sleep(ORDER_DELAY).await;
    let Some(grant) = state.lease.grant(clock::now_ms()) else {
        target.switching_until_ms.set(now_ms);
        return None;
    };
    let order = platform::StageOrder {
        target_id: &target.entry.id,
        holder: &state.settings.host,
        fencing_token: grant.token.to_fencing_token(),
        stage: to,
        expected_orders: report.orders,
    };
    let response = order::send_order(&state, &target, &order, grant.act_until_ms).await;
    log::info!(
        target_id = target.entry.id.as_str(), stage:? = to, fence:% = grant.token,
        orders = report.orders, answer:? = response;
        "order"
    );
    match response {
        platform::OrderResponse::Accepted | platform::OrderResponse::InForce => {
            let available_ms = clock::now_ms() + switch_ms + SWITCH_SLACK_MS;
            target.switching_until_ms.set(available_ms);
            set_ordered_stage(&target, to, available_ms + LIST_LAG_MS);
            state.report_now.notify_one();
        }
        platform::OrderResponse::Refused | platform::OrderResponse::Unsent => {
            target.switching_until_ms.set(now_ms);
        }
        // The order may still take effect. Until it no longer can, the engine gets requests but no
        // other order.
        platform::OrderResponse::Unknown => {
            target.switching_until_ms.set(now_ms + SWITCH_SLACK_MS);
            return Some((target.hash, now_ms + UNKNOWN_ORDER_MS));
        }
    }
    Some((target.hash, now_ms))
}

/// Uses an ordered stage instead of the listed one until a given time.
fn set_ordered_stage(target: &target::TargetState, stage: EngineStage, until_ms: u64) {
    target
        .ordered
        .set(Some(target::OrderedStage { stage, until_ms }));
}
