//! Targets of which a return of the store from an older copy leaves open whether they are there.
//!
//! What targets wrote in the lost seconds, they write again within [`REWRITE_MS`]. Until then a
//! target that the restored list lacks may have registered in these seconds, and one that had left
//! may be listed only because its removal was lost. The next record of the store settles either
//! case, and otherwise the first read that is sent after a deadline. Another return starts anew.

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
    /// Era of the list that has raised the doubt.
    era: u64,
    deadline_ms: u64,
}

/// The open doubts, by id of the target.
#[derive(Debug)]
pub(super) struct DoubtTable {
    entries: HashMap<String, DoubtEntry>,
    /// Time after which the platform removes the entry of a target that is silent.
    silence_ms: u64,
}

impl DoubtTable {
    /// Creates a table without doubts. `silence_ms` is the time after which the platform removes the
    /// entry of a target that is silent.
    pub(super) fn new(silence_ms: u64) -> Self {
        Self {
            entries: HashMap::new(),
            silence_ms,
        }
    }

    /// Adds a doubt that a list of the given era has raised, unless there is one of that era
    /// already, whose deadline then stays.
    pub(super) fn add(&mut self, id: &str, doubt: TargetDoubt, era: u64, now_ms: u64) {
        if self.entries.get(id).is_some_and(|entry| entry.era >= era) {
            return;
        }
        let deadline_ms = now_ms
            + match doubt {
                TargetDoubt::Missing => REWRITE_MS,
                TargetDoubt::Returned => REWRITE_MS + self.silence_ms,
            };
        log::info!(target_id = id, doubt = doubt.as_str(); "target_doubt");
        let entry = DoubtEntry {
            doubt,
            era,
            deadline_ms,
        };
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

    /// Whether the deadline of a doubt has passed.
    pub(super) fn has_due(&self, now_ms: u64) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| entry.deadline_ms <= now_ms)
    }

    /// Removes and returns the doubts whose deadline is not after `now_ms`.
    pub(super) fn take_due(&mut self, now_ms: u64) -> Vec<(String, TargetDoubt)> {
        let due = self
            .entries
            .extract_if(|_, entry| entry.deadline_ms <= now_ms);
        due.map(|(id, entry)| (id, entry.doubt)).collect()
    }
}
