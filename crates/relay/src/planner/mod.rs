//! Stage changes of engines, ordered by the one daemon that holds the lease.

mod order;

use std::{collections::HashMap, rc, time::Duration};

use acaciabank_core::{lease, place::EngineStage, stage};
use acaciabank_protocol::ids;

use crate::{clock, edge, scheduler, state, target};

/// Name of the lease.
const LEASE_NAME: &str = "stages";
/// Time between two looks at the engines and the lease.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// The same while another daemon may hold the lease, as every look reads the store.
const CHALLENGE_INTERVAL: Duration = Duration::from_millis(1_500);
/// The holder acts for `ttl - margin` after a renewal; a challenger waits `ttl + margin` after it
/// has first seen the row. Orders of two holders are therefore at least two margins apart, which is
/// over the three seconds that engines without a check of fencing tokens need.
const LEASE_TIMERS: lease::LeaseTimers = lease::LeaseTimers {
    ttl_ms: 4_000,
    renewal_ms: 1_200,
    margin_ms: 1_600,
};
/// Time by which the second candidate waits longer than the first.
const SECOND_WAIT_MS: u64 = 2_000;
/// Time after which an order without an answer can no longer be carried out.
const OPEN_ORDER_MS: u64 = 13_000;

/// Orders that are sent side by side: each takes a connection and some time of a small host.
const MAX_ORDERS: usize = 32;
/// Time between the news that an engine changes its stage and the order: the other daemons stop
/// sending, and what they have sent starts.
const LEAVE_TIME: Duration = Duration::from_millis(300);
/// Time after a change of a stage within which the platform's list may still show the old one: two
/// heartbeats of an engine.
const LIST_LAG_MS: u64 = 3_000;
/// Time for which an engine is away while it changes its stage, besides what the platform states.
const SWITCH_SLACK_MS: u64 = 300;

/// Plans stage changes while this daemon holds the lease.
pub async fn run<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: state::SharedState<Codec, Store>,
) {
    let daemon = ids::DaemonId::new(state.settings.host.as_str());
    let mut task = PlannerTask {
        seat: lease::LeaseSeat::new(daemon, state.boot_id, LEASE_TIMERS),
        state,
        planners: HashMap::new(),
        changed: HashMap::new(),
        is_holder: false,
    };
    loop {
        let interval = match task.is_holder {
            true => LOOK_INTERVAL,
            false => CHALLENGE_INTERVAL,
        };
        tokio::time::sleep(interval).await;
        if task.state.phase.get() == state::RelayPhase::Draining {
            return;
        }
        task.look().await;
    }
}

struct PlannerTask<Codec, Store> {
    state: state::SharedState<Codec, Store>,
    seat: lease::LeaseSeat,
    planners: HashMap<String, stage::StagePlanner>,
    /// Times until which an engine gets no further order, by its short name, and of its last order.
    changed: HashMap<u64, u64>,
    is_holder: bool,
}

impl<Codec: edge::CodecEdge, Store: edge::StoreEdge> PlannerTask<Codec, Store> {
    async fn look(&mut self) {
        let rank = scheduler::position(&self.state, clock::now_ms());
        if !self.is_holder && (rank > 1 || self.state.config().is_none()) {
            return;
        }
        self.keep_lease(rank as u64 * SECOND_WAIT_MS).await;
        let may_act = self.seat.may_act(clock::now_ms());
        if may_act != self.is_holder {
            self.is_holder = may_act;
            log::info!(holder = may_act, lease = LEASE_NAME; "lease");
        }
        if may_act {
            self.plan().await;
        }
    }

    async fn keep_lease(&mut self, extra_wait_ms: u64) {
        let store = &self.state.store;
        let mut step = self.seat.on_time(clock::now_ms());
        if step == lease::LeaseStep::Read {
            step = match store.read_lease(LEASE_NAME).await {
                Ok(row) => self
                    .seat
                    .on_read(clock::now_ms(), row.as_ref(), extra_wait_ms),
                Err(error) => {
                    log::debug!("lease: {error}");
                    lease::LeaseStep::Wait
                }
            };
        }
        let lease::LeaseStep::Write(write) = step else {
            return;
        };
        let sent_ms = clock::now_ms();
        let written = store.write_lease(LEASE_NAME, &write).await;
        let (result, version) = match written {
            Ok(Some(version)) => (lease::WriteResult::Committed, Some(version)),
            Ok(None) => (lease::WriteResult::Conflict, None),
            Err(edge::StoreError::Status(_)) => (lease::WriteResult::Unavailable, None),
            Err(_) => (lease::WriteResult::Unknown, None),
        };
        self.seat.on_written(sent_ms, &write, result);
        if let Some(version) = version {
            self.seat.record_version(version);
        }
    }

    async fn plan(&mut self) {
        let Some(config) = self.state.config() else {
            return;
        };
        for spec in config.engine_services() {
            let Some(engine) = &spec.engine else {
                continue;
            };
            let duties = self.duties(&spec.name);
            let planner = self.planners.entry(spec.name.clone()).or_default();
            let changes = planner.next_changes(clock::now_ms(), &duties);
            let Some(grant) = self.seat.grant(clock::now_ms()) else {
                return;
            };
            let orders = changes.iter().take(MAX_ORDERS).filter_map(|change| {
                let target = self
                    .state
                    .targets
                    .borrow()
                    .by_hash(change.target)
                    .cloned()?;
                let state = rc::Rc::clone(&self.state);
                Some(change_stage(
                    state,
                    target,
                    change.to,
                    engine.switch_ms,
                    grant,
                ))
            });
            let ended = futures::future::join_all(orders).await;
            self.changed.extend(ended.into_iter().flatten());
        }
    }

    fn duties(&self, service: &str) -> Vec<stage::EngineDuty> {
        let now_ms = clock::now_ms();
        self.state.peers.borrow_mut().refresh_loads(now_ms);
        let targets = self.state.targets.borrow();
        let peers = self.state.peers.borrow();
        let staying = targets.of_service(service).iter();
        let staying = staying.filter(|target| !target.is_leaving.get());
        let duty = |target: &rc::Rc<target::TargetState>| {
            let others = peers.load_of(target.hash);
            Some(stage::EngineDuty {
                target: target.hash,
                zone: target.zone_hash,
                stage: target.stage(now_ms)?,
                is_switching: target.away_until_ms.get() > now_ms,
                running: others.running + target.running.get(),
                backlog_tokens: others.backlog + target.backlog.get(),
                slots: target.entry.slots,
                changed_ms: self.changed.get(&target.hash).copied(),
            })
        };
        staying.filter_map(duty).collect()
    }
}

/// Has one engine change its stage; returns its short name and the time until which it gets no other
/// order, if one was sent.
async fn change_stage<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
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
        target.away_until_ms.set(clock::now_ms() + SWITCH_SLACK_MS);
        set_ordered(&target, to, clock::now_ms() + LIST_LAG_MS);
        return None;
    }
    let now_ms = clock::now_ms();
    let terms = edge::OrderTerms {
        target_id: &target.entry.id,
        holder: &state.settings.host,
        fence: grant.term,
        stage: to,
        expected_orders: report.orders,
    };
    target.ordered_here_ms.set(Some(now_ms));
    let leave_ms = LEAVE_TIME.as_millis() as u64;
    target
        .away_until_ms
        .set(now_ms + leave_ms + SWITCH_SLACK_MS);
    state.report_now.notify_one();
    // Requests that are under way to the engine are not refused by it.
    tokio::time::sleep(LEAVE_TIME).await;
    let answer = order::send_order(&state, &target, &terms, grant.act_until_ms).await;
    log::info!(
        target_id = target.entry.id.as_str(), stage:? = to, fence = grant.term,
        orders = report.orders, answer:? = answer;
        "order"
    );
    match answer {
        edge::OrderAnswer::Accepted | edge::OrderAnswer::InForce => {
            let back_ms = clock::now_ms() + switch_ms + SWITCH_SLACK_MS;
            target.away_until_ms.set(back_ms);
            set_ordered(&target, to, back_ms + LIST_LAG_MS);
            state.report_now.notify_one();
        }
        edge::OrderAnswer::Refused | edge::OrderAnswer::Unsent => {
            target.away_until_ms.set(now_ms);
        }
        // It may be carried out later; until then the engine works and gets no other order.
        edge::OrderAnswer::Unknown => {
            target.away_until_ms.set(now_ms + SWITCH_SLACK_MS);
            return Some((target.hash, now_ms + OPEN_ORDER_MS));
        }
    }
    Some((target.hash, now_ms))
}

fn set_ordered(target: &target::TargetState, stage: EngineStage, until_ms: u64) {
    target
        .ordered
        .set(Some(target::OrderedStage { stage, until_ms }));
}
