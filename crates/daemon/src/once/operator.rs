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
    Ok(Some(KeyReport::from_row(&KeyRow::parse(&row)?)))
}

/// Ends an intent without outcome by an operator's word: `ran` true keeps it ended for good,
/// false releases it so that a later call may run. A key whose run goes on, or that has an outcome,
/// stays as it is; the report states its state.
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
        if is_running(state, &record, team, key).await {
            return Ok(Some(KeyReport::from_row(&record)));
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

async fn is_running(
    state: &process::ProcessState,
    record: &KeyRow,
    team: &ids::TeamId,
    key: &str,
) -> bool {
    let remote = match record.holder(state) {
        HolderKind::Gone => return false,
        HolderKind::Local => state.once.local_state(team, key, 0).await,
        HolderKind::Remote => {
            match state.peers.await_key(&record.daemon, team, key, 0).await {
                Ok(remote) => remote,
                Err(peer::PeerError::UnknownDaemon(_)) => peer::RemoteKey::Unknown,
                // A member that cannot be reached may still be about to dispatch.
                Err(peer::PeerError::Unreachable(..)) => peer::RemoteKey::Running,
            }
        }
    };
    remote == peer::RemoteKey::Running
}
