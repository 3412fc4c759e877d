//! Sends and processes rumors, pulls, probes and suspicions.

use std::{cell, rc::Rc, time};

use acaciabank_core::member::{Applied, Heartbeat, HeartbeatApplied, MemberEntry, daemon_hash};
use tokio::task::{JoinHandle, spawn_local};

use super::{
    client::{self, GossipMessage, ReceivedEntries},
    digest::Digest,
    link::PeerLink,
    loads,
    node::{ANNOUNCE_FANOUT, PeerNode, RUMOR_FANOUT, own_entry},
};

impl PeerNode {
    /// Applies entries and a digest of another daemon. `sender_hash` is the hash of its name, or 0
    /// if unknown.
    pub(super) fn apply(
        self: &Rc<Self>,
        entries: Vec<MemberEntry>,
        digest: &Digest,
        sender_hash: u32,
    ) {
        let now = time::Instant::now();
        let mut changed = self.apply_entries(entries, sender_hash, now);
        let mut unknown_hashes = Vec::new();
        for heartbeat in &digest.heartbeats {
            let applied = self.table.borrow_mut().apply_heartbeat(heartbeat, now);
            match applied {
                HeartbeatApplied::Unknown => unknown_hashes.push(heartbeat.daemon_hash),
                HeartbeatApplied::Known(applied) => changed |= applied == Applied::Changed,
            }
        }
        for (report, _) in &digest.reports {
            if self.table.borrow_mut().apply_report(report, now) {
                loads::apply_loads(&self.state, &report.loads);
                self.state.targets.merge_suspects(&report.suspects);
            }
        }
        self.apply_suspicions(&digest.suspicions, now);
        if changed {
            self.publish_members();
        }
        self.fetch_unknown(unknown_hashes, sender_hash);
        self.fetch_newer_config();
    }

    /// Returns whether any entry changed the table.
    fn apply_entries(
        self: &Rc<Self>,
        entries: Vec<MemberEntry>,
        sender_hash: u32,
        now: time::Instant,
    ) -> bool {
        let mut changed = false;
        for entry in entries {
            // Crashes count also if a heartbeat or a load report has overtaken the entry.
            self.state.targets.merge_suspects(&entry.suspects);
            let applied = self.table.borrow_mut().apply(entry.clone(), now);
            match applied {
                Applied::Ignored => {
                    if daemon_hash(&entry.daemon) == sender_hash {
                        self.report_newer_run(&entry, now);
                    }
                    continue;
                }
                Applied::IdConflict => self.handle_id_conflict(&entry),
                Applied::Refreshed => {}
                Applied::Changed => changed = true,
            }
            loads::apply_loads(&self.state, &entry.loads);
        }
        changed
    }

    /// Tells a daemon whose own entry was ignored that a run with a higher id is known.
    fn report_newer_run(&self, ignored: &MemberEntry, now: time::Instant) {
        let known = self.table.borrow().entry(&ignored.daemon).cloned();
        let Some(known) = known else {
            return;
        };
        if known.version.boot_id <= ignored.version.boot_id {
            return;
        }
        let settings = &self.state.settings;
        let link = PeerLink::new(ignored.daemon.clone(), ignored.peer_address, settings);
        let message = self.message(vec![(known, now)], &Digest::default(), now);
        spawn_local(async move { client::gossip(&link, &message).await });
    }

    /// Probes the suspected daemons, and passes new suspicions on.
    fn apply_suspicions(self: &Rc<Self>, suspicions: &[Heartbeat], now: time::Instant) {
        let mut new_suspicions = Vec::new();
        for suspicion in suspicions {
            let is_new = self.table.borrow_mut().apply_suspicion(suspicion);
            if !is_new {
                continue;
            }
            new_suspicions.push(*suspicion);
            let suspect = self.table.borrow().name_of(suspicion.daemon_hash).cloned();
            if let Some(link) = suspect.and_then(|suspect| self.link(&suspect)) {
                self.probe(link);
            }
        }
        self.send_suspicions(new_suspicions, now);
    }

    pub(super) fn send_suspicions(self: &Rc<Self>, suspicions: Vec<Heartbeat>, now: time::Instant) {
        if suspicions.is_empty() {
            return;
        }
        let digest = Digest {
            suspicions,
            ..Digest::default()
        };
        let message = Rc::new(self.message(Vec::new(), &digest, now));
        for link in self.random_alive(now, ANNOUNCE_FANOUT) {
            let message = Rc::clone(&message);
            spawn_local(async move { client::gossip(&link, &message).await });
        }
    }

    /// Fetches entries that this daemon lacks from the sender, or from a random daemon if the
    /// sender is unknown.
    fn fetch_unknown(self: &Rc<Self>, unknown_hashes: Vec<u32>, sender_hash: u32) {
        if unknown_hashes.is_empty() || self.fetching_entries.get() {
            return;
        }
        let sender = self.table.borrow().name_of(sender_hash).cloned();
        let link = match sender.and_then(|sender| self.link(&sender)) {
            Some(link) => Some(link),
            None => self.random_alive(time::Instant::now(), 1).pop(),
        };
        let Some(link) = link else {
            return;
        };
        self.fetching_entries.set(true);
        let node = Rc::clone(self);
        spawn_local(async move {
            let fetched = client::fetch_entries(&link, &unknown_hashes).await;
            node.fetching_entries.set(false);
            match fetched {
                Ok(entries) => node.apply(entries, &Digest::default(), 0),
                Err(error) => log::debug!("no entries from daemon {}: {error}", link.daemon),
            }
        });
    }

    fn message(
        &self,
        entries: ReceivedEntries,
        digest: &Digest,
        now: time::Instant,
    ) -> GossipMessage {
        GossipMessage {
            sender_hash: daemon_hash(&self.state.settings.daemon),
            entries,
            digest: digest.pack(now),
        }
    }

    /// Publishes this daemon's heartbeat and loads if they are due. Loads of targets whose state
    /// changed or that are being drained for an order are due at once.
    pub(super) fn refresh_if_due(&self, now: time::Instant) {
        let entry = own_entry(&self.state, self.peer_address);
        let changed = self
            .published_states
            .borrow_mut()
            .take_changed(&entry.loads);
        let mut table = self.table.borrow_mut();
        let heartbeat_ticks = table.heartbeat_ticks(now);
        let load_ticks = loads::report_interval_ticks(entry.loads.len() * table.region_size(now));
        let is_heartbeat_due = count_down(&self.ticks_until_heartbeat, heartbeat_ticks);
        let are_loads_due = count_down(&self.ticks_until_loads, heartbeat_ticks.max(load_ticks));
        let has_loads = !entry.loads.is_empty() || !entry.suspects.is_empty();
        let reported = match are_loads_due {
            true if has_loads => Some(None),
            false if !changed.is_empty() => Some(Some(changed.as_slice())),
            _ => None,
        };
        if is_heartbeat_due || reported.is_some() {
            table.publish(entry, now);
        }
        if let Some(changed) = reported {
            table.publish_loads(changed, now);
        }
    }

    pub(super) fn send_rumors(self: &Rc<Self>, now: time::Instant) {
        let rumors = self.table.borrow_mut().take_rumors(now);
        if rumors.is_empty() {
            return;
        }
        let digest = Digest {
            heartbeats: rumors.heartbeats,
            reports: rumors.reports,
            suspicions: Vec::new(),
        };
        let message = Rc::new(self.message(rumors.entries, &digest, now));
        for link in self.random_alive(now, RUMOR_FANOUT) {
            self.send(&link, Rc::clone(&message));
        }
    }

    pub(super) fn pull_from_random(self: &Rc<Self>, now: time::Instant) {
        for link in self.random_alive(now, 1) {
            self.pull(link, false);
        }
    }

    /// Sends this daemon's entry to several daemons. Each returned task ends when its daemon has
    /// responded or the call has failed.
    pub(super) fn announce(self: &Rc<Self>) -> Vec<JoinHandle<()>> {
        self.refresh_own();
        self.publish_members();
        let now = time::Instant::now();
        let mut links = self.random_alive(now, ANNOUNCE_FANOUT);
        links.extend(self.unknown_seeds(ANNOUNCE_FANOUT - links.len()));
        let sent = links.iter().map(|link| self.send_own(link)).collect();
        self.announce_to_regions(now);
        sent
    }

    /// Sends this daemon's entry even if a gossip call on the link is in progress, because the
    /// entry announces a change.
    pub(super) fn send_own(self: &Rc<Self>, link: &Rc<PeerLink>) -> JoinHandle<()> {
        let now = time::Instant::now();
        let own = self.table.borrow().own().clone();
        let message = self.message(vec![(own, now)], &Digest::default(), now);
        let link = Rc::clone(link);
        spawn_local(async move { client::gossip(&link, &message).await })
    }

    fn send(&self, link: &Rc<PeerLink>, message: Rc<GossipMessage>) {
        let Some(permit) = link.try_start_gossip() else {
            return;
        };
        let link = Rc::clone(link);
        spawn_local(async move {
            client::gossip(&link, &message).await;
            drop(permit);
        });
    }

    pub(super) fn pull(self: &Rc<Self>, link: Rc<PeerLink>, is_starting: bool) {
        let node = Rc::clone(self);
        spawn_local(async move {
            let region = &node.state.settings.region;
            match client::pull(&link, is_starting, region).await {
                Ok((entries, digest)) => {
                    node.record_seed_region(&link.daemon, &entries);
                    node.apply(entries, &digest, daemon_hash(&link.daemon));
                }
                Err(error) => log::debug!("pull from daemon {} failed: {error}", link.daemon),
            }
        });
    }

    pub(super) fn probe(self: &Rc<Self>, link: Rc<PeerLink>) {
        let node = Rc::clone(self);
        spawn_local(async move {
            match client::probe(&link).await {
                Ok(heartbeat) => node.apply_probe_response(heartbeat),
                Err(error) => {
                    log::debug!("probe of daemon {} failed: {error}", link.daemon);
                    node.table.borrow_mut().record_probe_failure(&link.daemon);
                    node.publish_members();
                }
            }
        });
    }

    fn apply_probe_response(self: &Rc<Self>, heartbeat: Heartbeat) {
        let now = time::Instant::now();
        let applied = self
            .table
            .borrow_mut()
            .apply_probe_response(&heartbeat, now);
        match applied {
            HeartbeatApplied::Unknown => {
                self.fetch_unknown(vec![heartbeat.daemon_hash], heartbeat.daemon_hash);
            }
            HeartbeatApplied::Known(Applied::Changed) => self.publish_members(),
            HeartbeatApplied::Known(_) => {}
        }
        self.fetch_newer_config();
    }
}

/// Counts down by one tick; returns whether the count has ended, and restarts it at `ticks` then.
fn count_down(ticks_left: &cell::Cell<u32>, ticks: u32) -> bool {
    let left = ticks_left.get();
    if left > 1 {
        ticks_left.set(left - 1);
        return false;
    }
    ticks_left.set(ticks);
    true
}
