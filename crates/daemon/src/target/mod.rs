//! Targets: their registry, polls by the owning daemon, and withdrawal from service.
//!
//! A target accepts new work while none of the [`WithdrawalCause`]s is set. The owner sets and
//! clears the causes that result from polls and sends them to the other daemons in its load
//! summaries. Every daemon sets the causes that result from the configuration and the host list
//! itself, so that a withdrawal does not wait for the owner.

mod peer_update;
mod poll;
mod registry;
mod report_age;
mod tracker;

use std::{net, sync, sync::OnceLock, sync::atomic::AtomicU32, time};

use acaciabank_protocol::{ids, settings, wire};
use arc_swap::ArcSwap;

pub(crate) use peer_update::ORDER_PENDING_FLAG;
pub use peer_update::PieceDelta;
pub use poll::run;
pub use registry::{TargetRegistry, TargetRoute, TargetSnapshot};
pub use report_age::ReportAge;
pub use tracker::TargetTracker;

/// Milliseconds since the first use of this clock in the process; monotonic.
pub(crate) fn now_ms() -> u64 {
    static START: OnceLock<time::Instant> = OnceLock::new();
    START.get_or_init(time::Instant::now).elapsed().as_millis() as u64
}

/// Kind of back end that a target is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// An engine that serves a model.
    Engine {
        /// Model that the engine is configured to serve.
        model: ids::ModelId,
        /// Whether the engine refuses orders with an outdated fencing token or ignores the token.
        fencing: settings::FencingSupport,
        /// Idle time after which the engine closes administration connections, in milliseconds.
        admin_idle_close_ms: Option<u64>,
    },
    /// An instance of a plain service.
    Service {
        /// Service that the instance belongs to.
        service: ids::ServiceId,
    },
}

/// State of one target, kept across versions of the configuration while its entry is unchanged.
#[derive(Debug)]
pub struct TargetState {
    /// Name, unique in the deployment.
    pub id: ids::TargetId,
    /// Hash of the name; identifies the target in messages between daemons.
    pub hash: u32,
    /// Engine or service instance, with the settings of that kind.
    pub kind: TargetKind,
    /// Host that the target runs on.
    pub host: ids::HostId,
    /// Availability zone of the host.
    pub zone: ids::ZoneId,
    /// Address for requests and polls.
    pub address: net::SocketAddr,
    /// Configured maximum number of concurrent requests.
    pub slots: u32,
    /// Number of this daemon's requests in flight at the target.
    pub own_in_flight: AtomicU32,
    /// Last known condition.
    pub condition: ArcSwap<TargetCondition>,
    /// Withdrawal causes, counters and other values that change in place.
    pub tracker: TargetTracker,
}

/// Last known role, load and availability of a target; replaced as a whole on each change.
#[derive(Clone, Debug)]
pub struct TargetCondition {
    /// Whether no withdrawal cause is set.
    pub accepting: bool,
    /// First withdrawal cause that is set, or `Unknown` before the first report; shown to
    /// operators.
    pub cause: Option<WithdrawalCause>,
    /// Role reported last, or the configured role before the first report.
    pub role: settings::EngineRole,
    /// Last load report; zero before the first.
    pub load: wire::EngineLoad,
    /// Local time at which that report was made: its arrival less its stated age.
    pub load_as_of: std::time::Instant,
    /// Number of this daemon's requests in flight when the report arrived.
    pub own_in_flight_at_report: u32,
    /// Growth of other daemons' requests between the last two reports, in requests per second.
    pub others_growth_per_s: u32,
    /// Last state report; only the owner has it.
    pub state: Option<sync::Arc<wire::EngineState>>,
}

/// Reason why a target gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WithdrawalCause {
    /// The rule `drained` of the deployment names it.
    Drained,
    /// The host list reports its host as leaving.
    HostLeaving,
    /// It changes its role, or its configured model is not loaded.
    Switching,
    /// It does not respond to polls.
    Unreachable,
    /// The planner drains it before sending an order.
    OrderPending,
    /// No report has arrived yet; does not prevent new work.
    Unknown,
}
