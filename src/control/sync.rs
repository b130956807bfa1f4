//! Synchronization with the platform: configuration versions, leases, the VM list and the member
//! table.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use super::driver::{Driver, Inner};
use super::register::{RENEW_INTERVAL, write_id};
use crate::config::{Delta, Item, Record, Revision};
use crate::emit;
use crate::error::{Error, Result};
use crate::event::Event;
use crate::id::{DataCentre, Vm};
use crate::kv::{Entry, Notice, Swap, VmInfo};
use crate::member::{TABLE_KEY, is_deregistered, vm_key};
use crate::view::State;

/// Time between reads of the VM list by a hub.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Mean time between a hub's checks whether the member table must change.
const TABLE_INTERVAL: Duration = Duration::from_millis(500);
/// Pause before a failed call is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which leases are listed again, in case the watch has silently stalled.
const RELIST_INTERVAL: Duration = Duration::from_secs(60);

impl Driver {
    /// Checks the configuration's current version and fetches the writes that this VM lacks.
    pub(super) async fn confirm(self: Rc<Self>) {
        let requested_at = self.now();
        let result = self.platform.key_value.get(&self.keys.marker).await;
        let behind = match &result {
            Ok(entry) => {
                let version = entry.as_ref().map_or(0, |entry| entry.version);
                self.state.borrow_mut().machine.on_confirmed(requested_at, version)
            }
            Err(_) => {
                let now = self.now();
                self.state.borrow_mut().machine.on_confirm_failed(now, rand::random());
                false
            }
        };
        self.set_platform_reachable(result.err());
        if behind {
            let _ = self.catch_up().await;
        }
        self.publish_contact();
    }

    /// Reads the writes that this VM lacks from the key-value service.
    pub(super) async fn catch_up(&self) -> Result<()> {
        let from = self.state.borrow().machine.cache().version();
        let range = self.platform.key_value.since(&self.keys.config, from).await?;
        let to = range.entries.iter().map(|entry| entry.version).max().unwrap_or(from);
        let items = range.entries.into_iter().map(|entry| self.item(entry)).collect();
        self.apply_delta(Delta { from, to, floor: 0, items });
        Ok(())
    }

    fn item(&self, entry: Entry) -> Item {
        let key = entry.key.strip_prefix(&self.keys.config).unwrap_or(&entry.key).to_owned();
        // Only a resource's tombstone counts as deleted; any other value is kept unchanged.
        let live = Record::decode(&entry.value).is_none_or(|record| record.spec.is_some());
        let value = live.then(|| entry.value.into());
        Item { key, revision: Revision { version: entry.version, value } }
    }

    fn set_platform_reachable(&self, failure: Option<Error>) {
        let mut inner = self.state.borrow_mut();
        match &failure {
            Some(error) if inner.platform_reachable => {
                emit!(self.context.log, Event::PlatformLost, "reason" => &error.detail);
            }
            None if !inner.platform_reachable => emit!(self.context.log, Event::PlatformBack),
            _ => {}
        }
        inner.platform_reachable = failure.is_none();
    }

    fn is_hub(&self) -> bool {
        self.state.borrow().machine.is_hub()
    }

    /// Watches the configuration on hubs, to check its version as soon as it changes. The watched
    /// values themselves aren't used.
    pub(super) async fn watch_for_changes(self: Rc<Self>) {
        loop {
            if self.is_hub() {
                self.watch_config().await;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn watch_config(self: &Rc<Self>) {
        let from = self.state.borrow().machine.cache().version() + 1;
        let watch = self.platform.key_value.watch(&self.keys.config, from);
        let Ok(mut notices) = watch.await else { return };
        while let Some(notice) = notices.recv().await {
            match notice {
                Notice::Changes(_) => {
                    // One version check covers all changes received so far.
                    while notices.try_recv().is_ok() {}
                    self.clone().confirm().await;
                }
                Notice::Progress(_) => {}
                Notice::TooOld => return,
            }
        }
    }

    /// Maintains this VM's lease and description.
    pub(super) async fn register(self: Rc<Self>) {
        loop {
            let pause = match self.keep_registration().await {
                Ok(()) => RENEW_INTERVAL,
                Err(_) => RETRY_INTERVAL,
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Writes this VM's description if it changed and renews its lease.
    pub(super) async fn keep_registration(&self) -> Result<()> {
        let own = self.state.borrow().own.clone();
        self.registration.lock().await.ensure(&own).await
    }

    /// Tracks the lease entries of all VMs, on hubs.
    pub(super) async fn sync_leases(self: Rc<Self>) {
        loop {
            if self.is_hub() {
                let _ = tokio::time::timeout(RELIST_INTERVAL, self.watch_leases()).await;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn watch_leases(&self) -> Result<()> {
        let range = self.platform.key_value.range(&self.keys.vms).await?;
        let mut leased: BTreeMap<Vm, DataCentre> = BTreeMap::new();
        for entry in &range.entries {
            self.set_lease(&mut leased, &entry.key, Some(&entry.value));
        }
        self.state.borrow_mut().roster.set_leased(leased.clone());
        let watch = self.platform.key_value.watch(&self.keys.vms, range.version + 1);
        let mut notices = watch.await?;
        while let Some(notice) = notices.recv().await {
            let changes = match notice {
                Notice::Changes(changes) => changes,
                Notice::Progress(_) => continue,
                Notice::TooOld => return Ok(()),
            };
            for change in changes {
                self.set_lease(&mut leased, &change.key, change.value.as_deref());
            }
            self.state.borrow_mut().roster.set_leased(leased.clone());
        }
        Ok(())
    }

    fn set_lease(&self, leased: &mut BTreeMap<Vm, DataCentre>, key: &str, value: Option<&[u8]>) {
        let Some(name) = key.strip_prefix(&self.keys.vms) else { return };
        match value.and_then(|value| std::str::from_utf8(value).ok()) {
            Some(data_centre) => leased.insert(name.into(), data_centre.into()),
            None => leased.remove(&Vm::from(name)),
        };
    }

    /// Polls the VM list, on hubs.
    pub(super) async fn sync_vm_list(self: Rc<Self>) {
        let Some(list) = self.platform.vm_list.clone() else { return };
        loop {
            if self.is_hub()
                && let Ok(listed) = list.list().await
            {
                self.apply_vm_list(&listed);
            }
            tokio::time::sleep(LIST_INTERVAL).await;
        }
    }

    fn apply_vm_list(&self, listed: &[VmInfo]) {
        let leaving = listed.iter().filter(|listed| listed.state == State::Leaving);
        let leaving: BTreeSet<String> = leaving.map(|listed| listed.vm.to_string()).collect();
        let all = listed.iter().map(|listed| listed.vm.clone()).collect();
        {
            let inner = &mut *self.state.borrow_mut();
            inner.roster.set_listed(all);
            inner.machine.set_terminated(inner.roster.terminated(inner.machine.table()));
            inner.listed_leaving = leaving;
        }
        self.refresh_leaving();
    }

    /// Writes the next member table when the members change, on hubs.
    pub(super) async fn update_table(self: Rc<Self>) {
        loop {
            let jitter = rand::random_range(0.5..1.5);
            tokio::time::sleep(TABLE_INTERVAL.mul_f64(jitter)).await;
            let reachable = self.state.borrow().machine.platform_reachable();
            if !reachable || !self.is_hub() {
                continue;
            }
            let Some(swap) = self.next_table() else { continue };
            if self.platform.key_value.swap_marked(swap, &self.keys.marker).await.is_ok() {
                let _ = self.catch_up().await;
                self.state.borrow_mut().machine.propagate(self.now());
            }
        }
    }

    fn next_table(&self) -> Option<Swap> {
        let now = self.now();
        let Inner { machine, roster, .. } = &mut *self.state.borrow_mut();
        let (table, cache) = (machine.table().clone(), machine.cache());
        let desired = roster.desired_members(now, &table, |vm| is_deregistered(cache, vm));
        // A VM without a description has no known address, so it can't be called.
        let described = |vm: &Vm| cache.get(&vm_key(vm)).is_some();
        let desired = desired.into_iter().filter(|(vm, _)| described(vm)).collect();
        let table_record = machine.next_table(now, &desired, &write_id())?;
        Some(Swap {
            key: format!("{}{TABLE_KEY}", self.keys.config),
            expected: table.version,
            value: Some(
                serde_json::to_vec(&table_record).expect("table record serializes to JSON"),
            ),
            lease: None,
        })
    }
}
