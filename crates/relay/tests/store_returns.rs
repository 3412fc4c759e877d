//! Random model of a store that comes back from older copies, of the targets and the operator that
//! write to it, and of daemons that read it and report to each other. Guards against targets that
//! stay listed or get requests after they have left, targets that are lost, and daemons that keep
//! an old configuration.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net, rc,
};

use acaciabank_core::{placement::EngineStage, store_version::StoreVersion};
use acaciabank_relay::{
    config::ConfigVersion,
    gossip::{PeerReport, PeerTable},
    platform,
    target::TargetRegistry,
    watch,
};
use rand::{RngExt, SeedableRng, rngs};

const SERVICE: &str = "models";
const IDS: [&str; 5] = ["t-0", "t-1", "t-2", "t-3", "t-4"];
const PORTS: [u16; 3] = [9, 10, 11];
const DAEMONS: usize = 4;
const SEEDS: u64 = 200;
/// Rounds of a seed: random events, then a calm time and a check of everything.
const ROUNDS: usize = 2;
const EVENTS: usize = 40;
/// Step of the time.
const TICK_MS: u64 = 100;
/// Time after which the platform removes the entry of a target that is silent.
const SILENCE_MS: u64 = 3_600;
/// Time in which targets and the operator write again what a return has lost.
const REWRITE_MS: u64 = 2_000;
/// Time within which a target must write again to stay in use at all daemons: they learn of a row
/// up to [`NEWS_MS`] after it was written.
const PROMPT_REWRITE_MS: u64 = REWRITE_MS - NEWS_MS;
/// Time after which a daemon that can read the store knows what it holds.
const NEWS_MS: u64 = 1_300;
/// Largest age of a copy from which the store comes back.
const MAX_COPY_AGE_MS: u64 = 8_000;
const POLL_MS: u64 = 500;
/// Interval between reports; longer than that of real daemons, as some are lost anyway.
const REPORT_MS: u64 = 400;
/// Interval of the checks while nothing happens.
const SETTLING_STEP_MS: u64 = 300;
/// Number of the last events that a failure prints.
const SHOWN_EVENTS: usize = 60;

/// Id and start time.
type Incarnation = (String, u64);

/// Order of versions, stated apart from the order of the tested type.
fn parts(version: StoreVersion) -> (u64, u64) {
    (version.era, version.number)
}

/// What a target writes.
#[derive(Clone, Debug, PartialEq)]
struct Record {
    born_ms: u64,
    port: u16,
    stage: Option<EngineStage>,
    is_draining: bool,
}

/// What the operator writes.
#[derive(Clone, Debug, PartialEq)]
struct Document {
    number: u64,
    digest: u64,
}

/// A row, with its number and the era in which it was written: a copy keeps the latter.
#[derive(Clone, Debug)]
struct Row<Body> {
    number: u64,
    written_era: u64,
    body: Body,
}

/// Contents of the store.
#[derive(Clone, Debug, Default)]
struct Rows {
    number: u64,
    targets: BTreeMap<String, Row<Record>>,
    config: Option<Row<Document>>,
    /// Changes of targets since `history_start`, a deleted row as `None`.
    history: Vec<(u64, String, Option<Record>)>,
    history_start: u64,
}

/// The store and the copies from which it may come back.
struct Store {
    era: u64,
    rows: Rows,
    copies: Vec<(u64, Rows)>,
}

impl Store {
    fn new() -> Self {
        Self {
            era: 1,
            rows: Rows::default(),
            copies: Vec::new(),
        }
    }

    /// Keeps a copy, then assigns the next number.
    fn advance(&mut self, now_ms: u64) -> u64 {
        self.copies.push((now_ms, self.rows.clone()));
        self.rows.number += 1;
        self.rows.number
    }

    fn write_target(&mut self, id: &str, record: Option<Record>, now_ms: u64) {
        let number = self.advance(now_ms);
        self.rows.targets.remove(id);
        if let Some(body) = record.clone() {
            let written_era = self.era;
            let row = Row {
                number,
                written_era,
                body,
            };
            self.rows.targets.insert(id.to_owned(), row);
        }
        self.rows.history.push((number, id.to_owned(), record));
    }

    fn write_config(&mut self, body: Document, now_ms: u64) {
        let number = self.advance(now_ms);
        self.rows.config = Some(Row {
            number,
            written_era: self.era,
            body,
        });
    }

    /// Comes back from the state at a time, with or without the history of changes.
    fn return_to(&mut self, time_ms: u64, keeps_history: bool) {
        let kept = self
            .copies
            .partition_point(|(until_ms, _)| *until_ms < time_ms);
        if let Some((_, copy)) = self.copies.get(kept) {
            self.rows = copy.clone();
        }
        self.copies.truncate(kept);
        self.era += 1;
        if !keeps_history {
            self.rows.history.clear();
            self.rows.history_start = self.rows.number;
        }
    }

    fn version(&self) -> StoreVersion {
        StoreVersion::new(self.era, self.rows.number)
    }

    /// Whether the feed has all changes after a version; otherwise it answers with 410. The client
    /// then reads everything, as it does if the answer is of another era.
    fn continues(&self, after: StoreVersion) -> bool {
        let is_held = after.number <= self.rows.number && after.number >= self.rows.history_start;
        is_held && self.version().continues(after)
    }

    fn entry(&self, id: &str, number: u64, record: &Record) -> platform::TargetEntry {
        platform::TargetEntry {
            version: StoreVersion::new(self.era, number),
            id: id.to_owned(),
            born_ms: record.born_ms,
            service: SERVICE.to_owned(),
            address: ([127, 0, 0, 1], record.port).into(),
            zone: "zone-a".to_owned(),
            slots: 8,
            is_draining: record.is_draining,
            stage: record.stage,
        }
    }

    /// Reads the targets as the platform's client does; `None` if the history is gone.
    fn read_targets(&self, after: Option<StoreVersion>) -> Option<platform::TargetChanges> {
        let mut changes = platform::TargetChanges {
            is_complete: after.is_none(),
            version: self.version(),
            ..platform::TargetChanges::default()
        };
        let Some(after) = after else {
            let rows = self.rows.targets.iter();
            let entries = rows.map(|(id, row)| self.entry(id, row.number, &row.body));
            changes.present = entries.collect();
            return Some(changes);
        };
        if !self.continues(after) {
            return None;
        }
        let later = self.rows.history.iter();
        for (number, id, record) in later.filter(|(number, ..)| *number > after.number) {
            changes.present.retain(|known| known.id != *id);
            changes.absent.retain(|(known, _)| known != id);
            let version = StoreVersion::new(self.era, *number);
            match record {
                Some(record) => changes.present.push(self.entry(id, *number, record)),
                None => changes.absent.push((id.clone(), version)),
            }
        }
        Some(changes)
    }

    /// Reads the configuration; `None` if the history is gone.
    fn read_config(&self, after: Option<StoreVersion>) -> Option<Option<Row<Document>>> {
        let from = match after {
            Some(after) if !self.continues(after) => return None,
            Some(after) => after.number,
            None => 0,
        };
        Some(self.rows.config.clone().filter(|row| row.number > from))
    }
}

/// A run of a target.
#[derive(Clone, Debug)]
struct Target {
    record: Record,
    /// Time at which it writes its row again.
    rewrite_ms: Option<u64>,
}

/// What a daemon tells the others.
#[derive(Clone)]
struct Message {
    deliver_ms: u64,
    to: usize,
    report: rc::Rc<PeerReport>,
}

/// A target as a daemon lists it.
#[derive(Clone, Debug, PartialEq)]
struct Listed {
    version: StoreVersion,
    record: Record,
    is_accepting: bool,
}

/// A run of a daemon.
struct Daemon {
    rank: usize,
    boot_id: u64,
    started_ms: u64,
    sequence: u64,
    registry: TargetRegistry,
    watch: watch::StoreWatch,
    peers: PeerTable,
    config: Option<(ConfigVersion, Document)>,
    after_targets: Option<StoreVersion>,
    after_config: Option<StoreVersion>,
    next_read_ms: u64,
    next_report_ms: u64,
    cut_off_until_ms: u64,
    has_newer_config_reported: bool,
    /// Incarnations that it knew as draining.
    drained: HashSet<Incarnation>,
    /// Incarnations that it knew as gone, with the era of the record that said so.
    gone: HashMap<Incarnation, u64>,
    /// Incarnations that were accepting at it.
    accepted: BTreeSet<Incarnation>,
    /// Latest era of what the freshness of the targets is based on.
    targets_era: u64,
    /// Latest time that is recorded as fresh for the targets.
    targets_fresh_ms: u64,
}

impl Daemon {
    fn new(rank: usize, boot_id: u64, now_ms: u64) -> Self {
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

    fn address(rank: usize) -> net::SocketAddr {
        ([127, 0, 0, 1], 7_000 + rank as u16).into()
    }

    fn config_version(&self) -> ConfigVersion {
        self.config
            .as_ref()
            .map_or(ConfigVersion::default(), |(version, _)| *version)
    }

    /// Whether it starts to read the store in this tick.
    fn is_reading(&self, now_ms: u64) -> bool {
        let is_watcher = self.rank < watch::WATCHER_COUNT;
        let is_first = self.after_targets.is_none() || self.after_config.is_none();
        let is_due = self.watch.targets.is_due(self.rank, now_ms)
            || self.watch.config.is_due(self.rank, now_ms);
        now_ms >= self.next_read_ms && (is_watcher || is_first || is_due)
    }

    /// The targets that it lists, by id.
    fn listed(&self, now_ms: u64) -> BTreeMap<String, Listed> {
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
    fn apply_targets(
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
    fn apply_config(&mut self, document: &Document, stored: StoreVersion) {
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
    fn read(&mut self, store: &Store, now_ms: u64) -> Result<(), String> {
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

    fn build_report(&mut self, now_ms: u64) -> PeerReport {
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
            config_version: self.config_version(),
            config_age_ms: self.watch.config.store_read_age_ms(now_ms),
            targets_age_ms: targets_age_ms.filter(|_| is_watcher),
            target_changes: match is_watcher {
                true => recent.changes,
                false => platform::TargetChanges::default(),
            },
            leaving: Vec::new(),
            changes_after: recent.after,
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
    fn apply_report(&mut self, report: PeerReport, now_ms: u64) -> Result<bool, String> {
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

/// What targets do in a world.
#[derive(Clone, Copy)]
struct WorldTraits {
    /// Time in which targets write again what a return has lost.
    rewrite_limit_ms: u64,
    /// Whether a target starts again under its id while a copy may still have its former run.
    has_quick_restarts: bool,
    /// Whether a daemon that is cut off from the store is expected to keep targets in use that a
    /// return has lost and that have written their rows again.
    expects_use_while_cut_off: bool,
    /// Whether a daemon is expected to remember of a run that has left that it was draining, if a
    /// copy lists it for longer than the silence time.
    expects_drained_memory: bool,
}

impl WorldTraits {
    const MODERATE: Self = Self {
        rewrite_limit_ms: PROMPT_REWRITE_MS,
        has_quick_restarts: false,
        expects_use_while_cut_off: false,
        expects_drained_memory: false,
    };
}

/// The store, the targets, the operator and the daemons.
struct World {
    rng: rngs::StdRng,
    now_ms: u64,
    store: Store,
    targets: BTreeMap<String, Target>,
    /// Last document that the operator wrote.
    newest: Document,
    /// Documents that the operator writes after a return, with the time.
    rewrites: Vec<(u64, Document)>,
    /// Time of the return that began each era.
    return_ms: HashMap<u64, u64>,
    /// Time at which the platform removes the rows of targets that do not run.
    sweep_ms: u64,
    daemons: Vec<Daemon>,
    messages: Vec<Message>,
    boots: u64,
    traits: WorldTraits,
    /// Last time at which the store had a row, by id of the target.
    listed_ms: HashMap<String, u64>,
    events: Vec<String>,
}

impl World {
    fn new(seed: u64, traits: WorldTraits) -> Self {
        let now_ms = 100_000;
        let mut world = Self {
            rng: rngs::StdRng::seed_from_u64(seed),
            now_ms,
            store: Store::new(),
            targets: BTreeMap::new(),
            newest: Document {
                number: 1,
                digest: 1,
            },
            rewrites: Vec::new(),
            return_ms: HashMap::new(),
            sweep_ms: 0,
            daemons: (0..DAEMONS)
                .map(|rank| Daemon::new(rank, rank as u64, now_ms))
                .collect(),
            messages: Vec::new(),
            boots: DAEMONS as u64,
            traits,
            listed_ms: HashMap::new(),
            events: Vec::new(),
        };
        let document = world.newest.clone();
        world.store.write_config(document, now_ms);
        world
    }

    fn log(&mut self, event: String) {
        let version = self.store.version();
        self.events
            .push(format!("{} ms, {version}: {event}", self.now_ms));
    }

    fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.rng.random_range(0..values.len())]
    }

    /// Applies one random event.
    fn step(&mut self) -> Result<(), String> {
        let id = self.pick(&IDS);
        let daemon = self.rng.random_range(0..DAEMONS);
        match self.rng.random_range(0..20) {
            0..4 => self.start_target(id),
            4 | 5 => self.change_stage(id),
            6 => self.drain(id),
            7 | 8 => self.leave(id),
            9 => self.crash(id),
            10 | 11 => self.write_config(),
            12..15 => {
                self.return_store();
                if self.traits.expects_use_while_cut_off {
                    // The daemon has read the restored list by then.
                    self.pass(POLL_MS + 2 * TICK_MS)?;
                    self.cut_off(daemon);
                }
            }
            15 => self.cut_off(daemon),
            16 | 17 => self.restart(daemon)?,
            _ => {}
        }
        let pause_ms = self.pick(&[0, 100, 100, 300, 700, 1_500, 3_000]);
        self.pass(pause_ms)
    }

    fn write_target(&mut self, id: &str) {
        let record = self.targets.get(id).map(|target| target.record.clone());
        let now_ms = self.now_ms;
        self.store.write_target(id, record.clone(), now_ms);
        if let Some(target) = self.targets.get_mut(id) {
            target.rewrite_ms = None;
        }
        self.log(format!("writes {id}: {record:?}"));
    }

    fn start_target(&mut self, id: &str) {
        let record = Record {
            born_ms: self.now_ms,
            port: self.pick(&PORTS),
            stage: self.pick(&[None, Some(EngineStage::Prefill), Some(EngineStage::Decode)]),
            is_draining: false,
        };
        let is_running = self.targets.get(id).map(|target| target.record.born_ms);
        let listed_ms = self.listed_ms.get(id).copied();
        let is_quick = listed_ms.is_some_and(|ms| self.now_ms < ms + MAX_COPY_AGE_MS);
        if is_running == Some(self.now_ms) || (is_quick && !self.traits.has_quick_restarts) {
            return;
        }
        let rewrite_ms = None;
        let target = Target { record, rewrite_ms };
        self.targets.insert(id.to_owned(), target);
        self.write_target(id);
    }

    fn change_stage(&mut self, id: &str) {
        let stage = self.pick(&[Some(EngineStage::Prefill), Some(EngineStage::Decode)]);
        if let Some(target) = self.targets.get_mut(id) {
            target.record.stage = stage;
            self.write_target(id);
        }
    }

    fn drain(&mut self, id: &str) {
        if let Some(target) = self.targets.get_mut(id) {
            target.record.is_draining = true;
            self.write_target(id);
        }
    }

    fn leave(&mut self, id: &str) {
        if self.targets.remove(id).is_some() {
            self.write_target(id);
        }
    }

    /// Ends a target that says nothing; the platform removes its row later.
    fn crash(&mut self, id: &str) {
        if self.targets.remove(id).is_some() {
            self.sweep_ms = self.sweep_ms.max(self.now_ms + SILENCE_MS);
            self.log(format!("{id} crashes"));
        }
    }

    fn write_config(&mut self) {
        if !self.rewrites.is_empty() {
            return;
        }
        self.newest.number += self.rng.random_range(1..4);
        self.newest.digest = self.rng.random();
        let (document, now_ms) = (self.newest.clone(), self.now_ms);
        self.log(format!("operator writes {document:?}"));
        self.store.write_config(document, now_ms);
    }

    fn return_store(&mut self) {
        let age_ms = self.rng.random_range(0..MAX_COPY_AGE_MS);
        let keeps_history = self.rng.random_bool(0.5);
        let time_ms = self.now_ms - age_ms;
        self.store.return_to(time_ms, keeps_history);
        self.return_ms.insert(self.store.era, self.now_ms);
        self.sweep_ms = self.now_ms + SILENCE_MS;
        let limit_ms = self.traits.rewrite_limit_ms;
        for target in self.targets.values_mut() {
            let rewrite_ms = self.now_ms + self.rng.random_range(0..limit_ms);
            target.rewrite_ms = Some(rewrite_ms);
        }
        self.plan_rewrites();
        let rows: Vec<_> = self.store.rows.targets.iter().collect();
        let text = format!("returns by {age_ms} ms to {rows:?}");
        let config = &self.store.rows.config;
        let text = format!("{text}, {config:?}");
        self.log(text);
    }

    /// Plans what the operator writes again: the newest document or another one with its number,
    /// and sometimes an older one before.
    fn plan_rewrites(&mut self) {
        if self.rng.random_bool(0.3) {
            self.newest.digest = self.rng.random();
        }
        let rewrite_ms = self.now_ms + self.rng.random_range(0..REWRITE_MS);
        self.rewrites = vec![(rewrite_ms, self.newest.clone())];
        if self.rng.random_bool(0.3) {
            let older = Document {
                number: self.newest.number.saturating_sub(1),
                digest: self.rng.random(),
            };
            self.rewrites.insert(0, (self.now_ms, older));
        }
    }

    fn cut_off(&mut self, daemon: usize) {
        let until_ms = self.now_ms + self.rng.random_range(0..12_000);
        self.daemons[daemon].cut_off_until_ms = until_ms;
        self.log(format!("daemon {daemon} is cut off until {until_ms}"));
    }

    /// Restarts a daemon without any knowledge, or with what another one exports.
    fn restart(&mut self, daemon: usize) -> Result<(), String> {
        self.boots += 1;
        let cut_off_until_ms = self.daemons[daemon].cut_off_until_ms;
        self.daemons[daemon] = Daemon::new(daemon, self.boots, self.now_ms);
        self.daemons[daemon].cut_off_until_ms = cut_off_until_ms;
        self.log(format!("daemon {daemon} restarts"));
        let other = self.rng.random_range(0..DAEMONS);
        if other != daemon && self.now_ms < cut_off_until_ms {
            let changes = self.daemons[other].registry.export();
            self.log(format!("daemon {daemon} gets the list of daemon {other}"));
            self.daemons[daemon].apply_targets(changes, None, self.now_ms)?;
        }
        Ok(())
    }

    /// Lets time pass.
    fn pass(&mut self, pause_ms: u64) -> Result<(), String> {
        let end_ms = self.now_ms + pause_ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            self.write_again();
            self.sweep();
            let listed = self.store.rows.targets.keys();
            self.listed_ms
                .extend(listed.map(|id| (id.clone(), self.now_ms)));
            self.deliver()?;
            for daemon in 0..DAEMONS {
                self.run_daemon(daemon)?;
            }
        }
        self.check()
    }

    fn write_again(&mut self) {
        let now_ms = self.now_ms;
        let is_due = |target: &Target| target.rewrite_ms.is_some_and(|due_ms| due_ms <= now_ms);
        let due = self.targets.iter().filter(|(_, target)| is_due(target));
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.write_target(&id);
        }
        while self
            .rewrites
            .first()
            .is_some_and(|(due_ms, _)| *due_ms <= now_ms)
        {
            let (_, document) = self.rewrites.remove(0);
            self.log(format!("operator writes {document:?} again"));
            self.store.write_config(document, now_ms);
        }
    }

    /// Removes the rows of targets that do not run.
    fn sweep(&mut self) {
        if self.now_ms < self.sweep_ms {
            return;
        }
        let rows = self.store.rows.targets.keys();
        let silent = rows.filter(|id| !self.targets.contains_key(*id));
        let silent: Vec<String> = silent.cloned().collect();
        for id in silent {
            self.write_target(&id);
        }
    }

    fn deliver(&mut self) -> Result<(), String> {
        let now_ms = self.now_ms;
        let is_due = |message: &mut Message| message.deliver_ms <= now_ms;
        let due: Vec<Message> = self.messages.extract_if(.., is_due).collect();
        for message in due {
            let report = PeerReport::clone(&message.report);
            let to = message.to;
            if self.daemons[to].apply_report(report, now_ms)? {
                let (from, changes) = (&message.report.host, &message.report.target_changes);
                self.log(format!("daemon {to} gets from {from}: {changes:?}"));
            }
        }
        Ok(())
    }

    fn run_daemon(&mut self, index: usize) -> Result<(), String> {
        let now_ms = self.now_ms;
        let daemon = &mut self.daemons[index];
        if daemon.registry.has_due_doubts(now_ms) {
            daemon.watch.targets.record_gap();
        }
        if now_ms >= daemon.cut_off_until_ms && daemon.is_reading(now_ms) {
            let known = daemon.after_targets;
            daemon.read(&self.store, now_ms)?;
            let read = daemon.after_targets;
            if read != known {
                self.log(format!("daemon {index} reads up to {read:?}"));
            }
        }
        self.fetch_config(index)?;
        let daemon = &mut self.daemons[index];
        if now_ms < daemon.next_report_ms {
            return Ok(());
        }
        daemon.next_report_ms = now_ms + REPORT_MS;
        let report = rc::Rc::new(daemon.build_report(now_ms));
        for to in (0..DAEMONS).filter(|to| *to != index) {
            self.send(to, &report);
        }
        Ok(())
    }

    /// Sends a report that may be lost, late or repeated.
    fn send(&mut self, to: usize, report: &rc::Rc<PeerReport>) {
        let copies = self.pick(&[0, 1, 1, 1, 1, 1, 1, 2]);
        for _ in 0..copies {
            let delay_ms = match self.rng.random_range(0..20) {
                0 => self.rng.random_range(0..6_000),
                1..5 => self.rng.random_range(0..300),
                _ => 0,
            };
            self.messages.push(Message {
                deliver_ms: self.now_ms + delay_ms,
                to,
                report: rc::Rc::clone(report),
            });
        }
    }

    /// Fetches a newer configuration from the daemon that has reported it, which may have another
    /// one by now.
    fn fetch_config(&mut self, index: usize) -> Result<(), String> {
        let random = self.rng.random();
        let daemon = &mut self.daemons[index];
        if !std::mem::take(&mut daemon.has_newer_config_reported) {
            return Ok(());
        }
        let newer = daemon
            .peers
            .newer_config_source(&daemon.config_version(), self.now_ms, random);
        let Some((address, version)) = newer else {
            return Ok(());
        };
        let source = (0..DAEMONS).find(|rank| Daemon::address(*rank) == address);
        let source = source.expect("a daemon");
        if let Some((_, document)) = self.daemons[source].config.clone() {
            self.log(format!(
                "daemon {index} fetches {document:?} from {source} as {version:?}"
            ));
            let number = self.daemons[index].config_version().number;
            self.daemons[index].apply_config(&document, version.stored);
            if self.daemons[index].config_version().number < number {
                return Err(format!("the configuration of daemon {index} goes back"));
            }
        }
        Ok(())
    }

    /// Checks what must hold at any time.
    fn check(&mut self) -> Result<(), String> {
        for index in 0..DAEMONS {
            let listed = self.daemons[index].listed(self.now_ms);
            let accepting = listed.iter().filter(|(_, target)| target.is_accepting);
            let accepting: BTreeMap<Incarnation, StoreVersion> = accepting
                .map(|(id, target)| ((id.clone(), target.record.born_ms), target.version))
                .collect();
            for (told, version) in &accepting {
                self.check_accepting(index, told, *version)?;
            }
            let targets = &self.targets;
            let is_ready = |told: &Incarnation| {
                let target = targets.get(&told.0);
                let run = target.filter(|target| target.record.born_ms == told.1);
                run.is_some_and(|target| !target.record.is_draining)
            };
            let daemon = &mut self.daemons[index];
            daemon.accepted.retain(is_ready);
            let is_cut_off = self.now_ms < daemon.cut_off_until_ms.saturating_add(NEWS_MS);
            if is_cut_off && !self.traits.expects_use_while_cut_off {
                daemon.accepted.retain(|told| accepting.contains_key(told));
            }
            let lost = daemon
                .accepted
                .iter()
                .find(|told| !accepting.contains_key(*told));
            if let Some(lost) = lost {
                return Err(format!(
                    "daemon {index} does not use {lost:?}, which is ready"
                ));
            }
            daemon
                .accepted
                .extend(accepting.into_keys().filter(is_ready));
        }
        Ok(())
    }

    fn check_accepting(
        &mut self,
        index: usize,
        told: &Incarnation,
        version: StoreVersion,
    ) -> Result<(), String> {
        let daemon = &self.daemons[index];
        let is_spared = !self.traits.expects_drained_memory && daemon.gone.contains_key(told);
        if daemon.drained.contains(told) && !is_spared {
            return Err(format!("daemon {index} uses {told:?}, which drains"));
        }
        let gone_era = daemon.gone.get(told).copied();
        let Some(gone_era) = gone_era.filter(|gone_era| *gone_era < version.era) else {
            return Ok(());
        };
        let row = self.store.rows.targets.get(&told.0);
        let row = row.filter(|row| (self.store.era, row.number) == parts(version));
        if row.is_some_and(|row| row.written_era == self.store.era) {
            self.daemons[index].gone.remove(told);
            return Ok(());
        }
        let is_copied = row.is_some_and(|row| row.body.born_ms == told.1);
        let due_ms = self.return_ms[&(gone_era + 1)] + SILENCE_MS;
        if is_copied && self.now_ms < due_ms {
            return Err(format!(
                "daemon {index} uses {told:?}, which left in era {gone_era}"
            ));
        }
        Ok(())
    }

    /// Waits until nothing is left to be written again and to be learned, and checks everything.
    fn settle(&mut self) -> Result<(), String> {
        let cut_off = self
            .rng
            .random_bool(0.3)
            .then(|| self.rng.random_range(0..DAEMONS));
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.cut_off_until_ms = match cut_off == Some(index) {
                true => u64::MAX,
                false => 0,
            };
        }
        self.log(format!("settles, cut off: {cut_off:?}"));
        // Targets write again, a daemon reads the store later, and what is open settles.
        let settling_ms = 2 * (REWRITE_MS + SILENCE_MS + NEWS_MS);
        for _ in 0..settling_ms / SETTLING_STEP_MS {
            self.pass(SETTLING_STEP_MS)?;
        }
        let rows = self.store.rows.targets.iter();
        let stored: Vec<_> = rows
            .map(|(id, row)| (id.clone(), row.body.clone()))
            .collect();
        for (index, daemon) in self.daemons.iter().enumerate() {
            let listed = daemon.listed(self.now_ms).into_iter();
            let listed: Vec<_> = listed.map(|(id, target)| (id, target.record)).collect();
            if listed != stored && cut_off != Some(index) {
                return Err(format!("daemon {index} lists {listed:?}, not {stored:?}"));
            }
            let document = daemon.config.as_ref().map(|(_, document)| document);
            if document != Some(&self.newest) {
                let newest = &self.newest;
                return Err(format!("daemon {index} uses {document:?}, not {newest:?}"));
            }
        }
        Ok(())
    }
}

fn run_seed(seed: u64, traits: WorldTraits) -> Result<(), String> {
    let mut world = World::new(seed, traits);
    let result = run_rounds(&mut world);
    result.map_err(|violation| {
        let start = world.events.len().saturating_sub(SHOWN_EVENTS);
        let events = world.events[start..].join("\n");
        format!("seed {seed}, {} ms: {violation}\n{events}", world.now_ms)
    })
}

fn run_rounds(world: &mut World) -> Result<(), String> {
    for _ in 0..ROUNDS {
        for _ in 0..EVENTS {
            let numbers: Vec<u64> = world
                .daemons
                .iter()
                .map(|daemon| daemon.config_version().number)
                .collect();
            let boots: Vec<u64> = world.daemons.iter().map(|daemon| daemon.boot_id).collect();
            world.step()?;
            for (index, daemon) in world.daemons.iter().enumerate() {
                let is_lower = daemon.config_version().number < numbers[index];
                if daemon.boot_id == boots[index] && is_lower {
                    return Err(format!("the configuration of daemon {index} goes back"));
                }
            }
        }
        world.settle()?;
    }
    Ok(())
}

fn run_seeds(traits: WorldTraits) {
    let failures = (0..SEEDS).filter_map(|seed| run_seed(seed, traits).err());
    let failures: Vec<String> = failures.collect();
    for failure in &failures {
        println!("{}", failure.lines().next().unwrap_or_default());
    }
    assert!(
        failures.is_empty(),
        "{} of {SEEDS} seeds fail, {}",
        failures.len(),
        failures[0]
    );
}

/// Guards against a daemon whose list of targets or configuration does not become that of the
/// store, and against requests to targets that drain or have left, after returns of the store.
#[test]
fn daemons_agree_with_a_store_that_returns() {
    run_seeds(WorldTraits::MODERATE);
}

/// Guards against a daemon that takes the earlier run of a target, which a copy of the store holds,
/// for the present one.
#[test]
fn runs_of_targets_are_told_apart_after_returns() {
    run_seeds(WorldTraits {
        has_quick_restarts: true,
        ..WorldTraits::MODERATE
    });
}

/// Guards against a target that is in use, is lost by a return and writes its row again within the
/// allowed time, and that gets no requests for a moment at a daemon that reads the store.
#[test]
fn targets_that_write_again_in_time_stay_in_use() {
    run_seeds(WorldTraits {
        rewrite_limit_ms: REWRITE_MS,
        ..WorldTraits::MODERATE
    });
}

/// Guards against a daemon that is cut off from the store shortly after a return, and that sends
/// nothing more to targets that have written their rows again.
#[test]
fn targets_stay_in_use_at_daemons_that_are_cut_off() {
    run_seeds(WorldTraits {
        expects_use_while_cut_off: true,
        ..WorldTraits::MODERATE
    });
}

/// Guards against requests to a run that drained and left, and that a copy of the store lists again
/// for longer than the platform takes to remove it, or so that the daemon does not learn of it.
#[test]
fn runs_that_drained_and_left_get_no_requests() {
    run_seeds(WorldTraits {
        expects_drained_memory: true,
        ..WorldTraits::MODERATE
    });
}
