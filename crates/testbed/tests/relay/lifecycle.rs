//! Configuration, leaving targets, outages of the store, shutdown and orders.

use std::{collections::HashSet, time::Duration};

use acaciabank_testbed::harness;
use serde_json::json;

use crate::fixture::{Fixture, LIMIT, event_ids};

/// Guards against serving before a configuration is known, and against a return to an older one.
#[tokio::test]
async fn a_configuration_is_followed_and_never_left_for_an_older_one() {
    let mut fixture = Fixture::start().await;
    let _runner = fixture.runner("r-1", "ledger", None).await;
    let relay = fixture.relay(&[]).await;
    harness::wait_until(LIMIT, "the relay answers 503", async || {
        let answer = relay.send("GET", "/safe/a", "c-0", &[], "").await;
        answer.is_ok_and(|answer| answer.status == 503)
    })
    .await;
    assert_eq!(relay.readiness().await, 503);
    fixture
        .configure(5, |config| config["routes"][0]["prefix"] = "/five/".into())
        .await;
    relay.wait_serving("/five/a").await;
    assert_eq!(relay.readiness().await, 200);
    // The older version is acknowledged by the store later.
    fixture.configure(4, |_| {}).await;
    fixture
        .configure(6, |config| config["routes"][1]["prefix"] = "/six/".into())
        .await;
    relay.wait_serving("/safe/a").await;
    let answer = relay
        .send("GET", "/five/a", "c-1", &[], "")
        .await
        .expect("an answer");
    assert_eq!(answer.status, 404);
}

/// Guards against sending to a runner that leaves.
#[tokio::test]
async fn a_draining_runner_gets_no_new_work() {
    let mut fixture = Fixture::start().await;
    fixture.configure(1, |_| {}).await;
    let runners = [
        fixture.runner("r-1", "ledger", None).await,
        fixture.runner("r-2", "ledger", None).await,
    ];
    let relay = fixture.relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    runners[0].control(json!({"is_draining": true})).await;
    harness::wait_until(LIMIT, "requests go to the other runner alone", async || {
        let before = runners[0].journal().await.len();
        for number in 0..6 {
            let attempt = format!("d-{number}");
            let answer = relay
                .send("GET", "/safe/a", &attempt, &[], "")
                .await
                .expect("an answer");
            assert_eq!(answer.status, 200);
        }
        runners[0].journal().await.len() == before
    })
    .await;
}

/// Guards against an outage of the store that stops the service or a restarted daemon.
#[tokio::test]
async fn an_outage_of_the_store_stops_neither_service_nor_restart() {
    let mut fixture = Fixture::start().await;
    fixture.configure(1, |_| {}).await;
    let _runner = fixture.runner("r-1", "ledger", None).await;
    let first = fixture.relay(&[]).await;
    let mut second = fixture.relay(&[&first]).await;
    first.wait_serving("/safe/a").await;
    second.wait_serving("/safe/a").await;
    fixture.store.control(json!({"is_silent": true})).await;
    second.process.restart().expect("a restart");
    second.wait_serving("/safe/a").await;
    let answer = first
        .send("GET", "/safe/a", "o-1", &[], "")
        .await
        .expect("an answer");
    assert_eq!(answer.status, 200);
}

/// Guards against a shutdown that cuts a stream or leaves callers without an address.
#[tokio::test]
async fn a_shutdown_leaves_the_addresses_and_cuts_nothing() {
    let mut fixture = Fixture::start().await;
    fixture.configure(1, |_| {}).await;
    let _engine = fixture.runner("d-1", "models", Some("decode")).await;
    let first = fixture.relay(&[]).await;
    let mut second = fixture.relay(&[&first]).await;
    for relay in [&first, &second] {
        harness::wait_until(LIMIT, "both relays are named", async || {
            relay.addresses().await.len() == 2
        })
        .await;
    }
    harness::wait_until(LIMIT, "a stream is served", async || {
        let answer = second.stream("/stream/a", "probe", 2).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    let events = 200;
    let (stream, ()) = tokio::join!(second.stream("/stream/a", "t-1", events), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        second.process.terminate();
    });
    assert_eq!(
        event_ids(&stream.expect("a whole stream").body).len(),
        events as usize
    );
    harness::wait_until(LIMIT, "the other relay names itself alone", async || {
        first.addresses().await == [first.front.to_string()]
    })
    .await;
    harness::wait_until(LIMIT, "the relay has ended", async || {
        second.process.exit_status().is_some()
    })
    .await;
    assert!(
        second
            .process
            .exit_status()
            .is_some_and(|status| status.success())
    );
}

/// Guards against orders of two daemons at the same time, and against a fleet whose stages nobody
/// orders after the holder is gone.
#[tokio::test]
async fn one_daemon_at_a_time_orders_stages() {
    let mut fixture = Fixture::start().await;
    fixture.configure(1, |_| {}).await;
    let mut engines = Vec::new();
    for number in 0..4 {
        let id = format!("d-{number}");
        engines.push(fixture.runner(&id, "models", Some("decode")).await);
    }
    let first = fixture.relay(&[]).await;
    let second = fixture.relay(&[&first]).await;
    harness::wait_until(LIMIT, "three of four engines process prompts", async || {
        let mut orders = 0;
        for engine in &engines {
            let entries = engine.journal().await;
            orders += entries
                .iter()
                .filter(|entry| !entry["order"].is_null())
                .count();
        }
        orders == 3
    })
    .await;
    let mut holders = HashSet::new();
    for engine in &engines {
        let entries = engine.journal().await;
        let orders = entries.iter().filter(|entry| !entry["order"].is_null());
        holders.extend(orders.map(|entry| entry["order"]["holder"].to_string()));
    }
    assert_eq!(holders.len(), 1, "{holders:?}");
    drop((first, second));
}

/// Guards against sending again and again to an incarnation whose address another one has: each
/// refusal costs the retry budget, and one bench day broke it so.
#[tokio::test]
async fn a_replaced_runner_is_left_alone_after_one_refusal() {
    let mut fixture = Fixture::start().await;
    fixture.configure(1, |_| {}).await;
    let mut old = fixture.runner("r-1", "ledger", None).await;
    let relay = fixture.relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    old.process.kill();
    // The entry of the old incarnation is still listed.
    let new = fixture.runner_at(old.address, "r-2", "ledger", None).await;
    relay.wait_serving("/safe/a").await;
    for number in 0..10 {
        let attempt = format!("a-{number}");
        let answer = relay
            .send("GET", "/safe/a", &attempt, &[], "")
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200);
    }
    let entries = new.journal().await;
    let refused = entries
        .iter()
        .filter(|entry| entry["status"] == 421)
        .count();
    assert!(refused <= 1, "{refused} requests for the old incarnation");
}

/// Guards against taking a stream that the end of the process would cut: on a bench day one that was
/// taken five seconds after SIGTERM was given up two seconds later.
#[tokio::test]
async fn a_stopping_relay_refuses_what_it_cannot_finish() {
    let mut fixture = Fixture::start().await;
    fixture.configure(1, |_| {}).await;
    let engine = fixture.runner("d-1", "models", Some("decode")).await;
    let mut relay = fixture.relay(&[]).await;
    harness::wait_until(LIMIT, "a stream is served", async || {
        let answer = relay.stream("/stream/a", "probe", 2).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    relay.process.terminate();
    // A stream that was taken in time keeps the process up until it ends.
    let (long, refused) = tokio::join!(relay.stream("/stream/a", "k-long", 800), async {
        for number in 0.. {
            let attempt = format!("k-{number}");
            match relay.stream("/stream/a", &attempt, 2).await {
                Ok(answer) if answer.status == 503 => return Some(attempt),
                Ok(answer) => assert_eq!(answer.status, 200),
                // The process has ended.
                Err(_) => return None,
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        None
    });
    assert_eq!(event_ids(&long.expect("a whole stream").body).len(), 800);
    let refused = refused.expect("a late stream is refused");
    assert_eq!(engine.runs(&refused).await, 0);
    harness::wait_until(LIMIT, "the relay has ended", async || {
        relay.process.exit_status().is_some()
    })
    .await;
}

/// Guards against a log that blocks: a reader of the standard output that stops reading must stall no
/// request.
#[tokio::test]
async fn a_reader_that_stops_reading_the_log_stalls_no_request() {
    let mut fixture = Fixture::start().await;
    fixture.configure(1, |_| {}).await;
    let _runner = fixture.runner("r-1", "ledger", None).await;
    let path = fixture.launcher.folder().join("relay-1.out");
    nix::unistd::mkfifo(&path, nix::sys::stat::Mode::S_IRWXU).expect("a pipe");
    let options = std::fs::File::options().read(true).write(true).clone();
    let _unread = options.open(&path).expect("an end of the pipe");
    let relay = fixture.relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    // Each request writes a line of some 200 bytes; a pipe holds 64 KiB.
    for number in 0..600 {
        let attempt = format!("log-{number}");
        let answer = relay.send("GET", "/safe/a", &attempt, &[], "").await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
}

/// Guards against a log that ends before the process: the line about its end, and those of the last
/// requests, were still in the queue when the process ended.
#[tokio::test]
async fn the_last_line_of_the_log_tells_the_end() {
    let mut fixture = Fixture::start().await;
    fixture.configure(1, |_| {}).await;
    let _runner = fixture.runner("r-1", "ledger", None).await;
    let mut relay = fixture.relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    relay.process.terminate();
    harness::wait_until(LIMIT, "the relay has ended", async || {
        relay.process.exit_status().is_some()
    })
    .await;
    let output = fixture.launcher.folder().join("relay-1.out");
    let text = std::fs::read_to_string(output).expect("the log");
    let last = text.lines().last().unwrap_or_default();
    assert!(last.contains("\"event\":\"stopped\""), "{last}");
}
