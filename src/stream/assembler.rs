//! Assembles one answer from the events of one or more attempts.

use bytes::Bytes;
use serde_json::Value;

use crate::error::{Error, Kind};

/// Prefix of an event's data line.
const DATA: &[u8] = b"data:";
/// Data of the final event.
const DONE: &[u8] = b"[DONE]";

/// What to do with an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward it to the caller.
    Forward(Bytes),
    /// Forward it to the caller and end the answer.
    Done(Bytes),
    /// Discard it: a comment, or an event that the caller already has.
    Drop,
    /// Abort the attempt, whose events are invalid.
    Abort(Error),
}

/// Progress of an answer to the caller.
#[derive(Debug)]
pub struct Assembler {
    request_id: String,
    attempt_id: String,
    next_position: u32,
    done: bool,
}

impl Assembler {
    /// Starts an answer to the request with identifier `request_id`.
    pub fn new(request_id: String) -> Self {
        Self { request_id, attempt_id: String::new(), next_position: 0, done: false }
    }

    /// Starts an attempt whose events carry the identifier `attempt_id`.
    pub fn start_attempt(&mut self, attempt_id: String) {
        self.attempt_id = attempt_id;
    }

    /// Position of the next token to forward to the caller.
    pub fn next_position(&self) -> u32 {
        self.next_position
    }

    /// Checks one complete event and advances the answer.
    pub fn accept(&mut self, event: &[u8]) -> Action {
        assert!(!self.done, "event after the end of the answer");
        let Some(data) = data_of(event) else { return Action::Drop };
        if data == DONE {
            self.done = true;
            return Action::Done(Bytes::from_static(b"data: [DONE]\n\n"));
        }
        let Ok(Value::Object(mut fields)) = serde_json::from_slice::<Value>(data) else {
            return Action::Abort(invalid("an event can't be read"));
        };
        if fields.get("id").and_then(Value::as_str) != Some(self.attempt_id.as_str()) {
            return Action::Abort(invalid("an event belongs to another request"));
        }
        let Some(position) = fields.get("position").and_then(Value::as_u64) else {
            return Action::Abort(invalid("an event has no position"));
        };
        if position < u64::from(self.next_position) {
            return Action::Drop;
        }
        if position > u64::from(self.next_position) {
            return Action::Abort(invalid("a token is missing"));
        }
        assert!(position == u64::from(self.next_position), "token out of order");
        self.next_position += 1;
        fields.insert("id".into(), Value::from(self.request_id.as_str()));
        Action::Forward(format!("data: {}\n\n", Value::Object(fields)).into())
    }
}

fn data_of(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(DATA))
        .map(<[u8]>::trim_ascii)
}

fn invalid(detail: &str) -> Error {
    Error::new(Kind::UpstreamFailed, detail)
}
