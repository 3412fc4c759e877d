//! Measures the goodput of each policy while the ratio of prompt to output tokens shifts, with real
//! daemon processes and simulated engines.
//!
//! `cargo run --release --example shift_bench -- --seed N --json [--seeds COUNT]
//! [--size pemberton|nile-delta] [--daemons N] [--rate R] [--only POLICY]`
//!
//! Each policy serves the same requests at the same offsets on a new fleet: three phases, whose
//! work is mostly prefill, then mostly decode, then mostly prefill again. A third of the engines
//! starts in each role, which suits the average mix but none of the phases.
//!
//! The reported `limit` is an upper bound on the goodput, computed from the cost model of the
//! simulated engines. A request costs its uncached prompt tokens divided by the prefill speed,
//! plus, for each output token, the step time of a full batch divided by the slots; each part is
//! computed at the speed of the role that serves it. Prefixes shared by a group count as
//! cached. Within each phase of the script, requests are taken in ascending order of cost until the
//! engines' time in that phase is used up. Role changes, queueing, network distance and deadlines
//! cost nothing, so no policy can reach the bound, except through work carried over the end of a
//! phase.

use std::{env, error, net, process};

use acaciabank_cli::load;
use acaciabank_protocol::{settings, wire};
use acaciabank_testbed::{harness, multicall, web};
use serde_json::json;

/// Prompt tokens that a prefill engine processes in one second.
const PREFILL_TOKENS_PER_SECOND: f64 = 8_000.0;
/// Base time of a decode step of a decode engine.
const DECODE_STEP_MS: f64 = 12.0;
/// Additional step time for each decoding request.
const PER_SEQUENCE_MS: f64 = 0.5;
/// Duration of a role change; short because the phases are short.
const SWITCH_MS: u64 = 1_000;
/// Duration of each phase.
const PHASE_MS: u64 = 7_000;
/// Default request rate, in requests per second per engine.
const DEFAULT_RATE_PER_ENGINE: f64 = 2.0;
/// Prompt tokens that the long requests of a prefix group share.
const SHARED_PREFIX_TOKENS: u32 = 2_000;

/// A combination of routing and planner policy under test.
struct PolicyVariant {
    name: &'static str,
    routing: settings::RoutingPolicy,
    planner: settings::PlannerPolicy,
}

const VARIANTS: [PolicyVariant; 4] = [
    PolicyVariant {
        name: "round_robin",
        routing: settings::RoutingPolicy::RoundRobin,
        planner: settings::PlannerPolicy::Off,
    },
    PolicyVariant {
        name: "least_load",
        routing: settings::RoutingPolicy::LeastLoad,
        planner: settings::PlannerPolicy::Off,
    },
    PolicyVariant {
        name: "threshold",
        routing: settings::RoutingPolicy::LeastLoad,
        planner: settings::PlannerPolicy::Threshold,
    },
    PolicyVariant {
        name: "adaptive",
        routing: settings::RoutingPolicy::Adaptive,
        planner: settings::PlannerPolicy::Adaptive,
    },
];

/// Command-line options.
struct BenchOptions {
    /// First seed.
    seed: u64,
    /// Number of consecutive seeds to run.
    seed_count: u64,
    /// Name of the preset deployment.
    size: String,
    daemons: usize,
    /// Requests per second per engine.
    rate_per_engine: f64,
    /// Name of the only variant to run; `None` runs all.
    only: Option<String>,
    is_json: bool,
}

impl BenchOptions {
    fn parse() -> Result<Self, String> {
        let arguments: Vec<String> = env::args().skip(1).collect();
        let value = |name: &str| {
            let index = arguments.iter().position(|argument| argument == name)?;
            arguments.get(index + 1).cloned()
        };
        let number = |name: &str, default: f64| match value(name) {
            None => Ok(default),
            Some(text) => text
                .parse::<f64>()
                .map_err(|error| format!("{name}: {text:?} is not a number: {error}")),
        };
        Ok(Self {
            seed: number("--seed", 1.0)? as u64,
            seed_count: number("--seeds", 1.0)? as u64,
            size: value("--size").unwrap_or_else(|| "pemberton".to_owned()),
            daemons: (number("--daemons", 5.0)? as usize).clamp(1, 7),
            rate_per_engine: number("--rate", DEFAULT_RATE_PER_ENGINE)?,
            only: value("--only"),
            is_json: arguments.iter().any(|argument| argument == "--json"),
        })
    }

    fn fleet_spec(&self) -> Result<harness::FleetSpec, String> {
        let mut spec = match self.size.as_str() {
            "pemberton" => harness::Fleet::pemberton(),
            "nile-delta" => harness::Fleet::nile_delta(),
            other => {
                return Err(format!(
                    "--size {other:?} is unknown; allowed are pemberton and nile-delta"
                ));
            }
        };
        let deployment = &mut spec.deployment;
        deployment.services.clear();
        deployment.rules = settings::Rules::default();
        let roles = [
            settings::EngineRole::Prefill,
            settings::EngineRole::Decode,
            settings::EngineRole::Mixed,
        ];
        // Consecutive engines are in different zones, so each group of three with one role covers
        // all zones.
        for (index, engine) in deployment.engines.iter_mut().enumerate() {
            engine.role = roles[(index / 3) % roles.len()];
        }
        deployment.policy.adaptation = settings::AdaptationSettings {
            switch_cost_ms: SWITCH_MS,
            min_dwell_ms: 3_000,
            horizon_ms: 8_000,
            ..settings::AdaptationSettings::default()
        };
        spec.daemons = self.daemons;
        spec.log.level = settings::LogLevel::Warn;
        let arguments = [
            ("--prefill-tokens-per-second", PREFILL_TOKENS_PER_SECOND),
            ("--decode-step-ms", DECODE_STEP_MS),
            ("--per-sequence-ms", PER_SEQUENCE_MS),
            ("--switch-ms", SWITCH_MS as f64),
        ];
        spec.engine_arguments = arguments
            .iter()
            .flat_map(|(name, value)| [(*name).to_owned(), value.to_string()])
            .collect();
        Ok(spec)
    }
}

/// Builds the load script: a prefill-heavy, a decode-heavy and again a prefill-heavy phase.
fn load_script(deployment: &settings::Deployment, rate_per_engine: f64) -> load::LoadScript {
    let model = deployment.models[0].name.clone();
    let shape =
        |weight, prompt: [u32; 2], output: [u32; 2], shared, timeout_ms| load::RequestShape {
            weight,
            model: Some(model.clone()),
            service: None,
            path: "/".to_owned(),
            prompt_tokens: token_range(prompt),
            output_tokens: token_range(output),
            shared_prefix_tokens: shared,
            prefix_groups: 8,
            priority: wire::Priority::Normal,
            timeout_ms,
            keyed: false,
            team_key: None,
        };
    let phase = |long_weight, short_weight| load::LoadPhase {
        duration_ms: PHASE_MS,
        rate_per_s: rate_per_engine * deployment.engines.len() as f64,
        mix: vec![
            shape(
                long_weight,
                [2_500, 6_500],
                [8, 24],
                SHARED_PREFIX_TOKENS,
                5_000,
            ),
            shape(short_weight, [200, 800], [96, 192], 0, 8_000),
        ],
    };
    load::LoadScript {
        phases: vec![phase(8, 2), phase(1, 9), phase(8, 2)],
    }
}

fn token_range([min, max]: [u32; 2]) -> load::TokenRange {
    load::TokenRange { min, max }
}

/// Returns the upper bound on the share of requests that the engines can serve, with the cost model
/// of the example's description.
fn goodput_bound(
    script: &load::LoadScript,
    requests: &[load::PlannedRequest],
    deployment: &settings::Deployment,
) -> f64 {
    let engines = deployment.engines.len() as f64;
    let slots = f64::from(deployment.engines[0].slots);
    let ms_per_output_token = (DECODE_STEP_MS + PER_SEQUENCE_MS * slots) / slots;
    let mut served = 0;
    for (index, phase) in script.phases.iter().enumerate() {
        let planned = requests.iter().filter(|request| request.phase == index);
        let mut costs_ms: Vec<f64> = planned
            .map(|request| request_cost_ms(request, ms_per_output_token))
            .collect();
        costs_ms.sort_by(f64::total_cmp);
        let mut remaining_ms = phase.duration_ms as f64 * engines;
        for cost_ms in costs_ms {
            remaining_ms -= cost_ms;
            served += usize::from(remaining_ms >= 0.0);
        }
    }
    served as f64 / requests.len().max(1) as f64
}

/// Returns the engine time of a request under the cost model of the example's description.
fn request_cost_ms(request: &load::PlannedRequest, ms_per_output_token: f64) -> f64 {
    let body: serde_json::Value = serde_json::from_str(&request.body).unwrap_or_default();
    let prompt_tokens = wire::estimate_tokens(body["prompt"].as_str().unwrap_or_default());
    let has_shared_prefix = prompt_tokens > u64::from(SHARED_PREFIX_TOKENS);
    let cached_tokens = if has_shared_prefix {
        u64::from(SHARED_PREFIX_TOKENS)
    } else {
        0
    };
    let prefill_ms = (prompt_tokens - cached_tokens) as f64 * 1_000.0 / PREFILL_TOKENS_PER_SECOND;
    prefill_ms + f64::from(request.output_tokens) * ms_per_output_token
}

fn main() -> Result<(), Box<dyn error::Error>> {
    multicall::run_role_from_args();
    let options = BenchOptions::parse()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(run(&options))?;
    process::exit(0);
}

async fn run(options: &BenchOptions) -> Result<(), Box<dyn error::Error>> {
    for seed in options.seed..options.seed + options.seed_count {
        let mut round_robin_goodput = None;
        for variant in &VARIANTS {
            if options
                .only
                .as_ref()
                .is_some_and(|only| only != variant.name)
            {
                continue;
            }
            let line = run_variant(options, variant, seed, &mut round_robin_goodput).await?;
            match options.is_json {
                true => println!("{line}"),
                false => println!("{line:#}"),
            }
        }
    }
    Ok(())
}

async fn run_variant(
    options: &BenchOptions,
    variant: &PolicyVariant,
    seed: u64,
    round_robin_goodput: &mut Option<f64>,
) -> Result<serde_json::Value, Box<dyn error::Error>> {
    let mut spec = options.fleet_spec()?;
    spec.deployment.policy.routing = variant.routing;
    spec.deployment.policy.planner = variant.planner;
    let script = load_script(&spec.deployment, options.rate_per_engine);
    let requests = load::plan(&script, seed);
    let goodput_bound = goodput_bound(&script, &requests, &spec.deployment);
    let launcher = harness::Launcher::new(env::current_exe()?)?;
    let fleet = spec.start(launcher).await?;
    let daemons = fleet.daemons.iter();
    let seed_addresses = daemons.map(|daemon| daemon.caller_address.to_string());
    let run_options = load::RunOptions {
        name: variant.name.to_owned(),
        seed_addresses: seed_addresses.collect(),
        zone: None,
        seed,
        progress: None,
    };
    let report = load::run(&script, run_options).await;
    let role_changes = count_role_changes(&fleet).await;
    if variant.routing == settings::RoutingPolicy::RoundRobin {
        *round_robin_goodput = Some(report.goodput);
    }
    let rounded = |value: f64| (value * 10_000.0).round() / 10_000.0;
    let phases: Vec<f64> = report
        .phases
        .iter()
        .map(|phase| rounded(phase.in_time as f64 / phase.requests.max(1) as f64))
        .collect();
    Ok(json!({
        "policy": variant.name, "seed": seed, "size": options.size,
        "goodput": rounded(report.goodput), "requests": report.requests,
        "in_time": report.in_time, "role_changes": role_changes,
        "p95_first_token_ms": report.first_token.p95_ms,
        "p95_between_tokens_ms": report.between_tokens.p95_ms,
        "goodput_to_round_robin": round_robin_goodput.map(|base| rounded(report.goodput / base)),
        "limit": rounded(goodput_bound),
        "goodput_to_limit": rounded(report.goodput / goodput_bound),
        "goodput_by_phase": phases, "failures": report.failures,
    }))
}

/// Sums the daemons' counters of role changes; a daemon whose metrics cannot be read counts as 0.
async fn count_role_changes(fleet: &harness::Fleet) -> u64 {
    let mut changes = 0;
    for daemon in &fleet.daemons {
        changes += read_role_changes(daemon.admin_address).await;
    }
    changes
}

async fn read_role_changes(address: net::SocketAddr) -> u64 {
    let Ok(response) = web::call(address, "GET", "/metrics", &[], "").await else {
        return 0;
    };
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let lines = text.lines();
    let values = lines
        .filter(|line| line.starts_with("acaciabank_role_changes_total"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum::<f64>() as u64
}
