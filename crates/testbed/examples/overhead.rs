//! Measures the latency that one daemon adds: 1,000 concurrent clients send the same streamed
//! completions directly to simulated engines and through a daemon to the same engines, in
//! alternating rounds.
//!
//! `cargo run --release --example overhead -- --json [--streams N] [--rounds N] [--seconds N]
//! [--workers N]`
//!
//! Each client sends one request after the other on its own connection, each after a random delay
//! of up to one engine step. Without the delay, requests would synchronize with the engine steps of
//! 50 ms, which would hide any added latency below one step. With it, a first token waits between 0
//! and 50 ms for the next step on both paths; the difference of the medians is exact to about
//! 0.3 ms at the default sizes. Requests that start in the first second of a round are not counted.

use std::{env, error, net, process, sync, time};

use acaciabank_protocol::settings;
use acaciabank_testbed::{harness, multicall};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::json;

/// Number of engines that share the clients. Each runs on one thread.
const ENGINE_COUNT: usize = 4;
/// Number of tokens in a response.
const OUTPUT_TOKENS: u64 = 16;
/// Number of filler words in a prompt.
const PROMPT_WORDS: usize = 200;
/// Maximum delay between two requests of a client: the time of one engine step.
const MAX_REQUEST_DELAY: time::Duration = time::Duration::from_millis(50);
/// Initial part of a round whose requests are not counted.
const WARM_UP: time::Duration = time::Duration::from_secs(1);
/// Period over which the clients of a round start.
const RAMP_UP: time::Duration = time::Duration::from_millis(800);
/// Maximum latency of the histograms; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Design limits for the time to first token that a daemon adds at 1,000 clients.
const MAX_ADDED_P50_MS: f64 = 1.0;
const MAX_ADDED_P99_MS: f64 = 3.0;

/// Command-line parameters of a run.
#[derive(Clone, Copy)]
struct RunParams {
    /// Number of concurrent clients.
    streams: usize,
    /// Number of rounds on each path.
    rounds: usize,
    /// Length of the counted part of a round.
    seconds: u64,
    /// Number of worker threads of the daemon.
    workers: usize,
}

/// Latencies of the requests on one path, direct or through the daemon, in microseconds.
struct PathLatencies {
    first_token: Histogram<u64>,
    full_response: Histogram<u64>,
    failed: u64,
}

impl PathLatencies {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_LATENCY_US, 3).expect("three digits are supported");
        Self {
            first_token: histogram(),
            full_response: histogram(),
            failed: 0,
        }
    }

    fn add(&mut self, other: &Self) {
        self.first_token += &other.first_token;
        self.full_response += &other.full_response;
        self.failed += other.failed;
    }

    fn to_json(&self) -> serde_json::Value {
        json!({
            "requests": self.first_token.len(), "failed": self.failed,
            "first_token": quantiles(&self.first_token),
            "whole_answer": quantiles(&self.full_response),
        })
    }
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

fn quantiles(histogram: &Histogram<u64>) -> serde_json::Value {
    let [p50, p95, p99] = [0.5, 0.95, 0.99].map(|quantile| quantile_ms(histogram, quantile));
    json!({"p50_ms": p50, "p95_ms": p95, "p99_ms": p99})
}

/// Returns the differences and ratios of the two paths' quantiles.
fn compare(direct: &Histogram<u64>, daemon: &Histogram<u64>) -> serde_json::Value {
    let mut comparison = serde_json::Map::new();
    for (name, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let (direct_ms, daemon_ms) = (quantile_ms(direct, quantile), quantile_ms(daemon, quantile));
        let rounded = |value: f64| (value * 1_000.0).round() / 1_000.0;
        comparison.insert(
            format!("{name}_added_ms"),
            json!(rounded(daemon_ms - direct_ms)),
        );
        comparison.insert(
            format!("{name}_ratio"),
            json!(rounded(daemon_ms / direct_ms)),
        );
    }
    comparison.into()
}

fn main() -> Result<(), Box<dyn error::Error>> {
    multicall::run_role_from_args();
    let arguments: Vec<String> = env::args().skip(1).collect();
    let number = |name: &str, default: usize| -> usize {
        let index = arguments.iter().position(|argument| argument == name);
        let value = index.and_then(|index| arguments.get(index + 1));
        value
            .and_then(|value| value.parse().ok())
            .unwrap_or(default)
    };
    let params = RunParams {
        streams: number("--streams", 1_000),
        rounds: number("--rounds", 3),
        seconds: number("--seconds", 5) as u64,
        workers: number(
            "--workers",
            settings::LimitSettings::default().worker_threads,
        ),
    };
    let is_json = arguments.iter().any(|argument| argument == "--json");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()?;
    let report = runtime.block_on(run(params))?;
    match is_json {
        true => println!("{report}"),
        false => println!("{report:#}"),
    }
    process::exit(i32::from(report["failed"] != json!(0)));
}

async fn run(params: RunParams) -> Result<serde_json::Value, Box<dyn error::Error>> {
    let launcher = harness::Launcher::new(env::current_exe()?)?;
    let fleet = fleet_spec(params).start(launcher).await?;
    let engines: Vec<net::SocketAddr> = fleet.engines.iter().map(|engine| engine.address).collect();
    let daemon = vec![fleet.daemons[0].caller_address];
    let daemon_pid = fleet.daemons[0].process.id().unwrap_or_default();
    let (mut direct, mut routed) = (PathLatencies::new(), PathLatencies::new());
    let mut daemon_cpu_s = 0.0;
    for _ in 0..params.rounds {
        direct.add(&run_round(params, &engines).await);
        let before = cpu_seconds(daemon_pid);
        routed.add(&run_round(params, &daemon).await);
        daemon_cpu_s += cpu_seconds(daemon_pid) - before;
    }
    let added = compare(&direct.first_token, &routed.first_token);
    let meets_limits = added["p50_added_ms"].as_f64() <= Some(MAX_ADDED_P50_MS)
        && added["p99_added_ms"].as_f64() <= Some(MAX_ADDED_P99_MS);
    Ok(json!({
        "streams": params.streams, "rounds": params.rounds, "seconds": params.seconds,
        "daemon_workers": params.workers, "failed": direct.failed + routed.failed,
        "direct": direct.to_json(), "daemon": routed.to_json(),
        "first_token_added": added,
        "whole_answer_added": compare(&direct.full_response, &routed.full_response),
        "daemon_cpu_s": (daemon_cpu_s * 100.0).round() / 100.0,
        "first_token_target_met": meets_limits,
    }))
}

/// Builds a fleet of one daemon and four engines that are fast enough not to be the bottleneck.
fn fleet_spec(params: RunParams) -> harness::FleetSpec {
    let mut spec = harness::Fleet::pemberton();
    let deployment = &mut spec.deployment;
    deployment.engines.truncate(ENGINE_COUNT);
    deployment.services.clear();
    deployment.rules = settings::Rules::default();
    deployment.policy.planner = settings::PlannerPolicy::Off;
    for engine in &mut deployment.engines {
        engine.slots = params.streams as u32;
    }
    spec.daemons = 1;
    spec.limits.worker_threads = params.workers;
    // A mixed engine runs at a speed factor of 0.7, so a step of 35 ms takes 50 ms.
    let arguments = [
        ("--decode-step-ms", "35"),
        ("--per-sequence-ms", "0"),
        ("--prefill-tokens-per-second", "1000000000"),
        ("--chunk-tokens", "1000000"),
    ];
    let arguments = arguments.into_iter();
    spec.engine_arguments = arguments
        .flat_map(|(name, value)| [name.to_owned(), value.to_owned()])
        .collect();
    spec
}

async fn run_round(params: RunParams, addresses: &[net::SocketAddr]) -> PathLatencies {
    let started_at = time::Instant::now();
    let counted_from = started_at + WARM_UP;
    let ends_at = started_at + WARM_UP + time::Duration::from_secs(params.seconds);
    let latencies = sync::Arc::new(sync::Mutex::new(PathLatencies::new()));
    let mut clients = tokio::task::JoinSet::new();
    for client in 0..params.streams {
        let address = addresses[client % addresses.len()];
        let starts_at = started_at + RAMP_UP.mul_f64(client as f64 / params.streams as f64);
        let latencies = sync::Arc::clone(&latencies);
        clients.spawn(async move {
            tokio::time::sleep_until(starts_at.into()).await;
            run_client(client, address, counted_from, ends_at, &latencies).await;
        });
    }
    while clients.join_next().await.is_some() {}
    let mut total = PathLatencies::new();
    total.add(&latencies.lock().expect("latencies lock"));
    total
}

/// Sends the requests of one client, one after the other, until the round ends.
async fn run_client(
    client: usize,
    address: net::SocketAddr,
    counted_from: time::Instant,
    ends_at: time::Instant,
    latencies: &sync::Mutex<PathLatencies>,
) {
    let mut sender = None;
    let mut number = 0;
    while time::Instant::now() < ends_at {
        tokio::time::sleep(MAX_REQUEST_DELAY.mul_f64(rand::random())).await;
        let body = request_body(client, number);
        number += 1;
        let sent_at = time::Instant::now();
        let result = send(&mut sender, address, body).await;
        let mut latencies = latencies.lock().expect("latencies lock");
        match result {
            Ok(_) if sent_at < counted_from => {}
            Ok((first_token_at, ended_at)) => {
                latencies
                    .first_token
                    .saturating_record((first_token_at - sent_at).as_micros() as u64);
                latencies
                    .full_response
                    .saturating_record((ended_at - sent_at).as_micros() as u64);
            }
            Err(error) => {
                sender = None;
                latencies.failed += 1;
                eprintln!("client {client}: request failed: {error}");
            }
        }
    }
}

fn request_body(client: usize, number: usize) -> Bytes {
    let prompt = format!(
        "request {client}-{number}: {}",
        "word ".repeat(PROMPT_WORDS)
    );
    let body = json!({
        "model": "drafting", "prompt": prompt, "max_tokens": OUTPUT_TOKENS, "stream": true,
        "stream_options": {"include_usage": true, "continuous_usage_stats": true},
    });
    Bytes::from(body.to_string())
}

/// Sends a request on the cached connection, or on a new one when it is closed. Returns the arrival
/// times of the first body data and of the end of the response.
async fn send(
    cached_sender: &mut Option<http1::SendRequest<Full<Bytes>>>,
    address: net::SocketAddr,
    body: Bytes,
) -> Result<(time::Instant, time::Instant), Box<dyn error::Error + Send + Sync>> {
    if cached_sender
        .as_ref()
        .is_none_or(http1::SendRequest::is_closed)
    {
        let stream = tokio::net::TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        *cached_sender = Some(sender);
    }
    let sender = cached_sender.as_mut().ok_or("no open connection")?;
    sender.ready().await?;
    let request = http::Request::post("/v1/completions")
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))?;
    let response = sender.send_request(request).await?;
    if response.status() != http::StatusCode::OK {
        return Err(format!("unexpected status {}, expected 200 OK", response.status()).into());
    }
    let mut body = response.into_body();
    let mut first_token_at = None;
    let mut tail = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(chunk) = frame?.into_data() {
            first_token_at.get_or_insert_with(time::Instant::now);
            tail = chunk[chunk.len().saturating_sub(32)..].to_vec();
        }
    }
    match first_token_at {
        Some(first_at) if tail.ends_with(b"[DONE]\n\n") => Ok((first_at, time::Instant::now())),
        _ => Err("the stream ended before [DONE]".into()),
    }
}

/// Returns the CPU time that a process has used, in seconds; 0 when it cannot be read.
fn cpu_seconds(pid: u32) -> f64 {
    /// Unit of the CPU times in `/proc/PID/stat` on Linux, as ticks per second.
    const TICKS_PER_SECOND: f64 = 100.0;
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    // User and system time are fields 14 and 15 of the line: the 12th and 13th after the name.
    let ticks = fields.get(11..13).unwrap_or_default();
    let ticks: f64 = ticks
        .iter()
        .filter_map(|tick| tick.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_SECOND
}
