//! Hand-over of the lease for stage orders between relays, before engines that check no fencing
//! token.

use std::{fs, time::Duration};

use acaciabank_testbed::harness;

use crate::fixture::{EmulatorProcess, Fixture, Relay, TIMEOUT};

/// Shortest time between the last order of a lease holder and the first one of its successor that
/// the platform asks for where engines do not check fencing tokens.
pub const MIN_HANDOVER_MS: u64 = 3_000;

/// How the lease holder stops to act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HolderEnd {
    Killed,
    /// It is paused before it sends the orders that it has planned, and resumed after its successor
    /// has given some.
    Paused,
    Stopped,
}

/// A stage order as an engine received it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReceivedOrder {
    pub unix_ms: u64,
    pub holder: String,
    pub fence: u64,
}

/// Returns the orders that all engines have received, the first one first.
pub async fn received_orders(engines: &[EmulatorProcess]) -> Vec<ReceivedOrder> {
    let mut orders = Vec::new();
    for engine in engines {
        let entries = engine.journal().await;
        let received = entries.iter().filter(|entry| !entry["order"].is_null());
        orders.extend(received.map(|entry| {
            ReceivedOrder {
                unix_ms: entry["unix_ms"].as_u64().expect("a time"),
                holder: entry["order"]["holder"]
                    .as_str()
                    .expect("a holder")
                    .to_owned(),
                fence: entry["order"]["fence"].as_u64().expect("a fencing token"),
            }
        }));
    }
    orders.sort();
    orders
}

/// Starts engines that decode, so that the lease holder has to order stage changes.
pub async fn add_engines(fixture: &Fixture, engines: &mut Vec<EmulatorProcess>) {
    for _ in 0..4 {
        let id = format!("d-{}", engines.len());
        engines.push(fixture.start_runner(&id, "models", Some("decode")).await);
    }
}

/// Waits for an order that fulfils a condition.
pub async fn wait_order(
    engines: &[EmulatorProcess],
    description: &str,
    condition: impl Fn(&ReceivedOrder) -> bool,
) -> ReceivedOrder {
    let mut found = None;
    harness::wait_until(TIMEOUT, description, async || {
        found = received_orders(engines).await.into_iter().find(&condition);
        found.is_some()
    })
    .await;
    found.expect("the order that was waited for")
}

/// Waits until a relay holds the lease and returns its index. It sends the first orders 300 ms
/// later, after the other relays have learned which engines change.
pub async fn wait_holder(relays: &[Relay]) -> usize {
    let mut holder = None;
    harness::wait_until(TIMEOUT, "a relay that holds the lease", async || {
        holder = relays.iter().position(|relay| {
            let log = fs::read_to_string(relay.process.output_file()).unwrap_or_default();
            let mut lines = log.lines();
            lines.any(|line| {
                line.contains(r#""event":"lease""#) && line.contains(r#""holder":true"#)
            })
        });
        holder.is_some()
    })
    .await;
    holder.expect("the holder that was waited for")
}

/// Has the first holder stop while its orders are in flight, and checks the orders of all relays.
async fn hand_over(end: HolderEnd) {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let mut engines = Vec::new();
    add_engines(&fixture, &mut engines).await;
    let first = fixture.start_relay(&[]).await;
    let second = fixture.start_relay(&[&first]).await;
    let third = fixture.start_relay(&[&first]).await;
    let mut relays: Vec<Relay> = vec![first, second, third];
    let holder = wait_holder(&relays).await;
    if end != HolderEnd::Paused {
        wait_order(&engines, "an order of the first holder", |_| true).await;
    }
    let holder = &mut relays[holder].process;
    match end {
        HolderEnd::Killed => holder.kill(),
        HolderEnd::Paused => holder.pause(),
        HolderEnd::Stopped => holder.terminate(),
    }
    add_engines(&fixture, &mut engines).await;
    let successor = wait_order(&engines, "an order of the successor", |order| {
        order.holder != holder.name()
    })
    .await;
    if end == HolderEnd::Paused {
        holder.resume();
    }
    // Time in which a former holder would send what it had planned.
    tokio::time::sleep(Duration::from_millis(MIN_HANDOVER_MS)).await;
    add_engines(&fixture, &mut engines).await;
    wait_order(&engines, "an order after the hand-over", |order| {
        order.unix_ms >= successor.unix_ms + MIN_HANDOVER_MS
    })
    .await;
    check_orders(&received_orders(&engines).await);
}

/// Checks that orders of two holders are far enough apart, that fencing tokens never go back, and
/// that no two holders use the same one.
pub fn check_orders(orders: &[ReceivedOrder]) {
    for pair in orders.windows(2) {
        let [earlier, later] = pair else { continue };
        if earlier.holder == later.holder {
            assert!(later.fence >= earlier.fence, "{earlier:?} before {later:?}");
            continue;
        }
        let pause_ms = later.unix_ms - earlier.unix_ms;
        assert!(
            pause_ms >= MIN_HANDOVER_MS,
            "{pause_ms} ms between {earlier:?} and {later:?}"
        );
        assert!(later.fence > earlier.fence, "{earlier:?} before {later:?}");
    }
}

/// Guards against orders of a successor while those of a killed holder may still take effect, and
/// against a fleet whose stages no relay orders after the holder's end.
#[tokio::test]
async fn a_killed_lease_holder_is_succeeded_after_its_last_order() {
    hand_over(HolderEnd::Killed).await;
}

/// Guards against a paused holder that sends the orders it was about to send when it is resumed,
/// after its successor has begun to act.
#[tokio::test]
async fn a_resumed_lease_holder_gives_no_orders_of_its_former_term() {
    hand_over(HolderEnd::Paused).await;
}

/// Guards against a successor that acts while orders of a stopping holder are in flight.
#[tokio::test]
async fn a_stopping_lease_holder_is_succeeded_after_its_last_order() {
    hand_over(HolderEnd::Stopped).await;
}
