//! Faults that every stand-in can be told to show.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Switches shared by a stand-in and whoever tests against it.
#[derive(Debug, Default)]
pub struct Faults {
    outage: AtomicBool,
    frozen: AtomicBool,
    delay_ms: AtomicU64,
    late_ms: AtomicU64,
    lose_replies: AtomicU64,
    cross_answers: AtomicU64,
}

/// Switches to change; absent ones stay as they are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Whether connections are closed without an answer and nothing runs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<bool>,
    /// Whether calls and streams stand still.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub frozen: Option<bool>,
    /// Delay added each way, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// Delay added to answers only, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub late_ms: Option<u64>,
    /// Calls to come that run but whose replies are lost.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_replies: Option<u64>,
    /// Answers to come that carry another request's identifier.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cross_answers: Option<u64>,
}

/// How often a frozen call looks whether it may go on.
const THAW_POLL: Duration = Duration::from_millis(2);

impl Faults {
    /// Applies a change.
    pub fn apply(&self, change: &Change) {
        let bool_switches = [(&self.outage, change.outage), (&self.frozen, change.frozen)];
        for (switch, value) in bool_switches {
            if let Some(value) = value {
                switch.store(value, Ordering::SeqCst);
            }
        }
        let number_switches = [
            (&self.delay_ms, change.delay_ms),
            (&self.late_ms, change.late_ms),
            (&self.lose_replies, change.lose_replies),
            (&self.cross_answers, change.cross_answers),
        ];
        for (switch, value) in number_switches {
            if let Some(value) = value {
                switch.store(value, Ordering::SeqCst);
            }
        }
    }

    /// Whether an outage is on.
    pub fn outage(&self) -> bool {
        self.outage.load(Ordering::SeqCst)
    }

    /// Waits until the stand-in isn't frozen.
    pub async fn thawed(&self) {
        while self.frozen.load(Ordering::SeqCst) {
            actix_rt::time::sleep(THAW_POLL).await;
        }
    }

    /// Delay added each way.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms.load(Ordering::SeqCst))
    }

    /// Delay added to answers only.
    pub fn late(&self) -> Duration {
        Duration::from_millis(self.late_ms.load(Ordering::SeqCst))
    }

    /// Whether this reply is to be lost; counts it.
    pub fn lose_reply(&self) -> bool {
        take(&self.lose_replies)
    }

    /// Whether this answer is to carry another identifier; counts it.
    pub fn cross_answer(&self) -> bool {
        take(&self.cross_answers)
    }
}

fn take(left: &AtomicU64) -> bool {
    left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
}
