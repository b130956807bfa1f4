//! State of one VM that holds shares.
//!
//! The VM may spend its slices until a deadline that is bound to the epoch it has adopted. The
//! deadline is extended when the platform's key-value service holds that epoch, when a majority
//! of the table's holders report no newer one, or when a peer of the same epoch passes on its own
//! deadline. A table settles only after every deadline of older epochs has passed. A holder that
//! was partitioned or paused is therefore past its own deadline before any other VM spends its
//! share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::{Buckets, Denial, Slice, Table};
use crate::clock::Time;
use crate::id::{Organisation, Vm};

/// How long a confirmation of the table is valid, from the time of the query.
pub const VALIDITY: Duration = Duration::from_secs(5);
/// Remaining validity below which the holder queries the platform itself.
const PLATFORM_QUERY_THRESHOLD: Duration = Duration::from_millis(3_500);
/// Remaining validity below which the holder queries all other holders.
const PEER_QUERY_THRESHOLD: Duration = Duration::from_millis(2_500);
/// Delay before a lender that didn't answer is asked again.
const LENDER_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A VM's report on the table it has adopted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Incarnation of the reporting VM.
    pub incarnation: u64,
    /// Epoch of its table; zero if it has none.
    pub epoch: u64,
    /// Whether its table is settled.
    pub settled: bool,
    /// Latest epoch within whose slices its balances and outstanding loans fit.
    pub adopted: u64,
    /// Time until its deadline.
    pub remaining: Duration,
}

/// Queries that a holder needs to send.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Queries {
    /// Whether to read the table from the platform's key-value service.
    pub platform: bool,
    /// VMs to query for their report.
    pub peers: BTreeSet<Vm>,
}

/// Share state of one VM.
#[derive(Clone, Debug)]
pub struct Holder {
    vm: Vm,
    incarnation: u64,
    buckets: Buckets,
    table: Arc<Table>,
    confirmed_at: BTreeMap<Vm, Time>,
    adopted: u64,
    empty_until: BTreeMap<(Organisation, Vm), Time>,
}

impl Holder {
    /// Creates the state of a VM that has just started and holds nothing.
    pub fn new(vm: Vm, incarnation: u64) -> Self {
        Self {
            vm,
            incarnation,
            buckets: Buckets::default(),
            table: Arc::default(),
            confirmed_at: BTreeMap::new(),
            adopted: 0,
            empty_until: BTreeMap::new(),
        }
    }

    /// The adopted table.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// The incarnation that holds the slices.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Deadline until which the slices may be spent.
    pub fn valid_until(&self) -> Time {
        self.buckets.valid_until()
    }

    /// Adopts a newer table or step; returns false if it isn't newer.
    pub fn adopt(&mut self, table: Arc<Table>, now: Time) -> bool {
        if table.step() <= self.table.step() {
            return false;
        }
        let new = table.slices(&self.vm, self.incarnation);
        let slices = if table.settled { new } else { self.limit_to_held(&table, new) };
        self.buckets.set(&slices, now);
        self.confirmed_at.clear();
        self.empty_until.clear();
        self.table = table;
        true
    }

    /// Records that the key-value service held this step of the table when queried at
    /// `requested_at`.
    pub fn confirm(&mut self, step: (u64, bool), requested_at: Time, now: Time) {
        if step == self.table.step() {
            self.buckets.extend(requested_at.after(VALIDITY), now);
        }
    }

    /// Records a peer's answer to a query sent at `requested_at`.
    pub fn observe_report(&mut self, peer: &Vm, report: &Report, requested_at: Time, now: Time) {
        let known = self.table.holders.get(peer);
        // A later incarnation may have adopted any table since, so its report proves nothing.
        let same_incarnation =
            known.is_some_and(|allocation| allocation.incarnation == report.incarnation);
        if !same_incarnation || report.epoch == 0 || report.epoch > self.table.epoch {
            return;
        }
        if report.epoch == self.table.epoch {
            self.buckets.extend(requested_at.after(report.remaining.min(VALIDITY)), now);
        }
        self.confirmed_at.insert(peer.clone(), requested_at);
        let own = self.table.holders.get(&self.vm);
        if own.is_some_and(|allocation| allocation.incarnation == self.incarnation) {
            self.confirmed_at.insert(self.vm.clone(), now);
        }
        let mut times: Vec<Time> = self.confirmed_at.values().copied().collect();
        times.sort_by_key(|time| std::cmp::Reverse(*time));
        if let Some(oldest) = times.get(self.table.majority() - 1) {
            self.buckets.extend(oldest.after(VALIDITY), now);
        }
    }

    /// This VM's report to its peers and the publisher.
    pub fn report(&mut self, now: Time) -> Report {
        if self.buckets.loans_fit(now) {
            self.adopted = self.table.epoch;
        }
        Report {
            incarnation: self.incarnation,
            epoch: self.table.epoch,
            settled: self.table.settled,
            adopted: self.adopted,
            remaining: now.until(self.valid_until()),
        }
    }

    /// Queries to send now; `readers` are the VMs that read the key-value service for their data
    /// centre.
    pub fn queries(&self, readers: &[Vm], now: Time) -> Queries {
        let remaining = now.until(self.valid_until());
        let reads = readers.contains(&self.vm);
        let mut peers: BTreeSet<Vm> = BTreeSet::new();
        if !reads {
            peers.extend(readers.iter().cloned());
        }
        if remaining < PEER_QUERY_THRESHOLD {
            peers.extend(self.table.holders.keys().cloned());
        }
        peers.remove(&self.vm);
        Queries { platform: reads || remaining < PLATFORM_QUERY_THRESHOLD, peers }
    }

    /// Takes one token, borrowed or from this VM's slice.
    pub fn take(&mut self, organisation: &Organisation, now: Time) -> Result<(), Denial> {
        self.buckets.take(organisation, now)
    }

    /// Refunds the latest grant.
    pub fn refund(&mut self, organisation: &Organisation, now: Time) {
        self.buckets.refund(organisation, now);
    }

    /// Millionths missing to a whole token.
    pub fn missing(&self, organisation: &Organisation) -> u64 {
        self.buckets.missing(organisation)
    }

    /// Lends `want` millionths or none; also returns the time at which as many are available
    /// again.
    pub fn lend(&mut self, organisation: &Organisation, want: u64, now: Time) -> (u64, Time) {
        let count = self.buckets.lend(organisation, want, now);
        (count, self.buckets.available_at(organisation, want, now))
    }

    /// VM to borrow from: the holder of the largest slice that isn't known to be empty.
    pub fn lender(&self, organisation: &Organisation, now: Time) -> Option<Vm> {
        let slice_of =
            |allocation: &super::Allocation| allocation.slices.get(organisation).copied();
        let others = self.table.holders.iter().filter(|(vm, _)| **vm != self.vm);
        let candidates = others.filter(|(vm, _)| {
            let empty = self.empty_until.get(&(organisation.clone(), (*vm).clone()));
            empty.is_none_or(|until| until.passed(now))
        });
        let slices =
            candidates.filter_map(|(vm, allocation)| Some((slice_of(allocation)?.rate, vm)));
        slices.max().map(|(_, vm)| vm.clone())
    }

    /// Adds borrowed millionths, unless they have already expired.
    pub fn receive(
        &mut self,
        organisation: &Organisation,
        count: u64,
        requested_at: Time,
        now: Time,
    ) {
        self.buckets.receive(organisation, count, requested_at, now);
    }

    /// Records that a lender has no tokens before `next`; `None` means it didn't answer.
    pub fn mark_empty(
        &mut self,
        organisation: &Organisation,
        lender: Vm,
        next: Option<Time>,
        now: Time,
    ) {
        let until = next.unwrap_or_else(|| now.after(LENDER_RETRY_DELAY));
        self.empty_until.insert((organisation.clone(), lender), until);
    }

    /// Earliest time at which this VM or a lender may have a token.
    pub fn next_token(&self, organisation: &Organisation, now: Time) -> Time {
        let own = self.buckets.next_token(organisation, now);
        let lenders = self.empty_until.iter().filter(|((name, _), _)| name == organisation);
        lenders.map(|(_, until)| *until).chain([own]).min().unwrap_or(own).max(now)
    }

    fn limit_to_held(
        &self,
        table: &Table,
        new: BTreeMap<Organisation, Slice>,
    ) -> BTreeMap<Organisation, Slice> {
        // A slice held more than one epoch ago may belong to another VM by now.
        if self.table.epoch + 1 < table.epoch {
            return BTreeMap::new();
        }
        let old = self.buckets.slices();
        let held = |name: &Organisation| old.get(name).copied().unwrap_or_default();
        new.into_iter().map(|(name, slice)| (name.clone(), slice.min(held(&name)))).collect()
    }
}
