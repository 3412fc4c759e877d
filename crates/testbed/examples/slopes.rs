//! Measures the control-plane cost of a daemon (traffic, CPU, memory) for several fleet sizes and
//! fits its growth per daemon and per target.
//!
//! `cargo run --release --example slopes [-- --json] [--sizes 8,20,40,80] [--regions 1]
//! [--window-ms 12000]`
//!
//! All daemons are real processes. Two engine processes serve all targets of the inventory, so that
//! many targets fit on one machine. The engines stay idle.

#[path = "slopes/fit.rs"]
mod fit;
#[path = "slopes/fleet.rs"]
mod fleet;

use std::{env, error, time};

use acaciabank_testbed::{harness, multicall, web};
use serde_json::json;

use fit::Fit;
use fleet::MeasuredFleet;

/// Maximum time for all daemons to discover each other.
const DISCOVERY_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Maximum time until a killed daemon is no longer advertised, and until a configuration is in
/// force on every daemon.
const PROPAGATION_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Wait after discovery and before the measurement, in which state transfers, ownership changes and
/// new connections finish.
const STABILIZATION_TIME: time::Duration = time::Duration::from_secs(5);
/// Targets per daemon at the size of the design, 1,300 targets and 410 daemons.
const TARGETS_PER_DAEMON: f64 = 1_300.0 / 410.0;
/// Minimum and maximum number of targets in the inventory.
const TARGET_RANGE: (usize, usize) = (12, 1_300);
/// Poll interval of the run with the most targets, in milliseconds. It is longer because a few
/// daemons poll the targets of 410.
const MANY_TARGETS_POLL_MS: u64 = 4_000;

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
struct RunParams {
    daemons: usize,
    targets: usize,
    regions: usize,
    target_poll_ms: u64,
    window: time::Duration,
}

/// Result of one run; values are averages per daemon unless noted otherwise.
#[derive(Clone, Debug, Default, serde::Serialize)]
struct Measurement {
    daemons: usize,
    targets: usize,
    regions: usize,
    target_poll_ms: u64,
    /// Received and sent together.
    control_bytes_per_s: f64,
    control_messages_per_s: f64,
    /// Percent of one core.
    control_cpu_percent: f64,
    process_cpu_percent: f64,
    resident_mib: f64,
    /// Requests to the table service, total of all daemons.
    table_reads_per_s: f64,
    table_writes_per_s: f64,
    /// Time from killing a daemon until no other daemon advertises it to callers.
    killed_not_named_ms: f64,
    /// Time from accepting a configuration until it is in force on every daemon.
    config_in_force_ms: f64,
    /// The same while every call to the table fails.
    config_in_force_table_down_ms: f64,
}

/// Command-line options.
struct Options {
    is_json: bool,
    sizes: Vec<usize>,
    regions: usize,
    window: time::Duration,
}

fn parse_options() -> Result<Options, Box<dyn error::Error>> {
    let mut options = Options {
        is_json: false,
        sizes: vec![8, 20, 40, 80],
        regions: 1,
        window: time::Duration::from_secs(12),
    };
    let mut arguments = env::args().skip(1);
    while let Some(argument) = arguments.next() {
        let mut value = || {
            let missing = || format!("{argument} requires a value");
            arguments.next().ok_or_else(missing)
        };
        match argument.as_str() {
            "--json" => options.is_json = true,
            "--sizes" => {
                let sizes = value()?;
                options.sizes = sizes.split(',').map(str::parse).collect::<Result<_, _>>()?;
            }
            "--regions" => options.regions = value()?.parse()?,
            "--window-ms" => {
                options.window = time::Duration::from_millis(value()?.parse()?);
            }
            _ => return Err(format!("unknown argument {argument:?}").into()),
        }
    }
    Ok(options)
}

fn main() -> Result<(), Box<dyn error::Error>> {
    multicall::run_role_from_args();
    let options = parse_options()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run(&options))
}

async fn run(options: &Options) -> Result<(), Box<dyn error::Error>> {
    let mut measurements = Vec::new();
    for daemons in &options.sizes {
        let targets = (*daemons as f64 * TARGETS_PER_DAEMON) as usize;
        let params = RunParams {
            daemons: *daemons,
            targets: targets.max(TARGET_RANGE.0),
            regions: options.regions,
            target_poll_ms: 500,
            window: options.window,
        };
        let measurement = measure(params).await?;
        print(&measurement, options.is_json)?;
        measurements.push(measurement);
    }
    let most_targets = RunParams {
        daemons: options.sizes.first().copied().unwrap_or(8),
        targets: TARGET_RANGE.1,
        regions: 1,
        target_poll_ms: MANY_TARGETS_POLL_MS,
        window: options.window,
    };
    let max_target_run = measure(most_targets).await?;
    print(&max_target_run, options.is_json)?;
    print_fits(&measurements, &max_target_run, options.is_json)
}

fn print(measurement: &Measurement, is_json: bool) -> Result<(), Box<dyn error::Error>> {
    let value = serde_json::to_value(measurement)?;
    if is_json {
        println!("{value}");
        return Ok(());
    }
    println!("{} daemons:", measurement.daemons);
    for (name, number) in value.as_object().into_iter().flatten() {
        println!("  {name} {number}");
    }
    Ok(())
}

/// Selects one value of a measurement.
type Selector = fn(&Measurement) -> f64;

fn print_fits(
    measurements: &[Measurement],
    max_target_run: &Measurement,
    is_json: bool,
) -> Result<(), Box<dyn error::Error>> {
    let values: [(&str, Selector); 9] = [
        ("control_bytes_per_s", |m| m.control_bytes_per_s),
        ("control_messages_per_s", |m| m.control_messages_per_s),
        ("control_cpu_percent", |m| m.control_cpu_percent),
        ("process_cpu_percent", |m| m.process_cpu_percent),
        ("resident_mib", |m| m.resident_mib),
        ("table_reads_per_s", |m| m.table_reads_per_s),
        ("table_writes_per_s", |m| m.table_writes_per_s),
        ("killed_not_named_ms", |m| m.killed_not_named_ms),
        ("config_in_force_ms", |m| m.config_in_force_ms),
    ];
    for (name, select) in values {
        let points = measurements.iter().map(|m| (m.daemons as f64, select(m)));
        print_fit(&Fit::new(name, "daemon", points), is_json)?;
    }
    if let Some(first_run) = measurements.first() {
        let points = [first_run, max_target_run].map(|m| (m.targets as f64, m.resident_mib));
        print_fit(&Fit::new("resident_mib", "target", points), is_json)?;
    }
    Ok(())
}

fn print_fit(fit: &Fit, is_json: bool) -> Result<(), Box<dyn error::Error>> {
    if is_json {
        println!("{}", serde_json::to_value(fit)?);
    } else {
        println!(
            "{} = {:.3} + {:.4} per {}",
            fit.value, fit.intercept, fit.slope, fit.per
        );
    }
    Ok(())
}

async fn measure(params: RunParams) -> Result<Measurement, Box<dyn error::Error>> {
    let mut fleet = MeasuredFleet::start(params).await?;
    let is_discovered =
        harness::holds_within(DISCOVERY_TIMEOUT, async || fleet.is_discovered().await).await;
    if !is_discovered {
        return Err("the daemons did not discover each other within 60 s".into());
    }
    tokio::time::sleep(STABILIZATION_TIME).await;
    let before = fleet.sample().await?;
    tokio::time::sleep(params.window).await;
    let after = fleet.sample().await?;
    let mut measurement = after.since(&before, params.daemons);
    measurement.targets = params.targets;
    measurement.regions = params.regions;
    measurement.target_poll_ms = params.target_poll_ms;
    measurement.config_in_force_ms = fleet.change_config(false).await?;
    measurement.config_in_force_table_down_ms = fleet.change_config(true).await?;
    measurement.killed_not_named_ms = fleet.kill_last_daemon().await?;
    Ok(measurement)
}

impl MeasuredFleet {
    /// Whether every daemon advertises all daemons of its region to callers.
    async fn is_discovered(&self) -> bool {
        let expected = self.region_sizes();
        for (index, daemon) in self.daemons.iter().enumerate() {
            let advertised = self.advertised_by(index).await.unwrap_or_default();
            if advertised.len() < expected[&daemon.region] {
                return false;
            }
        }
        true
    }

    /// Changes the configuration at one daemon and returns the milliseconds from its acceptance
    /// until it is in force on every daemon. With `fails_table`, table calls fail meanwhile.
    async fn change_config(&self, fails_table: bool) -> Result<f64, Box<dyn error::Error>> {
        let address = self.daemons[0].admin_address;
        let current = web::call(address, "GET", "/admin/config", &[], "").await?;
        let current = current.json();
        let version = current["version"]
            .as_u64()
            .ok_or("the configuration has no numeric version")?;
        let version_text = version.to_string();
        let headers = [
            ("if-match", version_text.as_str()),
            ("x-operator", "slopes"),
        ];
        let body = current["deployment"].to_string();
        let response = web::call(address, "PUT", "/admin/config", &headers, body).await?;
        let accepted_at = time::Instant::now();
        if response.status != 200 {
            return Err(
                format!("the daemon refused the configuration: {}", response.json()).into(),
            );
        }
        if fails_table {
            self.set_table_failure("error").await?;
        }
        let mut remaining: Vec<usize> = (0..self.daemons.len()).collect();
        let is_in_force = harness::holds_within(PROPAGATION_TIMEOUT, async || {
            let mut outdated = Vec::new();
            for index in remaining.clone() {
                if self.version_of(index).await != Some(version + 1) {
                    outdated.push(index);
                }
            }
            remaining = outdated;
            remaining.is_empty()
        })
        .await;
        let elapsed = accepted_at.elapsed();
        if fails_table {
            self.set_table_failure("none").await?;
        }
        match is_in_force {
            true => Ok(elapsed.as_secs_f64() * 1_000.0),
            false => Err(format!(
                "configuration version {} is not in force on every daemon within \
                 {PROPAGATION_TIMEOUT:?}",
                version + 1
            )
            .into()),
        }
    }

    /// Kills the last daemon and returns the milliseconds until no other daemon advertises it to
    /// callers.
    async fn kill_last_daemon(&mut self) -> Result<f64, Box<dyn error::Error>> {
        let mut killed = self.daemons.pop().ok_or("the fleet has no daemon")?;
        killed.process.kill();
        let killed_at = time::Instant::now();
        let mut remaining: Vec<usize> = (0..self.daemons.len()).collect();
        let is_removed = harness::holds_within(PROPAGATION_TIMEOUT, async || {
            let mut advertising = Vec::new();
            for index in remaining.clone() {
                let advertised = self.advertised_by(index).await.unwrap_or_default();
                if advertised.contains(&killed.caller_address) {
                    advertising.push(index);
                }
            }
            remaining = advertising;
            remaining.is_empty()
        })
        .await;
        match is_removed {
            true => Ok(killed_at.elapsed().as_secs_f64() * 1_000.0),
            false => Err(json!({"still_named_by": remaining}).to_string().into()),
        }
    }
}
