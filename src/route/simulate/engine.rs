//! Simulated upstreams with faulty answers and crashes.

use std::time::Duration;

use rand::Rng;

use super::Violation;
use super::world::{Event, World, connection_error};
use crate::error::{Error, Kind};
use crate::id::Upstream;
use crate::upstream::Failure;

/// Range of intervals between two tokens, in microseconds.
const TOKEN_INTERVAL_US: std::ops::Range<u64> = 500..4_000;
/// Range of run times of an answer that is not streamed, in milliseconds.
const ANSWER_TIME_MS: std::ops::Range<u64> = 2..60;
/// Range of times until a poison request crashes its upstream, in milliseconds.
const CRASH_DELAY_MS: std::ops::Range<u64> = 1..20;
/// Range of times until a crashed upstream is back, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 600..1_500;

/// Actual state of an upstream.
pub(super) struct Engine {
    pub(super) up: bool,
    /// Incremented at each crash.
    pub(super) incarnation: u32,
}

impl Default for Engine {
    fn default() -> Self {
        Self { up: true, incarnation: 0 }
    }
}

/// One attempt to run a submission at an upstream.
pub(super) struct Attempt {
    pub(super) submission: usize,
    pub(super) engine: usize,
    pub(super) upstream: Upstream,
    pub(super) name: String,
    pub(super) resume_from: u32,
    /// One-way delay, constant for a connection so that its messages stay in
    /// order.
    pub(super) delay: Duration,
    /// Whether the VM still accepts results of this attempt.
    pub(super) open: bool,
    /// Whether the upstream is still running it.
    pub(super) running: bool,
}

impl World {
    /// Handles the arrival of a request at its upstream.
    pub(super) fn receive_request(&mut self, attempt: usize) -> Result<(), Violation> {
        let (engine, submission) =
            (self.attempts[attempt].engine, self.attempts[attempt].submission);
        let delay = self.attempts[attempt].delay;
        if !self.engines[engine].up {
            let error = Error::new(Kind::UpstreamUnreachable, "refused");
            self.schedule(
                delay,
                Event::AttemptFailed { attempt, failure: Failure::NotSent(error) },
            );
            return Ok(());
        }
        self.record_run(submission)?;
        self.attempts[attempt].running = true;
        let job = self.submissions[submission].job;
        if self.jobs[job].poison {
            let pause = Duration::from_millis(self.random.random_range(CRASH_DELAY_MS));
            let incarnation = self.engines[engine].incarnation;
            self.schedule(pause, Event::Crash { engine, cause: Some(attempt), incarnation });
        }
        if self.jobs[job].tokens.is_some() {
            let position = self.attempts[attempt].resume_from;
            self.schedule(Duration::from_millis(1), Event::Token { attempt, position });
        } else {
            // Some answers finish long after the caller has disconnected.
            let factor = if self.chance(3) { 40 } else { 1 };
            let millis = self.random.random_range(ANSWER_TIME_MS) * factor;
            self.schedule(Duration::from_millis(millis), Event::FinishAnswer { attempt });
        }
        Ok(())
    }

    /// Generates the next token, or the end of the stream.
    pub(super) fn token(&mut self, attempt: usize, position: u32) {
        if !self.attempts[attempt].running {
            return;
        }
        let job = self.submissions[self.attempts[attempt].submission].job;
        let tokens = self.jobs[job].tokens.unwrap_or(0);
        let delay = self.attempts[attempt].delay;
        if self.jobs[job].poison && position >= tokens {
            return;
        }
        if position >= tokens {
            let event = b"data: [DONE]\n\n".to_vec();
            self.schedule(delay, Event::ChunkReceived { attempt, event, job });
            self.attempts[attempt].running = false;
            return;
        }
        let (owner, sent_position) = self.corrupt_token(attempt, position);
        if position > 0 && self.chance(2) {
            self.emit_token(attempt, attempt, position - 1);
        }
        self.emit_token(attempt, owner, sent_position);
        let pause = Duration::from_micros(self.random.random_range(TOKEN_INTERVAL_US));
        self.schedule(pause, Event::Token { attempt, position: position + 1 });
    }

    /// Sends an event of the stream of attempt `owner` to the VM of `attempt`.
    fn emit_token(&mut self, attempt: usize, owner: usize, position: u32) {
        let name = &self.attempts[owner].name;
        let event =
            format!("data: {{\"id\":\"{name}\",\"position\":{position},\"text\":\"t\"}}\n\n");
        let job = self.submissions[self.attempts[owner].submission].job;
        let delay = self.attempts[attempt].delay;
        self.schedule(delay, Event::ChunkReceived { attempt, event: event.into_bytes(), job });
    }

    /// Returns the attempt and position to send, which rarely belong to another
    /// stream or leave a gap.
    fn corrupt_token(&mut self, attempt: usize, position: u32) -> (usize, u32) {
        match self.random.random_range(0..100) {
            0 => (self.random.random_range(0..self.attempts.len()), position),
            1 => (attempt, position + 1),
            _ => (attempt, position),
        }
    }

    /// Finishes an answer that is not streamed. Rarely, the answer of another
    /// attempt is sent instead.
    pub(super) fn finish_answer(&mut self, attempt: usize) {
        if !self.attempts[attempt].running {
            return;
        }
        let job = self.submissions[self.attempts[attempt].submission].job;
        if self.jobs[job].poison {
            return;
        }
        self.attempts[attempt].running = false;
        let misrouted = self.chance(2);
        let source = match misrouted {
            true => self.random.random_range(0..self.attempts.len()),
            false => attempt,
        };
        let name = self.attempts[source].name.clone();
        let job = self.submissions[self.attempts[source].submission].job;
        let delay = self.attempts[attempt].delay;
        self.schedule(delay, Event::AnswerReceived { attempt, name, job });
    }

    /// Crashes an upstream, unless the attempt that causes it was cancelled.
    pub(super) fn crash(
        &mut self,
        engine: usize,
        cause: Option<usize>,
        incarnation: u32,
    ) -> Result<(), Violation> {
        let cancelled = cause.is_some_and(|attempt| !self.attempts[attempt].running);
        if cancelled || !self.engines[engine].up || self.engines[engine].incarnation != incarnation
        {
            return Ok(());
        }
        self.report.crashes += 1;
        self.engines[engine].up = false;
        self.engines[engine].incarnation += 1;
        let pause = Duration::from_millis(self.random.random_range(DOWNTIME_MS));
        self.schedule(pause, Event::RestoreEngine { engine });
        for attempt in 0..self.attempts.len() {
            if self.attempts[attempt].engine == engine && self.attempts[attempt].running {
                self.attempts[attempt].running = false;
                let delay = self.attempts[attempt].delay;
                self.schedule(delay, Event::AttemptFailed { attempt, failure: connection_error() });
            }
        }
        match cause {
            Some(attempt) => {
                self.record_crash(self.submissions[self.attempts[attempt].submission].job)
            }
            None => Ok(()),
        }
    }
}
