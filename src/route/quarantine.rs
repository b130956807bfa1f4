//! Exchanges quarantine messages with other VMs about requests that crash
//! upstreams.
//!
//! A VM always includes the verdict of its own records, so while no owner
//! answers it decides by the outcomes that were reported to it.

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

/// Timeout of a call to an owner.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of the connection attempt that checks whether an upstream is alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an owner that didn't answer is not asked again.
const UNRESPONSIVE_PERIOD: Duration = Duration::from_secs(2);
/// Initial pause before a waiting request asks again; it doubles each time.
const INITIAL_PAUSE: Duration = Duration::from_millis(5);
/// Maximum pause before a waiting request asks again.
const MAX_PAUSE: Duration = Duration::from_millis(80);
/// Maximum number of queued messages and probes; more are dropped, and a run
/// whose end isn't reported ends at its deadline.
const QUEUE_CAPACITY: usize = 8_192;

impl Fingerprint {
    /// Computes the fingerprint of a request: half of a SHA-256 hash over path and body.
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

/// Work that traffic threads hand to the control thread.
enum Work {
    /// Sends a message to a peer.
    Notify(Member, online::Body),
    /// Checks whether the upstream of a cancelled run is alive, then ends the run.
    Probe(Guard, SocketAddr),
}

/// Quarantine of requests that crash upstreams, for one VM; cheap to clone.
#[derive(Clone)]
pub struct Quarantine {
    inner: Arc<Inner>,
}

struct Inner {
    context: Context,
    timeout: Duration,
    crashes: Mutex<Crashes>,
    unresponsive: Mutex<HashMap<Vm, Time>>,
    next_run: AtomicU64,
    work: mpsc::Sender<Work>,
    queue: Mutex<Option<mpsc::Receiver<Work>>>,
}

impl Quarantine {
    /// Creates a quarantine without any records.
    pub fn new(context: Context) -> Self {
        Self::with_timeout(context, QUERY_TIMEOUT)
    }

    /// Like `new`, but waits `timeout` for the answer of an owner.
    pub fn with_timeout(context: Context, timeout: Duration) -> Self {
        let (work, queue) = mpsc::channel(QUEUE_CAPACITY);
        let inner = Inner {
            context,
            timeout,
            crashes: Mutex::default(),
            unresponsive: Mutex::default(),
            // Starts at random, so that runs after a restart aren't mistaken for earlier ones.
            next_run: AtomicU64::new(rand::random()),
            work,
            queue: Mutex::new(Some(queue)),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Sends queued messages to other VMs and probes the upstreams of cancelled
    /// runs; must run on the control thread.
    pub async fn run(self) {
        let queue = self.inner.queue.lock().take();
        let Some(mut queue) = queue else { return };
        while let Some(work) = queue.recv().await {
            let quarantine = self.clone();
            actix_rt::spawn(async move {
                match work {
                    // If the message is lost, the owner ends the run at its deadline.
                    Work::Notify(member, body) => drop(quarantine.call(&member, body).await),
                    Work::Probe(guard, address) => probe(guard, address).await,
                }
            });
        }
    }

    /// Returns an error if the request is quarantined according to this VM's records.
    pub fn check(&self, fingerprint: Fingerprint) -> Result<()> {
        let now = self.inner.context.clock.now();
        match self.inner.crashes.lock().is_quarantined(fingerprint, now) {
            true => Err(quarantined()),
            false => Ok(()),
        }
    }

    /// Waits until the request may run. Fails with `Quarantined`, or with
    /// `InProgress` if other runs of it haven't ended by the deadline.
    pub async fn begin(&self, fingerprint: Fingerprint, deadline: Time) -> Result<Guard> {
        let run = Run {
            vm: self.inner.context.vm.clone(),
            number: self.inner.next_run.fetch_add(1, Ordering::Relaxed),
        };
        let mut guard = Guard::new(self.clone(), fingerprint, run);
        let mut pause = INITIAL_PAUSE;
        loop {
            self.check(fingerprint)?;
            let now = self.inner.context.clock.now();
            if self.inner.crashes.lock().is_cleared(fingerprint, now) {
                return Ok(guard);
            }
            match self.query_owners(&mut guard, deadline).await {
                Verdict::Run => return Ok(guard),
                Verdict::Isolated => {
                    guard.isolated = true;
                    return Ok(guard);
                }
                Verdict::Quarantined => {
                    self.inner.crashes.lock().quarantine(fingerprint, now);
                    return Err(quarantined());
                }
                Verdict::Wait => {
                    tokio::time::sleep(jitter(pause)).await;
                    pause = (pause * 2).min(MAX_PAUSE);
                }
            }
            if deadline.passed(self.inner.context.clock.now()) {
                let detail = "other runs of the same request haven't ended";
                return Err(Error::new(Kind::InProgress, detail));
            }
        }
    }

    /// Asks all owners concurrently and the local records. The strictest verdict
    /// applies, so that one of them may have lost its records. Each has then
    /// recorded the run; a run that isn't permitted is withdrawn.
    async fn query_owners(&self, guard: &mut Guard, deadline: Time) -> Verdict {
        let now = self.inner.context.clock.now();
        guard.owners = self.remote_owners(guard.fingerprint, now);
        let local =
            self.inner.crashes.lock().begin(guard.fingerprint, guard.run.clone(), deadline, now);
        let begin = guard.begin_message(deadline, now);
        let calls = guard.owners.iter().map(|owner| self.query_owner(owner, begin.clone()));
        let verdicts = futures_util::future::join_all(calls).await;
        let verdict = Verdict::strictest(verdicts.into_iter().flatten().chain([local]));
        if !verdict.allows() {
            guard.withdraw();
        }
        verdict
    }

    async fn query_owner(&self, owner: &Member, begin: online::Body) -> Option<Verdict> {
        match self.call(owner, begin).await {
            Ok(online::Body::Verdict(verdict)) => Some(decode_verdict(verdict)),
            Ok(_) | Err(_) => {
                self.mark_unresponsive(owner);
                None
            }
        }
    }

    fn is_own(&self, member: &Member) -> bool {
        member.vm == self.inner.context.vm
    }

    /// Owners other than this VM, without those that recently didn't answer.
    fn remote_owners(&self, fingerprint: Fingerprint, now: Time) -> Vec<Member> {
        let view = self.inner.context.shared.load();
        let unresponsive = self.inner.unresponsive.lock();
        let entries = view.members.values().filter(|member| member.role == Role::Entry);
        let usable = |vm: &&Vm| {
            **vm != self.inner.context.vm
                && unresponsive.get(*vm).is_none_or(|until| until.passed(now))
        };
        let owners = owners(fingerprint, entries.map(|member| &member.vm));
        owners.into_iter().filter(usable).filter_map(|vm| view.members.get(vm).cloned()).collect()
    }

    fn mark_unresponsive(&self, member: &Member) {
        let until = self.inner.context.clock.now().after(UNRESPONSIVE_PERIOD);
        self.inner.unresponsive.lock().insert(member.vm.clone(), until);
    }

    async fn call(&self, member: &Member, body: online::Body) -> Result<online::Body> {
        let message = wire::Body::Online(online::Message { body: Some(body) });
        let client = self.inner.context.peers.get(member.peer);
        match client.call(message, self.inner.timeout).await? {
            wire::Body::Online(online::Message { body: Some(body) }) => Ok(body),
            _ => Err(Error::new(Kind::Peer, "not an answer of this area")),
        }
    }

    fn notify(&self, member: &Member, body: online::Body) {
        let _ = self.inner.work.try_send(Work::Notify(member.clone(), body));
    }

    fn end(&self, fingerprint: Fingerprint, run: &Run, outcome: Outcome) {
        let now = self.inner.context.clock.now();
        if self.inner.crashes.lock().end(fingerprint, run, outcome, now) {
            metrics::counter!("parsleybeam_quarantined_total").increment(1);
            emit!(self.inner.context.log, Event::RequestQuarantined,
                "fingerprint" => format!("{:032x}", fingerprint.0));
        }
    }

    fn handle_call(&self, peer: &Peer, body: online::Body) -> Result<online::Body> {
        let now = self.inner.context.clock.now();
        let run = |number| Run { vm: peer.vm.clone(), number };
        match body {
            online::Body::Begin(begin) => {
                let fingerprint = Fingerprint::read(&begin.fingerprint)?;
                let deadline = now.after(Duration::from_micros(begin.remaining_us));
                let run = run(begin.run);
                let verdict = self.inner.crashes.lock().begin(fingerprint, run, deadline, now);
                Ok(online::Body::Verdict(encode_verdict(verdict).into()))
            }
            online::Body::End(end) => {
                let fingerprint = Fingerprint::read(&end.fingerprint)?;
                self.end(fingerprint, &run(end.run), decode_outcome(end.outcome));
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
            let body = self.handle_call(&peer, body)?;
            Ok(wire::Body::Online(online::Message { body: Some(body) }))
        })
    }
}

/// Permission to run a request once; dropping it cancels the run.
pub struct Guard {
    quarantine: Quarantine,
    fingerprint: Fingerprint,
    run: Run,
    /// Owners that recorded the run.
    owners: Vec<Member>,
    isolated: bool,
    /// Address of the upstream that may be running the request.
    sent: Option<SocketAddr>,
    ended: bool,
}

impl Guard {
    fn new(quarantine: Quarantine, fingerprint: Fingerprint, run: Run) -> Self {
        Self {
            quarantine,
            fingerprint,
            run,
            owners: vec![],
            isolated: false,
            sent: None,
            ended: false,
        }
    }

    /// Records that the request is about to be sent to the upstream at
    /// `address`. Unless its end is reported, the run counts as in progress
    /// until a probe finds that upstream alive.
    pub fn sent(&mut self, address: SocketAddr) {
        self.sent = Some(address);
    }

    /// Records that the request was not sent after all.
    pub fn not_sent(&mut self) {
        self.sent = None;
    }

    /// Whether the request must run on an upstream without other requests.
    pub fn isolated(&self) -> bool {
        self.isolated
    }

    /// Ends the run after a complete response.
    pub fn completed(mut self) {
        self.finish(Outcome::Completed);
    }

    /// Ends the run after the upstream's response broke off. Returns once the
    /// owners have recorded the crash or failed to answer, so that a retry sees
    /// it; the other entry VMs are notified in the background.
    pub async fn crashed(mut self) {
        self.ended = true;
        let quarantine = &self.quarantine;
        quarantine.end(self.fingerprint, &self.run, Outcome::Crashed);
        let now = quarantine.inner.context.clock.now();
        let owners = quarantine.remote_owners(self.fingerprint, now);
        let view = quarantine.inner.context.shared.load();
        let entries = view.members.values().filter(|member| member.role == Role::Entry);
        for member in entries.filter(|member| !quarantine.is_own(member)) {
            if owners.iter().all(|owner| owner.vm != member.vm) {
                quarantine.notify(member, self.end_message(Outcome::Crashed));
            }
        }
        let calls = owners.iter().map(|owner| async {
            if quarantine.call(owner, self.end_message(Outcome::Crashed)).await.is_err() {
                quarantine.mark_unresponsive(owner);
            }
        });
        futures_util::future::join_all(calls).await;
    }

    fn finish(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.notify_all(outcome);
    }

    /// Withdraws a run that only some of the owners permitted.
    fn withdraw(&mut self) {
        self.notify_all(Outcome::Other);
        // A new number, so that a delayed message can't end the next run.
        self.run.number = self.quarantine.inner.next_run.fetch_add(1, Ordering::Relaxed);
    }

    fn notify_all(&self, outcome: Outcome) {
        self.quarantine.end(self.fingerprint, &self.run, outcome);
        for owner in &self.owners {
            self.quarantine.notify(owner, self.end_message(outcome));
        }
    }

    fn begin_message(&self, deadline: Time, now: Time) -> online::Body {
        online::Body::Begin(online::Begin {
            fingerprint: self.fingerprint.bytes(),
            run: self.run.number,
            remaining_us: now.until(deadline).as_micros() as u64,
        })
    }

    fn end_message(&self, outcome: Outcome) -> online::Body {
        let outcome = match outcome {
            Outcome::Other => online::Outcome::Other,
            Outcome::Completed => online::Outcome::Completed,
            Outcome::Crashed => online::Outcome::Crashed,
        };
        online::Body::End(online::End {
            fingerprint: self.fingerprint.bytes(),
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
        // The upstream may still crash before the cancellation reaches it, so
        // the run isn't over yet.
        self.ended = true;
        let mut pending = Guard::new(self.quarantine.clone(), self.fingerprint, self.run.clone());
        pending.owners = std::mem::take(&mut self.owners);
        if let Err(error) = self.quarantine.inner.work.try_send(Work::Probe(pending, address)) {
            // The queue is full: without a probe the run counts until its deadline.
            if let Work::Probe(mut pending, _) = error.into_inner() {
                pending.ended = true;
            }
        }
    }
}

/// Ends a cancelled run, as crashed if its upstream is no longer reachable.
async fn probe(guard: Guard, address: SocketAddr) {
    tokio::time::sleep(PROBE_DELAY).await;
    match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => drop(guard),
        Ok(Err(_)) | Err(_) => guard.crashed().await,
    }
}

/// Randomizes a pause, so that two waiting requests don't keep blocking each other.
fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(0.5 + rand::random::<f64>())
}

fn quarantined() -> Error {
    Error::new(Kind::Quarantined, "upstreams broke off while they ran this request")
}

fn decode_verdict(verdict: i32) -> Verdict {
    match online::Verdict::try_from(verdict) {
        Ok(online::Verdict::Run) => Verdict::Run,
        Ok(online::Verdict::Isolated) => Verdict::Isolated,
        Ok(online::Verdict::Quarantined) => Verdict::Quarantined,
        Ok(online::Verdict::Wait) | Err(_) => Verdict::Wait,
    }
}

fn encode_verdict(verdict: Verdict) -> online::Verdict {
    match verdict {
        Verdict::Run => online::Verdict::Run,
        Verdict::Isolated => online::Verdict::Isolated,
        Verdict::Quarantined => online::Verdict::Quarantined,
        Verdict::Wait => online::Verdict::Wait,
    }
}

fn decode_outcome(outcome: i32) -> Outcome {
    match online::Outcome::try_from(outcome) {
        Ok(online::Outcome::Completed) => Outcome::Completed,
        Ok(online::Outcome::Crashed) => Outcome::Crashed,
        Ok(online::Outcome::Other) | Err(_) => Outcome::Other,
    }
}
