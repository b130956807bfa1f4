//! A bound on the lines that a process logs.
//!
//! Lines are counted against a rate with a burst. When half of the burst is
//! used up, routine lines (requests that were served, attempts of items) are
//! dropped, so that refusals and failures keep theirs. Dropped lines are
//! counted, and the count is logged once a second.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use slog::{Drain, KV, Key, Level, OwnedKVList, Record, Serializer, b, record};

use crate::clock::{Boottime, Clock, Time};
use crate::event::Event;

/// Burst of lines, in seconds of the rate.
const BURST_S: f64 = 2.0;
/// Part of the burst that routine lines leave to the others.
const RESERVED_SHARE: f64 = 0.5;
/// Pause between two reports of dropped lines.
const REPORT_PAUSE: Duration = Duration::from_secs(1);

/// What becomes of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is logged.
    Keep,
    /// It is logged, after a report of this many lines that were dropped.
    Report(u64),
    /// It is dropped.
    Drop,
}

/// Lines that may still be logged.
#[derive(Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    left: f64,
    counted: Time,
    dropped: u64,
    reported: Time,
}

impl TokenBucket {
    /// A full budget of so many lines a second.
    pub fn new(lines_per_s: u32, now: Time) -> Self {
        let rate_per_s = f64::from(lines_per_s);
        let left = rate_per_s * BURST_S;
        Self { rate_per_s, left, counted: now, dropped: 0, reported: now }
    }

    /// Decides about a line; `routine` is asked only when little is left.
    pub fn admit<R>(&mut self, routine: R, now: Time) -> Verdict
    where
        R: FnOnce() -> bool,
    {
        let burst = self.rate_per_s * BURST_S;
        let gained = self.counted.until(now).as_secs_f64() * self.rate_per_s;
        self.left = (self.left + gained).min(burst);
        self.counted = now;
        let scarce = self.left <= burst * RESERVED_SHARE;
        if self.left < 1.0 || (scarce && routine()) {
            self.dropped += 1;
            return Verdict::Drop;
        }
        self.left -= 1.0;
        if self.dropped == 0 || !self.reported.after(REPORT_PAUSE).passed(now) {
            return Verdict::Keep;
        }
        self.reported = now;
        Verdict::Report(std::mem::take(&mut self.dropped))
    }
}

/// Passes on the lines that the budget allows.
pub struct RateLimit<D> {
    inner: D,
    meter: Mutex<TokenBucket>,
}

impl<D> RateLimit<D> {
    /// Allows so many lines a second.
    pub fn new(inner: D, lines_per_s: u32) -> Self {
        Self { inner, meter: Mutex::new(TokenBucket::new(lines_per_s, Boottime.now())) }
    }
}

impl<D> Drain for RateLimit<D>
where
    D: Drain<Ok = ()>,
{
    type Ok = ();
    type Err = D::Err;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        let mut meter = self.meter.lock().unwrap_or_else(PoisonError::into_inner);
        let verdict = meter.admit(|| is_routine(line), Boottime.now());
        drop(meter);
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
    let mut number = Number(None);
    // Nothing here can fail: the serializer only looks.
    let _ = line.kv().serialize(line, &mut number);
    number.0.is_some_and(|number| {
        Event::ALL.iter().any(|event| event.number() == number && event.routine())
    })
}

/// Finds the number of a line's event.
struct Number(Option<u16>);

impl Serializer for Number {
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
