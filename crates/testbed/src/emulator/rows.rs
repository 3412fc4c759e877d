//! Versioned rows of the emulated store, and the recent changes that a return from a copy undoes.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

/// Table that the operator writes.
const OPERATOR_TABLE: &str = "op";
/// Table that the runners write.
const TARGET_TABLE: &str = "servers";
/// Age of the oldest copy that the store can return from. It bounds the memory for the changes;
/// tests return from copies that are some seconds old.
const MAX_COPY_AGE: Duration = Duration::from_secs(60);

/// Table, part and key of a row.
pub(super) type RowKey = (String, String, String);

/// A row; a deleted row has no value and the version of its deletion.
#[derive(Clone, Debug)]
pub(super) struct StoredRow {
    /// Contents, unless the row is deleted.
    pub(super) value: Option<String>,
    /// Version of the store that wrote or deleted the row.
    pub(super) version: u64,
    written_at: Instant,
}

/// The rows that one version of the store replaced; `None` for one that did not exist.
#[derive(Debug)]
struct RowChange {
    at: Instant,
    replaced: Vec<(RowKey, Option<StoredRow>)>,
}

/// All rows of the store, with a single version counter.
#[derive(Debug)]
pub(super) struct RowTable {
    rows: BTreeMap<RowKey, StoredRow>,
    version: u64,
    era: u64,
    /// Changes of the last versions, the oldest one first.
    changes: VecDeque<RowChange>,
    /// Contents of the operator's rows that were lost and not written since.
    lost_rows: BTreeMap<RowKey, Option<String>>,
}

impl Default for RowTable {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            version: 0,
            era: 1,
            changes: VecDeque::new(),
            lost_rows: BTreeMap::new(),
        }
    }
}

impl RowTable {
    /// Newest version.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Number that rises by one with each return from a copy.
    pub(super) fn era(&self) -> u64 {
        self.era
    }

    /// All rows in the order of their keys, including deleted ones.
    pub(super) fn rows(&self) -> impl Iterator<Item = (&RowKey, &StoredRow)> {
        self.rows.iter()
    }

    /// Version of a row; zero if it does not exist.
    pub(super) fn version_of(&self, row_key: &RowKey) -> u64 {
        let row = self.rows.get(row_key).filter(|row| row.value.is_some());
        row.map_or(0, |row| row.version)
    }

    /// Writes rows, and deletes those without a value, as one version.
    pub(super) fn write(&mut self, now: Instant, rows: Vec<(RowKey, Option<String>)>) {
        self.version += 1;
        let mut replaced = Vec::with_capacity(rows.len());
        for (row_key, value) in rows {
            self.lost_rows.remove(&row_key);
            let row = StoredRow {
                value,
                version: self.version,
                written_at: now,
            };
            let former = self.rows.insert(row_key.clone(), row);
            replaced.push((row_key, former));
        }
        self.changes.push_back(RowChange { at: now, replaced });
        while self
            .changes
            .front()
            .is_some_and(|change| now.duration_since(change.at) > MAX_COPY_AGE)
        {
            self.changes.pop_front();
        }
    }

    /// Goes back to the rows and the version of some time ago, and begins a new era.
    ///
    /// # Errors
    ///
    /// Returns a message if the changes since then are not kept.
    pub(super) fn restore(&mut self, now: Instant, age: Duration) -> Result<(), String> {
        if age > MAX_COPY_AGE {
            let limit_ms = MAX_COPY_AGE.as_millis();
            return Err(format!("the oldest copy is {limit_ms} ms old"));
        }
        self.keep_lost_rows(now, age);
        while let Some(change) = self.changes.pop_back() {
            if now.duration_since(change.at) >= age {
                self.changes.push_back(change);
                break;
            }
            self.undo(change);
        }
        self.era += 1;
        self.renew_targets(now);
        Ok(())
    }

    /// Keeps the newest contents of the operator's rows that were written since the copy.
    fn keep_lost_rows(&mut self, now: Instant, age: Duration) {
        let lost = self.changes.iter().rev();
        let lost = lost.take_while(|change| now.duration_since(change.at) < age);
        let row_keys: BTreeSet<&RowKey> = lost
            .flat_map(|change| &change.replaced)
            .map(|(row_key, _)| row_key)
            .filter(|(table, _, _)| table == OPERATOR_TABLE)
            .collect();
        for row_key in row_keys {
            let value = self.rows.get(row_key).and_then(|row| row.value.clone());
            self.lost_rows.insert(row_key.clone(), value);
        }
    }

    fn undo(&mut self, change: RowChange) {
        self.version -= 1;
        for (row_key, former) in change.replaced.into_iter().rev() {
            match former {
                Some(row) => self.rows.insert(row_key, row),
                None => self.rows.remove(&row_key),
            };
        }
    }

    /// Writes the lost rows of the operator again, each as a version of its own.
    pub(super) fn rewrite_lost_rows(&mut self, now: Instant) {
        for lost_row in std::mem::take(&mut self.lost_rows) {
            self.write(now, vec![lost_row]);
        }
    }

    /// Counts the lifetime of the targets' rows from now: the targets could not write them before.
    pub(super) fn renew_targets(&mut self, now: Instant) {
        let rows = self.rows.iter_mut();
        let targets = rows.filter(|((table, _, _), _)| table == TARGET_TABLE);
        targets.for_each(|(_, row)| row.written_at = now);
    }

    /// Deletes the targets' rows that were not written for some time, as one version; returns
    /// whether there were any.
    pub(super) fn expire_targets(&mut self, now: Instant, lifetime: Duration) -> bool {
        let is_expired =
            |row: &StoredRow| row.value.is_some() && now.duration_since(row.written_at) >= lifetime;
        let rows = self.rows.iter();
        let expired = rows.filter(|((table, _, _), row)| table == TARGET_TABLE && is_expired(row));
        let deletes: Vec<_> = expired
            .map(|(row_key, _)| (row_key.clone(), None))
            .collect();
        if deletes.is_empty() {
            return false;
        }
        self.write(now, deletes);
        true
    }
}
