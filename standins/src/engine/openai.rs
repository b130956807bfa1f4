//! Requests and responses of the engine, modelled on OpenAI's API.

use serde::{Deserialize, Serialize};

/// Value of `max_tokens` when the request has none.
const DEFAULT_TOKENS: u32 = 16;

/// A request for a completion or a chat completion.
#[derive(Clone, Debug, Deserialize)]
pub struct Request {
    /// Name of the model to run.
    pub model: String,
    /// Prompt of a text completion.
    #[serde(default)]
    pub prompt: String,
    /// Messages of a chat completion.
    #[serde(default)]
    pub messages: Vec<Message>,
    /// Length of the full response, in tokens; the engine always generates this many.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// Whether each token is sent as a server-sent event.
    #[serde(default)]
    pub stream: bool,
    /// Position of the first token to return; earlier ones are skipped.
    #[serde(default)]
    pub resume_from: u32,
}

/// A chat message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Message {
    /// Role of the author, such as `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

fn default_tokens() -> u32 {
    DEFAULT_TOKENS
}

impl Request {
    /// Returns the prompt and the contents of all messages, from which tokens are derived.
    pub fn full_prompt(&self) -> String {
        let contents: Vec<_> =
            self.messages.iter().map(|message| message.content.as_str()).collect();
        format!("{}{}", self.prompt, contents.join("\n"))
    }
}

/// One token of a streamed response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Chunk {
    /// Identifier of the request.
    pub id: String,
    /// Index of the token in the full response, from zero.
    pub position: u32,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
}

/// A response that isn't streamed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Completion {
    /// Identifier of the request.
    pub id: String,
    /// Type of the response: `chat.completion` or `text_completion`.
    pub object: String,
    /// Name of the model that ran.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
    /// Token counts.
    pub usage: Usage,
}

/// A choice of a response, or the part of it in one chunk.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Choice {
    /// Index of the choice; always zero.
    pub index: u32,
    /// Text of a text completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Message of a chat completion that isn't streamed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// Message part of a streamed chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Message>,
    /// Why generation stopped; set only when the response isn't streamed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
}

/// Token counts of a request and its response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the response.
    pub completion_tokens: u32,
    /// Sum of both counts.
    pub total_tokens: u32,
}
