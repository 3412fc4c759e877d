//! Tasks that send and receive reports.

use std::{cell::Cell, io, net, rc, time::Duration};

use acaciabank_core::{prefix, scheduler as core_scheduler, usage as core_usage};
use tokio::net::UdpSocket;

use super::{LoadEntry, PartEntry, PeerReport, StageChangeEntry, leaving};
use crate::{
    clock, config, platform, rate_limit, scheduler, state, target, trial, usage, versions, watch,
};

/// Interval between reports, as loads change within a few hundred milliseconds.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest interval between reports for each [`CONTACTS_PER_TICK`] other daemons, however much
/// changes: hosts with slow links must not be flooded when many targets crash together.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(25);
/// Largest datagram that is received; a report on a few hundred targets fits.
const MAX_DATAGRAM_BYTES: usize = 32 << 10;
/// Tolerance within which reported end times belong to the same stage order, as each daemon that
/// repeats an order adds the delay of the network.
const ORDER_TOLERANCE_MS: u64 = 500;
/// Average number of daemons of one group that are sent a report in one tick. The daemons of the
/// own availability zone are one group, those of all other zones another.
const CONTACTS_PER_TICK: usize = 12;
/// Largest number of addresses of other daemons in a report.
const MAX_KNOWN_ADDRESSES: usize = 8;
/// Age from which reported loads are too old to be useful.
const MAX_LOAD_AGE_MS: u32 = 1_000;
/// Time for which the daemon that has sent a stage order reports it to all daemons.
const ORDER_REPEAT_MS: u64 = 2_000;
/// Time for which prompt parts are kept for reports: the longest interval between two reports.
const MAX_PART_AGE_MS: u64 = 3_000;
/// Time by which the prompt parts of two consecutive reports overlap.
const PART_OVERLAP_MS: u64 = 30;
/// Largest number of prompt parts in a report; the oldest ones beyond it are left out, and the
/// receivers do not learn of them.
const MAX_PARTS: usize = 512;
/// Sends reports until the process ends.
pub async fn run<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
    socket: rc::Rc<UdpSocket>,
) {
    let mut is_urgent = true;
    for tick in 0.. {
        send_reports(&state, &socket, tick, is_urgent).await;
        let contacts = state.peers.borrow().contacts().len();
        let min_interval = MIN_REPORT_INTERVAL * contacts.div_ceil(CONTACTS_PER_TICK).max(1) as u32;
        let min_interval = min_interval.min(REPORT_INTERVAL);
        tokio::time::sleep(min_interval).await;
        let remaining = REPORT_INTERVAL - min_interval;
        let notified = tokio::time::timeout(remaining, state.report_now.notified()).await;
        is_urgent = notified.is_ok();
    }
}

thread_local! {
    static SEQUENCE: Cell<u64> = const { Cell::new(0) };
}

/// Sends a report to every known daemon at once.
pub async fn announce<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    socket: &UdpSocket,
) {
    send_reports(state, socket, 0, true).await;
}

/// Sends reports to the daemons that are due in this tick, or to all if `is_urgent`. Groups of more
/// than [`CONTACTS_PER_TICK`] daemons are spread over several ticks: traffic between
/// availability zones is expensive, and the work of a tick must stay small on a small host.
async fn send_reports<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    socket: &UdpSocket,
    tick: u64,
    is_urgent: bool,
) {
    let now_ms = clock::now_ms();
    state.watch.pauses.observe(now_ms);
    state.peers.borrow_mut().expire(now_ms);
    if state.targets.borrow().has_due_doubts(now_ms) {
        state.watch.targets.record_gap();
    }
    state.scheduler.expire(now_ms);
    rate_limit::expire(state, now_ms);
    let rank = scheduler::own_rank(state, now_ms);
    let (mut same_zone, mut other_zones) = state.peers.borrow().contacts_by_zone(state.zone_hash);
    let schedulers = scheduler_addresses(state, now_ms);
    same_zone.retain(|address| !schedulers.contains(address));
    other_zones.retain(|address| !schedulers.contains(address));
    for (contacts, are_schedulers) in [(schedulers, true), (same_zone, false), (other_zones, false)]
    {
        let cycle = match are_schedulers || rank < watch::WATCHER_COUNT {
            // The other daemons rely on the reports of the watchers.
            true => 1,
            false => contacts.len().div_ceil(CONTACTS_PER_TICK).max(1) as u64,
        };
        let is_due =
            |address: &net::SocketAddr| is_urgent || tick_of(address) % cycle == tick % cycle;
        let due: Vec<net::SocketAddr> = contacts.into_iter().filter(is_due).collect();
        if due.is_empty() {
            continue;
        }
        let interval = REPORT_INTERVAL * u32::try_from(cycle).unwrap_or(1);
        let mut report = build_report(state, now_ms, interval, rank < watch::WATCHER_COUNT);
        match are_schedulers {
            true => usage::add_settled(state, &mut report),
            false => remove_scheduler_data(state, &mut report, now_ms),
        }
        let message = scheduler::PeerMessage::Report(Box::new(report));
        match postcard::to_stdvec(&message) {
            Ok(datagram) => send_all(state, socket, &datagram, &due).await,
            Err(error) => log::error!("cannot encode a report: {error}"),
        }
    }
}

/// Removes what only schedulers and their standbys need from a report: links of small hosts carry a
/// few hundred kilobytes a second, and there may be thousands of engines.
fn remove_scheduler_data<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    report: &mut PeerReport,
    now_ms: u64,
) {
    report.parts.clear();
    report.service_loads.clear();
    if let Some(share) = &mut report.usage {
        share.counts = None;
    }
    if report.interval_ms > MAX_LOAD_AGE_MS {
        report.loads.clear();
    }
    let targets = state.targets.borrow();
    // Every daemon gets recent orders from the daemon that has sent them.
    let is_recent_own = |entry: &StageChangeEntry| {
        let target = targets.by_hash(entry.target_hash);
        let ordered_ms = target.and_then(|target| target.last_order_ms.get());
        ordered_ms.is_some_and(|ordered_ms| now_ms.saturating_sub(ordered_ms) < ORDER_REPEAT_MS)
    };
    report.stage_changes.retain(is_recent_own);
}

/// Returns the addresses of the schedulers and of their standbys, which get the same reports so
/// that they can replace them, and that of the holder of the lease if it has tasks.
fn scheduler_addresses<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> Vec<net::SocketAddr> {
    let candidates = scheduler::candidates(state, now_ms);
    let schedulers = candidates
        .iter()
        .take(core_scheduler::informed_count(candidates.len()));
    let peers = state.peers.borrow();
    let addresses = schedulers.filter_map(|candidate| peers.address_of(candidate.daemon_hash));
    let mut addresses: Vec<net::SocketAddr> = addresses.collect();
    if !state.settings.control_tasks.is_empty() {
        let holders = peers.lease_holder_addresses(now_ms);
        let others: Vec<net::SocketAddr> = holders
            .filter(|address| !addresses.contains(address))
            .collect();
        addresses.extend(others);
    }
    addresses
}

/// Returns a hash that assigns an address to a tick of a cycle.
fn tick_of(address: &net::SocketAddr) -> u64 {
    xxhash_rust::xxh3::xxh3_64(address.to_string().as_bytes())
}

async fn send_all<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    socket: &UdpSocket,
    datagram: &[u8],
    contacts: &[net::SocketAddr],
) {
    for address in contacts {
        if *address == state.settings.peer_address {
            continue;
        }
        // The error may be a refused earlier datagram. Daemons that are gone are noticed by the
        // lack of reports.
        let _: io::Result<usize> = socket.send_to(datagram, address).await;
    }
}

fn build_report<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
    interval: Duration,
    is_watcher: bool,
) -> PeerReport {
    let sequence = SEQUENCE.get() + 1;
    SEQUENCE.set(sequence);
    let settings = &state.settings;
    let recent = state.watch.recent_changes(now_ms);
    let mut suspects = state.suspects.borrow_mut();
    let suspects = suspects.report(now_ms, &mut rand::rng());
    PeerReport {
        host: settings.host.clone(),
        boot_id: state.boot_id,
        sequence,
        peer_address: settings.peer_address,
        caller_address: settings.caller_address,
        is_ready: state.is_ready(),
        is_draining: state.phase.get() == state::RelayPhase::Draining,
        service_loads: state.capacity.report(),
        is_lease_holder: state.lease.grant(now_ms).is_some(),
        config_version: state.config_version(),
        config_age_ms: state.watch.config.store_read_age_ms(now_ms),
        // Other daemons rely only on the watchers for changes of targets.
        targets_age_ms: match is_watcher && !recent.is_truncated {
            true => state.watch.targets.store_read_age_ms(now_ms),
            false => None,
        },
        target_changes: match is_watcher && !recent.is_truncated {
            true => recent.changes,
            false => platform::TargetChanges::default(),
        },
        leaving: leaving::leaving_entries(state, now_ms),
        limits: rate_limit::limit_entries(state, now_ms),
        bases: versions::base_entries(state),
        changes_after: recent.after,
        usage: usage::build_share(state, now_ms),
        loads: loads(state),
        stage_changes: stage_changes(state),
        parts: recent_parts(state, now_ms, interval),
        suspects,
        known: sample_contacts(state),
        zone_hash: state.zone_hash,
        capacity_millicores: settings.capacity_millicores,
        age_ms: now_ms.saturating_sub(state.started_ms),
        interval_ms: interval.as_millis() as u32,
    }
}

fn loads<Codec, Store>(state: &state::RelayState<Codec, Store>) -> Vec<LoadEntry> {
    let targets = state.targets.borrow();
    let busy = targets.iter().filter(|target| target.running.get() > 0);
    let entries = busy.map(|target| LoadEntry {
        target_hash: target.hash,
        running: target.running.get(),
        backlog: target.backlog.get(),
        transfer_ms: u32::try_from(target.transfer_ms.get()).unwrap_or(u32::MAX),
    });
    entries.collect()
}

/// Returns the engines that are unavailable or have another stage than the listed one, including
/// changes that other daemons have ordered and reported.
fn stage_changes<Codec, Store>(state: &state::RelayState<Codec, Store>) -> Vec<StageChangeEntry> {
    let now_ms = clock::now_ms();
    let remaining_ms =
        |until_ms: u64| u32::try_from(until_ms.saturating_sub(now_ms)).unwrap_or(u32::MAX);
    let targets = state.targets.borrow();
    let entries = targets.iter().map(|target| StageChangeEntry {
        target_hash: target.hash,
        remaining_ms: remaining_ms(target.switching_until_ms.get()),
        ordered: target
            .ordered
            .get()
            .map(|ordered| (ordered.stage, remaining_ms(ordered.until_ms))),
    });
    let is_changing = |entry: &StageChangeEntry| {
        let is_ordered = entry
            .ordered
            .is_some_and(|(_, remaining_ms)| remaining_ms > 0);
        entry.remaining_ms > 0 || is_ordered
    };
    entries.filter(is_changing).collect()
}

fn apply_stage_changes<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    entries: &[StageChangeEntry],
    now_ms: u64,
) {
    let targets = state.targets.borrow();
    for entry in entries {
        let Some(target) = targets.by_hash(entry.target_hash) else {
            continue;
        };
        let until_ms = now_ms + u64::from(entry.remaining_ms);
        let known_until_ms = target.switching_until_ms.get();
        target.switching_until_ms.set(known_until_ms.max(until_ms));
        let Some((stage, remaining_ms)) = entry.ordered else {
            continue;
        };
        let until_ms = now_ms + u64::from(remaining_ms);
        let known_until_ms = target.ordered.get().map_or(0, |ordered| ordered.until_ms);
        // Daemons repeat each other's reports with the delay of the network. Only a clearly later
        // end time belongs to a new order.
        if until_ms > known_until_ms + ORDER_TOLERANCE_MS {
            target
                .ordered
                .set(Some(target::OrderedStage { stage, until_ms }));
        }
    }
}

/// Returns the prompt parts that were sent to engines within `interval`, the time since the last
/// report to the same receivers.
fn recent_parts<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
    interval: Duration,
) -> Vec<PartEntry> {
    let mut parts = state.recent_parts.borrow_mut();
    let oldest_ms = now_ms.saturating_sub(MAX_PART_AGE_MS);
    parts.retain(|(sent_ms, _)| *sent_ms >= oldest_ms);
    // Reports may be sent a little late. Parts that are reported twice do no harm.
    let since_ms = now_ms.saturating_sub(interval.as_millis() as u64 + PART_OVERLAP_MS);
    let recent = parts
        .iter()
        .rev()
        .take_while(|(sent_ms, _)| *sent_ms >= since_ms);
    recent.map(|(_, entry)| *entry).take(MAX_PARTS).collect()
}

/// Returns a random selection of the known addresses: enough for other daemons to join, and few
/// enough to keep the report small.
fn sample_contacts<Codec, Store>(state: &state::RelayState<Codec, Store>) -> Vec<net::SocketAddr> {
    let contacts = state.peers.borrow().contacts();
    let first = rand::random_range(0..contacts.len().max(1));
    let rotated = contacts.iter().cycle().skip(first).take(contacts.len());
    rotated.take(MAX_KNOWN_ADDRESSES).copied().collect()
}

/// Receives the messages of other daemons until the process ends.
pub async fn receive<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
    socket: rc::Rc<UdpSocket>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, sender)) => handle_datagram(&state, &buffer[..length], sender),
            // The kernel reports a refused earlier datagram here.
            Err(error) => log::debug!("cannot receive a datagram: {error}"),
        }
    }
}

fn handle_datagram<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    datagram: &[u8],
    sender: net::SocketAddr,
) {
    match postcard::from_bytes::<scheduler::PeerMessage>(datagram) {
        Ok(scheduler::PeerMessage::Report(report)) => apply_report(state, *report),
        Ok(scheduler::PeerMessage::Request(request)) => {
            scheduler::handle_request(state, &request, sender);
        }
        Ok(scheduler::PeerMessage::Response(response)) => {
            scheduler::receive_response(state, response)
        }
        Ok(scheduler::PeerMessage::Update(update)) => scheduler::apply_update(state, &update),
        Ok(scheduler::PeerMessage::TrialRequest(request)) => {
            trial::handle_request(state, &request, sender);
        }
        Ok(scheduler::PeerMessage::TrialResponse(response)) => {
            trial::receive_response(state, response);
        }
        Ok(scheduler::PeerMessage::TrialEnd(end)) => trial::handle_end(state, &end),
        Ok(scheduler::PeerMessage::GrantRequest(question)) => {
            rate_limit::handle_request(state, &question, sender);
        }
        Ok(scheduler::PeerMessage::GrantResponse(response)) => {
            rate_limit::receive_response(state, response);
        }
        Ok(scheduler::PeerMessage::RecordRequest(request)) => {
            versions::handle_request(state, request, sender);
        }
        Ok(scheduler::PeerMessage::RecordResponse(response)) => {
            versions::receive_response(state, response);
        }
        Err(error) => {
            log::warn!(sender:% = sender, error:% = error; "peer_message_unreadable");
        }
    }
}

fn apply_report<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    report: PeerReport,
) {
    let now_ms = clock::now_ms();
    state.watch.pauses.observe(now_ms);
    let mut suspects = state.suspects.borrow_mut();
    suspects.merge_report(&report.suspects, now_ms);
    drop(suspects);
    if !report.suspects.is_empty() {
        state.trials.wake_waiting();
    }
    apply_stage_changes(state, &report.stage_changes, now_ms);
    apply_parts(state, &report.parts, now_ms);
    state.capacity.apply_report(&report, now_ms);
    state.apply_targets(report.target_changes.clone(), state::ChangeSource::Peer);
    leaving::apply_leaving(state, &report.leaving, now_ms);
    rate_limit::apply_limits(state, &report.limits, now_ms);
    versions::apply_bases(state, report.bases.as_deref());
    let config_version = report.config_version;
    let (config_age_ms, targets_age_ms) = (report.config_age_ms, report.targets_age_ms);
    let (after, version) = (report.changes_after, report.target_changes.version);
    let run = core_usage::run_key(state::hash_name(&report.host), report.boot_id);
    let share = report.usage.clone();
    let is_new = state.peers.borrow_mut().apply_report(report, now_ms);
    if !is_new {
        return;
    }
    apply_config_version(state, &config_version, config_age_ms, now_ms);
    if let Some(share) = &share {
        usage::apply_share(state, run, share);
    }
    if let Some(age_ms) = targets_age_ms {
        let fresh_ms = now_ms.saturating_sub(age_ms);
        state
            .watch
            .targets
            .record_peer_changes(fresh_ms, after, version);
    }
}

/// Processes the configuration that another daemon uses and the age of its last read of it.
fn apply_config_version<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    version: &config::ConfigVersion,
    read_age_ms: Option<u64>,
    now_ms: u64,
) {
    // All daemons read a configuration that is written again after a return. None of them has to
    // fetch it from another one.
    let is_newer = !state.confirm_config(version) && *version > state.config_version();
    if is_newer {
        state.newer_config_reported.notify_one();
        return;
    }
    // A daemon that has not seen the last return may not know what was written since.
    let is_current = version.stored.era >= state.config_version().stored.era;
    if let Some(age_ms) = read_age_ms.filter(|_| is_current) {
        let fresh_ms = now_ms.saturating_sub(age_ms);
        state.watch.config.record_fresh(fresh_ms);
        if !state.watch.pauses.may_have_waited(now_ms) {
            state.watch.config.record_confirmed(fresh_ms);
        }
    }
}

fn apply_parts<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    entries: &[PartEntry],
    now_ms: u64,
) {
    let targets = state.targets.borrow();
    for entry in entries {
        let Some(target) = targets.by_hash(entry.target_hash) else {
            continue;
        };
        let part = prefix::PromptPart {
            key: entry.key,
            tokens: entry.tokens,
        };
        let ready_ms = now_ms + u64::from(entry.ready_in_ms);
        let mut index = target.parts.borrow_mut();
        index.record_use(&[part], now_ms, ready_ms);
    }
}
