//! State machine of one daemon that holds or challenges for a lease.

use acaciabank_protocol::ids;

use super::{LeaseRow, LeaseTimers};
use crate::store_version::StoreVersion;

/// A lease's row with its version, as read from the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VersionedRow {
    /// Version of the row, for conditional writes.
    pub version: StoreVersion,
    /// Contents of the row.
    pub body: LeaseRow,
}

impl VersionedRow {
    /// Whether the row was written with knowledge of an earlier era: the store has restored it from
    /// a copy, or a late write has replaced the row that the era had. The daemon that it names
    /// cannot rely on it, and another one may have held the lease since.
    fn is_from_earlier_era(&self) -> bool {
        self.body.acquired.era != self.version.era
    }
}

/// Result of a read of the lease's row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseRead {
    /// Era of the store at the time of the read.
    pub era: u64,
    /// The row; `None` if there is none.
    pub row: Option<VersionedRow>,
}

/// A conditional write of the lease's row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseWrite {
    /// Version that the row must have; `None` if the row must not exist.
    pub condition: Option<StoreVersion>,
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
    /// The write took effect and gave the row this version.
    Committed(StoreVersion),
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
    /// Fencing token: higher than that of any earlier holder, across returns of the store too.
    pub token: StoreVersion,
    /// Version of the lease's row that an order's transaction checks.
    pub version: StoreVersion,
    /// Time at which the holder stops acting.
    pub act_until_ms: u64,
    /// Time at which the next renewal is due.
    pub renew_at_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SeenRow {
    /// Version of the row; number zero if there was none.
    version: StoreVersion,
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
    /// Era of the first read.
    first_era: Option<u64>,
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
            first_era: None,
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

    /// Returns the time at which a challenger may take over the row that it last read, unless that is
    /// written again until then.
    pub fn takeover_ms(&self, extra_wait_ms: u64) -> Option<u64> {
        let seen = self.seen.as_ref()?;
        Some(seen.since_ms + self.timers.ttl_ms + self.timers.margin_ms + extra_wait_ms)
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
            body: self.own_row(grant.term, grant.token, grant.version),
        })
    }

    /// Processes a read of the row; `now_ms` is the time at which the read returned.
    /// `extra_wait_ms` delays a takeover in favour of a preferred daemon.
    pub fn on_read(&mut self, now_ms: u64, read: &LeaseRead, extra_wait_ms: u64) -> LeaseStep {
        self.must_read = false;
        let first_era = *self.first_era.get_or_insert(read.era);
        let absent = StoreVersion::new(read.era, 0);
        let version = read.row.as_ref().map_or(absent, |row| row.version);
        let since_ms = match &self.seen {
            Some(seen) if seen.version == version => seen.since_ms,
            _ => now_ms,
        };
        self.seen = Some(SeenRow { version, since_ms });
        let waited_ms = now_ms.saturating_sub(since_ms);
        let full_wait_ms = self.timers.ttl_ms + self.timers.margin_ms + extra_wait_ms;
        let Some(row) = &read.row else {
            // The row of a holder may have been lost.
            let is_lost = absent.is_after_return() || read.era > first_era;
            let wait_ms = if is_lost { full_wait_ms } else { extra_wait_ms };
            return self.take_over(version, 0, self.may_act(now_ms) || waited_ms >= wait_ms);
        };
        if row.is_from_earlier_era() {
            // Until every grant of the earlier era has expired, only its last holder may act: a
            // valid grant shows that no other daemon has held the lease since.
            let is_due = self.may_act(now_ms) || waited_ms >= full_wait_ms;
            return self.take_over(version, row.body.term, is_due);
        }
        if row.body.holder.as_ref() == Some(&self.daemon) && row.body.boot_id == self.boot_id {
            return self.renew_own(now_ms, row);
        }
        self.grant = None;
        let wait_ms = match row.body.holder {
            Some(_) => full_wait_ms,
            None => extra_wait_ms,
        };
        self.take_over(version, row.body.term, waited_ms >= wait_ms)
    }

    /// Processes the result of a write; `sent_ms` is the time before it was sent.
    pub fn on_written(&mut self, sent_ms: u64, write: &LeaseWrite, result: WriteResult) {
        match result {
            WriteResult::Committed(version) if version.era != write.body.acquired.era => {
                // The write met its condition by chance, on a row of another era.
                self.must_read = true;
            }
            WriteResult::Committed(version) => {
                self.must_read = false;
                self.seen = None;
                self.grant = write.body.holder.is_some().then(|| LeaseGrant {
                    term: write.body.term,
                    token: write.body.acquired,
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
                ..self.own_row(grant.term, grant.token, grant.version)
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
            body: self.own_row(row.body.term, row.body.acquired, row.version),
        })
    }

    /// Returns the write that acquires the lease, if it is due. `version` is that of the replaced
    /// row, with number zero if there is none.
    fn take_over(&self, version: StoreVersion, last_term: u64, is_due: bool) -> LeaseStep {
        if !is_due {
            return LeaseStep::Wait;
        }
        let known_term = self.grant.map_or(0, |grant| grant.term);
        let acquired = StoreVersion::new(version.era, version.number + 1);
        LeaseStep::Write(LeaseWrite {
            condition: (version.number > 0).then_some(version),
            body: self.own_row(last_term.max(known_term) + 1, acquired, version),
        })
    }

    fn own_row(&self, term: u64, acquired: StoreVersion, replaced: StoreVersion) -> LeaseRow {
        LeaseRow {
            holder: Some(self.daemon.clone()),
            boot_id: self.boot_id,
            term,
            acquired,
            renewal: replaced.number,
        }
    }
}
