//! Row of an idempotency key in the table.

use std::time::{SystemTime, UNIX_EPOCH};

use acaciabank_core::idempotency::{HolderKind, KeyRowView, KeyState};
use acaciabank_protocol::ids;

use crate::{peer, process, table};

/// Lifetime of a key's row: 7 days. A call after that runs as a new request.
const KEY_LIFETIME_MS: u64 = 7 * 24 * 60 * 60 * 1_000;

/// Encoding of the stored response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum AnswerForm {
    /// UTF-8 text, stored unchanged.
    Text,
    /// Bytes, encoded in Base64.
    Base64,
    /// Name of an object in the object store.
    Object,
}

/// Body of a key's row.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct KeyRow {
    pub(super) state: KeyState,
    pub(super) request: ids::RequestId,
    pub(super) fingerprint: String,
    pub(super) daemon: ids::DaemonId,
    pub(super) boot_id: u64,
    #[serde(default)]
    pub(super) status: Option<u16>,
    #[serde(default)]
    pub(super) content_type: Option<String>,
    #[serde(default)]
    pub(super) answer: Option<String>,
    #[serde(default)]
    pub(super) answer_form: Option<AnswerForm>,
    pub(super) created_unix_ms: u64,
    pub(super) expires_unix_ms: u64,
    /// Dispatch window in milliseconds: the daemon does not dispatch later than this after it began
    /// to write the intent.
    #[serde(default = "default_dispatch_within_ms")]
    pub(super) dispatch_within_ms: u64,
    #[serde(default)]
    pub(super) operator: Option<String>,
}

/// Dispatch window of intents that state none: the longest deadline of a request.
fn default_dispatch_within_ms() -> u64 {
    24 * 60 * 60 * 1_000
}

impl KeyRow {
    /// Creates the row of an intent of this process.
    pub(super) fn intent(
        state: &process::ProcessState,
        request: &ids::RequestId,
        fingerprint: u64,
    ) -> Self {
        let now = unix_ms();
        Self {
            state: KeyState::Intent,
            request: request.clone(),
            fingerprint: fingerprint_hex(fingerprint),
            daemon: state.settings.daemon.clone(),
            boot_id: state.boot_ids.current(),
            status: None,
            content_type: None,
            answer: None,
            answer_form: None,
            created_unix_ms: now,
            expires_unix_ms: now + KEY_LIFETIME_MS,
            dispatch_within_ms: default_dispatch_within_ms(),
            operator: None,
        }
    }

    pub(super) fn parse(row: &table::TableRow) -> Result<Self, table::TableError> {
        serde_json::from_str(&row.body)
            .map_err(|error| table::TableError::Invalid(format!("key row: {error}")))
    }

    /// Unix time in seconds after which the table service may remove the row.
    pub(super) fn expires_unix_s(&self) -> u64 {
        self.expires_unix_ms.div_ceil(1_000)
    }

    pub(super) fn to_body(&self) -> String {
        serde_json::to_string(self).expect("serializing a key row to JSON cannot fail")
    }

    /// The properties of a row that decide how a call proceeds.
    pub(super) fn view(
        &self,
        state: &process::ProcessState,
        row: &table::TableRow,
        own_operation: &ids::OperationId,
        fingerprint: u64,
    ) -> KeyRowView {
        KeyRowView {
            version: row.version,
            own_operation: &row.operation == own_operation,
            state: self.state,
            same_fingerprint: self.fingerprint == fingerprint_hex(fingerprint),
            expired: self.expires_unix_ms <= unix_ms(),
            holder: self.holder(state),
        }
    }

    /// Which process wrote the intent, as seen from this daemon.
    pub(super) fn holder(&self, state: &process::ProcessState) -> HolderKind {
        if self.daemon == state.settings.daemon {
            return match state.boot_ids.contains(self.boot_id) {
                true => HolderKind::Local,
                false => HolderKind::Gone,
            };
        }
        match is_member(&state.peers.members(), &self.daemon, self.boot_id) {
            true => HolderKind::Remote,
            false => HolderKind::Gone,
        }
    }
}

fn is_member(members: &[peer::MemberView], daemon: &ids::DaemonId, boot_id: u64) -> bool {
    members
        .iter()
        .any(|member| &member.daemon == daemon && member.boot_id == boot_id)
}

/// Key of the row. A `#` in the team's name is escaped, so that no two pairs of team and key share
/// a row.
pub(super) fn row_key(team: &ids::TeamId, key: &str) -> table::RowKey {
    let team = team.as_str().replace('%', "%25").replace('#', "%23");
    table::RowKey {
        partition: "key".to_owned(),
        name: format!("{team}#{key}"),
    }
}

pub(super) fn fingerprint_hex(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}

/// Creates a random operation id, which is unique and cannot be guessed.
pub(super) fn new_operation_id() -> ids::OperationId {
    ids::OperationId::new(format!("{:032x}", rand::random::<u128>()))
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
