//! Startup, signal handling and graceful shutdown of the process.

mod shutdown;

use std::{rc, time::Duration};

use futures::{FutureExt, future};
use nix::sys::signal::{SigSet, Signal};
use tokio::{
    net::UdpSocket,
    signal::unix::{SignalKind, signal},
};

use crate::{
    capacity, clock, discovery, gossip, lease, listener, panics, planner, platform, scheduler,
    state, telemetry, usage, versions,
};

pub use crate::state::RelaySettings;

/// Interval of the metrics recorder's upkeep, which bounds the memory of its histograms.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time to write the last lines of the log; it must fit into the
/// margin that [`acaciabank_core::shutdown::ShutdownTimes`] leaves.
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
    shutdown::shut_down(&state, &socket, &stop).await;
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
    spawn("lease", |state, _| lease::run(state).boxed_local());
    spawn("planner", |state, _| planner::run(state).boxed_local());
    spawn("capacity", |state, _| capacity::run(state).boxed_local());
    spawn("usage", |state, _| usage::run(state).boxed_local());
    spawn("versions", |state, _| versions::run(state).boxed_local());
    spawn("stream_records", |state, _| {
        versions::run_recorder(state).boxed_local()
    });
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
