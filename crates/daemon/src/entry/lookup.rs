//! `GET /v1/models` and `GET /v1/requests/{request_id}`.

use std::sync;

use acaciabank_protocol::{
    ids,
    reason::{Refusal, RefusalReason},
    verdict::Verdict,
};
use hyper::{StatusCode, header};
use serde_json::json;

use super::{EntryState, RequestScope, response};
use crate::{dispatch::BufferedResponse, process::listener::HttpResponse};

/// Lists the models and adapters of the inventory, in the form that model servers commonly use.
pub(super) fn list_models(scope: &RequestScope) -> HttpResponse {
    let mut data = Vec::new();
    for model in &scope.config().deployment.models {
        data.push(json!({"id": model.name, "object": "model"}));
        for adapter in &model.adapters {
            let name = format!("{}:{adapter}", model.name);
            data.push(json!({"id": name, "object": "model", "parent": model.name}));
        }
    }
    response::json(StatusCode::OK, &json!({"object": "list", "data": data}))
}

/// Returns the response to an earlier request of the same team, which the daemon that ran it
/// keeps.
pub(super) async fn find_response(
    entry: &sync::Arc<EntryState>,
    scope: &RequestScope,
    request_id: &str,
) -> Result<HttpResponse, Refusal> {
    let request_id = ids::RequestId::from(request_id);
    let state = &entry.state;
    let daemon = request_id.daemon().map(ids::DaemonId::from);
    let daemon = daemon.ok_or_else(not_found)?;
    let found = if daemon == state.settings.daemon {
        state.responses.find(&request_id, &scope.team)
    } else {
        let fetched = state
            .peers
            .fetch_response(&daemon, &request_id, &scope.team);
        fetched.await.map_err(|error| {
            let message = format!("the daemon that ran the request cannot be asked: {error}");
            lookup_refusal(RefusalReason::NotReady, message)
        })?
    };
    match found {
        BufferedResponse::Unknown | BufferedResponse::Forbidden => Err(not_found()),
        BufferedResponse::Running => Ok(running_response(&request_id)),
        BufferedResponse::Done {
            status,
            content_type,
            body,
        } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut response = response::with_type(status, &content_type, body);
            let version = scope.config().version;
            response::add_identity(response.headers_mut(), &request_id, version);
            Ok(response)
        }
    }
}

fn running_response(request_id: &ids::RequestId) -> HttpResponse {
    let body = json!({"request_id": request_id, "state": "running"});
    let mut response = response::json(StatusCode::ACCEPTED, &body);
    response.headers_mut().insert(header::RETRY_AFTER, 1.into());
    response
}

/// An unknown id and another team's id get the same refusal, so that ids cannot be probed.
fn not_found() -> Refusal {
    let message = "no answer under this request id for this team";
    lookup_refusal(RefusalReason::NotFound, message)
}

/// A refused look-up reveals nothing about whether the request ran, so its verdict must not be
/// `not_run`.
fn lookup_refusal(reason: RefusalReason, message: impl Into<String>) -> Refusal {
    Refusal::with_verdict(reason, Verdict::MayHaveRun, message)
}
