//! Sending and receiving of reports.

use std::{cell::Cell, io, net, rc, time::Duration};

use acaciabank_core::{parts, suspect};
use tokio::net::UdpSocket;

use super::{AwayEntry, LoadEntry, PartEntry, PeerReport, SuspectEntry, TakenReport};
use crate::{clock, edge, state, target};

/// Time between two reports: loads change within some hundred milliseconds.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Least time between two reports, however much happens.
const LEAST_INTERVAL: Duration = Duration::from_millis(25);
/// Largest datagram; a report of some hundred targets fits.
const MAX_DATAGRAM_BYTES: usize = 32 << 10;
/// Difference by which the end of an order that several daemons report may vary.
const REPEATED_ORDER_MS: u64 = 500;
/// Prompt parts in a report at most; others lose the news of the rest.
const MAX_PARTS: usize = 512;
/// Crash suspects in a report at most; the others follow in later ones.
const MAX_SUSPECTS: usize = 64;

/// Sends and receives reports until the process ends.
pub async fn run<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: state::SharedState<Codec, Store>,
    socket: rc::Rc<UdpSocket>,
) {
    let receiver = receive(rc::Rc::clone(&state), rc::Rc::clone(&socket));
    tokio::task::spawn_local(receiver);
    loop {
        announce(&state, &socket).await;
        tokio::time::sleep(LEAST_INTERVAL).await;
        let rest = REPORT_INTERVAL - LEAST_INTERVAL;
        // The timeout is the usual case: nothing urgent happened in the interval.
        let _ = tokio::time::timeout(rest, state.report_now.notified()).await;
    }
}

thread_local! {
    static NUMBER: Cell<u64> = const { Cell::new(0) };
}

/// Sends one report to every known daemon.
pub async fn announce<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
    socket: &UdpSocket,
) {
    state.peers.borrow_mut().expire(clock::now_ms());
    let report = build_report(state);
    let contacts = state.peers.borrow().contacts();
    let datagram = match postcard::to_stdvec(&report) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::error!("a report cannot be encoded: {error}");
            return;
        }
    };
    for address in contacts {
        if address == state.settings.peer {
            continue;
        }
        // A host that is gone refuses datagrams; its silence is judged by its reports.
        let _: io::Result<usize> = socket.send_to(&datagram, address).await;
    }
}

fn build_report<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::RelayState<Codec, Store>,
) -> PeerReport {
    let number = NUMBER.get() + 1;
    NUMBER.set(number);
    let settings = &state.settings;
    let now_ms = clock::now_ms();
    let (target_news, is_cut) = state.watch.recent_news(now_ms);
    PeerReport {
        host: settings.host.clone(),
        boot: state.boot,
        number,
        peer: settings.peer,
        caller: settings.caller,
        is_ready: state.is_ready(),
        is_leaving: state.phase.get() == state::RelayPhase::Draining,
        config_version: state.config_version(),
        config_age_ms: state.watch.config.direct_age_ms(now_ms),
        targets_age_ms: match is_cut {
            true => None,
            false => state.watch.targets.direct_age_ms(now_ms),
        },
        target_news,
        loads: loads(state),
        away: away(state),
        parts: part_news(state),
        suspects: suspects(state),
        known: state.peers.borrow().contacts(),
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
fn away<Codec, Store>(state: &state::RelayState<Codec, Store>) -> Vec<AwayEntry> {
    let now_ms = clock::now_ms();
    let left = |until_ms: u64| u32::try_from(until_ms.saturating_sub(now_ms)).unwrap_or(u32::MAX);
    let targets = state.targets.borrow();
    let entries = targets.iter().map(|target| AwayEntry {
        target: target.hash,
        left_ms: left(target.away_until_ms.get()),
        ordered: target
            .ordered
            .get()
            .map(|ordered| (ordered.stage, left(ordered.until_ms))),
    });
    let is_current = |entry: &AwayEntry| {
        let is_ordered = entry.ordered.is_some_and(|(_, left_ms)| left_ms > 0);
        entry.left_ms > 0 || is_ordered
    };
    entries.filter(is_current).collect()
}

fn take_away<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    entries: &[AwayEntry],
    now_ms: u64,
) {
    let targets = state.targets.borrow();
    for entry in entries {
        let Some(target) = targets.by_hash(entry.target) else {
            continue;
        };
        let until_ms = now_ms + u64::from(entry.left_ms);
        let away_ms = target.away_until_ms.get();
        target.away_until_ms.set(away_ms.max(until_ms));
        let Some((stage, left_ms)) = entry.ordered else {
            continue;
        };
        let until_ms = now_ms + u64::from(left_ms);
        let known_ms = target.ordered.get().map_or(0, |ordered| ordered.until_ms);
        // Daemons repeat each other with the delay of the network; only a later order is news.
        if until_ms > known_ms + REPEATED_ORDER_MS {
            target
                .ordered
                .set(Some(target::OrderedStage { stage, until_ms }));
        }
    }
}

fn part_news<Codec, Store>(state: &state::RelayState<Codec, Store>) -> Vec<PartEntry> {
    let mut news = state.part_news.borrow_mut();
    if news.len() > MAX_PARTS {
        metrics::counter!("acaciabank_part_news_dropped_total")
            .increment((news.len() - MAX_PARTS) as u64);
        news.truncate(MAX_PARTS);
    }
    std::mem::take(&mut *news)
}

fn suspects<Codec, Store>(state: &state::RelayState<Codec, Store>) -> Vec<SuspectEntry> {
    let mut records = state.suspects.borrow_mut().export(clock::now_ms());
    records.sort_by_key(|record| record.age_ms);
    let entries = records.into_iter().take(MAX_SUSPECTS);
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
    state: &state::RelayState<Codec, Store>,
    datagram: &[u8],
    sender: net::SocketAddr,
) {
    let report = match postcard::from_bytes::<PeerReport>(datagram) {
        Ok(report) => report,
        Err(error) => {
            log::warn!(sender:% = sender, error:% = error; "peer_report_unreadable");
            return;
        }
    };
    let now_ms = clock::now_ms();
    for entry in &report.suspects {
        let record = suspect::SuspectRecord {
            fingerprint: entry.fingerprint,
            target: entry.target,
            age_ms: entry.age_ms,
        };
        state.suspects.borrow_mut().merge(record, now_ms);
    }
    take_away(state, &report.away, now_ms);
    take_parts(state, &report.parts, now_ms);
    state.apply_targets(report.target_news.clone());
    let is_newer = report.config_version > state.config_version();
    let (config_age_ms, targets_age_ms) = (report.config_age_ms, report.targets_age_ms);
    let taken = state.peers.borrow_mut().take(report, now_ms);
    if taken == TakenReport::Old {
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
    // After a gap in the reports, changes may have been missed.
    if let Some(age_ms) = targets_age_ms.filter(|_| taken == TakenReport::Following) {
        state
            .watch
            .targets
            .record_fresh(now_ms.saturating_sub(age_ms));
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
            chain: entry.chain,
            tokens: entry.tokens,
        };
        let ready_ms = now_ms + u64::from(entry.ready_in_ms);
        let mut index = target.parts.borrow_mut();
        index.record_use(&[part], now_ms, ready_ms);
    }
}
