//! Signals and graceful shutdown.

use std::{io, sync, sync::atomic::Ordering, time};

use acaciabank_core::shutdown;
use tokio::{
    signal::unix::{self, Signal, SignalKind},
    task::JoinHandle,
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use super::{Phase, tls::TlsAcceptorCell};
use crate::entry;

/// Interval between checks for requests that outlive their connection.
const IN_FLIGHT_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time to write the final responses of requests that have been ended, and to record the outcomes of
/// keyed ones. It must fit into the margin that [`shutdown::ShutdownTimes`] leaves.
const RESPONSE_TIME: time::Duration = time::Duration::from_millis(500);

/// Why the shutdown ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShutdownCause {
    Drained,
    Deadline,
    SecondSignal,
}

impl ShutdownCause {
    fn as_str(self) -> &'static str {
        match self {
            Self::Drained => "all requests finished",
            Self::Deadline => "shutdown_deadline_ms passed",
            Self::SecondSignal => "second signal",
        }
    }
}

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

/// Waits for a shutdown signal, then drains. When all requests have finished, the shutdown deadline
/// is near or a second signal arrives, requests that still run get their final response.
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
    let grace = time::Duration::from_millis(timers.shutdown_deadline_ms);
    // Peers may advertise this daemon for one more gossip interval, and callers keep an address for
    // its lifetime.
    let listen_ms = timers.address_lifetime_ms + timers.gossip_interval_ms;
    let listen_time = time::Duration::from_millis(listen_ms);
    let times = shutdown::ShutdownTimes::new(now.into_std(), listen_time, grace);
    state.shutdown.begin(times);
    state.phase.advance(Phase::Draining);
    state.peers.announce();
    log::info!(running = entry.running.len(); "draining: no longer advertised to callers");

    let drained = async {
        // Ends when the last connection has, and with it the last response has been written.
        let _ = caller_server.await;
        wait_idle(&entry).await;
    };
    let mut drained = std::pin::pin!(drained);
    let served = async {
        tokio::time::sleep_until(now + listen_time).await;
        stop.cancel();
        drained.as_mut().await;
    };
    let cause = tokio::select! {
        () = served => ShutdownCause::Drained,
        () = tokio::time::sleep_until(times.end.into()) => ShutdownCause::Deadline,
        () = signals.recv_shutdown(tls.as_ref()) => ShutdownCause::SecondSignal,
    };
    if cause != ShutdownCause::Drained {
        state.shutdown.end();
        stop.cancel();
        let _ = tokio::time::timeout(RESPONSE_TIME.min(grace), drained).await;
    }
    record_dropped(&entry);
    state.phase.advance(Phase::Left);
    state.peers.announce();
    let interrupted = state.shutdown.interrupted();
    let cause = cause.as_str();
    log::info!(interrupted = interrupted; "stopped: {cause}; requests interrupted: {interrupted}");
}

/// Records the requests that have no final response when the process ends.
fn record_dropped(entry: &entry::EntryState) {
    for request in entry.running.list() {
        if entry.state.shutdown.record_interrupted(&request.id) {
            log::warn!(
                request_id = request.id.as_str(), team = request.team.as_str(),
                work = request.work.as_str(),
                elapsed_ms = request.arrival.elapsed().as_millis() as u64;
                "request dropped by the shutdown"
            );
        }
    }
}

/// Waits until no request is in flight.
async fn wait_idle(entry: &entry::EntryState) {
    while in_flight_count(entry) > 0 {
        tokio::time::sleep(IN_FLIGHT_POLL_INTERVAL).await;
    }
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
