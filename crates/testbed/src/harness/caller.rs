//! A caller that follows the documented rules: asks for addresses, keeps them for their lifetime,
//! retries elsewhere.

use std::{net, sync, time};

use acaciabank_protocol::wire;
use serde_json::{Value, json};

use crate::{engine, web};

/// Longest pause between two attempts.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(500);
/// First pause between two attempts; it doubles.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Limit for an answer about addresses.
const ADDRESS_LIMIT: time::Duration = time::Duration::from_secs(2);

/// A completion to ask for.
#[derive(Clone, Debug, Default)]
pub struct CompletionRequest {
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: u64,
    /// Whether to ask for a stream.
    pub is_stream: bool,
    /// More headers, such as `x-priority`.
    pub headers: Vec<(String, String)>,
}

/// A service call.
#[derive(Clone, Debug, Default)]
pub struct ServiceRequest {
    /// Service.
    pub service: String,
    /// Method.
    pub method: String,
    /// Path below the service, with its first slash.
    pub path: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether the call may run twice.
    pub is_idempotent: bool,
    /// Body.
    pub body: String,
    /// More headers.
    pub headers: Vec<(String, String)>,
}

/// A refusal that a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status; 200 inside a stream.
    pub status: u16,
    /// Reason.
    pub reason: String,
    /// Verdict.
    pub verdict: String,
    /// Request id.
    pub request_id: String,
}

impl Refusal {
    fn read(status: u16, error: &Value) -> Self {
        let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
        Self {
            status,
            reason: text("reason"),
            verdict: text("verdict"),
            request_id: text("request_id"),
        }
    }

    /// Whether all documented members are present with a documented verdict.
    pub fn is_well_formed(&self) -> bool {
        let has_verdict = ["not_run", "may_have_run", "ran"].contains(&self.verdict.as_str());
        has_verdict && !self.reason.is_empty() && !self.request_id.is_empty()
    }
}

/// What became of a request.
#[derive(Clone, Debug, Default)]
pub struct CallOutcome {
    /// Whether a complete and correct answer arrived.
    pub is_complete: bool,
    /// Status of the last answer; 0 without one.
    pub status: u16,
    /// Body of the last answer.
    pub body: String,
    /// Generated text of a completion.
    pub text: String,
    /// Request id of the last answer.
    pub request_id: String,
    /// Attempts of the caller.
    pub attempts: u32,
    /// Refusals on the way.
    pub refusals: Vec<Refusal>,
    /// Answers that break the documented promises, such as wrong text.
    pub violations: Vec<String>,
}

/// One request as sent.
struct CallPlan {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
    /// Whether a repetition is allowed when the request may have run.
    is_repeatable: bool,
    expected_text: Option<String>,
}

#[derive(Debug, Default)]
struct AddressCache {
    addresses: Vec<net::SocketAddr>,
    valid_until: Option<time::Instant>,
}

/// A caller with its cache of addresses.
#[derive(Debug)]
pub struct Caller {
    known: Vec<net::SocketAddr>,
    zone: Option<String>,
    limit: time::Duration,
    cache: sync::Mutex<AddressCache>,
}

impl Caller {
    /// A caller that knows some daemons and gives up on a request after `limit`.
    pub fn new(known: Vec<net::SocketAddr>, zone: Option<&str>, limit: time::Duration) -> Self {
        Self {
            known,
            zone: zone.map(str::to_owned),
            limit,
            cache: sync::Mutex::default(),
        }
    }

    /// Addresses to use, from the cache or from any known daemon.
    pub async fn addresses(&self) -> Vec<net::SocketAddr> {
        let cached = {
            let cache = self.cache.lock().expect("address lock");
            let is_valid = cache
                .valid_until
                .is_some_and(|end| time::Instant::now() < end);
            is_valid.then(|| cache.addresses.clone())
        };
        if let Some(addresses) = cached {
            return addresses;
        }
        let earlier = self.cache.lock().expect("address lock").addresses.clone();
        for address in earlier.iter().chain(&self.known) {
            if let Some(answer) = self.ask_addresses(*address).await {
                let mut cache = self.cache.lock().expect("address lock");
                cache.addresses = answer.addresses.iter().map(|entry| entry.address).collect();
                let lifetime = time::Duration::from_millis(answer.lifetime_ms);
                cache.valid_until = Some(time::Instant::now() + lifetime);
                return cache.addresses.clone();
            }
        }
        self.known.clone()
    }

    async fn ask_addresses(&self, address: net::SocketAddr) -> Option<wire::AddressResponse> {
        let query = self.zone.as_ref().map(|zone| format!("?zone={zone}"));
        let path = format!("/v1/addresses{}", query.unwrap_or_default());
        let call = web::call(address, "GET", &path, &[], "");
        let answer = tokio::time::timeout(ADDRESS_LIMIT, call).await.ok()?.ok()?;
        let answer = serde_json::from_slice::<wire::AddressResponse>(&answer.body).ok()?;
        (!answer.addresses.is_empty()).then_some(answer)
    }

    /// Sends a completion until it is complete, refused for good or out of time.
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

    /// Sends a service call; one with a key is repeated with the same key.
    pub async fn call_service(&self, request: &ServiceRequest) -> CallOutcome {
        let mut headers = request.headers.clone();
        if let Some(key) = &request.key {
            headers.push((wire::IDEMPOTENCY_HEADER.to_owned(), key.clone()));
        }
        let plan = CallPlan {
            method: request.method.clone(),
            path: format!("/services/{}{}", request.service, request.path),
            headers,
            body: request.body.clone(),
            is_repeatable: request.is_idempotent || request.key.is_some(),
            expected_text: None,
        };
        self.run(&plan).await
    }

    async fn run(&self, plan: &CallPlan) -> CallOutcome {
        let deadline = time::Instant::now() + self.limit;
        let mut outcome = CallOutcome::default();
        let mut pause = FIRST_PAUSE;
        loop {
            let addresses = self.addresses().await;
            let position = outcome.attempts as usize % addresses.len().max(1);
            let Some(address) = addresses.get(position) else {
                outcome.violations.push("no address is known".to_owned());
                return outcome;
            };
            outcome.attempts += 1;
            let is_final = attempt(*address, plan, deadline, &mut outcome).await;
            if is_final || time::Instant::now() + pause >= deadline {
                return outcome;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }
}

/// Sends a request once; returns whether the outcome is final.
async fn attempt(
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
    let answer = tokio::time::timeout_at(deadline.into(), call).await;
    let Ok(Ok(answer)) = answer else {
        return !plan.is_repeatable;
    };
    outcome.status = answer.status;
    outcome.body = String::from_utf8_lossy(&answer.body).into_owned();
    let request_id = answer.headers.get(wire::REQUEST_ID_HEADER);
    let request_id = request_id.and_then(|value| value.to_str().ok());
    outcome.request_id = request_id.unwrap_or_default().to_owned();
    if answer.status < 300 {
        return accept(plan, outcome);
    }
    let refusal = Refusal::read(answer.status, &answer.json()["error"]);
    finish_refusal(plan, refusal, outcome)
}

/// Records a refusal; returns whether a good caller stops here.
fn finish_refusal(plan: &CallPlan, refusal: Refusal, outcome: &mut CallOutcome) -> bool {
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

/// Checks an answer with a success status; returns whether the outcome is final.
fn accept(plan: &CallPlan, outcome: &mut CallOutcome) -> bool {
    let Some(expected) = &plan.expected_text else {
        outcome.is_complete = true;
        return true;
    };
    if outcome.body.starts_with('{') {
        let answer: Value = serde_json::from_str(&outcome.body).unwrap_or_default();
        outcome.text = choice_text(&answer);
    } else {
        match read_stream(&outcome.body) {
            Ok(text) => outcome.text = text,
            Err(Some(error)) => {
                let refusal = Refusal::read(outcome.status, &error);
                return finish_refusal(plan, refusal, outcome);
            }
            Err(None) => {
                let fault = "a stream ended without [DONE]".to_owned();
                outcome.violations.push(fault);
                return false;
            }
        }
    }
    outcome.is_complete = outcome.text == *expected;
    if !outcome.is_complete {
        let fault = format!("expected {expected:?}, got {:?}", outcome.text);
        outcome.violations.push(fault);
    }
    true
}

fn choice_text(answer: &Value) -> String {
    let text = &answer["choices"][0]["text"];
    text.as_str().unwrap_or_default().to_owned()
}

/// Text of a stream; an error carries the error object, or `None` when the stream is cut.
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
