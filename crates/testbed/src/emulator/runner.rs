//! Emulates a runner: a plain service, or an engine with a stage whose KV caches other runners
//! fetch.

use std::{
    collections::{HashMap, HashSet},
    io, net, process,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::mpsc;

use crate::{journal, web};

/// Prompt tokens that an emulated engine processes in a millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 50;
/// Time between two writes of the runner's entry to the store.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a runner gives up a heartbeat without a response: a store that was silent for a
/// while would stop all later ones.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Exit status of a process that a prompt part has crashed.
const CRASH_STATUS: i32 = 70;

/// Events of a stream that an engine generates.
#[derive(Clone, Copy, Debug)]
struct EventRange {
    first: u64,
    end: u64,
    /// Whether the process ends in place of the first event.
    is_crashing: bool,
}

/// Parameters of an emulated runner.
#[derive(Clone, Debug)]
pub struct RunnerOptions {
    /// Id of this instance; a restarted runner has a new one.
    pub id: String,
    /// Name of the service that it provides.
    pub service: String,
    /// Availability zone that it reports.
    pub zone: String,
    /// Initial stage of an engine; `None` for a plain service.
    pub stage: Option<String>,
    /// Version of its software, in the store entry and in each event.
    pub version: String,
    /// Duration of a request to a plain service and time between two events of a stream, in
    /// milliseconds.
    pub work_ms: u64,
    /// Address of the store.
    pub store: net::SocketAddr,
    /// Whether the store entry says that the platform may take it away.
    pub is_spot: bool,
    /// Address in the store entry, if it differs from the one that the runner listens on.
    pub advertised_address: Option<net::SocketAddr>,
    /// Whether the journal records the headers of each request of a caller.
    pub records_headers: bool,
    /// Faults at the start of the process.
    pub initial_faults: RunnerFaults,
}

/// Faults of a runner, set through `/control`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunnerFaults {
    /// Refuses requests with status 503 without running them.
    pub refuses: bool,
    /// Runs requests and closes their connection without a response.
    pub loses_answers: bool,
    /// Sends responses with the id of another attempt.
    pub crosses_answers: bool,
    /// Breaks streams off in the middle of the event that follows this many events.
    pub breaks_after: Option<u64>,
    /// Sends responses of plain services with a `content-length` that exceeds the body.
    pub cuts_bodies: bool,
    /// Runs requests and never responds.
    pub is_mute: bool,
    /// Refuses requests that name another runner's KV cache, as if it could not be fetched.
    pub refuses_fetch: bool,
    /// Says in all responses that the runner leaves.
    pub is_leaving: bool,
    /// Value of `retry-after` in all responses with status 503.
    pub retry_after: Option<String>,
    /// Value of `server-limit` in all responses.
    pub rate_limit: Option<String>,
    /// Reports the state `draining` in the store entry instead of `ready`.
    pub is_draining: bool,
    /// Time until it is taken away, in the store entry.
    pub leaves_ms: Option<u64>,
    /// Ids of prompt parts that end the process when an engine begins to write the answer of a
    /// request that holds one of them in front of its last part.
    pub crash_parts: Vec<String>,
    /// Beginning of path and query with which a request ends the process of a plain service when it
    /// has worked on it.
    pub crash_path: Option<String>,
    /// Additional time to the first event of a stream, in milliseconds.
    pub first_event_delay_ms: u64,
    /// Additional time that an engine takes to process a prompt, in milliseconds.
    pub prefill_delay_ms: u64,
}

impl RunnerFaults {
    /// Returns whether a prompt ends the process; `prefix` lists its parts as
    /// `id:tokens,id:tokens`.
    fn is_crashed_by(&self, prefix: &str) -> bool {
        let Some((shared, _)) = prefix.rsplit_once(',') else {
            return false;
        };
        let mut ids = shared.split(',').filter_map(|part| part.split_once(':'));
        ids.any(|(id, _)| self.crash_parts.iter().any(|crash_part| crash_part == id))
    }
}

#[derive(Debug, Default)]
struct RunnerState {
    faults: RunnerFaults,
    stage: Option<String>,
    /// Attempt ids by KV handle.
    kv_handles: HashMap<String, String>,
    /// Lease holders that ordered a stage change.
    lease_holders: HashSet<String>,
    order_count: u64,
    handle_count: u64,
    /// Cached prompt parts: token count and model by part id.
    cached_parts: HashMap<String, (u64, String)>,
}

/// A running emulated runner.
#[derive(Clone, Debug)]
pub struct RunnerEmulator {
    options: Arc<RunnerOptions>,
    address: net::SocketAddr,
    started_at_ms: u64,
    state: Arc<Mutex<RunnerState>>,
    journal: Arc<journal::Journal>,
}

impl RunnerEmulator {
    /// Creates a runner that listens on `address` and starts to write its entry to the store
    /// periodically.
    pub fn new(
        options: RunnerOptions,
        address: net::SocketAddr,
        journal: Arc<journal::Journal>,
    ) -> Self {
        let state = RunnerState {
            stage: options.stage.clone(),
            faults: options.initial_faults.clone(),
            ..RunnerState::default()
        };
        let runner = Self {
            options: Arc::new(options),
            address,
            started_at_ms: journal::unix_ms(),
            state: Arc::new(Mutex::new(state)),
            journal,
        };
        tokio::spawn(runner.clone().run_heartbeats());
        runner
    }

    /// Writes the runner's entry to the store until the process ends.
    async fn run_heartbeats(self) {
        let mut sequence = 0;
        loop {
            sequence += 1;
            let entry = {
                let state = self.state.lock().expect("runner lock");
                let mut entry = json!({
                    "service": self.options.service,
                    "address": self.options.advertised_address.unwrap_or(self.address),
                    "zone": self.options.zone, "slots": 8, "seq": sequence,
                    "version": self.options.version,
                    "born": self.started_at_ms,
                    "state": if state.faults.is_draining { "draining" } else { "ready" },
                });
                if let Some(stage) = &state.stage {
                    entry["stage"] = stage.as_str().into();
                }
                if self.options.is_spot {
                    entry["spot"] = true.into();
                }
                if let Some(leaves_ms) = state.faults.leaves_ms {
                    entry["leaves_ms"] = leaves_ms.into();
                }
                entry.to_string()
            };
            let value = base64_text(entry.as_bytes());
            let row =
                json!({"table": "servers", "part": "", "key": self.options.id, "value": value});
            let transaction = json!({"expected_rev": [], "writes": [row], "deletes": []});
            let heartbeat = web::call(
                self.options.store,
                "POST",
                "/rows-tx",
                &[],
                transaction.to_string(),
            );
            // Errors are ignored: the next heartbeat writes the entry again.
            let _ = tokio::time::timeout(HEARTBEAT_TIMEOUT, heartbeat).await;
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Handles one request.
    ///
    /// # Errors
    ///
    /// Returns an error, which closes the connection without a response, if the body cannot be read
    /// or an injected fault requires it.
    pub async fn handle(self, request: Request<Incoming>) -> web::HandlerResult {
        let runner = self.clone();
        let mut response = self.respond_to(request).await?;
        runner.set_signal_headers(&mut response);
        Ok(response)
    }

    async fn respond_to(self, request: Request<Incoming>) -> web::HandlerResult {
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
            (&Method::GET, "/kv-list") => return Ok(self.cached_parts()),
            (&Method::POST, "/order") => return Ok(self.apply_order(&body)),
            (&Method::DELETE, path) if path.starts_with("/kv-handle/") => {
                let handle = path.trim_start_matches("/kv-handle/");
                self.state
                    .lock()
                    .expect("runner lock")
                    .kv_handles
                    .remove(handle);
                return Ok(web::json_response(StatusCode::OK, &json!({})));
            }
            _ => {}
        }
        let attempt = header("x-acaciabank-attempt-id");
        if self.options.records_headers {
            let fields = head.headers.iter();
            let fields: Vec<_> = fields
                .map(|(name, value)| (name.as_str(), String::from_utf8_lossy(value.as_bytes())))
                .collect();
            self.journal
                .record(json!({"received": attempt, "headers": fields}));
        }
        let expected_id = header("x-acaciabank-expect-instance");
        if expected_id != self.options.id {
            return Ok(self.refusal(StatusCode::MISDIRECTED_REQUEST, &attempt));
        }
        let faults = self.state.lock().expect("runner lock").faults.clone();
        if faults.refuses {
            return Ok(self.refusal(StatusCode::SERVICE_UNAVAILABLE, &attempt));
        }
        let tokens = header("x-acaciabank-token-count");
        let (prompt_tokens, output_tokens) = tokens.split_once(',').unwrap_or_default();
        let prompt_tokens: u64 = prompt_tokens.parse().unwrap_or(0);
        let model = header("x-acaciabank-model");
        let prefix = header("x-acaciabank-prompt-prefix");
        self.cache_parts(&prefix, &model);
        if header("x-acaciabank-stage") == "prefill" {
            let delay = Duration::from_millis(faults.prefill_delay_ms);
            tokio::time::sleep(delay).await;
            return Ok(self.prefill(&attempt, prompt_tokens).await);
        }
        let source = header("x-acaciabank-kv-source");
        if !source.is_empty() && faults.refuses_fetch {
            return Ok(self.refusal(StatusCode::SERVICE_UNAVAILABLE, &attempt));
        }
        let deadline = header("x-acaciabank-deadline-ms");
        self.journal.record(json!({
            "ran": attempt, "path": head.uri.path(), "query": head.uri.query(), "deadline_ms": deadline, "source": source,
            "last_event": header("last-event-id"), "body": String::from_utf8_lossy(&body),
        }));
        if faults.is_mute {
            std::future::pending::<()>().await;
        }
        if faults.loses_answers {
            tokio::time::sleep(Duration::from_millis(self.options.work_ms)).await;
            return Err(io::Error::other("fault: response dropped"));
        }
        if self.options.stage.is_none() {
            let path = head.uri.path_and_query().map(|path| path.as_str());
            let is_crashing = |begin: &str| path.is_some_and(|path| path.starts_with(begin));
            if faults.crash_path.as_deref().is_some_and(is_crashing) {
                tokio::time::sleep(Duration::from_millis(self.options.work_ms)).await;
                self.journal.record(json!({"crashed": attempt}));
                process::exit(CRASH_STATUS);
            }
            return self.respond(&attempt, &faults, &body).await;
        }
        let first_event = header("last-event-id")
            .parse()
            .map_or(0, |last: u64| last + 1);
        let stream = EventRange {
            first: first_event,
            end: output_tokens.parse().unwrap_or(4),
            is_crashing: faults.is_crashed_by(&prefix),
        };
        Ok(self.stream_events(&attempt, &faults, stream))
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
        let report = json!({"stage": state.stage, "busy": false, "seq": state.order_count});
        web::json_response(StatusCode::OK, &report)
    }

    fn cached_parts(&self) -> Response<web::ResponseBody> {
        let state = self.state.lock().expect("runner lock");
        let parts = state.cached_parts.iter();
        let parts: Vec<_> = parts
            .map(|(id, (tokens, model))| json!(["", id, tokens, model]))
            .collect();
        let body = json!({"epoch": 1, "next": 0, "held": parts});
        web::json_response(StatusCode::OK, &body)
    }

    /// Adds the parts of a prompt to the cache; `prefix` lists them as `id:tokens,id:tokens`.
    fn cache_parts(&self, prefix: &str, model: &str) {
        let mut state = self.state.lock().expect("runner lock");
        for (id, tokens) in prefix.split(',').filter_map(|part| part.split_once(':')) {
            let tokens = tokens.parse().unwrap_or(0);
            state
                .cached_parts
                .insert(id.to_owned(), (tokens, model.to_owned()));
        }
    }

    /// Changes the stage if the order expects the number of orders applied so far.
    fn apply_order(&self, body: &[u8]) -> Response<web::ResponseBody> {
        let order: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let mut state = self.state.lock().expect("runner lock");
        if order["expected_rev"] != json!(state.order_count) {
            return web::error_response(StatusCode::CONFLICT, "seq");
        }
        state.order_count += 1;
        state.stage = order["stage"].as_str().map(str::to_owned);
        let lease_holder = order["holder"].as_str().unwrap_or_default().to_owned();
        state.lease_holders.insert(lease_holder);
        self.journal.record(json!({"order": order}));
        web::json_response(StatusCode::ACCEPTED, &json!({}))
    }

    /// Creates an error response that states that the request was not run, and records it.
    fn refusal(&self, status: StatusCode, attempt: &str) -> Response<web::ResponseBody> {
        let mut response = web::error_response(status, "refused");
        set_header(&mut response, "x-acaciabank-instance-id", &self.options.id);
        set_header(&mut response, "x-acaciabank-not-executed", "1");
        set_header(&mut response, "x-acaciabank-attempt-id", attempt);
        self.journal
            .record(json!({"refused": attempt, "status": status.as_u16()}));
        response
    }

    /// Processes a prompt and returns a handle for its KV cache.
    async fn prefill(&self, attempt: &str, prompt_tokens: u64) -> Response<web::ResponseBody> {
        tokio::time::sleep(Duration::from_millis(prompt_tokens / PREFILL_TOKENS_PER_MS)).await;
        let mut state = self.state.lock().expect("runner lock");
        state.handle_count += 1;
        let handle = format!("{}-{}", self.options.id, state.handle_count);
        state.kv_handles.insert(handle.clone(), attempt.to_owned());
        self.journal.record(json!({"prefilled": attempt}));
        let body = json!({"transfer_handle": handle, "tokens": prompt_tokens, "version": 1});
        let mut response = web::json_response(StatusCode::OK, &body);
        set_header(&mut response, "x-acaciabank-attempt-id", attempt);
        response
    }

    /// Sets the headers that identify the attempt and the runner that a response comes from.
    fn set_origin_headers(
        &self,
        response: &mut Response<web::ResponseBody>,
        attempt: &str,
        faults: &RunnerFaults,
    ) {
        let echoed_id = if faults.crosses_answers {
            "another-attempt"
        } else {
            attempt
        };
        set_header(response, "x-acaciabank-attempt-id", echoed_id);
        set_header(
            response,
            "x-acaciabank-response-signature",
            &self.options.id,
        );
    }

    /// Sets the headers by which a runner says that it leaves or wants no requests for a while.
    fn set_signal_headers(&self, response: &mut Response<web::ResponseBody>) {
        let state = self.state.lock().expect("runner lock");
        if state.faults.is_leaving {
            set_header(response, "server-leaving", "1");
        }
        if let Some(limit) = &state.faults.rate_limit {
            set_header(response, "server-limit", limit);
        }
        if response.status() == StatusCode::SERVICE_UNAVAILABLE
            && let Some(retry_after) = &state.faults.retry_after
        {
            set_header(response, "retry-after", retry_after);
        }
    }

    /// Responds to a request to a plain service.
    async fn respond(
        &self,
        attempt: &str,
        faults: &RunnerFaults,
        body: &Bytes,
    ) -> web::HandlerResult {
        tokio::time::sleep(Duration::from_millis(self.options.work_ms)).await;
        let text = format!("{}:{}", attempt, String::from_utf8_lossy(body));
        let mut response = match faults.cuts_bodies {
            false => Response::new(web::full_body(text)),
            true => {
                let (sender, receiver) = mpsc::unbounded_channel();
                let _ = sender.send(Ok(Bytes::from(text.clone())));
                let _ = sender.send(Err(io::Error::other("fault: body truncated")));
                let mut response = Response::new(web::channel_body(receiver));
                set_header(
                    &mut response,
                    "content-length",
                    &(text.len() + 10).to_string(),
                );
                response
            }
        };
        self.set_origin_headers(&mut response, attempt, faults);
        Ok(response)
    }

    /// Streams the events of a range. The head of the response is sent before the first event, so
    /// that a crash breaks a response that has begun.
    fn stream_events(
        &self,
        attempt: &str,
        faults: &RunnerFaults,
        range: EventRange,
    ) -> Response<web::ResponseBody> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let event_interval = Duration::from_millis(self.options.work_ms);
        let first_event_delay = Duration::from_millis(faults.first_event_delay_ms);
        let breaks_after = faults.breaks_after;
        let version = self.options.version.clone();
        let (journal, crashed_attempt) = (Arc::clone(&self.journal), attempt.to_owned());
        tokio::spawn(async move {
            tokio::time::sleep(first_event_delay).await;
            for number in range.first..range.end {
                tokio::time::sleep(event_interval).await;
                if range.is_crashing {
                    journal.record(json!({"crashed": crashed_attempt}));
                    process::exit(CRASH_STATUS);
                }
                let event = format!("id: {number}\ndata: {version} token {number}\n\n");
                if breaks_after.is_some_and(|limit| number >= range.first + limit) {
                    // Sends half of an event and then breaks the connection.
                    let half = event[..event.len() / 2].to_owned();
                    let _ = sender.send(Ok(Bytes::from(half)));
                    let _ = sender.send(Err(io::Error::other("fault: stream broken")));
                    return;
                }
                if sender.send(Ok(Bytes::from(event))).is_err() {
                    return;
                }
            }
        });
        let mut response = Response::new(web::channel_body(receiver));
        set_header(&mut response, "content-type", "text/event-stream");
        self.set_origin_headers(&mut response, attempt, faults);
        response
    }
}

fn set_header(response: &mut Response<web::ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

fn base64_text(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}
