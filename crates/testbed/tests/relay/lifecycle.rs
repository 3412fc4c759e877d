//! Configuration updates, draining and replaced targets, store outages, stage orders, shutdown and
//! the log.

use std::{
    collections::HashSet,
    fs::File,
    io::{Read, Write},
    path::Path,
    time::Duration,
};

use acaciabank_testbed::harness::{self, Process};
use serde_json::json;
use tokio::net::TcpStream;

use crate::fixture::{Fixture, Relay, TIMEOUT, event_ids};

/// Guards against serving without a configuration, and against reverting to an older version.
#[tokio::test]
async fn a_configuration_is_never_replaced_by_an_older_version() {
    let mut fixture = Fixture::start().await;
    let _runner = fixture.start_runner("r-1", "ledger", None).await;
    let relay = fixture.start_relay(&[]).await;
    harness::wait_until(TIMEOUT, "the relay responds with 503", async || {
        let response = relay.send("GET", "/safe/a", "c-0", &[], "").await;
        response.is_ok_and(|response| response.status == 503)
    })
    .await;
    assert_eq!(relay.readiness_status().await, 503);
    fixture
        .write_config(5, |config| config["routes"][0]["prefix"] = "/five/".into())
        .await;
    relay.wait_serving("/five/a").await;
    assert_eq!(relay.readiness_status().await, 200);
    // The store accepts the older version after the newer one.
    fixture.write_config(4, |_| {}).await;
    fixture
        .write_config(6, |config| config["routes"][1]["prefix"] = "/six/".into())
        .await;
    relay.wait_serving("/safe/a").await;
    let response = relay.response("GET", "/five/a", "c-1", &[], "").await;
    assert_eq!(response.status, 404);
}

/// Starts a relay whose settings file is a pipe, calls `act` while it waits for its settings, and
/// then writes `text` to the pipe.
async fn restart_before_settings(
    relay: &mut Relay,
    pipe: &Path,
    text: &[u8],
    act: impl Fn(&Process),
) {
    relay.process.restart().expect("the process restarts");
    let path = pipe.to_owned();
    // Returns once the relay has opened the pipe.
    let opened = tokio::task::spawn_blocking(move || File::options().write(true).open(path));
    let mut pipe = opened.await.expect("a thread").expect("a pipe");
    act(&relay.process);
    pipe.write_all(text).expect("a write");
}

/// Guards against a process that is ended by a signal which arrives before it has read its
/// settings.
#[tokio::test]
async fn signals_before_the_settings_are_read_do_not_end_the_process() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let _runner = fixture.start_runner("r-1", "ledger", None).await;
    let mut relay = fixture.start_relay(&[]).await;
    let settings = fixture.launcher.folder().join("relay-1.toml");
    let text = std::fs::read(&settings).expect("settings");
    std::fs::remove_file(&settings).expect("a settings file");
    nix::unistd::mkfifo(&settings, nix::sys::stat::Mode::S_IRWXU).expect("a pipe");
    restart_before_settings(&mut relay, &settings, &text, Process::hang_up).await;
    relay.wait_serving("/safe/a").await;
    restart_before_settings(&mut relay, &settings, &text, Process::terminate).await;
    harness::wait_until(TIMEOUT, "the relay stops", async || {
        relay.process.exit_status().is_some()
    })
    .await;
    let status = relay.process.exit_status().expect("a status");
    assert!(status.success(), "{status:?}");
}

/// Guards against requests that are sent to a draining runner.
#[tokio::test]
async fn a_draining_runner_gets_no_new_requests() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let runners = [
        fixture.start_runner("r-1", "ledger", None).await,
        fixture.start_runner("r-2", "ledger", None).await,
    ];
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    runners[0].control(json!({"is_draining": true})).await;
    harness::wait_until(
        TIMEOUT,
        "requests go only to the other runner",
        async || {
            let before = runners[0].journal().await.len();
            for number in 0..6 {
                let attempt = format!("d-{number}");
                let response = relay.response("GET", "/safe/a", &attempt, &[], "").await;
                assert_eq!(response.status, 200);
            }
            runners[0].journal().await.len() == before
        },
    )
    .await;
}

/// Guards against a store outage that interrupts serving, or that keeps a restarted relay from
/// serving.
#[tokio::test]
async fn a_store_outage_affects_neither_serving_nor_restart() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let _runner = fixture.start_runner("r-1", "ledger", None).await;
    let first = fixture.start_relay(&[]).await;
    let mut second = fixture.start_relay(&[&first]).await;
    first.wait_serving("/safe/a").await;
    second.wait_serving("/safe/a").await;
    fixture.store.control(json!({"is_silent": true})).await;
    second.process.restart().expect("the process restarts");
    second.wait_serving("/safe/a").await;
    let response = first.response("GET", "/safe/a", "o-1", &[], "").await;
    assert_eq!(response.status, 200);
}

/// Guards against a shutdown that interrupts a stream, or that leaves the stopped relay listed.
#[tokio::test]
async fn a_stopping_relay_is_unlisted_and_finishes_its_streams() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let _engine = fixture.start_runner("d-1", "models", Some("decode")).await;
    let first = fixture.start_relay(&[]).await;
    let mut second = fixture.start_relay(&[&first]).await;
    for relay in [&first, &second] {
        harness::wait_until(TIMEOUT, "both relays are listed", async || {
            relay.listed_addresses().await.len() == 2
        })
        .await;
    }
    second.wait_streaming("/stream/a", 2).await;
    let events = 200;
    let (stream, ()) = tokio::join!(second.request_stream("/stream/a", "t-1", events), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        second.process.terminate();
    });
    assert_eq!(
        event_ids(&stream.expect("a complete stream").body).len(),
        events as usize
    );
    harness::wait_until(TIMEOUT, "the other relay lists only itself", async || {
        first.listed_addresses().await == [first.caller_address.to_string()]
    })
    .await;
    harness::wait_until(TIMEOUT, "the relay has exited", async || {
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

/// Guards against stage orders from two relays at the same time, and against a fleet whose stages
/// no relay orders.
#[tokio::test]
async fn one_relay_at_a_time_orders_stages() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let mut engines = Vec::new();
    for number in 0..4 {
        let id = format!("d-{number}");
        engines.push(fixture.start_runner(&id, "models", Some("decode")).await);
    }
    let first = fixture.start_relay(&[]).await;
    let second = fixture.start_relay(&[&first]).await;
    harness::wait_until(
        TIMEOUT,
        "three of four engines are ordered to prefill",
        async || {
            let mut orders = 0;
            for engine in &engines {
                let entries = engine.journal().await;
                orders += entries
                    .iter()
                    .filter(|entry| !entry["order"].is_null())
                    .count();
            }
            orders == 3
        },
    )
    .await;
    let mut lease_holders = HashSet::new();
    for engine in &engines {
        let entries = engine.journal().await;
        let orders = entries.iter().filter(|entry| !entry["order"].is_null());
        lease_holders.extend(orders.map(|entry| entry["order"]["holder"].to_string()));
    }
    assert_eq!(lease_holders.len(), 1, "{lease_holders:?}");
    drop((first, second));
}

/// Guards against repeated requests to a runner instance whose address now belongs to another one.
/// Each refusal consumes retry budget; a benchmark run exhausted it this way.
#[tokio::test]
async fn a_replaced_runner_is_avoided_after_one_refusal() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let mut old = fixture.start_runner("r-1", "ledger", None).await;
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    old.process.kill();
    // The old instance is still registered in the store.
    let new = fixture
        .start_runner_at(old.address, "r-2", "ledger", None)
        .await;
    relay.wait_serving("/safe/a").await;
    for number in 0..10 {
        let attempt = format!("a-{number}");
        let response = relay.response("GET", "/safe/a", &attempt, &[], "").await;
        assert_eq!(response.status, 200);
    }
    let entries = new.journal().await;
    let refused = entries
        .iter()
        .filter(|entry| entry["status"] == 421)
        .count();
    assert!(refused <= 1, "{refused} requests for the old instance");
}

/// Guards against accepting a stream that the exit of the process would interrupt. In a benchmark
/// run, one that was accepted five seconds after SIGTERM was dropped two seconds later.
#[tokio::test]
async fn a_stopping_relay_refuses_what_it_cannot_finish() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let engine = fixture.start_runner("d-1", "models", Some("decode")).await;
    let mut relay = fixture.start_relay(&[]).await;
    relay.wait_streaming("/stream/a", 2).await;
    relay.process.terminate();
    // A stream that was accepted in time keeps the process running until it ends.
    let (long, refused) = tokio::join!(relay.request_stream("/stream/a", "k-long", 800), async {
        for number in 0.. {
            let attempt = format!("k-{number}");
            match relay.request_stream("/stream/a", &attempt, 2).await {
                Ok(response) if response.status == 503 => return Some(attempt),
                Ok(response) => assert_eq!(response.status, 200),
                // The process has exited.
                Err(_) => return None,
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        None
    });
    assert_eq!(event_ids(&long.expect("a complete stream").body).len(), 800);
    let refused = refused.expect("a late stream is refused");
    assert_eq!(engine.run_count(&refused).await, 0);
    harness::wait_until(TIMEOUT, "the relay has exited", async || {
        relay.process.exit_status().is_some()
    })
    .await;
}

/// Guards against blocking log writes: requests must not stall when the reader of the standard
/// output stops reading.
#[tokio::test]
async fn an_unread_log_stalls_no_request() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let _runner = fixture.start_runner("r-1", "ledger", None).await;
    let path = fixture.launcher.folder().join("relay-1.out");
    nix::unistd::mkfifo(&path, nix::sys::stat::Mode::S_IRWXU).expect("a named pipe");
    let options = std::fs::File::options().read(true).write(true).clone();
    let _unread = options.open(&path).expect("an open pipe");
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    // Each request logs about 200 bytes; the pipe buffer holds 64 KiB.
    for number in 0..600 {
        let attempt = format!("log-{number}");
        let response = relay.send("GET", "/safe/a", &attempt, &[], "").await;
        assert_eq!(response.expect("a response").status, 200);
    }
}

/// Guards against a process that ends without its last lines because the queue of the log is full:
/// the reader of the standard output goes on while the process waits for the lines to be written.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_log_queue_is_written_at_the_exit() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let _runner = fixture.start_runner("r-1", "ledger", None).await;
    let path = fixture.launcher.folder().join("relay-1.out");
    nix::unistd::mkfifo(&path, nix::sys::stat::Mode::S_IRWXU).expect("a named pipe");
    let mut options = File::options();
    let mut output = options.read(true).write(true).open(&path).expect("a pipe");
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    // More than the pipe and the queue hold.
    for number in 0..1_500 {
        let attempt = format!("log-{number}");
        let response = relay.send("GET", "/safe/a", &attempt, &[], "").await;
        assert_eq!(response.expect("a response").status, 200);
    }
    relay.process.terminate();
    // The listeners close right before the process waits for its log.
    while TcpStream::connect(relay.ready_address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let (sender, receiver) = tokio::sync::oneshot::channel();
    // Not waited for at the end of the test: without the lines the read never returns.
    std::thread::spawn(move || {
        let mut text = String::new();
        let mut buffer = [0; 65_536];
        while !text.contains("\"event\":\"log_dropped\"") {
            let count = output.read(&mut buffer).expect("a read");
            text += &String::from_utf8_lossy(&buffer[..count]);
        }
        let _ = sender.send(text);
    });
    let read = tokio::time::timeout(Duration::from_secs(5), receiver).await;
    let text = read.expect("the queued lines").expect("a reader");
    let lines = text.lines().filter(|line| line.contains("\"answered\""));
    // The queue's lines beside those that the pipe holds.
    assert!(lines.count() > 1_024, "{}", text.lines().count());
}

/// Guards against log lines lost at exit: the line about the shutdown and those of the last
/// requests were still queued when the process exited.
#[tokio::test]
async fn the_last_log_line_reports_the_shutdown() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let _runner = fixture.start_runner("r-1", "ledger", None).await;
    let mut relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    relay.process.terminate();
    harness::wait_until(TIMEOUT, "the relay has exited", async || {
        relay.process.exit_status().is_some()
    })
    .await;
    let output = fixture.launcher.folder().join("relay-1.out");
    let text = std::fs::read_to_string(output).expect("the log file");
    let last = text.lines().last().unwrap_or_default();
    assert!(last.contains("\"event\":\"stopped\""), "{last}");
}
