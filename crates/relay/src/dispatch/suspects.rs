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
    let status = state.suspects.borrow().status(request.fingerprint, now_ms);
    if status == suspect::SuspectStatus::Refused {
        return refuse(RefusalCause::CrashSuspect);
    }
    let refused = state
        .part_suspects
        .borrow()
        .refused_part(&request.shared_keys, now_ms);
    let Some(part) = refused else {
        return Ok(());
    };
    let position = request.shared_keys.iter().position(|key| *key == part);
    let ids = request.shared_part_ids();
    let part_id = position.map_or("", |position| ids[position]);
    if is_trial(state, request, part, now_ms) {
        log::info!(id = request.id.as_str(), part = part_id; "part_tried");
        return Ok(());
    }
    log::info!(id = request.id.as_str(), part = part_id; "part_refused");
    refuse(RefusalCause::CrashPart)
}

/// Whether a request runs as a trial of a refused part. Only the daemon of the first rank makes
/// trials, so that there is one at a time. A trial ends with the next crash.
fn is_trial<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    part: u64,
    now_ms: u64,
) -> bool {
    let mut suspects = state.part_suspects.borrow_mut();
    if let Some(trial_ms) = request.trial_ms.get() {
        return suspects.last_crash_ms(part) < trial_ms;
    }
    let is_first = scheduler::own_rank(state, now_ms) == 0;
    let is_trial = is_first && suspects.try_part(part, now_ms);
    if is_trial {
        request.trial_ms.set(Some(now_ms));
    }
    is_trial
}

/// A request whose connection broke before the target sent any output of it.
#[derive(Clone, Debug)]
struct BrokenCall {
    id: String,
    fingerprint: u64,
    shared_keys: Vec<u64>,
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
        fingerprint: request.fingerprint,
        shared_keys: request.shared_keys.clone(),
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
        fingerprint = call.fingerprint, parts = call.part_ids.as_str(),
        in_flight_ms = call.broken_ms.saturating_sub(call.sent_ms);
        "target_crashed"
    );
    let target_hash = target.hash as u32;
    state
        .suspects
        .borrow_mut()
        .record_crash(call.fingerprint, target_hash, call.broken_ms);
    state.part_suspects.borrow_mut().record_crash(
        &call.shared_keys,
        target_hash,
        call.sent_ms,
        call.broken_ms,
    );
    state.report_now.notify_one();
}
