//! Settings of a daemon: what belongs to the process and the deployment it starts from.
//!
//! A settings file is one JSON object with the members `process` and `deployment`. The
//! deployment is versioned: the first daemon that finds no configuration in the table stores the
//! deployment of its settings as version 1; from then on the table's version counts.

mod check;
mod deployment;
mod fleet;
mod process;
mod ranges;
mod unique;

pub use check::{SettingsError, check, check_deployment, parse, parse_deployment};
pub use deployment::{
    AdaptationSettings, Deployment, EngineEntry, EngineRole, FencingSupport, HostEntry, ModelEntry,
    NonIdempotentRule, OperatorEntry, PlannerPolicy, Policy, RegionEntry, RoutingPolicy, Rules,
    ServiceEntry, ServiceInstance, TeamEntry, UrgentRule, ZoneDistance,
};
pub use process::{LimitSettings, LogSettings, PeerEntry, ProcessSettings, TableSettings};
pub use process::{LogLevel, TimerSettings, TlsSettings};
pub use ranges::{FIELD_RANGES, FieldRange};

use crate::value_type;

value_type!(
    /// A whole settings file.
    pub struct Settings {
        /// What belongs to this process.
        pub process: ProcessSettings,
        /// The deployment to start from.
        pub deployment: Deployment,
    }
);
