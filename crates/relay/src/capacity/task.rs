//! Plans and sends orders while this daemon holds the lease.

use std::{collections::BTreeMap, time::Duration};

use acaciabank_core::capacity::{
    CapacityPlanner, EngineKind, EngineSpeeds, FleetOrder, FleetTarget, OrderAnswer,
};
use futures::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};

use super::fleet;
use crate::{clock, config, control, dispatch, platform, state};

/// Interval between planning rounds: that of the daemons' reports.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Plans and sends orders whenever this daemon holds the lease, until it stops. Does nothing if the
/// settings do not name the task.
pub async fn run<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
) {
    if !state.settings.control_tasks.capacity || state.settings.control_address.is_none() {
        return;
    }
    loop {
        state.lease.wait_held().await;
        let mut holder = CapacityHolder {
            state: &state,
            planners: BTreeMap::new(),
            in_flight: FuturesUnordered::new(),
        };
        holder.run().await;
        if state.phase.get() == state::RelayPhase::Draining {
            return;
        }
    }
}

/// An order that has been answered.
struct AnsweredOrder {
    service: String,
    order: FleetOrder,
    response: platform::ControlResponse,
}

/// State of one term as the holder of the lease. The next holder continues from the list of
/// engines.
struct CapacityHolder<'a, Codec, Store> {
    state: &'a state::SharedState<Codec, Store>,
    /// Planners by service.
    planners: BTreeMap<String, CapacityPlanner>,
    /// Orders that are being sent. They end with the term: a call that has not been written yet
    /// must not be written later.
    in_flight: FuturesUnordered<LocalBoxFuture<'a, AnsweredOrder>>,
}

impl<Codec: platform::MessageCodec, Store: platform::PlatformStore>
    CapacityHolder<'_, Codec, Store>
{
    /// Plans until this daemon no longer holds the lease or stops.
    async fn run(&mut self) {
        let token = |state: &state::RelayState<Codec, Store>| {
            let grant = state.lease.grant(clock::now_ms());
            grant.map(|grant| grant.token)
        };
        let own_token = token(self.state);
        let mut interval = tokio::time::interval(PLAN_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(answered) = self.in_flight.next() => self.record(&answered),
                _ = interval.tick() => {
                    let is_holder = own_token.is_some() && token(self.state) == own_token;
                    if !is_holder || self.state.phase.get() == state::RelayPhase::Draining {
                        break;
                    }
                    self.plan();
                }
            }
        }
        self.clear_gauges();
    }

    /// Plans the engines of all services that are scaled, and starts to send the orders.
    fn plan(&mut self) {
        let Some(config) = self.state.config() else {
            return;
        };
        let now_ms = clock::now_ms();
        let state = self.state;
        let own = state.capacity.report();
        let source = state.daemon_hash ^ state.boot_id;
        state.capacity.record(&own, source, now_ms);
        for spec in config.engine_services() {
            let Some(scaling) = super::scaling(state, &config, &spec.name) else {
                continue;
            };
            let planner = self.planners.entry(spec.name.clone()).or_default();
            let load = {
                let meters = state.capacity.meters.borrow();
                let meter = meters.get(&state::hash_name(&spec.name));
                let speeds = engine_speeds(state, spec);
                meter.and_then(|meter| meter.load(now_ms, &speeds, scaling.boot_ms))
            };
            if let Some(load) = &load {
                for (work, busy) in [("all", load.all), ("urgent", load.urgent)] {
                    metrics::gauge!(
                        "acaciabank_capacity_busy_engines",
                        "service" => spec.name.clone(),
                        "work" => work
                    )
                    .set(busy);
                }
            }
            let view = fleet::fleet_view(&state.targets.borrow(), &spec.name);
            let orders = planner.next_orders(now_ms, scaling, &view, load.as_ref());
            for (zone, engines) in planner.take_lost() {
                log::warn!(
                    service = spec.name.as_str(), zone = zone.as_str(), engines = engines;
                    "capacity_lost"
                );
                metrics::counter!(
                    "acaciabank_capacity_lost_zones_total",
                    "service" => spec.name.clone(),
                    "zone" => zone
                )
                .increment(1);
            }
            for target in planner.targets(now_ms, scaling) {
                set_gauges(&spec.name, &target);
            }
            for order in orders {
                let service = spec.name.clone();
                self.in_flight.push(Box::pin(send(state, service, order)));
            }
        }
    }

    /// Records the answer to an order.
    fn record(&mut self, answered: &AnsweredOrder) {
        let AnsweredOrder {
            service,
            order,
            response,
        } = answered;
        log::info!(
            service = service.as_str(), zone = order.zone.as_str(), kind = order.kind.name(),
            before = order.before, count = order.count, reason = order.reason.name(),
            answer = response.as_str();
            "capacity_order"
        );
        metrics::counter!(
            "acaciabank_capacity_orders_total",
            "service" => service.clone(),
            "zone" => order.zone.clone(),
            "kind" => order.kind.name(),
            "answer" => response.as_str()
        )
        .increment(1);
        let config = self.state.config();
        let spec = config.as_ref().and_then(|config| config.service(service));
        let scaling = spec.and_then(|spec| spec.scaling.as_ref());
        if let (Some(scaling), Some(planner)) = (scaling, self.planners.get_mut(service)) {
            planner.record_answer(clock::now_ms(), scaling, order, order_answer(*response));
        }
    }

    /// Resets the gauges, as the next holder reports its own.
    fn clear_gauges(&self) {
        let Some(config) = self.state.config() else {
            return;
        };
        for (service, planner) in &self.planners {
            let spec = config.service(service);
            let Some(scaling) = spec.and_then(|spec| spec.scaling.as_ref()) else {
                continue;
            };
            for target in planner.targets(clock::now_ms(), scaling) {
                let cleared = FleetTarget {
                    wanted: 0,
                    listed: 0,
                    ..target
                };
                set_gauges(service, &cleared);
            }
        }
    }
}

/// Sends one order as the holder of the lease.
async fn send<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    service: String,
    order: FleetOrder,
) -> AnsweredOrder {
    let capacity_order = platform::CapacityOrder {
        service: service.clone(),
        zone: order.zone.clone(),
        count: order.count,
        is_spot: order.kind == EngineKind::Spot,
    };
    let call = platform::ControlCall::Capacity(&capacity_order);
    let response = control::call(state, &call).await;
    AnsweredOrder {
        service,
        order,
        response,
    }
}

fn order_answer(response: platform::ControlResponse) -> OrderAnswer {
    match response {
        platform::ControlResponse::Accepted => OrderAnswer::Accepted,
        platform::ControlResponse::Unavailable => OrderAnswer::Unavailable,
        platform::ControlResponse::Refused => OrderAnswer::Refused,
        platform::ControlResponse::Limited
        | platform::ControlResponse::Failed
        | platform::ControlResponse::Unsent => OrderAnswer::NotDone,
        platform::ControlResponse::Unknown => OrderAnswer::Unknown,
    }
}

fn engine_speeds<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    spec: &config::ServiceSpec,
) -> EngineSpeeds {
    EngineSpeeds {
        prompt_tokens_per_ms: state.prompt_tokens_per_ms(&spec.name),
        prompt_overhead_ms: dispatch::PREFILL_OVERHEAD_MS,
        slots: spec.engine.as_ref().map_or(1, |engine| engine.slots),
    }
}

fn set_gauges(service: &str, target: &FleetTarget) {
    for (count, value) in [("wanted", target.wanted), ("listed", target.listed)] {
        metrics::gauge!(
            "acaciabank_capacity_engines",
            "service" => service.to_owned(),
            "zone" => target.zone.clone(),
            "kind" => target.kind.name(),
            "count" => count
        )
        .set(f64::from(value));
    }
}
