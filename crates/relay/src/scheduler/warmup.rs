//! Reads which prompt parts engines have cached when a daemon becomes a scheduler without knowing
//! them.
//!
//! This is for a restart of all daemons, after which the engines still have the shared parts
//! cached. Processing them again would take most of the engines' time for some seconds.

use std::{rc, time::Duration};

use acaciabank_core::{prefix, scheduler};
use futures::StreamExt;

use crate::{clock, platform, state, target};

/// Interval at which the daemon checks whether it has become a scheduler.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Uptime after which peer discovery counts as complete, however few daemons were found.
const MAX_DISCOVERY_MS: u64 = 1_500;
/// Time limit for an engine's response.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Engines that are read concurrently.
const MAX_CONCURRENT_CALLS: usize = 16;

/// Period in which other daemons report to this one which parts they send to engines.
#[derive(Clone, Copy, Debug, Default)]
struct InformedPeriod {
    since_ms: Option<u64>,
    /// Whether the engines have been read in this period.
    has_read: bool,
}

/// Reads the cached parts of engines whenever this daemon becomes a scheduler without knowing them.
pub async fn run<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
) {
    let mut period = InformedPeriod::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if state.phase.get() == state::RelayPhase::Draining {
            return;
        }
        let now_ms = clock::now_ms();
        if !state.is_ready() || !has_discovered_peers(&state, now_ms) {
            continue;
        }
        let candidates = super::candidates(&state, now_ms);
        let mut all = candidates.iter();
        let Some(position) = all.position(|candidate| candidate.daemon_hash == state.daemon_hash)
        else {
            continue;
        };
        if position >= scheduler::informed_count(candidates.len()) {
            period = InformedPeriod::default();
            continue;
        }
        let since_ms = *period.since_ms.get_or_insert(now_ms);
        let is_scheduler = position < scheduler::scheduler_count(candidates.len());
        let is_informed = super::is_warm(now_ms.saturating_sub(since_ms));
        let engines = engines(&state);
        if is_scheduler && !period.has_read && !is_informed && !engines.is_empty() {
            period.has_read = true;
            read_all(&state, &engines).await;
        }
    }
}

/// Whether at least half of the registered daemons are known. Before that, every daemon would
/// consider itself the scheduler and read the engines, and each call takes time of an engine.
fn has_discovered_peers<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> bool {
    let registered = state.registered_hosts.get();
    let has_majority = registered > 0 && 2 * state.peers.borrow().member_count() >= registered;
    has_majority || now_ms.saturating_sub(state.started_ms) >= MAX_DISCOVERY_MS
}

fn engines<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
) -> Vec<rc::Rc<target::TargetState>> {
    let targets = state.targets.borrow();
    let now_ms = clock::now_ms();
    let engines = targets
        .iter()
        .filter(|target| target.entry.stage.is_some() && !target.is_blocked(now_ms));
    engines.cloned().collect()
}

async fn read_all<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    engines: &[rc::Rc<target::TargetState>],
) {
    let started_ms = clock::now_ms();
    let affordable = scheduler::engines_to_read(state.settings.capacity_millicores, engines.len());
    // The iteration order is arbitrary, so this is a sample of a large fleet.
    let read_engines = engines.iter().take(affordable);
    let calls = read_engines.map(|engine| read(state, engine));
    let counts: Vec<Option<usize>> = futures::stream::iter(calls)
        .buffer_unordered(MAX_CONCURRENT_CALLS)
        .collect()
        .await;
    log::info!(
        engines = engines.len(), answered = counts.iter().flatten().count(),
        parts = counts.iter().flatten().sum::<usize>(),
        elapsed_ms = clock::now_ms().saturating_sub(started_ms);
        "holdings_read"
    );
}

/// Reads the cached parts of one engine and returns their number, or `None` if the call fails.
async fn read<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    engine: &target::TargetState,
) -> Option<usize> {
    let path = state.codec.cached_parts_path();
    let response = target::call(state, engine, http::Method::GET, path, CALL_TIMEOUT).await;
    let cached = response.and_then(|body| {
        let cached = state.codec.read_cached_parts(&body);
        cached.ok_or_else(|| "invalid list of cached parts".to_owned())
    });
    let cached = match cached {
        Ok(cached) => cached,
        Err(error) => {
            log::info!(target_id = engine.entry.id.as_str(), error = error.as_str(); "holdings_failed");
            return None;
        }
    };
    let parts: Vec<prefix::PromptPart> = cached
        .iter()
        .map(|part| prefix::PromptPart::new(&part.model, &part.id, part.tokens))
        .collect();
    let now_ms = clock::now_ms();
    engine.parts.borrow_mut().record_use(&parts, now_ms, now_ms);
    Some(parts.len())
}
