//! Tokens of a response, derived from the prompt and the token's position.

use std::hash::Hasher;

use siphasher::sip::SipHasher24;

const WORDS: [&str; 16] = [
    " duct", " hood", " fan", " grease", " filter", " crew", " share", " fuel", " quay", " net",
    " ledger", " clean", " visit", " note", " kitchen", " skipper",
];

/// Length of the cached prefix of a prompt, in bytes.
pub const PREFIX_BYTES: usize = 256;

/// Returns the text of token `position` of the response to `prompt`.
pub fn text(prompt: &str, position: u32) -> String {
    let mut hasher = SipHasher24::new();
    hasher.write(prompt.as_bytes());
    hasher.write_u32(position);
    let hash = hasher.finish();
    format!("{}{}", WORDS[(hash % WORDS.len() as u64) as usize], hash >> 60)
}

/// Returns the full response to `prompt`.
pub fn answer(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|position| text(prompt, position)).collect()
}

/// Returns the hash of the prompt's prefix, which identifies it in cache events.
pub fn prefix(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let mut hasher = SipHasher24::new();
    hasher.write(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    hasher.finish()
}
