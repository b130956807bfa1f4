//! Following the store: configuration, upstreams, members, open jobs.
//!
//! One read a poll shows everything. A watch isn't used: it may be deaf for a
//! while without saying so, and a confirmation must be a fresh answer anyway.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use super::context::Context;
use super::jobs::{Jobs, PENDING_PREFIX, Pending};
use super::member::{self, MEMBER_PREFIX, Member, owner};
use super::peers::Peers;
use super::rate::Predecessor;
use super::reader::Reader;
use super::store::{Commit, Expectation, Snapshot, Transaction};
use crate::clock::Time;
use crate::emit;
use crate::error::Result;
use crate::event::Event;
use crate::kv::Entry;

/// First pause after a read that failed.
const RETRY: Duration = Duration::from_millis(100);
/// Longest pause after reads that failed.
const MAX_RETRY: Duration = Duration::from_millis(500);
/// Time without an answer after which the store counts as having been away.
const OUTAGE: Duration = Duration::from_millis(2_000);

/// Time for which the store must have answered before this VM removes others.
const STEADY: Duration = Duration::from_millis(2_500);

/// Incarnation in the entry of a VM that leaves as planned.
const NO_INCARNATION: u64 = 0;

/// Follows the store.
pub struct Poller {
    context: Rc<Context>,
    peers: Rc<Peers>,
    jobs: Rc<Jobs>,
    reader: Rc<Reader>,
    state: std::cell::RefCell<State>,
}

#[derive(Default)]
struct State {
    /// Whether this process has written its own entry.
    registered: bool,
    /// What an earlier run left in the store.
    predecessor: Predecessor,
    lost: bool,
    in_contact: bool,
    /// Since when the store has answered without a break.
    answered_since: Option<Time>,
}

impl Poller {
    /// Follows the store for `fleet`.
    pub fn new(
        context: Rc<Context>,
        peers: Rc<Peers>,
        jobs: Rc<Jobs>,
        reader: Rc<Reader>,
    ) -> Rc<Self> {
        Rc::new(Self { context, peers, jobs, reader, state: Default::default() })
    }

    /// Reads the store for ever.
    pub async fn run(self: Rc<Self>) {
        let mut pause = RETRY;
        loop {
            let asked = self.context.now();
            match self.reader.read().await {
                Ok(read) => {
                    if let Some((snapshot, confirms)) = read {
                        self.adopt(snapshot, confirms).await;
                    }
                    pause = RETRY;
                    let poll = self.reader.pause(self.context.settings().bounds.poll_interval());
                    tokio::time::sleep(self.context.now().until(asked.after(poll))).await;
                }
                Err(error) => {
                    self.note_lost(&error.detail);
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_RETRY);
                }
            }
            self.note_contact();
            self.context.pool.close_expired();
        }
    }

    fn note_lost(&self, reason: &str) {
        let mut state = self.state.borrow_mut();
        state.answered_since = None;
        if !std::mem::replace(&mut state.lost, true) {
            let age = self.context.view.borrow().confirmed_at.until(self.context.now());
            emit!(self.context.log, Event::PlatformLost, "reason" => reason,
                "last_answer_ms" => age.as_millis() as u64);
        }
    }

    fn note_contact(&self) {
        let in_contact = self.context.in_contact();
        let mut state = self.state.borrow_mut();
        if std::mem::replace(&mut state.in_contact, in_contact) == in_contact {
            return;
        }
        let event = if in_contact { Event::ContactBack } else { Event::ContactLost };
        let age = self.context.view.borrow().confirmed_at.until(self.context.now());
        emit!(self.context.log, event, "last_answer_ms" => age.as_millis() as u64);
        drop(state);
        self.context.load_changed.notify_one();
    }

    async fn adopt(&self, snapshot: Snapshot, asked: Time) {
        let now = self.context.now();
        self.state.borrow_mut().answered_since.get_or_insert(asked);
        if std::mem::replace(&mut self.state.borrow_mut().lost, false) {
            emit!(self.context.log, Event::PlatformBack, "took_ms" => asked.until(now).as_millis() as u64);
        }
        for reason in &snapshot.unreadable {
            emit!(self.context.log, Event::EntryUnreadable, "reason" => reason.as_str());
        }
        self.adopt_upstreams(&snapshot, asked, now);
        self.adopt_configuration(&snapshot);
        self.adopt_shared(&snapshot.shared, asked, now);
        self.peers.recount();
        self.jobs.reconcile(asked);
        if let Err(error) = self.tend(&snapshot).await {
            emit!(self.context.log, Event::StoreCallFailed, "reason" => error.detail.as_str());
        }
    }

    fn adopt_upstreams(&self, snapshot: &Snapshot, asked: Time, now: Time) {
        let last = self.context.view.borrow().confirmed_at;
        let outage = last != Time(0) && last.after(OUTAGE).passed(asked);
        let (added, removed) =
            self.context.table.borrow_mut().replace(&snapshot.upstreams, outage, now);
        for upstream in added {
            emit!(self.context.log, Event::UpstreamAdded, "upstream" => upstream.as_str());
        }
        for upstream in removed {
            emit!(self.context.log, Event::UpstreamRemoved, "upstream" => upstream.as_str());
        }
    }

    fn adopt_configuration(&self, snapshot: &Snapshot) {
        let Some(read) = &snapshot.configuration else { return };
        let mut view = self.context.view.borrow_mut();
        let held = view.configuration.as_ref().map(|held| held.version);
        if held.is_some_and(|held| held >= read.version) {
            return;
        }
        view.configuration = Some(read.clone());
        emit!(self.context.log, Event::ConfigurationAdopted, "version" => read.version,
            "before" => held.unwrap_or(0));
    }

    fn adopt_shared(&self, entries: &[Entry], asked: Time, now: Time) {
        let mut members = Vec::new();
        let mut pending = HashMap::new();
        for entry in entries {
            if entry.key.starts_with(MEMBER_PREFIX) {
                match Member::decode(entry) {
                    Ok(member) => members.push(member::Listed { member, version: entry.version }),
                    Err(error) => emit!(self.context.log, Event::EntryUnreadable,
                        "reason" => error.detail.as_str()),
                }
            } else if let Some(job) = entry.key.strip_prefix(PENDING_PREFIX) {
                match prost::Message::decode(entry.value.as_slice()) {
                    Ok(read) => {
                        let read: Pending = read;
                        pending.insert(job.to_owned(), (read, entry.version));
                    }
                    Err(error) => emit!(self.context.log, Event::EntryUnreadable,
                        "reason" => format!("{}: {error}", entry.key)),
                }
            }
        }
        let mut state = self.state.borrow_mut();
        if !state.registered {
            let vm = self.context.vm();
            let earlier = members.iter().map(|listed| &listed.member).find(|member| {
                &member.vm == vm && member.incarnation != self.context.member.incarnation
            });
            state.predecessor = match earlier {
                Some(member) if member.leaving => Predecessor::Left,
                Some(_) => Predecessor::Crashed,
                None => state.predecessor,
            };
        }
        self.note_members(&members);
        let mut view = self.context.view.borrow_mut();
        self.jobs.directory.borrow_mut().update(&pending, asked);
        view.members = members;
        view.pending = pending;
        view.confirmed_at = view.confirmed_at.max(asked);
        let Some(configuration) = view.configuration.clone() else { return };
        if state.registered {
            let mut limiter = self.context.limiter.borrow_mut();
            limiter.update(&view.members, configuration.tenants(), state.predecessor, asked, now);
        }
    }

    fn note_members(&self, members: &[member::Listed]) {
        let view = self.context.view.borrow();
        let name = |listed: &member::Listed| (listed.member.vm.clone(), listed.member.incarnation);
        let before: Vec<_> = view.members.iter().map(name).collect();
        let after: Vec<_> = members.iter().map(name).collect();
        for (vm, incarnation) in after.iter().filter(|name| !before.contains(name)) {
            emit!(self.context.log, Event::MemberJoined, "member" => vm.as_str(),
                "incarnation" => format!("{incarnation:x}"));
        }
        for (vm, incarnation) in before.iter().filter(|name| !after.contains(name)) {
            emit!(self.context.log, Event::MemberLost, "member" => vm.as_str(),
                "incarnation" => format!("{incarnation:x}"));
        }
    }

    /// Does what falls to this VM: its own entry, entries of VMs that are gone,
    /// reports on storage VMs that are to be emptied.
    async fn tend(&self, snapshot: &Snapshot) -> Result<()> {
        if self.context.stopping.get() {
            return Ok(());
        }
        self.register().await?;
        self.remove_gone().await?;
        for retirement in snapshot.retirements.iter().filter(|order| !order.reported) {
            if self.falls_to_us(retirement.vm.as_str()) {
                self.context.store.report_retired(&retirement.vm).await?;
                emit!(self.context.log, Event::RetirementReported, "vm_retired" => retirement.vm.as_str());
            }
        }
        Ok(())
    }

    fn falls_to_us(&self, name: &str) -> bool {
        let view = self.context.view.borrow();
        owner(&view.members, name).is_some_and(|member| &member.vm == self.context.vm())
    }

    async fn register(&self) -> Result<()> {
        let own = self.own_entry();
        if own.as_ref().is_some_and(|listed| listed.member == self.context.member) {
            self.state.borrow_mut().registered = true;
            return Ok(());
        }
        if self.state.borrow().registered && !self.peers.hears_majority() {
            return Ok(());
        }
        let version = own.map_or(0, |listed| listed.version);
        let key = Member::key_of(self.context.vm());
        let transaction = Transaction {
            expected: vec![Expectation { key: key.clone(), version }],
            puts: vec![(key, self.context.member.encode())],
            deletes: Vec::new(),
        };
        if let Commit::Applied(_) = self.context.store.commit(transaction).await? {
            self.state.borrow_mut().registered = true;
        }
        Ok(())
    }

    fn own_entry(&self) -> Option<member::Listed> {
        let view = self.context.view.borrow();
        view.members.iter().find(|listed| &listed.member.vm == self.context.vm()).cloned()
    }

    async fn remove_gone(&self) -> Result<()> {
        // Soon after an outage others still say that they were out of touch.
        let since = self.state.borrow().answered_since;
        if !since.is_some_and(|since| since.after(STEADY).passed(self.context.now())) {
            return Ok(());
        }
        let gone: Vec<member::Listed> = {
            let view = self.context.view.borrow();
            let others =
                view.members.iter().filter(|listed| &listed.member.vm != self.context.vm());
            others.filter(|listed| self.peers.is_gone(&listed.member)).cloned().collect()
        };
        for listed in gone {
            if !self.removes(&listed.member) {
                continue;
            }
            let key = Member::key_of(&listed.member.vm);
            let transaction = Transaction {
                expected: vec![Expectation { key: key.clone(), version: listed.version }],
                puts: Vec::new(),
                deletes: vec![key],
            };
            self.context.store.commit(transaction).await?;
        }
        Ok(())
    }

    /// Whether this VM is the one that removes `gone`: the first of the VMs that are heard.
    fn removes(&self, gone: &Member) -> bool {
        let view = self.context.view.borrow();
        let heard: Vec<member::Listed> = view
            .members
            .iter()
            .filter(|listed| {
                &listed.member.vm == self.context.vm() || !self.peers.is_gone(&listed.member)
            })
            .cloned()
            .collect();
        owner(&heard, gone.vm.as_str()).is_some_and(|member| &member.vm == self.context.vm())
    }

    /// Says in the store that this VM is leaving. It gives up its incarnation, so
    /// that its jobs are taken over. The entry stays for its next run; peers
    /// remove it if none comes.
    pub async fn leave(&self) -> Result<()> {
        let left = self.context.member.clone();
        let member = Member { leaving: true, incarnation: NO_INCARNATION, ..left };
        let put = (Member::key_of(self.context.vm()), member.encode());
        let transaction = Transaction { puts: vec![put], ..Transaction::default() };
        self.context.store.commit(transaction).await.map(|_| ())
    }
}
