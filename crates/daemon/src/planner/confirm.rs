//! An operator's confirmation that an order of an earlier holder can no longer take effect.

use acaciabank_core::order::{IntentState, TargetRow};
use acaciabank_protocol::ids;

use super::rows;
use crate::{process, table::TableError, target::TargetKind};

/// Why a confirmation was not accepted.
#[derive(Debug, thiserror::Error)]
pub enum ConfirmError {
    /// No such engine in the inventory.
    #[error("no such engine in the inventory")]
    UnknownTarget,
    /// The last order is finished.
    #[error("the target has no open order")]
    NoOpenOrder,
    /// The open order belongs to the holder's own term: the holder may still send it.
    #[error("the open order belongs to the lease's current term, whose holder may still send it")]
    CurrentTerm,
    /// The table service failed.
    #[error("table service: {0}")]
    Table(#[from] TableError),
}

/// Ends the open order of a target as failed; the operator vouches that it can no longer arrive.
///
/// # Errors
///
/// See [`ConfirmError`].
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
    state.table.transact(&rows::new_operation(), &[put]).await?;
    Ok(ended)
}
