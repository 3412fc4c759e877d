//! Table of the newest entries of all members, their liveness and the records to gossip.

use std::{collections, time};

use acaciabank_protocol::ids;
use rand::{Rng, RngExt};

use super::{
    EntryVersion, Heartbeat, LoadReport, MemberEntry, MemberState, daemon_hash, digest,
    short_boot_id,
};
use crate::suspect;

/// Number of ticks in which a daemon forwards a record. With two peers per tick each daemon
/// receives about two copies; a second tick would double the traffic, and probes make up for
/// records that a single tick misses.
const FORWARD_TICKS: u8 = 1;

/// Number of members kept of each other region. Callers and configuration cross regions through
/// these contacts.
const MAX_REGION_CONTACTS: usize = 2;

/// Extends the silence limits of contacts in other regions, which are contacted in turn and not in
/// every round.
const CONTACT_GRACE: time::Duration = time::Duration::from_secs(60);

/// The entry of a dead daemon is kept for this many times `dead_after`, so that an old entry that
/// arrives late does not restore it.
const EXPIRY_FACTOR: u32 = 60;

/// Timing of gossip and failure detection.
#[derive(Clone, Copy, Debug)]
pub struct MemberTimers {
    /// Time between two ticks.
    pub tick: time::Duration,
    /// Silence after which a daemon is suspect.
    pub suspect_after: time::Duration,
    /// Silence after which a daemon is dead.
    pub dead_after: time::Duration,
}

/// Whether a daemon is considered to be running, by the time since its last heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Its heartbeat advances.
    Alive,
    /// Silent for at least [`MemberTimers::suspect_after`].
    Suspect,
    /// Silent for at least [`MemberTimers::dead_after`], or has announced that it leaves.
    Dead,
}

/// Effect of a received entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The entry is known already, is older than the known one or is not kept.
    Ignored,
    /// Only the heartbeat or the loads were new.
    Refreshed,
    /// The daemon is new, is alive again, or has changed its run, state, location, addresses or
    /// configuration.
    Changed,
    /// The entry has this daemon's name and a version that this run has not issued.
    IdConflict,
}

/// Effect of a received heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatApplied {
    /// The run is known; the effect is the same as for a full entry.
    Known(Applied),
    /// The run is not known, so its full entry must be fetched.
    Unknown,
}

/// Records that a daemon gossips in one tick. Entries and reports carry the time of their arrival.
#[derive(Clone, Debug, Default)]
pub struct Rumors {
    /// Full entries of runs that are new to this daemon.
    pub entries: Vec<(MemberEntry, time::Instant)>,
    /// Heartbeats of known runs.
    pub heartbeats: Vec<Heartbeat>,
    /// Load reports that are new to this daemon.
    pub reports: Vec<(LoadReport, time::Instant)>,
}

impl Rumors {
    /// Number of records to send.
    pub fn len(&self) -> usize {
        self.entries.len() + self.heartbeats.len() + self.reports.len()
    }

    /// Whether there are no records to send.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Newest entry of a member, and the state of failure detection for it.
#[derive(Clone, Debug)]
pub(super) struct KnownMember {
    pub(super) entry: MemberEntry,
    /// Time at which the heartbeat last advanced.
    pub(super) advanced_at: time::Instant,
    /// Remaining ticks in which the heartbeat is forwarded.
    forward_ticks: u8,
    /// Remaining ticks in which the full entry is forwarded in place of the heartbeat.
    entry_ticks: u8,
    pub(super) suspicion: SuspicionState,
    /// Newest version that was known when the member was found silent. Gossip up to this version
    /// that arrives late does not show that the member is alive.
    pub(super) silent_version: Option<EntryVersion>,
    /// Time of the last response to a probe, or of the start of watching.
    pub(super) responded_at: time::Instant,
    /// Newest version of a suspicion that a later heartbeat has refuted.
    pub(super) refuted_version: Option<EntryVersion>,
    report: Option<KnownReport>,
}

/// Suspicion against a member of a large region since its last heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SuspicionState {
    /// The member is not suspected.
    None,
    /// Another daemon has found the member silent, and the response to this daemon's probe
    /// is pending.
    Probing,
    /// The member did not respond to this daemon's probes.
    Confirmed,
}

/// Newest load report of a member.
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
            suspicion: SuspicionState::None,
            silent_version: None,
            refuted_version: None,
            responded_at: now,
            report: None,
        }
    }

    pub(super) fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            daemon_hash: daemon_hash(&self.entry.daemon),
            short_boot_id: short_boot_id(self.entry.version.boot_id),
            sequence: digest::saturating_u32(self.entry.version.sequence),
            state: self.entry.state,
            config_version: digest::saturating_u32(self.entry.config_version),
        }
    }
}

/// Newest known entries of this daemon and of all other members.
#[derive(Clone, Debug)]
pub struct MemberTable {
    pub(super) own: KnownMember,
    pub(super) timers: MemberTimers,
    pub(super) others: collections::BTreeMap<ids::DaemonId, KnownMember>,
    names_by_hash: collections::HashMap<u32, ids::DaemonId>,
    pub(super) watched: collections::BTreeSet<ids::DaemonId>,
    /// Extends the silence limits of members that this daemon does not watch; zero in a small
    /// region, in which no daemon is watched.
    pub(super) unwatched_grace: time::Duration,
}

impl MemberTable {
    /// Creates a table that contains only this daemon's own entry.
    pub fn new(own: MemberEntry, timers: MemberTimers, now: time::Instant) -> Self {
        Self {
            own: KnownMember::new(own, now),
            timers,
            others: collections::BTreeMap::new(),
            names_by_hash: collections::HashMap::new(),
            watched: collections::BTreeSet::new(),
            unwatched_grace: time::Duration::ZERO,
        }
    }

    /// This daemon's own entry.
    pub fn own(&self) -> &MemberEntry {
        &self.own.entry
    }

    /// Replaces this daemon's own entry and increments its sequence number.
    pub fn publish(&mut self, entry: MemberEntry, now: time::Instant) {
        let version = EntryVersion {
            boot_id: self.own.entry.version.boot_id,
            sequence: self.own.entry.version.sequence + 1,
        };
        self.own.entry = MemberEntry { version, ..entry };
        self.own.advanced_at = now;
        self.own.forward_ticks = FORWARD_TICKS;
    }

    /// Gives this daemon's run another id, which must be higher than the last one, and gossips its
    /// full entry again.
    pub fn raise_boot_id(&mut self, boot_id: u64) {
        self.own.entry.version = EntryVersion {
            boot_id,
            sequence: 0,
        };
        self.own.forward_ticks = FORWARD_TICKS;
        self.own.entry_ticks = FORWARD_TICKS;
        self.own.report = None;
    }

    /// Increments this daemon's sequence number and returns its heartbeat as the response to a
    /// probe, without gossiping it.
    pub fn respond_to_probe(&mut self, now: time::Instant) -> Heartbeat {
        self.own.entry.version.sequence += 1;
        self.own.advanced_at = now;
        self.own.heartbeat()
    }

    /// Schedules the loads of this daemon's own entry for the next gossip. If `changed` is given,
    /// the report is partial and lists only the targets with these hashes.
    pub fn publish_loads(&mut self, changed: Option<&[u32]>, now: time::Instant) {
        let entry = &self.own.entry;
        let is_listed =
            |target_hash: &u32| changed.is_none_or(|changed| changed.contains(target_hash));
        let loads = entry
            .loads
            .iter()
            .filter(|load| is_listed(&load.target_hash));
        let report = LoadReport {
            daemon_hash: daemon_hash(&entry.daemon),
            short_boot_id: short_boot_id(entry.version.boot_id),
            sequence: digest::saturating_u32(entry.version.sequence),
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

    /// Applies an entry that another daemon sent.
    pub fn apply(&mut self, entry: MemberEntry, now: time::Instant) -> Applied {
        if entry.daemon == self.own.entry.daemon {
            return match entry.version > self.own.entry.version {
                true => Applied::IdConflict,
                false => Applied::Ignored,
            };
        }
        if !self.is_local(&entry) && self.has_other_contacts(&entry, now) {
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
        self.names_by_hash.insert(daemon_hash(&name), name.clone());
        self.others.insert(name, known);
        applied
    }

    /// Applies a heartbeat that another daemon forwarded.
    pub fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: time::Instant,
    ) -> HeartbeatApplied {
        self.update_heartbeat(heartbeat, now, true)
    }

    /// Applies the response to a probe. It is only forwarded if it changes something, because every
    /// watcher probes the daemon in every tick.
    pub fn apply_probe_response(
        &mut self,
        heartbeat: &Heartbeat,
        now: time::Instant,
    ) -> HeartbeatApplied {
        self.update_heartbeat(heartbeat, now, false)
    }

    fn update_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: time::Instant,
        is_forwarded: bool,
    ) -> HeartbeatApplied {
        if heartbeat.daemon_hash == daemon_hash(&self.own.entry.daemon) {
            return HeartbeatApplied::Known(Applied::Ignored);
        }
        let Some(known) = self.known_by_hash(heartbeat.daemon_hash) else {
            return HeartbeatApplied::Unknown;
        };
        let is_silent = self.liveness_of(known, now) != Liveness::Alive;
        let Some(known) = self.known_by_hash_mut(heartbeat.daemon_hash) else {
            return HeartbeatApplied::Unknown;
        };
        let version = digest::version_in_run(
            known.entry.version,
            heartbeat.short_boot_id,
            heartbeat.sequence,
        );
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
        if is_forwarded || is_changed {
            known.forward_ticks = FORWARD_TICKS;
        }
        if known.silent_version.is_some_and(|silent| version <= silent) {
            return HeartbeatApplied::Known(Applied::Ignored);
        }
        if is_forwarded && known.suspicion != SuspicionState::None {
            // It may have been in transit for longer than the silence, so only the response to
            // a probe clears the suspicion.
            return HeartbeatApplied::Known(Applied::Ignored);
        }
        known.advanced_at = now;
        if !is_forwarded {
            known.responded_at = now;
        }
        known.suspicion = SuspicionState::None;
        known.refuted_version = known.silent_version.take().or(known.refuted_version);
        HeartbeatApplied::Known(match is_changed {
            true => Applied::Changed,
            false => Applied::Refreshed,
        })
    }

    /// Applies a load report that another daemon sent; returns whether it is new.
    pub fn apply_report(&mut self, report: &LoadReport, now: time::Instant) -> bool {
        let Some(known) = self.known_by_hash_mut(report.daemon_hash) else {
            return false;
        };
        let version =
            digest::version_in_run(known.entry.version, report.short_boot_id, report.sequence);
        let former = known.report.as_ref().map(|former| &former.report);
        let is_new = former.is_none_or(|former| {
            former.short_boot_id != report.short_boot_id || former.sequence < report.sequence
        });
        if version.is_none() || !is_new {
            return false;
        }
        known.report = Some(KnownReport {
            report: report.clone(),
            received_at: now,
            forward_ticks: FORWARD_TICKS,
        });
        true
    }

    fn known_by_hash(&self, daemon_hash: u32) -> Option<&KnownMember> {
        self.others.get(self.names_by_hash.get(&daemon_hash)?)
    }

    pub(super) fn known_by_hash_mut(&mut self, daemon_hash: u32) -> Option<&mut KnownMember> {
        let name = self.names_by_hash.get(&daemon_hash)?;
        self.others.get_mut(name)
    }

    /// Returns the name of the daemon with the given hash.
    pub fn name_of(&self, daemon_hash: u32) -> Option<&ids::DaemonId> {
        self.names_by_hash.get(&daemon_hash)
    }

    /// Whether the entry belongs to a member of this daemon's region.
    pub fn is_local(&self, entry: &MemberEntry) -> bool {
        entry.region == self.own.entry.region
    }

    /// Whether the maximum number of contacts in the entry's region is known and alive, not
    /// counting the entry's daemon itself.
    fn has_other_contacts(&self, entry: &MemberEntry, now: time::Instant) -> bool {
        let others = self.others.values().filter(|known| {
            known.entry.region == entry.region
                && known.entry.daemon != entry.daemon
                && self.liveness_of(known, now) == Liveness::Alive
        });
        others.count() >= MAX_REGION_CONTACTS
    }

    /// Whether a member of the region is known and alive.
    pub fn has_contact(&self, region: &ids::RegionId, now: time::Instant) -> bool {
        let mut others = self.others.values();
        others.any(|known| {
            known.entry.region == *region && self.liveness_of(known, now) == Liveness::Alive
        })
    }

    /// Returns the contacts in other regions, the one with the oldest heartbeat first.
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

    /// Removes a contact in another region that does not respond, so that another one can
    /// replace it.
    pub fn drop_contact(&mut self, daemon: &ids::DaemonId) {
        let own_region = self.own.entry.region.clone();
        self.others
            .retain(|name, known| name != daemon || known.entry.region == own_region);
    }

    /// Returns the liveness of a daemon, or `None` if it is unknown.
    pub fn liveness(&self, daemon: &ids::DaemonId, now: time::Instant) -> Option<Liveness> {
        let known = self.others.get(daemon)?;
        Some(self.liveness_of(known, now))
    }

    /// Returns the newest entry of another daemon.
    pub fn entry(&self, daemon: &ids::DaemonId) -> Option<&MemberEntry> {
        self.others.get(daemon).map(|known| &known.entry)
    }

    /// Returns the newest entries of the other daemons in the order of their names, with their
    /// liveness and the time of the last heartbeat.
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

    /// Returns the entries for a starting daemon, with the time of the last heartbeat: those of
    /// this daemon and of the members of the region that are alive. The entry of a silent daemon
    /// would look new to the receiver.
    pub fn alive_entries(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = (&MemberEntry, time::Instant)> {
        self.alive_members(now)
            .map(|known| (&known.entry, known.advanced_at))
    }

    /// Returns the heartbeats of the daemons in [`Self::alive_entries`].
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

    /// Returns the newest load reports of the daemons in [`Self::alive_entries`] with the time of
    /// their arrival, for a starting daemon.
    pub fn known_reports(&self, now: time::Instant) -> Vec<(LoadReport, time::Instant)> {
        let reports = self
            .alive_members(now)
            .filter_map(|known| known.report.as_ref());
        reports
            .map(|known| (known.report.clone(), known.received_at))
            .collect()
    }

    /// Returns the entries of the daemons with the given hashes, without loads, if they are known
    /// and alive.
    pub fn entries_of(
        &self,
        daemon_hashes: &[u32],
        now: time::Instant,
    ) -> Vec<(MemberEntry, time::Instant)> {
        let listed = self
            .alive_members(now)
            .filter(|known| daemon_hashes.contains(&daemon_hash(&known.entry.daemon)));
        listed.map(entry_without_loads).collect()
    }

    /// Returns the entries to send to a daemon of another region: those of this daemon, of another
    /// ready member of this region and of one contact in each other region.
    pub fn entries_for_region<R: Rng>(
        &self,
        rng: &mut R,
        now: time::Instant,
    ) -> Vec<(MemberEntry, time::Instant)> {
        let mut chosen = vec![&self.own];
        let own = &self.own.entry.daemon;
        let ready_members = self
            .alive_members(now)
            .filter(|known| known.entry.state == MemberState::Ready && known.entry.daemon != *own)
            .collect();
        chosen.extend(sample(rng, ready_members, 1));
        let mut regions = collections::BTreeSet::new();
        for known in self.others.values() {
            let is_alive = self.liveness_of(known, now) == Liveness::Alive;
            if !self.is_local(&known.entry) && is_alive && regions.insert(&known.entry.region) {
                chosen.push(known);
            }
        }
        chosen.into_iter().map(entry_without_loads).collect()
    }

    /// Number of members of the region that are alive, including this daemon.
    pub fn region_size(&self, now: time::Instant) -> usize {
        self.alive_members(now).count()
    }

    /// Returns the records of the region to forward in this tick. A record is returned in
    /// `FORWARD_TICKS` ticks; the full entry is sent in place of the heartbeat if its run is new.
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
                rumors.entries.push(entry_without_loads(known));
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

    /// Chooses up to `count` random other daemons of the region that are alive.
    pub fn choose_alive<R: Rng>(
        &self,
        rng: &mut R,
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
        sample(rng, alive, count)
    }

    /// Removes daemons that have been silent for `EXPIRY_FACTOR` times `dead_after`.
    pub fn remove_expired(&mut self, now: time::Instant) {
        let limit = self.timers.dead_after * EXPIRY_FACTOR;
        self.others.retain(|_, known| silence(known, now) < limit);
        let others = &self.others;
        self.names_by_hash
            .retain(|_, name| others.contains_key(name));
    }

    /// Extends every silence limit by a pause in which this process did not run. Otherwise a daemon
    /// that resumes after a pause would consider all others dead.
    pub fn compensate_pause(&mut self, pause: time::Duration, now: time::Instant) {
        for known in self.others.values_mut() {
            known.advanced_at = now.min(known.advanced_at + pause);
            known.responded_at = now.min(known.responded_at + pause);
        }
    }

    pub(super) fn liveness_of(&self, known: &KnownMember, now: time::Instant) -> Liveness {
        let mut silence = silence(known, now);
        if !self.is_local(&known.entry) {
            silence = silence.saturating_sub(CONTACT_GRACE);
        } else if known.suspicion == SuspicionState::Confirmed {
            // Its heartbeat may have arrived here later than at the daemon that suspects it.
            silence = silence.max(self.timers.suspect_after);
        } else if self.watched.contains(&known.entry.daemon) {
            silence = watched_silence(known, now);
        } else {
            silence = silence.saturating_sub(self.unwatched_grace);
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

fn entry_without_loads(known: &KnownMember) -> (MemberEntry, time::Instant) {
    let entry = MemberEntry {
        loads: Vec::new(),
        suspects: suspect::SuspectReport::default(),
        ..known.entry.clone()
    };
    (entry, known.advanced_at)
}

/// Time since a watched member last responded to a probe. Forwarded heartbeats don't count, because
/// they can arrive seconds after the daemon has failed.
pub(super) fn watched_silence(known: &KnownMember, now: time::Instant) -> time::Duration {
    now.saturating_duration_since(known.responded_at)
}

/// Time since a member's heartbeat last advanced.
pub(super) fn silence(known: &KnownMember, now: time::Instant) -> time::Duration {
    now.saturating_duration_since(known.advanced_at)
}

/// Returns up to `count` random items.
pub(super) fn sample<R: Rng, T>(rng: &mut R, mut items: Vec<T>, count: usize) -> Vec<T> {
    let count = count.min(items.len());
    for index in 0..count {
        let other = rng.random_range(index..items.len());
        items.swap(index, other);
    }
    items.truncate(count);
    items
}
