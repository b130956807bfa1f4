//! What the chain needs to know of a body for an engine.
//!
//! The body itself goes to the engine byte by byte; this reads only the
//! fields that decide its way.

use std::hash::Hasher;

use serde::Deserialize;
use siphasher::sip::SipHasher24;

use crate::error::{Error, Kind, Result};
use crate::id::Model;

/// Bytes of a prompt that its cache hash covers.
const PREFIX_BYTES: usize = 256;
/// Tokens that a request without `max_tokens` is counted for.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// What a request asks of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Model that must answer.
    pub model: Model,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Hash of the prompt's beginning, as in cache events.
    pub prefix: u64,
    /// Estimated cost, in tokens.
    pub cost: u32,
}

#[derive(Deserialize)]
struct Body {
    model: Model,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    resume_from: Option<u32>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

impl Prompt {
    /// Reads a body; `Malformed` when it isn't a request for an engine.
    pub fn read(body: &[u8]) -> Result<Self> {
        let body: Body = serde_json::from_slice(body)
            .map_err(|error| Error::new(Kind::Malformed, format!("body: {error}")))?;
        if body.resume_from.is_some() {
            return Err(Error::new(Kind::Malformed, "body: resume_from is not for callers"));
        }
        let text = match body.prompt {
            Some(prompt) => prompt,
            None if body.messages.is_empty() => {
                return Err(Error::new(Kind::Malformed, "body: needs prompt or messages"));
            }
            None => body.messages.iter().map(|message| message.content.as_str()).collect(),
        };
        let tokens = u32::try_from(text.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
        let cost = tokens.saturating_add(body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)).max(1);
        Ok(Self { model: body.model, stream: body.stream, prefix: prefix_hash(&text), cost })
    }
}

/// Hash of a prompt's beginning, as engines give it in cache events.
pub fn prefix_hash(text: &str) -> u64 {
    let bytes = text.as_bytes();
    let mut hasher = SipHasher24::new();
    hasher.write(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    hasher.finish()
}
