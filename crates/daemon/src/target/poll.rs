//! Polls of owned targets and of the host list.

use std::{
    collections::HashSet,
    net, sync,
    sync::atomic::Ordering,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use acaciabank_protocol::{ids, wire};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use serde::de::DeserializeOwned;

use super::{PieceDelta, TargetKind, TargetState, WithdrawalCause, tracker::PollLink};
use acaciabank_relay::connection;

use crate::process;

/// Largest accepted answer to a poll.
const MAX_POLL_BYTES: usize = 4 << 20;
/// Polls after which the set of owned targets is computed anew.
const OWNERSHIP_POLLS: u32 = 2;
/// Time between two removals of expired prefix entries, in polls.
const EXPIRY_POLLS: u32 = 120;

type PollError = Box<dyn std::error::Error + Send + Sync>;

/// Follows the configuration, polls owned targets and the host list until the process leaves.
pub async fn run(state: process::SharedState) {
    let hosts = tokio::spawn(follow_hosts(sync::Arc::clone(&state)));
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
                if polls.is_multiple_of(OWNERSHIP_POLLS) {
                    owned = owned_targets(&state);
                }
                if polls.is_multiple_of(EXPIRY_POLLS) && let Ok(mut prefixes) = state.targets.prefixes.write() {
                    prefixes.expire(super::now_ms());
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

/// Starts a poll of each owned target unless its last one is still running.
fn start_polls(state: &process::SharedState, owned: &[sync::Arc<TargetState>]) {
    for target in owned {
        if target.tracker.polling.swap(true, Ordering::AcqRel) {
            continue;
        }
        let state = sync::Arc::clone(state);
        let target = sync::Arc::clone(target);
        tokio::spawn(async move {
            poll(&state, &target).await;
            target.tracker.polling.store(false, Ordering::Release);
        });
    }
}

async fn poll(state: &process::ProcessState, target: &TargetState) {
    let timers = &state.settings.timers;
    // A poll takes no longer than two intervals, so that a silent target is withdrawn within the
    // bound for leaving targets.
    let limit_ms = timers.connect_timeout_ms + 2 * timers.target_poll_ms;
    let mut link = target.tracker.poll_link.lock().await;
    let work = async {
        match &target.kind {
            TargetKind::Engine { model, .. } => poll_engine(state, target, model, &mut link).await,
            TargetKind::Service { .. } => poll_service(state, target, &mut link).await,
        }
    };
    let result = match tokio::time::timeout(Duration::from_millis(limit_ms), work).await {
        Ok(result) => result,
        Err(elapsed) => Err(elapsed.into()),
    };
    if let Err(error) = result {
        log::debug!("poll of target {} failed: {error}", target.id);
        link.connection = None;
        target.record_failed_poll(WithdrawalCause::Unreachable);
    }
    state.targets.admission.wake_target(target);
}

async fn poll_engine(
    state: &process::ProcessState,
    target: &TargetState,
    model: &ids::ModelId,
    link: &mut PollLink,
) -> Result<(), PollError> {
    let report: wire::EngineState = fetch(state, target.address, link, "/admin/state").await?;
    let load: wire::EngineLoad = fetch(state, target.address, link, "/admin/load").await?;
    let age_ms = unix_ms().saturating_sub(load.as_of_unix_ms);
    target.record_load(load, Duration::from_millis(age_ms));
    let lacks_model =
        !report.models.is_empty() && !report.models.iter().any(|loaded| loaded.model == *model);
    let switching = report.switching.is_some() || lacks_model;
    let (boot_id, role) = (report.boot_id.clone(), report.role);
    let report = sync::Arc::new(report);
    target.refresh(|condition| {
        condition.role = role;
        condition.state = Some(sync::Arc::clone(&report));
    });
    match switching {
        true => target.record_failed_poll(WithdrawalCause::Switching),
        false => target.record_successful_poll(),
    }
    poll_cache(state, target, link, boot_id).await;
    Ok(())
}

/// Reads the cache events; their absence does not make an engine unavailable.
async fn poll_cache(
    state: &process::ProcessState,
    target: &TargetState,
    link: &mut PollLink,
    boot_id: String,
) {
    let restarted = link.boot_id != boot_id;
    if restarted {
        link.boot_id = boot_id;
        link.next_event = 0;
    }
    let path = format!("/admin/cache_events?after={}", link.next_event);
    let events = fetch::<wire::CacheEvents>(state, target.address, link, &path).await;
    let Ok(events) = events.inspect_err(|_| link.connection = None) else {
        if restarted {
            let delta = PieceDelta {
                target: target.hash,
                reset: true,
                ..PieceDelta::default()
            };
            state.targets.record_pieces(delta);
        }
        return;
    };
    let mut delta = delta_of(target.hash, link.next_event, &events);
    delta.reset |= restarted;
    link.next_event = events.next;
    if delta.reset || !delta.stored.is_empty() || !delta.removed.is_empty() {
        state.targets.record_pieces(delta);
    }
}

/// Folds events into one delta. A gap voids what was known before it, including earlier events.
fn delta_of(target: u32, after: u64, events: &wire::CacheEvents) -> PieceDelta {
    let mut delta = PieceDelta {
        target,
        ..PieceDelta::default()
    };
    let mut expected = (after > 0).then_some(after + 1);
    for event in &events.events {
        if expected.is_some_and(|expected| event.sequence > expected) {
            delta = PieceDelta {
                target,
                reset: true,
                ..PieceDelta::default()
            };
        }
        expected = Some(event.sequence + 1);
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
    link: &mut PollLink,
) -> Result<(), PollError> {
    if !link.plain {
        let status = fetch_status(state, target.address, link, "/admin/state").await?;
        // A service without this path answers with another status; it is checked by connecting.
        link.plain = status != http::StatusCode::OK;
    }
    if link.plain {
        link.connection = None;
        connection::TargetConnection::connect(target.address, connect_timeout(state)).await?;
    }
    target.record_load(wire::EngineLoad::default(), Duration::ZERO);
    target.record_successful_poll();
    Ok(())
}

async fn fetch<T: DeserializeOwned>(
    state: &process::ProcessState,
    address: net::SocketAddr,
    link: &mut PollLink,
    path: &str,
) -> Result<T, PollError> {
    let (status, body) = get(state, address, &mut link.connection, path).await?;
    if status != http::StatusCode::OK {
        return Err(format!("status {status} for {path}").into());
    }
    Ok(serde_json::from_slice(&body)?)
}

async fn fetch_status(
    state: &process::ProcessState,
    address: net::SocketAddr,
    link: &mut PollLink,
    path: &str,
) -> Result<http::StatusCode, PollError> {
    let (status, _) = get(state, address, &mut link.connection, path).await?;
    Ok(status)
}

/// Sends a GET on the kept connection; a kept connection that fails is replaced once, because the
/// target may have closed it while idle.
async fn get(
    state: &process::ProcessState,
    address: net::SocketAddr,
    kept: &mut Option<connection::TargetConnection>,
    path: &str,
) -> Result<(http::StatusCode, Bytes), PollError> {
    if let Some(mut connection) = kept.take()
        && let Ok(answer) = get_on(&mut connection, address, path).await
    {
        *kept = Some(connection);
        return Ok(answer);
    }
    let timeout = connect_timeout(state);
    let mut connection = connection::TargetConnection::connect(address, timeout).await?;
    let answer = get_on(&mut connection, address, path).await?;
    *kept = Some(connection);
    Ok(answer)
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
    let body = Limited::new(response.into_body(), MAX_POLL_BYTES)
        .collect()
        .await?;
    Ok((status, body.to_bytes()))
}

fn connect_timeout(state: &process::ProcessState) -> Duration {
    Duration::from_millis(state.settings.timers.connect_timeout_ms)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
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

/// Polls the host list. While it does not answer, the last list stays in force.
async fn follow_hosts(state: process::SharedState) {
    let Some(address) = state.settings.host_list_address else {
        return;
    };
    let timers = &state.settings.timers;
    let mut ticker = ticker(timers.host_list_poll_ms);
    let mut link = PollLink::default();
    while state.phase.get() != process::Phase::Left {
        ticker.tick().await;
        let limit = Duration::from_millis(timers.connect_timeout_ms + timers.host_list_poll_ms);
        let work = fetch::<HostList>(&state, address, &mut link, "/hosts");
        match tokio::time::timeout(limit, work).await {
            Ok(Ok(list)) => {
                let leaving = list.hosts.into_iter().filter(|row| row.state == "leaving");
                let leaving = leaving.map(|row| row.host).collect();
                state.targets.apply_leaving_hosts(&leaving);
            }
            Ok(Err(error)) => log::warn!("host list not read: {error}"),
            Err(_) => {
                link.connection = None;
                log::warn!("host list not read in time");
            }
        }
    }
}
