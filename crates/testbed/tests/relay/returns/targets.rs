//! Targets whose rows change around a return of the store.

use std::time::{Duration, Instant};

use acaciabank_testbed::{harness, proxy::FaultKind};
use serde_json::json;

use super::{
    CHANGE_BOUND, Fleet, NO_REWRITE_MS, REWRITE_TIME, RecordedTarget, SETTLE_TIME,
    advance_versions, has_logged, mark_copy, restore,
};
use crate::fixture::{Fixture, Relay, TIMEOUT};

/// A fleet with a target that stays, and one whose row is in the copy and was written again at a
/// version that is lost.
struct ReturnedFleet {
    fleet: Fleet,
    _steady: RecordedTarget,
    target: RecordedTarget,
    copied_at: Instant,
}

impl ReturnedFleet {
    /// Starts the fleet up to the moment before the return.
    async fn start(fixture: Fixture) -> Self {
        let fleet = Fleet::start(fixture).await;
        let steady = RecordedTarget::start_ready(&fleet.fixture, "steady").await;
        let target = RecordedTarget::start_ready(&fleet.fixture, "target").await;
        target.wait_used(&fleet.relays).await;
        let copied_at = mark_copy().await;
        advance_versions(&fleet.fixture).await;
        target.write_row(&fleet.fixture, "ready").await;
        tokio::time::sleep(SETTLE_TIME).await;
        Self {
            fleet,
            _steady: steady,
            target,
            copied_at,
        }
    }

    async fn restore(&self) {
        restore(&self.fleet.fixture, self.copied_at, 0).await;
    }

    /// Has the target drain and checks that it is not used from the bound on.
    async fn check_drain(&self) {
        self.target.write_row(&self.fleet.fixture, "draining").await;
        tokio::time::sleep(CHANGE_BOUND).await;
        self.target.check_unused(&self.fleet.relays).await;
    }
}

/// Deletes the row of a target, as the platform does when it has left.
async fn delete_row(fleet: &Fleet, target: &RecordedTarget) {
    fleet.fixture.deregister_target(&target.id).await;
}

/// Waits until all relays have logged that a target is gone.
async fn wait_gone(relays: &[Relay], target: &RecordedTarget) {
    for relay in relays {
        let description = format!("{} logs that the target is gone", relay.process.name());
        harness::wait_until(TIMEOUT, &description, async || {
            has_logged(relay, |line| {
                line["event"] == "target_gone" && line["target_id"] == target.id.as_str()
            })
        })
        .await;
    }
}

/// Guards against requests to a target that drains after a return, at a version below those that
/// relays know.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_drains_after_a_return_gets_no_requests() {
    let returned = ReturnedFleet::start(Fixture::start().await).await;
    returned.restore().await;
    returned.check_drain().await;
}

/// Guards against a drain that is missed because relays have read the store between the return and
/// the drain.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_drains_seconds_after_a_return_gets_no_requests() {
    let returned = ReturnedFleet::start(Fixture::start().await).await;
    returned.restore().await;
    tokio::time::sleep(SETTLE_TIME).await;
    let target = &returned.target;
    target.write_row(&returned.fleet.fixture, "ready").await;
    tokio::time::sleep(SETTLE_TIME).await;
    returned.check_drain().await;
}

/// Guards against a state of relays that survives one return and not the next one.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_drains_after_two_returns_gets_no_requests() {
    let returned = ReturnedFleet::start(Fixture::start().await).await;
    returned.restore().await;
    let fixture = &returned.fleet.fixture;
    returned.target.write_row(fixture, "ready").await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    advance_versions(fixture).await;
    returned.target.write_row(fixture, "ready").await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    returned.restore().await;
    returned.check_drain().await;
}

/// Has the store return while a relay is cut off from it, and the target drain before and after the
/// relay is in touch with the store again.
async fn check_cut_off(relay: usize) {
    let returned = ReturnedFleet::start(Fixture::start_proxied().await).await;
    let (fleet, target) = (&returned.fleet, &returned.target);
    fleet.set_store_link(relay, FaultKind::Cut).await;
    returned.restore().await;
    returned.check_drain().await;
    target.write_row(&fleet.fixture, "ready").await;
    target.wait_used(&fleet.relays).await;
    fleet.set_store_link(relay, FaultKind::None).await;
    returned.check_drain().await;
}

/// Guards against a relay that follows no change of the others because it has not seen the return
/// itself: the first relay.
#[tokio::test(flavor = "multi_thread")]
async fn the_first_relay_follows_a_drain_while_it_is_cut_off() {
    check_cut_off(0).await;
}

/// Guards against a relay that follows no change of the others because it has not seen the return
/// itself: the last relay.
#[tokio::test(flavor = "multi_thread")]
async fn the_last_relay_follows_a_drain_while_it_is_cut_off() {
    check_cut_off(2).await;
}

/// Guards against a relay that is cut off during two returns and follows no change after them,
/// because it takes the second one for the one that others have reported.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_was_cut_off_during_two_returns_follows_a_drain() {
    let returned = ReturnedFleet::start(Fixture::start_proxied().await).await;
    let fleet = &returned.fleet;
    fleet.set_store_link(0, FaultKind::Cut).await;
    returned.restore().await;
    returned.target.write_row(&fleet.fixture, "ready").await;
    tokio::time::sleep(SETTLE_TIME).await;
    returned.restore().await;
    fleet.set_store_link(0, FaultKind::None).await;
    returned.check_drain().await;
}

/// Guards against a drain that is missed because the store did not respond for a while before it
/// returned, so that calls of relays failed and were repeated.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_drains_after_an_outage_and_a_return_gets_no_requests() {
    let returned = ReturnedFleet::start(Fixture::start().await).await;
    let store = &returned.fleet.fixture.store;
    store.control(json!({"is_silent": true})).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let age_ms = returned.copied_at.elapsed().as_millis() as u64;
    let patch = json!({"is_silent": false, "restore": {"age_ms": age_ms}});
    store.control(patch).await;
    // The store is stable again when the relays have had time for a repeated call.
    tokio::time::sleep(SETTLE_TIME).await;
    returned.check_drain().await;
}

/// Guards against relays that list a target for ever whose row was lost and not written again.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_whose_row_is_not_written_again_is_gone() {
    let fleet = Fleet::start(Fixture::start().await).await;
    let _steady = RecordedTarget::start_ready(&fleet.fixture, "steady").await;
    let copied_at = mark_copy().await;
    advance_versions(&fleet.fixture).await;
    let added = RecordedTarget::start_ready(&fleet.fixture, "added").await;
    added.wait_used(&fleet.relays).await;
    restore(&fleet.fixture, copied_at, 0).await;
    tokio::time::sleep(REWRITE_TIME + CHANGE_BOUND).await;
    added.check_unused(&fleet.relays).await;
    wait_gone(&fleet.relays, &added).await;
}

/// Guards against requests to a target that was added in the lost time, wrote its row again and
/// left after the return.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_leaves_after_a_return_is_gone() {
    let fleet = Fleet::start(Fixture::start().await).await;
    let _steady = RecordedTarget::start_ready(&fleet.fixture, "steady").await;
    let copied_at = mark_copy().await;
    advance_versions(&fleet.fixture).await;
    let added = RecordedTarget::start_ready(&fleet.fixture, "added").await;
    added.wait_used(&fleet.relays).await;
    restore(&fleet.fixture, copied_at, 0).await;
    added.write_row(&fleet.fixture, "ready").await;
    tokio::time::sleep(SETTLE_TIME).await;
    delete_row(&fleet, &added).await;
    tokio::time::sleep(CHANGE_BOUND).await;
    added.check_unused(&fleet.relays).await;
    wait_gone(&fleet.relays, &added).await;
}

/// Guards against refusals while the row of the only target, which was lost, is not written again
/// yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_whose_row_was_lost_is_used_without_a_gap() {
    let fleet = Fleet::start(Fixture::start().await).await;
    let copied_at = mark_copy().await;
    advance_versions(&fleet.fixture).await;
    let only = RecordedTarget::start_ready(&fleet.fixture, "only").await;
    only.wait_used(&fleet.relays).await;
    restore(&fleet.fixture, copied_at, 0).await;
    // Every request of a batch has to be served.
    let restored_at = Instant::now();
    let send_until = async |end: Duration| {
        while restored_at.elapsed() < end {
            let batches = fleet.relays.iter().map(super::send_batch);
            futures::future::join_all(batches).await;
        }
    };
    send_until(REWRITE_TIME - Duration::from_millis(500)).await;
    only.write_row(&fleet.fixture, "ready").await;
    send_until(REWRITE_TIME + 2 * CHANGE_BOUND).await;
}

/// Guards against targets that are not used because they were added after a return, at a version
/// below those that relays know.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_is_added_after_a_return_is_used() {
    let returned = ReturnedFleet::start(Fixture::start().await).await;
    returned.restore().await;
    let fixture = &returned.fleet.fixture;
    let added = RecordedTarget::start_ready(fixture, "added").await;
    added.wait_used(&returned.fleet.relays).await;
}

/// Guards against a new run of a target that is not used because the former one drained in the lost
/// time, at a version above that of the new row.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_starts_again_after_a_return_is_used() {
    let returned = ReturnedFleet::start(Fixture::start().await).await;
    returned.check_drain().await;
    returned.restore().await;
    let (fleet, target) = (&returned.fleet, &returned.target);
    target.restart();
    target.write_row(&fleet.fixture, "ready").await;
    target.wait_used(&fleet.relays).await;
}

/// Guards against requests to a target that drained in the lost time and is ready in the copy.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_drained_in_the_lost_time_gets_no_requests() {
    let returned = ReturnedFleet::start(Fixture::start().await).await;
    returned.check_drain().await;
    returned.restore().await;
    returned.target.check_unused(&returned.fleet.relays).await;
    returned.check_drain().await;
}

/// Guards against requests to a target that left in the lost time and is in the copy, and against a
/// target that stays unused when it writes its row again.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_left_in_the_lost_time_gets_no_requests() {
    let returned = ReturnedFleet::start(Fixture::start().await).await;
    let (fleet, target) = (&returned.fleet, &returned.target);
    delete_row(fleet, target).await;
    tokio::time::sleep(CHANGE_BOUND).await;
    target.check_unused(&fleet.relays).await;
    returned.restore().await;
    target.check_unused(&fleet.relays).await;
    // The platform deletes the row of the copy when the target does not write it.
    delete_row(fleet, target).await;
    target.check_unused(&fleet.relays).await;
    target.write_row(&fleet.fixture, "ready").await;
    target.wait_used(&fleet.relays).await;
}

/// Guards against a relay that starts between a return and the next write of the targets, and does
/// not follow the changes after it.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_starts_after_a_return_follows_a_drain() {
    let mut returned = ReturnedFleet::start(Fixture::start().await).await;
    restore(&returned.fleet.fixture, returned.copied_at, NO_REWRITE_MS).await;
    let fleet = &mut returned.fleet;
    fleet.relays[1]
        .process
        .restart()
        .expect("the process restarts");
    returned.target.wait_used(&returned.fleet.relays).await;
    returned.check_drain().await;
}

/// Guards against relays that remove a target whose row was lost, because the store is away again
/// in the time in which the target may write its row.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_whose_row_was_lost_is_kept_while_the_store_is_away_again() {
    let fleet = Fleet::start(Fixture::start().await).await;
    let copied_at = mark_copy().await;
    advance_versions(&fleet.fixture).await;
    let only = RecordedTarget::start_ready(&fleet.fixture, "only").await;
    only.wait_used(&fleet.relays).await;
    restore(&fleet.fixture, copied_at, 0).await;
    for relay in &fleet.relays {
        let description = format!("{} logs that the row is lost", relay.process.name());
        harness::wait_until(TIMEOUT, &description, async || {
            has_logged(relay, |line| line["event"] == "target_doubt")
        })
        .await;
    }
    fleet
        .fixture
        .store
        .control(json!({"is_silent": true}))
        .await;
    tokio::time::sleep(REWRITE_TIME + CHANGE_BOUND).await;
    let has_removed = |relay| has_logged(relay, |line| line["event"] == "target_gone");
    assert!(!fleet.relays.iter().any(has_removed));
    only.wait_used(&fleet.relays).await;
}
