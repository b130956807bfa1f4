//! Asks and tells the fleet about requests that crash upstreams.
//!
//! A VM always counts its own verdict as well, so while no owner answers it
//! decides with what it was told.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use parking_lot::Mutex;
use sha2::{Digest as _, Sha256};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::crashes::{Crashes, Fingerprint, Outcome, PROBE_DELAY, Run, Verdict, owners};
use crate::clock::Time;
use crate::context::Context;
use crate::emit;
use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::id::Vm;
use crate::view::{Member, Role};
use crate::wire::{self, Handler, Peer, online};

/// Bound on asking a owner.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Bound on looking whether an upstream is alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a owner that gave no answer isn't asked.
const SILENCE: Duration = Duration::from_secs(2);
/// First pause before a request that must wait is tried again; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(5);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(80);
/// Messages and probes that may wait; more are dropped, and a run whose end
/// isn't told ends with its deadline.
const WORK_QUEUE: usize = 8_192;

impl Fingerprint {
    /// Fingerprint of a request.
    pub fn of(path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update((path.len() as u64).to_be_bytes());
        hasher.update(path);
        hasher.update(body);
        let digest: [u8; 32] = hasher.finalize().into();
        let mut first = [0; 16];
        first.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(first))
    }

    fn bytes(self) -> Vec<u8> {
        self.0.to_be_bytes().to_vec()
    }

    fn read(bytes: &[u8]) -> Result<Self> {
        let bytes = bytes.try_into();
        let bytes = bytes.map_err(|_| Error::new(Kind::Peer, "a fingerprint has 16 bytes"))?;
        Ok(Self(u128::from_be_bytes(bytes)))
    }
}

/// What the control thread does for the traffic threads.
enum Work {
    /// Tells a peer.
    Tell(Member, online::Body),
    /// Looks whether the upstream of a cancelled run is alive, then ends it.
    Probe(Guard, SocketAddr),
}

/// What one VM does about requests that crash upstreams; cheap to clone.
#[derive(Clone)]
pub struct Quarantine {
    inner: Arc<Inner>,
}

struct Inner {
    context: Context,
    timeout: Duration,
    crashes: Mutex<Crashes>,
    silent: Mutex<HashMap<Vm, Time>>,
    next: AtomicU64,
    work: mpsc::Sender<Work>,
    queue: Mutex<Option<mpsc::Receiver<Work>>>,
}

impl Quarantine {
    /// Knows nothing yet.
    pub fn new(context: Context) -> Self {
        Self::with_timeout(context, ASK_TIMEOUT)
    }

    /// As `new`, and waits `timeout` for a owner's answer.
    pub fn with_timeout(context: Context, timeout: Duration) -> Self {
        let (work, queue) = mpsc::channel(WORK_QUEUE);
        let inner = Inner {
            context,
            timeout,
            crashes: Mutex::default(),
            silent: Mutex::default(),
            // Random, so that a restarted VM's runs aren't taken for old ones.
            next: AtomicU64::new(rand::random()),
            work,
            queue: Mutex::new(Some(queue)),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Tells other VMs what they must know and looks after cancelled runs;
    /// runs on the control thread.
    pub async fn run(self) {
        let queue = self.inner.queue.lock().take();
        let Some(mut queue) = queue else { return };
        while let Some(work) = queue.recv().await {
            let quarantine = self.clone();
            actix_rt::spawn(async move {
                match work {
                    // A run whose end is lost ends with its deadline.
                    Work::Tell(member, body) => drop(quarantine.call(&member, body).await),
                    Work::Probe(guard, address) => probe(guard, address).await,
                }
            });
        }
    }

    /// Whether this VM knows that a request never runs again.
    pub fn check(&self, print: Fingerprint) -> Result<()> {
        let now = self.inner.context.clock.now();
        match self.inner.crashes.lock().is_quarantined(print, now) {
            true => Err(quarantined()),
            false => Ok(()),
        }
    }

    /// Waits until the request may run. Errors: `Quarantined`, and
    /// `InProgress` when another run of it hasn't ended by the deadline.
    pub async fn begin(&self, print: Fingerprint, deadline: Time) -> Result<Guard> {
        let run = Run {
            vm: self.inner.context.vm.clone(),
            number: self.inner.next.fetch_add(1, Ordering::Relaxed),
        };
        let mut guard = Guard::new(self.clone(), print, run);
        let mut pause = FIRST_PAUSE;
        loop {
            self.check(print)?;
            let now = self.inner.context.clock.now();
            if self.inner.crashes.lock().is_cleared(print, now) {
                return Ok(guard);
            }
            match self.ask(&mut guard, deadline).await {
                Verdict::Run => return Ok(guard),
                Verdict::Alone => {
                    guard.alone = true;
                    return Ok(guard);
                }
                Verdict::Quarantined => {
                    self.inner.crashes.lock().condemn(print, now);
                    return Err(quarantined());
                }
                Verdict::Wait => {
                    tokio::time::sleep(jitter(pause)).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
            if deadline.passed(self.inner.context.clock.now()) {
                let detail = "other runs of the same request haven't ended";
                return Err(Error::new(Kind::InProgress, detail));
            }
        }
    }

    /// Asks all owners at once and itself; the strictest verdict counts, so
    /// that one of them may have lost what it knew. All have then noted the
    /// run; a run that may not begin is taken back.
    async fn ask(&self, guard: &mut Guard, deadline: Time) -> Verdict {
        let now = self.inner.context.clock.now();
        guard.owners = self.remote_owners(guard.print, now);
        let own = self.inner.crashes.lock().begin(guard.print, guard.run.clone(), deadline, now);
        let begin = guard.begin_message(deadline, now);
        let asked = guard.owners.iter().map(|owner| self.ask_one(owner, begin.clone()));
        let told = futures_util::future::join_all(asked).await;
        let verdict = Verdict::strictest(told.into_iter().flatten().chain([own]));
        if !verdict.allows() {
            guard.take_back();
        }
        verdict
    }

    async fn ask_one(&self, owner: &Member, begin: online::Body) -> Option<Verdict> {
        match self.call(owner, begin).await {
            Ok(online::Body::Verdict(verdict)) => Some(read_verdict(verdict)),
            Ok(_) | Err(_) => {
                self.mark_silent(owner);
                None
            }
        }
    }

    fn is_own(&self, member: &Member) -> bool {
        member.vm == self.inner.context.vm
    }

    /// The other VMs to ask, without those that gave no answer lately.
    fn remote_owners(&self, print: Fingerprint, now: Time) -> Vec<Member> {
        let view = self.inner.context.shared.load();
        let silent = self.inner.silent.lock();
        let entries = view.members.values().filter(|member| member.role == Role::Entry);
        let usable = |vm: &&Vm| {
            **vm != self.inner.context.vm && silent.get(*vm).is_none_or(|it| it.passed(now))
        };
        let kept = owners(print, entries.map(|member| &member.vm));
        kept.into_iter().filter(usable).filter_map(|vm| view.members.get(vm).cloned()).collect()
    }

    fn mark_silent(&self, member: &Member) {
        let until = self.inner.context.clock.now().after(SILENCE);
        self.inner.silent.lock().insert(member.vm.clone(), until);
    }

    async fn call(&self, member: &Member, body: online::Body) -> Result<online::Body> {
        let message = wire::Body::Online(online::Message { body: Some(body) });
        let client = self.inner.context.peers.get(member.peer);
        match client.call(message, self.inner.timeout).await? {
            wire::Body::Online(online::Message { body: Some(body) }) => Ok(body),
            _ => Err(Error::new(Kind::Peer, "not an answer of this area")),
        }
    }

    fn tell(&self, member: &Member, body: online::Body) {
        let _ = self.inner.work.try_send(Work::Tell(member.clone(), body));
    }

    fn end(&self, print: Fingerprint, run: &Run, how: Outcome) {
        let now = self.inner.context.clock.now();
        if self.inner.crashes.lock().end(print, run, how, now) {
            metrics::counter!("parsleybeam_quarantined_total").increment(1);
            emit!(self.inner.context.log, Event::RequestQuarantined,
                "fingerprint" => format!("{:032x}", print.0));
        }
    }

    fn answer(&self, peer: &Peer, body: online::Body) -> Result<online::Body> {
        let now = self.inner.context.clock.now();
        let run = |number| Run { vm: peer.vm.clone(), number };
        match body {
            online::Body::Begin(begin) => {
                let print = Fingerprint::read(&begin.fingerprint)?;
                let deadline = now.after(Duration::from_micros(begin.remaining_us));
                let run = run(begin.run);
                let verdict = self.inner.crashes.lock().begin(print, run, deadline, now);
                Ok(online::Body::Verdict(write_verdict(verdict).into()))
            }
            online::Body::End(end) => {
                let print = Fingerprint::read(&end.fingerprint)?;
                self.end(print, &run(end.run), read_outcome(end.outcome));
                Ok(online::Body::Done(()))
            }
            online::Body::Done(()) | online::Body::Verdict(_) => {
                Err(Error::new(Kind::Peer, "an answer came as a call"))
            }
        }
    }
}

impl Handler for Quarantine {
    fn handle(&self, peer: Peer, body: wire::Body) -> LocalBoxFuture<'_, Result<wire::Body>> {
        Box::pin(async move {
            let wire::Body::Online(online::Message { body: Some(body) }) = body else {
                return Err(Error::new(Kind::Peer, "not a call of this area"));
            };
            let body = self.answer(&peer, body)?;
            Ok(wire::Body::Online(online::Message { body: Some(body) }))
        })
    }
}

/// Permission to run a request once; dropping it gives the run up.
pub struct Guard {
    quarantine: Quarantine,
    print: Fingerprint,
    run: Run,
    /// Other VMs that know of it.
    owners: Vec<Member>,
    alone: bool,
    /// Upstream that may be running it.
    sent: Option<SocketAddr>,
    ended: bool,
}

impl Guard {
    fn new(quarantine: Quarantine, print: Fingerprint, run: Run) -> Self {
        Self { quarantine, print, run, owners: vec![], alone: false, sent: None, ended: false }
    }

    /// The request is about to leave for the upstream at `address`; unless
    /// the end is told otherwise, it then counts until that was seen alive.
    pub fn sent(&mut self, address: SocketAddr) {
        self.sent = Some(address);
    }

    /// The request did not leave after all.
    pub fn not_sent(&mut self) {
        self.sent = None;
    }

    /// Whether it must run where nothing else runs.
    pub fn alone(&self) -> bool {
        self.alone
    }

    /// The answer came whole.
    pub fn completed(mut self) {
        self.finish(Outcome::Completed);
    }

    /// The upstream's answer broke off. Returns once the owners know or gave
    /// no answer, so that a retry meets this death; all others are told.
    pub async fn crashed(mut self) {
        self.ended = true;
        let quarantine = &self.quarantine;
        quarantine.end(self.print, &self.run, Outcome::Crashed);
        let now = quarantine.inner.context.clock.now();
        let owners = quarantine.remote_owners(self.print, now);
        let view = quarantine.inner.context.shared.load();
        let entries = view.members.values().filter(|member| member.role == Role::Entry);
        for member in entries.filter(|member| !quarantine.is_own(member)) {
            if owners.iter().all(|owner| owner.vm != member.vm) {
                quarantine.tell(member, self.end_message(Outcome::Crashed));
            }
        }
        let calls = owners.iter().map(|owner| async {
            if quarantine.call(owner, self.end_message(Outcome::Crashed)).await.is_err() {
                quarantine.mark_silent(owner);
            }
        });
        futures_util::future::join_all(calls).await;
    }

    fn finish(&mut self, how: Outcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.tell_all(how);
    }

    /// Takes a run back that was allowed by some only.
    fn take_back(&mut self) {
        self.tell_all(Outcome::Other);
        // A new number, so that a late message can't end the next try.
        self.run.number = self.quarantine.inner.next.fetch_add(1, Ordering::Relaxed);
    }

    fn tell_all(&self, how: Outcome) {
        self.quarantine.end(self.print, &self.run, how);
        for owner in &self.owners {
            self.quarantine.tell(owner, self.end_message(how));
        }
    }

    fn begin_message(&self, deadline: Time, now: Time) -> online::Body {
        online::Body::Begin(online::Begin {
            fingerprint: self.print.bytes(),
            run: self.run.number,
            remaining_us: now.until(deadline).as_micros() as u64,
        })
    }

    fn end_message(&self, how: Outcome) -> online::Body {
        let outcome = match how {
            Outcome::Other => online::Outcome::Other,
            Outcome::Completed => online::Outcome::Completed,
            Outcome::Crashed => online::Outcome::Crashed,
        };
        online::Body::End(online::End {
            fingerprint: self.print.bytes(),
            run: self.run.number,
            outcome: outcome.into(),
        })
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let Some(address) = self.sent.take().filter(|_| !self.ended) else {
            return self.finish(Outcome::Other);
        };
        // A cancelled run may crash its upstream before the cancellation
        // arrives, so it isn't over yet.
        self.ended = true;
        let mut rest = Guard::new(self.quarantine.clone(), self.print, self.run.clone());
        rest.owners = std::mem::take(&mut self.owners);
        if let Err(error) = self.quarantine.inner.work.try_send(Work::Probe(rest, address)) {
            // Nobody will look, so the run counts until its deadline.
            if let Work::Probe(mut rest, _) = error.into_inner() {
                rest.ended = true;
            }
        }
    }
}

/// Ends a cancelled run by whether its upstream is alive.
async fn probe(guard: Guard, address: SocketAddr) {
    tokio::time::sleep(PROBE_DELAY).await;
    match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => drop(guard),
        Ok(Err(_)) | Err(_) => guard.crashed().await,
    }
}

/// Differs from try to try, so that two requests don't block each other.
fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(0.5 + rand::random::<f64>())
}

fn quarantined() -> Error {
    Error::new(Kind::Quarantined, "upstreams broke off while they ran this request")
}

fn read_verdict(verdict: i32) -> Verdict {
    match online::Verdict::try_from(verdict) {
        Ok(online::Verdict::Run) => Verdict::Run,
        Ok(online::Verdict::Isolated) => Verdict::Alone,
        Ok(online::Verdict::Quarantined) => Verdict::Quarantined,
        Ok(online::Verdict::Wait) | Err(_) => Verdict::Wait,
    }
}

fn write_verdict(verdict: Verdict) -> online::Verdict {
    match verdict {
        Verdict::Run => online::Verdict::Run,
        Verdict::Alone => online::Verdict::Isolated,
        Verdict::Quarantined => online::Verdict::Quarantined,
        Verdict::Wait => online::Verdict::Wait,
    }
}

fn read_outcome(outcome: i32) -> Outcome {
    match online::Outcome::try_from(outcome) {
        Ok(online::Outcome::Completed) => Outcome::Completed,
        Ok(online::Outcome::Crashed) => Outcome::Crashed,
        Ok(online::Outcome::Other) | Err(_) => Outcome::Other,
    }
}
