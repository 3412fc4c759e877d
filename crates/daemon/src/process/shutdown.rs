//! Signals and graceful shutdown.

use std::{io, sync, sync::atomic::Ordering, time};

use tokio::{
    signal::unix::{self, Signal, SignalKind},
    task::JoinHandle,
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use super::{Phase, tls::TlsAcceptorCell};
use crate::{entry, telemetry::names};

/// Interval at which the end of requests that outlive their connection is checked.
const IN_FLIGHT_CHECK: time::Duration = time::Duration::from_millis(20);

/// Streams of the signals that the daemon handles.
pub(super) struct SignalStreams {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl SignalStreams {
    pub(super) fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: unix::signal(SignalKind::terminate())?,
            interrupt: unix::signal(SignalKind::interrupt())?,
            hangup: unix::signal(SignalKind::hangup())?,
        })
    }

    /// Returns at the next signal that asks for the end; reloads TLS at SIGHUP meanwhile.
    async fn next_end(&mut self, tls: Option<&TlsAcceptorCell>) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(tls),
            }
        }
    }
}

fn reload(tls: Option<&TlsAcceptorCell>) {
    match tls.map(TlsAcceptorCell::reload) {
        None => log::info!("SIGHUP ignored: TLS is not configured"),
        Some(Ok(())) => log::info!("TLS files reloaded"),
        Some(Err(error)) => log::error!("TLS files not reloaded, former ones stay: {error}"),
    }
}

/// Waits for the first signal, then drains; returns when the process may end.
pub(super) async fn run(
    entry: sync::Arc<entry::EntryState>,
    servers: JoinHandle<()>,
    stop: CancellationToken,
    mut signals: SignalStreams,
    tls: Option<TlsAcceptorCell>,
) {
    signals.next_end(tls.as_ref()).await;
    let state = &entry.state;
    let timers = &state.settings.timers;
    let now = Instant::now();
    let deadline = now + time::Duration::from_millis(timers.shutdown_deadline_ms);
    let window_ms = timers.address_lifetime_ms + timers.gossip_interval_ms;
    let window_end = now + time::Duration::from_millis(window_ms);
    state.phase.advance(Phase::Draining);
    state.peers.announce();
    log::info!(running = entry.running.len(); "draining: no longer named to callers");

    let drained = async {
        tokio::time::sleep_until(window_end).await;
        stop.cancel();
        let _ = servers.await;
        while in_flight(&entry) > 0 {
            tokio::time::sleep(IN_FLIGHT_CHECK).await;
        }
    };
    let cause = tokio::select! {
        () = drained => "all requests finished",
        () = tokio::time::sleep_until(deadline) => "shutdown_deadline_ms passed",
        () = signals.next_end(tls.as_ref()) => "second signal",
    };
    let interrupted = in_flight(&entry);
    metrics::counter!(names::INTERRUPTED).increment(interrupted as u64);
    state.phase.advance(Phase::Left);
    state.peers.announce();
    log::info!(interrupted = interrupted; "stopped: {cause}; requests interrupted: {interrupted}");
}

/// Requests of callers, requests at targets that go on after their caller left, or keyed requests
/// whose outcome is still being recorded.
fn in_flight(entry: &entry::EntryState) -> usize {
    let snapshot = entry.state.targets.snapshot();
    let at_targets: usize = snapshot
        .all
        .iter()
        .map(|target| target.own_in_flight.load(Ordering::Relaxed) as usize)
        .sum();
    let keyed = entry.state.idempotency.active_runs();
    entry.running.len().max(at_targets).max(keyed)
}
