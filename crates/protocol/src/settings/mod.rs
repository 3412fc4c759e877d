//! Settings of a daemon: the process itself and its initial deployment.
//!
//! A settings file is one JSON object with the members `process` and `deployment`. The
//! deployment is versioned: a daemon that finds no configuration in the table stores the
//! deployment of its settings as version 1. From then on the version in the table applies.

mod check;
mod deployment;
mod deployment_check;
mod duplicate_key;
mod process;
mod ranges;

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
    /// Content of a settings file.
    pub struct Settings {
        /// Settings of this process.
        pub process: ProcessSettings,
        /// Initial deployment, used if the table holds no configuration.
        pub deployment: Deployment,
    }
);
