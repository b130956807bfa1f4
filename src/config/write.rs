//! State machine of one write of a resource.
//!
//! A write is a compare-and-swap whose value contains a unique identifier. If its reply is lost,
//! the same swap is sent again. Both swaps expect the same version, so at most one of them is
//! applied, and the identifier stored under the key shows whether one was.

use super::{Id, Record, Revision};
use crate::config::resource::Spec;
use crate::error::{Error, Kind, Result};
use crate::kv::{Entry, Swap, Swapped};

/// Maximum number of retries of an unconditional write after conflicts with other writes.
const MAX_CONFLICTS: u32 = 8;
/// Maximum number of times that a swap is sent again after a lost reply.
const MAX_LOST_REPLIES: u32 = 6;

key! {
    /// Precondition of a write.
    pub enum Precondition {
        /// No precondition.
        Any,
        /// The resource must not exist.
        Absent,
        /// The resource must have exactly this version.
        Version(u64),
    }
}

/// The next step of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send this swap.
    Swap(Swap),
    /// Send this swap again after a short pause, because the last reply was lost.
    Retry(Swap),
    /// The write was applied at this version, or failed.
    Done(Result<u64>),
}

/// A write in progress.
#[derive(Clone, Debug)]
pub struct Write {
    id: Id,
    precondition: Precondition,
    record: Record,
    swap: Swap,
    conflicts: u32,
    lost_replies: u32,
}

impl Write {
    /// Begins a write of `spec`, or a deletion if it is `None`. `prefix` is the configuration's key
    /// prefix, `identifier` must be unique, and `held` is the last known write of the key.
    pub fn begin(
        prefix: &str,
        id: Id,
        spec: Option<Spec>,
        precondition: Precondition,
        identifier: String,
        held: Option<&Revision>,
    ) -> (Self, Step) {
        let record = Record { write: identifier, spec };
        let key = format!("{prefix}{}", id.key());
        let swap = Swap { key, expected: 0, value: Some(record.encode()), lease: None };
        let mut write = Self { id, precondition, record, swap, conflicts: 0, lost_replies: 0 };
        let version = held.map_or(0, |held| held.version);
        let exists = held.is_some_and(|held| held.value.is_some());
        let step = match write.set_expected(version, exists, false) {
            Ok(()) => Step::Swap(write.swap.clone()),
            Err(error) => Step::Done(Err(error)),
        };
        (write, step)
    }

    /// The serialized value to write.
    pub fn value(&self) -> Vec<u8> {
        self.record.encode()
    }

    /// Handles the reply to the last swap and returns the next step.
    pub fn on_reply(&mut self, reply: Result<Swapped>) -> Step {
        match reply {
            Ok(Swapped::Applied(version)) => Step::Done(Ok(version)),
            Ok(Swapped::Refused(found)) => self.on_refused(found),
            Err(error) if error.kind == Kind::WriteUnknown || self.lost_replies > 0 => {
                self.lost_replies += 1;
                if self.lost_replies > MAX_LOST_REPLIES {
                    return Step::Done(Err(self.unknown(&error.detail)));
                }
                Step::Retry(self.swap.clone())
            }
            Err(error) => Step::Done(Err(error)),
        }
    }

    fn on_refused(&mut self, found: Option<Entry>) -> Step {
        let version = found.as_ref().map_or(0, |entry| entry.version);
        let record = found.and_then(|entry| Record::decode(&entry.value));
        if record.as_ref().is_some_and(|record| record.write == self.record.write) {
            return Step::Done(Ok(version));
        }
        if self.lost_replies > 0 {
            // Another write is stored there and may have replaced this one.
            return Step::Done(Err(self.unknown("another write followed")));
        }
        self.conflicts += 1;
        let exists = record.is_some_and(|record| record.spec.is_some());
        match self.set_expected(version, exists, true) {
            Ok(()) => Step::Swap(self.swap.clone()),
            Err(error) => Step::Done(Err(error)),
        }
    }

    /// Sets the version that the next swap expects, or fails if the precondition isn't met.
    fn set_expected(&mut self, version: u64, exists: bool, refused: bool) -> Result<()> {
        let expected = match self.precondition {
            Precondition::Any if self.record.spec.is_none() && !exists => {
                let detail = format!("no {} {}", self.id.kind, self.id.name);
                return Err(Error::new(Kind::NotFound, detail));
            }
            Precondition::Any if self.conflicts > MAX_CONFLICTS => {
                return Err(self.conflict(version));
            }
            Precondition::Any => version,
            Precondition::Absent if exists => return Err(self.conflict(version)),
            Precondition::Absent => version,
            Precondition::Version(_) if refused => return Err(self.conflict(version)),
            Precondition::Version(required) => required,
        };
        self.swap.expected = expected;
        Ok(())
    }

    fn conflict(&self, version: u64) -> Error {
        let Id { kind, name } = &self.id;
        Error::new(Kind::VersionConflict, format!("{kind} {name} is at version {version}"))
    }

    fn unknown(&self, reason: &str) -> Error {
        let Id { kind, name } = &self.id;
        Error::new(Kind::WriteUnknown, format!("{kind} {name}: {reason}; read it again"))
    }
}
