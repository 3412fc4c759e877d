//! Reads the journals of simulated processes and counts how often each request was executed.

use std::{collections, fs, io, path};

use serde_json::Value;

/// Entries of all journals in a folder, including those of processes that crashed.
#[derive(Clone, Debug, Default)]
pub struct JournalEntries {
    /// Entries in the order of their time stamps.
    pub entries: Vec<Value>,
}

/// Reads all journal files of a folder. Lines that are not valid JSON, such as one that a crash cut
/// short, are skipped.
///
/// # Errors
///
/// Returns the I/O error of reading the folder or a file.
pub fn read_journals(folder: &path::Path) -> io::Result<JournalEntries> {
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
    Ok(JournalEntries { entries })
}

impl JournalEntries {
    /// Returns the entries with the given event name.
    pub fn events<'a>(&'a self, event: &'a str) -> impl Iterator<Item = &'a Value> {
        let entries = self.entries.iter();
        entries.filter(move |entry| entry["event"] == event)
    }

    /// Counts the entries of an event by the name that `name` returns; entries without one are
    /// skipped.
    fn count(&self, event: &str, name: impl Fn(&Value) -> Option<&str>) -> EntryCounts {
        let mut counts = EntryCounts::new();
        for name in self.events(event).filter_map(name) {
            *counts.entry(name.to_owned()).or_default() += 1;
        }
        counts
    }

    /// Returns how often services executed each idempotency key.
    pub fn executions_by_key(&self) -> EntryCounts {
        self.count("executed", |entry| entry["key"].as_str())
    }

    /// Returns how often services executed requests with the given body.
    pub fn executions_of(&self, body: &str) -> usize {
        let hash = body_hash(body.as_bytes());
        let executed = self.events("executed");
        executed.filter(|entry| entry["body_hash"] == *hash).count()
    }

    /// Whether a service received a request with the given body, executed or not.
    pub fn has_received(&self, body: &str) -> bool {
        let hash = body_hash(body.as_bytes());
        let mut received = self.events("received");
        received.any(|entry| entry["body_hash"] == *hash)
    }

    /// Returns the states of an idempotency key in the order of their writes to the table.
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

    /// Returns how often services executed each request body, by its [`body_hash`].
    pub fn executions_by_body(&self) -> EntryCounts {
        self.count("executed", |entry| entry["body_hash"].as_str())
    }

    /// Returns how often engines finished each request, over all attempts.
    pub fn finished_by_request(&self) -> EntryCounts {
        let request_id = |entry: &Value| -> Option<String> {
            let (id, _) = entry["attempt"].as_str()?.rsplit_once('.')?;
            Some(id.to_owned())
        };
        let mut counts = EntryCounts::new();
        for id in self.events("finished").filter_map(request_id) {
            *counts.entry(id).or_default() += 1;
        }
        counts
    }
}

/// Number of journal entries by name, such as an idempotency key or a request id.
pub type EntryCounts = collections::BTreeMap<String, usize>;

/// Returns the hash of a request body in the form that services write to their journals.
pub fn body_hash(body: &[u8]) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(body))
}
