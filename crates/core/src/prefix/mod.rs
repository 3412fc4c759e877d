//! Estimate of the prompt prefixes that each engine has in its KV cache.
//!
//! A prompt is a sequence of parts. An engine skips the prefill of a cached part only if every part
//! before it is cached too.

use std::collections::HashMap;

use xxhash_rust::xxh3;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PromptPart {
    /// Hash of the model and the part's id, which identify the part in the lists of cached parts
    /// that engines report.
    pub key: u64,
    /// Tokens of this part alone, without those before it.
    pub tokens: u32,
}

impl PromptPart {
    /// Creates the part with the given id of a model's prompts.
    pub fn new(model: &str, id: &str, tokens: u32) -> Self {
        let seed = xxh3::xxh3_64(model.as_bytes());
        Self {
            key: xxh3::xxh3_64_with_seed(id.as_bytes(), seed),
            tokens,
        }
    }
}

/// Returns the parts of a prompt that other requests may share: all but the last one.
pub fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

#[derive(Clone, Copy, Debug)]
struct CacheEntry {
    tokens: u32,
    /// Time of the last use.
    used_ms: u64,
    /// Time from which the part is processed, so that other engines can fetch it.
    ready_ms: u64,
}

/// Parts that one engine has presumably cached. The least recently used ones are evicted, as at the
/// engine.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    cached: HashMap<u64, CacheEntry>,
    tokens: u64,
    capacity_tokens: u64,
}

impl PrefixIndex {
    /// Creates an empty index of an engine with memory for `capacity_tokens` tokens.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            cached: HashMap::new(),
            tokens: 0,
            capacity_tokens,
        }
    }

    /// Returns the tokens at the start of the prompt that the engine has presumably cached by the
    /// time it processes a request that is sent now.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        self.leading_tokens(parts, u64::MAX)
    }

    /// Returns the tokens at the start of the prompt that other engines can presumably fetch from
    /// this one now.
    pub fn ready_tokens(&self, parts: &[PromptPart], now_ms: u64) -> u64 {
        self.leading_tokens(parts, now_ms)
    }

    fn leading_tokens(&self, parts: &[PromptPart], until_ms: u64) -> u64 {
        let is_ready = |part: &&PromptPart| {
            let cached = self.cached.get(&part.key);
            cached.is_some_and(|cached| cached.ready_ms <= until_ms)
        };
        let leading = parts.iter().take_while(is_ready);
        leading.map(|part| u64::from(part.tokens)).sum()
    }

    /// Records that a prompt is sent to the engine, which will have processed it at `ready_ms`.
    pub fn record_use(&mut self, parts: &[PromptPart], now_ms: u64, ready_ms: u64) {
        for part in parts {
            let cached = self.cached.entry(part.key).or_insert_with(|| {
                self.tokens += u64::from(part.tokens);
                CacheEntry {
                    tokens: part.tokens,
                    used_ms: now_ms,
                    ready_ms,
                }
            });
            cached.used_ms = now_ms;
            cached.ready_ms = cached.ready_ms.min(ready_ms);
        }
        if self.tokens > self.capacity_tokens {
            self.evict();
        }
    }

    /// Evicts the least recently used parts down to three quarters of the capacity, so that one
    /// pass over the index makes room for many insertions.
    fn evict(&mut self) {
        let mut by_last_use: Vec<(u64, u64)> = self
            .cached
            .iter()
            .map(|(key, cached)| (cached.used_ms, *key))
            .collect();
        by_last_use.sort_unstable();
        for (_, key) in by_last_use {
            if self.tokens <= self.capacity_tokens / 4 * 3 {
                break;
            }
            if let Some(cached) = self.cached.remove(&key) {
                self.tokens -= u64::from(cached.tokens);
            }
        }
    }
}

/// Returns the rank of an engine as the home of a part, by rendezvous hashing. The home is the
/// engine with the lowest rank, which is preferred for the part while no engine has it cached;
/// daemons that know the same engines agree on it without communication.
pub fn home_rank(part_key: u64, target_hash: u64) -> u64 {
    crate::route::mix(part_key ^ target_hash.rotate_left(32), 0)
}
