//! The interface to a platform. An implementation only converts between the platform's formats and
//! the types defined here; it makes no decisions.

use std::{collections::BTreeMap, future::Future, net};

use acaciabank_core::{lease, placement, store_version::StoreVersion, target_signal};
use bytes::Bytes;
use http::HeaderMap;

use crate::config;

/// Request metadata read from the headers of a caller.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Id of the caller's attempt; targets echo it in their responses.
    pub attempt_id: Option<String>,
    /// Time that the caller waits for the response, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Parameters of a generation request; `None` for plain services.
    pub generation: Option<GenerationParams>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the first event of a stream which the caller resumes.
    pub resumes: Option<String>,
}

impl RequestMetadata {
    /// Returns the id of the attempt that began the stream which the caller resumes, if it names one.
    pub fn stream_id(&self) -> Option<&str> {
        self.resumes.as_deref().filter(|id| !id.is_empty())
    }
}

/// Parameters of a generation request.
#[derive(Clone, Debug, Default)]
pub struct GenerationParams {
    /// Name of the model.
    pub model: String,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Ids and lengths in tokens of the prompt's parts, in order. The last part belongs to this
    /// request alone.
    pub parts: Vec<(String, u32)>,
}

/// What happens to the credentials in a caller's request when it is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CredentialUse {
    /// The target receives them.
    Forward,
    /// They are for this process and reach no target.
    Remove,
}

/// Metadata that is added to a request when it is forwarded to a target.
#[derive(Clone, Debug, Default)]
pub struct ForwardMetadata<'a> {
    /// Id of the incarnation that must handle the request.
    pub target_id: &'a str,
    /// Time that the target may take, in milliseconds.
    pub deadline_ms: u64,
    /// Urgency among the requests of an engine; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// Part of the work that the engine does.
    pub task: EngineTask<'a>,
    /// Engine from which the KV cache of the prompt's beginning is fetched first.
    pub fetch_from: Option<net::SocketAddr>,
    /// Id of the event after which the stream resumes.
    pub last_event: Option<u64>,
}

/// Part of a request's work that a target does.
#[derive(Clone, Debug, Default)]
pub enum EngineTask<'a> {
    /// Prefill and decode, or the whole request at a plain service.
    #[default]
    Whole,
    /// Process the prompt and keep its KV cache for another engine.
    Prefill,
    /// Fetch the KV cache from another engine and generate.
    Decode {
        /// Address of the engine that holds the KV cache.
        source: net::SocketAddr,
        /// Handle of the KV cache at that engine.
        handle: &'a str,
    },
}

/// Metadata read from the head of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Id of the caller's attempt that the response belongs to.
    pub attempt_id: Option<String>,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Id of the incarnation that responds, if the response names it.
    pub instance: Option<String>,
    /// Whether the response carries a signature header.
    pub signed: bool,
    /// Time that the target keeps an idle connection, in whole seconds.
    pub keep_alive_s: Option<u64>,
    /// Signals of the target about itself.
    pub signals: target_signal::TargetSignals,
}

/// An order to an engine to change its stage.
#[derive(Clone, Copy, Debug)]
pub struct StageOrder<'a> {
    /// Id of the incarnation that must carry it out.
    pub target_id: &'a str,
    /// Name of the daemon that holds the lease.
    pub holder: &'a str,
    /// Fencing token of the lease.
    pub fencing_token: u64,
    /// Stage to change to.
    pub stage: placement::EngineStage,
    /// Number of orders that the engine must have accepted before this one.
    pub expected_orders: u64,
}

/// Result of sending a stage order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The engine carries it out.
    Accepted,
    /// The engine is in that stage already.
    InForce,
    /// The engine does not carry it out.
    Refused,
    /// It never reached the engine.
    Unsent,
    /// No usable response; the engine may carry it out now, later or never.
    Unknown,
}

/// Usage of all teams in one window.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct UsageReport {
    /// Number of the window since the start of 1970.
    pub window: u64,
    /// Requests that began to run in the window, by name of the team.
    pub counts: BTreeMap<String, u64>,
}

/// An order for a number of engines of a service in an availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityOrder {
    /// Name of the service.
    pub service: String,
    /// Name of the availability zone.
    pub zone: String,
    /// Number of engines to have, including those that run.
    pub count: u32,
    /// Whether the order is for spot engines rather than on-demand ones.
    pub is_spot: bool,
}

/// A call to the platform that only the daemon that holds the lease makes.
#[derive(Clone, Copy, Debug)]
pub enum ControlCall<'a> {
    /// Reports usage.
    Usage(&'a UsageReport),
    /// Orders capacity.
    Capacity(&'a CapacityOrder),
}

impl ControlCall<'_> {
    /// Returns the value used in metric labels.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Usage(_) => "usage",
            Self::Capacity(_) => "capacity",
        }
    }
}

/// Right by which a daemon makes a call.
#[derive(Clone, Copy, Debug)]
pub struct ControlAuthority<'a> {
    /// Name of the daemon that holds the lease.
    pub holder: &'a str,
    /// Fencing token of the lease.
    pub fencing_token: u64,
}

/// Result of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlResponse {
    /// The platform has accepted it.
    Accepted,
    /// What was ordered is not available now.
    Unavailable,
    /// Too many calls; the platform has done nothing.
    Limited,
    /// The platform does not accept it.
    Refused,
    /// The platform has failed and has done nothing.
    Failed,
    /// Nothing was written, or this daemon does not hold the lease.
    Unsent,
    /// No usable response; the platform may carry it out now, later or never.
    Unknown,
}

impl ControlResponse {
    /// Returns the value used in log lines and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Unavailable => "unavailable",
            Self::Limited => "limited",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Unsent => "unsent",
            Self::Unknown => "unknown",
        }
    }
}

/// State that an engine reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Stage that the engine is in.
    pub stage: Option<placement::EngineStage>,
    /// Whether the engine is carrying out an order.
    pub is_busy: bool,
    /// Number of orders accepted since the engine started.
    pub orders: u64,
}

/// A prompt part whose KV cache an engine holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedPart {
    /// Name of the model.
    pub model: String,
    /// Id of the part.
    pub id: String,
    /// Length in tokens.
    pub tokens: u32,
}

/// An incarnation of a target as the platform lists it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct TargetEntry {
    /// Version of the entry; a higher one replaces it.
    pub version: StoreVersion,
    /// Id of the incarnation.
    pub id: String,
    /// Start time in Unix milliseconds. The same id with another start time is another incarnation.
    pub born_ms: u64,
    /// Name of the service.
    pub service: String,
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Availability zone that it runs in.
    pub zone: String,
    /// Version of its software. Streams of one version do not go on at another.
    pub software: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts no new requests because it is about to stop.
    pub is_draining: bool,
    /// Stage of an engine; `None` for plain services.
    pub stage: Option<placement::EngineStage>,
    /// Whether the platform may take it away at any time.
    pub is_spot: bool,
    /// Time that the platform states until it is taken away, in milliseconds; `None` unless that has
    /// been announced.
    pub leaves_ms: Option<u64>,
}

/// Changes to the list of targets.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct TargetChanges {
    /// Whether `present` is the complete list.
    pub is_complete: bool,
    /// Targets that were added or changed.
    pub present: Vec<TargetEntry>,
    /// Ids that are no longer listed or whose entry cannot be read, with the version of each
    /// removal.
    pub absent: Vec<(String, StoreVersion)>,
    /// Version from which to request the next changes.
    pub version: StoreVersion,
}

/// Result of a read of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChange {
    /// Version from which to request the next change.
    pub version: StoreVersion,
    /// The encoded configuration and the version of its row; `None` if it has not changed or does
    /// not exist.
    pub document: Option<(StoreVersion, Bytes)>,
}

/// The registration of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HostRegistration {
    /// Name of the daemon.
    pub name: String,
    /// Address that it listens on for other daemons.
    pub peer: net::SocketAddr,
    /// Address that it listens on for callers.
    pub caller: net::SocketAddr,
}

/// Error of a call to the platform's store.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The requested history is no longer available, or the store has come back from an older copy
    /// since; the complete list has to be read.
    #[error("the requested history is no longer available")]
    HistoryGone,
    /// The store responded with an error status.
    #[error("the store responded with status {0}")]
    Status(u16),
    /// There was no response, or it could not be decoded.
    #[error("{0}")]
    Unreachable(String),
}

/// What the store holds about usage.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageRows {
    /// Era of the store at the time of the read.
    pub era: u64,
    /// The last checkpoint as it was written; `None` if there is none.
    pub checkpoint: Option<Bytes>,
    /// Counts of the settled windows by the names of the teams.
    pub settled: BTreeMap<u64, BTreeMap<String, u64>>,
}

/// The base of a service's software versions; see [`acaciabank_core::stream_version`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BaseRow {
    /// Name of the service.
    pub service: String,
    /// Name of the version.
    pub software: String,
    /// Version of the row.
    pub stored: StoreVersion,
}

/// Bases of all services as of one version of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BaseRows {
    /// The version.
    pub version: StoreVersion,
    /// The rows.
    pub rows: Vec<BaseRow>,
}

/// At which software version a stream began.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StreamRecord {
    /// Hash of the id of the attempt that brought the first event.
    pub stream_key: u64,
    /// Name of the version.
    pub software: String,
    /// Time of the first event, in Unix milliseconds.
    pub begun_unix_ms: u64,
}

/// Condition that a lease has not been written since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseCondition<'a> {
    /// Name of the lease.
    pub name: &'a str,
    /// Version of its row.
    pub version: StoreVersion,
}

/// The platform's store of configuration, targets, daemons and leases.
pub trait PlatformStore: 'static {
    /// Returns the highest era that the store has stated; zero before its first response.
    fn era(&self) -> u64;

    /// Returns the configuration if it has changed since version `after`. Waits up to `wait_ms` for
    /// a change. The first call passes `None`.
    fn next_config(
        &self,
        after: Option<StoreVersion>,
        wait_ms: u64,
    ) -> impl Future<Output = Result<ConfigChange, StoreError>>;

    /// Returns the changes to the list of targets since version `after`, or the complete list for
    /// `None`.
    fn next_targets(
        &self,
        after: Option<StoreVersion>,
    ) -> impl Future<Output = Result<TargetChanges, StoreError>>;

    /// Registers this daemon.
    fn register_host(
        &self,
        host: &HostRegistration,
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Removes the registration of a daemon.
    fn deregister_host(&self, name: &str) -> impl Future<Output = Result<(), StoreError>>;

    /// Lists all registered daemons.
    fn list_hosts(&self) -> impl Future<Output = Result<Vec<HostRegistration>, StoreError>>;

    /// Reads the row of a lease.
    fn read_lease(&self, name: &str) -> impl Future<Output = Result<lease::LeaseRead, StoreError>>;

    /// Writes the row of a lease, and with it a checkpoint of the usage if one is given, if the
    /// condition of the write holds. Returns the new version of the row, or `None` if the condition
    /// does not hold.
    fn write_lease(
        &self,
        name: &str,
        write: &lease::LeaseWrite,
        checkpoint: Option<&[u8]>,
    ) -> impl Future<Output = Result<Option<StoreVersion>, StoreError>>;

    /// Reads the checkpoint of the usage and the settled windows.
    fn read_usage(&self) -> impl Future<Output = Result<UsageRows, StoreError>>;

    /// Writes the counts of windows, of which no row may exist, and deletes the rows of others, if
    /// the row of the lease has the given version. Returns the version of the rows, or `None` if a
    /// condition does not hold.
    fn write_usage(
        &self,
        lease: &LeaseCondition<'_>,
        settled: &[UsageReport],
        expired: &[u64],
    ) -> impl Future<Output = Result<Option<StoreVersion>, StoreError>>;

    /// Reads the bases of all services.
    fn read_base_versions(&self) -> impl Future<Output = Result<BaseRows, StoreError>>;

    /// Writes the base of a service if its row has the given version, or does not exist for `None`.
    /// Returns the new version of the row, or `None` if the condition does not hold.
    fn write_base_version(
        &self,
        service: &str,
        software: &str,
        condition: Option<StoreVersion>,
    ) -> impl Future<Output = Result<Option<StoreVersion>, StoreError>>;

    /// Records at which software versions streams began, at most a hundred.
    fn write_stream_versions(
        &self,
        records: &[StreamRecord],
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Returns the recorded software version of a stream.
    fn read_stream_version(
        &self,
        stream_key: u64,
    ) -> impl Future<Output = Result<Option<String>, StoreError>>;

    /// Removes the records of streams that began before a time; returns their number.
    fn remove_stream_versions(
        &self,
        before_unix_ms: u64,
    ) -> impl Future<Output = Result<usize, StoreError>>;
}

/// Encodes and decodes the messages of callers, targets and operators.
pub trait MessageCodec: 'static {
    /// Reads the metadata of a request from its headers.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Returns the caller's headers that are forwarded to a target, without those that only this
    /// process sets.
    fn forward_headers(&self, headers: &HeaderMap, credentials: CredentialUse) -> HeaderMap;

    /// Adds the name of the caller's team, if it has one, and the metadata for the target to the
    /// headers of a forwarded request.
    fn write_request(
        &self,
        headers: &mut HeaderMap,
        team: Option<&str>,
        metadata: &ForwardMetadata<'_>,
    );

    /// Reads the metadata of a target's response.
    fn read_response(&self, status: http::StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Reads the handle of a KV cache from the response to a prefill.
    fn read_kv_handle(&self, body: &[u8]) -> Option<String>;

    /// Returns the path at which a KV cache is released.
    fn kv_handle_path(&self, handle: &str) -> String;

    /// Returns the path of an engine's report.
    fn report_path(&self) -> &'static str;

    /// Reads an engine's report.
    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;

    /// Returns the path that lists the prompt parts that an engine holds.
    fn cached_parts_path(&self) -> &'static str;

    /// Reads the list of prompt parts that an engine holds.
    fn read_cached_parts(&self, body: &[u8]) -> Option<Vec<CachedPart>>;

    /// Returns the path that accepts stage orders.
    fn order_path(&self) -> &'static str;

    /// Encodes the body of a stage order.
    fn write_order(&self, order: &StageOrder<'_>) -> Vec<u8>;

    /// Adds the headers of a stage order.
    fn write_order_headers(&self, headers: &mut HeaderMap, order: &StageOrder<'_>);

    /// Reads the response to a stage order from its status.
    fn read_order_response(&self, status: http::StatusCode) -> OrderResponse;

    /// Encodes a call to the platform.
    fn write_control_call(
        &self,
        authority: &ControlAuthority<'_>,
        call: &ControlCall<'_>,
    ) -> http::Request<Bytes>;

    /// Reads the response to a call to the platform from its status.
    fn read_control_response(&self, status: http::StatusCode) -> ControlResponse;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Returns a message that names the field that cannot be decoded.
    fn read_config(&self, document: &[u8]) -> Result<config::RelayConfig, String>;

    /// Encodes the list of addresses that callers may use for `ttl_s` seconds.
    fn write_addresses(&self, addresses: &[net::SocketAddr], ttl_s: u64) -> Vec<u8>;

    /// Returns the path of the address list for callers.
    fn addresses_path(&self) -> &'static str;

    /// Returns the path of the readiness check.
    fn ready_path(&self) -> &'static str;
}
