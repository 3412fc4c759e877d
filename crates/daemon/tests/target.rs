//! Tests of the withdrawal of targets and of the registry across versions.

use std::sync::{Arc, atomic::Ordering};

use acaciabank_daemon::target::{LoadSummary, PieceDelta, TargetRegistry, WithdrawalCause};
use acaciabank_protocol::{ids, settings};
use serde_json::json;

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

/// Guards against in-flight counts that start at zero with each version, and against a drained
/// target that still accepts work.
#[test]
fn unchanged_targets_live_across_versions() {
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

/// Guards against one cause's end returning a target that another cause still withdraws.
#[test]
fn target_returns_when_every_cause_has_ended() {
    let registry = TargetRegistry::default();
    registry.apply(&deployment(4, &[]), &ids::ZoneId::new("perth-a"));
    let id = ids::TargetId::new("engine-1");
    let target = registry.find(&id).unwrap();
    assert!(
        target.condition.load().accepting,
        "usable before any report"
    );
    let switching = LoadSummary {
        target: target.hash,
        flags: 3,
        running: 2,
        ..LoadSummary::default()
    };
    registry.update_from_peer(&switching);
    assert_eq!(
        target.condition.load().cause,
        Some(WithdrawalCause::Switching)
    );
    assert!(registry.set_order_pending(&id, true));
    let serving = LoadSummary {
        flags: 1,
        ..switching
    };
    registry.update_from_peer(&serving);
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
        target: target.hash,
        ..PieceDelta::default()
    });
    assert!(
        registry.take_piece_deltas().is_empty(),
        "received deltas are not passed on"
    );
}
