//! The log line of one request: what was decided, from which inputs.

use std::rc::Rc;

use super::context::Context;
use crate::clock::Time;
use crate::emit;
use crate::event::Event;

/// Characters of a caller's identifier that are logged.
const MAX_ID_CHARS: usize = 128;

/// What is logged of a request when it ends, however it ends.
pub struct Record {
    context: Rc<Context>,
    begun: Time,
    concluded: Option<&'static str>,
    /// The caller's identifier.
    pub request_id: String,
    /// Version of the configuration that decided.
    pub version: u64,
    /// Name of its route.
    pub route: String,
    /// Its organisation.
    pub organisation: String,
    /// Where its token came from.
    pub token: &'static str,
    /// Upstreams that it was sent to, in order.
    pub attempts: Vec<String>,
    /// Expected time to the first event at the last of them, in milliseconds.
    pub expected_ms: f64,
    /// Time to the first event, in milliseconds.
    pub first_event_ms: Option<u64>,
    /// Status of the answer.
    pub status: u16,
    /// Why it was refused, or the last failure on the way.
    pub reason: String,
}

impl Record {
    /// Begins the record of a request that has just arrived.
    pub fn new(context: Rc<Context>, request_id: &str) -> Self {
        Self {
            begun: context.now(),
            context,
            concluded: None,
            request_id: request_id.chars().take(MAX_ID_CHARS).collect(),
            version: 0,
            route: String::new(),
            organisation: String::new(),
            token: "",
            attempts: Vec::new(),
            expected_ms: 0.0,
            first_event_ms: None,
            status: 0,
            reason: String::new(),
        }
    }

    /// Ends the record with an outcome.
    pub fn conclude(&mut self, outcome: &'static str) {
        self.concluded = Some(outcome);
    }

    /// Moves the record to where the request goes on, and leaves none behind.
    pub fn take(&mut self) -> Self {
        let unnamed = Self::new(self.context.clone(), "");
        std::mem::replace(self, unnamed)
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        if self.request_id.is_empty() {
            return;
        }
        let now = self.context.now();
        let outcome = self.concluded.unwrap_or("caller gone");
        let event = match outcome {
            "answered" => Event::RequestServed,
            _ => Event::RequestFailed,
        };
        let contact_age = self.context.view.borrow().confirmed_at.until(now);
        metrics::counter!("serve_requests_total", "outcome" => outcome,
            "status" => self.status.to_string())
        .increment(1);
        metrics::histogram!("serve_request_seconds", "outcome" => outcome)
            .record(self.begun.until(now).as_secs_f64());
        metrics::counter!("serve_attempts_total").increment(self.attempts.len() as u64);
        if !self.token.is_empty() {
            metrics::counter!("serve_tokens_total", "source" => self.token).increment(1);
        }
        emit!(self.context.log, event,
            "request" => self.request_id.as_str(), "outcome" => outcome, "status" => self.status,
            "reason" => self.reason.as_str(), "route" => self.route.as_str(),
            "organisation" => self.organisation.as_str(), "token" => self.token,
            "configuration" => self.version, "store_age_ms" => contact_age.as_millis() as u64,
            "attempts" => self.attempts.join(","), "expected_ms" => self.expected_ms as u64,
            "first_event_ms" => self.first_event_ms.map_or(-1, |first| first as i64),
            "took_ms" => self.begun.until(now).as_millis() as u64);
    }
}
