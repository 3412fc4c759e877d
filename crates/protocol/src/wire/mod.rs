//! HTTP header names and JSON shapes between callers, daemons, targets and operators.

use std::net;

use crate::{ids, settings, value_type};

/// Priority asked for by a caller: `urgent`, `normal` or `batch`.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Time that a caller gives a request, in milliseconds from its arrival.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";
/// Key under which a non-idempotent request runs at most once.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Request id towards callers, attempt id towards targets.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Version of the configuration that a request ran on.
pub const CONFIG_VERSION_HEADER: &str = "x-config-version";
/// Target that answered.
pub const TARGET_HEADER: &str = "x-target";
/// Header by which a target states that it refused before running: `not_run`.
pub const VERDICT_HEADER: &str = "x-verdict";
/// Header by which a caller states its availability zone.
pub const ZONE_HEADER: &str = "x-zone";

value_type!(
    /// Urgency of a request; the order is the order of service.
    #[derive(Default)]
    pub enum Priority {
        /// Before everything else.
        Urgent,
        /// The usual case.
        #[default]
        Normal,
        /// After everything else.
        Batch,
    }
);

value_type!(
    /// Answer of `GET /v1/addresses`.
    pub struct AddressResponse {
        /// Addresses, best first.
        pub addresses: Vec<AddressEntry>,
        /// Time for which the answer may be kept, in milliseconds.
        pub lifetime_ms: u64,
        /// Version of the configuration.
        pub version: u64,
    }
);

value_type!(
    /// One address for callers.
    pub struct AddressEntry {
        /// Address of a daemon's listener for callers.
        pub address: net::SocketAddr,
        /// Availability zone of the daemon.
        pub zone: ids::ZoneId,
    }
);

/// Load that an engine reports at `GET /admin/load`. Unknown fields are ignored.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct EngineLoad {
    /// Wall-clock time of the report, in milliseconds since the Unix epoch.
    pub as_of_unix_ms: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens of waiting and running requests that are not processed yet.
    pub waiting_prefill_tokens: u64,
    /// Requests in the decode phase.
    pub running_decode: u32,
    /// Cache pieces in use.
    pub pieces_used: u32,
    /// Cache pieces in all.
    pub pieces_total: u32,
    /// Requests that the engine batches at most.
    pub slots: u32,
}

/// State that an engine reports at `GET /admin/state`. Unknown fields are ignored.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EngineState {
    /// Changes with every start of the engine.
    pub boot_id: String,
    /// Role in force.
    pub role: settings::EngineRole,
    /// Models in memory.
    pub models: Vec<LoadedModel>,
    /// Change under way.
    pub switching: Option<SwitchState>,
    /// Highest fencing number seen.
    pub highest_fencing: u64,
    /// Last order that was accepted.
    pub last_order: Option<OrderState>,
}

/// A model in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadedModel {
    /// Model.
    pub model: ids::ModelId,
    /// Version.
    pub version: String,
    /// Adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// A change under way at an engine.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SwitchState {
    /// Order that started it.
    pub order_id: ids::OrderId,
    /// Expected end, in milliseconds since the Unix epoch.
    pub until_unix_ms: u64,
}

value_type!(
    /// How an order ended at an engine.
    pub enum OrderOutcome {
        /// Still under way.
        Running,
        /// In force.
        Done,
        /// Failed; the engine is as it was before.
        Failed,
    }
);

/// The last order of an engine.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct OrderState {
    /// Order.
    pub order_id: ids::OrderId,
    /// Fencing number that it carried.
    pub fencing: u64,
    /// Outcome.
    pub outcome: OrderOutcome,
}

value_type!(
    /// Body of `POST /admin/orders`.
    pub struct OrderRequest {
        /// Id; a repeated id is answered like the first time.
        pub order_id: ids::OrderId,
        /// Fencing number.
        pub fencing: u64,
        /// What to do.
        pub action: OrderAction,
    }
);

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum OrderAction {
    /// Take another role.
    SetRole {
        /// Role.
        role: settings::EngineRole,
    },
    /// Load a version of a model from the weight store.
    LoadModel {
        /// Model.
        model: ids::ModelId,
        /// Version.
        version: String,
    },
    /// Load an adapter of a loaded model.
    LoadAdapter {
        /// Model.
        model: ids::ModelId,
        /// Adapter.
        adapter: String,
    },
    /// Remove a model from memory.
    UnloadModel {
        /// Model.
        model: ids::ModelId,
    },
}

/// Answer of `GET /admin/cache_events`.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CacheEvents {
    /// Boot id of the engine; another one voids everything known before.
    pub boot_id: String,
    /// Events, oldest first. A jump in the sequence is a gap.
    pub events: Vec<CacheEvent>,
    /// Value for `after` in the next call.
    pub next: u64,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CacheEvent {
    /// Number of the event.
    pub sequence: u64,
    /// Kind.
    pub kind: CacheEventKind,
    /// Hashes of the pieces, 16 hexadecimal digits each; see [`piece_hashes`].
    pub pieces: Vec<String>,
}

value_type!(
    /// Kind of a cache event.
    pub enum CacheEventKind {
        /// The pieces are in the cache.
        Stored,
        /// The pieces left the cache.
        Removed,
    }
);

/// Bytes of prompt text that count as one token where only text is known.
pub const BYTES_PER_TOKEN: usize = 4;

/// Tokens of a prompt, estimated from its length.
pub fn estimate_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Hashes of the whole pieces of a prompt; each covers the prompt up to the end of its piece, so
/// that equal hashes mean equal prefixes. A last incomplete piece has no hash.
pub fn piece_hashes(model: &str, prompt: &str, piece_tokens: u32) -> Vec<u64> {
    let piece_bytes = (piece_tokens as usize).max(1) * BYTES_PER_TOKEN;
    let seed = xxhash_rust::xxh3::xxh3_64(model.as_bytes());
    prompt
        .as_bytes()
        .chunks_exact(piece_bytes)
        .scan(seed, |prefix, piece| {
            *prefix = xxhash_rust::xxh3::xxh3_64_with_seed(piece, *prefix);
            Some(*prefix)
        })
        .collect()
}
