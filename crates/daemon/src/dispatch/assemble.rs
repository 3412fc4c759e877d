//! Builds a single JSON response from the chunks of a stream, for callers that did not ask for a
//! stream.

use serde_json::{Value, json};

use super::sse;

/// Accumulates the chunks of a completion.
#[derive(Debug, Default)]
pub(super) struct CompletionAssembler {
    first: Option<Value>,
    text: String,
    finish_reason: Value,
    usage: Value,
}

impl CompletionAssembler {
    pub(super) fn push(&mut self, chunk: &Value) {
        let choice = &chunk["choices"][0];
        self.text.push_str(sse::choice_text(choice));
        if choice["finish_reason"].is_string() {
            self.finish_reason = choice["finish_reason"].clone();
        }
        if chunk["usage"].is_object() {
            self.usage = chunk["usage"].clone();
        }
        if self.first.is_none() {
            self.first = Some(chunk.clone());
        }
    }

    /// The response in the format of the endpoint `path`.
    pub(super) fn finish(self, path: &str) -> Value {
        let mut response = self.first.unwrap_or_else(|| json!({}));
        let choice = match path {
            "/v1/chat/completions" => {
                response["object"] = json!("chat.completion");
                let message = json!({"role": "assistant", "content": self.text});
                json!({"index": 0, "message": message, "finish_reason": self.finish_reason})
            }
            _ => {
                response["object"] = json!("text_completion");
                json!({"index": 0, "text": self.text, "logprobs": null,
                       "finish_reason": self.finish_reason})
            }
        };
        response["choices"] = json!([choice]);
        response["usage"] = self.usage;
        response
    }
}
