//! Starts and inspects fleets of a simulated platform, engines, services and real daemons.

use std::{fs, io, net, path, time};

use acaciabank_protocol::{ids, settings};
use sha2::Digest;

use super::{
    Caller, JournalEntries, Launcher, LinkProxy, Process, ProxiedLinks, links, read_journals,
};
use crate::web;

/// Maximum time for a daemon to become ready or to report an expected state; generous because tests
/// share a busy machine.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Configuration of a fleet that has not started yet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Inventory, rules and policy. The addresses of targets are assigned when the fleet starts.
    pub deployment: settings::Deployment,
    /// Number of daemons, assigned to the zones in round-robin order.
    pub daemons: usize,
    /// Additional command-line arguments of every engine.
    pub engine_arguments: Vec<String>,
    /// Additional command-line arguments of every service instance.
    pub service_arguments: Vec<String>,
    /// Additional command-line arguments of the platform.
    pub platform_arguments: Vec<String>,
    /// Intervals and timeouts of the daemons.
    pub timers: settings::TimerSettings,
    /// Sizes and counts of the daemons.
    pub limits: settings::LimitSettings,
    /// Log output of the daemons.
    pub log: settings::LogSettings,
    /// Timeout of the daemons' calls to the table, in milliseconds.
    pub table_timeout_ms: u64,
    /// Settings that differ for individual daemons.
    pub overrides: Vec<DaemonOverride>,
    /// Connections routed through the fault-injecting proxy.
    pub proxied: ProxiedLinks,
}

/// Settings of one daemon that replace those of the fleet; `None` keeps the fleet's settings.
#[derive(Clone, Debug, Default)]
pub struct DaemonOverride {
    /// Index of the daemon in [`Fleet::daemons`].
    pub daemon: usize,
    /// Intervals and timeouts.
    pub timers: Option<settings::TimerSettings>,
    /// Sizes and counts.
    pub limits: Option<settings::LimitSettings>,
    /// Log output.
    pub log: Option<settings::LogSettings>,
    /// Timeout of calls to the table, in milliseconds.
    pub table_timeout_ms: Option<u64>,
}

impl DaemonOverride {
    fn apply(&self, process: &mut settings::ProcessSettings) {
        process.timers = self.timers.clone().unwrap_or(process.timers.clone());
        process.limits = self.limits.clone().unwrap_or(process.limits.clone());
        process.log = self.log.clone().unwrap_or(process.log.clone());
        let table = &mut process.table;
        table.timeout_ms = self.table_timeout_ms.unwrap_or(table.timeout_ms);
    }
}

/// A running engine or service instance.
#[derive(Debug)]
pub struct TargetProcess {
    /// Target name in the inventory.
    pub name: String,
    /// Address on which the process listens.
    pub address: net::SocketAddr,
    /// Handle of the process.
    pub process: Process,
}

/// A running daemon.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Daemon name in the settings.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the listener for callers.
    pub caller_address: net::SocketAddr,
    /// Address of the listener for operators.
    pub admin_address: net::SocketAddr,
    /// Address of the listener for other daemons.
    pub peer_address: net::SocketAddr,
    /// Path of the settings file that the daemon was started with.
    pub settings_file: path::PathBuf,
    /// Handle of the process.
    pub process: Process,
}

/// A running fleet. Its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Deployment with the addresses that the daemons use for targets.
    pub deployment: settings::Deployment,
    /// Address of the platform.
    pub platform_address: net::SocketAddr,
    /// Process of the simulated platform.
    pub platform: Process,
    /// Engines in the order of the inventory.
    pub engines: Vec<TargetProcess>,
    /// Service instances in the order of the inventory.
    pub services: Vec<TargetProcess>,
    /// Daemons in the order of their numbers.
    pub daemons: Vec<DaemonProcess>,
    /// Fault-injecting proxy; `None` when no connection is routed through it.
    pub proxy: Option<LinkProxy>,
    /// Launcher that started all processes.
    pub launcher: Launcher,
}

impl Fleet {
    /// Creates a caller that is configured with the addresses of all daemons.
    pub fn caller(&self, zone: Option<&str>, timeout: time::Duration) -> Caller {
        let seed_addresses = self.daemons.iter().map(|daemon| daemon.caller_address);
        Caller::new(seed_addresses.collect(), zone, timeout)
    }

    /// Waits until a daemon has ended by itself with status 0; returns the lines of its log.
    ///
    /// # Panics
    ///
    /// Panics when it does not end within `timeout`, or with another status.
    pub async fn wait_clean_exit(
        &mut self,
        index: usize,
        timeout: time::Duration,
    ) -> Vec<serde_json::Value> {
        let daemon = &mut self.daemons[index];
        let mut status = None;
        super::wait_until(timeout, "the daemon exits", async || {
            status = daemon.process.exit_status();
            status.is_some()
        })
        .await;
        let code = status.and_then(|status| status.code());
        assert_eq!(code, Some(0), "{}", daemon.name);
        let log = fs::read_to_string(daemon.process.log_file()).expect("a log file");
        let lines = log.lines().map(serde_json::from_str);
        lines.filter_map(Result::ok).collect()
    }

    /// Waits until a daemon reports that it is ready.
    ///
    /// # Panics
    ///
    /// Panics when the daemon is not ready within 60 s.
    pub async fn wait_daemon_ready(&self, index: usize) {
        let daemon = &self.daemons[index];
        let description = format!("{} is ready", daemon.name);
        super::wait_until(READY_TIMEOUT, &description, async || {
            let call = web::call(daemon.admin_address, "GET", "/readyz", &[], "");
            call.await.is_ok_and(|response| response.status == 200)
        })
        .await;
    }

    /// Fetches a path from a daemon's listener for operators and parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection.
    pub async fn admin_json(&self, index: usize, path: &str) -> io::Result<serde_json::Value> {
        let address = self.daemons[index].admin_address;
        let response = web::call(address, "GET", path, &[], "").await?;
        Ok(response.json())
    }

    /// Returns the number of members that a daemon reports as ready, itself included; 0 when it
    /// does not respond.
    pub async fn ready_members(&self, index: usize) -> usize {
        let status = self.admin_json(index, "/admin/status").await;
        let status = status.unwrap_or_default();
        let members = status["members"].as_array().into_iter().flatten();
        members
            .filter(|member| member["condition"] == "ready")
            .count()
    }

    /// Waits until a daemon reports exactly `count` ready members, itself included.
    ///
    /// # Panics
    ///
    /// Panics when that does not happen within 60 s.
    pub async fn wait_members(&self, index: usize, count: usize) {
        let description = format!("{} reports {count} ready members", self.daemons[index].name);
        super::wait_until(READY_TIMEOUT, &description, async || {
            self.ready_members(index).await == count
        })
        .await;
    }

    /// Waits until every daemon reports all daemons as ready and all targets as accepting.
    ///
    /// # Panics
    ///
    /// Panics when that does not happen within 60 s.
    pub async fn wait_converged(&self) {
        for index in 0..self.daemons.len() {
            self.wait_members(index, self.daemons.len()).await;
            self.wait_accepting(index, self.engines.len() + self.services.len())
                .await;
        }
    }

    /// Waits until a daemon reports exactly `count` targets that accept requests.
    ///
    /// # Panics
    ///
    /// Panics when that does not happen within 60 s.
    pub async fn wait_accepting(&self, index: usize, count: usize) {
        let name = &self.daemons[index].name;
        let description = format!("{name} reports {count} accepting targets");
        super::wait_until(READY_TIMEOUT, &description, async || {
            let status = self.admin_json(index, "/admin/status").await;
            status.is_ok_and(|status| status["targets_accepting"] == count)
        })
        .await;
    }

    /// Sends a control message to a simulated engine, service or platform.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection, or an error with the response body when the status
    /// is not 200.
    pub async fn control(
        address: net::SocketAddr,
        message: &serde_json::Value,
    ) -> io::Result<serde_json::Value> {
        let response = web::call(address, "POST", "/control", &[], message.to_string()).await?;
        if response.status != 200 {
            return Err(io::Error::other(response.json().to_string()));
        }
        Ok(response.json())
    }

    /// Reads the journals of all simulated processes.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of reading the folder or a file.
    pub fn journals(&self) -> io::Result<JournalEntries> {
        read_journals(self.launcher.folder())
    }
}

impl FleetSpec {
    /// Creates a small fleet with Pemberton's zones for failure tests: every connection is routed
    /// through the proxy, and daemons detect an unreachable peer within seconds.
    pub fn small(daemons: usize, engines: usize, services: usize) -> Self {
        let mut spec = Fleet::pemberton();
        spec.daemons = daemons;
        spec.deployment.engines.truncate(engines);
        spec.deployment.services[0].instances.truncate(services);
        spec.proxied = ProxiedLinks::ALL;
        spec.timers.gossip_interval_ms = 200;
        spec.timers.suspect_after_ms = 1_000;
        spec.timers.dead_after_ms = 2_500;
        spec.timers.target_poll_ms = 200;
        spec.timers.target_backoff_ms = 300;
        spec.timers.address_lifetime_ms = 500;
        spec
    }

    /// Creates a spec with default arguments and timers and without the proxy.
    pub fn new(deployment: settings::Deployment, daemons: usize) -> Self {
        Self {
            deployment,
            daemons,
            engine_arguments: Vec::new(),
            service_arguments: Vec::new(),
            platform_arguments: Vec::new(),
            timers: settings::TimerSettings::default(),
            limits: settings::LimitSettings::default(),
            log: settings::LogSettings::default(),
            table_timeout_ms: 1_000,
            overrides: Vec::new(),
            proxied: ProxiedLinks::default(),
        }
    }

    /// Adds a team with one API key and the default weight.
    pub fn add_team(&mut self, name: &str, key: &str) {
        let digest = sha2::Sha256::digest(key.as_bytes());
        let digits = digest.iter().map(|byte| format!("{byte:02x}"));
        self.deployment.teams.push(settings::TeamEntry {
            name: ids::TeamId::from(name),
            key_sha256: vec![digits.collect()],
            weight: 1,
            urgent_allowed: true,
        });
    }

    /// Starts all processes and waits until they are ready.
    ///
    /// # Errors
    ///
    /// Returns the error of starting a process or writing a settings file.
    ///
    /// # Panics
    ///
    /// Panics when a process is not ready in time.
    pub async fn start(self, launcher: Launcher) -> io::Result<Fleet> {
        let fleet = self.start_simulators(launcher).await?;
        let mut fleet = fleet;
        self.start_daemons(&mut fleet).await?;
        for index in 0..fleet.daemons.len() {
            fleet.wait_daemon_ready(index).await;
        }
        Ok(fleet)
    }

    /// Starts the platform, the engines, the services and the proxy, without daemons.
    ///
    /// # Errors
    ///
    /// Returns the error of starting a process.
    ///
    /// # Panics
    ///
    /// Panics when a process is not ready in time.
    pub async fn start_simulators(&self, launcher: Launcher) -> io::Result<Fleet> {
        let mut deployment = self.deployment.clone();
        let platform_address = launcher.next_address()?;
        let arguments = simulator_arguments(&launcher, "platform", platform_address);
        let arguments = arguments.into_iter().chain(self.platform_arguments.clone());
        let platform = launcher.start("platform", "platform", arguments)?;
        let mut engines = Vec::new();
        for entry in &mut deployment.engines {
            entry.address = launcher.next_address()?;
            let arguments = self.engine_arguments(&launcher, entry, platform_address);
            let name = entry.name.to_string();
            engines.push(TargetProcess {
                process: launcher.start(&name, "engine", arguments)?,
                address: entry.address,
                name,
            });
        }
        let mut services = Vec::new();
        let instances = deployment.services.iter_mut();
        for entry in instances.flat_map(|service| service.instances.iter_mut()) {
            entry.address = launcher.next_address()?;
            let name = entry.name.to_string();
            let arguments = simulator_arguments(&launcher, &name, entry.address);
            let named_arguments = arguments
                .into_iter()
                .chain(["--name".to_owned(), name.clone()]);
            let arguments = named_arguments.chain(self.service_arguments.clone());
            services.push(TargetProcess {
                process: launcher.start(&name, "service", arguments)?,
                address: entry.address,
                name,
            });
        }
        platform.wait_ready().await;
        for target in engines.iter().chain(&services) {
            target.process.wait_ready().await;
        }
        let proxy = match self.proxied.any() {
            true => Some(LinkProxy::start(&launcher).await?),
            false => None,
        };
        let mut fleet = Fleet {
            deployment,
            platform_address,
            platform,
            engines,
            services,
            daemons: Vec::new(),
            proxy,
            launcher,
        };
        if self.proxied.targets {
            fleet.proxy_targets().await?;
        }
        fleet.mark_hosts_live().await?;
        Ok(fleet)
    }

    fn engine_arguments(
        &self,
        launcher: &Launcher,
        entry: &settings::EngineEntry,
        platform_address: net::SocketAddr,
    ) -> Vec<String> {
        let mut arguments = simulator_arguments(launcher, entry.name.as_str(), entry.address);
        let mut add = |name: &str, value: String| arguments.extend([format!("--{name}"), value]);
        add("name", entry.name.to_string());
        add("model", entry.model.to_string());
        add("role", setting_text(&entry.role));
        add("fencing", setting_text(&entry.fencing));
        add("slots", entry.slots.to_string());
        add("weight-store", platform_address.to_string());
        if let Some(idle_timeout_ms) = entry.admin_idle_close_ms {
            add("admin-idle-close-ms", idle_timeout_ms.to_string());
        }
        let mut models = self.deployment.models.iter();
        if let Some(model) = models.find(|model| model.name == entry.model) {
            add("model-version", model.version.clone());
            add("piece-tokens", model.piece_tokens.to_string());
            for adapter in &model.adapters {
                add("adapter", adapter.clone());
            }
        }
        arguments.extend(self.engine_arguments.clone());
        arguments
    }

    /// Starts the daemons of a fleet whose simulated processes are running.
    async fn start_daemons(&self, fleet: &mut Fleet) -> io::Result<()> {
        let regions = self.deployment.regions.iter();
        let zones: Vec<(ids::RegionId, ids::ZoneId)> = regions
            .flat_map(|region| {
                let region_zones = region.zones.iter();
                region_zones.map(|zone| (region.name.clone(), zone.clone()))
            })
            .collect();
        let mut processes = Vec::new();
        for number in 0..self.daemons {
            let (region, zone) = zones[number % zones.len()].clone();
            let ip = fleet.launcher.next_ip();
            processes.push(settings::ProcessSettings {
                daemon: ids::DaemonId::new(format!("daemon-{number}")),
                region,
                zone,
                caller_address: fleet.launcher.free_address(ip)?,
                admin_address: fleet.launcher.free_address(ip)?,
                peer_address: fleet.launcher.free_address(ip)?,
                advertised_caller_address: None,
                advertised_peer_address: None,
                peers: Vec::new(),
                table: table_settings(fleet.platform_address, self.table_timeout_ms),
                object_store_address: Some(fleet.platform_address),
                host_list_address: Some(fleet.platform_address),
                tls: None,
                limits: self.limits.clone(),
                timers: self.timers.clone(),
                log: self.log.clone(),
            });
        }
        for (index, process) in processes.iter_mut().enumerate() {
            self.proxy_daemon(fleet, index, process).await?;
            let overrides = self.overrides.iter();
            let matching = overrides.filter(|entry| entry.daemon == index);
            matching.for_each(|entry| entry.apply(process));
        }
        let peers: Vec<settings::PeerEntry> = processes
            .iter()
            .map(|process| settings::PeerEntry {
                daemon: process.daemon.clone(),
                address: process
                    .advertised_peer_address
                    .unwrap_or(process.peer_address),
            })
            .collect();
        for mut process in processes {
            let others = peers.iter().filter(|peer| peer.daemon != process.daemon);
            process.peers = others.cloned().collect();
            let daemon = start_daemon(fleet, process)?;
            fleet.daemons.push(daemon);
        }
        Ok(())
    }
}

impl FleetSpec {
    /// Routes a daemon's connections to the table and to other daemons through the proxy where
    /// [`FleetSpec::proxied`] selects them.
    async fn proxy_daemon(
        &self,
        fleet: &Fleet,
        index: usize,
        process: &mut settings::ProcessSettings,
    ) -> io::Result<()> {
        let Some(proxy) = &fleet.proxy else {
            return Ok(());
        };
        if self.proxied.table {
            let link = links::table_link(index);
            process.table.address = proxy.add(&link, process.table.address).await?;
        }
        if self.proxied.peers {
            let link = links::peer_link(index);
            let address = proxy.add(&link, process.peer_address).await?;
            process.advertised_peer_address = Some(address);
        }
        Ok(())
    }
}

impl Fleet {
    /// Replaces the addresses of all targets in the deployment by those of proxy links to them.
    async fn proxy_targets(&mut self) -> io::Result<()> {
        let Some(proxy) = &self.proxy else {
            return Ok(());
        };
        for entry in &mut self.deployment.engines {
            let link = links::target_link(entry.name.as_str());
            entry.address = proxy.add(&link, entry.address).await?;
        }
        let services = self.deployment.services.iter_mut();
        for entry in services.flat_map(|service| service.instances.iter_mut()) {
            let link = links::target_link(entry.name.as_str());
            entry.address = proxy.add(&link, entry.address).await?;
        }
        Ok(())
    }

    /// Reports every host of the inventory as live in the platform's host list.
    async fn mark_hosts_live(&self) -> io::Result<()> {
        let hosts = self.deployment.hosts.iter();
        let states: serde_json::Map<String, serde_json::Value> = hosts
            .map(|host| (host.name.to_string(), "live".into()))
            .collect();
        let message = serde_json::json!({"hosts": states});
        Fleet::control(self.platform_address, &message).await?;
        Ok(())
    }
}

fn start_daemon(fleet: &Fleet, process: settings::ProcessSettings) -> io::Result<DaemonProcess> {
    let name = process.daemon.to_string();
    let settings_file = fleet.launcher.folder().join(format!("{name}.json"));
    let (zone, caller_address) = (process.zone.to_string(), process.caller_address);
    let (admin_address, peer_address) = (process.admin_address, process.peer_address);
    let settings = settings::Settings {
        process,
        deployment: fleet.deployment.clone(),
    };
    fs::write(&settings_file, serde_json::to_vec_pretty(&settings)?)?;
    let arguments = ["--settings".into(), settings_file.clone().into_os_string()];
    Ok(DaemonProcess {
        process: fleet.launcher.start(&name, "daemon", arguments)?,
        name,
        zone,
        caller_address,
        admin_address,
        peer_address,
        settings_file,
    })
}

fn table_settings(address: net::SocketAddr, timeout_ms: u64) -> settings::TableSettings {
    settings::TableSettings {
        address,
        name: "acaciabank".to_owned(),
        timeout_ms,
        batch_rows: 50,
        batch_wait_ms: 4,
    }
}

fn simulator_arguments(launcher: &Launcher, name: &str, address: net::SocketAddr) -> Vec<String> {
    let journal = launcher.journal_file(name).display().to_string();
    let listen = ["--listen".to_owned(), address.to_string()];
    let journal = ["--journal".to_owned(), journal];
    listen.into_iter().chain(journal).collect()
}

/// JSON string form of a setting, which the program's arguments accept.
fn setting_text(value: &impl serde::Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

/// Returns the number of requests that the last line of a shutdown reports as interrupted.
pub fn interrupted_count(lines: &[serde_json::Value]) -> Option<u64> {
    let mut counts = lines.iter().rev();
    counts.find_map(|line| line["interrupted"].as_u64())
}
