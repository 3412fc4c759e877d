//! Simulated inference engine with continuous batching, a prefix cache and orders.

mod admin;
mod cache;
mod completions;
mod scheduler;
mod text;

use std::{collections, io, net, path, sync, time};

use acaciabank_protocol::{ids, settings, value_type, wire};
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde_json::json;

use crate::{journal, web};

pub use cache::{EventOptions, PrefixCache};
pub use text::{chat_prompt, expected_text, prompt_hash, token_text};

/// Exit status of a simulated process that crashes on request.
pub const CRASH_STATUS: i32 = 3;

/// Parameters of a simulated engine. Simulated durations are multiplied by `time_scale`; the lag of
/// load reports and the delay of events are not.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name of the engine in the journal.
    pub name: String,
    /// Model that is loaded at the start.
    pub model: ids::ModelId,
    /// Version of the model.
    pub version: String,
    /// Adapters of the model that are loaded at the start.
    pub adapters: Vec<String>,
    /// Role at the start.
    pub role: settings::EngineRole,
    /// Maximum number of requests in the batch.
    pub slots: usize,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Prompt tokens processed per second at a speed factor of 1.
    pub prefill_tokens_per_second: f64,
    /// Maximum number of prompt tokens processed in one step.
    pub chunk_tokens: u64,
    /// Base time of a step with decoding requests, in milliseconds.
    pub decode_step_ms: f64,
    /// Time added to a step for each decoding request, in milliseconds.
    pub per_sequence_ms: f64,
    /// Factor on all simulated durations.
    pub time_scale: f64,
    /// Number of tokens in a cache piece.
    pub piece_tokens: u32,
    /// Maximum number of pieces in the cache.
    pub pieces_total: usize,
    /// Age of the load that is reported, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay and loss of cache events.
    pub events: EventOptions,
    /// Whether orders with stale fencing numbers are refused.
    pub fencing: settings::FencingSupport,
    /// Duration of a role change, in milliseconds.
    pub switch_ms: u64,
    /// Duration of loading a model or an adapter after its weights were fetched, in milliseconds.
    pub load_ms: u64,
    /// Weight store from which weights of models are fetched; `None` loads models without fetching.
    pub weight_store: Option<net::SocketAddr>,
    /// Tokens of KV cache received from another engine per second.
    pub transfer_tokens_per_second: f64,
    /// Text that makes the process exit at the first decode step of a prompt that contains it.
    pub crash_marker: String,
    /// Whether the process exits halfway through its next change.
    pub crash_in_change: bool,
    /// File to which the journal is appended.
    pub journal: Option<path::PathBuf>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            model: ids::ModelId::from("drafting"),
            version: "1".to_owned(),
            adapters: Vec::new(),
            role: settings::EngineRole::Mixed,
            slots: 32,
            max_waiting: 256,
            prefill_tokens_per_second: 8_000.0,
            chunk_tokens: 2_048,
            decode_step_ms: 12.0,
            per_sequence_ms: 0.5,
            time_scale: 1.0,
            piece_tokens: 2_000,
            pieces_total: 400,
            load_lag_ms: 0,
            events: EventOptions {
                delay: time::Duration::ZERO,
                gap_probability: 0.0,
                seed: 1,
            },
            fencing: settings::FencingSupport::Checked,
            switch_ms: 4_000,
            load_ms: 2_000,
            weight_store: None,
            transfer_tokens_per_second: 200_000.0,
            crash_marker: "CRASH-ENGINE".to_owned(),
            crash_in_change: false,
            journal: None,
        }
    }
}

value_type!(
    /// Faults set by `POST /control`; members that the request omits keep their value.
    #[derive(Default)]
    #[serde(default)]
    pub struct EngineFaults {
        /// Exits immediately with status 3.
        pub crash_now: bool,
        /// Exits with status 3 halfway through the next change.
        pub crash_in_change: bool,
        /// Accepts requests and makes no progress.
        pub stall: bool,
        /// Breaks each stream after this many tokens.
        pub break_after_tokens: Option<u64>,
        /// Delay of responses, in milliseconds.
        pub delay_ms: u64,
        /// Sends responses with the id of the previous request.
        pub wrong_id: bool,
    }
);

/// A running simulated engine.
pub struct EngineState {
    options: EngineOptions,
    address: net::SocketAddr,
    boot_id: String,
    journal: journal::Journal,
    core: sync::Mutex<EngineCore>,
    scheduler_wakeup: tokio::sync::Notify,
}

/// State that changes while an engine runs.
struct EngineCore {
    role: settings::EngineRole,
    models: Vec<wire::LoadedModel>,
    switching: Option<wire::SwitchState>,
    highest_fencing: u64,
    last_order: Option<wire::OrderState>,
    accepted_orders: collections::HashSet<ids::OrderId>,
    waiting: Vec<scheduler::Sequence>,
    running: Vec<scheduler::Sequence>,
    last_arrival_number: u64,
    cache: PrefixCache,
    /// Handles of KV caches that other engines can fetch, with their token counts.
    kv_handles: collections::VecDeque<(String, u64)>,
    /// Samples of the load during the lag of load reports, oldest first.
    load_samples: collections::VecDeque<(time::Instant, wire::EngineLoad)>,
    faults: EngineFaults,
    last_attempt: String,
}

impl EngineState {
    /// Starts the tasks of an engine that other engines reach at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the journal file cannot be opened.
    pub fn start(options: EngineOptions, address: net::SocketAddr) -> io::Result<sync::Arc<Self>> {
        let journal = journal::Journal::open(options.journal.as_deref())?;
        let model = wire::LoadedModel {
            model: options.model.clone(),
            version: options.version.clone(),
            adapters: options.adapters.clone(),
        };
        let core = EngineCore {
            role: options.role,
            models: vec![model],
            switching: None,
            highest_fencing: 0,
            last_order: None,
            accepted_orders: Default::default(),
            waiting: Vec::new(),
            running: Vec::new(),
            last_arrival_number: 0,
            cache: PrefixCache::new(options.pieces_total, options.events),
            kv_handles: Default::default(),
            load_samples: Default::default(),
            faults: EngineFaults {
                crash_in_change: options.crash_in_change,
                ..EngineFaults::default()
            },
            last_attempt: "none".to_owned(),
        };
        let state = sync::Arc::new(Self {
            options,
            address,
            boot_id: format!("{:016x}", rand::random::<u64>()),
            journal,
            core: sync::Mutex::new(core),
            scheduler_wakeup: tokio::sync::Notify::new(),
        });
        state.journal.record(json!({
            "event": "start", "engine": state.options.name, "boot_id": state.boot_id,
        }));
        tokio::spawn(scheduler::run(state.clone()));
        tokio::spawn(admin::sample_load(state.clone()));
        Ok(state)
    }

    /// Handles one request.
    ///
    /// # Errors
    ///
    /// Returns an error, which closes the connection, if the request body cannot be read.
    pub async fn handle(self: sync::Arc<Self>, request: Request<Incoming>) -> web::HandlerResult {
        let (head, body) = request.into_parts();
        let body = web::read_body(body).await?;
        let path = head.uri.path();
        let response = match (head.method.as_str(), path) {
            ("POST", "/v1/completions") => {
                return completions::complete(self, &head.headers, &body, false).await;
            }
            ("POST", "/v1/chat/completions") => {
                return completions::complete(self, &head.headers, &body, true).await;
            }
            ("GET", "/admin/state") => admin::state(&self),
            ("GET", "/admin/load") => admin::load(&self),
            ("GET", "/admin/cache_events") => {
                admin::cache_events(&self, head.uri.query().unwrap_or_default())
            }
            ("POST", "/admin/orders") => admin::handle_order(&self, &body),
            ("GET", "/journal") => Response::new(web::full_body(self.journal.text())),
            ("POST", "/control") => admin::control(&self, &body),
            ("DELETE", _) if path.starts_with("/v1/requests/") => {
                let attempt = path.trim_start_matches("/v1/requests/");
                let was_found = self.cancel(attempt);
                web::json_response(StatusCode::OK, &json!({"cancelled": was_found}))
            }
            ("GET", _) if path.starts_with("/kv/") => self.kv_handle_tokens(path),
            _ => web::error_response(StatusCode::NOT_FOUND, "not_found"),
        };
        Ok(response)
    }

    fn core(&self) -> sync::MutexGuard<'_, EngineCore> {
        self.core.lock().expect("engine lock")
    }

    /// Records an event of an attempt in the journal.
    fn record(&self, event: &str, attempt: &str) {
        self.journal
            .record(json!({"event": event, "engine": self.options.name, "attempt": attempt}));
    }

    /// Converts a simulated duration to the time that it takes.
    fn scaled(&self, milliseconds: f64) -> time::Duration {
        time::Duration::from_secs_f64((milliseconds * self.options.time_scale / 1_000.0).max(0.0))
    }

    /// Marks the sequences of an attempt as cancelled; returns whether there are any.
    fn cancel(&self, attempt: &str) -> bool {
        let mut core = self.core();
        let core = &mut *core;
        let sequences = core.waiting.iter_mut().chain(core.running.iter_mut());
        let mut was_found = false;
        for sequence in sequences.filter(|sequence| sequence.attempt == attempt) {
            sequence.is_cancelled = true;
            was_found = true;
        }
        self.scheduler_wakeup.notify_one();
        was_found
    }

    /// Responds to another engine with the token count of the KV cache that a handle names.
    fn kv_handle_tokens(&self, path: &str) -> Response<web::ResponseBody> {
        let handle = path.trim_start_matches("/kv/");
        let core = self.core();
        let entry = core.kv_handles.iter().find(|(name, _)| name == handle);
        match entry {
            Some((_, tokens)) => web::json_response(StatusCode::OK, &json!({"tokens": tokens})),
            None => web::error_response(StatusCode::NOT_FOUND, "not_found"),
        }
    }
}
