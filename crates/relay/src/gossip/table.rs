//! The other daemons that this one knows.

use std::{collections::HashMap, net};

use acaciabank_core::scheduler::SchedulerCandidate;

use super::PeerReport;
use crate::{scheduler, state};

/// Age from which a daemon is not named to callers and its loads no longer count, beyond two of the
/// intervals that it states: one report may be lost, and hosts are slow at times.
const SILENT_MS: u64 = 1_000;
/// Time between two summings up of all loads: reports of hundreds of daemons come in between.
const SUM_INTERVAL_MS: u64 = 20;
/// Age from which a daemon is forgotten.
const FORGET_MS: u64 = 20_000;
/// Time for which an address stays known that has never answered.
const CONTACT_MS: u64 = 30_000;

#[derive(Clone, Debug)]
struct PeerState {
    report: PeerReport,
    heard_ms: u64,
    /// Short name of the daemon.
    name: u64,
}

impl PeerState {
    fn is_heard(&self, now_ms: u64) -> bool {
        let silent_ms = SILENT_MS + 2 * u64::from(self.report.interval_ms);
        now_ms.saturating_sub(self.heard_ms) < silent_ms
    }

    fn is_ready(&self, now_ms: u64) -> bool {
        self.report.is_ready && self.is_heard(now_ms)
    }
}

/// The other daemons.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: HashMap<String, PeerState>,
    /// Addresses to report to, with the time until which they are kept without an answer.
    contacts: HashMap<net::SocketAddr, u64>,
    loads: HashMap<u64, LoadSum>,
    /// Time of the last summing up of the loads, and whether reports have come since.
    summed_ms: u64,
    is_changed: bool,
}

/// Load that the other daemons cause at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSum {
    /// Requests that run there.
    pub running: u32,
    /// Prompt tokens that are not processed yet.
    pub backlog: u64,
    /// Time that transfers of KV cache to it are expected to take.
    pub transfer_ms: u64,
}

impl PeerTable {
    /// Adds an address to report to.
    pub fn add_contact(&mut self, address: net::SocketAddr, now_ms: u64) {
        self.contacts.entry(address).or_insert(now_ms + CONTACT_MS);
    }

    /// Takes a report; tells whether it is newer than what is known.
    pub fn apply_report(&mut self, report: PeerReport, now_ms: u64) -> bool {
        let order = (report.boot_id, report.sequence);
        let known = self.peers.get(&report.host);
        if known.is_some_and(|known| (known.report.boot_id, known.report.sequence) >= order) {
            return false;
        }
        let is_new = known.is_none_or(|known| known.report.boot_id != report.boot_id);
        if is_new {
            log::info!(peer = report.host.as_str(), address:% = report.peer_address; "peer_found");
        }
        self.contacts
            .insert(report.peer_address, now_ms + CONTACT_MS);
        for address in &report.known {
            self.add_contact(*address, now_ms);
        }
        let state = PeerState {
            heard_ms: now_ms,
            name: state::hash_name(&report.host),
            report,
        };
        self.peers.insert(state.report.host.clone(), state);
        self.is_changed = true;
        true
    }

    /// Forgets daemons and addresses that have been silent for long.
    pub fn expire(&mut self, now_ms: u64) {
        self.peers.retain(|host, peer| {
            let is_kept = now_ms.saturating_sub(peer.heard_ms) < FORGET_MS;
            if !is_kept {
                log::info!(peer = host.as_str(); "peer_forgotten");
            }
            is_kept
        });
        self.contacts.retain(|_, until_ms| *until_ms > now_ms);
        // Daemons that fall silent no longer count.
        self.is_changed = true;
    }

    /// Addresses to report to.
    pub fn contacts(&self) -> Vec<net::SocketAddr> {
        self.contacts.keys().copied().collect()
    }

    /// Addresses to report to, those of daemons in an availability zone first. A daemon that has not
    /// been heard yet counts as far.
    pub fn contacts_by_zone(&self, zone: u64) -> (Vec<net::SocketAddr>, Vec<net::SocketAddr>) {
        let near = self.peers.values().filter(|peer| peer.report.zone == zone);
        let near: Vec<net::SocketAddr> = near.map(|peer| peer.report.peer_address).collect();
        let far = self
            .contacts
            .keys()
            .filter(|address| !near.contains(address));
        (near.clone(), far.copied().collect())
    }

    /// Daemons that are known and not leaving.
    pub fn member_count(&self) -> usize {
        let peers = self.peers.values();
        peers.filter(|peer| !peer.report.is_leaving).count()
    }

    /// Caller addresses of daemons that can be named to callers.
    pub fn ready_addresses(&self, now_ms: u64) -> Vec<net::SocketAddr> {
        let ready = self.peers.values().filter(|peer| peer.is_ready(now_ms));
        ready.map(|peer| peer.report.caller_address).collect()
    }

    /// Daemons that can place prompts for others.
    pub fn scheduler_candidates(&self, now_ms: u64) -> Vec<SchedulerCandidate> {
        let ready = self.peers.values().filter(|peer| peer.is_ready(now_ms));
        let candidates = ready.map(|peer| {
            let age_ms = peer.report.age_ms + now_ms.saturating_sub(peer.heard_ms);
            SchedulerCandidate {
                name: peer.name,
                capacity: peer.report.capacity_millicores,
                is_warm: scheduler::is_warm(age_ms),
            }
        });
        candidates.collect()
    }

    /// Address of the daemon with a short name.
    pub fn address_of(&self, name: u64) -> Option<net::SocketAddr> {
        let mut peers = self.peers.values();
        let peer = peers.find(|peer| peer.name == name);
        peer.map(|peer| peer.report.peer_address)
    }

    /// Sums the loads of the other daemons up again if reports have come since the last time.
    pub fn refresh_loads(&mut self, now_ms: u64) {
        if self.is_changed && now_ms.saturating_sub(self.summed_ms) >= SUM_INTERVAL_MS {
            self.sum_loads(now_ms);
        }
    }

    /// Load that the other daemons cause at a target.
    pub fn load_of(&self, target: u64) -> LoadSum {
        self.loads.get(&target).copied().unwrap_or_default()
    }

    /// A daemon that is ready.
    pub fn any_ready(&self, now_ms: u64) -> Option<net::SocketAddr> {
        let mut ready = self.peers.values().filter(|peer| peer.is_ready(now_ms));
        ready.next().map(|peer| peer.report.peer_address)
    }

    /// Daemon with the newest configuration, if it is newer than the given version.
    pub fn newer_config_source(&self, version: u64) -> Option<net::SocketAddr> {
        let newest = self
            .peers
            .values()
            .max_by_key(|peer| peer.report.config_version)?;
        (newest.report.config_version > version).then_some(newest.report.peer_address)
    }

    fn sum_loads(&mut self, now_ms: u64) {
        self.summed_ms = now_ms;
        self.is_changed = false;
        self.loads.clear();
        for peer in self.peers.values() {
            if !peer.is_heard(now_ms) {
                continue;
            }
            for load in &peer.report.loads {
                let sum = self.loads.entry(load.target).or_default();
                sum.running += load.running;
                sum.backlog += u64::from(load.backlog);
                sum.transfer_ms += u64::from(load.transfer_ms);
            }
        }
    }
}
