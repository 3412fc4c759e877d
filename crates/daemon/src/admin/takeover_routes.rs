//! Routes that confirm the takeover of a target by a new planner.

use acaciabank_protocol::{ids, reason::Refusal};
use hyper::StatusCode;

use super::{AdminScope, not_found, table_refusal};
use crate::{
    entry::{parse, response},
    planner::{ConfirmError, confirm_takeover},
    process::listener::HttpResponse,
};

/// Handles `POST /admin/targets/{target}/confirm-takeover`, which ends the open order of an engine
/// that ignores fencing tokens.
pub(super) async fn confirm(scope: &AdminScope, target: &str) -> Result<HttpResponse, Refusal> {
    let target = ids::TargetId::from(target);
    let operator = scope.operator.as_str();
    match confirm_takeover(&scope.entry.state, &target, operator).await {
        Ok(row) => {
            log::info!(
                operator = operator, order = row.order.order_id.as_str();
                "takeover of target {target} confirmed"
            );
            Ok(response::json(StatusCode::OK, &row))
        }
        Err(ConfirmError::Table(error)) => Err(table_refusal(&error)),
        Err(error @ ConfirmError::CurrentTerm) => Err(parse::bad_request(error.to_string())),
        Err(error) => Err(not_found(error.to_string())),
    }
}
