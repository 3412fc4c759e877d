//! Daemons and stand-ins of one run.

use std::{collections, error, fs, io, net, time};

use acaciabank_protocol::{ids, settings};
use acaciabank_testbed::{harness, web};
use serde_json::json;

use super::{Measurement, RunShape};

/// Engine processes that serve all targets of the inventory.
const ENGINES: usize = 2;
/// Clock ticks in a second of `/proc/PID/stat`.
const CLOCK_TICKS: f64 = 100.0;
/// Bytes of a page of `/proc/PID/statm`.
const PAGE_BYTES: f64 = 4_096.0;
const MIB: f64 = 1_048_576.0;

pub struct MeasuredDaemon {
    pub region: String,
    pub caller_address: net::SocketAddr,
    pub admin_address: net::SocketAddr,
    pub process: harness::Process,
}

/// All processes of a run; they are killed when it is dropped.
pub struct MeasuredFleet {
    pub daemons: Vec<MeasuredDaemon>,
    platform: net::SocketAddr,
    _stand_ins: Vec<harness::Process>,
    _launcher: harness::Launcher,
}

/// Counters of all daemons and of the platform at one time.
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
    /// Rates since an earlier sample, for each daemon; those of the table over all daemons.
    pub fn since(&self, before: &Sample, daemons: usize) -> Measurement {
        let seconds = self.taken_at.duration_since(before.taken_at).as_secs_f64();
        let count = daemons as f64;
        let rate = |read: fn(&Sample) -> f64| (read(self) - read(before)) / seconds;
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
    pub async fn start(shape: RunShape) -> Result<Self, Box<dyn error::Error>> {
        let launcher = harness::Launcher::new(std::env::current_exe()?)?;
        let platform = launcher.next_address()?;
        let listen = |address: net::SocketAddr| ["--listen".to_owned(), address.to_string()];
        let mut stand_ins = vec![
            launcher
                .start_ready("platform", "platform", listen(platform))
                .await?,
        ];
        let mut ports = Vec::new();
        for number in 0..ENGINES {
            // An engine answers at every loopback address, since addresses of targets are unique.
            let address = launcher.free_address(net::Ipv4Addr::UNSPECIFIED)?;
            let name = format!("engine-{number}");
            let model = ["--model".to_owned(), "drafting".to_owned()];
            let arguments = listen(address).into_iter().chain(model);
            stand_ins.push(launcher.start_ready(&name, "engine", arguments).await?);
            ports.push(address.port());
        }
        let deployment = deployment(shape, &ports);
        let daemons = start_daemons(shape, &launcher, platform, &deployment)?;
        Ok(Self {
            daemons,
            platform,
            _stand_ins: stand_ins,
            _launcher: launcher,
        })
    }

    /// Daemons by region.
    pub fn region_sizes(&self) -> collections::BTreeMap<String, usize> {
        let mut sizes = collections::BTreeMap::new();
        for daemon in &self.daemons {
            *sizes.entry(daemon.region.clone()).or_default() += 1;
        }
        sizes
    }

    /// Addresses that a daemon names to callers.
    pub async fn named_by(&self, position: usize) -> io::Result<Vec<net::SocketAddr>> {
        let answer = self.addresses(position).await?;
        let entries = answer["addresses"].as_array().into_iter().flatten();
        let addresses = entries.filter_map(|entry| entry["address"].as_str());
        Ok(addresses.filter_map(|text| text.parse().ok()).collect())
    }

    /// Version in force at a daemon.
    pub async fn version_of(&self, position: usize) -> Option<u64> {
        self.addresses(position).await.ok()?["version"].as_u64()
    }

    async fn addresses(&self, position: usize) -> io::Result<serde_json::Value> {
        let address = self.daemons[position].caller_address;
        let answer = web::call(address, "GET", "/v1/addresses", &[], "").await?;
        Ok(answer.json())
    }

    pub async fn set_table(&self, down: &str) -> io::Result<()> {
        let message = json!({"down": down});
        harness::Fleet::control(self.platform, &message).await?;
        Ok(())
    }

    pub async fn sample(&self) -> Result<Sample, Box<dyn error::Error>> {
        let counters = web::call(self.platform, "GET", "/counters", &[], "").await?;
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
            let answer = web::call(daemon.admin_address, "GET", "/metrics", &[], "").await?;
            let text = String::from_utf8_lossy(&answer.body);
            sample.bytes += sum(&text, "acaciabank_control_bytes_total");
            sample.messages += sum(&text, "acaciabank_control_messages_total");
            sample.control_cpu_s += sum(&text, "acaciabank_control_cpu_seconds_total");
            let id = daemon.process.id().ok_or("a daemon has ended")?;
            sample.process_cpu_s += cpu_seconds(id)?;
            sample.resident_mib += resident_mib(id)?;
        }
        Ok(sample)
    }
}

/// Sum of a metric over its labels.
fn sum(metrics: &str, name: &str) -> f64 {
    let lines = metrics.lines().filter(|line| {
        let rest = line.strip_prefix(name);
        rest.is_some_and(|rest| rest.starts_with(['{', ' ']))
    });
    let values = lines.filter_map(|line| line.rsplit(' ').next());
    values.filter_map(|value| value.parse::<f64>().ok()).sum()
}

fn cpu_seconds(id: u32) -> io::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The name of the program, in parentheses, may contain spaces. User and system time are the
    // 12th and 13th field after it.
    let rest = text.rsplit(')').next().unwrap_or_default();
    let fields = rest.split_whitespace().skip(11).take(2);
    let ticks: f64 = fields.filter_map(|field| field.parse::<f64>().ok()).sum();
    Ok(ticks / CLOCK_TICKS)
}

fn resident_mib(id: u32) -> io::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{id}/statm"))?;
    let pages = text.split_whitespace().nth(1);
    let pages = pages.and_then(|field| field.parse::<f64>().ok());
    Ok(pages.unwrap_or_default() * PAGE_BYTES / MIB)
}

fn region_name(number: usize) -> ids::RegionId {
    ids::RegionId::new(format!("region-{number}"))
}

fn zone_name(region: usize) -> ids::ZoneId {
    ids::ZoneId::new(format!("region-{region}-a"))
}

/// A loopback address that no other target of the inventory has.
fn target_address(number: usize, ports: &[u16]) -> net::SocketAddr {
    let [third, fourth] = (number as u16).to_be_bytes();
    let ip = net::Ipv4Addr::new(127, 254, third, fourth);
    net::SocketAddr::from((ip, ports[number % ports.len()]))
}

fn deployment(shape: RunShape, ports: &[u16]) -> settings::Deployment {
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
    let regions = (0..shape.regions).map(|number| settings::RegionEntry {
        name: region_name(number),
        zones: vec![zone_name(number)],
    });
    let hosts = (0..shape.targets).map(|number| settings::HostEntry {
        name: host(number),
        zone: zone_name(number % shape.regions),
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
        engines: (0..shape.targets).map(engine).collect(),
        services: Vec::new(),
        teams: Vec::new(),
        operators: Vec::new(),
        rules: settings::Rules::default(),
        policy: settings::Policy::default(),
    }
}

fn start_daemons(
    shape: RunShape,
    launcher: &harness::Launcher,
    platform: net::SocketAddr,
    deployment: &settings::Deployment,
) -> Result<Vec<MeasuredDaemon>, Box<dyn error::Error>> {
    let mut all = Vec::new();
    for number in 0..shape.daemons {
        let ip = launcher.next_ip();
        let region = number % shape.regions;
        let process: settings::ProcessSettings = serde_json::from_value(json!({
            "daemon": format!("daemon-{number}"),
            "region": region_name(region),
            "zone": zone_name(region),
            "caller_address": launcher.free_address(ip)?,
            "admin_address": launcher.free_address(ip)?,
            "peer_address": launcher.free_address(ip)?,
            "table": {"address": platform},
            "host_list_address": platform,
            "timers": {"target_poll_ms": shape.target_poll_ms},
            "log": {"level": "error"},
        }))?;
        all.push(process);
    }
    let peers: Vec<settings::PeerEntry> = all
        .iter()
        .map(|process| settings::PeerEntry {
            daemon: process.daemon.clone(),
            address: process.peer_address,
        })
        .collect();
    let mut daemons = Vec::new();
    for mut process in all {
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
