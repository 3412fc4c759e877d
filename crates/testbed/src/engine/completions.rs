//! `/v1/completions` and `/v1/chat/completions`, whole and streamed.

use std::{io, net, sync, time};

use acaciabank_protocol::wire;
use bytes::Bytes;
use hyper::{HeaderMap, Response, StatusCode, header};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::{EngineState, scheduler, text};
use crate::web;

/// Tokens generated when a request names no limit.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Time to ask another engine for a KV cache handle.
const HANDLE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Handles kept for other engines.
const MAX_HANDLES: usize = 1_024;

/// A request in the form that both paths share.
struct CompletionCall {
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
    transfer: Value,
}

impl CompletionCall {
    fn read(headers: &HeaderMap, body: &[u8], is_chat: bool) -> Option<Self> {
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
            transfer: body["kv_transfer_params"].clone(),
        })
    }

    fn object(&self, text: &str, is_last: bool) -> Value {
        let finish = if is_last {
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
        choice["finish_reason"] = finish;
        json!({"id": self.attempt, "object": kind, "model": self.model, "choices": [choice]})
    }

    fn usage(&self, completion_tokens: u64) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens, "completion_tokens": completion_tokens,
            "total_tokens": self.prompt_tokens + completion_tokens,
        })
    }
}

/// Answers one completion.
pub(super) async fn complete(
    state: sync::Arc<EngineState>,
    headers: &HeaderMap,
    body: &[u8],
    is_chat: bool,
) -> web::HandlerResult {
    let Some(call) = CompletionCall::read(headers, body, is_chat) else {
        return Ok(web::error_response(StatusCode::BAD_REQUEST, "bad_request"));
    };
    state.record("received", &call.attempt);
    let transferred_at = transfer_end(&state, &call.transfer).await;
    let (events, receiver) = mpsc::unbounded_channel();
    let (echoed_id, faults) = {
        let mut core = state.core();
        if let Some(refusal) = refusal(&state, &core, &call) {
            drop(core);
            state.record("refused", &call.attempt);
            return Ok(with_id(refusal, &call.attempt));
        }
        core.next_arrival += 1;
        let sequence = scheduler::Sequence {
            attempt: call.attempt.clone(),
            priority: call.priority,
            arrival: core.next_arrival,
            pieces: wire::piece_hashes(&call.model, &call.prompt, state.options.piece_tokens),
            context_tokens: call.prompt_tokens + call.resume_from,
            prefill_left: 0,
            is_prefilled: false,
            transferred_at,
            next_token: call.resume_from,
            max_tokens: call.max_tokens,
            is_crashing: call.prompt.contains(&state.options.crash_marker),
            is_cancelled: false,
            events,
        };
        core.waiting.push(sequence);
        let earlier = std::mem::replace(&mut core.last_attempt, call.attempt.clone());
        let faults = core.faults.clone();
        let echoed_id = if faults.wrong_id {
            earlier
        } else {
            call.attempt.clone()
        };
        (echoed_id, faults)
    };
    state.work.notify_one();
    let delay = time::Duration::from_millis(faults.delay_ms);
    let reply = if call.is_stream {
        tokio::time::sleep(delay).await;
        let (sender, frames) = mpsc::unbounded_channel();
        let limit = faults.break_after_tokens;
        tokio::spawn(write_stream(state, call, receiver, sender, limit));
        let mut response = Response::new(web::channel_body(frames));
        let content_type = header::HeaderValue::from_static("text/event-stream");
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, content_type);
        response
    } else {
        let reply = whole_answer(&state, &call, receiver).await;
        tokio::time::sleep(delay).await;
        reply
    };
    Ok(with_id(reply, &echoed_id))
}

fn with_id(mut response: Response<web::ResponseBody>, id: &str) -> Response<web::ResponseBody> {
    if let Ok(id) = header::HeaderValue::from_str(id) {
        response.headers_mut().insert(wire::REQUEST_ID_HEADER, id);
    }
    response
}

/// Model and adapter of the name `model:adapter`.
fn base_model(name: &str) -> (&str, Option<&str>) {
    match name.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (name, None),
    }
}

fn refusal(
    state: &EngineState,
    core: &super::EngineCore,
    call: &CompletionCall,
) -> Option<Response<web::ResponseBody>> {
    if core.switching.is_some() {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Some(web::not_run_response(status, "switching"));
    }
    let (model, adapter) = base_model(&call.model);
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

/// End of the transfer that a decode call asks for; `None` when the prompt must be processed here.
async fn transfer_end(state: &EngineState, transfer: &Value) -> Option<time::Instant> {
    let handle = transfer["handle"].as_str()?;
    let address: net::SocketAddr = transfer["address"].as_str()?.parse().ok()?;
    let path = format!("/kv/{handle}");
    let call = web::call(address, "GET", &path, &[], "");
    let answer = tokio::time::timeout(HANDLE_TIMEOUT, call)
        .await
        .ok()?
        .ok()?;
    let tokens = answer.json()["tokens"].as_u64()?;
    let transfer_ms = tokens as f64 * 1_000.0 / state.options.transfer_tokens_per_second;
    Some(time::Instant::now() + state.scaled(transfer_ms))
}

/// Parameters for the decode call, when this was a prefill call.
fn transfer_offer(state: &EngineState, call: &CompletionCall) -> Option<Value> {
    call.transfer["do_remote_decode"]
        .as_bool()
        .filter(|asked| *asked)?;
    let handle = format!("{:016x}", rand::random::<u64>());
    let mut core = state.core();
    core.handles.push_back((handle.clone(), call.prompt_tokens));
    if core.handles.len() > MAX_HANDLES {
        core.handles.pop_front();
    }
    Some(json!({
        "do_remote_prefill": true, "handle": handle, "address": state.address.to_string(),
        "tokens": call.prompt_tokens,
    }))
}

async fn whole_answer(
    state: &EngineState,
    call: &CompletionCall,
    mut receiver: mpsc::UnboundedReceiver<scheduler::SequenceEvent>,
) -> Response<web::ResponseBody> {
    let mut text = String::new();
    loop {
        match receiver.recv().await {
            Some(scheduler::SequenceEvent::Token(index)) => {
                text.push_str(&text::token_text(call.prompt_hash, index));
            }
            Some(scheduler::SequenceEvent::Done) => break,
            None => return web::error_response(StatusCode::CONFLICT, "cancelled"),
        }
    }
    let mut answer = call.object(&text, true);
    answer["usage"] = call.usage(call.max_tokens.max(call.resume_from));
    if let Some(offer) = transfer_offer(state, call) {
        answer["kv_transfer_params"] = offer;
    }
    web::json_response(StatusCode::OK, &answer)
}

fn frame(value: &Value) -> io::Result<Bytes> {
    Ok(Bytes::from(format!("data: {value}\n\n")))
}

/// Writes server-sent events until the sequence ends or the connection closes.
async fn write_stream(
    state: sync::Arc<EngineState>,
    call: CompletionCall,
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
        if break_after.is_some_and(|limit| index - call.resume_from >= limit) {
            let _ = sender.send(Err(io::Error::other("fault: stream broken")));
            return;
        }
        let mut chunk = call.object(&text::token_text(call.prompt_hash, index), false);
        if call.has_continuous_usage {
            chunk["usage"] = call.usage(index + 1);
        }
        let _ = sender.send(frame(&chunk));
    }
    let mut last = call.object("", true);
    last["usage"] = call.usage(call.max_tokens.max(call.resume_from));
    if let Some(offer) = transfer_offer(&state, &call) {
        last["kv_transfer_params"] = offer;
    }
    let _ = sender.send(frame(&last));
    let _ = sender.send(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
}
