//! A simulated VM.

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

/// A message from a peer, or a reply or failure of a call.
#[derive(Clone, Debug)]
pub(super) enum Message {
    HeartbeatRequest { heartbeat: Heartbeat },
    HeartbeatReply { heartbeat: Heartbeat },
    HeartbeatFailed { to: Vm },
    FetchRequest { version: u64 },
    FetchReply { delta: Delta },
    PushRequest { delta: Delta, requested_at: Time },
    PushReply { version: u64, requested_at: Time },
    PushFailed { to: Vm },
    Confirmed { requested_at: Time, version: Option<u64> },
    Range { range: Range },
    Swapped { purpose: Purpose, reply: error::Result<Swapped> },
}

/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

impl Message {
    /// Encoded size of a message between VMs, in bytes; 0 for other messages.
    pub(super) fn wire_bytes(&self, call: u64) -> usize {
        let member = |heartbeat: &Heartbeat| {
            let body = Some(member::Body::Heartbeat(heartbeat.clone()));
            Body::Member(member::Message { body })
        };
        let config = |body| Body::Config(config::Message { body: Some(body) });
        let (answer, body) = match self {
            Message::HeartbeatRequest { heartbeat } => (false, member(heartbeat)),
            Message::HeartbeatReply { heartbeat } => (true, member(heartbeat)),
            Message::FetchRequest { version } => (false, config(config::Body::Fetch(*version))),
            Message::FetchReply { delta } => {
                (true, config(config::Body::Delta(delta.clone().into())))
            }
            Message::PushRequest { delta, .. } => {
                (false, config(config::Body::Delta(delta.clone().into())))
            }
            Message::PushReply { version, .. } => (true, config(config::Body::Version(*version))),
            _ => return 0,
        };
        LENGTH_BYTES + Frame { call, answer, body: Some(body) }.encoded_len()
    }
}

/// The sender of a message. A reply is delivered only to the incarnation that
/// made the call.
#[derive(Clone, Debug)]
pub(super) struct Sender {
    pub(super) index: usize,
    pub(super) vm: Vm,
    pub(super) incarnation: u32,
}

/// What a compare-and-swap was issued for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// An operator's write.
    Write(u64),
    /// The member table.
    Table,
}

/// An operator's write in progress.
pub(super) struct Operation {
    pub(super) number: u64,
    pub(super) id: Id,
    pub(super) live: bool,
    pub(super) write: Write,
    /// Version at which the write was applied, and the time at which waiting
    /// for acceptance ends.
    pub(super) applied: Option<(u64, Time)>,
}

/// A simulated VM.
pub(super) struct Node {
    pub(super) vm: Vm,
    pub(super) data_centre: DataCentre,
    pub(super) machine: Machine,
    pub(super) roster: Roster,
    /// Incremented at each start; messages to an earlier incarnation are
    /// dropped.
    pub(super) incarnation: u32,
    /// Offset of this VM's clock from the simulation's clock.
    pub(super) skew: Time,
    pub(super) up: bool,
    pub(super) paused_until: Time,
    pub(super) deferred: Vec<(Option<Sender>, Message)>,
    pub(super) operations: Vec<Operation>,
    pub(super) next_renewal_at: Time,
    pub(super) next_table_at: Time,
    pub(super) table_swap_pending: bool,
    /// Network partition that the VM is in; 0 if the network is healthy.
    pub(super) partition: u8,
    /// Whether the VM can reach the platform.
    pub(super) reaches_platform: bool,
}

impl Node {
    pub(super) fn new(
        vm: Vm,
        data_centre: DataCentre,
        now: Time,
        skew: Time,
        incarnation: u32,
        offset: u32,
    ) -> Self {
        let local_time = Time(now.0 + skew.0);
        Self {
            machine: Machine::new(vm.clone(), data_centre.clone(), local_time, offset),
            vm,
            data_centre,
            roster: Roster::default(),
            incarnation,
            skew,
            up: true,
            paused_until: Time(0),
            deferred: Vec::new(),
            operations: Vec::new(),
            next_renewal_at: now,
            next_table_at: now,
            table_swap_pending: false,
            partition: 0,
            reaches_platform: true,
        }
    }

    pub(super) fn sender(&self, index: usize) -> Sender {
        Sender { index, vm: self.vm.clone(), incarnation: self.incarnation }
    }

    /// Time of this VM's own clock.
    pub(super) fn local_time(&self, now: Time) -> Time {
        Time(now.0 + self.skew.0)
    }

    pub(super) fn is_paused(&self, now: Time) -> bool {
        !self.paused_until.passed(now)
    }

    /// Whether this VM serves requests that need an API key.
    pub(super) fn serves(&self, now: Time) -> bool {
        let local_time = self.local_time(now);
        self.up
            && !self.is_paused(now)
            && !self.machine.contact_deadline(local_time).passed(local_time)
    }
}
