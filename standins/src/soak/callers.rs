//! Callers that keep their connections, and one that submits jobs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::ledger::Ledger;
use super::site::Site;
use crate::platform::caller::{self, Connection};
use crate::platform::payload;

/// Routes that callers use in turn.
const ROUTES: [&str; 3] = ["again", "once", "resumable"];
/// Longest wait for an answer; above every route's own.
const PATIENCE: Duration = Duration::from_millis(payload::TIMEOUT_MS + 3_000);
/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(20);
/// Pause after a VM that took no connection.
const AWAY_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two jobs, and between two reads of one.
const JOB_PAUSE: Duration = Duration::from_millis(400);
/// Times that a job is submitted before it is left.
const SUBMISSIONS: usize = 10;

/// A caller of requests.
pub struct Caller {
    number: u64,
    addresses: Vec<SocketAddr>,
    key: Arc<Mutex<String>>,
    ledger: Arc<Mutex<Ledger>>,
}

impl Caller {
    /// A caller of all VMs of a site.
    pub fn new(number: u64, site: &Site, ledger: Arc<Mutex<Ledger>>) -> Self {
        Self { number, addresses: site.callers.clone(), key: site.key.clone(), ledger }
    }

    /// Sends requests until told to end.
    pub fn run(self, ending: &AtomicBool) {
        let mut random = ChaCha8Rng::seed_from_u64(self.number);
        let mut open: HashMap<SocketAddr, Connection> = HashMap::new();
        let mut key = self.key.lock().clone();
        for count in 0.. {
            if ending.load(Ordering::SeqCst) {
                return;
            }
            // An old key is used for a while longer.
            if random.random_bool(0.2) {
                key = self.key.lock().clone();
            }
            let address = self.addresses[random.random_range(0..self.addresses.len())];
            let route = ROUTES[random.random_range(0..ROUTES.len())];
            let connection = open.remove(&address);
            let connection = connection.map_or_else(|| Connection::open(address, PATIENCE), Ok);
            let Ok(mut connection) = connection else {
                thread::sleep(AWAY_PAUSE);
                continue;
            };
            let id = format!("r-{}-{count}", self.number);
            if self.ask(&mut connection, &id, route, &key) {
                open.insert(address, connection);
            }
            thread::sleep(PAUSE);
        }
    }

    /// Sends one request; whether its connection may be used again.
    fn ask(&self, connection: &mut Connection, id: &str, route: &'static str, key: &str) -> bool {
        self.ledger.lock().send(id, route, key);
        let headers = [("Parsleybeam-Request-Id", id)];
        let path = format!("/{route}/{id}");
        let bytes = caller::request("POST", &path, &headers, key, b"body");
        let (answer, outcome) = connection.exchange(&bytes);
        self.ledger.lock().answered(id, &answer);
        outcome.is_ok() && answer.header("connection") != Some("close")
    }
}

/// A caller that submits jobs and reads them at any VM.
pub struct Submitter {
    addresses: Vec<SocketAddr>,
    key: Arc<Mutex<String>>,
    ledger: Arc<Mutex<Ledger>>,
}

impl Submitter {
    /// A submitter to all VMs of a site.
    pub fn new(site: &Site, ledger: Arc<Mutex<Ledger>>) -> Self {
        Self { addresses: site.callers.clone(), key: site.key.clone(), ledger }
    }

    /// Submits jobs until told to end.
    pub fn run(self, ending: &AtomicBool) {
        let mut random = ChaCha8Rng::seed_from_u64(u64::MAX);
        let mut count = 0;
        while !ending.load(Ordering::SeqCst) {
            count += 1;
            let (job, items) = (format!("job-{count}"), random.random_range(1..6));
            let name = format!("item-{count}");
            let body = payload::job(items, &name);
            let names = (0..items).map(|index| format!("{name}-{index}"));
            self.ledger.lock().items.extend(names);
            for _ in 0..SUBMISSIONS {
                if self.submit(self.any(&mut random), &job, &body) {
                    self.ledger.lock().jobs.entry(job.clone()).or_default();
                    break;
                }
                thread::sleep(JOB_PAUSE);
            }
            let known: Vec<String> = self.ledger.lock().jobs.keys().cloned().collect();
            if let Some(job) = known.get(random.random_range(0..known.len().max(1))) {
                let key = self.key.lock().clone();
                read(self.any(&mut random), job, &key, &self.ledger);
            }
            thread::sleep(JOB_PAUSE);
        }
    }

    fn any(&self, random: &mut ChaCha8Rng) -> SocketAddr {
        self.addresses[random.random_range(0..self.addresses.len())]
    }

    fn submit(&self, address: SocketAddr, job: &str, body: &[u8]) -> bool {
        let key = self.key.lock().clone();
        let headers = [("Parsleybeam-Request-Id", job)];
        let bytes = caller::request("POST", "/jobs/a", &headers, &key, body);
        caller::exchange(address, &bytes, PATIENCE).status == 202
    }
}

/// Reads a job's results at a VM: how many there are, of how many.
pub fn read(
    address: SocketAddr,
    job: &str,
    key: &str,
    ledger: &Mutex<Ledger>,
) -> Option<(usize, usize)> {
    let path = format!("/-/lots/{job}?after=0");
    let answer = caller::exchange(address, &caller::request("GET", &path, &[], key, b""), PATIENCE);
    if answer.status == 404 {
        ledger.lock().violations.push(format!("{job}: an accepted job is unknown"));
    }
    if answer.status != 200 || !answer.complete {
        return None;
    }
    let page = answer.json();
    let text = |value: &serde_json::Value| value.as_str().unwrap_or_default().to_owned();
    let listed = page["results"].as_array().cloned().unwrap_or_default();
    let results: Vec<(String, String)> =
        listed.iter().map(|one| (text(&one["id"]), text(&one["output"]))).collect();
    let (total, count) = (page["total"].as_u64().unwrap_or(0) as usize, results.len());
    ledger.lock().listed(job, results);
    Some((total, count))
}
