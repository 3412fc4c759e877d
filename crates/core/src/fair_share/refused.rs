//! Prompts of requests that were refused a short time ago, by which repeats are recognised.

use std::collections::HashMap;

/// Largest number of prompts that are kept, some 400 KB. Further ones count as new when they are
/// repeated.
const MAX_PROMPTS: usize = 16_384;
/// Interval at which expired prompts are removed.
const EXPIRE_INTERVAL_MS: u64 = 1_000;

/// Refused prompts by key, with the deadlines of their requests.
#[derive(Clone, Debug, Default)]
pub struct RefusedPrompts {
    expires_ms: HashMap<u64, u64>,
    /// Time at which expired prompts are removed next.
    expire_at_ms: u64,
}

impl RefusedPrompts {
    /// Records a refused request with its deadline; returns whether it repeats a refused one.
    pub fn insert(&mut self, key: u64, expires_ms: u64, now_ms: u64) -> bool {
        if self.expires_ms.len() >= MAX_PROMPTS && !self.expires_ms.contains_key(&key) {
            return false;
        }
        let known = self.expires_ms.insert(key, expires_ms);
        known.is_some_and(|expires_ms| expires_ms > now_ms)
    }

    /// Removes a prompt that was placed; returns whether its request repeats a refused one.
    pub fn remove(&mut self, key: u64, now_ms: u64) -> bool {
        let known = self.expires_ms.remove(&key);
        known.is_some_and(|expires_ms| expires_ms > now_ms)
    }

    /// Removes expired prompts, once per [`EXPIRE_INTERVAL_MS`].
    pub fn expire(&mut self, now_ms: u64) {
        if now_ms < self.expire_at_ms {
            return;
        }
        self.expire_at_ms = now_ms + EXPIRE_INTERVAL_MS;
        self.expires_ms.retain(|_, expires_ms| *expires_ms > now_ms);
    }
}
