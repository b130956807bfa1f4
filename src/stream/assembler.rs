//! Puts one answer together from the events of one or more attempts.

use bytes::Bytes;
use serde_json::Value;

use crate::error::{Error, Kind};

/// Beginning of an event's data line.
const DATA: &[u8] = b"data:";
/// Data of the last event.
const DONE: &[u8] = b"[DONE]";

/// What becomes of an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// It goes to the caller.
    Forward(Bytes),
    /// It ends the answer and goes to the caller.
    Done(Bytes),
    /// The caller has it already, or it is a comment.
    Drop,
    /// The attempt can't be trusted any longer.
    Abort(Error),
}

/// The answer as far as the caller has it.
#[derive(Debug)]
pub struct Assembler {
    request: String,
    attempt: String,
    next: u32,
    done: bool,
}

impl Assembler {
    /// Begins an answer that the caller knows as `request`.
    pub fn new(request: String) -> Self {
        Self { request, attempt: String::new(), next: 0, done: false }
    }

    /// Begins an attempt whose events carry the identifier `attempt`.
    pub fn start_attempt(&mut self, attempt: String) {
        self.attempt = attempt;
    }

    /// Position of the next token that the caller lacks.
    pub fn next_position(&self) -> u32 {
        self.next
    }

    /// Judges one whole event.
    pub fn accept(&mut self, event: &[u8]) -> Action {
        assert!(!self.done, "an event follows the end of an answer");
        let Some(data) = data_of(event) else { return Action::Drop };
        if data == DONE {
            self.done = true;
            return Action::Done(Bytes::from_static(b"data: [DONE]\n\n"));
        }
        let Ok(Value::Object(mut fields)) = serde_json::from_slice::<Value>(data) else {
            return Action::Abort(crossed("an event can't be read"));
        };
        if fields.get("id").and_then(Value::as_str) != Some(self.attempt.as_str()) {
            return Action::Abort(crossed("an event belongs to another request"));
        }
        let Some(position) = fields.get("position").and_then(Value::as_u64) else {
            return Action::Abort(crossed("an event has no position"));
        };
        if position < u64::from(self.next) {
            return Action::Drop;
        }
        if position > u64::from(self.next) {
            return Action::Abort(crossed("a token is missing"));
        }
        assert!(position == u64::from(self.next), "a token out of order");
        self.next += 1;
        fields.insert("id".into(), Value::from(self.request.as_str()));
        Action::Forward(format!("data: {}\n\n", Value::Object(fields)).into())
    }
}

fn data_of(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(DATA))
        .map(<[u8]>::trim_ascii)
}

fn crossed(detail: &str) -> Error {
    Error::new(Kind::UpstreamFailed, detail)
}
