//! Crash suspects: requests, and parts of their prompts, that were in flight when a target crashed.
//! Suspects that no answer clears run one at a time; one that goes on crashing targets is refused.

mod answers;
mod attribution;
mod report;
mod table;
mod trials;
mod turns;

pub use report::{SuspectReport, select_reported};
pub use table::{
    AnswerRecord, CrashRecord, REFUSE_MIN_ANSWERED_CRASHES, REFUSE_MIN_CRASHES, SuspectTable,
};
pub use trials::{TrialAnswer, TrialTable};
pub use turns::{TurnStamp, TurnTable, TurnTicket};

/// Time for which a request or a prompt part stays a suspect after its last crash, in milliseconds.
pub const SUSPECT_LIFETIME_MS: u64 = 600_000;

/// Time within which one failure takes down several targets, for example a rack, in milliseconds.
pub const COMMON_FAILURE_MS: u64 = 500;

/// What is done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStatus {
    /// No target crashed on it, or it was answered since: runs anywhere.
    Clear,
    /// Seen in a crash, and not answered since: runs while no request runs that it shares a suspect
    /// with.
    Isolated,
    /// Seen in several crashes in a row: not run, but for a trial from time to time.
    Refused,
}
