//! Parsing of request bodies for engines.
//!
//! The body is sent to the engine unchanged; only the fields that affect scheduling and routing
//! are read.

use std::hash::Hasher;

use serde::Deserialize;
use siphasher::sip::SipHasher24;

use crate::error::{Error, Kind, Result};
use crate::id::Model;

/// Length of the prompt prefix that the cache hash covers, in bytes.
const PREFIX_BYTES: usize = 256;
/// Assumed number of output tokens for a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Assumed number of prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// Fields of an engine request that affect its handling.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Requested model.
    pub model: Model,
    /// Whether the caller requested a streamed answer.
    pub stream: bool,
    /// Hash of the prompt's prefix, as in cache events.
    pub prefix: u64,
    /// Estimated cost of prompt and output, in tokens.
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
    /// Parses a body; fails with `Malformed` if it isn't a valid engine request.
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

/// Hash of a prompt's prefix, as engines report it in cache events.
pub fn prefix_hash(text: &str) -> u64 {
    let bytes = text.as_bytes();
    let mut hasher = SipHasher24::new();
    hasher.write(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    hasher.finish()
}
