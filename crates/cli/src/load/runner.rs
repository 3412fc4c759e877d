//! Sends planned requests at their times.

use std::{sync, time};

use acaciabank_protocol::wire;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net, sync::Mutex, sync::mpsc, time as clock};

use super::{
    directory::AddressDirectory,
    event_stream::{EventKind, EventReader},
    report::{LoadReport, OutcomeRecorder, RequestOutcome},
    schedule::{self, PlannedRequest},
    script::LoadScript,
};

/// Attempts of a caller for one request.
const MAX_ATTEMPTS: u32 = 4;
/// Pause of a caller before another attempt when the answer names none, in milliseconds.
const RETRY_PAUSE_MS: u64 = 100;
/// Longest pause that a caller takes from `retry-after`, in milliseconds.
const MAX_RETRY_PAUSE_MS: u64 = 2_000;
/// Idle connections kept for each address.
const MAX_IDLE_CONNECTIONS: usize = 512;
/// Time for a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Time that unanswered requests get after their deadline, in milliseconds.
const GRACE_MS: u64 = 2_000;

/// How to run a script.
pub struct RunOptions {
    /// Name of the run in reports.
    pub name: String,
    /// Callers' addresses of some daemons.
    pub seed_addresses: Vec<String>,
    /// Availability zone of the callers.
    pub zone: Option<String>,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Called about once a second with requests ended and requests in time.
    pub progress: Option<fn(u64, u64)>,
}

type ClientSender = http1::SendRequest<Full<Bytes>>;

struct ConnectionPool {
    directory: AddressDirectory,
    idle: Mutex<std::collections::HashMap<String, Vec<ClientSender>>>,
}

impl ConnectionPool {
    async fn checkout(&self, address: &str) -> Option<ClientSender> {
        while let Some(sender) = self.pop(address).await {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        let limit = time::Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = clock::timeout(limit, net::TcpStream::connect(address))
            .await
            .ok()?
            .ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }

    async fn pop(&self, address: &str) -> Option<ClientSender> {
        self.idle.lock().await.get_mut(address)?.pop()
    }

    async fn checkin(&self, address: &str, sender: ClientSender) {
        let mut idle = self.idle.lock().await;
        let senders = idle.entry(address.to_owned()).or_default();
        if senders.len() < MAX_IDLE_CONNECTIONS {
            senders.push(sender);
        }
    }
}

/// Runs a script to its end and returns the report.
pub async fn run(script: &LoadScript, options: RunOptions) -> LoadReport {
    let requests = schedule::plan(script, options.seed);
    let directory = AddressDirectory::new(options.seed_addresses.clone(), options.zone.clone());
    let pool = sync::Arc::new(ConnectionPool {
        directory,
        idle: Mutex::new(Default::default()),
    });
    let (sender, mut outcomes) = mpsc::unbounded_channel();
    let mut recorder = OutcomeRecorder::new(&options.name, options.seed, script.phases.len());
    let start = time::Instant::now();
    let feeder = tokio::spawn(async move {
        for (number, request) in requests.into_iter().enumerate() {
            let planned = start + time::Duration::from_micros(request.offset_us);
            clock::sleep_until(planned.into()).await;
            let (pool, sender) = (sync::Arc::clone(&pool), sender.clone());
            tokio::spawn(async move {
                let outcome = send_until_done(&pool, &request, number, planned).await;
                // The receiver is gone only when the whole run was dropped.
                let _ = sender.send(outcome);
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
    // The channel closes when the feeder and every request have ended.
    let _ = feeder.await;
    recorder.into_report(start.elapsed().as_millis() as u64)
}

/// Result of one attempt of a caller.
enum AttemptEnd {
    Completed,
    Failed {
        reason: String,
        verdict: String,
        pause_ms: u64,
        again: bool,
    },
}

impl AttemptEnd {
    fn broken(reason: &str) -> Self {
        AttemptEnd::Failed {
            reason: reason.to_owned(),
            verdict: "unknown".to_owned(),
            pause_ms: RETRY_PAUSE_MS,
            again: true,
        }
    }
}

async fn send_until_done(
    pool: &ConnectionPool,
    request: &PlannedRequest,
    number: usize,
    planned: time::Instant,
) -> RequestOutcome {
    let deadline = planned + time::Duration::from_millis(request.timeout_ms);
    let mut outcome = RequestOutcome {
        urgent: request.priority == wire::Priority::Urgent,
        phase: request.phase,
        ..RequestOutcome::default()
    };
    for attempt in 0..MAX_ATTEMPTS {
        let addresses = pool.directory.addresses().await;
        let address = &addresses[(number + attempt as usize) % addresses.len()];
        let limit = deadline + time::Duration::from_millis(GRACE_MS);
        let sending = send_once(pool, address, request, planned, deadline, &mut outcome);
        let end = clock::timeout_at(limit.into(), sending)
            .await
            .unwrap_or_else(|_| AttemptEnd::broken("no_answer"));
        match end {
            AttemptEnd::Completed => {
                outcome.completed = true;
                outcome.in_time = time::Instant::now() <= deadline;
                return outcome;
            }
            AttemptEnd::Failed {
                reason,
                verdict,
                pause_ms,
                again,
            } => {
                outcome.failure = Some((reason, verdict));
                let resume_at = time::Instant::now() + time::Duration::from_millis(pause_ms);
                if !again || resume_at >= deadline {
                    return outcome;
                }
                outcome.retries += 1;
                clock::sleep_until(resume_at.into()).await;
            }
        }
    }
    outcome
}

async fn send_once(
    pool: &ConnectionPool,
    address: &str,
    request: &PlannedRequest,
    planned: time::Instant,
    deadline: time::Instant,
    outcome: &mut RequestOutcome,
) -> AttemptEnd {
    let Some(mut sender) = pool.checkout(address).await else {
        return AttemptEnd::broken("connect_failed");
    };
    let left = deadline
        .saturating_duration_since(time::Instant::now())
        .as_millis()
        .max(1);
    let response = match sender
        .send_request(to_http(request, address, left as u64))
        .await
    {
        Ok(response) => response,
        Err(_) => return AttemptEnd::broken("connection_broken"),
    };
    let status = response.status();
    let retry_after_ms = response
        .headers()
        .get(http::header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok())
        .map(|seconds| (seconds * 1_000).min(MAX_RETRY_PAUSE_MS));
    let body = response.into_body();
    let end = if !status.is_success() {
        read_refusal(body, retry_after_ms).await
    } else if request.is_completion {
        read_stream(body, planned, outcome).await
    } else {
        match body.collect().await {
            Ok(_) => AttemptEnd::Completed,
            Err(_) => AttemptEnd::broken("answer_truncated"),
        }
    };
    if sender.ready().await.is_ok() {
        pool.checkin(address, sender).await;
    }
    end
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

async fn read_refusal(body: hyper::body::Incoming, retry_after_ms: Option<u64>) -> AttemptEnd {
    let Ok(body) = body.collect().await else {
        return AttemptEnd::broken("answer_truncated");
    };
    let (reason, verdict) = parse_refusal(&body.to_bytes());
    AttemptEnd::Failed {
        reason,
        verdict,
        pause_ms: retry_after_ms.unwrap_or(RETRY_PAUSE_MS),
        again: retry_after_ms.is_some(),
    }
}

fn parse_refusal(body: &[u8]) -> (String, String) {
    let json: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let member = |name: &str| {
        json["error"][name]
            .as_str()
            .unwrap_or("unreadable")
            .to_owned()
    };
    (member("reason"), member("verdict"))
}

async fn read_stream(
    mut body: hyper::body::Incoming,
    planned: time::Instant,
    outcome: &mut RequestOutcome,
) -> AttemptEnd {
    let mut reader = EventReader::default();
    let mut last_token: Option<time::Instant> = None;
    let mut end = None;
    // A repeated request starts its answer again; tokens of the broken answer do not count.
    outcome.tokens = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return AttemptEnd::broken("answer_truncated");
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        let now = time::Instant::now();
        reader.read(&bytes, |event| match event {
            EventKind::Token => {
                outcome.tokens += 1;
                match last_token.replace(now) {
                    Some(last) => {
                        outcome
                            .between_tokens_us
                            .push((now - last).as_micros() as u64);
                    }
                    None => {
                        outcome.first_token_us = Some((now - planned).as_micros() as u64);
                    }
                }
            }
            EventKind::Other => {}
            EventKind::Done | EventKind::Refused => end = Some(event),
        });
    }
    match end {
        Some(EventKind::Done) => AttemptEnd::Completed,
        Some(EventKind::Refused) => {
            let (reason, verdict) =
                parse_refusal(reader.refusal.as_deref().unwrap_or_default().as_bytes());
            AttemptEnd::Failed {
                reason,
                verdict,
                pause_ms: RETRY_PAUSE_MS,
                again: true,
            }
        }
        _ => AttemptEnd::broken("answer_truncated"),
    }
}
