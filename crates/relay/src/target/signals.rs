//! What targets signal in their responses: how it is recorded, and whether requests may be sent.

use std::net;

use acaciabank_core::{
    rate_limit::{AnswerTimes, LimitChange},
    target_signal::{LeavingMark, LeavingSource, SignalState},
};

use super::{TargetRegistry, TargetState};
use crate::{clock, platform, state};

impl TargetState {
    /// Whether the target has stated that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.signals.get().leaving().is_some()
    }

    /// Whether nothing may be sent to the target: it leaves, or wants no requests for now.
    pub fn is_blocked(&self, now_ms: u64) -> bool {
        self.signals.get().is_blocked(now_ms)
    }

    /// Returns the time until which the target wants no requests, if that is not over.
    pub fn paused_until_ms(&self, now_ms: u64) -> Option<u64> {
        self.signals.get().paused_until_ms(now_ms)
    }

    /// Whether a further request may be sent to the target by what it has signalled.
    pub fn allows_request(&self, now_ms: u64) -> bool {
        let resumed_sends = self.resumed_sends.get().unwrap_or(0);
        self.signals.get().accepts(resumed_sends, now_ms)
    }

    /// Whether a request that was admitted may still be written.
    pub fn allows_write(&self, now_ms: u64) -> bool {
        !self.is_draining.get() && !self.is_replaced.get() && !self.is_blocked(now_ms)
    }

    /// Counts a request that is about to be sent; returns whether it may be.
    pub fn admit_request(&self, now_ms: u64) -> bool {
        if !self.allows_write(now_ms) || !self.allows_request(now_ms) {
            return false;
        }
        if let Some(sends) = self.resumed_sends.get() {
            if sends == 0 {
                log::info!(target_id = self.entry.id.as_str(), cause = "header"; "target_resumed");
            }
            let is_over = self.signals.get().has_resumed(now_ms);
            self.resumed_sends.set((!is_over).then_some(sends + 1));
        }
        true
    }

    /// Adopts the signals of the incarnation.
    pub(super) fn set_signals(&self, signals: SignalState) {
        if signals != self.signals.get() {
            self.resumed_sends.set(Some(0));
        }
        self.signals.set(signals);
        if signals.leaving().is_some() {
            self.pool.retire();
        }
    }
}

/// Origin of a signal.
#[derive(Clone, Copy, Debug)]
pub(super) struct SignalOrigin {
    /// Incarnation that was listed, and for which the signal was recorded.
    hash: u64,
    /// Address that the connection was opened to.
    address: net::SocketAddr,
    /// Time of day at which the connection was opened.
    connected_unix_ms: u64,
}

/// Whether an incarnation has sent the responses on a connection to its address: it had started
/// before the connection was opened.
fn is_sender(
    entry: &platform::TargetEntry,
    address: net::SocketAddr,
    connected_unix_ms: u64,
) -> bool {
    entry.address == address && entry.born_ms <= connected_unix_ms
}

impl TargetRegistry {
    /// Gives a target that has just been listed the signals recorded for its incarnation, and those
    /// that it gave while the entry of a former incarnation was still listed.
    pub(super) fn adopt_signals(&mut self, target: &TargetState) {
        let id = target.entry.id.as_str();
        let mut signals = self.signals_of(target.hash);
        let origin = self.signal_origins.get(id);
        let origin = origin.filter(|origin| {
            let is_other = origin.hash != target.hash;
            is_other && is_sender(&target.entry, origin.address, origin.connected_unix_ms)
        });
        if let Some(origin) = origin {
            signals.merge(self.signals_of(origin.hash));
            let now_ms = clock::now_ms();
            let until_ms = signals.paused_until_ms(now_ms).unwrap_or(now_ms);
            log::info!(
                target_id = id, leaving = signals.leaving().is_some(), pause_ms = until_ms - now_ms;
                "target_signals_adopted"
            );
        }
        if signals != SignalState::default() {
            self.signals.insert(target.hash, signals);
            target.set_signals(signals);
        }
    }

    /// Records that an incarnation leaves, whether it is listed or not; returns whether that is
    /// new.
    pub fn record_leaving(&mut self, hash: u64, mark: LeavingMark, now_ms: u64) -> bool {
        self.change_signals(hash, now_ms, |signals| signals.record_leaving(mark))
    }

    /// Records that an incarnation wants no requests for `pause_ms`; returns whether it was not
    /// paused before. `jitter` is a random number between 0 and 1.
    pub fn record_pause(&mut self, hash: u64, pause_ms: u64, now_ms: u64, jitter: f64) -> bool {
        self.change_signals(hash, now_ms, |signals| {
            signals.record_pause(pause_ms, now_ms, jitter)
        })
    }

    /// Applies that a target names another limit than before. The first requests after the end of a
    /// limit are spread like those after a pause. `jitter` is a random number between 0 and 1.
    pub fn apply_limit_change(&mut self, hash: u64, change: LimitChange, now_ms: u64, jitter: f64) {
        if let Some(target) = self.by_hash.get(&hash) {
            target.release_held(change);
        }
        if change == LimitChange::Ended {
            self.record_pause(hash, 0, now_ms, jitter);
        }
    }

    /// Returns the marks of all incarnations that leave, by hash.
    pub fn leaving_marks(&self) -> impl Iterator<Item = (u64, LeavingMark)> {
        let marks = self.signals.iter();
        marks.filter_map(|(hash, signals)| Some((*hash, signals.leaving()?)))
    }

    /// Returns the hashes of a service's targets to which nothing may be sent because of their
    /// signals.
    pub fn blocked_hashes(&self, service: &str, now_ms: u64) -> impl Iterator<Item = u64> {
        let targets = self.of_service(service).iter();
        let blocked =
            targets.filter(move |target| target.is_blocked(now_ms) || target.is_held_back(now_ms));
        blocked.map(|target| target.hash)
    }

    /// Returns the listed target that has sent a response on a connection to `target`: another one
    /// may have taken over the address, or a new incarnation with the same id. `instance` is the id
    /// that the response names.
    fn responder<'a>(
        &'a self,
        target: &'a TargetState,
        instance: Option<&str>,
        connected_unix_ms: u64,
    ) -> Option<&'a TargetState> {
        let address = target.entry.address;
        match instance.filter(|id| *id != target.entry.id) {
            None => {
                let newest = self.by_id(&target.entry.id);
                let newest =
                    newest.filter(|newest| is_sender(&newest.entry, address, connected_unix_ms));
                Some(newest.unwrap_or(target))
            }
            Some(id) => self
                .by_id(id)
                .filter(|named| named.entry.address == address),
        }
    }

    fn change_signals(
        &mut self,
        hash: u64,
        now_ms: u64,
        change: impl FnOnce(&mut SignalState) -> bool,
    ) -> bool {
        let by_hash = &self.by_hash;
        self.signals.retain(|hash, signals| {
            let is_listed_leaving = signals.leaving().is_some() && by_hash.contains_key(hash);
            is_listed_leaving || signals.is_kept_unlisted(now_ms)
        });
        let kept = &self.signals;
        self.signal_origins
            .retain(|_, origin| kept.contains_key(&origin.hash));
        let signals = self.signals.entry(hash).or_default();
        let is_new = change(signals);
        if let Some(target) = by_hash.get(&hash) {
            target.set_signals(*signals);
        }
        is_new
    }

    fn signals_of(&self, hash: u64) -> SignalState {
        self.signals.get(&hash).copied().unwrap_or_default()
    }
}

/// Where and when a response of a target was received.
#[derive(Clone, Copy, Debug)]
pub struct ResponseOrigin {
    /// Time of day at which its connection was opened.
    pub connected_unix_ms: u64,
    /// Time at which its request was sent.
    pub sent_ms: u64,
    /// Whether it is the target's response to the caller's request that was sent. Others may lack a
    /// limit that the target names.
    pub is_answer: bool,
}

/// Records the signals of a response that was received on a connection to `target`.
pub fn record_response<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    target: &TargetState,
    metadata: &platform::ResponseMetadata,
    received: ResponseOrigin,
) {
    target.has_responded.set(true);
    let signals = &metadata.signals;
    if signals.is_empty() && state.rate_limits.is_empty() {
        return;
    }
    log_fault(target, metadata);
    let now_ms = clock::now_ms();
    let connected_unix_ms = received.connected_unix_ms;
    let instance = metadata.instance.as_deref();
    let mut registry = state.targets.borrow_mut();
    let Some((hash, id)) = registry
        .responder(target, instance, connected_unix_ms)
        .map(|responder| (responder.hash, responder.entry.id.clone()))
    else {
        return;
    };
    let states_limit = match signals.limit {
        Some(_) => true,
        // An unreadable limit does not say that there is none.
        None => received.is_answer && signals.fault.is_none(),
    };
    if states_limit {
        let times = AnswerTimes {
            sent_ms: received.sent_ms,
            received_ms: now_ms,
        };
        let change = state.rate_limits.record_answer(hash, signals.limit, times);
        if change != LimitChange::Unchanged {
            registry.apply_limit_change(hash, change, now_ms, rand::random());
            log_limit(&id, change, LeavingSource::Response, 0);
            state.report_now.notify_one();
        }
    }
    if signals.is_empty() {
        return;
    }
    if signals.is_leaving {
        let (source, since_ms) = (LeavingSource::Response, now_ms);
        if registry.record_leaving(hash, LeavingMark { source, since_ms }, now_ms) {
            log_leaving(&id, source, 0);
            state.report_now.notify_one();
        }
    }
    if let Some(pause_ms) = signals.pause_ms {
        count_signal("pause", LeavingSource::Response);
        if registry.record_pause(hash, pause_ms, now_ms, rand::random()) {
            log::info!(
                target_id = id.as_str(), cause = "header", pause_ms = pause_ms, age_ms = 0;
                "target_paused"
            );
        }
    }
    let origin = SignalOrigin {
        hash,
        address: target.entry.address,
        connected_unix_ms,
    };
    registry.signal_origins.insert(id, origin);
    // The request may belong to a target that is no longer listed.
    if hash == target.hash {
        target.set_signals(registry.signals_of(hash));
    }
}

/// Logs and counts that a target leaves, as its response has stated `age_ms` ago.
pub(crate) fn log_leaving(id: &str, source: LeavingSource, age_ms: u64) {
    count_signal("leaving", source);
    log::info!(target_id = id, cause = source.as_str(), age_ms = age_ms; "target_leaving");
}

/// Logs and counts that a target names another limit than before, as it has stated `age_ms` ago.
pub(crate) fn log_limit(id: &str, change: LimitChange, source: LeavingSource, age_ms: u64) {
    let limit = match change {
        LimitChange::Unchanged => return,
        LimitChange::Named(limit) | LimitChange::Changed(limit) => limit,
        LimitChange::Ended => {
            count_signal("limit_ended", source);
            log::info!(
                target_id = id, cause = source.as_str(), age_ms = age_ms;
                "target_limit_ended"
            );
            return;
        }
    };
    count_signal("limit", source);
    log::info!(
        target_id = id, cause = source.as_str(), per_s = limit.per_s(), age_ms = age_ms;
        "target_limit"
    );
}

fn count_signal(signal: &'static str, source: LeavingSource) {
    metrics::counter!(
        "acaciabank_target_signals_total",
        "signal" => signal,
        "cause" => source.as_str()
    )
    .increment(1);
}

fn log_fault(target: &TargetState, metadata: &platform::ResponseMetadata) {
    let Some(fault) = metadata.signals.fault else {
        return;
    };
    metrics::counter!("acaciabank_target_signal_faults_total", "fault" => fault.as_str())
        .increment(1);
    if !target.has_logged_fault.replace(true) {
        log::warn!(
            target_id = target.entry.id.as_str(), fault = fault.as_str(),
            pause_ms = metadata.signals.pause_ms,
            per_s = metadata.signals.limit.map(|limit| limit.per_s());
            "target_signal_malformed"
        );
    }
}
