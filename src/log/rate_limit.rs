//! Rate limit for log lines.
//!
//! A token bucket limits the lines that a process logs. When half of the
//! bucket is used up, routine lines (served requests, attempts of items) are
//! dropped, which reserves the rest for refusals and failures. Dropped lines
//! are counted, and the count is logged at most once a second.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use slog::{Drain, KV, Key, Level, OwnedKVList, Record, Serializer, b, record};

use crate::clock::{Boottime, Clock, Time};
use crate::event::Event;

/// Burst size, as seconds of the rate.
const BURST_S: f64 = 2.0;
/// Share of the burst that is reserved for lines that aren't routine.
const RESERVED_SHARE: f64 = 0.5;
/// Minimum interval between reports of dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Decision about a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The line is logged.
    Keep,
    /// The line is logged, preceded by a report of this many dropped lines.
    Report(u64),
    /// The line is dropped.
    Drop,
}

/// Token bucket for log lines.
#[derive(Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Time,
    dropped: u64,
    reported_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket for `lines_per_s` lines per second.
    pub fn new(lines_per_s: u32, now: Time) -> Self {
        let rate_per_s = f64::from(lines_per_s);
        let tokens = rate_per_s * BURST_S;
        Self { rate_per_s, tokens, refilled_at: now, dropped: 0, reported_at: now }
    }

    /// Decides about a line; `routine` is called only when the reserve is reached.
    pub fn admit<R>(&mut self, routine: R, now: Time) -> Verdict
    where
        R: FnOnce() -> bool,
    {
        let burst = self.rate_per_s * BURST_S;
        let refill = self.refilled_at.until(now).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + refill).min(burst);
        self.refilled_at = now;
        let reserve_reached = self.tokens <= burst * RESERVED_SHARE;
        if self.tokens < 1.0 || (reserve_reached && routine()) {
            self.dropped += 1;
            return Verdict::Drop;
        }
        self.tokens -= 1.0;
        if self.dropped == 0 || !self.reported_at.after(REPORT_INTERVAL).passed(now) {
            return Verdict::Keep;
        }
        self.reported_at = now;
        Verdict::Report(std::mem::take(&mut self.dropped))
    }
}

/// Drain that passes on the lines within the rate limit.
pub struct RateLimit<D> {
    inner: D,
    bucket: Mutex<TokenBucket>,
}

impl<D> RateLimit<D> {
    /// Limits `inner` to `lines_per_s` lines per second.
    pub fn new(inner: D, lines_per_s: u32) -> Self {
        Self { inner, bucket: Mutex::new(TokenBucket::new(lines_per_s, Boottime.now())) }
    }
}

impl<D> Drain for RateLimit<D>
where
    D: Drain<Ok = ()>,
{
    type Ok = ();
    type Err = D::Err;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let verdict = bucket.admit(|| is_routine(line), Boottime.now());
        drop(bucket);
        match verdict {
            Verdict::Drop => {
                metrics::counter!("log_lines_dropped_total").increment(1);
                return Ok(());
            }
            Verdict::Report(count) => {
                let event = Event::LogLinesDropped;
                let text = format_args!("{}", event.text());
                let keys = b!("event" => event.number(), "lines" => count);
                self.inner.log(&record!(Level::Warning, "", &text, keys), values)?;
            }
            Verdict::Keep => {}
        }
        self.inner.log(line, values)
    }
}

fn is_routine(line: &Record<'_>) -> bool {
    let mut number = EventNumber(None);
    // `EventNumber` never returns an error.
    let _ = line.kv().serialize(line, &mut number);
    number.0.is_some_and(|number| {
        Event::ALL.iter().any(|event| event.number() == number && event.is_routine())
    })
}

/// Serializer that extracts a line's event number.
struct EventNumber(Option<u16>);

impl Serializer for EventNumber {
    fn emit_arguments(&mut self, _: Key, _: &std::fmt::Arguments<'_>) -> slog::Result {
        Ok(())
    }

    fn emit_u16(&mut self, key: Key, value: u16) -> slog::Result {
        if key == "event" {
            self.0 = Some(value);
        }
        Ok(())
    }
}
