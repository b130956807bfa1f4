//! One write of a resource as a state machine.
//!
//! A write is a compare-and-swap whose value carries a fresh identifier. Where
//! its reply is lost the same swap is sent again: both expect the same
//! version, so at most one of them can apply, and the identifier that stands
//! there tells whether one did.

use super::{Id, Record, Revision};
use crate::config::resource::Spec;
use crate::error::{Error, Kind, Result};
use crate::kv::{Entry, Swap, Swapped};

/// Tries of a write that expects nothing in particular and meets others.
const RACE_TRIES: u32 = 8;
/// Tries to settle a lost reply.
const SETTLE_TRIES: u32 = 6;

key! {
    /// What a write expects to replace.
    pub enum Precondition {
        /// Whatever stands there.
        Any,
        /// Nothing: the resource must not exist.
        Absent,
        /// Exactly this version.
        Version(u64),
    }
}

/// What a write needs next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send this swap.
    Swap(Swap),
    /// Send this swap after a short pause: the last reply was lost.
    Retry(Swap),
    /// It ended: applied at this version, or not.
    Done(Result<u64>),
}

/// One write.
#[derive(Clone, Debug)]
pub struct Write {
    address: Id,
    expected: Precondition,
    stored: Record,
    swap: Swap,
    races: u32,
    lost: u32,
}

impl Write {
    /// Begins a write of `spec`, or a deletion; `held` is the last known state
    /// of the key, `identifier` is fresh. Keys stand under `prefix`.
    pub fn begin(
        prefix: &str,
        address: Id,
        spec: Option<Spec>,
        expected: Precondition,
        identifier: String,
        held: Option<&Revision>,
    ) -> (Self, Step) {
        let stored = Record { write: identifier, spec };
        let key = format!("{prefix}{}", address.key());
        let swap = Swap { key, expected: 0, value: Some(stored.encode()), lease: None };
        let mut write = Self { address, expected, stored, swap, races: 0, lost: 0 };
        let version = held.map_or(0, |held| held.version);
        let exists = held.is_some_and(|held| held.value.is_some());
        let step = match write.expect(version, exists, false) {
            Ok(()) => Step::Swap(write.swap.clone()),
            Err(error) => Step::Done(Err(error)),
        };
        (write, step)
    }

    /// The value that it writes.
    pub fn value(&self) -> Vec<u8> {
        self.stored.encode()
    }

    /// Takes in how the last swap ended.
    pub fn on_reply(&mut self, reply: Result<Swapped>) -> Step {
        match reply {
            Ok(Swapped::Applied(version)) => Step::Done(Ok(version)),
            Ok(Swapped::Refused(found)) => self.on_refused(found),
            Err(error) if error.kind == Kind::WriteUnknown || self.lost > 0 => {
                self.lost += 1;
                if self.lost > SETTLE_TRIES {
                    return Step::Done(Err(self.unknown(&error.detail)));
                }
                Step::Retry(self.swap.clone())
            }
            Err(error) => Step::Done(Err(error)),
        }
    }

    fn on_refused(&mut self, found: Option<Entry>) -> Step {
        let version = found.as_ref().map_or(0, |entry| entry.version);
        let stored = found.and_then(|entry| Record::decode(&entry.value));
        if stored.as_ref().is_some_and(|stored| stored.write == self.stored.write) {
            return Step::Done(Ok(version));
        }
        if self.lost > 0 {
            // Another write stands there: it may have replaced this one.
            return Step::Done(Err(self.unknown("another write followed")));
        }
        self.races += 1;
        let exists = stored.is_some_and(|stored| stored.spec.is_some());
        match self.expect(version, exists, true) {
            Ok(()) => Step::Swap(self.swap.clone()),
            Err(error) => Step::Done(Err(error)),
        }
    }

    /// Sets what the next swap expects, or says why there is none.
    fn expect(&mut self, version: u64, exists: bool, refused: bool) -> Result<()> {
        let expected = match self.expected {
            Precondition::Any if self.stored.spec.is_none() && !exists => {
                let detail = format!("no {} {}", self.address.kind, self.address.name);
                return Err(Error::new(Kind::NotFound, detail));
            }
            Precondition::Any if self.races > RACE_TRIES => return Err(self.conflict(version)),
            Precondition::Any => version,
            Precondition::Absent if exists => return Err(self.conflict(version)),
            Precondition::Absent => version,
            Precondition::Version(_) if refused => return Err(self.conflict(version)),
            Precondition::Version(wanted) => wanted,
        };
        self.swap.expected = expected;
        Ok(())
    }

    fn conflict(&self, version: u64) -> Error {
        let Id { kind, name } = &self.address;
        Error::new(Kind::VersionConflict, format!("{kind} {name} is at version {version}"))
    }

    fn unknown(&self, reason: &str) -> Error {
        let Id { kind, name } = &self.address;
        Error::new(Kind::WriteUnknown, format!("{kind} {name}: {reason}; read it again"))
    }
}
