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

use super::fleet::Fleet;
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
const LOOK_TIMEOUT: Duration = Duration::from_millis(300);
/// Most requests that are remembered.
const MAX_REQUESTS: usize = 4_096;
/// Most crashes in one message.
const MAX_ROWS: usize = 64;

/// A crash as VMs tell it to each other.
#[derive(Clone, PartialEq, Message)]
pub struct Crash {
    /// Fingerprint of the request, sixteen bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub print: Vec<u8>,
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
    fn stopped(&self) -> bool {
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
    pub fn stops(&self, print: Fingerprint) -> bool {
        self.suspects.get(&print).is_some_and(Suspect::stopped)
    }

    /// Whether a request may have crashed an upstream.
    pub fn suspects(&self, print: Fingerprint) -> bool {
        self.suspects.contains_key(&print)
    }

    /// Whether nothing is suspected, so that no fingerprint is needed.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether an item that reached the limit may be tried once more.
    pub fn try_again(&mut self, print: Fingerprint, now: Time) -> bool {
        let Some(suspect) = self.suspects.get_mut(&print) else { return true };
        if !suspect.stopped() {
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
    pub fn note(&mut self, print: Fingerprint, run: u64, now: Time) -> bool {
        self.forget(now);
        let suspect = self.suspects.entry(print).or_default();
        let before = suspect.stopped();
        if suspect.runs.insert(run) {
            suspect.last = now;
        }
        suspect.stopped() && !before
    }

    /// Notes a crash that this VM saw itself.
    fn note_own(&mut self, print: Fingerprint, run: u64, now: Time) -> bool {
        self.own.push((print, run, now));
        self.note(print, run, now)
    }

    /// The latest crashes that this VM saw itself.
    pub fn own(&self, now: Time) -> Vec<Crash> {
        let lately = self.own.iter().rev().take(MAX_ROWS);
        let lately = lately.filter(|(_, _, at)| !at.after(MEMORY).passed(now));
        lately
            .map(|(print, run, _)| Crash { print: print.0.to_be_bytes().into(), run: *run })
            .collect()
    }

    fn forget(&mut self, now: Time) {
        self.own.retain(|(_, _, at)| !at.after(MEMORY).passed(now));
        self.suspects.retain(|_, suspect| !suspect.last.after(MEMORY).passed(now));
        if self.suspects.len() < MAX_REQUESTS {
            return;
        }
        self.suspects.retain(|_, suspect| suspect.stopped());
    }
}

/// Fingerprint of a request: the same path, organisation and body.
pub fn print(organisation: Option<&Organisation>, target: &str, body: &[u8]) -> Fingerprint {
    let organisation = organisation.map_or("", Organisation::as_str);
    Fingerprint::of(&format!("{organisation} {target}"), body)
}

/// Looks whether the upstream that broke off a run has crashed. Returns at
/// once unless the request is suspected already: then the look decides whether
/// it may be sent again.
pub async fn look(fleet: &Rc<Fleet>, address: SocketAddr, print: Fingerprint) {
    let looking = find_out(fleet.clone(), address, print);
    if fleet.crashes.borrow().suspects(print) {
        return looking.await;
    }
    actix_rt::spawn(looking);
}

async fn find_out(fleet: Rc<Fleet>, address: SocketAddr, print: Fingerprint) {
    let connecting = TcpStream::connect(address);
    if let Ok(Ok(_)) = tokio::time::timeout(LOOK_TIMEOUT, connecting).await {
        return;
    }
    let run = fleet.draw();
    if fleet.crashes.borrow_mut().note_own(print, run, fleet.now()) {
        say_stopped(&fleet, print);
    }
    fleet.crash_seen.notify_one();
}

/// Takes what another VM saw.
pub fn hear(fleet: &Fleet, crashes: &[Crash]) {
    for crash in crashes {
        let Ok(print) = <[u8; 16]>::try_from(crash.print.as_slice()) else { continue };
        let print = Fingerprint(u128::from_be_bytes(print));
        if fleet.crashes.borrow_mut().note(print, crash.run, fleet.now()) {
            say_stopped(fleet, print);
        }
    }
}

fn say_stopped(fleet: &Fleet, print: Fingerprint) {
    emit!(fleet.log, Event::RequestQuarantined, "fingerprint" => format!("{:032x}", print.0),
        "crashes" => LIMIT);
}
