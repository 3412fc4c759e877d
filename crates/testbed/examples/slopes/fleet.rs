//! Processes of one run and samples of their resource use.

use std::{collections, error, fs, io, net, time};

use acaciabank_protocol::{ids, settings};
use acaciabank_testbed::{harness, web};
use serde_json::json;

use super::{Measurement, RunParams};

/// Number of engine processes that serve all targets of the inventory.
const ENGINE_COUNT: usize = 2;
/// Unit of the CPU times in `/proc/PID/stat`, as ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;
/// Page size in `/proc/PID/statm`.
const PAGE_BYTES: f64 = 4_096.0;
const BYTES_PER_MIB: f64 = 1_048_576.0;

/// A daemon process and the addresses of its listeners.
pub struct MeasuredDaemon {
    pub region: String,
    pub caller_address: net::SocketAddr,
    pub admin_address: net::SocketAddr,
    pub process: harness::Process,
}

/// All processes of a run, which are killed when it is dropped.
pub struct MeasuredFleet {
    pub daemons: Vec<MeasuredDaemon>,
    platform_address: net::SocketAddr,
    _simulators: Vec<harness::Process>,
    _launcher: harness::Launcher,
}

/// Counters at one time: sums over all daemons, and the platform's table requests.
pub struct Sample {
    taken_at: time::Instant,
    bytes: f64,
    messages: f64,
    control_cpu_s: f64,
    process_cpu_s: f64,
    resident_mib: f64,
    reads: f64,
    writes: f64,
}

impl Sample {
    /// Returns the rates since an earlier sample: per daemon, for table requests of all daemons
    /// together.
    pub fn since(&self, before: &Sample, daemons: usize) -> Measurement {
        let seconds = self.taken_at.duration_since(before.taken_at).as_secs_f64();
        let count = daemons as f64;
        let rate = |select: fn(&Sample) -> f64| (select(self) - select(before)) / seconds;
        Measurement {
            daemons,
            control_bytes_per_s: rate(|sample| sample.bytes) / count,
            control_messages_per_s: rate(|sample| sample.messages) / count,
            control_cpu_percent: 100.0 * rate(|sample| sample.control_cpu_s) / count,
            process_cpu_percent: 100.0 * rate(|sample| sample.process_cpu_s) / count,
            resident_mib: self.resident_mib / count,
            table_reads_per_s: rate(|sample| sample.reads),
            table_writes_per_s: rate(|sample| sample.writes),
            ..Measurement::default()
        }
    }
}

impl MeasuredFleet {
    pub async fn start(params: RunParams) -> Result<Self, Box<dyn error::Error>> {
        let launcher = harness::Launcher::new(std::env::current_exe()?)?;
        let platform_address = launcher.next_address()?;
        let listen = |address: net::SocketAddr| ["--listen".to_owned(), address.to_string()];
        let mut simulators = vec![
            launcher
                .start_ready("platform", "platform", listen(platform_address))
                .await?,
        ];
        let mut ports = Vec::new();
        for number in 0..ENGINE_COUNT {
            // Listens on all loopback addresses, because each target of the inventory needs its own
            // address.
            let address = launcher.free_address(net::Ipv4Addr::UNSPECIFIED)?;
            let name = format!("engine-{number}");
            let model = ["--model".to_owned(), "drafting".to_owned()];
            let arguments = listen(address).into_iter().chain(model);
            simulators.push(launcher.start_ready(&name, "engine", arguments).await?);
            ports.push(address.port());
        }
        let deployment = deployment(params, &ports);
        let daemons = start_daemons(params, &launcher, platform_address, &deployment)?;
        Ok(Self {
            daemons,
            platform_address,
            _simulators: simulators,
            _launcher: launcher,
        })
    }

    /// Returns the number of daemons in each region.
    pub fn region_sizes(&self) -> collections::BTreeMap<String, usize> {
        let mut sizes = collections::BTreeMap::new();
        for daemon in &self.daemons {
            *sizes.entry(daemon.region.clone()).or_default() += 1;
        }
        sizes
    }

    /// Returns the addresses that a daemon advertises to callers.
    pub async fn advertised_by(&self, index: usize) -> io::Result<Vec<net::SocketAddr>> {
        let response = self.addresses(index).await?;
        let entries = response["addresses"].as_array().into_iter().flatten();
        let addresses = entries.filter_map(|entry| entry["address"].as_str());
        Ok(addresses.filter_map(|text| text.parse().ok()).collect())
    }

    /// Returns the version of the configuration in force on a daemon; `None` if the request fails.
    pub async fn version_of(&self, index: usize) -> Option<u64> {
        self.addresses(index).await.ok()?["version"].as_u64()
    }

    async fn addresses(&self, index: usize) -> io::Result<serde_json::Value> {
        let address = self.daemons[index].caller_address;
        let response = web::call(address, "GET", "/v1/addresses", &[], "").await?;
        Ok(response.json())
    }

    /// Sets the failure mode of the table: `none`, `error`, `hang` or `close`.
    pub async fn set_table_failure(&self, mode: &str) -> io::Result<()> {
        let message = json!({"down": mode});
        harness::Fleet::control(self.platform_address, &message).await?;
        Ok(())
    }

    pub async fn sample(&self) -> Result<Sample, Box<dyn error::Error>> {
        let counters = web::call(self.platform_address, "GET", "/counters", &[], "").await?;
        let counters = counters.json();
        let mut sample = Sample {
            taken_at: time::Instant::now(),
            bytes: 0.0,
            messages: 0.0,
            control_cpu_s: 0.0,
            process_cpu_s: 0.0,
            resident_mib: 0.0,
            reads: counters["reads"].as_f64().unwrap_or_default(),
            writes: counters["writes"].as_f64().unwrap_or_default(),
        };
        for daemon in &self.daemons {
            let response = web::call(daemon.admin_address, "GET", "/metrics", &[], "").await?;
            let text = String::from_utf8_lossy(&response.body);
            sample.bytes += sum_metric(&text, "acaciabank_control_bytes_total");
            sample.messages += sum_metric(&text, "acaciabank_control_messages_total");
            sample.control_cpu_s += sum_metric(&text, "acaciabank_control_cpu_seconds_total");
            let pid = daemon.process.id().ok_or("a daemon is not running")?;
            sample.process_cpu_s += cpu_seconds(pid)?;
            sample.resident_mib += resident_mib(pid)?;
        }
        Ok(sample)
    }
}

/// Sums a metric over all its label values.
fn sum_metric(metrics: &str, name: &str) -> f64 {
    let lines = metrics.lines().filter(|line| {
        let rest = line.strip_prefix(name);
        rest.is_some_and(|rest| rest.starts_with(['{', ' ']))
    });
    let values = lines.filter_map(|line| line.rsplit(' ').next());
    values.filter_map(|value| value.parse::<f64>().ok()).sum()
}

fn cpu_seconds(pid: u32) -> io::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The program name in parentheses may contain spaces. User and system time are the 12th and
    // 13th fields after it.
    let rest = text.rsplit(')').next().unwrap_or_default();
    let fields = rest.split_whitespace().skip(11).take(2);
    let ticks: f64 = fields.filter_map(|field| field.parse::<f64>().ok()).sum();
    Ok(ticks / TICKS_PER_SECOND)
}

fn resident_mib(pid: u32) -> io::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages = text.split_whitespace().nth(1);
    let pages = pages.and_then(|field| field.parse::<f64>().ok());
    Ok(pages.unwrap_or_default() * PAGE_BYTES / BYTES_PER_MIB)
}

fn region_name(number: usize) -> ids::RegionId {
    ids::RegionId::new(format!("region-{number}"))
}

fn zone_name(region: usize) -> ids::ZoneId {
    ids::ZoneId::new(format!("region-{region}-a"))
}

/// Returns a loopback address that no other target of the inventory has.
fn target_address(number: usize, ports: &[u16]) -> net::SocketAddr {
    let [third, fourth] = (number as u16).to_be_bytes();
    let ip = net::Ipv4Addr::new(127, 254, third, fourth);
    net::SocketAddr::from((ip, ports[number % ports.len()]))
}

fn deployment(params: RunParams, ports: &[u16]) -> settings::Deployment {
    let host = |number: usize| ids::HostId::new(format!("host-{number}"));
    let engine = |number: usize| settings::EngineEntry {
        name: ids::TargetId::new(format!("engine-{number}")),
        host: host(number),
        address: target_address(number, ports),
        model: ids::ModelId::from("drafting"),
        role: settings::EngineRole::Mixed,
        slots: 32,
        fencing: settings::FencingSupport::Checked,
        admin_idle_close_ms: None,
    };
    let regions = (0..params.regions).map(|number| settings::RegionEntry {
        name: region_name(number),
        zones: vec![zone_name(number)],
    });
    let hosts = (0..params.targets).map(|number| settings::HostEntry {
        name: host(number),
        zone: zone_name(number % params.regions),
    });
    settings::Deployment {
        regions: regions.collect(),
        distances: Vec::new(),
        hosts: hosts.collect(),
        models: vec![settings::ModelEntry {
            name: ids::ModelId::from("drafting"),
            version: "1".to_owned(),
            adapters: Vec::new(),
            piece_tokens: 2_000,
        }],
        engines: (0..params.targets).map(engine).collect(),
        services: Vec::new(),
        teams: Vec::new(),
        operators: Vec::new(),
        rules: settings::Rules::default(),
        policy: settings::Policy::default(),
    }
}

fn start_daemons(
    params: RunParams,
    launcher: &harness::Launcher,
    platform_address: net::SocketAddr,
    deployment: &settings::Deployment,
) -> Result<Vec<MeasuredDaemon>, Box<dyn error::Error>> {
    let mut processes = Vec::new();
    for number in 0..params.daemons {
        let ip = launcher.next_ip();
        let region = number % params.regions;
        let process: settings::ProcessSettings = serde_json::from_value(json!({
            "daemon": format!("daemon-{number}"),
            "region": region_name(region),
            "zone": zone_name(region),
            "caller_address": launcher.free_address(ip)?,
            "admin_address": launcher.free_address(ip)?,
            "peer_address": launcher.free_address(ip)?,
            "table": {"address": platform_address},
            "host_list_address": platform_address,
            "timers": {"target_poll_ms": params.target_poll_ms},
            "log": {"level": "error"},
        }))?;
        processes.push(process);
    }
    let peers: Vec<settings::PeerEntry> = processes
        .iter()
        .map(|process| settings::PeerEntry {
            daemon: process.daemon.clone(),
            address: process.peer_address,
        })
        .collect();
    let mut daemons = Vec::new();
    for mut process in processes {
        let others = peers.iter().filter(|peer| peer.daemon != process.daemon);
        process.peers = others.cloned().collect();
        daemons.push(start_daemon(launcher, process, deployment)?);
    }
    Ok(daemons)
}

fn start_daemon(
    launcher: &harness::Launcher,
    process: settings::ProcessSettings,
    deployment: &settings::Deployment,
) -> Result<MeasuredDaemon, Box<dyn error::Error>> {
    let name = process.daemon.to_string();
    let region = process.region.to_string();
    let (caller_address, admin_address) = (process.caller_address, process.admin_address);
    let settings = settings::Settings {
        process,
        deployment: deployment.clone(),
    };
    let file = launcher.folder().join(format!("{name}.json"));
    fs::write(&file, serde_json::to_vec(&settings)?)?;
    let arguments = ["--settings".into(), file.into_os_string()];
    Ok(MeasuredDaemon {
        region,
        caller_address,
        admin_address,
        process: launcher.start(&name, "daemon", arguments)?,
    })
}
