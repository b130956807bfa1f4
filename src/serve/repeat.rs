//! When and how much VMs tell each other of their own accord.
//!
//! Datagrams get lost, so news is told at once and then repeated, each time after twice the
//! pause, whatever the number of reports that are sent meanwhile. The bytes of all load
//! reports to one VM are bounded as well, also while everything changes at once.

use std::time::Duration;

use crate::clock::Time;

/// Pause before news is repeated for the first time.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Number of repetitions after which the pause no longer doubles.
const DOUBLINGS: u32 = 4;
/// Pause between two repetitions of a count, which others act on while they lag behind.
const COUNT_PAUSE: Duration = Duration::from_millis(500);
/// Bytes of load reports that a VM sends to each other VM, per second.
pub const REPORT_BYTES_PER_S: f64 = 4_096.0;
/// Time whose bytes a VM may send at once.
const BURST: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Kind {
    /// What this VM knows first-hand.
    #[default]
    Word,
    /// A count of this VM's own.
    Count,
    /// What another VM told, which repeats it itself.
    Heard,
}

/// Schedule of one piece of news.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Repeat {
    kind: Kind,
    due: Time,
    told: u32,
}

impl Repeat {
    /// Schedule of a word that this VM knows first-hand from `now` on.
    pub fn word(now: Time) -> Self {
        Self { kind: Kind::Word, due: now, told: 0 }
    }

    /// Records that a count which is told changed; one that changes often isn't told more
    /// often for that.
    pub fn record_counted(&mut self, now: Time) {
        self.kind = Kind::Count;
        self.due = self.due.min(now.after(COUNT_PAUSE));
    }

    /// Schedule of what another VM told.
    pub fn heard(now: Time) -> Self {
        Self { kind: Kind::Heard, due: now, told: 0 }
    }

    /// Whether it is to be told now.
    pub fn is_due(&self, now: Time) -> bool {
        self.due.passed(now)
    }

    /// Records that it was told.
    pub fn record_told(&mut self, now: Time) {
        self.due = match self.kind {
            Kind::Word => now.after(FIRST_PAUSE * 2_u32.pow(self.told.min(DOUBLINGS))),
            Kind::Count => now.after(COUNT_PAUSE),
            Kind::Heard => Time::NEVER,
        };
        self.told += 1;
    }
}

/// Budget of the load reports to one VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    /// Time at which all reports so far are paid for.
    paid_at: Time,
}

impl Budget {
    /// Records a report of `bytes`; the time from which the next one may be sent.
    pub fn spend(&mut self, bytes: usize, now: Time) -> Time {
        let cost = Duration::from_secs_f64(bytes as f64 / REPORT_BYTES_PER_S);
        self.paid_at = self.paid_at.max(now).after(cost);
        let excess = now.until(self.paid_at).saturating_sub(BURST);
        now.after(excess)
    }
}
