//! The deployment: inventory, rules and policy. It is the versioned configuration.

use std::net;

use crate::{ids, value_type};

value_type!(
    /// Inventory, rules and policy of a fleet.
    pub struct Deployment {
        /// Regions and their availability zones.
        pub regions: Vec<RegionEntry>,
        /// One-way distances between availability zones; 0 where a pair is missing.
        #[serde(default)]
        pub distances: Vec<ZoneDistance>,
        /// Hosts of targets.
        pub hosts: Vec<HostEntry>,
        /// Models.
        pub models: Vec<ModelEntry>,
        /// Model engines.
        pub engines: Vec<EngineEntry>,
        /// Plain services.
        #[serde(default)]
        pub services: Vec<ServiceEntry>,
        /// Teams of callers. Without any team, callers need no key.
        #[serde(default)]
        pub teams: Vec<TeamEntry>,
        /// Operators. Without any operator, the operators' listener needs no key.
        #[serde(default)]
        pub operators: Vec<OperatorEntry>,
        /// What is urgent, what must never repeat, what is drained.
        #[serde(default)]
        pub rules: Rules,
        /// Choice of algorithms and their parameters.
        #[serde(default)]
        pub policy: Policy,
    }
);

value_type!(
    /// A region.
    pub struct RegionEntry {
        /// Name.
        pub name: ids::RegionId,
        /// Its availability zones.
        pub zones: Vec<ids::ZoneId>,
    }
);

value_type!(
    /// One-way network distance between two availability zones.
    pub struct ZoneDistance {
        /// First zone.
        pub from: ids::ZoneId,
        /// Second zone; the distance holds both ways.
        pub to: ids::ZoneId,
        /// Distance in microseconds.
        pub one_way_us: u32,
    }
);

value_type!(
    /// A host of targets.
    pub struct HostEntry {
        /// Name, as in the platform's host list.
        pub name: ids::HostId,
        /// Availability zone.
        pub zone: ids::ZoneId,
    }
);

value_type!(
    /// A model.
    pub struct ModelEntry {
        /// Name that callers use.
        pub name: ids::ModelId,
        /// Version to serve.
        pub version: String,
        /// Adapters that callers may name as `model:adapter`.
        #[serde(default)]
        pub adapters: Vec<String>,
        /// Tokens in one piece of an engine's prefix cache.
        #[serde(default = "default_piece_tokens")]
        pub piece_tokens: u32,
    }
);

fn default_piece_tokens() -> u32 {
    2_000
}

value_type!(
    /// Phase that an engine is tuned for.
    pub enum EngineRole {
        /// Both phases.
        Mixed,
        /// Prompt processing.
        Prefill,
        /// Token generation.
        Decode,
    }
);

value_type!(
    /// What a target does with an old fencing number.
    pub enum FencingSupport {
        /// Refuses the order.
        Checked,
        /// Ignores the number.
        Ignored,
    }
);

value_type!(
    /// A model engine.
    pub struct EngineEntry {
        /// Name.
        pub name: ids::TargetId,
        /// Host.
        pub host: ids::HostId,
        /// Address.
        pub address: net::SocketAddr,
        /// Model that it serves.
        pub model: ids::ModelId,
        /// Role that it has when no planner has changed it.
        #[serde(default = "default_role")]
        pub role: EngineRole,
        /// Requests that it batches at most.
        pub slots: u32,
        /// What it does with old fencing numbers.
        pub fencing: FencingSupport,
        /// Idle time after which it closes an administration connection, in milliseconds.
        /// Engines that ignore fencing numbers get no automatic takeover without it.
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
        /// Its instances.
        pub instances: Vec<ServiceInstance>,
    }
);

value_type!(
    /// One instance of a plain service.
    pub struct ServiceInstance {
        /// Name.
        pub name: ids::TargetId,
        /// Host.
        pub host: ids::HostId,
        /// Address.
        pub address: net::SocketAddr,
        /// Concurrent requests at most.
        pub slots: u32,
    }
);

value_type!(
    /// A team of callers.
    pub struct TeamEntry {
        /// Name.
        pub name: ids::TeamId,
        /// SHA-256 of each valid key, as 64 hexadecimal digits. Two during a rotation.
        pub key_sha256: Vec<String>,
        /// Weight in the fair share.
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
    /// An operator.
    pub struct OperatorEntry {
        /// Name, kept in the configuration's history.
        pub name: String,
        /// SHA-256 of each valid key, as 64 hexadecimal digits.
        pub key_sha256: Vec<String>,
    }
);

value_type!(
    /// Rules of the operators.
    #[derive(Default)]
    #[serde(default)]
    pub struct Rules {
        /// Requests that are urgent without saying so.
        pub urgent: Vec<UrgentRule>,
        /// Requests that are not idempotent and need an idempotency key.
        pub never_repeat: Vec<NonIdempotentRule>,
        /// Targets that get no new work.
        pub drained: Vec<ids::TargetId>,
    }
);

value_type!(
    /// Makes requests urgent; every given field must match.
    pub struct UrgentRule {
        /// Team.
        #[serde(default)]
        pub team: Option<ids::TeamId>,
        /// Model.
        #[serde(default)]
        pub model: Option<ids::ModelId>,
        /// Service.
        #[serde(default)]
        pub service: Option<ids::ServiceId>,
    }
);

value_type!(
    /// Marks requests as non-idempotent; every given field must match.
    pub struct NonIdempotentRule {
        /// Service.
        #[serde(default)]
        pub service: Option<ids::ServiceId>,
        /// Model.
        #[serde(default)]
        pub model: Option<ids::ModelId>,
        /// HTTP method; any without it.
        #[serde(default)]
        pub method: Option<String>,
        /// Start of the path below the service; any without it.
        #[serde(default)]
        pub path_prefix: Option<String>,
    }
);

value_type!(
    /// How a target is chosen.
    pub enum RoutingPolicy {
        /// In turn.
        RoundRobin,
        /// Least reported load.
        LeastLoad,
        /// Expected finish with cache affinity, own in-flight work and two random choices.
        Adaptive,
    }
);

value_type!(
    /// When engines change their role.
    pub enum PlannerPolicy {
        /// Never.
        Off,
        /// As soon as the ratio of phases crosses a threshold.
        Threshold,
        /// Forecast, hysteresis, dwell and cost.
        Adaptive,
    }
);

value_type!(
    /// Choice of algorithms.
    #[serde(default)]
    pub struct Policy {
        /// Choice of targets.
        pub routing: RoutingPolicy,
        /// Role changes.
        pub planner: PlannerPolicy,
        /// Parameters of the planners.
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
    /// Parameters of the planners.
    #[serde(default)]
    pub struct AdaptationSettings {
        /// Time for which a role change takes an engine away, in milliseconds.
        pub switch_cost_ms: u64,
        /// Least time between two changes of one engine, in milliseconds.
        pub min_dwell_ms: u64,
        /// Horizon over which a change must pay, in milliseconds.
        pub horizon_ms: u64,
        /// Least ratio of gain to cost for a change, in percent.
        pub min_gain_percent: u32,
        /// Engines that may change at once, for each model and availability zone.
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
