//! Returns of the store from a copy: what it has acknowledged in the seconds before is gone, and its
//! versions go back and are given out again.

mod configuration;
mod own_rows;
mod targets;

use std::{
    cell::Cell,
    fs,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use acaciabank_testbed::{
    harness,
    proxy::{FaultKind, LinkFault},
    scripted::{ScriptStep, ScriptedTarget},
    web,
};
use base64::Engine;
use serde_json::{Value, json};

use crate::fixture::{Fixture, Relay, TIMEOUT};

/// Time after the store's acknowledgement from which all relays follow a change (users' rule).
const CHANGE_BOUND: Duration = Duration::from_secs(2);
/// Time after a return within which targets write their rows again; one that has not is gone.
const REWRITE_TIME: Duration = Duration::from_secs(2);
/// Time in which all relays read what the store has: some intervals of their reads.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Half of the pause around the moment of a copy: a control request may take this long.
const COPY_MARGIN: Duration = Duration::from_millis(500);
/// Delay after which the operator writes its lost rows again, for tests in which it does not.
pub const NO_REWRITE_MS: u64 = 3_600_000;
/// Versions that other writers use up, so that the versions that relays know are not reached again
/// during a test.
const LOST_VERSIONS: usize = 300;
/// Requests that a relay gets at the same time, so that it uses all targets that it may use.
const BATCH_SIZE: usize = 12;
/// Time that a target works on a request.
const WORK_TIME: Duration = Duration::from_millis(20);

/// Number of batches so far; makes the attempt ids of a test differ.
static BATCH_COUNT: AtomicU64 = AtomicU64::new(0);

/// Three relays that know each other, and their store.
struct Fleet {
    fixture: Fixture,
    relays: Vec<Relay>,
}

impl Fleet {
    /// Starts the relays with version 5 of the configuration.
    async fn start(mut fixture: Fixture) -> Self {
        fixture.write_config(5, |_| {}).await;
        let mut relays = vec![fixture.start_relay(&[]).await];
        for _ in 1..3 {
            let relay = fixture.start_relay(&[&relays[0]]).await;
            relays.push(relay);
        }
        for relay in &relays {
            wait_listed(relay, relays.len()).await;
        }
        Self { fixture, relays }
    }

    /// Sets or ends the fault of a relay's link to the store.
    async fn set_store_link(&self, relay: usize, kind: FaultKind) {
        let proxy = self.fixture.proxy.as_ref().expect("proxied links");
        let fault = LinkFault {
            kind,
            delay_ms: 0,
            source: None,
        };
        let name = self.relays[relay].process.name();
        proxy.set_fault(name, &fault).await.expect("a link");
    }
}

/// Waits until a relay is ready and lists a number of relays.
async fn wait_listed(relay: &Relay, count: usize) {
    harness::wait_until(TIMEOUT, "the relays know each other", async || {
        relay.readiness_status().await == 200 && relay.listed_addresses().await.len() == count
    })
    .await;
}

/// Returns the moment of a copy, with pauses around it in which the test writes nothing.
pub async fn mark_copy() -> Instant {
    tokio::time::sleep(COPY_MARGIN).await;
    let copied_at = Instant::now();
    tokio::time::sleep(COPY_MARGIN).await;
    copied_at
}

/// Has the store return from a copy of the given moment.
pub async fn restore(fixture: &Fixture, copied_at: Instant, rewrite_delay_ms: u64) {
    let age_ms = copied_at.elapsed().as_millis() as u64;
    let action = json!({"age_ms": age_ms, "rewrite_delay_ms": rewrite_delay_ms});
    fixture.store.control(json!({"restore": action})).await;
}

/// Uses up versions of the store, as the heartbeats of many targets do.
async fn advance_versions(fixture: &Fixture) {
    for number in 0..LOST_VERSIONS {
        let key = format!("key-{}", number % 10);
        let row = json!({"table": "filler", "part": "", "key": key, "value": ""});
        transact(fixture, json!({"writes": [row]})).await;
    }
}

async fn transact(fixture: &Fixture, transaction: Value) {
    let body = transaction.to_string();
    let response = web::call(fixture.store.address, "POST", "/rows-tx", &[], body).await;
    assert_eq!(response.expect("a response").status, 200);
}

/// Returns whether a relay has logged a line that fulfils a condition.
fn has_logged(relay: &Relay, condition: impl Fn(&Value) -> bool) -> bool {
    let text = fs::read_to_string(relay.process.output_file()).unwrap_or_default();
    let lines = text.lines().map(serde_json::from_str::<Value>);
    lines.flatten().any(|line| condition(&line))
}

/// Sends requests at the same time, all of which must succeed. Returns the beginning of their
/// attempt ids.
async fn send_batch(relay: &Relay) -> String {
    let batch = BATCH_COUNT.fetch_add(1, Ordering::Relaxed);
    let prefix = format!("{}-batch-{batch}-", relay.process.name());
    let requests = (0..BATCH_SIZE).map(|number| {
        let attempt = format!("{prefix}{number}");
        async move {
            let response = relay.response("GET", "/safe/a", &attempt, &[], "").await;
            let body = String::from_utf8_lossy(&response.body);
            assert_eq!(response.status, 200, "{attempt}: {body}");
        }
    });
    futures::future::join_all(requests).await;
    prefix
}

/// A target of the plain service that records the requests that it gets. It writes its row only
/// when a test says so.
struct RecordedTarget {
    id: String,
    target: ScriptedTarget,
    attempts: Arc<Mutex<Vec<String>>>,
    /// Number of the last write of its row.
    sequence: Cell<u64>,
    /// Start time in its row.
    born_ms: Cell<u64>,
}

impl RecordedTarget {
    /// Starts a target that has no row yet.
    async fn start(fixture: &Fixture, id: &str) -> Self {
        let address = fixture.launcher.next_address().expect("address");
        let attempts = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&attempts);
        let target = ScriptedTarget::start(address, move |request| {
            let attempt = request.header("x-acaciabank-attempt-id").to_owned();
            let response = format!(
                "HTTP/1.1 200 OK\r\nx-acaciabank-attempt-id: {attempt}\r\n\
                 x-acaciabank-response-signature: s\r\ncontent-length: {}\r\n\r\n{attempt}",
                attempt.len()
            );
            recorded.lock().expect("attempts lock").push(attempt);
            vec![
                ScriptStep::Wait(WORK_TIME),
                ScriptStep::Send(response.into_bytes()),
            ]
        });
        Self {
            id: id.to_owned(),
            target: target.await.expect("a target"),
            attempts,
            sequence: Cell::new(0),
            born_ms: Cell::new(1),
        }
    }

    /// Starts a target and writes its row.
    async fn start_ready(fixture: &Fixture, id: &str) -> Self {
        let target = Self::start(fixture, id).await;
        target.write_row(fixture, "ready").await;
        target
    }

    async fn write_row(&self, fixture: &Fixture, state: &str) {
        self.sequence.set(self.sequence.get() + 1);
        let entry = json!({
            "service": "ledger", "address": self.target.address, "zone": "zone-a", "slots": 64,
            "version": "v1",
            "seq": self.sequence.get(), "born": self.born_ms.get(), "state": state,
        });
        let value = base64::engine::general_purpose::STANDARD.encode(entry.to_string());
        let row = json!({"table": "servers", "part": "", "key": self.id, "value": value});
        transact(fixture, json!({"writes": [row]})).await;
    }

    /// Begins a new run of the target, which writes its row from the start.
    fn restart(&self) {
        self.born_ms.set(self.born_ms.get() + 1);
        self.sequence.set(0);
    }

    fn has_run(&self, prefix: &str) -> bool {
        let attempts = self.attempts.lock().expect("attempts lock");
        attempts.iter().any(|attempt| attempt.starts_with(prefix))
    }

    /// Waits until the target has run a request of each relay.
    async fn wait_used(&self, relays: &[Relay]) {
        for relay in relays {
            relay.wait_serving("/safe/a").await;
            let name = relay.process.name();
            let description = format!("{name} uses {}", self.id);
            harness::wait_until(TIMEOUT, &description, async || {
                self.has_run(&send_batch(relay).await)
            })
            .await;
        }
    }

    /// Checks for a second that the target runs no request of any relay. Others run them.
    async fn check_unused(&self, relays: &[Relay]) {
        let end = Instant::now() + Duration::from_secs(1);
        while Instant::now() < end {
            let batches = relays.iter().map(send_batch);
            for prefix in futures::future::join_all(batches).await {
                assert!(!self.has_run(&prefix), "{} has run {prefix}", self.id);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}
