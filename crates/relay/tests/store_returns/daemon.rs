//! A daemon that reads the store and applies the reports of others.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net,
};

use acaciabank_core::store_version::StoreVersion;
use acaciabank_relay::{
    config::ConfigVersion,
    gossip::{PeerReport, PeerTable},
    platform,
    target::TargetRegistry,
    watch,
};

use crate::store::{Document, Incarnation, Record, SERVICE, Store, parts};

/// Time after which the platform removes the entry of a target that is silent.
pub const SILENCE_MS: u64 = 3_600;
pub const POLL_MS: u64 = 500;
/// Interval between reports; longer than that of real daemons, as some are lost anyway.
pub const REPORT_MS: u64 = 400;

/// A target as a daemon lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub version: StoreVersion,
    pub record: Record,
    pub is_accepting: bool,
}

/// A run of a daemon.
pub struct Daemon {
    rank: usize,
    pub boot_id: u64,
    started_ms: u64,
    sequence: u64,
    pub registry: TargetRegistry,
    pub watch: watch::StoreWatch,
    pub peers: PeerTable,
    pub config: Option<(ConfigVersion, Document)>,
    pub after_targets: Option<StoreVersion>,
    after_config: Option<StoreVersion>,
    next_read_ms: u64,
    pub next_report_ms: u64,
    pub cut_off_until_ms: u64,
    pub has_newer_config_reported: bool,
    /// Incarnations that it knew as draining.
    pub drained: HashSet<Incarnation>,
    /// Incarnations that it knew as gone, with the era of the record that said so.
    pub gone: HashMap<Incarnation, u64>,
    /// Incarnations that were accepting at it.
    pub accepted: BTreeSet<Incarnation>,
    /// Latest era of what the freshness of the targets is based on.
    targets_era: u64,
    /// Latest time that is recorded as fresh for the targets.
    targets_fresh_ms: u64,
}

impl Daemon {
    pub fn new(rank: usize, boot_id: u64, now_ms: u64) -> Self {
        Self {
            rank,
            boot_id,
            started_ms: now_ms,
            sequence: 0,
            registry: TargetRegistry::new(SILENCE_MS),
            watch: watch::StoreWatch::default(),
            peers: PeerTable::default(),
            config: None,
            after_targets: None,
            after_config: None,
            next_read_ms: now_ms,
            next_report_ms: now_ms,
            cut_off_until_ms: 0,
            has_newer_config_reported: false,
            drained: HashSet::new(),
            gone: HashMap::new(),
            accepted: BTreeSet::new(),
            targets_era: 0,
            targets_fresh_ms: 0,
        }
    }

    pub fn address(rank: usize) -> net::SocketAddr {
        ([127, 0, 0, 1], 7_000 + rank as u16).into()
    }

    pub fn config_version(&self) -> ConfigVersion {
        self.config
            .as_ref()
            .map_or(ConfigVersion::default(), |(version, _)| *version)
    }

    /// Whether it starts to read the store in this tick.
    pub fn is_reading(&self, now_ms: u64) -> bool {
        let is_watcher = self.rank < watch::WATCHER_COUNT;
        let is_first = self.after_targets.is_none() || self.after_config.is_none();
        let is_due = self.watch.targets.is_due(self.rank, now_ms)
            || self.watch.config.is_due(self.rank, now_ms);
        now_ms >= self.next_read_ms && (is_watcher || is_first || is_due)
    }

    /// The targets that it lists, by id.
    pub fn listed(&self, now_ms: u64) -> BTreeMap<String, Listed> {
        let exported = self.registry.export().present;
        let versions: HashMap<String, StoreVersion> = exported
            .into_iter()
            .map(|entry| (entry.id, entry.version))
            .collect();
        let targets = self.registry.of_service(SERVICE).iter();
        let listed = targets.map(|target| {
            let record = Record {
                born_ms: target.entry.born_ms,
                port: target.entry.address.port(),
                stage: target.listed_stage.get(),
                is_draining: target.is_draining.get(),
            };
            let listed = Listed {
                version: versions[&target.entry.id],
                record,
                is_accepting: target.is_accepting(now_ms),
            };
            (target.entry.id.clone(), listed)
        });
        listed.collect()
    }

    /// Applies changes to the targets and checks that each effect has a newer record as its cause;
    /// returns whether there was one.
    pub fn apply_targets(
        &mut self,
        changes: platform::TargetChanges,
        after: Option<StoreVersion>,
        now_ms: u64,
    ) -> Result<bool, String> {
        if let Some(after) = after {
            self.watch.record_changes(after, &changes, now_ms);
        }
        if !changes.is_complete && changes.present.is_empty() && changes.absent.is_empty() {
            self.apply_to_registry(changes, after, now_ms);
            return Ok(false);
        }
        let before = self.listed(now_ms);
        let draining = changes.present.iter().filter(|entry| entry.is_draining);
        let draining: Vec<Incarnation> = draining
            .map(|entry| (entry.id.clone(), entry.born_ms))
            .collect();
        self.apply_to_registry(changes.clone(), after, now_ms);
        let listed = self.listed(now_ms);
        for (id, target) in &listed {
            let told = (id.clone(), target.record.born_ms);
            if draining.contains(&told) {
                self.drained.insert(told);
            }
        }
        for (id, target) in listed.iter().filter(|(_, target)| target.is_accepting) {
            let told = (id.clone(), target.record.born_ms);
            if self.drained.contains(&told) && !self.gone.contains_key(&told) {
                return Err(format!("daemon {} uses {told:?}, which drains", self.rank));
            }
        }
        for (id, known) in &before {
            self.check_cause(id, known, listed.get(id), &changes)?;
        }
        for (id, target) in &listed {
            let told = (id.clone(), target.record.born_ms);
            let gone_era = self.gone.get(&told).copied();
            if gone_era.is_some_and(|gone_era| gone_era >= target.version.era) {
                self.gone.remove(&told);
            }
        }
        Ok(listed != before)
    }

    fn apply_to_registry(
        &mut self,
        changes: platform::TargetChanges,
        after: Option<StoreVersion>,
        now_ms: u64,
    ) {
        let version = changes.version;
        self.registry.apply(changes, now_ms, |_| 0);
        if after.is_some() {
            self.registry.record_complete(version);
        }
    }

    /// Checks that a change of a listed target is the effect of a newer record, and remembers the
    /// incarnations that are gone.
    fn check_cause(
        &mut self,
        id: &str,
        known: &Listed,
        listed: Option<&Listed>,
        changes: &platform::TargetChanges,
    ) -> Result<(), String> {
        let is_same = |now: &Listed| {
            now.record.born_ms == known.record.born_ms
                && now.record.port == known.record.port
                && now.record.stage == known.record.stage
                && (now.record.is_draining || !known.record.is_draining)
        };
        if listed.is_some_and(|now| parts(now.version) < parts(known.version)) {
            return Err(format!("{id} goes back from {known:?} to {listed:?}"));
        }
        if listed.is_some_and(is_same) {
            return Ok(());
        }
        let present = changes.present.iter().filter(|entry| entry.id == id);
        let absent = changes.absent.iter().filter(|(absent, _)| absent == id);
        let causes = present.map(|entry| entry.version);
        let causes = causes.chain(absent.map(|(_, version)| *version));
        let causes = causes.chain(changes.is_complete.then_some(changes.version));
        let cause = causes.max_by_key(|version| parts(*version));
        let Some(cause) = cause.filter(|cause| parts(*cause) > parts(known.version)) else {
            return Err(format!(
                "an old record changes {id} from {known:?} to {listed:?}"
            ));
        };
        if listed.is_none_or(|now| now.record.born_ms != known.record.born_ms) {
            let told = (id.to_owned(), known.record.born_ms);
            self.gone.insert(told, cause.era);
        }
        Ok(())
    }

    /// Applies a configuration as the daemon does; the number must never go back.
    pub fn apply_config(&mut self, document: &Document, stored: StoreVersion) {
        let version = ConfigVersion {
            number: document.number,
            stored,
            digest: document.digest,
        };
        if self.config.is_some() && self.confirm_config(&version) {
            return;
        }
        if self.config.is_some() && version <= self.config_version() {
            return;
        }
        self.config = Some((version, document.clone()));
    }

    fn confirm_config(&mut self, version: &ConfigVersion) -> bool {
        let Some((known, _)) = &mut self.config else {
            return version.is_same_document(&ConfigVersion::default());
        };
        let is_same = version.is_same_document(known);
        if is_same && version.stored > known.stored {
            *known = *version;
        }
        is_same
    }

    /// Reads the store as the tasks of the daemon do.
    pub fn read(&mut self, store: &Store, now_ms: u64) -> Result<(), String> {
        match store.read_targets(self.after_targets) {
            None => self.after_targets = None,
            Some(changes) => {
                let after = self.after_targets.unwrap_or(StoreVersion::ZERO);
                let version = changes.version;
                self.after_targets = Some(version);
                self.apply_targets(changes, Some(after), now_ms)?;
                self.registry.resolve_doubts(now_ms);
                self.watch.targets.record_store_read(now_ms, version);
                self.targets_era = self.targets_era.max(version.era);
                self.targets_fresh_ms = self.targets_fresh_ms.max(now_ms);
                self.next_read_ms = now_ms + POLL_MS;
            }
        }
        match store.read_config(self.after_config) {
            None => self.after_config = None,
            Some(row) => {
                self.after_config = Some(store.version());
                if let Some(row) = row {
                    let stored = StoreVersion::new(store.era, row.number);
                    self.apply_config(&row.body, stored);
                }
                self.watch.config.record_store_read(now_ms, store.version());
            }
        }
        Ok(())
    }

    pub fn build_report(&mut self, now_ms: u64) -> PeerReport {
        self.sequence += 1;
        let recent = self.watch.recent_changes(now_ms);
        let is_watcher = self.rank < watch::WATCHER_COUNT && !recent.is_truncated;
        let targets_age_ms = self.watch.targets.store_read_age_ms(now_ms);
        PeerReport {
            host: format!("host-{}", self.rank),
            boot_id: self.boot_id,
            sequence: self.sequence,
            peer_address: Self::address(self.rank),
            caller_address: Self::address(self.rank),
            is_ready: true,
            is_draining: false,
            service_loads: Vec::new(),
            is_lease_holder: false,
            config_version: self.config_version(),
            config_age_ms: self.watch.config.store_read_age_ms(now_ms),
            targets_age_ms: targets_age_ms.filter(|_| is_watcher),
            target_changes: match is_watcher {
                true => recent.changes,
                false => platform::TargetChanges::default(),
            },
            leaving: Vec::new(),
            limits: Vec::new(),
            bases: None,
            changes_after: recent.after,
            usage: None,
            loads: Vec::new(),
            stage_changes: Vec::new(),
            parts: Vec::new(),
            suspects: Default::default(),
            zone_hash: 1,
            capacity_millicores: 250,
            age_ms: now_ms - self.started_ms,
            interval_ms: REPORT_MS as u32,
            known: Vec::new(),
        }
    }

    /// Applies a report as the daemon does; returns whether it has changed the listed targets.
    pub fn apply_report(&mut self, report: PeerReport, now_ms: u64) -> Result<bool, String> {
        let is_changed = self.apply_targets(report.target_changes.clone(), None, now_ms)?;
        let (config_version, config_age_ms) = (report.config_version, report.config_age_ms);
        let (targets_age_ms, after) = (report.targets_age_ms, report.changes_after);
        let version = report.target_changes.version;
        if !self.peers.apply_report(report, now_ms) {
            return Ok(is_changed);
        }
        self.apply_config_version(&config_version, config_age_ms, now_ms);
        if let Some(age_ms) = targets_age_ms {
            let fresh_ms = now_ms.saturating_sub(age_ms);
            self.apply_freshness(after, version, fresh_ms, now_ms)?;
        }
        Ok(is_changed)
    }

    fn apply_config_version(
        &mut self,
        version: &ConfigVersion,
        read_age_ms: Option<u64>,
        now_ms: u64,
    ) {
        if !self.confirm_config(version) && *version > self.config_version() {
            self.has_newer_config_reported = true;
            return;
        }
        let is_current = version.stored.era >= self.config_version().stored.era;
        if let Some(age_ms) = read_age_ms.filter(|_| is_current) {
            let fresh_ms = now_ms.saturating_sub(age_ms);
            self.watch.config.record_fresh(fresh_ms);
        }
    }

    /// Records the freshness that a report claims, and checks what becomes of it.
    fn apply_freshness(
        &mut self,
        after: StoreVersion,
        version: StoreVersion,
        fresh_ms: u64,
        now_ms: u64,
    ) -> Result<(), String> {
        let targets = &self.watch.targets;
        let rank = watch::WATCHER_COUNT;
        let due = |targets: &watch::DataFreshness| -> Vec<bool> {
            let times = (now_ms..now_ms + 3_000).step_by(300);
            times.map(|time_ms| targets.is_due(rank, time_ms)).collect()
        };
        let before = due(targets);
        targets.record_peer_changes(fresh_ms, after, version);
        let is_changed = due(targets) != before;
        if is_changed && version.era < self.targets_era {
            return Err(format!("a report of era {} counts as fresh", version.era));
        }
        let is_gap = version.era > self.targets_era && fresh_ms > self.targets_fresh_ms;
        if is_gap && !targets.is_due(rank, now_ms) {
            return Err(format!("a return to era {} is not noticed", version.era));
        }
        if !is_gap && version.era == self.targets_era && is_changed {
            self.targets_fresh_ms = self.targets_fresh_ms.max(fresh_ms);
        }
        Ok(())
    }
}
