//! State machine of one daemon that holds or challenges for a lease.

use acaciabank_protocol::ids;

use super::{LeaseRow, LeaseTimers};

/// A lease's row with its version, as read from the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VersionedRow {
    /// Version of the row, for conditional writes.
    pub version: u64,
    /// Contents of the row.
    pub body: LeaseRow,
}

/// A conditional write of the lease's row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseWrite {
    /// Version that the row must have; `None` if the row must not exist.
    pub condition: Option<u64>,
    /// New contents of the row.
    pub body: LeaseRow,
}

/// What the caller is to do after a tick or a read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseStep {
    /// Do nothing until the next tick.
    Wait,
    /// Read the row and pass it to [`LeaseElector::on_read`].
    Read,
    /// Write the row and pass the result to [`LeaseElector::on_written`].
    Write(LeaseWrite),
}

/// Result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteResult {
    /// The write took effect.
    Committed,
    /// The row does not have the version that the write requires.
    Conflict,
    /// The store failed, and the write did not take effect.
    Unavailable,
    /// No response: the write may have taken effect, or may take effect later, or never.
    Unknown,
}

/// The holder's right to act, limited in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrant {
    /// Term of the lease.
    pub term: u64,
    /// Version of the lease's row that an order's transaction checks.
    pub version: u64,
    /// Time at which the holder stops acting.
    pub act_until_ms: u64,
    /// Time at which the next renewal is due.
    pub renew_at_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SeenRow {
    version: u64,
    /// Time at which this version was first read.
    since_ms: u64,
}

/// One daemon's election state for one lease: holder while it has a grant, challenger otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseElector {
    daemon: ids::DaemonId,
    boot_id: u64,
    timers: LeaseTimers,
    seen: Option<SeenRow>,
    grant: Option<LeaseGrant>,
    /// Whether the row must be read before the next write.
    must_read: bool,
}

impl LeaseElector {
    /// Creates a challenger that has not read the row yet.
    pub fn new(daemon: ids::DaemonId, boot_id: u64, timers: LeaseTimers) -> Self {
        Self {
            daemon,
            boot_id,
            timers,
            seen: None,
            grant: None,
            must_read: true,
        }
    }

    /// Returns the grant if it is valid at the given time.
    pub fn grant(&self, now_ms: u64) -> Option<LeaseGrant> {
        self.grant.filter(|grant| now_ms < grant.act_until_ms)
    }

    /// Returns whether the daemon may act as the holder at the given time.
    pub fn may_act(&self, now_ms: u64) -> bool {
        self.grant(now_ms).is_some()
    }

    /// Returns the step that is due at the given time: a renewal for a holder, a read for a
    /// challenger or after a write that conflicted or whose result is unknown.
    pub fn on_tick(&self, now_ms: u64) -> LeaseStep {
        let Some(grant) = self.grant(now_ms).filter(|_| !self.must_read) else {
            return LeaseStep::Read;
        };
        if now_ms < grant.renew_at_ms {
            return LeaseStep::Wait;
        }
        LeaseStep::Write(LeaseWrite {
            condition: Some(grant.version),
            body: self.own_row(grant.term, grant.version),
        })
    }

    /// Processes a row that was read; `now_ms` is the time at which the read returned.
    /// `extra_wait_ms` delays a takeover in favour of a preferred daemon.
    pub fn on_read(
        &mut self,
        now_ms: u64,
        row: Option<&VersionedRow>,
        extra_wait_ms: u64,
    ) -> LeaseStep {
        self.must_read = false;
        let version = row.map_or(0, |row| row.version);
        let since_ms = match &self.seen {
            Some(seen) if seen.version == version => seen.since_ms,
            _ => now_ms,
        };
        self.seen = Some(SeenRow { version, since_ms });
        let waited_ms = now_ms.saturating_sub(since_ms);
        let Some(row) = row else {
            return self.take_over(None, 1, waited_ms >= extra_wait_ms);
        };
        if row.body.holder.as_ref() == Some(&self.daemon) && row.body.boot_id == self.boot_id {
            return self.renew_own(now_ms, row);
        }
        self.grant = None;
        let wait_ms = match row.body.holder {
            Some(_) => self.timers.ttl_ms + self.timers.margin_ms + extra_wait_ms,
            None => extra_wait_ms,
        };
        self.take_over(Some(version), row.body.term + 1, waited_ms >= wait_ms)
    }

    /// Processes the result of a write; `sent_ms` is the time before it was sent.
    pub fn on_written(&mut self, sent_ms: u64, write: &LeaseWrite, result: WriteResult) {
        match result {
            WriteResult::Committed => {
                let version = write.condition.unwrap_or(0) + 1;
                self.must_read = false;
                self.seen = None;
                self.grant = write.body.holder.is_some().then(|| LeaseGrant {
                    term: write.body.term,
                    version,
                    act_until_ms: sent_ms
                        + self.timers.ttl_ms.saturating_sub(self.timers.margin_ms),
                    renew_at_ms: sent_ms + self.timers.renewal_ms,
                });
            }
            WriteResult::Unavailable => {}
            WriteResult::Conflict | WriteResult::Unknown => self.must_read = true,
        }
    }

    /// Sets the version that the store assigned to a committed write, for stores that number the
    /// writes of all rows with one counter.
    pub fn record_version(&mut self, version: u64) {
        if let Some(grant) = &mut self.grant {
            grant.version = version;
        }
    }

    /// Requires a read before the next write, because a check of the row's version failed.
    pub fn require_read(&mut self) {
        self.must_read = true;
    }

    /// Returns the write that releases the lease, so that a successor need not wait, and ends the
    /// grant at once. The holder must have no order in progress.
    pub fn resign(&mut self, now_ms: u64) -> Option<LeaseWrite> {
        let grant = self.grant(now_ms)?;
        self.grant = None;
        self.must_read = true;
        Some(LeaseWrite {
            condition: Some(grant.version),
            body: LeaseRow {
                holder: None,
                ..self.own_row(grant.term, grant.version)
            },
        })
    }

    /// Handles a row that names this run as the holder: an earlier write whose result was unknown
    /// has taken effect. Only a new renewal, whose time of sending is known, extends the grant.
    fn renew_own(&mut self, now_ms: u64, row: &VersionedRow) -> LeaseStep {
        if let Some(grant) = &mut self.grant {
            grant.version = row.version;
            if grant.term == row.body.term && now_ms < grant.renew_at_ms {
                return LeaseStep::Wait;
            }
        }
        LeaseStep::Write(LeaseWrite {
            condition: Some(row.version),
            body: self.own_row(row.body.term, row.version),
        })
    }

    fn take_over(&self, condition: Option<u64>, term: u64, is_due: bool) -> LeaseStep {
        if !is_due {
            return LeaseStep::Wait;
        }
        LeaseStep::Write(LeaseWrite {
            condition,
            body: self.own_row(term, condition.unwrap_or(0)),
        })
    }

    fn own_row(&self, term: u64, renewal: u64) -> LeaseRow {
        LeaseRow {
            holder: Some(self.daemon.clone()),
            boot_id: self.boot_id,
            term,
            renewal,
        }
    }
}
