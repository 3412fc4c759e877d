//! One model's lease: renewal, and the transaction that ties an intent to it.

use std::{sync, time::Duration};

use acaciabank_core::lease::{
    LeaseElector, LeaseGrant, LeaseStep, LeaseTimers, LeaseWrite, WriteResult, rank,
};
use acaciabank_protocol::ids;
use tokio_util::sync::CancellationToken;

use super::rows;
use crate::{
    peer::MemberCondition,
    process,
    table::{RowCondition, RowWrite, TableError},
    target::now_ms,
    telemetry::names,
};

/// Daemons that poll a lease's row. With 410 daemons and 13 models, polling by all would exceed
/// the table's read limit.
const CANDIDATES: usize = 3;
/// Shortest pause between two steps.
const MIN_PAUSE_MS: u64 = 20;

/// One daemon's part in a model's lease.
///
/// Renewals and transactions of orders take `seat` one after the other: a transaction checks the
/// version of the lease's row, which every renewal changes.
pub(super) struct ModelLease {
    pub(super) state: process::SharedState,
    pub(super) model: ids::ModelId,
    stop: CancellationToken,
    seat: tokio::sync::Mutex<LeaseElector>,
    grant: sync::Mutex<Option<LeaseGrant>>,
}

/// Timers of all leases of this process.
pub(super) fn timers(state: &process::ProcessState) -> LeaseTimers {
    let timers = &state.settings.timers;
    LeaseTimers {
        ttl_ms: timers.lease_ttl_ms,
        renewal_ms: timers.lease_renewal_ms,
        margin_ms: timers.lease_margin_ms,
    }
}

impl ModelLease {
    pub(super) fn new(
        state: process::SharedState,
        model: ids::ModelId,
        stop: CancellationToken,
    ) -> Self {
        let daemon = state.settings.daemon.clone();
        let seat = LeaseElector::new(daemon, state.boot_id, timers(&state));
        Self {
            state,
            model,
            stop,
            seat: tokio::sync::Mutex::new(seat),
            grant: sync::Mutex::default(),
        }
    }

    /// The authority in force now.
    pub(super) fn grant(&self) -> Option<LeaseGrant> {
        let grant = *self.grant.lock().expect("grant lock");
        grant.filter(|grant| now_ms() < grant.act_until_ms)
    }

    /// The authority in force now, when it is that of the given term.
    pub(super) fn grant_of(&self, term: u64) -> Option<LeaseGrant> {
        self.grant().filter(|grant| grant.term == term)
    }

    /// Whether this daemon is to give the lease back.
    pub(super) fn is_stopping(&self) -> bool {
        self.stop.is_cancelled() || self.state.phase.get() >= process::Phase::Draining
    }

    /// Takes and renews the lease until the daemon gives it back.
    pub(super) async fn keep(&self) {
        loop {
            let pause_ms = self.step().await;
            if self.is_stopping() && self.grant().is_none() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(pause_ms.max(MIN_PAUSE_MS))).await;
        }
    }

    /// Does what is due; returns the pause until the next step.
    async fn step(&self) -> u64 {
        let renewal_ms = self.state.settings.timers.lease_renewal_ms;
        let mut seat = self.seat.lock().await;
        let rank = self.rank().filter(|_| !self.is_stopping());
        if rank.is_none() && !seat.may_act(now_ms()) {
            self.publish(&seat);
            return renewal_ms;
        }
        let mut step = seat.on_tick(now_ms());
        if step == LeaseStep::Read {
            step = match rows::read_lease(&self.state.table, &self.model).await {
                Ok(row) => {
                    let extra_ms = rank.unwrap_or(0) as u64 * timers(&self.state).ttl_ms;
                    seat.on_read(now_ms(), row.as_ref(), extra_ms)
                }
                Err(error) => {
                    log::debug!("lease of model {} not read: {error}", self.model);
                    LeaseStep::Wait
                }
            };
        }
        // Only the holder writes while the daemon leaves.
        let may_write = rank.is_some() || seat.may_act(now_ms());
        if let LeaseStep::Write(write) = step
            && may_write
        {
            self.write(&mut seat, &write).await;
        }
        self.publish(&seat);
        match seat.grant(now_ms()) {
            Some(grant) => grant.renew_at_ms.saturating_sub(now_ms()).min(renewal_ms),
            None => renewal_ms,
        }
    }

    /// Position among the ready daemons when it is one that polls the row.
    fn rank(&self) -> Option<usize> {
        let members = self.state.peers.members();
        let ready: Vec<_> = members
            .iter()
            .filter(|member| member.condition == MemberCondition::Ready)
            .map(|member| member.daemon.clone())
            .collect();
        rank(&self.model, &self.state.settings.daemon, &ready).filter(|rank| *rank < CANDIDATES)
    }

    async fn write(&self, seat: &mut LeaseElector, write: &LeaseWrite) -> WriteResult {
        let put = rows::lease_put(&self.model, write);
        let sent_ms = now_ms();
        let written = self
            .state
            .table
            .transact(&rows::new_operation(), &[put])
            .await;
        let result = match &written {
            Ok(()) => WriteResult::Committed,
            Err(TableError::Conflict(_)) => WriteResult::Conflict,
            Err(TableError::Unavailable(_)) => WriteResult::Unavailable,
            Err(TableError::Unknown(_) | TableError::Invalid(_)) => WriteResult::Unknown,
        };
        if let Err(error) = written {
            log::debug!("lease of model {} not written: {error}", self.model);
        }
        seat.on_written(sent_ms, write, result);
        result
    }

    /// Makes the seat's authority visible to readers, and counts a change of it.
    fn publish(&self, seat: &LeaseElector) {
        let mut grant = self.grant.lock().expect("grant lock");
        let new = seat.grant(now_ms());
        let (old_term, term) = (grant.map(|old| old.term), new.map(|new| new.term));
        *grant = new;
        drop(grant);
        if old_term == term {
            return;
        }
        if let Some(term) = old_term {
            log::warn!(term = term; "lease of model {} lost", self.model);
            self.count("lost");
        }
        if let Some(term) = term {
            log::info!(term = term; "lease of model {} acquired", self.model);
            self.count("acquired");
        }
    }

    fn count(&self, event: &'static str) {
        let model = self.model.to_string();
        metrics::counter!(names::LEASE_TRANSITIONS, "model" => model, "event" => event)
            .increment(1);
    }

    /// Writes an intent in one transaction with the check of the lease's row.
    ///
    /// # Errors
    ///
    /// A message; `true` beside it when the intent may have been written.
    pub(super) async fn write_intent(
        &self,
        term: u64,
        put: RowWrite,
    ) -> Result<(), (String, bool)> {
        let mut seat = self.seat.lock().await;
        let grant = seat.grant(now_ms()).filter(|grant| grant.term == term);
        let Some(grant) = grant else {
            return Err(("the lease is no longer held".to_owned(), false));
        };
        let check = RowWrite::Check {
            key: rows::lease_key(&self.model),
            condition: RowCondition::Version(grant.version),
        };
        let operation = rows::new_operation();
        let result = self.state.table.transact(&operation, &[check, put]).await;
        let Err(error) = result else {
            return Ok(());
        };
        if matches!(&error, TableError::Conflict(failed) if failed.contains(&0)) {
            seat.require_read();
        }
        let may_exist = matches!(error, TableError::Unknown(_) | TableError::Invalid(_));
        Err((error.to_string(), may_exist))
    }

    /// Gives the lease back. The caller has no order under way.
    pub(super) async fn resign(&self) {
        let mut seat = self.seat.lock().await;
        let Some(write) = seat.resign(now_ms()) else {
            return;
        };
        *self.grant.lock().expect("grant lock") = None;
        let result = self.write(&mut seat, &write).await;
        self.count("resigned");
        log::info!(result:? = result; "lease of model {} resigned", self.model);
    }
}
