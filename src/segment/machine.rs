//! The replication state machine of one segment at one store.

use std::time::Duration;

use bytes::Bytes;

use super::actions::{Actions, Append, Appended, Change, Transfer};
use super::entry::{Entry, Position};
use super::progress::Progress;
use super::set::{MIN_COPIES, Replica, ReplicaSet, TARGET_COPIES};
use crate::clock::Time;

/// Silence after which a replica is taken for lost.
pub const FAILURE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Pause between heartbeats of a primary.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// What a restart must find again.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HardState {
    /// The set that the replica goes by.
    pub set: ReplicaSet,
    /// A set with a joining replica that the platform may have taken.
    pub proposed: Option<ReplicaSet>,
}

/// Pause between tries of the same compare-and-swap.
const SWAP_PAUSE: Duration = Duration::from_millis(500);

/// One segment at one store.
#[derive(Clone, Debug)]
pub struct Machine {
    own: Replica,
    set: ReplicaSet,
    /// Where the log begins; everything up to here is compacted away.
    base: Position,
    /// First sequence number of each epoch in the log, in order.
    epochs: Vec<Position>,
    last: u64,
    commit: u64,
    /// Last entry when this replica started or adopted its set: anything that
    /// was committed before stands at or below it.
    floor: u64,
    followers: Vec<Progress>,
    joining: Option<Progress>,
    /// ReplicaSet that was sent to the platform and whose fate isn't known.
    proposed: Option<ReplicaSet>,
    spares: Vec<Replica>,
    next_heartbeat: Time,
    next_swap: Time,
    /// When the primary was last heard, for the others.
    heard: Time,
}

impl Machine {
    /// Starts from what the disk holds: the set, a proposal of which the fate
    /// wasn't known, where the log begins and the positions of its entries.
    pub fn new<M>(own: Replica, kept: HardState, base: Position, positions: M, now: Time) -> Self
    where
        M: IntoIterator<Item = Position>,
    {
        let mut machine = Self {
            own,
            set: ReplicaSet::default(),
            base,
            epochs: Vec::new(),
            last: base.seq,
            commit: base.seq,
            floor: base.seq,
            followers: Vec::new(),
            joining: None,
            proposed: None,
            spares: Vec::new(),
            next_heartbeat: Time(0),
            next_swap: Time(0),
            heard: now,
        };
        for position in positions {
            machine.note(position);
        }
        machine.take_set(kept.set, now);
        if let Some(proposed) = kept.proposed.filter(|next| next.epoch > machine.set.epoch) {
            machine.restore_join(proposed, now);
        }
        machine
    }

    /// Goes on from a sequence number that is known to be committed.
    pub fn restore_commit(&mut self, commit: u64) {
        self.commit = self.commit.max(commit.min(self.last));
    }

    /// The set this replica goes by.
    pub fn set(&self) -> &ReplicaSet {
        &self.set
    }

    /// Highest committed sequence number known here.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Last sequence number of the log.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Where the log begins.
    pub fn base(&self) -> Position {
        self.base
    }

    /// Whether this replica is its set's primary.
    pub fn is_primary(&self) -> bool {
        self.set.primary() == Some(&self.own)
    }

    /// Whether this replica belongs to its set.
    pub fn is_member(&self) -> bool {
        self.set.contains(&self.own)
    }

    /// Whether entries can be taken: a primary whose set has enough copies.
    pub fn accepts(&self) -> bool {
        self.is_primary() && self.set.replicas.len() >= MIN_COPIES
    }

    /// Whether every entry of earlier epochs is committed again, so that the
    /// state that follows from the log is complete.
    pub fn recovered(&self) -> bool {
        self.accepts() && self.commit >= self.floor
    }

    /// Names live stores outside the set that may join it.
    pub fn set_spares(&mut self, spares: Vec<Replica>) {
        self.spares = spares;
    }

    /// Adds records at the primary; they are numbered from the returned position on.
    pub fn propose(&mut self, payloads: Vec<Bytes>, now: Time) -> (Position, Actions) {
        assert!(self.accepts(), "only a primary with enough copies takes records");
        let first = Position { seq: self.last + 1, epoch: self.set.epoch };
        let mut step = Actions::default();
        for payload in payloads {
            let position = Position { seq: self.last + 1, epoch: self.set.epoch };
            self.note(position);
            step.changes.push(Change::Append(Entry { position, payload }));
        }
        self.send_all(now, &mut step);
        (first, step)
    }

    /// Learns a set from the platform's service or from another replica.
    pub fn adopt(&mut self, set: ReplicaSet, now: Time) -> Actions {
        let mut step = Actions::default();
        if set.epoch <= self.set.epoch {
            assert!(set.epoch < self.set.epoch || set == self.set, "one set for each epoch");
            return step;
        }
        self.take_set(set.clone(), now);
        step.changes.push(Change::Adopt(set));
        self.send_all(now, &mut step);
        step
    }

    /// Handles entries or a heartbeat from a primary.
    pub fn append(&mut self, append: Append, now: Time) -> (Appended, Actions) {
        let mut step = Actions::default();
        if append.to != self.own || append.set.epoch < self.set.epoch {
            return (self.answer(None, self.last), step);
        }
        step.merge(self.adopt(append.set.clone(), now));
        assert!(!self.is_primary(), "two primaries in one epoch");
        self.heard = now;
        if append.reset && self.must_reset(append.previous) {
            assert!(!self.is_member(), "a member holds every committed entry");
            self.reset(append.previous);
            step.changes.push(Change::Reset(append.previous));
        }
        if let Some(retry_after) = self.mismatch(append.previous) {
            return (self.answer(None, retry_after), step);
        }
        let matched = append.previous.seq + append.entries.len() as u64;
        for entry in append.entries {
            self.take_entry(entry, &mut step);
        }
        self.commit = self.commit.max(append.commit.min(matched));
        (self.answer(Some(matched), matched), step)
    }

    /// Handles a replica's answer at the primary.
    pub fn appended(&mut self, answer: Appended, now: Time) -> Actions {
        if answer.set.epoch > self.set.epoch {
            return self.adopt(answer.set, now);
        }
        let mut step = Actions::default();
        if answer.set.epoch < self.set.epoch || !self.is_primary() {
            return step;
        }
        let followers = self.followers.iter_mut().chain(self.joining.as_mut());
        let Some(follower) = followers.into_iter().find(|each| each.replica == answer.from) else {
            return step;
        };
        follower.heard = now;
        follower.pending = None;
        match answer.matched {
            Some(matched) => {
                follower.matched = follower.matched.max(Some(matched));
                follower.after = follower.after.max(matched);
            }
            None => follower.after = answer.retry_after.min(follower.after.saturating_sub(1)),
        }
        self.advance();
        self.admit(&mut step);
        self.send_all(now, &mut step);
        step
    }

    /// Does what is due: heartbeats, replacement of lost replicas.
    pub fn tick(&mut self, now: Time) -> Actions {
        let mut step = Actions::default();
        if !self.is_member() {
            return step;
        }
        if self.is_primary() {
            self.start_join(now);
            self.send_all(now, &mut step);
            self.send_heartbeats(now, &mut step);
        }
        if self.required().is_none() {
            self.proposed = self.replacement(now);
        }
        if self.next_swap.passed(now) && self.proposed.is_some() {
            self.next_swap = now.after(SWAP_PAUSE);
            step.swap = self.proposed.clone();
        }
        step
    }

    /// Everything up to `base` is compacted away here.
    pub fn compacted(&mut self, base: Position) {
        assert!(base.seq <= self.commit, "only committed entries are compacted");
        assert_eq!(self.epoch_at(base.seq), base.epoch);
        self.base = base;
    }

    fn take_set(&mut self, set: ReplicaSet, now: Time) {
        self.set = set;
        self.joining = None;
        self.proposed = None;
        self.heard = now;
        self.next_heartbeat = Time(0);
        self.floor = self.last;
        self.followers.clear();
        if self.is_primary() {
            let others = self.set.replicas.iter().skip(1).cloned();
            self.followers = others.map(|each| Progress::new(each, self.last, now)).collect();
        }
    }

    fn note(&mut self, position: Position) {
        assert_eq!(position.seq, self.last + 1, "entries are consecutive");
        if self.epochs.last().is_none_or(|latest| latest.epoch != position.epoch) {
            self.epochs.push(position);
        }
        self.last = position.seq;
    }

    fn epoch_at(&self, seq: u64) -> u64 {
        if seq == self.base.seq {
            return self.base.epoch;
        }
        self.epochs
            .iter()
            .rev()
            .find(|position| position.seq <= seq)
            .map_or(0, |position| position.epoch)
    }

    /// Where the run of entries with the same epoch as `seq` begins.
    fn epoch_start(&self, seq: u64) -> u64 {
        self.epochs
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
        self.epochs.clear();
    }

    /// Where the primary must go back to, if `previous` isn't in this log.
    fn mismatch(&self, previous: Position) -> Option<u64> {
        if previous.seq > self.last {
            return Some(self.last);
        }
        let known = previous.seq < self.base.seq || self.epoch_at(previous.seq) == previous.epoch;
        (!known).then(|| self.epoch_start(previous.seq).saturating_sub(1).max(self.commit))
    }

    fn take_entry(&mut self, entry: Entry, step: &mut Actions) {
        let position = entry.position;
        if position.seq <= self.base.seq {
            return;
        }
        if position.seq <= self.last {
            if self.epoch_at(position.seq) == position.epoch {
                return;
            }
            assert!(position.seq > self.commit, "a committed entry never changes");
            self.truncate(position.seq);
            step.changes.push(Change::Truncate(position.seq));
        }
        self.note(position);
        step.changes.push(Change::Append(entry));
    }

    fn truncate(&mut self, from: u64) {
        self.epochs.retain(|position| position.seq < from);
        self.last = from - 1;
    }

    fn answer(&self, matched: Option<u64>, retry_after: u64) -> Appended {
        Appended { from: self.own.clone(), set: self.set.clone(), matched, retry_after }
    }

    /// Commits what every replica of the set holds. A joining replica whose
    /// set is already proposed counts as well: the platform may have taken it.
    fn advance(&mut self) {
        if !self.accepts() {
            return;
        }
        let held = self
            .followers
            .iter()
            .chain(self.required())
            .map(|each| each.matched.unwrap_or(0))
            .min();
        let held = held.unwrap_or(0).min(self.last);
        self.commit = self.commit.max(held);
    }

    /// The joining replica, if the platform may have taken it into the set.
    fn required(&self) -> Option<&Progress> {
        let proposed = self.proposed.as_ref()?;
        self.joining.as_ref().filter(|joining| proposed.contains(&joining.replica))
    }

    /// Proposes the joining replica once it holds all that can be committed. From
    /// here on nothing is committed without it; this must survive a restart.
    fn admit(&mut self, step: &mut Actions) {
        let Some(joining) = &self.joining else { return };
        let complete = self.commit.max(self.floor);
        if self.required().is_some() || joining.matched.is_none_or(|held| held < complete) {
            return;
        }
        let proposed = self.set.with(joining.replica.clone());
        step.changes.push(Change::Propose(proposed.clone()));
        step.swap = Some(proposed.clone());
        self.proposed = Some(proposed);
    }

    fn restore_join(&mut self, proposed: ReplicaSet, now: Time) {
        let joining = proposed.replicas.iter().find(|each| !self.set.contains(each)).cloned();
        self.joining = joining.map(|joining| Progress::new(joining, self.last, now));
        self.proposed = Some(proposed);
    }

    fn start_join(&mut self, now: Time) {
        if let Some(joining) = &self.joining {
            let silent = joining.heard.after(FAILURE_TIMEOUT).passed(now);
            if !silent || self.required().is_some() {
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

    /// The set without one lost replica. Below two copies nothing could be
    /// committed, so the last two stay together unless a spare can join.
    fn replacement(&self, now: Time) -> Option<ReplicaSet> {
        let smallest = self.set.replicas.len() <= MIN_COPIES;
        let spare = self.spares.iter().any(|each| !self.set.contains(each));
        if self.set.replicas.len() < MIN_COPIES || (smallest && !spare) {
            return None;
        }
        if self.is_primary() {
            let lost =
                self.followers.iter().find(|each| each.heard.after(FAILURE_TIMEOUT).passed(now))?;
            return Some(self.set.without(&lost.replica));
        }
        // Later replicas wait longer, so that they seldom compete.
        let place = self.set.replicas.iter().position(|each| *each == self.own)? as u32;
        let deadline = self.heard.after(FAILURE_TIMEOUT * place);
        if !deadline.passed(now) {
            return None;
        }
        let lost = self.set.primary()?.clone();
        let mut next = self.set.without(&lost);
        next.replicas.retain(|each| *each != self.own);
        next.replicas.insert(0, self.own.clone());
        Some(next)
    }

    fn send_all(&mut self, now: Time, step: &mut Actions) {
        for index in 0..self.followers.len() + 1 {
            let follower = self.followers.get(index).or(self.joining.as_ref());
            let Some(follower) = follower else { continue };
            let behind = follower.after < self.last
                || follower.matched.is_none()
                || follower.told < self.commit;
            if behind && follower.idle(now) {
                self.send_one(index, now, step);
            }
        }
    }

    fn send_heartbeats(&mut self, now: Time, step: &mut Actions) {
        if !self.next_heartbeat.passed(now) {
            return;
        }
        self.next_heartbeat = now.after(HEARTBEAT);
        for index in 0..self.followers.len() + 1 {
            let follower = self.followers.get(index).or(self.joining.as_ref());
            if follower.is_some_and(|each| each.idle(now)) {
                self.send_one(index, now, step);
            }
        }
    }

    /// Sends to a follower or, past the last one, to the joining replica.
    fn send_one(&mut self, index: usize, now: Time, step: &mut Actions) {
        let follower = self.followers.get(index).or(self.joining.as_ref()).expect("it exists");
        let after = follower.after.clamp(self.base.seq, self.last);
        let previous = Position { seq: after, epoch: self.epoch_at(after) };
        let send = Transfer {
            epoch: self.set.epoch,
            to: follower.replica.clone(),
            previous,
            through: self.last,
            commit: self.commit,
            reset: after == self.base.seq,
        };
        let commit = self.commit;
        let follower = self.followers.get_mut(index).or(self.joining.as_mut()).expect("it exists");
        follower.sent(now);
        follower.told = commit;
        step.sends.push(send);
    }
}
