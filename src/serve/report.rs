//! Load reports: what a VM tells all others of its own accord.
//!
//! Each report states the sender's own load whole, and of what else it knows first-hand
//! only what is due to be told (`repeat`). A VM that may have missed the rest is told all
//! of it at once: one that has just started, or was out of hearing, or states what this
//! VM knows better.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::datagram::{Cold, Content, Leaving, Limited, Load, Row};
use super::departure::Process;
use super::peers::Peers;
use super::upstream;
use crate::clock::Time;
use crate::emit;
use crate::event::Event;
use crate::id::Vm;

/// Minimum pause between two load reports.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(8);
/// Maximum time between two load reports in a small fleet.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// The same in a fleet of more than `SMALL_FLEET` members; well below `SILENT_AFTER`.
const LARGE_HEARTBEAT: Duration = Duration::from_millis(500);
/// Maximum number of members of a small fleet.
const SMALL_FLEET: usize = 12;
/// Age of the last successful read after which a VM reports the store as unreachable.
const STORE_UNREACHABLE_AFTER: Duration = Duration::from_millis(2_000);
/// Rows of each kind of news in one report; the rest follows in the next ones.
pub const MAX_NEWS: usize = 16;
/// Minimum time between two corrections of one VM's statements.
const CORRECTION_INTERVAL: Duration = Duration::from_secs(1);

impl Peers {
    /// Reports this VM's load periodically and whenever it changes, until the process exits.
    pub async fn announce(self: Rc<Self>) {
        loop {
            let heartbeat = self.heartbeat();
            let _ = tokio::time::timeout(heartbeat, self.context().load_changed.notified()).await;
            let bytes = self.send_load();
            let now = self.context().now();
            let next_at = self.report_budget.borrow_mut().spend(bytes, now);
            let pause = now.until(next_at).clamp(MIN_LOAD_INTERVAL, heartbeat);
            tokio::time::sleep(pause).await;
        }
    }

    fn heartbeat(&self) -> Duration {
        let members = self.context().view.borrow().members.len();
        if members > SMALL_FLEET { LARGE_HEARTBEAT } else { HEARTBEAT }
    }

    /// Sends one load report; its size in bytes.
    pub fn send_load(&self) -> usize {
        let now = self.context().now();
        let mut table = self.context().table.borrow_mut();
        let leaving = table.take_told_leaving(MAX_NEWS, now);
        let limited = table.limits_mut().take_due(MAX_NEWS, now);
        drop(table);
        let cold = self.context().cold.borrow_mut().take_due(MAX_NEWS, now);
        let load = Load {
            leaving: leaving.into_iter().map(|told| Leaving::new(told, now)).collect(),
            limited: limited.into_iter().map(|row| Limited::new(row, now)).collect(),
            cold: cold.into_iter().map(|(number, word)| Cold::new(number, word, now)).collect(),
            ended: self.context().ended.borrow_mut().take_due(MAX_NEWS, now),
            ..self.own_load()
        };
        self.broadcast(Content::Load(load))
    }

    /// Sends one VM a load report with all that this VM knows first-hand.
    pub(super) fn send_state(&self, address: SocketAddr) {
        let now = self.context().now();
        let table = self.context().table.borrow();
        let leaving = table.told_leaving(now).map(|told| Leaving::new(told, now)).collect();
        let limited = table.limits().report(now).map(|row| Limited::new(row, now)).collect();
        drop(table);
        let cold = self.context().cold.borrow();
        let cold = cold.report(now).map(|(number, word)| Cold::new(number, word, now)).collect();
        let ended = self.context().ended.borrow();
        let ended = ended.recent(now).map(str::to_owned).collect();
        let load = Load { leaving, limited, cold, ended, ..self.own_load() };
        self.send_to(Content::Load(load), address);
    }

    /// Sends `send_state` to a VM that has stated what this VM knows better.
    pub(super) fn correct(&self, vm: &Vm, address: SocketAddr) {
        let now = self.context().now();
        let mut corrected = self.corrected.borrow_mut();
        corrected.retain(|_, until| !until.passed(now));
        if corrected.contains_key(vm) {
            return;
        }
        corrected.insert(vm.clone(), now.after(CORRECTION_INTERVAL));
        self.send_state(address);
    }

    fn own_load(&self) -> Load {
        let (context, now) = (self.context(), self.context().now());
        let confirmed_at = context.view.borrow().confirmed_at;
        Load {
            sequence: self.next_sequence(),
            rows: self.rows(),
            serving: self.serving(),
            store_reachable: !confirmed_at.after(STORE_UNREACHABLE_AFTER).passed(now),
            items_waiting: context.items_waiting.get(),
            ejected: context.table.borrow().ejected(now),
            items_in_time: context.items_in_time.get(),
            cut_off: context.paths.is_cut(),
            evacuated: self.evacuated(),
            online_denied: context.priority.borrow().denied(now),
            ..Load::default()
        }
    }

    fn rows(&self) -> Vec<Row> {
        let table = self.context().table.borrow();
        let busy = table.iter().filter(|(_, entry)| entry.own.total() > 0);
        let row = |(_, entry): (_, &upstream::Entry)| Row {
            upstream: entry.number,
            online: entry.own.online,
            batch: entry.own.batch,
        };
        busy.map(row).collect()
    }

    /// Records what another VM tells of upstreams that leave.
    pub(super) fn record_leaving(&self, vm: &str, leaving: &[Leaving]) {
        let (context, now) = (self.context(), self.context().now());
        for row in leaving {
            let (process, at) = (Process::from(*row), now.before_millis(row.age_ms));
            if !context.table.borrow_mut().record_leaving(process, at, false, now) {
                continue;
            }
            let table = context.table.borrow();
            let upstream = table.name(process).map(ToString::to_string).unwrap_or_default();
            emit!(context.log, Event::UpstreamLeaving,
                "upstream" => upstream, "told_by" => vm,
                "age_ms" => row.age_ms);
            metrics::counter!("serve_upstreams_leaving_total", "told_by" => "peer").increment(1);
        }
    }
}

impl Leaving {
    /// The row for a process that said at a time that it leaves.
    fn new((process, at): (Process, Time), now: Time) -> Self {
        Self {
            upstream: process.number,
            started_unix_ms: process.started_unix_ms,
            age_ms: at.age_millis(now),
        }
    }
}
