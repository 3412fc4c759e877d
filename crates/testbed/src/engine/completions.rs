//! Handles `/v1/completions` and `/v1/chat/completions`, with buffered and streamed responses.

use std::{io, net, sync, time};

use acaciabank_protocol::wire;
use bytes::Bytes;
use hyper::{HeaderMap, Response, StatusCode, header};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::{EngineState, scheduler, text};
use crate::web;

/// Tokens generated for a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Maximum time to look up a KV cache handle at another engine.
const KV_HANDLE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Maximum number of KV cache handles kept for other engines; the oldest ones are dropped.
const MAX_KV_HANDLES: usize = 1_024;

/// A completion or chat completion request.
struct CompletionRequest {
    attempt: String,
    is_chat: bool,
    model: String,
    prompt: String,
    prompt_hash: u64,
    prompt_tokens: u64,
    max_tokens: u64,
    resume_from: u64,
    priority: i64,
    is_stream: bool,
    has_continuous_usage: bool,
    transfer_params: Value,
}

impl CompletionRequest {
    fn parse(headers: &HeaderMap, body: &[u8], is_chat: bool) -> Option<Self> {
        let body: Value = serde_json::from_slice(body).ok()?;
        let prompt = if is_chat {
            text::chat_prompt(body["messages"].as_array()?)
        } else {
            body["prompt"].as_str()?.to_owned()
        };
        let model = body["model"].as_str()?.to_owned();
        let attempt = headers.get(wire::REQUEST_ID_HEADER);
        let attempt = attempt.and_then(|value| value.to_str().ok());
        Some(Self {
            attempt: attempt.unwrap_or("unnamed").to_owned(),
            is_chat,
            prompt_hash: text::prompt_hash(&model, &prompt),
            prompt_tokens: wire::estimate_tokens(&prompt),
            model,
            prompt,
            max_tokens: body["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS),
            resume_from: body["resume_from"].as_u64().unwrap_or(0),
            priority: body["priority"].as_i64().unwrap_or(0),
            is_stream: body["stream"].as_bool().unwrap_or(false),
            has_continuous_usage: body["stream_options"]["continuous_usage_stats"]
                .as_bool()
                .unwrap_or(false),
            transfer_params: body["kv_transfer_params"].clone(),
        })
    }

    /// Returns a completion object, or one chunk of a streamed chat completion.
    fn object(&self, text: &str, is_last: bool) -> Value {
        let finish_reason = if is_last {
            json!("length")
        } else {
            Value::Null
        };
        let (kind, choice) = match (self.is_chat, self.is_stream) {
            (false, _) => ("text_completion", json!({"text": text})),
            (true, false) => (
                "chat.completion",
                json!({"message": {"role": "assistant", "content": text}}),
            ),
            (true, true) => ("chat.completion.chunk", json!({"delta": {"content": text}})),
        };
        let mut choice = choice;
        choice["index"] = 0.into();
        choice["finish_reason"] = finish_reason;
        json!({"id": self.attempt, "object": kind, "model": self.model, "choices": [choice]})
    }

    fn usage(&self, completion_tokens: u64) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens, "completion_tokens": completion_tokens,
            "total_tokens": self.prompt_tokens + completion_tokens,
        })
    }
}

/// Handles a completion request.
pub(super) async fn complete(
    state: sync::Arc<EngineState>,
    headers: &HeaderMap,
    body: &[u8],
    is_chat: bool,
) -> web::HandlerResult {
    let Some(request) = CompletionRequest::parse(headers, body, is_chat) else {
        return Ok(web::error_response(StatusCode::BAD_REQUEST, "bad_request"));
    };
    state.record("received", &request.attempt);
    let transfer_ends_at = transfer_end(&state, &request.transfer_params).await;
    let (events, receiver) = mpsc::unbounded_channel();
    let (echoed_id, faults) = {
        let mut core = state.core();
        if let Some(refusal) = refusal(&state, &core, &request) {
            drop(core);
            state.record("refused", &request.attempt);
            return Ok(with_request_id(refusal, &request.attempt));
        }
        core.last_arrival_number += 1;
        let sequence = scheduler::Sequence {
            attempt: request.attempt.clone(),
            priority: request.priority,
            arrival_number: core.last_arrival_number,
            pieces: wire::piece_hashes(&request.model, &request.prompt, state.options.piece_tokens),
            context_tokens: request.prompt_tokens + request.resume_from,
            remaining_prefill_tokens: 0,
            is_prefilled: false,
            transfer_ends_at,
            next_token: request.resume_from,
            max_tokens: request.max_tokens,
            crashes_engine: request.prompt.contains(&state.options.crash_marker),
            is_cancelled: false,
            events,
        };
        core.waiting.push(sequence);
        let previous_attempt = std::mem::replace(&mut core.last_attempt, request.attempt.clone());
        let faults = core.faults.clone();
        let echoed_id = if faults.wrong_id {
            previous_attempt
        } else {
            request.attempt.clone()
        };
        (echoed_id, faults)
    };
    state.scheduler_wakeup.notify_one();
    let delay = time::Duration::from_millis(faults.delay_ms);
    let response = if request.is_stream {
        tokio::time::sleep(delay).await;
        let (sender, frames) = mpsc::unbounded_channel();
        let break_after = faults.break_after_tokens;
        tokio::spawn(write_stream(state, request, receiver, sender, break_after));
        let mut response = Response::new(web::channel_body(frames));
        let content_type = header::HeaderValue::from_static("text/event-stream");
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, content_type);
        response
    } else {
        let response = buffered_response(&state, &request, receiver).await;
        tokio::time::sleep(delay).await;
        response
    };
    Ok(with_request_id(response, &echoed_id))
}

fn with_request_id(
    mut response: Response<web::ResponseBody>,
    id: &str,
) -> Response<web::ResponseBody> {
    if let Ok(id) = header::HeaderValue::from_str(id) {
        response.headers_mut().insert(wire::REQUEST_ID_HEADER, id);
    }
    response
}

/// Splits the name `model:adapter` into model and adapter.
fn split_model_name(name: &str) -> (&str, Option<&str>) {
    match name.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (name, None),
    }
}

/// Returns the error response for a request that the engine cannot accept now.
fn refusal(
    state: &EngineState,
    core: &super::EngineCore,
    request: &CompletionRequest,
) -> Option<Response<web::ResponseBody>> {
    if core.switching.is_some() {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Some(web::not_run_response(status, "switching"));
    }
    let (model, adapter) = split_model_name(&request.model);
    let loaded = core
        .models
        .iter()
        .find(|loaded| loaded.model.as_str() == model);
    let has_adapter = |loaded: &wire::LoadedModel| {
        adapter.is_none_or(|adapter| loaded.adapters.iter().any(|name| name == adapter))
    };
    if !loaded.is_some_and(has_adapter) {
        return Some(web::not_run_response(
            StatusCode::NOT_FOUND,
            "unknown_model",
        ));
    }
    if core.waiting.len() >= state.options.max_waiting {
        let status = StatusCode::TOO_MANY_REQUESTS;
        return Some(web::not_run_response(status, "overloaded"));
    }
    None
}

/// Returns the end of the KV cache transfer that a decode request names; `None` if it names none or
/// its handle is unknown, so that the prompt must be processed here.
async fn transfer_end(state: &EngineState, transfer_params: &Value) -> Option<time::Instant> {
    let handle = transfer_params["handle"].as_str()?;
    let address: net::SocketAddr = transfer_params["address"].as_str()?.parse().ok()?;
    let path = format!("/kv/{handle}");
    let lookup = web::call(address, "GET", &path, &[], "");
    let response = tokio::time::timeout(KV_HANDLE_TIMEOUT, lookup)
        .await
        .ok()?
        .ok()?;
    let tokens = response.json()["tokens"].as_u64()?;
    let transfer_ms = tokens as f64 * 1_000.0 / state.options.transfer_tokens_per_second;
    Some(time::Instant::now() + state.scaled(transfer_ms))
}

/// Registers a KV cache handle after a prefill request and returns the parameters with which a
/// decode request uses it; `None` for other requests.
fn decode_transfer_params(state: &EngineState, request: &CompletionRequest) -> Option<Value> {
    request.transfer_params["do_remote_decode"]
        .as_bool()
        .filter(|is_requested| *is_requested)?;
    let handle = format!("{:016x}", rand::random::<u64>());
    let mut core = state.core();
    core.kv_handles
        .push_back((handle.clone(), request.prompt_tokens));
    if core.kv_handles.len() > MAX_KV_HANDLES {
        core.kv_handles.pop_front();
    }
    Some(json!({
        "do_remote_prefill": true, "handle": handle, "address": state.address.to_string(),
        "tokens": request.prompt_tokens,
    }))
}

/// Waits for all tokens and returns the whole completion.
async fn buffered_response(
    state: &EngineState,
    request: &CompletionRequest,
    mut receiver: mpsc::UnboundedReceiver<scheduler::SequenceEvent>,
) -> Response<web::ResponseBody> {
    let mut text = String::new();
    loop {
        match receiver.recv().await {
            Some(scheduler::SequenceEvent::Token(index)) => {
                text.push_str(&text::token_text(request.prompt_hash, index));
            }
            Some(scheduler::SequenceEvent::Done) => break,
            None => return web::error_response(StatusCode::CONFLICT, "cancelled"),
        }
    }
    let mut completion = request.object(&text, true);
    completion["usage"] = request.usage(request.max_tokens.max(request.resume_from));
    if let Some(params) = decode_transfer_params(state, request) {
        completion["kv_transfer_params"] = params;
    }
    web::json_response(StatusCode::OK, &completion)
}

/// Formats a server-sent event with JSON data.
fn sse_event(value: &Value) -> io::Result<Bytes> {
    Ok(Bytes::from(format!("data: {value}\n\n")))
}

/// Writes server-sent events until the sequence ends or the client disconnects.
async fn write_stream(
    state: sync::Arc<EngineState>,
    request: CompletionRequest,
    mut receiver: mpsc::UnboundedReceiver<scheduler::SequenceEvent>,
    sender: mpsc::UnboundedSender<io::Result<Bytes>>,
    break_after: Option<u64>,
) {
    loop {
        let event = tokio::select! {
            event = receiver.recv() => event,
            () = sender.closed() => return,
        };
        let Some(event) = event else {
            let _ = sender.send(Err(io::Error::other("cancelled")));
            return;
        };
        let scheduler::SequenceEvent::Token(index) = event else {
            break;
        };
        if break_after.is_some_and(|limit| index - request.resume_from >= limit) {
            let _ = sender.send(Err(io::Error::other("fault: stream broken")));
            return;
        }
        let mut chunk = request.object(&text::token_text(request.prompt_hash, index), false);
        if request.has_continuous_usage {
            chunk["usage"] = request.usage(index + 1);
        }
        let _ = sender.send(sse_event(&chunk));
    }
    let mut last = request.object("", true);
    last["usage"] = request.usage(request.max_tokens.max(request.resume_from));
    if let Some(params) = decode_transfer_params(&state, &request) {
        last["kv_transfer_params"] = params;
    }
    let _ = sender.send(sse_event(&last));
    let _ = sender.send(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
}
