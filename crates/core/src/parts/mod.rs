//! What a daemon believes of the prompt parts in the memory of each engine.
//!
//! A prompt is a chain of parts. A cached part spares its prefill only when every part before it is
//! cached too, so a part is identified by the hash of the chain that ends with it.

use std::collections::HashMap;

use xxhash_rust::xxh3;

/// A part of a prompt, identified by the chain that ends with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of this part and all before it.
    pub chain: u64,
    /// Tokens of this part alone.
    pub tokens: u32,
}

/// Builds the chain of a prompt from the ids and token counts of its parts.
pub fn chain_parts<'a>(
    model: &str,
    parts: impl Iterator<Item = (&'a str, u32)>,
) -> Vec<PromptPart> {
    let mut chain = xxh3::xxh3_64(model.as_bytes());
    let link = |(id, tokens): (&str, u32)| {
        chain = xxh3::xxh3_64_with_seed(id.as_bytes(), chain);
        PromptPart { chain, tokens }
    };
    parts.map(link).collect()
}

#[derive(Clone, Copy, Debug)]
struct HeldPart {
    tokens: u32,
    used_ms: u64,
}

/// Parts that one engine is believed to hold; the least recently used ones yield, as at the engine.
#[derive(Clone, Debug)]
pub struct PartIndex {
    held: HashMap<u64, HeldPart>,
    tokens: u64,
    capacity: u64,
}

impl PartIndex {
    /// An index of an engine with memory for `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            held: HashMap::new(),
            tokens: 0,
            capacity,
        }
    }

    /// Tokens at the start of the prompt that the engine is believed to hold.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        let cached = parts
            .iter()
            .take_while(|part| self.held.contains_key(&part.chain));
        cached.map(|part| u64::from(part.tokens)).sum()
    }

    /// Records that the engine has processed a prompt.
    pub fn record_use(&mut self, parts: &[PromptPart], now_ms: u64) {
        for part in parts {
            let held = HeldPart {
                tokens: part.tokens,
                used_ms: now_ms,
            };
            if self.held.insert(part.chain, held).is_none() {
                self.tokens += u64::from(part.tokens);
            }
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
            .map(|(chain, held)| (held.used_ms, *chain))
            .collect();
        ages.sort_unstable();
        for (_, chain) in ages {
            if self.tokens <= self.capacity / 4 * 3 {
                break;
            }
            if let Some(held) = self.held.remove(&chain) {
                self.tokens -= u64::from(held.tokens);
            }
        }
    }
}

/// Rank of an engine as the home of a chain (rendezvous hashing): all daemons that know the same
/// engines agree on the order without talking to each other. The lowest rank is the home.
pub fn home_rank(chain: u64, target: u64) -> u64 {
    crate::route::mix(chain ^ target.rotate_left(32), 0)
}
