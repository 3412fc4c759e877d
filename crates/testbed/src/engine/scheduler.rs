//! The step loop: each step processes one chunk of prompts and decodes one token of each decoding
//! request.

use std::{process, sync, time};

use acaciabank_protocol::settings;
use tokio::sync::mpsc;

use super::{EngineCore, EngineState};

/// Speed of prefill in the decode role and of decode in the prefill role, as a factor.
const OTHER_PHASE_FACTOR: f64 = 0.35;
/// Speed of both phases in the mixed role, as a factor.
const MIXED_FACTOR: f64 = 0.7;
/// Maximum wait before an idle loop checks again for cancelled requests and finished transfers, and
/// maximum delay that later steps make up for.
const MAX_WAIT: time::Duration = time::Duration::from_millis(20);

/// Progress of a request, sent to the task that writes its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SequenceEvent {
    /// The token with this index was generated.
    Token(u64),
    /// All tokens have been generated.
    Done,
}

/// A request that waits or runs at the engine.
pub(super) struct Sequence {
    pub attempt: String,
    pub priority: i64,
    /// Number of the request in order of arrival; identifies the sequence.
    pub arrival_number: u64,
    /// Hashes of the pieces of the prompt.
    pub pieces: Vec<u64>,
    /// Prompt tokens plus the tokens that another engine has already generated.
    pub context_tokens: u64,
    /// Tokens to process before the next token can be generated; set when the sequence starts.
    pub remaining_prefill_tokens: u64,
    pub is_prefilled: bool,
    /// End of the transfer of the KV cache from another engine; `None` if there is no transfer.
    pub transfer_ends_at: Option<time::Instant>,
    /// Index of the next token to generate.
    pub next_token: u64,
    pub max_tokens: u64,
    /// Whether the process exits at the first decode step of this sequence.
    pub crashes_engine: bool,
    pub is_cancelled: bool,
    pub events: mpsc::UnboundedSender<SequenceEvent>,
}

impl Sequence {
    /// Whether the request was cancelled or its client disconnected.
    fn is_abandoned(&self) -> bool {
        self.is_cancelled || self.events.is_closed()
    }

    fn is_transferring(&self) -> bool {
        self.transfer_ends_at
            .is_some_and(|transfer_ends_at| time::Instant::now() < transfer_ends_at)
    }

    fn is_decoding(&self) -> bool {
        self.is_prefilled && !self.is_transferring()
    }
}

/// Returns the factors on the speed of prefill and of decode.
fn role_factors(role: settings::EngineRole) -> (f64, f64) {
    match role {
        settings::EngineRole::Mixed => (MIXED_FACTOR, MIXED_FACTOR),
        settings::EngineRole::Prefill => (1.0, OTHER_PHASE_FACTOR),
        settings::EngineRole::Decode => (OTHER_PHASE_FACTOR, 1.0),
    }
}

/// Work and duration of one step.
struct StepPlan {
    /// Arrival numbers of prefilling sequences, with the prompt tokens to process.
    chunks: Vec<(u64, u64)>,
    /// Arrival numbers of decoding sequences.
    decoding: Vec<u64>,
    duration: time::Duration,
}

/// Runs steps until the process ends.
pub(super) async fn run(state: sync::Arc<EngineState>) {
    let mut deadline = time::Instant::now();
    loop {
        let plan = plan_step(&state);
        let Some(plan) = plan else {
            let _ = tokio::time::timeout(MAX_WAIT, state.scheduler_wakeup.notified()).await;
            continue;
        };
        // Timers are coarser than short steps, so a step that ends late shortens the next ones.
        let now = time::Instant::now();
        deadline = deadline.max(now - MAX_WAIT) + plan.duration;
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
    remove_abandoned(state, core);
    admit_waiting(state, core);
    if core.faults.stall {
        return None;
    }
    let mut remaining_tokens = state.options.chunk_tokens;
    let mut chunks = Vec::new();
    let mut decoding = Vec::new();
    for sequence in &core.running {
        if sequence.is_decoding() {
            decoding.push(sequence.arrival_number);
        } else if !sequence.is_prefilled && remaining_tokens > 0 {
            let tokens = sequence.remaining_prefill_tokens.min(remaining_tokens);
            remaining_tokens -= tokens;
            chunks.push((sequence.arrival_number, tokens));
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
    // A step that only processes prompts doesn't take the base time of decoding.
    let decode_ms = if decoding.is_empty() { 0.0 } else { decode_ms };
    Some(StepPlan {
        chunks,
        decoding,
        duration: state.scaled(prefill_ms + decode_ms),
    })
}

fn remove_abandoned(state: &EngineState, core: &mut EngineCore) {
    let mut should_keep = |sequence: &Sequence| {
        if sequence.is_abandoned() {
            state.record("cancelled", &sequence.attempt);
        }
        !sequence.is_abandoned()
    };
    core.waiting.retain(&mut should_keep);
    core.running.retain(&mut should_keep);
}

fn admit_waiting(state: &EngineState, core: &mut EngineCore) {
    while core.running.len() < state.options.slots && !core.waiting.is_empty() {
        let queue_key = |sequence: &Sequence| (sequence.priority, sequence.arrival_number);
        let waiting = core.waiting.iter().enumerate();
        let first = waiting.min_by_key(|(_, sequence)| queue_key(sequence));
        let index = first.map_or(0, |(index, _)| index);
        let mut sequence = core.waiting.remove(index);
        let cached_pieces = core.cache.match_prefix(&sequence.pieces) as u64;
        let cached_tokens = cached_pieces * u64::from(state.options.piece_tokens);
        // The last token of the context is always processed, as it yields the next token.
        sequence.remaining_prefill_tokens =
            sequence.context_tokens.saturating_sub(cached_tokens).max(1);
        if sequence.transfer_ends_at.is_some() {
            sequence.remaining_prefill_tokens = 0;
            sequence.is_prefilled = true;
            core.cache.store(&sequence.pieces);
        }
        state.journal.record(serde_json::json!({
            "event": "started", "engine": state.options.name, "attempt": sequence.attempt,
            "prefill_tokens": sequence.remaining_prefill_tokens, "cached_tokens": cached_tokens,
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
            .find(|(arrival_number, _)| *arrival_number == sequence.arrival_number);
        if let Some((_, tokens)) = chunk {
            sequence.remaining_prefill_tokens -= tokens;
            if sequence.remaining_prefill_tokens == 0 {
                sequence.is_prefilled = true;
                core.cache.store(&sequence.pieces);
            }
        }
        if plan.decoding.contains(&sequence.arrival_number) {
            decode_token(state, sequence);
        }
    }
    core.running.retain(|sequence| {
        let is_finished = sequence.is_prefilled && sequence.next_token >= sequence.max_tokens;
        if is_finished && !sequence.is_abandoned() {
            state.record("finished", &sequence.attempt);
            let _ = sequence.events.send(SequenceEvent::Done);
        }
        !is_finished || sequence.is_abandoned()
    });
}

fn decode_token(state: &EngineState, sequence: &mut Sequence) {
    if sequence.crashes_engine {
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
