//! An accepted request and the progress of its attempts.

use std::{
    cell::{Cell, RefCell},
    rc,
    time::{Duration, Instant},
};

use acaciabank_core::{budget, load_shed, prefix};
use acaciabank_protocol::verdict::Verdict;
use bytes::Bytes;
use hyper::body::Incoming;
use tokio::{sync::watch, task::JoinHandle};
use xxhash_rust::xxh3::Xxh3;

use super::{refusal::RefusalResponse, unread};
use crate::{
    config,
    connection::{self, RequestBodyError},
    memory::BufferError,
    platform, rate_limit, state,
    telemetry::{self, OverloadReason, RefusalCause},
    trial,
};

/// Time before the caller's deadline at which the final response is sent, for its way to the
/// caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(30);
/// Timeout of a request whose caller states none. The timeout of the route applies as well.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// A request that was read completely and accepted.
#[derive(Debug)]
pub struct RelayRequest {
    /// Id of the caller's attempt.
    pub id: String,
    /// Route that covers the request.
    pub route: config::RouteRule,
    /// Team of the caller; `None` if the configuration has no teams or the caller has no key.
    pub team: Option<rc::Rc<config::TeamSpec>>,
    /// Priority of the request, that of its team or else of its route; 0 is the highest.
    pub priority: u8,
    /// Name of the service that runs it.
    pub service: String,
    /// HTTP method.
    pub method: http::Method,
    /// Path and query.
    pub uri: http::Uri,
    /// Headers that are forwarded to the target.
    pub headers: http::HeaderMap,
    /// Complete body of the request.
    pub body: Bytes,
    /// Time at which the head arrived.
    pub arrival: Instant,
    /// Time at which the whole request had been read.
    pub read_at: Instant,
    /// Time by which the final response is sent.
    pub deadline: Instant,
    /// Metadata from the caller's headers.
    pub metadata: platform::RequestMetadata,
    /// Parts of the prompt; empty for plain services.
    pub parts: Vec<prefix::PromptPart>,
    /// Keys by which it may be a crash suspect: that of the whole request, which is equal if a caller
    /// sends it again, and those of the parts that other requests may share, all but the last one.
    pub suspect_keys: Vec<u64>,
    /// Permission to run it as a crash suspect.
    pub trial: RefCell<Option<rc::Rc<trial::TrialPermit>>>,
    /// Hash of the software version that it has to run at: the one that began its stream.
    pub software: Cell<Option<u64>>,
    /// Permissions to send it to targets that name a rate limit.
    pub grants: RefCell<Vec<rate_limit::SendGrant>>,
    /// The task that finds out whether the target of the last attempt has crashed.
    pub confirmation: RefCell<Option<JoinHandle<()>>>,
    /// Whether a target has begun to answer it.
    pub has_output: Cell<bool>,
    /// Whether it is contained in the usage of its team.
    pub is_counted: Cell<bool>,
    /// Version of the configuration that applies to it.
    pub config_version: u64,
    /// Since when targets may be running it.
    pub sent: SentSignal,
    _active: state::ActiveGuard,
}

impl RelayRequest {
    /// Reads the body, selects the service and sets the deadline.
    pub async fn read<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
        state: &state::RelayState<Codec, Store>,
        config: &config::RelayConfig,
        route: &config::RouteRule,
        team: Option<rc::Rc<config::TeamSpec>>,
        metadata: platform::RequestMetadata,
        request: http::Request<Incoming>,
    ) -> Result<Self, RefusalResponse> {
        let arrival = Instant::now();
        let active = state::ActiveGuard::start(&state.active);
        let caller_ms = metadata.deadline_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
        let caller_deadline = arrival + Duration::from_millis(caller_ms);
        let timeout = arrival + Duration::from_millis(route.timeout_ms);
        let deadline =
            timeout.min(caller_deadline - RESPONSE_MARGIN.min(caller_deadline - arrival));
        let (mut head, body) = request.into_parts();
        let unread = UnreadState {
            guard: head.extensions.remove(),
            is_awaited: head.headers.contains_key(http::header::EXPECT),
        };
        let body = read_body(state, body, unread, &config.limits, deadline).await?;
        let service = route.pick_service(service_draw(&metadata));
        let service = service.ok_or(RefusalResponse::not_run(RefusalCause::NoTarget))?;
        let parts = metadata
            .generation
            .as_ref()
            .map_or(Vec::new(), |generation| {
                let parts = generation.parts.iter();
                let part = |(id, tokens): &(String, u32)| {
                    prefix::PromptPart::new(&generation.model, id, *tokens)
                };
                parts.map(part).collect()
            });
        let credentials = match config.teams {
            Some(_) => platform::CredentialUse::Remove,
            None => platform::CredentialUse::Forward,
        };
        let mut suspect_keys = vec![fingerprint(&head.method, &head.uri, &body)];
        let shared = prefix::shared_parts(&parts).iter();
        suspect_keys.extend(shared.map(|part| part.key));
        Ok(Self {
            suspect_keys,
            trial: RefCell::default(),
            software: Cell::default(),
            grants: RefCell::default(),
            confirmation: RefCell::default(),
            has_output: Cell::new(false),
            is_counted: Cell::new(false),
            id: metadata.attempt_id.clone().unwrap_or_default(),
            priority: team
                .as_ref()
                .and_then(|team| team.priority)
                .unwrap_or(route.priority),
            team,
            service: service.to_owned(),
            route: route.clone(),
            method: head.method,
            uri: head.uri,
            headers: state.codec.forward_headers(&head.headers, credentials),
            body,
            arrival,
            read_at: Instant::now(),
            deadline,
            metadata,
            parts,
            config_version: config.version,
            sent: SentSignal::default(),
            _active: active,
        })
    }

    /// Returns the name of the caller's team.
    pub fn team_name(&self) -> Option<&str> {
        self.team.as_ref().map(|team| team.name.as_str())
    }

    /// Returns the name of the caller's team for the log; empty without one.
    pub fn team_label(&self) -> &str {
        self.team_name().unwrap_or_default()
    }

    /// Whether an engine generates the response.
    pub fn is_generation(&self) -> bool {
        self.metadata.generation.is_some()
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the time left until the deadline, in milliseconds.
    pub fn remaining_ms(&self) -> u64 {
        self.remaining().as_millis() as u64
    }

    /// Returns the length of the prompt in tokens; 0 for plain services.
    pub fn prompt_tokens(&self) -> u64 {
        let generation = self.metadata.generation.as_ref();
        generation.map_or(0, |generation| generation.prompt_tokens)
    }

    /// Returns the number of tokens that its stream may still have; 0 for plain services.
    pub fn max_tokens(&self) -> u64 {
        let generation = self.metadata.generation.as_ref();
        let tokens = generation.map_or(0, |generation| generation.max_tokens);
        let received = self
            .metadata
            .last_event
            .map_or(0, |last| last.saturating_add(1));
        tokens.saturating_sub(received)
    }

    /// Returns the key of the whole request.
    pub fn fingerprint(&self) -> u64 {
        self.suspect_keys[0]
    }

    /// Returns the keys of the parts that other requests may share.
    pub fn shared_keys(&self) -> &[u64] {
        &self.suspect_keys[1..]
    }

    /// Returns the ids of the parts that other requests may share, in the order of their keys.
    pub fn shared_part_ids(&self) -> Vec<&str> {
        let generation = self.metadata.generation.iter();
        let ids = generation.flat_map(|generation| &generation.parts);
        let shared = ids.take(self.shared_keys().len());
        shared.map(|(id, _)| id.as_str()).collect()
    }

    /// Returns the properties that decide whether it is refused because of load.
    pub fn intake_request(&self, progress: &RequestProgress) -> load_shed::IntakeRequest {
        load_shed::IntakeRequest {
            target_latency_ms: self.route.target_latency_ms,
            priority: self.priority,
            remaining_ms: self.remaining_ms(),
            is_retry: progress.ledger.has_calls(),
        }
    }

    /// Returns the time since the arrival, in milliseconds.
    pub fn elapsed_ms(&self) -> u64 {
        self.arrival.elapsed().as_millis() as u64
    }
}

/// Reads the body of a request. No target is sent the request before its body is complete.
async fn read_body<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    mut body: Incoming,
    unread: UnreadState,
    limits: &config::CallerLimits,
    deadline: Instant,
) -> Result<Bytes, RefusalResponse> {
    let request_limits = connection::RequestLimits {
        budget: &state.memory,
        max_bytes: limits.max_body_bytes,
        stall_timeout: Duration::from_millis(limits.header_timeout_ms),
        deadline,
    };
    let failure = match connection::read_request_body(&mut body, request_limits).await {
        Ok(bytes) => return Ok(bytes),
        Err(failure) => failure,
    };
    let (cause, reason) = match failure.error {
        RequestBodyError::Memory(BufferError::TooLarge(_)) => (
            RefusalCause::BodyTooLarge,
            Some(OverloadReason::BodyTooLarge),
        ),
        RequestBodyError::Memory(BufferError::NoRoom) => {
            (RefusalCause::NoMemory, Some(OverloadReason::NoMemory))
        }
        // The budget has counted the eviction.
        RequestBodyError::Memory(BufferError::Evicted) => (RefusalCause::BodyStalled, None),
        RequestBodyError::Stalled => (RefusalCause::BodyStalled, Some(OverloadReason::BodyStalled)),
        RequestBodyError::Late => (RefusalCause::BodyLate, Some(OverloadReason::BodyLate)),
        RequestBodyError::Broken(error) => {
            log::debug!("cannot read the request body: {error}");
            return Err(RefusalResponse::not_run(RefusalCause::BodyIncomplete));
        }
    };
    if let Some(reason) = reason {
        telemetry::count_overload(reason, 1);
    }
    // A caller that waits for a 100 sends no body after a refusal.
    if failure.read_bytes > 0 || !unread.is_awaited {
        unread::discard_rest(state, body, unread.guard, Some(limits), failure.read_bytes);
    }
    Err(RefusalResponse::not_run(cause))
}

/// What is needed to discard a body that is refused.
struct UnreadState {
    guard: Option<connection::BodyGuard>,
    /// Whether the caller sends the body only after a response with status 100.
    is_awaited: bool,
}

/// Returns the number by which one of a route's services is picked. A stream that is taken up draws the
/// number of the attempt that began it, so that it goes on at the same service.
fn service_draw(metadata: &platform::RequestMetadata) -> u64 {
    let id = metadata.stream_id().or(metadata.attempt_id.as_deref());
    id.map_or_else(rand::random, state::hash_name)
}

fn fingerprint(method: &http::Method, uri: &http::Uri, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    for part in [method.as_str(), path] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(body);
    hasher.digest()
}

/// Times at which attempts were sent to targets that may run the request.
#[derive(Clone, Copy, Debug, Default)]
struct SentTimes {
    /// Time at which the current attempt was sent.
    current: Option<Instant>,
    /// Time at which the first attempt was sent that has ended and may have run.
    ended_run: Option<Instant>,
}

/// Since when targets may be running the request.
#[derive(Debug, Default)]
pub struct SentSignal(watch::Sender<SentTimes>);

impl SentSignal {
    /// Records that an attempt is being sent.
    pub fn start(&self) {
        self.0
            .send_modify(|times| times.current = Some(Instant::now()));
    }

    /// Records that the attempt has ended.
    pub fn end(&self, verdict: Verdict) {
        self.0.send_modify(|times| {
            let ended = times.current.take();
            if verdict != Verdict::NotRun {
                times.ended_run = times.ended_run.or(ended);
            }
        });
    }

    /// Forgets all attempts; returns whether one was under way.
    pub fn clear(&self) -> bool {
        self.0.send_replace(SentTimes::default()).current.is_some()
    }

    /// Returns whether a target may have run the request, in the attempt that is under way too.
    pub fn verdict(&self) -> Verdict {
        let times = self.0.borrow();
        match times.current.or(times.ended_run) {
            Some(_) => Verdict::MayHaveRun,
            None => Verdict::NotRun,
        }
    }

    /// Whether an attempt is under way.
    pub fn is_under_way(&self) -> bool {
        self.0.borrow().current.is_some()
    }

    /// Waits until this time has passed since the first attempt was sent that was not refused.
    pub async fn wait_elapsed(&self, time: Duration) {
        let mut sent = self.0.subscribe();
        loop {
            let times = *sent.borrow_and_update();
            let elapsed = async {
                match times.ended_run.or(times.current) {
                    Some(since) => tokio::time::sleep_until((since + time).into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = elapsed => return,
                // The sender lives as long as `self`.
                _ = sent.changed() => {}
            }
        }
    }
}

/// State of a request's attempts.
#[derive(Clone, Debug)]
pub struct RequestProgress {
    /// Whether a target may have run the request, over all attempts so far.
    pub verdict: Verdict,
    /// Number of targets that may have begun to run it.
    pub runs: u32,
    /// Number of calls made to run the request, including refused ones.
    pub sends: u32,
    /// Number of calls that were made for takeovers and ran nothing, after which the silent engine
    /// was kept. They are not part of `sends`.
    pub takeover_sends: u32,
    /// Number of targets that their rate limits kept it from, so far.
    pub denials: u32,
    /// Time until which it waits for a target, once a rate limit has kept it from one.
    pub wait_until: Option<Instant>,
    /// Calls that count against the retry budget.
    pub ledger: budget::CallLedger,
    /// Hashes of the targets that failed the request and are not selected again.
    pub excluded: Vec<u64>,
    /// Hashes of the excluded targets that refused the request without running it.
    pub refused: Vec<u64>,
}

impl RequestProgress {
    /// Returns the progress after a takeover whose silent target, `silent_hash`, is kept. `self` is
    /// the progress with that target counted as failed, and `before` the one before the takeover.
    pub fn after_kept(mut self, silent_hash: u64, before: &Self) -> Self {
        self.runs -= 1;
        let runs = self.runs - before.runs;
        let not_run = (self.sends - before.sends).saturating_sub(runs);
        self.sends -= not_run;
        self.takeover_sends += not_run;
        // A target that refused may run the request later, when the kept one breaks.
        let refused = std::mem::take(&mut self.refused);
        self.excluded
            .retain(|hash| *hash != silent_hash && !refused.contains(hash));
        self
    }
}

impl Default for RequestProgress {
    fn default() -> Self {
        Self {
            verdict: Verdict::NotRun,
            runs: 0,
            sends: 0,
            takeover_sends: 0,
            denials: 0,
            wait_until: None,
            ledger: budget::CallLedger::default(),
            excluded: Vec::new(),
            refused: Vec::new(),
        }
    }
}
