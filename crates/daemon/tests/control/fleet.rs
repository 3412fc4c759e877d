//! States of several daemons in one process, with real connections between them.

use std::{net, sync, time::Duration, time::Instant};

use acaciabank_daemon::{peer, process};
use acaciabank_protocol::settings;
use serde_json::json;

/// Longest wait for a condition, far above what an idle machine needs.
const TIMEOUT: Duration = Duration::from_secs(30);

/// State of one daemon whose RPC thread runs; the thread ends when this is dropped.
pub struct TestDaemon {
    pub state: process::SharedState,
    pub peer_address: net::SocketAddr,
}

impl Drop for TestDaemon {
    fn drop(&mut self) {
        self.state.phase.advance(process::Phase::Left);
        self.state.peers.announce();
    }
}

/// A deployment that tests identify by the number of slots.
pub fn deployment(slots: u32) -> settings::Deployment {
    serde_json::from_value(json!({
        "regions": [{"name": "perth", "zones": ["perth-a"]}],
        "hosts": [{"name": "host-1", "zone": "perth-a"}],
        "models": [{"name": "drafts", "version": "1"}],
        "engines": [{
            "name": "engine-1", "host": "host-1", "address": "127.0.0.1:9001",
            "model": "drafts", "slots": slots, "fencing": "checked",
        }],
    }))
    .expect("deployment")
}

/// An address that refuses connections.
pub fn closed_address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("bind");
    listener.local_addr().expect("address")
}

/// Starts a daemon whose settings name the given seeds.
pub fn start(
    name: &str,
    boot_id: u64,
    table_address: net::SocketAddr,
    seeds: &[(&str, net::SocketAddr)],
) -> TestDaemon {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("bind");
    start_on(listener, name, boot_id, table_address, seeds)
}

/// Starts a daemon that listens for others on the given socket.
pub fn start_on(
    listener: net::TcpListener,
    name: &str,
    boot_id: u64,
    table_address: net::SocketAddr,
    seeds: &[(&str, net::SocketAddr)],
) -> TestDaemon {
    let peer_address = listener.local_addr().expect("address");
    let peers: Vec<_> = seeds
        .iter()
        .map(|(daemon, address)| json!({"daemon": daemon, "address": address}))
        .collect();
    let settings: settings::ProcessSettings = serde_json::from_value(json!({
        "daemon": name,
        "region": "perth",
        "zone": "perth-a",
        "caller_address": "127.0.0.1:7001",
        "admin_address": "127.0.0.1:7002",
        "peer_address": peer_address,
        "peers": peers,
        "table": {"address": table_address},
        "timers": {
            "gossip_interval_ms": 50,
            "suspect_after_ms": 1_500,
            "dead_after_ms": 4_000,
            // Polls of the table would hide a failed propagation between daemons.
            "config_poll_ms": 600_000,
        },
    }))
    .expect("settings");
    let state = sync::Arc::new(process::ProcessState {
        boot_ids: process::BootIds::new(boot_id),
        ..process::ProcessState::new(settings)
    });
    peer::start(sync::Arc::clone(&state), listener);
    TestDaemon {
        state,
        peer_address,
    }
}

/// Waits until a condition holds; panics with `what` after [`TIMEOUT`].
pub async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timeout while waiting for: {what}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Names and conditions of the members that a daemon knows.
pub fn known_members(daemon: &TestDaemon) -> Vec<(String, peer::MemberCondition)> {
    let members = daemon.state.peers.members();
    members
        .iter()
        .map(|member| (member.daemon.to_string(), member.condition))
        .collect()
}
