//! Graceful shutdown after SIGTERM.

use std::time::Duration;

use acaciabank_core::shutdown;
use tokio::{net::UdpSocket, time::Instant};

use crate::{gossip, listener, platform, state, usage};

/// Time for which some callers cache the addresses of daemons, as a multiple of the TTL.
const ADDRESS_CACHE_FACTOR: u64 = 3;
/// Longest interval between two looks at whether requests are running.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time to write the final responses of requests that have been ended. With the time for the log it
/// must fit into the margin that [`shutdown::ShutdownTimes`] leaves.
const RESPONSE_TIME: Duration = Duration::from_millis(200);

/// Waits until no request is active, at most until `end`.
async fn wait_idle<Codec, Store>(state: &state::RelayState<Codec, Store>, end: Instant) {
    loop {
        let next = Instant::now() + DRAIN_CHECK_INTERVAL;
        tokio::time::sleep_until(next.min(end)).await;
        if state.active.get() == 0 || Instant::now() >= end {
            return;
        }
    }
}

/// Drains the daemon: it is no longer listed to callers from now on, but still serves the requests
/// that arrive and are expected to end in time. Returns when no request runs and no caller can have
/// its address cached any more, or when the grace period is over; requests that still run then get
/// their final response.
pub async fn shut_down<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    socket: &UdpSocket,
    stop: &listener::StopSignals,
) {
    let times = shutdown_times(&state.settings);
    state.phase.set(state::RelayPhase::Draining);
    state.shutdown.begin(times);
    log::info!(active = state.active.get(), end_ms = left_ms(times.end); "stopping");
    gossip::announce(state, socket).await;
    deregister(state, times.cached_until.into()).await;
    let end = Instant::from(times.end);
    // Until then callers may use open connections too; their next response closes them.
    tokio::time::sleep_until(times.cached_until.into()).await;
    stop.finish.cancel();
    wait_idle(state, end).await;
    stop.close.cancel();
    // Connections that were waiting to be accepted are served.
    wait_idle(state, end).await;
    // A process that is idle ends at once: what arrives until then must not be taken for late.
    if state.active.get() > 0 {
        state.shutdown.end();
        wait_idle(state, Instant::now() + RESPONSE_TIME).await;
    }
    if usage::is_active(state) {
        // What was counted since the last report.
        gossip::announce(state, socket).await;
    }
    log::info!(
        active = state.active.get(), interrupted = state.shutdown.interrupted();
        "stopped"
    );
}

/// Removes the daemon's row from the store. A stale row is harmless: the next daemon on the host
/// replaces it, and others ignore a daemon that does not respond.
async fn deregister<Codec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    deadline: Instant,
) {
    let removed = state.store.deregister_host(&state.settings.host);
    match tokio::time::timeout_at(deadline, removed).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => log::warn!(error:% = error; "deregister_failed"),
        Err(_) => log::warn!(error = "the store has not responded"; "deregister_failed"),
    }
}

fn shutdown_times(settings: &state::RelaySettings) -> shutdown::ShutdownTimes {
    let cached_s = settings.max_ttl_s.min(listener::ADDRESS_TTL_S) * ADDRESS_CACHE_FACTOR;
    shutdown::ShutdownTimes::new(
        std::time::Instant::now(),
        Duration::from_secs(cached_s),
        Duration::from_millis(settings.grace_ms),
    )
}

fn left_ms(time: std::time::Instant) -> u64 {
    let left = time.saturating_duration_since(std::time::Instant::now());
    left.as_millis() as u64
}
