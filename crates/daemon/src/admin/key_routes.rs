//! Routes that show and resolve the rows of idempotency keys.

use acaciabank_protocol::{ids, reason::Refusal};
use hyper::{Request, StatusCode, body::Incoming};

use super::{AdminScope, not_found, read_json, table_refusal};
use crate::{
    entry::{parse, response},
    idempotency,
    process::listener::HttpResponse,
};

/// Handles `GET /admin/keys/{team}/{key}`.
pub(super) async fn report(
    scope: &AdminScope,
    team: &str,
    key: &str,
) -> Result<HttpResponse, Refusal> {
    check_key(key)?;
    let found = idempotency::report(&scope.entry.state, &ids::TeamId::from(team), key).await;
    report_response(found)
}

/// Body of `POST /admin/keys/{team}/{key}/resolve`.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Resolution {
    ran: bool,
}

/// Handles `POST /admin/keys/{team}/{key}/resolve`, by which an operator records whether an
/// unresolved request ran.
pub(super) async fn resolve(
    scope: &AdminScope,
    team: &str,
    key: &str,
    request: Request<Incoming>,
) -> Result<HttpResponse, Refusal> {
    check_key(key)?;
    let resolution: Resolution = read_json(request).await?;
    let operator = scope.operator.as_str();
    let team_id = ids::TeamId::from(team);
    let state = &scope.entry.state;
    let resolved = idempotency::resolve(state, &team_id, key, operator, resolution.ran).await;
    log::info!(
        operator = operator, team = team, key = key, ran = resolution.ran;
        "key resolution: {}", if resolved.is_ok() { "accepted" } else { "failed" }
    );
    report_response(resolved)
}

fn check_key(key: &str) -> Result<(), Refusal> {
    match parse::is_valid_key(key.as_bytes()) {
        true => Ok(()),
        false => Err(parse::bad_request("key: not a valid idempotency key")),
    }
}

fn report_response(
    result: Result<Option<idempotency::KeyReport>, crate::table::TableError>,
) -> Result<HttpResponse, Refusal> {
    match result {
        Ok(Some(report)) => Ok(response::json(StatusCode::OK, &report)),
        Ok(None) => Err(not_found(
            "no record of this key, or none that can be resolved",
        )),
        Err(error) => Err(table_refusal(&error)),
    }
}
