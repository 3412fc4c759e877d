//! Rows that relays write themselves: the lease for stage orders and the registrations.

use std::time::{Duration, Instant};

use acaciabank_testbed::{harness, journal, proxy::FaultKind, web};

use super::{Fleet, SETTLE_TIME, mark_copy, restore};
use crate::{
    fixture::{EmulatorProcess, Fixture, TIMEOUT},
    handover,
};

/// Time within which relays write a lost registration again.
const REGISTRATION_TIME: Duration = Duration::from_secs(5);
/// Time in which two holders would give orders: the TTL of the lease and both margins, and what a
/// second candidate waits longer.
const OVERLAP_TIME: Duration = Duration::from_secs(10);
/// Interval at which engines are added, for which the holder of the lease gives orders.
const ENGINE_INTERVAL: Duration = Duration::from_millis(2_500);

/// Time in which a holder renews the lease more than once.
const LOST_RENEWALS_TIME: Duration = Duration::from_secs(3);

/// A fleet with engines that have to change their stage.
struct OrderFleet {
    fleet: Fleet,
    engines: Vec<EmulatorProcess>,
    /// Index of the first holder of the lease.
    holder: usize,
    /// Moment before the lease was first written.
    unheld_at: Instant,
}

impl OrderFleet {
    /// Starts a fleet and waits for the first order of its first holder.
    async fn start() -> Self {
        let fixture = Fixture::start_proxied().await;
        let unheld_at = Instant::now();
        let fleet = Fleet::start(fixture).await;
        // The operator writes its configuration again, and engines and relays their rows.
        let mut order_fleet = Self {
            fleet,
            engines: Vec::new(),
            holder: 0,
            unheld_at,
        };
        order_fleet.add_engines().await;
        order_fleet.holder = handover::wait_holder(&order_fleet.fleet.relays).await;
        let holder = order_fleet.name_of(order_fleet.holder);
        order_fleet
            .wait_order_after(0, |order| order == holder)
            .await;
        order_fleet
    }

    fn name_of(&self, relay: usize) -> String {
        self.fleet.relays[relay].process.name().to_owned()
    }

    async fn add_engines(&mut self) {
        handover::add_engines(&self.fleet.fixture, &mut self.engines).await;
    }

    async fn restore(&self, copied_at: Instant) {
        restore(&self.fleet.fixture, copied_at, 0).await;
    }

    /// Waits for an order that arrived after a time, of a holder that fulfils a condition.
    async fn wait_order_after(&self, unix_ms: u64, condition: impl Fn(&str) -> bool) {
        handover::wait_order(&self.engines, "an order", |order| {
            order.unix_ms > unix_ms && condition(&order.holder)
        })
        .await;
    }

    /// Adds engines for some time.
    async fn add_engines_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.add_engines().await;
            tokio::time::sleep(ENGINE_INTERVAL).await;
        }
    }

    /// Adds engines while two holders might give orders, waits for an order after that, and checks
    /// all orders.
    async fn check_orders(&mut self) {
        self.add_engines_for(OVERLAP_TIME).await;
        let now_ms = journal::unix_ms();
        self.add_engines().await;
        self.wait_order_after(now_ms, |_| true).await;
        handover::check_orders(&handover::received_orders(&self.engines).await);
    }
}

/// Guards against two holders, or two terms with the same fencing token, after a return has lost
/// the row of the lease.
#[tokio::test]
async fn a_lost_lease_gives_no_fencing_token_out_again() {
    let mut order_fleet = OrderFleet::start().await;
    order_fleet.restore(order_fleet.unheld_at).await;
    order_fleet.check_orders().await;
}

/// Guards against a successor that takes a lost lease while the holder, which is cut off from the
/// store, still acts.
#[tokio::test]
async fn a_lost_lease_is_not_taken_over_from_a_holder_that_is_cut_off() {
    let mut order_fleet = OrderFleet::start().await;
    let holder = order_fleet.holder;
    let fleet = &order_fleet.fleet;
    fleet.set_store_link(holder, FaultKind::Cut).await;
    order_fleet.restore(order_fleet.unheld_at).await;
    order_fleet.add_engines_for(OVERLAP_TIME).await;
    let fleet = &order_fleet.fleet;
    fleet.set_store_link(holder, FaultKind::None).await;
    order_fleet.check_orders().await;
}

/// Guards against a term that is given out again when the holder is killed at a return that has
/// lost its row.
#[tokio::test]
async fn the_term_of_a_holder_killed_at_a_return_is_not_given_out_again() {
    let mut order_fleet = OrderFleet::start().await;
    let first = order_fleet.holder;
    let first_name = order_fleet.name_of(first);
    let copied_at = mark_copy().await;
    order_fleet.fleet.relays[first].process.kill();
    order_fleet.add_engines().await;
    order_fleet
        .wait_order_after(0, |holder| holder != first_name)
        .await;
    let orders = handover::received_orders(&order_fleet.engines).await;
    let second_name = orders.last().expect("an order").holder.clone();
    order_fleet.restore(copied_at).await;
    let mut relays = order_fleet.fleet.relays.iter_mut();
    let second = relays.find(|relay| relay.process.name() == second_name);
    second.expect("the second holder").process.kill();
    order_fleet.add_engines().await;
    let is_third = |holder: &str| holder != first_name && holder != second_name;
    order_fleet.wait_order_after(0, is_third).await;
    order_fleet.check_orders().await;
}

/// Guards against two holders when the holder is paused while the store returns without its row.
#[tokio::test]
async fn a_holder_paused_during_a_return_gives_no_orders_beside_its_successor() {
    let mut order_fleet = OrderFleet::start().await;
    let holder = order_fleet.holder;
    let name = order_fleet.name_of(holder);
    order_fleet.fleet.relays[holder].process.pause();
    order_fleet.restore(order_fleet.unheld_at).await;
    order_fleet.add_engines().await;
    order_fleet
        .wait_order_after(0, |holder| holder != name)
        .await;
    order_fleet.fleet.relays[holder].process.resume();
    order_fleet.check_orders().await;
}

/// Guards against a lease without a holder, or with two, when returns lose some renewals of it.
#[tokio::test]
async fn returns_that_lose_renewals_leave_one_holder() {
    let mut order_fleet = OrderFleet::start().await;
    // The copies have the row of the lease.
    order_fleet.add_engines_for(LOST_RENEWALS_TIME).await;
    for _ in 0..3 {
        order_fleet
            .restore(Instant::now() - LOST_RENEWALS_TIME)
            .await;
        order_fleet.add_engines_for(ENGINE_INTERVAL).await;
    }
    order_fleet.check_orders().await;
}

/// Guards against registrations that stay lost, so that a relay that starts finds no other one.
#[tokio::test]
async fn lost_registrations_are_written_again() {
    let fixture = Fixture::start().await;
    let unregistered_at = Instant::now();
    let mut fleet = Fleet::start(fixture).await;
    tokio::time::sleep(SETTLE_TIME).await;
    restore(&fleet.fixture, unregistered_at, 0).await;
    let store = fleet.fixture.store.address;
    let names: Vec<&str> = fleet
        .relays
        .iter()
        .map(|relay| relay.process.name())
        .collect();
    harness::wait_until(REGISTRATION_TIME, "all relays are registered", async || {
        let path = "/rows-get?table=acaciabank-hosts&part=";
        let response = web::call(store, "GET", path, &[], "").await;
        let body = response.expect("a response").json();
        let rows = body["rows"].as_array().cloned().unwrap_or_default();
        let is_registered = |name: &&str| rows.iter().any(|row| row["key"] == **name);
        names.iter().all(is_registered)
    })
    .await;
    let starting = fleet.fixture.start_relay(&[]).await;
    super::wait_listed(&starting, fleet.relays.len() + 1).await;
    harness::wait_until(TIMEOUT, "the other relays list it", async || {
        fleet.relays[0].listed_addresses().await.len() == fleet.relays.len() + 1
    })
    .await;
}
