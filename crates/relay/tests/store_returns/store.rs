//! The store of the model, and what targets and the operator write to it.

use std::collections::BTreeMap;

use acaciabank_core::{placement::EngineStage, store_version::StoreVersion};
use acaciabank_relay::platform;

pub const SERVICE: &str = "models";

/// Id and start time.
pub type Incarnation = (String, u64);

/// Order of versions, stated apart from the order of the tested type.
pub fn parts(version: StoreVersion) -> (u64, u64) {
    (version.era, version.number)
}

/// What a target writes.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub born_ms: u64,
    pub port: u16,
    pub stage: Option<EngineStage>,
    pub is_draining: bool,
}

/// What the operator writes.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    pub number: u64,
    pub digest: u64,
}

/// A row, with its number and the era in which it was written: a copy keeps the latter.
#[derive(Clone, Debug)]
pub struct Row<Body> {
    pub number: u64,
    pub written_era: u64,
    pub body: Body,
}

/// Contents of the store.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    pub number: u64,
    pub targets: BTreeMap<String, Row<Record>>,
    pub config: Option<Row<Document>>,
    /// Changes of targets since `history_start`, a deleted row as `None`.
    pub history: Vec<(u64, String, Option<Record>)>,
    pub history_start: u64,
}

/// The store and the copies from which it may come back.
pub struct Store {
    pub era: u64,
    pub rows: Rows,
    pub copies: Vec<(u64, Rows)>,
}

impl Store {
    pub fn new() -> Self {
        Self {
            era: 1,
            rows: Rows::default(),
            copies: Vec::new(),
        }
    }

    /// Keeps a copy, then assigns the next number.
    fn advance(&mut self, now_ms: u64) -> u64 {
        self.copies.push((now_ms, self.rows.clone()));
        self.rows.number += 1;
        self.rows.number
    }

    pub fn write_target(&mut self, id: &str, record: Option<Record>, now_ms: u64) {
        let number = self.advance(now_ms);
        self.rows.targets.remove(id);
        if let Some(body) = record.clone() {
            let written_era = self.era;
            let row = Row {
                number,
                written_era,
                body,
            };
            self.rows.targets.insert(id.to_owned(), row);
        }
        self.rows.history.push((number, id.to_owned(), record));
    }

    pub fn write_config(&mut self, body: Document, now_ms: u64) {
        let number = self.advance(now_ms);
        self.rows.config = Some(Row {
            number,
            written_era: self.era,
            body,
        });
    }

    /// Comes back from the state at a time, with or without the history of changes.
    pub fn return_to(&mut self, time_ms: u64, keeps_history: bool) {
        let kept = self
            .copies
            .partition_point(|(until_ms, _)| *until_ms < time_ms);
        if let Some((_, copy)) = self.copies.get(kept) {
            self.rows = copy.clone();
        }
        self.copies.truncate(kept);
        self.era += 1;
        if !keeps_history {
            self.rows.history.clear();
            self.rows.history_start = self.rows.number;
        }
    }

    pub fn version(&self) -> StoreVersion {
        StoreVersion::new(self.era, self.rows.number)
    }

    /// Whether the feed has all changes after a version; otherwise it answers with 410. The client
    /// then reads everything, as it does if the answer is of another era.
    fn continues(&self, after: StoreVersion) -> bool {
        let is_held = after.number <= self.rows.number && after.number >= self.rows.history_start;
        is_held && self.version().continues(after)
    }

    fn entry(&self, id: &str, number: u64, record: &Record) -> platform::TargetEntry {
        platform::TargetEntry {
            version: StoreVersion::new(self.era, number),
            id: id.to_owned(),
            born_ms: record.born_ms,
            service: SERVICE.to_owned(),
            address: ([127, 0, 0, 1], record.port).into(),
            zone: "zone-a".to_owned(),
            software: "v1".to_owned(),
            slots: 8,
            is_draining: record.is_draining,
            stage: record.stage,
            is_spot: false,
            leaves_ms: None,
        }
    }

    /// Reads the targets as the platform's client does; `None` if the history is gone.
    pub fn read_targets(&self, after: Option<StoreVersion>) -> Option<platform::TargetChanges> {
        let mut changes = platform::TargetChanges {
            is_complete: after.is_none(),
            version: self.version(),
            ..platform::TargetChanges::default()
        };
        let Some(after) = after else {
            let rows = self.rows.targets.iter();
            let entries = rows.map(|(id, row)| self.entry(id, row.number, &row.body));
            changes.present = entries.collect();
            return Some(changes);
        };
        if !self.continues(after) {
            return None;
        }
        let later = self.rows.history.iter();
        for (number, id, record) in later.filter(|(number, ..)| *number > after.number) {
            changes.present.retain(|known| known.id != *id);
            changes.absent.retain(|(known, _)| known != id);
            let version = StoreVersion::new(self.era, *number);
            match record {
                Some(record) => changes.present.push(self.entry(id, *number, record)),
                None => changes.absent.push((id.clone(), version)),
            }
        }
        Some(changes)
    }

    /// Reads the configuration; `None` if the history is gone.
    pub fn read_config(&self, after: Option<StoreVersion>) -> Option<Option<Row<Document>>> {
        let from = match after {
            Some(after) if !self.continues(after) => return None,
            Some(after) => after.number,
            None => 0,
        };
        Some(self.rows.config.clone().filter(|row| row.number > from))
    }
}
