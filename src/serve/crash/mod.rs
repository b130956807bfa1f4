//! Quarantine of requests that crash the upstreams that run them.
//!
//! When a response breaks off and its upstream then accepts no connection, the
//! request is suspected of having crashed it. Each VM repeats its observations
//! to the others for a while, since datagrams get lost and VMs restart. A
//! request suspected of `LIMIT` crashes is quarantined and no longer sent.
//! Items of jobs, which are stored for long, are retried a few times after a
//! pause.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use tokio::net::TcpStream;

use super::context::Context;
use super::protocol::Part;
use crate::clock::Time;
use crate::emit;
use crate::event::Event;
use crate::id::{Organisation, Upstream};
use crate::route::Fingerprint;

/// Suspected crashes after which a request is quarantined.
pub const LIMIT: usize = 3;
/// Time for which a request is remembered after its last crash.
const RETENTION: Duration = Duration::from_secs(600);
/// Pause before a quarantined item is retried.
const RETRY_PAUSE: Duration = Duration::from_secs(10);
/// Maximum number of retries of a quarantined item.
const MAX_RETRIES: u32 = 2;
/// Connect timeout of the probe whether an upstream is still running.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of remembered requests at which those below `LIMIT` are dropped.
const MAX_REQUESTS: usize = 4_096;
/// Maximum number of crashes in one message.
const MAX_ROWS: usize = 64;

/// A run that its upstream broke off.
#[derive(Clone, Debug)]
pub struct Broken {
    /// Identifier of the request or item.
    pub request_id: String,
    /// The upstream.
    pub upstream: Upstream,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Fingerprint of the request or item.
    pub fingerprint: Fingerprint,
    /// Parts of the request's prompt that other requests may share; none for items.
    pub shared_parts: Vec<Part>,
}

/// A suspected crash, as VMs report it to each other.
#[derive(Clone, PartialEq, Message)]
pub struct Crash {
    /// Fingerprint of the request, 16 bytes in big-endian order.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Random number that identifies the run that ended in the crash.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
}

#[derive(Debug, Default)]
struct Suspect {
    runs: BTreeSet<u64>,
    last: Time,
    retries: u32,
}

impl Suspect {
    fn quarantined(&self) -> bool {
        self.runs.len() >= LIMIT
    }
}

/// Requests suspected of having crashed upstreams.
#[derive(Debug, Default)]
pub struct Crashes {
    suspects: HashMap<Fingerprint, Suspect>,
    /// Crashes that this VM observed itself, oldest first.
    own: Vec<(Fingerprint, u64, Time)>,
}

impl Crashes {
    /// Whether a request is quarantined.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(Suspect::quarantined)
    }

    /// Whether a request is suspected of a crash.
    pub fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Whether no request is suspected; callers then need no fingerprint.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether an item may be sent. Counts a retry if the item is quarantined.
    pub fn allow_retry(&mut self, fingerprint: Fingerprint, now: Time) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return true };
        if !suspect.quarantined() {
            return true;
        }
        let pause_over = suspect.last.after(RETRY_PAUSE).passed(now);
        if !pause_over || suspect.retries >= MAX_RETRIES {
            return false;
        }
        suspect.retries += 1;
        suspect.last = now;
        true
    }

    /// Records a crash; true if it is the one that quarantines the request.
    pub fn record(&mut self, fingerprint: Fingerprint, run: u64, now: Time) -> bool {
        self.expire(now);
        let suspect = self.suspects.entry(fingerprint).or_default();
        let before = suspect.quarantined();
        if suspect.runs.insert(run) {
            suspect.last = now;
        }
        suspect.quarantined() && !before
    }

    /// Records a crash that this VM observed itself.
    fn record_own(&mut self, fingerprint: Fingerprint, run: u64, now: Time) -> bool {
        self.own.push((fingerprint, run, now));
        self.record(fingerprint, run, now)
    }

    /// The latest crashes that this VM observed itself.
    pub fn own(&self, now: Time) -> Vec<Crash> {
        let recent = self.own.iter().rev().take(MAX_ROWS);
        let recent = recent.filter(|(_, _, at)| !at.after(RETENTION).passed(now));
        recent
            .map(|(fingerprint, run, _)| Crash {
                fingerprint: fingerprint.0.to_be_bytes().into(),
                run: *run,
            })
            .collect()
    }

    fn expire(&mut self, now: Time) {
        self.own.retain(|(_, _, at)| !at.after(RETENTION).passed(now));
        self.suspects.retain(|_, suspect| !suspect.last.after(RETENTION).passed(now));
        if self.suspects.len() < MAX_REQUESTS {
            return;
        }
        self.suspects.retain(|_, suspect| suspect.quarantined());
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
    let fingerprint = broken.fingerprint;
    let probing = probe_upstream(context.clone(), broken);
    if context.crashes.borrow().is_suspected(fingerprint) {
        return probing.await;
    }
    actix_rt::spawn(probing);
}

async fn probe_upstream(context: Rc<Context>, broken: Broken) {
    let Broken { request_id, upstream, address, fingerprint, shared_parts } = broken;
    let connecting = TcpStream::connect(address);
    if let Ok(Ok(_)) = tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
        return;
    }
    metrics::counter!("serve_crashes_total").increment(1);
    let parts: Vec<String> = shared_parts.iter().map(|part| format!("{:016x}", part.0)).collect();
    emit!(context.log, Event::UpstreamDied, "request" => request_id,
        "upstream" => upstream.as_str(), "fingerprint" => format!("{:032x}", fingerprint.0),
        "shared_parts" => parts.join(","));
    let run = context.random();
    if context.crashes.borrow_mut().record_own(fingerprint, run, context.now()) {
        log_quarantined(&context, fingerprint);
    }
    context.crash_seen.notify_one();
}

/// Merges crashes that another VM observed.
pub fn merge(context: &Context, crashes: &[Crash]) {
    for crash in crashes {
        let Ok(fingerprint) = <[u8; 16]>::try_from(crash.fingerprint.as_slice()) else { continue };
        let fingerprint = Fingerprint(u128::from_be_bytes(fingerprint));
        if context.crashes.borrow_mut().record(fingerprint, crash.run, context.now()) {
            log_quarantined(context, fingerprint);
        }
    }
}

fn log_quarantined(context: &Context, fingerprint: Fingerprint) {
    emit!(context.log, Event::RequestQuarantined,
        "fingerprint" => format!("{:032x}", fingerprint.0), "crashes" => LIMIT);
}
