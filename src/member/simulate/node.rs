//! One VM of a random run.

use crate::clock::Time;
use crate::config::Delta;
use crate::config::{Id, Write};
use crate::error;
use crate::id::{DataCentre, Vm};
use crate::kv::{Range, Swapped};
use crate::member::{Machine, Roster};
use crate::wire::member::Heartbeat;
use crate::wire::{Body, Frame, config, member};
use prost::Message as _;

/// What one VM or the platform sends to a VM.
#[derive(Clone, Debug)]
pub(super) enum Message {
    BeatCall { beat: Heartbeat },
    BeatAnswer { beat: Heartbeat },
    BeatFailed { to: Vm },
    FetchCall { version: u64 },
    FetchAnswer { delta: Delta },
    PushCall { delta: Delta, asked: Time },
    PushAnswer { version: u64, asked: Time },
    PushFailed { to: Vm },
    Confirmed { asked: Time, version: Option<u64> },
    Range { range: Range },
    Swapped { ticket: Ticket, reply: error::Result<Swapped> },
}

/// Bytes before each frame that give its length.
const LENGTH_BYTES: usize = 4;

impl Message {
    /// Length on the wire of what goes between VMs.
    pub(super) fn wire_bytes(&self, call: u64) -> usize {
        let member = |beat: &Heartbeat| {
            let body = Some(member::Body::Heartbeat(beat.clone()));
            Body::Member(member::Message { body })
        };
        let config = |body| Body::Config(config::Message { body: Some(body) });
        let (answer, body) = match self {
            Message::BeatCall { beat } => (false, member(beat)),
            Message::BeatAnswer { beat } => (true, member(beat)),
            Message::FetchCall { version } => (false, config(config::Body::Fetch(*version))),
            Message::FetchAnswer { delta } => {
                (true, config(config::Body::Delta(delta.clone().into())))
            }
            Message::PushCall { delta, .. } => {
                (false, config(config::Body::Delta(delta.clone().into())))
            }
            Message::PushAnswer { version, .. } => (true, config(config::Body::Version(*version))),
            _ => return 0,
        };
        LENGTH_BYTES + Frame { call, answer, body: Some(body) }.encoded_len()
    }
}

/// Who sent a message; an answer reaches only the incarnation that called.
#[derive(Clone, Debug)]
pub(super) struct Sender {
    pub(super) index: usize,
    pub(super) vm: Vm,
    pub(super) incarnation: u32,
}

/// Whose swap is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ticket {
    /// An operator's write.
    Write(u64),
    /// The table of members.
    Table,
}

/// An operator's write in progress.
pub(super) struct Job {
    pub(super) number: u64,
    pub(super) address: Id,
    pub(super) live: bool,
    pub(super) write: Write,
    /// Version at which it was applied, and when to give up waiting.
    pub(super) applied: Option<(u64, Time)>,
}

/// One VM.
pub(super) struct Node {
    pub(super) vm: Vm,
    pub(super) centre: DataCentre,
    pub(super) machine: Machine,
    pub(super) roster: Roster,
    /// Rises with each start; what was meant for an earlier one is dropped.
    pub(super) incarnation: u32,
    /// How far this VM's clock is ahead of the run's.
    pub(super) skew: Time,
    pub(super) up: bool,
    pub(super) frozen_until: Time,
    pub(super) waiting: Vec<(Option<Sender>, Message)>,
    pub(super) jobs: Vec<Job>,
    pub(super) next_lease: Time,
    pub(super) next_table: Time,
    pub(super) table_under_way: bool,
    /// Which side of a cut it is on, and whether it reaches the platform.
    pub(super) side: u8,
    pub(super) reaches_platform: bool,
}

impl Node {
    pub(super) fn new(
        vm: Vm,
        centre: DataCentre,
        now: Time,
        skew: Time,
        incarnation: u32,
        offset: u32,
    ) -> Self {
        let local = Time(now.0 + skew.0);
        Self {
            machine: Machine::new(vm.clone(), centre.clone(), local, offset),
            vm,
            centre,
            roster: Roster::default(),
            incarnation,
            skew,
            up: true,
            frozen_until: Time(0),
            waiting: Vec::new(),
            jobs: Vec::new(),
            next_lease: now,
            next_table: now,
            table_under_way: false,
            side: 0,
            reaches_platform: true,
        }
    }

    pub(super) fn sender(&self, index: usize) -> Sender {
        Sender { index, vm: self.vm.clone(), incarnation: self.incarnation }
    }

    /// This VM's own clock.
    pub(super) fn local(&self, now: Time) -> Time {
        Time(now.0 + self.skew.0)
    }

    pub(super) fn is_frozen(&self, now: Time) -> bool {
        !self.frozen_until.passed(now)
    }

    /// Whether this VM would serve keyed work.
    pub(super) fn serves(&self, now: Time) -> bool {
        let local = self.local(now);
        self.up && !self.is_frozen(now) && !self.machine.contact_deadline(local).passed(local)
    }
}
