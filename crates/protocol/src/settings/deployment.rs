//! The `deployment` member of a settings file: the versioned configuration of a fleet.

use std::net;

use crate::{ids, value_type};

value_type!(
    /// Inventory, rules and policies of a fleet.
    pub struct Deployment {
        /// Regions and their availability zones.
        pub regions: Vec<RegionEntry>,
        /// One-way network latencies between availability zones; 0 for a missing pair.
        #[serde(default)]
        pub distances: Vec<ZoneDistance>,
        /// Hosts that run targets.
        pub hosts: Vec<HostEntry>,
        /// Models that the fleet serves.
        pub models: Vec<ModelEntry>,
        /// Engines, each of which serves one model.
        pub engines: Vec<EngineEntry>,
        /// Plain services and their instances.
        #[serde(default)]
        pub services: Vec<ServiceEntry>,
        /// Teams of callers. If there are none, callers need no key.
        #[serde(default)]
        pub teams: Vec<TeamEntry>,
        /// Operators. If there are none, the listener for operators requires no key.
        #[serde(default)]
        pub operators: Vec<OperatorEntry>,
        /// Urgent requests, non-idempotent requests and drained targets.
        #[serde(default)]
        pub rules: Rules,
        /// Routing and planning algorithms and their parameters.
        #[serde(default)]
        pub policy: Policy,
    }
);

value_type!(
    /// A region and its availability zones.
    pub struct RegionEntry {
        /// Name of the region.
        pub name: ids::RegionId,
        /// Availability zones in the region.
        pub zones: Vec<ids::ZoneId>,
    }
);

value_type!(
    /// One-way network latency between two availability zones.
    pub struct ZoneDistance {
        /// First zone.
        pub from: ids::ZoneId,
        /// Second zone; the latency applies in both directions.
        pub to: ids::ZoneId,
        /// Latency in microseconds.
        pub one_way_us: u32,
    }
);

value_type!(
    /// A host that runs targets.
    pub struct HostEntry {
        /// Name of the host, as in the platform's host list.
        pub name: ids::HostId,
        /// Availability zone of the host.
        pub zone: ids::ZoneId,
    }
);

value_type!(
    /// A model that the fleet serves.
    pub struct ModelEntry {
        /// Name by which callers request the model.
        pub name: ids::ModelId,
        /// Version to serve.
        pub version: String,
        /// Adapters that callers may request as `model:adapter`.
        #[serde(default)]
        pub adapters: Vec<String>,
        /// Tokens per piece, the block size of an engine's prefix cache.
        #[serde(default = "default_piece_tokens")]
        pub piece_tokens: u32,
    }
);

fn default_piece_tokens() -> u32 {
    2_000
}

value_type!(
    /// Inference phase that an engine serves.
    pub enum EngineRole {
        /// Prompt processing and token generation.
        Mixed,
        /// Prompt processing.
        Prefill,
        /// Token generation.
        Decode,
    }
);

value_type!(
    /// How an engine treats an order with an outdated fencing token.
    pub enum FencingSupport {
        /// The engine refuses the order.
        Checked,
        /// The engine ignores fencing tokens and carries out the order.
        Ignored,
    }
);

value_type!(
    /// A model engine.
    pub struct EngineEntry {
        /// Name of the engine, unique among all targets.
        pub name: ids::TargetId,
        /// Host that the engine runs on.
        pub host: ids::HostId,
        /// Address of the engine's HTTP listener.
        pub address: net::SocketAddr,
        /// Model that the engine serves.
        pub model: ids::ModelId,
        /// Role of the engine until a planner changes it.
        #[serde(default = "default_role")]
        pub role: EngineRole,
        /// Maximum number of requests in the engine's batch.
        pub slots: u32,
        /// How the engine treats outdated fencing tokens.
        pub fencing: FencingSupport,
        /// Idle time after which the engine closes an admin connection, in milliseconds. Without
        /// it there is no automatic takeover of an engine that ignores fencing tokens.
        #[serde(default)]
        pub admin_idle_close_ms: Option<u64>,
    }
);

fn default_role() -> EngineRole {
    EngineRole::Mixed
}

value_type!(
    /// A plain service.
    pub struct ServiceEntry {
        /// Name in the path `/services/{name}/`.
        pub name: ids::ServiceId,
        /// Instances of the service.
        pub instances: Vec<ServiceInstance>,
    }
);

value_type!(
    /// One instance of a plain service.
    pub struct ServiceInstance {
        /// Name of the instance, unique among all targets.
        pub name: ids::TargetId,
        /// Host that the instance runs on.
        pub host: ids::HostId,
        /// Address of the instance's HTTP listener.
        pub address: net::SocketAddr,
        /// Maximum number of concurrent requests.
        pub slots: u32,
    }
);

value_type!(
    /// A team of callers.
    pub struct TeamEntry {
        /// Name of the team.
        pub name: ids::TeamId,
        /// SHA-256 of each valid key, as 64 lowercase hexadecimal digits; two during a rotation.
        pub key_sha256: Vec<String>,
        /// Weight of the team in fair sharing.
        #[serde(default = "default_weight")]
        pub weight: u32,
        /// Whether the team may send urgent requests.
        #[serde(default = "default_true")]
        pub urgent_allowed: bool,
    }
);

fn default_weight() -> u32 {
    1
}

fn default_true() -> bool {
    true
}

value_type!(
    /// An operator and the keys that identify it.
    pub struct OperatorEntry {
        /// Name that is recorded in the history of the configuration.
        pub name: String,
        /// SHA-256 of each valid key, as 64 lowercase hexadecimal digits.
        pub key_sha256: Vec<String>,
    }
);

value_type!(
    /// Rules that operators set for requests and targets.
    #[derive(Default)]
    #[serde(default)]
    pub struct Rules {
        /// Requests that are urgent regardless of the priority that the caller asks for.
        pub urgent: Vec<UrgentRule>,
        /// Requests that are not idempotent and need an idempotency key.
        pub never_repeat: Vec<NonIdempotentRule>,
        /// Targets that receive no new requests.
        pub drained: Vec<ids::TargetId>,
    }
);

value_type!(
    /// Makes matching requests urgent. A request matches if every field that is present matches.
    pub struct UrgentRule {
        /// Team of the caller.
        #[serde(default)]
        pub team: Option<ids::TeamId>,
        /// Requested model.
        #[serde(default)]
        pub model: Option<ids::ModelId>,
        /// Requested plain service.
        #[serde(default)]
        pub service: Option<ids::ServiceId>,
    }
);

value_type!(
    /// Marks matching requests as non-idempotent. A request matches if every field that is present
    /// matches.
    // Error messages to operators name the type; this keeps their text.
    #[serde(expecting = "struct NeverRepeat")]
    pub struct NonIdempotentRule {
        /// Requested plain service.
        #[serde(default)]
        pub service: Option<ids::ServiceId>,
        /// Requested model.
        #[serde(default)]
        pub model: Option<ids::ModelId>,
        /// HTTP method.
        #[serde(default)]
        pub method: Option<String>,
        /// Prefix of the path below the service.
        #[serde(default)]
        pub path_prefix: Option<String>,
    }
);

value_type!(
    /// Algorithm that chooses a target for a request.
    pub enum RoutingPolicy {
        /// Targets take turns.
        RoundRobin,
        /// The target with the least reported load per slot.
        LeastLoad,
        /// The target with the earliest expected finish, estimated with cache affinity and the
        /// daemon's own in-flight work and randomized by jitter.
        Adaptive,
    }
);

value_type!(
    /// Algorithm that decides on role changes of engines.
    pub enum PlannerPolicy {
        /// Roles never change.
        Off,
        /// A role changes as soon as the ratio of the phases' loads crosses a threshold.
        Threshold,
        /// A role changes if the forecast gain outweighs the cost of the switch, with hysteresis
        /// and a minimum dwell time.
        Adaptive,
    }
);

value_type!(
    /// Routing and planning algorithms.
    #[serde(default)]
    pub struct Policy {
        /// Algorithm that chooses targets.
        pub routing: RoutingPolicy,
        /// Algorithm that changes the roles of engines.
        pub planner: PlannerPolicy,
        /// Parameters of the role planners.
        pub adaptation: AdaptationSettings,
    }
);

impl Default for Policy {
    fn default() -> Self {
        Self {
            routing: RoutingPolicy::Adaptive,
            planner: PlannerPolicy::Adaptive,
            adaptation: AdaptationSettings::default(),
        }
    }
}

value_type!(
    /// Parameters of the role planners.
    // Error messages to operators name the type; this keeps their text.
    #[serde(default, expecting = "struct Adaptation")]
    pub struct AdaptationSettings {
        /// Time for which an engine is unavailable during a role change, in milliseconds.
        pub switch_cost_ms: u64,
        /// Minimum time between two role changes of one engine, in milliseconds.
        pub min_dwell_ms: u64,
        /// Period over which the gain of a role change must outweigh its cost, in milliseconds.
        pub horizon_ms: u64,
        /// Minimum ratio of gain to cost for a role change, in percent.
        pub min_gain_percent: u32,
        /// Maximum number of concurrent role changes, per model and availability zone.
        pub max_concurrent_changes: u32,
        /// Ratio of the phases' loads at which the threshold planner acts, in percent.
        pub threshold_percent: u32,
    }
);

impl Default for AdaptationSettings {
    fn default() -> Self {
        Self {
            switch_cost_ms: 4_000,
            min_dwell_ms: 30_000,
            horizon_ms: 60_000,
            min_gain_percent: 200,
            max_concurrent_changes: 1,
            threshold_percent: 150,
        }
    }
}
