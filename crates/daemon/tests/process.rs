//! Startup, exit statuses, signals and shutdown of the `acaciabankd` binary.

mod support;

use std::{
    fs,
    io::{BufRead, BufReader},
    net, path, process,
    sync::atomic::{AtomicU32, Ordering},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};
use support::call;

/// Writes the settings to a file with a unique name.
fn write_settings(settings: &str) -> path::PathBuf {
    static NEXT_FILE: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let name = format!("process-{}-{number}.json", process::id());
    let path = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, settings).expect("settings file");
    path
}

fn settings_json(process: Value) -> String {
    json!({"process": process, "deployment": support::deployment_json()}).to_string()
}

fn command(path: &path::Path) -> process::Command {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_acaciabankd"));
    command.arg("--settings").arg(path);
    command.stderr(process::Stdio::piped());
    command
}

struct RunningDaemon {
    child: process::Child,
    log: BufReader<process::ChildStderr>,
    caller: net::SocketAddr,
    admin: net::SocketAddr,
}

impl RunningDaemon {
    fn start(process: Value) -> Self {
        let path = write_settings(&settings_json(process));
        let mut child = command(&path).spawn().expect("daemon");
        let stderr = child.stderr.take().expect("stderr");
        let mut log = BufReader::new(stderr);
        let line = wait_for_line(&mut log, "started:");
        let address = |name: &str| {
            let text = line[name].as_str().expect("address");
            text.parse().expect("socket address")
        };
        Self {
            caller: address("caller_address"),
            admin: address("admin_address"),
            child,
            log,
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("signal");
    }
}

impl Drop for RunningDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads log lines until one contains `message`. Panics at a line that is not a JSON object.
fn wait_for_line(log: &mut impl BufRead, message: &str) -> Value {
    loop {
        let mut text = String::new();
        let length = log.read_line(&mut text).expect("log");
        assert!(length > 0, "log ended without {message:?}");
        let line: Value = serde_json::from_str(&text).expect("JSON line");
        if line["message"].as_str().expect("message").contains(message) {
            return line;
        }
    }
}

/// Guards against a panic, several lines of output or a wrong exit status for unusable settings.
#[test]
fn startup_errors_print_one_line_and_set_the_exit_status() {
    let bound = net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let mut in_use = support::process_json();
    in_use["caller_address"] = json!(bound.local_addr().expect("address"));
    let mut unknown_field = support::process_json();
    unknown_field["colour"] = json!("red");
    let cases = [
        (write_settings("{"), 2, "settings file"),
        (
            write_settings(&settings_json(unknown_field)),
            2,
            "process.colour",
        ),
        (
            path::PathBuf::from("no-such-file.json"),
            2,
            "no-such-file.json",
        ),
        (write_settings(&settings_json(in_use)), 1, "caller_address"),
    ];
    for (path, status, expected) in cases {
        let output = command(&path).output().expect("output");
        let text = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(status), "{text}");
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.contains(expected), "{text}");
    }
}

/// Guards against a shutdown that refuses callers which still use the daemon's address, because its
/// lifetime has not passed or peers still advertise it.
#[tokio::test]
async fn a_draining_daemon_serves_until_its_address_expires() {
    let mut process = support::process_json();
    process["timers"] = json!({"address_lifetime_ms": 1_500, "gossip_interval_ms": 500});
    let mut daemon = RunningDaemon::start(process);
    daemon.signal(Signal::SIGTERM);
    wait_for_line(&mut daemon.log, "draining");
    let response = call(daemon.caller, "GET", "/v1/addresses", &[], "").await;
    assert_eq!(response.0, 200);
    assert_eq!(response.1["connection"], "close");
    let readiness = call(daemon.admin, "GET", "/readyz", &[], "").await;
    assert!(String::from_utf8_lossy(&readiness.2).contains("draining"));
    let line = wait_for_line(&mut daemon.log, "all requests finished");
    assert_eq!(line["interrupted"], 0);
    assert_eq!(daemon.child.wait().expect("status").code(), Some(0));
}

/// Guards against a drain that an operator cannot end early by a second signal.
#[test]
fn a_second_signal_ends_the_drain() {
    let mut daemon = RunningDaemon::start(support::process_json());
    daemon.signal(Signal::SIGINT);
    wait_for_line(&mut daemon.log, "draining");
    daemon.signal(Signal::SIGTERM);
    let line = wait_for_line(&mut daemon.log, "second signal");
    assert_eq!(line["interrupted"], 0);
    assert_eq!(daemon.child.wait().expect("status").code(), Some(0));
}
