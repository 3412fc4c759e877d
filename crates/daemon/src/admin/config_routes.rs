//! The deployment: read, replace, drain, history and watch.

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

/// Attempts of a drain that loses against concurrent changes.
const DRAIN_ATTEMPTS: u32 = 5;
/// Bounds the wait for the winning version to arrive here before the next attempt.
const DRAIN_RETRY_WAIT: time::Duration = time::Duration::from_secs(2);
/// Longest wait of a watch.
const WATCH_LIMIT: time::Duration = time::Duration::from_secs(30);
/// Versions in the history answer unless `limit=` says otherwise.
const HISTORY_LIMIT: usize = 20;
/// Versions in the history answer at most.
const HISTORY_MAX: usize = 1_000;

fn in_force(scope: &AdminScope) -> Result<sync::Arc<ConfigVersion>, Refusal> {
    let config = scope.entry.state.config.current();
    config.ok_or_else(|| Refusal::not_run(RefusalReason::NotReady, "no configuration learned yet"))
}

fn version_response(config: &ConfigVersion) -> HttpResponse {
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

pub(super) fn current(scope: &AdminScope) -> Result<HttpResponse, Refusal> {
    Ok(version_response(&*in_force(scope)?))
}

/// Sets or removes the rule `drained` of a target.
pub(super) async fn drain(
    scope: &AdminScope,
    target: &str,
    drained: bool,
) -> Result<HttpResponse, Refusal> {
    let target = ids::TargetId::from(target);
    let mut attempts = 0;
    loop {
        attempts += 1;
        let config = in_force(scope)?;
        let mut deployment = config.deployment.clone();
        if !has_target(&deployment, &target) {
            return Err(not_found(format!("no target {target} in the inventory")));
        }
        let rule = &mut deployment.rules.drained;
        if rule.contains(&target) == drained {
            return Ok(accepted(config.version));
        }
        match drained {
            true => rule.push(target.clone()),
            false => rule.retain(|known| known != &target),
        }
        let state = &scope.entry.state;
        let proposed = config::propose(state, config.version, &scope.operator, deployment).await;
        match proposed {
            Ok(version) => return Ok(accepted(version)),
            Err(ProposeError::Conflict { version, .. }) if attempts < DRAIN_ATTEMPTS => {
                wait_for_version(scope, version.saturating_sub(1), DRAIN_RETRY_WAIT).await;
            }
            Err(error) => return propose_failure(error),
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

/// Replaces the whole deployment.
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
        Ok(version) => Ok(accepted(version)),
        Err(error) => propose_failure(error),
    }
}

/// Reads `if-match: VERSION`, with or without quotes.
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

fn accepted(version: u64) -> HttpResponse {
    response::json(StatusCode::OK, &json!({"version": version}))
}

fn propose_failure(error: ProposeError) -> Result<HttpResponse, Refusal> {
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

pub(super) async fn history(
    scope: &AdminScope,
    request: &Request<Incoming>,
) -> Result<HttpResponse, Refusal> {
    let limit = number_parameter(request, "limit")?.unwrap_or(HISTORY_LIMIT as u64);
    let limit = limit.min(HISTORY_MAX as u64) as usize;
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

/// Waits until a version higher than `after` is in force; 304 when none is within the limit.
pub(super) async fn watch(
    scope: &AdminScope,
    request: &Request<Incoming>,
) -> Result<HttpResponse, Refusal> {
    let after = number_parameter(request, "after")?.unwrap_or(0);
    wait_for_version(scope, after, WATCH_LIMIT).await;
    let config = in_force(scope)?;
    if config.version > after {
        return Ok(version_response(&config));
    }
    let mut response = response::json(StatusCode::NOT_MODIFIED, &json!(null));
    *response.body_mut() = response::full("");
    Ok(response)
}

async fn wait_for_version(scope: &AdminScope, after: u64, limit: time::Duration) {
    let mut changed = scope.entry.state.config.subscribe();
    let newer = changed.wait_for(|version| *version > after);
    // Without a newer version in time the caller goes on with the version in force.
    let _ = tokio::time::timeout(limit, newer).await;
}

fn number_parameter(request: &Request<Incoming>, name: &str) -> Result<Option<u64>, Refusal> {
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
