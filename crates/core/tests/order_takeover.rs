//! Wait before the first order after a takeover.

use acaciabank_core::{
    lease::LeaseTimers,
    order::{TakeoverWait, takeover_wait},
};
use acaciabank_protocol::settings::FencingSupport;

/// Guards against a new holder that orders without confirmation at a target that neither checks
/// fencing tokens nor closes idle connections after a known time: a late order of the previous
/// holder could still take effect there.
#[test]
fn unknown_idle_close_time_requires_confirmation() {
    let timers = LeaseTimers {
        ttl_ms: 9_000,
        renewal_ms: 3_000,
        margin_ms: 1_000,
    };
    let wait = |close_ms| takeover_wait(FencingSupport::Ignored, close_ms, &timers);
    assert_eq!(wait(None), TakeoverWait::Confirmation);
    assert_eq!(wait(Some(10_000)), TakeoverWait::Time(29_000));
}
