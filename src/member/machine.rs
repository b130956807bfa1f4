//! The membership and configuration state machine of one VM.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::hubs::Hubs;
use super::pushes::Pushes;
use super::tokens::{Tokens, from_units, to_units};
use super::{
    ACK_VALIDITY, Acknowledgements, CONTACT_VALIDITY, Observation, Observations, Table,
    is_deregistered,
};
use crate::clock::Time;
use crate::config::{Cache, Delta, Item, Outcome};
use crate::id::{DataCentre, Vm};
use crate::wire::member::Heartbeat;

/// Time between two heartbeats to the same peer.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two version checks at the key-value service.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum backoff between version checks while the service fails.
const CONFIRM_BACKOFF: Duration = Duration::from_secs(2);
/// Time after which an unanswered version check is abandoned.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a write is pushed to members that don't hold it.
const PUSH_PERIOD: Duration = Duration::from_secs(5);
/// Consecutive heartbeat failures after which a hub counts as unreachable.
const MAX_HEARTBEAT_FAILURES: u32 = 2;

/// An action for the driver to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a heartbeat to this member.
    Heartbeat(Vm, Heartbeat),
    /// Read the configuration's current version from the key-value service.
    Confirm,
    /// Request the writes after this VM's version from this member.
    Fetch(Vm),
    /// Send this member the writes that it lacks; it answers with the version that it holds.
    Push(Vm, Delta),
}

/// State of a peer that exchanges heartbeats with this VM.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    token: Option<u32>,
    due: Time,
    failures: u32,
    leaving: bool,
    leaving_digest: u32,
}

/// The membership and configuration state machine of one VM.
#[derive(Clone, Debug)]
pub struct Machine {
    own_vm: Vm,
    data_centre: DataCentre,
    start: Time,
    tokens: Tokens,
    cache: Cache,
    /// Version held before the last delta was applied.
    previous_version: u64,
    table: Table,
    hubs: Hubs,
    observations: Observations,
    acks: Acknowledgements,
    pushes: Pushes,
    peers: HashMap<Vm, Peer>,
    /// VMs that the platform no longer lists and that hold no lease.
    terminated: BTreeSet<Vm>,
    /// Whether this VM's version counts towards majorities.
    voting: bool,
    leaving: bool,
    leaving_digest: u32,
    platform_reachable: bool,
    confirm_failures: u32,
    /// When the next version check is due.
    confirm_due: Time,
}

impl Machine {
    /// Creates a machine that starts at `now`; `offset` must be random and differ with each start.
    pub fn new(own_vm: Vm, data_centre: DataCentre, now: Time, offset: u32) -> Self {
        Self {
            own_vm,
            data_centre,
            start: now,
            tokens: Tokens::new(offset),
            cache: Cache::default(),
            previous_version: 0,
            table: Table::default(),
            hubs: Hubs::default(),
            observations: Observations::default(),
            acks: Acknowledgements::default(),
            pushes: Pushes::default(),
            peers: HashMap::new(),
            terminated: BTreeSet::new(),
            voting: false,
            leaving: false,
            leaving_digest: 0,
            platform_reachable: true,
            confirm_failures: 0,
            confirm_due: now,
        }
    }

    /// The configuration held by this VM.
    pub fn cache(&self) -> &Cache {
        &self.cache
    }

    /// The member table held by this VM.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Whether the last call to the key-value service succeeded.
    pub fn platform_reachable(&self) -> bool {
        self.platform_reachable
    }

    /// Whether this VM checks the configuration's version at the key-value service: hubs do, and
    /// VMs that aren't members yet.
    pub fn is_hub(&self) -> bool {
        self.hubs.contains(&self.own_vm) || !self.table.members.contains_key(&self.own_vm)
    }

    /// The version that a member was last known to hold.
    pub fn version_of(&self, vm: &Vm) -> u64 {
        if *vm == self.own_vm { self.cache.version() } else { self.acks.version(vm) }
    }

    /// Peers whose last heartbeat said that they are leaving.
    pub fn leaving_peers(&self) -> BTreeSet<Vm> {
        let leaving = self.peers.iter().filter(|(_, peer)| peer.leaving);
        leaving.map(|(vm, _)| vm.clone()).collect()
    }

    /// A hub whose list of leaving names differs from this VM's, with the digest of its list. Only
    /// for VMs that don't read the VM list themselves.
    pub fn mismatched_hub(&self) -> Option<(Vm, u32)> {
        let candidates = self.hubs.candidates(&self.own_vm, &self.data_centre);
        let known = |vm: &Vm| Some((vm.clone(), self.peers.get(vm)?.leaving_digest));
        let hub = candidates.iter().filter(|vm| **vm != self.own_vm).find_map(known)?;
        (!self.is_hub() && hub.1 != self.leaving_digest).then_some(hub)
    }

    /// Sets whether this VM is leaving and takes no new work.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Sets the digest of the names that this VM knows to be leaving.
    pub fn set_leaving_digest(&mut self, digest: u32) {
        self.leaving_digest = digest;
    }

    /// Sets the VMs that the platform no longer lists and that hold no lease.
    pub fn set_terminated(&mut self, terminated: BTreeSet<Vm>) {
        self.terminated = terminated;
    }

    /// When this VM must stop acting on its configuration unless further observations arrive.
    pub fn contact_deadline(&self, now: Time) -> Time {
        let confirmed = self.observations.platform().expires_at;
        if self.platform_reachable && !confirmed.passed(now.after(HEARTBEAT_INTERVAL)) {
            return confirmed;
        }
        let own_deadline = if self.voting { now.after(CONTACT_VALIDITY) } else { Time(0) };
        confirmed.max(self.observations.majority_deadline(&self.table, &self.own_vm, own_deadline))
    }

    /// Returns the actions that are due.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.update_voting();
        let mut actions = Vec::new();
        if self.should_confirm() && self.confirm_due.passed(now) {
            self.confirm_due = now.after(CONFIRM_TIMEOUT);
            actions.push(Action::Confirm);
        }
        for vm in self.callees() {
            let peer = self.peers.entry(vm.clone()).or_default();
            if !peer.due.passed(now) {
                continue;
            }
            peer.due = now.after(HEARTBEAT_INTERVAL);
            let heartbeat = self.heartbeat(&vm, now);
            actions.push(Action::Heartbeat(vm, heartbeat));
        }
        self.push(now, &mut actions);
        actions
    }

    /// Whether to check the version at the key-value service: hubs do, and VMs that reach no hub.
    fn should_confirm(&self) -> bool {
        let candidates = self.hubs.candidates(&self.own_vm, &self.data_centre);
        self.is_hub() || candidates.iter().all(|vm| self.failures_of(vm) >= MAX_HEARTBEAT_FAILURES)
    }

    fn failures_of(&self, vm: &Vm) -> u32 {
        self.peers.get(vm).map_or(0, |peer| peer.failures)
    }

    fn callees(&self) -> Vec<Vm> {
        if self.hubs.contains(&self.own_vm) {
            return self.hubs.callees(&self.own_vm);
        }
        // While the preferred hub doesn't answer, another one is called as well.
        let candidates = self.hubs.candidates(&self.own_vm, &self.data_centre);
        let Some((preferred, others)) = candidates.split_first() else { return Vec::new() };
        let other = others.iter().min_by_key(|vm| self.failures_of(vm));
        let other = other.filter(|_| self.failures_of(preferred) > 0);
        std::iter::once(preferred).chain(other).cloned().collect()
    }

    /// Builds a heartbeat for `to`.
    fn heartbeat(&self, to: &Vm, now: Time) -> Heartbeat {
        // Reported even while the platform is reachable, so that hubs already have the data when an
        // outage begins.
        let to_hub = self.hubs.contains(to);
        let assigned = if to_hub { self.hubs.assigned(&self.own_vm) } else { &[] };
        let heard = assigned.iter().map(|vm| {
            let own_deadline = if self.voting { now.after(CONTACT_VALIDITY) } else { Time(0) };
            let until = if *vm == self.own_vm {
                own_deadline
            } else {
                self.observations.member_deadline(vm)
            };
            u8::try_from(to_units(now, until)).unwrap_or(u8::MAX)
        });
        Heartbeat {
            version: self.cache.version(),
            token: self.tokens.issue(now),
            echo: self.peers.get(to).and_then(|peer| peer.token),
            voting: self.voting,
            leaving: self.leaving,
            remaining: to_units(now, self.contact_deadline(now)),
            heard: heard.collect(),
            leaving_digest: self.leaving_digest,
        }
    }

    /// Handles a heartbeat request and returns the answer.
    pub fn on_heartbeat_request(
        &mut self,
        now: Time,
        from: &Vm,
        heartbeat: &Heartbeat,
    ) -> (Heartbeat, Vec<Action>) {
        let actions = self.on_heartbeat(now, from, heartbeat);
        (self.heartbeat(from, now), actions)
    }

    /// Handles a heartbeat, whether request or answer.
    pub fn on_heartbeat(&mut self, now: Time, from: &Vm, heartbeat: &Heartbeat) -> Vec<Action> {
        let peer = self.peers.entry(from.clone()).or_default();
        peer.token = Some(heartbeat.token);
        peer.failures = 0;
        peer.leaving = heartbeat.leaving;
        peer.leaving_digest = heartbeat.leaving_digest;
        let issued_at =
            heartbeat.echo.and_then(|echo| self.tokens.issued_at(echo, now, CONTACT_VALIDITY));
        if let Some(issued_at) = issued_at {
            self.record_heartbeat(issued_at, from, heartbeat);
        }
        self.update_voting();
        let behind = heartbeat.version > self.cache.version();
        if behind { vec![Action::Fetch(from.clone())] } else { Vec::new() }
    }

    /// Records the contents of a heartbeat that answers a token issued at `issued_at`.
    fn record_heartbeat(&mut self, issued_at: Time, from: &Vm, heartbeat: &Heartbeat) {
        let held = self.cache.version();
        let bound = |remaining: u32| issued_at.after(from_units(remaining).min(CONTACT_VALIDITY));
        self.acks.record(from, heartbeat.version, issued_at);
        if heartbeat.voting {
            let observation = Observation {
                version: heartbeat.version,
                expires_at: issued_at.after(CONTACT_VALIDITY),
            };
            self.observations.add_member(from, observation, held);
        }
        let observation =
            Observation { version: heartbeat.version, expires_at: bound(heartbeat.remaining) };
        if heartbeat.remaining > 0 {
            self.observations.add_platform(observation, held);
        }
        // The positions in `heard` match only if both VMs hold the same table.
        let same_table = heartbeat.version >= self.table.version && heartbeat.version <= held;
        let assigned = self.hubs.assigned(from);
        if !same_table || assigned.len() != heartbeat.heard.len() {
            return;
        }
        for (vm, remaining) in assigned.iter().zip(&heartbeat.heard) {
            if *remaining > 0 {
                let expires_at = bound(u32::from(*remaining));
                self.observations.add_member(
                    vm,
                    Observation { version: heartbeat.version, expires_at },
                    held,
                );
            }
        }
    }

    /// Records that a heartbeat wasn't answered. After the first failure in a row the heartbeat is
    /// sent again immediately.
    pub fn on_heartbeat_failed(&mut self, vm: &Vm) {
        let peer = self.peers.entry(vm.clone()).or_default();
        if peer.failures == 0 {
            peer.due = Time(0);
        }
        peer.failures = peer.failures.saturating_add(1);
    }

    /// Records that `version` was the configuration's current version at the key-value service, in
    /// answer to a request sent at `requested_at`. Returns whether this VM lacks writes.
    pub fn on_confirmed(&mut self, requested_at: Time, version: u64) -> bool {
        let held = self.cache.version();
        self.platform_reachable = true;
        self.confirm_failures = 0;
        self.confirm_due = requested_at.after(CONFIRM_INTERVAL);
        let observation = Observation { version, expires_at: requested_at.after(CONTACT_VALIDITY) };
        self.observations.add_platform(observation, held);
        self.voting |= version <= held;
        version > held
    }

    /// Records that the version check failed; `jitter` is a random number.
    pub fn on_confirm_failed(&mut self, now: Time, jitter: u32) {
        self.platform_reachable = false;
        self.confirm_failures = (self.confirm_failures + 1).min(8);
        let max_delay = (CONFIRM_INTERVAL / 2 * self.confirm_failures).min(CONFIRM_BACKOFF);
        let spread = max_delay.mul_f64(f64::from(jitter) / f64::from(u32::MAX) / 2.0);
        self.confirm_due = now.after(max_delay / 2 + spread);
    }

    /// Applies a delta to the configuration and returns the keys that changed.
    pub fn apply(&mut self, delta: Delta) -> Vec<Item> {
        let previous_version = self.cache.version();
        let Outcome::Changed(items) = self.cache.apply(delta) else { return Vec::new() };
        self.previous_version = previous_version;
        self.observations.advance(self.cache.version());
        let table = Table::from_cache(&self.cache);
        if table != self.table {
            self.hubs = Hubs::new(&table);
            self.observations.retain(&table);
            let known = |vm: &Vm| table.members.contains_key(vm) || table.previous.contains(vm);
            self.acks.retain(known);
            self.peers.retain(|vm, _| table.members.contains_key(vm));
            self.table = table;
        }
        self.update_voting();
        items
    }

    /// The writes after `version`.
    pub fn delta_since(&self, version: u64) -> Delta {
        self.cache.delta_since(version)
    }

    /// Lets this VM's version count towards majorities once it can't be earlier than the version
    /// that this VM held before it restarted.
    fn update_voting(&mut self) {
        if self.voting {
            return;
        }
        // Contact reported by a peer may itself be based on a majority. Both conditions therefore
        // wait until acknowledgements from before the restart have expired.
        let earliest = self.start.after(ACK_VALIDITY).after(CONTACT_VALIDITY);
        let confirmed = self.observations.platform().expires_at >= earliest;
        let heard =
            self.observations.majority_deadline(&self.table, &self.own_vm, Time(0)) >= earliest;
        self.voting = confirmed || heard;
    }

    /// Pushes the current version to all members for `PUSH_PERIOD`.
    pub fn propagate(&mut self, now: Time) {
        self.pushes.request(self.cache.version(), self.previous_version, now.after(PUSH_PERIOD));
    }

    fn push(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(target_version) = self.pushes.target(now) else { return };
        let targets: BTreeSet<Vm> =
            self.table.members.keys().chain(&self.table.previous).cloned().collect();
        let replicated =
            self.pushes.majority_holds(target_version) || self.accepted(now, target_version);
        if replicated {
            self.pushes.set_majority_holds(target_version);
        }
        for vm in targets {
            let acked = self.acks.version(&vm) >= target_version;
            let holds = if replicated { acked } else { self.acks.holds(&vm, target_version, now) };
            let skip = vm == self.own_vm || holds || self.terminated.contains(&vm);
            if skip || !self.pushes.try_begin(&vm, now) {
                continue;
            }
            let held = self.acks.known_version(&vm).unwrap_or(self.pushes.base());
            let delta = self.cache.delta_since(held.min(target_version));
            actions.push(Action::Push(vm, delta));
        }
    }

    /// Records that a push sent at `requested_at` was answered with a version.
    pub fn on_pushed(&mut self, vm: &Vm, version: u64, requested_at: Time) {
        self.pushes.finish(vm);
        self.acks.record(vm, version, requested_at);
    }

    /// Records that a push wasn't answered.
    pub fn on_push_failed(&mut self, vm: &Vm) {
        self.pushes.finish(vm);
    }

    /// Whether `version` can no longer be lost: a majority of the members holds it, and a majority
    /// of the previous table's members knows the current table.
    pub fn accepted(&mut self, now: Time, version: u64) -> bool {
        if self.cache.version() < version {
            return false;
        }
        let (own_vm, held) = (self.own_vm.clone(), self.cache.version());
        self.acks.record(&own_vm, held, now);
        self.acks.has_majority(&self.table, version, now) && self.previous_majority(now)
    }

    /// Whether a majority of the previous table's members knows the current table.
    pub fn previous_majority(&mut self, now: Time) -> bool {
        let (own_vm, held) = (self.own_vm.clone(), self.cache.version());
        self.acks.record(&own_vm, held, now);
        let terminated = |vm: &Vm| self.terminated.contains(vm) || is_deregistered(&self.cache, vm);
        self.acks.previous_majority(&self.table, now, terminated)
    }

    /// The next member table with the members `desired`, or `None` if the members are unchanged or
    /// too few members of the previous table know the current one yet.
    pub fn next_table(
        &mut self,
        now: Time,
        desired: &BTreeMap<Vm, DataCentre>,
        write: &str,
    ) -> Option<super::Record> {
        let table_record = self.table.next(desired.clone(), write.to_owned())?;
        if !self.previous_majority(now) {
            self.propagate(now);
            return None;
        }
        Some(table_record)
    }
}
