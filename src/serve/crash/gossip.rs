//! Exchange of reports about crashes with other VMs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::Report;
use crate::serve::datagram::Content;
use crate::serve::peers::Peers;
use crate::serve::protocol::Part;

/// Interval at which crashes are reported again.
const CRASH_REPEAT: Duration = Duration::from_millis(1_000);
/// Minimum time between two reports, so that those of a burst of crashes go together.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum pause before a VM reports that a part of a prompt is sound.
const MAX_REPORT_PAUSE: Duration = Duration::from_millis(60);

impl Peers {
    /// Reports the crashes that this VM observed, at once and periodically, until the
    /// process exits.
    pub async fn announce_crashes(self: Rc<Self>) {
        loop {
            let seen = self.context().crash_seen.notified();
            let _ = tokio::time::timeout(CRASH_REPEAT, seen).await;
            super::decide(self.context());
            let cleared = self.context().parts_completed.take();
            self.report_completed(&cleared);
            let report = self.context().crashes.borrow().report(false, self.context().now());
            if !report.crashes.is_empty() {
                self.broadcast(Content::Crashes(report));
            }
            self.gossip_crashes();
            tokio::time::sleep(MIN_REPORT_INTERVAL).await;
        }
    }

    /// Sends what this VM knows about crashes to one random peer, if it has anything to tell.
    fn gossip_crashes(&self) {
        let report = self.context().crashes.borrow().report(true, self.context().now());
        let others = self.others();
        if (report.held.is_empty() && report.crashes.is_empty()) || others.is_empty() {
            return;
        }
        let index = self.context().random() as usize % others.len();
        self.send_to(Content::Crashes(report), others[index]);
    }

    /// Reports to all VMs that answers were completed with `parts`.
    fn report_completed(&self, parts: &[Part]) {
        if let Some(report) = super::completed_report(self.context(), parts) {
            self.broadcast(Content::Crashes(report));
        }
    }

    /// Merges a report and speaks for the parts in it that this VM knows to be sound.
    pub(in crate::serve) fn handle_crashes(self: &Rc<Self>, vm: &str, report: &Report) {
        let sound = super::merge(self.context(), vm, report);
        if sound.is_empty() {
            return;
        }
        // One VM's report is enough, so each waits for a random time.
        let pause = MAX_REPORT_PAUSE.mul_f64(self.context().random() as f64 / u64::MAX as f64);
        let peers = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(pause).await;
            peers.report_completed(&sound);
        });
    }

    /// Sends what this VM knows about crashes to a VM that has just started.
    pub(in crate::serve) fn send_crashes(&self, address: SocketAddr) {
        let report = self.context().crashes.borrow().report(true, self.context().now());
        if report != Report::default() {
            self.send_to(Content::Crashes(report), address);
        }
    }
}
