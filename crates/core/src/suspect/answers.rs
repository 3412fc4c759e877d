//! Times at which suspects were last answered.

use std::collections::HashMap;

/// Keys known to have been answered in each of the two generations that are kept.
const MAX_ANSWERS: usize = 4_096;

/// Times at which answers to requests with a key last began, by key. Holds the keys of the last one
/// to two generations of [`MAX_ANSWERS`] keys, and of those before the keys of kept crashes.
#[derive(Clone, Debug, Default)]
pub struct AnswerTable {
    newer: HashMap<u64, u64>,
    older: HashMap<u64, u64>,
}

impl AnswerTable {
    /// Records an answer; a new generation begins with the answers to `kept` keys.
    pub fn record(&mut self, key: u64, answer_ms: u64, kept: impl Iterator<Item = u64>) {
        if self.newer.len() >= MAX_ANSWERS && !self.newer.contains_key(&key) {
            let answers = kept.filter_map(|key| Some((key, self.last_ms(key)?)));
            let newer = answers.collect();
            self.older = std::mem::replace(&mut self.newer, newer);
        }
        let known_ms = self.newer.entry(key).or_default();
        *known_ms = (*known_ms).max(answer_ms);
    }

    /// Returns the time of the last answer to a request with a key.
    pub fn last_ms(&self, key: u64) -> Option<u64> {
        let (newer, older) = (self.newer.get(&key), self.older.get(&key));
        newer.max(older).copied()
    }
}
