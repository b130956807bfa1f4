//! State of the key-value service, without clock or I/O.

use std::collections::{BTreeMap, VecDeque};

use super::json::{Bytes, Int};
use super::message::{
    Compare, CompareResult, DeleteRangeResponse, Event, Header, KeyValue, Keys, LeaseCall,
    LeaseResponse, Operation, Put, PutResponse, RangeResponse, ResponseOp, Target, Txn,
    TxnResponse, Watch, WatchResponse,
};

/// Maximum number of events kept for watches; beyond it, the older half is compacted.
const MAX_HISTORY_EVENTS: usize = 100_000;
/// Range end that stands for an unbounded range.
const UNBOUNDED_END: &[u8] = &[0];

/// Error for a request that names an unknown lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("etcdserver: requested lease not found")]
pub struct LeaseNotFound;

struct LeaseState {
    ttl: i64,
    expires_ms: u64,
}

/// Keys, leases and recent events. Times are in milliseconds.
#[derive(Default)]
pub struct Store {
    revision: i64,
    compacted: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    history: VecDeque<Event>,
    leases: BTreeMap<i64, LeaseState>,
    last_lease: i64,
}

impl Store {
    /// Creates an empty store at revision 1.
    pub fn new() -> Self {
        Self { revision: 1, ..Self::default() }
    }

    /// Returns the revision of the store.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    fn header(&self) -> Header {
        Header { revision: Int(self.revision) }
    }

    /// Returns the keys in a range, up to the limit, and the total count.
    pub fn range(&self, keys: &Keys) -> RangeResponse {
        let all = self.matching_keys(&keys.key, &keys.range_end);
        let count = all.len();
        let limit = if keys.limit.0 > 0 { keys.limit.0 as usize } else { count };
        let kvs: Vec<_> = all.into_iter().take(limit).cloned().collect();
        let more = kvs.len() < count;
        RangeResponse { header: self.header(), kvs, count: Int(count as i64), more }
    }

    fn matching_keys(&self, key: &Bytes, end: &Bytes) -> Vec<&KeyValue> {
        self.keys
            .range(key.0.clone()..)
            .take_while(|(name, _)| in_range(name, key, end))
            .map(|(_, kv)| kv)
            .collect()
    }

    /// Writes one key; fails if its lease is unknown.
    pub fn put(&mut self, put: Put) -> Result<PutResponse, LeaseNotFound> {
        self.check_lease(&put)?;
        self.revision += 1;
        self.write(put);
        Ok(PutResponse { header: self.header() })
    }

    /// Deletes the keys in a range.
    pub fn delete(&mut self, keys: &Keys) -> DeleteRangeResponse {
        let names = self.matching_names(keys);
        if !names.is_empty() {
            self.revision += 1;
        }
        self.remove_keys(&names);
        DeleteRangeResponse { header: self.header(), deleted: Int(names.len() as i64) }
    }

    /// Runs the success or failure branch of a transaction as one revision.
    pub fn txn(&mut self, txn: Txn) -> Result<TxnResponse, LeaseNotFound> {
        let succeeded = txn.compare.iter().all(|compare| self.compare_succeeds(compare));
        let operations = if succeeded { txn.success } else { txn.failure };
        for put in operations.iter().filter_map(|operation| operation.request_put.as_ref()) {
            self.check_lease(put)?;
        }
        let writes = operations.iter().any(|operation| self.modifies(operation));
        if writes {
            self.revision += 1;
        }
        let responses =
            operations.into_iter().filter_map(|operation| self.apply(operation)).collect();
        Ok(TxnResponse { header: self.header(), succeeded, responses })
    }

    fn modifies(&self, operation: &Operation) -> bool {
        let deletes = |keys| !self.matching_names(keys).is_empty();
        operation.request_put.is_some()
            || operation.request_delete_range.as_ref().is_some_and(deletes)
    }

    fn apply(&mut self, operation: Operation) -> Option<ResponseOp> {
        if let Some(keys) = operation.request_range {
            return Some(ResponseOp::ResponseRange(self.range(&keys)));
        }
        if let Some(put) = operation.request_put {
            self.write(put);
            return Some(ResponseOp::ResponsePut(PutResponse { header: self.header() }));
        }
        let names = self.matching_names(&operation.request_delete_range?);
        self.remove_keys(&names);
        let deleted = Int(names.len() as i64);
        Some(ResponseOp::ResponseDeleteRange(DeleteRangeResponse {
            header: self.header(),
            deleted,
        }))
    }

    fn compare_succeeds(&self, compare: &Compare) -> bool {
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
            CompareResult::Equal => order.is_eq(),
            CompareResult::Greater => order.is_gt(),
            CompareResult::Less => order.is_lt(),
            CompareResult::NotEqual => order.is_ne(),
        }
    }

    /// Grants a lease; an ID of zero gets the next free one, and the TTL is at least 1 s.
    pub fn grant(&mut self, request: &LeaseCall, now_ms: u64) -> LeaseResponse {
        self.last_lease += 1;
        let id = if request.id.is_zero() { self.last_lease } else { request.id.0 };
        let ttl = request.ttl.0.max(1);
        self.leases.insert(id, LeaseState { ttl, expires_ms: now_ms + ttl as u64 * 1_000 });
        LeaseResponse { header: self.header(), id: Int(id), ttl: Int(ttl) }
    }

    /// Renews a lease; the TTL of the response is zero if the lease is unknown or has expired.
    pub fn keep_alive(&mut self, id: Int, now_ms: u64) -> LeaseResponse {
        self.expire(now_ms);
        let header = self.header();
        let Some(lease) = self.leases.get_mut(&id.0) else {
            return LeaseResponse { header, id, ttl: Int(0) };
        };
        lease.expires_ms = now_ms + lease.ttl as u64 * 1_000;
        LeaseResponse { header, id, ttl: Int(lease.ttl) }
    }

    /// Revokes a lease and deletes its keys.
    pub fn revoke(&mut self, id: Int) -> Result<LeaseResponse, LeaseNotFound> {
        self.leases.remove(&id.0).ok_or(LeaseNotFound)?;
        let names: Vec<_> =
            self.keys.values().filter(|kv| kv.lease == id).map(|kv| kv.key.0.clone()).collect();
        if !names.is_empty() {
            self.revision += 1;
        }
        self.remove_keys(&names);
        Ok(LeaseResponse { header: self.header(), ..LeaseResponse::default() })
    }

    /// Revokes the leases that have expired.
    pub fn expire(&mut self, now_ms: u64) {
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_ms <= now_ms)
            .map(|(id, _)| Int(*id))
            .collect();
        for id in expired {
            let _ = self.revoke(id);
        }
    }

    /// Drops the events older than `revision`.
    pub fn compact(&mut self, revision: i64) {
        self.compacted = self.compacted.max(revision.min(self.revision));
        let compacted = self.compacted;
        self.history.retain(|event| event.kv.mod_revision.0 >= compacted);
    }

    /// Returns the events of a watch from revision `from` on, or cancels it if they were compacted.
    pub fn changes_since(&self, watch: &Watch, from: i64) -> WatchResponse {
        let header = self.header();
        if from < self.compacted {
            let compact_revision = Int(self.compacted);
            return WatchResponse {
                header,
                canceled: true,
                compact_revision,
                ..WatchResponse::default()
            };
        }
        let start = self.history.partition_point(|event| event.kv.mod_revision.0 < from);
        let events = self
            .history
            .range(start..)
            .filter(|event| in_range(&event.kv.key.0, &watch.key, &watch.range_end))
            .cloned()
            .collect();
        WatchResponse { header, events, ..WatchResponse::default() }
    }

    fn check_lease(&self, put: &Put) -> Result<(), LeaseNotFound> {
        let known = put.lease.is_zero() || self.leases.contains_key(&put.lease.0);
        known.then_some(()).ok_or(LeaseNotFound)
    }

    fn matching_names(&self, keys: &Keys) -> Vec<Vec<u8>> {
        self.matching_keys(&keys.key, &keys.range_end).iter().map(|kv| kv.key.0.clone()).collect()
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
        self.record(Event { kind: None, kv });
    }

    fn remove_keys(&mut self, names: &[Vec<u8>]) {
        for name in names {
            self.keys.remove(name);
            let kv = KeyValue {
                key: Bytes(name.clone()),
                mod_revision: Int(self.revision),
                ..KeyValue::default()
            };
            self.record(Event { kind: Some("DELETE"), kv });
        }
    }

    fn record(&mut self, event: Event) {
        self.history.push_back(event);
        if self.history.len() > MAX_HISTORY_EVENTS {
            let oldest = self.history[MAX_HISTORY_EVENTS / 2].kv.mod_revision.0;
            self.compact(oldest);
        }
    }
}

fn in_range(name: &[u8], key: &Bytes, end: &Bytes) -> bool {
    if end.is_empty() {
        return name == key.0;
    }
    name >= key.0.as_slice() && (end.0 == UNBOUNDED_END || name < end.0.as_slice())
}
