//! Quarantine of requests that crash the upstreams that run them.
//!
//! When a response breaks off and its upstream then accepts no connection, the
//! upstream is taken to have crashed, and each request that was in flight there
//! is suspected. All VMs share what they observe. Two things end the suspicion
//! or confirm it: a request that is suspected of `LIMIT` crashes is quarantined
//! (`requests`), and so are all requests with a part of their prompts that
//! explains many crashes (`parts`); crashes so explained no longer count against
//! the requests that were merely there. Items of jobs are owed until they are
//! done, so their crashes count for nothing but a pause of the item itself.
//!
//! What is known of parts and requests also outlasts a kill of all VMs (`kept`).

mod gossip;
mod kept;
mod parts;
mod report;
mod requests;

use std::collections::{BTreeSet, HashMap};
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub use kept::{KEY as STORE_KEY, Kept, read as read_stored};
pub use parts::{Crash, Held, Parts, Reporter, Run};
pub use report::{CompletedRow, CrashRow, HeldRow, Report};
pub use requests::{LIMIT, Requests};
use siphasher::sip::SipHasher13;

use super::context::Context;
use super::departure::Process;
use super::member::owner;
use super::protocol::Part;
use super::slot::Slot;
use super::upstream::Key;
use crate::clock::Time;
use crate::emit;
use crate::event::Event;
use crate::id::{Organisation, Upstream};
use crate::route::Fingerprint;
use crate::transport::Probe;

/// Connect timeout of the probe whether an upstream is still running.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a connection must stay open to show that an upstream lives.
const OUTLIVES_PAUSE: Duration = Duration::from_millis(10);
/// Maximum number of own crashes, and of crashes known from others, in one report.
const MAX_ROWS: usize = 64;
/// Minimum time between two decisions about parts.
const MIN_DECISION_INTERVAL: Duration = Duration::from_millis(50);
/// Age up to which crashes are repeated to all VMs; a VM that starts is sent older ones too.
const REPEATED_AGE: Duration = Duration::from_secs(10);
/// Time for which a report of a completed answer needs no repetition.
const COMPLETED_REPEAT: Duration = Duration::from_secs(5);

/// A run that its upstream broke off.
#[derive(Clone, Debug)]
pub struct Broken {
    /// Identifier of the request.
    pub request_id: String,
    /// The upstream.
    pub upstream: Upstream,
    /// Start time of the upstream's process, as a Unix time in milliseconds.
    pub started_unix_ms: u64,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Parts of the request's prompt that other requests may share.
    pub shared_parts: Vec<Part>,
}

impl Broken {
    /// The run, if the upstream crashed.
    fn run(&self) -> Run {
        Run {
            crash: crash_of(&self.upstream, self.started_unix_ms),
            fingerprint: self.fingerprint,
            shared_parts: self.shared_parts.clone(),
        }
    }
}

/// The crash of an upstream's process, of which there is one at most.
fn crash_of(upstream: &Upstream, started_unix_ms: u64) -> Crash {
    let mut hasher = SipHasher13::new();
    hasher.write(upstream.as_str().as_bytes());
    hasher.write_u64(started_unix_ms);
    Crash(hasher.finish())
}

/// Doubts that upstreams with one of `crashes` are the processes that their entries name.
fn doubt(context: &Context, crashes: &BTreeSet<Crash>, now: Time) {
    if crashes.is_empty() {
        return;
    }
    let mut table = context.table.borrow_mut();
    let crashed = table.iter().filter(|(_, entry)| {
        let registration = &entry.registration;
        let crash = crash_of(&registration.upstream, registration.started_unix_ms);
        entry.doubted_at.is_none() && crashes.contains(&crash)
    });
    let crashed: Vec<Key> = crashed.map(|(key, _)| key).collect();
    crashed.into_iter().for_each(|key| table.doubt(key, now));
}

/// What this VM knows about crashes of upstreams.
#[derive(Debug, Default)]
pub struct Crashes {
    /// Suspected requests.
    pub requests: Requests,
    /// Suspected parts of prompts.
    pub parts: Parts,
    /// Whether something new was recorded since the last decision.
    undecided: bool,
    /// Time from which the next decision may be made.
    decide_from: Time,
    /// Crashes that this VM observed itself, oldest first.
    own: Vec<(Run, Time)>,
    /// When some VM last reported answers completed with a part.
    completed_reported: HashMap<Part, Time>,
    /// What the store keeps.
    stored: kept::Stored,
}

/// What changed by new knowledge.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The request that is quarantined from now on.
    pub quarantined: Option<Fingerprint>,
    /// Parts that are held off from now on.
    pub held: Vec<Part>,
}

impl Crashes {
    /// Whether nothing is suspected, so that requests need no check.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && !self.parts.is_active() && !self.undecided
    }

    /// Records that a request was in flight at a crash.
    pub fn record(&mut self, run: Run, reporter: Reporter, at: Time, now: Time) -> Change {
        let (fingerprint, crash) = (run.fingerprint, run.crash);
        // Reports are repeated; only what is new can change the decision.
        self.undecided |= self.parts.record_crash(run, reporter, at);
        let held = self.decide_if_due(now);
        let counts = !self.parts.explains(crash);
        let is_quarantined = counts && self.requests.record(fingerprint, crash, at, now);
        Change { quarantined: is_quarantined.then_some(fingerprint), held }
    }

    /// Decides about parts unless nothing is new or the last decision is too recent: in a
    /// burst of crashes many reports come at once.
    pub fn decide_if_due(&mut self, now: Time) -> Vec<Part> {
        let is_open = self.undecided || self.parts.is_settling();
        if !is_open || !self.decide_from.passed(now) {
            return Vec::new();
        }
        self.decide_from = now.after(MIN_DECISION_INTERVAL);
        self.decide(now)
    }

    /// Decides about parts by the evidence so far; those held off from now on.
    pub fn decide(&mut self, now: Time) -> Vec<Part> {
        self.undecided = false;
        let held = self.parts.decide(now);
        if !held.is_empty() {
            let parts = &self.parts;
            self.requests.forgive(|crash| parts.explains(crash));
        }
        held
    }

    /// Records a crash that this VM observed itself.
    fn record_own(&mut self, run: Run, reporter: Reporter, now: Time) -> Change {
        self.own.retain(|(_, at)| !at.after(requests::RETENTION).passed(now));
        if self.own.len() >= MAX_ROWS {
            self.own.remove(0);
        }
        self.own.push((run.clone(), now));
        self.record(run, reporter, now, now)
    }

    /// What this VM reports to the others; `all` includes what it knows from them and
    /// holds off.
    pub fn report(&self, all: bool, now: Time) -> Report {
        let age = if all { requests::RETENTION } else { REPEATED_AGE };
        let recent: Vec<&(Run, Time)> =
            self.own.iter().filter(|(_, at)| !at.after(age).passed(now)).collect();
        let parts: BTreeSet<Part> =
            recent.iter().flat_map(|(run, _)| run.shared_parts.iter().copied()).collect();
        let completed = parts.into_iter().filter_map(|part| {
            let at = self.parts.completed_at(part)?;
            Some(CompletedRow::new(part, at, now))
        });
        let held = self.parts.held().filter(|_| all);
        let quarantined = self.requests.quarantined().filter(|_| all).take(MAX_ROWS);
        let own = recent.iter().map(|(run, at)| CrashRow::new(run, *at, now));
        let others = quarantined.map(|(run, at)| CrashRow::new(&run, at, now));
        Report {
            completed: completed.collect(),
            crashes: own.chain(others).collect(),
            held: held.map(|(part, held)| HeldRow::new(part, held, now)).collect(),
        }
    }

    /// Parts of a report that this VM knows to be sound by answers after the crashes, and
    /// that no VM has spoken for lately.
    fn unreported(&mut self, report: &Report, now: Time) -> Vec<Part> {
        let rows = report.crashes.iter();
        let crashed = rows.flat_map(|row| row.shared_parts.iter().map(|part| (*part, row.age_ms)));
        let held = report.held.iter().map(|row| (row.part, row.age_ms));
        let doubted: BTreeSet<(u64, u32)> = crashed.chain(held).collect();
        let mut parts = BTreeSet::new();
        for (part, age_ms) in doubted {
            let (part, crashed_at) = (Part(part), now.before_millis(age_ms));
            let is_sound = self.parts.completed_at(part).is_some_and(|at| at > crashed_at);
            let last = self.completed_reported.get(&part);
            let is_reported = last.is_some_and(|last| !last.after(COMPLETED_REPEAT).passed(now));
            if is_sound && !is_reported {
                parts.insert(part);
            }
        }
        parts.into_iter().collect()
    }

    /// Report that answers were completed with `parts`.
    fn completed_report(&mut self, parts: &[Part], now: Time) -> Report {
        let rows = parts.iter().filter_map(|part| {
            let at = self.parts.completed_at(*part)?;
            Some(CompletedRow::new(*part, at, now))
        });
        let completed: Vec<CompletedRow> = rows.collect();
        self.completed_reported.retain(|_, last| !last.after(COMPLETED_REPEAT).passed(now));
        self.completed_reported.extend(parts.iter().map(|part| (*part, now)));
        Report { completed, ..Report::default() }
    }
}

/// Fingerprint of a request: equal for the same organisation, target and body.
pub fn fingerprint(organisation: Option<&Organisation>, target: &str, body: &[u8]) -> Fingerprint {
    let organisation = organisation.map_or("", Organisation::as_str);
    Fingerprint::of(&format!("{organisation} {target}"), body)
}

/// Probes whether the upstream that broke off a run has crashed. Returns at
/// once unless the request is already suspected: then the result of the probe
/// decides whether it may be sent again.
pub async fn probe(context: &Rc<Context>, broken: Broken) {
    let is_suspected = {
        let crashes = context.crashes.borrow();
        crashes.requests.is_suspected(broken.fingerprint)
            || broken.shared_parts.iter().any(|part| crashes.parts.is_suspected(*part))
    };
    let probing = probe_upstream(context.clone(), broken);
    if is_suspected {
        return probing.await;
    }
    actix_rt::spawn(probing);
}

/// Whether the upstream that broke off the run of an item has crashed.
pub async fn probe_for_item(context: &Context, item: &str, slot: &Slot) -> bool {
    if accepts_connections(context, slot.address).await {
        return false;
    }
    slot.record_gone();
    metrics::counter!("serve_crashes_total", "of" => "item").increment(1);
    emit!(context.log, Event::UpstreamDied, "item" => item,
        "upstream" => slot.upstream.as_str(), "ejected_by_others" => slot.ejected_by_others());
    true
}

/// Whether an upstream lives on after an answer that ended with its connection. Without a length
/// or chunks such an end is only a claim: a process that dies ends its connections in the same way.
/// Only one that accepts no connection any more is gone: a doubt doesn't discard a whole answer.
pub async fn outlives_answer(context: &Context, slot: &Slot) -> bool {
    let probe = || context.pool.probe(slot.address, PROBE_TIMEOUT, OUTLIVES_PAUSE);
    match probe().await {
        Probe::Open | Probe::Silent => true,
        Probe::Refused => false,
        // A process that is dying may accept a connection and close it, and one that has as many
        // as it takes does so each time.
        Probe::Closed => probe().await != Probe::Refused,
    }
}

async fn accepts_connections(context: &Context, address: SocketAddr) -> bool {
    context.paths.reaches(address, PROBE_TIMEOUT).await
}

async fn probe_upstream(context: Rc<Context>, broken: Broken) {
    if accepts_connections(&context, broken.address).await {
        return;
    }
    context.suspect_cold(Process::new(&broken.upstream, broken.started_unix_ms), "gone");
    let run = broken.run();
    metrics::counter!("serve_crashes_total", "of" => "request").increment(1);
    let parts: Vec<String> = run.shared_parts.iter().map(|part| part.to_string()).collect();
    emit!(context.log, Event::UpstreamDied, "request" => broken.request_id,
        "upstream" => broken.upstream.as_str(),
        "fingerprint" => format!("{:032x}", run.fingerprint.0),
        "crash" => format!("{:016x}", run.crash.0), "shared_parts" => parts.join(","),
        "ejected_by_others" => context.table.borrow().ejected_by_others(&broken.upstream));
    let (now, reporter) = (context.now(), reporter(context.vm().as_str()));
    doubt(&context, &BTreeSet::from([run.crash]), now);
    let change = context.crashes.borrow_mut().record_own(run, reporter, now);
    log_change(&context, change);
    context.crash_seen.notify_one();
    context.crashes_changed.notify_one();
}

/// Why a request is refused.
pub enum Refusal {
    /// It crashed upstreams itself.
    Request,
    /// A part of its prompt did.
    Part(Part, Held),
}

impl Refusal {
    /// Value for metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Refusal::Request => "request",
            Refusal::Part(..) => "part",
        }
    }
}

/// Whether a request must not be sent; in a trial only by what it did itself.
pub fn check<F>(
    context: &Context,
    fingerprint: F,
    shared_parts: &[Part],
    in_trial: bool,
) -> Option<Refusal>
where
    F: FnOnce() -> Fingerprint,
{
    if context.crashes.borrow().is_empty() {
        return None;
    }
    let held = context.crashes.borrow_mut().decide_if_due(context.now());
    log_change(context, Change { held, ..Change::default() });
    let crashes = context.crashes.borrow();
    let held = crashes.parts.held_part(shared_parts).filter(|_| !in_trial);
    if let Some((part, held)) = held {
        return Some(Refusal::Part(part, held));
    }
    let is_quarantined =
        !crashes.requests.is_empty() && crashes.requests.is_quarantined(fingerprint());
    is_quarantined.then_some(Refusal::Request)
}

/// Decides about parts by what is known so far.
pub fn decide(context: &Context) {
    let held = context.crashes.borrow_mut().decide(context.now());
    log_change(context, Change { held, ..Change::default() });
}

/// Whether a request with a part that is held off may be sent as a trial: the VM that
/// owns the part lets one through now and then.
pub fn begin_trial(context: &Context, part: Part) -> bool {
    let owns_part = {
        let view = context.view.borrow();
        owner(&view.members, &part.to_string()).is_some_and(|member| &member.vm == context.vm())
    };
    let begins = owns_part && context.crashes.borrow_mut().parts.begin_trial(part, context.now());
    if begins {
        context.crashes_changed.notify_one();
    }
    begins
}

/// Records that an answer to a request with `shared_parts` was completed.
pub fn record_completed(context: &Context, shared_parts: &[Part]) {
    let now = context.now();
    let cleared = context.crashes.borrow_mut().parts.record_completed(shared_parts, now);
    if cleared.is_empty() {
        return;
    }
    log_cleared(context, &cleared);
    context.crashes_changed.notify_one();
    context.parts_completed.borrow_mut().extend(cleared);
    context.crash_seen.notify_one();
}

/// Merges another VM's report; parts of it that this VM can speak for.
pub fn merge(context: &Context, vm: &str, report: &Report) -> Vec<Part> {
    let (now, reporter) = (context.now(), reporter(vm));
    for row in &report.completed {
        let (part, at) = (Part(row.part), now.before_millis(row.age_ms));
        let mut crashes = context.crashes.borrow_mut();
        crashes.completed_reported.insert(part, now);
        let cleared = crashes.parts.record_completed(&[part], at);
        drop(crashes);
        log_cleared(context, &cleared);
    }
    for row in &report.held {
        let is_new = context.crashes.borrow_mut().parts.adopt(Part(row.part), row.held(now));
        if is_new {
            log_change(context, Change { held: vec![Part(row.part)], ..Change::default() });
        }
    }
    let crashes = report.crashes.iter().map(|row| Crash(row.crash)).collect();
    doubt(context, &crashes, now);
    for row in &report.crashes {
        let Some(run) = row.run() else { continue };
        let at = now.before_millis(row.age_ms);
        let change = context.crashes.borrow_mut().record(run, reporter, at, now);
        log_change(context, change);
    }
    context.crashes_changed.notify_one();
    context.crashes.borrow_mut().unreported(report, now)
}

/// Report that answers were completed with those of `parts` that no VM has spoken for
/// meanwhile; none if nothing is left to say.
pub fn completed_report(context: &Context, parts: &[Part]) -> Option<Report> {
    let now = context.now();
    let mut crashes = context.crashes.borrow_mut();
    let is_reported = |part: &Part| {
        let last = crashes.completed_reported.get(part);
        last.is_some_and(|last| !last.after(COMPLETED_REPEAT).passed(now))
    };
    let parts: Vec<Part> = parts.iter().copied().filter(|part| !is_reported(part)).collect();
    (!parts.is_empty()).then(|| crashes.completed_report(&parts, now))
}

fn reporter(vm: &str) -> Reporter {
    let mut hasher = SipHasher13::new();
    hasher.write(vm.as_bytes());
    Reporter(hasher.finish())
}

fn log_change(context: &Context, change: Change) {
    if let Some(fingerprint) = change.quarantined {
        emit!(context.log, Event::RequestQuarantined,
            "fingerprint" => format!("{:032x}", fingerprint.0), "crashes" => LIMIT);
    }
    for part in change.held {
        let crashes = context.crashes.borrow();
        let trial_at = crashes.parts.held_part(&[part]).map(|(_, held)| held.trial_at);
        let trial_ms = trial_at.map_or(0, |at| context.now().until(at).as_millis() as u64);
        emit!(context.log, Event::PartHeldOff, "part" => part.to_string(),
            "trial_in_ms" => trial_ms);
    }
}

fn log_cleared(context: &Context, parts: &[Part]) {
    for part in parts {
        emit!(context.log, Event::PartCleared, "part" => part.to_string());
    }
}
