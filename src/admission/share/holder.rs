//! One VM as a holder of shares.
//!
//! Its slices may be spent until a deadline that belongs to the epoch it has
//! adopted. The deadline moves when the platform's service is seen to hold
//! that epoch, when a majority of the table's holders report no newer one, or
//! when a peer of the same epoch passes its own deadline on. A table settles
//! only once every deadline of older epochs has passed, so a holder that was
//! cut off or paused finds its own deadline passed before anyone else spends
//! its share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::{Buckets, Denial, Slice, Table};
use crate::clock::Time;
use crate::id::{Organisation, Vm};

/// How long a confirmation of the table holds, from the moment it was asked.
pub const VALIDITY: Duration = Duration::from_secs(5);
/// Time left below which the holder asks the platform itself.
const LOW: Duration = Duration::from_millis(3_500);
/// Time left below which the holder asks all other holders.
const VERY_LOW: Duration = Duration::from_millis(2_500);
/// How long a lender that didn't answer isn't asked again.
const LENDER_PAUSE: Duration = Duration::from_millis(200);

/// What a VM says about the table it has adopted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Incarnation that speaks.
    pub incarnation: u64,
    /// Epoch of its table; zero without one.
    pub epoch: u64,
    /// Whether it knows that epoch as settled.
    pub settled: bool,
    /// Epoch that its spending and its loans fit.
    pub adopted: u64,
    /// Time left to its deadline.
    pub remaining: Duration,
}

/// What a holder wants to know next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Queries {
    /// Read the table from the platform's service.
    pub platform: bool,
    /// Ask these VMs for their report.
    pub peers: BTreeSet<Vm>,
}

/// State of one VM.
#[derive(Clone, Debug)]
pub struct Holder {
    vm: Vm,
    incarnation: u64,
    buckets: Buckets,
    table: Arc<Table>,
    heard: BTreeMap<Vm, Time>,
    adopted: u64,
    empty_until: BTreeMap<(Organisation, Vm), Time>,
}

impl Holder {
    /// A VM that has just started: it holds nothing.
    pub fn new(vm: Vm, incarnation: u64) -> Self {
        Self {
            vm,
            incarnation,
            buckets: Buckets::default(),
            table: Arc::default(),
            heard: BTreeMap::new(),
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

    /// Until when the slices may be spent.
    pub fn valid_until(&self) -> Time {
        self.buckets.valid_until()
    }

    /// Adopts a newer table or step; false when it isn't newer.
    pub fn adopt(&mut self, table: Arc<Table>, now: Time) -> bool {
        if table.step() <= self.table.step() {
            return false;
        }
        let new = table.slices(&self.vm, self.incarnation);
        let slices = if table.settled { new } else { self.smaller(&table, new) };
        self.buckets.set(&slices, now);
        self.heard.clear();
        self.empty_until.clear();
        self.table = table;
        true
    }

    /// The platform's service held this step of the table when it was asked.
    pub fn confirm(&mut self, step: (u64, bool), asked: Time, now: Time) {
        if step == self.table.step() {
            self.buckets.extend(asked.after(VALIDITY), now);
        }
    }

    /// A peer answered a question asked at `asked`.
    pub fn observe_report(&mut self, peer: &Vm, report: &Report, asked: Time, now: Time) {
        let known = self.table.holders.get(peer);
        // A later incarnation may have adopted any table since: it proves nothing.
        let same = known.is_some_and(|holding| holding.incarnation == report.incarnation);
        if !same || report.epoch == 0 || report.epoch > self.table.epoch {
            return;
        }
        if report.epoch == self.table.epoch {
            self.buckets.extend(asked.after(report.remaining.min(VALIDITY)), now);
        }
        self.heard.insert(peer.clone(), asked);
        let own = self.table.holders.get(&self.vm);
        if own.is_some_and(|holding| holding.incarnation == self.incarnation) {
            self.heard.insert(self.vm.clone(), now);
        }
        let mut times: Vec<Time> = self.heard.values().copied().collect();
        times.sort_by_key(|time| std::cmp::Reverse(*time));
        if let Some(oldest) = times.get(self.table.majority() - 1) {
            self.buckets.extend(oldest.after(VALIDITY), now);
        }
    }

    /// What this VM tells its peers and the publisher.
    pub fn report(&mut self, now: Time) -> Report {
        if self.buckets.settled(now) {
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

    /// What to ask now; `readers` are the VMs that read the platform's service
    /// for their data centre.
    pub fn queries(&self, readers: &[Vm], now: Time) -> Queries {
        let left = now.until(self.valid_until());
        let reads = readers.contains(&self.vm);
        let mut peers: BTreeSet<Vm> = BTreeSet::new();
        if !reads {
            peers.extend(readers.iter().cloned());
        }
        if left < VERY_LOW {
            peers.extend(self.table.holders.keys().cloned());
        }
        peers.remove(&self.vm);
        Queries { platform: reads || left < LOW, peers }
    }

    /// Takes one token from the own slice or what was borrowed.
    pub fn take(&mut self, organisation: &Organisation, now: Time) -> Result<(), Denial> {
        self.buckets.take(organisation, now)
    }

    /// Gives the latest grant back.
    pub fn refund(&mut self, organisation: &Organisation, now: Time) {
        self.buckets.refund(organisation, now);
    }

    /// Millionths that are missing for one token.
    pub fn missing(&self, organisation: &Organisation) -> u64 {
        self.buckets.missing(organisation)
    }

    /// Lends `want` millionths or none, and says when as many will
    /// be here again.
    pub fn lend(&mut self, organisation: &Organisation, want: u64, now: Time) -> (u64, Time) {
        let count = self.buckets.lend(organisation, want, now);
        (count, self.buckets.next(organisation, want, now))
    }

    /// Whom to borrow from: the largest holder that isn't known to be empty.
    pub fn lender(&self, organisation: &Organisation, now: Time) -> Option<Vm> {
        let holds = |holding: &super::Allocation| holding.slices.get(organisation).copied();
        let others = self.table.holders.iter().filter(|(vm, _)| **vm != self.vm);
        let able = others.filter(|(vm, _)| {
            let empty = self.empty_until.get(&(organisation.clone(), (*vm).clone()));
            empty.is_none_or(|until| until.passed(now))
        });
        let slices = able.filter_map(|(vm, holding)| Some((holds(holding)?.rate, vm)));
        slices.max().map(|(_, vm)| vm.clone())
    }

    /// Takes lent millionths in, unless they come too late.
    pub fn receive(&mut self, organisation: &Organisation, count: u64, asked: Time, now: Time) {
        self.buckets.receive(organisation, count, asked, now);
    }

    /// A lender has nothing before `next`; none: it didn't answer.
    pub fn mark_empty(
        &mut self,
        organisation: &Organisation,
        lender: Vm,
        next: Option<Time>,
        now: Time,
    ) {
        let until = next.unwrap_or_else(|| now.after(LENDER_PAUSE));
        self.empty_until.insert((organisation.clone(), lender), until);
    }

    /// When a token may come to this VM or to a lender.
    pub fn next_token(&self, organisation: &Organisation, now: Time) -> Time {
        let own = self.buckets.next_token(organisation, now);
        let lenders = self.empty_until.iter().filter(|((name, _), _)| name == organisation);
        lenders.map(|(_, until)| *until).chain([own]).min().unwrap_or(own).max(now)
    }

    fn smaller(
        &self,
        table: &Table,
        new: BTreeMap<Organisation, Slice>,
    ) -> BTreeMap<Organisation, Slice> {
        // What was held more than one epoch ago may be another's by now.
        if self.table.epoch + 1 < table.epoch {
            return BTreeMap::new();
        }
        let old = self.buckets.slices();
        let held = |name: &Organisation| old.get(name).copied().unwrap_or_default();
        new.into_iter().map(|(name, slice)| (name.clone(), slice.min(held(&name)))).collect()
    }
}
