//! Random request schedules that a seed reproduces.

use std::fmt::Write as _;

use acaciabank_protocol::{ids, wire};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use super::script::{LoadPhase, LoadScript, RequestShape};

/// One request of a load run.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Planned arrival relative to the start of the run, in microseconds.
    pub offset_us: u64,
    /// Position of its phase in the script.
    pub phase: usize,
    /// HTTP path: `/v1/completions` or `/services/...`.
    pub path: String,
    /// JSON body.
    pub body: String,
    /// Whether the request is a completion, whose response is a token stream.
    pub is_completion: bool,
    /// Number of tokens requested.
    pub output_tokens: u32,
    /// Priority that the request states.
    pub priority: wire::Priority,
    /// Time from the planned arrival to the deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Idempotency key; `None` when the request is sent without one.
    pub idempotency_key: Option<String>,
    /// API key of the sending team.
    pub team_key: Option<String>,
}

/// Generates the requests of a script in arrival order; the same seed gives the same requests.
pub fn plan(script: &LoadScript, seed: u64) -> Vec<PlannedRequest> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut start_us = 0;
    for (index, phase) in script.phases.iter().enumerate() {
        let end_us = start_us + phase.duration_ms * 1_000;
        if phase.rate_per_s == 0.0 {
            start_us = end_us;
            continue;
        }
        let mut offset_us = start_us as f64;
        loop {
            // Inverse transform sampling of the exponential distribution; 1 - u avoids ln(0).
            let uniform: f64 = rng.random();
            offset_us -= (1.0 - uniform).ln() * 1e6 / phase.rate_per_s;
            if offset_us >= end_us as f64 {
                break;
            }
            let number = requests.len();
            let shape = draw_shape(phase, &mut rng);
            let request = plan_request(shape, seed, number, &mut rng);
            requests.push(PlannedRequest {
                offset_us: offset_us as u64,
                phase: index,
                ..request
            });
        }
        start_us = end_us;
    }
    requests
}

/// Picks a request shape with a probability proportional to its weight.
fn draw_shape<'a>(phase: &'a LoadPhase, rng: &mut StdRng) -> &'a RequestShape {
    let total: u64 = phase.mix.iter().map(|shape| u64::from(shape.weight)).sum();
    let mut remaining = rng.random_range(0..total);
    for shape in &phase.mix {
        let weight = u64::from(shape.weight);
        if remaining < weight {
            return shape;
        }
        remaining -= weight;
    }
    unreachable!("the draw is below the sum of the weights")
}

fn plan_request(
    shape: &RequestShape,
    seed: u64,
    number: usize,
    rng: &mut StdRng,
) -> PlannedRequest {
    let output_tokens = rng.random_range(shape.output_tokens.min..=shape.output_tokens.max);
    let group = rng.random_range(0..shape.prefix_groups);
    let prompt_tokens = rng.random_range(shape.prompt_tokens.min..=shape.prompt_tokens.max);
    let (path, body) = match (&shape.model, &shape.service) {
        (Some(model), _) => {
            let shared_tokens = shape.shared_prefix_tokens.min(prompt_tokens);
            let prompt = prompt_text(model, group, shared_tokens, prompt_tokens, (seed, number));
            let body = serde_json::json!({
                "model": model, "prompt": prompt, "max_tokens": output_tokens, "stream": true,
            });
            ("/v1/completions".to_owned(), body.to_string())
        }
        (None, service) => {
            let service = service.as_ref().map_or("", ids::ServiceId::as_str);
            let body = serde_json::json!({"number": number, "seed": seed});
            (
                format!("/services/{service}{}", shape.path),
                body.to_string(),
            )
        }
    };
    PlannedRequest {
        offset_us: 0,
        phase: 0,
        path,
        body,
        is_completion: shape.model.is_some(),
        output_tokens,
        priority: shape.priority,
        timeout_ms: shape.timeout_ms,
        idempotency_key: shape.keyed.then(|| format!("load-{seed}-{number}")),
        team_key: shape.team_key.clone(),
    }
}

/// Returns a text of `prompt_tokens` estimated tokens whose first `shared_tokens` depend only on
/// the model and the prefix group.
fn prompt_text(
    model: &ids::ModelId,
    group: u32,
    shared_tokens: u32,
    prompt_tokens: u32,
    seed_and_number: (u64, usize),
) -> String {
    let shared_bytes = shared_tokens as usize * wire::BYTES_PER_TOKEN;
    let total_bytes = prompt_tokens as usize * wire::BYTES_PER_TOKEN;
    let mut text = String::with_capacity(total_bytes + 64);
    while text.len() < shared_bytes {
        let position = text.len();
        let _ = write!(text, "{model} group {group} at {position}. ");
    }
    text.truncate(shared_bytes);
    let (seed, number) = seed_and_number;
    while text.len() < total_bytes {
        let position = text.len();
        let _ = write!(text, "request {seed}-{number} at {position}. ");
    }
    text.truncate(total_bytes);
    text
}
