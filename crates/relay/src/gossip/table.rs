//! Table of the other daemons that this one knows.

use std::{collections::HashMap, net};

use acaciabank_core::{prompt_backlog::PromptBacklog, scheduler::SchedulerCandidate, usage};

use super::{PeerReport, UsageShare};
use crate::{clock, config, scheduler, state};

/// Age of a daemon's last report, beyond two of its report intervals, from which it counts as dead:
/// it is not listed to callers and its loads do not count. One report may be lost, and a host
/// may be slow for a moment.
const LIVENESS_MARGIN_MS: u64 = 1_000;
/// Shortest time between two summations of all loads, as hundreds of daemons send reports in
/// between.
const SUM_INTERVAL_MS: u64 = 20;
/// Age of a daemon's last report from which the daemon is removed.
const PEER_TTL_MS: u64 = 20_000;
/// Time for which an address is kept without a report from it.
const CONTACT_TTL_MS: u64 = 30_000;

/// Last report of another daemon.
#[derive(Clone, Debug)]
struct PeerState {
    report: PeerReport,
    received_ms: u64,
    /// Start of the daemon's run on this host's clock; negative if this host booted later.
    started_ms: i64,
    /// Hash of the daemon's name.
    daemon_hash: u64,
    /// Difference of the daemon's time of day to that of this host, if it reports usage.
    clock_difference_ms: Option<i64>,
}

impl PeerState {
    /// Whether a report is newer than the last one. Runs are ordered by their start, not by an id
    /// taken from the sender's time of day, which may have been set back between two runs.
    fn is_replaced_by(&self, report: &PeerReport, now_ms: u64) -> bool {
        if report.boot_id == self.report.boot_id {
            return report.sequence > self.report.sequence;
        }
        run_start_ms(report, now_ms) > self.started_ms || !self.is_alive(now_ms)
    }

    fn is_alive(&self, now_ms: u64) -> bool {
        let timeout_ms = LIVENESS_MARGIN_MS + 2 * u64::from(self.report.interval_ms);
        now_ms.saturating_sub(self.received_ms) < timeout_ms
    }

    fn is_ready(&self, now_ms: u64) -> bool {
        self.report.is_ready && self.is_alive(now_ms)
    }
}

/// The other daemons, their addresses and the sum of their loads.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: HashMap<String, PeerState>,
    /// Addresses to send reports to, with the time until which they are kept without a report from
    /// there.
    contacts: HashMap<net::SocketAddr, u64>,
    /// Loads by hash of the target.
    loads: HashMap<u64, LoadSum>,
    /// Time of the last summation of the loads.
    summed_ms: u64,
    /// Whether the daemons or their loads have changed since the last summation.
    is_changed: bool,
}

/// Load that all other daemons together cause at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSum {
    /// Requests that run there.
    pub running: u32,
    /// Prompts that are not processed yet.
    pub backlog: PromptBacklog,
    /// Time that pending transfers of KV cache to the target are expected to take.
    pub transfer_ms: u64,
}

impl PeerTable {
    /// Adds an address to send reports to, for [`CONTACT_TTL_MS`].
    pub fn add_contact(&mut self, address: net::SocketAddr, now_ms: u64) {
        self.contacts
            .entry(address)
            .or_insert(now_ms + CONTACT_TTL_MS);
    }

    /// Stores a report unless it is older than the last one of its sender; returns whether it was
    /// stored.
    pub fn apply_report(&mut self, report: PeerReport, now_ms: u64) -> bool {
        let known = self.peers.get(&report.host);
        if known.is_some_and(|known| !known.is_replaced_by(&report, now_ms)) {
            return false;
        }
        let mut started_ms = run_start_ms(&report, now_ms);
        match known.filter(|known| known.report.boot_id == report.boot_id) {
            // The report with the shortest delay gives the best estimate.
            Some(known) => started_ms = started_ms.min(known.started_ms),
            None => {
                log::info!(
                    peer = report.host.as_str(), address:% = report.peer_address;
                    "peer_found"
                );
            }
        }
        self.contacts
            .insert(report.peer_address, now_ms + CONTACT_TTL_MS);
        for address in &report.known {
            self.add_contact(*address, now_ms);
        }
        let state = PeerState {
            received_ms: now_ms,
            started_ms,
            daemon_hash: state::hash_name(&report.host),
            clock_difference_ms: report.usage.as_ref().map(clock_difference_ms),
            report,
        };
        self.peers.insert(state.report.host.clone(), state);
        self.is_changed = true;
        true
    }

    /// Removes daemons and addresses without a report within [`PEER_TTL_MS`] and
    /// [`CONTACT_TTL_MS`].
    pub fn expire(&mut self, now_ms: u64) {
        self.peers.retain(|host, peer| {
            let is_kept = now_ms.saturating_sub(peer.received_ms) < PEER_TTL_MS;
            if !is_kept {
                log::info!(peer = host.as_str(); "peer_forgotten");
            }
            is_kept
        });
        self.contacts.retain(|_, until_ms| *until_ms > now_ms);
        // The loads of daemons that have died since the last summation no longer count.
        self.is_changed = true;
    }

    /// Returns the addresses to send reports to.
    pub fn contacts(&self) -> Vec<net::SocketAddr> {
        self.contacts.keys().copied().collect()
    }

    /// Returns the addresses to send reports to, split into those of daemons in the given
    /// availability zone and all others. Addresses without a report yet belong to the others.
    pub fn contacts_by_zone(&self, zone_hash: u64) -> (Vec<net::SocketAddr>, Vec<net::SocketAddr>) {
        let same_zone = self
            .peers
            .values()
            .filter(|peer| peer.report.zone_hash == zone_hash);
        let same_zone: Vec<net::SocketAddr> =
            same_zone.map(|peer| peer.report.peer_address).collect();
        let other_zones = self
            .contacts
            .keys()
            .filter(|address| !same_zone.contains(address));
        (same_zone.clone(), other_zones.copied().collect())
    }

    /// Number of known daemons that are not shutting down.
    pub fn member_count(&self) -> usize {
        let peers = self.peers.values();
        peers.filter(|peer| !peer.report.is_draining).count()
    }

    /// Returns the addresses that callers may be given.
    pub fn ready_addresses(&self, now_ms: u64) -> Vec<net::SocketAddr> {
        let ready = self.peers.values().filter(|peer| peer.is_ready(now_ms));
        ready.map(|peer| peer.report.caller_address).collect()
    }

    /// Returns the daemons that can be schedulers.
    pub fn scheduler_candidates(&self, now_ms: u64) -> Vec<SchedulerCandidate> {
        let ready = self.peers.values().filter(|peer| peer.is_ready(now_ms));
        let candidates = ready.map(|peer| {
            let age_ms = peer.report.age_ms + now_ms.saturating_sub(peer.received_ms);
            SchedulerCandidate {
                daemon_hash: peer.daemon_hash,
                capacity_millicores: peer.report.capacity_millicores,
                is_warm: scheduler::is_warm(age_ms),
            }
        });
        candidates.collect()
    }

    /// Returns the runs of the daemons that are alive.
    pub fn alive_runs(&self, now_ms: u64) -> impl Iterator<Item = usage::RunKey> {
        let alive = self
            .peers
            .values()
            .filter(move |peer| peer.is_alive(now_ms));
        alive.map(|peer| usage::run_key(peer.daemon_hash, peer.report.boot_id))
    }

    /// Returns the differences of the clocks of the daemons that are alive to that of this host.
    pub fn clock_differences_ms(&self, now_ms: u64) -> impl Iterator<Item = i64> {
        let alive = self
            .peers
            .values()
            .filter(move |peer| peer.is_alive(now_ms));
        alive.filter_map(|peer| peer.clock_difference_ms)
    }

    /// Returns the longest uptime of the daemons that are alive.
    pub fn longest_uptime_ms(&self, now_ms: u64) -> u64 {
        let alive = self.peers.values().filter(|peer| peer.is_alive(now_ms));
        let uptimes =
            alive.map(|peer| peer.report.age_ms + now_ms.saturating_sub(peer.received_ms));
        uptimes.max().unwrap_or(0)
    }

    /// Returns the addresses of the daemons that report that they hold the lease: of more than one
    /// while the last report of a former holder still counts.
    pub fn lease_holder_addresses(&self, now_ms: u64) -> impl Iterator<Item = net::SocketAddr> {
        let peers = self.peers.values();
        let holders =
            peers.filter(move |peer| peer.report.is_lease_holder && peer.is_alive(now_ms));
        holders.map(|peer| peer.report.peer_address)
    }

    /// Returns the address of the daemon with the given hash.
    pub fn address_of(&self, daemon_hash: u64) -> Option<net::SocketAddr> {
        let mut peers = self.peers.values();
        let peer = peers.find(|peer| peer.daemon_hash == daemon_hash);
        peer.map(|peer| peer.report.peer_address)
    }

    /// Sums the loads again if the daemons have changed and [`SUM_INTERVAL_MS`] has passed.
    pub fn refresh_loads(&mut self, now_ms: u64) {
        if self.is_changed && now_ms.saturating_sub(self.summed_ms) >= SUM_INTERVAL_MS {
            self.sum_loads(now_ms);
        }
    }

    /// Returns the load that all other daemons together cause at the target with the given hash.
    pub fn load_of(&self, target_hash: u64) -> LoadSum {
        self.loads.get(&target_hash).copied().unwrap_or_default()
    }

    /// Returns the address of any daemon that is ready.
    pub fn any_ready(&self, now_ms: u64) -> Option<net::SocketAddr> {
        let mut ready = self.peers.values().filter(|peer| peer.is_ready(now_ms));
        ready.next().map(|peer| peer.report.peer_address)
    }

    /// Returns the address of a daemon with a newer configuration than the given version, and the
    /// version of that: of the daemons that are alive one with the newest, as the others are
    /// unlikely to respond. A random number chooses among those that have the same document, so that
    /// a daemon whose link is overloaded is not asked again and again.
    pub fn newer_config_source(
        &self,
        version: &config::ConfigVersion,
        now_ms: u64,
        random: u64,
    ) -> Option<(net::SocketAddr, config::ConfigVersion)> {
        let peers = self.peers.values();
        let newer = peers.filter(|peer| peer.report.config_version > *version);
        let key = |peer: &&PeerState| (peer.is_alive(now_ms), peer.report.config_version);
        let (is_alive, newest) = key(&newer.clone().max_by_key(key)?);
        let sources = newer.filter(|peer| {
            let version = &peer.report.config_version;
            peer.is_alive(now_ms) == is_alive && version.is_same_document(&newest)
        });
        let mut reports: Vec<&PeerReport> = sources.map(|peer| &peer.report).collect();
        reports.sort_by_key(|report| report.peer_address);
        let count = u64::try_from(reports.len()).unwrap_or(u64::MAX);
        let index = usize::try_from(random.checked_rem(count)?).unwrap_or(0);
        let report = reports.get(index)?;
        Some((report.peer_address, report.config_version))
    }

    fn sum_loads(&mut self, now_ms: u64) {
        self.summed_ms = now_ms;
        self.is_changed = false;
        self.loads.clear();
        for peer in self.peers.values() {
            if !peer.is_alive(now_ms) {
                continue;
            }
            for load in &peer.report.loads {
                let sum = self.loads.entry(load.target_hash).or_default();
                sum.running += load.running;
                sum.backlog.merge(&load.backlog);
                sum.transfer_ms += u64::from(load.transfer_ms);
            }
        }
    }
}

/// Returns the difference of the sender's time of day to that of this host, less the delay of the
/// report.
fn clock_difference_ms(share: &UsageShare) -> i64 {
    let signed = |ms: u64| i64::try_from(ms).unwrap_or(i64::MAX);
    signed(share.unix_ms).saturating_sub(signed(clock::unix_ms()))
}

/// Returns the start of the sender's run on this host's clock, later by the delay of the report.
fn run_start_ms(report: &PeerReport, now_ms: u64) -> i64 {
    let signed = |ms: u64| i64::try_from(ms).unwrap_or(i64::MAX);
    signed(now_ms).saturating_sub(signed(report.age_ms))
}
