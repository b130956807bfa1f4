//! Bounds of an answer that is being read, in bytes and in time.
//!
//! A plain state machine without a socket. It is fed the bytes that arrive on a connection
//! (`received`), by the stream between hyper and the socket (`metered`), and the complete
//! events that are made of them (`progressed`), by the reader of the body. It answers whether
//! to go on, or which bound was passed. Only progress moves a deadline: a complete event, or
//! `Terms::step` bytes of an answer that is read whole. Bytes alone never do, so an upstream
//! that sends a byte now and then is not waited for longer than a silent one.
//!
//! Load: 64 upstreams that send at full speed what is no answer, in any part of it, and
//! upstreams that send a byte now and then. The cost of a call is constant.

use std::time::Duration;

use crate::clock::Time;

/// Maximum size of the heads of one answer, interim ones included, in bytes.
pub const HEAD_BYTES: usize = 64 << 10;
/// Bytes from which an answer that has begun counts as a large one under way rather than as
/// one that trickles; its first event then has `Terms::first` to arrive.
pub const LARGE_BYTES: usize = 4 << 10;

key! {
    /// A bound of an answer.
    #[derive(derive_more::Display)]
    pub enum Limit {
        /// Bytes of the head and of the interim heads before it.
        #[display("head bytes")]
        HeadBytes,
        /// Deadline of the head.
        #[display("head deadline")]
        HeadDeadline,
        /// Bytes of a body without progress, or of a body that is read whole.
        #[display("body bytes")]
        BodyBytes,
        /// Deadline of the next event or step of a body.
        #[display("body deadline")]
        BodyDeadline,
        /// Bytes after the end of an answer.
        #[display("bytes after the answer")]
        IdleBytes,
    }
}

impl Limit {
    /// Value for metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Limit::HeadBytes => "head_bytes",
            Limit::HeadDeadline => "head_deadline",
            Limit::BodyBytes => "body_bytes",
            Limit::BodyDeadline => "body_deadline",
            Limit::IdleBytes => "idle_bytes",
        }
    }
}

/// A bound that was passed, and the bytes that had arrived since the last progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{limit} passed after {bytes} bytes")]
pub struct Passed {
    /// The bound.
    pub limit: Limit,
    /// Bytes since the last progress.
    pub bytes: usize,
}

/// Bounds of a body, as its reader states them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Deadline of the whole body, which nothing extends.
    pub until: Time,
    /// Wait for the first event or step after the head.
    pub first: Duration,
    /// Wait for the first event or step after the first byte, while fewer than `LARGE_BYTES`
    /// have arrived.
    pub begun: Duration,
    /// Wait for the next event or step after the one before.
    pub next: Duration,
    /// Bytes that count as progress; none: only complete events do.
    pub step: Option<usize>,
    /// Maximum bytes on the wire between two events, or of the whole body with `step`.
    pub bytes: usize,
}

impl Terms {
    /// Bounds only in bytes, for a reader that has a deadline of its own.
    pub fn bytes(bytes: usize) -> Self {
        Self {
            until: Time::NEVER,
            first: Duration::MAX,
            begun: Duration::MAX,
            next: Duration::MAX,
            step: None,
            bytes,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No answer is expected.
    Idle,
    /// The head is expected; once begun, within `begun`.
    Head { begun: Duration },
    /// The body is expected.
    Body(Terms),
}

/// State of the bounds of one connection.
#[derive(Clone, Debug)]
pub struct Bound {
    phase: Phase,
    /// Bytes since the phase began or the last event.
    bytes: usize,
    /// Bytes since the last step.
    in_step: usize,
    /// Whether the body had an event or step.
    progressed: bool,
    deadline: Time,
    /// Deadline while few bytes of the first event have arrived.
    begun_deadline: Time,
    passed: Option<Passed>,
}

impl Default for Bound {
    fn default() -> Self {
        Self {
            phase: Phase::Idle,
            bytes: 0,
            in_step: 0,
            progressed: false,
            deadline: Time::NEVER,
            begun_deadline: Time::NEVER,
            passed: None,
        }
    }
}

impl Bound {
    /// A request is about to be sent: the whole head is due by `until`, and within `begun` of
    /// its first byte.
    pub fn begin_head(&mut self, until: Time, begun: Duration) {
        self.enter(Phase::Head { begun }, until);
    }

    /// The head is complete; the body is read on `terms`.
    pub fn begin_body(&mut self, terms: Terms, now: Time) {
        let first = now.after(terms.first).min(terms.until);
        self.enter(Phase::Body(terms), first);
    }

    /// The answer has ended; nothing more may arrive.
    pub fn end(&mut self) {
        self.enter(Phase::Idle, Time::NEVER);
    }

    fn enter(&mut self, phase: Phase, deadline: Time) {
        *self = Self { phase, deadline, passed: self.passed, ..Self::default() };
    }

    /// Bytes have arrived on the wire.
    pub fn received(&mut self, bytes: usize, now: Time) -> Result<(), Passed> {
        let is_first = self.bytes == 0;
        self.bytes = self.bytes.saturating_add(bytes);
        match self.phase {
            Phase::Idle => return Err(self.pass(Limit::IdleBytes)),
            Phase::Head { begun } => {
                if is_first {
                    self.begun_deadline = now.after(begun);
                }
                if self.bytes > HEAD_BYTES {
                    return Err(self.pass(Limit::HeadBytes));
                }
            }
            Phase::Body(terms) => {
                if is_first && !self.progressed {
                    self.begun_deadline = now.after(terms.begun);
                }
                if self.bytes > terms.bytes {
                    return Err(self.pass(Limit::BodyBytes));
                }
                self.in_step += bytes;
                if terms.step.is_some_and(|step| self.in_step >= step) {
                    self.in_step = 0;
                    self.progressed = true;
                    self.deadline = now.after(terms.next).min(terms.until);
                }
            }
        }
        Ok(())
    }

    /// A complete event was decoded from the body.
    pub fn progressed(&mut self, now: Time) {
        let Phase::Body(terms) = self.phase else { return };
        self.bytes = 0;
        self.progressed = true;
        self.deadline = now.after(terms.next).min(terms.until);
    }

    /// Nothing was read for `span`, because the answer's own reader didn't take it. Its upstream
    /// isn't to blame for that time; the deadline of the whole body stays.
    pub fn postpone(&mut self, span: Duration) {
        let Phase::Body(terms) = self.phase else { return };
        self.deadline = self.deadline.after(span).min(terms.until);
        self.begun_deadline = self.begun_deadline.after(span);
    }

    /// Deadline of the next progress.
    pub fn deadline(&self) -> Time {
        let is_small = !self.progressed && self.bytes < LARGE_BYTES;
        if is_small { self.deadline.min(self.begun_deadline) } else { self.deadline }
    }

    /// Time after which `check` is due: at the deadline, or earlier while a first byte, which
    /// isn't reported to the reader, may bring it forward.
    pub fn wait(&self, now: Time) -> Duration {
        let left = now.until(self.deadline());
        match self.phase {
            Phase::Head { begun } if self.bytes == 0 => left.min(begun),
            Phase::Body(terms) if self.bytes == 0 && !self.progressed => left.min(terms.begun),
            _ => left,
        }
    }

    /// Checks the deadline.
    pub fn check(&mut self, now: Time) -> Result<(), Passed> {
        if !self.deadline().passed(now) {
            return Ok(());
        }
        match self.phase {
            Phase::Idle => Ok(()),
            Phase::Head { .. } => Err(self.pass(Limit::HeadDeadline)),
            Phase::Body(_) => Err(self.pass(Limit::BodyDeadline)),
        }
    }

    /// Records that a bound was passed, here or at the reader (for example the size of one
    /// event); the one that was passed first.
    pub fn pass(&mut self, limit: Limit) -> Passed {
        let passed = Passed { limit, bytes: self.bytes };
        *self.passed.get_or_insert(passed)
    }

    /// Bytes that have arrived since the last progress.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether bytes have arrived since the last progress.
    pub fn has_bytes(&self) -> bool {
        self.bytes > 0
    }

    /// The bound that was passed first, if any.
    pub fn passed(&self) -> Option<Passed> {
        self.passed
    }
}
