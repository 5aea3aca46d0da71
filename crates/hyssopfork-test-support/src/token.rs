//! Tokens of the fake engine.
//!
//! They depend on the prompt alone, so that any engine can continue the stream of another, and a
//! client can verify that it received its own response, complete and in order.

use serde_json::{Value, json};

/// Start of a marker in a prompt; the tokens repeat the marker.
pub const MARK_OPEN: &str = "[#";
/// End of a marker in a prompt.
pub const MARK_CLOSE: &str = "]";

/// Completion endpoint that is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/completions`.
    Completions,
    /// `/v1/chat/completions`.
    ChatCompletions,
}

/// Returns the stem of the tokens for a prompt: its marker, or else a hash of the prompt.
pub fn stem(prompt: &str) -> String {
    let after = prompt.split_once(MARK_OPEN).map(|(_, after)| after);
    let mark = after.and_then(|after| after.split_once(MARK_CLOSE)).map(|(mark, _)| mark);
    mark.map_or_else(|| format!("{:016x}", hash(prompt.as_bytes())), str::to_owned)
}

/// Returns the token with number `index`.
pub fn token_text(stem: &str, index: u64) -> String {
    format!(" {stem}.{index}")
}

/// Returns the event of a stream that carries the token with number `index`.
pub fn token_event(endpoint: Endpoint, stem: &str, index: u64) -> String {
    let token = token_text(stem, index);
    let body = match endpoint {
        Endpoint::Completions => json!({
            "id": stem, "object": "text_completion",
            "choices": [{ "index": 0, "text": token }],
        }),
        Endpoint::ChatCompletions => json!({
            "id": stem, "object": "chat.completion.chunk",
            "choices": [{ "index": 0, "delta": { "content": token } }],
        }),
    };
    format!("data: {body}\n\n")
}

/// End marker of a stream.
pub const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Returns the response to a request without streaming.
pub fn completion(endpoint: Endpoint, stem: &str, count: u64) -> Value {
    let tokens: String = (0..count).map(|index| token_text(stem, index)).collect();
    let usage = json!({ "completion_tokens": count });
    match endpoint {
        Endpoint::Completions => json!({
            "id": stem, "object": "text_completion", "usage": usage,
            "choices": [{ "index": 0, "text": tokens, "finish_reason": "length" }],
        }),
        Endpoint::ChatCompletions => {
            let message = json!({ "role": "assistant", "content": tokens });
            json!({
                "id": stem, "object": "chat.completion", "usage": usage,
                "choices": [{ "index": 0, "message": message, "finish_reason": "length" }],
            })
        }
    }
}

/// Returns the 64-bit FNV-1a hash.
pub fn hash(bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.iter().fold(OFFSET, |hash, &byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
