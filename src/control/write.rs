//! Writing resources: one compare-and-swap, settled by a write identifier
//! where its reply was lost.

use std::rc::Rc;
use std::time::Duration;

use rand::RngCore;

use super::Expected;
use super::command::Write;
use crate::config::{Held, Stored};
use crate::error::{Error, Kind, Result};
use crate::platform::{Entry, KeyValue, Swap, Swapped};

/// Tries of a write that expects nothing in particular and meets others.
const RACE_TRIES: usize = 8;
/// Readings that try to settle a lost reply.
const SETTLE_TRIES: usize = 5;
/// Pause between such readings.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// Writes resources.
pub(super) struct Writer {
    key_value: Rc<dyn KeyValue>,
    prefix: String,
    marker: String,
}

impl Writer {
    pub(super) fn new(key_value: Rc<dyn KeyValue>, prefix: &str) -> Self {
        let marker = format!("{prefix}head");
        Self { key_value, prefix: format!("{prefix}config/"), marker }
    }

    /// Writes once and returns the version of the write; `held` is the last
    /// known state of the key.
    pub(super) async fn write(&self, write: &Write, held: Option<Held>) -> Result<u64> {
        let mut expected = first_expected(write, held)?;
        let identifier = fresh_identifier();
        let stored = Stored { write: identifier.clone(), spec: write.spec.clone() };
        let value = stored.encode();
        for _ in 0..RACE_TRIES {
            let key = format!("{}{}", self.prefix, write.address.key());
            let swap = Swap { key: key.clone(), expected, value: Some(value.clone()), lease: None };
            match self.key_value.swap_marked(swap, &self.marker).await {
                Ok(Swapped::Applied(version)) => return Ok(version),
                Ok(Swapped::Refused(found)) => expected = next_expected(write, found)?,
                Err(error) if error.kind == Kind::WriteUnknown => {
                    return self.settle(&key, expected, &identifier, error).await;
                }
                Err(error) => return Err(error),
            }
        }
        Err(Error::new(Kind::VersionConflict, "others keep writing this resource"))
    }

    /// Finds out whether a write whose reply was lost took effect.
    async fn settle(
        &self,
        key: &str,
        expected: u64,
        identifier: &str,
        error: Error,
    ) -> Result<u64> {
        for _ in 0..SETTLE_TRIES {
            tokio::time::sleep(SETTLE_PAUSE).await;
            let Ok(found) = self.key_value.get(key).await else { continue };
            let version = found.as_ref().map_or(0, |entry| entry.version);
            let stored = found.and_then(|entry| Stored::decode(&entry.value));
            if stored.is_some_and(|stored| stored.write == identifier) {
                return Ok(version);
            }
            // The swap may still arrive while the key stands as it expects.
            if version != expected {
                break;
            }
        }
        Err(error)
    }
}

fn first_expected(write: &Write, held: Option<Held>) -> Result<u64> {
    let version = held.as_ref().map_or(0, |held| held.version);
    let exists = held.is_some_and(|held| held.value.is_some());
    match write.expected {
        Expected::Any if write.spec.is_none() && !exists => Err(not_found(write)),
        Expected::Any => Ok(version),
        Expected::Absent if exists => Err(conflict(write, version)),
        Expected::Absent => Ok(version),
        Expected::Version(wanted) => Ok(wanted),
    }
}

fn next_expected(write: &Write, found: Option<Entry>) -> Result<u64> {
    let version = found.as_ref().map_or(0, |entry| entry.version);
    let stored = found.and_then(|entry| Stored::decode(&entry.value));
    let exists = stored.is_some_and(|stored| stored.spec.is_some());
    match write.expected {
        Expected::Any if write.spec.is_none() && !exists => Err(not_found(write)),
        Expected::Any => Ok(version),
        Expected::Absent if !exists => Ok(version),
        Expected::Absent | Expected::Version(_) => Err(conflict(write, version)),
    }
}

fn not_found(write: &Write) -> Error {
    let address = &write.address;
    Error::new(Kind::NotFound, format!("no {} {}", address.kind, address.name))
}

fn conflict(write: &Write, version: u64) -> Error {
    let address = &write.address;
    let detail = format!("{} {} is at version {version}", address.kind, address.name);
    Error::new(Kind::VersionConflict, detail)
}

fn fresh_identifier() -> String {
    let mut bytes = [0; 16];
    rand::rng().fill_bytes(&mut bytes);
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
