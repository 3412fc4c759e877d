//! Deterministic text: token `i` depends on the model, the prompt and `i` alone, so that a stream
//! resumed at another engine continues exactly.

use std::ops;

use serde_json::Value;

/// Identifies a prompt for a model.
pub fn prompt_hash(model: &str, prompt: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(model.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(prompt.as_bytes(), seed)
}

/// Text of one token.
pub fn token_text(prompt_hash: u64, index: u64) -> String {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash);
    format!(" {:06x}", hash & 0xff_ffff)
}

/// Text that every engine generates for a prompt in the given range of tokens.
pub fn expected_text(model: &str, prompt: &str, tokens: ops::Range<u64>) -> String {
    let hash = prompt_hash(model, prompt);
    tokens.map(|index| token_text(hash, index)).collect()
}

/// Prompt that stands for the messages of a chat.
pub fn chat_prompt(messages: &[Value]) -> String {
    let line = |message: &Value| {
        let role = message["role"].as_str().unwrap_or_default();
        let content = message["content"].as_str().unwrap_or_default();
        format!("{role}: {content}\n")
    };
    messages.iter().map(line).collect()
}
