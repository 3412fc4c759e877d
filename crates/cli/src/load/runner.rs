//! Sends planned requests at their arrival times and records the outcomes.

use std::{sync, time};

use acaciabank_protocol::wire;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net, sync::Mutex, sync::mpsc, time as clock};

use super::{
    directory::AddressDirectory,
    event_stream::{EventKind, EventSplitter},
    report::{OutcomeRecorder, RequestOutcome, RunReport},
    schedule::{self, PlannedRequest},
    script::LoadScript,
};

/// Maximum number of attempts for one request, the first included.
const MAX_ATTEMPTS: u32 = 4;
/// Delay before a retry without a usable `retry-after` header, in milliseconds.
const DEFAULT_RETRY_DELAY_MS: u64 = 100;
/// Upper limit of a delay that `retry-after` asks for, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 2_000;
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 512;
/// Timeout of a TCP connect, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Time after the deadline for which a response is still awaited, in milliseconds.
const RESPONSE_GRACE_MS: u64 = 2_000;

/// Options of a load run.
pub struct RunOptions {
    /// Name of the run in reports.
    pub name: String,
    /// Callers' addresses of daemons, used for the first address lookup.
    pub seed_addresses: Vec<String>,
    /// Availability zone of the callers, sent with the address lookup.
    pub zone: Option<String>,
    /// Seed from which the requests and their arrival times are drawn.
    pub seed: u64,
    /// Called about once a second with the number of requests ended and of those completed in time.
    pub progress: Option<fn(u64, u64)>,
}

type ClientSender = http1::SendRequest<Full<Bytes>>;

/// The known daemons and the idle HTTP/1.1 connections to each address.
struct ConnectionPool {
    directory: AddressDirectory,
    idle: Mutex<std::collections::HashMap<String, Vec<ClientSender>>>,
}

impl ConnectionPool {
    /// Takes an idle connection to `address` or opens one.
    async fn checkout(&self, address: &str) -> Option<ClientSender> {
        while let Some(sender) = self.pop_idle(address).await {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        let timeout = time::Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = clock::timeout(timeout, net::TcpStream::connect(address))
            .await
            .ok()?
            .ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }

    async fn pop_idle(&self, address: &str) -> Option<ClientSender> {
        self.idle.lock().await.get_mut(address)?.pop()
    }

    /// Returns a connection to the pool; drops it when the pool is full for `address`.
    async fn checkin(&self, address: &str, sender: ClientSender) {
        let mut idle = self.idle.lock().await;
        let senders = idle.entry(address.to_owned()).or_default();
        if senders.len() < MAX_IDLE_PER_ADDRESS {
            senders.push(sender);
        }
    }
}

/// Runs a script to its end and returns the report.
pub async fn run(script: &LoadScript, options: RunOptions) -> RunReport {
    let requests = schedule::plan(script, options.seed);
    let directory = AddressDirectory::new(options.seed_addresses.clone(), options.zone.clone());
    let pool = sync::Arc::new(ConnectionPool {
        directory,
        idle: Mutex::new(Default::default()),
    });
    let (outcome_sender, mut outcomes) = mpsc::unbounded_channel();
    let mut recorder = OutcomeRecorder::new(&options.name, options.seed, script.phases.len());
    let start = time::Instant::now();
    let arrival_task = tokio::spawn(async move {
        for (number, request) in requests.into_iter().enumerate() {
            let planned_at = start + time::Duration::from_micros(request.offset_us);
            clock::sleep_until(planned_at.into()).await;
            let (pool, outcome_sender) = (sync::Arc::clone(&pool), outcome_sender.clone());
            tokio::spawn(async move {
                let outcome = send_with_retries(&pool, &request, number, planned_at).await;
                // The receiver is dropped early only when the whole run is dropped.
                let _ = outcome_sender.send(outcome);
            });
        }
    });
    let mut next_progress = start + time::Duration::from_secs(1);
    while let Some(outcome) = outcomes.recv().await {
        recorder.record(&outcome);
        if time::Instant::now() >= next_progress {
            next_progress += time::Duration::from_secs(1);
            if let Some(progress) = options.progress {
                let (ended, in_time) = recorder.counts();
                progress(ended, in_time);
            }
        }
    }
    // The channel closes when the arrival task and every request task have ended.
    let _ = arrival_task.await;
    recorder.into_report(start.elapsed().as_millis() as u64)
}

/// Result of one attempt to send a request.
enum AttemptResult {
    Completed,
    Failed {
        reason: String,
        verdict: String,
        retry_delay_ms: u64,
        is_retryable: bool,
    },
}

impl AttemptResult {
    /// A failure without a verdict of the system, such as a broken connection; the caller may
    /// retry.
    fn transport_failure(reason: &str) -> Self {
        AttemptResult::Failed {
            reason: reason.to_owned(),
            verdict: "unknown".to_owned(),
            retry_delay_ms: DEFAULT_RETRY_DELAY_MS,
            is_retryable: true,
        }
    }
}

/// Sends a request and retries it until it completes, is not retryable, its deadline passes or
/// [`MAX_ATTEMPTS`] are used up.
async fn send_with_retries(
    pool: &ConnectionPool,
    request: &PlannedRequest,
    number: usize,
    planned_at: time::Instant,
) -> RequestOutcome {
    let deadline = planned_at + time::Duration::from_millis(request.timeout_ms);
    let mut outcome = RequestOutcome {
        urgent: request.priority == wire::Priority::Urgent,
        phase: request.phase,
        ..RequestOutcome::default()
    };
    for attempt in 0..MAX_ATTEMPTS {
        let addresses = pool.directory.addresses().await;
        let address = &addresses[(number + attempt as usize) % addresses.len()];
        let give_up_at = deadline + time::Duration::from_millis(RESPONSE_GRACE_MS);
        let attempt_future =
            send_attempt(pool, address, request, planned_at, deadline, &mut outcome);
        let result = clock::timeout_at(give_up_at.into(), attempt_future)
            .await
            .unwrap_or_else(|_| AttemptResult::transport_failure("no_answer"));
        match result {
            AttemptResult::Completed => {
                outcome.completed = true;
                outcome.in_time = time::Instant::now() <= deadline;
                return outcome;
            }
            AttemptResult::Failed {
                reason,
                verdict,
                retry_delay_ms,
                is_retryable,
            } => {
                outcome.failure = Some((reason, verdict));
                let retry_at = time::Instant::now() + time::Duration::from_millis(retry_delay_ms);
                if !is_retryable || retry_at >= deadline {
                    return outcome;
                }
                outcome.retries += 1;
                clock::sleep_until(retry_at.into()).await;
            }
        }
    }
    outcome
}

async fn send_attempt(
    pool: &ConnectionPool,
    address: &str,
    request: &PlannedRequest,
    planned_at: time::Instant,
    deadline: time::Instant,
    outcome: &mut RequestOutcome,
) -> AttemptResult {
    let Some(mut sender) = pool.checkout(address).await else {
        return AttemptResult::transport_failure("connect_failed");
    };
    let remaining_ms = deadline
        .saturating_duration_since(time::Instant::now())
        .as_millis()
        .max(1);
    let response = match sender
        .send_request(to_http(request, address, remaining_ms as u64))
        .await
    {
        Ok(response) => response,
        Err(_) => return AttemptResult::transport_failure("connection_broken"),
    };
    let status = response.status();
    let retry_after_ms = response
        .headers()
        .get(http::header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok())
        .map(|seconds| (seconds * 1_000).min(MAX_RETRY_DELAY_MS));
    let body = response.into_body();
    let result = if !status.is_success() {
        read_refusal(body, retry_after_ms).await
    } else if request.is_completion {
        read_stream(body, planned_at, outcome).await
    } else {
        match body.collect().await {
            Ok(_) => AttemptResult::Completed,
            Err(_) => AttemptResult::transport_failure("answer_truncated"),
        }
    };
    if sender.ready().await.is_ok() {
        pool.checkin(address, sender).await;
    }
    result
}

fn to_http(request: &PlannedRequest, address: &str, timeout_ms: u64) -> http::Request<Full<Bytes>> {
    let priority = match request.priority {
        wire::Priority::Urgent => "urgent",
        wire::Priority::Normal => "normal",
        wire::Priority::Batch => "batch",
    };
    let mut builder = http::Request::post(request.path.as_str())
        .header(http::header::HOST, address)
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(wire::PRIORITY_HEADER, priority)
        .header(wire::TIMEOUT_HEADER, timeout_ms);
    if let Some(key) = &request.idempotency_key {
        builder = builder.header(wire::IDEMPOTENCY_HEADER, key);
    }
    if let Some(key) = &request.team_key {
        builder = builder.header(http::header::AUTHORIZATION, format!("Bearer {key}"));
    }
    let body = Full::new(Bytes::from(request.body.clone()));
    builder
        .body(body)
        .expect("planned requests have valid paths and headers")
}

async fn read_refusal(body: hyper::body::Incoming, retry_after_ms: Option<u64>) -> AttemptResult {
    let Ok(body) = body.collect().await else {
        return AttemptResult::transport_failure("answer_truncated");
    };
    let (reason, verdict) = parse_refusal(&body.to_bytes());
    AttemptResult::Failed {
        reason,
        verdict,
        retry_delay_ms: retry_after_ms.unwrap_or(DEFAULT_RETRY_DELAY_MS),
        is_retryable: retry_after_ms.is_some(),
    }
}

fn parse_refusal(body: &[u8]) -> (String, String) {
    let json: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let field = |name: &str| {
        json["error"][name]
            .as_str()
            .unwrap_or("unreadable")
            .to_owned()
    };
    (field("reason"), field("verdict"))
}

async fn read_stream(
    mut body: hyper::body::Incoming,
    planned_at: time::Instant,
    outcome: &mut RequestOutcome,
) -> AttemptResult {
    let mut splitter = EventSplitter::default();
    let mut last_token: Option<time::Instant> = None;
    let mut end_event = None;
    // A retry receives the response from its start, so tokens of earlier attempts do not count.
    outcome.tokens = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return AttemptResult::transport_failure("answer_truncated");
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        let now = time::Instant::now();
        splitter.push(&bytes, |event| match event {
            EventKind::Token => {
                outcome.tokens += 1;
                match last_token.replace(now) {
                    Some(last) => {
                        outcome
                            .between_tokens_us
                            .push((now - last).as_micros() as u64);
                    }
                    None => {
                        outcome.first_token_us = Some((now - planned_at).as_micros() as u64);
                    }
                }
            }
            EventKind::Other => {}
            EventKind::Done | EventKind::Refused => end_event = Some(event),
        });
    }
    match end_event {
        Some(EventKind::Done) => AttemptResult::Completed,
        Some(EventKind::Refused) => {
            let (reason, verdict) =
                parse_refusal(splitter.refusal.as_deref().unwrap_or_default().as_bytes());
            AttemptResult::Failed {
                reason,
                verdict,
                retry_delay_ms: DEFAULT_RETRY_DELAY_MS,
                is_retryable: true,
            }
        }
        _ => AttemptResult::transport_failure("answer_truncated"),
    }
}
