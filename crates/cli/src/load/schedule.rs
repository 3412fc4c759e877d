//! Arrivals drawn from a seed.

use std::fmt::Write as _;

use acaciabank_protocol::{ids, wire};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use super::script::{LoadPhase, LoadScript, RequestShape};

/// One request of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Arrival after the start of the run, in microseconds.
    pub offset_us: u64,
    /// Position of its phase in the script.
    pub phase: usize,
    /// Model or service, as `/v1/completions` or `/services/...`.
    pub path: String,
    /// JSON body.
    pub body: String,
    /// Whether the body asks for a stream of tokens.
    pub is_completion: bool,
    /// Tokens asked for.
    pub output_tokens: u32,
    /// Urgency.
    pub priority: wire::Priority,
    /// Time that the request has, in milliseconds.
    pub timeout_ms: u64,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Key of the team.
    pub team_key: Option<String>,
}

/// Draws the requests of a script; the same seed gives the same requests.
pub fn plan(script: &LoadScript, seed: u64) -> Vec<PlannedRequest> {
    let mut random = StdRng::seed_from_u64(seed);
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
            // Inverse of the exponential distribution; 1 - u avoids the logarithm of zero.
            let uniform: f64 = random.random();
            offset_us -= (1.0 - uniform).ln() * 1e6 / phase.rate_per_s;
            if offset_us >= end_us as f64 {
                break;
            }
            let number = requests.len();
            let shape = draw_shape(phase, &mut random);
            let request = plan_request(shape, seed, number, &mut random);
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

fn draw_shape<'a>(phase: &'a LoadPhase, random: &mut StdRng) -> &'a RequestShape {
    let total: u64 = phase.mix.iter().map(|shape| u64::from(shape.weight)).sum();
    let mut rest = random.random_range(0..total);
    for shape in &phase.mix {
        let weight = u64::from(shape.weight);
        if rest < weight {
            return shape;
        }
        rest -= weight;
    }
    unreachable!("the draw is below the sum of the weights")
}

fn plan_request(
    shape: &RequestShape,
    seed: u64,
    number: usize,
    random: &mut StdRng,
) -> PlannedRequest {
    let output_tokens = random.random_range(shape.output_tokens.min..=shape.output_tokens.max);
    let group = random.random_range(0..shape.prefix_groups);
    let prompt_tokens = random.random_range(shape.prompt_tokens.min..=shape.prompt_tokens.max);
    let (path, body) = match (&shape.model, &shape.service) {
        (Some(model), _) => {
            let shared = shape.shared_prefix_tokens.min(prompt_tokens);
            let prompt = prompt_text(model, group, shared, prompt_tokens, (seed, number));
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

/// Text of exactly `prompt_tokens` estimated tokens whose first `shared` tokens depend on the model
/// and the group alone.
fn prompt_text(
    model: &ids::ModelId,
    group: u32,
    shared: u32,
    prompt_tokens: u32,
    unique: (u64, usize),
) -> String {
    let shared_bytes = shared as usize * wire::BYTES_PER_TOKEN;
    let total_bytes = prompt_tokens as usize * wire::BYTES_PER_TOKEN;
    let mut text = String::with_capacity(total_bytes + 64);
    while text.len() < shared_bytes {
        let position = text.len();
        let _ = write!(text, "{model} group {group} at {position}. ");
    }
    text.truncate(shared_bytes);
    let (seed, number) = unique;
    while text.len() < total_bytes {
        let position = text.len();
        let _ = write!(text, "request {seed}-{number} at {position}. ");
    }
    text.truncate(total_bytes);
    text
}
