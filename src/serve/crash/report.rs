//! What VMs report to each other about crashes.
//!
//! Each VM repeats its own observations for a while, since datagrams get lost
//! and VMs restart. Parts that are held off also go to one random VM at a time,
//! and to each VM that starts, so that they outlast the VMs that saw the crashes.

use std::time::Duration;

use prost::Message;

use super::parts::{Crash, Held, Run};
use crate::clock::Time;
use crate::route::Fingerprint;
use crate::serve::protocol::Part;

/// A request that was in flight at an upstream when it crashed.
#[derive(Clone, PartialEq, Message)]
pub struct CrashRow {
    /// Fingerprint of the request, 16 bytes in big-endian order.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Number that identifies the crash.
    #[prost(fixed64, tag = "2")]
    pub crash: u64,
    /// Parts of the request's prompt that other requests may share, in order.
    #[prost(fixed64, repeated, tag = "3")]
    pub shared_parts: Vec<u64>,
    /// Time since the crash, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
}

impl CrashRow {
    /// The row for a run that ended in a crash at `at`.
    pub fn new(run: &Run, at: Time, now: Time) -> Self {
        Self {
            fingerprint: run.fingerprint.0.to_be_bytes().into(),
            crash: run.crash.0,
            shared_parts: run.shared_parts.iter().map(|part| part.0).collect(),
            age_ms: at.age_millis(now),
        }
    }

    /// The run; none if the fingerprint has another length.
    pub fn run(&self) -> Option<Run> {
        let fingerprint = <[u8; 16]>::try_from(self.fingerprint.as_slice()).ok()?;
        Some(Run {
            crash: Crash(self.crash),
            fingerprint: Fingerprint(u128::from_be_bytes(fingerprint)),
            shared_parts: self.shared_parts.iter().map(|part| Part(*part)).collect(),
        })
    }
}

/// A part with which an answer was completed.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CompletedRow {
    /// The part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Time since the answer, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

impl CompletedRow {
    /// The row for an answer completed at `at`.
    pub fn new(part: Part, at: Time, now: Time) -> Self {
        Self { part: part.0, age_ms: at.age_millis(now) }
    }
}

/// A part that is held off.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct HeldRow {
    /// The part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Time since the last crash under it, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// Number of requests let through so far.
    #[prost(uint32, tag = "3")]
    pub trials: u32,
    /// Time until the next one may be let through, in milliseconds; older versions don't say.
    #[prost(uint32, optional, tag = "4")]
    pub trial_in_ms: Option<u32>,
}

impl HeldRow {
    /// The row for a part that is held off.
    pub fn new(part: Part, held: Held, now: Time) -> Self {
        Self {
            part: part.0,
            age_ms: held.last_crash.age_millis(now),
            trials: held.trials,
            trial_in_ms: Some(now.age_millis(held.trial_at)),
        }
    }

    /// Why and until when the part is held off.
    pub fn held(&self, now: Time) -> Held {
        let held = Held::new(now.before_millis(self.age_ms), self.trials);
        match self.trial_in_ms {
            Some(left) => Held { trial_at: now.after(Duration::from_millis(left.into())), ..held },
            None => held,
        }
    }
}

/// Report about crashes.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// Crashes that the sender observed.
    #[prost(message, repeated, tag = "1")]
    pub crashes: Vec<CrashRow>,
    /// Parts of these with which answers were completed.
    #[prost(message, repeated, tag = "2")]
    pub completed: Vec<CompletedRow>,
    /// Parts that the sender holds off.
    #[prost(message, repeated, tag = "3")]
    pub held: Vec<HeldRow>,
}
