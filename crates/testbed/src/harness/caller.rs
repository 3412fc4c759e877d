//! A client that follows the documented rules for callers: it requests the daemons' addresses,
//! caches them for their lifetime and retries at another daemon.

use std::{net, sync, time};

use acaciabank_protocol::wire;
use serde_json::{Value, json};

use crate::{engine, web};

/// Maximum backoff between two attempts.
const MAX_BACKOFF: time::Duration = time::Duration::from_millis(500);
/// Backoff after the first attempt; it doubles after each further attempt.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(20);
/// Timeout of one request for addresses.
const ADDRESS_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// A completion request to send.
#[derive(Clone, Debug, Default)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Number of tokens to generate.
    pub max_tokens: u64,
    /// Whether to request a streamed response.
    pub is_stream: bool,
    /// Additional headers, such as `x-priority`.
    pub headers: Vec<(String, String)>,
}

/// A service request to send.
#[derive(Clone, Debug, Default)]
pub struct ServiceRequest {
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path below the service, with the leading slash.
    pub path: String,
    /// Idempotency key, sent with every attempt.
    pub idempotency_key: Option<String>,
    /// Whether the request may be executed twice.
    pub is_idempotent: bool,
    /// Request body.
    pub body: String,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
}

/// An error response or an error event inside a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status; 200 when the error arrived inside a stream.
    pub status: u16,
    /// Reason, such as `no_target`.
    pub reason: String,
    /// Verdict: `not_run`, `may_have_run` or `ran`.
    pub verdict: String,
    /// Request id that the daemon assigned.
    pub request_id: String,
}

impl Refusal {
    fn from_json(status: u16, error: &Value) -> Self {
        let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
        Self {
            status,
            reason: text("reason"),
            verdict: text("verdict"),
            request_id: text("request_id"),
        }
    }

    /// Whether all documented fields are present and the verdict is a documented one.
    pub fn is_well_formed(&self) -> bool {
        let has_verdict = ["not_run", "may_have_run", "ran"].contains(&self.verdict.as_str());
        has_verdict && !self.reason.is_empty() && !self.request_id.is_empty()
    }
}

/// Result of a request over all attempts.
#[derive(Clone, Debug, Default)]
pub struct CallOutcome {
    /// Whether a complete and correct response arrived.
    pub is_complete: bool,
    /// Status of the last response; 0 without one.
    pub status: u16,
    /// Body of the last response.
    pub body: String,
    /// Generated text of a completion.
    pub text: String,
    /// Request id of the last response.
    pub request_id: String,
    /// Number of requests that the caller sent.
    pub attempts: u32,
    /// Refusals of all attempts, in order.
    pub refusals: Vec<Refusal>,
    /// Responses that break the documented guarantees, such as wrong text.
    pub violations: Vec<String>,
}

/// A request as sent on every attempt, with the rules for retries and the expected result.
struct CallPlan {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
    /// Whether the request may be retried when an earlier attempt may have run.
    is_repeatable: bool,
    expected_text: Option<String>,
}

/// Daemon addresses from the last response, and the end of their lifetime.
#[derive(Debug, Default)]
struct AddressCache {
    addresses: Vec<net::SocketAddr>,
    valid_until: Option<time::Instant>,
}

/// A caller with its cache of daemon addresses.
#[derive(Debug)]
pub struct Caller {
    seed_addresses: Vec<net::SocketAddr>,
    zone: Option<String>,
    timeout: time::Duration,
    cache: sync::Mutex<AddressCache>,
}

impl Caller {
    /// Creates a caller with the addresses of some daemons; it gives up on a request after
    /// `timeout`.
    pub fn new(
        seed_addresses: Vec<net::SocketAddr>,
        zone: Option<&str>,
        timeout: time::Duration,
    ) -> Self {
        Self {
            seed_addresses,
            zone: zone.map(str::to_owned),
            timeout,
            cache: sync::Mutex::default(),
        }
    }

    /// Returns the addresses to use: from the cache while it is valid, otherwise from the first
    /// daemon that responds.
    pub async fn addresses(&self) -> Vec<net::SocketAddr> {
        let cached_addresses = {
            let cache = self.cache.lock().expect("address lock");
            let is_valid = cache
                .valid_until
                .is_some_and(|end| time::Instant::now() < end);
            is_valid.then(|| cache.addresses.clone())
        };
        if let Some(addresses) = cached_addresses {
            return addresses;
        }
        let expired_addresses = self.cache.lock().expect("address lock").addresses.clone();
        for address in expired_addresses.iter().chain(&self.seed_addresses) {
            if let Some(response) = self.request_addresses(*address).await {
                let mut cache = self.cache.lock().expect("address lock");
                cache.addresses = response
                    .addresses
                    .iter()
                    .map(|entry| entry.address)
                    .collect();
                let lifetime = time::Duration::from_millis(response.lifetime_ms);
                cache.valid_until = Some(time::Instant::now() + lifetime);
                return cache.addresses.clone();
            }
        }
        self.seed_addresses.clone()
    }

    async fn request_addresses(&self, address: net::SocketAddr) -> Option<wire::AddressResponse> {
        let query = self.zone.as_ref().map(|zone| format!("?zone={zone}"));
        let path = format!("/v1/addresses{}", query.unwrap_or_default());
        let call = web::call(address, "GET", &path, &[], "");
        let response = tokio::time::timeout(ADDRESS_TIMEOUT, call)
            .await
            .ok()?
            .ok()?;
        let response = serde_json::from_slice::<wire::AddressResponse>(&response.body).ok()?;
        (!response.addresses.is_empty()).then_some(response)
    }

    /// Sends a completion request and retries it until it completes, fails with a non-retryable
    /// error or times out.
    pub async fn complete(&self, request: &CompletionRequest) -> CallOutcome {
        let body = json!({
            "model": request.model, "prompt": request.prompt,
            "max_tokens": request.max_tokens, "stream": request.is_stream,
        });
        let tokens = 0..request.max_tokens;
        let expected = engine::expected_text(&request.model, &request.prompt, tokens);
        let plan = CallPlan {
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            headers: request.headers.clone(),
            body: body.to_string(),
            is_repeatable: true,
            expected_text: Some(expected),
        };
        self.run(&plan).await
    }

    /// Sends a service request; retries carry the same idempotency key.
    pub async fn call_service(&self, request: &ServiceRequest) -> CallOutcome {
        let mut headers = request.headers.clone();
        if let Some(key) = &request.idempotency_key {
            headers.push((wire::IDEMPOTENCY_HEADER.to_owned(), key.clone()));
        }
        let plan = CallPlan {
            method: request.method.clone(),
            path: format!("/services/{}{}", request.service, request.path),
            headers,
            body: request.body.clone(),
            is_repeatable: request.is_idempotent || request.idempotency_key.is_some(),
            expected_text: None,
        };
        self.run(&plan).await
    }

    async fn run(&self, plan: &CallPlan) -> CallOutcome {
        let deadline = time::Instant::now() + self.timeout;
        let mut outcome = CallOutcome::default();
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let addresses = self.addresses().await;
            let index = outcome.attempts as usize % addresses.len().max(1);
            let Some(address) = addresses.get(index) else {
                outcome
                    .violations
                    .push("no daemon address is configured".to_owned());
                return outcome;
            };
            outcome.attempts += 1;
            let is_final = send_attempt(*address, plan, deadline, &mut outcome).await;
            if is_final || time::Instant::now() + backoff >= deadline {
                return outcome;
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Sends a request once; returns whether the outcome is final.
async fn send_attempt(
    address: net::SocketAddr,
    plan: &CallPlan,
    deadline: time::Instant,
    outcome: &mut CallOutcome,
) -> bool {
    let headers: Vec<(&str, &str)> = plan
        .headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_str()))
        .collect();
    let call = web::call(
        address,
        &plan.method,
        &plan.path,
        &headers,
        plan.body.clone(),
    );
    let response = tokio::time::timeout_at(deadline.into(), call).await;
    let Ok(Ok(response)) = response else {
        return !plan.is_repeatable;
    };
    outcome.status = response.status;
    outcome.body = String::from_utf8_lossy(&response.body).into_owned();
    let request_id = response.headers.get(wire::REQUEST_ID_HEADER);
    let request_id = request_id.and_then(|value| value.to_str().ok());
    outcome.request_id = request_id.unwrap_or_default().to_owned();
    if response.status < 300 {
        return check_response(plan, outcome);
    }
    let refusal = Refusal::from_json(response.status, &response.json()["error"]);
    record_refusal(plan, refusal, outcome)
}

/// Records a refusal; returns whether the documented rules forbid another attempt.
fn record_refusal(plan: &CallPlan, refusal: Refusal, outcome: &mut CallOutcome) -> bool {
    if !refusal.is_well_formed() {
        outcome
            .violations
            .push(format!("malformed refusal: {refusal:?}"));
    }
    let is_transient = refusal.status >= 500
        || refusal.status == 429
        || refusal.status == 200
        || refusal.reason == "key_in_progress";
    let is_allowed = plan.is_repeatable || refusal.verdict == "not_run";
    outcome.refusals.push(refusal);
    !(is_transient && is_allowed)
}

/// Checks a response with a success status; returns whether the outcome is final.
fn check_response(plan: &CallPlan, outcome: &mut CallOutcome) -> bool {
    let Some(expected) = &plan.expected_text else {
        outcome.is_complete = true;
        return true;
    };
    if outcome.body.starts_with('{') {
        let response: Value = serde_json::from_str(&outcome.body).unwrap_or_default();
        outcome.text = choice_text(&response);
    } else {
        match read_stream(&outcome.body) {
            Ok(text) => outcome.text = text,
            Err(Some(error)) => {
                let refusal = Refusal::from_json(outcome.status, &error);
                return record_refusal(plan, refusal, outcome);
            }
            Err(None) => {
                let violation = "the stream ended without [DONE]".to_owned();
                outcome.violations.push(violation);
                return false;
            }
        }
    }
    outcome.is_complete = outcome.text == *expected;
    if !outcome.is_complete {
        let violation = format!("expected text {expected:?}, got {:?}", outcome.text);
        outcome.violations.push(violation);
    }
    true
}

fn choice_text(response: &Value) -> String {
    let text = &response["choices"][0]["text"];
    text.as_str().unwrap_or_default().to_owned()
}

/// Returns the text of a stream.
///
/// # Errors
///
/// Returns the error object of an error event, or `None` when the stream ends before `[DONE]`.
fn read_stream(body: &str) -> Result<String, Option<Value>> {
    let mut text = String::new();
    for event in body.split("\n\n") {
        let is_error = event.lines().any(|line| line == "event: error");
        let data = event.lines().find_map(|line| line.strip_prefix("data: "));
        let Some(data) = data else {
            continue;
        };
        if data == "[DONE]" {
            return Ok(text);
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        if is_error {
            return Err(Some(value["error"].clone()));
        }
        text.push_str(&choice_text(&value));
    }
    Err(None)
}
