//! Reads what the stand-ins recorded and counts how often each request ran.

use std::{collections, fs, io, path};

use serde_json::Value;

/// Entries of all journals in a folder, also those of processes that crashed.
#[derive(Clone, Debug, Default)]
pub struct JournalView {
    /// Entries by time.
    pub entries: Vec<Value>,
}

/// Reads all journal files of a folder.
///
/// # Errors
///
/// Returns the error of reading a file.
pub fn read_journals(folder: &path::Path) -> io::Result<JournalView> {
    let mut entries: Vec<Value> = Vec::new();
    for file in fs::read_dir(folder)? {
        let file = file?.path();
        if file
            .extension()
            .is_some_and(|extension| extension == "journal")
        {
            let text = fs::read_to_string(file)?;
            let lines = text.lines();
            entries.extend(lines.filter_map(|line| serde_json::from_str(line).ok()));
        }
    }
    entries.sort_by_key(|entry| entry["unix_ms"].as_u64());
    Ok(JournalView { entries })
}

impl JournalView {
    /// Entries with the given event name.
    pub fn events<'a>(&'a self, event: &'a str) -> impl Iterator<Item = &'a Value> {
        let entries = self.entries.iter();
        entries.filter(move |entry| entry["event"] == event)
    }

    fn count(&self, event: &str, name: impl Fn(&Value) -> Option<&str>) -> Counts {
        let mut counts = Counts::new();
        for name in self.events(event).filter_map(name) {
            *counts.entry(name.to_owned()).or_default() += 1;
        }
        counts
    }

    /// How often services executed each idempotency key.
    pub fn executions_by_key(&self) -> Counts {
        self.count("executed", |entry| entry["key"].as_str())
    }

    /// How often services executed a body.
    pub fn executions_of(&self, body: &str) -> usize {
        let hash = body_hash(body.as_bytes());
        let executed = self.events("executed");
        executed.filter(|entry| entry["body_hash"] == *hash).count()
    }

    /// Whether a service received a body.
    pub fn has_received(&self, body: &str) -> bool {
        let hash = body_hash(body.as_bytes());
        let mut received = self.events("received");
        received.any(|entry| entry["body_hash"] == *hash)
    }

    /// States of a key that were written to the table, in order.
    pub fn key_states(&self, key: &str) -> Vec<String> {
        let mut states = Vec::new();
        for entry in self.events("write") {
            let items = entry["input"]["TransactItems"].as_array();
            for item in items.into_iter().flatten() {
                let row = &item["Put"]["Item"];
                let is_key = row["sk"]["S"]
                    .as_str()
                    .is_some_and(|name| name.split_once('#').is_some_and(|(_, name)| name == key));
                if row["pk"]["S"] != "key" || !is_key {
                    continue;
                }
                let body = row["body"]["S"].as_str().unwrap_or_default();
                let body: Value = serde_json::from_str(body).unwrap_or_default();
                states.push(body["state"].as_str().unwrap_or_default().to_owned());
            }
        }
        states
    }

    /// How often services executed each body, by its hash; see [`body_hash`].
    pub fn executions_by_body(&self) -> Counts {
        self.count("executed", |entry| entry["body_hash"].as_str())
    }

    /// How often engines finished each request, over all attempts.
    pub fn finished_by_request(&self) -> Counts {
        let request = |entry: &Value| -> Option<String> {
            let (request, _) = entry["attempt"].as_str()?.rsplit_once('.')?;
            Some(request.to_owned())
        };
        let mut counts = Counts::new();
        for name in self.events("finished").filter_map(request) {
            *counts.entry(name).or_default() += 1;
        }
        counts
    }
}

/// Number of executions by name.
pub type Counts = collections::BTreeMap<String, usize>;

/// Hash of a body as journals of services show it.
pub fn body_hash(body: &[u8]) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(body))
}
