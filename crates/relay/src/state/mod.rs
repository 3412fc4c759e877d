//! State of the process, by life span: what lives as long as the process.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net, rc, time,
};

use acaciabank_core::{budget, judge, parts, suspect};

use crate::{config, edge, gossip, scheduler, target, watch};

/// Settings of the process.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Name of the daemon.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub caller_address: net::SocketAddr,
    /// Address for the question whether the daemon is ready.
    pub ready_address: net::SocketAddr,
    /// Address for the question for addresses.
    pub directory_address: net::SocketAddr,
    /// Address for other daemons.
    pub peer_address: net::SocketAddr,
    /// Address of the metrics.
    pub metrics_address: net::SocketAddr,
    /// Addresses of other daemons that are known at the start.
    pub seeds: Vec<net::SocketAddr>,
    /// Time between SIGTERM and the end, in milliseconds.
    pub grace_ms: u64,
    /// Longest time for which callers may keep an answer about addresses, in seconds.
    pub max_ttl_s: u64,
    /// Retry budget of each service.
    pub budget: budget::BudgetTerms,
    /// Processor time of the host, in thousandths of a core.
    pub capacity_millicores: u32,
    /// Level of the log.
    pub log_level: log::LevelFilter,
}

/// Phase of life of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayPhase {
    /// Serving as soon as a configuration is known.
    Serving,
    /// Named to no caller; finishes what runs.
    Draining,
}

/// Counts a request as running until dropped.
#[derive(Debug)]
pub struct ActiveGuard(rc::Rc<Cell<u32>>);

impl ActiveGuard {
    /// Counts a request in.
    pub fn start(active: &rc::Rc<Cell<u32>>) -> Self {
        active.set(active.get() + 1);
        Self(rc::Rc::clone(active))
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// What lives as long as the process.
pub struct RelayState<Codec, Store> {
    /// Settings of the process.
    pub settings: RelaySettings,
    /// Messages of callers, targets and operators.
    pub codec: Codec,
    /// The platform's store.
    pub store: Store,
    /// Configuration in force.
    pub config: RefCell<Option<rc::Rc<config::RelayConfig>>>,
    /// The document that the configuration was read from, for other daemons.
    pub document: RefCell<bytes::Bytes>,
    /// Targets.
    pub targets: RefCell<target::TargetRegistry>,
    /// Other daemons.
    pub peers: RefCell<gossip::PeerTable>,
    /// Wakes the sender of reports to other daemons.
    pub report_now: tokio::sync::Notify,
    /// Distinguishes this run of the daemon from earlier ones; a later run has a higher one.
    pub boot_id: u64,
    /// Start of the process, by the clock of [`crate::clock`].
    pub started_ms: u64,
    /// Other daemons that the store lists.
    pub listed_hosts: Cell<usize>,
    /// Tells that another daemon has a newer configuration.
    pub config_behind: tokio::sync::Notify,
    /// Prompt parts that went to engines lately, with the time, for reports to the other daemons.
    pub recent_parts: RefCell<Vec<(u64, gossip::PartEntry)>>,
    /// Availability zone, as a number that only serves to compare.
    pub zone_hash: u64,
    /// Short name of the daemon.
    pub host_hash: u64,
    /// Placing for other daemons and by them.
    pub scheduler: scheduler::SchedulerState,
    /// What this daemon has read from the store, and when.
    pub watch: watch::StoreWatch,
    /// Crash suspects.
    pub suspects: RefCell<suspect::SuspectTable>,
    /// Retry budgets by service.
    pub budgets: RefCell<HashMap<String, budget::WindowBudget>>,
    /// Phase of life.
    pub phase: Cell<RelayPhase>,
    /// Requests that run now.
    pub active: rc::Rc<Cell<u32>>,
    /// End of the process, once it is stopping.
    pub stop_at: Cell<Option<time::Instant>>,
}

/// When the parts of a prompt can be fetched from an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartsReady {
    /// They have been processed.
    Now,
    /// They are expected after some milliseconds.
    Expected(u64),
}

/// Time by which parts may be later than expected: who fetches them too early processes them again.
/// The news that they are ready replaces the expectation.
const LATE_FACTOR: u64 = 2;
const LATE_MS: u64 = 200;

/// Where changes of targets come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    /// The platform's store, asked for what changed after a version.
    Store {
        /// The version; zero for a whole list.
        after: u64,
    },
    /// Another daemon.
    Peer,
}

/// The state as the tasks of the process share it.
pub type SharedState<Codec, Store> = rc::Rc<RelayState<Codec, Store>>;

impl<Codec: edge::CodecEdge, Store: edge::StoreEdge> RelayState<Codec, Store> {
    /// State of a process that has not started any task yet.
    pub fn new(settings: RelaySettings, codec: Codec, store: Store) -> Self {
        Self {
            codec,
            store,
            config: RefCell::default(),
            document: RefCell::default(),
            targets: RefCell::default(),
            peers: RefCell::default(),
            report_now: tokio::sync::Notify::new(),
            boot_id: unix_ms(),
            started_ms: crate::clock::now_ms(),
            listed_hosts: Cell::new(0),
            config_behind: tokio::sync::Notify::new(),
            recent_parts: RefCell::default(),
            zone_hash: hash_name(&settings.zone),
            host_hash: hash_name(&settings.host),
            scheduler: scheduler::SchedulerState::default(),
            watch: watch::StoreWatch::default(),
            suspects: RefCell::default(),
            budgets: RefCell::default(),
            phase: Cell::new(RelayPhase::Serving),
            active: rc::Rc::default(),
            stop_at: Cell::new(None),
            settings,
        }
    }

    /// Configuration in force.
    pub fn config(&self) -> Option<rc::Rc<config::RelayConfig>> {
        self.config.borrow().clone()
    }

    /// Version of the configuration in force; zero before the first.
    pub fn config_version(&self) -> u64 {
        self.config
            .borrow()
            .as_ref()
            .map_or(0, |config| config.version)
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == RelayPhase::Serving && self.config.borrow().is_some()
    }

    /// Takes a document if it is a newer configuration; tells whether it is one.
    pub fn apply_config(&self, document: &bytes::Bytes, source: &str) -> bool {
        let config = match self.codec.read_config(document) {
            Ok(config) => config,
            Err(error) => {
                log::warn!(source = source, error = error.as_str(); "config_unreadable");
                return false;
            }
        };
        if self.config.borrow().is_some() && config.version <= self.config_version() {
            return false;
        }
        log::info!(version = config.version, source = source; "config_in_force");
        *self.document.borrow_mut() = document.clone();
        *self.config.borrow_mut() = Some(rc::Rc::new(config));
        self.report_now.notify_one();
        true
    }

    /// Applies changes of the list of targets. Those that this daemon has read from the store itself
    /// are told to the others, also when it has heard of them before: who tells that its reading is
    /// fresh must tell all of it. Passing on what others told would multiply the reports.
    pub fn apply_targets(&self, changes: edge::TargetChanges, source: ChangeSource) {
        let config = self.config();
        let kv_tokens = |service: &str| {
            let spec = config.as_ref().and_then(|config| config.service(service));
            let engine = spec.and_then(|spec| spec.engine.as_ref());
            engine.map_or(UNKNOWN_KV_TOKENS, |engine| engine.kv_tokens)
        };
        let now_ms = crate::clock::now_ms();
        if let ChangeSource::Store { after } = source
            && self.watch.record_changes(after, &changes, now_ms)
        {
            self.report_now.notify_one();
        }
        self.targets.borrow_mut().apply(changes, kv_tokens);
    }

    /// Records that an engine is sent a prompt or has processed it, for this daemon and the others.
    pub fn record_parts(
        &self,
        engine: &target::TargetState,
        parts: &[parts::PromptPart],
        ready: PartsReady,
    ) {
        let now_ms = crate::clock::now_ms();
        let prompt_ms = match ready {
            PartsReady::Now => 0,
            PartsReady::Expected(expected_ms) => expected_ms * LATE_FACTOR + LATE_MS,
        };
        let ready_ms = now_ms + prompt_ms;
        engine
            .parts
            .borrow_mut()
            .record_use(parts, now_ms, ready_ms);
        let entries = parts.iter().map(|part| gossip::PartEntry {
            target: engine.hash,
            key: part.key,
            tokens: part.tokens,
            ready_in_ms: u32::try_from(prompt_ms).unwrap_or(u32::MAX),
        });
        let entries = entries.map(|entry| (now_ms, entry));
        self.recent_parts.borrow_mut().extend(entries);
    }

    /// Records what a request saw at a target, for this daemon and the schedulers.
    pub fn record_outcome(&self, target: &target::TargetState, outcome: judge::TargetOutcome) {
        let now_ms = crate::clock::now_ms();
        target.judge.borrow_mut().record(outcome, now_ms);
        scheduler::report_outcome(self, target, outcome);
    }

    /// Counts a request of a caller for the retry budget.
    pub fn record_request(&self, service: &str) {
        let now_ms = crate::clock::now_ms();
        let terms = &self.settings.budget;
        self.with_budget(service, |budget| budget.record_request(terms, now_ms));
    }

    /// Takes one retry from the budget of a service; tells whether it had one.
    pub fn try_spend_retry(&self, service: &str) -> bool {
        let now_ms = crate::clock::now_ms();
        let terms = &self.settings.budget;
        // What an earlier run of this daemon has spent is unknown, and how many share the constant.
        let is_new = now_ms.saturating_sub(self.started_ms) < terms.window_ms;
        let daemons = self
            .peers
            .borrow()
            .member_count()
            .max(self.listed_hosts.get())
            + 1;
        let part = if is_new { 0.0 } else { 1.0 / daemons as f64 };
        self.with_budget(service, |budget| budget.try_spend(terms, part, now_ms))
    }

    /// Takes back the last retry: it has reached no target.
    pub fn refund_retry(&self, service: &str) {
        self.with_budget(service, budget::WindowBudget::refund);
    }

    fn with_budget<T>(
        &self,
        service: &str,
        change: impl FnOnce(&mut budget::WindowBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.borrow_mut();
        match budgets.get_mut(service) {
            Some(budget) => change(budget),
            None => change(budgets.entry(service.to_owned()).or_default()),
        }
    }
}

/// Short name of a daemon or an availability zone.
pub fn hash_name(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

fn unix_ms() -> u64 {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    now.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Memory assumed for an engine that is listed before the configuration is known.
const UNKNOWN_KV_TOKENS: u64 = 400_000;
