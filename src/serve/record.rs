//! Access log: one line per request with the decisions made and their inputs.

use std::rc::Rc;

use super::context::Context;
use super::slot::Slot;
use crate::clock::Time;
use crate::emit;
use crate::event::Event;

/// Maximum number of characters of a request identifier that are logged.
const MAX_ID_CHARS: usize = 128;

/// Access log record of a request, logged when it is dropped. Without an outcome
/// the caller has disconnected.
pub struct Record {
    context: Rc<Context>,
    started_at: Time,
    concluded: Option<&'static str>,
    /// Identifier that the caller gave the request; nothing is logged if empty.
    pub request_id: String,
    /// Version of the configuration that was used.
    pub version: u64,
    /// Name of the route; empty if none matched.
    pub route: String,
    /// Name of the authenticated organisation; empty if none.
    pub organisation: String,
    /// Source of its rate-limit token; empty if none was needed.
    pub token: &'static str,
    /// Sources that gave no token before it, each with the reason.
    pub token_refusals: Vec<&'static str>,
    /// Names of the upstreams that the request was sent to, in order.
    pub attempts: Vec<String>,
    /// Software versions of these upstreams.
    pub versions: Vec<String>,
    /// Age of the view of the store at each of these sends, in milliseconds.
    pub view_ages_ms: Vec<String>,
    /// Addresses of the VMs that its connections went through.
    pub through: Vec<String>,
    /// Names of the upstreams whose limits left no room for it when it was to be sent.
    pub at_limit: Vec<String>,
    /// Identifier of the caller's attempt whose stream it resumes; empty if none.
    pub resumes: String,
    /// Expected time to the first event at the last of them when it was chosen, in milliseconds.
    pub expected_ms: f64,
    /// Measured time to the first event, in milliseconds.
    pub first_event_ms: Option<u64>,
    /// Status code of the response.
    pub status: u16,
    /// Why the request was refused, or the last failure of an attempt.
    pub reason: String,
}

impl Record {
    /// Creates the record of a request that has just arrived.
    pub fn new(context: Rc<Context>, request_id: &str) -> Self {
        Self {
            started_at: context.now(),
            context,
            concluded: None,
            request_id: request_id.chars().take(MAX_ID_CHARS).collect(),
            version: 0,
            route: String::new(),
            organisation: String::new(),
            token: "",
            token_refusals: Vec::new(),
            attempts: Vec::new(),
            through: Vec::new(),
            at_limit: Vec::new(),
            versions: Vec::new(),
            view_ages_ms: Vec::new(),
            resumes: String::new(),
            expected_ms: 0.0,
            first_event_ms: None,
            status: 0,
            reason: String::new(),
        }
    }

    /// Sets the outcome.
    pub fn conclude(&mut self, outcome: &'static str) {
        self.concluded = Some(outcome);
    }

    /// Records that the request is sent to the upstream of `slot`.
    pub fn record_attempt(&mut self, slot: &Slot) {
        self.attempts.push(slot.upstream.to_string());
        self.versions.push(slot.origin.version.to_string());
        self.view_ages_ms.push(slot.record_sent().as_millis().to_string());
    }

    /// Records that the request resumes the stream of the caller's attempt `resumes`.
    pub fn record_resumes(&mut self, resumes: &str) {
        self.resumes = resumes.chars().take(MAX_ID_CHARS).collect();
        metrics::counter!("serve_streams_resumed_total", "by" => "caller", "version" => "unknown")
            .increment(1);
    }

    /// Moves the record out and leaves one behind that isn't logged.
    pub fn take(&mut self) -> Self {
        let empty = Self::new(self.context.clone(), "");
        std::mem::replace(self, empty)
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
        let store_age = self.context.view.borrow().confirmed_at.until(now);
        metrics::counter!("serve_requests_total", "outcome" => outcome,
            "status" => self.status.to_string())
        .increment(1);
        metrics::histogram!("serve_request_seconds", "outcome" => outcome)
            .record(self.started_at.until(now).as_secs_f64());
        metrics::counter!("serve_attempts_total").increment(self.attempts.len() as u64);
        if !self.token.is_empty() {
            metrics::counter!("serve_tokens_total", "source" => self.token).increment(1);
        }
        emit!(self.context.log, event,
            "request" => self.request_id.as_str(), "outcome" => outcome, "status" => self.status,
            "reason" => self.reason.as_str(), "route" => self.route.as_str(),
            "organisation" => self.organisation.as_str(), "token" => self.token,
            "token_refusals" => self.token_refusals.join(","),
            "configuration" => self.version, "store_age_ms" => store_age.as_millis() as u64,
            "attempts" => self.attempts.join(","), "versions" => self.versions.join(","),
            "view_ages_ms" => self.view_ages_ms.join(","),
            "through" => self.through.join(","),
            "at_limit" => self.at_limit.join(","),
            "resumes" => self.resumes.as_str(), "expected_ms" => self.expected_ms as u64,
            "first_event_ms" => self.first_event_ms.map_or(-1, |first| first as i64),
            "took_ms" => self.started_at.until(now).as_millis() as u64);
    }
}
