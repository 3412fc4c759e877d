//! Refusal of requests that crash targets, and detection of crashes.

use std::{
    io, rc,
    time::{Duration, Instant},
};

use acaciabank_core::{outlier, suspect};
use acaciabank_protocol::verdict::Verdict;

use super::{refusal::RefusalResponse, request::RelayRequest};
use crate::{clock, connection, platform, scheduler, state, target, telemetry::RefusalCause};

/// Timeout of the connection attempt that tells whether a target has crashed.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a connection has to stay open to show that the target runs.
const STABLE_TIME: Duration = Duration::from_millis(20);

/// Refuses a request that targets have crashed on, or that has a prompt part on which they have.
/// `verdict` is that of the attempts so far.
pub fn check<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    verdict: Verdict,
) -> Result<(), RefusalResponse> {
    let now_ms = clock::now_ms();
    let refuse = |cause| {
        Err(RefusalResponse {
            cause,
            // The caller must not be told to send the request again.
            verdict: verdict.combine(Verdict::MayHaveRun),
            retry_after_ms: None,
        })
    };
    let refused = state
        .suspects
        .borrow()
        .refused_key(&request.suspect_keys, now_ms);
    let Some(key) = refused else {
        return Ok(());
    };
    let part_id = part_id(request, key);
    if is_trial(state, request, key, now_ms) {
        log::info!(id = request.id.as_str(), part = part_id; "suspect_tried");
        return Ok(());
    }
    match part_id {
        Some(part_id) => {
            log::info!(id = request.id.as_str(), part = part_id; "part_refused");
            refuse(RefusalCause::CrashPart)
        }
        None => refuse(RefusalCause::CrashSuspect),
    }
}

/// Returns the id of the prompt part that a key names; `None` if it names the whole request.
fn part_id(request: &RelayRequest, key: u64) -> Option<&str> {
    let position = request.shared_keys().iter().position(|part| *part == key)?;
    request.shared_part_ids().get(position).copied()
}

/// Records that a target has answered a request, or begun to.
pub fn record_answer<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
) {
    let now_ms = clock::now_ms();
    let mut suspects = state.suspects.borrow_mut();
    // Few requests recur, so that only answers to suspected ones are recorded. A prompt part that
    // was answered before a crash is less suspicious.
    let is_known = suspects.is_known(request.fingerprint());
    let keys = match is_known {
        true => &request.suspect_keys,
        false => request.shared_keys(),
    };
    if suspects.record_answer(keys, now_ms) {
        state.report_now.notify_one();
    }
}

/// Whether a request runs as a trial of a refused key. Only the daemon of the first rank makes
/// trials, so that there is one at a time. A trial ends with the next crash.
fn is_trial<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    key: u64,
    now_ms: u64,
) -> bool {
    let mut suspects = state.suspects.borrow_mut();
    if let Some(trial_ms) = request.trial_ms.get() {
        return suspects.last_crash_ms(key) < trial_ms;
    }
    let is_first = scheduler::own_rank(state, now_ms) == 0;
    let is_trial = is_first && suspects.try_key(key, now_ms);
    if is_trial {
        request.trial_ms.set(Some(now_ms));
    }
    is_trial
}

/// A request whose connection broke before the target sent any output of it.
#[derive(Clone, Debug)]
struct BrokenCall {
    id: String,
    suspect_keys: Vec<u64>,
    /// Whether it ran as a trial.
    is_trial: bool,
    /// Ids of the shared parts, for the log.
    part_ids: String,
    /// Time by [`clock::now_ms`] at which it was sent to the target.
    sent_ms: u64,
    /// Time at which the connection broke.
    broken_ms: u64,
}

/// Records a crash if a target refuses connections after the connection of a request broke that had
/// no output yet. A broken connection alone is not enough, because connections also break for other
/// reasons, nor is an unanswered connection attempt: the network may be cut.
pub fn confirm_crash<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    target: &rc::Rc<target::TargetState>,
    sent_ms: u64,
) {
    let call = BrokenCall {
        id: request.id.clone(),
        suspect_keys: request.suspect_keys.clone(),
        is_trial: request.trial_ms.get().is_some(),
        part_ids: request.shared_part_ids().join(","),
        sent_ms,
        broken_ms: clock::now_ms(),
    };
    let state = rc::Rc::clone(state);
    let target = rc::Rc::clone(target);
    tokio::task::spawn_local(async move {
        match connect_stable(&target).await {
            Ok(connection) => target.pool.put(connection, None),
            Err(error) => {
                state.record_outcome(&target, outlier::TargetOutcome::Unreachable);
                if error.kind() == io::ErrorKind::ConnectionRefused {
                    record_crash(&state, &target, &call);
                }
            }
        }
    });
}

/// Opens a connection that stays open for [`STABLE_TIME`]. The listener of a process that ends may
/// accept connections for a moment after the process has closed its other ones.
async fn connect_stable(target: &target::TargetState) -> io::Result<connection::TargetConnection> {
    let deadline = Instant::now() + CONFIRM_TIMEOUT;
    loop {
        let timeout = deadline.saturating_duration_since(Instant::now());
        let connection =
            connection::TargetConnection::connect(target.entry.address, timeout).await?;
        tokio::time::sleep(STABLE_TIME).await;
        if connection.is_ready() {
            return Ok(connection);
        }
    }
}

fn record_crash<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    target: &target::TargetState,
    call: &BrokenCall,
) {
    log::info!(
        id = call.id.as_str(), target_id = target.entry.id.as_str(),
        fingerprint = call.suspect_keys[0], parts = call.part_ids.as_str(),
        is_trial = call.is_trial, in_flight_ms = call.broken_ms.saturating_sub(call.sent_ms);
        "target_crashed"
    );
    let target_hash = target.hash as u32;
    let mut suspects = state.suspects.borrow_mut();
    let record = match call.is_trial {
        true => suspect::SuspectTable::record_trial_crash,
        false => suspect::SuspectTable::record_crash,
    };
    let (sent_ms, broken_ms) = (call.sent_ms, call.broken_ms);
    record(
        &mut suspects,
        &call.suspect_keys,
        target_hash,
        sent_ms,
        broken_ms,
    );
    state.report_now.notify_one();
}
