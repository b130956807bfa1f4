//! How busy an upstream is: own requests exactly, the others' by old reports.

use std::time::Duration;

use crate::clock::Time;

/// Age at which a report counts for nothing.
const REPORT_LIFE: Duration = Duration::from_secs(3);
/// How long a choice counts that no send has followed.
const CHOICE_LIFE: Duration = Duration::from_millis(100);

/// An engine's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited.
    pub waiting: u32,
    /// When that was so.
    pub at: Time,
}

/// Load of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Load {
    own: u32,
    chosen: Vec<Time>,
    others: u32,
    reported_at: Time,
}

impl Load {
    /// Notes that it was chosen; a send should follow.
    pub fn chosen(&mut self, now: Time) {
        self.chosen.retain(|until| !until.passed(now));
        self.chosen.push(now.after(CHOICE_LIFE));
    }

    /// Notes a send.
    pub fn started(&mut self) {
        self.chosen.pop();
        self.own += 1;
    }

    /// Notes the end of a send.
    pub fn ended(&mut self) {
        assert!(self.own > 0, "more sends ended than started");
        self.own -= 1;
    }

    /// Takes in a report, unless a newer one is known.
    pub fn report(&mut self, report: Report) {
        if report.at < self.reported_at {
            return;
        }
        self.reported_at = report.at;
        self.others = (report.running + report.waiting).saturating_sub(self.own);
    }

    /// Requests there, in thousandths; a report fades with its age.
    pub fn milli(&self, now: Time) -> u64 {
        let chosen = self.chosen.iter().filter(|until| !until.passed(now)).count() as u64;
        let age = self.reported_at.until(now).min(REPORT_LIFE);
        let fresh = (REPORT_LIFE - age).as_millis() as u64;
        let others = u64::from(self.others) * 1_000 * fresh / REPORT_LIFE.as_millis() as u64;
        (u64::from(self.own) + chosen) * 1_000 + others
    }
}
