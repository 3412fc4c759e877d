//! Targets: registry, polling by the owner, drain.

use std::{net, sync, sync::atomic::AtomicU32};

use acaciabank_protocol::{ids, settings, wire};
use arc_swap::ArcSwap;

use crate::process;

/// What a target is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// An engine that serves a model.
    Engine {
        /// Model.
        model: ids::ModelId,
        /// What it does with old fencing numbers.
        fencing: settings::FencingSupport,
        /// Idle time after which it closes administration connections, in milliseconds.
        admin_idle_close_ms: Option<u64>,
    },
    /// An instance of a plain service.
    Service {
        /// Service.
        service: ids::ServiceId,
    },
}

/// One target; lives across versions of the configuration while its entry stays the same.
#[derive(Debug)]
pub struct TargetState {
    /// Name.
    pub id: ids::TargetId,
    /// Short form of the name between daemons.
    pub hash: u32,
    /// Kind.
    pub kind: TargetKind,
    /// Host.
    pub host: ids::HostId,
    /// Availability zone.
    pub zone: ids::ZoneId,
    /// Address.
    pub address: net::SocketAddr,
    /// Concurrent requests at most.
    pub slots: u32,
    /// Requests of this daemon at the target.
    pub own_in_flight: AtomicU32,
    /// Last known condition.
    pub condition: ArcSwap<TargetCondition>,
}

/// What is known of a target, replaced as a whole.
#[derive(Clone, Debug)]
pub struct TargetCondition {
    /// Whether new work may go there.
    pub accepting: bool,
    /// Why not, for operators.
    pub cause: Option<WithdrawalCause>,
    /// Role in force.
    pub role: settings::EngineRole,
    /// Last load report.
    pub load: wire::EngineLoad,
    /// Local time of that report's arrival less its stated age.
    pub load_as_of: std::time::Instant,
    /// Requests of this daemon in flight when the report was made.
    pub own_in_flight_at_report: u32,
    /// Last state report; known at the owner only.
    pub state: Option<sync::Arc<wire::EngineState>>,
}

/// Why a target gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WithdrawalCause {
    /// Named by the rule `drained`.
    Drained,
    /// Its host is leaving.
    HostLeaving,
    /// Changes its role or its model.
    Switching,
    /// Does not answer.
    Unreachable,
    /// Drained by the planner ahead of an order.
    OrderPending,
    /// No report yet.
    Unknown,
}

/// Targets of one version of the configuration.
#[derive(Debug, Default)]
pub struct TargetSnapshot {
    /// All targets, by name.
    pub all: Vec<sync::Arc<TargetState>>,
}

/// The targets, read on the request path.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    snapshot: ArcSwap<TargetSnapshot>,
}

impl TargetRegistry {
    /// The current snapshot.
    pub fn snapshot(&self) -> sync::Arc<TargetSnapshot> {
        self.snapshot.load_full()
    }

    /// The target of the given name.
    pub fn find(&self, target: &ids::TargetId) -> Option<sync::Arc<TargetState>> {
        self.snapshot
            .load()
            .all
            .iter()
            .find(|state| &state.id == target)
            .cloned()
    }
}

/// Follows the configuration, polls owned targets and the host list until the process leaves.
pub async fn run(_state: process::SharedState) {}
