//! Following the platform: versions, leases, the VM list.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use super::register::{RENEW_INTERVAL, fresh};
use super::shell::{Known, Shell};
use crate::config::{Delta, Item, Record, Revision};
use crate::emit;
use crate::error::{Error, Result};
use crate::event::Event;
use crate::id::{DataCentre, Vm};
use crate::kv::{Entry, Notice, Swap, VmInfo};
use crate::member::{TABLE_KEY, has_departed, vm_key};
use crate::view::State;

/// Time between readings of the VM list, by hubs.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time between looks at the table of members, by hubs.
const TABLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after a failure before the next try.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which leases are read anew, in case a watch went silent.
const RELIST_INTERVAL: Duration = Duration::from_secs(60);

impl Shell {
    /// Confirms the configuration's version and catches up with it.
    pub(super) async fn confirm(self: Rc<Self>) {
        let asked = self.now();
        let result = self.platform.key_value.get(&self.keys.marker).await;
        let behind = match &result {
            Ok(entry) => {
                let version = entry.as_ref().map_or(0, |entry| entry.version);
                self.state.borrow_mut().machine.on_confirmed(asked, version)
            }
            Err(_) => {
                let now = self.now();
                self.state.borrow_mut().machine.on_confirm_failed(now, rand::random());
                false
            }
        };
        self.note_reachable(result.err());
        if behind {
            let _ = self.catch_up().await;
        }
        self.refresh_contact();
    }

    /// Reads the writes that this VM lacks.
    pub(super) async fn catch_up(&self) -> Result<()> {
        let from = self.state.borrow().machine.cache().version();
        let range = self.platform.key_value.since(&self.keys.config, from).await?;
        let to = range.entries.iter().map(|entry| entry.version).max().unwrap_or(from);
        let items = range.entries.into_iter().map(|entry| self.item(entry)).collect();
        self.adopt(Delta { from, to, floor: 0, items });
        Ok(())
    }

    fn item(&self, entry: Entry) -> Item {
        let key = entry.key.strip_prefix(&self.keys.config).unwrap_or(&entry.key).to_owned();
        // Whatever isn't a resource's tombstone is kept as it is.
        let live = Record::decode(&entry.value).is_none_or(|stored| stored.spec.is_some());
        let value = live.then(|| entry.value.into());
        Item { key, revision: Revision { version: entry.version, value } }
    }

    fn note_reachable(&self, failure: Option<Error>) {
        let mut known = self.state.borrow_mut();
        match &failure {
            Some(error) if known.reachable => {
                emit!(self.context.log, Event::PlatformLost, "reason" => &error.detail);
            }
            None if !known.reachable => emit!(self.context.log, Event::PlatformBack),
            _ => {}
        }
        known.reachable = failure.is_none();
    }

    fn is_hub(&self) -> bool {
        self.state.borrow().machine.is_hub()
    }

    /// Waits for changes only to confirm at once; what it brings isn't used.
    pub(super) async fn hint(self: Rc<Self>) {
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
                    // One confirmation covers all changes that came by now.
                    while notices.try_recv().is_ok() {}
                    self.clone().confirm().await;
                }
                Notice::Progress(_) => {}
                Notice::TooOld => return,
            }
        }
    }

    /// Keeps this VM's lease and description.
    pub(super) async fn register(self: Rc<Self>) {
        loop {
            let pause = match self.keep_registration().await {
                Ok(()) => RENEW_INTERVAL,
                Err(_) => RETRY_INTERVAL,
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Writes this VM's lease and description where they differ.
    pub(super) async fn keep_registration(&self) -> Result<()> {
        let own = self.state.borrow().own.clone();
        self.registration.lock().await.keep(&own).await
    }

    /// Follows the leased entries of all VMs, on hubs.
    pub(super) async fn follow_leases(self: Rc<Self>) {
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
            Some(centre) => leased.insert(name.into(), centre.into()),
            None => leased.remove(&Vm::from(name)),
        };
    }

    /// Reads the VM list, on hubs.
    pub(super) async fn follow_list(self: Rc<Self>) {
        let Some(list) = self.platform.vm_list.clone() else { return };
        loop {
            if self.is_hub()
                && let Ok(listed) = list.list().await
            {
                self.take_list(&listed);
            }
            tokio::time::sleep(LIST_INTERVAL).await;
        }
    }

    fn take_list(&self, listed: &[VmInfo]) {
        let leaving = listed.iter().filter(|listed| listed.state == State::Leaving);
        let leaving: BTreeSet<String> = leaving.map(|listed| listed.vm.to_string()).collect();
        let all = listed.iter().map(|listed| listed.vm.clone()).collect();
        {
            let known = &mut *self.state.borrow_mut();
            known.roster.set_listed(all);
            known.machine.set_terminated(known.roster.terminated(known.machine.table()));
            known.listed_leaving = leaving;
        }
        self.refresh_leaving();
    }

    /// Publishes the table of members when it should change, on hubs.
    pub(super) async fn publish_tables(self: Rc<Self>) {
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
        let Known { machine, roster, .. } = &mut *self.state.borrow_mut();
        let (table, cache) = (machine.table().clone(), machine.cache());
        let wanted = roster.desired_members(now, &table, |vm| has_departed(cache, vm));
        // A VM that isn't described yet can't be called.
        let described = |vm: &Vm| cache.get(&vm_key(vm)).is_some();
        let wanted = wanted.into_iter().filter(|(vm, _)| described(vm)).collect();
        let stored = machine.next_table(now, &wanted, &fresh())?;
        Some(Swap {
            key: format!("{}{TABLE_KEY}", self.keys.config),
            expected: table.version,
            value: Some(serde_json::to_vec(&stored).expect("plain data becomes JSON")),
            lease: None,
        })
    }
}
