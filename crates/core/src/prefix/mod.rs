//! What a daemon believes of the prompt parts in the memory of each engine.
//!
//! A prompt is a chain of parts. A cached part spares its prefill only when every part before it is
//! cached too.

use std::collections::HashMap;

use xxhash_rust::xxh3;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PromptPart {
    /// Hash of its model and id, as engines name what they hold.
    pub key: u64,
    /// Tokens of this part alone.
    pub tokens: u32,
}

impl PromptPart {
    /// The part of a model's prompts with an id.
    pub fn new(model: &str, id: &str, tokens: u32) -> Self {
        let seed = xxh3::xxh3_64(model.as_bytes());
        Self {
            key: xxh3::xxh3_64_with_seed(id.as_bytes(), seed),
            tokens,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct HeldPart {
    tokens: u32,
    used_ms: u64,
    ready_ms: u64,
}

/// Parts that one engine is believed to hold; the least recently used ones yield, as at the engine.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    held: HashMap<u64, HeldPart>,
    tokens: u64,
    capacity: u64,
}

impl PrefixIndex {
    /// An index of an engine with memory for `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            held: HashMap::new(),
            tokens: 0,
            capacity,
        }
    }

    /// Tokens at the start of the prompt that the engine is believed to hold when it comes to a
    /// request that is sent now.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        self.leading_tokens(parts, u64::MAX)
    }

    /// Tokens at the start of the prompt that other engines are believed to be able to fetch now.
    pub fn ready_tokens(&self, parts: &[PromptPart], now_ms: u64) -> u64 {
        self.leading_tokens(parts, now_ms)
    }

    fn leading_tokens(&self, parts: &[PromptPart], until_ms: u64) -> u64 {
        let is_held = |part: &&PromptPart| {
            let held = self.held.get(&part.key);
            held.is_some_and(|held| held.ready_ms <= until_ms)
        };
        let cached = parts.iter().take_while(is_held);
        cached.map(|part| u64::from(part.tokens)).sum()
    }

    /// Records that the engine is sent a prompt, which it will have processed at `ready_ms`.
    pub fn record_use(&mut self, parts: &[PromptPart], now_ms: u64, ready_ms: u64) {
        for part in parts {
            let held = self.held.entry(part.key).or_insert_with(|| {
                self.tokens += u64::from(part.tokens);
                HeldPart {
                    tokens: part.tokens,
                    used_ms: now_ms,
                    ready_ms,
                }
            });
            held.used_ms = now_ms;
            held.ready_ms = held.ready_ms.min(ready_ms);
        }
        if self.tokens > self.capacity {
            self.evict();
        }
    }

    /// Drops the oldest parts down to three quarters of the capacity, so that one pass over the
    /// index serves many insertions.
    fn evict(&mut self) {
        let mut ages: Vec<(u64, u64)> = self
            .held
            .iter()
            .map(|(key, held)| (held.used_ms, *key))
            .collect();
        ages.sort_unstable();
        for (_, key) in ages {
            if self.tokens <= self.capacity / 4 * 3 {
                break;
            }
            if let Some(held) = self.held.remove(&key) {
                self.tokens -= u64::from(held.tokens);
            }
        }
    }
}

/// Rank of an engine as the home of a part (rendezvous hashing): all daemons that know the same
/// engines agree on the order without talking to each other. The lowest rank is the home.
pub fn home_rank(part: u64, target: u64) -> u64 {
    crate::route::mix(part ^ target.rotate_left(32), 0)
}
