//! The store, runners and relays of one test, as processes on loopback.

use std::{fs, net, time::Duration};

use acaciabank_testbed::{harness, web};
use base64::Engine;
use serde_json::{Value, json};

/// Generous limit for conditions on a busy machine.
pub const LIMIT: Duration = Duration::from_secs(30);
/// Host of all routes.
pub const HOST: &str = "host.example";
/// Time within which callers of the tests wait, in milliseconds.
const DEADLINE_MS: &str = "20000";

/// A process and its address.
pub struct Member {
    pub process: harness::Process,
    pub address: net::SocketAddr,
}

/// A relay with its addresses.
pub struct Relay {
    pub process: harness::Process,
    pub front: net::SocketAddr,
    pub ready: net::SocketAddr,
    pub directory: net::SocketAddr,
}

/// The store and what belongs to it.
pub struct Fixture {
    pub launcher: harness::Launcher,
    pub store: Member,
    /// Proxy of the links to runners and from relays to the store, if they run through one.
    pub proxy: Option<harness::LinkProxy>,
    peer_port: u16,
    relays: u32,
}

impl Fixture {
    pub async fn start() -> Self {
        let launcher = harness::Launcher::new(env!("CARGO_BIN_EXE_testbed")).expect("launcher");
        let address = launcher.next_address().expect("address");
        let arguments = ["--listen".to_owned(), address.to_string()];
        let process = launcher.start_ready("store", "store", arguments).await;
        let process = process.expect("store");
        let peer_port = address.port();
        Self {
            store: Member { process, address },
            launcher,
            proxy: None,
            peer_port,
            relays: 0,
        }
    }

    /// The same with the links to runners and to the store behind a proxy.
    pub async fn start_proxied() -> Self {
        let fixture = Self::start().await;
        let proxy = harness::LinkProxy::start(&fixture.launcher).await;
        Self {
            proxy: Some(proxy.expect("proxy")),
            ..fixture
        }
    }

    /// The address at which a link is reached: its own without a proxy.
    async fn linked(&self, name: &str, address: net::SocketAddr) -> net::SocketAddr {
        match &self.proxy {
            Some(proxy) => proxy.add(name, address).await.expect("link"),
            None => address,
        }
    }

    /// A runner of a plain service, or an engine with a stage.
    pub async fn runner(&self, id: &str, service: &str, stage: Option<&str>) -> Member {
        let address = self.launcher.next_address().expect("address");
        self.runner_at(address, id, service, stage).await
    }

    /// The same at a given address.
    pub async fn runner_at(
        &self,
        address: net::SocketAddr,
        id: &str,
        service: &str,
        stage: Option<&str>,
    ) -> Member {
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
            self.linked(id, address).await.to_string(),
        ];
        arguments.extend(
            stage
                .iter()
                .flat_map(|stage| ["--stage".to_owned(), stage.to_string()]),
        );
        let process = self.launcher.start_ready(id, "runner", arguments).await;
        Member {
            process: process.expect("runner"),
            address,
        }
    }

    /// A relay. Its seeds are the first relay's host.
    pub async fn relay(&mut self, seeds: &[&Relay]) -> Relay {
        self.relays += 1;
        let name = format!("relay-{}", self.relays);
        let ip = self.launcher.next_ip();
        let address = || self.launcher.free_address(ip).expect("address");
        let (front, ready, directory) = (address(), address(), address());
        let store = self.linked(&name, self.store.address).await;
        let seeds: Vec<String> = seeds.iter().map(|seed| seed.front.to_string()).collect();
        let settings = format!(
            r#"node = "{name}"
ip = "{ip}"
zone = "zone-a"
internal_ports = [{peer}, {peer}]
seeds = {seeds:?}
[listen]
front = "{front}"
ready = "{ready}"
directory = "{directory}"
[limits]
cpu_share = 0.25
cores = 1
[bounds]
grace_s = 8
ttl_max_s = 1
retry_budget_ratio = 10.0
budget_window_s = 10
budget_extra = 0
[platform]
address = "{store}"
"#,
            peer = self.peer_port,
        );
        let path = self.launcher.folder().join(format!("{name}.toml"));
        fs::write(&path, settings).expect("settings file");
        let path = path.display().to_string();
        let launcher = self.launcher.clone().with_env("ACACIABANK_SETTINGS", &path);
        let process = launcher.start(&name, "relay", [""; 0]).expect("relay");
        Relay {
            process,
            front,
            ready,
            directory,
        }
    }

    /// Writes a configuration with the usual routes and those of `change`.
    /// Tells whether the store has accepted it.
    pub async fn try_configure(&self, version: u64, change: impl Fn(&mut Value)) -> bool {
        let route = |name: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
            json!({
                "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
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
        change(&mut config);
        let value = base64::engine::general_purpose::STANDARD.encode(config.to_string());
        let row = json!({"table": "op", "part": "", "key": "config", "value": value});
        let call = json!({"expected_rev": [], "writes": [row], "deletes": []}).to_string();
        let answer = web::call(self.store.address, "POST", "/rows-tx", &[], call).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// The same; the store must accept it.
    pub async fn configure(&self, version: u64, change: impl Fn(&mut Value)) {
        assert!(self.try_configure(version, change).await, "accepted");
    }
}

impl Member {
    /// Switches faults on or off.
    pub async fn control(&self, patch: Value) -> Value {
        let answer = web::call(self.address, "POST", "/control", &[], patch.to_string()).await;
        let answer = answer.expect("an answer");
        assert_eq!(
            answer.status,
            200,
            "{}",
            String::from_utf8_lossy(&answer.body)
        );
        answer.json()
    }

    /// Entries of the journal.
    pub async fn journal(&self) -> Vec<Value> {
        let answer = web::call(self.address, "GET", "/journal", &[], "").await;
        let text = String::from_utf8(answer.expect("an answer").body.to_vec()).expect("text");
        text.lines()
            .map(|line| serde_json::from_str(line).expect("an entry"))
            .collect()
    }

    /// Entries of the journals of all runs of the process.
    pub fn all_runs(&self, launcher: &harness::Launcher) -> Vec<Value> {
        let path = launcher.journal_file(self.process.name());
        let text = fs::read_to_string(path).expect("a journal");
        let entries = text.lines().map(serde_json::from_str);
        entries.map(|entry| entry.expect("an entry")).collect()
    }

    /// How often the runner ran an attempt.
    pub async fn runs(&self, attempt: &str) -> usize {
        let entries = self.journal().await;
        entries
            .iter()
            .filter(|entry| entry["ran"] == attempt)
            .count()
    }
}

impl Relay {
    /// Waits until the relay serves a route with an answer of a runner.
    pub async fn wait_serving(&self, path: &str) {
        let description = format!("{} serves {path}", self.process.name());
        harness::wait_until(LIMIT, &description, async || {
            let answer = self.send("GET", path, "probe", &[], "").await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    }

    /// Sends a request with an attempt id.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        attempt: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> std::io::Result<web::BufferedResponse> {
        let mut all = vec![
            ("host", HOST),
            ("x-acaciabank-attempt-id", attempt),
            ("x-acaciabank-deadline-ms", DEADLINE_MS),
        ];
        // A header of the test replaces the usual one.
        all.retain(|(name, _)| headers.iter().all(|(other, _)| other != name));
        all.extend(headers);
        web::call(self.front, method, path, &all, body.to_owned()).await
    }

    /// Sends a request for a stream of `events` events.
    pub async fn stream(
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

    /// Status of the question whether the relay is ready.
    pub async fn readiness(&self) -> u16 {
        let answer = web::call(self.ready, "GET", "/ready", &[], "").await;
        answer.map_or(0, |answer| answer.status)
    }

    /// Addresses that the relay names to callers.
    pub async fn addresses(&self) -> Vec<String> {
        let path = "/resolve?name=host.example&region=r&zone=zone-a";
        let Ok(answer) = web::call(self.directory, "GET", path, &[], "").await else {
            return Vec::new();
        };
        let body = answer.json();
        let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
        let texts = addresses.iter().filter_map(|address| address.as_str());
        texts.map(str::to_owned).collect()
    }

    /// Lines that the relay has logged about a request.
    pub fn story(&self, launcher: &harness::Launcher, attempt: &str) -> Vec<Value> {
        let path = launcher
            .folder()
            .join(format!("{}.out", self.process.name()));
        let text = fs::read_to_string(path).unwrap_or_default();
        let lines = text
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.filter(|line| line["id"] == attempt).collect()
    }
}

/// Ids of the events of a stream, in order.
pub fn event_ids(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("an id")).collect()
}
