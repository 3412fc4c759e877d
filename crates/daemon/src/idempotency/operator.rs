//! Look-up and resolution of keys by operators.

use acaciabank_core::once::{HolderKind, KeyState};
use acaciabank_protocol::ids;

use super::row::{self, KeyRow};
use crate::{peer, process, table};

/// Writes tried by one resolution when other writes come between.
const RESOLVE_ATTEMPTS: u32 = 3;

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
    /// Time after which an intent can be released, in milliseconds; 0 when it can be at once.
    pub release_after_ms: Option<u64>,
}

impl KeyReport {
    fn from_row(record: &KeyRow) -> Self {
        let state = match record.state {
            KeyState::Intent => "intent",
            KeyState::Released => "released",
            KeyState::Done => "done",
            KeyState::Resolved => "resolved",
        };
        Self {
            state: state.to_owned(),
            daemon: record.daemon.clone(),
            request: record.request.clone(),
            status: record.status,
            release_after_ms: None,
        }
    }

    /// Report on an intent; notes when it was first seen.
    fn from_intent(state: &process::ProcessState, row: &table::TableRow, record: &KeyRow) -> Self {
        let wait = state
            .idempotency
            .sightings
            .see(row, record.dispatch_within_ms);
        Self {
            release_after_ms: Some(wait.as_millis() as u64),
            ..Self::from_row(record)
        }
    }
}

/// Looks a key's record up for operators.
///
/// # Errors
///
/// Returns the table's error.
pub async fn report(
    state: &process::ProcessState,
    team: &ids::TeamId,
    key: &str,
) -> Result<Option<KeyReport>, table::TableError> {
    let Some(row) = state.table.get(&row::row_key(team, key)).await? else {
        return Ok(None);
    };
    let record = KeyRow::parse(&row)?;
    Ok(Some(match record.state {
        KeyState::Intent => KeyReport::from_intent(state, &row, &record),
        _ => KeyReport::from_row(&record),
    }))
}

/// Ends an intent without outcome by an operator's word: `ran` true keeps it ended for good,
/// false releases it so that a later call may run. A key whose run goes on, or that has an outcome,
/// stays as it is; the report states its state. An intent whose daemon is not known to have given it
/// up is released only after the time in which that daemon may dispatch has passed since this
/// daemon first saw the intent: a paused daemon is no member, but may still resume.
///
/// # Errors
///
/// Returns the table's error.
pub async fn resolve(
    state: &process::ProcessState,
    team: &ids::TeamId,
    key: &str,
    operator: &str,
    ran: bool,
) -> Result<Option<KeyReport>, table::TableError> {
    let row_key = row::row_key(team, key);
    let operation = row::new_operation();
    let mut failure = table::TableError::Unavailable("the row keeps changing".to_owned());
    for _ in 0..RESOLVE_ATTEMPTS {
        let Some(row) = state.table.get(&row_key).await? else {
            return Ok(None);
        };
        let mut record = KeyRow::parse(&row)?;
        let is_written = row.operation == operation;
        if is_written || record.state != KeyState::Intent {
            return Ok(Some(KeyReport::from_row(&record)));
        }
        let report = KeyReport::from_intent(state, &row, &record);
        let is_kept = match standing(state, &record, team, key).await {
            Standing::Running => true,
            Standing::GivenUp => false,
            Standing::Unknown => !ran && report.release_after_ms != Some(0),
        };
        if is_kept {
            return Ok(Some(report));
        }
        record.state = match ran {
            true => KeyState::Resolved,
            false => KeyState::Released,
        };
        record.operator = Some(operator.to_owned());
        let write = table::RowWrite::Put {
            key: row_key.clone(),
            condition: table::RowCondition::Version(row.version),
            body: record.to_body(),
            expires_unix_s: Some(record.expires_unix_s()),
        };
        match state.table.write_grouped(&operation, write).await {
            Ok(()) => {
                log::info!("operator {operator} resolved key {key} of team {team}: ran {ran}");
                return Ok(Some(KeyReport::from_row(&record)));
            }
            Err(error @ (table::TableError::Conflict(_) | table::TableError::Unknown(_))) => {
                failure = error;
            }
            Err(error) => return Err(error),
        }
    }
    Err(failure)
}

/// What is known of the process that wrote an intent.
enum Standing {
    /// It works on the key, or cannot be asked.
    Running,
    /// It exists and does not work on the key.
    GivenUp,
    /// It is no member; it may be paused.
    Unknown,
}

async fn standing(
    state: &process::ProcessState,
    record: &KeyRow,
    team: &ids::TeamId,
    key: &str,
) -> Standing {
    let remote = match record.holder(state) {
        HolderKind::Gone => return Standing::Unknown,
        HolderKind::Local => state.idempotency.local_state(team, key, 0).await,
        HolderKind::Remote => {
            match state.peers.await_key(&record.daemon, team, key, 0).await {
                Ok(remote) => remote,
                Err(peer::PeerError::UnknownDaemon(_)) => return Standing::Unknown,
                // A member that cannot be reached may still be about to dispatch.
                Err(peer::PeerError::Unreachable(..)) => return Standing::Running,
            }
        }
    };
    match remote {
        peer::RemoteKey::Running => Standing::Running,
        peer::RemoteKey::Unknown | peer::RemoteKey::Finished => Standing::GivenUp,
    }
}
