//! Handlers of completions and service calls: checks, dispatch and response.

use std::{sync, time};

use acaciabank_protocol::{
    reason::{Refusal, RefusalReason},
    wire::Priority,
};
use acaciabank_relay::memory::MemoryReservation;
use hyper::{HeaderMap, Method, Request, body::Incoming, header};
use xxhash_rust::xxh3::Xxh3;

use super::{
    EntryState, RequestScope,
    access::RuleSubject,
    body::{self, UnreadBody},
    parse, response,
    response::StreamErrorMode,
    running::{RunningGuard, RunningRequest},
};
use crate::{
    dispatch::{self, CallerRequest, RequestWork},
    idempotency,
    process::listener::HttpResponse,
    telemetry::names,
};

/// Priority, deadline and idempotency key from the headers of a request.
struct RequestMetadata {
    priority: Option<Priority>,
    deadline: time::Instant,
    idempotency_key: Option<String>,
}

impl RequestMetadata {
    fn parse(entry: &EntryState, scope: &RequestScope, head: &HeaderMap) -> Result<Self, Refusal> {
        let default_ms = entry.state.settings.timers.default_request_timeout_ms;
        Ok(Self {
            priority: parse::parse_priority(head)?,
            deadline: parse::parse_deadline(head, scope.arrival, default_ms)?,
            idempotency_key: parse::parse_idempotency_key(head)?,
        })
    }
}

/// Handles a completion.
pub(super) async fn run_completion(
    entry: &sync::Arc<EntryState>,
    scope: RequestScope,
    path: &'static str,
    request: Request<Incoming>,
) -> Result<HttpResponse, Refusal> {
    let (mut head, body) = request.into_parts();
    let body = UnreadBody::new(&mut head, body);
    let metadata = RequestMetadata::parse(entry, &scope, &head.headers)?;
    let guard = register_running(entry, &scope, &metadata, head.uri.path());
    let bytes = body.read(entry, metadata.deadline).await?;
    let memory = body::reserve_parsed(entry, &bytes)?;
    let fields = parse::parse_completion(path, &bytes)?;
    let model = scope.access.model(&fields.model)?;
    let fingerprint = fingerprint(&Method::POST, path, &bytes);
    drop(bytes);
    let error_mode = match fields.stream {
        true => StreamErrorMode::ErrorEvent,
        false => StreamErrorMode::Abort,
    };
    let subject = RuleSubject::Model(&model);
    let priority = check_rules(&scope, &metadata, subject)?;
    let work = RequestWork::Completion {
        model: model.clone(),
        path,
        prompt: fields.prompt,
        max_tokens: fields.max_tokens,
        stream: fields.stream,
        body: fields.body,
    };
    guard.update(priority, format!("model {model}"));
    let accepted = AcceptedRequest {
        scope,
        metadata,
        priority,
        fingerprint,
        work,
        error_mode,
        guard,
        memory,
    };
    accepted.dispatch(entry).await
}

/// Handles a service call.
pub(super) async fn run_service(
    entry: &sync::Arc<EntryState>,
    scope: RequestScope,
    request: Request<Incoming>,
) -> Result<HttpResponse, Refusal> {
    let (mut head, body) = request.into_parts();
    let body = UnreadBody::new(&mut head, body);
    let metadata = RequestMetadata::parse(entry, &scope, &head.headers)?;
    let guard = register_running(entry, &scope, &metadata, head.uri.path());
    let Some((service, path)) = parse::split_service_path(head.uri.path()) else {
        return Err(parse::bad_request(
            "path: /services/{service}/{path} is required",
        ));
    };
    let service = scope.access.service(service)?;
    let subject = RuleSubject::Service {
        service: &service,
        method: &head.method,
        path,
    };
    let priority = check_rules(&scope, &metadata, subject)?;
    let bytes = body.read(entry, metadata.deadline).await?;
    let path_and_query = match head.uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    let full_path = format!("/services/{service}{path_and_query}");
    let fingerprint = fingerprint(&head.method, &full_path, &bytes);
    let work = RequestWork::Service {
        service: service.clone(),
        method: head.method,
        path_and_query,
        headers: forwarded_headers(head.headers),
        body: bytes,
    };
    guard.update(priority, format!("service {service}"));
    let error_mode = StreamErrorMode::Abort;
    let accepted = AcceptedRequest {
        scope,
        metadata,
        priority,
        fingerprint,
        work,
        error_mode,
        guard,
        memory: Vec::new(),
    };
    accepted.dispatch(entry).await
}

/// Applies the `urgent` and `never_repeat` rules. Returns the priority.
fn check_rules(
    scope: &RequestScope,
    metadata: &RequestMetadata,
    subject: RuleSubject<'_>,
) -> Result<Priority, Refusal> {
    let priority = scope
        .access
        .priority(metadata.priority, &scope.team, subject)?;
    if metadata.idempotency_key.is_none() && scope.access.is_non_idempotent(subject) {
        return Err(Refusal::not_run(
            RefusalReason::KeyRequired,
            "the rules say that this request must never be repeated: send an idempotency-key",
        ));
    }
    Ok(priority)
}

/// A request that passed all checks and is ready for dispatch.
struct AcceptedRequest {
    scope: RequestScope,
    metadata: RequestMetadata,
    priority: Priority,
    fingerprint: u64,
    work: RequestWork,
    error_mode: StreamErrorMode,
    guard: RunningGuard,
    memory: Vec<MemoryReservation>,
}

impl AcceptedRequest {
    async fn dispatch(self, entry: &EntryState) -> Result<HttpResponse, Refusal> {
        count_request(self.priority);
        let scope = self.scope;
        let version = scope.config().version;
        let id = scope.id.clone();
        let request = CallerRequest {
            id: scope.id,
            team: scope.team,
            priority: self.priority,
            deadline: self.metadata.deadline,
            idempotent: self.metadata.idempotency_key.is_none(),
            write_deadline: None,
            fingerprint: self.fingerprint,
            work: self.work,
            memory: self.memory.into(),
            config: sync::Arc::clone(&scope.access.config),
        };
        let response = match self.metadata.idempotency_key {
            Some(key) => idempotency::run_keyed(&entry.state, &key, request).await?,
            None => dispatch::dispatch(&entry.state, request).await?,
        };
        // An engine may respond to a streaming request with an error that is not a stream.
        let is_event_stream = content_type(&response.headers).starts_with("text/event-stream");
        let error_mode = if is_event_stream {
            self.error_mode
        } else {
            StreamErrorMode::Abort
        };
        Ok(response::stream(
            response, &id, version, error_mode, self.guard,
        ))
    }
}

fn count_request(priority: Priority) {
    let label = match priority {
        Priority::Urgent => "urgent",
        Priority::Normal => "normal",
        Priority::Batch => "batch",
    };
    metrics::counter!(names::REQUESTS, "priority" => label).increment(1);
}

fn register_running(
    entry: &EntryState,
    scope: &RequestScope,
    metadata: &RequestMetadata,
    path: &str,
) -> RunningGuard {
    entry.running.insert(RunningRequest {
        id: scope.id.clone(),
        team: scope.team.clone(),
        priority: metadata.priority.unwrap_or_default(),
        work: path.to_owned(),
        arrival: scope.arrival,
    })
}

fn content_type(headers: &HeaderMap) -> &str {
    let value = headers.get(header::CONTENT_TYPE);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Hashes method, path and body. The length of each is hashed too, so that requests that divide
/// the same bytes differently have different fingerprints.
fn fingerprint(method: &Method, path: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [method.as_str().as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// Returns the headers to forward to a service. The caller's API key is meant for this system only
/// and is removed.
fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    response::remove_hop_by_hop(&mut headers);
    for name in [
        header::AUTHORIZATION,
        header::HOST,
        header::CONTENT_LENGTH,
        header::EXPECT,
    ] {
        headers.remove(name);
    }
    headers
}
