//! Startup, signal handling and graceful shutdown of the process.

use std::{rc, time::Duration};

use futures::{FutureExt, future};
use nix::sys::signal::{SigSet, Signal};
use tokio::{
    net::UdpSocket,
    signal::unix::{SignalKind, signal},
    time::Instant,
};

use crate::{
    clock, discovery, gossip, listener, panics, planner, platform, scheduler, state, telemetry,
};

pub use crate::state::RelaySettings;

/// Time before the end of the grace period at which the process exits by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// Time for which some callers cache the addresses of daemons, as a multiple of the TTL.
const ADDRESS_CACHE_FACTOR: u64 = 3;
/// Interval at which a draining daemon checks for running requests.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the metrics recorder's upkeep, which bounds the memory of its histograms.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time to write the last lines of the log; it must fit into [`GRACE_MARGIN`].
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Stack size of the runtime's threads for blocking calls. Requests make no blocking calls.
const BLOCKING_STACK_BYTES: usize = 128 << 10;

/// Holds back SIGTERM and SIGHUP for this thread, and for those that it starts, until [`run`] handles
/// them. Their default action ends the process, which may follow its start within milliseconds.
///
/// # Errors
///
/// Returns a message if the signal mask cannot be changed.
pub fn hold_signals() -> Result<(), String> {
    let held = handled_signals().thread_block();
    held.map_err(|error| format!("cannot hold back signals: {error}"))
}

fn release_signals() -> Result<(), String> {
    let released = handled_signals().thread_unblock();
    released.map_err(|error| format!("cannot receive signals: {error}"))
}

fn handled_signals() -> SigSet {
    let mut signals = SigSet::empty();
    signals.add(Signal::SIGTERM);
    signals.add(Signal::SIGHUP);
    signals
}

/// Runs the daemon until SIGTERM.
///
/// # Errors
///
/// Returns a message that names the logger, runtime, signal handler, socket or address that could
/// not be set up.
pub fn run<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    settings: RelaySettings,
    codec: Codec,
    store: Store,
) -> Result<(), String> {
    telemetry::install_log(&settings.host, settings.log_level)?;
    panics::install_hook();
    // The clock starts with the process.
    clock::steady_unix_ms();
    telemetry::install_metrics();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .thread_stack_size(BLOCKING_STACK_BYTES)
        .build()
        .map_err(|error| format!("cannot start the runtime: {error}"))?;
    let local = tokio::task::LocalSet::new();
    let state = rc::Rc::new(state::RelayState::new(settings, codec, store));
    let result = runtime.block_on(local.run_until(run_daemon(state)));
    // Requests that still run are dropped here, which writes their last lines.
    drop(local);
    telemetry::flush_log(LOG_FLUSH_TIMEOUT);
    result
}

async fn run_daemon<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|error| error.to_string())?;
    release_signals()?;
    let socket = UdpSocket::bind(state.settings.peer_address).await;
    let socket =
        rc::Rc::new(socket.map_err(|error| format!("cannot bind the peer socket: {error}"))?);
    // The state was just created, so the cell is empty.
    let _: Result<(), _> = state.scheduler.socket.set(rc::Rc::clone(&socket));
    let stop = listener::StopSignals::default();
    start_listeners(&state, &stop)?;
    start_tasks(&state, &socket);
    log_start(&state);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            // The settings hold only addresses and limits that are fixed at startup, so there is
            // nothing to reload.
            _ = hangup.recv() => log::info!("reload"),
        }
    }
    shut_down(&state, &socket, &stop).await;
    Ok(())
}

fn start_listeners<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    stop: &listener::StopSignals,
) -> Result<(), String> {
    let settings = &state.settings;
    let never_cancelled = listener::StopSignals::default();
    let listeners = [
        (
            settings.caller_address,
            listener::ListenerRole::Callers,
            stop,
        ),
        (
            settings.directory_address,
            listener::ListenerRole::Directory,
            &never_cancelled,
        ),
        (
            settings.ready_address,
            listener::ListenerRole::Directory,
            &never_cancelled,
        ),
        (
            settings.peer_address,
            listener::ListenerRole::Peers,
            &never_cancelled,
        ),
        (
            settings.metrics_address,
            listener::ListenerRole::Metrics,
            &never_cancelled,
        ),
    ];
    for (address, role, stop) in listeners {
        let listener = listener::bind(address)?;
        let state = rc::Rc::clone(state);
        tokio::task::spawn_local(listener::serve(state, listener, role, stop.clone()));
    }
    Ok(())
}

/// Starts a task of the process.
type TaskStart<Codec, Store> =
    fn(state::SharedState<Codec, Store>, rc::Rc<UdpSocket>) -> future::LocalBoxFuture<'static, ()>;

fn start_tasks<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    socket: &rc::Rc<UdpSocket>,
) {
    let now_ms = clock::now_ms();
    for seed in &state.settings.seeds {
        state.peers.borrow_mut().add_contact(*seed, now_ms);
    }
    let spawn = |name: &'static str, run: TaskStart<Codec, Store>| {
        let (state, socket) = (rc::Rc::clone(state), rc::Rc::clone(socket));
        let start = move || run(rc::Rc::clone(&state), rc::Rc::clone(&socket));
        tokio::task::spawn_local(async move { panics::run_task(name, start).await });
    };
    spawn("config", |state, _| {
        discovery::run_config(state).boxed_local()
    });
    spawn("targets", |state, _| {
        discovery::run_targets(state).boxed_local()
    });
    spawn("hosts", |state, _| {
        discovery::run_hosts(state).boxed_local()
    });
    spawn("peer_config", |state, _| {
        discovery::run_peer_config(state).boxed_local()
    });
    spawn("planner", |state, _| planner::run(state).boxed_local());
    spawn("scheduler", |state, _| scheduler::run(state).boxed_local());
    spawn("warmup", |state, _| {
        scheduler::run_warmup(state).boxed_local()
    });
    spawn("gossip", |state, socket| {
        gossip::run(state, socket).boxed_local()
    });
    spawn("messages", |state, socket| {
        gossip::receive(state, socket).boxed_local()
    });
    tokio::task::spawn_local(async {
        let mut interval = tokio::time::interval(METRICS_UPKEEP_INTERVAL);
        loop {
            interval.tick().await;
            telemetry::install_metrics().run_upkeep();
        }
    });
}

fn log_start<Codec, Store>(state: &state::RelayState<Codec, Store>) {
    let settings = &state.settings;
    log::info!(
        boot = state.boot_id, zone = settings.zone.as_str(), callers:% = settings.caller_address,
        peers:% = settings.peer_address, seeds = settings.seeds.len();
        "started"
    );
}

/// Waits until no request is active, at most until `end`.
async fn wait_idle<Codec, Store>(state: &state::RelayState<Codec, Store>, end: Instant) {
    loop {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        if state.active.get() == 0 || Instant::now() >= end {
            return;
        }
    }
}

/// Drains the daemon: it is no longer listed to callers from now on, but still serves the requests
/// that arrive. Returns when no request runs and no caller can have its address cached any more, or
/// when the grace period is over.
async fn shut_down<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    socket: &UdpSocket,
    stop: &listener::StopSignals,
) {
    let settings = &state.settings;
    let end = Instant::now() + Duration::from_millis(settings.grace_ms) - GRACE_MARGIN;
    let cached_s = settings.max_ttl_s.min(listener::ADDRESS_TTL_S) * ADDRESS_CACHE_FACTOR;
    let cached_until = Instant::now() + Duration::from_secs(cached_s);
    state.phase.set(state::RelayPhase::Draining);
    state.shutdown_deadline.set(Some(end.into_std()));
    log::info!(active = state.active.get(); "stopping");
    gossip::announce(state, socket).await;
    if let Err(error) = state.store.deregister_host(&settings.host).await {
        // A stale row is harmless: the next daemon on the host replaces it, and others ignore a
        // daemon that does not respond.
        log::warn!(error:% = error; "deregister_failed");
    }
    // Until then callers may use open connections too; their next response closes them.
    tokio::time::sleep_until(cached_until.min(end)).await;
    stop.finish.cancel();
    wait_idle(state, end).await;
    stop.close.cancel();
    // Connections that were waiting to be accepted are served.
    wait_idle(state, end).await;
    log::info!(active = state.active.get(); "stopped");
}
