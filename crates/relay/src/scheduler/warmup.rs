//! What engines hold, read by a scheduler that has not heard of it.
//!
//! Load answered: all daemons start again together while the engines still hold the shared parts.
//! Processing them again takes most of the engines' time for some seconds.

use std::{rc, time::Duration};

use acaciabank_core::{parts, scheduler};
use futures::StreamExt;

use crate::{clock, edge, state, target};

/// Time between two looks whether this daemon has become a scheduler.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the start after which the other daemons count as found, however few they are.
const ACQUAINTANCE_MS: u64 = 1_500;
/// Time for an engine's answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Engines that are asked at once.
const CONCURRENT_CALLS: usize = 16;

/// Since when this daemon hears what the others send to engines.
#[derive(Clone, Copy, Debug, Default)]
struct InformedSpan {
    since_ms: Option<u64>,
    has_read: bool,
}

/// Reads what the engines hold whenever this daemon becomes a scheduler without knowing it.
pub async fn run<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: state::SharedState<Codec, Store>,
) {
    let mut span = InformedSpan::default();
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        if state.phase.get() == state::RelayPhase::Draining {
            return;
        }
        let now_ms = clock::now_ms();
        if !state.is_ready() || !is_acquainted(&state, now_ms) {
            continue;
        }
        let candidates = super::candidates(&state, now_ms);
        let mut all = candidates.iter();
        let Some(position) = all.position(|candidate| candidate.name == state.host_hash) else {
            continue;
        };
        if position >= scheduler::informed(candidates.len()) {
            span = InformedSpan::default();
            continue;
        }
        let since_ms = *span.since_ms.get_or_insert(now_ms);
        let is_scheduler = position < scheduler::count(candidates.len());
        let is_informed = super::is_warm(now_ms.saturating_sub(since_ms));
        let engines = engines(&state);
        if is_scheduler && !span.has_read && !is_informed && !engines.is_empty() {
            span.has_read = true;
            read_all(&state, &engines).await;
        }
    }
}

/// Whether most of the listed daemons have been heard. Before that every daemon would take itself for
/// the scheduler, and a call takes time of the engine's.
fn is_acquainted<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> bool {
    let listed = state.listed_hosts.get();
    let is_met = listed > 0 && 2 * state.peers.borrow().member_count() >= listed;
    is_met || now_ms.saturating_sub(state.started_ms) >= ACQUAINTANCE_MS
}

fn engines<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::RelayState<Codec, Store>,
) -> Vec<rc::Rc<target::TargetState>> {
    let targets = state.targets.borrow();
    let engines = targets.iter().filter(|target| target.entry.stage.is_some());
    engines.cloned().collect()
}

async fn read_all<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
    engines: &[rc::Rc<target::TargetState>],
) {
    let started_ms = clock::now_ms();
    let affordable = scheduler::engines_to_read(state.settings.capacity_millicores, engines.len());
    // The list has no order, so large fleets are sampled.
    let read_engines = engines.iter().take(affordable);
    let calls = read_engines.map(|engine| read(state, engine));
    let counts: Vec<Option<usize>> = futures::stream::iter(calls)
        .buffer_unordered(CONCURRENT_CALLS)
        .collect()
        .await;
    log::info!(
        engines = engines.len(), answered = counts.iter().flatten().count(),
        parts = counts.iter().flatten().sum::<usize>(),
        elapsed_ms = clock::now_ms().saturating_sub(started_ms);
        "holdings_read"
    );
}

/// Reads what one engine holds; the number of parts, unless it does not answer.
async fn read<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
    engine: &target::TargetState,
) -> Option<usize> {
    let path = state.codec.holdings_path();
    let answer = engine.call(http::Method::GET, path, CALL_TIMEOUT).await;
    let held = answer.and_then(|body| {
        let held = state.codec.read_holdings(&body);
        held.ok_or_else(|| "the answer cannot be read".to_owned())
    });
    let held = match held {
        Ok(held) => held,
        Err(error) => {
            log::info!(target_id = engine.entry.id.as_str(), error = error.as_str(); "holdings_failed");
            return None;
        }
    };
    let parts: Vec<parts::PromptPart> = held
        .iter()
        .map(|part| parts::PromptPart::new(&part.model, &part.id, part.tokens))
        .collect();
    let now_ms = clock::now_ms();
    engine.parts.borrow_mut().record_use(&parts, now_ms, now_ms);
    Some(parts.len())
}
