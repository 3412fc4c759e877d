//! Withdrawal of targets, and the registry across versions of the configuration.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use acaciabank_core::member::TargetLoad;
use acaciabank_daemon::{
    config, process,
    target::{PieceDelta, ReportAge, TargetRegistry, WithdrawalCause, run},
};
use acaciabank_protocol::{ids, settings};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

fn deployment(slots: u32, drained: &[&str]) -> settings::Deployment {
    serde_json::from_value(json!({
        "regions": [{"name": "perth", "zones": ["perth-a"]}],
        "hosts": [{"name": "host-1", "zone": "perth-a"}],
        "models": [{"name": "drafter", "version": "1"}],
        "engines": [
            {"name": "engine-1", "host": "host-1", "address": "127.0.0.1:1", "model": "drafter",
             "slots": 4, "fencing": "checked"},
            {"name": "engine-2", "host": "host-1", "address": "127.0.0.1:2", "model": "drafter",
             "slots": slots, "fencing": "checked"}],
        "rules": {"drained": drained},
    }))
    .unwrap()
}

/// Guards against a new version that resets the in-flight counts of unchanged targets, and against
/// a drained target that still accepts work.
#[test]
fn unchanged_targets_keep_their_state_across_versions() {
    let (registry, zone) = (TargetRegistry::default(), ids::ZoneId::new("perth-a"));
    let (first, second) = (
        ids::TargetId::new("engine-1"),
        ids::TargetId::new("engine-2"),
    );
    registry.apply(&deployment(4, &[]), &zone);
    let (kept, changed) = (
        registry.find(&first).unwrap(),
        registry.find(&second).unwrap(),
    );
    kept.own_in_flight.fetch_add(1, Ordering::SeqCst);
    registry.apply(&deployment(8, &["engine-1"]), &zone);
    assert!(Arc::ptr_eq(&kept, &registry.find(&first).unwrap()));
    assert!(!Arc::ptr_eq(&changed, &registry.find(&second).unwrap()));
    assert_eq!(kept.condition.load().cause, Some(WithdrawalCause::Drained));
    assert!(!kept.condition.load().accepting);
    registry.apply(&deployment(8, &[]), &zone);
    assert!(kept.condition.load().accepting);
}

/// Guards against a cleared cause returning a target to service while another cause is still set.
#[test]
fn target_returns_when_every_cause_is_cleared() {
    let registry = TargetRegistry::default();
    registry.apply(&deployment(4, &[]), &ids::ZoneId::new("perth-a"));
    let id = ids::TargetId::new("engine-1");
    let target = registry.find(&id).unwrap();
    assert!(
        target.condition.load().accepting,
        "accepts work before any report"
    );
    let switching = TargetLoad {
        target_hash: target.hash,
        flags: 3,
        running: 2,
        ..TargetLoad::default()
    };
    registry.apply_summary(&switching);
    assert_eq!(
        target.condition.load().cause,
        Some(WithdrawalCause::Switching)
    );
    assert!(registry.set_order_pending(&id, true));
    let serving = TargetLoad {
        flags: 1,
        ..switching
    };
    registry.apply_summary(&serving);
    assert_eq!(
        target.condition.load().cause,
        Some(WithdrawalCause::OrderPending)
    );
    registry.set_order_pending(&id, false);
    assert!(target.condition.load().accepting);
    let summaries = registry.owned_summaries(|owned| *owned == id);
    assert_eq!(
        (summaries.len(), summaries[0].running, summaries[0].flags),
        (1, 2, 1)
    );
    registry.apply_piece_delta(&PieceDelta {
        target_hash: target.hash,
        ..PieceDelta::default()
    });
    assert!(
        registry.take_piece_deltas().is_empty(),
        "received deltas are not forwarded"
    );
}

/// Serves an engine's administration API; `switching` sets whether its state reports a switch.
async fn start_engine(switching: Arc<AtomicBool>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = Vec::new();
            while !bytes.ends_with(b"\r\n\r\n") && stream.read_buf(&mut bytes).await.unwrap() > 0 {}
            let switch = json!({"order_id": "order-1", "until_unix_ms": 0});
            let switch = switching.load(Ordering::SeqCst).then_some(switch);
            let body = match String::from_utf8_lossy(&bytes) {
                head if head.contains("/admin/state") => json!({"boot_id": "1", "role": "decode",
                    "models": [], "switching": switch, "highest_fencing": 0, "last_order": null}),
                head if head.contains("/admin/load") => json!({"running": 3, "slots": 4}),
                _ => json!({"boot_id": "1", "next": 1, "events": [
                    {"sequence": 1, "kind": "stored", "pieces": ["00000000000000ff"]}]}),
            };
            let body = body.to_string();
            let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ";
            let response = format!("{head}{}\r\n\r\n{body}", body.len());
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

async fn wait_for(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "the condition did not become true within 20 s"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against polls that do not withdraw a switching engine, do not return it to service
/// afterwards, or lose its cache events.
#[tokio::test]
async fn polls_withdraw_a_switching_engine_and_return_it() {
    let switching = Arc::new(AtomicBool::new(true));
    let address = start_engine(Arc::clone(&switching)).await;
    let mut deployment = deployment(4, &[]);
    deployment.engines.truncate(1);
    deployment.engines[0].address = address;
    let settings: settings::ProcessSettings = serde_json::from_value(json!({
        "daemon": "daemon-1", "region": "perth", "zone": "perth-a",
        "caller_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0", "table": {"address": "127.0.0.1:1"},
        "timers": {"target_poll_ms": 20},
    }))
    .unwrap();
    let state = Arc::new(process::ProcessState {
        boot_ids: process::BootIds::new(1),
        ..process::ProcessState::new(settings)
    });
    tokio::spawn(run(Arc::clone(&state)));
    state.config.apply(config::ConfigVersion {
        version: 1,
        operator: "test".to_owned(),
        deployment,
    });
    let id = ids::TargetId::new("engine-1");
    wait_for(|| state.targets.find(&id).is_some()).await;
    let target = state.targets.find(&id).unwrap();
    wait_for(|| target.condition.load().cause == Some(WithdrawalCause::Switching)).await;
    switching.store(false, Ordering::SeqCst);
    wait_for(|| target.condition.load().accepting).await;
    assert_eq!(target.condition.load().role, settings::EngineRole::Decode);
    assert_eq!(target.condition.load().load.running, 3);
    let deltas = state.targets.take_piece_deltas();
    assert_eq!(deltas[0].stored, [255]);
    state.phase.advance(process::Phase::Left);
}

/// Guards against loads that count as outdated, or as new, because the time of day of this host or
/// of the target was set.
#[test]
fn ages_of_reports_do_not_depend_on_the_time_of_day() {
    // The target's time of day when the monotonic clock of this process shows 0, an hour of
    // difference in either direction.
    for offset_ms in [1_796_000_000_000_u64, 1_796_003_600_000, 0] {
        let mut ages = ReportAge::default();
        for (stated_ms, received_ms) in [
            (1_000, 1_003),
            (1_500, 1_502),
            (1_500, 2_502),
            (3_000, 3_052),
        ] {
            let age = ages.record(offset_ms + stated_ms, received_ms);
            let real = Duration::from_millis(received_ms - stated_ms);
            // The shortest transit, of 2 ms, does not count, and the clocks may drift apart by a
            // thousandth of the 1.6 s from the first report to the last.
            let error = real.abs_diff(age);
            assert!(
                error <= Duration::from_micros(2_000 + 1_600),
                "{age:?} instead of {real:?}"
            );
        }
    }
}

/// Guards against reports that count as old forever after the target's clock was set back, and
/// against an age that grows while one clock runs slower than the other.
#[test]
fn ages_of_reports_recover_after_the_clock_of_the_target_was_set() {
    let mut ages = ReportAge::default();
    let hour_ms = 3_600_000;
    ages.record(2 * hour_ms, 1_000);
    assert_eq!(ages.record(hour_ms, 1_500), Duration::ZERO);
    assert_eq!(ages.record(hour_ms + 500, 2_000), Duration::ZERO);
    assert_eq!(ages.record(3 * hour_ms, 2_500), Duration::ZERO);
    // Half a second between reports, on a clock that loses 100 microseconds in a second.
    let mut stated_us = 3 * hour_ms * 1_000;
    for report in 1..100_000_u64 {
        stated_us += 500_000 - 50;
        let age = ages.record(stated_us / 1_000, 2_500 + report * 500);
        assert!(
            age <= Duration::from_millis(2),
            "{age:?} at report {report}"
        );
    }
}
