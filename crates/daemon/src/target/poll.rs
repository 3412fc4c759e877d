//! Polls of owned targets and of the platform's host list.

use std::{collections::HashSet, net, sync, sync::atomic::Ordering, time::Duration};

use acaciabank_protocol::{ids, wire};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use serde::de::DeserializeOwned;

use super::{PieceDelta, TargetKind, TargetState, WithdrawalCause, now_ms, tracker::PollSession};
use acaciabank_relay::connection;

use crate::process;

/// Largest accepted response body of a poll.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Number of poll intervals between two updates of the set of owned targets.
const POLLS_PER_OWNERSHIP_UPDATE: u32 = 2;
/// Number of poll intervals between two removals of expired pieces.
const POLLS_PER_EXPIRY: u32 = 120;

type PollError = Box<dyn std::error::Error + Send + Sync>;

/// Applies each new configuration and polls the owned targets and the host list until the process
/// leaves.
pub async fn run(state: process::SharedState) {
    let hosts = tokio::spawn(poll_hosts(sync::Arc::clone(&state)));
    let mut changed = state.config.subscribe();
    let mut ticker = ticker(state.settings.timers.target_poll_ms);
    apply_config(&state);
    let mut owned = Vec::new();
    let mut polls = 0_u32;
    while state.phase.get() != process::Phase::Left {
        tokio::select! {
            result = changed.changed() => {
                if result.is_err() {
                    break;
                }
                apply_config(&state);
                owned = owned_targets(&state);
            }
            _ = ticker.tick() => {
                if polls.is_multiple_of(POLLS_PER_OWNERSHIP_UPDATE) {
                    owned = owned_targets(&state);
                }
                if polls.is_multiple_of(POLLS_PER_EXPIRY)
                    && let Ok(mut piece_index) = state.targets.piece_index.write()
                {
                    piece_index.expire(now_ms());
                }
                polls = polls.wrapping_add(1);
                start_polls(&state, &owned);
                state.targets.admission.wake_all();
            }
        }
    }
    hosts.abort();
}

fn ticker(interval_ms: u64) -> tokio::time::Interval {
    let mut ticker = tokio::time::interval(Duration::from_millis(interval_ms.max(1)));
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    ticker
}

fn apply_config(state: &process::ProcessState) {
    if let Some(config) = state.config.current() {
        state
            .targets
            .apply(&config.deployment, &state.settings.zone);
    }
}

fn owned_targets(state: &process::ProcessState) -> Vec<sync::Arc<TargetState>> {
    let snapshot = state.targets.snapshot();
    let owned = snapshot
        .all
        .iter()
        .filter(|target| state.peers.owns(&target.id));
    owned.cloned().collect()
}

/// Starts a poll of each owned target whose previous poll has ended.
fn start_polls(state: &process::SharedState, owned: &[sync::Arc<TargetState>]) {
    for target in owned {
        if target.tracker.is_polling.swap(true, Ordering::AcqRel) {
            continue;
        }
        let state = sync::Arc::clone(state);
        let target = sync::Arc::clone(target);
        tokio::spawn(async move {
            poll(&state, &target).await;
            target.tracker.is_polling.store(false, Ordering::Release);
        });
    }
}

async fn poll(state: &process::ProcessState, target: &TargetState) {
    let timers = &state.settings.timers;
    // A poll takes at most two intervals beyond the connect timeout, so that an unresponsive target
    // is withdrawn within the time allowed for a target that leaves.
    let timeout_ms = timers.connect_timeout_ms + 2 * timers.target_poll_ms;
    let mut session = target.tracker.poll_session.lock().await;
    let polling = async {
        match &target.kind {
            TargetKind::Engine { model, .. } => {
                poll_engine(state, target, model, &mut session).await
            }
            TargetKind::Service { .. } => poll_service(state, target, &mut session).await,
        }
    };
    let result = match tokio::time::timeout(Duration::from_millis(timeout_ms), polling).await {
        Ok(result) => result,
        Err(elapsed) => Err(elapsed.into()),
    };
    if let Err(error) = result {
        log::debug!("poll of target {} failed: {error}", target.id);
        session.connection = None;
        target.record_failed_poll(WithdrawalCause::Unreachable);
    }
    state.targets.admission.wake_target(target);
}

async fn poll_engine(
    state: &process::ProcessState,
    target: &TargetState,
    model: &ids::ModelId,
    session: &mut PollSession,
) -> Result<(), PollError> {
    let report: wire::EngineState = fetch(state, target.address, session, "/admin/state").await?;
    let load: wire::EngineLoad = fetch(state, target.address, session, "/admin/load").await?;
    let age = session.load_age.record(load.as_of_unix_ms, now_ms());
    target.record_load(load, age);
    let lacks_model =
        !report.models.is_empty() && !report.models.iter().any(|loaded| loaded.model == *model);
    let switching = report.switching.is_some() || lacks_model;
    let (boot_id, role) = (report.boot_id.clone(), report.role);
    let report = sync::Arc::new(report);
    target.update_condition(|condition| {
        condition.role = role;
        condition.state = Some(sync::Arc::clone(&report));
    });
    match switching {
        true => target.record_failed_poll(WithdrawalCause::Switching),
        false => target.record_successful_poll(),
    }
    poll_cache_events(state, target, session, boot_id).await;
    Ok(())
}

/// Reads the cache events. An engine without them stays available.
async fn poll_cache_events(
    state: &process::ProcessState,
    target: &TargetState,
    session: &mut PollSession,
    boot_id: String,
) {
    let is_restarted = session.boot_id != boot_id;
    if is_restarted {
        session.boot_id = boot_id;
        session.next_event = 0;
    }
    let path = format!("/admin/cache_events?after={}", session.next_event);
    let events = fetch::<wire::CacheEvents>(state, target.address, session, &path).await;
    let Ok(events) = events.inspect_err(|_| session.connection = None) else {
        if is_restarted {
            let delta = PieceDelta {
                target_hash: target.hash,
                reset: true,
                ..PieceDelta::default()
            };
            state.targets.record_pieces(delta);
        }
        return;
    };
    let mut delta = fold_events(target.hash, session.next_event, &events);
    delta.reset |= is_restarted;
    session.next_event = events.next;
    if delta.reset || !delta.stored.is_empty() || !delta.removed.is_empty() {
        state.targets.record_pieces(delta);
    }
}

/// Folds events into one delta. A gap in the sequence resets the target's index, which also
/// discards the events before the gap.
fn fold_events(target_hash: u32, after: u64, events: &wire::CacheEvents) -> PieceDelta {
    let mut delta = PieceDelta {
        target_hash,
        ..PieceDelta::default()
    };
    let mut next_sequence = (after > 0).then_some(after + 1);
    for event in &events.events {
        if next_sequence.is_some_and(|next| event.sequence > next) {
            delta = PieceDelta {
                target_hash,
                reset: true,
                ..PieceDelta::default()
            };
        }
        next_sequence = Some(event.sequence + 1);
        let pieces = event.pieces.iter();
        let pieces: HashSet<u64> = pieces
            .filter_map(|text| u64::from_str_radix(text, 16).ok())
            .collect();
        delta.stored.retain(|piece| !pieces.contains(piece));
        delta.removed.retain(|piece| !pieces.contains(piece));
        match event.kind {
            wire::CacheEventKind::Stored => delta.stored.extend(pieces),
            wire::CacheEventKind::Removed => delta.removed.extend(pieces),
        }
    }
    delta
}

async fn poll_service(
    state: &process::ProcessState,
    target: &TargetState,
    session: &mut PollSession,
) -> Result<(), PollError> {
    if !session.lacks_state_path {
        let status = fetch_status(state, target.address, session, "/admin/state").await?;
        // A service without this path responds with another status; connecting then counts as a
        // successful poll.
        session.lacks_state_path = status != http::StatusCode::OK;
    }
    if session.lacks_state_path {
        session.connection = None;
        connection::TargetConnection::connect(target.address, connect_timeout(state)).await?;
    }
    target.record_load(wire::EngineLoad::default(), Duration::ZERO);
    target.record_successful_poll();
    Ok(())
}

/// Reads a JSON document with a GET; any status other than 200 is an error.
async fn fetch<T: DeserializeOwned>(
    state: &process::ProcessState,
    address: net::SocketAddr,
    session: &mut PollSession,
    path: &str,
) -> Result<T, PollError> {
    let (status, body) = get(state, address, &mut session.connection, path).await?;
    if status != http::StatusCode::OK {
        return Err(format!("GET {path}: status {status}, expected 200").into());
    }
    Ok(serde_json::from_slice(&body)?)
}

async fn fetch_status(
    state: &process::ProcessState,
    address: net::SocketAddr,
    session: &mut PollSession,
    path: &str,
) -> Result<http::StatusCode, PollError> {
    let (status, _) = get(state, address, &mut session.connection, path).await?;
    Ok(status)
}

/// Sends a GET on the idle connection. When that fails, a new connection is tried once, because the
/// target may have closed the idle one.
async fn get(
    state: &process::ProcessState,
    address: net::SocketAddr,
    idle: &mut Option<connection::TargetConnection>,
    path: &str,
) -> Result<(http::StatusCode, Bytes), PollError> {
    if let Some(mut connection) = idle.take()
        && let Ok(response) = get_on(&mut connection, address, path).await
    {
        *idle = Some(connection);
        return Ok(response);
    }
    let timeout = connect_timeout(state);
    let mut connection = connection::TargetConnection::connect(address, timeout).await?;
    let response = get_on(&mut connection, address, path).await?;
    *idle = Some(connection);
    Ok(response)
}

async fn get_on(
    connection: &mut connection::TargetConnection,
    address: net::SocketAddr,
    path: &str,
) -> Result<(http::StatusCode, Bytes), PollError> {
    let request = http::Request::get(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))?;
    let response = connection.send(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
        .collect()
        .await?;
    Ok((status, body.to_bytes()))
}

fn connect_timeout(state: &process::ProcessState) -> Duration {
    Duration::from_millis(state.settings.timers.connect_timeout_ms)
}

#[derive(serde::Deserialize)]
struct HostList {
    hosts: Vec<HostRow>,
}

#[derive(serde::Deserialize)]
struct HostRow {
    host: ids::HostId,
    state: String,
}

/// Polls the host list. The last list that was read applies until the next one arrives.
async fn poll_hosts(state: process::SharedState) {
    let Some(address) = state.settings.host_list_address else {
        return;
    };
    let timers = &state.settings.timers;
    let mut ticker = ticker(timers.host_list_poll_ms);
    let mut session = PollSession::default();
    while state.phase.get() != process::Phase::Left {
        ticker.tick().await;
        let timeout = Duration::from_millis(timers.connect_timeout_ms + timers.host_list_poll_ms);
        let reading = fetch::<HostList>(&state, address, &mut session, "/hosts");
        match tokio::time::timeout(timeout, reading).await {
            Ok(Ok(list)) => {
                let leaving = list.hosts.into_iter().filter(|row| row.state == "leaving");
                let leaving = leaving.map(|row| row.host).collect();
                state.targets.apply_leaving_hosts(&leaving);
            }
            Ok(Err(error)) => log::warn!("cannot read the host list from {address}: {error}"),
            Err(_) => {
                session.connection = None;
                log::warn!("cannot read the host list from {address}: timeout after {timeout:?}");
            }
        }
    }
}
