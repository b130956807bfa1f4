//! Decides from where a VM takes its next view of the store: from the store or from a peer.
//!
//! Load: up to 100 VMs in three data centres, of which VMs restart in turn and a third is
//! turned away by the store for 9 s, or the store is silent for some seconds. Calls to the
//! store cost money, failed ones too; snapshots of peers don't.
//!
//! In a large fleet a few VMs are readers, in one order for the whole fleet. The first one
//! reads the store. Each later one asks the earlier ones and reads the store only once
//! nobody before it has a newer snapshot. All others ask readers. Any VM reads the store
//! itself once its view is older than `FOLLOWER_MAX_AGE`, however it became so old: a VM
//! that the store would answer must not act on an older view for long. Only a failed read
//! of its own makes it wait longer before the next one.

use std::time::Duration;

use super::member::{self, Listed, Member};
use crate::clock::Time;
use crate::id::Vm;

/// Maximum number of members with which every VM reads the store itself.
const MAX_MEMBERS_ALL_READ: usize = 14;
/// Number of readers in a data centre that come before all further readers.
const READERS: usize = 2;
/// Minimum number of readers in a fleet. With a third of the VMs turned away, one fleet in
/// 700 has none that reads.
const MIN_READERS: usize = 6;
/// Number of readers of other data centres that a VM asks after its own ones.
const REMOTE_READERS: usize = 4;
/// Maximum pause between two reads by a reader.
const READER_POLL: Duration = Duration::from_millis(600);
/// Time after an earlier reader's read at which its snapshot is fetched.
const FETCH_LAG: Duration = Duration::from_millis(50);
/// Age of its view at which the first reader after one that has failed reads the store.
const READER_MAX_AGE: Duration = Duration::from_millis(900);
/// Further age at which each later reader does so, so that one takes over.
const READER_STAGGER: Duration = Duration::from_millis(60);
/// Age of its view at which a VM that isn't a reader asks for a newer one at the latest.
const FOLLOWER_POLL_AGE: Duration = Duration::from_millis(1_100);
/// Age of its view at which a VM that isn't a reader reads the store itself: less than the
/// shortest bound, 3,000 ms, by a call of 1,000 ms that fails and a peer that is asked after.
pub const FOLLOWER_MAX_AGE: Duration = Duration::from_millis(1_200);
/// Range over which such reads are spread.
const FOLLOWER_SPREAD: Duration = Duration::from_millis(200);
/// Minimum pause between two attempts to get a newer view.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Pause of the first two readers after a failed read of the store.
const FIRST_READERS_RETRY: Duration = Duration::from_millis(500);
/// Time from a failed read of other VMs to the next one; doubles with each further one. With
/// `FOLLOWER_MAX_AGE` and both spreads the second read is sent at an age below 3,000 ms.
const RETRY: Duration = Duration::from_millis(1_300);
/// Maximum of that pause.
const MAX_RETRY: Duration = Duration::from_millis(2_300);
/// Pause of a reader after a failed read while peers keep its view fresh; doubles with each
/// further one.
const FRESH_RETRY: Duration = Duration::from_millis(1_000);
/// Maximum of that pause.
const MAX_FRESH_RETRY: Duration = Duration::from_millis(4_000);
/// Time after a failed read at which it no longer counts; longer than any pause above.
const FORGET_FAILURES: Duration = Duration::from_millis(6_000);
/// Minimum number of members with which a VM that isn't listed yet asks one of them.
const MIN_MEMBERS_ASKED: usize = 3;
/// Age of its view at which such a VM reads the store instead.
const UNLISTED_MAX_AGE: Duration = Duration::from_millis(1_300);

key! {
    /// Place of a VM among those that read the store.
    pub enum Role {
        /// The fleet is small: each VM reads the store itself.
        Alone,
        /// The VM has just started and isn't listed in its own view yet.
        Unlisted,
        /// A reader, by its position in the order of all readers.
        Reader(usize),
        /// A VM that asks readers.
        Follower,
    }
}

/// Role of a VM, and the peers that it asks.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The VM's role.
    pub role: Role,
    /// Peers that it asks for a snapshot, in this order.
    pub sources: Vec<Member>,
    /// Peers that it asks only once its own read has failed.
    pub fallbacks: Vec<Member>,
}

impl Order {
    /// Order for the VM `own` among these members.
    pub fn new(members: &[Listed], own: &Member) -> Self {
        if members.len() <= MAX_MEMBERS_ALL_READ {
            return Self::of_small_fleet(members, &own.vm);
        }
        let readers = readers(members);
        if let Some(position) = readers.iter().position(|reader| reader.vm == own.vm) {
            let mut sources: Vec<&Member> = readers[..position].to_vec();
            sources.sort_by_key(|reader| reader.data_centre != own.data_centre);
            let fallbacks = readers[position + 1..].iter().copied();
            return Self {
                role: Role::Reader(position),
                sources: sources.into_iter().cloned().collect(),
                fallbacks: fallbacks.cloned().collect(),
            };
        }
        let (local, remote): (Vec<&Member>, Vec<&Member>) =
            readers.into_iter().partition(|reader| reader.data_centre == own.data_centre);
        let sources = local.into_iter().chain(remote.into_iter().take(REMOTE_READERS));
        let others = members.iter().map(|listed| &listed.member);
        let others: Vec<&Member> =
            others.filter(|member| member.vm != own.vm && !member.leaving).collect();
        Self {
            role: Role::Follower,
            sources: sources.cloned().collect(),
            fallbacks: others.into_iter().cloned().collect(),
        }
    }

    /// While a large fleet starts, each VM's first view holds only those registered before
    /// it. All of them know the one that registered first, so they ask that one.
    fn of_small_fleet(members: &[Listed], own: &Vm) -> Self {
        let is_listed = members.iter().any(|listed| &listed.member.vm == own);
        let first = members.iter().min_by_key(|listed| listed.version);
        match first.filter(|_| !is_listed && members.len() >= MIN_MEMBERS_ASKED) {
            Some(first) => Self {
                role: Role::Unlisted,
                sources: vec![first.member.clone()],
                fallbacks: Vec::new(),
            },
            None => Self { role: Role::Alone, sources: Vec::new(), fallbacks: Vec::new() },
        }
    }
}

/// The readers of a fleet in their order: the first of each data centre, then the second of
/// each, then others.
fn readers(members: &[Listed]) -> Vec<&Member> {
    let mut ranked: Vec<&Member> =
        members.iter().map(|listed| &listed.member).filter(|member| !member.leaving).collect();
    ranked.sort_by_cached_key(|member| member::rank(&member.vm, "reader"));
    let place = |index: usize| {
        let centre = &ranked[index].data_centre;
        ranked[..index].iter().filter(|member| &member.data_centre == centre).count()
    };
    let mut placed: Vec<(usize, &Member)> =
        ranked.iter().enumerate().map(|(index, member)| (place(index), *member)).collect();
    placed.sort_by_key(|(place, _)| *place);
    let first = placed.iter().filter(|(place, _)| *place < READERS).count();
    placed.truncate(first.max(MIN_READERS));
    placed.into_iter().map(|(_, member)| member).collect()
}

/// When this VM may read the store itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plan {
    /// Whether the current view came from a read of its own.
    reads: bool,
    /// Time before which it doesn't repeat a read that has failed.
    retry_at: Time,
    /// The same while its view is younger than `FOLLOWER_MAX_AGE`.
    fresh_retry_at: Time,
    /// Number of its reads that have failed in a row, until `forget_at`.
    failures: u32,
    forget_at: Time,
}

impl Plan {
    /// Whether it reads the store now, given that no peer has a view newer than that of
    /// `confirmed_at`. `seed` spreads the reads of the VMs.
    pub fn is_due(&self, role: Role, confirmed_at: Time, seed: u64, now: Time) -> bool {
        let is_fresh = !confirmed_at.after(FOLLOWER_MAX_AGE).passed(now);
        let retry_at = if is_fresh { self.fresh_retry_at } else { self.retry_at };
        let limit = match role {
            Role::Alone | Role::Reader(0) => return retry_at.passed(now),
            Role::Unlisted => UNLISTED_MAX_AGE,
            Role::Reader(_) if self.reads => READER_POLL,
            Role::Reader(position) => READER_MAX_AGE + READER_STAGGER * position as u32,
            Role::Follower => FOLLOWER_MAX_AGE + spread(FOLLOWER_SPREAD, seed),
        };
        retry_at.passed(now) && confirmed_at.after(limit).passed(now)
    }

    /// Whether its latest read of the store failed a short time ago.
    pub fn has_failed(&self, now: Time) -> bool {
        self.failures > 0 && !self.forget_at.passed(now)
    }

    /// Whether the current view came from a read of its own.
    pub fn reads(&self) -> bool {
        self.reads
    }

    /// Records that the store answered.
    pub fn answered(&mut self) {
        *self = Self { reads: true, ..Self::default() };
    }

    /// Records that a peer had a newer snapshot.
    pub fn fetched(&mut self) {
        self.reads = false;
    }

    /// Records that a read of the store failed that was sent at `sent_at`. Pauses begin then:
    /// a call without an answer has taken a second already.
    pub fn failed(&mut self, role: Role, seed: u64, sent_at: Time) {
        self.reads = false;
        let failures = if self.has_failed(sent_at) { self.failures } else { 0 };
        self.failures = failures.saturating_add(1);
        self.forget_at = sent_at.after(FORGET_FAILURES);
        let doubled = 1 << (self.failures - 1).min(4);
        let pause = match role {
            Role::Alone | Role::Unlisted => return,
            Role::Reader(0 | 1) => FIRST_READERS_RETRY,
            Role::Reader(_) | Role::Follower => {
                (RETRY * doubled).min(MAX_RETRY) + spread(FOLLOWER_SPREAD, seed)
            }
        };
        self.retry_at = sent_at.after(pause);
        self.fresh_retry_at = sent_at.after((FRESH_RETRY * doubled).min(MAX_FRESH_RETRY));
    }

    /// Pause after an attempt that failed, `pause` at most: a read that is due is not delayed.
    pub fn pause(&self, pause: Duration, now: Time) -> Duration {
        if self.retry_at.passed(now) {
            return pause;
        }
        now.until(self.retry_at).max(MIN_PAUSE).min(pause)
    }

    /// Time of the next attempt to get a newer view, after one that began at `sent_at`;
    /// `poll` is the pause of a VM that reads for itself.
    pub fn next_at(
        &self,
        role: Role,
        sent_at: Time,
        confirmed_at: Time,
        poll: Duration,
        now: Time,
    ) -> Time {
        let next = match role {
            Role::Alone => return sent_at.after(poll),
            Role::Reader(0) if !self.has_failed(now) => sent_at.after(poll.min(READER_POLL)),
            Role::Reader(_) if self.reads => sent_at.after(poll.min(READER_POLL)),
            Role::Reader(_) => confirmed_at.after(poll.min(READER_POLL) + FETCH_LAG),
            Role::Unlisted | Role::Follower => {
                sent_at.after(poll).min(confirmed_at.after(FOLLOWER_POLL_AGE))
            }
        };
        next.max(now.after(MIN_PAUSE))
    }
}

/// A part of `range` that depends on `seed`.
fn spread(range: Duration, seed: u64) -> Duration {
    Duration::from_millis(seed % (range.as_millis() as u64).max(1))
}
