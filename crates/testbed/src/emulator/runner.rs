//! A runner: a plain service, or an engine with a stage and KV caches to hand over.

use std::{
    collections::{HashMap, HashSet},
    io, net,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::mpsc;

use crate::{journal, web};

/// Prompt tokens that an engine processes in a millisecond in the tests.
const TOKENS_PER_MS: u64 = 50;
/// Time between two heartbeats at the store.
const HEARTBEAT: Duration = Duration::from_millis(400);

/// What a runner is.
#[derive(Clone, Debug)]
pub struct RunnerOptions {
    /// Id of the incarnation.
    pub id: String,
    /// Service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Stage, for engines.
    pub stage: Option<String>,
    /// Time that a request of a plain service takes, and the time between two events.
    pub work_ms: u64,
    /// The platform's store.
    pub store: net::SocketAddr,
    /// Address that the entry in the store names, if it is not the one that the runner listens at.
    pub advertised: Option<net::SocketAddr>,
}

/// Faults of a runner.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunnerFaults {
    /// Requests are refused without being run.
    pub refuses: bool,
    /// Requests are run and their connection is closed without an answer.
    pub loses_answers: bool,
    /// Answers carry the id of another attempt.
    pub crosses_answers: bool,
    /// Streams break off after this many events, within an event.
    pub breaks_after: Option<u64>,
    /// Whole answers promise more bytes than they have.
    pub cuts_bodies: bool,
    /// Requests are never answered.
    pub is_mute: bool,
    /// The KV cache of other runners cannot be fetched.
    pub refuses_fetch: bool,
    /// State that the entry in the store tells.
    pub is_draining: bool,
}

#[derive(Debug, Default)]
struct RunnerState {
    faults: RunnerFaults,
    stage: Option<String>,
    handles: HashMap<String, String>,
    holders: HashSet<String>,
    orders: u64,
    next_handle: u64,
    /// Prompt parts in its memory: ids with tokens and model.
    held: HashMap<String, (u64, String)>,
}

/// A runner.
#[derive(Clone, Debug)]
pub struct RunnerEmulator {
    options: Arc<RunnerOptions>,
    address: net::SocketAddr,
    born_ms: u64,
    state: Arc<Mutex<RunnerState>>,
    journal: Arc<journal::Journal>,
}

impl RunnerEmulator {
    /// A runner that listens on an address. It registers itself until the process ends.
    pub fn new(
        options: RunnerOptions,
        address: net::SocketAddr,
        journal: Arc<journal::Journal>,
    ) -> Self {
        let state = RunnerState {
            stage: options.stage.clone(),
            ..RunnerState::default()
        };
        let runner = Self {
            options: Arc::new(options),
            address,
            born_ms: journal::unix_ms(),
            state: Arc::new(Mutex::new(state)),
            journal,
        };
        tokio::spawn(runner.clone().register());
        runner
    }

    async fn register(self) {
        let mut beat = 0;
        loop {
            beat += 1;
            let entry = {
                let state = self.state.lock().expect("runner lock");
                let mut entry = json!({
                    "service": self.options.service,
                    "address": self.options.advertised.unwrap_or(self.address),
                    "zone": self.options.zone, "slots": 8, "seq": beat, "born": self.born_ms,
                    "state": if state.faults.is_draining { "draining" } else { "ready" },
                });
                if let Some(stage) = &state.stage {
                    entry["stage"] = stage.as_str().into();
                }
                entry.to_string()
            };
            let value = base64_text(entry.as_bytes());
            let row =
                json!({"table": "servers", "part": "", "key": self.options.id, "value": value});
            let call = json!({"expected_rev": [], "writes": [row], "deletes": []});
            // A store that is down is told again with the next heartbeat.
            let _ = web::call(
                self.options.store,
                "POST",
                "/rows-tx",
                &[],
                call.to_string(),
            )
            .await;
            tokio::time::sleep(HEARTBEAT).await;
        }
    }

    /// Answers a call.
    pub async fn handle(self, request: Request<Incoming>) -> web::HandlerResult {
        let (head, body) = request.into_parts();
        let body = web::read_body(body).await?;
        let header = |name: &str| {
            let value = head.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        match (&head.method, head.uri.path()) {
            (_, "/control") => return Ok(self.control(&body)),
            (&Method::GET, "/journal") => {
                return Ok(Response::new(web::full_body(self.journal.text())));
            }
            (&Method::GET, "/report") => return Ok(self.report()),
            (&Method::GET, "/kv-list") => return Ok(self.holdings()),
            (&Method::POST, "/order") => return Ok(self.order(&body)),
            (&Method::DELETE, path) if path.starts_with("/kv-handle/") => {
                let handle = path.trim_start_matches("/kv-handle/");
                self.state
                    .lock()
                    .expect("runner lock")
                    .handles
                    .remove(handle);
                return Ok(web::json_response(StatusCode::OK, &json!({})));
            }
            _ => {}
        }
        let attempt = header("x-acaciabank-attempt-id");
        let expected = header("x-acaciabank-expect-instance");
        if expected != self.options.id {
            return Ok(self.refusal(StatusCode::MISDIRECTED_REQUEST, &attempt));
        }
        let faults = self.state.lock().expect("runner lock").faults.clone();
        if faults.refuses {
            return Ok(self.refusal(StatusCode::SERVICE_UNAVAILABLE, &attempt));
        }
        let tokens = header("x-acaciabank-token-count");
        let (prompt, output) = tokens.split_once(',').unwrap_or_default();
        let prompt: u64 = prompt.parse().unwrap_or(0);
        let model = header("x-acaciabank-model");
        self.hold(&header("x-acaciabank-prompt-prefix"), &model);
        if header("x-acaciabank-stage") == "prefill" {
            return Ok(self.prefill(&attempt, prompt).await);
        }
        let source = header("x-acaciabank-kv-source");
        if !source.is_empty() && faults.refuses_fetch {
            return Ok(self.refusal(StatusCode::SERVICE_UNAVAILABLE, &attempt));
        }
        let deadline = header("x-acaciabank-deadline-ms");
        self.journal.record(json!({
            "ran": attempt, "path": head.uri.path(), "deadline_ms": deadline, "source": source,
            "last_event": header("last-event-id"), "body": String::from_utf8_lossy(&body),
        }));
        if faults.is_mute {
            std::future::pending::<()>().await;
        }
        if faults.loses_answers {
            tokio::time::sleep(Duration::from_millis(self.options.work_ms)).await;
            return Err(io::Error::other("the answer is lost"));
        }
        if self.options.stage.is_none() {
            return self.serve(&attempt, &faults, &body).await;
        }
        let first = header("last-event-id")
            .parse()
            .map_or(0, |last: u64| last + 1);
        let count: u64 = output.parse().unwrap_or(4);
        Ok(self.stream(&attempt, &faults, first, count))
    }

    fn control(&self, body: &[u8]) -> Response<web::ResponseBody> {
        let mut state = self.state.lock().expect("runner lock");
        match web::apply_patch(&mut state.faults, body) {
            Ok(()) => web::json_response(StatusCode::OK, &json!({})),
            Err(error) => web::error_response(StatusCode::BAD_REQUEST, &error),
        }
    }

    fn report(&self) -> Response<web::ResponseBody> {
        let state = self.state.lock().expect("runner lock");
        let report = json!({"stage": state.stage, "busy": false, "seq": state.orders});
        web::json_response(StatusCode::OK, &report)
    }

    fn holdings(&self) -> Response<web::ResponseBody> {
        let state = self.state.lock().expect("runner lock");
        let held = state.held.iter();
        let held: Vec<_> = held
            .map(|(id, (tokens, model))| json!(["", id, tokens, model]))
            .collect();
        let holdings = json!({"epoch": 1, "next": 0, "held": held});
        web::json_response(StatusCode::OK, &holdings)
    }

    /// Keeps the parts of a prompt, as the header lists them.
    fn hold(&self, prefix: &str, model: &str) {
        let mut state = self.state.lock().expect("runner lock");
        for (id, tokens) in prefix.split(',').filter_map(|part| part.split_once(':')) {
            let tokens = tokens.parse().unwrap_or(0);
            state.held.insert(id.to_owned(), (tokens, model.to_owned()));
        }
    }

    fn order(&self, body: &[u8]) -> Response<web::ResponseBody> {
        let order: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let mut state = self.state.lock().expect("runner lock");
        if order["expected_rev"] != json!(state.orders) {
            return web::error_response(StatusCode::CONFLICT, "seq");
        }
        state.orders += 1;
        state.stage = order["stage"].as_str().map(str::to_owned);
        let holder = order["holder"].as_str().unwrap_or_default().to_owned();
        state.holders.insert(holder);
        self.journal.record(json!({"order": order}));
        web::json_response(StatusCode::ACCEPTED, &json!({}))
    }

    /// A refusal that states that the request was not run.
    fn refusal(&self, status: StatusCode, attempt: &str) -> Response<web::ResponseBody> {
        let mut reply = web::error_response(status, "refused");
        set(&mut reply, "x-acaciabank-instance-id", &self.options.id);
        set(&mut reply, "x-acaciabank-not-executed", "1");
        set(&mut reply, "x-acaciabank-attempt-id", attempt);
        self.journal
            .record(json!({"refused": attempt, "status": status.as_u16()}));
        reply
    }

    async fn prefill(&self, attempt: &str, prompt: u64) -> Response<web::ResponseBody> {
        tokio::time::sleep(Duration::from_millis(prompt / TOKENS_PER_MS)).await;
        let mut state = self.state.lock().expect("runner lock");
        state.next_handle += 1;
        let handle = format!("{}-{}", self.options.id, state.next_handle);
        state.handles.insert(handle.clone(), attempt.to_owned());
        self.journal.record(json!({"prefilled": attempt}));
        let body = json!({"transfer_handle": handle, "tokens": prompt, "version": 1});
        let mut reply = web::json_response(StatusCode::OK, &body);
        set(&mut reply, "x-acaciabank-attempt-id", attempt);
        reply
    }

    /// Headers of an answer of the runner itself.
    fn sign(&self, reply: &mut Response<web::ResponseBody>, attempt: &str, faults: &RunnerFaults) {
        let echoed = if faults.crosses_answers {
            "another-attempt"
        } else {
            attempt
        };
        set(reply, "x-acaciabank-attempt-id", echoed);
        set(reply, "x-acaciabank-response-signature", &self.options.id);
    }

    async fn serve(
        &self,
        attempt: &str,
        faults: &RunnerFaults,
        body: &Bytes,
    ) -> web::HandlerResult {
        tokio::time::sleep(Duration::from_millis(self.options.work_ms)).await;
        let text = format!("{}:{}", attempt, String::from_utf8_lossy(body));
        let mut reply = match faults.cuts_bodies {
            false => Response::new(web::full_body(text)),
            true => {
                let (sender, receiver) = mpsc::unbounded_channel();
                let _ = sender.send(Ok(Bytes::from(text.clone())));
                let _ = sender.send(Err(io::Error::other("cut")));
                let mut reply = Response::new(web::channel_body(receiver));
                set(&mut reply, "content-length", &(text.len() + 10).to_string());
                reply
            }
        };
        self.sign(&mut reply, attempt, faults);
        Ok(reply)
    }

    fn stream(
        &self,
        attempt: &str,
        faults: &RunnerFaults,
        first: u64,
        count: u64,
    ) -> Response<web::ResponseBody> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let pause = Duration::from_millis(self.options.work_ms);
        let breaks_after = faults.breaks_after;
        tokio::spawn(async move {
            for number in first..count {
                tokio::time::sleep(pause).await;
                let event = format!("id: {number}\ndata: token {number}\n\n");
                if breaks_after.is_some_and(|limit| number >= first + limit) {
                    // Half of an event, then the connection breaks.
                    let half = event[..event.len() / 2].to_owned();
                    let _ = sender.send(Ok(Bytes::from(half)));
                    let _ = sender.send(Err(io::Error::other("broken off")));
                    return;
                }
                if sender.send(Ok(Bytes::from(event))).is_err() {
                    return;
                }
            }
        });
        let mut reply = Response::new(web::channel_body(receiver));
        set(&mut reply, "content-type", "text/event-stream");
        self.sign(&mut reply, attempt, faults);
        reply
    }
}

fn set(reply: &mut Response<web::ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
        reply.headers_mut().insert(name, value);
    }
}

fn base64_text(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}
