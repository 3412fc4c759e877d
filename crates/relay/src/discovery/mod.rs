//! Tasks that follow the platform's store: configuration, targets and the other daemons.

use std::{net, time::Duration};

use bytes::Bytes;

use crate::{clock, edge, ingress, scheduler, state, watch};

/// Time that the store may hold a question for the configuration: an answer that is lost on a silent
/// connection is noticed within the time in which a configuration must be in force.
const CONFIG_WAIT_MS: u64 = 1_000;
/// Time between two questions for targets. A leaving target must get no request two seconds after
/// the store has acknowledged it, and every call is priced.
const TARGET_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two looks whether the store has to be read.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two readings of the registered daemons. Reports between the daemons spread what
/// changes in between; the list only joins groups that have lost each other.
const HOST_INTERVAL: Duration = Duration::from_secs(60);
/// First and longest pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Time for another daemon's answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Doubling pause after failures, with a random part so that the daemons do not call together.
struct RetryPause {
    name: &'static str,
    failures: u32,
}

impl RetryPause {
    fn new(name: &'static str) -> Self {
        Self { name, failures: 0 }
    }

    fn succeeded(&mut self) {
        if self.failures > 0 {
            log::info!(dependency = self.name, failures = self.failures; "store_regained");
        }
        self.failures = 0;
    }

    async fn failed(&mut self, error: &edge::StoreError) {
        if self.failures == 0 {
            log::warn!(dependency = self.name, error:% = error; "store_lost");
        }
        let pause = (FIRST_PAUSE * 2u32.pow(self.failures.min(5))).min(MAX_PAUSE);
        self.failures += 1;
        tokio::time::sleep(pause.mul_f64(0.5 + 0.5 * rand::random::<f64>())).await;
    }
}

/// Follows the configuration.
pub async fn run_config<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: state::SharedState<Codec, Store>,
) {
    let mut pause = RetryPause::new("config");
    let mut after = None;
    loop {
        let sent_ms = clock::now_ms();
        let rank = scheduler::position(&state, sent_ms);
        if after.is_some() && !state.watch.config.is_due(rank, sent_ms) {
            tokio::time::sleep(IDLE_INTERVAL).await;
            continue;
        }
        // A daemon that only checks does not hold the store.
        let wait_ms = if rank < watch::WATCHER_COUNT {
            CONFIG_WAIT_MS
        } else {
            0
        };
        match state.store.next_config(after, wait_ms).await {
            Ok((version, document)) => {
                pause.succeeded();
                if after.is_none() && document.is_none() {
                    log::info!("config_absent");
                }
                after = Some(version);
                if let Some(document) = document {
                    state.apply_config(&document, "store");
                }
                // The question waited at the store, and the answer holds for the end of the wait.
                state
                    .watch
                    .config
                    .record_store_read(clock::now_ms(), version);
                if state.config.borrow().is_none() {
                    tokio::time::sleep(IDLE_INTERVAL).await;
                }
            }
            Err(edge::StoreError::HistoryGone) => after = None,
            Err(error) => pause.failed(&error).await,
        }
    }
}

/// Follows the list of targets.
pub async fn run_targets<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: state::SharedState<Codec, Store>,
) {
    let mut pause = RetryPause::new("targets");
    let mut after = None;
    loop {
        let sent_ms = clock::now_ms();
        if after.is_some()
            && !state
                .watch
                .targets
                .is_due(scheduler::position(&state, sent_ms), sent_ms)
        {
            tokio::time::sleep(IDLE_INTERVAL).await;
            continue;
        }
        match state.store.next_targets(after).await {
            Ok(changes) => {
                pause.succeeded();
                let version = changes.version;
                let source = state::ChangeSource::Store {
                    after: after.unwrap_or(0),
                };
                after = Some(version);
                state.apply_targets(changes, source);
                state.watch.targets.record_store_read(sent_ms, version);
                let part = 0.8 + 0.2 * rand::random::<f64>();
                tokio::time::sleep(TARGET_INTERVAL.mul_f64(part)).await;
            }
            Err(edge::StoreError::HistoryGone) => {
                log::info!("target_history_gone");
                after = None;
            }
            Err(error) => {
                if after.is_none() {
                    learn_targets(&state).await;
                }
                pause.failed(&error).await;
            }
        }
    }
}

/// Learns the targets from another daemon, for a daemon that starts while the store is away.
async fn learn_targets<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
) {
    let Some(address) = state.peers.borrow().any_ready(clock::now_ms()) else {
        return;
    };
    let fetched = fetch_document(address, ingress::TARGETS_PATH).await;
    let changes = fetched
        .and_then(|document| serde_json::from_slice(&document).map_err(|error| error.to_string()));
    match changes {
        Ok(changes) => {
            log::info!(peer:% = address; "targets_learned");
            state.apply_targets(changes, state::ChangeSource::Peer);
        }
        Err(error) => log::warn!(peer:% = address, error = error.as_str(); "peer_targets_failed"),
    }
}

/// Registers this daemon and reads which others are registered.
pub async fn run_hosts<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: state::SharedState<Codec, Store>,
) {
    let mut pause = RetryPause::new("hosts");
    let settings = &state.settings;
    let own = edge::HostEntry {
        name: settings.host.clone(),
        peer: settings.peer_address,
        caller: settings.caller_address,
    };
    // The daemon registers before it reads the list: of two that start together, the one that
    // registers last finds the other.
    let mut is_registered = false;
    loop {
        if state.phase.get() == state::RelayPhase::Draining {
            return;
        }
        let result = match is_registered {
            true => Ok(()),
            false => state.store.put_host(&own).await,
        };
        let listed = match result {
            Ok(()) => state.store.list_hosts().await,
            Err(error) => Err(error),
        };
        match listed {
            Ok(hosts) => {
                pause.succeeded();
                take_hosts(&state, &own, &hosts);
                is_registered = hosts.contains(&own);
                if is_registered {
                    let part = 0.8 + 0.4 * rand::random::<f64>();
                    tokio::time::sleep(HOST_INTERVAL.mul_f64(part)).await;
                }
            }
            Err(error) => pause.failed(&error).await,
        }
    }
}

fn take_hosts<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::RelayState<Codec, Store>,
    own: &edge::HostEntry,
    hosts: &[edge::HostEntry],
) {
    let now_ms = clock::now_ms();
    state.listed_hosts.set(hosts.len().saturating_sub(1));
    for host in hosts.iter().filter(|host| host.name != own.name) {
        state.peers.borrow_mut().add_contact(host.peer, now_ms);
    }
}

/// Fetches a newer configuration from another daemon, for when this one cannot reach the store.
pub async fn run_peer_config<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: state::SharedState<Codec, Store>,
) {
    loop {
        state.config_behind.notified().await;
        if scheduler::position(&state, clock::now_ms()) < watch::WATCHER_COUNT {
            // The store usually answers first.
            tokio::time::sleep(FIRST_PAUSE * 4).await;
        }
        let newer = state
            .peers
            .borrow()
            .newer_config_source(state.config_version());
        let Some(address) = newer else {
            continue;
        };
        match fetch_document(address, ingress::DOCUMENT_PATH).await {
            Ok(document) => {
                state.apply_config(&document, "peer");
            }
            Err(error) => {
                log::warn!(peer:% = address, error = error.as_str(); "peer_config_failed")
            }
        }
    }
}

async fn fetch_document(address: net::SocketAddr, path: &str) -> Result<Bytes, String> {
    use http_body_util::BodyExt;
    let call = async {
        let mut connection = crate::connection::TargetConnection::connect(address, PEER_TIMEOUT)
            .await
            .map_err(|error| error.to_string())?;
        let request = http::Request::get(path)
            .header(http::header::HOST, address.to_string())
            .body(http_body_util::Full::default())
            .map_err(|error| error.to_string())?;
        let response = connection
            .send(request)
            .await
            .map_err(|error| error.to_string())?;
        if response.status() != http::StatusCode::OK {
            return Err(format!("status {}", response.status()));
        }
        let body = response.into_body().collect().await;
        body.map(|body| body.to_bytes())
            .map_err(|error| error.to_string())
    };
    match tokio::time::timeout(PEER_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err("no answer in time".to_owned()),
    }
}
