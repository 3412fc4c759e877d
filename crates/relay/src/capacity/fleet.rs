//! The engines of a service as the platform lists them.

use acaciabank_core::capacity::FleetView;

use crate::target;

/// Counts the engines of each zone that serve, and the spot engines that are taken away.
pub(super) fn fleet_view(targets: &target::TargetRegistry, service: &str) -> FleetView {
    let mut view = FleetView::new();
    for target in targets.of_service(service) {
        let zone = &target.entry.zone;
        let counts = match view.get_mut(zone) {
            Some(counts) => counts,
            None => view.entry(zone.clone()).or_default(),
        };
        let is_serving =
            !target.is_draining.get() && !target.is_leaving() && !target.is_replaced.get();
        match (target.entry.is_spot, is_serving) {
            (false, true) => counts.on_demand += 1,
            (true, true) => counts.spot += 1,
            (true, false) if target.leaves_ms.get().is_some() => counts.reclaimed += 1,
            (_, false) => {}
        }
    }
    view
}
