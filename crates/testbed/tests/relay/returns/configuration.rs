//! Configurations that the operator wrote around a return of the store.

use std::time::Duration;

use acaciabank_testbed::{harness, proxy::FaultKind};
use serde_json::{Value, json};

use super::{
    CHANGE_BOUND, Fleet, NO_REWRITE_MS, RecordedTarget, SETTLE_TIME, advance_versions, mark_copy,
    restore,
};
use crate::fixture::{Fixture, ROUTE_HOST, Relay, TIMEOUT};

/// Time after which the operator writes its lost configuration again.
const REWRITE_DELAY_MS: u64 = 3_000;

/// Adds a route to a configuration, by which tests tell whether it is in force.
fn add_route(config: &mut Value, name: &str) {
    let routes = config["routes"].as_array_mut().expect("routes");
    routes.push(json!({
        "name": name, "host": ROUTE_HOST, "prefix": format!("/{name}/"), "kind": "idempotent",
        "timeout_ms": 15_000, "target_latency_ms": 2_000, "priority": 1,
        "service": "ledger", "max_attempts": 2, "resumable": false,
    }));
}

/// Returns whether a relay serves a route.
async fn has_route(relay: &Relay, name: &str) -> bool {
    let path = format!("/{name}/a");
    let sent = relay.send("GET", &path, "route-probe", &[], "").await;
    sent.is_ok_and(|response| response.status == 200)
}

/// Waits until all relays serve a route, for no longer than the given time.
async fn wait_route(relays: &[Relay], name: &str, limit: Duration) {
    let waits = relays.iter().map(|relay| async move {
        let description = format!("{} serves {name}", relay.process.name());
        harness::wait_until(limit, &description, async || has_route(relay, name).await).await;
    });
    futures::future::join_all(waits).await;
}

/// Checks for some time that all relays serve a route.
async fn check_route(relays: &[Relay], name: &str, time: Duration) {
    let end = tokio::time::Instant::now() + time;
    while tokio::time::Instant::now() < end {
        for relay in relays {
            let relay_name = relay.process.name();
            assert!(has_route(relay, name).await, "{relay_name}: {name}");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A fleet with a target that stays.
async fn start_fleet() -> (Fleet, RecordedTarget) {
    let fleet = Fleet::start(Fixture::start().await).await;
    let steady = RecordedTarget::start_ready(&fleet.fixture, "steady").await;
    steady.wait_used(&fleet.relays).await;
    (fleet, steady)
}

/// Writes version 7 of the configuration, with a route, after other writes that are lost with it.
async fn write_lost_config(fleet: &Fleet, route: &str) {
    advance_versions(&fleet.fixture).await;
    let adjust = |config: &mut Value| add_route(config, route);
    fleet.fixture.write_config(7, adjust).await;
    wait_route(&fleet.relays, route, TIMEOUT).await;
}

/// Guards against relays that go back to the configuration of the copy.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_configuration_stays_in_force() {
    let (fleet, _steady) = start_fleet().await;
    let copied_at = mark_copy().await;
    write_lost_config(&fleet, "newer").await;
    restore(&fleet.fixture, copied_at, REWRITE_DELAY_MS).await;
    let rewritten = Duration::from_millis(REWRITE_DELAY_MS);
    check_route(&fleet.relays, "newer", rewritten + CHANGE_BOUND).await;
}

/// Guards against relays that go back to the configuration of the copy when the store returns
/// twice, before the operator has written the lost one again.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_configuration_stays_in_force_across_two_returns() {
    let (fleet, _steady) = start_fleet().await;
    let copied_at = mark_copy().await;
    write_lost_config(&fleet, "newer").await;
    restore(&fleet.fixture, copied_at, REWRITE_DELAY_MS).await;
    check_route(&fleet.relays, "newer", SETTLE_TIME).await;
    restore(&fleet.fixture, copied_at, REWRITE_DELAY_MS).await;
    let rewritten = Duration::from_millis(REWRITE_DELAY_MS);
    check_route(&fleet.relays, "newer", rewritten + CHANGE_BOUND).await;
}

/// Guards against relays that follow no configuration whose row has a version below those that they
/// know.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_written_after_a_return_is_in_force_in_time() {
    let (fleet, _steady) = start_fleet().await;
    let copied_at = mark_copy().await;
    write_lost_config(&fleet, "lost").await;
    restore(&fleet.fixture, copied_at, 0).await;
    let adjust = |config: &mut Value| add_route(config, "next");
    fleet.fixture.write_config(9, adjust).await;
    wait_route(&fleet.relays, "next", CHANGE_BOUND).await;
}

/// Guards against a relay that keeps the configuration of the copy when it starts before the
/// operator has written the lost one again, although another relay has that one.
#[tokio::test(flavor = "multi_thread")]
async fn a_starting_relay_takes_a_lost_configuration_from_another_one() {
    let (mut fleet, _steady) = start_fleet().await;
    let copied_at = mark_copy().await;
    write_lost_config(&fleet, "newer").await;
    restore(&fleet.fixture, copied_at, NO_REWRITE_MS).await;
    let starting = fleet.fixture.start_relay(&[&fleet.relays[0]]).await;
    starting.wait_serving("/safe/a").await;
    let relays = [starting];
    wait_route(&relays, "newer", CHANGE_BOUND).await;
    check_route(&relays, "newer", SETTLE_TIME).await;
    check_route(&fleet.relays, "newer", SETTLE_TIME).await;
}

/// Guards against relays that keep the lost content of a configuration whose number the operator
/// gives out again with another content.
#[tokio::test(flavor = "multi_thread")]
async fn a_number_given_out_again_replaces_the_lost_content() {
    let (fleet, _steady) = start_fleet().await;
    let copied_at = mark_copy().await;
    write_lost_config(&fleet, "lost").await;
    restore(&fleet.fixture, copied_at, NO_REWRITE_MS).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let adjust = |config: &mut Value| add_route(config, "again");
    fleet.fixture.write_config(7, adjust).await;
    wait_route(&fleet.relays, "again", CHANGE_BOUND).await;
    check_route(&fleet.relays, "again", SETTLE_TIME).await;
    for relay in &fleet.relays {
        assert!(!has_route(relay, "lost").await, "{}", relay.process.name());
    }
}

/// Guards against a relay that takes the lost content of a number back from another relay, or gives
/// it on, when the number was given out again while it was cut off from the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_number_given_out_again_reaches_a_relay_that_was_cut_off() {
    let fleet = Fleet::start(Fixture::start_proxied().await).await;
    let steady = RecordedTarget::start_ready(&fleet.fixture, "steady").await;
    steady.wait_used(&fleet.relays).await;
    let copied_at = mark_copy().await;
    write_lost_config(&fleet, "lost").await;
    fleet.set_store_link(0, FaultKind::Cut).await;
    restore(&fleet.fixture, copied_at, NO_REWRITE_MS).await;
    let adjust = |config: &mut Value| add_route(config, "again");
    fleet.fixture.write_config(7, adjust).await;
    wait_route(&fleet.relays, "again", CHANGE_BOUND).await;
    fleet.set_store_link(0, FaultKind::None).await;
    check_route(&fleet.relays, "again", 2 * SETTLE_TIME).await;
}
