//! Task that keeps this VM's share table confirmed and publishes new tables.
//!
//! Runs on the control arbiter. VMs are ranked by rendezvous hashing and those of lower rank wait
//! longer before they publish, so usually only one VM does.

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

/// Interval between confirmations.
const INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between confirmations while a table is pending.
const PENDING_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one query to a peer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of VMs per data centre that read the table from the platform's key-value service.
const READERS_PER_DATA_CENTRE: usize = 2;
/// Additional delay before publishing, per rank.
const PUBLISH_DELAY_PER_RANK: Duration = Duration::from_secs(2);
/// How long a table is pending before the VM list is checked for terminated VMs.
const TERMINATION_CHECK_DELAY: Duration = Duration::from_secs(10);
/// Key of the share table, relative to the fleet's prefix.
const TABLE_KEY: &str = "limits/shares";

/// Keeps `shares` in step with the share table until the arbiter stops.
pub async fn follow(
    shares: Shares,
    key_value: Rc<dyn KeyValue>,
    vm_list: Option<Rc<dyn VmList>>,
    prefix: String,
) {
    let key = format!("{prefix}{TABLE_KEY}");
    let publisher = Publisher::default();
    let mut follower = Follower { shares, key_value, vm_list, key, publisher, due_since: None };
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
    due_since: Option<Time>,
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
        let reports = join_all(peers.iter().map(|peer| self.query_peer(&view, &table, peer)));
        let (_, reports) = tokio::join!(self.read_table(queries.platform), reports);
        let table = self.shares.table();
        self.publisher.observe_table(&table);
        for (peer, report) in reports.into_iter().flatten() {
            let now = self.now();
            self.publisher.observe_report(&table, &peer, &report, now);
        }
        self.publish(&view, &table).await;
    }

    async fn read_table(&self, wanted: bool) {
        if !wanted {
            return;
        }
        let requested_at = self.now();
        let Ok(entry) = self.entry().await else { return };
        let table = entry.and_then(|entry| codec::decode_table(&entry.value)).unwrap_or_default();
        self.adopt(table, Some(requested_at));
    }

    async fn query_peer(
        &self,
        view: &View,
        table: &Table,
        peer: &Vm,
    ) -> Option<(Vm, super::Report)> {
        let member = view.members.get(peer)?;
        let requested_at = self.now();
        let newer = (!table.settled && table.epoch > 0).then(|| codec::encode_table(table));
        let query = limits::Query { epoch: table.epoch, settled: table.settled, table: newer };
        let client = self.shares.context().peers.get(member.peer);
        let answer =
            client.call(codec::message(limits::Body::Query(query)), QUERY_TIMEOUT).await.ok()?;
        let Body::Limits(limits::Message { body: Some(limits::Body::Report(report)) }) = answer
        else {
            return None;
        };
        Some((peer.clone(), self.shares.observe_report(peer, &report, requested_at)?))
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
            self.due_since = None;
            return;
        };
        let since = *self.due_since.get_or_insert(now);
        if !since.after(PUBLISH_DELAY_PER_RANK * self.rank(view)).passed(now) {
            return;
        }
        if pending && since.after(TERMINATION_CHECK_DELAY).passed(now) {
            self.check_terminated(table).await;
        }
        if !pending || self.publisher.may_settle(table, now) {
            let _ = self.write(table, next).await;
        }
    }

    async fn check_terminated(&mut self, table: &Table) {
        let Some(vm_list) = &self.vm_list else { return };
        let Ok(listed) = vm_list.list().await else { return };
        let missing: Vec<Vm> = self.publisher.missing(table).cloned().collect();
        let now = self.now();
        for vm in missing.iter().filter(|vm| listed.iter().all(|info| info.vm != **vm)) {
            self.publisher.mark_gone(table, vm, now);
        }
    }

    async fn write(&mut self, current: &Table, next: Table) -> Result<()> {
        let entry = self.entry().await?;
        let held =
            entry.as_ref().and_then(|entry| codec::decode_table(&entry.value)).unwrap_or_default();
        if held.step() != current.step() {
            self.adopt(held, None);
            return Ok(());
        }
        let swap = Swap {
            key: self.key.clone(),
            expected: entry.map_or(0, |entry| entry.version),
            value: Some(codec::encode_table(&next)),
            lease: None,
        };
        if let Swapped::Applied(_) = self.key_value.swap(swap).await? {
            self.due_since = None;
            self.adopt(next, None);
        }
        Ok(())
    }

    fn adopt(&self, table: Table, requested_at: Option<Time>) {
        let (epoch, step) = (table.epoch, table.step());
        let adopted = self.shares.with(|holder, now| {
            let adopted = holder.adopt(Arc::new(table), now);
            if let Some(requested_at) = requested_at {
                holder.confirm(step, requested_at, now);
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
        let entries = view.members.values().filter(|member| member.role == Role::Entry);
        let order = rendezvous::order(TABLE_KEY, entries.map(|member| &member.vm));
        let own = &self.shares.context().vm;
        order.iter().position(|vm| *vm == own).unwrap_or(order.len()) as u32
    }

    fn now(&self) -> Time {
        self.shares.context().clock.now()
    }
}

/// The VMs that read the table for the data centre of `own`.
fn readers(view: &View, own: &Vm) -> Vec<Vm> {
    let Some(own) = view.members.get(own) else { return Vec::new() };
    let local =
        |member: &&Member| member.role == Role::Entry && member.data_centre == own.data_centre;
    let local = view.members.values().filter(local).map(|member| member.vm.clone());
    rendezvous::order(TABLE_KEY, local).into_iter().take(READERS_PER_DATA_CENTRE).collect()
}
