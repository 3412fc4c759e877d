//! Notices of pending orders, on which other daemons back off from the target.

use acaciabank_daemon::target::{TargetRegistry, WithdrawalCause};
use acaciabank_protocol::{ids, settings};
use serde_json::json;

/// Time for which a daemon backs off from a target after a notice.
const BACKOFF_MS: u64 = 600_000;

fn registry() -> TargetRegistry {
    let deployment: settings::Deployment = serde_json::from_value(json!({
        "regions": [{"name": "perth", "zones": ["perth-a"]}],
        "hosts": [{"name": "host-1", "zone": "perth-a"}],
        "models": [{"name": "drafter", "version": "1"}],
        "engines": [{"name": "engine-1", "host": "host-1", "address": "127.0.0.1:1",
                     "model": "drafter", "slots": 4, "fencing": "checked"}],
    }))
    .unwrap();
    let registry = TargetRegistry::default();
    registry.apply(&deployment, &ids::ZoneId::new("perth-a"));
    registry
}

/// Guards against daemons that keep using a target while another daemon has an order pending there,
/// and against a notice that overwrites the load reported by the target's owner with an empty one.
#[test]
fn a_pending_order_withdraws_the_target_at_other_daemons() {
    let target = ids::TargetId::new("engine-1");
    let (sender, receiver) = (registry(), registry());
    assert_eq!(sender.pending_notices(|_| false), []);
    sender.set_order_pending(&target, true);
    let [notice] = sender.pending_notices(|_| false)[..] else {
        panic!("one notice is due");
    };
    assert_eq!(
        sender.pending_notices(|_| true),
        [],
        "an owner reports its load"
    );
    assert!(
        receiver.apply_notice(&notice, BACKOFF_MS),
        "no load follows"
    );
    let withdrawn = receiver.find(&target).unwrap();
    assert!(!withdrawn.is_accepting(0));
    assert_eq!(
        withdrawn.condition.load().cause,
        Some(WithdrawalCause::Unknown)
    );
    sender.set_order_pending(&target, false);
    assert_eq!(sender.pending_notices(|_| false), []);
}
