//! Measures what control costs a daemon, by the number of daemons and targets, and fits slopes.
//!
//! `cargo run --release --example slopes [-- --json] [--sizes 8,20,40,80] [--regions 1]
//! [--window-ms 12000]`
//!
//! All daemons are real processes. The targets of the inventory are served by two engine processes,
//! so that many targets fit on one machine. The engines are idle.

#[path = "slopes/fit.rs"]
mod fit;
#[path = "slopes/fleet.rs"]
mod fleet;

use std::{env, error, time};

use acaciabank_testbed::{harness, multicall, web};
use serde_json::json;

use fit::Fit;
use fleet::MeasuredFleet;

/// Time for the daemons to hear of each other before the measurement.
const SETTLE_LIMIT: time::Duration = time::Duration::from_secs(60);
/// Limit for a killed daemon to leave the answers, and for a configuration to be in force.
const CHANGE_LIMIT: time::Duration = time::Duration::from_secs(30);
/// Settling after the last member is known: pulls, ownership and connections come to rest.
const REST: time::Duration = time::Duration::from_secs(5);
/// Share of the design's targets for each daemon.
const TARGETS_PER_DAEMON: f64 = 1_300.0 / 410.0;
/// Fewest and most targets of the inventory.
const TARGET_RANGE: (usize, usize) = (12, 1_300);
/// Poll interval of the run with the most targets, which a few daemons poll in place of 410.
const MANY_TARGETS_POLL_MS: u64 = 4_000;

/// One run: sizes and intervals.
#[derive(Clone, Copy, Debug)]
struct RunShape {
    daemons: usize,
    targets: usize,
    regions: usize,
    target_poll_ms: u64,
    window: time::Duration,
}

/// What one run shows, as averages for each daemon.
#[derive(Clone, Debug, Default, serde::Serialize)]
struct Measurement {
    daemons: usize,
    targets: usize,
    regions: usize,
    target_poll_ms: u64,
    /// Received and sent.
    control_bytes_per_s: f64,
    control_messages_per_s: f64,
    /// Share of one core, in percent.
    control_cpu_percent: f64,
    process_cpu_percent: f64,
    resident_mib: f64,
    /// Of the table service, over all daemons.
    table_reads_per_s: f64,
    table_writes_per_s: f64,
    killed_not_named_ms: f64,
    config_in_force_ms: f64,
    config_in_force_table_down_ms: f64,
}

struct Options {
    is_json: bool,
    sizes: Vec<usize>,
    regions: usize,
    window: time::Duration,
}

fn read_options() -> Result<Options, Box<dyn error::Error>> {
    let mut options = Options {
        is_json: false,
        sizes: vec![8, 20, 40, 80],
        regions: 1,
        window: time::Duration::from_secs(12),
    };
    let mut arguments = env::args().skip(1);
    while let Some(argument) = arguments.next() {
        let mut value = || {
            let missing = || format!("{argument}: a value is required");
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
            _ => return Err(format!("unknown argument {argument}").into()),
        }
    }
    Ok(options)
}

fn main() -> Result<(), Box<dyn error::Error>> {
    multicall::run_role_from_args();
    let options = read_options()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run(&options))
}

async fn run(options: &Options) -> Result<(), Box<dyn error::Error>> {
    let mut measurements = Vec::new();
    for daemons in &options.sizes {
        let targets = (*daemons as f64 * TARGETS_PER_DAEMON) as usize;
        let shape = RunShape {
            daemons: *daemons,
            targets: targets.max(TARGET_RANGE.0),
            regions: options.regions,
            target_poll_ms: 500,
            window: options.window,
        };
        let measurement = measure(shape).await?;
        print(&measurement, options.is_json)?;
        measurements.push(measurement);
    }
    let most_targets = RunShape {
        daemons: options.sizes.first().copied().unwrap_or(8),
        targets: TARGET_RANGE.1,
        regions: 1,
        target_poll_ms: MANY_TARGETS_POLL_MS,
        window: options.window,
    };
    let many = measure(most_targets).await?;
    print(&many, options.is_json)?;
    print_fits(&measurements, &many, options.is_json)
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

/// A measured value as a function of the number of daemons.
type Read = fn(&Measurement) -> f64;

fn print_fits(
    measurements: &[Measurement],
    many: &Measurement,
    is_json: bool,
) -> Result<(), Box<dyn error::Error>> {
    let values: [(&str, Read); 9] = [
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
    for (name, read) in values {
        let points = measurements.iter().map(|m| (m.daemons as f64, read(m)));
        print_fit(&Fit::new(name, "daemon", points), is_json)?;
    }
    if let Some(few) = measurements.first() {
        let points = [few, many].map(|m| (m.targets as f64, m.resident_mib));
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

async fn measure(shape: RunShape) -> Result<Measurement, Box<dyn error::Error>> {
    let mut fleet = MeasuredFleet::start(shape).await?;
    let is_settled =
        harness::holds_within(SETTLE_LIMIT, async || fleet.is_known_everywhere().await).await;
    if !is_settled {
        return Err("the daemons do not know each other in time".into());
    }
    tokio::time::sleep(REST).await;
    let before = fleet.sample().await?;
    tokio::time::sleep(shape.window).await;
    let after = fleet.sample().await?;
    let mut measurement = after.since(&before, shape.daemons);
    measurement.targets = shape.targets;
    measurement.regions = shape.regions;
    measurement.target_poll_ms = shape.target_poll_ms;
    measurement.config_in_force_ms = fleet.change_config(false).await?;
    measurement.config_in_force_table_down_ms = fleet.change_config(true).await?;
    measurement.killed_not_named_ms = fleet.kill_last().await?;
    Ok(measurement)
}

impl MeasuredFleet {
    /// Whether every daemon names every other one of its region to callers.
    async fn is_known_everywhere(&self) -> bool {
        let expected = self.region_sizes();
        for (position, daemon) in self.daemons.iter().enumerate() {
            let named = self.named_by(position).await.unwrap_or_default();
            if named.len() < expected[&daemon.region] {
                return false;
            }
        }
        true
    }

    /// Changes the configuration at one daemon; milliseconds from its acceptance until it is in
    /// force everywhere. The table fails from the acceptance on when asked.
    async fn change_config(&self, fails_table: bool) -> Result<f64, Box<dyn error::Error>> {
        let address = self.daemons[0].admin_address;
        let current = web::call(address, "GET", "/admin/config", &[], "").await?;
        let current = current.json();
        let version = current["version"].as_u64().ok_or("no version")?;
        let text = version.to_string();
        let headers = [("if-match", text.as_str()), ("x-operator", "slopes")];
        let body = current["deployment"].to_string();
        let answer = web::call(address, "PUT", "/admin/config", &headers, body).await?;
        let accepted_at = time::Instant::now();
        if answer.status != 200 {
            return Err(format!("configuration refused: {}", answer.json()).into());
        }
        if fails_table {
            self.set_table("error").await?;
        }
        let mut waiting: Vec<usize> = (0..self.daemons.len()).collect();
        let is_everywhere = harness::holds_within(CHANGE_LIMIT, async || {
            let mut behind = Vec::new();
            for position in waiting.clone() {
                if self.version_of(position).await != Some(version + 1) {
                    behind.push(position);
                }
            }
            waiting = behind;
            waiting.is_empty()
        })
        .await;
        let elapsed = accepted_at.elapsed();
        if fails_table {
            self.set_table("none").await?;
        }
        match is_everywhere {
            true => Ok(elapsed.as_secs_f64() * 1_000.0),
            false => Err(format!("version {} is not in force everywhere", version + 1).into()),
        }
    }

    /// Kills the last daemon; milliseconds until no other daemon names it to callers.
    async fn kill_last(&mut self) -> Result<f64, Box<dyn error::Error>> {
        let mut killed = self.daemons.pop().ok_or("no daemon")?;
        killed.process.kill();
        let killed_at = time::Instant::now();
        let mut waiting: Vec<usize> = (0..self.daemons.len()).collect();
        let is_gone = harness::holds_within(CHANGE_LIMIT, async || {
            let mut naming = Vec::new();
            for position in waiting.clone() {
                let named = self.named_by(position).await.unwrap_or_default();
                if named.contains(&killed.caller_address) {
                    naming.push(position);
                }
            }
            waiting = naming;
            waiting.is_empty()
        })
        .await;
        match is_gone {
            true => Ok(killed_at.elapsed().as_secs_f64() * 1_000.0),
            false => Err(json!({"still_named_by": waiting}).to_string().into()),
        }
    }
}
