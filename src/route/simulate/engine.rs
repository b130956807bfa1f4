//! The upstreams: they run, answer well or badly, and crash.

use std::time::Duration;

use rand::Rng;

use super::Violation;
use super::world::{Event, World, broken};
use crate::error::{Error, Kind};
use crate::id::Upstream;
use crate::upstream::Failure;

/// Time between two tokens.
const TOKEN_MICROS: std::ops::Range<u64> = 500..4_000;
/// Time of a whole answer.
const WHOLE_MILLIS: std::ops::Range<u64> = 2..60;
/// Time until a poison request crashes its upstream.
const POISON_MILLIS: std::ops::Range<u64> = 1..20;
/// Time until a crashed upstream is back.
const DOWN_MILLIS: std::ops::Range<u64> = 600..1_500;

/// An upstream as it truly is.
pub(super) struct Engine {
    pub(super) up: bool,
    /// Rises with each crash.
    pub(super) life: u32,
}

impl Default for Engine {
    fn default() -> Self {
        Self { up: true, life: 0 }
    }
}

/// One send of a copy to an upstream.
pub(super) struct Attempt {
    pub(super) copy: usize,
    pub(super) engine: usize,
    pub(super) upstream: Upstream,
    pub(super) name: String,
    pub(super) from: u32,
    /// One way; the same for all of a connection, which keeps its order.
    pub(super) delay: Duration,
    /// Whether the VM still listens.
    pub(super) open: bool,
    /// Whether the upstream still works on it.
    pub(super) running: bool,
}

impl World {
    /// A request reaches its upstream.
    pub(super) fn reach(&mut self, attempt: usize) -> Result<(), Violation> {
        let (engine, copy) = (self.attempts[attempt].engine, self.attempts[attempt].copy);
        let delay = self.attempts[attempt].delay;
        if !self.engines[engine].up {
            let error = Error::new(Kind::UpstreamUnreachable, "refused");
            self.after(delay, Event::Fail { attempt, failure: Failure::NotSent(error) });
            return Ok(());
        }
        self.began(copy)?;
        self.attempts[attempt].running = true;
        let job = self.copies[copy].job;
        if self.jobs[job].poison {
            let pause = Duration::from_millis(self.generator.random_range(POISON_MILLIS));
            let life = self.engines[engine].life;
            self.after(pause, Event::Crash { engine, cause: Some(attempt), life });
        }
        if self.jobs[job].tokens.is_some() {
            let position = self.attempts[attempt].from;
            self.after(Duration::from_millis(1), Event::Token { attempt, position });
        } else {
            // Sometimes long after the caller has gone.
            let factor = if self.chance(3) { 40 } else { 1 };
            let millis = self.generator.random_range(WHOLE_MILLIS) * factor;
            self.after(Duration::from_millis(millis), Event::Whole { attempt });
        }
        Ok(())
    }

    /// An engine makes a token, or says that it is done.
    pub(super) fn token(&mut self, attempt: usize, position: u32) {
        if !self.attempts[attempt].running {
            return;
        }
        let job = self.copies[self.attempts[attempt].copy].job;
        let tokens = self.jobs[job].tokens.unwrap_or(0);
        let delay = self.attempts[attempt].delay;
        if self.jobs[job].poison && position >= tokens {
            return;
        }
        if position >= tokens {
            let event = b"data: [DONE]\n\n".to_vec();
            self.after(delay, Event::Deliver { attempt, event, job });
            self.attempts[attempt].running = false;
            return;
        }
        let (owner, shown) = self.spoil(attempt, position);
        if position > 0 && self.chance(2) {
            self.emit_token(attempt, attempt, position - 1);
        }
        self.emit_token(attempt, owner, shown);
        let pause = Duration::from_micros(self.generator.random_range(TOKEN_MICROS));
        self.after(pause, Event::Token { attempt, position: position + 1 });
    }

    /// Sends the VM of `attempt` an event of `owner`'s stream.
    fn emit_token(&mut self, attempt: usize, owner: usize, position: u32) {
        let name = &self.attempts[owner].name;
        let event =
            format!("data: {{\"id\":\"{name}\",\"position\":{position},\"text\":\"t\"}}\n\n");
        let job = self.copies[self.attempts[owner].copy].job;
        let delay = self.attempts[attempt].delay;
        self.after(delay, Event::Deliver { attempt, event: event.into_bytes(), job });
    }

    /// Now and then an event of another stream, or with a gap before it.
    fn spoil(&mut self, attempt: usize, position: u32) -> (usize, u32) {
        match self.generator.random_range(0..100) {
            0 => (self.generator.random_range(0..self.attempts.len()), position),
            1 => (attempt, position + 1),
            _ => (attempt, position),
        }
    }

    /// An engine has a whole answer; now and then it gives another one's.
    pub(super) fn whole(&mut self, attempt: usize) {
        if !self.attempts[attempt].running {
            return;
        }
        let job = self.copies[self.attempts[attempt].copy].job;
        if self.jobs[job].poison {
            return;
        }
        self.attempts[attempt].running = false;
        let crossed = self.chance(2);
        let answered = match crossed {
            true => self.generator.random_range(0..self.attempts.len()),
            false => attempt,
        };
        let name = self.attempts[answered].name.clone();
        let job = self.copies[self.attempts[answered].copy].job;
        let delay = self.attempts[attempt].delay;
        self.after(delay, Event::Answer { attempt, name, job });
    }

    /// An upstream crashes, unless the cause was cancelled before.
    pub(super) fn crash(
        &mut self,
        engine: usize,
        cause: Option<usize>,
        life: u32,
    ) -> Result<(), Violation> {
        let cancelled = cause.is_some_and(|attempt| !self.attempts[attempt].running);
        if cancelled || !self.engines[engine].up || self.engines[engine].life != life {
            return Ok(());
        }
        self.report.crashes += 1;
        self.engines[engine].up = false;
        self.engines[engine].life += 1;
        let pause = Duration::from_millis(self.generator.random_range(DOWN_MILLIS));
        self.after(pause, Event::Revive { engine });
        for attempt in 0..self.attempts.len() {
            if self.attempts[attempt].engine == engine && self.attempts[attempt].running {
                self.attempts[attempt].running = false;
                let delay = self.attempts[attempt].delay;
                self.after(delay, Event::Fail { attempt, failure: broken() });
            }
        }
        match cause {
            Some(attempt) => self.cost(self.copies[self.attempts[attempt].copy].job),
            None => Ok(()),
        }
    }
}
