//! The lease of one model: election, renewal, and the transaction that writes an intent while the
//! lease is held.

use std::{sync, time::Duration};

use acaciabank_core::lease::{
    LeaseElector, LeaseGrant, LeaseRead, LeaseStep, LeaseTimers, LeaseWrite, WriteResult, rank,
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

/// Number of daemons that poll a lease's row. With 410 daemons and 13 models, polling by all would
/// exceed the table's read limit.
const MAX_CANDIDATES: usize = 3;
/// Shortest delay between two steps of the election.
const MIN_STEP_DELAY_MS: u64 = 20;

/// This daemon's participation in the lease of one model.
///
/// Renewals and transactions of orders lock `elector`, so that they never overlap: a transaction
/// checks the version of the lease's row, which every renewal changes.
pub(super) struct ModelLease {
    pub(super) state: process::SharedState,
    pub(super) model: ids::ModelId,
    stop: CancellationToken,
    elector: tokio::sync::Mutex<LeaseElector>,
    grant: sync::Mutex<Option<LeaseGrant>>,
}

/// Returns the lease durations from the settings.
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
        let elector = LeaseElector::new(daemon, state.boot_ids.current(), timers(&state));
        Self {
            state,
            model,
            stop,
            elector: tokio::sync::Mutex::new(elector),
            grant: sync::Mutex::default(),
        }
    }

    /// Returns the grant if it is valid now.
    pub(super) fn grant(&self) -> Option<LeaseGrant> {
        let grant = *self.grant.lock().expect("grant lock");
        grant.filter(|grant| now_ms() < grant.act_until_ms)
    }

    /// Returns the grant if it is valid now and belongs to the given term.
    pub(super) fn grant_for_term(&self, term: u64) -> Option<LeaseGrant> {
        self.grant().filter(|grant| grant.term == term)
    }

    /// Returns whether this daemon is to release the lease.
    pub(super) fn is_stopping(&self) -> bool {
        self.stop.is_cancelled() || self.state.phase.get() >= process::Phase::Draining
    }

    /// Acquires and renews the lease until the daemon is stopping and holds no valid grant.
    pub(super) async fn maintain(&self) {
        loop {
            let delay_ms = self.step().await;
            if self.is_stopping() && self.grant().is_none() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(delay_ms.max(MIN_STEP_DELAY_MS))).await;
        }
    }

    /// Reads or writes the lease's row if that is due. Returns the delay until the next step in
    /// milliseconds.
    async fn step(&self) -> u64 {
        let renewal_ms = self.state.settings.timers.lease_renewal_ms;
        let mut elector = self.elector.lock().await;
        let rank = self.rank().filter(|_| !self.is_stopping());
        if rank.is_none() && !elector.may_act(now_ms()) {
            self.publish_grant(&elector);
            return renewal_ms;
        }
        let mut step = elector.on_tick(now_ms());
        if step == LeaseStep::Read {
            step = match rows::read_lease(&self.state.table, &self.model).await {
                Ok(row) => {
                    let extra_ms = rank.unwrap_or(0) as u64 * timers(&self.state).ttl_ms;
                    let read = LeaseRead {
                        era: rows::TABLE_ERA,
                        row,
                    };
                    elector.on_read(now_ms(), &read, extra_ms)
                }
                Err(error) => {
                    log::debug!("cannot read the lease of model {}: {error}", self.model);
                    LeaseStep::Wait
                }
            };
        }
        // While the daemon is stopping, it writes only as the holder.
        let may_write = rank.is_some() || elector.may_act(now_ms());
        if let LeaseStep::Write(write) = step
            && may_write
        {
            self.write(&mut elector, &write).await;
        }
        self.publish_grant(&elector);
        match elector.grant(now_ms()) {
            Some(grant) => grant.renew_at_ms.saturating_sub(now_ms()).min(renewal_ms),
            None => renewal_ms,
        }
    }

    /// Returns this daemon's rank among the ready daemons if it is one of those that poll the row.
    fn rank(&self) -> Option<usize> {
        let members = self.state.peers.members();
        let ready: Vec<_> = members
            .iter()
            .filter(|member| member.condition == MemberCondition::Ready)
            .map(|member| member.daemon.clone())
            .collect();
        rank(&self.model, &self.state.settings.daemon, &ready).filter(|rank| *rank < MAX_CANDIDATES)
    }

    async fn write(&self, elector: &mut LeaseElector, write: &LeaseWrite) -> WriteResult {
        let put = rows::lease_put(&self.model, write);
        let sent_ms = now_ms();
        let written = self
            .state
            .table
            .transact(&rows::new_operation_id(), &[put])
            .await;
        let result = match &written {
            // The table numbers the versions of each row.
            Ok(()) => WriteResult::Committed(rows::row_version(
                write.condition.map_or(0, |version| version.number) + 1,
            )),
            Err(TableError::Conflict(_)) => WriteResult::Conflict,
            Err(TableError::Unavailable(_)) => WriteResult::Unavailable,
            Err(TableError::Unknown(_) | TableError::Invalid(_)) => WriteResult::Unknown,
        };
        if let Err(error) = written {
            log::debug!("cannot write the lease of model {}: {error}", self.model);
        }
        elector.on_written(sent_ms, write, result);
        result
    }

    /// Copies the elector's grant to where readers see it; logs and counts a change of the term.
    fn publish_grant(&self, elector: &LeaseElector) {
        let mut grant = self.grant.lock().expect("grant lock");
        let new = elector.grant(now_ms());
        let (old_term, term) = (grant.map(|old| old.term), new.map(|new| new.term));
        *grant = new;
        drop(grant);
        if old_term == term {
            return;
        }
        if let Some(term) = old_term {
            log::warn!(term = term; "lease of model {} lost", self.model);
            self.count_transition("lost");
        }
        if let Some(term) = term {
            log::info!(term = term; "lease of model {} acquired", self.model);
            self.count_transition("acquired");
        }
    }

    fn count_transition(&self, event: &'static str) {
        let model = self.model.to_string();
        metrics::counter!(names::LEASE_TRANSITIONS, "model" => model, "event" => event)
            .increment(1);
    }

    /// Writes an intent in a transaction that also checks the version of the lease's row.
    ///
    /// # Errors
    ///
    /// Returns a message, and whether the intent may have been written, if the lease is not held
    /// in the given term or the transaction fails.
    pub(super) async fn write_intent(
        &self,
        term: u64,
        put: RowWrite,
    ) -> Result<(), (String, bool)> {
        let mut elector = self.elector.lock().await;
        let grant = elector.grant(now_ms()).filter(|grant| grant.term == term);
        let Some(grant) = grant else {
            return Err(("the lease is no longer held".to_owned(), false));
        };
        let check = RowWrite::Check {
            key: rows::lease_key(&self.model),
            condition: RowCondition::Version(grant.version.number),
        };
        let operation = rows::new_operation_id();
        let result = self.state.table.transact(&operation, &[check, put]).await;
        let Err(error) = result else {
            return Ok(());
        };
        if matches!(&error, TableError::Conflict(failed) if failed.contains(&0)) {
            elector.require_read();
        }
        let may_exist = matches!(error, TableError::Unknown(_) | TableError::Invalid(_));
        Err((error.to_string(), may_exist))
    }

    /// Releases the lease. The caller must have no order in progress.
    pub(super) async fn resign(&self) {
        let mut elector = self.elector.lock().await;
        let Some(write) = elector.resign(now_ms()) else {
            return;
        };
        *self.grant.lock().expect("grant lock") = None;
        let result = self.write(&mut elector, &write).await;
        self.count_transition("resigned");
        log::info!(result:? = result; "lease of model {} resigned", self.model);
    }
}
