//! Packed encoding of heartbeats, load reports and suspicions.

use std::time;

use acaciabank_core::member::{Heartbeat, LoadReport};
use acaciabank_protocol::peer_capnp;
use capnp::{message, serialize_packed};

use super::convert;

/// Contents of a gossip message other than full entries.
#[derive(Clone, Debug, Default)]
pub(super) struct Digest {
    pub(super) heartbeats: Vec<Heartbeat>,
    /// Load reports, each with the time at which this daemon received it.
    pub(super) reports: Vec<(LoadReport, time::Instant)>,
    pub(super) suspicions: Vec<Heartbeat>,
}

impl Digest {
    pub(super) fn is_empty(&self) -> bool {
        self.heartbeats.is_empty() && self.reports.is_empty() && self.suspicions.is_empty()
    }

    /// Encodes the digest; increases ages by the time for which this daemon has held the report. An
    /// empty digest is encoded as no bytes.
    pub(super) fn pack(&self, now: time::Instant) -> Vec<u8> {
        let mut bytes = Vec::new();
        if self.is_empty() {
            return bytes;
        }
        let mut message = message::Builder::new_default();
        let mut root = message.init_root::<peer_capnp::digest::Builder<'_>>();
        let heartbeats = root
            .reborrow()
            .init_heartbeats(self.heartbeats.len() as u32);
        write_heartbeats(&self.heartbeats, heartbeats);
        let mut reports = root.reborrow().init_reports(self.reports.len() as u32);
        for (index, (report, received_at)) in self.reports.iter().enumerate() {
            let held = now.saturating_duration_since(*received_at);
            let held_ms = u32::try_from(held.as_millis()).unwrap_or(u32::MAX);
            write_report(report, held_ms, reports.reborrow().get(index as u32));
        }
        let suspicions = root.init_suspicions(self.suspicions.len() as u32);
        write_heartbeats(&self.suspicions, suspicions);
        // Writing to a vector does not fail.
        let _ = serialize_packed::write_message(&mut bytes, &message);
        bytes
    }

    pub(super) fn unpack(bytes: &[u8], now: time::Instant) -> capnp::Result<Self> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let options = message::ReaderOptions::new();
        let message = serialize_packed::read_message(bytes, options)?;
        let root = message.get_root::<peer_capnp::digest::Reader<'_>>()?;
        let reports = root.get_reports()?.iter().map(read_report);
        let reports = reports.map(|report| report.map(|report| (report, now)));
        Ok(Self {
            heartbeats: read_heartbeats(root.get_heartbeats()?)?,
            reports: reports.collect::<capnp::Result<_>>()?,
            suspicions: read_heartbeats(root.get_suspicions()?)?,
        })
    }
}

fn write_heartbeats(
    heartbeats: &[Heartbeat],
    mut list: capnp::struct_list::Builder<'_, peer_capnp::heartbeat::Owned>,
) {
    for (index, heartbeat) in heartbeats.iter().enumerate() {
        write_heartbeat(heartbeat, list.reborrow().get(index as u32));
    }
}

pub(super) fn write_heartbeat(
    heartbeat: &Heartbeat,
    mut builder: peer_capnp::heartbeat::Builder<'_>,
) {
    builder.set_daemon(heartbeat.daemon_hash);
    builder.set_boot(heartbeat.short_boot_id);
    builder.set_sequence(heartbeat.sequence);
    builder.set_state(convert::write_state(heartbeat.state));
    builder.set_config_version(heartbeat.config_version);
}

fn read_heartbeats(
    list: capnp::struct_list::Reader<'_, peer_capnp::heartbeat::Owned>,
) -> capnp::Result<Vec<Heartbeat>> {
    list.iter().map(read_heartbeat).collect()
}

pub(super) fn read_heartbeat(
    reader: peer_capnp::heartbeat::Reader<'_>,
) -> capnp::Result<Heartbeat> {
    Ok(Heartbeat {
        daemon_hash: reader.get_daemon(),
        short_boot_id: reader.get_boot(),
        sequence: reader.get_sequence(),
        state: convert::read_state(reader.get_state()?),
        config_version: reader.get_config_version(),
    })
}

fn write_report(
    report: &LoadReport,
    held_ms: u32,
    mut builder: peer_capnp::load_report::Builder<'_>,
) {
    builder.set_daemon(report.daemon_hash);
    builder.set_boot(report.short_boot_id);
    builder.set_partial(report.partial);
    builder.set_sequence(report.sequence);
    let loads = builder.reborrow().init_loads(report.loads.len() as u32);
    convert::write_loads(&report.loads, held_ms, loads);
    if !report.suspects.is_empty() {
        convert::write_suspects(&report.suspects, held_ms, builder.init_suspects());
    }
}

fn read_report(reader: peer_capnp::load_report::Reader<'_>) -> capnp::Result<LoadReport> {
    Ok(LoadReport {
        daemon_hash: reader.get_daemon(),
        short_boot_id: reader.get_boot(),
        sequence: reader.get_sequence(),
        partial: reader.get_partial(),
        loads: reader.get_loads()?.iter().map(convert::read_load).collect(),
        suspects: convert::read_suspects(reader.get_suspects()?)?,
    })
}
