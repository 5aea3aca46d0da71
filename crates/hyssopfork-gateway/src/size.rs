//! Size of a request in tokens, as its client states it.

/// Largest number of tokens that is believed. No engine holds more, and sums of such numbers stay far
/// from an overflow.
pub const MAX_TOKENS: u32 = 16 << 20;

/// Size of a request.
///
/// Invariant: no number is above [`MAX_TOKENS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub max_output_tokens: u32,
    /// The client's estimate of the output tokens, which is often far off; `None` if it gives none.
    pub expected_output_tokens: Option<u32>,
}

impl Size {
    /// Creates a size; numbers above [`MAX_TOKENS`] are reduced to it.
    pub fn new(prompt: u64, max_output: u64, expected_output: Option<u64>) -> Size {
        let limited = |tokens: u64| tokens.min(u64::from(MAX_TOKENS)) as u32;
        Size {
            prompt_tokens: limited(prompt),
            max_output_tokens: limited(max_output),
            expected_output_tokens: expected_output.map(limited),
        }
    }
}
