//! Backoff of the daemons during an outage of the store.

use std::time::Duration;

use acaciabank_core::retry_backoff::{CallerRole, RetryBackoff};

const OUTAGE: Duration = Duration::from_secs(8);

/// Returns the number of calls of one daemon during an outage.
fn calls_during(outage: Duration, role: CallerRole) -> u32 {
    let mut backoff = RetryBackoff::default();
    let mut elapsed = Duration::ZERO;
    while elapsed < outage {
        elapsed += backoff.next_delay(role, 0.5);
    }
    backoff.failures()
}

/// Guards against an outage in which every daemon calls the store as often as the watchers.
#[test]
fn followers_call_rarely_during_an_outage() {
    let watcher = calls_during(OUTAGE, CallerRole::Watcher);
    let follower = calls_during(OUTAGE, CallerRole::Follower);
    assert!(
        2 * follower <= watcher + 1,
        "{follower} and {watcher} calls"
    );
}

/// Guards against a daemon that is not current three seconds after the end of an outage, although
/// no report of a watcher reaches it.
#[test]
fn a_follower_calls_again_within_three_seconds() {
    let mut backoff = RetryBackoff::default();
    let delays = (0..40).map(|_| backoff.next_delay(CallerRole::Follower, 1.0));
    assert!(delays.max() < Some(Duration::from_secs(3)));
}

/// Guards against a watcher that notices the store's return late, as all others wait for it.
#[test]
fn a_watcher_calls_again_within_a_second() {
    let mut backoff = RetryBackoff::default();
    let delays = (0..40).map(|_| backoff.next_delay(CallerRole::Watcher, 1.0));
    assert!(delays.max() < Some(Duration::from_secs(1)));
}

/// Guards against a backoff that goes on after a success.
#[test]
fn a_success_ends_the_backoff() {
    let mut backoff = RetryBackoff::default();
    let first = backoff.next_delay(CallerRole::Follower, 1.0);
    backoff.next_delay(CallerRole::Follower, 1.0);
    assert_eq!(backoff.reset(), 2);
    assert_eq!(backoff.next_delay(CallerRole::Follower, 1.0), first);
}
