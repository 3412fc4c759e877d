//! One daemon's part in one lease.

use acaciabank_protocol::ids;

use super::{LeaseRow, LeaseTimers};

/// A lease's row as read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VersionedRow {
    /// Version of the row.
    pub version: u64,
    /// Body.
    pub body: LeaseRow,
}

/// A write of the lease's row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseWrite {
    /// Version that the row must have; `None` when it must be absent.
    pub condition: Option<u64>,
    /// New body.
    pub body: LeaseRow,
}

/// What follows a read or the passing of time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseStep {
    /// Nothing yet.
    Wait,
    /// Read the row.
    Read,
    /// Write the row.
    Write(LeaseWrite),
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteResult {
    /// It took effect.
    Committed,
    /// The condition does not hold.
    Conflict,
    /// It did not take effect.
    Unavailable,
    /// It may take effect now, later or never.
    Unknown,
}

/// Authority of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrant {
    /// Term.
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
    since_ms: u64,
}

/// One daemon's part in one lease: challenger, or holder while it has a grant.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseElector {
    daemon: ids::DaemonId,
    boot_id: u64,
    timers: LeaseTimers,
    seen: Option<SeenRow>,
    grant: Option<LeaseGrant>,
    /// Whether the row must be read before the next write.
    is_uncertain: bool,
}

impl LeaseElector {
    /// A challenger that has seen nothing.
    pub fn new(daemon: ids::DaemonId, boot_id: u64, timers: LeaseTimers) -> Self {
        Self {
            daemon,
            boot_id,
            timers,
            seen: None,
            grant: None,
            is_uncertain: true,
        }
    }

    /// The authority in force at the given time.
    pub fn grant(&self, now_ms: u64) -> Option<LeaseGrant> {
        self.grant.filter(|grant| now_ms < grant.act_until_ms)
    }

    /// Whether the daemon may act as the holder at the given time.
    pub fn may_act(&self, now_ms: u64) -> bool {
        self.grant(now_ms).is_some()
    }

    /// What is due at the given time.
    pub fn on_tick(&self, now_ms: u64) -> LeaseStep {
        let Some(grant) = self.grant(now_ms).filter(|_| !self.is_uncertain) else {
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

    /// Takes a row that was read; `now_ms` is the time at which the read returned. `extra_wait_ms`
    /// delays a takeover in favour of a preferred daemon.
    pub fn on_read(
        &mut self,
        now_ms: u64,
        row: Option<&VersionedRow>,
        extra_wait_ms: u64,
    ) -> LeaseStep {
        self.is_uncertain = false;
        let version = row.map_or(0, |row| row.version);
        let since_ms = match &self.seen {
            Some(seen) if seen.version == version => seen.since_ms,
            _ => now_ms,
        };
        self.seen = Some(SeenRow { version, since_ms });
        let waited_ms = now_ms.saturating_sub(since_ms);
        let Some(row) = row else {
            return self.take(None, 1, waited_ms >= extra_wait_ms);
        };
        if row.body.holder.as_ref() == Some(&self.daemon) && row.body.boot_id == self.boot_id {
            return self.renew_found(now_ms, row);
        }
        self.grant = None;
        let wait_ms = match row.body.holder {
            Some(_) => self.timers.ttl_ms + self.timers.margin_ms + extra_wait_ms,
            None => extra_wait_ms,
        };
        self.take(Some(version), row.body.term + 1, waited_ms >= wait_ms)
    }

    /// Takes the result of a write; `sent_ms` is the time before it was sent.
    pub fn on_written(&mut self, sent_ms: u64, write: &LeaseWrite, result: WriteResult) {
        match result {
            WriteResult::Committed => {
                let version = write.condition.unwrap_or(0) + 1;
                self.is_uncertain = false;
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
            WriteResult::Conflict | WriteResult::Unknown => self.is_uncertain = true,
        }
    }

    /// Takes the version that the store gave to a committed write, for stores that number all writes
    /// of all rows by one counter.
    pub fn record_version(&mut self, version: u64) {
        if let Some(grant) = &mut self.grant {
            grant.version = version;
        }
    }

    /// Has the row read before the next write, because a check of its version failed.
    pub fn require_read(&mut self) {
        self.is_uncertain = true;
    }

    /// The write that gives the lease back, so that a successor need not wait. The holder must have
    /// no order under way; it stops acting at once.
    pub fn resign(&mut self, now_ms: u64) -> Option<LeaseWrite> {
        let grant = self.grant(now_ms)?;
        self.grant = None;
        self.is_uncertain = true;
        Some(LeaseWrite {
            condition: Some(grant.version),
            body: LeaseRow {
                holder: None,
                ..self.own_row(grant.term, grant.version)
            },
        })
    }

    /// The row names this run. A write without a known result took effect; only the result of a new
    /// renewal, with a known time of sending, extends the authority.
    fn renew_found(&mut self, now_ms: u64, row: &VersionedRow) -> LeaseStep {
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

    fn take(&self, condition: Option<u64>, term: u64, is_due: bool) -> LeaseStep {
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
