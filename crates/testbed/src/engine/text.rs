//! Generates deterministic text: token `i` depends only on the model, the prompt and `i`, so that
//! another engine resumes a stream with exactly the same tokens.

use std::ops;

use serde_json::Value;

/// Returns a hash of a model and a prompt, from which the tokens are generated.
pub fn prompt_hash(model: &str, prompt: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(model.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(prompt.as_bytes(), seed)
}

/// Returns the text of the token at `index`.
pub fn token_text(prompt_hash: u64, index: u64) -> String {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash);
    format!(" {:06x}", hash & 0xff_ffff)
}

/// Returns the text that every engine generates for a range of token indexes.
pub fn expected_text(model: &str, prompt: &str, tokens: ops::Range<u64>) -> String {
    let hash = prompt_hash(model, prompt);
    tokens.map(|index| token_text(hash, index)).collect()
}

/// Returns the prompt for the messages of a chat: one line `role: content` for each.
pub fn chat_prompt(messages: &[Value]) -> String {
    let prompt_line = |message: &Value| {
        let role = message["role"].as_str().unwrap_or_default();
        let content = message["content"].as_str().unwrap_or_default();
        format!("{role}: {content}\n")
    };
    messages.iter().map(prompt_line).collect()
}
