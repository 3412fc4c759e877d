//! Events, actions and transitions of one call.

use super::row::{HolderKind, KeyRowView, KeyState};

/// An event that advances a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyEvent {
    /// The write of the intent was committed.
    WriteCommitted,
    /// The row did not meet the condition of the write.
    WriteConflict,
    /// The table accepts no writes.
    WriteUnavailable,
    /// The store did not respond to the write; it may have taken effect, or may take effect later,
    /// or never.
    WriteUnknown,
    /// The row was read.
    RowRead(Option<KeyRowView>),
    /// The row could not be read.
    ReadFailed,
    /// The awaited dispatch has ended, or its daemon does not know it.
    WaitEnded,
    /// The awaited dispatch still runs at this call's deadline, or its daemon is unreachable.
    WaitTimeout,
    /// This call's dispatch ended.
    RunEnded(RunOutcome),
}

/// Outcome of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// A complete response was received.
    Answered,
    /// The request provably did not run.
    NotRun,
    /// The request may have run, and no complete response was received.
    MayHaveRun,
}

/// The next action of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyAction {
    /// Insert the intent under a new operation id, provided that the row does not exist.
    Insert,
    /// Replace the row by the intent under a new operation id, provided that it has this version.
    Claim(u64),
    /// Read the row.
    Read,
    /// Wait for a dispatch of this daemon to end.
    AwaitLocal,
    /// Wait for a dispatch of the daemon that the row names to end.
    AwaitRemote,
    /// Dispatch the request.
    Dispatch,
    /// Record the response.
    RecordDone,
    /// Record that the request did not run.
    RecordReleased,
    /// Leave the intent without an outcome.
    KeepIntent,
    /// Return the recorded response.
    Replay,
    /// Refuse the call; no write is needed.
    Refuse(RefusalKind),
    /// Refuse the call, and release the row in the background if the unanswered write took effect.
    RefuseAndRelease,
}

/// Why a call is refused before it dispatches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalKind {
    /// The table accepts no writes; the request was not dispatched.
    TableUnavailable,
    /// The key was used for a different request.
    Reused,
    /// Another dispatch of the key is in progress, or the row cannot be read.
    InProgress,
    /// An earlier dispatch has no recorded outcome, and its daemon no longer works on it.
    Unresolved,
    /// An operator has stated that the request ran.
    Resolved,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum CallPhase {
    Writing,
    /// Reading the row that did not meet the condition of the write.
    Reading,
    /// Reading the row to find out whether the unanswered write took effect.
    ReadingBack,
    Waiting,
    Running,
    Ended,
}

/// State of one call with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyCall {
    phase: CallPhase,
    row_version: u64,
    /// Version of the intent whose dispatch was awaited until it ended.
    awaited_version: Option<u64>,
}

impl KeyCall {
    /// Returns a new call and its first action.
    pub fn start() -> (Self, KeyAction) {
        let call = Self {
            phase: CallPhase::Writing,
            row_version: 0,
            awaited_version: None,
        };
        (call, KeyAction::Insert)
    }

    /// Processes an event and returns the next action. An event that is unexpected in the current
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
            (CallPhase::Reading, KeyEvent::RowRead(row)) => self.on_row_read(row),
            (CallPhase::ReadingBack, KeyEvent::RowRead(Some(view))) if is_own_intent(&view) => {
                self.dispatch()
            }
            // The unanswered write may still take effect, so a second one must not be tried.
            (CallPhase::ReadingBack, KeyEvent::RowRead(_) | KeyEvent::ReadFailed) => {
                self.phase = CallPhase::Ended;
                KeyAction::RefuseAndRelease
            }
            (CallPhase::Waiting, KeyEvent::WaitEnded) => {
                self.awaited_version = Some(self.row_version);
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

    fn on_row_read(&mut self, row: Option<KeyRowView>) -> KeyAction {
        let Some(view) = row else {
            self.phase = CallPhase::Writing;
            return KeyAction::Insert;
        };
        self.row_version = view.version;
        if is_own_intent(&view) {
            return self.dispatch();
        }
        if view.expired || view.state == KeyState::Released {
            self.phase = CallPhase::Writing;
            return KeyAction::Claim(view.version);
        }
        if !view.same_fingerprint {
            return self.refuse(RefusalKind::Reused);
        }
        match view.state {
            KeyState::Done => {
                self.phase = CallPhase::Ended;
                KeyAction::Replay
            }
            KeyState::Resolved => self.refuse(RefusalKind::Resolved),
            KeyState::Intent | KeyState::Released => self.on_intent(&view),
        }
    }

    fn on_intent(&mut self, view: &KeyRowView) -> KeyAction {
        if self.awaited_version == Some(view.version) {
            return self.refuse(RefusalKind::Unresolved);
        }
        match view.holder {
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

fn is_own_intent(view: &KeyRowView) -> bool {
    view.own_operation && view.state == KeyState::Intent
}
