//! The state machine of one VM.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::hubs::Hubs;
use super::pushes::Pushes;
use super::tokens::{Tokens, span, units};
use super::{ANSWER_BOUND, CONTACT_BOUND, Evidence, Holders, Proof, Table, has_departed};
use crate::clock::Time;
use crate::config::{Adopted, Cache, Delta, Item};
use crate::id::{DataCentre, Vm};
use crate::wire::member::Heartbeat;

/// Time between two beats with the same peer.
const BEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two confirmations at the key-value service.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);
/// Longest pause between confirmations while the service fails.
const CONFIRM_BACKOFF: Duration = Duration::from_secs(2);
/// Time after which a confirmation under way is given up.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a write is pushed to members that don't hold it.
const PUSH_BOUND: Duration = Duration::from_secs(5);
/// Beats in a row that may fail before the next hub is tried.
const MAX_FAILURES: u32 = 2;

/// What the machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call this member with a beat.
    Heartbeat(Vm, Heartbeat),
    /// Ask the key-value service for the configuration's current version.
    Confirm,
    /// Ask this member for the writes after this VM's version.
    Fetch(Vm),
    /// Give this member what it lacks; it answers with the version it holds.
    Push(Vm, Delta),
}

/// What is known of a peer that beats are exchanged with.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    token: Option<u32>,
    due: Time,
    failures: u32,
    leaving: bool,
    leaving_digest: u32,
}

/// The state machine of one VM.
#[derive(Clone, Debug)]
pub struct Machine {
    own: Vm,
    centre: DataCentre,
    start: Time,
    tokens: Tokens,
    cache: Cache,
    /// Version that was held before the last one was adopted.
    before: u64,
    table: Table,
    hubs: Hubs,
    evidence: Evidence,
    holders: Holders,
    pushes: Pushes,
    peers: HashMap<Vm, Peer>,
    gone: BTreeSet<Vm>,
    voting: bool,
    leaving: bool,
    leaving_digest: u32,
    reachable: bool,
    failures: u32,
    confirm_due: Time,
}

impl Machine {
    /// Starts at `now`; `offset` is random and differs with each start.
    pub fn new(own: Vm, centre: DataCentre, now: Time, offset: u32) -> Self {
        Self {
            own,
            centre,
            start: now,
            tokens: Tokens::new(offset),
            cache: Cache::default(),
            before: 0,
            table: Table::default(),
            hubs: Hubs::default(),
            evidence: Evidence::default(),
            holders: Holders::default(),
            pushes: Pushes::default(),
            peers: HashMap::new(),
            gone: BTreeSet::new(),
            voting: false,
            leaving: false,
            leaving_digest: 0,
            reachable: true,
            failures: 0,
            confirm_due: now,
        }
    }

    /// The configuration that this VM holds.
    pub fn cache(&self) -> &Cache {
        &self.cache
    }

    /// The table of members that this VM holds.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Whether the last call to the key-value service succeeded.
    pub fn platform_reachable(&self) -> bool {
        self.reachable
    }

    /// Whether this VM confirms the configuration at the key-value service.
    pub fn is_hub(&self) -> bool {
        self.hubs.contains(&self.own) || !self.table.members.contains_key(&self.own)
    }

    /// Version that a member was last known to hold.
    pub fn version_of(&self, vm: &Vm) -> u64 {
        if *vm == self.own { self.cache.version() } else { self.holders.version(vm) }
    }

    /// Peers that said that they are leaving.
    pub fn leaving_peers(&self) -> BTreeSet<Vm> {
        let leaving = self.peers.iter().filter(|(_, peer)| peer.leaving);
        leaving.map(|(vm, _)| vm.clone()).collect()
    }

    /// A peer whose list of leaving names differs from this VM's, for a VM
    /// that doesn't read the VM list itself.
    pub fn other_leaving(&self) -> Option<(Vm, u32)> {
        let homes = self.hubs.homes(&self.own, &self.centre);
        let known = |vm: &Vm| Some((vm.clone(), self.peers.get(vm)?.leaving_digest));
        let hub = homes.iter().filter(|vm| **vm != self.own).find_map(known)?;
        (!self.is_hub() && hub.1 != self.leaving_digest).then_some(hub)
    }

    /// Whether this VM takes no new work.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Digest of the names that this VM knows to be leaving.
    pub fn set_leaving_digest(&mut self, digest: u32) {
        self.leaving_digest = digest;
    }

    /// VMs that the platform no longer lists and that hold no lease.
    pub fn set_terminated(&mut self, gone: BTreeSet<Vm>) {
        self.gone = gone;
    }

    /// Until when this VM may act on its configuration.
    pub fn contact_deadline(&self, now: Time) -> Time {
        let confirmed = self.evidence.confirmed().until;
        if self.reachable && !confirmed.passed(now.after(BEAT_INTERVAL)) {
            return confirmed;
        }
        let own_until = if self.voting { now.after(CONTACT_BOUND) } else { Time(0) };
        confirmed.max(self.evidence.majority(&self.table, &self.own, own_until))
    }

    /// Asks for what is due.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.vote();
        let mut actions = Vec::new();
        if self.confirms() && self.confirm_due.passed(now) {
            self.confirm_due = now.after(CONFIRM_TIMEOUT);
            actions.push(Action::Confirm);
        }
        for vm in self.callees() {
            let peer = self.peers.entry(vm.clone()).or_default();
            if !peer.due.passed(now) {
                continue;
            }
            peer.due = now.after(BEAT_INTERVAL);
            let beat = self.beat(&vm, now);
            actions.push(Action::Heartbeat(vm, beat));
        }
        self.push(now, &mut actions);
        actions
    }

    /// Whether to ask the key-value service: hubs do, and who reaches no hub.
    fn confirms(&self) -> bool {
        let homes = self.hubs.homes(&self.own, &self.centre);
        self.is_hub() || homes.iter().all(|vm| self.failures_of(vm) >= MAX_FAILURES)
    }

    fn failures_of(&self, vm: &Vm) -> u32 {
        self.peers.get(vm).map_or(0, |peer| peer.failures)
    }

    fn callees(&self) -> Vec<Vm> {
        if self.hubs.contains(&self.own) {
            return self.hubs.callees(&self.own);
        }
        // While the preferred hub is silent another one is called as well.
        let homes = self.hubs.homes(&self.own, &self.centre);
        let Some((home, others)) = homes.split_first() else { return Vec::new() };
        let other = others.iter().min_by_key(|vm| self.failures_of(vm));
        let other = other.filter(|_| self.failures_of(home) > 0);
        std::iter::once(home).chain(other).cloned().collect()
    }

    /// A beat for `to`.
    fn beat(&self, to: &Vm, now: Time) -> Heartbeat {
        // Sent in good times as well, so that an outage finds it in place.
        let to_hub = self.hubs.contains(to);
        let assigned = if to_hub { self.hubs.assigned(&self.own) } else { &[] };
        let heard = assigned.iter().map(|vm| {
            let own = if self.voting { now.after(CONTACT_BOUND) } else { Time(0) };
            let until = if *vm == self.own { own } else { self.evidence.heard(vm) };
            u8::try_from(units(now, until)).unwrap_or(u8::MAX)
        });
        Heartbeat {
            version: self.cache.version(),
            token: self.tokens.issue(now),
            echo: self.peers.get(to).and_then(|peer| peer.token),
            voting: self.voting,
            leaving: self.leaving,
            remaining: units(now, self.contact_deadline(now)),
            heard: heard.collect(),
            leaving_digest: self.leaving_digest,
        }
    }

    /// Answers a beat.
    pub fn on_heartbeat_request(
        &mut self,
        now: Time,
        from: &Vm,
        beat: &Heartbeat,
    ) -> (Heartbeat, Vec<Action>) {
        let actions = self.on_heartbeat(now, from, beat);
        (self.beat(from, now), actions)
    }

    /// Takes in a beat, be it a call or an answer.
    pub fn on_heartbeat(&mut self, now: Time, from: &Vm, beat: &Heartbeat) -> Vec<Action> {
        let peer = self.peers.entry(from.clone()).or_default();
        peer.token = Some(beat.token);
        peer.failures = 0;
        peer.leaving = beat.leaving;
        peer.leaving_digest = beat.leaving_digest;
        let asked = beat.echo.and_then(|echo| self.tokens.read(echo, now, CONTACT_BOUND));
        if let Some(asked) = asked {
            self.weigh(asked, from, beat);
        }
        self.vote();
        let behind = beat.version > self.cache.version();
        if behind { vec![Action::Fetch(from.clone())] } else { Vec::new() }
    }

    /// Takes in what a beat says, counted from when it was asked for.
    fn weigh(&mut self, asked: Time, from: &Vm, beat: &Heartbeat) {
        let held = self.cache.version();
        let bound = |remaining: u32| asked.after(span(remaining).min(CONTACT_BOUND));
        self.holders.note(from, beat.version, asked);
        if beat.voting {
            let proof = Proof { version: beat.version, until: asked.after(CONTACT_BOUND) };
            self.evidence.hear(from, proof, held);
        }
        let proof = Proof { version: beat.version, until: bound(beat.remaining) };
        if beat.remaining > 0 {
            self.evidence.confirm(proof, held);
        }
        // Places in the list agree only where both hold the same table.
        let same_table = beat.version >= self.table.version && beat.version <= held;
        let assigned = self.hubs.assigned(from);
        if !same_table || assigned.len() != beat.heard.len() {
            return;
        }
        for (vm, remaining) in assigned.iter().zip(&beat.heard) {
            if *remaining > 0 {
                let until = bound(u32::from(*remaining));
                self.evidence.hear(vm, Proof { version: beat.version, until }, held);
            }
        }
    }

    /// Notes that a beat wasn't answered; the first such beat is sent again at
    /// once.
    pub fn on_heartbeat_failed(&mut self, vm: &Vm) {
        let peer = self.peers.entry(vm.clone()).or_default();
        if peer.failures == 0 {
            peer.due = Time(0);
        }
        peer.failures = peer.failures.saturating_add(1);
    }

    /// Takes in that the key-value service, asked at `asked`, had `version` as
    /// the configuration's current one. Returns whether this VM lacks writes.
    pub fn on_confirmed(&mut self, asked: Time, version: u64) -> bool {
        let held = self.cache.version();
        self.reachable = true;
        self.failures = 0;
        self.confirm_due = asked.after(CONFIRM_INTERVAL);
        let proof = Proof { version, until: asked.after(CONTACT_BOUND) };
        self.evidence.confirm(proof, held);
        self.voting |= version <= held;
        version > held
    }

    /// Notes that the key-value service failed; `jitter` is a random number.
    pub fn on_confirm_failed(&mut self, now: Time, jitter: u32) {
        self.reachable = false;
        self.failures = (self.failures + 1).min(8);
        let most = (CONFIRM_INTERVAL / 2 * self.failures).min(CONFIRM_BACKOFF);
        let spread = most.mul_f64(f64::from(jitter) / f64::from(u32::MAX) / 2.0);
        self.confirm_due = now.after(most / 2 + spread);
    }

    /// Moves the configuration on; returns the keys that changed.
    pub fn apply(&mut self, delta: Delta) -> Vec<Item> {
        let before = self.cache.version();
        let Adopted::Changed(items) = self.cache.adopt(delta) else { return Vec::new() };
        self.before = before;
        self.evidence.adopt(self.cache.version());
        let table = Table::read(&self.cache);
        if table != self.table {
            self.hubs = Hubs::new(&table);
            self.evidence.retain(&table);
            let known = |vm: &Vm| table.members.contains_key(vm) || table.previous.contains(vm);
            self.holders.retain(known);
            self.peers.retain(|vm, _| table.members.contains_key(vm));
            self.table = table;
        }
        self.vote();
        items
    }

    /// The writes that a VM at `version` lacks.
    pub fn delta_since(&self, version: u64) -> Delta {
        self.cache.delta(version)
    }

    /// Lets this VM's version count towards majorities once it can't be
    /// earlier than what this VM held before it started.
    fn vote(&mut self) {
        if self.voting {
            return;
        }
        // What is passed on may rest on a majority, so both count from when
        // answers of this VM's earlier run have ended.
        let settled = self.start.after(ANSWER_BOUND).after(CONTACT_BOUND);
        let confirmed = self.evidence.confirmed().until >= settled;
        let heard = self.evidence.majority(&self.table, &self.own, Time(0)) >= settled;
        self.voting = confirmed || heard;
    }

    /// Wants all members to hold the present version, for a while.
    pub fn propagate(&mut self, now: Time) {
        self.pushes.want(self.cache.version(), self.before, now.after(PUSH_BOUND));
    }

    fn push(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(wanted) = self.pushes.wanted(now) else { return };
        let targets: BTreeSet<Vm> =
            self.table.members.keys().chain(&self.table.previous).cloned().collect();
        let settled = self.pushes.settled(wanted) || self.accepted(now, wanted);
        if settled {
            self.pushes.settle(wanted);
        }
        for vm in targets {
            let known = self.holders.version(&vm) >= wanted;
            let holds = if settled { known } else { self.holders.holds(&vm, wanted, now) };
            let skip = vm == self.own || holds || self.gone.contains(&vm);
            if skip || !self.pushes.begin(&vm, now) {
                continue;
            }
            let held = self.holders.known(&vm).unwrap_or(self.pushes.base());
            let delta = self.cache.delta(held.min(wanted));
            actions.push(Action::Push(vm, delta));
        }
    }

    /// Takes in that a push sent at `asked` was answered with a version.
    pub fn on_pushed(&mut self, vm: &Vm, version: u64, asked: Time) {
        self.pushes.end(vm);
        self.holders.note(vm, version, asked);
    }

    /// Notes that a push wasn't answered.
    pub fn on_push_failed(&mut self, vm: &Vm) {
        self.pushes.end(vm);
    }

    /// Whether `version` can no longer be lost: a majority of the members
    /// holds it, and a majority of the table before knows this table.
    pub fn accepted(&mut self, now: Time, version: u64) -> bool {
        if self.cache.version() < version {
            return false;
        }
        let (own, held) = (self.own.clone(), self.cache.version());
        self.holders.note(&own, held, now);
        self.holders.majority(&self.table, version, now) && self.established(now)
    }

    /// Whether a majority of the table before knows this table.
    pub fn established(&mut self, now: Time) -> bool {
        let (own, held) = (self.own.clone(), self.cache.version());
        self.holders.note(&own, held, now);
        let gone = |vm: &Vm| self.gone.contains(vm) || has_departed(&self.cache, vm);
        self.holders.established(&self.table, now, gone)
    }

    /// The table that should follow, given the VMs that hold leases and, where
    /// it is known, the platform's list. None while nothing changes or the
    /// present table isn't established.
    pub fn next_table(
        &mut self,
        now: Time,
        leased: &BTreeMap<Vm, DataCentre>,
        write: &str,
    ) -> Option<super::Stored> {
        let stored = self.table.next(leased.clone(), write.to_owned())?;
        if !self.established(now) {
            self.propagate(now);
            return None;
        }
        Some(stored)
    }
}
