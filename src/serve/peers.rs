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
use super::crash;
use super::fleet::{Fleet, View};
use super::jobs::{Jobs, Pending};
use super::member::{Member, owner};
use super::peer::{Ask, Changed, Content, Crashes, Datagram, Grant, Load, Opened, Row};
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
    items_wait: bool,
    ejected: Vec<u32>,
    /// Since when it has said without a break that it is out of touch.
    untouched_since: Option<Time>,
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
    fleet: Rc<Fleet>,
    socket: UdpSocket,
    heard: RefCell<HashMap<Vm, Heard>>,
    questions: RefCell<HashMap<u64, oneshot::Sender<Grant>>>,
    sequence: Cell<u64>,
    started: Time,
    relays: Relays,
}

impl Peers {
    /// Listens on `socket`.
    pub fn new(fleet: Rc<Fleet>, socket: UdpSocket, relays: Relays) -> Rc<Self> {
        let started = fleet.now();
        Rc::new(Self {
            fleet,
            socket,
            heard: RefCell::default(),
            questions: RefCell::default(),
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
                Err(error) => emit!(self.fleet.log, Event::PeerRefused,
                    "address" => from.to_string(), "reason" => error.to_string()),
            }
        }
    }

    /// Says this VM's load whenever it changes, for ever.
    pub async fn announce(self: Rc<Self>) {
        loop {
            let members = self.fleet.view.borrow().members.len();
            let heartbeat = if members > FEW { LARGE_HEARTBEAT } else { HEARTBEAT };
            let _ = tokio::time::timeout(heartbeat, self.fleet.load_changed.notified()).await;
            self.say_load();
            tokio::time::sleep(LOAD_PAUSE).await;
        }
    }

    /// Tells what crashes this VM saw, at once and again and again, for ever.
    pub async fn announce_crashes(self: Rc<Self>) {
        loop {
            let seen = self.fleet.crash_seen.notified();
            let _ = tokio::time::timeout(CRASH_REPEAT, seen).await;
            let crashes = self.fleet.crashes.borrow().own(self.fleet.now());
            if crashes.is_empty() {
                continue;
            }
            self.tell_all(Content::Crashes(Crashes { crashes }));
        }
    }

    /// Says this VM's load once.
    pub fn say_load(&self) {
        self.sequence.set(self.sequence.get() + 1);
        let rows = self.rows();
        let serving = self.serving();
        let confirmed = self.fleet.view.borrow().confirmed;
        let in_touch = !confirmed.after(OUT_OF_TOUCH).passed(self.fleet.now());
        let items_wait = self.fleet.items_wait.get();
        let ejected = self.fleet.table.borrow().ejected(self.fleet.now());
        let sequence = self.sequence.get();
        let load = Load { sequence, rows, serving, in_touch, items_wait, ejected };
        self.tell_all(Content::Load(load));
    }

    fn rows(&self) -> Vec<Row> {
        let table = self.fleet.table.borrow();
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
        !self.fleet.stopping.get()
            && self.fleet.configuration().is_some()
            && self.fleet.in_contact()
    }

    /// Addresses of all members, and of VMs that were heard lately though they
    /// aren't listed: they may have to be listed again.
    fn others(&self) -> Vec<SocketAddr> {
        let view = self.fleet.view.borrow();
        let others = view.members.iter().filter(|listed| &listed.member.vm != self.fleet.vm());
        let listed = others.map(|listed| listed.member.peer);
        listed.chain(self.unlisted(&view)).collect()
    }

    /// Addresses of VMs that were heard lately and aren't members.
    fn unlisted(&self, view: &View) -> Vec<SocketAddr> {
        let now = self.fleet.now();
        let is_listed = |vm: &Vm| {
            view.members.iter().any(|listed| &listed.member.vm == vm) || vm == self.fleet.vm()
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
        let vm = self.fleet.vm().to_string();
        let incarnation = self.fleet.member.incarnation;
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
            Some(Content::Ask(ask)) => {
                let grant = self.grant(&ask);
                self.send(&self.datagram(Content::Grant(grant)), from);
            }
            Some(Content::Grant(grant)) => {
                let waiting = self.questions.borrow_mut().remove(&grant.question);
                if let Some(waiting) = waiting {
                    // The question may have been given up meanwhile.
                    let _ = waiting.send(grant);
                }
            }
            Some(Content::Changed(changed)) => jobs.drop_job(&changed.job, "another VM ended it"),
            Some(Content::Opened(opened)) => {
                let Some(pending) = opened.pending else { return };
                jobs.directory.borrow_mut().announce(&opened.job, pending, self.fleet.now());
            }
            Some(Content::Crashes(said)) => crash::hear(&self.fleet, &said.crashes),
            None => {}
        }
    }

    fn note_load(&self, vm: Vm, incarnation: u64, address: SocketAddr, load: Load) {
        let now = self.fleet.now();
        let mut heard = self.heard.borrow_mut();
        if let Some(last) = heard.get(&vm)
            && last.incarnation == incarnation
            && last.sequence >= load.sequence
        {
            return;
        }
        let (sequence, rows, serving) = (load.sequence, load.rows, load.serving);
        let before = heard.get(&vm).and_then(|last| last.untouched_since);
        let untouched_since = if load.in_touch { None } else { Some(before.unwrap_or(now)) };
        let items_wait = load.items_wait;
        let said = Heard {
            address,
            incarnation,
            sequence,
            rows,
            serving,
            items_wait,
            ejected: load.ejected,
            untouched_since,
            at: now,
        };
        heard.insert(vm, said);
        drop(heard);
        self.recount();
    }

    /// Counts the loads of all peers that were heard lately.
    pub fn recount(&self) {
        let now = self.fleet.now();
        let heard = self.heard.borrow();
        let lately = heard.iter().filter(|(_, heard)| heard.lately(now));
        let loads = lately.flat_map(|(vm, heard)| {
            let first = vm < self.fleet.vm();
            heard.rows.iter().map(move |row| PeerLoad {
                upstream: row.upstream,
                load: upstream::Load { online: row.online, batch: row.batch },
                first,
            })
        });
        let failed = heard
            .values()
            .filter(|heard| heard.lately(now))
            .flat_map(|heard| heard.ejected.iter().copied());
        let mut table = self.fleet.table.borrow_mut();
        table.set_peers(loads);
        table.set_suspects(failed);
        drop(table);
        let waiting = heard
            .iter()
            .filter(|(_, heard)| heard.items_wait && heard.lately(now))
            .map(|(vm, _)| vm.clone());
        *self.fleet.contenders.borrow_mut() = waiting.collect();
        self.fleet.work_changed.notify_one();
        drop(heard);
        self.choose_relays();
    }

    /// Lists the VMs that the store answers.
    fn choose_relays(&self) {
        let heard = self.heard.borrow();
        let view = self.fleet.view.borrow();
        let touched = view.members.iter().map(|listed| &listed.member).filter(|member| {
            let last = heard.get(&member.vm);
            last.is_some_and(|last| last.untouched_since.is_none())
                && !self.silent(&member.vm, SILENT)
        });
        *self.relays.borrow_mut() = touched.map(|member| member.relay).collect();
    }

    fn grant(&self, ask: &Ask) -> Grant {
        let organisation = ask.organisation.as_str().into();
        let configuration = self.fleet.configuration();
        let tenant = configuration.as_ref().and_then(|all| all.tenant(&organisation));
        let grant = tenant.map_or(rate::Grant::NotHolder, |tenant| {
            self.fleet.ledger.borrow_mut().grant(tenant, self.fleet.now())
        });
        let (granted, not_holder, wait_ms) = match grant {
            rate::Grant::Granted => (true, false, 0),
            rate::Grant::NotHolder => (false, true, 0),
            rate::Grant::Exceeded(wait) => (false, false, wait.as_millis() as u64),
        };
        Grant { question: ask.question, granted, not_holder, wait_ms }
    }

    /// Takes a token of an organisation; says where it came from.
    pub async fn take(&self, tenant: &Tenant) -> (rate::Grant, &'static str) {
        let own = self.fleet.ledger.borrow_mut().spend_piece(tenant, self.fleet.now());
        if own == rate::Grant::Granted {
            return (own, "own piece");
        }
        let holder = {
            let view = self.fleet.view.borrow();
            owner(&view.members, tenant.organisation.as_str()).cloned()
        };
        let answer = match holder {
            Some(member) if &member.vm == self.fleet.vm() => {
                let grant = self.fleet.ledger.borrow_mut().grant(tenant, self.fleet.now());
                (grant, "own bucket")
            }
            Some(member) => (self.ask(&member, tenant).await, "holder"),
            None => (rate::Grant::NotHolder, "no holder"),
        };
        if answer.0 != rate::Grant::NotHolder {
            return answer;
        }
        let grant = self.fleet.ledger.borrow_mut().spend_reserve(tenant, self.fleet.now());
        (grant, "reserve")
    }

    async fn ask(&self, holder: &Member, tenant: &Tenant) -> rate::Grant {
        if self.silent(&holder.vm, SILENT) {
            return rate::Grant::NotHolder;
        }
        for _ in 0..ASKS {
            let question = self.fleet.draw();
            let (sender, receiver) = oneshot::channel();
            self.questions.borrow_mut().insert(question, sender);
            let organisation = tenant.organisation.to_string();
            let ask = Content::Ask(Ask { question, organisation });
            self.send(&self.datagram(ask), holder.peer);
            let answer = tokio::time::timeout(ASK_TIMEOUT, receiver).await;
            self.questions.borrow_mut().remove(&question);
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
    pub fn say_opened(&self, job: &str, pending: Pending) {
        let opened = Opened { job: job.to_owned(), pending: Some(pending) };
        self.tell_all(Content::Opened(opened));
    }

    /// Tells the owner of a job that it has ended.
    pub fn say_changed(&self, owner: &str, job: &str) {
        let view = self.fleet.view.borrow();
        let member = view.members.iter().find(|listed| listed.member.vm.as_str() == owner);
        if let Some(listed) = member {
            let changed = Content::Changed(Changed { job: job.to_owned() });
            self.send(&self.datagram(changed), listed.member.peer);
        }
    }

    /// Whether nothing was heard from a VM for `span`.
    pub fn silent(&self, vm: &Vm, span: Duration) -> bool {
        let heard = self.heard.borrow();
        let last = heard.get(vm).map_or(self.started, |heard| heard.at);
        last.after(span).passed(self.fleet.now())
    }

    /// Whether a VM should no longer be listed: it is silent, or has been without
    /// contact with the store for a while. Where this VM hears less than half of
    /// the others it may itself be cut off, and waits longer.
    pub fn gone(&self, member: &Member) -> bool {
        let heard = self.heard.borrow();
        let untouched_since = heard.get(&member.vm).and_then(|heard| heard.untouched_since);
        drop(heard);
        let untouched = untouched_since
            .is_some_and(|since| since.after(REMOVE_OUT_OF_TOUCH).passed(self.fleet.now()));
        let patience = if self.hears_most() { GONE } else { GONE_IF_ALONE };
        untouched || self.silent(&member.vm, patience)
    }

    /// Whether a peer said that it takes callers, and was heard lately.
    pub fn takes_callers(&self, vm: &Vm) -> bool {
        let serving = self.heard.borrow().get(vm).is_none_or(|heard| heard.serving);
        serving && !self.silent(vm, SILENT)
    }

    /// Whether more than half of the other VMs, members or not, were heard
    /// lately, so that a silent one is gone rather than this VM cut off.
    pub fn hears_most(&self) -> bool {
        let view = self.fleet.view.borrow();
        let others = view.members.iter().filter(|listed| &listed.member.vm != self.fleet.vm());
        let unlisted = self.unlisted(&view).len();
        let (mut all, mut heard) = (unlisted, unlisted);
        for listed in others {
            all += 1;
            heard += usize::from(!self.silent(&listed.member.vm, SILENT));
        }
        heard * 2 > all || all == 0
    }
}
