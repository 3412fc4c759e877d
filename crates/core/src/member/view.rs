//! A daemon's view of the others: newest entries, failure detection, choice of rumors.

use std::{collections, time};

use acaciabank_protocol::ids;
use rand::{Rng, RngExt};

use super::{
    EntryVersion, Heartbeat, LoadReport, MemberEntry, MemberState, daemon_hash, digest, short_boot,
};

/// Ticks in which a daemon forwards one record. With two peers a tick each daemon receives about
/// two copies; a second tick doubles the traffic, and probes find what a single one misses.
const FORWARD_TICKS: u8 = 1;

/// Members of another region that are remembered; callers and configuration cross regions by them.
const CONTACTS_IN_REGION: usize = 2;

/// Silence of a contact in another region is measured against limits that are this much longer: it
/// is asked in turn with the other contacts and not in every round.
const CONTACT_EXTRA_SILENCE: time::Duration = time::Duration::from_secs(60);

/// A dead daemon's last order is remembered for this many times `dead_after`, so that an old
/// entry that is still on its way does not bring it back.
const FORGET_FACTOR: u32 = 60;

/// Times of failure detection.
#[derive(Clone, Copy, Debug)]
pub struct MemberTimers {
    /// Time between two ticks.
    pub tick: time::Duration,
    /// Silence after which a daemon is suspect.
    pub suspect_after: time::Duration,
    /// Silence after which a daemon is dead.
    pub dead_after: time::Duration,
}

/// How lately a daemon was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Its entries advance.
    Alive,
    /// Silent for a while.
    Suspect,
    /// Silent for long, or left by its own word.
    Dead,
}

/// What the arrival of an entry did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Known already, or older than what is known.
    Ignored,
    /// Only a heartbeat or loads were new.
    Refreshed,
    /// The daemon is new, is back, or changed its state, addresses or configuration.
    Changed,
    /// The entry names this daemon with an order that this run has not issued.
    IdConflict,
}

/// What the arrival of a heartbeat did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatApplied {
    /// As for a full entry.
    Known(Applied),
    /// The run is not known; its full entry is needed.
    Unknown,
}

/// What a daemon sends in one tick, each with the time of its arrival.
#[derive(Clone, Debug, Default)]
pub struct Rumors {
    /// Entries of runs that are new here.
    pub entries: Vec<(MemberEntry, time::Instant)>,
    /// Heartbeats of the others.
    pub heartbeats: Vec<Heartbeat>,
    /// Reports of loads.
    pub reports: Vec<(LoadReport, time::Instant)>,
}

impl Rumors {
    /// Number of records.
    pub fn len(&self) -> usize {
        self.entries.len() + self.heartbeats.len() + self.reports.len()
    }

    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[derive(Clone, Debug)]
pub(super) struct KnownMember {
    pub(super) entry: MemberEntry,
    pub(super) advanced_at: time::Instant,
    forward_ticks: u8,
    /// Ticks in which the whole entry is forwarded in place of a heartbeat.
    entry_ticks: u8,
    pub(super) doubt: Doubt,
    /// Last heartbeat that was known when it was found silent. A late rumor up to this one is no
    /// sign of life.
    pub(super) silent_version: Option<EntryVersion>,
    /// Last answer to a probe, or begin of the watch.
    pub(super) answered_at: time::Instant,
    /// Last heartbeat that was named in a report of silence and followed by a sign of life.
    pub(super) refuted_version: Option<EntryVersion>,
    report: Option<KnownReport>,
}

/// What is known against a member of a large region since its last heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Doubt {
    /// Nothing.
    None,
    /// Another daemon finds it silent; it was asked and has not answered yet.
    Asked,
    /// It did not answer.
    Confirmed,
}

#[derive(Clone, Debug)]
struct KnownReport {
    report: LoadReport,
    received_at: time::Instant,
    forward_ticks: u8,
}

impl KnownMember {
    fn new(entry: MemberEntry, now: time::Instant) -> Self {
        Self {
            entry,
            advanced_at: now,
            forward_ticks: FORWARD_TICKS,
            entry_ticks: FORWARD_TICKS,
            doubt: Doubt::None,
            silent_version: None,
            refuted_version: None,
            answered_at: now,
            report: None,
        }
    }

    pub(super) fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            daemon: daemon_hash(&self.entry.daemon),
            boot: short_boot(self.entry.version.boot_id),
            sequence: digest::narrow(self.entry.version.sequence),
            state: self.entry.state,
            config_version: digest::narrow(self.entry.config_version),
        }
    }
}

/// The newest entry of every daemon.
#[derive(Clone, Debug)]
pub struct MemberTable {
    pub(super) own: KnownMember,
    pub(super) timers: MemberTimers,
    pub(super) others: collections::BTreeMap<ids::DaemonId, KnownMember>,
    names: collections::HashMap<u32, ids::DaemonId>,
    pub(super) watched: collections::BTreeSet<ids::DaemonId>,
    /// Additional silence granted in a large region to members that this daemon does not watch.
    pub(super) slack: time::Duration,
}

impl MemberTable {
    /// A table that knows only this daemon's own entry.
    pub fn new(own: MemberEntry, timers: MemberTimers, now: time::Instant) -> Self {
        Self {
            own: KnownMember::new(own, now),
            timers,
            others: collections::BTreeMap::new(),
            names: collections::HashMap::new(),
            watched: collections::BTreeSet::new(),
            slack: time::Duration::ZERO,
        }
    }

    /// This daemon's own entry.
    pub fn own(&self) -> &MemberEntry {
        &self.own.entry
    }

    /// Replaces this daemon's own entry under its next sequence number.
    pub fn publish(&mut self, entry: MemberEntry, now: time::Instant) {
        let version = EntryVersion {
            boot_id: self.own.entry.version.boot_id,
            sequence: self.own.entry.version.sequence + 1,
        };
        self.own.entry = MemberEntry { version, ..entry };
        self.own.advanced_at = now;
        self.own.forward_ticks = FORWARD_TICKS;
    }

    /// This daemon's heartbeat under a new sequence number, as the answer to a probe. It is not
    /// forwarded.
    pub fn answer_probe(&mut self, now: time::Instant) -> Heartbeat {
        self.own.entry.version.sequence += 1;
        self.own.advanced_at = now;
        self.own.heartbeat()
    }

    /// Sends the loads of this daemon's own entry with the next rumors. A partial report lists the
    /// targets in `changed` only.
    pub fn publish_loads(&mut self, changed: Option<&[u32]>, now: time::Instant) {
        let entry = &self.own.entry;
        let is_listed = |target: &u32| changed.is_none_or(|changed| changed.contains(target));
        let loads = entry.loads.iter().filter(|load| is_listed(&load.target));
        let report = LoadReport {
            daemon: daemon_hash(&entry.daemon),
            boot: short_boot(entry.version.boot_id),
            sequence: digest::narrow(entry.version.sequence),
            partial: changed.is_some(),
            loads: loads.copied().collect(),
            suspects: entry.suspects.clone(),
        };
        self.own.report = Some(KnownReport {
            report,
            received_at: now,
            forward_ticks: FORWARD_TICKS,
        });
    }

    /// Takes an entry that another daemon sent.
    pub fn apply(&mut self, entry: MemberEntry, now: time::Instant) -> Applied {
        if entry.daemon == self.own.entry.daemon {
            return match entry.version > self.own.entry.version {
                true => Applied::IdConflict,
                false => Applied::Ignored,
            };
        }
        if !self.is_local(&entry) && self.has_contacts_besides(&entry, now) {
            return Applied::Ignored;
        }
        let mut applied = Applied::Changed;
        let mut known = KnownMember::new(entry, now);
        if let Some(former) = self.others.remove(&known.entry.daemon) {
            if known.entry.version <= former.entry.version {
                self.others.insert(former.entry.daemon.clone(), former);
                return Applied::Ignored;
            }
            let alive = self.liveness_of(&former, now) == Liveness::Alive;
            if alive && !known.entry.differs_from(&former.entry) {
                applied = Applied::Refreshed;
            }
            if known.entry.version.boot_id == former.entry.version.boot_id {
                known.entry_ticks = former.entry_ticks;
                known.report = former.report;
                known.silent_version = former.silent_version;
                known.refuted_version = former.refuted_version;
            }
        }
        let name = known.entry.daemon.clone();
        self.names.insert(daemon_hash(&name), name.clone());
        self.others.insert(name, known);
        applied
    }

    /// Takes a heartbeat that another daemon forwarded.
    pub fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: time::Instant,
    ) -> HeartbeatApplied {
        self.take_heartbeat(heartbeat, now, true)
    }

    /// Takes the answer to a probe. It is forwarded only when it changes something: every watcher
    /// of a daemon asks it in every tick.
    pub fn apply_answer(&mut self, heartbeat: &Heartbeat, now: time::Instant) -> HeartbeatApplied {
        self.take_heartbeat(heartbeat, now, false)
    }

    fn take_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: time::Instant,
        is_rumor: bool,
    ) -> HeartbeatApplied {
        if heartbeat.daemon == daemon_hash(&self.own.entry.daemon) {
            return HeartbeatApplied::Known(Applied::Ignored);
        }
        let Some(known) = self.known_by_hash(heartbeat.daemon) else {
            return HeartbeatApplied::Unknown;
        };
        let is_silent = self.liveness_of(known, now) != Liveness::Alive;
        let Some(known) = self.known_by_hash_mut(heartbeat.daemon) else {
            return HeartbeatApplied::Unknown;
        };
        let version =
            digest::version_in_run(known.entry.version, heartbeat.boot, heartbeat.sequence);
        let Some(version) = version else {
            return HeartbeatApplied::Unknown;
        };
        if version <= known.entry.version {
            return HeartbeatApplied::Known(Applied::Ignored);
        }
        let entry = &mut known.entry;
        let config_version = heartbeat.config_version.into();
        let is_changed =
            is_silent || entry.state != heartbeat.state || entry.config_version != config_version;
        entry.version = version;
        entry.state = heartbeat.state;
        entry.config_version = config_version;
        if is_rumor || is_changed {
            known.forward_ticks = FORWARD_TICKS;
        }
        if known.silent_version.is_some_and(|silent| version <= silent) {
            return HeartbeatApplied::Known(Applied::Ignored);
        }
        if is_rumor && known.doubt != Doubt::None {
            // It may have been on its way for longer than the silence; the member must answer.
            return HeartbeatApplied::Known(Applied::Ignored);
        }
        known.advanced_at = now;
        if !is_rumor {
            known.answered_at = now;
        }
        known.doubt = Doubt::None;
        known.refuted_version = known.silent_version.take().or(known.refuted_version);
        HeartbeatApplied::Known(match is_changed {
            true => Applied::Changed,
            false => Applied::Refreshed,
        })
    }

    /// Takes a report of loads that another daemon sent; returns whether it is news.
    pub fn apply_report(&mut self, report: &LoadReport, now: time::Instant) -> bool {
        let Some(known) = self.known_by_hash_mut(report.daemon) else {
            return false;
        };
        let version = digest::version_in_run(known.entry.version, report.boot, report.sequence);
        let former = known.report.as_ref().map(|former| &former.report);
        let is_news = former
            .is_none_or(|former| former.boot != report.boot || former.sequence < report.sequence);
        if version.is_none() || !is_news {
            return false;
        }
        known.report = Some(KnownReport {
            report: report.clone(),
            received_at: now,
            forward_ticks: FORWARD_TICKS,
        });
        true
    }

    fn known_by_hash(&self, daemon: u32) -> Option<&KnownMember> {
        self.others.get(self.names.get(&daemon)?)
    }

    pub(super) fn known_by_hash_mut(&mut self, daemon: u32) -> Option<&mut KnownMember> {
        let name = self.names.get(&daemon)?;
        self.others.get_mut(name)
    }

    /// Name of another daemon by its short form.
    pub fn name_of(&self, daemon: u32) -> Option<&ids::DaemonId> {
        self.names.get(&daemon)
    }

    /// Whether a daemon is in this daemon's region.
    pub fn is_local(&self, entry: &MemberEntry) -> bool {
        entry.region == self.own.entry.region
    }

    /// Whether enough other living members of the entry's region are known.
    fn has_contacts_besides(&self, entry: &MemberEntry, now: time::Instant) -> bool {
        let others = self.others.values().filter(|known| {
            known.entry.region == entry.region
                && known.entry.daemon != entry.daemon
                && self.liveness_of(known, now) == Liveness::Alive
        });
        others.count() >= CONTACTS_IN_REGION
    }

    /// Whether a living member of the region is known.
    pub fn has_contact(&self, region: &ids::RegionId, now: time::Instant) -> bool {
        let mut others = self.others.values();
        others.any(|known| {
            known.entry.region == *region && self.liveness_of(known, now) == Liveness::Alive
        })
    }

    /// Contacts in other regions, the one that was heard of longest ago first.
    pub fn contacts(&self, now: time::Instant) -> Vec<ids::DaemonId> {
        let mut contacts: Vec<_> = self
            .others
            .values()
            .filter(|known| !self.is_local(&known.entry))
            .filter(|known| self.liveness_of(known, now) == Liveness::Alive)
            .collect();
        contacts.sort_by_key(|known| known.advanced_at);
        let names = contacts.into_iter().map(|known| known.entry.daemon.clone());
        names.collect()
    }

    /// Drops a contact in another region that does not answer, so that another takes its place.
    pub fn drop_contact(&mut self, daemon: &ids::DaemonId) {
        let own_region = self.own.entry.region.clone();
        self.others
            .retain(|name, known| name != daemon || known.entry.region == own_region);
    }

    /// How lately a daemon was heard of; `None` for an unknown one.
    pub fn liveness(&self, daemon: &ids::DaemonId, now: time::Instant) -> Option<Liveness> {
        let known = self.others.get(daemon)?;
        Some(self.liveness_of(known, now))
    }

    /// Newest entry of another daemon.
    pub fn entry(&self, daemon: &ids::DaemonId) -> Option<&MemberEntry> {
        self.others.get(daemon).map(|known| &known.entry)
    }

    /// Newest entries of the other daemons, by name, with the time of their arrival.
    pub fn others(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = (&MemberEntry, Liveness, time::Instant)> {
        self.others.values().map(move |known| {
            (
                &known.entry,
                self.liveness_of(known, now),
                known.advanced_at,
            )
        })
    }

    /// Entries that a starting daemon should get: its own and those of the region's daemons that
    /// are alive. A silent daemon's entry would look fresh to the receiver.
    pub fn alive_entries(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = (&MemberEntry, time::Instant)> {
        self.alive_members(now)
            .map(|known| (&known.entry, known.advanced_at))
    }

    /// Heartbeats of the same daemons.
    pub fn alive_heartbeats(&self, now: time::Instant) -> Vec<Heartbeat> {
        self.alive_members(now)
            .map(KnownMember::heartbeat)
            .collect()
    }

    fn alive_members(&self, now: time::Instant) -> impl Iterator<Item = &KnownMember> {
        let others = self
            .others
            .values()
            .filter(|known| self.is_local(&known.entry))
            .filter(move |known| self.liveness_of(known, now) == Liveness::Alive);
        std::iter::once(&self.own).chain(others)
    }

    /// Newest load reports of the same daemons, for a starting daemon.
    pub fn known_reports(&self, now: time::Instant) -> Vec<(LoadReport, time::Instant)> {
        let known = self
            .alive_members(now)
            .filter_map(|known| known.report.as_ref());
        known
            .map(|known| (known.report.clone(), known.received_at))
            .collect()
    }

    /// Full entries of the given short names, as far as they are known and alive.
    pub fn entries_of(
        &self,
        daemons: &[u32],
        now: time::Instant,
    ) -> Vec<(MemberEntry, time::Instant)> {
        let listed = self
            .alive_members(now)
            .filter(|known| daemons.contains(&daemon_hash(&known.entry.daemon)));
        listed.map(without_loads).collect()
    }

    /// Entries for a daemon of another region: its own, one of another ready member of the region
    /// and one of each further region.
    pub fn entries_for_region<R: Rng>(
        &self,
        generator: &mut R,
        now: time::Instant,
    ) -> Vec<(MemberEntry, time::Instant)> {
        let mut chosen = vec![&self.own];
        let own = &self.own.entry.daemon;
        let neighbours = self
            .alive_members(now)
            .filter(|known| known.entry.state == MemberState::Ready && known.entry.daemon != *own)
            .collect();
        chosen.extend(choose(generator, neighbours, 1));
        let mut regions = collections::BTreeSet::new();
        for known in self.others.values() {
            let is_alive = self.liveness_of(known, now) == Liveness::Alive;
            if !self.is_local(&known.entry) && is_alive && regions.insert(&known.entry.region) {
                chosen.push(known);
            }
        }
        chosen.into_iter().map(without_loads).collect()
    }

    /// Number of living members of the region, with this daemon.
    pub fn region_size(&self, now: time::Instant) -> usize {
        self.alive_members(now).count()
    }

    /// Records of the region to forward in this tick. Each is returned in one tick; the whole entry
    /// only when its run is new here.
    pub fn take_rumors(&mut self, now: time::Instant) -> Rumors {
        let dead_after = self.timers.dead_after;
        let region = self.own.entry.region.clone();
        let mut rumors = Rumors::default();
        let members = std::iter::once(&mut self.own)
            .chain(self.others.values_mut())
            .filter(|known| known.entry.region == region)
            .filter(|known| silence(known, now) < dead_after);
        for known in members {
            if known.entry_ticks > 0 {
                known.entry_ticks -= 1;
                known.forward_ticks = 0;
                rumors.entries.push(without_loads(known));
            } else if known.forward_ticks > 0 {
                known.forward_ticks -= 1;
                rumors.heartbeats.push(known.heartbeat());
            }
            if let Some(report) = &mut known.report
                && report.forward_ticks > 0
            {
                report.forward_ticks -= 1;
                rumors
                    .reports
                    .push((report.report.clone(), report.received_at));
            }
        }
        rumors
    }

    /// Up to `count` random other daemons of the region that are alive.
    pub fn choose_alive<R: Rng>(
        &self,
        generator: &mut R,
        now: time::Instant,
        count: usize,
    ) -> Vec<ids::DaemonId> {
        let own = &self.own.entry.daemon;
        let alive = self
            .alive_members(now)
            .map(|known| &known.entry.daemon)
            .filter(|daemon| *daemon != own)
            .cloned()
            .collect();
        choose(generator, alive, count)
    }

    /// Forgets daemons that have been dead for long.
    pub fn remove_expired(&mut self, now: time::Instant) {
        let limit = self.timers.dead_after * FORGET_FACTOR;
        self.others.retain(|_, known| silence(known, now) < limit);
        let others = &self.others;
        self.names.retain(|_, name| others.contains_key(name));
    }

    /// Extends every silence limit by a time in which this process did not run. Without it a
    /// daemon that resumes after a pause would take all others for dead.
    pub fn compensate_pause(&mut self, pause: time::Duration, now: time::Instant) {
        for known in self.others.values_mut() {
            known.advanced_at = now.min(known.advanced_at + pause);
            known.answered_at = now.min(known.answered_at + pause);
        }
    }

    pub(super) fn liveness_of(&self, known: &KnownMember, now: time::Instant) -> Liveness {
        let mut silence = silence(known, now);
        if !self.is_local(&known.entry) {
            silence = silence.saturating_sub(CONTACT_EXTRA_SILENCE);
        } else if known.doubt == Doubt::Confirmed {
            // Its heartbeat may have arrived here later than at the daemon that reported it.
            silence = silence.max(self.timers.suspect_after);
        } else if self.watched.contains(&known.entry.daemon) {
            silence = watched_silence(known, now);
        } else {
            silence = silence.saturating_sub(self.slack);
        }
        if known.entry.state == MemberState::Left || silence >= self.timers.dead_after {
            Liveness::Dead
        } else if silence >= self.timers.suspect_after {
            Liveness::Suspect
        } else {
            Liveness::Alive
        }
    }
}

fn without_loads(known: &KnownMember) -> (MemberEntry, time::Instant) {
    let entry = MemberEntry {
        loads: Vec::new(),
        suspects: Vec::new(),
        ..known.entry.clone()
    };
    (entry, known.advanced_at)
}

/// Silence of a watched member. Only its answers count: a rumor may arrive seconds after its daemon
/// has failed.
pub(super) fn watched_silence(known: &KnownMember, now: time::Instant) -> time::Duration {
    now.saturating_duration_since(known.answered_at)
}

pub(super) fn silence(known: &KnownMember, now: time::Instant) -> time::Duration {
    now.saturating_duration_since(known.advanced_at)
}

/// Up to `count` random items.
pub(super) fn choose<R: Rng, T>(generator: &mut R, mut items: Vec<T>, count: usize) -> Vec<T> {
    let count = count.min(items.len());
    for index in 0..count {
        let other = generator.random_range(index..items.len());
        items.swap(index, other);
    }
    items.truncate(count);
    items
}
