//! HTTP header names and JSON bodies exchanged between callers, daemons, targets and operators.

use std::net;

use crate::{ids, settings, value_type};

/// Priority requested by a caller: `urgent`, `normal` or `batch`.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Timeout set by a caller, in milliseconds from the arrival of the request.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";
/// Key under which a non-idempotent request runs at most once.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Request id in responses to callers; attempt id in requests to targets and their responses.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Version of the configuration under which a request was handled.
pub const CONFIG_VERSION_HEADER: &str = "x-config-version";
/// Name of the target that served the request.
pub const TARGET_HEADER: &str = "x-target";
/// Set to `not_run` by a target that refused a request before running it.
pub const VERDICT_HEADER: &str = "x-verdict";
/// Availability zone of the caller.
pub const ZONE_HEADER: &str = "x-zone";

value_type!(
    /// Priority class of a request, in the order of service.
    #[derive(Default)]
    pub enum Priority {
        /// Served before all other requests.
        Urgent,
        /// Default class.
        #[default]
        Normal,
        /// Served after all other requests.
        Batch,
    }
);

value_type!(
    /// Response to `GET /v1/addresses`.
    pub struct AddressResponse {
        /// Addresses, most preferred first.
        pub addresses: Vec<AddressEntry>,
        /// Time for which callers may cache the response, in milliseconds.
        pub lifetime_ms: u64,
        /// Version of the configuration in force at the daemon.
        pub version: u64,
    }
);

value_type!(
    /// Address of one daemon, as given to callers.
    pub struct AddressEntry {
        /// Address of the daemon's listener for callers.
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
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting for a place in the batch.
    pub waiting: u32,
    /// Prompt tokens of waiting and running requests that are not yet processed.
    pub waiting_prefill_tokens: u64,
    /// Requests in the decode phase.
    pub running_decode: u32,
    /// Cache pieces in use.
    pub pieces_used: u32,
    /// Total number of cache pieces.
    pub pieces_total: u32,
    /// Maximum number of requests in the batch.
    pub slots: u32,
}

/// State that an engine reports at `GET /admin/state`. Unknown fields are ignored.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EngineState {
    /// Id of this run of the engine; differs after every start.
    pub boot_id: String,
    /// Role that the engine has now.
    pub role: settings::EngineRole,
    /// Models held in memory.
    pub models: Vec<LoadedModel>,
    /// Role or model change in progress.
    pub switching: Option<SwitchState>,
    /// Highest fencing token received so far.
    pub highest_fencing: u64,
    /// Most recently accepted order.
    pub last_order: Option<OrderState>,
}

/// A model held in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ids::ModelId,
    /// Version that is held in memory.
    pub version: String,
    /// Names of the loaded adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// A role or model change in progress at an engine.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SwitchState {
    /// Order that started the change.
    pub order_id: ids::OrderId,
    /// Expected end of the change, in milliseconds since the Unix epoch.
    pub until_unix_ms: u64,
}

value_type!(
    /// Progress of an order at an engine.
    pub enum OrderOutcome {
        /// The change is in progress.
        Running,
        /// The change is in effect.
        Done,
        /// The change failed; the engine is in the state it had before.
        Failed,
    }
);

/// The most recent order that an engine accepted.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct OrderState {
    /// Id of the order.
    pub order_id: ids::OrderId,
    /// Fencing token that the order carried.
    pub fencing: u64,
    /// Progress or result of the order.
    pub outcome: OrderOutcome,
}

value_type!(
    /// Body of `POST /admin/orders`, a command to an engine.
    pub struct OrderRequest {
        /// Id of the order. An engine that receives an id again repeats its first response.
        pub order_id: ids::OrderId,
        /// Fencing token, by which an engine that checks it refuses outdated orders.
        pub fencing: u64,
        /// Change to make.
        pub action: OrderAction,
    }
);

/// Change requested by an order.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum OrderAction {
    /// Switch to another role.
    SetRole {
        /// Role after the change.
        role: settings::EngineRole,
    },
    /// Load a version of a model from the weight store.
    LoadModel {
        /// Name of the model.
        model: ids::ModelId,
        /// Version to load.
        version: String,
    },
    /// Load an adapter of a loaded model.
    LoadAdapter {
        /// Name of the loaded model.
        model: ids::ModelId,
        /// Name of the adapter.
        adapter: String,
    },
    /// Remove a model from memory.
    UnloadModel {
        /// Name of the model.
        model: ids::ModelId,
    },
}

/// Response to `GET /admin/cache_events`.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CacheEvents {
    /// Boot id of the engine. A new boot id invalidates everything known about its cache.
    pub boot_id: String,
    /// Events, oldest first. A jump in the sequence numbers means that events were lost.
    pub events: Vec<CacheEvent>,
    /// Value of the `after` parameter for the next request.
    pub next: u64,
}

/// One change to an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event.
    pub sequence: u64,
    /// Whether the pieces were stored or removed.
    pub kind: CacheEventKind,
    /// Hashes of the pieces as 16 hexadecimal digits each; see [`piece_hashes`].
    pub pieces: Vec<String>,
}

value_type!(
    /// Kind of a prefix-cache event.
    pub enum CacheEventKind {
        /// The pieces were added to the cache.
        Stored,
        /// The pieces were evicted from the cache.
        Removed,
    }
);

/// Bytes of prompt text counted as one token where no tokenizer is available.
pub const BYTES_PER_TOKEN: usize = 4;

/// Estimates the number of tokens of a prompt from its length in bytes.
pub fn estimate_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns the hashes of the complete pieces of a prompt. A piece is a block of `piece_tokens`
/// tokens. Each hash covers the prompt up to the end of its piece, so that equal hashes mean equal
/// prefixes. An incomplete last piece has no hash.
pub fn piece_hashes(model: &str, prompt: &str, piece_tokens: u32) -> Vec<u64> {
    let piece_bytes = (piece_tokens as usize).max(1) * BYTES_PER_TOKEN;
    let seed = xxhash_rust::xxh3::xxh3_64(model.as_bytes());
    prompt
        .as_bytes()
        .chunks_exact(piece_bytes)
        .scan(seed, |prefix_hash, piece| {
            *prefix_hash = xxhash_rust::xxh3::xxh3_64_with_seed(piece, *prefix_hash);
            Some(*prefix_hash)
        })
        .collect()
}
