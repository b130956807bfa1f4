//! Keeping this VM's shares confirmed, and publishing tables.
//!
//! Runs on the control arbiter. A publisher that ranks later waits longer
//! before it acts, so one VM usually publishes alone.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;

use super::shares::Shares;
use super::{Publisher, Table, allocate, codec, next_table};
use crate::admission::rendezvous;
use crate::clock::Time;
use crate::emit;
use crate::error::Result;
use crate::event::Event;
use crate::id::Vm;
use crate::kv::{Entry, KeyValue, Swap, Swapped, VmList};
use crate::view::{Member, Role, View};
use crate::wire::{Body, limits};

/// Pause between confirmations.
const INTERVAL: Duration = Duration::from_millis(1_000);
/// Pause while a table is pending.
const PENDING_INTERVAL: Duration = Duration::from_millis(100);
/// Bound on one question to a peer.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// VMs of a data centre that read the table from the platform's service.
const READERS: usize = 2;
/// Extra wait of each further publisher in rank.
const RANK_WAIT: Duration = Duration::from_secs(2);
/// How long a table is pending before VMs that have ended are looked for.
const GONE_CHECK: Duration = Duration::from_secs(10);
/// Key of the table, below the fleet's prefix.
const TABLE_KEY: &str = "limits/shares";

/// Follows the share table for `shares` until the arbiter stops.
pub async fn follow(
    shares: Shares,
    key_value: Rc<dyn KeyValue>,
    vm_list: Option<Rc<dyn VmList>>,
    prefix: String,
) {
    let key = format!("{prefix}{TABLE_KEY}");
    let publisher = Publisher::default();
    let mut follower = Follower { shares, key_value, vm_list, key, publisher, wanted: None };
    loop {
        follower.round().await;
        let table = follower.shares.table();
        let pending = table.epoch > 0 && !table.settled;
        actix_rt::time::sleep(if pending { PENDING_INTERVAL } else { INTERVAL }).await;
    }
}

struct Follower {
    shares: Shares,
    key_value: Rc<dyn KeyValue>,
    vm_list: Option<Rc<dyn VmList>>,
    key: String,
    publisher: Publisher,
    wanted: Option<Time>,
}

impl Follower {
    async fn round(&mut self) {
        let view = self.shares.context().shared.load();
        let readers = readers(&view, &self.shares.context().vm);
        let Some(queries) = self.shares.with(|holder, now| holder.queries(&readers, now)) else {
            return;
        };
        let table = self.shares.table();
        let mut peers = queries.peers;
        self.publisher.observe_table(&table);
        if !table.settled && self.rank(&view) == 0 {
            peers.extend(self.publisher.missing(&table).cloned());
            peers.remove(&self.shares.context().vm);
        }
        let asks = join_all(peers.iter().map(|peer| self.ask(&view, &table, peer)));
        let (_, reports) = tokio::join!(self.read(queries.platform), asks);
        let table = self.shares.table();
        self.publisher.observe_table(&table);
        for (peer, report) in reports.into_iter().flatten() {
            let now = self.now();
            self.publisher.observe_report(&table, &peer, &report, now);
        }
        self.publish(&view, &table).await;
    }

    async fn read(&self, wanted: bool) {
        if !wanted {
            return;
        }
        let asked = self.now();
        let Ok(entry) = self.entry().await else { return };
        let table = entry.and_then(|entry| codec::table(&entry.value)).unwrap_or_default();
        self.adopt(table, Some(asked));
    }

    async fn ask(&self, view: &View, table: &Table, peer: &Vm) -> Option<(Vm, super::Report)> {
        let member = view.members.get(peer)?;
        let asked = self.now();
        let news = (!table.settled && table.epoch > 0).then(|| codec::json(table));
        let ask = limits::Query { epoch: table.epoch, settled: table.settled, table: news };
        let client = self.shares.context().peers.get(member.peer);
        let answer = client.call(codec::body(limits::Body::Query(ask)), ASK_TIMEOUT).await.ok()?;
        let Body::Limits(limits::Message { body: Some(limits::Body::Report(report)) }) = answer
        else {
            return None;
        };
        Some((peer.clone(), self.shares.observe_report(peer, &report, asked)?))
    }

    async fn publish(&mut self, view: &View, table: &Arc<Table>) {
        let now = self.now();
        let own = self.shares.with(|holder, now| holder.report(now));
        if let Some(own) = own {
            self.publisher.observe_report(table, &self.shares.context().vm, &own, now);
        }
        let pending = table.epoch > 0 && !table.settled;
        let next = match pending {
            true => Some(Table { settled: true, ..Table::clone(table) }),
            false => next_table(table, allocate(view)),
        };
        let Some(next) = next else {
            self.wanted = None;
            return;
        };
        let since = *self.wanted.get_or_insert(now);
        if !since.after(RANK_WAIT * self.rank(view)).passed(now) {
            return;
        }
        if pending && since.after(GONE_CHECK).passed(now) {
            self.look_for_gone(table).await;
        }
        if !pending || self.publisher.may_settle(table, now) {
            let _ = self.write(table, next).await;
        }
    }

    async fn look_for_gone(&mut self, table: &Table) {
        let Some(vm_list) = &self.vm_list else { return };
        let Ok(listed) = vm_list.list().await else { return };
        let missing: Vec<Vm> = self.publisher.missing(table).cloned().collect();
        let now = self.now();
        for vm in missing.iter().filter(|vm| listed.iter().all(|one| one.vm != **vm)) {
            self.publisher.mark_gone(table, vm, now);
        }
    }

    async fn write(&mut self, current: &Table, next: Table) -> Result<()> {
        let entry = self.entry().await?;
        let held = entry.as_ref().and_then(|entry| codec::table(&entry.value)).unwrap_or_default();
        if held.step() != current.step() {
            self.adopt(held, None);
            return Ok(());
        }
        let swap = Swap {
            key: self.key.clone(),
            expected: entry.map_or(0, |entry| entry.version),
            value: Some(codec::json(&next)),
            lease: None,
        };
        if let Swapped::Applied(_) = self.key_value.swap(swap).await? {
            self.wanted = None;
            self.adopt(next, None);
        }
        Ok(())
    }

    fn adopt(&self, table: Table, asked: Option<Time>) {
        let (epoch, step) = (table.epoch, table.step());
        let adopted = self.shares.with(|holder, now| {
            let adopted = holder.adopt(Arc::new(table), now);
            if let Some(asked) = asked {
                holder.confirm(step, asked, now);
            }
            adopted
        });
        if adopted == Some(true) {
            let log = &self.shares.context().log;
            emit!(log, Event::SharesMoved, "epoch" => epoch, "settled" => step.1);
        }
    }

    async fn entry(&self) -> Result<Option<Entry>> {
        let range = self.key_value.range(&self.key).await?;
        Ok(range.entries.into_iter().find(|entry| entry.key == self.key))
    }

    fn rank(&self, view: &View) -> u32 {
        let entries = view.members.values().filter(|one| one.role == Role::Entry);
        let order = rendezvous::order(TABLE_KEY, entries.map(|one| &one.vm));
        let own = &self.shares.context().vm;
        order.iter().position(|vm| *vm == own).unwrap_or(order.len()) as u32
    }

    fn now(&self) -> Time {
        self.shares.context().clock.now()
    }
}

/// The readers of the data centre that `own` stands in.
fn readers(view: &View, own: &Vm) -> Vec<Vm> {
    let Some(own) = view.members.get(own) else { return Vec::new() };
    let near = |one: &&Member| one.role == Role::Entry && one.data_centre == own.data_centre;
    let near = view.members.values().filter(near).map(|one| one.vm.clone());
    rendezvous::order(TABLE_KEY, near).into_iter().take(READERS).collect()
}
