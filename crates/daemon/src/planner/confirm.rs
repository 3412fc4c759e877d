//! Confirmation by an operator that an order of an earlier lease holder can no longer take effect.

use acaciabank_core::order::{IntentState, TargetRow};
use acaciabank_protocol::ids;

use super::rows;
use crate::{process, table::TableError, target::TargetKind};

/// Reason why a confirmation was rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfirmError {
    /// The target is not an engine of the deployment in force.
    #[error("no such engine in the inventory")]
    UnknownTarget,
    /// The target's last order is finished.
    #[error("the target has no open order")]
    NoOpenOrder,
    /// The open order belongs to the lease's current term, so that its holder may still send it.
    #[error("the open order belongs to the lease's current term, whose holder may still send it")]
    CurrentTerm,
    /// A read or write of the table failed.
    #[error("table service: {0}")]
    Table(#[from] TableError),
}

/// Records the open order of a target as failed. The operator confirms that the order can no longer
/// reach the target.
///
/// # Errors
///
/// Returns a [`ConfirmError`] if the target is not an engine, if it has no open order of an earlier
/// term, or if the table service fails.
pub async fn confirm_takeover(
    state: &process::ProcessState,
    target: &ids::TargetId,
    operator: &str,
) -> Result<TargetRow, ConfirmError> {
    let known = state.targets.find(target);
    let known = known.ok_or(ConfirmError::UnknownTarget)?;
    let TargetKind::Engine { model, .. } = &known.kind else {
        return Err(ConfirmError::UnknownTarget);
    };
    let lease = rows::read_lease(&state.table, model).await?;
    let stored = rows::read_target(&state.table, target).await?;
    let row = stored.open_row().ok_or(ConfirmError::NoOpenOrder)?;
    let term = lease.map_or(0, |lease| lease.body.term);
    if row.term >= term {
        return Err(ConfirmError::CurrentTerm);
    }
    let ended = TargetRow {
        state: IntentState::Failed,
        confirmed_term: Some(term),
        operator: Some(operator.to_owned()),
        ..row.clone()
    };
    let put = stored.put(target, &ended);
    state
        .table
        .transact(&rows::new_operation_id(), &[put])
        .await?;
    Ok(ended)
}
