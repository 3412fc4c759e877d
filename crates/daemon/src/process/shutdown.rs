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

/// Interval between checks for requests that outlive their connection.
const IN_FLIGHT_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Streams of the handled signals: SIGTERM, SIGINT and SIGHUP.
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

    /// Waits for the next SIGTERM or SIGINT. Reloads the TLS files on SIGHUP meanwhile.
    async fn recv_shutdown(&mut self, tls: Option<&TlsAcceptorCell>) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload_tls(tls),
            }
        }
    }
}

fn reload_tls(tls: Option<&TlsAcceptorCell>) {
    match tls.map(TlsAcceptorCell::reload) {
        None => log::info!("SIGHUP ignored: TLS is not configured"),
        Some(Ok(())) => log::info!("TLS files reloaded"),
        Some(Err(error)) => log::error!("TLS reload failed, previous files kept: {error}"),
    }
}

/// Waits for a shutdown signal, then drains. Returns when all requests have finished, the shutdown
/// deadline has passed or a second signal arrives.
pub(super) async fn run(
    entry: sync::Arc<entry::EntryState>,
    caller_server: JoinHandle<()>,
    stop: CancellationToken,
    mut signals: SignalStreams,
    tls: Option<TlsAcceptorCell>,
) {
    signals.recv_shutdown(tls.as_ref()).await;
    let state = &entry.state;
    let timers = &state.settings.timers;
    let now = Instant::now();
    let deadline = now + time::Duration::from_millis(timers.shutdown_deadline_ms);
    // Peers may advertise this daemon for one more gossip interval, and callers keep an address for
    // its lifetime.
    let listen_ms = timers.address_lifetime_ms + timers.gossip_interval_ms;
    let listen_until = now + time::Duration::from_millis(listen_ms);
    state.phase.advance(Phase::Draining);
    state.peers.announce();
    log::info!(running = entry.running.len(); "draining: no longer advertised to callers");

    let drained = async {
        tokio::time::sleep_until(listen_until).await;
        stop.cancel();
        let _ = caller_server.await;
        while in_flight_count(&entry) > 0 {
            tokio::time::sleep(IN_FLIGHT_POLL_INTERVAL).await;
        }
    };
    let cause = tokio::select! {
        () = drained => "all requests finished",
        () = tokio::time::sleep_until(deadline) => "shutdown_deadline_ms passed",
        () = signals.recv_shutdown(tls.as_ref()) => "second signal",
    };
    let interrupted = in_flight_count(&entry);
    metrics::counter!(names::INTERRUPTED).increment(interrupted as u64);
    state.phase.advance(Phase::Left);
    state.peers.announce();
    log::info!(interrupted = interrupted; "stopped: {cause}; requests interrupted: {interrupted}");
}

/// Returns the highest of three counts: callers' requests, requests at targets, which can outlive
/// the caller's connection, and keyed requests whose outcome is still being recorded.
fn in_flight_count(entry: &entry::EntryState) -> usize {
    let snapshot = entry.state.targets.snapshot();
    let at_targets: usize = snapshot
        .all
        .iter()
        .map(|target| target.own_in_flight.load(Ordering::Relaxed) as usize)
        .sum();
    let keyed = entry.state.idempotency.active_call_count();
    entry.running.len().max(at_targets).max(keyed)
}
