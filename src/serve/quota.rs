//! What this VM learns of cold upstreams, what VMs tell each other of them, and grants of
//! sends within their quotas.

use std::time::Duration;

use super::cold::{self, Bounds, Change, Reading, Standing, Word};
use super::configuration::Cold;
use super::context::Context;
use super::datagram;
use super::departure::Process;
use super::hint::drop_statement;
use super::jobs::unix_ms;
use super::limit::{Admission, Part};
use super::peers::Peers;
use super::store::Snapshot;
use super::upstream::number;
use crate::clock::Time;
use crate::emit;
use crate::event::Event;

/// Longest remaining cold time; longer statements of upstreams count as this, those of peers
/// are dropped.
const MAX_REMAINING: Duration = Duration::from_secs(600);
/// Time by which clocks of VMs may differ.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;
/// Minimum time between two lines that an upstream's quota is used up.
const USED_UP_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an upstream gets no requests after the granting VM didn't know it.
const UNKNOWN_PAUSE: Duration = Duration::from_millis(100);

impl Context {
    /// Tolerated excess over quotas; none if no upstream is ever cold.
    fn cold_bounds(&self) -> Option<Bounds> {
        let bounds = self.settings().bounds;
        Some(Bounds { overrun: bounds.cold_overrun?, slack: bounds.cold_slack? })
    }

    /// What the upstream with this number takes, by its cold time.
    pub(super) fn standing(&self, upstream: u32) -> Standing {
        let Some(bounds) = self.cold_bounds() else { return Standing::Warm };
        self.cold.borrow().standing(upstream, bounds, self.now())
    }

    /// Applies the entries of a snapshot that was current at `current_at`.
    pub(super) fn apply_cold(&self, snapshot: &Snapshot, current_at: Time) {
        let configuration = self.configuration();
        if self.cold_bounds().is_none() {
            return;
        }
        let rule = |service| {
            let rule: Cold = configuration.as_ref()?.cold.get(service).copied()?;
            Some(Cold { lasts: rule.lasts.min(MAX_REMAINING), ..rule })
        };
        let listed = snapshot.upstreams.iter().map(|registration| {
            let reading = Reading {
                started_unix_ms: registration.started_unix_ms,
                revision: registration.revision,
                left: registration.cold_left_ms.map(remaining),
            };
            (number(&registration.upstream), rule(&registration.service), reading)
        });
        let (listed, now): (Vec<_>, _) = (listed.collect(), self.now());
        let changes = self.cold.borrow_mut().record_list(&listed, current_at, now);
        for (upstream, change) in changes {
            self.apply_cold_change(upstream, Some(change), "entry");
        }
        let ended = self.cold.borrow_mut().take_ended(now);
        for upstream in ended {
            self.apply_cold_change(upstream, Some(Change::Ended), "time");
        }
    }

    /// Records the remaining cold time that an answer states.
    pub(super) fn record_cold_answer(&self, process: Process, left: Duration) {
        if self.cold_bounds().is_none() {
            return;
        }
        let (at, started_unix_ms) = (self.now(), process.started_unix_ms);
        let until = at.after(left.min(MAX_REMAINING));
        let word = Word { started_unix_ms, at, until, revision: 0 };
        let change = self.cold.borrow_mut().record(process.number, word, true, at);
        self.apply_cold_change(process.number, change, "answer");
    }

    /// Records that an upstream may have started again: it was gone, or out of sight.
    pub(super) fn suspect_cold(&self, process: Process, reason: &str) {
        if self.cold_bounds().is_none() || self.paths.is_to_blame() {
            return;
        }
        let (number, started_unix_ms) = (process.number, process.started_unix_ms);
        let change = self.cold.borrow_mut().suspect(number, started_unix_ms, self.now());
        self.apply_cold_change(number, change, reason);
    }

    fn apply_cold_change(&self, upstream: u32, change: Option<Change>, told_by: &str) {
        let Some(change) = change else { return };
        let now = self.now();
        let Some(word) = self.cold.borrow().word(upstream) else { return };
        let state = match change {
            Change::Learnt => {
                self.begin_quota(upstream);
                "learnt"
            }
            Change::Ended => "ended",
        };
        emit!(self.log, Event::UpstreamCold, "upstream" => self.upstream_name(upstream),
            "state" => state, "told_by" => told_by, "age_ms" => word.at.age_millis(now),
            "left_ms" => now.until(word.until).as_millis() as u64);
        self.load_changed.notify_one();
        self.work_changed.notify_one();
    }

    fn begin_quota(&self, upstream: u32) {
        let Standing::Cold(quota) = self.standing(upstream) else { return };
        let mut table = self.table.borrow_mut();
        let entry = table.iter().find(|(_, entry)| entry.number == upstream);
        let running = entry.map_or(0, |(_, entry)| entry.load().total());
        table.limits_mut().begin_quota(cold::key(upstream), quota, running, self.now());
    }

    fn upstream_name(&self, upstream: u32) -> String {
        let table = self.table.borrow();
        table.name(cold::key(upstream)).map(ToString::to_string).unwrap_or_default()
    }
}

impl Peers {
    /// Whether this VM can't grant under a key, since it doesn't know the upstream.
    pub(super) fn is_unknown_quota(&self, key: Process) -> bool {
        cold::is_key(key) && self.context().standing(key.number) == Standing::Unknown
    }

    /// Grants a send under the key of a quota.
    pub(super) fn grant_quota(&self, key: Process) -> Admission {
        let (context, now) = (self.context(), self.context().now());
        let quota = match context.standing(key.number) {
            Standing::Warm => return Admission::Granted,
            Standing::Unknown => return Admission::Denied(now.after(UNKNOWN_PAUSE)),
            Standing::Cold(quota) => quota,
        };
        let phase = context.random() as f64 / u64::MAX as f64;
        let part = Part { share: self.granting_share(key), phase };
        let mut table = context.table.borrow_mut();
        let admission = table.limits_mut().grant_quota(key, quota, part, now);
        drop(table);
        match admission {
            Admission::Granted => self.tell_next_granter(key),
            Admission::Denied(_) => {
                let logs =
                    context.cold.borrow_mut().logs_used_up(key.number, USED_UP_INTERVAL, now);
                if logs {
                    emit!(context.log, Event::QuotaUsedUp,
                        "upstream" => context.upstream_name(key.number),
                        "per_s" => quota.per_s, "share" => part.share);
                }
            }
        }
        admission
    }

    /// What this VM knows of the upstream whose quota is granted under a key.
    pub(super) fn cold_row(&self, key: Process) -> Option<datagram::Cold> {
        if !cold::is_key(key) {
            return None;
        }
        let word = self.context().cold.borrow().word(key.number)?;
        Some(datagram::Cold::new(key.number, word, self.context().now()))
    }

    /// Records what another VM tells of cold upstreams; whether this VM knows better.
    pub(super) fn record_cold(&self, vm: &str, rows: &[datagram::Cold]) -> bool {
        let (context, now) = (self.context(), self.context().now());
        let mut knows_better = false;
        if context.cold_bounds().is_none() {
            return false;
        }
        for row in rows {
            let left = Duration::from_millis(row.remaining_ms);
            let is_known = context.table.borrow().name(cold::key(row.upstream)).is_some();
            let latest_start = unix_ms().saturating_add(MAX_CLOCK_SKEW_MS);
            if !is_known || left > MAX_REMAINING || row.started_unix_ms > latest_start {
                drop_statement("cold");
                continue;
            }
            let at = now.before_millis(row.age_ms);
            let until = if left.is_zero() { at } else { now.after(left) };
            let (started_unix_ms, revision) = (row.started_unix_ms, row.revision);
            let word = Word { started_unix_ms, at, until, revision };
            knows_better |= context.cold.borrow().corrects(row.upstream, word);
            let change = context.cold.borrow_mut().record(row.upstream, word, false, now);
            context.apply_cold_change(row.upstream, change, vm);
        }
        knows_better
    }
}

/// A remaining cold time as stated, at most `MAX_REMAINING`.
fn remaining(left_ms: u64) -> Duration {
    Duration::from_millis(left_ms).min(MAX_REMAINING)
}

impl datagram::Cold {
    /// The row for a word.
    pub fn new(upstream: u32, word: Word, now: Time) -> Self {
        Self {
            upstream,
            started_unix_ms: word.started_unix_ms,
            remaining_ms: now.until(word.until).as_millis() as u64,
            age_ms: word.at.age_millis(now),
            revision: word.revision,
        }
    }
}
