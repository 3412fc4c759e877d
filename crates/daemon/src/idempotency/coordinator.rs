//! Executes the actions of the key state machine in the core crate for one call.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use acaciabank_core::idempotency::{KeyAction, KeyCall, KeyEvent, KeyState, RefusalKind};
use acaciabank_protocol::{ids, reason, verdict};
use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use tokio::{sync::oneshot, sync::watch, time};

use super::{
    local::{CallGuard, CallProgress, CallRole},
    objects, row,
    row::{AnswerForm, KeyRow},
    run,
    run::RecordedResponse,
};
use crate::{dispatch, peer, process, table};

/// Longest time after the write of an intent in which the request may be written to a target. It
/// covers the wait for a slot; an operator's release of a key may have to wait as long.
const MAX_DISPATCH_WINDOW: Duration = Duration::from_secs(30);
/// Largest response that is stored in the row itself; larger ones go to the object store.
const MAX_INLINE_RESPONSE_BYTES: usize = 32 << 10;
/// Longest wait per call to another daemon for the end of its run.
const MAX_REMOTE_WAIT: Duration = Duration::from_secs(5);
/// Delay before an unreachable daemon is asked again.
const REMOTE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// First delay between attempts of a background write; it doubles with each attempt.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between attempts to write an outcome in the background.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Longest delay between attempts to release a row; calls with its key are refused meanwhile.
const MAX_RELEASE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest time for which a write without a response is followed up; longer than any write can be
/// in flight.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(600);

type CallResult = Result<dispatch::CallerResponse, reason::Refusal>;

/// Runs a keyed request at most once: records the intent, dispatches and records the outcome, or
/// returns the recorded response, or waits for a concurrent run. The run continues when the caller
/// disconnects.
///
/// # Errors
///
/// Returns a refusal whose verdict states whether the request may have run.
pub async fn run_keyed(
    state: &process::SharedState,
    key: &str,
    request: dispatch::CallerRequest,
) -> Result<dispatch::CallerResponse, reason::Refusal> {
    let state = Arc::clone(state);
    let key = key.to_owned();
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        // The caller may have disconnected; the outcome is recorded nevertheless.
        let _ = sender.send(coordinate(state, key, request).await);
    });
    receiver.await.unwrap_or_else(|_| {
        Err(reason::Refusal::with_verdict(
            reason::RefusalReason::KeyUnresolved,
            verdict::Verdict::MayHaveRun,
            "the run of this request ended without an outcome",
        ))
    })
}

async fn coordinate(
    state: process::SharedState,
    key: String,
    request: dispatch::CallerRequest,
) -> CallResult {
    loop {
        match state.idempotency.join(&request.team, &key) {
            CallRole::Leader(guard) => {
                return LeadingCall::new(state, &key, request, guard).run().await;
            }
            CallRole::Follower(progress) => {
                if let Some(result) = follow(progress, &request).await {
                    return result;
                }
            }
        }
    }
}

/// Waits for the leading local call; returns `None` if that ended without a response to share.
async fn follow(
    mut progress: watch::Receiver<CallProgress>,
    request: &dispatch::CallerRequest,
) -> Option<CallResult> {
    let known = progress.wait_for(|progress| !matches!(progress, CallProgress::Active));
    match time::timeout_at(request.deadline.into(), known).await {
        Err(_) => Some(Err(refuse(RefusalKind::InProgress))),
        Ok(Err(_)) => None,
        Ok(Ok(progress)) => match &*progress {
            CallProgress::Active | CallProgress::Ended => None,
            CallProgress::Unrecorded => Some(Err(refuse(RefusalKind::TableUnavailable))),
            CallProgress::Answered {
                fingerprint,
                response,
            } if *fingerprint == request.fingerprint => Some(Ok(run::replay(response))),
            CallProgress::Answered { .. } => Some(Err(refuse(RefusalKind::Reused))),
        },
    }
}

/// The local call that coordinates a key.
struct LeadingCall {
    state: process::SharedState,
    row_key: table::RowKey,
    key: String,
    request: dispatch::CallerRequest,
    /// Keeps this call registered as the leader of the key.
    guard: CallGuard,
    /// Operation id of the last attempted write of the intent.
    operation: ids::OperationId,
    intent: KeyRow,
    /// Row version of this call's intent once it is committed.
    intent_version: u64,
    /// Time after which this call's intent no longer permits a dispatch.
    write_deadline: dispatch::WriteDeadline,
    /// The row as last read.
    last_read: Option<KeyRow>,
}

impl LeadingCall {
    fn new(
        state: process::SharedState,
        key: &str,
        request: dispatch::CallerRequest,
        guard: CallGuard,
    ) -> Self {
        let intent = KeyRow::intent(&state, &request.id, request.fingerprint);
        Self {
            row_key: row::row_key(&request.team, key),
            key: key.to_owned(),
            operation: row::new_operation_id(),
            intent,
            intent_version: 0,
            write_deadline: dispatch::WriteDeadline::after(Duration::ZERO),
            last_read: None,
            state,
            request,
            guard,
        }
    }

    async fn run(mut self) -> CallResult {
        if Instant::now() >= self.request.deadline {
            return Err(reason::Refusal::not_run(
                reason::RefusalReason::DeadlinePassed,
                "the deadline passed before the key was recorded",
            ));
        }
        let (mut call, mut action) = KeyCall::start();
        loop {
            let event = match action {
                KeyAction::Insert => self.write_intent(None).await,
                KeyAction::Claim(version) => self.write_intent(Some(version)).await,
                KeyAction::Read => self.read().await,
                // This is the only local call with the key, so no local run is in progress.
                KeyAction::AwaitLocal => KeyEvent::WaitEnded,
                KeyAction::AwaitRemote => self.await_remote().await,
                KeyAction::Dispatch => return self.dispatch(call).await,
                KeyAction::Replay => return self.replay().await,
                KeyAction::Refuse(kind) => return Err(refuse(kind)),
                KeyAction::RefuseAndRelease => {
                    self.release_in_background();
                    return Err(refuse(RefusalKind::TableUnavailable));
                }
                KeyAction::RecordDone | KeyAction::RecordReleased | KeyAction::KeepIntent => {
                    unreachable!("outcomes are recorded only after a dispatch")
                }
            };
            action = call.step(event);
        }
    }

    /// Inserts the intent, or replaces the row of version `claimed` with it.
    async fn write_intent(&mut self, claimed: Option<u64>) -> KeyEvent {
        let remaining = self
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            // Nothing is written, but an earlier run of the key may have taken effect.
            return KeyEvent::WaitTimeout;
        }
        // The window starts before the write, so that a dispatch never happens later than the row
        // states.
        let window = remaining.min(MAX_DISPATCH_WINDOW);
        self.write_deadline = dispatch::WriteDeadline::after(window);
        self.intent.dispatch_within_ms = window.as_millis() as u64;
        self.operation = row::new_operation_id();
        self.intent_version = claimed.unwrap_or(0) + 1;
        let write = table::RowWrite::Put {
            key: self.row_key.clone(),
            condition: claimed.map_or(table::RowCondition::Absent, table::RowCondition::Version),
            body: self.intent.to_body(),
            expires_unix_s: Some(self.intent.expires_unix_s()),
        };
        match self.state.table.write_grouped(&self.operation, write).await {
            Ok(()) => KeyEvent::WriteCommitted,
            Err(table::TableError::Conflict(_)) => KeyEvent::WriteConflict,
            Err(table::TableError::Unavailable(_)) => KeyEvent::WriteUnavailable,
            Err(table::TableError::Unknown(_) | table::TableError::Invalid(_)) => {
                KeyEvent::WriteUnknown
            }
        }
    }

    async fn read(&mut self) -> KeyEvent {
        let Ok(found) = self.state.table.get(&self.row_key).await else {
            return KeyEvent::ReadFailed;
        };
        let Some(found) = found else {
            return KeyEvent::RowRead(None);
        };
        let Ok(record) = KeyRow::parse(&found) else {
            log::error!("row key/{} cannot be parsed", self.row_key.name);
            return KeyEvent::ReadFailed;
        };
        let fingerprint = self.request.fingerprint;
        let view = record.view(&self.state, &found, &self.operation, fingerprint);
        if view.own_operation {
            self.intent_version = found.version;
        }
        self.last_read = Some(record);
        KeyEvent::RowRead(Some(view))
    }

    /// Waits until the daemon that wrote the intent has ended its call or no longer exists.
    async fn await_remote(&self) -> KeyEvent {
        let Some(record) = &self.last_read else {
            return KeyEvent::WaitEnded;
        };
        loop {
            let remaining = self
                .request
                .deadline
                .saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return KeyEvent::WaitTimeout;
            }
            let wait_ms = remaining.min(MAX_REMOTE_WAIT).as_millis() as u32;
            let team = &self.request.team;
            let remote_state = self
                .state
                .peers
                .await_key(&record.daemon, team, &self.key, wait_ms);
            match time::timeout_at(self.request.deadline.into(), remote_state).await {
                Err(_) => return KeyEvent::WaitTimeout,
                Ok(Ok(peer::RemoteKeyState::Running)) => {}
                Ok(Ok(peer::RemoteKeyState::Unknown | peer::RemoteKeyState::Finished)) => {
                    return KeyEvent::WaitEnded;
                }
                Ok(Err(peer::PeerError::UnknownDaemon(_))) => return KeyEvent::WaitEnded,
                Ok(Err(peer::PeerError::Unreachable(..))) => {
                    if record.holder(&self.state) == acaciabank_core::idempotency::HolderKind::Gone
                    {
                        return KeyEvent::WaitEnded;
                    }
                    time::sleep(remaining.min(REMOTE_RETRY_DELAY)).await;
                }
            }
        }
    }

    async fn dispatch(self, mut call: KeyCall) -> CallResult {
        let request = dispatch::CallerRequest {
            write_deadline: Some(self.write_deadline),
            ..self.request.clone()
        };
        let result = run::run(&self.state, request).await;
        match (
            call.step(KeyEvent::RunEnded(result.outcome)),
            result.recorded,
        ) {
            (KeyAction::RecordDone, Some(recorded)) => self.record_done(recorded).await,
            (KeyAction::RecordReleased, _) => self.record(KeyState::Released, None).await,
            _ => log::warn!(
                "request {} with key {} of team {} has no known outcome",
                self.request.id,
                self.key,
                self.request.team
            ),
        }
        result.response
    }

    async fn record_done(self, recorded: Arc<RecordedResponse>) {
        self.guard
            .publish(self.request.fingerprint, Arc::clone(&recorded));
        self.record(KeyState::Done, Some(recorded)).await;
    }

    /// Attempts once to record the outcome, then continues in the background.
    async fn record(self, state: KeyState, recorded: Option<Arc<RecordedResponse>>) {
        let mut body = self.intent.clone();
        body.state = state;
        let write = OutcomeWrite {
            state: self.state,
            row_key: self.row_key,
            intent_operation: self.operation,
            operation: row::new_operation_id(),
            version: self.intent_version,
            body,
            recorded,
            is_response_stored: false,
        };
        write.finish(self.guard).await;
    }

    /// Returns the recorded response of an earlier call.
    async fn replay(self) -> CallResult {
        let Some(record) = self.last_read else {
            return Err(refuse(RefusalKind::InProgress));
        };
        let body = read_response(&self.state, &record)
            .await
            .map_err(unreadable_response)?;
        let recorded = Arc::new(RecordedResponse {
            status: record.status.unwrap_or(200),
            content_type: record.content_type,
            body,
        });
        self.guard
            .publish(self.request.fingerprint, Arc::clone(&recorded));
        Ok(run::replay(&recorded))
    }

    /// Releases the key after a write of the intent whose result is unknown; nothing was
    /// dispatched. If the write took effect, its row is released; otherwise a released row is
    /// written in its place, so that the write cannot take effect later. Until then other daemons
    /// that read the intent wait, and calls at this daemon are refused.
    fn release_in_background(self) {
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        self.guard.mark_unrecorded();
        tokio::spawn(async move {
            let guard = self.guard;
            let mut delay = MIN_RETRY_DELAY;
            while Instant::now() < deadline && self.state.phase.get() != process::Phase::Left {
                if let Ok(found) = self.state.table.get(&self.row_key).await {
                    let is_own = found
                        .as_ref()
                        .is_some_and(|row| row.operation == self.operation);
                    let version = found.as_ref().map_or(0, |row| row.version);
                    // The row is from another write, so this call's write can no longer take
                    // effect.
                    if !is_own && version >= self.intent_version {
                        break;
                    }
                    if release(&self.state, &self.row_key, &self.intent, version).await {
                        break;
                    }
                }
                time::sleep(delay).await;
                delay = (delay * 2).min(MAX_RELEASE_RETRY_DELAY);
            }
            drop(guard);
        });
    }
}

/// Replaces the row with the given version, or inserts one for version 0, with a released row.
/// Returns whether the write is known to have taken effect.
async fn release(
    state: &process::ProcessState,
    row_key: &table::RowKey,
    intent: &KeyRow,
    version: u64,
) -> bool {
    let mut body = intent.clone();
    body.state = KeyState::Released;
    let write = table::RowWrite::Put {
        key: row_key.clone(),
        condition: match version {
            0 => table::RowCondition::Absent,
            version => table::RowCondition::Version(version),
        },
        body: body.to_body(),
        expires_unix_s: Some(body.expires_unix_s()),
    };
    let operation = row::new_operation_id();
    let written = state.table.write_grouped(&operation, write).await;
    if let Err(error) = &written {
        log::debug!("row key/{} is not released yet: {error}", row_key.name);
    }
    written.is_ok()
}

/// Write of an outcome that replaces this call's intent.
struct OutcomeWrite {
    state: process::SharedState,
    row_key: table::RowKey,
    intent_operation: ids::OperationId,
    operation: ids::OperationId,
    /// Version of the row with the intent.
    version: u64,
    body: KeyRow,
    recorded: Option<Arc<RecordedResponse>>,
    is_response_stored: bool,
}

impl OutcomeWrite {
    /// Writes the outcome, in the background if the first attempt fails. The call stays registered
    /// until then.
    async fn finish(mut self, guard: CallGuard) {
        if self.attempt().await {
            return;
        }
        tokio::spawn(async move {
            let mut delay = MIN_RETRY_DELAY;
            while self.state.phase.get() != process::Phase::Left {
                time::sleep(delay).await;
                if self.attempt().await {
                    break;
                }
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
            drop(guard);
        });
    }

    /// Makes one attempt; returns whether nothing remains to be done.
    async fn attempt(&mut self) -> bool {
        if !self.store_response().await {
            return false;
        }
        let write = table::RowWrite::Put {
            key: self.row_key.clone(),
            condition: table::RowCondition::Version(self.version),
            body: self.body.to_body(),
            expires_unix_s: Some(self.body.expires_unix_s()),
        };
        match self.state.table.write_grouped(&self.operation, write).await {
            Ok(()) => true,
            Err(table::TableError::Conflict(_)) => self.is_settled().await,
            Err(error) => {
                log::warn!("outcome of key/{} not written: {error}", self.row_key.name);
                false
            }
        }
    }

    /// Whether a conflict is final: the row contains this outcome from an earlier attempt, or an
    /// operator changed it.
    async fn is_settled(&self) -> bool {
        match self.state.table.get(&self.row_key).await {
            Err(_) => false,
            Ok(Some(found)) if found.operation == self.operation => true,
            Ok(_) => {
                log::error!(
                    "outcome of key/{} dropped: the row was changed",
                    self.row_key.name
                );
                true
            }
        }
    }

    /// Puts the response into the row or the object store; returns false if that must be retried.
    async fn store_response(&mut self) -> bool {
        let Some(recorded) = self.recorded.clone() else {
            return true;
        };
        if self.is_response_stored {
            return true;
        }
        self.body.status = Some(recorded.status);
        self.body.content_type = recorded.content_type.clone();
        let address = self.state.settings.object_store_address;
        let (form, answer) = match address {
            Some(address) if recorded.body.len() > MAX_INLINE_RESPONSE_BYTES => {
                let name = objects::object_name(&self.row_key, &self.intent_operation);
                if let Err(error) = objects::put(address, &name, recorded.body.clone()).await {
                    log::warn!(
                        "response of key/{} not stored in the object store: {error}",
                        self.row_key.name
                    );
                    return false;
                }
                (Some(AnswerForm::Object), Some(name))
            }
            // Without an object store the outcome is recorded without the response.
            None if recorded.body.len() > MAX_INLINE_RESPONSE_BYTES => (None, None),
            _ => encode(&recorded.body),
        };
        self.body.answer_form = form;
        self.body.answer = answer;
        self.is_response_stored = true;
        true
    }
}

fn encode(body: &Bytes) -> (Option<AnswerForm>, Option<String>) {
    match std::str::from_utf8(body) {
        Ok(text) => (Some(AnswerForm::Text), Some(text.to_owned())),
        Err(_) => (Some(AnswerForm::Base64), Some(BASE64_STANDARD.encode(body))),
    }
}

async fn read_response(state: &process::ProcessState, record: &KeyRow) -> Result<Bytes, String> {
    let (Some(form), Some(answer)) = (record.answer_form, &record.answer) else {
        return Err("the answer was too large to be kept".to_owned());
    };
    match form {
        AnswerForm::Text => Ok(Bytes::from(answer.clone())),
        AnswerForm::Base64 => BASE64_STANDARD
            .decode(answer)
            .map(Bytes::from)
            .map_err(|error| error.to_string()),
        AnswerForm::Object => {
            let address = state
                .settings
                .object_store_address
                .ok_or_else(|| "no object store in the settings".to_owned())?;
            objects::get(address, answer)
                .await
                .map_err(|error| error.to_string())
        }
    }
}

fn unreadable_response(cause: String) -> reason::Refusal {
    reason::Refusal::with_verdict(
        reason::RefusalReason::TargetFailed,
        verdict::Verdict::Ran,
        format!("the request ran; its answer cannot be read: {cause}"),
    )
}

fn refuse(kind: RefusalKind) -> reason::Refusal {
    let may_have_run = |reason, message| {
        reason::Refusal::with_verdict(reason, verdict::Verdict::MayHaveRun, message)
    };
    match kind {
        RefusalKind::TableUnavailable => reason::Refusal::not_run(
            reason::RefusalReason::TableUnavailable,
            "the table service cannot record the key",
        ),
        RefusalKind::Reused => reason::Refusal::not_run(
            reason::RefusalReason::KeyReused,
            "the key was used with another request",
        ),
        RefusalKind::InProgress => may_have_run(
            reason::RefusalReason::KeyInProgress,
            "another call with this key is running",
        ),
        RefusalKind::Unresolved => may_have_run(
            reason::RefusalReason::KeyUnresolved,
            "an earlier call with this key has no known outcome; an operator resolves it",
        ),
        RefusalKind::Resolved => reason::Refusal::with_verdict(
            reason::RefusalReason::KeyUnresolved,
            verdict::Verdict::Ran,
            "an operator stated that an earlier call with this key ran",
        ),
    }
}
