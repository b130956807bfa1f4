//! Requests that crash the upstreams that run them.
//!
//! When an answer breaks off and its upstream then takes no connection, the
//! request may have crashed it. Each VM tells the others what it saw, again and
//! again for a while, since datagrams get lost and VMs restart. A request that
//! may have crashed `LIMIT` upstreams isn't sent any more; items of jobs, which
//! are kept for long, are tried again after a pause, a few times.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use tokio::net::TcpStream;

use super::context::Context;
use crate::clock::Time;
use crate::emit;
use crate::event::Event;
use crate::id::Organisation;
use crate::route::Fingerprint;

/// Upstreams that a request may crash before it isn't sent any more.
pub const LIMIT: usize = 3;
/// Time after its last crash for which a request is remembered.
const MEMORY: Duration = Duration::from_secs(600);
/// Pause before an item that reached the limit is tried again.
const PROBATION: Duration = Duration::from_secs(10);
/// Times that such an item is tried again.
const MAX_PROBATIONS: u32 = 2;
/// Bound on looking whether an upstream takes connections.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Most requests that are remembered.
const MAX_REQUESTS: usize = 4_096;
/// Most crashes in one message.
const MAX_ROWS: usize = 64;

/// A crash as VMs tell it to each other.
#[derive(Clone, PartialEq, Message)]
pub struct Crash {
    /// Fingerprint of the request, sixteen bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Random number of the run that ended in the crash.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
}

#[derive(Debug, Default)]
struct Suspect {
    runs: BTreeSet<u64>,
    last: Time,
    probations: u32,
}

impl Suspect {
    fn quarantined(&self) -> bool {
        self.runs.len() >= LIMIT
    }
}

/// Requests that may have crashed upstreams.
#[derive(Debug, Default)]
pub struct Crashes {
    suspects: HashMap<Fingerprint, Suspect>,
    /// Crashes that this VM saw itself, oldest first.
    own: Vec<(Fingerprint, u64, Time)>,
}

impl Crashes {
    /// Whether a request isn't sent any more.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(Suspect::quarantined)
    }

    /// Whether a request may have crashed an upstream.
    pub fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Whether nothing is suspected, so that no fingerprint is needed.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether an item that reached the limit may be tried once more.
    pub fn allow_retry(&mut self, fingerprint: Fingerprint, now: Time) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return true };
        if !suspect.quarantined() {
            return true;
        }
        let rested = suspect.last.after(PROBATION).passed(now);
        if !rested || suspect.probations >= MAX_PROBATIONS {
            return false;
        }
        suspect.probations += 1;
        suspect.last = now;
        true
    }

    /// Notes a crash; true if the request isn't sent any more from now on.
    pub fn record(&mut self, fingerprint: Fingerprint, run: u64, now: Time) -> bool {
        self.forget(now);
        let suspect = self.suspects.entry(fingerprint).or_default();
        let before = suspect.quarantined();
        if suspect.runs.insert(run) {
            suspect.last = now;
        }
        suspect.quarantined() && !before
    }

    /// Notes a crash that this VM saw itself.
    fn record_own(&mut self, fingerprint: Fingerprint, run: u64, now: Time) -> bool {
        self.own.push((fingerprint, run, now));
        self.record(fingerprint, run, now)
    }

    /// The latest crashes that this VM saw itself.
    pub fn own(&self, now: Time) -> Vec<Crash> {
        let lately = self.own.iter().rev().take(MAX_ROWS);
        let lately = lately.filter(|(_, _, at)| !at.after(MEMORY).passed(now));
        lately
            .map(|(fingerprint, run, _)| Crash {
                fingerprint: fingerprint.0.to_be_bytes().into(),
                run: *run,
            })
            .collect()
    }

    fn forget(&mut self, now: Time) {
        self.own.retain(|(_, _, at)| !at.after(MEMORY).passed(now));
        self.suspects.retain(|_, suspect| !suspect.last.after(MEMORY).passed(now));
        if self.suspects.len() < MAX_REQUESTS {
            return;
        }
        self.suspects.retain(|_, suspect| suspect.quarantined());
    }
}

/// Fingerprint of a request: the same path, organisation and body.
pub fn fingerprint(organisation: Option<&Organisation>, target: &str, body: &[u8]) -> Fingerprint {
    let organisation = organisation.map_or("", Organisation::as_str);
    Fingerprint::of(&format!("{organisation} {target}"), body)
}

/// Looks whether the upstream that broke off a run has crashed. Returns at
/// once unless the request is suspected already: then the look decides whether
/// it may be sent again.
pub async fn probe(context: &Rc<Context>, address: SocketAddr, fingerprint: Fingerprint) {
    let probing = probe_upstream(context.clone(), address, fingerprint);
    if context.crashes.borrow().is_suspected(fingerprint) {
        return probing.await;
    }
    actix_rt::spawn(probing);
}

async fn probe_upstream(context: Rc<Context>, address: SocketAddr, fingerprint: Fingerprint) {
    let connecting = TcpStream::connect(address);
    if let Ok(Ok(_)) = tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
        return;
    }
    let run = context.random();
    if context.crashes.borrow_mut().record_own(fingerprint, run, context.now()) {
        say_stopped(&context, fingerprint);
    }
    context.crash_seen.notify_one();
}

/// Takes what another VM saw.
pub fn merge(context: &Context, crashes: &[Crash]) {
    for crash in crashes {
        let Ok(fingerprint) = <[u8; 16]>::try_from(crash.fingerprint.as_slice()) else { continue };
        let fingerprint = Fingerprint(u128::from_be_bytes(fingerprint));
        if context.crashes.borrow_mut().record(fingerprint, crash.run, context.now()) {
            say_stopped(context, fingerprint);
        }
    }
}

fn say_stopped(context: &Context, fingerprint: Fingerprint) {
    emit!(context.log, Event::RequestQuarantined, "fingerprint" => format!("{:032x}", fingerprint.0),
        "crashes" => LIMIT);
}
