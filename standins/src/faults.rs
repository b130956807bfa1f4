//! Faults that every stand-in can inject.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Active faults, shared by a stand-in's server and its handle.
#[derive(Debug, Default)]
pub struct Faults {
    outage: AtomicBool,
    refused: AtomicBool,
    frozen: AtomicBool,
    delay_ms: AtomicU64,
    late_ms: AtomicU64,
    lose_replies: AtomicU64,
    cross_answers: AtomicU64,
}

/// Change of the active faults; absent fields leave a fault as it is.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Whether connections are closed without a response and no call is processed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<bool>,
    /// Whether calls are answered with 503 and not processed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refused: Option<bool>,
    /// Whether calls and streams make no progress.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub frozen: Option<bool>,
    /// Delay added to requests and to responses, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// Delay added to responses only, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub late_ms: Option<u64>,
    /// Number of following calls that are processed but get no reply.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_replies: Option<u64>,
    /// Number of following responses that carry the identifier of another request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cross_answers: Option<u64>,
}

/// Interval at which a frozen call checks whether it may continue.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(2);

impl Faults {
    /// Applies the fields of `change` that are present.
    pub fn apply(&self, change: &Change) {
        let flags = [
            (&self.outage, change.outage),
            (&self.refused, change.refused),
            (&self.frozen, change.frozen),
        ];
        for (setting, value) in flags {
            if let Some(value) = value {
                setting.store(value, Ordering::SeqCst);
            }
        }
        let numbers = [
            (&self.delay_ms, change.delay_ms),
            (&self.late_ms, change.late_ms),
            (&self.lose_replies, change.lose_replies),
            (&self.cross_answers, change.cross_answers),
        ];
        for (setting, value) in numbers {
            if let Some(value) = value {
                setting.store(value, Ordering::SeqCst);
            }
        }
    }

    /// Returns whether calls fail without a response.
    pub fn outage(&self) -> bool {
        self.outage.load(Ordering::SeqCst)
    }

    /// Returns whether calls are answered with 503.
    pub fn refused(&self) -> bool {
        self.refused.load(Ordering::SeqCst)
    }

    /// Waits while the stand-in is frozen.
    pub async fn wait_unfrozen(&self) {
        while self.frozen.load(Ordering::SeqCst) {
            actix_rt::time::sleep(FROZEN_POLL_INTERVAL).await;
        }
    }

    /// Returns the delay added to requests and to responses.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms.load(Ordering::SeqCst))
    }

    /// Returns the delay added to responses only.
    pub fn response_delay(&self) -> Duration {
        Duration::from_millis(self.late_ms.load(Ordering::SeqCst))
    }

    /// Returns whether to drop this reply, and decrements the remaining number.
    pub fn take_lost_reply(&self) -> bool {
        decrement(&self.lose_replies)
    }

    /// Returns whether this response carries another request's identifier, and decrements the
    /// remaining number.
    pub fn take_crossed_answer(&self) -> bool {
        decrement(&self.cross_answers)
    }
}

fn decrement(counter: &AtomicU64) -> bool {
    counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| count.checked_sub(1)).is_ok()
}
