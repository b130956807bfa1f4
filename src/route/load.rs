//! Load of an upstream: this VM's requests are counted exactly, those of other
//! VMs are estimated from load reports.

use std::time::Duration;

use crate::clock::Time;

/// Age at which a load report no longer counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// Time for which a choice counts as load if no request follows it.
const CHOICE_LIFETIME: Duration = Duration::from_millis(100);

/// A load report of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Number of requests that were running.
    pub running: u32,
    /// Number of requests that were queued.
    pub waiting: u32,
    /// When the numbers were measured.
    pub at: Time,
}

/// Load of one upstream as seen by this VM.
#[derive(Clone, Debug, Default)]
pub struct Load {
    own: u32,
    chosen: Vec<Time>,
    others: u32,
    reported_at: Time,
}

impl Load {
    /// Records that the upstream was chosen; a request is expected to follow.
    pub fn chosen(&mut self, now: Time) {
        self.chosen.retain(|until| !until.passed(now));
        self.chosen.push(now.after(CHOICE_LIFETIME));
    }

    /// Records that a request was sent; it replaces one pending choice.
    pub fn started(&mut self) {
        self.chosen.pop();
        self.own += 1;
    }

    /// Records that a request ended.
    pub fn ended(&mut self) {
        assert!(self.own > 0, "more requests ended than were started");
        self.own -= 1;
    }

    /// Records a load report, unless a newer one is already known.
    pub fn report(&mut self, report: Report) {
        if report.at < self.reported_at {
            return;
        }
        self.reported_at = report.at;
        self.others = (report.running + report.waiting).saturating_sub(self.own);
    }

    /// Number of requests at the upstream, in thousandths; the reported part
    /// decays linearly with the age of the report.
    pub fn milli(&self, now: Time) -> u64 {
        let chosen = self.chosen.iter().filter(|until| !until.passed(now)).count() as u64;
        let age = self.reported_at.until(now).min(REPORT_LIFETIME);
        let remaining = (REPORT_LIFETIME - age).as_millis() as u64;
        let others =
            u64::from(self.others) * 1_000 * remaining / REPORT_LIFETIME.as_millis() as u64;
        (u64::from(self.own) + chosen) * 1_000 + others
    }
}
