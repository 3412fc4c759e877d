//! Failure detection: watchers, suspicions and probes.

use std::{collections, time};

use acaciabank_protocol::ids;
use rand::Rng;

use super::{
    Heartbeat, Liveness, MemberState, MemberTable, daemon_hash, digest,
    view::{Doubt, choose, silence, watched_silence},
};

/// Members of a region for which every daemon can afford to publish a heartbeat in every tick. In a
/// larger region the time between two heartbeats grows with the number of members, so that the
/// traffic of a daemon stays about constant, and watchers detect failures.
const MEMBERS_A_TICK: usize = 16;

/// Daemons that each daemon watches by probes in a large region. A daemon is found silent within
/// the normal limits unless all its watchers fail with it.
const WATCHED: usize = 3;

impl MemberTable {
    /// Ticks between two heartbeats of this daemon.
    pub fn refresh_ticks(&self, now: time::Instant) -> u32 {
        let ticks = self.region_size(now).div_ceil(MEMBERS_A_TICK);
        u32::try_from(ticks).unwrap_or(u32::MAX)
    }

    /// Chooses the daemons to watch: the next ones in the order of the short names. Those that are
    /// suspect stay watched and more are added, so that a run of failed daemons is found.
    pub fn choose_watched(&mut self, now: time::Instant) {
        let former = std::mem::take(&mut self.watched);
        let ticks = self.refresh_ticks(now);
        self.slack = match ticks {
            0 | 1 => time::Duration::ZERO,
            // A lost heartbeat is no reason for a probe by every other member.
            _ => self.timers.tick * ticks * 2,
        };
        if self.slack.is_zero() {
            return;
        }
        let own_hash = daemon_hash(&self.own.entry.daemon);
        let local = self
            .others
            .values()
            .filter(|known| self.is_local(&known.entry));
        let mut ring: Vec<_> = local
            .map(|known| {
                let hash = daemon_hash(&known.entry.daemon);
                (hash.wrapping_sub(own_hash), known)
            })
            .collect();
        ring.sort_by_key(|(distance, _)| *distance);
        let mut alive = 0;
        let mut chosen = collections::BTreeSet::new();
        for (_, known) in ring {
            if alive == WATCHED {
                break;
            }
            match self.liveness_of(known, now) {
                Liveness::Alive => alive += 1,
                Liveness::Suspect => {}
                Liveness::Dead => continue,
            }
            chosen.insert(known.entry.daemon.clone());
        }
        for name in chosen.difference(&former) {
            if let Some(known) = self.others.get_mut(name) {
                known.answered_at = now;
            }
        }
        self.watched = chosen;
    }

    /// Watched daemons that have become silent since the last call, by their last heartbeat.
    pub fn take_suspicions(&mut self, now: time::Instant) -> Vec<Heartbeat> {
        let timers = self.timers;
        let watched = &self.watched;
        let newly_silent = self
            .others
            .values_mut()
            .filter(|known| watched.contains(&known.entry.daemon))
            .filter(|known| known.doubt != Doubt::Confirmed)
            .filter(|known| known.entry.state != MemberState::Left)
            .filter(|known| watched_silence(known, now) >= timers.suspect_after);
        newly_silent
            .map(|known| {
                known.doubt = Doubt::Confirmed;
                known.silent_version = Some(known.entry.version);
                known.heartbeat()
            })
            .collect()
    }

    /// Takes the word of another daemon that a member is silent since the given heartbeat; returns
    /// whether it is news. Then the member must be asked before it counts as silent here.
    pub fn apply_suspicion(&mut self, heartbeat: &Heartbeat) -> bool {
        if self.slack.is_zero() {
            return false;
        }
        let Some(known) = self.known_by_hash_mut(heartbeat.daemon) else {
            return false;
        };
        let version =
            digest::version_in_run(known.entry.version, heartbeat.boot, heartbeat.sequence);
        let Some(version) = version else {
            return false;
        };
        // Copies of a refuted report must not circulate. A heartbeat that arrived here later than at
        // the reporter refutes nothing: it may have been on its way when its daemon failed.
        let is_refuted = known
            .refuted_version
            .is_some_and(|refuted| version <= refuted);
        if known.doubt != Doubt::None || is_refuted {
            return false;
        }
        known.doubt = Doubt::Asked;
        known.silent_version = Some(version.max(known.entry.version));
        true
    }

    /// Notes that a daemon did not answer a probe.
    pub fn record_probe_failure(&mut self, daemon: &ids::DaemonId) {
        if let Some(known) = self.others.get_mut(daemon)
            && known.doubt != Doubt::None
        {
            known.doubt = Doubt::Confirmed;
            known.silent_version = Some(known.entry.version);
        }
    }

    /// Daemons to ask directly for their heartbeat: all that are about to become suspect, and one
    /// random daemon that is silent already, so that the halves of a healed partition meet again.
    ///
    /// Rumors alone do not suffice: in a simulation of 68 daemons, 2.9% of the checks found a
    /// living daemon suspect, because the delay of an entry varies by more than `suspect_after`.
    pub fn choose_probes<R: Rng>(
        &self,
        generator: &mut R,
        now: time::Instant,
    ) -> Vec<ids::DaemonId> {
        let limit = self.timers.suspect_after * 2 / 3;
        let watch_limit = self.timers.suspect_after / 3;
        let mut late = Vec::new();
        let mut silent = Vec::new();
        for (name, known) in &self.others {
            if !self.is_local(&known.entry) {
                continue;
            }
            let is_watched = self.watched.contains(name);
            let age = match is_watched {
                true => watched_silence(known, now),
                false => silence(known, now).saturating_sub(self.slack),
            };
            let is_late = match is_watched {
                true => age >= watch_limit,
                false => age >= limit,
            };
            let is_heard_again =
                known.doubt == Doubt::Confirmed && known.silent_version < Some(known.entry.version);
            match self.liveness_of(known, now) {
                _ if is_heard_again => late.push(name.clone()),
                Liveness::Alive if is_late => late.push(name.clone()),
                Liveness::Alive => {}
                _ if known.entry.state == MemberState::Left => {}
                _ => silent.push(name.clone()),
            }
        }
        late.extend(choose(generator, silent, 1));
        late
    }
}
