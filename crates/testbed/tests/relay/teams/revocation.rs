//! Keys that are added and withdrawn while relays, or the store, do not work as usual.

use std::time::{Duration, Instant};

use acaciabank_testbed::harness;
use serde_json::{Value, json};

use super::{NORTH_KEY, SOUTH_KEY, UNKNOWN_KEY, add_teams, start, status, wait_status};
use crate::{
    fixture::{EmulatorProcess, Fixture, Relay, TIMEOUT},
    returns::{NO_REWRITE_MS, mark_copy, restore},
};

/// Time after the store's acknowledgement from which a withdrawn key is refused everywhere
/// (`config_apply_ms` of the settings).
const APPLY_TIME: Duration = Duration::from_secs(3);
/// Time for which a test looks at a key that must stay withdrawn.
const WATCH_TIME: Duration = Duration::from_secs(3);

fn only_south(config: &mut Value) {
    config["tenants"] = json!([{"name": "south", "api_keys": [SOUTH_KEY]}]);
}

/// Waits until relays refuse a key, for no longer than the time in which they have to.
async fn wait_withdrawn(relays: &[&Relay], key: &str) {
    let started = Instant::now();
    for relay in relays {
        let left = APPLY_TIME.saturating_sub(started.elapsed());
        let description = format!("{} refuses the key", relay.process.name());
        harness::wait_until(left, &description, async || {
            status(relay, "withdrawn", Some(key)).await == 401
        })
        .await;
    }
}

/// Starts a store that turns every relay away.
async fn start_refusing_store(fixture: &Fixture) -> EmulatorProcess {
    let address = fixture.launcher.next_address().expect("address");
    let arguments = ["--listen".to_owned(), address.to_string()];
    let process = fixture
        .launcher
        .start_ready("refusing", "store", arguments)
        .await;
    let store = EmulatorProcess {
        process: process.expect("store"),
        address,
    };
    store.control(json!({"refuses": true})).await;
    store
}

/// Guards against a relay that serves a withdrawn key, or refuses a new one, because the store
/// turns it away.
#[tokio::test]
async fn a_relay_that_the_store_turns_away_follows_the_others() {
    let (mut fixture, _runner, first) = start(add_teams).await;
    let refusing = start_refusing_store(&fixture).await;
    let store = std::mem::replace(&mut fixture.store, refusing);
    let turned_away = fixture.start_relay(&[&first]).await;
    let _refusing = std::mem::replace(&mut fixture.store, store);
    wait_status(&turned_away, Some(NORTH_KEY), 200).await;
    wait_status(&turned_away, Some(UNKNOWN_KEY), 401).await;
    fixture.write_config(2, only_south).await;
    wait_withdrawn(&[&turned_away, &first], NORTH_KEY).await;
    fixture.write_config(3, add_teams).await;
    wait_status(&turned_away, Some(NORTH_KEY), 200).await;
}

/// Guards against a withdrawn key that is valid again because the store comes back from a copy of
/// the time before: on a relay that runs, and on one that starts afterwards.
#[tokio::test]
async fn a_withdrawn_key_stays_withdrawn_when_the_store_returns() {
    let (mut fixture, _runner, first) = start(add_teams).await;
    let second = fixture.start_relay(&[&first]).await;
    wait_status(&second, Some(NORTH_KEY), 200).await;
    let copied_at = mark_copy().await;
    fixture.write_config(2, only_south).await;
    wait_withdrawn(&[&first, &second], NORTH_KEY).await;
    restore(&fixture, copied_at, NO_REWRITE_MS).await;
    let end = Instant::now() + WATCH_TIME;
    while Instant::now() < end {
        for relay in [&first, &second] {
            assert_eq!(status(relay, "returned", Some(NORTH_KEY)).await, 401);
            assert_eq!(status(relay, "kept", Some(SOUTH_KEY)).await, 200);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let starting = fixture.start_relay(&[&first]).await;
    wait_status(&starting, Some(SOUTH_KEY), 200).await;
    wait_withdrawn(&[&starting], NORTH_KEY).await;
}

/// Guards against a relay that was paused and judges a new key by what had waited for it meanwhile:
/// the response of a store that had nothing new, and the reports of another relay.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_was_paused_does_not_refuse_a_new_key() {
    let (mut fixture, _runner, first) = start(add_teams).await;
    let second = fixture.start_relay(&[&first]).await;
    wait_status(&second, Some(NORTH_KEY), 200).await;
    harness::wait_until(TIMEOUT, "the relays know each other", async || {
        second.listed_addresses().await.len() == 2 && first.listed_addresses().await.len() == 2
    })
    .await;
    second.process.pause();
    // The store has answered what the relay had asked, and the other relay has reported.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let with_new_key = |config: &mut Value| {
        add_teams(config);
        config["tenants"][1]["api_keys"] = json!([SOUTH_KEY, UNKNOWN_KEY]);
    };
    fixture.write_config(2, with_new_key).await;
    tokio::time::sleep(APPLY_TIME).await;
    // The next read takes a while, as does that of the other relay's document.
    fixture.store.control(json!({"answer_delay_ms": 400})).await;
    let attempts: Vec<String> = (0..8).map(|number| format!("new-{number}")).collect();
    let sent = attempts
        .iter()
        .map(|attempt| status(&second, attempt, Some(UNKNOWN_KEY)));
    let resume = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        second.process.resume();
    };
    let (statuses, ()) = tokio::join!(futures::future::join_all(sent), resume);
    assert!(!statuses.contains(&401), "{statuses:?}");
    fixture.store.control(json!({"answer_delay_ms": 0})).await;
    wait_status(&second, Some(UNKNOWN_KEY), 200).await;
}
