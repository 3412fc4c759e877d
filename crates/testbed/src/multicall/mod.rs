//! Multi-call binary: the first argument selects the kind of process to run.

use std::{env, ffi, future, io, net, path, process, str, sync, time};

use acaciabank_protocol::{ids, settings};
use bpaf::{Parser, construct, long};
use hyper::{Request, body::Incoming};

use crate::{emulator, engine, journal, platform, proxy, service, web};

/// Services, the platform and the store complete every request that they have read, even when the
/// client has disconnected.
const RUN_TO_COMPLETION: web::ServeOptions = web::ServeOptions {
    admin_idle_timeout: None,
    runs_to_completion: true,
};

/// Entry point of the `testbed` binary; never returns.
pub fn main() -> ! {
    run_role_from_args();
    eprintln!(
        "usage: testbed engine|service|platform|proxy|store|cloud|runner|daemon|relay|cli ..."
    );
    process::exit(2);
}

/// Runs the role named by the first argument and exits; returns when the argument names no role.
pub fn run_role_from_args() {
    let arguments: Vec<ffi::OsString> = env::args_os().skip(1).collect();
    let Some((role, rest)) = arguments.split_first() else {
        return;
    };
    let status = match role.to_str() {
        Some("engine") => run_engine(rest),
        Some("service") => run_service(rest),
        Some("platform") => run_platform(rest),
        Some("proxy") => run_proxy(rest),
        Some("daemon") => acaciabank_daemon::run(rest),
        Some("store") => run_store(rest),
        Some("cloud") => run_cloud(rest),
        Some("runner") => run_runner(rest),
        Some("relay") => run_relay(),
        Some("cli") => acaciabank_cli::run(rest),
        _ => return,
    };
    process::exit(status);
}

/// Optional argument with a default value.
fn argument<T>(name: &'static str, default: T) -> impl Parser<T>
where
    T: str::FromStr + Clone + 'static,
    T::Err: std::fmt::Display,
{
    long(name).argument::<T>("VALUE").fallback(default)
}

fn listen() -> impl Parser<net::SocketAddr> {
    argument("listen", net::SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn journal_file() -> impl Parser<Option<path::PathBuf>> {
    long("journal").argument("FILE").optional()
}

/// Argument for a setting, given in its JSON string form.
fn setting<T>(name: &'static str, default: T) -> impl Parser<T>
where
    T: serde::de::DeserializeOwned + Clone + 'static,
{
    let parse = |text: String| serde_json::from_value::<T>(text.into());
    let parser = long(name).argument::<String>("NAME").parse(parse);
    parser.fallback(default)
}

/// Parses arguments; on failure or `--help` prints the message and exits.
fn parse<T>(parser: impl Parser<T> + 'static, arguments: &[ffi::OsString]) -> T {
    match parser.to_options().run_inner(arguments) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(100);
            process::exit(failure.exit_code());
        }
    }
}

/// Binds the listener, builds the handler with `start` from the bound address, prints the ready
/// line and serves requests.
fn run_server<S, H, F>(address: net::SocketAddr, options: web::ServeOptions, start: S) -> i32
where
    S: FnOnce(net::SocketAddr) -> io::Result<H>,
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: future::Future<Output = web::HandlerResult> + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result: io::Result<()> = runtime.and_then(|runtime| {
        runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind(address).await?;
            let address = listener.local_addr()?;
            let handler = start(address)?;
            println!("{}", serde_json::json!({"ready": true, "address": address}));
            web::serve(listener, options, handler).await;
            Ok(())
        })
    });
    match result {
        Ok(()) => 0,
        Err(error) => {
            eprintln!("cannot start the server at {address}: {error}");
            1
        }
    }
}

fn run_store(arguments: &[ffi::OsString]) -> i32 {
    let address = parse(listen(), arguments);
    run_server(address, RUN_TO_COMPLETION, |_| {
        let store = emulator::StoreEmulator::start();
        Ok(move |request| store.clone().handle(request))
    })
}

fn run_cloud(arguments: &[ffi::OsString]) -> i32 {
    let address = parse(listen(), arguments);
    run_server(address, RUN_TO_COMPLETION, |_| {
        let cloud = emulator::CloudEmulator::default();
        Ok(move |request| cloud.clone().handle(request))
    })
}

struct RunnerArguments {
    listen: net::SocketAddr,
    journal_file: Option<path::PathBuf>,
    options: emulator::RunnerOptions,
}

/// Faults that hold across restarts of a runner, unlike those set through `/control`.
fn initial_faults() -> impl Parser<emulator::RunnerFaults> {
    let crash_parts = long("crash-part").argument::<String>("ID").many();
    let first_event_delay_ms = argument("first-event-delay-ms", 0);
    let crash_path = long("crash-path").argument::<String>("PATH").optional();
    construct!(crash_parts, first_event_delay_ms, crash_path).map(
        |(crash_parts, first_event_delay_ms, crash_path)| emulator::RunnerFaults {
            crash_parts,
            first_event_delay_ms,
            crash_path,
            ..emulator::RunnerFaults::default()
        },
    )
}

fn runner_arguments() -> impl Parser<RunnerArguments> {
    let id = argument("id", "r-1".to_owned());
    let service = argument("service", "service".to_owned());
    let zone = argument("zone", "zone-a".to_owned());
    let stage = long("stage").argument::<String>("NAME").optional();
    let version = argument("software", "v1".to_owned());
    let work_ms = argument("work-ms", 5);
    let store = long("store").argument("ADDRESS");
    let is_spot = long("spot").switch();
    let advertised_address = long("advertise").argument("ADDRESS").optional();
    let records_headers = long("record-headers").switch();
    let initial_faults = initial_faults();
    let options = construct!(emulator::RunnerOptions {
        id,
        service,
        zone,
        stage,
        version,
        work_ms,
        store,
        is_spot,
        advertised_address,
        records_headers,
        initial_faults,
    });
    let (listen, journal_file) = (listen(), journal_file());
    construct!(RunnerArguments {
        listen,
        journal_file,
        options,
    })
}

fn run_runner(arguments: &[ffi::OsString]) -> i32 {
    let arguments = parse(runner_arguments(), arguments);
    run_server(arguments.listen, web::ServeOptions::default(), |address| {
        let journal = journal::Journal::open(arguments.journal_file.as_deref())?;
        let journal = sync::Arc::new(journal);
        let runner = emulator::RunnerEmulator::new(arguments.options, address, journal);
        Ok(move |request| runner.clone().handle(request))
    })
}

fn run_relay() -> i32 {
    match acaciabank_platform::run() {
        Ok(()) => 0,
        Err(error) => {
            eprintln!("testbed relay: {error}");
            1
        }
    }
}

fn engine_options() -> impl Parser<engine::EngineOptions> {
    let defaults = engine::EngineOptions::default();
    let name = argument("name", defaults.name);
    let model = argument("model", defaults.model.to_string()).map(ids::ModelId::new);
    let version = argument("model-version", defaults.version);
    let adapters = long("adapter").argument("NAME").many();
    let role = setting("role", defaults.role);
    let slots = argument("slots", defaults.slots);
    let max_waiting = argument("max-waiting", defaults.max_waiting);
    let prefill_tokens_per_second = argument(
        "prefill-tokens-per-second",
        defaults.prefill_tokens_per_second,
    );
    let chunk_tokens = argument("chunk-tokens", defaults.chunk_tokens);
    let decode_step_ms = argument("decode-step-ms", defaults.decode_step_ms);
    let per_sequence_ms = argument("per-sequence-ms", defaults.per_sequence_ms);
    let time_scale = argument("time-scale", defaults.time_scale);
    let piece_tokens = argument("piece-tokens", defaults.piece_tokens);
    let pieces_total = argument("pieces", defaults.pieces_total);
    let load_lag_ms = argument("load-lag-ms", defaults.load_lag_ms);
    let delay = argument("event-delay-ms", 0).map(time::Duration::from_millis);
    let gap_probability = argument("event-gap-probability", 0.0);
    let seed = argument("seed", defaults.events.seed);
    let events = construct!(engine::EventOptions {
        delay,
        gap_probability,
        seed
    });
    let fencing = setting("fencing", settings::FencingSupport::Checked);
    let switch_ms = argument("switch-ms", defaults.switch_ms);
    let load_ms = argument("load-ms", defaults.load_ms);
    let weight_store = long("weight-store").argument("ADDRESS").optional();
    let transfer_tokens_per_second = argument(
        "transfer-tokens-per-second",
        defaults.transfer_tokens_per_second,
    );
    let crash_marker = argument("crash-marker", defaults.crash_marker);
    let crash_in_change = long("crash-in-change").switch();
    let journal = journal_file();
    construct!(engine::EngineOptions {
        name,
        model,
        version,
        adapters,
        role,
        slots,
        max_waiting,
        prefill_tokens_per_second,
        chunk_tokens,
        decode_step_ms,
        per_sequence_ms,
        time_scale,
        piece_tokens,
        pieces_total,
        load_lag_ms,
        events,
        fencing,
        switch_ms,
        load_ms,
        weight_store,
        transfer_tokens_per_second,
        crash_marker,
        crash_in_change,
        journal,
    })
}

fn run_engine(arguments: &[ffi::OsString]) -> i32 {
    let (address, options) = (listen(), engine_options());
    let idle_timeout = long("admin-idle-close-ms").argument("MS").optional();
    let parser = construct!(address, options, idle_timeout);
    let (address, options, idle_timeout) = parse(parser, arguments);
    let serve_options = web::ServeOptions {
        admin_idle_timeout: idle_timeout.map(time::Duration::from_millis),
        runs_to_completion: false,
    };
    run_server(address, serve_options, |address| {
        let state = engine::EngineState::start(options, address)?;
        Ok(move |request| sync::Arc::clone(&state).handle(request))
    })
}

fn run_service(arguments: &[ffi::OsString]) -> i32 {
    let (address, journal) = (listen(), journal_file());
    let name = argument("name", "service".to_owned());
    let (address, name, journal) = parse(construct!(address, name, journal), arguments);
    run_server(address, RUN_TO_COMPLETION, |_| {
        let state = service::ServiceState::new(&name, journal.as_deref())?;
        Ok(move |request| sync::Arc::clone(&state).handle(request))
    })
}

fn run_platform(arguments: &[ffi::OsString]) -> i32 {
    let (address, journal) = (listen(), journal_file());
    let reads_per_second = argument("reads-per-second", 2_000.0);
    let writes_per_second = argument("writes-per-second", 500.0);
    let host_lag_ms = argument("host-lag-ms", 0);
    let weight_bytes = argument("weight-bytes", 4 << 20);
    let weight_bytes_per_second = argument("weight-bytes-per-second", 64 << 20);
    let seed = argument("seed", 1);
    let options = construct!(platform::PlatformOptions {
        reads_per_second,
        writes_per_second,
        host_lag_ms,
        weight_bytes,
        weight_bytes_per_second,
        seed,
    });
    let (address, journal, options) = parse(construct!(address, journal, options), arguments);
    run_server(address, RUN_TO_COMPLETION, |_| {
        let journal = journal::Journal::open(journal.as_deref())?;
        let state = platform::PlatformState::new(options, journal);
        Ok(move |request| sync::Arc::clone(&state).handle(request))
    })
}

fn run_proxy(arguments: &[ffi::OsString]) -> i32 {
    let address = parse(listen(), arguments);
    run_server(address, web::ServeOptions::default(), |_| {
        let state = sync::Arc::new(proxy::ProxyState::default());
        Ok(move |request| sync::Arc::clone(&state).handle(request))
    })
}
