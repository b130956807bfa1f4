//! Polling of the store: configuration, upstreams, members and open jobs.
//!
//! Each poll is one read of all shared entries. A watch isn't used: it may miss
//! changes for a while without an error, and confirming that the state is
//! current needs a fresh response anyway.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use super::context::Context;
use super::crash;
use super::identity;
use super::jobs::{Jobs, PENDING_PREFIX, Pending, unix_ms};
use super::member::{self, MEMBER_PREFIX, Member, owner};
use super::peers::Peers;
use super::rate::{CREDIT_INTERVAL, Predecessor};
use super::reader::Reader;
use super::store::{Commit, Expectation, Snapshot, Transaction, Unreadable};
use crate::clock::Time;
use crate::emit;
use crate::error::Result;
use crate::event::Event;
use crate::kv::Entry;

/// First pause after a failed read.
const RETRY: Duration = Duration::from_millis(100);
/// Maximum pause after failed reads in a row.
const MAX_RETRY: Duration = Duration::from_millis(500);

/// Time for which all reads must have succeeded before this VM removes other members.
const MIN_STABLE: Duration = Duration::from_millis(2_500);

/// Incarnation in the entry of a VM that has shut down gracefully.
const NO_INCARNATION: u64 = 0;

/// Polls the store and applies what it reads.
pub struct Poller {
    context: Rc<Context>,
    peers: Rc<Peers>,
    jobs: Rc<Jobs>,
    reader: Rc<Reader>,
    state: std::cell::RefCell<State>,
}

#[derive(Default)]
struct State {
    /// Whether the store holds this process's own member entry.
    registered: bool,
    /// Time at which the last write of that entry was confirmed.
    registered_at: Time,
    /// State that an earlier process of this VM left in the store.
    predecessor: Predecessor,
    /// When a process of this VM last began with a credit, as a Unix time in milliseconds.
    credited_unix_ms: u64,
    /// Keys and versions of the entries that can't be read.
    unreadable: HashMap<String, u64>,
    /// Whether entries are being written.
    maintaining: bool,
    unreachable: bool,
    in_contact: bool,
    /// Send time of the first read since which all reads have succeeded.
    answered_since: Option<Time>,
}

impl Poller {
    /// Creates a poller that has read nothing yet.
    pub fn new(
        context: Rc<Context>,
        peers: Rc<Peers>,
        jobs: Rc<Jobs>,
        reader: Rc<Reader>,
    ) -> Rc<Self> {
        Rc::new(Self { context, peers, jobs, reader, state: Default::default() })
    }

    /// Polls the store until the process exits.
    pub async fn run(self: Rc<Self>) {
        let mut pause = RETRY;
        loop {
            let sent_at = self.context.now();
            match self.reader.read().await {
                Ok(read) => {
                    if let Some((snapshot, confirmed_at)) = read {
                        self.apply(snapshot, confirmed_at);
                    }
                    pause = RETRY;
                    let poll = self.context.settings().bounds.poll_interval();
                    let next_at = self.reader.next_at(sent_at, poll);
                    self.sleep(self.context.now().until(next_at)).await;
                }
                Err(error) => {
                    self.record_failed_read(&error.detail);
                    self.sleep(self.reader.pause_after_failure(pause)).await;
                    pause = (pause * 2).min(MAX_RETRY);
                }
            }
            self.log_contact();
            self.context.pool.close_expired();
            self.context.peer_pool.close_expired();
        }
    }

    /// Sleeps for `span`, or until a request waits for a current view.
    async fn sleep(&self, span: Duration) {
        // Either way the next step is a read.
        let _ = tokio::time::timeout(span, self.context.renewal.wanted()).await;
    }

    fn record_failed_read(&self, reason: &str) {
        self.context.opening.decide();
        let mut state = self.state.borrow_mut();
        state.answered_since = None;
        if !std::mem::replace(&mut state.unreachable, true) {
            let age = self.context.view.borrow().confirmed_at.until(self.context.now());
            emit!(self.context.log, Event::PlatformLost, "reason" => reason,
                "last_answer_ms" => age.as_millis() as u64);
        }
    }

    fn log_contact(&self) {
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

    fn apply(self: &Rc<Self>, snapshot: Snapshot, sent_at: Time) {
        let now = self.context.now();
        self.state.borrow_mut().answered_since.get_or_insert(sent_at);
        if std::mem::replace(&mut self.state.borrow_mut().unreachable, false) {
            emit!(self.context.log, Event::PlatformBack,
                "took_ms" => sent_at.until(now).as_millis() as u64);
        }
        self.apply_upstreams(&snapshot, sent_at, now);
        identity::confirm(&self.context, sent_at);
        self.apply_configuration(&snapshot);
        self.context.apply_cold(&snapshot, sent_at);
        self.context.apply_evacuations(&snapshot, sent_at);
        let mut unreadable = snapshot.unreadable.clone();
        unreadable.extend(self.apply_shared(&snapshot.shared, sent_at, now));
        self.log_unreadable(unreadable);
        self.peers.recount();
        self.jobs.reconcile(sent_at);
        self.peers.request_releases();
        // Apart, since a write may take seconds, and what is read next may not wait for it.
        if !std::mem::replace(&mut self.state.borrow_mut().maintaining, true) {
            let poller = self.clone();
            actix_rt::spawn(async move {
                poller.maintain(&snapshot, sent_at).await;
                poller.context.opening.decide();
                poller.state.borrow_mut().maintaining = false;
            });
        }
    }

    /// Writes the entries that this VM is responsible for, by a snapshot that was current at
    /// `sent_at`.
    async fn maintain(&self, snapshot: &Snapshot, sent_at: Time) {
        let was_registered = self.state.borrow().registered;
        if let Err(error) = self.maintain_entries(snapshot).await {
            emit!(self.context.log, Event::StoreCallFailed, "reason" => error.detail.as_str());
        }
        let state = self.state.borrow();
        if was_registered || !state.registered {
            return;
        }
        // The write of the entry was conditional on the version that was read, so nobody has
        // taken this VM off the list since. Without this the buckets and jobs of a VM that
        // crashed wait for one more poll.
        self.update_limiter(state.predecessor, sent_at, self.context.now());
        drop(state);
        self.record_own_entry();
        self.jobs.reconcile(sent_at);
        self.peers.request_releases();
    }

    /// Lists this process in the view: it has written its entry since the last read.
    fn record_own_entry(&self) {
        let vm = self.context.vm();
        let mut view = self.context.view.borrow_mut();
        let listed = view.members.iter_mut().find(|listed| &listed.member.vm == vm);
        if let Some(listed) = listed {
            listed.member = self.member();
        }
    }

    fn apply_upstreams(&self, snapshot: &Snapshot, sent_at: Time, now: Time) {
        let last = self.context.view.borrow().confirmed_at;
        let terms = self.context.send_terms();
        let kept_until = self.context.freshness.borrow().kept_until(sent_at, terms);
        self.context.versions.borrow_mut().observe(&snapshot.upstreams, sent_at);
        let change = self.context.table.borrow_mut().replace(&snapshot.upstreams, kept_until, now);
        let age_ms = sent_at.age_millis(now);
        for upstream in change.added {
            emit!(self.context.log, Event::UpstreamAdded, "upstream" => upstream.as_str());
        }
        for upstream in change.draining {
            emit!(self.context.log, Event::UpstreamDraining, "upstream" => upstream.as_str(),
                "view_age_ms" => age_ms, "view_age_before_ms" => last.age_millis(now));
        }
        for upstream in change.kept {
            emit!(self.context.log, Event::UpstreamKept, "upstream" => upstream.as_str(),
                "view_age_ms" => age_ms, "view_age_before_ms" => last.age_millis(now));
        }
        for upstream in change.removed {
            emit!(self.context.log, Event::UpstreamRemoved, "upstream" => upstream.as_str(),
                "view_age_ms" => age_ms, "view_age_before_ms" => last.age_millis(now));
        }
    }

    fn apply_configuration(&self, snapshot: &Snapshot) {
        let Some(read) = &snapshot.configuration else { return };
        let mut view = self.context.view.borrow_mut();
        let current = view.configuration.as_ref().map(|current| current.version);
        if current.is_some_and(|current| current >= read.version) {
            return;
        }
        view.configuration = Some(read.clone());
        emit!(self.context.log, Event::ConfigurationAdopted, "version" => read.version,
            "before" => current.unwrap_or(0));
    }

    /// Logs entries that can't be read, each version of one once.
    fn log_unreadable(&self, entries: Vec<Unreadable>) {
        let mut state = self.state.borrow_mut();
        let known = std::mem::take(&mut state.unreadable);
        for Unreadable { key, version, reason } in entries {
            if known.get(&key) != Some(&version) {
                emit!(self.context.log, Event::EntryUnreadable, "key" => key.as_str(),
                    "reason" => reason);
            }
            state.unreadable.insert(key, version);
        }
    }

    /// Applies the fleet's own entries; those that can't be read.
    fn apply_shared(&self, entries: &[Entry], sent_at: Time, now: Time) -> Vec<Unreadable> {
        let mut unreadable = Vec::new();
        let mut members = Vec::new();
        let mut pending = HashMap::new();
        for entry in entries {
            if entry.key == crash::STORE_KEY {
                if let Err(error) = crash::read_stored(&self.context, entry) {
                    unreadable.push(Unreadable::new(entry, error.to_string()));
                }
            } else if entry.key.starts_with(MEMBER_PREFIX) {
                match Member::decode(entry) {
                    Ok(member) => members.push(member::Listed { member, version: entry.version }),
                    Err(error) => unreadable.push(Unreadable::new(entry, error.detail)),
                }
            } else if let Some(job) = entry.key.strip_prefix(PENDING_PREFIX) {
                match prost::Message::decode(entry.value.as_slice()) {
                    Ok(read) => {
                        let read: Pending = read;
                        pending.insert(job.to_owned(), (read, entry.version));
                    }
                    Err(error) => unreadable.push(Unreadable::new(entry, error.to_string())),
                }
            }
        }
        let mut state = self.state.borrow_mut();
        if !state.registered {
            let vm = self.context.vm();
            let own = members.iter().map(|listed| &listed.member).find(|member| &member.vm == vm);
            state.predecessor = match own {
                // The write of this process's own entry was applied, but its answer lost.
                Some(member) if member.incarnation == self.context.member.incarnation => {
                    state.predecessor
                }
                Some(member) if member.leaving => Predecessor::Left,
                Some(member) => {
                    let (predecessor, credited_unix_ms) = after_crash(member, &members);
                    state.credited_unix_ms = credited_unix_ms;
                    predecessor
                }
                // A peer has removed the entry, and others may have taken over.
                None => Predecessor::None,
            };
        }
        self.log_members(&members);
        let mut view = self.context.view.borrow_mut();
        self.jobs.directory.borrow_mut().update(&pending, sent_at);
        view.members = members;
        view.pending = pending;
        view.confirmed_at = view.confirmed_at.max(sent_at);
        drop(view);
        self.context.freshness.borrow_mut().record_view(sent_at);
        self.context.renewal.record_renewed();
        if state.registered {
            self.update_limiter(state.predecessor, sent_at, now);
        }
        unreadable
    }

    /// Applies the members' list to the rate limiter. A VM that stops lets go of its buckets
    /// when asked, or at its end.
    fn update_limiter(&self, predecessor: Predecessor, sent_at: Time, now: Time) {
        let hands_over = self.context.limiter.borrow().hands_over();
        let keeps_buckets = self.context.stopping.get() && hands_over;
        let view = self.context.view.borrow();
        let Some(configuration) = &view.configuration else { return };
        if !keeps_buckets {
            let mut limiter = self.context.limiter.borrow_mut();
            limiter.update(&view.members, configuration.tenants(), predecessor, sent_at, now);
        }
    }

    fn log_members(&self, members: &[member::Listed]) {
        let view = self.context.view.borrow();
        let identity =
            |listed: &member::Listed| (listed.member.vm.clone(), listed.member.incarnation);
        let before: Vec<_> = view.members.iter().map(identity).collect();
        let after: Vec<_> = members.iter().map(identity).collect();
        for (vm, incarnation) in after.iter().filter(|identity| !before.contains(identity)) {
            emit!(self.context.log, Event::MemberJoined, "member" => vm.as_str(),
                "incarnation" => format!("{incarnation:x}"));
        }
        for (vm, incarnation) in before.iter().filter(|identity| !after.contains(identity)) {
            emit!(self.context.log, Event::MemberLost, "member" => vm.as_str(),
                "incarnation" => format!("{incarnation:x}"));
        }
    }

    /// Writes this VM's own entry, and where this VM is responsible, removes the
    /// entries of members that are gone and reports that storage VMs to be retired are empty.
    async fn maintain_entries(&self, snapshot: &Snapshot) -> Result<()> {
        if self.context.stopping.get() {
            return Ok(());
        }
        self.register().await?;
        self.remove_gone().await?;
        for retirement in snapshot.retirements.iter().filter(|retirement| !retirement.reported) {
            if self.is_responsible(retirement.vm.as_str()) {
                self.context.store.report_retired(&retirement.vm).await?;
                emit!(self.context.log, Event::RetirementReported,
                    "vm_retired" => retirement.vm.as_str());
            }
        }
        Ok(())
    }

    fn is_responsible(&self, name: &str) -> bool {
        let view = self.context.view.borrow();
        owner(&view.members, name).is_some_and(|member| &member.vm == self.context.vm())
    }

    async fn register(&self) -> Result<()> {
        let own = self.own_entry();
        let member = self.member();
        if own.as_ref().is_some_and(|listed| listed.member == member) {
            self.state.borrow_mut().registered = true;
            return Ok(());
        }
        // A peer's snapshot may be older than this VM's write.
        let registered_at = self.state.borrow().registered_at;
        if self.context.view.borrow().confirmed_at < registered_at {
            return Ok(());
        }
        if self.state.borrow().registered && !self.peers.hears_majority() {
            return Ok(());
        }
        let version = own.map_or(0, |listed| listed.version);
        let key = Member::key_of(self.context.vm());
        let transaction = Transaction {
            expected: vec![Expectation { key: key.clone(), version }],
            puts: vec![(key, member.encode())],
            deletes: Vec::new(),
        };
        if let Commit::Applied(_) = self.context.store.commit(transaction).await? {
            let mut state = self.state.borrow_mut();
            (state.registered, state.registered_at) = (true, self.context.now());
        }
        Ok(())
    }

    /// This VM's entry.
    fn member(&self) -> Member {
        let hands_over = self.context.limiter.borrow().hands_over();
        let credited_unix_ms = self.state.borrow().credited_unix_ms;
        let rates = Some(member::Rates { hands_over, keeps_part: hands_over, credited_unix_ms });
        Member { rates, ..self.context.member.clone() }
    }

    fn own_entry(&self) -> Option<member::Listed> {
        let view = self.context.view.borrow();
        view.members.iter().find(|listed| &listed.member.vm == self.context.vm()).cloned()
    }

    async fn remove_gone(&self) -> Result<()> {
        // Shortly after an outage, peers still report the store as unreachable.
        let since = self.state.borrow().answered_since;
        if !since.is_some_and(|since| since.after(MIN_STABLE).passed(self.context.now())) {
            return Ok(());
        }
        let gone: Vec<member::Listed> = {
            let view = self.context.view.borrow();
            let others =
                view.members.iter().filter(|listed| &listed.member.vm != self.context.vm());
            others.filter(|listed| self.peers.is_gone(&listed.member)).cloned().collect()
        };
        for listed in gone {
            if !self.is_remover(&listed.member) {
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

    /// Whether this VM is the one that removes `gone`: its owner among the VMs that are heard.
    fn is_remover(&self, gone: &Member) -> bool {
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

    /// Marks this VM as leaving in the store and clears its incarnation, so that
    /// its jobs are taken over. The entry stays for the VM's next process; peers
    /// remove it if none starts.
    pub async fn leave(&self) -> Result<()> {
        let own = self.member();
        let member = Member { leaving: true, incarnation: NO_INCARNATION, ..own };
        let put = (Member::key_of(self.context.vm()), member.encode());
        let transaction = Transaction { puts: vec![put], ..Transaction::default() };
        self.context.store.commit(transaction).await.map(|_| ())
    }
}

/// What the entry of a process that crashed tells its VM's next one, and when a process of
/// the VM last began with a credit: only where all VMs keep their parts of the tolerance.
fn after_crash(own: &Member, members: &[member::Listed]) -> (Predecessor, u64) {
    let all_know = members.iter().all(|listed| listed.member.rates.is_some());
    let Some(rates) = own.rates.filter(|rates| all_know && rates.hands_over) else {
        return (Predecessor::Crashed, unix_ms());
    };
    let since = Duration::from_millis(unix_ms().saturating_sub(rates.credited_unix_ms));
    match since >= CREDIT_INTERVAL {
        true => (Predecessor::CrashedLongAgo, unix_ms()),
        false => (Predecessor::Crashed, rates.credited_unix_ms),
    }
}
