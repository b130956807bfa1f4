//! Requests and answers of the engine, in the manner of OpenAI's.

use serde::{Deserialize, Serialize};

/// Tokens of an answer whose request names no number.
const DEFAULT_TOKENS: u32 = 16;

/// A request for a completion or a chat completion.
#[derive(Clone, Debug, Deserialize)]
pub struct Request {
    /// Model that is to answer.
    pub model: String,
    /// Prompt of a completion.
    #[serde(default)]
    pub prompt: String,
    /// Messages of a chat.
    #[serde(default)]
    pub messages: Vec<Message>,
    /// Length of the answer, in tokens.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// Whether each token comes as an event.
    #[serde(default)]
    pub stream: bool,
    /// First position that is wanted.
    #[serde(default)]
    pub resume_from: u32,
}

/// A message of a chat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

fn default_tokens() -> u32 {
    DEFAULT_TOKENS
}

impl Request {
    /// The text that the answer depends on.
    pub fn whole_prompt(&self) -> String {
        let spoken: Vec<_> = self.messages.iter().map(|message| message.content.as_str()).collect();
        format!("{}{}", self.prompt, spoken.join("\n"))
    }
}

/// One token as an event carries it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    /// Request that it answers.
    pub id: String,
    /// Its place in the answer, from zero.
    pub position: u32,
    /// Always one.
    pub choices: Vec<Choice>,
}

/// A whole answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Whole {
    /// Request that it answers.
    pub id: String,
    /// Kind of answer.
    pub object: String,
    /// Model that answered.
    pub model: String,
    /// Always one.
    pub choices: Vec<Choice>,
    /// Tokens that were counted.
    pub usage: Usage,
}

/// A choice of an answer, whole or in part.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Choice {
    /// Always zero.
    pub index: u32,
    /// Text of a completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Text of a whole chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// Text of a streamed chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Message>,
    /// Why the answer ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
}

/// Tokens of a request and its answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Of the prompt.
    pub prompt_tokens: u32,
    /// Of the answer.
    pub completion_tokens: u32,
    /// Of both.
    pub total_tokens: u32,
}
