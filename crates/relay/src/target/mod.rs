//! Targets and what this daemon knows of them.

mod call;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc,
    time::Duration,
};

use acaciabank_core::{judge, parts, place};

use crate::{connection, platform};

/// An incarnation of a target. It lives until the platform no longer lists it and the last request
/// there has ended.
#[derive(Debug)]
pub struct TargetState {
    /// What the platform says of it, except for its stage and whether it leaves.
    pub entry: platform::TargetEntry,
    /// Short name that daemons use among themselves.
    pub hash: u64,
    /// Its availability zone, as a number that only serves to compare.
    pub zone_hash: u64,
    /// Stage that the platform lists.
    pub listed_stage: Cell<Option<place::EngineStage>>,
    /// Stage that a daemon has ordered, until the platform's list is sure to show it.
    pub ordered: Cell<Option<OrderedStage>>,
    /// Time of this daemon's last order to it.
    pub last_order_ms: Cell<Option<u64>>,
    /// Whether it takes no new work.
    pub is_draining: Cell<bool>,
    /// Time until which it takes no new work because its stage changes.
    pub switching_until_ms: Cell<u64>,
    /// Time until which it is left alone because it has refused a request.
    pub backoff_until_ms: Cell<u64>,
    /// Whether another incarnation has its address.
    pub is_replaced: Cell<bool>,
    /// Idle connections.
    pub pool: connection::IdlePool,
    /// Requests of this daemon that run there.
    pub running: Cell<u32>,
    /// Prompt tokens of this daemon's requests that are not processed yet.
    pub backlog_tokens: Cell<u64>,
    /// Time that transfers of KV cache to it are expected to take for this daemon's requests.
    pub transfer_ms: Cell<u64>,
    /// Standing.
    pub judge: RefCell<judge::TargetJudge>,
    /// Prompt parts that it is believed to hold.
    pub parts: RefCell<parts::PartIndex>,
}

impl TargetState {
    fn new(entry: platform::TargetEntry, kv_tokens: u64) -> Self {
        Self {
            hash: incarnation_hash(&entry),
            zone_hash: xxhash_rust::xxh3::xxh3_64(entry.zone.as_bytes()),
            listed_stage: Cell::new(entry.stage),
            ordered: Cell::new(None),
            last_order_ms: Cell::new(None),
            is_draining: Cell::new(entry.is_draining),
            switching_until_ms: Cell::new(0),
            backoff_until_ms: Cell::new(0),
            is_replaced: Cell::new(false),
            pool: connection::IdlePool::default(),
            running: Cell::new(0),
            backlog_tokens: Cell::new(0),
            transfer_ms: Cell::new(0),
            judge: RefCell::default(),
            parts: RefCell::new(parts::PartIndex::new(kv_tokens)),
            entry,
        }
    }

    fn export(&self, versions: &HashMap<String, u64>) -> platform::TargetEntry {
        platform::TargetEntry {
            version: versions
                .get(&self.entry.id)
                .copied()
                .unwrap_or(self.entry.version),
            is_draining: self.is_draining.get(),
            stage: self.listed_stage.get(),
            ..self.entry.clone()
        }
    }

    /// An idle connection, or a new one that opens within `timeout`.
    pub async fn open(&self, timeout: Duration) -> Result<connection::TargetConnection, String> {
        match self.pool.take() {
            Some(connection) => Ok(connection),
            None => connection::TargetConnection::connect(self.entry.address, timeout)
                .await
                .map_err(|error| error.to_string()),
        }
    }

    /// Stage in force, or the one that it is changing to.
    pub fn stage(&self, now_ms: u64) -> Option<place::EngineStage> {
        let ordered = self
            .ordered
            .get()
            .filter(|ordered| now_ms < ordered.until_ms);
        ordered
            .map(|ordered| ordered.stage)
            .or(self.listed_stage.get())
    }

    /// Whether it takes new work and its standing allows it.
    pub fn is_accepting(&self, now_ms: u64) -> bool {
        let is_here = !self.is_draining.get() && !self.is_replaced.get();
        let is_free = now_ms
            >= self
                .switching_until_ms
                .get()
                .max(self.backoff_until_ms.get());
        is_here && is_free && self.judge.borrow().is_in(now_ms)
    }
}

/// A stage that was ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderedStage {
    /// The stage.
    pub stage: place::EngineStage,
    /// Time until which it holds whatever the platform lists.
    pub until_ms: u64,
}

/// Short name of an incarnation.
fn incarnation_hash(entry: &platform::TargetEntry) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(entry.id.as_bytes(), entry.born_ms)
}

/// Work of one request at a target, counted until dropped.
#[derive(Debug)]
pub struct TargetWork {
    /// The target.
    pub target: rc::Rc<TargetState>,
    tokens: Cell<u64>,
    transfer_ms: Cell<u64>,
}

impl TargetWork {
    /// Counts a request with prompt tokens to process, or a KV cache to fetch.
    pub fn start(target: &rc::Rc<TargetState>, tokens: u64, transfer_ms: u64) -> Self {
        target.running.set(target.running.get() + 1);
        target
            .backlog_tokens
            .set(target.backlog_tokens.get() + tokens);
        target
            .transfer_ms
            .set(target.transfer_ms.get() + transfer_ms);
        Self {
            target: rc::Rc::clone(target),
            tokens: Cell::new(tokens),
            transfer_ms: Cell::new(transfer_ms),
        }
    }

    /// The prompt has been processed, or its KV cache fetched.
    pub fn end_prefill(&self) {
        let target = &self.target;
        target
            .backlog_tokens
            .set(target.backlog_tokens.get() - self.tokens.take());
        target
            .transfer_ms
            .set(target.transfer_ms.get() - self.transfer_ms.take());
    }
}

impl Drop for TargetWork {
    fn drop(&mut self) {
        self.end_prefill();
        self.target.running.set(self.target.running.get() - 1);
    }
}

/// All targets.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    by_id: HashMap<String, rc::Rc<TargetState>>,
    by_hash: HashMap<u64, rc::Rc<TargetState>>,
    by_service: HashMap<String, Vec<rc::Rc<TargetState>>>,
    /// Newest versions by id, also of targets that are gone.
    versions: HashMap<String, u64>,
}

impl TargetRegistry {
    /// Applies changes of the platform's list, from the store or from another daemon. `kv_tokens`
    /// gives the memory of a service's engines.
    pub fn apply(&mut self, changes: platform::TargetChanges, kv_tokens: impl Fn(&str) -> u64) {
        let mut absent = changes.absent;
        if changes.is_complete {
            let is_listed = |id: &str| changes.present.iter().any(|entry| entry.id == id);
            let gone = self.by_id.keys().filter(|id| !is_listed(id));
            absent.extend(gone.map(|id| (id.clone(), changes.version)));
        }
        for (id, version) in absent {
            if self.advance_version(&id, version) {
                self.remove(&id);
            }
        }
        for entry in changes.present {
            if self.advance_version(&entry.id, entry.version) {
                let tokens = kv_tokens(&entry.service);
                self.insert(&entry, tokens);
            }
        }
    }

    /// Whether a version is newer than what is known of an id.
    fn advance_version(&mut self, id: &str, version: u64) -> bool {
        match self.versions.get_mut(id) {
            Some(known) if *known >= version => false,
            Some(known) => {
                *known = version;
                true
            }
            None => {
                self.versions.insert(id.to_owned(), version);
                true
            }
        }
    }

    /// All targets as a list for another daemon.
    pub fn export(&self) -> platform::TargetChanges {
        let present: Vec<_> = self
            .by_id
            .values()
            .map(|target| target.export(&self.versions))
            .collect();
        platform::TargetChanges {
            is_complete: false,
            version: present.iter().map(|entry| entry.version).max().unwrap_or(0),
            present,
            absent: Vec::new(),
        }
    }

    /// Targets of a service.
    pub fn of_service(&self, service: &str) -> &[rc::Rc<TargetState>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// The target with a short name.
    pub fn by_hash(&self, hash: u64) -> Option<&rc::Rc<TargetState>> {
        self.by_hash.get(&hash)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = &rc::Rc<TargetState>> {
        self.by_id.values()
    }

    fn insert(&mut self, entry: &platform::TargetEntry, kv_tokens: u64) {
        if let Some(known) = self.by_id.get(&entry.id) {
            let is_same = known.entry.born_ms == entry.born_ms
                && known.entry.address == entry.address
                && known.entry.service == entry.service;
            if is_same {
                update(known, entry);
                return;
            }
            self.remove(&entry.id);
        }
        log::info!(
            target_id = entry.id.as_str(), address:% = entry.address, zone = entry.zone.as_str(),
            service = entry.service.as_str(), draining = entry.is_draining;
            "target_listed"
        );
        let target = rc::Rc::new(TargetState::new(entry.clone(), kv_tokens));
        let service = self.by_service.entry(target.entry.service.clone());
        service.or_default().push(rc::Rc::clone(&target));
        self.by_hash.insert(target.hash, rc::Rc::clone(&target));
        self.by_id.insert(target.entry.id.clone(), target);
    }

    fn remove(&mut self, id: &str) {
        let Some(target) = self.by_id.remove(id) else {
            return;
        };
        self.by_hash.remove(&target.hash);
        target.is_draining.set(true);
        log::info!(target_id = id; "target_gone");
        if let Some(targets) = self.by_service.get_mut(&target.entry.service) {
            targets.retain(|kept| !rc::Rc::ptr_eq(kept, &target));
        }
    }
}

fn update(known: &TargetState, entry: &platform::TargetEntry) {
    if known.is_draining.get() != entry.is_draining {
        known.is_draining.set(entry.is_draining);
        log::info!(target_id = entry.id.as_str(), draining = entry.is_draining; "target_state");
    }
    if known.listed_stage.get() != entry.stage {
        known.listed_stage.set(entry.stage);
        log::info!(target_id = entry.id.as_str(), stage:? = entry.stage; "target_stage");
    }
}
