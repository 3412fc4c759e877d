//! Records of streams, which one daemon writes for all: the store charges each call, and many streams
//! begin in the time of one.

use std::{cell::RefCell, net, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::{
    clock, platform, reply,
    scheduler::{self, PeerMessage},
    state,
};

/// Time for which records are collected into one transaction.
const COLLECT_TIME: Duration = Duration::from_millis(40);
/// Time limit for the answer of the daemon that writes, after which this one writes itself.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// Time limit for a write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// Records of one transaction: the store takes a hundred rows.
const MAX_RECORDS: usize = 100;
/// Records that wait; further ones are written by the daemons that ask.
const MAX_WAITING: usize = 1_000;

/// A stream to record, for the daemon that writes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordRequest {
    /// Random id of the request.
    id: u64,
    /// What to record.
    record: platform::StreamRecord,
}

/// Response to a [`RecordRequest`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RecordResponse {
    /// Id of the request.
    id: u64,
    /// Whether the record was written.
    is_written: bool,
}

/// A record that waits to be written, and the daemon that asked; `None` for this one.
#[derive(Debug)]
struct WaitingRecord {
    request: RecordRequest,
    sender: Option<net::SocketAddr>,
}

/// Records that wait to be written, and questions of this daemon about its own.
#[derive(Debug, Default)]
pub struct RecordQueue {
    waiting: RefCell<Vec<WaitingRecord>>,
    changed: Notify,
    pending: reply::PendingReplies<bool>,
}

impl RecordQueue {
    fn add(&self, request: RecordRequest, sender: Option<net::SocketAddr>) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= MAX_WAITING {
            return super::count("queue_full");
        }
        waiting.push(WaitingRecord { request, sender });
        self.changed.notify_one();
    }
}

/// Has a record written.
///
/// # Errors
///
/// Returns a message if it was not written, or if that is not known.
pub async fn write<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    record: platform::StreamRecord,
) -> Result<(), String> {
    let request = RecordRequest {
        id: rand::random(),
        record,
    };
    let queue = &state.versions.records;
    let mut reply = queue.pending.open(request.id);
    let record = request.record.clone();
    match writer_address(state) {
        Some(address) => {
            let message = PeerMessage::RecordRequest(request);
            state.scheduler.send(&message, address);
        }
        None => queue.add(request, None),
    }
    match reply.wait(ANSWER_TIMEOUT).await {
        Some(true) => Ok(()),
        Some(false) => Err("the store did not write the record".to_owned()),
        // A second write of the same record does no harm.
        None => write_all(state, &[record]).await,
    }
}

/// Returns the address of the daemon that writes; `None` if it is this one.
fn writer_address<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
) -> Option<net::SocketAddr> {
    let candidates = scheduler::candidates(state, clock::now_ms());
    let first = candidates.first()?.daemon_hash;
    match first == state.daemon_hash {
        true => None,
        false => state.peers.borrow().address_of(first),
    }
}

async fn write_all<Codec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    records: &[platform::StreamRecord],
) -> Result<(), String> {
    let write = state.store.write_stream_versions(records);
    match tokio::time::timeout(WRITE_TIMEOUT, write).await {
        Ok(result) => result.map_err(|error| error.to_string()),
        Err(_) => Err("no response in time".to_owned()),
    }
}

/// Accepts a record of another daemon.
pub fn handle_request<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    request: RecordRequest,
    sender: net::SocketAddr,
) {
    state.versions.records.add(request, Some(sender));
}

/// Passes a response to the task that waits for it.
pub fn receive_response<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    response: RecordResponse,
) {
    let pending = &state.versions.records.pending;
    pending.resolve(response.id, response.is_written);
}

/// Writes the records that wait until the process ends.
pub async fn run<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
) {
    let queue = &state.versions.records;
    loop {
        if queue.waiting.borrow().is_empty() {
            queue.changed.notified().await;
        }
        tokio::time::sleep(COLLECT_TIME).await;
        let batch: Vec<WaitingRecord> = {
            let mut waiting = queue.waiting.borrow_mut();
            let count = waiting.len().min(MAX_RECORDS);
            waiting.drain(..count).collect()
        };
        if batch.is_empty() {
            continue;
        }
        let records: Vec<_> = batch
            .iter()
            .map(|waiting| waiting.request.record.clone())
            .collect();
        let written = write_all(&state, &records).await;
        if let Err(error) = &written {
            log::info!(records = records.len(), error = error.as_str(); "stream_versions_unwritten");
        }
        batch
            .iter()
            .for_each(|waiting| answer(&state, waiting, written.is_ok()));
    }
}

fn answer<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    waiting: &WaitingRecord,
    is_written: bool,
) {
    let response = RecordResponse {
        id: waiting.request.id,
        is_written,
    };
    match waiting.sender {
        None => receive_response(state, response),
        Some(sender) => {
            let message = PeerMessage::RecordResponse(response);
            state.scheduler.send(&message, sender);
        }
    }
}
