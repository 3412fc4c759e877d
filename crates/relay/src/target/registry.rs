//! The list of targets, put together from the store and from the reports of other daemons.
//!
//! Records are ordered by their [`StoreVersion`]: whatever the store says after a return from an
//! older copy replaces what it said before. Two facts outlast a return, because the copy cannot
//! contradict them: that an incarnation drains, and that it has left.

use std::{collections::HashMap, rc};

use acaciabank_core::{store_version::StoreVersion, target_signal::SignalState};

use super::{
    TargetState,
    doubts::{DoubtTable, TargetDoubt},
    incarnation_hash,
    signals::SignalOrigin,
};
use crate::platform;

/// Default time after which the platform removes the entry of a target that is silent.
const DEFAULT_SILENCE_MS: u64 = 3_600;

/// An incarnation that was removed.
#[derive(Clone, Copy, Debug)]
struct RemovedRun {
    /// Era of the removal.
    era: u64,
    /// Whether it was known to drain.
    was_draining: bool,
}

/// All targets that the platform lists.
#[derive(Debug)]
pub struct TargetRegistry {
    by_id: HashMap<String, rc::Rc<TargetState>>,
    pub(super) by_hash: HashMap<u64, rc::Rc<TargetState>>,
    by_service: HashMap<String, Vec<rc::Rc<TargetState>>>,
    /// Newest known version by id, including removed targets.
    versions: HashMap<String, StoreVersion>,
    /// Incarnations that were removed, by hash.
    removed: HashMap<u64, RemovedRun>,
    doubts: DoubtTable,
    /// Signals by hash of the incarnation, including some that are not listed: an incarnation whose
    /// entry disappears for a while still leaves, and a report may arrive before the entry.
    pub(super) signals: HashMap<u64, SignalState>,
    /// Origin of the last signal of each id: the incarnation that has sent it may be listed later.
    pub(super) signal_origins: HashMap<String, SignalOrigin>,
    /// Version of the store up to which all changes are included; [`StoreVersion::ZERO`] before the
    /// first complete list.
    complete_version: StoreVersion,
}

impl Default for TargetRegistry {
    fn default() -> Self {
        Self::new(DEFAULT_SILENCE_MS)
    }
}

impl TargetRegistry {
    /// Creates an empty registry. `silence_ms` is the time after which the platform removes the
    /// entry of a target that is silent.
    pub fn new(silence_ms: u64) -> Self {
        Self {
            by_id: HashMap::new(),
            by_hash: HashMap::new(),
            by_service: HashMap::new(),
            versions: HashMap::new(),
            removed: HashMap::new(),
            doubts: DoubtTable::new(silence_ms),
            signals: HashMap::new(),
            signal_origins: HashMap::new(),
            complete_version: StoreVersion::ZERO,
        }
    }

    /// Applies changes to the platform's list that come from the store or from another daemon.
    /// `kv_tokens` returns the KV cache capacity of a service's engines in tokens.
    pub fn apply(
        &mut self,
        changes: platform::TargetChanges,
        now_ms: u64,
        kv_tokens: impl Fn(&str) -> u64,
    ) {
        let known_complete = self.complete_version;
        let mut absent = changes.absent;
        if changes.is_complete {
            self.record_complete(changes.version);
            absent.extend(self.unlisted(&changes.present, changes.version, now_ms));
        }
        for (id, version) in absent {
            if self.advance_version(&id, version) {
                self.remove(&id, version);
            }
        }
        for entry in changes.present {
            let is_known = self.versions.contains_key(&entry.id);
            if !is_known && entry.version <= known_complete {
                // It had left before this daemon read the list; a daemon that is cut off from the
                // store may still report it.
                continue;
            }
            self.apply_entry(&entry, now_ms, &kv_tokens);
        }
    }

    /// Returns the targets that a complete list lacks, with the version of their removal. Those
    /// that were known before a return of the store are kept for a while.
    fn unlisted(
        &mut self,
        present: &[platform::TargetEntry],
        version: StoreVersion,
        now_ms: u64,
    ) -> Vec<(String, StoreVersion)> {
        let is_listed = |id: &str| present.iter().any(|entry| entry.id == id);
        let mut removals = Vec::new();
        for (id, target) in self.by_id.iter().filter(|(id, _)| !is_listed(id)) {
            let known = self.versions.get(id).copied().unwrap_or_default();
            // A draining target is kept too: its next row may be older than its drain.
            let is_leaving = target.is_leaving() || self.is_held_back(id);
            if known.era < version.era && !is_leaving {
                self.doubts
                    .add(id, TargetDoubt::Missing, version.era, now_ms);
            } else {
                removals.push((id.clone(), version));
            }
        }
        removals
    }

    fn apply_entry(
        &mut self,
        entry: &platform::TargetEntry,
        now_ms: u64,
        kv_tokens: impl Fn(&str) -> u64,
    ) {
        let known = self.versions.get(&entry.id).copied().unwrap_or_default();
        if !self.advance_version(&entry.id, entry.version) {
            if entry.version.era < known.era {
                self.apply_earlier_era(entry);
            }
            return;
        }
        let is_new_era = known.era < entry.version.era;
        let removal = self.removed.get(&incarnation_hash(entry)).copied();
        let removal = removal.filter(|removal| removal.era < entry.version.era);
        match self.by_id.get(&entry.id).map(|listed| &listed.entry) {
            Some(listed) if is_new_era && entry.born_ms < listed.born_ms => {
                // The copy holds an earlier run of the target.
                let era = entry.version.era;
                self.doubts
                    .add(&entry.id, TargetDoubt::Missing, era, now_ms);
            }
            Some(listed) if is_same_run(listed, entry) => self.update(entry, is_new_era, now_ms),
            _ => {
                self.insert(entry, kv_tokens(&entry.service));
                if let Some(removal) = removal.filter(|_| !entry.is_draining) {
                    self.hold_back(entry, removal, now_ms);
                }
            }
        }
    }

    /// Applies what a record of an earlier era says that later ones cannot contradict.
    fn apply_earlier_era(&mut self, entry: &platform::TargetEntry) {
        let listed = self.by_hash.get(&incarnation_hash(entry));
        let Some(target) = listed.filter(|_| entry.is_draining) else {
            return;
        };
        set_draining(target, true);
        if self.is_held_back(&entry.id) {
            self.doubts.settle(&entry.id);
        }
    }

    /// Whether a record was written after the last complete list, so that it is in no copy from
    /// which that era began.
    fn is_written_since(&self, version: StoreVersion) -> bool {
        version.continues(self.complete_version) && version > self.complete_version
    }

    /// Whether the target had left and is listed again by a copy.
    fn is_held_back(&self, id: &str) -> bool {
        self.doubts.get(id) == Some(TargetDoubt::Returned)
    }

    /// Updates a listed incarnation. Draining outlasts a return of the store: the copy may be older
    /// than the record.
    fn update(&mut self, entry: &platform::TargetEntry, is_new_era: bool, now_ms: u64) {
        let Some(target) = self.by_id.get(&entry.id) else {
            return;
        };
        let is_draining = entry.is_draining || (is_new_era && target.is_draining.get());
        set_draining(target, is_draining);
        let known_leaves_ms = target.leaves_ms.get().filter(|_| is_draining);
        target.leaves_ms.set(entry.leaves_ms.or(known_leaves_ms));
        if target.listed_stage.get() != entry.stage {
            target.listed_stage.set(entry.stage);
            log::info!(target_id = entry.id.as_str(), stage:? = entry.stage; "target_stage");
        }
        let is_copied_ready = is_new_era && !entry.is_draining;
        match is_copied_ready && self.is_held_back(&entry.id) {
            true => {
                let era = entry.version.era;
                self.doubts
                    .add(&entry.id, TargetDoubt::Returned, era, now_ms);
            }
            false => self.doubts.settle(&entry.id),
        }
    }

    /// Sends no requests to a target that had left, until the store says more about it.
    fn hold_back(&mut self, entry: &platform::TargetEntry, removal: RemovedRun, now_ms: u64) {
        if self.is_written_since(entry.version) && !removal.was_draining {
            return;
        }
        if let Some(target) = self.by_id.get(&entry.id) {
            target.is_draining.set(true);
        }
        if !removal.was_draining {
            let era = entry.version.era;
            self.doubts
                .add(&entry.id, TargetDoubt::Returned, era, now_ms);
        }
    }

    /// Whether a return of the store has left something open that the next read settles.
    pub fn has_due_doubts(&self, now_ms: u64) -> bool {
        self.doubts.has_due(now_ms)
    }

    /// Settles what a return of the store has left open, by a read of the store that was sent at
    /// `sent_ms` and whose result has been applied.
    pub fn resolve_doubts(&mut self, sent_ms: u64) {
        for (id, doubt) in self.doubts.take_due(sent_ms) {
            match doubt {
                TargetDoubt::Missing => {
                    let version = self.complete_version;
                    self.advance_version(&id, version);
                    self.remove(&id, version);
                }
                TargetDoubt::Returned => {
                    if let Some(target) = self.by_id.get(&id) {
                        set_draining(target, false);
                    }
                }
            }
        }
    }

    /// Records that the registry includes all changes up to a version of the store.
    pub fn record_complete(&mut self, version: StoreVersion) {
        self.complete_version = self.complete_version.max(version);
    }

    /// Records the version of an id; returns whether it is newer than the known one.
    fn advance_version(&mut self, id: &str, version: StoreVersion) -> bool {
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

    /// Returns what a complete list changes, unless it is the first one.
    pub fn difference(&self, list: &platform::TargetChanges) -> Option<platform::TargetChanges> {
        if !list.is_complete || self.complete_version == StoreVersion::ZERO {
            return None;
        }
        let is_listed = |id: &str| list.present.iter().any(|entry| entry.id == id);
        let unlisted = self.by_id.keys().filter(|id| !is_listed(id));
        let is_unknown = |entry: &&platform::TargetEntry| {
            let known = self.by_id.get(&entry.id);
            !known.is_some_and(|target| is_unchanged(target, entry))
        };
        Some(platform::TargetChanges {
            is_complete: false,
            version: list.version,
            present: list.present.iter().filter(is_unknown).cloned().collect(),
            absent: match list.version.era == self.complete_version.era {
                true => unlisted.map(|id| (id.clone(), list.version)).collect(),
                // Targets of the lost seconds may write their rows again.
                false => Vec::new(),
            },
        })
    }

    /// Returns all targets as a list that another daemon can apply. It is complete if this daemon
    /// has read the list from the store.
    pub fn export(&self) -> platform::TargetChanges {
        let targets = self.by_id.values();
        platform::TargetChanges {
            is_complete: self.complete_version > StoreVersion::ZERO,
            version: self.complete_version,
            present: targets.map(|target| self.export_target(target)).collect(),
            absent: Vec::new(),
        }
    }

    fn export_target(&self, target: &TargetState) -> platform::TargetEntry {
        let id = &target.entry.id;
        let is_draining = target.is_draining.get() && !self.is_held_back(id);
        platform::TargetEntry {
            version: self
                .versions
                .get(id)
                .copied()
                .unwrap_or(target.entry.version),
            is_draining: is_draining || target.is_leaving(),
            stage: target.listed_stage.get(),
            leaves_ms: target.leaves_ms.get(),
            ..target.entry.clone()
        }
    }

    /// Returns the targets of a service.
    pub fn of_service(&self, service: &str) -> &[rc::Rc<TargetState>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the target with the given id.
    pub(super) fn by_id(&self, id: &str) -> Option<&TargetState> {
        self.by_id.get(id).map(rc::Rc::as_ref)
    }

    /// Returns the target with the given hash.
    pub fn by_hash(&self, hash: u64) -> Option<&rc::Rc<TargetState>> {
        self.by_hash.get(&hash)
    }

    /// Iterates over all targets, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &rc::Rc<TargetState>> {
        self.by_id.values()
    }

    fn insert(&mut self, entry: &platform::TargetEntry, kv_tokens: u64) {
        self.remove(&entry.id, entry.version);
        log::info!(
            target_id = entry.id.as_str(), address:% = entry.address, zone = entry.zone.as_str(),
            service = entry.service.as_str(), software = entry.software.as_str(), draining = entry.is_draining;
            "target_listed"
        );
        let target = rc::Rc::new(TargetState::new(entry.clone(), kv_tokens));
        self.adopt_signals(&target);
        let service = self.by_service.entry(target.entry.service.clone());
        service.or_default().push(rc::Rc::clone(&target));
        self.removed.remove(&target.hash);
        self.by_hash.insert(target.hash, rc::Rc::clone(&target));
        self.by_id.insert(target.entry.id.clone(), target);
    }

    fn remove(&mut self, id: &str, version: StoreVersion) {
        let Some(target) = self.by_id.remove(id) else {
            return;
        };
        self.doubts.settle(id);
        self.by_hash.remove(&target.hash);
        let removal = RemovedRun {
            era: version.era,
            was_draining: target.is_draining.replace(true),
        };
        self.removed.insert(target.hash, removal);
        log::info!(target_id = id, version:% = version, cause = "store"; "target_gone");
        if let Some(targets) = self.by_service.get_mut(&target.entry.service) {
            targets.retain(|kept| !rc::Rc::ptr_eq(kept, &target));
        }
    }
}

fn is_same_run(listed: &platform::TargetEntry, entry: &platform::TargetEntry) -> bool {
    listed.born_ms == entry.born_ms
        && listed.address == entry.address
        && listed.service == entry.service
}

/// Whether an entry says nothing new about a listed target.
fn is_unchanged(target: &TargetState, entry: &platform::TargetEntry) -> bool {
    is_same_run(&target.entry, entry)
        && target.is_draining.get() == entry.is_draining
        && target.listed_stage.get() == entry.stage
        && target.leaves_ms.get().is_some() == entry.leaves_ms.is_some()
}

fn set_draining(target: &TargetState, is_draining: bool) {
    if target.is_draining.replace(is_draining) != is_draining {
        let id = target.entry.id.as_str();
        log::info!(target_id = id, draining = is_draining, cause = "store"; "target_state");
    }
}
