//! The completion that a fake engine generates, which depends on the prompt alone.
//!
//! Tests compute the completion that a program must get and compare it byte for byte, so a lost,
//! duplicated or mixed-up history is detected.

use rosethread_types::{Digest, Tokens};

/// Bytes in a token.
pub(crate) const TOKEN_BYTES: usize = 4;

/// Returns the number of tokens in a text, of `TOKEN_BYTES` bytes each; the last may be shorter.
pub fn count_tokens(text: &str) -> Tokens {
    text.len().div_ceil(TOKEN_BYTES) as Tokens
}

/// Returns a prompt that makes fake engines generate `tokens` tokens.
pub fn prompt_for_output(text: &str, tokens: Tokens) -> String {
    format!("{text} [out={tokens}]")
}

/// Returns how many tokens a prompt asks for: the number in its last `[out=…]`.
pub(crate) fn requested_tokens(messages: &str) -> Tokens {
    let start = messages.rfind("[out=").map(|it| it + "[out=".len());
    let digits = start.map(|it| messages[it..].split(']').next().unwrap_or_default());
    digits.and_then(|it| it.parse().ok()).unwrap_or(DEFAULT_TOKENS)
}

/// Tokens generated for a prompt without `[out=…]`.
const DEFAULT_TOKENS: Tokens = 16;

/// Returns the text of token `index` in the completion of the prompt with `digest`.
pub(crate) fn token_text(digest: Digest, index: Tokens) -> String {
    let byte = digest.0[index as usize % digest.0.len()];
    format!("{:02x}{:01x} ", byte, index % 16)
}

/// Returns the digest that determines the completion of a prompt.
pub(crate) fn prompt_digest(messages: &str) -> Digest {
    Digest::default().chain(&[messages.as_bytes()])
}

/// Returns the whole completion of `messages` by a fake engine.
pub fn expected_completion(messages: &str, max_tokens: Tokens) -> String {
    let digest = prompt_digest(messages);
    let count = requested_tokens(messages).min(max_tokens);
    (0..count).map(|it| token_text(digest, it)).collect()
}
