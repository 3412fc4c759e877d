//! Targets: registry, polling by the owner, drain.
//!
//! A target is withdrawn by marks, one for each [`WithdrawalCause`]; it accepts new work while no
//! mark is set. The owner sets and clears the marks that follow from polls and passes them to the
//! other daemons in its load summaries. Every daemon sets the marks that follow from the
//! configuration and the host list itself, so that a withdrawal does not wait for the owner.

mod peer_update;
mod poll;
mod registry;
mod tracker;

use std::{net, sync, sync::OnceLock, sync::atomic::AtomicU32, time};

use acaciabank_protocol::{ids, settings, wire};
use arc_swap::ArcSwap;

pub(crate) use peer_update::PENDING_FLAG;
pub use peer_update::PieceDelta;
pub use poll::run;
pub use registry::{TargetRegistry, TargetRoute, TargetSnapshot};
pub use tracker::TargetTracker;

/// Milliseconds since the first use of this clock in the process; monotonic.
pub(crate) fn now_ms() -> u64 {
    static START: OnceLock<time::Instant> = OnceLock::new();
    START.get_or_init(time::Instant::now).elapsed().as_millis() as u64
}

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
    /// Withdrawal marks and other values that change often.
    pub tracker: TargetTracker,
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
    /// Growth of other daemons' requests between the last two reports, for each second.
    pub others_growth_per_s: u32,
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
