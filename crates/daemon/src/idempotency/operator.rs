//! Lookup and resolution of idempotency keys by operators.

use acaciabank_core::idempotency::{HolderKind, KeyState};
use acaciabank_protocol::ids;

use super::row::{self, KeyRow};
use crate::{peer, process, table};

/// Maximum number of write attempts of one resolution when concurrent writes conflict with it.
const MAX_RESOLVE_ATTEMPTS: u32 = 3;

/// State of an idempotency key, as reported to operators.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct KeyReport {
    /// State of the key: `intent`, `released`, `done` or `resolved`.
    pub state: String,
    /// Daemon that recorded the intent.
    pub daemon: ids::DaemonId,
    /// Id of the request that the daemon dispatched or was about to dispatch.
    pub request: ids::RequestId,
    /// HTTP status of the recorded response.
    pub status: Option<u16>,
    /// Time in milliseconds after which an intent can be released; 0 if it can be released now.
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

    /// Report on an intent; starts the wait for its release if this is its first lookup.
    fn from_intent(state: &process::ProcessState, row: &table::TableRow, record: &KeyRow) -> Self {
        let wait = state
            .idempotency
            .intent_deadlines
            .track(row, record.dispatch_within_ms);
        Self {
            release_after_ms: Some(wait.as_millis() as u64),
            ..Self::from_row(record)
        }
    }
}

/// Looks up the state of a key; `None` if the table has no row for it.
///
/// # Errors
///
/// Returns the table's error, or [`table::TableError::Invalid`] for a row that cannot be parsed.
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

/// Resolves an intent without an outcome as stated by an operator. If the request `ran`, the key
/// stays resolved; otherwise it is released, so that a later call may run. A key that is still
/// running or has an outcome is left unchanged, and the report states why. If it is not known
/// whether the daemon that wrote the intent has abandoned it, the key is released only after that
/// daemon's dispatch window has passed since this daemon's first lookup: a paused daemon is not a
/// member, but may resume.
///
/// # Errors
///
/// Returns the table's error, or [`table::TableError::Invalid`] for a row that cannot be parsed.
pub async fn resolve(
    state: &process::ProcessState,
    team: &ids::TeamId,
    key: &str,
    operator: &str,
    ran: bool,
) -> Result<Option<KeyReport>, table::TableError> {
    let row_key = row::row_key(team, key);
    let operation = row::new_operation_id();
    let mut last_error = table::TableError::Unavailable("the row keeps changing".to_owned());
    for _ in 0..MAX_RESOLVE_ATTEMPTS {
        let Some(row) = state.table.get(&row_key).await? else {
            return Ok(None);
        };
        let mut record = KeyRow::parse(&row)?;
        let is_written = row.operation == operation;
        if is_written || record.state != KeyState::Intent {
            return Ok(Some(KeyReport::from_row(&record)));
        }
        let report = KeyReport::from_intent(state, &row, &record);
        let must_keep = match holder_status(state, &record, team, key).await {
            HolderStatus::Running => true,
            HolderStatus::Inactive => false,
            HolderStatus::Unknown => !ran && report.release_after_ms != Some(0),
        };
        if must_keep {
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
                last_error = error;
            }
            Err(error) => return Err(error),
        }
    }
    Err(last_error)
}

/// State of the process that wrote an intent.
enum HolderStatus {
    /// It coordinates the key, or is a member that cannot be reached.
    Running,
    /// It exists and does not coordinate the key.
    Inactive,
    /// It is not a member; it may be paused.
    Unknown,
}

async fn holder_status(
    state: &process::ProcessState,
    record: &KeyRow,
    team: &ids::TeamId,
    key: &str,
) -> HolderStatus {
    let remote = match record.holder(state) {
        HolderKind::Gone => return HolderStatus::Unknown,
        HolderKind::Local => state.idempotency.local_state(team, key, 0).await,
        HolderKind::Remote => {
            match state.peers.await_key(&record.daemon, team, key, 0).await {
                Ok(remote) => remote,
                Err(peer::PeerError::UnknownDaemon(_)) => return HolderStatus::Unknown,
                // An unreachable member may still dispatch the request.
                Err(peer::PeerError::Unreachable(..)) => return HolderStatus::Running,
            }
        }
    };
    match remote {
        peer::RemoteKeyState::Running => HolderStatus::Running,
        peer::RemoteKeyState::Unknown | peer::RemoteKeyState::Finished => HolderStatus::Inactive,
    }
}
