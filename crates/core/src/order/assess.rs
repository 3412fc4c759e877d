//! Assesses an unfinished order by the state that its target reports.

use acaciabank_protocol::wire;

use super::TargetRow;

/// Progress of an unfinished order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderProgress {
    /// The order took effect.
    Done,
    /// The order ended without effect.
    Failed,
    /// The order, or another change of the target, is in progress.
    Running,
    /// The target does not know the order: it has not arrived, or a restart lost it.
    Missing,
}

/// Assesses an order by the observed state. The order counts as done only if the target reports its
/// order id: the wanted state alone may come from an earlier order.
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

/// Returns whether the observed state already is the one that an action asks for.
pub fn is_satisfied(action: &wire::OrderAction, observed: &wire::EngineState) -> bool {
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
