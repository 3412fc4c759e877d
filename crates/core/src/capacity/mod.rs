//! Number and kind of the engines of a service, for the load that its callers cause.
//!
//! Spot engines are cheap and may be taken away zone by zone within seconds; on-demand engines stay.
//! The fleet is therefore spot, spread over the zones so that the loss of the largest spot zone
//! leaves what urgent work needs, above a small on-demand base. A missing engine costs callers far
//! more than a spare spot engine costs, so the fleet grows at once and shrinks slowly. The load that
//! this is made for doubles for one kind of request within 3 s, while an engine boots for 4 s.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::capacity::{CapacityPlanner, EngineKind, FleetCounts, ScalingSpec};
//!
//! let scaling = ScalingSpec { min: 1, max: 60, boot_ms: 4_000, ..ScalingSpec::default() };
//! let counts = FleetCounts { on_demand: 30, ..FleetCounts::default() };
//! let fleet = [("a".to_owned(), counts), ("b".to_owned(), counts)].into();
//! let mut planner = CapacityPlanner::default();
//! let orders = planner.next_orders(0, &scaling, &fleet, None);
//! // Before any load is known, the number of engines stays; spot engines are ordered first.
//! assert!(orders.iter().all(|order| order.kind == EngineKind::Spot));
//! ```

mod load;
mod need;
mod planner;
mod slot;
mod spread;

pub use load::{EngineLoad, EngineSpeeds, LoadMeter, LoadTotals, WorkTotals};
pub use planner::CapacityPlanner;

use std::collections::BTreeMap;

/// How an engine is paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EngineKind {
    /// Stays until it is no longer ordered.
    OnDemand,
    /// Cheap; the platform may take it away at any time.
    Spot,
}

impl EngineKind {
    /// Both kinds.
    pub const ALL: [Self; 2] = [Self::OnDemand, Self::Spot];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::OnDemand => "on_demand",
            Self::Spot => "spot",
        }
    }
}

/// Limits and prices of a service's engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScalingSpec {
    /// Smallest number of engines of a zone, of both kinds together.
    pub min: u32,
    /// Largest number of engines of a zone, of both kinds together.
    pub max: u32,
    /// Time from an order until the engine serves.
    pub boot_ms: u64,
    /// Price of a spot engine relative to an on-demand one.
    pub spot_price: f64,
    /// Price of an engine's second by zone; other zones have price 1.
    pub zone_prices: BTreeMap<String, f64>,
}

/// Listed engines of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// On-demand engines that serve.
    pub on_demand: u32,
    /// Spot engines that serve.
    pub spot: u32,
    /// Spot engines that are about to be taken away.
    pub reclaimed: u32,
}

impl FleetCounts {
    /// Number of engines of a kind that serve.
    pub fn of(&self, kind: EngineKind) -> u32 {
        match kind {
            EngineKind::OnDemand => self.on_demand,
            EngineKind::Spot => self.spot,
        }
    }
}

/// Listed engines of a service by zone.
pub type FleetView = BTreeMap<String, FleetCounts>;

/// Why an order is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReason {
    /// Too few engines are listed or booting.
    Shortage,
    /// Spot engines are spread too unevenly to lose a zone.
    Spread,
    /// More engines are listed than were needed for some time.
    Surplus,
    /// On-demand engines have been replaced by spot engines.
    Replaced,
    /// The order before has not been answered.
    Repeat,
}

impl OrderReason {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Shortage => "shortage",
            Self::Spread => "spread",
            Self::Surplus => "surplus",
            Self::Replaced => "replaced",
            Self::Repeat => "repeat",
        }
    }
}

/// An order of an absolute number of engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOrder {
    /// Zone of the engines.
    pub zone: String,
    /// Kind of the engines.
    pub kind: EngineKind,
    /// Number of engines that there should be.
    pub count: u32,
    /// Number of engines that was expected before.
    pub before: u32,
    /// Why it is sent.
    pub reason: OrderReason,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is carried out.
    Accepted,
    /// There are no engines of this kind in this zone now.
    Unavailable,
    /// It is not carried out, and neither is a repeat.
    Refused,
    /// It is not carried out, as the platform is overloaded or the order was not sent.
    NotDone,
    /// It may be carried out, now or later.
    Unknown,
}

/// Wanted and expected engines of a zone and kind, for metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetTarget {
    /// Zone of the engines.
    pub zone: String,
    /// Kind of the engines.
    pub kind: EngineKind,
    /// Number of engines ordered, or listed where nothing is in progress.
    pub wanted: u32,
    /// Number of listed engines.
    pub listed: u32,
}
