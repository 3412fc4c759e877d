//! Starts the store, runners and relays of a test as processes on loopback addresses.

use std::{fs, net, time::Duration};

use acaciabank_testbed::{harness, web};
use base64::Engine;
use serde_json::{Value, json};

/// Maximum wait for a condition; generous because the machine may be busy.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// Host name of all routes.
pub const ROUTE_HOST: &str = "host.example";
/// Length of a window of usage; shorter than that of real deployments, so that tests see several.
pub const USAGE_WINDOW_MS: u64 = 2_000;
/// Deadline that requests carry, in milliseconds.
const REQUEST_DEADLINE_MS: &str = "20000";

/// A process of the platform emulator: the store or a runner.
pub struct EmulatorProcess {
    pub process: harness::Process,
    pub address: net::SocketAddr,
}

/// A relay process and the addresses on which it listens.
pub struct Relay {
    pub process: harness::Process,
    pub caller_address: net::SocketAddr,
    pub ready_address: net::SocketAddr,
    pub directory_address: net::SocketAddr,
}

/// The store, the optional proxy, and the launcher for further processes.
pub struct Fixture {
    pub launcher: harness::Launcher,
    pub store: EmulatorProcess,
    /// Proxy of the links to runners and from relays to the store, if the links are proxied.
    pub proxy: Option<harness::LinkProxy>,
    /// Interface for duties that the settings of a relay name, if there is one.
    pub cloud: Option<EmulatorProcess>,
    /// Memory that the settings of a relay state, in megabytes.
    pub relay_memory_mb: u32,
    /// Descriptors that the settings of a relay state.
    pub relay_max_fds: usize,
    /// Retries allowed per request that the settings of a relay state.
    pub retry_budget_ratio: f64,
    /// Further lines in the section `bounds` of the settings of relays that are started from now on.
    pub relay_bounds: String,
    /// Further arguments of the runners that are started from now on.
    pub runner_arguments: Vec<String>,
    /// Whether links added from now on refuse connections while their upstream does. Other links
    /// accept and close them, so that no relay can confirm a crash.
    pub shows_crashes: bool,
    peer_port: u16,
    relay_count: u32,
}

impl Fixture {
    /// Starts the store.
    pub async fn start() -> Self {
        let launcher = harness::Launcher::new(env!("CARGO_BIN_EXE_testbed")).expect("launcher");
        let address = launcher.next_address().expect("address");
        let arguments = ["--listen".to_owned(), address.to_string()];
        let process = launcher.start_ready("store", "store", arguments).await;
        let process = process.expect("store");
        let peer_port = address.port();
        Self {
            store: EmulatorProcess { process, address },
            launcher,
            proxy: None,
            cloud: None,
            relay_memory_mb: 160,
            relay_max_fds: 4_096,
            retry_budget_ratio: 10.0,
            relay_bounds: String::new(),
            runner_arguments: Vec::new(),
            shows_crashes: false,
            peer_port,
            relay_count: 0,
        }
    }

    /// Starts the store and a proxy for the links to runners and to the store.
    pub async fn start_proxied() -> Self {
        let fixture = Self::start().await;
        let proxy = harness::LinkProxy::start(&fixture.launcher).await;
        Self {
            proxy: Some(proxy.expect("proxy")),
            ..fixture
        }
    }

    /// Starts the control interface; relays that are started from now on report usage in windows
    /// of [`USAGE_WINDOW_MS`].
    pub async fn start_cloud(&mut self) {
        let address = self.launcher.next_address().expect("address");
        let arguments = ["--listen".to_owned(), address.to_string()];
        let process = self.launcher.start_ready("cloud", "cloud", arguments).await;
        let process = process.expect("cloud");
        self.cloud = Some(EmulatorProcess { process, address });
    }

    /// Returns the address at which others reach `address`: that of a proxied link, or `address`
    /// itself without a proxy.
    async fn link_address(&self, name: &str, address: net::SocketAddr) -> net::SocketAddr {
        match &self.proxy {
            Some(proxy) if self.shows_crashes => {
                let added = proxy.add_refusing(name, address).await;
                added.expect("link")
            }
            Some(proxy) => proxy.add(name, address).await.expect("link"),
            None => address,
        }
    }

    /// Starts a runner on a new address: an engine if a stage is given, or else a plain service.
    pub async fn start_runner(
        &self,
        id: &str,
        service: &str,
        stage: Option<&str>,
    ) -> EmulatorProcess {
        let address = self.launcher.next_address().expect("address");
        self.start_runner_at(address, id, service, stage).await
    }

    /// Starts the runners with these ids: prefill engines (`p-`), decode engines (`d-`) and plain
    /// services.
    pub async fn start_runners(&self, ids: &[&str]) -> Vec<EmulatorProcess> {
        let mut runners = Vec::new();
        for id in ids {
            let (service, stage) = match id.split_once('-') {
                Some(("p", _)) => ("models", Some("prefill")),
                Some(("d", _)) => ("models", Some("decode")),
                _ => ("ledger", None),
            };
            runners.push(self.start_runner(id, service, stage).await);
        }
        runners
    }

    /// Starts relays that know each other and serve plain requests and streams.
    pub async fn start_relays(&mut self, count: usize) -> Vec<Relay> {
        let mut relays = vec![self.start_relay(&[]).await];
        for _ in 1..count {
            let relay = self.start_relay(&[&relays[0]]).await;
            relays.push(relay);
        }
        for relay in &relays {
            relay.wait_serving("/safe/a").await;
            relay.wait_streaming("/stream/a", 2).await;
        }
        relays
    }

    /// Returns the address on which a relay serves others.
    pub fn peer_address(&self, relay: &Relay) -> net::SocketAddr {
        net::SocketAddr::from((relay.caller_address.ip(), self.peer_port))
    }

    /// Writes the entry of a target that does not register itself to the store.
    pub async fn register_target(
        &self,
        id: &str,
        service: &str,
        address: net::SocketAddr,
        stage: Option<&str>,
    ) {
        let mut entry = json!({
            "service": service, "address": address, "zone": "zone-a", "slots": 64, "seq": 1,
            "born": 1, "state": "ready", "version": "v1",
        });
        if let Some(stage) = stage {
            entry["stage"] = stage.into();
        }
        let value = base64::engine::general_purpose::STANDARD.encode(entry.to_string());
        let row = json!({"table": "servers", "part": "", "key": id, "value": value});
        let transaction = json!({"expected_rev": [], "writes": [row], "deletes": []}).to_string();
        let response = web::call(self.store.address, "POST", "/rows-tx", &[], transaction).await;
        assert_eq!(response.expect("a response").status, 200);
    }

    /// Removes the entry of a target from the store.
    pub async fn deregister_target(&self, id: &str) {
        let row = json!({"table": "servers", "part": "", "key": id});
        let transaction = json!({"expected_rev": [], "writes": [], "deletes": [row]}).to_string();
        let response = web::call(self.store.address, "POST", "/rows-tx", &[], transaction).await;
        assert_eq!(response.expect("a response").status, 200);
    }

    /// Returns the state in the store's entry of a target; `None` without one.
    pub async fn target_state(&self, id: &str) -> Option<String> {
        let path = format!("/rows-get?table=servers&part=&from={id}&limit=1");
        let response = web::call(self.store.address, "GET", &path, &[], "").await;
        let body = response.ok()?.json();
        let row = body["rows"].get(0).filter(|row| row["key"] == id)?;
        let value = base64::engine::general_purpose::STANDARD.decode(row["value"].as_str()?);
        let entry: Value = serde_json::from_slice(&value.ok()?).ok()?;
        entry["state"].as_str().map(str::to_owned)
    }

    /// Like [`start_runner`](Self::start_runner), on the given address.
    pub async fn start_runner_at(
        &self,
        address: net::SocketAddr,
        id: &str,
        service: &str,
        stage: Option<&str>,
    ) -> EmulatorProcess {
        let journal = self.launcher.journal_file(id).display().to_string();
        let mut arguments = vec![
            "--listen".to_owned(),
            address.to_string(),
            "--journal".to_owned(),
            journal,
            "--id".to_owned(),
            id.to_owned(),
            "--service".to_owned(),
            service.to_owned(),
            "--store".to_owned(),
            self.store.address.to_string(),
            "--advertise".to_owned(),
            self.link_address(id, address).await.to_string(),
        ];
        arguments.extend(
            stage
                .iter()
                .flat_map(|stage| ["--stage".to_owned(), stage.to_string()]),
        );
        arguments.extend(self.runner_arguments.iter().cloned());
        let process = self.launcher.start_ready(id, "runner", arguments).await;
        EmulatorProcess {
            process: process.expect("runner"),
            address,
        }
    }

    /// Starts a relay that discovers its peers through the given seeds.
    pub async fn start_relay(&mut self, seeds: &[&Relay]) -> Relay {
        self.relay_count += 1;
        let name = format!("relay-{}", self.relay_count);
        let ip = self.launcher.next_ip();
        let peer_address = net::SocketAddr::from((ip, self.peer_port));
        self.launcher.reserve(peer_address).expect("peer address");
        let address = || self.launcher.free_address(ip).expect("address");
        let (caller_address, ready_address, directory_address) = (address(), address(), address());
        let store = self.link_address(&name, self.store.address).await;
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| seed.caller_address.to_string())
            .collect();
        let cloud = self.cloud.as_ref().map_or(String::new(), |cloud| {
            let address = cloud.address;
            format!("[cloud]\naddress = \"{address}\"\nduties = [\"metering\", \"autoscale\"]\n")
        });
        let settings = format!(
            r#"node = "{name}"
ip = "{ip}"
zone = "zone-a"
internal_ports = [{peer}, {peer}]
seeds = {seeds:?}
[listen]
front = "{caller_address}"
ready = "{ready_address}"
directory = "{directory_address}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = {memory_mb}
max_fds = {max_fds}
[bounds]
grace_s = 8
ttl_max_s = 1
retry_budget_ratio = {budget_ratio:.2}
budget_window_s = 10
budget_extra = 0
usage_window_s = {window_s}
{bounds}
[platform]
address = "{store}"
{cloud}"#,
            window_s = USAGE_WINDOW_MS as f64 / 1_000.0,
            peer = self.peer_port,
            memory_mb = self.relay_memory_mb,
            max_fds = self.relay_max_fds,
            budget_ratio = self.retry_budget_ratio,
            bounds = self.relay_bounds,
        );
        let path = self.launcher.folder().join(format!("{name}.toml"));
        fs::write(&path, settings).expect("settings file");
        let path = path.display().to_string();
        let launcher = self.launcher.clone().with_env("ACACIABANK_SETTINGS", &path);
        let process = launcher.start(&name, "relay", [""; 0]).expect("relay");
        Relay {
            process,
            caller_address,
            ready_address,
            directory_address,
        }
    }

    /// Writes a configuration with the default routes, adjusted by `adjust`. Returns whether the
    /// store accepted it.
    pub async fn try_write_config(&self, version: u64, adjust: impl Fn(&mut Value)) -> bool {
        let route = |name: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
            json!({
                "name": name, "host": ROUTE_HOST, "prefix": format!("/{name}/"), "kind": kind,
                "timeout_ms": 15_000, "target_latency_ms": 2_000, "priority": 1,
                "service": service, "max_attempts": attempts, "resumable": resumable,
            })
        };
        let mut config = json!({
            "version": version,
            "routes": [
                route("safe", "idempotent", "ledger", 2, false),
                route("once", "non_idempotent", "ledger", 1, false),
                route("resumable", "stream", "models", 2, true),
                route("stream", "stream", "models", 1, false),
            ],
            "services": [
                {"name": "ledger", "health_path": "/health", "max_conns": 100},
                {"name": "models", "health_path": "/health", "max_conns": 100, "engine": {
                    "slots": 8, "kv_token_capacity": 100_000, "token_kv_bytes": 327_680,
                    "link_mbps": 3_200_000.0, "stage_switch_s": 0.2,
                }},
            ],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 1_000_000,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
        });
        adjust(&mut config);
        let value = base64::engine::general_purpose::STANDARD.encode(config.to_string());
        let row = json!({"table": "op", "part": "", "key": "config", "value": value});
        let transaction = json!({"expected_rev": [], "writes": [row], "deletes": []}).to_string();
        let response = web::call(self.store.address, "POST", "/rows-tx", &[], transaction).await;
        response.is_ok_and(|response| response.status == 200)
    }

    /// Like [`try_write_config`](Self::try_write_config); panics if the store does not accept it.
    pub async fn write_config(&self, version: u64, adjust: impl Fn(&mut Value)) {
        assert!(
            self.try_write_config(version, adjust).await,
            "the store rejected configuration {version}"
        );
    }
}

impl EmulatorProcess {
    /// Changes the faults of the process and returns the body of the response.
    pub async fn control(&self, patch: Value) -> Value {
        let response = web::call(self.address, "POST", "/control", &[], patch.to_string()).await;
        let response = response.expect("a response");
        assert_eq!(
            response.status,
            200,
            "{}",
            String::from_utf8_lossy(&response.body)
        );
        response.json()
    }

    /// Returns the journal entries of the current run of the process.
    pub async fn journal(&self) -> Vec<Value> {
        let response = web::call(self.address, "GET", "/journal", &[], "").await;
        let text = String::from_utf8(response.expect("a response").body.to_vec()).expect("text");
        text.lines()
            .map(|line| serde_json::from_str(line).expect("a journal entry"))
            .collect()
    }

    /// Returns the journal entries of all runs of the process, read from its file.
    pub fn full_journal(&self, launcher: &harness::Launcher) -> Vec<Value> {
        let path = launcher.journal_file(self.process.name());
        let text = fs::read_to_string(path).expect("a journal file");
        let entries = text.lines().map(serde_json::from_str);
        entries
            .map(|entry| entry.expect("a journal entry"))
            .collect()
    }

    /// Returns how often the runner ran an attempt.
    pub async fn run_count(&self, attempt: &str) -> usize {
        let entries = self.journal().await;
        entries
            .iter()
            .filter(|entry| entry["ran"] == attempt)
            .count()
    }
}

impl Relay {
    /// Waits until the relay responds with status 200 on a route.
    pub async fn wait_serving(&self, path: &str) {
        let description = format!("{} serves {path}", self.process.name());
        harness::wait_until(TIMEOUT, &description, async || {
            let response = self.send("GET", path, "probe", &[], "").await;
            response.is_ok_and(|response| response.status == 200)
        })
        .await;
    }

    /// Waits until the relay serves a stream of `events` events.
    pub async fn wait_streaming(&self, path: &str, events: u32) {
        let description = format!("{} streams {path}", self.process.name());
        harness::wait_until(TIMEOUT, &description, async || {
            let response = self.request_stream(path, "probe", events).await;
            response.is_ok_and(|response| response.status == 200)
        })
        .await;
    }

    /// Sends a request with an attempt id and a deadline.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        attempt: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> std::io::Result<web::BufferedResponse> {
        let mut all_headers = vec![
            ("host", ROUTE_HOST),
            ("x-acaciabank-attempt-id", attempt),
            ("x-acaciabank-deadline-ms", REQUEST_DEADLINE_MS),
        ];
        // A header given by the test replaces the default one.
        all_headers.retain(|(name, _)| headers.iter().all(|(other, _)| other != name));
        all_headers.extend(headers);
        web::call(
            self.caller_address,
            method,
            path,
            &all_headers,
            body.to_owned(),
        )
        .await
    }

    /// Like [`send`](Self::send), for a request that must get a response.
    pub async fn response(
        &self,
        method: &str,
        path: &str,
        attempt: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> web::BufferedResponse {
        let sent = self.send(method, path, attempt, headers, body).await;
        sent.expect("a response")
    }

    /// Requests a stream of `events` events.
    pub async fn request_stream(
        &self,
        path: &str,
        attempt: &str,
        events: u32,
    ) -> std::io::Result<web::BufferedResponse> {
        let tokens = format!("2000,{events}");
        let headers = [
            ("x-acaciabank-model", "m"),
            ("x-acaciabank-token-count", tokens.as_str()),
            ("x-acaciabank-prompt-prefix", "aa:1500,bb:500"),
        ];
        self.send("POST", path, attempt, &headers, "prompt").await
    }

    /// Returns the status of the readiness endpoint; 0 if it does not respond.
    pub async fn readiness_status(&self) -> u16 {
        let response = web::call(self.ready_address, "GET", "/ready", &[], "").await;
        response.map_or(0, |response| response.status)
    }

    /// Returns the addresses that the relay lists to callers.
    pub async fn listed_addresses(&self) -> Vec<String> {
        let path = "/resolve?name=host.example&region=r&zone=zone-a";
        let Ok(response) = web::call(self.directory_address, "GET", path, &[], "").await else {
            return Vec::new();
        };
        let body = response.json();
        let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
        let texts = addresses.iter().filter_map(|address| address.as_str());
        texts.map(str::to_owned).collect()
    }

    /// Returns the log lines of the relay that carry the attempt id of a request. The relay writes
    /// its log in the background, so this waits for the line of the given event, which ends the
    /// request.
    pub async fn request_log(&self, attempt: &str, last_event: &str) -> Vec<Value> {
        let mut lines = Vec::new();
        let description = format!("the line {last_event} of request {attempt}");
        harness::wait_until(TIMEOUT, &description, async || {
            let text = fs::read_to_string(self.process.output_file()).unwrap_or_default();
            let parsed = text.lines().map(serde_json::from_str::<Value>);
            let of_request = parsed.flatten().filter(|line| line["id"] == attempt);
            lines = of_request.collect();
            lines.iter().any(|line| line["event"] == last_event)
        })
        .await;
        lines
    }
}

/// Starts a runner of a plain service and a relay that serves it.
pub async fn start_serving() -> (Fixture, EmulatorProcess, Relay) {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let runner = fixture.start_runner("r-1", "ledger", None).await;
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    (fixture, runner, relay)
}

/// Returns the event ids in the body of a stream, in order.
pub fn event_ids(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("a numeric event id"))
        .collect()
}
