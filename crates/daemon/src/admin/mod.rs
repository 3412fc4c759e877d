//! The operators' HTTP interface, with metrics and health checks.

mod config_routes;
mod health;
mod key_routes;
mod state_routes;
mod takeover_routes;

use std::sync;

use acaciabank_protocol::{
    reason::{Refusal, RefusalReason},
    settings::LogLevel,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, StatusCode, body::Incoming, header};
use serde_json::json;

use crate::{
    entry::{self, EntryState, access, response},
    process::listener::HttpResponse,
    telemetry,
};

/// Maximum body of an operator's request; the deployment of 1,300 engines takes about 400 KB.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// An authenticated request of an operator.
struct AdminScope {
    entry: sync::Arc<EntryState>,
    operator: String,
}

/// Handles one request of an operator.
pub async fn handle(entry: sync::Arc<EntryState>, request: Request<Incoming>) -> HttpResponse {
    let version = entry.state.config.version();
    match route(entry, request).await {
        Ok(response) => response,
        Err(refusal) => refusal_response(&refusal, version),
    }
}

/// Creates the response to a refused request. It has the form of callers' refusals but is not
/// counted with them.
fn refusal_response(refusal: &Refusal, version: u64) -> HttpResponse {
    let status = StatusCode::from_u16(refusal.reason.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = response::json(status, &refusal.to_json(None));
    if let Some(seconds) = refusal.retry_after_s {
        let value = header::HeaderValue::from(seconds);
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    let header_name = acaciabank_protocol::wire::CONFIG_VERSION_HEADER;
    response.headers_mut().insert(header_name, version.into());
    response
}

async fn route(
    entry: sync::Arc<EntryState>,
    request: Request<Incoming>,
) -> Result<HttpResponse, Refusal> {
    match request.uri().path() {
        "/healthz" => return Ok(response::with_type(StatusCode::OK, "text/plain", "ok\n")),
        "/readyz" => return Ok(health::readiness(&entry.state)),
        "/metrics" => {
            let text = telemetry::install_metrics().render();
            return Ok(response::with_type(
                StatusCode::OK,
                METRICS_CONTENT_TYPE,
                text,
            ));
        }
        _ => {}
    }
    let operator = authenticate(&entry, &request)?;
    let scope = AdminScope { entry, operator };
    let path = request.uri().path().to_owned();
    let segments: Vec<String> = path
        .trim_start_matches('/')
        .split('/')
        .map(entry::parse::percent_decode)
        .collect();
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    let is_get = request.method() == Method::GET;
    let is_post = request.method() == Method::POST;
    match segments.as_slice() {
        ["admin", "status"] if is_get => Ok(state_routes::status(&scope)),
        ["admin", "targets"] if is_get => Ok(state_routes::targets(&scope)),
        ["admin", "requests"] if is_get => Ok(state_routes::requests(&scope)),
        ["admin", "targets", target, "drain"] if is_post => {
            config_routes::set_drained(&scope, target, true).await
        }
        ["admin", "targets", target, "undrain"] if is_post => {
            config_routes::set_drained(&scope, target, false).await
        }
        ["admin", "targets", target, "confirm-takeover"] if is_post => {
            takeover_routes::confirm(&scope, target).await
        }
        ["admin", "config"] if is_get => config_routes::current(&scope),
        ["admin", "config"] if request.method() == Method::PUT => {
            config_routes::replace(&scope, request).await
        }
        ["admin", "config", "history"] if is_get => config_routes::history(&scope, &request).await,
        ["admin", "config", "watch"] if is_get => config_routes::watch(&scope, &request).await,
        ["admin", "keys", team, key] if is_get => key_routes::report(&scope, team, key).await,
        ["admin", "keys", team, key, "resolve"] if is_post => {
            key_routes::resolve(&scope, team, key, request).await
        }
        ["admin", "log-level"] if is_post => set_log_level(&scope, request).await,
        _ => Err(not_found("no such path or method")),
    }
}

/// Returns the operator of a request. Operators are part of the configuration, so only health and
/// metrics are available before one has been received.
fn authenticate(entry: &EntryState, request: &Request<Incoming>) -> Result<String, Refusal> {
    let access: sync::Arc<access::AccessTable> = entry.access()?;
    access.operator(request.headers())
}

async fn set_log_level(
    scope: &AdminScope,
    request: Request<Incoming>,
) -> Result<HttpResponse, Refusal> {
    /// Body of `POST /admin/log-level`.
    #[derive(serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    struct LevelChange {
        level: LogLevel,
    }
    let change: LevelChange = read_json(request).await?;
    telemetry::logging::set_level(change.level);
    log::info!(operator = scope.operator.as_str(); "log level set to {:?}", change.level);
    Ok(response::json(
        StatusCode::OK,
        &json!({"level": change.level}),
    ))
}

async fn read_body(request: Request<Incoming>) -> Result<Bytes, Refusal> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    match body.collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Refusal::not_run(
            RefusalReason::BodyTooLarge,
            format!("body is over the limit of {MAX_BODY_BYTES} bytes"),
        )),
        Err(error) => Err(entry::parse::bad_request(format!("body: {error}"))),
    }
}

async fn read_json<Value>(request: Request<Incoming>) -> Result<Value, Refusal>
where
    Value: serde::de::DeserializeOwned,
{
    let body = read_body(request).await?;
    serde_json::from_slice(&body)
        .map_err(|error| entry::parse::bad_request(format!("body: {error}")))
}

fn not_found(message: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalReason::NotFound, message)
}

/// Creates a refusal for a failed call to the table service. A write without a response may have
/// taken effect.
fn table_refusal(error: &crate::table::TableError) -> Refusal {
    use acaciabank_protocol::verdict::Verdict;

    use crate::table::TableError;
    let verdict = match error {
        TableError::Unknown(_) | TableError::Invalid(_) => Verdict::MayHaveRun,
        TableError::Conflict(_) | TableError::Unavailable(_) => Verdict::NotRun,
    };
    let message = format!("table service: {error}");
    Refusal::with_verdict(RefusalReason::TableUnavailable, verdict, message)
}
