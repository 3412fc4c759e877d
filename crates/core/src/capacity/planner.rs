//! Decides on the orders of one service.

use std::collections::BTreeMap;

use super::{
    EngineKind, EngineLoad, FleetCounts, FleetOrder, FleetTarget, FleetView, OrderAnswer,
    OrderReason, ScalingSpec,
    need::{EngineNeed, NeedHistory},
    slot::{self, OrderSlot},
    spread::{self, ZoneShare, ZoneShares},
};

/// Engines ordered beyond the need when there are too few, so that a steadily rising load does not
/// cause an order for each engine.
const GROWTH_MARGIN: f64 = 1.1;
/// Engines beyond the need that are kept, so that fluctuations of the load cause no orders.
const SURPLUS_MARGIN: f64 = 1.15;
/// Largest share of the spot engines that one step removes: those that stay have to take over the
/// work and the cached prompts.
const SURPLUS_STEP: f64 = 0.2;
/// Largest share of the on-demand engines that one step removes under load. Their number is made up
/// for by spot engines that serve already.
const REPLACED_STEP: f64 = 0.5;
/// Smallest number of engines that a step removes under load: fewer are not worth three orders.
const MIN_STEP: u32 = 2;
/// Share of a zone's usual part below which spot engines are added to it although there are enough:
/// the other zones would lose too many at once.
const MIN_SPREAD_SHARE: f64 = 0.5;
/// Times until the platform is called again after it was overloaded or could not be reached.
const PAUSE_MS: u64 = 500;
const MAX_PAUSE_MS: u64 = 8_000;

/// Engines that were listed when the planner began. Targets register one after another when a
/// deployment starts, so the list grows for some seconds.
#[derive(Clone, Copy, Debug)]
struct FleetStart {
    /// Time at which the list grew last before any load was known.
    at_ms: u64,
    on_demand: u32,
    spot: u32,
}

impl FleetStart {
    fn need(&self) -> EngineNeed {
        EngineNeed::initial(self.on_demand, self.spot)
    }
}

/// Planner of the engines of one service. Its state is only what its own orders need; a new one
/// continues from the list of engines.
#[derive(Clone, Debug, Default)]
pub struct CapacityPlanner {
    start: Option<FleetStart>,
    has_load: bool,
    history: NeedHistory,
    slots: BTreeMap<(String, EngineKind), OrderSlot>,
    /// Time from which the next step down of a kind is possible.
    next_step_ms: BTreeMap<EngineKind, u64>,
    /// Time until which no orders are sent because the platform could not take any.
    paused_until_ms: u64,
    pause_ms: u64,
    /// Zones whose spot engines began to be taken away in the last call.
    lost: Vec<(String, u32)>,
}

/// What one decision is based on.
struct PlanInput<'a> {
    now_ms: u64,
    scaling: &'a ScalingSpec,
    need: EngineNeed,
    /// Largest need of the recent past.
    held: EngineNeed,
}

impl CapacityPlanner {
    /// Returns the orders to send now, the most important ones first, and counts them as sent: each
    /// must get an answer through [`record_answer`](Self::record_answer). `load` is `None` until any
    /// is known.
    pub fn next_orders(
        &mut self,
        now_ms: u64,
        scaling: &ScalingSpec,
        fleet: &FleetView,
        load: Option<&EngineLoad>,
    ) -> Vec<FleetOrder> {
        self.observe(now_ms, scaling, fleet);
        let count = |kind: EngineKind| fleet.values().map(|counts| counts.of(kind)).sum();
        let (on_demand, spot): (u32, u32) = (count(EngineKind::OnDemand), count(EngineKind::Spot));
        let zones = u32::try_from(self.slots.len() / EngineKind::ALL.len()).unwrap_or(u32::MAX);
        let Some(start) = self.observe_start(now_ms, on_demand, spot) else {
            return Vec::new();
        };
        self.has_load |= load.is_some();
        let need = match load {
            Some(load) => EngineNeed::of_load(load, on_demand + spot).within(scaling, zones),
            None if self.has_load => EngineNeed::default().within(scaling, zones),
            None => start.need().within(scaling, zones),
        };
        let held = self.history.record(now_ms, need, scaling.boot_ms);
        if now_ms < self.paused_until_ms {
            return Vec::new();
        }
        let input = PlanInput {
            now_ms,
            scaling,
            need,
            held,
        };
        let mut orders = self.repeats(now_ms);
        let base = self.plan_spot(&input, &mut orders);
        self.plan_on_demand(&input, &base, start, &mut orders);
        orders.sort_by_key(|order| order.count < order.before);
        orders
    }

    /// Records the answer to an order.
    pub fn record_answer(
        &mut self,
        now_ms: u64,
        scaling: &ScalingSpec,
        order: &FleetOrder,
        answer: OrderAnswer,
    ) {
        match answer {
            OrderAnswer::NotDone => {
                self.pause_ms = (2 * self.pause_ms).clamp(PAUSE_MS, MAX_PAUSE_MS);
                self.paused_until_ms = now_ms + self.pause_ms;
            }
            OrderAnswer::Accepted | OrderAnswer::Unavailable => self.pause_ms = 0,
            OrderAnswer::Refused | OrderAnswer::Unknown => {}
        }
        if let Some(slot) = self.slots.get_mut(&(order.zone.clone(), order.kind)) {
            slot.record_answer(now_ms, scaling.boot_ms, answer);
        }
    }

    /// Takes the zones whose spot engines began to be taken away since the last call, with their
    /// number.
    pub fn take_lost(&mut self) -> Vec<(String, u32)> {
        std::mem::take(&mut self.lost)
    }

    /// Returns the wanted and listed engines of each zone and kind.
    pub fn targets(&self, now_ms: u64, scaling: &ScalingSpec) -> Vec<FleetTarget> {
        let targets = self.slots.iter().map(|((zone, kind), slot)| FleetTarget {
            zone: zone.clone(),
            kind: *kind,
            wanted: slot.expected(now_ms, scaling.boot_ms),
            listed: slot.listed(),
        });
        targets.collect()
    }

    /// Returns the engines that the planner began with; `None` if the list has not been read yet or
    /// the platform has no engines at all. Spot engines that are listed later are its own.
    fn observe_start(&mut self, now_ms: u64, on_demand: u32, spot: u32) -> Option<FleetStart> {
        if self.start.is_none() && on_demand + spot == 0 {
            return None;
        }
        let start = self.start.get_or_insert(FleetStart {
            at_ms: now_ms,
            on_demand,
            spot,
        });
        if !self.has_load && on_demand > start.on_demand {
            start.on_demand = on_demand;
            start.at_ms = now_ms;
        }
        Some(*start)
    }

    /// Records the list of engines in every zone that has a price or an engine.
    fn observe(&mut self, now_ms: u64, scaling: &ScalingSpec, fleet: &FleetView) {
        for zone in scaling.zone_prices.keys().chain(fleet.keys()) {
            for kind in EngineKind::ALL {
                let is_known = self.slots.contains_key(&(zone.clone(), kind));
                if !is_known {
                    self.slots
                        .insert((zone.clone(), kind), OrderSlot::default());
                }
            }
        }
        for ((zone, kind), slot) in &mut self.slots {
            let counts = fleet.get(zone).copied().unwrap_or(FleetCounts::default());
            let reclaimed = match kind {
                EngineKind::Spot => counts.reclaimed,
                EngineKind::OnDemand => 0,
            };
            if slot.observe(now_ms, counts.of(*kind), reclaimed > 0) {
                self.lost.push((zone.clone(), reclaimed));
            }
        }
    }

    /// Returns the orders without an answer that are to be repeated now.
    fn repeats(&mut self, now_ms: u64) -> Vec<FleetOrder> {
        let slots = self.slots.iter_mut();
        let repeats =
            slots.filter_map(|((zone, kind), slot)| slot.next_repeat(now_ms, zone, *kind));
        repeats.collect()
    }

    /// Orders spot engines. Returns the on-demand base by zone.
    fn plan_spot(&mut self, input: &PlanInput<'_>, orders: &mut Vec<FleetOrder>) -> ZoneShares {
        let mut base = self.shares(input, EngineKind::OnDemand);
        for share in base.values_mut() {
            share.count = input.scaling.min.min(share.most);
        }
        spread::fill(&mut base, input.held.base);
        let spot_need = |total: u32| total.saturating_sub(spread::total(&base));
        let current = self.shares(input, EngineKind::Spot);
        let mut wanted = current.clone();
        let needed = spot_need(input.need.total);
        if spread::total(&current) < needed {
            spread::fill(&mut wanted, self.with_margin(needed, GROWTH_MARGIN));
            self.emit(
                input,
                EngineKind::Spot,
                &current,
                &wanted,
                OrderReason::Shortage,
                orders,
            );
            return base;
        }
        let mut even = current.clone();
        even.values_mut().for_each(|share| share.count = 0);
        spread::fill(&mut even, spread::total(&current));
        for (zone, share) in &mut wanted {
            let usual = even.get(zone).map_or(0, |share| share.count);
            if f64::from(share.count) < MIN_SPREAD_SHARE * f64::from(usual) {
                share.count = usual;
            }
        }
        if wanted != current {
            self.emit(
                input,
                EngineKind::Spot,
                &current,
                &wanted,
                OrderReason::Spread,
                orders,
            );
            return base;
        }
        let kept = self.with_margin(spot_need(input.held.total), SURPLUS_MARGIN);
        if self.is_step_due(input, EngineKind::Spot)
            && spread::total(&current) >= kept + self.least_step()
        {
            let left = f64::from(spread::total(&current)) * (1.0 - SURPLUS_STEP);
            spread::drain(&mut wanted, kept.max(left.ceil() as u32));
            self.emit(
                input,
                EngineKind::Spot,
                &current,
                &wanted,
                OrderReason::Surplus,
                orders,
            );
        }
        base
    }

    /// Orders on-demand engines where spot engines are missing, and removes those that spot engines
    /// have replaced.
    fn plan_on_demand(
        &mut self,
        input: &PlanInput<'_>,
        base: &ZoneShares,
        start: FleetStart,
        orders: &mut Vec<FleetOrder>,
    ) {
        let spot = self.shares(input, EngineKind::Spot);
        let survivors = input.need.survivors + spread::largest(&spot);
        let firm = input.need.firm.max(survivors);
        let current = self.shares(input, EngineKind::OnDemand);
        let mut wanted = current.clone();
        for share in wanted.values_mut() {
            share.least = input.scaling.min.min(share.most);
            share.count = share.count.max(share.least);
        }
        let base = spread::total(base);
        if spread::total(&wanted) < base {
            spread::fill(&mut wanted, self.with_margin(base, GROWTH_MARGIN));
        }
        spread::fill(&mut wanted, firm.saturating_sub(spread::total(&spot)));
        if wanted
            .iter()
            .any(|(zone, share)| share.count > current[zone].count)
        {
            let reason = OrderReason::Shortage;
            self.emit(
                input,
                EngineKind::OnDemand,
                &current,
                &wanted,
                reason,
                orders,
            );
            return;
        }
        let is_settled = self.slots.values().all(OrderSlot::is_settled);
        let has_settled = input.now_ms >= start.at_ms + slot::settle_ms(input.scaling.boot_ms);
        if !is_settled || !has_settled || !self.is_step_due(input, EngineKind::OnDemand) {
            return;
        }
        let held_survivors = input.held.survivors + spread::largest(&spot);
        let held = input.held.firm.max(held_survivors);
        let kept = held.saturating_sub(spread::total(&spot)).max(base);
        let kept_most = self.with_margin(kept, SURPLUS_MARGIN);
        if spread::total(&current) < kept_most + self.least_step() {
            return;
        }
        let kept = match self.has_load {
            true => kept.max((f64::from(spread::total(&current)) * (1.0 - REPLACED_STEP)) as u32),
            false => kept,
        };
        spread::drain(&mut wanted, kept);
        self.emit(
            input,
            EngineKind::OnDemand,
            &current,
            &wanted,
            OrderReason::Replaced,
            orders,
        );
    }

    /// Returns the expected engines of a kind by zone, and how many there may be.
    fn shares(&self, input: &PlanInput<'_>, kind: EngineKind) -> ZoneShares {
        let boot_ms = input.scaling.boot_ms;
        let of_kind = self.slots.iter().filter(|((_, of), _)| *of == kind);
        let shares = of_kind.map(|((zone, _), slot)| {
            let other = match kind {
                EngineKind::OnDemand => EngineKind::Spot,
                EngineKind::Spot => EngineKind::OnDemand,
            };
            let other = self.slots.get(&(zone.clone(), other));
            // Engines that leave count until they have left.
            let other = other.map_or(0, |slot| {
                slot.expected(input.now_ms, boot_ms).max(slot.listed())
            });
            let expected = slot.expected(input.now_ms, boot_ms);
            let room = input.scaling.max.saturating_sub(other);
            let is_cheaper = kind == EngineKind::OnDemand || input.scaling.spot_price < 1.0;
            let is_open = slot.is_available(input.now_ms) && is_cheaper;
            let share = ZoneShare {
                price: input.scaling.zone_prices.get(zone).copied().unwrap_or(1.0),
                count: expected,
                least: 0,
                most: if is_open {
                    room.max(expected)
                } else {
                    expected
                },
            };
            (zone.clone(), share)
        });
        shares.collect()
    }

    /// Adds the orders that lead from the current to the wanted engines, as far as they may be sent
    /// now.
    fn emit(
        &mut self,
        input: &PlanInput<'_>,
        kind: EngineKind,
        current: &ZoneShares,
        wanted: &ZoneShares,
        reason: OrderReason,
        orders: &mut Vec<FleetOrder>,
    ) {
        let mut has_decrease = false;
        for (zone, share) in wanted {
            let before = current.get(zone).map_or(0, |share| share.count);
            let Some(slot) = self.slots.get_mut(&(zone.clone(), kind)) else {
                continue;
            };
            if share.count == before || !slot.may_order(input.now_ms, share.count, before) {
                continue;
            }
            has_decrease |= share.count < before;
            slot.start(input.now_ms, share.count);
            orders.push(FleetOrder {
                zone: zone.clone(),
                kind,
                count: share.count,
                before,
                reason,
            });
        }
        if has_decrease {
            let next_ms = input.now_ms + slot::settle_ms(input.scaling.boot_ms);
            self.next_step_ms.insert(kind, next_ms);
        }
    }

    fn is_step_due(&self, input: &PlanInput<'_>, kind: EngineKind) -> bool {
        let next_ms = self.next_step_ms.get(&kind).copied().unwrap_or(0);
        input.now_ms >= next_ms
    }

    fn least_step(&self) -> u32 {
        match self.has_load {
            true => MIN_STEP,
            false => 1,
        }
    }

    /// Before any load is known, the number of engines stays exactly as it is.
    fn with_margin(&self, count: u32, margin: f64) -> u32 {
        match self.has_load {
            true => (f64::from(count) * margin).ceil() as u32,
            false => count,
        }
    }
}
