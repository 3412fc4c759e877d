//! Counts the requests that begin to run.

use acaciabank_protocol::verdict::Verdict;

use super::{is_active, unix_ms};
use crate::{dispatch::RelayRequest, state};

/// Counts a request that began to run at the given time, unless it is counted already. Requests
/// without a team are not counted.
pub fn record_run<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    begun_unix_ms: u64,
) {
    let Some(team) = request.team.as_ref().filter(|_| is_active(state)) else {
        return;
    };
    if request.is_counted.replace(true) {
        return;
    }
    let mut counter = state.usage.counter.borrow_mut();
    let is_late = !counter.record(begun_unix_ms, team.hash);
    drop(counter);
    if is_late {
        super::report::count_late(state, 1);
    }
}

/// A request that is being sent to a plain service. When it is dropped, the request is counted for
/// the time of its creation if it may have run. Its window stays open until then.
pub struct PendingRun<'a, Codec, Store> {
    state: &'a state::RelayState<Codec, Store>,
    request: &'a RelayRequest,
    sent_unix_ms: u64,
}

impl<'a, Codec, Store> PendingRun<'a, Codec, Store> {
    /// Starts an attempt; `None` if the request needs not be counted.
    pub fn start(
        state: &'a state::RelayState<Codec, Store>,
        request: &'a RelayRequest,
    ) -> Option<Self> {
        if request.team.is_none() || request.is_counted.get() || !is_active(state) {
            return None;
        }
        let sent_unix_ms = unix_ms(state);
        let mut counter = state.usage.counter.borrow_mut();
        counter.begin_pending(sent_unix_ms);
        drop(counter);
        Some(Self {
            state,
            request,
            sent_unix_ms,
        })
    }
}

impl<Codec, Store> Drop for PendingRun<'_, Codec, Store> {
    fn drop(&mut self) {
        if self.request.sent.verdict() == Verdict::MayHaveRun {
            record_run(self.state, self.request, self.sent_unix_ms);
        }
        let mut counter = self.state.usage.counter.borrow_mut();
        counter.end_pending(self.sent_unix_ms);
    }
}
