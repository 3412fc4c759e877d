//! Latency that one daemon adds: the same streamed completions at 1,000 concurrent streams, sent
//! directly to stand-in engines and through a daemon to the same engines, in alternating rounds.
//!
//! `cargo run --release --example overhead -- --json [--streams N] [--rounds N] [--seconds N]
//! [--workers N]`
//!
//! Each stream slot sends one request after the other on its own connection, after a random pause
//! of up to one engine step. Without the pause requests would follow the steps of 50 ms, which
//! would hide any added time below one step. With it a first token waits between 0 and 50 ms for
//! the next step in both columns; the difference of the medians is exact to about 0.3 ms at the
//! default sizes. A round's requests that start in its first second are not counted.

use std::{env, error, net, process, sync, time};

use acaciabank_protocol::settings;
use acaciabank_testbed::{harness, multicall};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::json;

/// Engines that share the streams. Each runs on one thread.
const ENGINES: usize = 4;
/// Tokens of an answer.
const OUTPUT_TOKENS: u64 = 16;
/// Words of a prompt.
const PROMPT_WORDS: usize = 200;
/// Longest pause between two requests of a slot: the time of one engine step.
const STEP: time::Duration = time::Duration::from_millis(50);
/// Start of a round that is not counted.
const WARM_UP: time::Duration = time::Duration::from_secs(1);
/// Time over which the streams of a round start.
const RAMP: time::Duration = time::Duration::from_millis(800);
/// Longest time that is told apart, in microseconds.
const MAX_TIME_US: u64 = 60_000_000;
/// Targets of the design for the added time to the first token at 1,000 streams, in milliseconds.
const TARGET_P50_MS: f64 = 1.0;
const TARGET_P99_MS: f64 = 3.0;

/// Sizes of a run.
#[derive(Clone, Copy)]
struct RunSizes {
    streams: usize,
    rounds: usize,
    seconds: u64,
    workers: usize,
}

/// Times of one column.
struct ColumnTimes {
    first_token: Histogram<u64>,
    whole_answer: Histogram<u64>,
    failed: u64,
}

impl ColumnTimes {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_TIME_US, 3).expect("three digits are supported");
        Self {
            first_token: histogram(),
            whole_answer: histogram(),
            failed: 0,
        }
    }

    fn add(&mut self, times: &Self) {
        self.first_token += &times.first_token;
        self.whole_answer += &times.whole_answer;
        self.failed += times.failed;
    }

    fn to_json(&self) -> serde_json::Value {
        json!({
            "requests": self.first_token.len(), "failed": self.failed,
            "first_token": quantiles(&self.first_token),
            "whole_answer": quantiles(&self.whole_answer),
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

/// Differences and ratios of the two columns.
fn compare(direct: &Histogram<u64>, daemon: &Histogram<u64>) -> serde_json::Value {
    let mut difference = serde_json::Map::new();
    for (name, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let (left, right) = (quantile_ms(direct, quantile), quantile_ms(daemon, quantile));
        let rounded = |value: f64| (value * 1_000.0).round() / 1_000.0;
        difference.insert(format!("{name}_added_ms"), json!(rounded(right - left)));
        difference.insert(format!("{name}_ratio"), json!(rounded(right / left)));
    }
    difference.into()
}

fn main() -> Result<(), Box<dyn error::Error>> {
    multicall::run_role_from_args();
    let arguments: Vec<String> = env::args().skip(1).collect();
    let number = |name: &str, default: usize| -> usize {
        let position = arguments.iter().position(|argument| argument == name);
        let value = position.and_then(|position| arguments.get(position + 1));
        value
            .and_then(|value| value.parse().ok())
            .unwrap_or(default)
    };
    let sizes = RunSizes {
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
    let report = runtime.block_on(run(sizes))?;
    match is_json {
        true => println!("{report}"),
        false => println!("{report:#}"),
    }
    process::exit(i32::from(report["failed"] != json!(0)));
}

async fn run(sizes: RunSizes) -> Result<serde_json::Value, Box<dyn error::Error>> {
    let launcher = harness::Launcher::new(env::current_exe()?)?;
    let fleet = fleet_spec(sizes).start(launcher).await?;
    let engines: Vec<net::SocketAddr> = fleet.engines.iter().map(|engine| engine.address).collect();
    let daemon = vec![fleet.daemons[0].caller_address];
    let daemon_id = fleet.daemons[0].process.id().unwrap_or_default();
    let (mut direct, mut through) = (ColumnTimes::new(), ColumnTimes::new());
    let mut daemon_cpu_s = 0.0;
    for _ in 0..sizes.rounds {
        direct.add(&run_round(sizes, &engines).await);
        let before = cpu_seconds(daemon_id);
        through.add(&run_round(sizes, &daemon).await);
        daemon_cpu_s += cpu_seconds(daemon_id) - before;
    }
    let added = compare(&direct.first_token, &through.first_token);
    let is_met = added["p50_added_ms"].as_f64() <= Some(TARGET_P50_MS)
        && added["p99_added_ms"].as_f64() <= Some(TARGET_P99_MS);
    Ok(json!({
        "streams": sizes.streams, "rounds": sizes.rounds, "seconds": sizes.seconds,
        "daemon_workers": sizes.workers, "failed": direct.failed + through.failed,
        "direct": direct.to_json(), "daemon": through.to_json(),
        "first_token_added": added,
        "whole_answer_added": compare(&direct.whole_answer, &through.whole_answer),
        "daemon_cpu_s": (daemon_cpu_s * 100.0).round() / 100.0,
        "first_token_target_met": is_met,
    }))
}

/// Four engines, fast enough not to be the limit, and one daemon.
fn fleet_spec(sizes: RunSizes) -> harness::FleetSpec {
    let mut spec = harness::Fleet::pemberton();
    let deployment = &mut spec.deployment;
    deployment.engines.truncate(ENGINES);
    deployment.services.clear();
    deployment.rules = settings::Rules::default();
    deployment.policy.planner = settings::PlannerPolicy::Off;
    for engine in &mut deployment.engines {
        engine.slots = sizes.streams as u32;
    }
    spec.daemons = 1;
    spec.limits.worker_threads = sizes.workers;
    // 35 ms at the speed of a mixed engine, 0.7, are 50 ms.
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

async fn run_round(sizes: RunSizes, addresses: &[net::SocketAddr]) -> ColumnTimes {
    let started = time::Instant::now();
    let counted_from = started + WARM_UP;
    let ends = started + WARM_UP + time::Duration::from_secs(sizes.seconds);
    let times = sync::Arc::new(sync::Mutex::new(ColumnTimes::new()));
    let mut slots = tokio::task::JoinSet::new();
    for slot in 0..sizes.streams {
        let address = addresses[slot % addresses.len()];
        let begins = started + RAMP.mul_f64(slot as f64 / sizes.streams as f64);
        let times = sync::Arc::clone(&times);
        slots.spawn(async move {
            tokio::time::sleep_until(begins.into()).await;
            run_slot(slot, address, counted_from, ends, &times).await;
        });
    }
    while slots.join_next().await.is_some() {}
    let mut whole = ColumnTimes::new();
    whole.add(&times.lock().expect("times"));
    whole
}

/// Sends requests one after the other until the round ends.
async fn run_slot(
    slot: usize,
    address: net::SocketAddr,
    counted_from: time::Instant,
    ends: time::Instant,
    times: &sync::Mutex<ColumnTimes>,
) {
    let mut sender = None;
    let mut number = 0;
    while time::Instant::now() < ends {
        tokio::time::sleep(STEP.mul_f64(rand::random())).await;
        let body = request_body(slot, number);
        number += 1;
        let begun = time::Instant::now();
        let result = send(&mut sender, address, body).await;
        let mut times = times.lock().expect("times");
        match result {
            Ok(_) if begun < counted_from => {}
            Ok((first, whole)) => {
                times
                    .first_token
                    .saturating_record((first - begun).as_micros() as u64);
                times
                    .whole_answer
                    .saturating_record((whole - begun).as_micros() as u64);
            }
            Err(error) => {
                sender = None;
                times.failed += 1;
                eprintln!("slot {slot}: {error}");
            }
        }
    }
}

fn request_body(slot: usize, number: usize) -> Bytes {
    let prompt = format!("request {slot}-{number}: {}", "word ".repeat(PROMPT_WORDS));
    let body = json!({
        "model": "drafting", "prompt": prompt, "max_tokens": OUTPUT_TOKENS, "stream": true,
        "stream_options": {"include_usage": true, "continuous_usage_stats": true},
    });
    Bytes::from(body.to_string())
}

/// Arrival of the first token and of the end of the answer.
async fn send(
    kept: &mut Option<http1::SendRequest<Full<Bytes>>>,
    address: net::SocketAddr,
    body: Bytes,
) -> Result<(time::Instant, time::Instant), Box<dyn error::Error + Send + Sync>> {
    if kept.as_ref().is_none_or(http1::SendRequest::is_closed) {
        let stream = tokio::net::TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        *kept = Some(sender);
    }
    let sender = kept.as_mut().ok_or("no connection")?;
    sender.ready().await?;
    let request = http::Request::post("/v1/completions")
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))?;
    let response = sender.send_request(request).await?;
    if response.status() != http::StatusCode::OK {
        return Err(format!("status {}", response.status()).into());
    }
    let mut body = response.into_body();
    let mut first = None;
    let mut tail = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(part) = frame?.into_data() {
            first.get_or_insert_with(time::Instant::now);
            tail = part[part.len().saturating_sub(32)..].to_vec();
        }
    }
    match first {
        Some(first) if tail.ends_with(b"[DONE]\n\n") => Ok((first, time::Instant::now())),
        _ => Err("the answer is incomplete".into()),
    }
}

/// Processor time that a process has used, in seconds; 0 where it cannot be read.
fn cpu_seconds(process: u32) -> f64 {
    /// Ticks a second of `/proc/PID/stat` on Linux.
    const TICKS_PER_SECOND: f64 = 100.0;
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after_name = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    // User and system time are fields 14 and 15 of the line, the 12th and 13th after the name.
    let ticks = fields.get(11..13).unwrap_or_default();
    let ticks: f64 = ticks
        .iter()
        .filter_map(|tick| tick.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_SECOND
}
