//! What other entry VMs said, and the socket over which they say it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use super::channel::Relays;
use super::configuration::Tenant;
use super::context::{Context, View};
use super::crash;
use super::datagram::{
    Changed, Content, Crashes, Datagram, Grant, Load, Opened, Row, TokenRequest,
};
use super::jobs::{Jobs, Pending};
use super::member::{Member, owner};
use super::rate;
use super::upstream::{self, PeerLoad};
use crate::clock::Time;
use crate::emit;
use crate::event::Event;
use crate::id::Vm;

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Pause between two messages of load that changes.
const LOAD_PAUSE: Duration = Duration::from_millis(8);
/// Longest time between two messages of load, in a small fleet.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// The same in a fleet of more than `FEW` members; well within `SILENT`.
const LARGE_HEARTBEAT: Duration = Duration::from_millis(500);
/// Time after which crashes are told again.
const CRASH_REPEAT: Duration = Duration::from_millis(1_000);
/// Members of a small fleet.
const FEW: usize = 12;
/// Silence after which a peer's load isn't counted and callers aren't sent to it.
const SILENT: Duration = Duration::from_millis(1_200);
/// Silence after which a peer's entry is removed from the store.
const GONE: Duration = Duration::from_millis(2_200);
/// The same, while most other peers are silent too.
const GONE_IF_ALONE: Duration = Duration::from_millis(6_600);
/// Age of the store's last answer from which a VM says that it is out of touch.
const OUT_OF_TOUCH: Duration = Duration::from_millis(2_000);
/// Time out of touch after which a peer's entry is removed, if others can.
const REMOVE_OUT_OF_TOUCH: Duration = Duration::from_millis(300);
/// Wait for the answer of another VM, for each of `ASKS` questions.
const ASK_TIMEOUT: Duration = Duration::from_millis(40);
/// Questions for one token before the reserve is used.
const ASKS: usize = 2;

#[derive(Clone, Debug)]
struct Heard {
    address: SocketAddr,
    incarnation: u64,
    sequence: u64,
    rows: Vec<Row>,
    serving: bool,
    items_waiting: bool,
    ejected: Vec<u32>,
    /// Since when it has said without a break that it is out of touch.
    store_unreachable_since: Option<Time>,
    at: Time,
}

impl Heard {
    /// Whether it was heard so lately that it counts.
    fn lately(&self, now: Time) -> bool {
        !self.at.after(SILENT).passed(now)
    }
}

/// Other entry VMs.
pub struct Peers {
    context: Rc<Context>,
    socket: UdpSocket,
    heard: RefCell<HashMap<Vm, Heard>>,
    token_requests: RefCell<HashMap<u64, oneshot::Sender<Grant>>>,
    sequence: Cell<u64>,
    started: Time,
    relays: Relays,
}

impl Peers {
    /// Listens on `socket`.
    pub fn new(context: Rc<Context>, socket: UdpSocket, relays: Relays) -> Rc<Self> {
        let started = context.now();
        Rc::new(Self {
            context,
            socket,
            heard: RefCell::default(),
            token_requests: RefCell::default(),
            sequence: Cell::new(0),
            started,
            relays,
        })
    }

    /// Handles datagrams for ever.
    pub async fn listen(self: Rc<Self>, jobs: Rc<Jobs>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                // An earlier datagram was refused by its receiver's host.
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

    /// Says this VM's load whenever it changes, for ever.
    pub async fn announce(self: Rc<Self>) {
        loop {
            let members = self.context.view.borrow().members.len();
            let heartbeat = if members > FEW { LARGE_HEARTBEAT } else { HEARTBEAT };
            let _ = tokio::time::timeout(heartbeat, self.context.load_changed.notified()).await;
            self.send_load();
            tokio::time::sleep(LOAD_PAUSE).await;
        }
    }

    /// Tells what crashes this VM saw, at once and again and again, for ever.
    pub async fn announce_crashes(self: Rc<Self>) {
        loop {
            let seen = self.context.crash_seen.notified();
            let _ = tokio::time::timeout(CRASH_REPEAT, seen).await;
            let crashes = self.context.crashes.borrow().own(self.context.now());
            if crashes.is_empty() {
                continue;
            }
            self.tell_all(Content::Crashes(Crashes { crashes }));
        }
    }

    /// Says this VM's load once.
    pub fn send_load(&self) {
        self.sequence.set(self.sequence.get() + 1);
        let rows = self.rows();
        let serving = self.serving();
        let confirmed_at = self.context.view.borrow().confirmed_at;
        let store_reachable = !confirmed_at.after(OUT_OF_TOUCH).passed(self.context.now());
        let items_waiting = self.context.items_waiting.get();
        let ejected = self.context.table.borrow().ejected(self.context.now());
        let sequence = self.sequence.get();
        let load = Load { sequence, rows, serving, store_reachable, items_waiting, ejected };
        self.tell_all(Content::Load(load));
    }

    fn rows(&self) -> Vec<Row> {
        let table = self.context.table.borrow();
        let busy = table.iter().filter(|(_, entry)| entry.own.total() > 0);
        let row = |(_, entry): (_, &upstream::Entry)| Row {
            upstream: entry.number,
            online: entry.own.online,
            batch: entry.own.batch,
        };
        busy.map(row).collect()
    }

    /// Whether this VM takes callers.
    pub fn serving(&self) -> bool {
        !self.context.stopping.get()
            && self.context.configuration().is_some()
            && self.context.in_contact()
    }

    /// Addresses of all members, and of VMs that were heard lately though they
    /// aren't listed: they may have to be listed again.
    fn others(&self) -> Vec<SocketAddr> {
        let view = self.context.view.borrow();
        let others = view.members.iter().filter(|listed| &listed.member.vm != self.context.vm());
        let listed = others.map(|listed| listed.member.peer);
        listed.chain(self.unlisted(&view)).collect()
    }

    /// Addresses of VMs that were heard lately and aren't members.
    fn unlisted(&self, view: &View) -> Vec<SocketAddr> {
        let now = self.context.now();
        let is_listed = |vm: &Vm| {
            view.members.iter().any(|listed| &listed.member.vm == vm) || vm == self.context.vm()
        };
        let heard = self.heard.borrow();
        let lately = heard.iter().filter(|(_, heard)| heard.lately(now));
        lately.filter(|(vm, _)| !is_listed(vm)).map(|(_, heard)| heard.address).collect()
    }

    fn tell_all(&self, content: Content) {
        let bytes = self.datagram(content);
        for address in self.others() {
            self.send(&bytes, address);
        }
    }

    fn datagram(&self, content: Content) -> Vec<u8> {
        let vm = self.context.vm().to_string();
        let incarnation = self.context.member.incarnation;
        Datagram { vm, incarnation, content: Some(content) }.encode_to_vec()
    }

    fn send(&self, bytes: &[u8], address: SocketAddr) {
        // A datagram that can't be sent now is as good as lost on the way.
        let _ = self.socket.try_send_to(bytes, address);
    }

    fn handle(&self, datagram: Datagram, from: SocketAddr, jobs: &Rc<Jobs>) {
        match datagram.content {
            Some(Content::Load(load)) => {
                self.note_load(Vm::from(datagram.vm), datagram.incarnation, from, load);
            }
            Some(Content::TokenRequest(ask)) => {
                let grant = self.grant(&ask);
                self.send(&self.datagram(Content::Grant(grant)), from);
            }
            Some(Content::Grant(grant)) => {
                let waiting = self.token_requests.borrow_mut().remove(&grant.request_id);
                if let Some(waiting) = waiting {
                    // The question may have been given up meanwhile.
                    let _ = waiting.send(grant);
                }
            }
            Some(Content::Changed(changed)) => jobs.drop_job(&changed.job, "another VM ended it"),
            Some(Content::Opened(opened)) => {
                let Some(pending) = opened.pending else { return };
                jobs.directory.borrow_mut().announce(&opened.job, pending, self.context.now());
            }
            Some(Content::Crashes(said)) => crash::merge(&self.context, &said.crashes),
            None => {}
        }
    }

    fn note_load(&self, vm: Vm, incarnation: u64, address: SocketAddr, load: Load) {
        let now = self.context.now();
        let mut heard = self.heard.borrow_mut();
        if let Some(last) = heard.get(&vm)
            && last.incarnation == incarnation
            && last.sequence >= load.sequence
        {
            return;
        }
        let (sequence, rows, serving) = (load.sequence, load.rows, load.serving);
        let before = heard.get(&vm).and_then(|last| last.store_unreachable_since);
        let store_unreachable_since =
            if load.store_reachable { None } else { Some(before.unwrap_or(now)) };
        let items_waiting = load.items_waiting;
        let said = Heard {
            address,
            incarnation,
            sequence,
            rows,
            serving,
            items_waiting,
            ejected: load.ejected,
            store_unreachable_since,
            at: now,
        };
        heard.insert(vm, said);
        drop(heard);
        self.recount();
    }

    /// Counts the loads of all peers that were heard lately.
    pub fn recount(&self) {
        let now = self.context.now();
        let heard = self.heard.borrow();
        let lately = heard.iter().filter(|(_, heard)| heard.lately(now));
        let loads = lately.flat_map(|(vm, heard)| {
            let yields_first = vm < self.context.vm();
            heard.rows.iter().map(move |row| PeerLoad {
                upstream: row.upstream,
                load: upstream::Load { online: row.online, batch: row.batch },
                yields_first,
            })
        });
        let failed = heard
            .values()
            .filter(|heard| heard.lately(now))
            .flat_map(|heard| heard.ejected.iter().copied());
        let mut table = self.context.table.borrow_mut();
        table.set_peer_loads(loads);
        table.set_peer_failures(failed);
        drop(table);
        let waiting = heard
            .iter()
            .filter(|(_, heard)| heard.items_waiting && heard.lately(now))
            .map(|(vm, _)| vm.clone());
        *self.context.contenders.borrow_mut() = waiting.collect();
        self.context.work_changed.notify_one();
        drop(heard);
        self.choose_relays();
    }

    /// Lists the VMs that the store answers.
    fn choose_relays(&self) {
        let heard = self.heard.borrow();
        let view = self.context.view.borrow();
        let touched = view.members.iter().map(|listed| &listed.member).filter(|member| {
            let last = heard.get(&member.vm);
            last.is_some_and(|last| last.store_unreachable_since.is_none())
                && !self.is_silent(&member.vm, SILENT)
        });
        *self.relays.borrow_mut() = touched.map(|member| member.relay).collect();
    }

    fn grant(&self, ask: &TokenRequest) -> Grant {
        let organisation = ask.organisation.as_str().into();
        let configuration = self.context.configuration();
        let tenant = configuration.as_ref().and_then(|all| all.tenant(&organisation));
        let grant = tenant.map_or(rate::Grant::NotHolder, |tenant| {
            self.context.limiter.borrow_mut().grant(tenant, self.context.now())
        });
        let (granted, not_holder, wait_ms) = match grant {
            rate::Grant::Granted => (true, false, 0),
            rate::Grant::NotHolder => (false, true, 0),
            rate::Grant::Exceeded(wait) => (false, false, wait.as_millis() as u64),
        };
        Grant { request_id: ask.request_id, granted, not_holder, wait_ms }
    }

    /// Takes a token of an organisation; says where it came from.
    pub async fn take_token(&self, tenant: &Tenant) -> (rate::Grant, &'static str) {
        let own = self.context.limiter.borrow_mut().take_local(tenant, self.context.now());
        if own == rate::Grant::Granted {
            return (own, "own piece");
        }
        let holder = {
            let view = self.context.view.borrow();
            owner(&view.members, tenant.organisation.as_str()).cloned()
        };
        let answer = match holder {
            Some(member) if &member.vm == self.context.vm() => {
                let grant = self.context.limiter.borrow_mut().grant(tenant, self.context.now());
                (grant, "own bucket")
            }
            Some(member) => (self.ask(&member, tenant).await, "holder"),
            None => (rate::Grant::NotHolder, "no holder"),
        };
        if answer.0 != rate::Grant::NotHolder {
            return answer;
        }
        let grant = self.context.limiter.borrow_mut().take_reserve(tenant, self.context.now());
        (grant, "reserve")
    }

    async fn ask(&self, holder: &Member, tenant: &Tenant) -> rate::Grant {
        if self.is_silent(&holder.vm, SILENT) {
            return rate::Grant::NotHolder;
        }
        for _ in 0..ASKS {
            let request_id = self.context.random();
            let (sender, receiver) = oneshot::channel();
            self.token_requests.borrow_mut().insert(request_id, sender);
            let organisation = tenant.organisation.to_string();
            let ask = Content::TokenRequest(TokenRequest { request_id, organisation });
            self.send(&self.datagram(ask), holder.peer);
            let answer = tokio::time::timeout(ASK_TIMEOUT, receiver).await;
            self.token_requests.borrow_mut().remove(&request_id);
            let Ok(Ok(grant)) = answer else { continue };
            return match grant {
                Grant { granted: true, .. } => rate::Grant::Granted,
                Grant { not_holder: true, .. } => rate::Grant::NotHolder,
                Grant { wait_ms, .. } => rate::Grant::Exceeded(Duration::from_millis(wait_ms)),
            };
        }
        rate::Grant::NotHolder
    }

    /// Tells all other VMs that this one has accepted a job.
    pub fn announce_job(&self, job: &str, pending: Pending) {
        let opened = Opened { job: job.to_owned(), pending: Some(pending) };
        self.tell_all(Content::Opened(opened));
    }

    /// Tells the owner of a job that it has ended.
    pub fn notify_job_changed(&self, owner: &str, job: &str) {
        let view = self.context.view.borrow();
        let member = view.members.iter().find(|listed| listed.member.vm.as_str() == owner);
        if let Some(listed) = member {
            let changed = Content::Changed(Changed { job: job.to_owned() });
            self.send(&self.datagram(changed), listed.member.peer);
        }
    }

    /// Whether nothing was heard from a VM for `span`.
    pub fn is_silent(&self, vm: &Vm, span: Duration) -> bool {
        let heard = self.heard.borrow();
        let last = heard.get(vm).map_or(self.started, |heard| heard.at);
        last.after(span).passed(self.context.now())
    }

    /// Whether a VM should no longer be listed: it is silent, or has been without
    /// contact with the store for a while. Where this VM hears less than half of
    /// the others it may itself be cut off, and waits longer.
    pub fn is_gone(&self, member: &Member) -> bool {
        let heard = self.heard.borrow();
        let store_unreachable_since =
            heard.get(&member.vm).and_then(|heard| heard.store_unreachable_since);
        drop(heard);
        let untouched = store_unreachable_since
            .is_some_and(|since| since.after(REMOVE_OUT_OF_TOUCH).passed(self.context.now()));
        let patience = if self.hears_majority() { GONE } else { GONE_IF_ALONE };
        untouched || self.is_silent(&member.vm, patience)
    }

    /// Whether a peer said that it takes callers, and was heard lately.
    pub fn accepts_callers(&self, vm: &Vm) -> bool {
        let serving = self.heard.borrow().get(vm).is_none_or(|heard| heard.serving);
        serving && !self.is_silent(vm, SILENT)
    }

    /// Whether more than half of the other VMs, members or not, were heard
    /// lately, so that a silent one is gone rather than this VM cut off.
    pub fn hears_majority(&self) -> bool {
        let view = self.context.view.borrow();
        let others = view.members.iter().filter(|listed| &listed.member.vm != self.context.vm());
        let unlisted = self.unlisted(&view).len();
        let (mut all, mut heard) = (unlisted, unlisted);
        for listed in others {
            all += 1;
            heard += usize::from(!self.is_silent(&listed.member.vm, SILENT));
        }
        heard * 2 > all || all == 0
    }
}
