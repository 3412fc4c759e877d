//! Task that acquires the lease and renews it.

use std::time::Duration;

use acaciabank_core::lease;

use super::LEASE_NAME;
use crate::{clock, platform, scheduler, state, usage};

/// Interval at which daemons that do not hold the lease check it; long, as every check reads the
/// store.
const CHALLENGE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval between attempts of the holder to renew the lease when the store does not respond.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time by which a renewal is later if there are no control tasks, and so no checkpoint that it carries:
/// each one is a call of the store.
const RENEWAL_DELAY_MS: u64 = 300;
/// Time by which the second candidate for the lease waits longer than the first.
const STANDBY_DELAY_MS: u64 = 2_000;

/// Maintains the lease until this daemon stops. Only the first two candidates compete for it.
pub async fn run<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
) {
    let mut is_holder = false;
    let mut extra_wait_ms = 0;
    loop {
        tokio::time::sleep(next_interval(&state, is_holder, extra_wait_ms)).await;
        if state.phase.get() == state::RelayPhase::Draining {
            return;
        }
        let rank = scheduler::own_rank(&state, clock::now_ms());
        if !is_holder && (rank > 1 || state.config().is_none()) {
            continue;
        }
        extra_wait_ms = rank as u64 * STANDBY_DELAY_MS;
        maintain(&state, extra_wait_ms).await;
        let may_act = state.lease.grant(clock::now_ms()).is_some();
        if may_act != is_holder {
            is_holder = may_act;
            log::info!(holder = may_act, lease = LEASE_NAME; "lease");
        }
        if may_act {
            state.lease.acquired.notify_waiters();
        }
    }
}

/// Returns the time until the next step. The holder sleeps until the renewal is due, a challenger
/// until it may take over, if that is sooner than its next look at the row.
fn next_interval<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    is_holder: bool,
    extra_wait_ms: u64,
) -> Duration {
    let now_ms = clock::now_ms();
    if !is_holder {
        let takeover_ms = state.lease.elector.borrow().takeover_ms(extra_wait_ms);
        let remaining_ms = takeover_ms.and_then(|takeover_ms| takeover_ms.checked_sub(now_ms));
        return match remaining_ms {
            Some(remaining_ms) if remaining_ms > 0 => {
                CHALLENGE_INTERVAL.min(Duration::from_millis(remaining_ms))
            }
            _ => CHALLENGE_INTERVAL,
        };
    }
    let delay_ms = match state.settings.control_tasks.is_empty() {
        true => RENEWAL_DELAY_MS,
        false => 0,
    };
    match state.lease.grant(now_ms) {
        Some(grant) if now_ms < grant.renew_at_ms => {
            Duration::from_millis(grant.renew_at_ms + delay_ms - now_ms)
        }
        _ => RETRY_INTERVAL,
    }
}

/// Reads, acquires or renews the lease, whichever is due.
async fn maintain<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    extra_wait_ms: u64,
) {
    let elector = &state.lease.elector;
    let mut step = elector.borrow().on_tick(clock::now_ms());
    if step == lease::LeaseStep::Read {
        let read = state.store.read_lease(LEASE_NAME).await;
        step = match read {
            Ok(read) => elector
                .borrow_mut()
                .on_read(clock::now_ms(), &read, extra_wait_ms),
            Err(error) => {
                log::debug!("cannot read lease {LEASE_NAME}: {error}");
                lease::LeaseStep::Wait
            }
        };
    }
    let lease::LeaseStep::Write(write) = step else {
        return;
    };
    let sent_ms = clock::now_ms();
    let checkpoint = usage::encode_checkpoint(state, sent_ms);
    let written = state
        .store
        .write_lease(LEASE_NAME, &write, checkpoint.as_deref());
    let result = match written.await {
        Ok(Some(version)) => lease::WriteResult::Committed(version),
        Ok(None) => lease::WriteResult::Conflict,
        Err(platform::StoreError::Status(_)) => lease::WriteResult::Unavailable,
        Err(_) => lease::WriteResult::Unknown,
    };
    let had_grant = state.lease.grant(clock::now_ms()).is_some();
    elector.borrow_mut().on_written(sent_ms, &write, result);
    if !had_grant && state.lease.grant(clock::now_ms()).is_some() {
        state.lease.tenure.set(state.lease.tenure.get() + 1);
    }
}
