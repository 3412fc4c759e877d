//! Placement of a request: its place in the queue and the team's fair share, and the selection of
//! its target.

use std::{
    collections::HashMap,
    sync,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use acaciabank_core::{admit, cache, route, suspect};
use acaciabank_protocol::{ids, reason, settings, wire};
use tokio::sync::Notify;

use super::{
    CallerRequest, RequestWork,
    candidate::CandidateSampler,
    partition::TargetPartition,
    pool::{PoolInner, PoolKey, TargetPool},
    slot::TargetSlot,
    token_times,
};
use crate::{process, target};

/// Longest wait of a crash suspect for a target of this daemon's partition, which other daemons'
/// suspects avoid. A request that crashes its target does so within its first tokens, and requests
/// that are suspects by chance, such as all those of a lost zone, must not queue for long.
const MAX_PARTITION_WAIT: Duration = Duration::from_secs(1);
/// Longest wait of a request while no target accepts work. It covers the local backoff and the
/// polls after which a restarted target accepts requests again.
const MAX_NO_TARGET_WAIT: Duration = Duration::from_secs(4);
/// Number of waiting and running requests that is divided into the teams' shares, as a multiple of
/// the capacity. Above 1, teams may queue behind their own running requests.
const SHARE_CAPACITY_FACTOR: u32 = 4;
/// Number of completed requests before the observed service time is used for refusals.
const MIN_OBSERVATIONS: u64 = 16;
/// Number of observations after which a new service time keeps the weight `1 / AVERAGE_WINDOW`.
const AVERAGE_WINDOW: f64 = 16.0;
/// Piece size in the routing score of a service call, which has no prompt.
const SERVICE_CALL_PIECE_TOKENS: u64 = 1;

/// Expected time to the first output before one has been observed: that of a loaded target.
const INITIAL_FIRST_TIME: Duration = Duration::from_secs(1);

/// Message of the refusal of a crash suspect.
pub(super) const SUSPECT_MESSAGE: &str =
    "targets crashed while they ran this request or others whose prompts begin alike";

/// A request in its pool: it counts towards the team's fair share and may be in a queue.
pub(super) struct RequestPlacement {
    state: process::SharedState,
    pool: sync::Arc<TargetPool>,
    team: ids::TeamId,
    ticket: admit::QueueTicket,
    cost: route::RequestCost,
    /// Hashes of the prompt's complete pieces; empty for a service call.
    piece_hashes: sync::Arc<[u64]>,
    policy: settings::RoutingPolicy,
    fingerprint: u64,
    is_prompt_transferred: bool,
    /// Queue that the request is in, if any: `true` for that of crash suspects.
    queued_isolated: Option<bool>,
    /// Time until which a crash suspect waits for a target of this daemon's partition.
    partition_deadline: Instant,
}

/// Result of selecting a target.
enum Selection {
    /// A slot was reserved.
    Reserved(TargetSlot),
    /// Every accepting target is at its limit; the sum of their limits.
    Saturated(u32),
    /// No target accepts work; the remaining time of the shortest backoff, if any target is backed
    /// off.
    Unavailable(Option<Duration>),
    /// No target is configured for the model or service.
    NotConfigured,
}

impl RequestPlacement {
    pub(super) fn new(state: &process::SharedState, request: &CallerRequest) -> Self {
        let admission = &state.targets.admission;
        let pool = admission.pool(PoolKey::of(&request.work));
        pool.lock().share.enter(&request.team);
        let (cost, piece_hashes) = request_cost(request);
        Self {
            state: sync::Arc::clone(state),
            pool,
            team: request.team.clone(),
            ticket: admit::QueueTicket {
                priority: request.priority,
                deadline: request.deadline,
                arrival: admission.next_arrival(),
            },
            cost,
            piece_hashes: piece_hashes.into(),
            policy: request.config.deployment.policy.routing,
            fingerprint: request.fingerprint,
            is_prompt_transferred: false,
            queued_isolated: None,
            partition_deadline: Instant::now(),
        }
    }

    /// Returns the hashes of the prompt's complete pieces; empty for a service call.
    pub(super) fn piece_hashes(&self) -> sync::Arc<[u64]> {
        sync::Arc::clone(&self.piece_hashes)
    }

    /// Waits for a slot at a target. Targets in `avoided` are used only if no other accepts work.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the verdict `not_run`, or `may_have_run` for a refused crash suspect.
    pub(super) async fn place(
        &mut self,
        request: &CallerRequest,
        avoided: &[u32],
    ) -> Result<TargetSlot, reason::Refusal> {
        let isolated = self.check_isolation()?;
        self.partition_deadline = Instant::now() + MAX_PARTITION_WAIT;
        let notify = sync::Arc::new(Notify::new());
        let is_retry = !avoided.is_empty();
        let must_queue = self.pool.lock().queue(isolated).has_ahead_of(&self.ticket);
        let mut unavailable_since: Option<Instant> = None;
        let mut selection = match must_queue {
            true => Selection::Saturated(self.capacity()),
            false => self.select(avoided, isolated),
        };
        loop {
            let retry_at;
            match selection {
                Selection::Reserved(slot) => {
                    self.check_start_feasible(&slot)?;
                    self.leave_queue();
                    return Ok(slot);
                }
                Selection::NotConfigured => {
                    return Err(refuse(
                        reason::RefusalReason::NoTarget,
                        "no target is configured",
                    ));
                }
                Selection::Unavailable(backoff) => {
                    retry_at = backoff.map(|backoff| Instant::now() + backoff);
                    let since = *unavailable_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= MAX_NO_TARGET_WAIT {
                        return Err(refuse(
                            reason::RefusalReason::NoTarget,
                            "no target accepts work",
                        ));
                    }
                }
                Selection::Saturated(capacity) => {
                    unavailable_since = None;
                    retry_at = None;
                    if self.queued_isolated.is_none() && !is_retry {
                        self.check_admission(request, capacity, isolated)?;
                    }
                }
            }
            self.enter_queue(isolated, &notify);
            self.wait(&notify, unavailable_since, retry_at, isolated)
                .await?;
            // A crash may have been recorded for this request while it waited.
            self.check_isolation()?;
            selection = self.select(avoided, isolated);
        }
    }

    /// Reserves a slot at a prefill target for processing the prompt only, if that is faster and a
    /// slot is free now.
    pub(super) fn place_prefill(&self) -> Option<TargetSlot> {
        let is_adaptive = self.policy == settings::RoutingPolicy::Adaptive;
        let status = self.suspect_status();
        let is_clear = status == suspect::SuspectStatus::Clear;
        if !is_adaptive || !is_clear || self.pool.lock().waiting.has_ahead_of(&self.ticket) {
            return None;
        }
        let snapshot = self.state.targets.snapshot();
        let routes = self.routes(&snapshot);
        let matches = self.prefix_matches();
        let sampler = self.sampler(routes, &matches, &[], false);
        let seed = rand::random();
        let sample = sampler.sample(&snapshot.positions, seed);
        let views = sample.iter().map(|(_, view)| *view);
        let chosen = route::choose_prefill(&self.cost, views, seed)?;
        let (position, view) = &sample[chosen];
        self.reserve(&routes[*position].target, view, false)
    }

    /// Sets whether the prompt's cost is left out because its KV cache comes from another target.
    pub(super) fn set_prompt_transferred(&mut self, transferred: bool) {
        self.is_prompt_transferred = transferred;
    }

    /// Records the times of a complete response: `elapsed` of its last attempt, `first` from its
    /// arrival to its first output, and `rest` from then on.
    pub(super) fn record_response(&self, elapsed: Duration, first: Duration, rest: Duration) {
        let mut inner = self.pool.lock();
        inner.response_times.record_first(first);
        inner.response_times.record_rest(rest, self.cost.max_tokens);
        inner.observations += 1;
        let seconds = elapsed.as_secs_f64();
        let weight = 1.0 / AVERAGE_WINDOW.min(inner.observations as f64);
        inner.mean_service_s += (seconds - inner.mean_service_s) * weight;
    }

    /// Returns the expected time until the response ends. A prompt whose KV cache comes from another
    /// target has been processed.
    pub(super) fn expected_time(&self) -> Duration {
        let times = &self.pool.lock().response_times;
        let rest = times.expected_rest(self.cost.max_tokens);
        match self.is_prompt_transferred {
            true => rest,
            false => times.expected_first(INITIAL_FIRST_TIME) + rest,
        }
    }

    /// Waits to be woken, at most until the deadline or the next time at which the selection may
    /// change.
    async fn wait(
        &self,
        notify: &Notify,
        unavailable_since: Option<Instant>,
        retry_at: Option<Instant>,
        isolated: bool,
    ) -> Result<(), reason::Refusal> {
        let deadline = self.ticket.deadline;
        let mut until =
            unavailable_since.map_or(deadline, |since| deadline.min(since + MAX_NO_TARGET_WAIT));
        if isolated && Instant::now() < self.partition_deadline {
            until = until.min(self.partition_deadline);
        }
        until = retry_at.map_or(until, |retry_at| until.min(retry_at));
        let woken = tokio::time::timeout_at(until.into(), notify.notified()).await;
        match woken.is_err() && Instant::now() >= deadline {
            true => Err(refuse(
                reason::RefusalReason::DeadlinePassed,
                "no target was free in time",
            )),
            false => Ok(()),
        }
    }

    /// Whether the request is a crash suspect that must be isolated.
    fn check_isolation(&self) -> Result<bool, reason::Refusal> {
        match self.suspect_status() {
            suspect::SuspectStatus::Clear => Ok(false),
            suspect::SuspectStatus::Isolated => Ok(true),
            suspect::SuspectStatus::Refused => Err(reason::Refusal::with_verdict(
                reason::RefusalReason::SuspectRequest,
                acaciabank_protocol::verdict::Verdict::MayHaveRun,
                SUSPECT_MESSAGE,
            )),
        }
    }

    fn suspect_status(&self) -> suspect::SuspectStatus {
        let admission = &self.state.targets.admission;
        admission.suspect_status(self.fingerprint, &self.piece_hashes)
    }

    /// Checks the queue's length, the team's fair share and the deadline before a request is
    /// queued.
    fn check_admission(
        &self,
        request: &CallerRequest,
        capacity: u32,
        isolated: bool,
    ) -> Result<(), reason::Refusal> {
        let limits = &self.state.settings.limits;
        let mut inner = self.pool.lock();
        let queue = inner.queue(isolated);
        if queue.len() >= limits.max_queued_requests {
            return Err(refuse(
                reason::RefusalReason::Overloaded,
                "the queue is full",
            ));
        }
        let ahead = queue.ahead_of(&self.ticket);
        let teams = &request.config.deployment.teams;
        let weight_of = |team: &ids::TeamId| {
            let entry = teams.iter().find(|entry| entry.name == *team);
            entry.map_or(1, |entry| entry.weight)
        };
        inner.share.leave(&self.team);
        let share_capacity = capacity.saturating_mul(SHARE_CAPACITY_FACTOR);
        let exceeds_share = inner
            .share
            .exceeds_share(&self.team, share_capacity, weight_of);
        inner.share.enter(&self.team);
        if exceeds_share && request.priority != wire::Priority::Urgent {
            return Err(refuse(
                reason::RefusalReason::TeamOverShare,
                "the team uses more than its share",
            ));
        }
        let mean = Duration::from_secs_f64(inner.mean_service_s);
        let wait = admit::expected_wait(ahead, capacity, mean);
        let service = match self.piece_hashes.is_empty() {
            true => mean,
            false => self.min_service_time(),
        };
        self.check_feasible(&inner, wait, service)
    }

    /// Checks that a request that starts now can finish before its deadline.
    fn check_start_feasible(&self, slot: &TargetSlot) -> Result<(), reason::Refusal> {
        let inner = self.pool.lock();
        let service = match &self.pool.key {
            PoolKey::Model(_) => slot.expected_duration,
            PoolKey::Service(_) => Duration::from_secs_f64(inner.mean_service_s),
        };
        self.check_feasible(&inner, Duration::ZERO, service)
    }

    /// Minimum time of a completion: generating its tokens in an empty batch of the fastest role.
    /// The prompt is left out because it may be cached.
    fn min_service_time(&self) -> Duration {
        let token_times = token_times::current(&self.pool.token_time_estimates);
        let decode_us = token_times.iter().map(|times| times.decode_us).min();
        Duration::from_micros(self.cost.max_tokens.saturating_mul(decode_us.unwrap_or(0)))
    }

    fn check_feasible(
        &self,
        inner: &PoolInner,
        wait: Duration,
        service: Duration,
    ) -> Result<(), reason::Refusal> {
        if inner.observations < MIN_OBSERVATIONS {
            return Ok(());
        }
        match admit::is_feasible(Instant::now(), self.ticket.deadline, wait, service) {
            true => Ok(()),
            false => Err(refuse(
                reason::RefusalReason::DeadlineInfeasible,
                "the expected finish is past the deadline",
            )),
        }
    }

    fn enter_queue(&mut self, isolated: bool, notify: &sync::Arc<Notify>) {
        if self.queued_isolated.is_some() {
            return;
        }
        let mut inner = self.pool.lock();
        inner
            .queue(isolated)
            .push(self.ticket, sync::Arc::clone(notify));
        self.pool.report_queue_length(&inner);
        // A slot that was freed between the selection and this point has woken no request.
        inner.wake();
        self.queued_isolated = Some(isolated);
    }

    /// Leaves the queue and wakes the next request, for which a slot may be free as well.
    fn leave_queue(&mut self) {
        let Some(isolated) = self.queued_isolated.take() else {
            return;
        };
        let mut inner = self.pool.lock();
        inner.queue(isolated).remove(&self.ticket);
        self.pool.report_queue_length(&inner);
        inner.wake();
    }

    fn routes<'a>(&self, snapshot: &'a target::TargetSnapshot) -> &'a [target::TargetRoute] {
        let routes = match &self.pool.key {
            PoolKey::Model(model) => snapshot.by_model.get(model),
            PoolKey::Service(service) => snapshot.by_service.get(service),
        };
        routes.map_or(&[], Vec::as_slice)
    }

    fn capacity(&self) -> u32 {
        let snapshot = self.state.targets.snapshot();
        let now_ms = target::now_ms();
        let routes = self.routes(&snapshot).iter();
        let accepting = routes.filter(|route| route.target.is_accepting(now_ms));
        accepting.map(|route| route.target.limit()).sum()
    }

    fn select(&self, avoided: &[u32], isolated: bool) -> Selection {
        let snapshot = self.state.targets.snapshot();
        let routes = self.routes(&snapshot);
        if routes.is_empty() {
            return Selection::NotConfigured;
        }
        let now_ms = target::now_ms();
        let is_accepting = |route: &&target::TargetRoute| route.target.is_accepting(now_ms);
        let mut accepting = routes.iter().filter(is_accepting);
        if accepting.clone().next().is_none() {
            let backoffs = routes.iter();
            let backoffs = backoffs.filter_map(|route| route.target.remaining_backoff(now_ms));
            return Selection::Unavailable(backoffs.min());
        }
        let only_avoided = accepting.all(|route| avoided.contains(&route.target.hash));
        let avoided = if only_avoided { &[] } else { avoided };
        let matches = self.prefix_matches();
        let sampler = self.sampler(routes, &matches, avoided, isolated);
        let admission = &self.state.targets.admission;
        let seed = match self.policy {
            settings::RoutingPolicy::RoundRobin => admission.next_selection(),
            _ => rand::random(),
        };
        let sampled = match self.policy {
            settings::RoutingPolicy::Adaptive => {
                self.choose_from_sample(&sampler, &snapshot.positions, seed)
            }
            _ => None,
        };
        // A sample without an available target does not exclude that others are available.
        let chosen = sampled.or_else(|| self.choose_from_all(&sampler, seed));
        let slot = chosen
            .and_then(|(position, view)| self.reserve(&routes[position].target, &view, isolated));
        match slot {
            Some(slot) => Selection::Reserved(slot),
            None => Selection::Saturated(self.capacity()),
        }
    }

    fn choose_from_sample(
        &self,
        sampler: &CandidateSampler<'_>,
        positions: &HashMap<u32, usize>,
        seed: u64,
    ) -> Option<(usize, route::CandidateView)> {
        let sample = sampler.sample(positions, seed);
        let views = sample.iter().map(|(_, view)| *view);
        let chosen = route::choose(self.policy, &self.current_cost(), views, seed)?;
        Some(sample[chosen])
    }

    fn choose_from_all(
        &self,
        sampler: &CandidateSampler<'_>,
        seed: u64,
    ) -> Option<(usize, route::CandidateView)> {
        let views = (0..sampler.routes.len()).map(|position| sampler.view(position));
        let chosen = route::choose(self.policy, &self.current_cost(), views, seed)?;
        Some((chosen, sampler.view(chosen)))
    }

    fn current_cost(&self) -> route::RequestCost {
        match self.is_prompt_transferred {
            true => route::RequestCost {
                prompt_tokens: 0,
                ..self.cost
            },
            false => self.cost,
        }
    }

    fn prefix_matches(&self) -> Vec<cache::PrefixMatch> {
        let mut matches = Vec::new();
        if !self.piece_hashes.is_empty()
            && let Ok(piece_index) = self.state.targets.piece_index.read()
        {
            piece_index.find(&self.piece_hashes, target::now_ms(), &mut matches);
        }
        matches
    }

    fn sampler<'a>(
        &self,
        routes: &'a [target::TargetRoute],
        matches: &'a [cache::PrefixMatch],
        avoided: &'a [u32],
        isolated: bool,
    ) -> CandidateSampler<'a> {
        let now = Instant::now();
        CandidateSampler {
            routes,
            matches,
            avoided,
            isolated,
            partition: (isolated && now < self.partition_deadline)
                .then(|| TargetPartition::of(&self.state)),
            token_times: token_times::current(&self.pool.token_time_estimates),
            now_ms: target::now_ms(),
            now,
        }
    }

    /// Reserves a slot; `None` if the target has reached its limit since the selection, or if it
    /// runs another crash suspect and this request is one.
    fn reserve(
        &self,
        target: &sync::Arc<target::TargetState>,
        view: &route::CandidateView,
        isolated: bool,
    ) -> Option<TargetSlot> {
        if isolated && target.tracker.suspects.fetch_add(1, Ordering::AcqRel) > 0 {
            target.tracker.suspects.fetch_sub(1, Ordering::AcqRel);
            return None;
        }
        let in_flight = target.own_in_flight.fetch_add(1, Ordering::AcqRel);
        let reserved_tokens = route::uncached_tokens(&self.current_cost(), view);
        let tracker = &target.tracker;
        tracker
            .own_prefill_tokens
            .fetch_add(reserved_tokens, Ordering::AcqRel);
        let slot = TargetSlot {
            target: sync::Arc::clone(target),
            pool: sync::Arc::clone(&self.pool),
            isolated,
            role: view.role,
            utilization: f64::from(view.load) / f64::from(view.slots.max(1)),
            queued_tokens: view.waiting_prefill_tokens + reserved_tokens,
            expected_duration: Duration::from_micros(route::expected_us(
                &self.current_cost(),
                view,
            )),
            reserved_tokens: AtomicU64::new(reserved_tokens),
        };
        (in_flight < target.limit()).then_some(slot)
    }
}

/// Returns the expected time from the first output of a request to the end of its response.
pub(super) fn expected_rest(state: &process::ProcessState, request: &CallerRequest) -> Duration {
    let max_tokens = match &request.work {
        RequestWork::Completion { max_tokens, .. } => u64::from(*max_tokens),
        RequestWork::Service { .. } => 1,
    };
    let pool = state.targets.admission.pool(PoolKey::of(&request.work));
    let inner = pool.lock();
    inner.response_times.expected_rest(max_tokens)
}

/// Selects the target that would generate the response now, without keeping its slot. For
/// benchmarks.
pub fn choose_target(
    state: &process::SharedState,
    request: &CallerRequest,
) -> Option<ids::TargetId> {
    let mut placement = RequestPlacement::new(state, request);
    let prefill = placement.place_prefill();
    placement.set_prompt_transferred(prefill.is_some());
    match placement.select(&[], false) {
        Selection::Reserved(slot) => Some(slot.target.id.clone()),
        _ => None,
    }
}

impl Drop for RequestPlacement {
    fn drop(&mut self) {
        self.leave_queue();
        self.pool.lock().share.leave(&self.team);
    }
}

fn refuse(reason: reason::RefusalReason, message: &str) -> reason::Refusal {
    reason::Refusal::not_run(reason, message)
}

fn request_cost(request: &CallerRequest) -> (route::RequestCost, Vec<u64>) {
    let RequestWork::Completion {
        model,
        prompt,
        max_tokens,
        ..
    } = &request.work
    else {
        let cost = route::RequestCost {
            piece_tokens: SERVICE_CALL_PIECE_TOKENS,
            max_tokens: 1,
            ..route::RequestCost::default()
        };
        return (cost, Vec::new());
    };
    let models = &request.config.deployment.models;
    let entry = models.iter().find(|entry| entry.name == *model);
    let piece_tokens = entry.map_or(2_000, |entry| entry.piece_tokens);
    let cost = route::RequestCost {
        prompt_tokens: wire::estimate_tokens(prompt),
        max_tokens: u64::from(*max_tokens),
        piece_tokens: u64::from(piece_tokens),
    };
    (
        cost,
        wire::piece_hashes(model.as_str(), prompt, piece_tokens),
    )
}
