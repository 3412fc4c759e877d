//! Coordinator of keyed requests: intent, dispatch, outcome.

use acaciabank_protocol::{ids, reason};

use crate::{dispatch, peer, process};

/// Keyed requests that this daemon coordinates.
#[derive(Debug, Default)]
pub struct KeyCoordinator {}

impl KeyCoordinator {
    /// State of a key for another daemon that asks; waits at most `wait_ms` for its end.
    pub async fn local_state(
        &self,
        _team: &ids::TeamId,
        _key: &str,
        _wait_ms: u32,
    ) -> peer::RemoteKey {
        peer::RemoteKey::Unknown
    }
}

/// Runs a keyed request at most once: records the intent, dispatches, records the outcome; or
/// returns the recorded answer, or waits for a concurrent run.
///
/// # Errors
///
/// A refusal with its truthful verdict.
pub async fn run_keyed(
    _state: &process::SharedState,
    _key: &str,
    _request: dispatch::CallerRequest,
) -> Result<dispatch::CallerAnswer, reason::Refusal> {
    Err(reason::Refusal::not_run(
        reason::RefusalReason::TableUnavailable,
        "no table",
    ))
}

/// A key's record as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct KeyReport {
    /// `intent`, `released`, `done` or `resolved`.
    pub state: String,
    /// Daemon that recorded the intent.
    pub daemon: ids::DaemonId,
    /// Request id of the run.
    pub request: ids::RequestId,
    /// HTTP status of the recorded answer.
    pub status: Option<u16>,
}

/// Looks a key's record up for operators.
///
/// # Errors
///
/// Returns the table's error.
pub async fn report(
    _state: &process::ProcessState,
    _team: &ids::TeamId,
    _key: &str,
) -> Result<Option<KeyReport>, crate::table::TableError> {
    Ok(None)
}

/// Ends an intent without outcome by an operator's word: `ran` true keeps it ended for good,
/// false releases it so that a later call may run.
///
/// # Errors
///
/// Returns the table's error.
pub async fn resolve(
    _state: &process::ProcessState,
    _team: &ids::TeamId,
    _key: &str,
    _operator: &str,
    _ran: bool,
) -> Result<Option<KeyReport>, crate::table::TableError> {
    Ok(None)
}
