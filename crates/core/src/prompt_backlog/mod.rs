//! Prompts that an engine has not processed yet, by priority.
//!
//! An engine processes one prompt at a time: the most urgent of those that wait, and of these the
//! one that arrived first. It does not interrupt a prompt for a more urgent one. Times of short
//! prompts show this: they wait until a long one that was there before has ended, however short
//! they are.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::prompt_backlog::PromptBacklog;
//!
//! let mut backlog = PromptBacklog::default();
//! backlog.add(1, 10_000);
//! backlog.add(1, 10_000);
//! // An urgent prompt waits for the rest of the one that is being processed.
//! assert_eq!(backlog.ahead_of(0).tokens, 5_000.0);
//! assert_eq!(backlog.ahead_of(1).tokens, 20_000.0);
//! ```

/// Number of priorities that are counted apart. Less urgent ones count as the last of them.
const LEVEL_COUNT: usize = 4;
/// Share of a less urgent prompt that is left on average when a more urgent one arrives while it
/// is being processed.
const REMAINING_SHARE: f64 = 0.5;

/// Prompts at an engine that are not processed yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PromptBacklog {
    levels: [PromptCount; LEVEL_COUNT],
}

/// Prompts of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct PromptCount {
    prompts: u32,
    tokens: u64,
}

/// What an engine processes before another prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkAhead {
    /// Number of prompts; one that is being processed counts in part.
    pub prompts: f64,
    /// Their tokens that are not processed yet.
    pub tokens: f64,
}

impl PromptBacklog {
    /// Adds a prompt.
    pub fn add(&mut self, priority: u8, tokens: u64) {
        let count = &mut self.levels[level(priority)];
        count.prompts = count.prompts.saturating_add(1);
        count.tokens = count.tokens.saturating_add(tokens);
    }

    /// Removes a prompt that was added with the same priority and tokens.
    pub fn remove(&mut self, priority: u8, tokens: u64) {
        let count = &mut self.levels[level(priority)];
        count.prompts = count.prompts.saturating_sub(1);
        count.tokens = count.tokens.saturating_sub(tokens);
    }

    /// Adds the prompts of another backlog at the same engine.
    pub fn merge(&mut self, other: &Self) {
        for (count, added) in self.levels.iter_mut().zip(&other.levels) {
            count.prompts = count.prompts.saturating_add(added.prompts);
            count.tokens = count.tokens.saturating_add(added.tokens);
        }
    }

    /// Returns the tokens of all prompts.
    pub fn tokens(&self) -> u64 {
        let tokens = self.levels.iter().map(|count| count.tokens);
        tokens.fold(0, u64::saturating_add)
    }

    /// Returns what the engine processes before a new prompt of the given priority: all prompts
    /// that are at least as urgent, and the rest of a less urgent one.
    pub fn ahead_of(&self, priority: u8) -> WorkAhead {
        let (before, after) = self.levels.split_at(level(priority) + 1);
        let mut ahead = WorkAhead::default();
        for count in before {
            ahead.prompts += f64::from(count.prompts);
            ahead.tokens += count.tokens as f64;
        }
        let less_urgent: u32 = after.iter().map(|count| count.prompts).sum();
        if less_urgent > 0 {
            let tokens: u64 = after.iter().map(|count| count.tokens).sum();
            ahead.prompts += REMAINING_SHARE;
            ahead.tokens += REMAINING_SHARE * tokens as f64 / f64::from(less_urgent);
        }
        ahead
    }
}

fn level(priority: u8) -> usize {
    usize::from(priority).min(LEVEL_COUNT - 1)
}
