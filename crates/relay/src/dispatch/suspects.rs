//! Refusal of requests that crash targets, and detection of crashes.

use std::{
    io, rc,
    time::{Duration, Instant},
};

use acaciabank_core::{outlier, suspect};
use acaciabank_protocol::verdict::Verdict;

use super::{refusal::RefusalResponse, request::RelayRequest};
use crate::{clock, connection, platform, state, target, telemetry::RefusalCause, trial};

/// Timeout of the connection attempt that tells whether a target has crashed.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a connection has to stay open to show that the target runs.
const STABLE_TIME: Duration = Duration::from_millis(20);

/// Longest wait of a suspect for its trial or the answer of another one. A target crashes, or begins
/// to answer, within this time.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// Longest share of the remaining time that a suspect waits: it should still be served afterwards.
const MAX_WAIT_SHARE: u32 = 2;
/// Longest time between two looks at what is known of a suspect that waits.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which a caller may send a suspect again that has waited in vain.
const RETRY_AFTER_MS: u64 = 1_000;
/// Longest wait of a retry for the confirmation that its last target has crashed. It seldom takes
/// longer if the target has.
const CONFIRM_WAIT: Duration = Duration::from_millis(50);

/// Waits until a request may run that is a crash suspect: until it or a request that shares its
/// suspected keys is answered, or until it is granted a trial. Other requests do not wait. `verdict`
/// is that of the attempts so far.
pub async fn wait_turn<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    verdict: Verdict,
) -> Result<(), RefusalResponse> {
    await_confirmation(request).await;
    if !is_suspect(state, request) {
        return Ok(());
    }
    let wait = MAX_WAIT.min(request.remaining() / MAX_WAIT_SHARE);
    let deadline = Instant::now() + wait;
    let mut slot = None;
    loop {
        if check(state, request, verdict)? {
            return Ok(());
        }
        let now_ms = clock::now_ms();
        let open_keys = {
            let suspects = state.suspects.borrow();
            suspects.open_keys(&request.suspect_keys, now_ms)
        };
        if state.trials.may_ask(&open_keys, now_ms) {
            match trial::request_trial(state, &request.suspect_keys, &open_keys).await {
                Ok(permit) => {
                    log::info!(id = request.id.as_str(), answer:? = permit.answer; "suspect_tried");
                    request.trial.replace(Some(rc::Rc::new(permit)));
                    return Ok(());
                }
                Err(suspect::TrialAnswer::Refused) => return Err(refuse(state, request, verdict)),
                Err(_) => {}
            }
        } else if refused_key(state, request).is_some() {
            // Only the request that asks may become the trial of a refused key.
            return Err(refuse(state, request, verdict));
        }
        if slot.is_none() {
            slot = state.trials.enter(request.body.len());
        }
        if slot.is_none() || Instant::now() >= deadline {
            log::info!(id = request.id.as_str(), keys = open_keys.len(); "suspect_held_back");
            return Err(hold_back(verdict));
        }
        let changed = state.trials.wait_changed();
        // A timeout only leads to the next look.
        let _ = tokio::time::timeout(POLL_INTERVAL, changed).await;
    }
}

/// Waits for a moment until it is known whether the target of the last attempt has crashed.
async fn await_confirmation(request: &RelayRequest) {
    let confirmation = request.confirmation.take();
    if let Some(confirmation) = confirmation {
        // The task goes on after a timeout.
        let _ = tokio::time::timeout(CONFIRM_WAIT, confirmation).await;
    }
}

/// Whether a request has a key on which a target has crashed since it was last answered. One that a
/// target has begun to answer does not crash targets.
fn is_suspect<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
) -> bool {
    let suspects = state.suspects.borrow();
    if suspects.is_empty() || request.has_output.get() {
        return false;
    }
    let status = suspects.status(&request.suspect_keys, clock::now_ms());
    status != suspect::SuspectStatus::Clear
}

/// Returns whether a request may be sent to a target now, or has to wait for its turn first. Refuses
/// one that targets have crashed on, or that has a prompt part on which they have. A trial counts as
/// sent from then on.
pub fn check<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    verdict: Verdict,
) -> Result<bool, RefusalResponse> {
    let status = {
        let suspects = state.suspects.borrow();
        if suspects.is_empty() || request.has_output.get() {
            return Ok(true);
        }
        let now_ms = clock::now_ms();
        if let Some(trial) = request.trial.borrow().as_ref() {
            let open_keys = suspects.open_keys(&request.suspect_keys, now_ms);
            // A trial ends with the next crash.
            let is_valid = |key: &u64| suspects.last_crash_ms(*key) <= trial.granted_ms;
            if open_keys.iter().all(is_valid) {
                trial.was_sent.set(true);
                return Ok(true);
            }
        }
        suspects.status(&request.suspect_keys, now_ms)
    };
    request.trial.take();
    match status {
        suspect::SuspectStatus::Clear => Ok(true),
        suspect::SuspectStatus::Isolated => Ok(false),
        suspect::SuspectStatus::Refused => Err(refuse(state, request, verdict)),
    }
}

fn refused_key<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
) -> Option<u64> {
    let suspects = state.suspects.borrow();
    suspects.refused_key(&request.suspect_keys, clock::now_ms())
}

/// Creates the refusal of a request that is known to crash targets.
fn refuse<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    verdict: Verdict,
) -> RefusalResponse {
    let part_id = refused_key(state, request).and_then(|key| part_id(request, key));
    let cause = match part_id {
        Some(part_id) => {
            log::info!(id = request.id.as_str(), part = part_id; "part_refused");
            RefusalCause::CrashPart
        }
        None => RefusalCause::CrashSuspect,
    };
    RefusalResponse {
        cause,
        // The caller must not be told to send the request again.
        verdict: verdict.combine(Verdict::MayHaveRun),
        retry_after_ms: None,
    }
}

/// Creates the refusal of a suspect that may be sound.
fn hold_back(verdict: Verdict) -> RefusalResponse {
    let refusal = RefusalResponse::after(RefusalCause::HeldBack, verdict);
    RefusalResponse {
        retry_after_ms: refusal.retry_after_ms.map(|_| RETRY_AFTER_MS),
        ..refusal
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
    request.has_output.set(true);
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
        state.trials.wake_waiting();
    }
    drop(suspects);
    // The end of a trial is reported with the answer.
    request.trial.take();
}

/// A request whose connection broke before the target sent any output of it.
#[derive(Clone, Debug)]
struct BrokenCall {
    id: String,
    suspect_keys: Vec<u64>,
    /// Permission by which it ran. The trial ends once the crash is recorded.
    trial: Option<rc::Rc<trial::TrialPermit>>,
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
        trial: request.trial.borrow().clone(),
        part_ids: request.shared_part_ids().join(","),
        sent_ms,
        broken_ms: clock::now_ms(),
    };
    let state = rc::Rc::clone(state);
    let target = rc::Rc::clone(target);
    let confirmation = tokio::task::spawn_local(async move {
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
    request.confirmation.replace(Some(confirmation));
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
        trial:? = call.trial.as_ref().map(|trial| trial.answer), in_flight_ms = call.broken_ms.saturating_sub(call.sent_ms);
        "target_crashed"
    );
    let target_hash = target.hash as u32;
    let mut suspects = state.suspects.borrow_mut();
    let (keys, sent_ms, broken_ms) = (&call.suspect_keys, call.sent_ms, call.broken_ms);
    match &call.trial {
        Some(trial) if trial.answer == suspect::TrialAnswer::GrantedAtOnce => {
            suspects.record_at_once_crash(keys, target_hash, trial.granted_ms, broken_ms);
        }
        Some(trial) if trial.answer == suspect::TrialAnswer::Granted => {
            suspects.record_crash(keys, target_hash, sent_ms, broken_ms);
            suspects.record_trial_crash(&trial.open_keys, target_hash, sent_ms, broken_ms);
        }
        _ => suspects.record_crash(keys, target_hash, sent_ms, broken_ms),
    }
    drop(suspects);
    state.report_now.notify_one();
    state.trials.wake_waiting();
}
