//! Trials of crash suspects: of the requests that share a suspected key, one at a time runs over all
//! daemons, until it is answered or has crashed its target.
//!
//! The daemon of the first rank grants trials. A daemon asks it in one datagram and gets the answer
//! in another; the end of the trial is reported together with what it has shown. If neither that
//! daemon nor the next one responds, the daemon decides by what it knows itself.

mod client;
mod server;

pub use client::{TrialPermit, receive_response, request_trial};
pub use server::{handle_end, handle_request};

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};

use acaciabank_core::suspect;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::reply;

/// Shortest interval between two questions of this daemon about trials of a key.
const ASK_INTERVAL_MS: u64 = 40;
/// Largest number of requests that wait for a trial or the answer of another one.
const MAX_WAITING: usize = 128;
/// Largest total size of their bodies.
const MAX_WAITING_BYTES: usize = 4 << 20;

/// A request to run a suspect.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TrialRequest {
    /// Random id of the trial.
    pub id: u64,
    /// Keys of the request and of its prompt parts that other requests may share.
    pub keys: Vec<u64>,
    /// What the asking daemon knows of the keys: it may have heard of a crash first.
    pub suspects: suspect::SuspectReport,
}

/// Response to a [`TrialRequest`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct TrialResponse {
    /// Id of the trial.
    pub id: u64,
    /// Whether the request may run.
    pub answer: suspect::TrialAnswer,
}

/// The end of a trial.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TrialEnd {
    /// Id of the trial.
    pub id: u64,
    /// Whether the request was sent to a target.
    pub was_sent: bool,
    /// What the daemon that ran it knows of its keys.
    pub suspects: suspect::SuspectReport,
}

/// State of a daemon as one that asks for trials and as the one that grants them.
#[derive(Debug, Default)]
pub struct TrialState {
    /// Trials that this daemon has granted.
    granted: RefCell<suspect::TrialTable>,
    /// Questions of this daemon that wait for a response, by id.
    pending: reply::PendingReplies<suspect::TrialAnswer>,
    /// Time of the last question by key.
    asked_ms: RefCell<HashMap<u64, u64>>,
    waiting: Cell<usize>,
    waiting_bytes: Cell<usize>,
    changed: Notify,
}

impl TrialState {
    /// Wakes the requests that wait for a trial, as more is known about suspects.
    pub fn wake_waiting(&self) {
        self.changed.notify_waiters();
    }

    /// Waits until more is known about suspects.
    pub async fn wait_changed(&self) {
        self.changed.notified().await;
    }

    /// Counts a request with a body of the given size as waiting; `None` if too many do.
    pub fn enter(&self, body_bytes: usize) -> Option<WaitingSlot<'_>> {
        let bytes = self.waiting_bytes.get() + body_bytes;
        if self.waiting.get() >= MAX_WAITING || bytes > MAX_WAITING_BYTES {
            return None;
        }
        self.waiting.set(self.waiting.get() + 1);
        self.waiting_bytes.set(bytes);
        let trials = self;
        Some(WaitingSlot { trials, body_bytes })
    }

    /// Whether this daemon may ask about a trial of a request with these suspected keys now. Records
    /// the question if so.
    pub fn may_ask(&self, open_keys: &[u64], now_ms: u64) -> bool {
        let mut asked_ms = self.asked_ms.borrow_mut();
        let is_recent = |asked_ms: u64| now_ms.saturating_sub(asked_ms) < ASK_INTERVAL_MS;
        asked_ms.retain(|_, asked_ms| is_recent(*asked_ms));
        if open_keys.iter().any(|key| asked_ms.contains_key(key)) {
            return false;
        }
        asked_ms.extend(open_keys.iter().map(|key| (*key, now_ms)));
        true
    }
}

/// A request that is counted as waiting until this is dropped.
#[derive(Debug)]
pub struct WaitingSlot<'a> {
    trials: &'a TrialState,
    body_bytes: usize,
}

impl Drop for WaitingSlot<'_> {
    fn drop(&mut self) {
        let trials = self.trials;
        trials.waiting.set(trials.waiting.get() - 1);
        let bytes = trials.waiting_bytes.get() - self.body_bytes;
        trials.waiting_bytes.set(bytes);
    }
}
