//! Conversion of entries, configurations and cache changes to and from Cap'n Proto messages.

use std::{
    hash::{self, BuildHasher},
    time,
};

use acaciabank_core::{
    member::{EntryVersion, MemberEntry, MemberState, TargetLoad},
    suspect::{AnswerRecord, CrashRecord, SuspectReport},
};
use acaciabank_protocol::{ids, peer_capnp};
use capnp::struct_list;
use xxhash_rust::xxh3;

use crate::{config::ConfigVersion, target::PieceDelta};

fn to_capnp_error(error: impl std::fmt::Display) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

/// Writes entries; increases the ages in them by the time for which this daemon has held them.
pub(super) fn write_entries(
    entries: &[(MemberEntry, time::Instant)],
    now: time::Instant,
    mut list: struct_list::Builder<'_, peer_capnp::entry::Owned>,
) {
    for (index, (entry, received_at)) in entries.iter().enumerate() {
        let held = now.saturating_duration_since(*received_at);
        write_entry(entry, held, list.reborrow().get(index as u32));
    }
}

pub(super) fn write_entry(
    entry: &MemberEntry,
    held: time::Duration,
    mut builder: peer_capnp::entry::Builder<'_>,
) {
    let held_ms = u32::try_from(held.as_millis()).unwrap_or(u32::MAX);
    builder.set_daemon(entry.daemon.as_str());
    builder.set_region(entry.region.as_str());
    builder.set_zone(entry.zone.as_str());
    builder.set_boot_id(entry.version.boot_id);
    builder.set_sequence(entry.version.sequence);
    builder.set_state(write_state(entry.state));
    builder.set_caller_address(entry.caller_address.to_string());
    builder.set_peer_address(entry.peer_address.to_string());
    builder.set_config_version(entry.config_version);
    let loads = builder.reborrow().init_loads(entry.loads.len() as u32);
    write_loads(&entry.loads, held_ms, loads);
    if !entry.suspects.is_empty() {
        write_suspects(&entry.suspects, held_ms, builder.init_suspects());
    }
}

pub(super) fn write_state(state: MemberState) -> peer_capnp::MemberState {
    match state {
        MemberState::Joining => peer_capnp::MemberState::Joining,
        MemberState::Ready => peer_capnp::MemberState::Ready,
        MemberState::Draining => peer_capnp::MemberState::Draining,
        MemberState::Left => peer_capnp::MemberState::Left,
    }
}

pub(super) fn read_state(state: peer_capnp::MemberState) -> MemberState {
    match state {
        peer_capnp::MemberState::Joining => MemberState::Joining,
        peer_capnp::MemberState::Ready => MemberState::Ready,
        peer_capnp::MemberState::Draining => MemberState::Draining,
        peer_capnp::MemberState::Left => MemberState::Left,
    }
}

pub(super) fn write_loads(
    loads: &[TargetLoad],
    held_ms: u32,
    mut list: struct_list::Builder<'_, peer_capnp::target_load::Owned>,
) {
    for (index, load) in loads.iter().enumerate() {
        write_load(load, held_ms, list.reborrow().get(index as u32));
    }
}

/// Writes crash suspects; increases the ages in them by the time for which this daemon has held
/// them.
pub(super) fn write_suspects(
    report: &SuspectReport,
    held_ms: u32,
    mut builder: peer_capnp::suspect_report::Builder<'_>,
) {
    let mut crashes = builder.reborrow().init_crashes(report.crashes.len() as u32);
    for (index, crash) in report.crashes.iter().enumerate() {
        write_crash(crash, held_ms, crashes.reborrow().get(index as u32));
    }
    let mut answers = builder.init_answers(report.answers.len() as u32);
    for (index, answer) in report.answers.iter().enumerate() {
        let mut builder = answers.reborrow().get(index as u32);
        builder.set_key(answer.key);
        builder.set_age_ms(saturating_u32(answer.age_ms).saturating_add(held_ms));
    }
}

fn write_crash(crash: &CrashRecord, held_ms: u32, mut builder: peer_capnp::crash::Builder<'_>) {
    builder.set_id(crash.id);
    builder.set_target(crash.target_hash);
    builder.set_age_ms(saturating_u32(crash.age_ms).saturating_add(held_ms));
    builder.set_in_flight_ms(saturating_u32(crash.in_flight_ms));
    builder.set_is_trial(crash.is_trial);
    let mut keys = builder.init_keys(crash.keys.len() as u32);
    for (index, key) in crash.keys.iter().enumerate() {
        keys.set(index as u32, *key);
    }
}

fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

fn write_load(load: &TargetLoad, held_ms: u32, mut builder: peer_capnp::target_load::Builder<'_>) {
    builder.set_target(load.target_hash);
    builder.set_age_ms(load.age_ms.saturating_add(held_ms));
    builder.set_running(load.running);
    builder.set_waiting(load.waiting);
    builder.set_waiting_prefill_tokens(load.waiting_prefill_tokens);
    builder.set_running_decode(load.running_decode);
    builder.set_slots(load.slots);
    builder.set_flags(load.flags);
    builder.set_state_sequence(load.state_sequence);
}

pub(super) fn read_entries(
    list: struct_list::Reader<'_, peer_capnp::entry::Owned>,
) -> capnp::Result<Vec<MemberEntry>> {
    list.iter().map(read_entry).collect()
}

pub(super) fn read_entry(reader: peer_capnp::entry::Reader<'_>) -> capnp::Result<MemberEntry> {
    let loads = reader.get_loads()?.iter().map(read_load).collect();
    Ok(MemberEntry {
        daemon: ids::DaemonId::new(reader.get_daemon()?.to_str()?),
        region: ids::RegionId::new(reader.get_region()?.to_str()?),
        zone: ids::ZoneId::new(reader.get_zone()?.to_str()?),
        version: EntryVersion {
            boot_id: reader.get_boot_id(),
            sequence: reader.get_sequence(),
        },
        state: read_state(reader.get_state()?),
        caller_address: read_address(reader.get_caller_address()?)?,
        peer_address: read_address(reader.get_peer_address()?)?,
        config_version: reader.get_config_version(),
        loads,
        suspects: read_suspects(reader.get_suspects()?)?,
    })
}

fn read_address(text: capnp::text::Reader<'_>) -> capnp::Result<std::net::SocketAddr> {
    text.to_str()?.parse().map_err(to_capnp_error)
}

pub(super) fn read_load(reader: peer_capnp::target_load::Reader<'_>) -> TargetLoad {
    TargetLoad {
        target_hash: reader.get_target(),
        age_ms: reader.get_age_ms(),
        running: reader.get_running(),
        waiting: reader.get_waiting(),
        waiting_prefill_tokens: reader.get_waiting_prefill_tokens(),
        running_decode: reader.get_running_decode(),
        slots: reader.get_slots(),
        flags: reader.get_flags(),
        state_sequence: reader.get_state_sequence(),
    }
}

pub(super) fn read_suspects(
    reader: peer_capnp::suspect_report::Reader<'_>,
) -> capnp::Result<SuspectReport> {
    let crashes = reader.get_crashes()?.iter().map(read_crash);
    let answers = reader.get_answers()?.iter();
    Ok(SuspectReport {
        crashes: crashes.collect::<capnp::Result<_>>()?,
        answers: answers.map(read_answer).collect(),
    })
}

fn read_crash(reader: peer_capnp::crash::Reader<'_>) -> capnp::Result<CrashRecord> {
    let keys: Vec<u64> = reader.get_keys()?.iter().collect();
    let id = match reader.get_id() {
        0 => crash_hash(reader, &keys),
        id => id,
    };
    Ok(CrashRecord {
        id,
        keys,
        target_hash: reader.get_target(),
        age_ms: reader.get_age_ms().into(),
        in_flight_ms: reader.get_in_flight_ms().into(),
        is_trial: reader.get_is_trial(),
    })
}

/// Stands for the id of a crash that a daemon of an earlier version reports, which sends none.
fn crash_hash(reader: peer_capnp::crash::Reader<'_>, keys: &[u64]) -> u64 {
    let content = (reader.get_target(), reader.get_in_flight_ms(), keys);
    hash::BuildHasherDefault::<xxh3::Xxh3Default>::default().hash_one(content)
}

fn read_answer(reader: peer_capnp::key_answer::Reader<'_>) -> AnswerRecord {
    AnswerRecord {
        key: reader.get_key(),
        age_ms: reader.get_age_ms().into(),
    }
}

pub(super) fn write_config(
    config: &ConfigVersion,
    mut builder: peer_capnp::config::Builder<'_>,
) -> capnp::Result<()> {
    let body = serde_json::to_vec(&config.deployment).map_err(to_capnp_error)?;
    builder.set_version(config.version);
    builder.set_operator(config.operator.as_str());
    builder.set_body(&body);
    Ok(())
}

/// Returns `None` for version 0, which means that the callee has no newer configuration.
pub(super) fn read_config(
    reader: peer_capnp::config::Reader<'_>,
) -> capnp::Result<Option<ConfigVersion>> {
    if reader.get_version() == 0 {
        return Ok(None);
    }
    Ok(Some(ConfigVersion {
        version: reader.get_version(),
        operator: reader.get_operator()?.to_string()?,
        deployment: serde_json::from_slice(reader.get_body()?).map_err(to_capnp_error)?,
    }))
}

pub(super) fn write_pieces(
    deltas: &[PieceDelta],
    mut list: struct_list::Builder<'_, peer_capnp::piece_set::Owned>,
) {
    for (index, delta) in deltas.iter().enumerate() {
        let mut builder = list.reborrow().get(index as u32);
        builder.set_target(delta.target_hash);
        builder.set_age_ms(delta.age_ms);
        builder.set_reset(delta.reset);
        let mut stored = builder.reborrow().init_stored(delta.stored.len() as u32);
        for (index, piece) in delta.stored.iter().enumerate() {
            stored.set(index as u32, *piece);
        }
        let mut removed = builder.init_removed(delta.removed.len() as u32);
        for (index, piece) in delta.removed.iter().enumerate() {
            removed.set(index as u32, *piece);
        }
    }
}

pub(super) fn read_pieces(reader: peer_capnp::piece_set::Reader<'_>) -> capnp::Result<PieceDelta> {
    Ok(PieceDelta {
        target_hash: reader.get_target(),
        age_ms: reader.get_age_ms(),
        stored: reader.get_stored()?.iter().collect(),
        removed: reader.get_removed()?.iter().collect(),
        reset: reader.get_reset(),
    })
}
