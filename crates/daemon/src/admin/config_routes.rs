//! Routes that read, replace and watch the deployment and drain targets.

use std::{sync, time};

use acaciabank_protocol::{
    ids,
    reason::{Refusal, RefusalReason},
    settings::Deployment,
    verdict::Verdict,
};
use hyper::{HeaderMap, Request, StatusCode, body::Incoming, header};
use serde_json::json;

use super::{AdminScope, not_found, read_body, table_refusal};
use crate::{
    config::{self, ConfigVersion, ProposeError},
    entry::{parse, response},
    process::listener::HttpResponse,
};

/// Maximum number of attempts of a drain that conflicts with concurrent changes.
const MAX_DRAIN_ATTEMPTS: u32 = 5;
/// Maximum time to wait for the conflicting version to arrive before the next attempt.
const MAX_DRAIN_RETRY_WAIT: time::Duration = time::Duration::from_secs(2);
/// Maximum time that a watch request waits for a newer version.
const MAX_WATCH_WAIT: time::Duration = time::Duration::from_secs(30);
/// Default of the query parameter `limit` of the history.
const DEFAULT_HISTORY_LIMIT: usize = 20;
/// Maximum of the query parameter `limit` of the history; higher values count as this one.
const MAX_HISTORY_LIMIT: usize = 1_000;

fn current_config(scope: &AdminScope) -> Result<sync::Arc<ConfigVersion>, Refusal> {
    let config = scope.entry.state.config.current();
    config.ok_or_else(|| Refusal::not_run(RefusalReason::NotReady, "no configuration learned yet"))
}

fn config_response(config: &ConfigVersion) -> HttpResponse {
    let body = json!({
        "version": config.version,
        "operator": config.operator,
        "deployment": config.deployment,
    });
    let mut response = response::json(StatusCode::OK, &body);
    if let Ok(tag) = header::HeaderValue::from_str(&format!("\"{}\"", config.version)) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

/// Handles `GET /admin/config`.
pub(super) fn current(scope: &AdminScope) -> Result<HttpResponse, Refusal> {
    Ok(config_response(&*current_config(scope)?))
}

/// Adds a target to the rule `drained` or removes it. Tries again when another change comes first.
pub(super) async fn set_drained(
    scope: &AdminScope,
    target: &str,
    drained: bool,
) -> Result<HttpResponse, Refusal> {
    let target = ids::TargetId::from(target);
    let mut attempts = 0;
    loop {
        attempts += 1;
        let config = current_config(scope)?;
        let mut deployment = config.deployment.clone();
        if !has_target(&deployment, &target) {
            return Err(not_found(format!("no target {target} in the inventory")));
        }
        let drained_targets = &mut deployment.rules.drained;
        if drained_targets.contains(&target) == drained {
            return Ok(version_response(config.version));
        }
        match drained {
            true => drained_targets.push(target.clone()),
            false => drained_targets.retain(|listed| listed != &target),
        }
        let state = &scope.entry.state;
        let proposed = config::propose(state, config.version, &scope.operator, deployment).await;
        match proposed {
            Ok(version) => return Ok(version_response(version)),
            Err(ProposeError::Conflict { version, .. }) if attempts < MAX_DRAIN_ATTEMPTS => {
                wait_for_version(scope, version.saturating_sub(1), MAX_DRAIN_RETRY_WAIT).await;
            }
            Err(error) => return propose_error_response(error),
        }
    }
}

fn has_target(deployment: &Deployment, target: &ids::TargetId) -> bool {
    let mut instances = deployment
        .services
        .iter()
        .flat_map(|service| &service.instances);
    deployment
        .engines
        .iter()
        .any(|engine| &engine.name == target)
        || instances.any(|instance| &instance.name == target)
}

/// Handles `PUT /admin/config`, which replaces the whole deployment.
pub(super) async fn replace(
    scope: &AdminScope,
    request: Request<Incoming>,
) -> Result<HttpResponse, Refusal> {
    let Some(expected) = expected_version(request.headers())? else {
        let body = json!({"error": {
            "reason": "precondition_required",
            "verdict": "not_run",
            "message": "if-match: the version that this change is based on is required",
        }});
        return Ok(response::json(StatusCode::PRECONDITION_REQUIRED, &body));
    };
    let body = read_body(request).await?;
    let deserializer = &mut serde_json::Deserializer::from_slice(&body);
    let deployment: Deployment = serde_path_to_error::deserialize(&mut *deserializer)
        .map_err(|error| parse::bad_request(format!("{}: {}", error.path(), error.inner())))?;
    deserializer
        .end()
        .map_err(|error| parse::bad_request(format!("body: {error}")))?;
    let state = &scope.entry.state;
    match config::propose(state, expected, &scope.operator, deployment).await {
        Ok(version) => Ok(version_response(version)),
        Err(error) => propose_error_response(error),
    }
}

/// Parses the header `if-match: VERSION`, with or without quotes.
fn expected_version(headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(header::IF_MATCH) else {
        return Ok(None);
    };
    let version = value.to_str().ok();
    let version = version.and_then(|text| text.trim().trim_matches('"').parse().ok());
    match version {
        Some(version) => Ok(Some(version)),
        None => Err(parse::bad_request("if-match: a version number is required")),
    }
}

fn version_response(version: u64) -> HttpResponse {
    response::json(StatusCode::OK, &json!({"version": version}))
}

fn propose_error_response(error: ProposeError) -> Result<HttpResponse, Refusal> {
    let message = error.to_string();
    match error {
        ProposeError::Conflict { version, operator } => {
            let body = json!({"error": {
                "reason": "version_conflict",
                "verdict": "not_run",
                "message": message,
                "version": version,
                "operator": operator,
            }});
            Ok(response::json(StatusCode::CONFLICT, &body))
        }
        ProposeError::Invalid(_) => Err(parse::bad_request(message)),
        ProposeError::Unavailable(_) => {
            Err(Refusal::not_run(RefusalReason::TableUnavailable, message))
        }
        ProposeError::Unknown(_) => Err(Refusal::with_verdict(
            RefusalReason::TableUnavailable,
            Verdict::MayHaveRun,
            message,
        )),
    }
}

/// Handles `GET /admin/config/history`.
pub(super) async fn history(
    scope: &AdminScope,
    request: &Request<Incoming>,
) -> Result<HttpResponse, Refusal> {
    let limit = parse_number_parameter(request, "limit")?.unwrap_or(DEFAULT_HISTORY_LIMIT as u64);
    let limit = limit.min(MAX_HISTORY_LIMIT as u64) as usize;
    let versions = config::history(&scope.entry.state, limit).await;
    let versions = versions.map_err(|error| table_refusal(&error))?;
    let versions: Vec<_> = versions
        .iter()
        .map(|config| {
            json!({
                "version": config.version,
                "operator": config.operator,
                "deployment": config.deployment,
            })
        })
        .collect();
    Ok(response::json(
        StatusCode::OK,
        &json!({"versions": versions}),
    ))
}

/// Handles `GET /admin/config/watch`. Waits until a version higher than `after` is current.
/// Responds with 304 if there is none within [`MAX_WATCH_WAIT`].
pub(super) async fn watch(
    scope: &AdminScope,
    request: &Request<Incoming>,
) -> Result<HttpResponse, Refusal> {
    let after = parse_number_parameter(request, "after")?.unwrap_or(0);
    wait_for_version(scope, after, MAX_WATCH_WAIT).await;
    let config = current_config(scope)?;
    if config.version > after {
        return Ok(config_response(&config));
    }
    let mut response = response::json(StatusCode::NOT_MODIFIED, &json!(null));
    *response.body_mut() = response::full("");
    Ok(response)
}

async fn wait_for_version(scope: &AdminScope, after: u64, max_wait: time::Duration) {
    let mut changed = scope.entry.state.config.subscribe();
    let newer = changed.wait_for(|version| *version > after);
    // On a timeout the caller continues with the current version.
    let _ = tokio::time::timeout(max_wait, newer).await;
}

fn parse_number_parameter(request: &Request<Incoming>, name: &str) -> Result<Option<u64>, Refusal> {
    let query = request.uri().query().unwrap_or_default();
    let Some(text) = parse::query_parameter(query, name) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(parse::bad_request(format!(
            "{name}: {text:?}: a number is required"
        ))),
    }
}
