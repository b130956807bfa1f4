//! Requests granted within the window over which limits are measured.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;

/// Grants of one bucket, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Window {
    /// Times at which each grant leaves the window.
    ends: VecDeque<Time>,
}

impl Window {
    /// Records a grant that counts for `span`.
    pub fn record(&mut self, span: Duration, now: Time) {
        self.ends.push_back(now.after(span));
    }

    /// Number of grants that count.
    pub fn count(&mut self, now: Time) -> usize {
        while self.ends.front().is_some_and(|end| end.passed(now)) {
            self.ends.pop_front();
        }
        self.ends.len()
    }
}
