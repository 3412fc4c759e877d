//! The step loop: each step processes one chunk of prompts and one token of each decoding request.

use std::{process, sync, time};

use acaciabank_protocol::settings;
use tokio::sync::mpsc;

use super::{EngineCore, EngineState};

/// Speed of the phase that a role is not tuned for.
const OTHER_PHASE_FACTOR: f64 = 0.35;
/// Speed of both phases in the mixed role.
const MIXED_FACTOR: f64 = 0.7;
/// Longest time without a look at cancelled requests and transfers.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(20);

/// What a request learns while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SequenceEvent {
    /// The token with this index.
    Token(u64),
    /// No more tokens follow.
    Done,
}

/// One request at an engine.
pub(super) struct Sequence {
    pub attempt: String,
    pub priority: i64,
    pub arrival: u64,
    pub pieces: Vec<u64>,
    /// Prompt tokens and tokens generated elsewhere.
    pub context_tokens: u64,
    /// Tokens to process before the next token can be generated; set on admission.
    pub prefill_left: u64,
    pub is_prefilled: bool,
    /// End of the transfer of KV cache from another engine.
    pub transferred_at: Option<time::Instant>,
    pub next_token: u64,
    pub max_tokens: u64,
    pub is_crashing: bool,
    pub is_cancelled: bool,
    pub events: mpsc::UnboundedSender<SequenceEvent>,
}

impl Sequence {
    fn is_over(&self) -> bool {
        self.is_cancelled || self.events.is_closed()
    }

    fn is_transferring(&self) -> bool {
        self.transferred_at
            .is_some_and(|transferred_at| time::Instant::now() < transferred_at)
    }

    fn is_decoding(&self) -> bool {
        self.is_prefilled && !self.is_transferring()
    }
}

/// Factors on the speed of prefill and decode.
fn role_factors(role: settings::EngineRole) -> (f64, f64) {
    match role {
        settings::EngineRole::Mixed => (MIXED_FACTOR, MIXED_FACTOR),
        settings::EngineRole::Prefill => (1.0, OTHER_PHASE_FACTOR),
        settings::EngineRole::Decode => (OTHER_PHASE_FACTOR, 1.0),
    }
}

/// Work of one step.
struct StepPlan {
    chunks: Vec<(u64, u64)>,
    decoding: Vec<u64>,
    duration: time::Duration,
}

/// Runs steps until the process ends.
pub(super) async fn run(state: sync::Arc<EngineState>) {
    let mut deadline = time::Instant::now();
    loop {
        let plan = plan_step(&state);
        let Some(plan) = plan else {
            let _ = tokio::time::timeout(MAX_PAUSE, state.work.notified()).await;
            continue;
        };
        // Timers are coarser than short steps; a late step shortens the wait of the next ones.
        let now = time::Instant::now();
        deadline = deadline.max(now - MAX_PAUSE) + plan.duration;
        if deadline > now {
            tokio::time::sleep_until(deadline.into()).await;
        } else {
            tokio::task::yield_now().await;
        }
        apply_step(&state, &plan);
    }
}

fn plan_step(state: &EngineState) -> Option<StepPlan> {
    let mut core = state.core();
    let core = &mut *core;
    remove_cancelled(state, core);
    admit_waiting(state, core);
    if core.faults.stall {
        return None;
    }
    let mut budget = state.options.chunk_tokens;
    let mut chunks = Vec::new();
    let mut decoding = Vec::new();
    for sequence in &core.running {
        if sequence.is_decoding() {
            decoding.push(sequence.arrival);
        } else if !sequence.is_prefilled && budget > 0 {
            let tokens = sequence.prefill_left.min(budget);
            budget -= tokens;
            chunks.push((sequence.arrival, tokens));
        }
    }
    if chunks.is_empty() && decoding.is_empty() {
        return None;
    }
    let (prefill_factor, decode_factor) = role_factors(core.role);
    let chunk_tokens: u64 = chunks.iter().map(|(_, tokens)| tokens).sum();
    let rate = state.options.prefill_tokens_per_second * prefill_factor;
    let prefill_ms = chunk_tokens as f64 * 1_000.0 / rate;
    let sequence_ms = state.options.per_sequence_ms * decoding.len() as f64;
    let decode_ms = (state.options.decode_step_ms + sequence_ms) / decode_factor;
    // A step that only processes prompts has no base time of decoding.
    let decode_ms = if decoding.is_empty() { 0.0 } else { decode_ms };
    Some(StepPlan {
        chunks,
        decoding,
        duration: state.scaled(prefill_ms + decode_ms),
    })
}

fn remove_cancelled(state: &EngineState, core: &mut EngineCore) {
    let mut keep = |sequence: &Sequence| {
        if sequence.is_over() {
            state.record("cancelled", &sequence.attempt);
        }
        !sequence.is_over()
    };
    core.waiting.retain(&mut keep);
    core.running.retain(&mut keep);
}

fn admit_waiting(state: &EngineState, core: &mut EngineCore) {
    while core.running.len() < state.options.slots && !core.waiting.is_empty() {
        let order = |sequence: &Sequence| (sequence.priority, sequence.arrival);
        let waiting = core.waiting.iter().enumerate();
        let first = waiting.min_by_key(|(_, sequence)| order(sequence));
        let position = first.map_or(0, |(position, _)| position);
        let mut sequence = core.waiting.remove(position);
        let cached = core.cache.match_prefix(&sequence.pieces) as u64;
        let cached_tokens = cached * u64::from(state.options.piece_tokens);
        // The last token of the context is always processed: it yields the next token.
        sequence.prefill_left = sequence.context_tokens.saturating_sub(cached_tokens).max(1);
        if sequence.transferred_at.is_some() {
            sequence.prefill_left = 0;
            sequence.is_prefilled = true;
            core.cache.store(&sequence.pieces);
        }
        state.journal.record(serde_json::json!({
            "event": "started", "engine": state.options.name, "attempt": sequence.attempt,
            "prefill_tokens": sequence.prefill_left, "cached_tokens": cached_tokens,
            "resume_from": sequence.next_token,
        }));
        core.running.push(sequence);
    }
}

fn apply_step(state: &EngineState, plan: &StepPlan) {
    let mut core = state.core();
    let core = &mut *core;
    for sequence in &mut core.running {
        let chunk = plan
            .chunks
            .iter()
            .find(|(arrival, _)| *arrival == sequence.arrival);
        if let Some((_, tokens)) = chunk {
            sequence.prefill_left -= tokens;
            if sequence.prefill_left == 0 {
                sequence.is_prefilled = true;
                core.cache.store(&sequence.pieces);
            }
        }
        if plan.decoding.contains(&sequence.arrival) {
            decode_token(state, sequence);
        }
    }
    core.running.retain(|sequence| {
        let is_finished = sequence.is_prefilled && sequence.next_token >= sequence.max_tokens;
        if is_finished && !sequence.is_over() {
            state.record("finished", &sequence.attempt);
            let _ = sequence.events.send(SequenceEvent::Done);
        }
        !is_finished || sequence.is_over()
    });
}

fn decode_token(state: &EngineState, sequence: &mut Sequence) {
    if sequence.is_crashing {
        state.record("crashed", &sequence.attempt);
        process::exit(super::CRASH_STATUS);
    }
    if sequence.next_token < sequence.max_tokens {
        let _ = sequence
            .events
            .send(SequenceEvent::Token(sequence.next_token));
        sequence.next_token += 1;
    }
}
