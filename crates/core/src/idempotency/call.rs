//! The state machine of one call.

use super::row::{HolderKind, KeyRowView, KeyState};

/// What happened to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyEvent {
    /// The write of the intent is committed.
    WriteCommitted,
    /// The row does not meet the condition of the write.
    WriteConflict,
    /// The table took no write.
    WriteUnavailable,
    /// The write has no answer; it may take effect now, later or never.
    WriteUnknown,
    /// The row was read.
    RowRead(Option<KeyRowView>),
    /// The row could not be read.
    ReadFailed,
    /// The run that was waited for has ended, or its daemon does not know it.
    WaitEnded,
    /// The run that was waited for goes on at this call's deadline, or its daemon is unreachable.
    WaitTimeout,
    /// The dispatch ended.
    RunEnded(RunOutcome),
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// With a complete answer.
    Answered,
    /// Proven not to have run.
    NotRun,
    /// Without a complete answer after it may have run.
    MayHaveRun,
}

/// What a call does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyAction {
    /// Insert the intent if the row is absent, under a new operation id.
    Insert,
    /// Replace the row of this version by the intent, under a new operation id.
    Claim(u64),
    /// Read the row.
    Read,
    /// Wait for the run of this daemon.
    AwaitLocal,
    /// Wait for the run of the daemon that the row names.
    AwaitRemote,
    /// Dispatch the request.
    Dispatch,
    /// Record the answer.
    RecordDone,
    /// Record that the request did not run.
    RecordReleased,
    /// Keep the intent without outcome.
    KeepIntent,
    /// Return the recorded answer.
    Replay,
    /// Refuse the call; nothing remains to be written.
    Refuse(RefusalKind),
    /// Refuse the call and release the row in the background if its write took effect after all.
    RefuseAndRelease,
}

/// Why a call is refused before it dispatches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalKind {
    /// The table takes no write; no run of this call exists.
    TableUnavailable,
    /// The key belongs to another request.
    Reused,
    /// Another run goes on, or its row cannot be read.
    InProgress,
    /// An earlier run has no outcome and its coordinator no longer works on it.
    Unresolved,
    /// An operator stated that the request ran.
    Resolved,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum CallPhase {
    Writing,
    /// Reads because a row exists that does not meet the condition of the write.
    Reading,
    /// Reads because the write has no answer.
    ReadingBack,
    Waiting,
    Running,
    Ended,
}

/// One call with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyCall {
    phase: CallPhase,
    row_version: u64,
    /// Version of the intent whose run was waited for to its end.
    waited_version: Option<u64>,
}

impl KeyCall {
    /// A call and its first action.
    pub fn start() -> (Self, KeyAction) {
        let call = Self {
            phase: CallPhase::Writing,
            row_version: 0,
            waited_version: None,
        };
        (call, KeyAction::Insert)
    }

    /// Takes an event and returns the action that follows. An event that does not belong to the
    /// phase ends the call without a dispatch.
    pub fn step(&mut self, event: KeyEvent) -> KeyAction {
        match (self.phase, event) {
            (CallPhase::Writing, KeyEvent::WriteCommitted) => self.dispatch(),
            (CallPhase::Writing, KeyEvent::WriteConflict) => {
                self.phase = CallPhase::Reading;
                KeyAction::Read
            }
            (CallPhase::Writing, KeyEvent::WriteUnavailable) => {
                self.refuse(RefusalKind::TableUnavailable)
            }
            (CallPhase::Writing, KeyEvent::WriteUnknown) => {
                self.phase = CallPhase::ReadingBack;
                KeyAction::Read
            }
            (CallPhase::Reading, KeyEvent::RowRead(row)) => self.on_row(row),
            (CallPhase::ReadingBack, KeyEvent::RowRead(Some(fact))) if is_own_intent(&fact) => {
                self.dispatch()
            }
            // The unanswered write may still take effect, so no second one may be tried.
            (CallPhase::ReadingBack, KeyEvent::RowRead(_) | KeyEvent::ReadFailed) => {
                self.phase = CallPhase::Ended;
                KeyAction::RefuseAndRelease
            }
            (CallPhase::Waiting, KeyEvent::WaitEnded) => {
                self.waited_version = Some(self.row_version);
                self.phase = CallPhase::Reading;
                KeyAction::Read
            }
            (CallPhase::Running, KeyEvent::RunEnded(outcome)) => {
                self.phase = CallPhase::Ended;
                match outcome {
                    RunOutcome::Answered => KeyAction::RecordDone,
                    RunOutcome::NotRun => KeyAction::RecordReleased,
                    RunOutcome::MayHaveRun => KeyAction::KeepIntent,
                }
            }
            _ => self.refuse(RefusalKind::InProgress),
        }
    }

    fn on_row(&mut self, row: Option<KeyRowView>) -> KeyAction {
        let Some(fact) = row else {
            self.phase = CallPhase::Writing;
            return KeyAction::Insert;
        };
        self.row_version = fact.version;
        if is_own_intent(&fact) {
            return self.dispatch();
        }
        if fact.expired || fact.state == KeyState::Released {
            self.phase = CallPhase::Writing;
            return KeyAction::Claim(fact.version);
        }
        if !fact.same_fingerprint {
            return self.refuse(RefusalKind::Reused);
        }
        match fact.state {
            KeyState::Done => {
                self.phase = CallPhase::Ended;
                KeyAction::Replay
            }
            KeyState::Resolved => self.refuse(RefusalKind::Resolved),
            KeyState::Intent | KeyState::Released => self.on_intent(&fact),
        }
    }

    fn on_intent(&mut self, fact: &KeyRowView) -> KeyAction {
        if self.waited_version == Some(fact.version) {
            return self.refuse(RefusalKind::Unresolved);
        }
        match fact.holder {
            HolderKind::Local => {
                self.phase = CallPhase::Waiting;
                KeyAction::AwaitLocal
            }
            HolderKind::Remote => {
                self.phase = CallPhase::Waiting;
                KeyAction::AwaitRemote
            }
            HolderKind::Gone => self.refuse(RefusalKind::Unresolved),
        }
    }

    fn dispatch(&mut self) -> KeyAction {
        self.phase = CallPhase::Running;
        KeyAction::Dispatch
    }

    fn refuse(&mut self, kind: RefusalKind) -> KeyAction {
        self.phase = CallPhase::Ended;
        KeyAction::Refuse(kind)
    }
}

fn is_own_intent(fact: &KeyRowView) -> bool {
    fact.own_operation && fact.state == KeyState::Intent
}
