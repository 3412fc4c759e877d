//! Sending and receiving of reports.

use std::{cell::Cell, io, net, rc, time::Duration};

use acaciabank_core::{parts, scheduler as duty, suspect};
use tokio::net::UdpSocket;

use super::{LoadEntry, PartEntry, PeerReport, StageChangeEntry, SuspectEntry};
use crate::{clock, edge, scheduler, state, target, watch};

/// Time between two reports: loads change within some hundred milliseconds.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Least time between two reports for each dozen of other daemons, however much happens: hosts with
/// slow links must not be flooded when many targets crash together.
const LEAST_INTERVAL: Duration = Duration::from_millis(25);
/// Largest datagram; a report of some hundred targets fits.
const MAX_DATAGRAM_BYTES: usize = 32 << 10;
/// Difference by which the end of an order that several daemons report may vary.
const REPEATED_ORDER_MS: u64 = 500;
/// Daemons of one group, in the same or in other availability zones, that get a report in a tick.
const CONTACTS_PER_TICK: usize = 12;
/// Addresses of other daemons in a report at most.
const MAX_KNOWN: usize = 8;
/// Age from which loads of other daemons say nothing.
const MAX_LOAD_AGE_MS: u32 = 1_000;
/// Time for which an order is told to all daemons.
const AWAY_REPEAT_MS: u64 = 2_000;
/// Time for which prompt parts are kept for reports; the longest interval between two of them.
const MAX_PART_AGE_MS: u64 = 3_000;
/// Time by which the parts of two reports overlap.
const PART_OVERLAP_MS: u64 = 30;
/// Prompt parts in a report at most; others lose the news of the rest.
const MAX_PARTS: usize = 512;
/// Age up to which every report names a crash suspect: long enough that some reports may be lost.
const RECENT_SUSPECT_MS: u64 = 3_000;
/// Older suspects in a report, others each time, for daemons that have started since.
const MAX_OLDER_SUSPECTS: usize = 4;
/// Recent crash suspects in a report at most.
const MAX_SUSPECTS: usize = 64;

/// Sends and receives reports until the process ends.
pub async fn run<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: state::SharedState<Codec, Store>,
    socket: rc::Rc<UdpSocket>,
) {
    let receiver = receive(rc::Rc::clone(&state), rc::Rc::clone(&socket));
    tokio::task::spawn_local(receiver);
    let mut is_urgent = true;
    for tick in 0.. {
        send_reports(&state, &socket, tick, is_urgent).await;
        let contacts = state.peers.borrow().contacts().len();
        let least = LEAST_INTERVAL * contacts.div_ceil(CONTACTS_PER_TICK).max(1) as u32;
        let least = least.min(REPORT_INTERVAL);
        tokio::time::sleep(least).await;
        let rest = REPORT_INTERVAL - least;
        let notified = tokio::time::timeout(rest, state.report_now.notified()).await;
        is_urgent = notified.is_ok();
    }
}

thread_local! {
    static SEQUENCE: Cell<u64> = const { Cell::new(0) };
}

/// Tells every known daemon the state at once.
pub async fn announce<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
    socket: &UdpSocket,
) {
    send_reports(state, socket, 0, true).await;
}

/// Sends reports to the daemons whose turn it is, or to all when there is urgent news. Daemons in
/// other availability zones have their turn less often where there are many: bytes between zones
/// are dear, and a tick's work must stay small on a small host.
async fn send_reports<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
    socket: &UdpSocket,
    tick: u64,
    is_urgent: bool,
) {
    let now_ms = clock::now_ms();
    state.peers.borrow_mut().expire(now_ms);
    state.scheduler.expire(now_ms);
    let rank = scheduler::own_rank(state, now_ms);
    let (mut near, mut far) = state.peers.borrow().contacts_by_zone(state.zone_hash);
    let informed = informed(state, now_ms);
    near.retain(|address| !informed.contains(address));
    far.retain(|address| !informed.contains(address));
    for (contacts, is_informed) in [(informed, true), (near, false), (far, false)] {
        let turns = match is_informed || rank < watch::WATCHER_COUNT {
            // The others rely on the news of these daemons.
            true => 1,
            false => contacts.len().div_ceil(CONTACTS_PER_TICK).max(1) as u64,
        };
        let is_due =
            |address: &net::SocketAddr| is_urgent || turn_of(address) % turns == tick % turns;
        let due: Vec<net::SocketAddr> = contacts.into_iter().filter(is_due).collect();
        if due.is_empty() {
            continue;
        }
        let interval = REPORT_INTERVAL * u32::try_from(turns).unwrap_or(1);
        let mut report = build_report(state, now_ms, interval, rank < watch::WATCHER_COUNT);
        if !is_informed {
            shorten(state, &mut report, now_ms);
        }
        let message = scheduler::PeerMessage::Report(Box::new(report));
        match postcard::to_stdvec(&message) {
            Ok(datagram) => send_all(state, socket, &datagram, &due).await,
            Err(error) => log::error!("a report cannot be encoded: {error}"),
        }
    }
}

/// Leaves out what only schedulers and their standbys need: links of small hosts carry some hundred
/// kilobytes a second, and there may be thousands of engines.
fn shorten<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    report: &mut PeerReport,
    now_ms: u64,
) {
    report.parts.clear();
    if report.interval_ms > MAX_LOAD_AGE_MS {
        report.loads.clear();
    }
    let targets = state.targets.borrow();
    // Each daemon hears of an order from the one that has sent it.
    let is_news = |entry: &StageChangeEntry| {
        let target = targets.by_hash(entry.target);
        let ordered_ms = target.and_then(|target| target.ordered_here_ms.get());
        ordered_ms.is_some_and(|ordered_ms| now_ms.saturating_sub(ordered_ms) < AWAY_REPEAT_MS)
    };
    report.stage_changes.retain(is_news);
}

/// Addresses of the daemons that know what the schedulers know, to replace them.
fn informed<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> Vec<net::SocketAddr> {
    let candidates = scheduler::candidates(state, now_ms);
    let informed = candidates.iter().take(duty::informed(candidates.len()));
    let peers = state.peers.borrow();
    informed
        .filter_map(|candidate| peers.address_of(candidate.name))
        .collect()
}

/// A number that spreads addresses over the turns.
fn turn_of(address: &net::SocketAddr) -> u64 {
    xxhash_rust::xxh3::xxh3_64(address.to_string().as_bytes())
}

async fn send_all<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
    socket: &UdpSocket,
    datagram: &[u8],
    contacts: &[net::SocketAddr],
) {
    for address in contacts {
        if *address == state.settings.peer_address {
            continue;
        }
        // A host that is gone refuses datagrams; its silence is judged by its reports.
        let _: io::Result<usize> = socket.send_to(datagram, address).await;
    }
}

fn build_report<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
    interval: Duration,
    is_watcher: bool,
) -> PeerReport {
    let sequence = SEQUENCE.get() + 1;
    SEQUENCE.set(sequence);
    let settings = &state.settings;
    let news = state.watch.recent_changes(now_ms);
    PeerReport {
        host: settings.host.clone(),
        boot_id: state.boot_id,
        sequence,
        peer_address: settings.peer_address,
        caller_address: settings.caller_address,
        is_ready: state.is_ready(),
        is_leaving: state.phase.get() == state::RelayPhase::Draining,
        config_version: state.config_version(),
        config_age_ms: state.watch.config.store_read_age_ms(now_ms),
        // The others rely on the news of the daemons that watch the store closely alone.
        targets_age_ms: match is_watcher && !news.is_truncated {
            true => state.watch.targets.store_read_age_ms(now_ms),
            false => None,
        },
        target_changes: match is_watcher && !news.is_truncated {
            true => news.changes,
            false => edge::TargetChanges::default(),
        },
        changes_after: news.after,
        loads: loads(state),
        stage_changes: stage_changes(state),
        parts: recent_parts(state, now_ms, interval),
        suspects: suspects(state),
        known: some_contacts(state),
        zone: state.zone_hash,
        capacity_millicores: settings.capacity_millicores,
        age_ms: now_ms.saturating_sub(state.started_ms),
        interval_ms: interval.as_millis() as u32,
    }
}

fn loads<Codec, Store>(state: &state::RelayState<Codec, Store>) -> Vec<LoadEntry> {
    let targets = state.targets.borrow();
    let busy = targets.iter().filter(|target| target.running.get() > 0);
    let entries = busy.map(|target| LoadEntry {
        target: target.hash,
        running: target.running.get(),
        backlog: u32::try_from(target.backlog.get()).unwrap_or(u32::MAX),
        transfer_ms: u32::try_from(target.transfer_ms.get()).unwrap_or(u32::MAX),
    });
    entries.collect()
}

/// Engines that are known to be away or to have another stage than listed, whoever has ordered it:
/// what others told stays true.
fn stage_changes<Codec, Store>(state: &state::RelayState<Codec, Store>) -> Vec<StageChangeEntry> {
    let now_ms = clock::now_ms();
    let left = |until_ms: u64| u32::try_from(until_ms.saturating_sub(now_ms)).unwrap_or(u32::MAX);
    let targets = state.targets.borrow();
    let entries = targets.iter().map(|target| StageChangeEntry {
        target: target.hash,
        remaining_ms: left(target.away_until_ms.get()),
        ordered: target
            .ordered
            .get()
            .map(|ordered| (ordered.stage, left(ordered.until_ms))),
    });
    let is_current = |entry: &StageChangeEntry| {
        let is_ordered = entry
            .ordered
            .is_some_and(|(_, remaining_ms)| remaining_ms > 0);
        entry.remaining_ms > 0 || is_ordered
    };
    entries.filter(is_current).collect()
}

fn apply_stage_changes<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    entries: &[StageChangeEntry],
    now_ms: u64,
) {
    let targets = state.targets.borrow();
    for entry in entries {
        let Some(target) = targets.by_hash(entry.target) else {
            continue;
        };
        let until_ms = now_ms + u64::from(entry.remaining_ms);
        let away_ms = target.away_until_ms.get();
        target.away_until_ms.set(away_ms.max(until_ms));
        let Some((stage, remaining_ms)) = entry.ordered else {
            continue;
        };
        let until_ms = now_ms + u64::from(remaining_ms);
        let known_ms = target.ordered.get().map_or(0, |ordered| ordered.until_ms);
        // Daemons repeat each other with the delay of the network; only a later order is news.
        if until_ms > known_ms + REPEATED_ORDER_MS {
            target
                .ordered
                .set(Some(target::OrderedStage { stage, until_ms }));
        }
    }
}

/// Prompt parts that have been sent within the interval since the last report to the receivers.
fn recent_parts<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
    interval: Duration,
) -> Vec<PartEntry> {
    let mut news = state.recent_parts.borrow_mut();
    let kept_ms = now_ms.saturating_sub(MAX_PART_AGE_MS);
    news.retain(|(sent_ms, _)| *sent_ms >= kept_ms);
    // Reports leave a little late; parts that are told twice do no harm.
    let since_ms = now_ms.saturating_sub(interval.as_millis() as u64 + PART_OVERLAP_MS);
    let recent = news
        .iter()
        .rev()
        .take_while(|(sent_ms, _)| *sent_ms >= since_ms);
    recent.map(|(_, entry)| *entry).take(MAX_PARTS).collect()
}

/// Some of the addresses that this daemon knows, others each time: enough to join, and small.
fn some_contacts<Codec, Store>(state: &state::RelayState<Codec, Store>) -> Vec<net::SocketAddr> {
    let contacts = state.peers.borrow().contacts();
    let first = rand::random_range(0..contacts.len().max(1));
    let turned = contacts.iter().cycle().skip(first).take(contacts.len());
    turned.take(MAX_KNOWN).copied().collect()
}

fn suspects<Codec, Store>(state: &state::RelayState<Codec, Store>) -> Vec<SuspectEntry> {
    let mut records = state.suspects.borrow_mut().export(clock::now_ms());
    records.sort_by_key(|record| record.age_ms);
    let recent = records.partition_point(|record| record.age_ms < RECENT_SUSPECT_MS);
    let older = records.split_off(recent);
    records.truncate(MAX_SUSPECTS);
    if !older.is_empty() {
        let drawn = rand::random_range(0..older.len());
        records.extend(
            older
                .iter()
                .cycle()
                .skip(drawn)
                .take(MAX_OLDER_SUSPECTS.min(older.len())),
        );
    }
    let entries = records.into_iter();
    let entries = entries.map(|record| SuspectEntry {
        fingerprint: record.fingerprint,
        target: record.target,
        age_ms: record.age_ms,
    });
    entries.collect()
}

async fn receive<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: state::SharedState<Codec, Store>,
    socket: rc::Rc<UdpSocket>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, sender)) => take(&state, &buffer[..length], sender),
            // The kernel reports here that an earlier datagram was refused.
            Err(error) => log::debug!("datagram: {error}"),
        }
    }
}

fn take<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
    datagram: &[u8],
    sender: net::SocketAddr,
) {
    match postcard::from_bytes::<scheduler::PeerMessage>(datagram) {
        Ok(scheduler::PeerMessage::Report(report)) => take_report(state, *report),
        Ok(scheduler::PeerMessage::Request(question)) => {
            scheduler::handle_request(state, &question, sender);
        }
        Ok(scheduler::PeerMessage::Response(answer)) => scheduler::receive_response(state, answer),
        Ok(scheduler::PeerMessage::Update(news)) => scheduler::apply_update(state, &news),
        Err(error) => {
            log::warn!(sender:% = sender, error:% = error; "peer_message_unreadable");
        }
    }
}

fn take_report<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::RelayState<Codec, Store>,
    report: PeerReport,
) {
    let now_ms = clock::now_ms();
    for entry in &report.suspects {
        let record = suspect::SuspectRecord {
            fingerprint: entry.fingerprint,
            target: entry.target,
            age_ms: entry.age_ms,
        };
        state.suspects.borrow_mut().merge(record, now_ms);
    }
    apply_stage_changes(state, &report.stage_changes, now_ms);
    take_parts(state, &report.parts, now_ms);
    state.apply_targets(report.target_changes.clone(), state::ChangeSource::Peer);
    let is_newer = report.config_version > state.config_version();
    let (config_age_ms, targets_age_ms) = (report.config_age_ms, report.targets_age_ms);
    let (after, version) = (report.changes_after, report.target_changes.version);
    let is_new = state.peers.borrow_mut().apply_report(report, now_ms);
    if !is_new {
        return;
    }
    if is_newer {
        state.config_behind.notify_one();
    } else if let Some(age_ms) = config_age_ms {
        state
            .watch
            .config
            .record_fresh(now_ms.saturating_sub(age_ms));
    }
    if let Some(age_ms) = targets_age_ms {
        let fresh_ms = now_ms.saturating_sub(age_ms);
        state
            .watch
            .targets
            .record_peer_changes(fresh_ms, after, version);
    }
}

fn take_parts<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    entries: &[PartEntry],
    now_ms: u64,
) {
    let targets = state.targets.borrow();
    for entry in entries {
        let Some(target) = targets.by_hash(entry.target) else {
            continue;
        };
        let part = parts::PromptPart {
            key: entry.key,
            tokens: entry.tokens,
        };
        let ready_ms = now_ms + u64::from(entry.ready_in_ms);
        let mut index = target.parts.borrow_mut();
        index.record_use(&[part], now_ms, ready_ms);
    }
}
