//! Targets of which a return of the store from an older copy leaves open whether they are there.
//!
//! What targets wrote in the lost seconds, they write again within [`REWRITE_MS`]. Until then a
//! target that the restored list lacks may have registered in these seconds, and one that had left
//! may be listed only because its removal was lost. The next record of the store settles either
//! case, and otherwise a deadline.

use std::collections::HashMap;

/// Time in which targets write again what the store has lost, from the first read after its return.
const REWRITE_MS: u64 = 2_000;

/// What is open about a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TargetDoubt {
    /// The restored list lacks it. It is used until the deadline and then removed.
    Missing,
    /// It had left and is listed again. It is not used before the deadline, at which the platform
    /// would have removed the entry of a target that is silent.
    Returned,
}

impl TargetDoubt {
    /// Returns the value used in log lines.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Returned => "returned",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct DoubtEntry {
    doubt: TargetDoubt,
    deadline_ms: u64,
}

/// The open doubts, by id of the target.
#[derive(Debug, Default)]
pub(super) struct DoubtTable {
    entries: HashMap<String, DoubtEntry>,
}

impl DoubtTable {
    /// Adds a doubt unless there is one already, whose deadline then stays. `silence_ms` is the time
    /// after which the platform removes the entry of a target that is silent.
    pub(super) fn add(&mut self, id: &str, doubt: TargetDoubt, now_ms: u64, silence_ms: u64) {
        if self.entries.contains_key(id) {
            return;
        }
        let deadline_ms = now_ms
            + match doubt {
                TargetDoubt::Missing => REWRITE_MS,
                TargetDoubt::Returned => REWRITE_MS + silence_ms,
            };
        log::info!(target_id = id, doubt = doubt.as_str(); "target_doubt");
        let entry = DoubtEntry { doubt, deadline_ms };
        self.entries.insert(id.to_owned(), entry);
    }

    /// Returns what is open about a target.
    pub(super) fn get(&self, id: &str) -> Option<TargetDoubt> {
        self.entries.get(id).map(|entry| entry.doubt)
    }

    /// Removes the doubt about a target.
    pub(super) fn settle(&mut self, id: &str) {
        self.entries.remove(id);
    }

    /// Removes and returns the doubts whose deadline has passed.
    pub(super) fn take_due(&mut self, now_ms: u64) -> Vec<(String, TargetDoubt)> {
        let due = self
            .entries
            .extract_if(|_, entry| entry.deadline_ms <= now_ms);
        due.map(|(id, entry)| (id, entry.doubt)).collect()
    }
}
