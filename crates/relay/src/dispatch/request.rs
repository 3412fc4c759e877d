//! A request as it was accepted, and what its attempts have done.

use std::time::{Duration, Instant};

use acaciabank_core::{budget, parts, refuse};
use acaciabank_protocol::verdict::Verdict;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use xxhash_rust::xxh3::Xxh3;

use super::refusal::RefusalAnswer;
use crate::{config, edge, state, telemetry::RefusalCause};

/// Time before the caller's own deadline at which the final answer leaves, for the way back.
const RETURN_MARGIN: Duration = Duration::from_millis(30);
/// Time for a request whose caller names none and whose route has no timeout.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// A request that passed the checks of the entry.
#[derive(Debug)]
pub struct RelayRequest {
    /// Id of the caller's attempt.
    pub id: String,
    /// Route that it came by.
    pub route: config::RouteRule,
    /// Service that runs it.
    pub service: String,
    /// Method.
    pub method: http::Method,
    /// Path and query.
    pub uri: http::Uri,
    /// Headers for the target.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Hash of path and body, equal when a caller sends the request again.
    pub fingerprint: u64,
    /// When it arrived.
    pub arrival: Instant,
    /// Time of the final answer at the latest.
    pub deadline: Instant,
    /// What the caller says of it.
    pub terms: edge::CallerTerms,
    /// Parts of the prompt.
    pub parts: Vec<parts::PromptPart>,
    /// Version of the configuration that it runs on.
    pub config_version: u64,
    _active: state::ActiveGuard,
}

impl RelayRequest {
    /// Reads the body and fixes the terms of the request.
    pub async fn read<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
        state: &state::RelayState<Codec, Store>,
        config: &config::RelayConfig,
        route: &config::RouteRule,
        terms: edge::CallerTerms,
        request: http::Request<Incoming>,
    ) -> Result<Self, RefusalAnswer> {
        let arrival = Instant::now();
        let active = state::ActiveGuard::start(&state.active);
        let caller_ms = terms.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        let caller_deadline = arrival + Duration::from_millis(caller_ms);
        let timeout = arrival + Duration::from_millis(route.timeout_ms);
        let deadline = timeout.min(caller_deadline - RETURN_MARGIN.min(caller_deadline - arrival));
        let (head, body) = request.into_parts();
        let body = read_body(body, config.limits.max_body_bytes, deadline).await?;
        let service = route.pick_service(rand::random());
        let service = service.ok_or(RefusalAnswer::not_run(RefusalCause::NoTarget))?;
        let parts = terms.generation.as_ref().map_or(Vec::new(), |generation| {
            let parts = generation.parts.iter();
            let part = |(id, tokens): &(String, u32)| {
                parts::PromptPart::new(&generation.model, id, *tokens)
            };
            parts.map(part).collect()
        });
        Ok(Self {
            id: terms.attempt_id.clone().unwrap_or_default(),
            service: service.to_owned(),
            route: route.clone(),
            method: head.method,
            fingerprint: fingerprint(&head.uri, &body),
            uri: head.uri,
            headers: state.codec.forward_headers(&head.headers),
            body,
            arrival,
            deadline,
            terms,
            parts,
            config_version: config.version,
            _active: active,
        })
    }

    /// Whether an engine generates the answer.
    pub fn is_generation(&self) -> bool {
        self.terms.generation.is_some()
    }

    /// Time until the final answer is due.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Milliseconds that a target may take: until the caller leaves or the route's timeout.
    pub fn left_ms(&self) -> u64 {
        self.left().as_millis() as u64
    }

    /// Tokens of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        let generation = self.terms.generation.as_ref();
        generation.map_or(0, |generation| generation.prompt_tokens)
    }

    /// Terms by which it is refused for load.
    pub fn intake_terms(&self, progress: &RequestProgress) -> refuse::IntakeTerms {
        refuse::IntakeTerms {
            target_latency_ms: self.route.target_latency_ms,
            priority: self.route.priority,
            left_ms: self.left_ms(),
            is_return: progress.ledger.has_calls(),
        }
    }

    /// Milliseconds since the arrival.
    pub fn elapsed_ms(&self) -> u64 {
        self.arrival.elapsed().as_millis() as u64
    }
}

async fn read_body(
    body: Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, RefusalAnswer> {
    let collect = Limited::new(body, limit).collect();
    match tokio::time::timeout_at(deadline.into(), collect).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(RefusalAnswer::not_run(RefusalCause::BodyTooLarge))
        }
        Ok(Err(error)) => {
            log::debug!("body: {error}");
            Err(RefusalAnswer::not_run(RefusalCause::BodyIncomplete))
        }
        Err(_) => Err(RefusalAnswer::not_run(RefusalCause::DeadlinePassed)),
    }
}

fn fingerprint(uri: &http::Uri, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    hasher.update(path.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.digest()
}

/// What the attempts of a request have done so far.
#[derive(Debug)]
pub struct RequestProgress {
    /// What is known about the execution of the request.
    pub verdict: Verdict,
    /// Targets that may have begun to run it.
    pub runs: u32,
    /// Requests that were sent to targets.
    pub sends: u32,
    /// Calls and what they cost the retry budget.
    pub ledger: budget::CallLedger,
    /// Short names of the targets that failed it.
    pub avoided: Vec<u64>,
}

impl Default for RequestProgress {
    fn default() -> Self {
        Self {
            verdict: Verdict::NotRun,
            runs: 0,
            sends: 0,
            ledger: budget::CallLedger::default(),
            avoided: Vec::new(),
        }
    }
}
