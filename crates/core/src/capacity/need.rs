//! Number of engines that a load needs, and its maximum over the recent past.

use std::collections::VecDeque;

use super::{EngineLoad, ScalingSpec};

/// Share of the spot fleet that the load keeps busy. Half of the fleet is left because one kind of
/// request may double before an engine has booted, the rest for uneven load of the two stages.
const SPOT_UTILISATION: f64 = 0.4;
/// Share of the fleet that the present load keeps busy where spot engines are not to be had: on-demand
/// engines cost several times as much. An expected rise is left to spot engines of other zones.
const ON_DEMAND_UTILISATION: f64 = 0.6;
/// Share of the remaining engines that urgent work keeps busy after the loss of the largest spot
/// zone, until others have booted.
const LOSS_UTILISATION: f64 = 0.8;
/// Share of the on-demand base that urgent work keeps busy after the loss of all spot engines.
const BASE_UTILISATION: f64 = 0.9;
/// Smallest on-demand base, as a share of the fleet: the load of urgent work may rise from nothing.
const MIN_BASE_SHARE: f64 = 0.1;
/// Share of refused requests from which the estimate of the need counts as too low.
const HIGH_REFUSED_SHARE: f64 = 0.02;
/// Factor by which the fleet grows while too many requests are refused.
const REFUSED_GROWTH: f64 = 1.25;
/// Largest factor by which refusals raise the need: beyond it, more engines do not help.
const MAX_REFUSED_GROWTH: f64 = 1.6;
/// Time for which a need is kept, in boots: the fleet follows the largest of this time, so that a
/// wave of bursts does not make it shrink and grow.
const HOLD_BOOTS: u64 = 8;
/// The same for on-demand engines that stand in for spot engines: they are dear, and are given up
/// once spot engines serve again.
const STAND_IN_HOLD_BOOTS: u64 = 3;
/// The same for the on-demand base, which is small: changing it costs more than keeping it.
const BASE_HOLD_BOOTS: u64 = 20;

/// Numbers of engines that a service needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct EngineNeed {
    /// Engines of both kinds, if spot engines are to be had.
    pub(super) total: u32,
    /// Engines of both kinds, if those beyond the spot engines are on-demand.
    pub(super) firm: u32,
    /// On-demand engines that stay when all spot engines are lost.
    pub(super) base: u32,
    /// Engines that must be left when the largest spot zone is lost.
    pub(super) survivors: u32,
}

impl EngineNeed {
    /// The need before any load is known: as many engines as there were at the start. If spot
    /// engines serve already, an earlier planner has chosen their number, and it stays too.
    pub(super) fn initial(on_demand: u32, spot: u32) -> Self {
        let total = on_demand + spot;
        Self {
            total,
            firm: total,
            base: match spot {
                0 => share(total, MIN_BASE_SHARE),
                _ => on_demand,
            },
            survivors: 0,
        }
    }

    /// The need of a load while `present` engines serve.
    pub(super) fn of_load(load: &EngineLoad, present: u32) -> Self {
        let total = engines(load.all, SPOT_UTILISATION);
        let firm = engines(load.all_now, ON_DEMAND_UTILISATION);
        let is_short = load.refused_share > HIGH_REFUSED_SHARE;
        let grown = |need: u32| {
            let limit = share(need, MAX_REFUSED_GROWTH);
            match is_short {
                true => need.max(share(present, REFUSED_GROWTH).min(limit)),
                false => need,
            }
        };
        Self {
            total: grown(total),
            firm: grown(firm),
            base: engines(load.urgent_now, BASE_UTILISATION).max(share(
                engines(load.all_now, SPOT_UTILISATION),
                MIN_BASE_SHARE,
            )),
            survivors: engines(load.urgent_now, LOSS_UTILISATION),
        }
    }

    fn max(self, other: Self) -> Self {
        Self {
            total: self.total.max(other.total),
            firm: self.firm.max(other.firm),
            base: self.base.max(other.base),
            survivors: self.survivors.max(other.survivors),
        }
    }

    /// Restricts the need to the limits of all zones together.
    pub(super) fn within(self, scaling: &ScalingSpec, zones: u32) -> Self {
        let (min, max) = (scaling.min * zones, scaling.max * zones);
        let clamp = |count: u32| count.clamp(min.min(max), max);
        Self {
            total: clamp(self.total),
            firm: clamp(self.firm),
            base: clamp(self.base),
            survivors: self.survivors.min(max),
        }
    }
}

fn engines(busy: f64, utilisation: f64) -> u32 {
    (busy / utilisation).ceil() as u32
}

fn share(count: u32, share: f64) -> u32 {
    (f64::from(count) * share).ceil() as u32
}

/// Needs of the recent past, one for each round of planning: a few hundred.
#[derive(Clone, Debug, Default)]
pub(super) struct NeedHistory {
    needs: VecDeque<(u64, EngineNeed)>,
}

impl NeedHistory {
    /// Records a need and returns the largest of the time that counts.
    pub(super) fn record(&mut self, now_ms: u64, need: EngineNeed, boot_ms: u64) -> EngineNeed {
        let since_ms = |boots: u64| now_ms.saturating_sub(boots * boot_ms);
        let oldest_ms = since_ms(BASE_HOLD_BOOTS);
        self.needs.push_back((now_ms, need));
        while self
            .needs
            .front()
            .is_some_and(|(at_ms, _)| *at_ms < oldest_ms)
        {
            self.needs.pop_front();
        }
        let held = |at_ms: u64, boots: u64, count: u32| match at_ms >= since_ms(boots) {
            true => count,
            false => 0,
        };
        let counting = self.needs.iter().map(|(at_ms, need)| EngineNeed {
            total: held(*at_ms, HOLD_BOOTS, need.total),
            firm: held(*at_ms, STAND_IN_HOLD_BOOTS, need.firm),
            survivors: held(*at_ms, STAND_IN_HOLD_BOOTS, need.survivors),
            base: need.base,
        });
        counting.fold(EngineNeed::default(), EngineNeed::max)
    }
}
