//! The edges of the process: what a platform's adapter translates. An adapter decides nothing; it
//! reads and writes the messages that the types here describe.

use std::{future::Future, net};

use acaciabank_core::{lease, place};
use bytes::Bytes;
use http::HeaderMap;

use crate::config;

/// What a caller says of its request besides method, path and body.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Id of this attempt of the caller; targets repeat it in their answers.
    pub attempt_id: Option<String>,
    /// Milliseconds that the caller will wait.
    pub deadline_ms: Option<u64>,
    /// What an engine needs to know; absent for plain services.
    pub generation: Option<GenerationParams>,
    /// Event after which a resumed stream goes on.
    pub last_event: Option<u64>,
}

/// What a caller says of a generation request.
#[derive(Clone, Debug, Default)]
pub struct GenerationParams {
    /// Model.
    pub model: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens to generate at most.
    pub max_tokens: u64,
    /// Ids and tokens of the prompt's parts in order; the last one is the request's own.
    pub parts: Vec<(String, u32)>,
}

/// What the system adds to a request for a target.
#[derive(Clone, Debug, Default)]
pub struct ForwardMetadata<'a> {
    /// Incarnation that must answer.
    pub target_id: &'a str,
    /// Milliseconds that the target may take.
    pub deadline_ms: u64,
    /// Rank among requests at an engine; 0 is first.
    pub urgency: Option<u8>,
    /// What the engine is to do.
    pub work: EngineTask<'a>,
    /// Engine from which the beginning of the prompt is fetched first.
    pub fetch_from: Option<net::SocketAddr>,
    /// Event after which the stream goes on.
    pub last_event: Option<u64>,
}

/// What a target is to do with a request.
#[derive(Clone, Debug, Default)]
pub enum EngineTask<'a> {
    /// All of it.
    #[default]
    Whole,
    /// Process the prompt and keep its KV cache for another engine.
    Prefill,
    /// Fetch the KV cache and generate.
    Decode {
        /// Address of the engine that holds the KV cache.
        source: net::SocketAddr,
        /// Name of the KV cache there.
        handle: &'a str,
    },
}

/// What the head of an answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Attempt that is answered.
    pub attempt_id: Option<String>,
    /// Whether the target states that it has not run the request.
    pub not_run: bool,
    /// Incarnation that answers, where it says so.
    pub instance: Option<String>,
    /// Whether the answer bears the target's signature.
    pub signed: bool,
    /// Whole seconds for which the target keeps an idle connection.
    pub keep_alive_s: Option<u64>,
}

/// An order to an engine to change its stage.
#[derive(Clone, Copy, Debug)]
pub struct StageOrder<'a> {
    /// Incarnation that must take it.
    pub target_id: &'a str,
    /// Daemon that holds the lease.
    pub holder: &'a str,
    /// Fencing token.
    pub fence: u64,
    /// Stage that the engine gets.
    pub stage: place::EngineStage,
    /// Orders that the engine must have accepted before.
    pub expected_orders: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// It is being carried out.
    Accepted,
    /// The engine has that stage already.
    InForce,
    /// The engine does not carry it out.
    Refused,
    /// It never reached the engine.
    Unsent,
    /// It may be carried out now, later or never.
    Unknown,
}

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Its stage.
    pub stage: Option<place::EngineStage>,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Orders that it has accepted since its start.
    pub orders: u64,
}

/// A prompt part that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedPart {
    /// Model.
    pub model: String,
    /// Id of the part.
    pub id: String,
    /// Its tokens.
    pub tokens: u32,
}

/// An incarnation of a target as the platform lists it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct TargetEntry {
    /// Version of the entry; a later one replaces it.
    pub version: u64,
    /// Id of the incarnation.
    pub id: String,
    /// Unix milliseconds of its start; the same id with another start is another incarnation.
    pub born_ms: u64,
    /// Service.
    pub service: String,
    /// Address.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// Stage, for engines.
    pub stage: Option<place::EngineStage>,
}

/// Changes of the list of targets.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct TargetChanges {
    /// Whether `present` is the whole list.
    pub is_complete: bool,
    /// Targets that are listed.
    pub present: Vec<TargetEntry>,
    /// Ids that are no longer listed, or whose entry cannot be read, with the versions of that.
    pub absent: Vec<(String, u64)>,
    /// Version to go on from.
    pub version: u64,
}

/// A daemon of the system as it registers itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HostEntry {
    /// Name of the daemon.
    pub name: String,
    /// Address for other daemons.
    pub peer: net::SocketAddr,
    /// Address for callers.
    pub caller: net::SocketAddr,
}

/// Failure of a call to the platform's store.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The history that was asked for is gone; a whole list is needed.
    #[error("the requested history is no longer available")]
    HistoryGone,
    /// The store answered with an error status.
    #[error("the store answered with status {0}")]
    Status(u16),
    /// No answer, or none that can be read.
    #[error("{0}")]
    Unreachable(String),
}

/// The platform's store.
pub trait PlatformStore: 'static {
    /// The configuration if it is newer than `after`, waiting up to `wait_ms` for one. The first
    /// call passes `None`.
    fn next_config(
        &self,
        after: Option<u64>,
        wait_ms: u64,
    ) -> impl Future<Output = Result<(u64, Option<Bytes>), StoreError>>;

    /// Changes of the targets since `after`; the whole list for `None`.
    fn next_targets(
        &self,
        after: Option<u64>,
    ) -> impl Future<Output = Result<TargetChanges, StoreError>>;

    /// Registers this daemon.
    fn register_host(&self, entry: &HostEntry) -> impl Future<Output = Result<(), StoreError>>;

    /// Removes a daemon.
    fn deregister_host(&self, name: &str) -> impl Future<Output = Result<(), StoreError>>;

    /// All registered daemons.
    fn list_hosts(&self) -> impl Future<Output = Result<Vec<HostEntry>, StoreError>>;

    /// The row of a lease.
    fn read_lease(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<Option<lease::ReadRow>, StoreError>>;

    /// Writes the row of a lease if its condition holds; returns its new version, or `None` if the
    /// condition does not hold.
    fn write_lease(
        &self,
        name: &str,
        write: &lease::LeaseWrite,
    ) -> impl Future<Output = Result<Option<u64>, StoreError>>;
}

/// Messages of callers, targets and operators.
pub trait MessageCodec: 'static {
    /// Reads what a caller says of its request.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Headers of a caller that a target gets, without those that only the system sets.
    fn forward_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Adds what the system tells the target.
    fn write_request(&self, headers: &mut HeaderMap, terms: &ForwardMetadata<'_>);

    /// Reads the head of a target's answer.
    fn read_response(&self, status: http::StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Reads the name of a KV cache from the answer to a prefill.
    fn read_kv_handle(&self, body: &[u8]) -> Option<String>;

    /// Path under which a KV cache is released.
    fn kv_handle_path(&self, handle: &str) -> String;

    /// Path of an engine's report.
    fn report_path(&self) -> &'static str;

    /// Reads an engine's report.
    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;

    /// Path of the question what an engine holds.
    fn cached_parts_path(&self) -> &'static str;

    /// The parts that an engine holds.
    fn read_cached_parts(&self, body: &[u8]) -> Option<Vec<CachedPart>>;

    /// Path for orders.
    fn order_path(&self) -> &'static str;

    /// Body of an order.
    fn write_order(&self, terms: &StageOrder<'_>) -> Vec<u8>;

    /// Headers of an order.
    fn write_order_headers(&self, headers: &mut HeaderMap, terms: &StageOrder<'_>);

    /// Reads the answer to an order.
    fn read_order_response(&self, status: http::StatusCode) -> OrderResponse;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// Returns a message that names the field that cannot be read.
    fn read_config(&self, document: &[u8]) -> Result<config::RelayConfig, String>;

    /// Body of the answer that names addresses to callers, valid for `ttl_s` seconds.
    fn write_addresses(&self, addresses: &[net::SocketAddr], ttl_s: u64) -> Vec<u8>;

    /// Path of the question for addresses.
    fn addresses_path(&self) -> &'static str;

    /// Path of the question whether the daemon is ready.
    fn ready_path(&self) -> &'static str;
}
