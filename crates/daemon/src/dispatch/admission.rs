//! Admission state of the daemon: pools of targets, retry budget and crash suspects.

use std::{
    collections::HashMap,
    sync,
    sync::atomic::{AtomicU64, Ordering},
};

use acaciabank_core::{budget, suspect};

use super::pool::{PoolKey, TargetPool};
use super::token_times;
use crate::target;

/// Clock of crash suspects, in milliseconds: [`target::now_ms`] with an offset. Other daemons report
/// crashes and answers from before this process started; their order is kept.
pub(super) fn crash_now_ms() -> u64 {
    target::now_ms() + suspect::SUSPECT_LIFETIME_MS
}

/// Time for which identical requests are refused after several targets have crashed on them. Their
/// retries, and those that callers send at once, would crash further targets; if the targets failed
/// for another reason, a request that still runs is answered meanwhile.
const COMMON_CRASH_PAUSE_MS: u64 = 2_000;

/// Crash suspects and the turns of identical requests, which must change together.
#[derive(Debug, Default)]
pub(super) struct CrashState {
    /// Suspects by the fingerprints of requests and the hashes of their prompts' pieces. The hashes
    /// are chained, so that each names a beginning.
    pub(super) suspects: suspect::SuspectTable,
    pub(super) turns: suspect::TurnTable,
}

impl CrashState {
    /// Status of a request. It is refused or isolated also if targets crashed on others whose prompts
    /// begin alike.
    pub(super) fn status(&self, fingerprint: u64, piece_hashes: &[u64]) -> suspect::SuspectStatus {
        if self.suspects.is_empty() {
            return suspect::SuspectStatus::Clear;
        }
        let now_ms = crash_now_ms();
        if self.has_crashed_together(fingerprint, now_ms) {
            return suspect::SuspectStatus::Refused;
        }
        let keys = suspect_keys(fingerprint, piece_hashes);
        self.suspects.status(&keys, now_ms)
    }

    /// Whether several targets have just crashed on identical requests, none of which was answered.
    fn has_crashed_together(&self, fingerprint: u64, now_ms: u64) -> bool {
        let crash_ms = self.suspects.last_crash_ms(fingerprint);
        let is_recent = now_ms.saturating_sub(crash_ms) < COMMON_CRASH_PAUSE_MS;
        is_recent && self.suspects.crashed_targets(fingerprint, now_ms) > 1
    }
}

/// Returns the keys by which a request may be a crash suspect.
pub(super) fn suspect_keys(fingerprint: u64, piece_hashes: &[u64]) -> Vec<u64> {
    let pieces = piece_hashes.iter().copied();
    std::iter::once(fingerprint).chain(pieces).collect()
}

/// Admission state of the daemon: pools, retry budget and crash suspects.
#[derive(Debug, Default)]
pub(crate) struct AdmissionControl {
    pools: sync::RwLock<HashMap<PoolKey, sync::Arc<TargetPool>>>,
    budget: sync::Mutex<Option<budget::RetryBudget>>,
    crashes: sync::Mutex<CrashState>,
    arrivals: AtomicU64,
    /// Number of round-robin selections.
    selections: AtomicU64,
}

impl AdmissionControl {
    pub(super) fn pool(&self, key: PoolKey) -> sync::Arc<TargetPool> {
        let pools = self
            .pools
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(pool) = pools.get(&key) {
            return sync::Arc::clone(pool);
        }
        drop(pools);
        let mut pools = self
            .pools
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let pool = pools.entry(key.clone()).or_insert_with(|| {
            let inner = sync::Mutex::default();
            let token_time_estimates = token_times::TokenTimeEstimate::per_role();
            sync::Arc::new(TargetPool {
                key,
                inner,
                token_time_estimates,
            })
        });
        sync::Arc::clone(pool)
    }

    /// Wakes the first waiting request of every queue.
    pub(crate) fn wake_all(&self) {
        let pools = self
            .pools
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        pools.values().for_each(|pool| pool.lock().wake());
    }

    /// Wakes the first waiting request in the queues of the pool that the target belongs to.
    pub(crate) fn wake_target(&self, target: &target::TargetState) {
        let key = match &target.kind {
            target::TargetKind::Engine { model, .. } => PoolKey::Model(model.clone()),
            target::TargetKind::Service { service } => PoolKey::Service(service.clone()),
        };
        let pools = self
            .pools
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(pool) = pools.get(&key) {
            pool.lock().wake();
        }
    }

    pub(super) fn next_arrival(&self) -> u64 {
        self.arrivals.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the number of earlier round-robin selections and counts one more.
    pub(super) fn next_selection(&self) -> u64 {
        self.selections.fetch_add(1, Ordering::Relaxed)
    }

    pub(super) fn record_request(&self, retry_percent: u32) {
        let mut budget = self
            .budget
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        budget
            .get_or_insert_with(|| budget::RetryBudget::new(retry_percent))
            .record_request();
    }

    pub(super) fn try_spend_retry(&self) -> bool {
        let mut budget = self
            .budget
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        budget.as_mut().is_none_or(budget::RetryBudget::try_spend)
    }

    pub(super) fn suspect_status(
        &self,
        fingerprint: u64,
        piece_hashes: &[u64],
    ) -> suspect::SuspectStatus {
        self.crash_state().status(fingerprint, piece_hashes)
    }

    pub(super) fn crash_state(&self) -> sync::MutexGuard<'_, CrashState> {
        self.crashes
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl target::TargetRegistry {
    /// Crashes known to this daemon, for gossip to other daemons.
    pub fn report_suspects(&self) -> suspect::SuspectReport {
        let mut crashes = self.admission.crash_state();
        crashes.suspects.report(crash_now_ms(), &mut rand::rng())
    }

    /// Crashes known to this daemon of a request or of others whose prompts have any of the pieces.
    pub fn report_suspects_on(&self, fingerprint: u64, pieces: &[u64]) -> suspect::SuspectReport {
        let keys = suspect_keys(fingerprint, pieces);
        let mut crashes = self.admission.crash_state();
        crashes.suspects.report_on(&keys, crash_now_ms())
    }

    /// Merges crashes that another daemon reports.
    pub fn merge_suspects(&self, report: &suspect::SuspectReport) {
        if report.is_empty() {
            return;
        }
        let mut crashes = self.admission.crash_state();
        crashes.suspects.merge_report(report, crash_now_ms());
    }

    /// Answers another daemon that asks whether its request, a crash suspect with the suspected
    /// `pieces`, may run. Returns whether a request of this daemon, named `own_daemon`, holds it back, and the logical clock.
    pub fn answer_turn(
        &self,
        fingerprint: u64,
        pieces: &[u64],
        other: suspect::TurnStamp<'_>,
        own_daemon: &str,
    ) -> (bool, u64) {
        let mut crashes = self.admission.crash_state();
        let turns = &mut crashes.turns;
        let is_held_back = turns.holds_back(fingerprint, pieces, other, own_daemon);
        (is_held_back, turns.clock())
    }

    /// Moves the logical clock of turns to at least `clock`, which another daemon has reached.
    pub fn advance_turn_clock(&self, clock: u64) {
        self.admission.crash_state().turns.advance_clock(clock);
    }
}
