//! State of the other entry VMs, exchanged in datagrams.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use prost::Message;
use tokio::net::UdpSocket;

use super::channel::Relays;
use super::context::{Context, View};
use super::datagram::{Changed, Content, Datagram, Load, Opened, Row};
use super::grant;
use super::hand_over;
use super::jobs::{Jobs, Pending};
use super::limit::Gate;
use super::member::Member;
use super::path::Helpers;
use super::place::Contender;
use super::repeat::Budget;
use super::resume;
use super::upstream::{self, PeerLoad};
use crate::clock::Time;
use crate::emit;
use crate::event::Event;
use crate::id::{Organisation, Vm};

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// Time without a load report after which a peer's load isn't counted and its address
/// isn't given to callers.
pub(super) const SILENT_AFTER: Duration = Duration::from_millis(1_200);
/// Time without a load report after which a peer's entry is removed from the store.
const GONE_AFTER: Duration = Duration::from_millis(2_200);
/// The same while most other peers are silent too, so that this VM may be the one cut off.
const GONE_AFTER_IF_ISOLATED: Duration = Duration::from_millis(6_600);
/// Time after which the entry of a peer that reports the store as unreachable is removed
/// by a VM that can reach it.
const REMOVE_UNREACHABLE_AFTER: Duration = Duration::from_millis(300);
/// Latest load report of a peer.
#[derive(Clone, Debug)]
struct PeerState {
    address: SocketAddr,
    incarnation: u64,
    sequence: u64,
    rows: Vec<Row>,
    serving: bool,
    items_waiting: bool,
    items_in_time: u32,
    ejected: Vec<u32>,
    /// Whether it is cut off from the upstreams.
    cut_off: bool,
    /// Time since which all its reports have said that the store is unreachable.
    store_unreachable_since: Option<Time>,
    heard_at: Time,
}

impl PeerState {
    /// Whether the report is recent enough to count.
    fn is_recent(&self, now: Time) -> bool {
        !self.heard_at.after(SILENT_AFTER).passed(now)
    }
}

/// The other entry VMs of the fleet.
pub struct Peers {
    context: Rc<Context>,
    socket: UdpSocket,
    states: RefCell<HashMap<Vm, PeerState>>,
    pub(super) grant_requests: grant::Requests,
    /// VMs that didn't answer a request for a grant, with the time until which they aren't asked.
    pub(super) unanswered: RefCell<HashMap<Vm, Time>>,
    /// Organisations whose deputies had nothing left, with the time until which they aren't asked
    /// for new requests.
    pub(super) empty_reserves: RefCell<HashMap<Organisation, Time>>,
    pub(super) origin_requests: resume::Requests,
    pub(super) requesting: hand_over::Requesting,
    sequence: Cell<u64>,
    pub(super) report_budget: RefCell<Budget>,
    /// VMs whose statements were corrected, with the time until which they aren't again.
    pub(super) corrected: RefCell<HashMap<Vm, Time>>,
    started: Time,
    relays: Relays,
    helpers: Helpers,
}

impl Peers {
    /// Creates the state before any datagram was received; `relays` and `helpers` are
    /// kept up to date.
    pub fn new(
        context: Rc<Context>,
        socket: UdpSocket,
        relays: Relays,
        helpers: Helpers,
    ) -> Rc<Self> {
        let started = context.now();
        let gate = context.clone();
        let peers = Rc::new(Self {
            context,
            socket,
            states: RefCell::default(),
            grant_requests: grant::Requests::default(),
            unanswered: RefCell::default(),
            empty_reserves: RefCell::default(),
            origin_requests: resume::Requests::default(),
            requesting: hand_over::Requesting::default(),
            sequence: Cell::new(0),
            report_budget: RefCell::default(),
            corrected: RefCell::default(),
            started,
            relays,
            helpers,
        });
        let weak: Weak<dyn Gate> = Rc::downgrade(&(peers.clone() as Rc<dyn Gate>));
        gate.set_gate(weak);
        peers
    }

    /// State of the serving path.
    pub(super) fn context(&self) -> &Rc<Context> {
        &self.context
    }

    /// Receives and handles datagrams until the process exits.
    pub async fn listen(self: Rc<Self>, jobs: Rc<Jobs>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                // The error reports that the receiver's host refused an earlier datagram.
                tokio::task::yield_now().await;
                continue;
            };
            match Datagram::decode(&buffer[..length]) {
                Ok(datagram) => self.handle(datagram, from, &jobs),
                Err(error) => emit!(self.context.log, Event::PeerRefused,
                    "address" => from.to_string(), "reason" => error.to_string()),
            }
        }
    }

    /// Whether this VM accepts callers.
    pub fn serving(&self) -> bool {
        !self.context.stopping.get()
            && self.context.configuration().is_some()
            && self.context.in_contact()
    }

    /// Addresses of all members, and of VMs heard recently that aren't listed,
    /// which may be listed again.
    pub(super) fn others(&self) -> Vec<SocketAddr> {
        let view = self.context.view.borrow();
        let others = view.members.iter().filter(|listed| &listed.member.vm != self.context.vm());
        let listed = others.map(|listed| listed.member.peer);
        listed.chain(self.unlisted(&view)).collect()
    }

    /// Address to which datagrams for a VM are sent; none if it was never heard nor listed.
    pub(super) fn address_of(&self, vm: &Vm) -> Option<SocketAddr> {
        let view = self.context.view.borrow();
        let listed = view.members.iter().find(|listed| &listed.member.vm == vm);
        let listed = listed.map(|listed| listed.member.peer);
        listed.or_else(|| self.states.borrow().get(vm).map(|state| state.address))
    }

    /// Addresses of VMs that were heard recently and aren't members.
    fn unlisted(&self, view: &View) -> Vec<SocketAddr> {
        let now = self.context.now();
        let is_listed = |vm: &Vm| {
            view.members.iter().any(|listed| &listed.member.vm == vm) || vm == self.context.vm()
        };
        let states = self.states.borrow();
        let recent = states.iter().filter(|(_, state)| state.is_recent(now));
        recent.filter(|(vm, _)| !is_listed(vm)).map(|(_, state)| state.address).collect()
    }

    /// Sends a datagram to all other VMs; its size in bytes.
    pub(super) fn broadcast(&self, content: Content) -> usize {
        let bytes = self.datagram(content);
        for address in self.others() {
            self.send(&bytes, address);
        }
        bytes.len()
    }

    /// Sequence number of the next load report.
    pub(super) fn next_sequence(&self) -> u64 {
        self.sequence.set(self.sequence.get() + 1);
        self.sequence.get()
    }

    /// Sends a datagram to one VM.
    pub(super) fn send_to(&self, content: Content, address: SocketAddr) {
        self.send(&self.datagram(content), address);
    }

    fn datagram(&self, content: Content) -> Vec<u8> {
        let vm = self.context.vm().to_string();
        let incarnation = self.context.member.incarnation;
        Datagram { vm, incarnation, content: Some(content) }.encode_to_vec()
    }

    fn send(&self, bytes: &[u8], address: SocketAddr) {
        // A datagram that can't be sent now is handled like one lost on the way.
        let _ = self.socket.try_send_to(bytes, address);
    }

    fn handle(self: &Rc<Self>, datagram: Datagram, from: SocketAddr, jobs: &Rc<Jobs>) {
        match datagram.content {
            Some(Content::Load(load)) => {
                self.record_leaving(&datagram.vm, &load.leaving);
                if self.record_cold(&datagram.vm, &load.cold) {
                    self.correct(&Vm::from(datagram.vm.as_str()), from);
                }
                self.record_evacuated(&datagram.vm, &load.evacuated);
                load.ended.iter().for_each(|job| jobs.record_ended(job));
                self.record_load(Vm::from(datagram.vm), datagram.incarnation, from, load);
            }
            Some(Content::TokenRequest(request)) => {
                let grant = self.grant_token(&request);
                self.send_to(Content::Grant(grant), from);
            }
            Some(Content::ReleaseRequest(request)) => {
                self.release_bucket(&datagram.vm, &request, from);
            }
            Some(Content::Release(release)) => self.accept_bucket(&datagram.vm, &release),
            Some(Content::SendRequest(request)) => {
                let grant = self.grant_send(&datagram.vm, &request);
                self.send_to(Content::Grant(grant), from);
            }
            Some(Content::Granted(granted)) => {
                let vm = Vm::from(datagram.vm);
                self.record_limited(&vm, datagram.incarnation, &granted.limited);
            }
            Some(Content::Grant(grant)) => self.grant_requests.deliver(grant),
            Some(Content::Changed(changed)) => jobs.record_ended(&changed.job),
            Some(Content::Opened(opened)) => {
                let Some(pending) = opened.pending else { return };
                jobs.directory.borrow_mut().announce(&opened.job, pending, self.context.now());
            }
            Some(Content::Crashes(report)) => self.handle_crashes(&datagram.vm, &report),
            Some(Content::Origins(report)) => {
                let now = self.context.now();
                self.context.origins.borrow_mut().merge(&report.records, now);
            }
            Some(Content::OriginRequest(request)) => {
                let reply = resume::reply(&self.context, &request);
                self.send_to(Content::OriginReply(reply), from);
            }
            Some(Content::OriginReply(reply)) => self.origin_requests.deliver(reply),
            None => {}
        }
    }

    fn record_load(&self, vm: Vm, incarnation: u64, address: SocketAddr, load: Load) {
        let now = self.context.now();
        let states = self.states.borrow();
        if let Some(last) = states.get(&vm)
            && last.incarnation == incarnation
            && last.sequence >= load.sequence
        {
            return;
        }
        let last = states.get(&vm);
        let is_new = last.is_none_or(|last| last.incarnation != incarnation);
        let was_silent = last.is_none_or(|last| !last.is_recent(now));
        // Before it has read the store it can't use what it is told of upstreams.
        let begins = load.serving && last.is_none_or(|last| !last.serving);
        drop(states);
        if is_new {
            self.send_crashes(address);
        }
        if is_new || was_silent || begins {
            self.send_state(address);
        }
        self.record_limited(&vm, incarnation, &load.limited);
        self.record_online_denied(&vm, load.online_denied);
        let mut states = self.states.borrow_mut();
        let (sequence, rows, serving) = (load.sequence, load.rows, load.serving);
        let before = states.get(&vm).and_then(|last| last.store_unreachable_since);
        let store_unreachable_since =
            if load.store_reachable { None } else { Some(before.unwrap_or(now)) };
        let items_waiting = load.items_waiting;
        let state = PeerState {
            address,
            incarnation,
            sequence,
            rows,
            serving,
            items_waiting,
            items_in_time: load.items_in_time,
            ejected: load.ejected,
            cut_off: load.cut_off,
            store_unreachable_since,
            heard_at: now,
        };
        states.insert(vm, state);
        drop(states);
        self.recount();
    }

    /// Recomputes all that derives from the reports of peers heard recently.
    pub fn recount(&self) {
        let now = self.context.now();
        let states = self.states.borrow();
        let recent = states.iter().filter(|(_, state)| state.is_recent(now));
        let loads = recent.flat_map(|(vm, state)| {
            let yields_first = vm < self.context.vm();
            state.rows.iter().map(move |row| PeerLoad {
                upstream: row.upstream,
                load: upstream::Load { online: row.online, batch: row.batch },
                yields_first,
            })
        });
        let failed = states
            .values()
            .filter(|state| state.is_recent(now))
            .flat_map(|state| state.ejected.iter().copied());
        let mut table = self.context.table.borrow_mut();
        table.set_peer_loads(loads);
        table.set_peer_failures(failed);
        drop(table);
        let waiting = states
            .iter()
            .filter(|(_, state)| state.items_waiting && state.is_recent(now))
            .map(|(vm, state)| Contender { vm: vm.clone(), items: state.items_in_time });
        *self.context.contenders.borrow_mut() = waiting.collect();
        self.context.work_changed.notify_one();
        drop(states);
        self.update_relays();
        self.update_helpers();
    }

    /// Updates the list of peers that can reach the store.
    fn update_relays(&self) {
        let states = self.states.borrow();
        let view = self.context.view.borrow();
        let reachable = view.members.iter().map(|listed| &listed.member).filter(|member| {
            let last = states.get(&member.vm);
            last.is_some_and(|last| last.store_unreachable_since.is_none())
                && !self.is_silent(&member.vm, SILENT_AFTER)
        });
        *self.relays.borrow_mut() = reachable.map(|member| member.relay).collect();
    }

    /// Updates the list of peers that reach the upstreams.
    fn update_helpers(&self) {
        let states = self.states.borrow();
        let view = self.context.view.borrow();
        let helpers = view.members.iter().map(|listed| &listed.member).filter(|member| {
            &member.vm != self.context.vm()
                && !member.leaving
                && states.get(&member.vm).is_some_and(|last| !last.cut_off)
                && !self.is_silent(&member.vm, SILENT_AFTER)
        });
        *self.helpers.borrow_mut() = helpers.filter_map(|member| member.tunnel).collect();
    }

    /// Announces to all other VMs that this one has accepted a job.
    pub fn announce_job(&self, job: &str, pending: Pending) {
        let opened = Opened { job: job.to_owned(), pending: Some(pending) };
        self.broadcast(Content::Opened(opened));
    }

    /// Notifies the owner of a job that the job was cancelled.
    pub fn notify_job_changed(&self, owner: &str, job: &str) {
        let view = self.context.view.borrow();
        let member = view.members.iter().find(|listed| listed.member.vm.as_str() == owner);
        if let Some(listed) = member {
            let changed = Content::Changed(Changed { job: job.to_owned() });
            self.send_to(changed, listed.member.peer);
        }
    }

    /// Whether a VM has sent no load report for `span`.
    pub fn is_silent(&self, vm: &Vm, span: Duration) -> bool {
        let states = self.states.borrow();
        let last = states.get(vm).map_or(self.started, |state| state.heard_at);
        last.after(span).passed(self.context.now())
    }

    /// Whether a VM should no longer be listed: it is silent, or has reported the
    /// store as unreachable for a while. If this VM doesn't hear most of the others,
    /// it may itself be cut off and waits longer.
    pub fn is_gone(&self, member: &Member) -> bool {
        let states = self.states.borrow();
        let store_unreachable_since =
            states.get(&member.vm).and_then(|state| state.store_unreachable_since);
        drop(states);
        let store_unreachable = store_unreachable_since
            .is_some_and(|since| since.after(REMOVE_UNREACHABLE_AFTER).passed(self.context.now()));
        let limit = if self.hears_majority() { GONE_AFTER } else { GONE_AFTER_IF_ISOLATED };
        store_unreachable || self.is_silent(&member.vm, limit)
    }

    /// Whether a peer accepts callers and was heard recently. A listed peer that was never
    /// heard may have ended long ago: its entry stays while no VM can remove it.
    pub fn accepts_callers(&self, vm: &Vm) -> bool {
        let now = self.context.now();
        let states = self.states.borrow();
        states.get(vm).is_some_and(|state| state.serving && state.is_recent(now))
    }

    /// Whether more than half of the other VMs, members or not, were heard
    /// recently: then a silent VM is more likely gone than this one cut off.
    pub fn hears_majority(&self) -> bool {
        let view = self.context.view.borrow();
        let others = view.members.iter().filter(|listed| &listed.member.vm != self.context.vm());
        let unlisted = self.unlisted(&view).len();
        let (mut all, mut heard) = (unlisted, unlisted);
        for listed in others {
            all += 1;
            heard += usize::from(!self.is_silent(&listed.member.vm, SILENT_AFTER));
        }
        heard * 2 > all || all == 0
    }
}
