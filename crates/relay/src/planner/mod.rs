//! Stage changes of engines, planned and ordered by the daemon that holds the lease.

mod order;

use std::{collections::HashMap, rc, time::Duration};

use acaciabank_core::{lease, placement::EngineStage, stage_planner};
use acaciabank_protocol::ids;

use crate::{clock, platform, scheduler, state, target};

/// Name of the lease in the store.
const LEASE_NAME: &str = "stages";
/// Interval between planning rounds of the lease holder, which also renew the lease.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which other daemons check the lease; longer, as every check reads the store.
const CHALLENGE_INTERVAL: Duration = Duration::from_millis(1_500);
/// The holder acts for `ttl - margin` after a renewal; a challenger waits `ttl + margin` after it
/// first saw the row. Orders of two holders are therefore at least two margins apart: more than the
/// three seconds that engines need if they do not check fencing tokens.
const LEASE_TIMERS: lease::LeaseTimers = lease::LeaseTimers {
    ttl_ms: 4_000,
    renewal_ms: 1_200,
    margin_ms: 1_600,
};
/// Time by which the second candidate for the lease waits longer than the first.
const STANDBY_DELAY_MS: u64 = 2_000;
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
    let daemon = ids::DaemonId::new(state.settings.host.as_str());
    let mut task = PlannerTask {
        elector: lease::LeaseElector::new(daemon, state.boot_id, LEASE_TIMERS),
        state,
        planners: HashMap::new(),
        changed_ms: HashMap::new(),
        is_holder: false,
    };
    loop {
        let interval = match task.is_holder {
            true => PLAN_INTERVAL,
            false => CHALLENGE_INTERVAL,
        };
        tokio::time::sleep(interval).await;
        if task.state.phase.get() == state::RelayPhase::Draining {
            return;
        }
        task.run_round().await;
    }
}

struct PlannerTask<Codec, Store> {
    state: state::SharedState<Codec, Store>,
    elector: lease::LeaseElector,
    planners: HashMap<String, stage_planner::StagePlanner>,
    /// By hash of the engine: the time of its last order, or the time until which that order may
    /// still take effect if its outcome is unknown.
    changed_ms: HashMap<u64, u64>,
    is_holder: bool,
}

impl<Codec: platform::MessageCodec, Store: platform::PlatformStore> PlannerTask<Codec, Store> {
    /// Maintains the lease and, while this daemon holds it, plans and sends orders. Only the first
    /// two candidates compete for the lease.
    async fn run_round(&mut self) {
        let rank = scheduler::own_rank(&self.state, clock::now_ms());
        if !self.is_holder && (rank > 1 || self.state.config().is_none()) {
            return;
        }
        self.maintain_lease(rank as u64 * STANDBY_DELAY_MS).await;
        let may_act = self.elector.may_act(clock::now_ms());
        if may_act != self.is_holder {
            self.is_holder = may_act;
            log::info!(holder = may_act, lease = LEASE_NAME; "lease");
        }
        if may_act {
            self.plan().await;
        }
    }

    /// Reads, acquires or renews the lease, whichever is due.
    async fn maintain_lease(&mut self, extra_wait_ms: u64) {
        let store = &self.state.store;
        let mut step = self.elector.on_tick(clock::now_ms());
        if step == lease::LeaseStep::Read {
            step = match store.read_lease(LEASE_NAME).await {
                Ok(read) => self.elector.on_read(clock::now_ms(), &read, extra_wait_ms),
                Err(error) => {
                    log::debug!("cannot read lease {LEASE_NAME}: {error}");
                    lease::LeaseStep::Wait
                }
            };
        }
        let lease::LeaseStep::Write(write) = step else {
            return;
        };
        let sent_ms = clock::now_ms();
        let written = store.write_lease(LEASE_NAME, &write).await;
        let result = match written {
            Ok(Some(version)) => lease::WriteResult::Committed(version),
            Ok(None) => lease::WriteResult::Conflict,
            Err(platform::StoreError::Status(_)) => lease::WriteResult::Unavailable,
            Err(_) => lease::WriteResult::Unknown,
        };
        self.elector.on_written(sent_ms, &write, result);
    }

    async fn plan(&mut self) {
        let Some(config) = self.state.config() else {
            return;
        };
        for spec in config.engine_services() {
            let Some(engine) = &spec.engine else {
                continue;
            };
            let engines = self.engine_statuses(&spec.name);
            let planner = self.planners.entry(spec.name.clone()).or_default();
            let changes = planner.next_changes(clock::now_ms(), &engines);
            let Some(grant) = self.elector.grant(clock::now_ms()) else {
                return;
            };
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
                    Some(change_stage(
                        state,
                        target,
                        change.to,
                        engine.switch_ms,
                        grant,
                    ))
                });
            let outcomes = futures::future::join_all(orders).await;
            self.changed_ms.extend(outcomes.into_iter().flatten());
        }
    }

    /// Returns the engines of a service that neither drain nor leave, with their load from all daemons.
    fn engine_statuses(&self, service: &str) -> Vec<stage_planner::EngineStatus> {
        let now_ms = clock::now_ms();
        self.state.peers.borrow_mut().refresh_loads(now_ms);
        let targets = self.state.targets.borrow();
        let peers = self.state.peers.borrow();
        let active = targets.of_service(service).iter();
        let active = active.filter(|target| !target.is_draining.get() && !target.is_leaving());
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
    grant: lease::LeaseGrant,
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
    let order = platform::StageOrder {
        target_id: &target.entry.id,
        holder: &state.settings.host,
        fencing_token: grant.token.to_fencing_token(),
        stage: to,
        expected_orders: report.orders,
    };
    target.last_order_ms.set(Some(now_ms));
    let delay_ms = ORDER_DELAY.as_millis() as u64;
    target
        .switching_until_ms
        .set(now_ms + delay_ms + SWITCH_SLACK_MS);
    state.report_now.notify_one();
    // Waits until requests in flight have reached the engine, so that it does not refuse them.
    tokio::time::sleep(ORDER_DELAY).await;
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
