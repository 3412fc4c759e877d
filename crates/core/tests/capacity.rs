//! Tests of the number and kind of engines that are ordered.

use acaciabank_core::capacity::{
    CapacityPlanner, EngineKind, EngineLoad, EngineSpeeds, FleetCounts, FleetOrder, FleetView,
    LoadMeter, LoadTotals, OrderAnswer, OrderReason, ScalingSpec, WorkTotals,
};

const BOOT_MS: u64 = 4_000;
/// Boot and delay of the list.
const SETTLE_MS: u64 = 6_000;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

fn scaling() -> ScalingSpec {
    let prices = [("zone-a", 1.0), ("zone-b", 0.8), ("zone-c", 1.25)];
    ScalingSpec {
        min: 1,
        max: 60,
        boot_ms: BOOT_MS,
        spot_price: 0.22,
        zone_prices: prices.map(|(zone, price)| (zone.to_owned(), price)).into(),
    }
}

fn fleet(on_demand: [u32; 3], spot: [u32; 3]) -> FleetView {
    let counts = |index: usize| FleetCounts {
        on_demand: on_demand[index],
        spot: spot[index],
        reclaimed: 0,
    };
    let zones = (0..3).map(|index| (ZONES[index].to_owned(), counts(index)));
    zones.collect()
}

fn load(all: f64, urgent: f64) -> EngineLoad {
    EngineLoad {
        all,
        all_now: all,
        urgent,
        urgent_now: urgent,
        refused_share: 0.0,
    }
}

/// A planner with a steady load of 20 engines, of which 4 are urgent, on a settled fleet.
struct Steady {
    planner: CapacityPlanner,
    fleet: FleetView,
    now_ms: u64,
}

const STEADY_LOAD: EngineLoad = EngineLoad {
    all: 20.0,
    all_now: 20.0,
    urgent: 4.0,
    urgent_now: 4.0,
    refused_share: 0.0,
};

impl Steady {
    fn new() -> Self {
        let mut steady = Self {
            planner: CapacityPlanner::default(),
            fleet: fleet([2, 2, 1], [15, 19, 12]),
            now_ms: 0,
        };
        let orders = steady.run(60_000, &STEADY_LOAD);
        assert_eq!(orders, [], "a fleet that fits is left alone");
        steady
    }

    fn step(&mut self, load: &EngineLoad) -> Vec<FleetOrder> {
        self.now_ms += 250;
        self.planner
            .next_orders(self.now_ms, &scaling(), &self.fleet, Some(load))
    }

    fn run(&mut self, duration_ms: u64, load: &EngineLoad) -> Vec<FleetOrder> {
        let steps = 0..duration_ms / 250;
        steps.flat_map(|_| self.step(load)).collect()
    }

    fn answer(&mut self, order: &FleetOrder, answer: OrderAnswer) {
        self.planner
            .record_answer(self.now_ms, &scaling(), order, answer);
    }

    fn answer_all(&mut self, orders: &[FleetOrder], answer: OrderAnswer) {
        for order in orders {
            self.answer(order, answer);
        }
    }
}

fn total(orders: &[FleetOrder], kind: EngineKind) -> u32 {
    let of_kind = orders.iter().filter(|order| order.kind == kind);
    of_kind.map(|order| order.count).sum()
}

/// Guards against a fleet that shrinks before the load has begun, and against on-demand engines that
/// leave before the spot engines serve.
#[test]
fn replaces_the_engines_of_the_start_by_as_many_spot_engines() {
    let mut planner = CapacityPlanner::default();
    let scaling = scaling();
    let start = fleet([30; 3], [0; 3]);
    let orders = planner.next_orders(0, &scaling, &start, None);
    assert!(orders.iter().all(|order| order.kind == EngineKind::Spot));
    let spot = total(&orders, EngineKind::Spot);
    assert!((75..=87).contains(&spot), "{orders:?}");
    assert!(
        orders.iter().all(|order| order.count <= 30),
        "max of a zone"
    );
    for order in &orders {
        planner.record_answer(100, &scaling, order, OrderAnswer::Accepted);
    }
    for now_ms in (250..=4_000).step_by(250) {
        assert_eq!(planner.next_orders(now_ms, &scaling, &start, None), []);
    }
    let count = |zone: &str| {
        let mut of_zone = orders.iter().filter(|order| order.zone == zone);
        of_zone.next().map_or(0, |order| order.count)
    };
    let served = fleet([30; 3], ZONES.map(count));
    let reduced: Vec<FleetOrder> = (4_250..=8_000)
        .step_by(250)
        .flat_map(|now_ms| planner.next_orders(now_ms, &scaling, &served, None))
        .collect();
    assert!(
        reduced
            .iter()
            .all(|order| order.reason == OrderReason::Replaced)
    );
    assert_eq!(reduced.len(), 3, "{reduced:?}");
    let left = total(&reduced, EngineKind::OnDemand);
    assert!(left + spot >= 90 && left <= 15, "{reduced:?}");
}

/// Guards against a fleet that shrinks to the few engines that were listed first, as targets register
/// one after another when a deployment starts.
#[test]
fn keeps_the_engines_that_are_listed_after_the_first_ones() {
    let mut planner = CapacityPlanner::default();
    let mut spot = [(0, 0); 3];
    let mut left = [30; 3];
    for now_ms in (0..20_000).step_by(250) {
        let listed = u32::try_from(now_ms / 50).unwrap_or(u32::MAX);
        let on_demand = left.map(|count: u32| count.min(listed.max(4)));
        let served = spot.map(|(from_ms, count)| if now_ms >= from_ms { count } else { 0 });
        let orders = planner.next_orders(now_ms, &scaling(), &fleet(on_demand, served), None);
        for order in orders {
            planner.record_answer(now_ms, &scaling(), &order, OrderAnswer::Accepted);
            let zone = ZONES.iter().position(|zone| *zone == order.zone);
            let zone = zone.expect("a known zone");
            match order.kind {
                EngineKind::Spot => spot[zone] = (now_ms + BOOT_MS, order.count),
                EngineKind::OnDemand => left[zone] = order.count,
            }
        }
    }
    let engines: u32 = left.iter().sum::<u32>() + spot.iter().map(|(_, count)| count).sum::<u32>();
    assert!(engines >= 90, "{left:?} and {spot:?}");
    assert!(left.iter().sum::<u32>() <= 15, "{left:?} on demand");
}

/// Guards against a fleet that is given up when spot engines are not to be had at the start.
#[test]
fn keeps_the_engines_of_the_start_without_spot_engines() {
    let mut planner = CapacityPlanner::default();
    let start = fleet([30; 3], [0; 3]);
    for now_ms in (0..60_000).step_by(250) {
        for order in planner.next_orders(now_ms, &scaling(), &start, None) {
            assert_eq!(order.kind, EngineKind::Spot);
            planner.record_answer(now_ms, &scaling(), &order, OrderAnswer::Unavailable);
        }
    }
}

/// Guards against a fleet that waits for a second measurement while requests queue.
#[test]
fn orders_spot_engines_at_once_when_the_load_rises() {
    let mut steady = Steady::new();
    let orders = steady.step(&load(30.0, 6.0));
    let spot: u32 = total(&orders, EngineKind::Spot);
    assert!(spot + 7 >= 75, "{orders:?}");
    assert!(
        orders
            .iter()
            .all(|order| order.reason == OrderReason::Shortage)
    );
}

/// Guards against a spot fleet of which one zone is too large a part to lose.
#[test]
fn loss_of_the_largest_spot_zone_leaves_enough_for_urgent_work() {
    for urgent in [2.0, 10.0, 20.0, 30.0] {
        let mut steady = Steady::new();
        let orders = steady.step(&load(30.0, urgent));
        let mut counts = steady.fleet.clone();
        for order in &orders {
            let zone = counts.get_mut(&order.zone).expect("a zone");
            match order.kind {
                EngineKind::OnDemand => zone.on_demand = order.count,
                EngineKind::Spot => zone.spot = order.count,
            }
        }
        let all: u32 = counts.values().map(|zone| zone.on_demand + zone.spot).sum();
        let largest = counts.values().map(|zone| zone.spot).max().unwrap_or(0);
        assert!(
            f64::from(all - largest) >= urgent / 0.8,
            "{urgent}: {counts:?}"
        );
        let base: u32 = counts.values().map(|zone| zone.on_demand).sum();
        assert!(f64::from(base) >= urgent / 0.9, "{urgent}: {counts:?}");
    }
}

/// Guards against a fleet that follows every dip of the load, and against one that is halved in one
/// step.
#[test]
fn shrinks_only_after_the_load_was_lower_for_long_and_in_steps() {
    let mut steady = Steady::new();
    let low = load(8.0, 2.0);
    let early = steady.run(4 * BOOT_MS, &low);
    assert_eq!(early, [], "too early");
    let mut counts = Vec::new();
    for _ in 0..240 {
        let orders = steady.step(&low);
        if orders.is_empty() {
            continue;
        }
        steady.answer_all(&orders, OrderAnswer::Accepted);
        let before: u32 = steady.fleet.values().map(|zone| zone.spot).sum();
        for order in &orders {
            assert!(order.count < order.before, "{order:?}");
            let zone = steady.fleet.get_mut(&order.zone).expect("a zone");
            match order.kind {
                EngineKind::OnDemand => zone.on_demand = order.count,
                EngineKind::Spot => zone.spot = order.count,
            }
        }
        let after: u32 = steady.fleet.values().map(|zone| zone.spot).sum();
        assert!(
            f64::from(after) >= 0.79 * f64::from(before),
            "{before} to {after}"
        );
        counts.push(steady.now_ms);
    }
    assert!(counts.len() >= 2, "the fleet shrinks: {counts:?}");
    assert!(
        counts.windows(2).all(|pair| pair[1] - pair[0] >= SETTLE_MS),
        "{counts:?}"
    );
    let left: u32 = steady
        .fleet
        .values()
        .map(|zone| zone.on_demand + zone.spot)
        .sum();
    assert!((20..=27).contains(&left), "{:?}", steady.fleet);
}

/// Guards against orders that follow fluctuations of the load up and down.
#[test]
fn does_not_oscillate_with_a_fluctuating_load() {
    let mut steady = Steady::new();
    let mut count = 0;
    for step in 0..960 {
        let phase = f64::from(step % 40) / 40.0 * std::f64::consts::TAU;
        let orders = steady.step(&load(20.0 + 5.0 * phase.sin(), 4.0 + phase.sin()));
        steady.answer_all(&orders, OrderAnswer::Accepted);
        count += orders.len();
        for order in &orders {
            assert!(order.count > order.before, "{order:?}");
            let zone = steady.fleet.get_mut(&order.zone).expect("a zone");
            match order.kind {
                EngineKind::OnDemand => zone.on_demand = order.count,
                EngineKind::Spot => zone.spot = order.count,
            }
        }
    }
    assert!(count <= 8, "{count} orders in four minutes");
}

/// Guards against a reclaimed zone that counts as present, or that is asked again while it has
/// nothing to give.
#[test]
fn replaces_a_reclaimed_spot_zone_in_the_others() {
    let mut steady = Steady::new();
    let zone_b = steady.fleet.get_mut("zone-b").expect("a zone");
    (zone_b.spot, zone_b.reclaimed) = (0, 19);
    let orders = steady.step(&STEADY_LOAD);
    assert_eq!(steady.planner.take_lost(), [("zone-b".to_owned(), 19)]);
    assert!(!orders.is_empty());
    assert!(
        orders
            .iter()
            .all(|order| order.zone != "zone-b" && order.kind == EngineKind::Spot)
    );
    assert!(total(&orders, EngineKind::Spot) >= 45, "{orders:?}");
    steady.answer_all(&orders, OrderAnswer::Accepted);
    let later = steady.run(4_500, &STEADY_LOAD);
    assert!(
        later.iter().all(|order| order.zone != "zone-b"),
        "{later:?}"
    );
}

/// Guards against spot engines that leave because fewer were ordered, and count as a lost zone.
#[test]
fn engines_that_leave_after_a_reduction_are_no_loss() {
    let mut steady = Steady::new();
    let low = load(10.0, 2.0);
    let mut orders = Vec::new();
    while orders.is_empty() {
        orders = steady.step(&low);
    }
    steady.answer_all(&orders, OrderAnswer::Accepted);
    for order in &orders {
        assert!(order.kind == EngineKind::Spot && order.count < order.before);
        let zone = steady.fleet.get_mut(&order.zone).expect("a zone");
        (zone.spot, zone.reclaimed) = (order.count, order.before - order.count);
    }
    steady.run(10_000, &low);
    assert_eq!(steady.planner.take_lost(), []);
}

/// Guards against urgent work that depends on a single spot zone.
#[test]
fn urgent_work_survives_the_loss_of_the_only_spot_zone() {
    let scaling = ScalingSpec {
        zone_prices: [("zone-a".to_owned(), 1.0)].into(),
        ..scaling()
    };
    let mut planner = CapacityPlanner::default();
    let counts = FleetCounts {
        on_demand: 18,
        spot: 40,
        reclaimed: 0,
    };
    let fleet = [("zone-a".to_owned(), counts)].into();
    let urgent_only = EngineLoad {
        urgent: 20.0,
        urgent_now: 16.0,
        ..load(20.0, 20.0)
    };
    let orders = planner.next_orders(0, &scaling, &fleet, Some(&urgent_only));
    // 20 busy engines at 80 %.
    assert_eq!(total(&orders, EngineKind::OnDemand), 20, "{orders:?}");
}

/// Guards against a fleet without replacement when no spot engine is to be had in any zone.
#[test]
fn orders_on_demand_engines_where_spot_engines_are_unavailable() {
    let mut steady = Steady::new();
    for zone in ["zone-a", "zone-b"] {
        let counts = steady.fleet.get_mut(zone).expect("a zone");
        (counts.reclaimed, counts.spot) = (counts.spot, 0);
    }
    let orders = steady.step(&STEADY_LOAD);
    assert!(
        orders.iter().all(|order| order.zone == "zone-c"),
        "{orders:?}"
    );
    steady.answer_all(&orders, OrderAnswer::Unavailable);
    let orders = steady.step(&STEADY_LOAD);
    let on_demand = total(&orders, EngineKind::OnDemand);
    assert!(
        on_demand + 12 >= 33,
        "20 busy engines need 33 firm ones: {orders:?}"
    );
    assert_eq!(total(&orders, EngineKind::Spot), 0);
}

/// Guards against a platform that is flooded by orders for a zone without engines.
#[test]
fn tries_an_unavailable_zone_again_after_growing_delays() {
    let mut steady = Steady::new();
    let high = load(60.0, 12.0);
    let mut tries = Vec::new();
    for _ in 0..400 {
        for order in steady.step(&high) {
            steady.answer(&order, OrderAnswer::Unavailable);
            if order.zone == "zone-a" && order.kind == EngineKind::Spot {
                tries.push(steady.now_ms);
            }
        }
    }
    let gaps: Vec<u64> = tries.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(&gaps[..4], [5_000, 10_000, 20_000, 20_000]);
}

/// Guards against a second order before the first is answered, and against another count while an
/// unanswered order may still be carried out.
#[test]
fn repeats_an_unanswered_order_unchanged_for_13_s() {
    let mut steady = Steady::new();
    let orders = steady.step(&load(30.0, 4.0));
    let first = orders[0].clone();
    let sent_ms = steady.now_ms;
    steady.answer_all(&orders[1..], OrderAnswer::Accepted);
    let waiting = steady.run(1_000, &load(50.0, 8.0));
    let is_same = |order: &&FleetOrder| order.zone == first.zone && order.kind == first.kind;
    assert_eq!(waiting.iter().find(is_same), None, "in flight");
    steady.answer(&first, OrderAnswer::Unknown);
    let mut repeats = 0;
    while steady.now_ms < sent_ms + 12_750 {
        for order in steady.step(&load(50.0, 8.0)) {
            if is_same(&&order) {
                assert_eq!(order.count, first.count);
                assert_eq!(order.reason, OrderReason::Repeat);
                repeats += 1;
                // That a repeat was not carried out says nothing about the first send.
                let answers = [OrderAnswer::Unknown, OrderAnswer::Unavailable];
                steady.answer(&order, answers[repeats % 2]);
            } else {
                steady.answer(&order, OrderAnswer::Unavailable);
            }
        }
    }
    assert!((2..=5).contains(&repeats), "{repeats} repeats");
    // Later another count is possible.
    let later = steady.run(30_000, &load(60.0, 8.0));
    assert!(
        later
            .iter()
            .any(|order| is_same(&order) && order.count > first.count),
        "{later:?}"
    );
}

/// Guards against orders against each other while the effect of the first is not visible yet.
#[test]
fn gives_no_order_in_the_other_direction_before_the_effect_is_visible() {
    let mut steady = Steady::new();
    let low = load(10.0, 2.0);
    let mut reduced = Vec::new();
    while reduced.is_empty() {
        reduced = steady.step(&low);
    }
    steady.answer_all(&reduced, OrderAnswer::Accepted);
    let answered_ms = steady.now_ms;
    let is_reduced = |order: &FleetOrder| {
        let mut all = reduced.iter();
        all.any(|other| other.zone == order.zone && other.kind == order.kind)
    };
    let mut raised_ms = None;
    while raised_ms.is_none() && steady.now_ms < answered_ms + 20_000 {
        let orders = steady.step(&load(60.0, 10.0));
        steady.answer_all(&orders, OrderAnswer::Accepted);
        if orders.iter().any(is_reduced) {
            raised_ms = Some(steady.now_ms);
        }
    }
    assert_eq!(raised_ms, Some(answered_ms + SETTLE_MS));
}

/// Guards against a platform that is called at full rate although it is overloaded.
#[test]
fn pauses_after_the_platform_could_not_take_an_order() {
    let mut steady = Steady::new();
    let high = load(30.0, 6.0);
    let mut calls = 0;
    for _ in 0..120 {
        let orders = steady.step(&high);
        calls += usize::from(!orders.is_empty());
        steady.answer_all(&orders, OrderAnswer::NotDone);
    }
    assert!((3..=8).contains(&calls), "{calls} rounds of calls in 30 s");
}

/// Guards against a refused order that is sent again at once.
#[test]
fn waits_after_a_refusal() {
    let mut steady = Steady::new();
    let high = load(30.0, 6.0);
    let mut count = 0;
    for _ in 0..120 {
        let orders = steady.step(&high);
        count += orders.len();
        steady.answer_all(&orders, OrderAnswer::Refused);
    }
    assert!(count <= 24, "{count} orders in 30 s");
}

/// Guards against a new holder that undoes what the last one has ordered, or reduces the fleet
/// before it knows the load.
#[test]
fn a_new_holder_continues_from_the_list() {
    let mut planner = CapacityPlanner::default();
    let listed = fleet([2, 3, 1], [15, 19, 12]);
    for now_ms in (0..20_000).step_by(250) {
        let known = (now_ms >= 2_000).then_some(load(8.0, 2.0));
        let orders = planner.next_orders(now_ms, &scaling(), &listed, known.as_ref());
        assert_eq!(orders, [], "at {now_ms} ms");
    }
}

/// Guards against orders beyond the limits of a zone, which hold for both kinds together.
#[test]
fn keeps_min_and_max_of_both_kinds_together() {
    let mut steady = Steady::new();
    steady.fleet = fleet([20, 0, 0], [10, 19, 12]);
    for _ in 0..200 {
        let orders = steady.step(&load(500.0, 200.0));
        for order in &orders {
            let zone = steady.fleet.get_mut(&order.zone).expect("a zone");
            match order.kind {
                EngineKind::OnDemand => zone.on_demand = order.count,
                EngineKind::Spot => zone.spot = order.count,
            }
            assert!(zone.on_demand + zone.spot <= 60, "{order:?} {zone:?}");
        }
        steady.answer_all(&orders, OrderAnswer::Accepted);
    }
    let all: u32 = steady
        .fleet
        .values()
        .map(|zone| zone.on_demand + zone.spot)
        .sum();
    assert_eq!(all, 180);
    assert!(steady.fleet.values().all(|zone| zone.on_demand >= 1));
}

/// Guards against an estimate that stays too low while requests are refused for lack of engines.
#[test]
fn grows_while_requests_are_refused() {
    let mut steady = Steady::new();
    let refusing = EngineLoad {
        refused_share: 0.1,
        ..STEADY_LOAD
    };
    let orders = steady.step(&refusing);
    assert!(total(&orders, EngineKind::Spot) > 50, "{orders:?}");
}

const SPEEDS: EngineSpeeds = EngineSpeeds {
    prompt_tokens_per_ms: 50.0,
    prompt_overhead_ms: 0.0,
    slots: 10,
};

fn totals(urgent_tokens: u64, other_tokens: u64) -> LoadTotals {
    let work = |prompt_tokens: u64| WorkTotals {
        prompts: prompt_tokens / 1_000,
        prompt_tokens,
        ..WorkTotals::default()
    };
    LoadTotals {
        urgent: work(urgent_tokens),
        other: work(other_tokens),
        refused: 0,
    }
}

/// Guards against totals that count twice, or that count the time before they were first seen.
#[test]
fn measures_the_load_from_cumulative_totals() {
    let mut meter = LoadMeter::default();
    for step in 0..40_u64 {
        let now_ms = step * 250;
        // 250 ms of 10 engines at 50 tokens a millisecond, of which 2 are urgent.
        let sums = totals(1_000_000 + step * 25_000, step * 100_000);
        if now_ms == 6_000 {
            // Another daemon becomes known, which has worked for long.
            meter.record(now_ms, 8, &totals(0, 50_000_000));
        }
        meter.record(now_ms, 7, &sums);
        meter.record(now_ms, 7, &sums);
        meter.record(now_ms, 7, &totals(1_000_000, 0));
        meter.sample(now_ms);
        let load = meter.load(now_ms, &SPEEDS, BOOT_MS);
        if now_ms < 2_000 {
            assert_eq!(load, None);
        }
        if now_ms >= 5_000 {
            let load = load.expect("a load");
            assert!((load.all - 10.0).abs() < 0.1, "{load:?}");
            assert!((load.urgent - 2.0).abs() < 0.1, "{load:?}");
        }
    }
}

/// Guards against a fleet that follows a rising load instead of being ahead of it.
#[test]
fn expects_a_rise_to_go_on_but_not_beyond_twice_the_load() {
    let mut meter = LoadMeter::default();
    let mut sum = 0;
    for step in 0..40_u64 {
        let now_ms = step * 250;
        let busy = if now_ms < 6_000 { 10 } else { 40 };
        sum += busy * 50 * 250;
        meter.record(now_ms, 7, &totals(0, sum));
        meter.sample(now_ms);
        let load = meter.load(now_ms, &SPEEDS, BOOT_MS).unwrap_or_default();
        if now_ms == 7_000 {
            assert!(load.all > 39.0, "ahead of the rise: {load:?}");
        }
        assert!(load.all <= 80.1, "{load:?}");
    }
}

/// A simulated platform with engines that boot, and a zone that loses its spot engines.
struct Replay {
    now_ms: u64,
    fleet: FleetView,
    /// Engines that are listed and serve from a time on.
    booting: Vec<(u64, FleetOrder)>,
    orders: usize,
}

impl Replay {
    fn serving(&self) -> u32 {
        self.fleet
            .values()
            .map(|zone| zone.on_demand + zone.spot)
            .sum()
    }

    fn boot(&mut self) {
        let now_ms = self.now_ms;
        let (ready, booting) = std::mem::take(&mut self.booting)
            .into_iter()
            .partition::<Vec<_>, _>(|(at_ms, _)| *at_ms <= now_ms);
        self.booting = booting;
        for (_, order) in ready {
            let zone = self.fleet.get_mut(&order.zone).expect("a zone");
            match order.kind {
                EngineKind::OnDemand => zone.on_demand = order.count,
                EngineKind::Spot => zone.spot = order.count,
            }
        }
    }

    fn cost_per_s(&self) -> f64 {
        let zones = self.fleet.iter().map(|(name, zone)| {
            let price = scaling().zone_prices[name];
            price * (f64::from(zone.on_demand) + 0.22 * f64::from(zone.spot))
        });
        zones.sum()
    }
}

/// Busy engines by urgent and other work: a wave of five minutes, and every 40 s a burst that
/// doubles the other or the urgent work within 3 s.
fn demand(now_ms: u64) -> (f64, f64) {
    if now_ms < 10_000 {
        return (0.0, 0.0);
    }
    let seconds = now_ms as f64 / 1_000.0;
    let wave = 0.65 - 0.35 * (seconds / 300.0 * std::f64::consts::TAU).cos();
    let phase = seconds % 40.0;
    let burst = match phase {
        phase if phase < 20.0 => 1.0,
        phase if phase < 23.0 => 1.0 + (phase - 20.0) / 3.0,
        phase if phase < 32.0 => 2.0,
        phase if phase < 35.0 => 2.0 - (phase - 32.0) / 3.0,
        _ => 1.0,
    };
    let is_urgent_burst = ((seconds / 40.0) as u64).is_multiple_of(2);
    match is_urgent_burst {
        true => (5.0 * wave * burst, 12.0 * wave),
        false => (5.0 * wave, 12.0 * wave * burst),
    }
}

/// Guards against a fleet that fails urgent work in a wave with bursts and a reclaimed zone, and
/// against one that costs as much as the engines of the start or orders without end.
#[test]
fn replay_of_a_wave_with_bursts_and_a_reclaimed_zone_carries_the_urgent_load() {
    let scaling = scaling();
    let mut planner = CapacityPlanner::default();
    let mut meter = LoadMeter::default();
    let mut replay = Replay {
        now_ms: 0,
        fleet: fleet([30; 3], [0; 3]),
        booting: Vec::new(),
        orders: 0,
    };
    let (mut urgent_tokens, mut other_tokens) = (0.0, 0.0);
    let (mut cost, mut short_ms, mut least_room) = (0.0, 0, f64::INFINITY);
    let mut history = std::collections::VecDeque::new();
    while replay.now_ms < 300_000 {
        replay.now_ms += 50;
        let now_ms = replay.now_ms;
        replay.boot();
        let (urgent, other) = demand(now_ms);
        urgent_tokens += urgent * 50.0 * 50.0;
        other_tokens += other * 50.0 * 50.0;
        let zone_b = replay.fleet.get_mut("zone-b").expect("a zone");
        // Notice of 2 s, then the engines are gone. They get no work from the notice on.
        if now_ms == 150_000 {
            (zone_b.reclaimed, zone_b.spot) = (zone_b.spot, 0);
            replay.booting.retain(|(_, order)| order.zone != "zone-b");
        }
        if now_ms == 152_000 {
            zone_b.reclaimed = 0;
        }
        let serving = f64::from(replay.serving());
        assert!(
            serving >= urgent,
            "{now_ms}: {serving} engines for {urgent} urgent"
        );
        if urgent > 0.0 {
            least_room = least_room.min(serving / urgent);
        }
        short_ms += if serving * 0.9 < urgent + other {
            50
        } else {
            0
        };
        cost += replay.cost_per_s() / 20.0;
        // The list lags by a second.
        history.push_back(replay.fleet.clone());
        if history.len() > 20 {
            history.pop_front();
        }
        if !now_ms.is_multiple_of(250) {
            continue;
        }
        let tokens = totals(urgent_tokens as u64, other_tokens as u64);
        meter.record(now_ms, 1, &tokens);
        meter.sample(now_ms);
        let load = meter.load(now_ms, &SPEEDS, BOOT_MS + 2_000);
        for order in planner.next_orders(now_ms, &scaling, &history[0], load.as_ref()) {
            replay.orders += 1;
            let is_increase = order.count > replay.fleet[&order.zone].of(order.kind);
            // No replacement anywhere for six seconds, in the reclaimed zone for longer.
            let is_none_left = (150_000..156_000).contains(&now_ms)
                || order.zone == "zone-b" && (150_000..175_000).contains(&now_ms);
            let answer = match is_increase && is_none_left {
                true => OrderAnswer::Unavailable,
                false => OrderAnswer::Accepted,
            };
            planner.record_answer(now_ms, &scaling, &order, answer);
            if answer == OrderAnswer::Accepted {
                let delay_ms = if is_increase { BOOT_MS } else { 500 };
                replay.booting.push((now_ms + delay_ms, order));
            }
        }
    }
    println!(
        "{} orders, {cost:.0} of {:.0}, least room {least_room:.1}, short for {short_ms} ms",
        replay.orders,
        (30.0 * (1.0 + 0.8 + 1.25)) * 300.0,
    );
    assert!(least_room >= 1.5, "{least_room}");
    assert_eq!(short_ms, 0, "all work finds engines");
    assert!(
        replay.orders <= 90,
        "{} orders in five minutes",
        replay.orders
    );
    assert!(cost <= 0.35 * 91.5 * 300.0, "{cost}");
}

/// Guards against on-demand engines for a rise that may not come, at several times the price of the
/// spot engines of other zones that are ordered for it.
#[test]
fn an_expected_rise_orders_spot_engines_alone() {
    let mut steady = Steady::new();
    let rising = EngineLoad {
        all: 40.0,
        urgent: 8.0,
        ..STEADY_LOAD
    };
    let orders = steady.step(&rising);
    assert!(!orders.is_empty());
    assert!(
        orders.iter().all(|order| order.kind == EngineKind::Spot),
        "{orders:?}"
    );
}

/// Guards against on-demand engines that stay long after the spot engines for which they stood in
/// serve again.
#[test]
fn stand_ins_leave_soon_after_the_spot_engines_are_back() {
    let mut steady = Steady::new();
    let burst = load(60.0, 12.0);
    steady.fleet = fleet([2, 2, 1], [15, 0, 0]);
    for order in steady.step(&burst) {
        let answer = match order.kind {
            EngineKind::Spot => OrderAnswer::Unavailable,
            EngineKind::OnDemand => OrderAnswer::Accepted,
        };
        steady.answer(&order, answer);
    }
    steady.fleet = fleet([20, 20, 20], [15, 19, 12]);
    let orders = steady.run(6 * BOOT_MS, &STEADY_LOAD);
    let is_replaced = |order: &FleetOrder| order.reason == OrderReason::Replaced;
    assert!(orders.iter().any(is_replaced), "{orders:?}");
}
