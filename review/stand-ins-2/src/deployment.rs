//! A small deployment on loopback addresses: the store, runners and daemons, and the limit of memory
//! that the platform sets to each daemon.

use std::{
    env, fs,
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    runner::{self, Runner},
    store::Store,
};

/// Memory and descriptors of a machine of the small site.
pub const MEMORY_MB: u64 = 260;
const MAX_FDS: u64 = 4_100;
pub const HOST: &str = "ficu95.example";
/// A service of the configuration to which no route leads.
pub const OTHER_SERVICE: &str = "puzo12c";
/// Attempts to start a daemon, and the time after which one counts as started.
const START_TRIES: usize = 3;
const START_TIME: Duration = Duration::from_millis(100);
const PEER_PORTS: [u16; 2] = [7_380, 7_395];

/// Descriptors of a daemon: those of the site, or fewer if this system allows no more.
pub fn max_fds() -> u64 {
    let allowed = env::var("MAX_FDS").ok().and_then(|text| text.parse().ok());
    allowed.unwrap_or(MAX_FDS)
}

/// Log of a run, in `record.txt` and on standard output.
pub struct Record {
    file: Mutex<fs::File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &PathBuf) -> io::Result<Self> {
        Ok(Self {
            file: Mutex::new(fs::File::create(path)?),
            start: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }

    /// Writes a line to the file only.
    pub fn detail(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }
}

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub child: Mutex<Child>,
    pub pid: u32,
    pub peak_kb: AtomicU64,
    pub peak_fds: AtomicU64,
    /// How it ended, if it did.
    pub end: Mutex<Option<String>>,
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub runners: Vec<Arc<Runner>>,
    pub daemons: Vec<Arc<Daemon>>,
    net: String,
}

/// Settings of a run that differ between the cases.
pub struct Shape {
    pub daemons: usize,
    pub prefill: usize,
    pub decode: usize,
    pub services: usize,
    /// Runners of a second plain service, to which no route leads.
    pub others: usize,
}

impl Deployment {
    pub fn start(record: Arc<Record>, shape: &Shape) -> io::Result<Self> {
        let folder = env::temp_dir().join(format!("acaciabank-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let id = std::process::id();
        // A loopback network of its own: the metrics port of a daemon is fixed.
        let net = format!("127.{}.{}", 64 + id / 200 % 120, 1 + id % 200);
        let store = Store::start(&format!("{net}.1"))?.address;
        let mut deployment = Self {
            record,
            folder,
            store,
            runners: Vec::new(),
            daemons: Vec::new(),
            net,
        };
        if !runner::write_row(store, "op", "", "config", &config(7, "wuno96b")) {
            return Err(io::Error::other(
                "the store has not accepted the configuration",
            ));
        }
        let kinds = [
            ("p", "huvo11a", Some("prefill"), 64, shape.prefill),
            ("d", "huvo11a", Some("decode"), 64, shape.decode),
            ("s", "wuno96b", None, 6, shape.services),
            ("o", OTHER_SERVICE, None, 6, shape.others),
        ];
        for (kind, service, stage, slots, count) in kinds {
            for number in 0..count {
                let id = format!("i-{kind}{number}");
                let ip = format!("{}.{}", deployment.net, 100 + deployment.runners.len());
                let started = Runner::start(&id, service, stage, slots, &ip, store)?;
                deployment.runners.push(started);
            }
        }
        for number in 0..shape.daemons {
            // A port may have been taken meanwhile.
            let mut tries = 0;
            while !deployment.start_daemon(number)? {
                tries += 1;
                if tries == START_TRIES {
                    return Err(io::Error::other("a daemon does not start"));
                }
            }
        }
        deployment.record.line(&format!(
            "started: {} daemons, {} engines, {} servers of a plain service",
            shape.daemons,
            shape.prefill + shape.decode,
            shape.services
        ));
        Ok(deployment)
    }

    /// Notes the id of a process that was started, for the script's cleaning up.
    fn note_process(&self, id: u32) {
        if let Ok(path) = env::var("PID_FILE") {
            let file = fs::OpenOptions::new().create(true).append(true).open(path);
            if let Ok(mut file) = file {
                let _ = writeln!(file, "{id}");
            }
        }
    }

    /// Starts a daemon; returns whether it has not ended at once.
    fn start_daemon(&mut self, number: usize) -> io::Result<bool> {
        let ip = format!("{}.{}", self.net, 11 + number);
        // Held together, so that no port is given out twice.
        let listeners: io::Result<Vec<TcpListener>> = (0..4)
            .map(|_| TcpListener::bind(format!("{ip}:0")))
            .collect();
        let listeners = listeners?;
        let addresses: io::Result<Vec<SocketAddr>> =
            listeners.iter().map(TcpListener::local_addr).collect();
        drop(listeners);
        let addresses = addresses?;
        let (front, ready, control, directory) =
            (addresses[0], addresses[1], addresses[2], addresses[3]);
        let name = format!("front-perth-a-{}", number + 1);
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"{}.{}:8144\"", self.net, 11 + seed))
            .collect();
        let settings = format!(
            r#"node = "{name}"
role = "relay"
machine_class = "front"
serves = ["front","directory"]
ip = "{ip}"
zone = "perth-a"
region = "perth"
internal_ports = [{}, {}]
seeds = [{}]
first_start = true
in_fault_budget = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
perth-a = "perth"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
directory = "{directory}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = {MEMORY_MB}
max_fds = {}
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra = 54
recover_s = 12
transit_ms = 120
again_s = 9.8
require_fencing = false
lease_ms = 3000
thaw_slack_ms = 300
ttl_max_s = 5
[platform]
address = "{}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 4.0
part_writes_s = 250
row_bytes = 65536
across = true
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
"#,
            PEER_PORTS[0],
            PEER_PORTS[1],
            seeds.join(", "),
            max_fds(),
            self.store
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log = fs::File::create(self.folder.join(format!("{name}.log")))?;
        // The command of the deploy file.
        let mut child = Command::new("target/release/acaciabankd")
            .arg("platform")
            .env("ACACIABANK_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.note_process(child.id());
        thread::sleep(START_TIME);
        if let Some(status) = child.try_wait()? {
            let log = fs::read_to_string(self.folder.join(format!("{name}.log")));
            let log = log.unwrap_or_default();
            let last = log.lines().last().unwrap_or_default();
            self.record
                .line(&format!("{name} has not started: {status}, {last}"));
            return Ok(false);
        }
        let daemon = Arc::new(Daemon {
            name,
            front,
            ready,
            directory,
            pid: child.id(),
            child: Mutex::new(child),
            peak_kb: AtomicU64::new(0),
            peak_fds: AtomicU64::new(0),
            end: Mutex::new(None),
        });
        self.daemons.push(Arc::clone(&daemon));
        let record = Arc::clone(&self.record);
        thread::spawn(move || daemon.watch(&record));
        Ok(true)
    }

    /// Waits until every daemon is ready and serves both services.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        for daemon in &self.daemons {
            let is_ready = || {
                let request = "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
                let response =
                    http::call_once(daemon.ready, request.as_bytes(), Duration::from_secs(1));
                response.is_ok_and(|response| response.head.status() == 200)
            };
            let serves = |request: String| {
                let response =
                    http::call_once(daemon.front, request.as_bytes(), Duration::from_secs(3));
                response.is_ok_and(|response| response.head.status() == 200)
            };
            while !(is_ready()
                && serves(plain_request("lookup", "warm", 1_500))
                && serves(stream_request("warm", 100, 2, "aa:60,bb:40", 4_000)))
            {
                if Instant::now() >= end {
                    return false;
                }
                thread::sleep(Duration::from_millis(200));
            }
        }
        self.record.line("all daemons are ready and serve");
        true
    }

    /// Returns an address for a further server.
    pub fn service_ip(&self) -> String {
        format!("{}.99", self.net)
    }

    pub fn describe_daemons(&self) {
        for daemon in &self.daemons {
            let end = daemon.end.lock().unwrap().clone();
            self.record.line(&format!(
                "{}: peak of {} MB of {MEMORY_MB}, {} descriptors of {} for sockets, processor time {:.1} s, {}",
                daemon.name,
                daemon.peak_kb.load(Ordering::Acquire) >> 10,
                daemon.peak_fds.load(Ordering::Acquire),
                max_fds() - 200,
                daemon.processor_seconds(),
                end.unwrap_or_else(|| "runs".to_owned()),
            ));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for daemon in &self.daemons {
            // An end from here on is the script's.
            daemon
                .end
                .lock()
                .unwrap()
                .get_or_insert("ended by the script".to_owned());
            let mut child = daemon.child.lock().unwrap();
            let _ = child.kill();
            let _ = child.wait();
        }
        if env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Daemon {
    pub fn has_ended(&self) -> bool {
        self.end.lock().unwrap().is_some()
    }

    /// Does what the platform does: kills the process once it exceeds its memory.
    fn watch(&self, record: &Record) {
        loop {
            thread::sleep(Duration::from_millis(20));
            let status = fs::read_to_string(format!("/proc/{}/status", self.pid));
            let line = status.ok().and_then(|status| {
                let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
                let kb = line.trim_start_matches("VmRSS:").trim();
                kb.trim_end_matches("kB").trim().parse::<u64>().ok()
            });
            let kb = line.unwrap_or(0);
            self.peak_kb.fetch_max(kb, Ordering::AcqRel);
            let fds = fs::read_dir(format!("/proc/{}/fd", self.pid));
            let fds = fds.map_or(0, |fds| fds.count() as u64);
            self.peak_fds.fetch_max(fds, Ordering::AcqRel);
            let mut child = self.child.lock().unwrap();
            if let Ok(Some(status)) = child.try_wait() {
                let mut end = self.end.lock().unwrap();
                if end.is_none() {
                    record.line(&format!("{} has ended: {status}", self.name));
                    *end = Some(format!("ended: {status}"));
                }
                return;
            }
            if kb > MEMORY_MB << 10 {
                let text = format!("killed for its memory: {} MB of {MEMORY_MB}", kb >> 10);
                record.line(&format!(
                    "{} {text}, after {:.1} s of processor time",
                    self.name,
                    self.processor_seconds()
                ));
                *self.end.lock().unwrap() = Some(text);
                let _ = child.kill();
                let _ = child.wait();
                return;
            }
        }
    }

    /// Returns the processor time of the process; 0 once it has ended.
    fn processor_seconds(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid)).unwrap_or_default();
        let Some((_, fields)) = stat.rsplit_once(')') else {
            return 0.0;
        };
        let times = fields.split_whitespace().skip(11).take(2);
        let ticks: u64 = times.filter_map(|ticks| ticks.parse::<u64>().ok()).sum();
        ticks as f64 / 100.0
    }
}

/// The operator's configuration, like that of the small site. `notices` is the service to which the
/// notices go.
pub fn config(version: u32, notices: &str) -> String {
    write_config(version, notices, false)
}

/// The same with a route `/added/` to the second plain service.
pub fn config_with_added(version: u32) -> String {
    write_config(version, "wuno96b", true)
}

fn write_config(version: u32, notices: &str, has_added: bool) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u32, target: u32, extra: &str| {
        format!(
            r#"{{"name":"r-{name}","host":"{HOST}","prefix":"/{name}/","kind":"{kind}","timeout_ms":{timeout},"target_latency_ms":{target},"priority":1,"service":"{service}"{extra}}}"#
        )
    };
    let mut routes = vec![
        route(
            "arrears",
            "stream",
            "huvo11a",
            8_000,
            600,
            r#","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":200"#,
        ),
        route(
            "notice",
            "non_idempotent",
            notices,
            1_500,
            300,
            r#","max_attempts":1"#,
        ),
        route(
            "lookup",
            "idempotent",
            "wuno96b",
            1_500,
            300,
            r#","max_attempts":2"#,
        ),
    ];
    if has_added {
        let extra = r#","max_attempts":2"#;
        routes.push(route(
            "added",
            "idempotent",
            OTHER_SERVICE,
            1_500,
            300,
            extra,
        ));
    }
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"huvo11a","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_token_capacity":491264,"token_kv_bytes":327680,"link_mbps":3200000.0,"moves":true,"backups":true,"stride":6,"most":12,"handle_ttl_s":5.0,"stage_switch_s":3.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{{"name":"m"}}]}}}},{{"name":"wuno96b","health_path":"/health","max_conns":100,"protocol":"h1","tls":false}},{{"name":"{OTHER_SERVICE}","health_path":"/health","max_conns":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(",")
    )
}

/// A request to a plain service.
pub fn plain_request(route: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "POST /{route}/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Acaciabank-Attempt-Id: {id}\r\nX-Acaciabank-Deadline-Ms: {deadline_ms}\r\nContent-Length: 10\r\n\r\n0123456789"
    )
}

/// A request for a stream.
pub fn stream_request(id: &str, prompt: u64, output: u64, parts: &str, deadline_ms: u64) -> String {
    format!(
        "POST /arrears/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Acaciabank-Attempt-Id: {id}\r\nX-Acaciabank-Model: m\r\nX-Acaciabank-Token-Count: {prompt},{output}\r\nX-Acaciabank-Prompt-Prefix: {parts}\r\nX-Acaciabank-Deadline-Ms: {deadline_ms}\r\nContent-Length: 10\r\n\r\n0123456789"
    )
}
