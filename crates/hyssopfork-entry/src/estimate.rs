//! Estimates the cost of a request and the prompt prefix that it shares, from its body alone.
//!
//! The estimate only orders and balances work; no request is rejected because of it.

use serde::Deserialize;
use sha2::{Digest, Sha256};

/// Bytes of text per token; English prose has about four.
const BYTES_PER_TOKEN: usize = 4;

/// Assumed length of a response that the request doesn't limit, in tokens.
const DEFAULT_RESPONSE_TOKENS: u32 = 256;

/// Cost of a request that is not a completion: that of a short plain call, in tokens.
const PLAIN_REQUEST_COST_TOKENS: u32 = 16;

/// Longest prefix that is hashed. Engines cache whole blocks of tokens, and a prefix longer than a
/// few blocks doesn't distinguish requests any further.
const MAX_PREFIX_BYTES: usize = 1_024;

/// Shortest prefix that is worth affinity to an upstream: a shorter one is prefilled sooner than it
/// is looked up.
const MIN_PREFIX_BYTES: usize = 128;

/// Estimate for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Cost of the prompt and the response together; at least 1.
    pub cost_tokens: u32,
    /// Hash of the prompt prefix; `None` without a prompt or where it is short.
    pub prefix_hash: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Completion {
    prompt: Option<Prompt>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    n: Option<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    Text(String),
    Texts(Vec<String>),
    Tokens(Vec<u32>),
}

#[derive(Debug, Deserialize)]
struct Message {
    content: Option<Content>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    text: Option<String>,
}

/// Estimates a request from its body. Anything but a completion costs as much as a short plain
/// call.
pub fn from_body(body: &[u8]) -> Estimate {
    let plain = Estimate { cost_tokens: PLAIN_REQUEST_COST_TOKENS, prefix_hash: None };
    let Ok(completion) = serde_json::from_slice::<Completion>(body) else { return plain };
    if completion.prompt.is_none() && completion.messages.is_none() {
        return plain;
    }
    let choices = completion.n.unwrap_or(1).max(1);
    let max_tokens = completion.max_completion_tokens.or(completion.max_tokens);
    let response_tokens = max_tokens.unwrap_or(DEFAULT_RESPONSE_TOKENS).saturating_mul(choices);
    let cost_tokens = count_prompt_tokens(&completion).saturating_add(response_tokens).max(1);
    Estimate { cost_tokens, prefix_hash: find_first_text(&completion).and_then(hash_prefix) }
}

fn count_prompt_tokens(completion: &Completion) -> u32 {
    let prompt = match &completion.prompt {
        Some(Prompt::Text(text)) => text.len() / BYTES_PER_TOKEN,
        Some(Prompt::Texts(texts)) => {
            texts.iter().map(String::len).sum::<usize>() / BYTES_PER_TOKEN
        }
        Some(Prompt::Tokens(tokens)) => tokens.len(),
        None => 0,
    };
    let messages = completion.messages.iter().flatten().map(text_bytes).sum::<usize>();
    u32::try_from(prompt + messages / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
}

fn text_bytes(message: &Message) -> usize {
    match &message.content {
        Some(Content::Text(text)) => text.len(),
        Some(Content::Parts(parts)) => {
            parts.iter().filter_map(|part| part.text.as_ref()).map(String::len).sum()
        }
        None => 0,
    }
}

/// Text that requests of one kind have in common: the first message, or the prompt.
fn find_first_text(completion: &Completion) -> Option<&str> {
    match &completion.prompt {
        Some(Prompt::Text(text)) => return Some(text),
        Some(Prompt::Texts(texts)) => return texts.first().map(String::as_str),
        Some(Prompt::Tokens(_)) | None => {}
    }
    match &completion.messages.as_ref()?.first()?.content {
        Some(Content::Text(text)) => Some(text),
        Some(Content::Parts(parts)) => parts.first()?.text.as_deref(),
        None => None,
    }
}

fn hash_prefix(text: &str) -> Option<u64> {
    let prefix = &text.as_bytes()[..text.len().min(MAX_PREFIX_BYTES)];
    if prefix.len() < MIN_PREFIX_BYTES {
        return None;
    }
    let digest = Sha256::digest(prefix);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    Some(u64::from_be_bytes(bytes))
}
