//! Settings and shared state that live as long as the process.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net, rc,
};

use acaciabank_core::{
    access, budget, outlier, prefix, prompt_speed, store_version::StoreVersion, suspect,
};

use crate::{
    capacity, config, connection, control, gossip, lease, memory, platform, rate_limit, scheduler,
    shutdown, target, teams, trial, usage, versions, watch,
};

/// Settings of the process, fixed at startup.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Name of the daemon.
    pub host: String,
    /// Availability zone of the daemon.
    pub zone: String,
    /// Address that serves requests of callers.
    pub caller_address: net::SocketAddr,
    /// Address that serves readiness checks.
    pub ready_address: net::SocketAddr,
    /// Address where callers look up the addresses of daemons.
    pub directory_address: net::SocketAddr,
    /// Address that serves other daemons, by TCP and by UDP.
    pub peer_address: net::SocketAddr,
    /// Address that serves metrics.
    pub metrics_address: net::SocketAddr,
    /// Addresses of other daemons to contact at startup.
    pub seeds: Vec<net::SocketAddr>,
    /// Time after which the platform removes the entry of a target that is silent.
    pub target_silence_ms: u64,
    /// Longest time between SIGTERM and the end of the process.
    pub grace_ms: u64,
    /// Longest TTL that callers may be given for the addresses of daemons.
    pub max_ttl_s: u64,
    /// Retry budget of each service.
    pub budget: budget::BudgetLimits,
    /// Limits for the age of the configuration by which API keys are accepted and refused.
    pub access: access::AccessLimits,
    /// Memory of the host, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that the process may open.
    pub max_descriptors: usize,
    /// Processor capacity of the host, in thousandths of a core.
    pub capacity_millicores: u32,
    /// Address of the platform for the calls of the lease holder; `None` if it makes none.
    pub control_address: Option<net::SocketAddr>,
    /// Tasks of the daemon that holds the lease.
    pub control_tasks: control::ControlTasks,
    /// Calls per second that the platform accepts from all daemons together.
    pub control_calls_per_s: f64,
    /// Length of a window of usage.
    pub usage_window_ms: u64,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
}

/// Lifecycle phase of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayPhase {
    /// Serves requests as soon as a configuration is known.
    Serving,
    /// Is no longer listed to callers and finishes the running requests.
    Draining,
}

/// Counts a request as active until dropped.
#[derive(Debug)]
pub struct ActiveGuard(rc::Rc<Cell<u32>>);

impl ActiveGuard {
    /// Increments the number of active requests.
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

/// State that the tasks of the process share.
pub struct RelayState<Codec, Store> {
    /// Settings of the process.
    pub settings: RelaySettings,
    /// Codec for messages of callers, targets and operators.
    pub codec: Codec,
    /// The platform's store.
    pub store: Store,
    /// Configuration in use; `None` until one is known.
    pub config: RefCell<Option<rc::Rc<config::RelayConfig>>>,
    /// Identity of `config`; the default value until one is known.
    config_version: Cell<config::ConfigVersion>,
    /// Encoded form of `config`, served to other daemons.
    pub config_document: RefCell<bytes::Bytes>,
    /// Targets that the platform lists, with this daemon's view of their state.
    pub targets: RefCell<target::TargetRegistry>,
    /// Other daemons, by their last reports.
    pub peers: RefCell<gossip::PeerTable>,
    /// Makes the gossip task send reports without waiting for the next interval.
    pub report_now: tokio::sync::Notify,
    /// Start of this run in Unix milliseconds. Distinguishes it from earlier runs, whose ids are
    /// lower.
    pub boot_id: u64,
    /// Start of this run by [`crate::clock::now_ms`].
    pub started_ms: u64,
    /// Highest era of the store that this daemon knows; zero before the store's first response.
    store_era: Cell<u64>,
    /// Signals that the store has come back from an older copy.
    pub store_returned: tokio::sync::Notify,
    /// Number of other daemons that are registered in the store.
    pub registered_hosts: Cell<usize>,
    /// Signals that another daemon has a newer configuration.
    pub newer_config_reported: tokio::sync::Notify,
    /// Prompt parts that were recently sent to engines, with the time, for reports to other
    /// daemons.
    pub recent_parts: RefCell<Vec<(u64, gossip::PartEntry)>>,
    /// Hash of the availability zone, used only to compare zones.
    pub zone_hash: u64,
    /// Hash of the daemon's name.
    pub daemon_hash: u64,
    /// State of this daemon as a client of schedulers and as a scheduler.
    pub scheduler: scheduler::SchedulerState,
    /// The lease, as its holder or as a candidate.
    pub lease: lease::LeaseState,
    /// Work of callers, for the orders of engines.
    pub capacity: capacity::CapacityState,
    /// Calls to the platform as the holder of the lease.
    pub control: control::ControlState,
    /// Usage by team: what this daemon counts, collects and reports.
    pub usage: usage::UsageState,
    /// Freshness of this daemon's copy of the store, and recent changes to report.
    pub watch: watch::StoreWatch,
    /// Requests and prompt parts suspected of crashing targets.
    pub suspects: RefCell<suspect::SuspectTable>,
    /// Trials of suspects, as a daemon that asks for them and as the one that grants them.
    pub trials: trial::TrialState,
    /// Rate limits of targets.
    pub rate_limits: rate_limit::RateLimitState,
    /// Software versions of targets and streams.
    pub versions: versions::VersionState,
    /// Estimated speeds of the prefill engines by service.
    pub prompt_speeds: RefCell<HashMap<String, prompt_speed::SpeedEstimate>>,
    /// Retry budgets by service.
    pub budgets: RefCell<HashMap<String, budget::WindowBudget>>,
    /// Lifecycle phase of this daemon.
    pub phase: Cell<RelayPhase>,
    /// Number of active requests.
    pub active: rc::Rc<Cell<u32>>,
    /// The stop of the daemon.
    pub shutdown: shutdown::ShutdownState,
    /// Counters of the teams.
    pub teams: teams::TeamState,
    /// Memory for the bodies of requests, and of responses that are read completely before they are
    /// forwarded.
    pub memory: memory::MemoryBudget,
    /// Bodies of refused requests that are being drained.
    pub drains: connection::DrainSlots,
}

/// When the parts of a prompt can be fetched from an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartsReady {
    /// They have been processed.
    Now,
    /// They are expected to be processed after this number of milliseconds.
    Expected(u64),
}

/// Allowance for parts that are processed later than expected, as an engine that fetches them too
/// early has to process them again. It ends when the parts are reported as processed.
const READY_DELAY_FACTOR: u64 = 2;
const READY_DELAY_MS: u64 = 200;

/// Source of changes to the list of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    /// The platform's store, read for changes after a version.
    Store {
        /// The version; [`StoreVersion::ZERO`] when the whole list was read.
        after: StoreVersion,
        /// Time at which the read was sent.
        sent_ms: u64,
    },
    /// A report or response of another daemon.
    Peer,
}

/// Reference-counted [`RelayState`].
pub type SharedState<Codec, Store> = rc::Rc<RelayState<Codec, Store>>;

impl<Codec: platform::MessageCodec, Store: platform::PlatformStore> RelayState<Codec, Store> {
    /// Creates the state of a process that has no configuration and knows no targets.
    pub fn new(settings: RelaySettings, codec: Codec, store: Store) -> Self {
        let boot_id = rand::random();
        Self {
            codec,
            store,
            config: RefCell::default(),
            config_version: Cell::default(),
            config_document: RefCell::default(),
            targets: RefCell::new(target::TargetRegistry::new(settings.target_silence_ms)),
            peers: RefCell::default(),
            report_now: tokio::sync::Notify::new(),
            boot_id,
            started_ms: crate::clock::now_ms(),
            store_era: Cell::new(0),
            store_returned: tokio::sync::Notify::new(),
            registered_hosts: Cell::new(0),
            newer_config_reported: tokio::sync::Notify::new(),
            recent_parts: RefCell::default(),
            zone_hash: hash_name(&settings.zone),
            daemon_hash: hash_name(&settings.host),
            scheduler: scheduler::SchedulerState::default(),
            lease: lease::LeaseState::new(&settings.host, boot_id),
            capacity: capacity::CapacityState::default(),
            control: control::ControlState::new(settings.control_calls_per_s),
            usage: usage::UsageState::new(&settings, boot_id),
            watch: watch::StoreWatch::default(),
            suspects: RefCell::new(suspect::SuspectTable::awaiting_reports()),
            trials: trial::TrialState::default(),
            rate_limits: rate_limit::RateLimitState::default(),
            versions: versions::VersionState::default(),
            prompt_speeds: RefCell::default(),
            budgets: RefCell::default(),
            phase: Cell::new(RelayPhase::Serving),
            active: rc::Rc::default(),
            shutdown: shutdown::ShutdownState::default(),
            teams: teams::TeamState::default(),
            memory: memory::MemoryBudget::new(memory::MemoryLimits::of_host(settings.memory_bytes)),
            drains: connection::DrainSlots::default(),
            settings,
        }
    }

    /// Returns the configuration in use; `None` until one is known.
    pub fn config(&self) -> Option<rc::Rc<config::RelayConfig>> {
        self.config.borrow().clone()
    }

    /// Returns the identity of the configuration in use; the default value until one is known.
    pub fn config_version(&self) -> config::ConfigVersion {
        self.config_version.get()
    }

    /// Whether callers may be given this daemon's address.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == RelayPhase::Serving && self.config.borrow().is_some()
    }

    /// Notices that the store has come back from an older copy since the last call.
    pub fn check_store_era(&self) {
        let era = self.store.era();
        let known = self.store_era.replace(era);
        if known == 0 || era <= known {
            return;
        }
        log::warn!(era = era, known = known; "store_returned");
        metrics::counter!("acaciabank_store_returns_total").increment(era - known);
        self.versions.record_return(crate::clock::now_ms());
        self.store_returned.notify_one();
    }

    /// Applies an encoded configuration, read from the store at version `stored`, if it is valid and
    /// newer than the one in use; returns whether it was applied. `source` is where it came from,
    /// for the log.
    pub fn apply_config(
        &self,
        document: &bytes::Bytes,
        stored: StoreVersion,
        source: &str,
    ) -> bool {
        let config = match self.codec.read_config(document) {
            Ok(config) => config,
            Err(error) => {
                log::warn!(source = source, error = error.as_str(); "config_unreadable");
                return false;
            }
        };
        let version = config::ConfigVersion {
            number: config.version,
            stored,
            digest: xxhash_rust::xxh3::xxh3_64(document),
        };
        let is_known = self.config.borrow().is_some();
        if is_known && self.confirm_config(&version) {
            return false;
        }
        if is_known && version <= self.config_version() {
            if version.number < self.config_version().number {
                log::info!(
                    version = version.number, stored:% = version.stored, source = source,
                    in_force = self.config_version().number;
                    "config_older"
                );
            }
            return false;
        }
        log::info!(
            version = config.version, stored:% = version.stored, source = source;
            "config_in_force"
        );
        config.teams.iter().for_each(log_shared_keys);
        self.config_version.set(version);
        self.shutdown.retain_routes(&config);
        *self.config_document.borrow_mut() = document.clone();
        *self.config.borrow_mut() = Some(rc::Rc::new(config));
        self.report_now.notify_one();
        true
    }

    /// Records that the store holds the configuration in use in a later version too; returns whether
    /// `version` belongs to that configuration.
    pub fn confirm_config(&self, version: &config::ConfigVersion) -> bool {
        let known = self.config_version.get();
        let is_same = version.is_same_document(&known);
        if is_same && version.stored > known.stored {
            self.config_version.set(*version);
        }
        is_same
    }

    /// Applies changes to the list of targets. Changes that this daemon has read from the store are
    /// reported to the others, including those that it already knew: a report that claims a fresh
    /// read must contain all of it. Changes reported by others are not passed on, as that would
    /// multiply the reports.
    pub fn apply_targets(&self, changes: platform::TargetChanges, source: ChangeSource) {
        let config = self.config();
        let kv_tokens = |service: &str| {
            let spec = config.as_ref().and_then(|config| config.service(service));
            let engine = spec.and_then(|spec| spec.engine.as_ref());
            engine.map_or(DEFAULT_KV_TOKENS, |engine| engine.kv_tokens)
        };
        let now_ms = crate::clock::now_ms();
        if let ChangeSource::Store { after, .. } = source
            && self.record_changes(after, &changes, now_ms)
        {
            self.report_now.notify_one();
        }
        let version = changes.version;
        let mut targets = self.targets.borrow_mut();
        targets.apply(changes, now_ms, kv_tokens);
        if let ChangeSource::Store { sent_ms, .. } = source {
            targets.record_complete(version);
            targets.resolve_doubts(sent_ms);
        }
    }

    /// Keeps changes read from the store for the next reports; returns whether there are any. Of a
    /// complete list, only the differences to an earlier one are reported, for daemons that cannot
    /// reach the store. The others read it, as they may have known something else before.
    fn record_changes(
        &self,
        after: StoreVersion,
        changes: &platform::TargetChanges,
        now_ms: u64,
    ) -> bool {
        let has_changes = self.watch.record_changes(after, changes, now_ms);
        match self.targets.borrow().difference(changes) {
            Some(difference) => self
                .watch
                .record_changes(changes.version, &difference, now_ms),
            None => has_changes,
        }
    }

    /// Records that the parts of a prompt were sent to an engine or processed by it, for this
    /// daemon and the others.
    pub fn record_parts(
        &self,
        engine: &target::TargetState,
        parts: &[prefix::PromptPart],
        ready: PartsReady,
    ) {
        let now_ms = crate::clock::now_ms();
        let ready_in_ms = match ready {
            PartsReady::Now => 0,
            PartsReady::Expected(expected_ms) => expected_ms * READY_DELAY_FACTOR + READY_DELAY_MS,
        };
        let ready_ms = now_ms + ready_in_ms;
        engine
            .parts
            .borrow_mut()
            .record_use(parts, now_ms, ready_ms);
        let entries = parts.iter().map(|part| gossip::PartEntry {
            target_hash: engine.hash,
            key: part.key,
            tokens: part.tokens,
            ready_in_ms: u32::try_from(ready_in_ms).unwrap_or(u32::MAX),
        });
        let entries = entries.map(|entry| (now_ms, entry));
        self.recent_parts.borrow_mut().extend(entries);
    }

    /// Records how long an engine took for a prompt, of which `overhead_ms` do not depend on its
    /// length.
    pub fn record_prompt_speed(
        &self,
        engine: &target::TargetState,
        processed: target::ProcessedPrompt,
        overhead_ms: f64,
    ) {
        let elapsed_ms = processed.elapsed.as_secs_f64() * 1_000.0;
        let observation = prompt_speed::PromptObservation {
            tokens: processed.tokens,
            work_ms: elapsed_ms - overhead_ms,
        };
        let mut speeds = self.prompt_speeds.borrow_mut();
        match speeds.get_mut(&engine.entry.service) {
            Some(estimate) => estimate.record(observation),
            None => {
                let mut estimate = prompt_speed::SpeedEstimate::default();
                estimate.record(observation);
                speeds.insert(engine.entry.service.clone(), estimate);
            }
        }
    }

    /// Returns the estimated speed of a service's prefill engines, in prompt tokens per millisecond.
    pub fn prompt_tokens_per_ms(&self, service: &str) -> f64 {
        let speeds = self.prompt_speeds.borrow();
        let estimate = speeds.get(service).copied().unwrap_or_default();
        estimate.tokens_per_ms()
    }

    /// Records the outcome of a request at a target, for this daemon and the schedulers.
    pub fn record_outcome(&self, target: &target::TargetState, outcome: outlier::TargetOutcome) {
        let now_ms = crate::clock::now_ms();
        target.detector.borrow_mut().record(outcome, now_ms);
        scheduler::report_outcome(self, target, outcome);
    }

    /// Counts a caller's request towards the retry budget of a service.
    pub fn record_request(&self, service: &str) {
        let now_ms = crate::clock::now_ms();
        let limits = &self.settings.budget;
        self.with_budget(service, |budget| budget.record_request(limits, now_ms));
    }

    /// Takes one retry from the budget of a service; returns whether one was left.
    pub fn try_spend_retry(&self, service: &str) -> bool {
        let now_ms = crate::clock::now_ms();
        let limits = &self.settings.budget;
        // The constant part of the budget is shared by all daemons. During the first window it is
        // not used, as the number of daemons and what an earlier run has spent are unknown.
        let is_first_window = now_ms.saturating_sub(self.started_ms) < limits.window_ms;
        let daemons = self
            .peers
            .borrow()
            .member_count()
            .max(self.registered_hosts.get())
            + 1;
        let share = if is_first_window {
            0.0
        } else {
            1.0 / daemons as f64
        };
        self.with_budget(service, |budget| budget.try_spend(limits, share, now_ms))
    }

    /// Returns the last retry to the budget, as it reached no target.
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

/// Pairs of teams with the same API key that are logged of one configuration.
const MAX_LOGGED_PAIRS: usize = 16;

/// Warns of API keys that several teams list.
fn log_shared_keys(teams: &config::TeamDirectory) {
    let shared = teams.shared_keys();
    for key in shared.iter().take(MAX_LOGGED_PAIRS) {
        log::warn!(
            team = key.owner.as_str(), other = key.other.as_str(), shared_keys = shared.len();
            "api_key_shared"
        );
    }
}

/// Returns the hash that identifies a daemon or an availability zone in messages between daemons.
pub fn hash_name(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// KV cache capacity assumed for an engine that is listed before the configuration is known.
const DEFAULT_KV_TOKENS: u64 = 400_000;
