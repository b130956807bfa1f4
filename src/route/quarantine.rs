//! Asks and tells the fleet about requests that crash upstreams.
//!
//! The owner of a fingerprint is the entry VM that ranks first for it. While
//! the owner gives no answer this VM decides alone for a while, with what it
//! was told of losses; only runs under way elsewhere are then unknown to it.

use std::collections::HashMap;
use std::hash::Hasher;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use parking_lot::Mutex;
use sha2::{Digest as _, Sha256};
use siphasher::sip::SipHasher24;
use tokio::sync::mpsc;

use super::poison::{Fingerprint, LOSS_LIMIT, Outcome, Poison, Run, Verdict};
use crate::clock::Time;
use crate::context::Context;
use crate::emit;
use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::id::Vm;
use crate::view::{Member, Role};
use crate::wire::{self, Handler, Peer, online};

/// Bound on asking the owner.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// How long an owner that gave no answer isn't asked.
const SILENCE: Duration = Duration::from_secs(2);
/// Pause before a request that must wait is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Messages that may wait to be told; more are dropped, and a run whose end
/// isn't told ends with its deadline.
const TELL_QUEUE: usize = 8_192;

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

/// What one VM does about requests that crash upstreams; cheap to clone.
#[derive(Clone)]
pub struct Quarantine {
    inner: Arc<Inner>,
}

struct Inner {
    context: Context,
    poison: Mutex<Poison>,
    silent: Mutex<HashMap<Vm, Time>>,
    next: AtomicU64,
    tell: mpsc::Sender<(Member, online::Body)>,
    told: Mutex<Option<mpsc::Receiver<(Member, online::Body)>>>,
}

impl Quarantine {
    /// Knows nothing yet.
    pub fn new(context: Context) -> Self {
        let (tell, told) = mpsc::channel(TELL_QUEUE);
        let inner = Inner {
            context,
            poison: Mutex::default(),
            silent: Mutex::default(),
            // Random, so that a restarted VM's runs aren't taken for old ones.
            next: AtomicU64::new(rand::random()),
            tell,
            told: Mutex::new(Some(told)),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Tells other VMs what they must know; runs on the control thread.
    pub async fn run(self) {
        let told = self.inner.told.lock().take();
        let Some(mut told) = told else { return };
        while let Some((member, body)) = told.recv().await {
            let quarantine = self.clone();
            actix_rt::spawn(async move {
                // A run whose end is lost ends with its deadline.
                let _ = quarantine.call(&member, body).await;
            });
        }
    }

    /// Whether this VM knows that a request never runs again.
    pub fn check(&self, print: Fingerprint) -> Result<()> {
        let now = self.inner.context.clock.now();
        match self.inner.poison.lock().is_quarantined(print, now) {
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
        let mut guard =
            Guard { quarantine: self.clone(), print, run, owner: None, alone: false, ended: false };
        loop {
            let now = self.inner.context.clock.now();
            self.check(print)?;
            if self.inner.poison.lock().is_cleared(print, now) {
                return Ok(guard);
            }
            guard.owner = self.owner(print, now);
            match self.ask(&mut guard, deadline).await {
                Verdict::Run => return Ok(guard),
                Verdict::Alone => {
                    guard.alone = true;
                    return Ok(guard);
                }
                Verdict::Quarantined => {
                    self.learn(print, LOSS_LIMIT);
                    return Err(quarantined());
                }
                Verdict::Wait => tokio::time::sleep(RETRY_PAUSE).await,
            }
            if deadline.passed(self.inner.context.clock.now()) {
                let detail = "other runs of the same request haven't ended";
                return Err(Error::new(Kind::InProgress, detail));
            }
        }
    }

    async fn ask(&self, guard: &mut Guard, deadline: Time) -> Verdict {
        let now = self.inner.context.clock.now();
        if let Some(owner) = &guard.owner {
            let left_micros = now.until(deadline).as_micros() as u64;
            let begin = online::Begin {
                fingerprint: guard.print.bytes(),
                run: guard.run.number,
                left_micros,
            };
            match self.call(owner, online::Body::Begin(begin)).await {
                Ok(online::Body::Verdict(verdict)) => return read_verdict(verdict),
                Ok(_) | Err(_) => self.mark_silent(owner),
            }
            // It may have registered the run all the same.
            self.tell(owner, guard.end_message(Outcome::Other));
            guard.owner = None;
        }
        self.inner.poison.lock().begin(guard.print, guard.run.clone(), deadline, now)
    }

    /// The VM to ask; none when it is this one or gives no answer.
    fn owner(&self, print: Fingerprint, now: Time) -> Option<Member> {
        let view = self.inner.context.shared.load();
        let entries = view.members.values().filter(|member| member.role == Role::Entry);
        let owner = entries.max_by_key(|member| score(print, &member.vm))?;
        let own = owner.vm == self.inner.context.vm;
        let silent = self.inner.silent.lock().get(&owner.vm).is_some_and(|it| !it.passed(now));
        (!own && !silent).then(|| owner.clone())
    }

    fn mark_silent(&self, member: &Member) {
        let until = self.inner.context.clock.now().after(SILENCE);
        self.inner.silent.lock().insert(member.vm.clone(), until);
    }

    async fn call(&self, member: &Member, body: online::Body) -> Result<online::Body> {
        let message = wire::Body::Online(online::Message { body: Some(body) });
        let client = self.inner.context.peers.get(member.peer);
        match client.call(message, ASK_TIMEOUT).await? {
            wire::Body::Online(online::Message { body: Some(body) }) => Ok(body),
            _ => Err(Error::new(Kind::Peer, "not an answer of this area")),
        }
    }

    fn tell(&self, member: &Member, body: online::Body) {
        let _ = self.inner.tell.try_send((member.clone(), body));
    }

    fn learn(&self, print: Fingerprint, lost: u32) {
        let now = self.inner.context.clock.now();
        self.inner.poison.lock().learn(print, lost, now);
    }

    /// Notes how a run that this VM owns ended, and tells all of a loss.
    fn end(&self, print: Fingerprint, run: &Run, how: Outcome) {
        let now = self.inner.context.clock.now();
        let Some(lost) = self.inner.poison.lock().end(print, run, how, now) else { return };
        if lost >= LOSS_LIMIT {
            emit!(self.inner.context.log, Event::RequestQuarantined,
                "fingerprint" => format!("{:032x}", print.0), "lost" => lost);
        }
        let view = self.inner.context.shared.load();
        for member in view.members.values() {
            if member.role == Role::Entry && member.vm != self.inner.context.vm {
                let loss = online::Loss { fingerprint: print.bytes(), lost };
                self.tell(member, online::Body::Loss(loss));
            }
        }
    }

    fn answer(&self, peer: &Peer, body: online::Body) -> Result<online::Body> {
        let now = self.inner.context.clock.now();
        let run = |number| Run { vm: peer.vm.clone(), number };
        match body {
            online::Body::Begin(begin) => {
                let print = Fingerprint::read(&begin.fingerprint)?;
                let deadline = now.after(Duration::from_micros(begin.left_micros));
                let verdict = self.inner.poison.lock().begin(print, run(begin.run), deadline, now);
                Ok(online::Body::Verdict(write_verdict(verdict).into()))
            }
            online::Body::End(end) => {
                let print = Fingerprint::read(&end.fingerprint)?;
                self.end(print, &run(end.run), read_outcome(end.outcome));
                Ok(online::Body::Done(()))
            }
            online::Body::Loss(loss) => {
                self.learn(Fingerprint::read(&loss.fingerprint)?, loss.lost);
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
    /// Who gave it; none for this VM.
    owner: Option<Member>,
    alone: bool,
    ended: bool,
}

impl Guard {
    /// Whether it must run where nothing else runs.
    pub fn alone(&self) -> bool {
        self.alone
    }

    /// The answer came whole.
    pub fn whole(mut self) {
        self.finish(Outcome::Whole);
    }

    /// The upstream's answer broke off. Returns once the owner knows, so that
    /// a retry meets this loss.
    pub async fn died(mut self) {
        self.ended = true;
        self.quarantine.end(self.print, &self.run, Outcome::Died);
        let now = self.quarantine.inner.context.clock.now();
        let owner = self.owner.take().or_else(|| self.quarantine.owner(self.print, now));
        let Some(owner) = owner else { return };
        let end = self.end_message(Outcome::Died);
        if self.quarantine.call(&owner, end).await.is_err() {
            self.quarantine.mark_silent(&owner);
        }
    }

    fn finish(&mut self, how: Outcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.quarantine.end(self.print, &self.run, how);
        if let Some(owner) = &self.owner {
            self.quarantine.tell(owner, self.end_message(how));
        }
    }

    fn end_message(&self, how: Outcome) -> online::Body {
        let outcome = match how {
            Outcome::Other => online::Outcome::Other,
            Outcome::Whole => online::Outcome::Whole,
            Outcome::Died => online::Outcome::Died,
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
        self.finish(Outcome::Other);
    }
}

fn score(print: Fingerprint, vm: &Vm) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write_u128(print.0);
    hasher.write(vm.as_str().as_bytes());
    hasher.finish()
}

fn quarantined() -> Error {
    Error::new(Kind::Quarantined, "upstreams broke off while they ran this request")
}

fn read_verdict(verdict: i32) -> Verdict {
    match online::Verdict::try_from(verdict) {
        Ok(online::Verdict::Run) => Verdict::Run,
        Ok(online::Verdict::Alone) => Verdict::Alone,
        Ok(online::Verdict::Quarantined) => Verdict::Quarantined,
        Ok(online::Verdict::Wait) | Err(_) => Verdict::Wait,
    }
}

fn write_verdict(verdict: Verdict) -> online::Verdict {
    match verdict {
        Verdict::Run => online::Verdict::Run,
        Verdict::Alone => online::Verdict::Alone,
        Verdict::Quarantined => online::Verdict::Quarantined,
        Verdict::Wait => online::Verdict::Wait,
    }
}

fn read_outcome(outcome: i32) -> Outcome {
    match online::Outcome::try_from(outcome) {
        Ok(online::Outcome::Whole) => Outcome::Whole,
        Ok(online::Outcome::Died) => Outcome::Died,
        Ok(online::Outcome::Other) | Err(_) => Outcome::Other,
    }
}
