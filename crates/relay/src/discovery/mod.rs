//! Tasks that read the configuration, the targets and the other daemons from the platform's store.

use std::{
    net,
    time::{Duration, Instant},
};

use acaciabank_core::store_version::StoreVersion;
use bytes::Bytes;

use crate::{
    clock,
    connection::{self, BodyLimits},
    listener, platform, scheduler, state, watch,
};

/// Time for which the store may hold a request for changes of the configuration: short enough to
/// notice a response lost on a dead connection within the time in which a new configuration must be
/// in use.
const CONFIG_WAIT_MS: u64 = 1_000;
/// Interval between reads of the targets. A draining target must get no request two seconds after
/// the store has acknowledged the change, but every call to the store is charged.
const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a task checks whether it has to read the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between reads of the registered daemons. Reports between daemons spread changes sooner;
/// the list only reconnects groups of daemons that have lost contact.
const HOST_POLL_INTERVAL: Duration = Duration::from_secs(60);
/// Time over which the daemons register again after a return of the store, so that they do not
/// exceed its rate of writes.
const REGISTRATION_SPREAD: Duration = Duration::from_secs(1);
/// Initial and longest backoff after failed calls, before jitter. The initial one also separates the
/// reads after lost history: a store that gave no history at all would be read without a pause.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Time limit for a call to another daemon.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Exponential backoff after failed calls, with jitter so that the daemons do not retry together.
struct RetryBackoff {
    /// What is read from the store, for the log.
    dependency: &'static str,
    failures: u32,
}

impl RetryBackoff {
    fn new(dependency: &'static str) -> Self {
        Self {
            dependency,
            failures: 0,
        }
    }

    fn record_success(&mut self) {
        if self.failures > 0 {
            log::info!(dependency = self.dependency, failures = self.failures; "store_regained");
        }
        self.failures = 0;
    }

    /// Counts a failure and sleeps for the backoff.
    async fn wait_after(&mut self, error: &platform::StoreError) {
        if self.failures == 0 {
            log::warn!(dependency = self.dependency, error:% = error; "store_lost");
        }
        let backoff = (INITIAL_BACKOFF * 2u32.pow(self.failures.min(5))).min(MAX_BACKOFF);
        self.failures += 1;
        tokio::time::sleep(backoff.mul_f64(0.5 + 0.5 * rand::random::<f64>())).await;
    }
}

/// Keeps the configuration up to date from the store.
pub async fn run_config<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
) {
    let mut backoff = RetryBackoff::new("config");
    let mut after = None;
    loop {
        let sent_ms = clock::now_ms();
        let rank = scheduler::own_rank(&state, sent_ms);
        if after.is_some() && !state.watch.config.is_due(rank, sent_ms) {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        // Only watchers make the store wait for changes; others read what there is.
        let wait_ms = if rank < watch::WATCHER_COUNT {
            CONFIG_WAIT_MS
        } else {
            0
        };
        let read = state.store.next_config(after, wait_ms).await;
        state.check_store_era();
        match read {
            Ok(change) => {
                backoff.record_success();
                if after.is_none() && change.document.is_none() {
                    log::info!("config_absent");
                }
                after = Some(change.version);
                if let Some((stored, document)) = change.document {
                    state.apply_config(&document, stored, "store");
                }
                // The store may have held the request, and its response describes the end of the
                // wait.
                let now_ms = clock::now_ms();
                let freshness = &state.watch.config;
                freshness.record_store_read(now_ms, change.version);
                // It describes no later time, however late it is read.
                freshness.record_confirmed(now_ms.min(sent_ms + wait_ms));
                if state.config.borrow().is_none() {
                    tokio::time::sleep(CHECK_INTERVAL).await;
                }
            }
            Err(platform::StoreError::HistoryGone) => {
                after = None;
                tokio::time::sleep(INITIAL_BACKOFF).await;
            }
            Err(error) => backoff.wait_after(&error).await,
        }
    }
}

/// Keeps the list of targets up to date from the store.
pub async fn run_targets<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
) {
    let mut backoff = RetryBackoff::new("targets");
    let mut after = None;
    loop {
        let sent_ms = clock::now_ms();
        if after.is_some()
            && !state
                .watch
                .targets
                .is_due(scheduler::own_rank(&state, sent_ms), sent_ms)
        {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        let read = state.store.next_targets(after).await;
        state.check_store_era();
        match read {
            Ok(changes) => {
                backoff.record_success();
                let version = changes.version;
                let source = state::ChangeSource::Store {
                    after: after.unwrap_or(StoreVersion::ZERO),
                    sent_ms,
                };
                after = Some(version);
                state.apply_targets(changes, source);
                state.watch.targets.record_store_read(sent_ms, version);
                let jitter = 0.8 + 0.2 * rand::random::<f64>();
                tokio::time::sleep(TARGET_POLL_INTERVAL.mul_f64(jitter)).await;
            }
            Err(platform::StoreError::HistoryGone) => {
                log::info!("target_history_gone");
                after = None;
                tokio::time::sleep(INITIAL_BACKOFF).await;
            }
            Err(error) => {
                if after.is_none() {
                    fetch_peer_targets(&state).await;
                }
                backoff.wait_after(&error).await;
            }
        }
    }
}

/// Fetches the targets from another daemon, for a daemon that starts while the store is
/// unreachable.
async fn fetch_peer_targets<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
) {
    let Some(address) = state.peers.borrow().any_ready(clock::now_ms()) else {
        return;
    };
    let fetched = fetch_document(address, listener::TARGETS_PATH).await;
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

/// Registers this daemon in the store and reads which others are registered.
pub async fn run_hosts<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
) {
    let mut backoff = RetryBackoff::new("hosts");
    let settings = &state.settings;
    let own = platform::HostRegistration {
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
            false => state.store.register_host(&own).await,
        };
        // A list that cannot be read is no reason to write again.
        is_registered = result.is_ok();
        let listed = match result {
            Ok(()) => state.store.list_hosts().await,
            Err(error) => Err(error),
        };
        state.check_store_era();
        match listed {
            Ok(hosts) => {
                backoff.record_success();
                add_registered_hosts(&state, &own, &hosts);
                is_registered = hosts.contains(&own);
                if is_registered {
                    is_registered = !wait_for_return(&state).await;
                }
            }
            Err(error) => backoff.wait_after(&error).await,
        }
    }
}

/// Waits until the registered daemons have to be read again; returns whether the store has come
/// back from a copy meanwhile, which may lack this daemon's registration.
async fn wait_for_return<Codec, Store>(state: &state::RelayState<Codec, Store>) -> bool {
    let interval = HOST_POLL_INTERVAL.mul_f64(0.8 + 0.4 * rand::random::<f64>());
    let returned = tokio::time::timeout(interval, state.store_returned.notified()).await;
    let has_returned = returned.is_ok();
    if has_returned {
        tokio::time::sleep(REGISTRATION_SPREAD.mul_f64(rand::random())).await;
    }
    has_returned
}

/// Adds the registered daemons to the addresses that reports are sent to.
fn add_registered_hosts<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    own: &platform::HostRegistration,
    hosts: &[platform::HostRegistration],
) {
    let now_ms = clock::now_ms();
    state.registered_hosts.set(hosts.len().saturating_sub(1));
    for host in hosts.iter().filter(|host| host.name != own.name) {
        state.peers.borrow_mut().add_contact(host.peer, now_ms);
    }
}

/// Fetches a newer configuration from another daemon whenever one is reported, as this daemon may
/// be unable to reach the store.
pub async fn run_peer_config<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
) {
    loop {
        state.newer_config_reported.notified().await;
        if scheduler::own_rank(&state, clock::now_ms()) < watch::WATCHER_COUNT {
            // A watcher usually gets it from the store within this time.
            tokio::time::sleep(INITIAL_BACKOFF * 4).await;
        }
        let newer = state.peers.borrow().newer_config_source(
            &state.config_version(),
            clock::now_ms(),
            rand::random(),
        );
        let Some((address, version)) = newer else {
            continue;
        };
        match fetch_document(address, listener::CONFIG_PATH).await {
            Ok(document) => {
                state.apply_config(&document, version.stored, "peer");
            }
            Err(error) => {
                log::warn!(peer:% = address, error = error.as_str(); "peer_config_failed")
            }
        }
    }
}

/// Makes a GET request to another daemon and reads the whole body.
async fn fetch_document(address: net::SocketAddr, path: &str) -> Result<Bytes, String> {
    let call = async {
        let mut connection = connection::TargetConnection::connect(address, PEER_TIMEOUT)
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
            return Err(format!("unexpected status {}", response.status()));
        }
        let (limits, deadline) = (BodyLimits::DOCUMENT, Instant::now() + PEER_TIMEOUT);
        let body = connection::read_body(response.into_body(), limits, deadline).await;
        body.map_err(|error| error.to_string())
    };
    match tokio::time::timeout(PEER_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err("no response in time".to_owned()),
    }
}
