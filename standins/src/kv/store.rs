//! The state of the key-value service, without clock or socket.

use std::collections::{BTreeMap, VecDeque};

use super::json::{Bytes, Int};
use super::message::{
    Answer, Compare, Deleted, Done, Event, Found, Header, KeyValue, Keys, Lease, LeaseCall, Notice,
    Operation, Put, Target, Txn, Wanted, Watch, Written,
};

/// Changes that are kept for watches.
const HISTORY_EVENTS: usize = 100_000;
/// A range end that means: no end.
const NO_END: &[u8] = &[0];

/// A call that names a lease which doesn't exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("etcdserver: requested lease not found")]
pub struct NoLease;

struct Granted {
    ttl: i64,
    ends_ms: u64,
}

/// All keys, leases and recent changes. Times are milliseconds.
#[derive(Default)]
pub struct Store {
    revision: i64,
    compacted: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    history: VecDeque<Event>,
    leases: BTreeMap<i64, Granted>,
    last_lease: i64,
}

impl Store {
    /// An empty store.
    pub fn new() -> Self {
        Self { revision: 1, ..Self::default() }
    }

    /// Version of the whole state.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    fn header(&self) -> Header {
        Header { revision: Int(self.revision) }
    }

    /// Reads keys.
    pub fn range(&self, keys: &Keys) -> Found {
        let all = self.matching(&keys.key, &keys.range_end);
        let count = all.len();
        let most = if keys.limit.0 > 0 { keys.limit.0 as usize } else { count };
        let kvs: Vec<_> = all.into_iter().take(most).cloned().collect();
        let more = kvs.len() < count;
        Found { header: self.header(), kvs, count: Int(count as i64), more }
    }

    fn matching(&self, key: &Bytes, end: &Bytes) -> Vec<&KeyValue> {
        self.keys
            .range(key.0.clone()..)
            .take_while(|(name, _)| within(name, key, end))
            .map(|(_, kv)| kv)
            .collect()
    }

    /// Writes one key.
    pub fn put(&mut self, put: Put) -> Result<Written, NoLease> {
        self.check_lease(&put)?;
        self.revision += 1;
        self.write(put);
        Ok(Written { header: self.header() })
    }

    /// Deletes keys.
    pub fn delete(&mut self, keys: &Keys) -> Deleted {
        let names = self.names(keys);
        if !names.is_empty() {
            self.revision += 1;
        }
        self.erase(&names);
        Deleted { header: self.header(), deleted: Int(names.len() as i64) }
    }

    /// Runs a transaction.
    pub fn txn(&mut self, txn: Txn) -> Result<Done, NoLease> {
        let succeeded = txn.compare.iter().all(|compare| self.holds(compare));
        let operations = if succeeded { txn.success } else { txn.failure };
        for put in operations.iter().filter_map(|operation| operation.request_put.as_ref()) {
            self.check_lease(put)?;
        }
        let writes = operations.iter().any(|operation| self.changes(operation));
        if writes {
            self.revision += 1;
        }
        let responses = operations.into_iter().filter_map(|one| self.operate(one)).collect();
        Ok(Done { header: self.header(), succeeded, responses })
    }

    fn changes(&self, operation: &Operation) -> bool {
        let deletes = |keys| !self.names(keys).is_empty();
        operation.request_put.is_some()
            || operation.request_delete_range.as_ref().is_some_and(deletes)
    }

    fn operate(&mut self, operation: Operation) -> Option<Answer> {
        if let Some(keys) = operation.request_range {
            return Some(Answer::ResponseRange(self.range(&keys)));
        }
        if let Some(put) = operation.request_put {
            self.write(put);
            return Some(Answer::ResponsePut(Written { header: self.header() }));
        }
        let names = self.names(&operation.request_delete_range?);
        self.erase(&names);
        let deleted = Int(names.len() as i64);
        Some(Answer::ResponseDeleteRange(Deleted { header: self.header(), deleted }))
    }

    fn holds(&self, compare: &Compare) -> bool {
        let absent = KeyValue::default();
        let found = self.keys.get(&compare.key.0);
        let kv = found.unwrap_or(&absent);
        let order = match compare.target {
            Target::Version => kv.version.cmp(&compare.version),
            Target::Create => kv.create_revision.cmp(&compare.create_revision),
            Target::Mod => kv.mod_revision.cmp(&compare.mod_revision),
            Target::Value if found.is_none() => return false,
            Target::Value => kv.value.cmp(&compare.value),
        };
        match compare.result {
            Wanted::Equal => order.is_eq(),
            Wanted::Greater => order.is_gt(),
            Wanted::Less => order.is_lt(),
            Wanted::NotEqual => order.is_ne(),
        }
    }

    /// Grants a lease.
    pub fn grant(&mut self, call: &LeaseCall, now_ms: u64) -> Lease {
        self.last_lease += 1;
        let id = if call.id.is_zero() { self.last_lease } else { call.id.0 };
        let ttl = call.ttl.0.max(1);
        self.leases.insert(id, Granted { ttl, ends_ms: now_ms + ttl as u64 * 1_000 });
        Lease { header: self.header(), id: Int(id), ttl: Int(ttl) }
    }

    /// Renews a lease; the answer has no time to live if it has ended.
    pub fn keep_alive(&mut self, id: Int, now_ms: u64) -> Lease {
        self.expire(now_ms);
        let header = self.header();
        let Some(lease) = self.leases.get_mut(&id.0) else {
            return Lease { header, id, ttl: Int(0) };
        };
        lease.ends_ms = now_ms + lease.ttl as u64 * 1_000;
        Lease { header, id, ttl: Int(lease.ttl) }
    }

    /// Ends a lease and deletes its keys.
    pub fn revoke(&mut self, id: Int) -> Result<Lease, NoLease> {
        self.leases.remove(&id.0).ok_or(NoLease)?;
        let names: Vec<_> =
            self.keys.values().filter(|kv| kv.lease == id).map(|kv| kv.key.0.clone()).collect();
        if !names.is_empty() {
            self.revision += 1;
        }
        self.erase(&names);
        Ok(Lease { header: self.header(), ..Lease::default() })
    }

    /// Ends leases whose time has come.
    pub fn expire(&mut self, now_ms: u64) {
        let ended: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_ms <= now_ms)
            .map(|(id, _)| Int(*id))
            .collect();
        for id in ended {
            let _ = self.revoke(id);
        }
    }

    /// Forgets changes older than `revision`.
    pub fn compact(&mut self, revision: i64) {
        self.compacted = self.compacted.max(revision.min(self.revision));
        let compacted = self.compacted;
        self.history.retain(|event| event.kv.mod_revision.0 >= compacted);
    }

    /// Changes from `from` on, or a notice that they aren't kept.
    pub fn changes_since(&self, watch: &Watch, from: i64) -> Notice {
        let header = self.header();
        if from < self.compacted {
            let compact_revision = Int(self.compacted);
            return Notice { header, canceled: true, compact_revision, ..Notice::default() };
        }
        let start = self.history.partition_point(|event| event.kv.mod_revision.0 < from);
        let events = self
            .history
            .range(start..)
            .filter(|event| within(&event.kv.key.0, &watch.key, &watch.range_end))
            .cloned()
            .collect();
        Notice { header, events, ..Notice::default() }
    }

    fn check_lease(&self, put: &Put) -> Result<(), NoLease> {
        let known = put.lease.is_zero() || self.leases.contains_key(&put.lease.0);
        known.then_some(()).ok_or(NoLease)
    }

    fn names(&self, keys: &Keys) -> Vec<Vec<u8>> {
        self.matching(&keys.key, &keys.range_end).iter().map(|kv| kv.key.0.clone()).collect()
    }

    fn write(&mut self, put: Put) {
        let old = self.keys.get(&put.key.0);
        let kv = KeyValue {
            create_revision: old.map_or(Int(self.revision), |old| old.create_revision),
            mod_revision: Int(self.revision),
            version: Int(old.map_or(1, |old| old.version.0 + 1)),
            key: put.key,
            value: put.value,
            lease: put.lease,
        };
        self.keys.insert(kv.key.0.clone(), kv.clone());
        self.remember(Event { kind: None, kv });
    }

    fn erase(&mut self, names: &[Vec<u8>]) {
        for name in names {
            self.keys.remove(name);
            let kv = KeyValue {
                key: Bytes(name.clone()),
                mod_revision: Int(self.revision),
                ..KeyValue::default()
            };
            self.remember(Event { kind: Some("DELETE"), kv });
        }
    }

    fn remember(&mut self, event: Event) {
        self.history.push_back(event);
        if self.history.len() > HISTORY_EVENTS {
            let oldest = self.history[HISTORY_EVENTS / 2].kv.mod_revision.0;
            self.compact(oldest);
        }
    }
}

fn within(name: &[u8], key: &Bytes, end: &Bytes) -> bool {
    if end.is_empty() {
        return name == key.0;
    }
    name >= key.0.as_slice() && (end.0 == NO_END || name < end.0.as_slice())
}
