//! What the store keeps of crashes, so that it outlasts a kill of all VMs.
//!
//! One entry holds the parts that are held off, the requests that are quarantined, and the
//! crashes that speak against parts which aren't held off yet. The VM that ranks highest for the
//! entry among those that are heard writes it, whenever what it knows differs. Each write is
//! conditional on the version that was read, so that a late one changes nothing. All VMs read the
//! entry with their view; one that has just started knows it before it serves. The entry is
//! never deleted; it gets empty.
//!
//! Load: a few crashes, and parts and requests that crash upstreams, of which there are few at any
//! time. Nothing is written for a request, nor for a crash that stands alone. A write that fails
//! is due until it succeeds.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;

use super::report::{CrashRow, HeldRow, Report};
use super::{Crashes, MAX_ROWS, merge};
use crate::clock::Time;
use crate::emit;
use crate::error::Result;
use crate::event::Event;
use crate::kv::Entry;
use crate::serve::context::Context;
use crate::serve::jobs::unix_ms;
use crate::serve::member::ranked;
use crate::serve::peers::{Peers, SILENT_AFTER};
use crate::serve::store::{Commit, Expectation, Transaction};

/// Key of the entry.
pub const KEY: &str = "quarantine";
/// Interval at which a write that is due is tried again.
const INTERVAL: Duration = Duration::from_millis(1_000);
/// Minimum time between two writes, so that what changes together is written together.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Name under which reports from the store are merged.
const REPORTER: &str = "store";

/// Value of the entry.
#[derive(Clone, PartialEq, Message)]
pub struct Kept {
    /// What is kept; its ages are those at `written_unix_ms`.
    #[prost(message, optional, tag = "1")]
    pub report: Option<Report>,
    /// When it was written, as a Unix time in milliseconds.
    #[prost(fixed64, tag = "2")]
    pub written_unix_ms: u64,
}

impl Kept {
    /// What is kept, with the ages of `now_unix_ms`. A clock that is behind the writer's makes
    /// nothing younger.
    fn report_at(self, now_unix_ms: u64) -> Report {
        let elapsed_ms = now_unix_ms.saturating_sub(self.written_unix_ms);
        let elapsed_ms = u32::try_from(elapsed_ms).unwrap_or(u32::MAX);
        let mut report = self.report.unwrap_or_default();
        for row in &mut report.crashes {
            row.age_ms = row.age_ms.saturating_add(elapsed_ms);
        }
        for row in &mut report.held {
            row.age_ms = row.age_ms.saturating_add(elapsed_ms);
            row.trial_in_ms = row.trial_in_ms.map(|left| left.saturating_sub(elapsed_ms));
        }
        report
    }
}

/// What an entry holds, without its times.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contents {
    /// Parts that are held off, with the number of requests let through.
    held: BTreeSet<(u64, u32)>,
    /// Crashes, by their numbers and the fingerprints of the requests in flight.
    crashes: BTreeSet<(u64, Vec<u8>)>,
}

impl Contents {
    fn of(report: &Report) -> Self {
        let held = report.held.iter().map(|row| (row.part, row.trials));
        let crashes = report.crashes.iter().map(|row| (row.crash, row.fingerprint.clone()));
        Self { held: held.collect(), crashes: crashes.collect() }
    }
}

/// The entry, as last read or written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    version: u64,
    contents: Contents,
}

impl Crashes {
    /// What is to be kept in the store.
    pub fn kept(&self, now: Time) -> Report {
        let quarantined = self.requests.quarantined();
        let evidence = self.parts.open_evidence();
        let crashes = evidence.chain(quarantined).take(MAX_ROWS);
        let held = self.parts.held().take(MAX_ROWS);
        Report {
            crashes: crashes.map(|(run, at)| CrashRow::new(&run, at, now)).collect(),
            held: held.map(|(part, held)| HeldRow::new(part, held, now)).collect(),
            ..Report::default()
        }
    }
}

/// Merges the entry that was read from the store.
pub fn read(context: &Context, entry: &Entry) -> std::result::Result<(), prost::DecodeError> {
    if entry.version <= context.crashes.borrow().stored.version {
        return Ok(());
    }
    let report = Kept::decode(entry.value.as_slice())?.report_at(unix_ms());
    let stored = Stored { version: entry.version, contents: Contents::of(&report) };
    emit!(context.log, Event::CrashesRead, "held" => report.held.len(),
        "crashes" => report.crashes.len(), "entry_version" => entry.version);
    context.crashes.borrow_mut().stored = stored;
    merge(context, REPORTER, &report);
    Ok(())
}

impl Peers {
    /// Keeps the entry up to date, until the process exits.
    pub async fn keep_crashes(self: Rc<Self>) {
        loop {
            let changed = self.context().crashes_changed.notified();
            let _ = tokio::time::timeout(INTERVAL, changed).await;
            if let Err(error) = self.write_crashes().await {
                emit!(self.context().log, Event::StoreCallFailed,
                    "reason" => error.detail.as_str());
            }
            tokio::time::sleep(MIN_PAUSE).await;
        }
    }

    async fn write_crashes(&self) -> Result<()> {
        let context = self.context();
        let report = context.crashes.borrow().kept(context.now());
        let contents = Contents::of(&report);
        let stored = context.crashes.borrow().stored.clone();
        if contents == stored.contents || !self.writes_crashes() {
            return Ok(());
        }
        let kept = Kept { report: Some(report), written_unix_ms: unix_ms() };
        let transaction = Transaction {
            expected: vec![Expectation { key: KEY.to_owned(), version: stored.version }],
            puts: vec![(KEY.to_owned(), kept.encode_to_vec())],
            deletes: Vec::new(),
        };
        match context.store.commit(transaction).await? {
            Commit::Applied(version) => {
                context.crashes.borrow_mut().stored = Stored { version, contents };
            }
            Commit::Refused(current) => {
                for entry in current.iter().filter(|entry| entry.key == KEY) {
                    // An entry that can't be read is replaced by the next write.
                    if read(context, entry).is_err() {
                        let contents = Contents::default();
                        let stored = Stored { version: entry.version, contents };
                        context.crashes.borrow_mut().stored = stored;
                    }
                }
            }
        }
        Ok(())
    }

    /// Whether this VM writes the entry: no member that is heard ranks higher for it.
    fn writes_crashes(&self) -> bool {
        let context = self.context();
        if context.stopping.get() {
            return false;
        }
        let view = context.view.borrow();
        let ranked = ranked(&view.members, KEY, view.members.len());
        let heard = ranked
            .into_iter()
            .find(|member| &member.vm == context.vm() || !self.is_silent(&member.vm, SILENT_AFTER));
        heard.is_some_and(|member| &member.vm == context.vm())
    }
}
