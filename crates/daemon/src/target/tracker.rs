//! Withdrawal causes of a target and the values that change with polls and requests.

use std::{
    sync,
    sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, Ordering},
    time::{Duration, Instant},
};

use acaciabank_core::{admit, route};
use acaciabank_protocol::wire;
use tokio::sync::Mutex;

use super::{ReportAge, TargetCondition, TargetState, WithdrawalCause};
use acaciabank_relay::connection;

/// Consecutive successful polls after which a target returns to service.
const MIN_SUCCESSFUL_POLLS: u32 = 2;
/// Longest time for which the growth of other daemons' requests is extrapolated from a report; the
/// extrapolation is meaningless beyond it.
const MAX_GROWTH_AGE: Duration = Duration::from_secs(2);

/// Withdrawal causes, counters and connections of one target, changed in place.
#[derive(Debug)]
pub struct TargetTracker {
    /// Set withdrawal causes, one [`bit`] each.
    causes: AtomicU8,
    backoff_until_ms: AtomicU64,
    successful_polls: AtomicU32,
    has_report: AtomicBool,
    /// Number of cause changes; sent with the owner's summaries.
    pub(super) state_sequence: AtomicU32,
    /// Whether a poll is in flight.
    pub(super) is_polling: AtomicBool,
    pub(super) poll_session: Mutex<PollSession>,
    /// Number of this daemon's requests in flight at the target that are suspected of crashing
    /// targets.
    pub(crate) suspects: AtomicU32,
    /// Prompt tokens of this daemon's requests at the target that wait for their first token.
    pub(crate) own_prefill_tokens: AtomicU64,
    /// Value of `own_prefill_tokens` when the last load report arrived.
    own_prefill_at_report: AtomicU64,
    /// Adaptive limit, lowered when the target refuses requests for load.
    limit: sync::Mutex<admit::ConcurrencyLimit>,
    /// Value of `limit`, read without the lock.
    current_limit: AtomicU32,
    /// Idle connections for requests.
    pub(crate) idle_pool: connection::IdlePool,
}

/// State that successive polls of a target share.
#[derive(Debug, Default)]
pub(super) struct PollSession {
    pub(super) connection: Option<connection::TargetConnection>,
    pub(super) boot_id: String,
    /// Sequence number up to which the cache events of this boot have been read.
    pub(super) next_event: u64,
    /// Ages of the engine's load reports.
    pub(super) load_age: ReportAge,
    /// Whether a service is known to have no `/admin/state`.
    pub(super) lacks_state_path: bool,
}

impl TargetTracker {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            causes: AtomicU8::new(0),
            backoff_until_ms: AtomicU64::new(0),
            successful_polls: AtomicU32::new(0),
            has_report: AtomicBool::new(false),
            state_sequence: AtomicU32::new(0),
            is_polling: AtomicBool::new(false),
            poll_session: Mutex::default(),
            suspects: AtomicU32::new(0),
            own_prefill_tokens: AtomicU64::new(0),
            own_prefill_at_report: AtomicU64::new(0),
            limit: sync::Mutex::new(admit::ConcurrencyLimit::new(slots)),
            current_limit: AtomicU32::new(slots.max(1)),
            idle_pool: connection::IdlePool::default(),
        }
    }

    /// The first set cause, in order of precedence for operators.
    fn cause(&self) -> Option<WithdrawalCause> {
        let causes = self.causes.load(Ordering::Acquire);
        let precedence = [
            WithdrawalCause::Drained,
            WithdrawalCause::HostLeaving,
            WithdrawalCause::Switching,
            WithdrawalCause::Unreachable,
            WithdrawalCause::OrderPending,
        ];
        precedence
            .into_iter()
            .find(|cause| causes & bit(*cause) != 0)
    }
}

/// Bit of the cause in `causes`; `Unknown` is never set there and has none.
fn bit(cause: WithdrawalCause) -> u8 {
    match cause {
        WithdrawalCause::Drained => 1,
        WithdrawalCause::HostLeaving => 2,
        WithdrawalCause::Switching => 4,
        WithdrawalCause::Unreachable => 8,
        WithdrawalCause::OrderPending => 16,
        WithdrawalCause::Unknown => 0,
    }
}

impl TargetState {
    /// Whether new work may go to the target now: no withdrawal cause is set and no backoff runs.
    pub fn is_accepting(&self, now_ms: u64) -> bool {
        self.tracker.causes.load(Ordering::Acquire) == 0
            && self.tracker.backoff_until_ms.load(Ordering::Acquire) <= now_ms
    }

    /// Remaining backoff of a target that no withdrawal cause keeps from accepting work; `None`
    /// when no backoff runs.
    pub(crate) fn remaining_backoff(&self, now_ms: u64) -> Option<Duration> {
        let until_ms = self.tracker.backoff_until_ms.load(Ordering::Acquire);
        let is_only_backed_off =
            self.tracker.causes.load(Ordering::Acquire) == 0 && until_ms > now_ms;
        is_only_backed_off.then(|| Duration::from_millis(until_ms - now_ms))
    }

    /// Whether the given withdrawal cause is set.
    pub fn has_cause(&self, cause: WithdrawalCause) -> bool {
        self.tracker.causes.load(Ordering::Acquire) & bit(cause) != 0
    }

    /// Sets or clears one withdrawal cause.
    pub fn set_cause(&self, cause: WithdrawalCause, is_set: bool) {
        let previous = match is_set {
            true => self.tracker.causes.fetch_or(bit(cause), Ordering::AcqRel),
            false => self.tracker.causes.fetch_and(!bit(cause), Ordering::AcqRel),
        };
        if (previous & bit(cause) != 0) == is_set {
            return;
        }
        self.tracker.state_sequence.fetch_add(1, Ordering::AcqRel);
        log::info!(
            "target {}: withdrawal cause {cause:?} {}",
            self.id,
            if is_set { "set" } else { "cleared" }
        );
        self.update_condition(|_| {});
    }

    /// Keeps this daemon from sending work to the target for `backoff_ms`, such as after a failed
    /// connect.
    pub fn back_off(&self, backoff_ms: u64) {
        let until_ms = super::now_ms() + backoff_ms;
        self.tracker
            .backoff_until_ms
            .fetch_max(until_ms, Ordering::AcqRel);
    }

    /// Records a poll that found the target unreachable or switching; `cause` says which.
    pub(super) fn record_failed_poll(&self, cause: WithdrawalCause) {
        self.tracker.successful_polls.store(0, Ordering::Release);
        self.set_cause(cause, true);
    }

    /// Records a poll that found the target in service.
    pub(super) fn record_successful_poll(&self) {
        let polls = self.tracker.successful_polls.fetch_add(1, Ordering::AcqRel) + 1;
        if polls >= MIN_SUCCESSFUL_POLLS {
            self.set_cause(WithdrawalCause::Unreachable, false);
            self.set_cause(WithdrawalCause::Switching, false);
        }
    }

    /// Stores a load report that is `age` old.
    pub(super) fn record_load(&self, load: wire::EngineLoad, age: Duration) {
        let now = Instant::now();
        let load_as_of = now.checked_sub(age).unwrap_or(now);
        let own = self.own_in_flight.load(Ordering::Acquire);
        let own_prefill = self.tracker.own_prefill_tokens.load(Ordering::Acquire);
        self.tracker
            .own_prefill_at_report
            .store(own_prefill, Ordering::Release);
        let is_first = !self.tracker.has_report.swap(true, Ordering::AcqRel);
        self.update_condition(|condition| {
            let others = (load.running + load.waiting).saturating_sub(own);
            let previous = &condition.load;
            let previous_others = (previous.running + previous.waiting)
                .saturating_sub(condition.own_in_flight_at_report);
            let elapsed_ms = load_as_of
                .saturating_duration_since(condition.load_as_of)
                .as_millis();
            let growth = u128::from(others.saturating_sub(previous_others)) * 1_000;
            condition.others_growth_per_s = match is_first {
                true => 0,
                false => growth.checked_div(elapsed_ms).unwrap_or(0) as u32,
            };
            condition.load = load.clone();
            condition.load_as_of = load_as_of;
            condition.own_in_flight_at_report = own;
        });
    }

    /// Replaces the condition with a changed copy whose `accepting` and `cause` reflect the causes
    /// now set.
    pub(super) fn update_condition(&self, change: impl Fn(&mut TargetCondition)) {
        self.condition.rcu(|current| {
            let mut condition = TargetCondition::clone(current);
            change(&mut condition);
            let cause = self.tracker.cause();
            let has_report = self.tracker.has_report.load(Ordering::Acquire);
            condition.accepting = cause.is_none();
            condition.cause = cause.or((!has_report).then_some(WithdrawalCause::Unknown));
            condition
        });
    }

    /// Number of requests at the target, estimated from the last report, this daemon's requests
    /// since and the extrapolated growth of the others'.
    pub fn estimated_load(&self, condition: &TargetCondition, now: Instant) -> u32 {
        let age = now
            .saturating_duration_since(condition.load_as_of)
            .min(MAX_GROWTH_AGE);
        let growth = u128::from(condition.others_growth_per_s) * age.as_millis() / 1_000;
        route::estimated_load(
            condition.load.running + condition.load.waiting,
            condition.own_in_flight_at_report,
            self.own_in_flight.load(Ordering::Acquire),
            growth as u32,
        )
    }

    /// Prompt tokens that wait for prefill at the target, estimated from the last report and this
    /// daemon's requests since.
    pub fn estimated_prefill_tokens(&self, condition: &TargetCondition) -> u64 {
        let at_report = self.tracker.own_prefill_at_report.load(Ordering::Acquire);
        let others = condition
            .load
            .waiting_prefill_tokens
            .saturating_sub(at_report);
        others + self.tracker.own_prefill_tokens.load(Ordering::Acquire)
    }

    /// Number of concurrent requests that the adaptive limit allows at the target now.
    pub fn limit(&self) -> u32 {
        self.tracker.current_limit.load(Ordering::Acquire)
    }

    /// Adapts the limit after a completed request, or after a refusal for load if `is_overloaded`.
    pub(crate) fn adapt_limit(&self, is_overloaded: bool) {
        let Ok(mut limit) = self.tracker.limit.lock() else {
            return;
        };
        match is_overloaded {
            true => limit.record_overload(),
            false => limit.record_success(),
        }
        self.tracker
            .current_limit
            .store(limit.limit(), Ordering::Release);
    }
}
