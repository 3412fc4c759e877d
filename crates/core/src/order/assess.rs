//! Judges an open order by the state that its target reports.

use acaciabank_protocol::wire;

use super::TargetRow;

/// Progress of an open order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderProgress {
    /// In force at the target.
    Done,
    /// Ended at the target without effect.
    Failed,
    /// Under way, or another change is.
    Running,
    /// Not known at the target: not arrived, or lost by a restart.
    Missing,
}

/// Judges an order by the observed state. An order that the target does not know counts as done
/// only when the target states its order id: an equal state may come from an earlier order.
pub fn assess(row: &TargetRow, observed: &wire::EngineState) -> OrderProgress {
    let last = observed
        .last_order
        .as_ref()
        .filter(|last| last.order_id == row.order.order_id);
    match last.map(|last| last.outcome) {
        Some(wire::OrderOutcome::Done) => OrderProgress::Done,
        Some(wire::OrderOutcome::Failed) => OrderProgress::Failed,
        Some(wire::OrderOutcome::Running) => OrderProgress::Running,
        None if observed.switching.is_some() => OrderProgress::Running,
        None => OrderProgress::Missing,
    }
}

/// Whether the observed state already is what an action asks for.
pub fn is_in_force(action: &wire::OrderAction, observed: &wire::EngineState) -> bool {
    match action {
        wire::OrderAction::SetRole { role } => observed.role == *role,
        wire::OrderAction::LoadModel { model, version } => observed
            .models
            .iter()
            .any(|loaded| &loaded.model == model && &loaded.version == version),
        wire::OrderAction::LoadAdapter { model, adapter } => observed
            .models
            .iter()
            .any(|loaded| &loaded.model == model && loaded.adapters.contains(adapter)),
        wire::OrderAction::UnloadModel { model } => {
            !observed.models.iter().any(|loaded| &loaded.model == model)
        }
    }
}
