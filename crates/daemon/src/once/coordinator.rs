//! Carries out the actions of `core::idempotency` for one call.

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
    local::{RunGuard, RunPart, RunProgress},
    objects, row,
    row::{AnswerForm, KeyRow},
    run,
    run::RecordedAnswer,
};
use crate::{dispatch, peer, process, table};

/// Time from the write of an intent in which the request may be written to a target. It covers the
/// wait for a slot, and it is the time for which an operator's release of a key may have to wait.
const DISPATCH_WINDOW: Duration = Duration::from_secs(30);
/// Bytes of an answer that is kept in the row itself.
const ROW_ANSWER_BYTES: usize = 32 << 10;
/// Longest wait in one call to another daemon.
const REMOTE_WAIT: Duration = Duration::from_secs(5);
/// Pause before an unreachable daemon is asked again.
const REMOTE_PAUSE: Duration = Duration::from_millis(200);
/// First and longest pause between two tries of a write in the background.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(100);
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(5);
/// Longest pause between two tries to release a row; calls with its key are refused meanwhile.
const RELEASE_PAUSE_MAX: Duration = Duration::from_secs(1);
/// Time for which an unanswered insert is looked for; longer than any write can be under way.
const RELEASE_SEARCH: Duration = Duration::from_secs(600);

type CallResult = Result<dispatch::CallerAnswer, reason::Refusal>;

/// Runs a keyed request at most once: records the intent, dispatches, records the outcome; or
/// returns the recorded answer, or waits for a concurrent run. The run goes on when the caller
/// leaves.
///
/// # Errors
///
/// A refusal with its truthful verdict.
pub async fn run_keyed(
    state: &process::SharedState,
    key: &str,
    request: dispatch::CallerRequest,
) -> Result<dispatch::CallerAnswer, reason::Refusal> {
    let state = Arc::clone(state);
    let key = key.to_owned();
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        // The caller may have left; the outcome is recorded all the same.
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
        match state.once.join(&request.team, &key) {
            RunPart::Leader(guard) => return Leader::new(state, &key, request, guard).lead().await,
            RunPart::Follower(progress) => {
                if let Some(result) = follow(progress, &request).await {
                    return result;
                }
            }
        }
    }
}

/// Waits for another local call; `None` means that it ended without an answer to share.
async fn follow(
    mut progress: watch::Receiver<RunProgress>,
    request: &dispatch::CallerRequest,
) -> Option<CallResult> {
    let known = progress.wait_for(|progress| !matches!(progress, RunProgress::Active));
    match time::timeout_at(request.deadline.into(), known).await {
        Err(_) => Some(Err(refuse(RefusalKind::InProgress))),
        Ok(Err(_)) => None,
        Ok(Ok(progress)) => match &*progress {
            RunProgress::Active | RunProgress::Ended => None,
            RunProgress::Unrecorded => Some(Err(refuse(RefusalKind::TableUnavailable))),
            RunProgress::Answered {
                fingerprint,
                answer,
            } if *fingerprint == request.fingerprint => Some(Ok(run::replay(answer))),
            RunProgress::Answered { .. } => Some(Err(refuse(RefusalKind::Reused))),
        },
    }
}

/// The call that works on a key.
struct Leader {
    state: process::SharedState,
    row_key: table::RowKey,
    key: String,
    request: dispatch::CallerRequest,
    guard: RunGuard,
    /// Operation id of the last write tried.
    operation: ids::OperationId,
    intent: KeyRow,
    /// Version of the own intent once it is committed.
    intent_version: u64,
    /// Time after which the own intent no longer allows a dispatch.
    write_limit: dispatch::WriteLimit,
    /// The row as read last.
    seen: Option<KeyRow>,
}

impl Leader {
    fn new(
        state: process::SharedState,
        key: &str,
        request: dispatch::CallerRequest,
        guard: RunGuard,
    ) -> Self {
        let intent = KeyRow::intent(&state, &request.id, request.fingerprint);
        Self {
            row_key: row::row_key(&request.team, key),
            key: key.to_owned(),
            operation: row::new_operation(),
            intent,
            intent_version: 0,
            write_limit: dispatch::WriteLimit::after(Duration::ZERO),
            seen: None,
            state,
            request,
            guard,
        }
    }

    async fn lead(mut self) -> CallResult {
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
                // This is the only local call with the key, so no local run goes on.
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
                    unreachable!("outcomes follow a dispatch only")
                }
            };
            action = call.step(event);
        }
    }

    async fn write_intent(&mut self, claimed: Option<u64>) -> KeyEvent {
        let left = self
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        if left.is_zero() {
            // Nothing is written, and an earlier run of the key may have had an effect.
            return KeyEvent::WaitTimeout;
        }
        // Counted from before the write, so that the row never promises less time than is used.
        let window = left.min(DISPATCH_WINDOW);
        self.write_limit = dispatch::WriteLimit::after(window);
        self.intent.dispatch_within_ms = window.as_millis() as u64;
        self.operation = row::new_operation();
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
            log::error!("row key/{} cannot be read", self.row_key.name);
            return KeyEvent::ReadFailed;
        };
        let fingerprint = self.request.fingerprint;
        let fact = record.fact(&self.state, &found, &self.operation, fingerprint);
        if fact.own_operation {
            self.intent_version = found.version;
        }
        self.seen = Some(record);
        KeyEvent::RowRead(Some(fact))
    }

    async fn await_remote(&self) -> KeyEvent {
        let Some(record) = &self.seen else {
            return KeyEvent::WaitEnded;
        };
        loop {
            let left = self
                .request
                .deadline
                .saturating_duration_since(Instant::now());
            if left.is_zero() {
                return KeyEvent::WaitTimeout;
            }
            let wait_ms = left.min(REMOTE_WAIT).as_millis() as u32;
            let team = &self.request.team;
            let asked = self
                .state
                .peers
                .await_key(&record.daemon, team, &self.key, wait_ms);
            match time::timeout_at(self.request.deadline.into(), asked).await {
                Err(_) => return KeyEvent::WaitTimeout,
                Ok(Ok(peer::RemoteKey::Running)) => {}
                Ok(Ok(peer::RemoteKey::Unknown | peer::RemoteKey::Finished)) => {
                    return KeyEvent::WaitEnded;
                }
                Ok(Err(peer::PeerError::UnknownDaemon(_))) => return KeyEvent::WaitEnded,
                Ok(Err(peer::PeerError::Unreachable(..))) => {
                    if record.holder(&self.state) == acaciabank_core::idempotency::HolderKind::Gone
                    {
                        return KeyEvent::WaitEnded;
                    }
                    time::sleep(left.min(REMOTE_PAUSE)).await;
                }
            }
        }
    }

    async fn dispatch(self, mut call: KeyCall) -> CallResult {
        let request = dispatch::CallerRequest {
            write_limit: Some(self.write_limit),
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
        result.answer
    }

    async fn record_done(self, recorded: Arc<RecordedAnswer>) {
        self.guard
            .publish(self.request.fingerprint, Arc::clone(&recorded));
        self.record(KeyState::Done, Some(recorded)).await;
    }

    /// Tries once to record the outcome, then goes on in the background.
    async fn record(self, state: KeyState, recorded: Option<Arc<RecordedAnswer>>) {
        let mut body = self.intent.clone();
        body.state = state;
        let write = OutcomeWrite {
            state: self.state,
            row_key: self.row_key,
            intent_operation: self.operation,
            operation: row::new_operation(),
            version: self.intent_version,
            body,
            recorded,
            is_stored: false,
        };
        write.finish(self.guard).await;
    }

    async fn replay(self) -> CallResult {
        let Some(record) = self.seen else {
            return Err(refuse(RefusalKind::InProgress));
        };
        let body = read_answer(&self.state, &record)
            .await
            .map_err(lost_answer)?;
        let recorded = Arc::new(RecordedAnswer {
            status: record.status.unwrap_or(200),
            content_type: record.content_type,
            body,
        });
        self.guard
            .publish(self.request.fingerprint, Arc::clone(&recorded));
        Ok(run::replay(&recorded))
    }

    /// Nothing was dispatched. If the unanswered write took effect, its row is released; otherwise a
    /// released row is written in its place, so that it cannot take effect later. Other daemons
    /// that read the intent wait for the end of this, and calls here are refused until then.
    fn release_in_background(self) {
        let deadline = Instant::now() + RELEASE_SEARCH;
        self.guard.mark_unrecorded();
        tokio::spawn(async move {
            let guard = self.guard;
            let mut pause = RETRY_PAUSE_MIN;
            while Instant::now() < deadline && self.state.phase.get() != process::Phase::Left {
                if let Ok(found) = self.state.table.get(&self.row_key).await {
                    let is_own = found
                        .as_ref()
                        .is_some_and(|row| row.operation == self.operation);
                    let version = found.as_ref().map_or(0, |row| row.version);
                    // A row of another write: the own one did not and cannot take effect any more.
                    if !is_own && version >= self.intent_version {
                        break;
                    }
                    if release(&self.state, &self.row_key, &self.intent, version).await {
                        break;
                    }
                }
                time::sleep(pause).await;
                pause = (pause * 2).min(RELEASE_PAUSE_MAX);
            }
            drop(guard);
        });
    }
}

/// Replaces the row of a version, or the absent row of version 0, by a released one; returns whether
/// that is known to have taken effect.
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
    let operation = row::new_operation();
    let written = state.table.write_grouped(&operation, write).await;
    if let Err(error) = &written {
        log::debug!("row key/{} is not released yet: {error}", row_key.name);
    }
    written.is_ok()
}

/// Write of an outcome over the own intent.
struct OutcomeWrite {
    state: process::SharedState,
    row_key: table::RowKey,
    intent_operation: ids::OperationId,
    operation: ids::OperationId,
    version: u64,
    body: KeyRow,
    recorded: Option<Arc<RecordedAnswer>>,
    is_stored: bool,
}

impl OutcomeWrite {
    async fn finish(mut self, guard: RunGuard) {
        if self.attempt().await {
            return;
        }
        tokio::spawn(async move {
            let mut pause = RETRY_PAUSE_MIN;
            while self.state.phase.get() != process::Phase::Left {
                time::sleep(pause).await;
                if self.attempt().await {
                    break;
                }
                pause = (pause * 2).min(RETRY_PAUSE_MAX);
            }
            drop(guard);
        });
    }

    /// Tries once; returns whether nothing remains to be done.
    async fn attempt(&mut self) -> bool {
        if !self.store_answer().await {
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
            Err(table::TableError::Conflict(_)) => self.is_superseded().await,
            Err(error) => {
                log::warn!("outcome of key/{} not written: {error}", self.row_key.name);
                false
            }
        }
    }

    /// After a conflict: the row holds this outcome from an earlier try, or an operator changed it.
    async fn is_superseded(&self) -> bool {
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

    /// Puts the answer into the row or the object store; returns false when it must be tried again.
    async fn store_answer(&mut self) -> bool {
        let Some(recorded) = self.recorded.clone() else {
            return true;
        };
        if self.is_stored {
            return true;
        }
        self.body.status = Some(recorded.status);
        self.body.content_type = recorded.content_type.clone();
        let address = self.state.settings.object_store_address;
        let (form, answer) = match address {
            Some(address) if recorded.body.len() > ROW_ANSWER_BYTES => {
                let name = objects::object_name(&self.row_key, &self.intent_operation);
                if let Err(error) = objects::put(address, &name, recorded.body.clone()).await {
                    log::warn!("answer of key/{} not stored: {error}", self.row_key.name);
                    return false;
                }
                (Some(AnswerForm::Object), Some(name))
            }
            // Without an object store the outcome is recorded without the answer.
            None if recorded.body.len() > ROW_ANSWER_BYTES => (None, None),
            _ => encode(&recorded.body),
        };
        self.body.answer_form = form;
        self.body.answer = answer;
        self.is_stored = true;
        true
    }
}

fn encode(body: &Bytes) -> (Option<AnswerForm>, Option<String>) {
    match std::str::from_utf8(body) {
        Ok(text) => (Some(AnswerForm::Text), Some(text.to_owned())),
        Err(_) => (Some(AnswerForm::Base64), Some(BASE64_STANDARD.encode(body))),
    }
}

async fn read_answer(state: &process::ProcessState, record: &KeyRow) -> Result<Bytes, String> {
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

fn lost_answer(cause: String) -> reason::Refusal {
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
