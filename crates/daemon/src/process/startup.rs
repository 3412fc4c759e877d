//! Command line, settings file and startup of listeners and tasks.

use std::{ffi, fs, io, net, path, sync};

use acaciabank_protocol::settings::{self, Settings};
use bpaf::Parser;
use tokio::{net::TcpListener, runtime, task::JoinHandle};
use tokio_util::sync::CancellationToken;

use super::{
    Phase, ProcessState, SharedState,
    listener::{self, ListenerOptions},
    shutdown,
    tls::TlsAcceptorCell,
};
use crate::{admin, config, entry, peer, planner, target, telemetry};

const EXIT_START_FAILED: i32 = 1;
const EXIT_INVALID_SETTINGS: i32 = 2;
/// Maximum number of operators' connections; operators are few, and a monitoring system opens some
/// more.
const MAX_ADMIN_CONNECTIONS: usize = 256;
/// Maximum time for which blocked tasks can delay the exit of the process.
const RUNTIME_STOP_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);
/// Interval between upkeep runs of the metrics recorder, which bound the memory of its histograms.
const METRICS_UPKEEP_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);

/// Error that kept the daemon from starting, with the exit status of the process.
pub(super) struct StartError {
    exit_status: i32,
    message: String,
}

fn start_failed(message: impl Into<String>) -> StartError {
    StartError {
        exit_status: EXIT_START_FAILED,
        message: message.into(),
    }
}

/// Mode that the command line selects.
#[derive(Clone, Debug)]
enum StartMode {
    /// Serves the daemon's own interface, with the given settings file.
    Settings(path::PathBuf),
    /// Runs behind the adapter of the platform, which provides the settings.
    Platform,
}

/// Runs the daemon with the given command-line arguments; returns the exit status.
pub fn run(arguments: &[ffi::OsString]) -> i32 {
    let mode = match parse_arguments(arguments) {
        Ok(mode) => mode,
        Err(failure) => {
            failure.print_message(100);
            return match failure {
                bpaf::ParseFailure::Stderr(_) => EXIT_INVALID_SETTINGS,
                _ => 0,
            };
        }
    };
    let result = match mode {
        StartMode::Settings(path) => read_settings(&path).and_then(run_with_settings),
        StartMode::Platform => acaciabank_platform::run().map_err(start_failed),
    };
    match result {
        Ok(()) => 0,
        Err(error) => {
            eprintln!("acaciabankd: {}", error.message);
            error.exit_status
        }
    }
}

fn parse_arguments(arguments: &[ffi::OsString]) -> Result<StartMode, bpaf::ParseFailure> {
    let settings = bpaf::long("settings")
        .help("Settings file (JSON)")
        .argument::<path::PathBuf>("FILE")
        .map(StartMode::Settings);
    let platform = bpaf::pure(StartMode::Platform)
        .to_options()
        .descr("Runs behind the platform's adapter, with the settings that the platform provides")
        .command("platform");
    bpaf::construct!([settings, platform])
        .to_options()
        .descr("Daemon of acaciabank")
        .version(env!("CARGO_PKG_VERSION"))
        .run_inner(bpaf::Args::from(arguments).set_name("acaciabankd"))
}

fn read_settings(path: &path::Path) -> Result<Settings, StartError> {
    let invalid = |message| StartError {
        exit_status: EXIT_INVALID_SETTINGS,
        message,
    };
    let text = fs::read_to_string(path)
        .map_err(|error| invalid(format!("settings file {}: {error}", path.display())))?;
    settings::parse(&text)
        .map_err(|error| invalid(format!("settings file {}: {error}", path.display())))
}

fn run_with_settings(settings: Settings) -> Result<(), StartError> {
    telemetry::logging::install(&settings.process.log).map_err(start_failed)?;
    telemetry::install_metrics();
    let worker_threads = match settings.process.limits.worker_threads {
        0 => std::thread::available_parallelism().map_or(2, usize::from),
        count => count,
    };
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(worker_threads)
        .enable_all()
        .build()
        .map_err(|error| start_failed(format!("creating the async runtime failed: {error}")))?;
    let result = runtime.block_on(run_daemon(settings));
    runtime.shutdown_timeout(RUNTIME_STOP_TIMEOUT);
    result
}

async fn run_daemon(mut settings: Settings) -> Result<(), StartError> {
    let process = &mut settings.process;
    let tls = process.tls.as_ref().map(TlsAcceptorCell::load);
    let tls = tls.transpose().map_err(start_failed)?;
    let caller_listener = bind("caller_address", &mut process.caller_address)?;
    let admin_listener = bind("admin_address", &mut process.admin_address)?;
    let peer_listener = bind("peer_address", &mut process.peer_address)?;
    let caller_listener =
        TcpListener::from_std(caller_listener).map_err(|error| start_failed(error.to_string()))?;
    let admin_listener =
        TcpListener::from_std(admin_listener).map_err(|error| start_failed(error.to_string()))?;
    let signals = shutdown::SignalStreams::new()
        .map_err(|error| start_failed(format!("installing the signal handlers failed: {error}")))?;

    let state = sync::Arc::new(ProcessState::new(settings.process));
    let entry = sync::Arc::new(entry::EntryState::new(sync::Arc::clone(&state)));
    tokio::spawn(advance_when_configured(sync::Arc::clone(&state)));
    tokio::spawn(config::run(sync::Arc::clone(&state), settings.deployment));
    tokio::spawn(target::run(sync::Arc::clone(&state)));
    peer::start(sync::Arc::clone(&state), peer_listener);
    tokio::spawn(planner::run(sync::Arc::clone(&state)));
    tokio::spawn(run_metrics_upkeep());

    let stop = CancellationToken::new();
    let caller_server = start_servers(&entry, caller_listener, admin_listener, tls.as_ref(), &stop);
    log_start(&state);
    shutdown::run(entry, caller_server, stop, signals, tls).await;
    Ok(())
}

/// Binds a listener. Replaces port 0 in `address` by the port that the kernel assigned.
fn bind(name: &str, address: &mut net::SocketAddr) -> Result<net::TcpListener, StartError> {
    let try_bind = || -> io::Result<(net::TcpListener, net::SocketAddr)> {
        let listener = net::TcpListener::bind(*address)?;
        listener.set_nonblocking(true)?;
        let local = listener.local_addr()?;
        Ok((listener, local))
    };
    let (listener, local) = try_bind()
        .map_err(|error| start_failed(format!("{name}: binding to {address} failed: {error}")))?;
    *address = local;
    Ok(listener)
}

/// Starts the HTTP servers. Returns the task that serves callers, which ends after `stop`.
fn start_servers(
    entry: &sync::Arc<entry::EntryState>,
    caller: TcpListener,
    admin: TcpListener,
    tls: Option<&TlsAcceptorCell>,
    stop: &CancellationToken,
) -> JoinHandle<()> {
    let limits = &entry.state.settings.limits;
    let caller_options = ListenerOptions {
        name: "caller",
        max_connections: limits.max_connections,
        max_header_bytes: limits.max_header_bytes,
        tls: tls.cloned(),
        stop: stop.clone(),
    };
    // The operators' listener serves until the process exits, so that a drain can be observed.
    let admin_options = ListenerOptions {
        name: "admin",
        max_connections: MAX_ADMIN_CONNECTIONS,
        stop: CancellationToken::new(),
        ..caller_options.clone()
    };
    let admin_entry = sync::Arc::clone(entry);
    tokio::spawn(listener::serve(admin, admin_options, move |request| {
        admin::handle(sync::Arc::clone(&admin_entry), request)
    }));
    let caller_entry = sync::Arc::clone(entry);
    tokio::spawn(listener::serve(caller, caller_options, move |request| {
        entry::handle(sync::Arc::clone(&caller_entry), request)
    }))
}

/// Moves to [`Phase::Ready`] once the first configuration is received.
async fn advance_when_configured(state: SharedState) {
    let mut changed = state.config.subscribe();
    while state.config.current().is_none() {
        if changed.changed().await.is_err() {
            return;
        }
    }
    state.phase.advance(Phase::Ready);
    state.peers.announce();
    log::info!(version = state.config.version(); "ready: a configuration is in force");
}

async fn run_metrics_upkeep() {
    let mut interval = tokio::time::interval(METRICS_UPKEEP_INTERVAL);
    loop {
        interval.tick().await;
        telemetry::install_metrics().run_upkeep();
    }
}

fn log_start(state: &ProcessState) {
    let settings = &state.settings;
    log::info!(
        daemon = settings.daemon.as_str(),
        boot_id = state.boot_ids.current(),
        caller_address:% = settings.caller_address,
        admin_address:% = settings.admin_address,
        peer_address:% = settings.peer_address,
        tls = settings.tls.is_some();
        "started: callers at {}, operators at {}, daemons at {}",
        settings.caller_address,
        settings.admin_address,
        settings.peer_address
    );
}
