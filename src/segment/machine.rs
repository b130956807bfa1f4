//! Replication state machine of one segment at one store.

use std::time::Duration;

use bytes::Bytes;

use super::actions::{Actions, Append, Appended, Change, Transfer};
use super::entry::{Entry, Position};
use super::progress::Progress;
use super::set::{MIN_COPIES, Replica, ReplicaSet, TARGET_COPIES};
use crate::clock::Time;

/// Time without contact after which a replica is considered lost.
pub const FAILURE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Interval between heartbeats of a primary.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// State that must survive a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HardState {
    /// Adopted replica set.
    pub set: ReplicaSet,
    /// Proposed replica set with a joining replica, which the platform may have accepted.
    pub proposed: Option<ReplicaSet>,
}

/// Interval between attempts of the same compare-and-swap.
const SWAP_INTERVAL: Duration = Duration::from_millis(500);

/// Replication state of one segment at one store.
#[derive(Clone, Debug)]
pub struct Machine {
    own: Replica,
    set: ReplicaSet,
    /// Position up to which the log is compacted.
    base: Position,
    /// Position of the first entry of each epoch in the log, in order.
    epoch_starts: Vec<Position>,
    last: u64,
    commit: u64,
    /// Last sequence number when this replica started or adopted its set; all
    /// entries committed before then are at or below it.
    recovery_point: u64,
    followers: Vec<Progress>,
    joining: Option<Progress>,
    /// Replica set sent to the platform whose outcome isn't known.
    proposed: Option<ReplicaSet>,
    spares: Vec<Replica>,
    next_heartbeat: Time,
    next_swap: Time,
    /// Time of the last append message from the primary, at its followers.
    last_contact: Time,
}

impl Machine {
    /// Restores the state from disk: the replica set, a proposal whose outcome
    /// isn't known, the base of the log and the positions of its entries.
    pub fn new<M>(
        own: Replica,
        hard_state: HardState,
        base: Position,
        positions: M,
        now: Time,
    ) -> Self
    where
        M: IntoIterator<Item = Position>,
    {
        let mut machine = Self {
            own,
            set: ReplicaSet::default(),
            base,
            epoch_starts: Vec::new(),
            last: base.seq,
            commit: base.seq,
            recovery_point: base.seq,
            followers: Vec::new(),
            joining: None,
            proposed: None,
            spares: Vec::new(),
            next_heartbeat: Time(0),
            next_swap: Time(0),
            last_contact: now,
        };
        for position in positions {
            machine.push_position(position);
        }
        machine.install_set(hard_state.set, now);
        if let Some(proposed) = hard_state.proposed.filter(|next| next.epoch > machine.set.epoch) {
            machine.restore_join(proposed, now);
        }
        machine
    }

    /// Restores a sequence number that is known to be committed.
    pub fn restore_commit(&mut self, commit: u64) {
        self.commit = self.commit.max(commit.min(self.last));
    }

    /// Replica set that this replica has adopted.
    pub fn set(&self) -> &ReplicaSet {
        &self.set
    }

    /// Highest sequence number known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Last sequence number of the log.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Position up to which the log is compacted.
    pub fn base(&self) -> Position {
        self.base
    }

    /// Whether this replica is the primary of its set.
    pub fn is_primary(&self) -> bool {
        self.set.primary() == Some(&self.own)
    }

    /// Whether this replica is a member of its set.
    pub fn is_member(&self) -> bool {
        self.set.contains(&self.own)
    }

    /// Whether records can be proposed: only at the primary of a set with enough replicas.
    pub fn accepts(&self) -> bool {
        self.is_primary() && self.set.replicas.len() >= MIN_COPIES
    }

    /// Whether all entries of earlier epochs are committed again, so that the
    /// state derived from the log is complete.
    pub fn recovered(&self) -> bool {
        self.accepts() && self.commit >= self.recovery_point
    }

    /// Sets the live stores that may join the replica set.
    pub fn set_spares(&mut self, spares: Vec<Replica>) {
        self.spares = spares;
    }

    /// Appends records at the primary; the first one gets the returned position.
    pub fn propose(&mut self, payloads: Vec<Bytes>, now: Time) -> (Position, Actions) {
        assert!(self.accepts(), "records can only be proposed at a primary with enough replicas");
        let first = Position { seq: self.last + 1, epoch: self.set.epoch };
        let mut actions = Actions::default();
        for payload in payloads {
            let position = Position { seq: self.last + 1, epoch: self.set.epoch };
            self.push_position(position);
            actions.changes.push(Change::Append(Entry { position, payload }));
        }
        self.send_pending(now, &mut actions);
        (first, actions)
    }

    /// Adopts a newer replica set from the platform's service or from another replica.
    pub fn adopt(&mut self, set: ReplicaSet, now: Time) -> Actions {
        let mut actions = Actions::default();
        if set.epoch <= self.set.epoch {
            assert!(
                set.epoch < self.set.epoch || set == self.set,
                "two replica sets have the same epoch"
            );
            return actions;
        }
        self.install_set(set.clone(), now);
        actions.changes.push(Change::Adopt(set));
        self.send_pending(now, &mut actions);
        actions
    }

    /// Handles an append message or heartbeat from a primary.
    pub fn append(&mut self, append: Append, now: Time) -> (Appended, Actions) {
        let mut actions = Actions::default();
        if append.to != self.own || append.set.epoch < self.set.epoch {
            return (self.response(None, self.last), actions);
        }
        actions.merge(self.adopt(append.set.clone(), now));
        assert!(!self.is_primary(), "a primary received entries of its own epoch");
        self.last_contact = now;
        if append.reset && self.must_reset(append.previous) {
            assert!(
                !self.is_member(),
                "a member must hold every committed entry and can't be reset"
            );
            self.reset(append.previous);
            actions.changes.push(Change::Reset(append.previous));
        }
        if let Some(retry_after) = self.conflict(append.previous) {
            return (self.response(None, retry_after), actions);
        }
        let matched = append.previous.seq + append.entries.len() as u64;
        for entry in append.entries {
            self.store_entry(entry, &mut actions);
        }
        self.commit = self.commit.max(append.commit.min(matched));
        (self.response(Some(matched), matched), actions)
    }

    /// Handles the response of a replica at the primary.
    pub fn appended(&mut self, response: Appended, now: Time) -> Actions {
        if response.set.epoch > self.set.epoch {
            return self.adopt(response.set, now);
        }
        let mut actions = Actions::default();
        if response.set.epoch < self.set.epoch || !self.is_primary() {
            return actions;
        }
        let followers = self.followers.iter_mut().chain(self.joining.as_mut());
        let Some(follower) = followers.into_iter().find(|each| each.replica == response.from)
        else {
            return actions;
        };
        follower.last_response = now;
        follower.response_deadline = None;
        match response.matched {
            Some(matched) => {
                follower.matched = follower.matched.max(Some(matched));
                follower.next_after = follower.next_after.max(matched);
            }
            None => {
                follower.next_after =
                    response.retry_after.min(follower.next_after.saturating_sub(1))
            }
        }
        self.advance_commit();
        self.propose_joining(&mut actions);
        self.send_pending(now, &mut actions);
        actions
    }

    /// Performs periodic work: heartbeats and the replacement of lost replicas.
    pub fn tick(&mut self, now: Time) -> Actions {
        let mut actions = Actions::default();
        if !self.is_member() {
            return actions;
        }
        if self.is_primary() {
            self.start_join(now);
            self.send_pending(now, &mut actions);
            self.send_heartbeats(now, &mut actions);
        }
        if self.required_joining().is_none() {
            self.proposed = self.replacement(now);
        }
        if self.next_swap.passed(now) && self.proposed.is_some() {
            self.next_swap = now.after(SWAP_INTERVAL);
            actions.swap = self.proposed.clone();
        }
        actions
    }

    /// Records that the log is compacted up to `base`.
    pub fn compacted(&mut self, base: Position) {
        assert!(base.seq <= self.commit, "only committed entries may be compacted");
        assert_eq!(self.epoch_at(base.seq), base.epoch);
        self.base = base;
    }

    fn install_set(&mut self, set: ReplicaSet, now: Time) {
        self.set = set;
        self.joining = None;
        self.proposed = None;
        self.last_contact = now;
        self.next_heartbeat = Time(0);
        self.recovery_point = self.last;
        self.followers.clear();
        if self.is_primary() {
            let others = self.set.replicas.iter().skip(1).cloned();
            self.followers = others.map(|each| Progress::new(each, self.last, now)).collect();
        }
    }

    fn push_position(&mut self, position: Position) {
        assert_eq!(position.seq, self.last + 1, "entries must be consecutive");
        if self.epoch_starts.last().is_none_or(|latest| latest.epoch != position.epoch) {
            self.epoch_starts.push(position);
        }
        self.last = position.seq;
    }

    fn epoch_at(&self, seq: u64) -> u64 {
        if seq == self.base.seq {
            return self.base.epoch;
        }
        self.epoch_starts
            .iter()
            .rev()
            .find(|position| position.seq <= seq)
            .map_or(0, |position| position.epoch)
    }

    /// Sequence number at which the epoch of entry `seq` begins.
    fn epoch_start(&self, seq: u64) -> u64 {
        self.epoch_starts
            .iter()
            .rev()
            .find(|position| position.seq <= seq)
            .map_or(0, |position| position.seq)
    }

    fn must_reset(&self, start: Position) -> bool {
        start.seq > self.last
            || (start.seq > self.base.seq && self.epoch_at(start.seq) != start.epoch)
    }

    fn reset(&mut self, start: Position) {
        self.base = start;
        self.last = start.seq;
        self.commit = start.seq;
        self.epoch_starts.clear();
    }

    /// Sequence number after which the primary must retry, if `previous` isn't in this log.
    fn conflict(&self, previous: Position) -> Option<u64> {
        if previous.seq > self.last {
            return Some(self.last);
        }
        let matches = previous.seq < self.base.seq || self.epoch_at(previous.seq) == previous.epoch;
        (!matches).then(|| self.epoch_start(previous.seq).saturating_sub(1).max(self.commit))
    }

    fn store_entry(&mut self, entry: Entry, actions: &mut Actions) {
        let position = entry.position;
        if position.seq <= self.base.seq {
            return;
        }
        if position.seq <= self.last {
            if self.epoch_at(position.seq) == position.epoch {
                return;
            }
            assert!(position.seq > self.commit, "a committed entry must not change");
            self.truncate(position.seq);
            actions.changes.push(Change::Truncate(position.seq));
        }
        self.push_position(position);
        actions.changes.push(Change::Append(entry));
    }

    fn truncate(&mut self, from: u64) {
        self.epoch_starts.retain(|position| position.seq < from);
        self.last = from - 1;
    }

    fn response(&self, matched: Option<u64>, retry_after: u64) -> Appended {
        Appended { from: self.own.clone(), set: self.set.clone(), matched, retry_after }
    }

    /// Commits the entries that every replica of the set holds. A joining replica
    /// whose set is already proposed counts as well, because the platform may
    /// have accepted that set.
    fn advance_commit(&mut self) {
        if !self.accepts() {
            return;
        }
        let matched = self
            .followers
            .iter()
            .chain(self.required_joining())
            .map(|each| each.matched.unwrap_or(0))
            .min();
        let matched = matched.unwrap_or(0).min(self.last);
        self.commit = self.commit.max(matched);
    }

    /// The joining replica, if the platform may have accepted it as a member.
    fn required_joining(&self) -> Option<&Progress> {
        let proposed = self.proposed.as_ref()?;
        self.joining.as_ref().filter(|joining| proposed.contains(&joining.replica))
    }

    /// Proposes the joining replica once it holds all entries that can be
    /// committed. From then on no entry is committed without it, also after a
    /// restart.
    fn propose_joining(&mut self, actions: &mut Actions) {
        let Some(joining) = &self.joining else { return };
        let required_seq = self.commit.max(self.recovery_point);
        if self.required_joining().is_some()
            || joining.matched.is_none_or(|matched| matched < required_seq)
        {
            return;
        }
        let proposed = self.set.with(joining.replica.clone());
        actions.changes.push(Change::Propose(proposed.clone()));
        actions.swap = Some(proposed.clone());
        self.proposed = Some(proposed);
    }

    fn restore_join(&mut self, proposed: ReplicaSet, now: Time) {
        let joining = proposed.replicas.iter().find(|each| !self.set.contains(each)).cloned();
        self.joining = joining.map(|joining| Progress::new(joining, self.last, now));
        self.proposed = Some(proposed);
    }

    fn start_join(&mut self, now: Time) {
        if let Some(joining) = &self.joining {
            let timed_out = joining.last_response.after(FAILURE_TIMEOUT).passed(now);
            if !timed_out || self.required_joining().is_some() {
                return;
            }
            self.joining = None;
        }
        if self.set.replicas.len() >= TARGET_COPIES {
            return;
        }
        let spare = self.spares.iter().find(|each| !self.set.contains(each)).cloned();
        self.joining = spare.map(|spare| Progress::new(spare, self.last, now));
    }

    /// Replica set without one lost replica. A set of two shrinks only if a
    /// spare can join, because a single replica can't commit anything.
    fn replacement(&self, now: Time) -> Option<ReplicaSet> {
        let at_minimum = self.set.replicas.len() <= MIN_COPIES;
        let spare = self.spares.iter().any(|each| !self.set.contains(each));
        if self.set.replicas.len() < MIN_COPIES || (at_minimum && !spare) {
            return None;
        }
        if self.is_primary() {
            let lost = self
                .followers
                .iter()
                .find(|each| each.last_response.after(FAILURE_TIMEOUT).passed(now))?;
            return Some(self.set.without(&lost.replica));
        }
        // Later replicas wait longer, to avoid competing for the role of primary.
        let index = self.set.replicas.iter().position(|each| *each == self.own)? as u32;
        let deadline = self.last_contact.after(FAILURE_TIMEOUT * index);
        if !deadline.passed(now) {
            return None;
        }
        let lost = self.set.primary()?.clone();
        let mut next = self.set.without(&lost);
        next.replicas.retain(|each| *each != self.own);
        next.replicas.insert(0, self.own.clone());
        Some(next)
    }

    fn send_pending(&mut self, now: Time, actions: &mut Actions) {
        for index in 0..self.followers.len() + 1 {
            let follower = self.followers.get(index).or(self.joining.as_ref());
            let Some(follower) = follower else { continue };
            let behind = follower.next_after < self.last
                || follower.matched.is_none()
                || follower.sent_commit < self.commit;
            if behind && follower.idle(now) {
                self.send_to(index, now, actions);
            }
        }
    }

    fn send_heartbeats(&mut self, now: Time, actions: &mut Actions) {
        if !self.next_heartbeat.passed(now) {
            return;
        }
        self.next_heartbeat = now.after(HEARTBEAT_INTERVAL);
        for index in 0..self.followers.len() + 1 {
            let follower = self.followers.get(index).or(self.joining.as_ref());
            if follower.is_some_and(|each| each.idle(now)) {
                self.send_to(index, now, actions);
            }
        }
    }

    /// Sends to the follower at `index` or, past the last one, to the joining replica.
    fn send_to(&mut self, index: usize, now: Time, actions: &mut Actions) {
        let follower = self
            .followers
            .get(index)
            .or(self.joining.as_ref())
            .expect("the index refers to a replica");
        let after = follower.next_after.clamp(self.base.seq, self.last);
        let previous = Position { seq: after, epoch: self.epoch_at(after) };
        let transfer = Transfer {
            epoch: self.set.epoch,
            to: follower.replica.clone(),
            previous,
            through: self.last,
            commit: self.commit,
            reset: after == self.base.seq,
        };
        let commit = self.commit;
        let follower = self
            .followers
            .get_mut(index)
            .or(self.joining.as_mut())
            .expect("the index refers to a replica");
        follower.record_send(now);
        follower.sent_commit = commit;
        actions.sends.push(transfer);
    }
}
