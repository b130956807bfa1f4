//! Callers that send requests over persistent connections, and one that submits jobs.

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

/// Routes that callers choose from.
const ROUTES: [&str; 3] = ["again", "once", "resumable"];
/// Timeout of a request; longer than the timeout of any route.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(payload::TIMEOUT_MS + 3_000);
/// Pause between two requests of one caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// Pause after a VM has refused a connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two jobs, and between two attempts to submit one.
const JOB_PAUSE: Duration = Duration::from_millis(400);
/// Maximum attempts to submit a job before it is given up.
const MAX_SUBMISSIONS: usize = 10;

/// A caller that sends single requests.
pub struct Caller {
    number: u64,
    addresses: Vec<SocketAddr>,
    key: Arc<Mutex<String>>,
    ledger: Arc<Mutex<Ledger>>,
}

impl Caller {
    /// Creates a caller that uses all VMs of a site.
    pub fn new(number: u64, site: &Site, ledger: Arc<Mutex<Ledger>>) -> Self {
        Self { number, addresses: site.callers.clone(), key: site.key.clone(), ledger }
    }

    /// Sends requests until `stop` is set.
    pub fn run(self, stop: &AtomicBool) {
        let mut random = ChaCha8Rng::seed_from_u64(self.number);
        let mut open: HashMap<SocketAddr, Connection> = HashMap::new();
        let mut key = self.key.lock().clone();
        for count in 0.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            // Keeps using an old key for a while after it is replaced.
            if random.random_bool(0.2) {
                key = self.key.lock().clone();
            }
            let address = self.addresses[random.random_range(0..self.addresses.len())];
            let route = ROUTES[random.random_range(0..ROUTES.len())];
            let connection = open.remove(&address);
            let connection =
                connection.map_or_else(|| Connection::open(address, REQUEST_TIMEOUT), Ok);
            let Ok(mut connection) = connection else {
                thread::sleep(RECONNECT_PAUSE);
                continue;
            };
            let id = format!("r-{}-{count}", self.number);
            if self.send(&mut connection, &id, route, &key) {
                open.insert(address, connection);
            }
            thread::sleep(REQUEST_PAUSE);
        }
    }

    /// Sends one request; returns whether its connection may be reused.
    fn send(&self, connection: &mut Connection, id: &str, route: &'static str, key: &str) -> bool {
        self.ledger.lock().record_request(id, route, key);
        let headers = [("Parsleybeam-Request-Id", id)];
        let path = format!("/{route}/{id}");
        let bytes = caller::request("POST", &path, &headers, key, b"body");
        let (response, outcome) = connection.exchange(&bytes);
        self.ledger.lock().check_response(id, &response);
        outcome.is_ok() && response.header("connection") != Some("close")
    }
}

/// A caller that submits jobs and reads their results at any VM.
pub struct Submitter {
    addresses: Vec<SocketAddr>,
    key: Arc<Mutex<String>>,
    ledger: Arc<Mutex<Ledger>>,
}

impl Submitter {
    /// Creates a submitter that uses all VMs of a site.
    pub fn new(site: &Site, ledger: Arc<Mutex<Ledger>>) -> Self {
        Self { addresses: site.callers.clone(), key: site.key.clone(), ledger }
    }

    /// Submits jobs until `stop` is set.
    pub fn run(self, stop: &AtomicBool) {
        let mut random = ChaCha8Rng::seed_from_u64(u64::MAX);
        let mut count = 0;
        while !stop.load(Ordering::SeqCst) {
            count += 1;
            let (job, items) = (format!("job-{count}"), random.random_range(1..6));
            let name = format!("item-{count}");
            let body = payload::job(items, &name);
            let names = (0..items).map(|index| format!("{name}-{index}"));
            self.ledger.lock().items.extend(names);
            for _ in 0..MAX_SUBMISSIONS {
                if self.submit(self.random_address(&mut random), &job, &body) {
                    self.ledger.lock().jobs.entry(job.clone()).or_default();
                    break;
                }
                thread::sleep(JOB_PAUSE);
            }
            let accepted: Vec<String> = self.ledger.lock().jobs.keys().cloned().collect();
            if let Some(job) = accepted.get(random.random_range(0..accepted.len().max(1))) {
                let key = self.key.lock().clone();
                read_job(self.random_address(&mut random), job, &key, &self.ledger);
            }
            thread::sleep(JOB_PAUSE);
        }
    }

    fn random_address(&self, random: &mut ChaCha8Rng) -> SocketAddr {
        self.addresses[random.random_range(0..self.addresses.len())]
    }

    fn submit(&self, address: SocketAddr, job: &str, body: &[u8]) -> bool {
        let key = self.key.lock().clone();
        let headers = [("Parsleybeam-Request-Id", job)];
        let bytes = caller::request("POST", "/jobs/a", &headers, &key, body);
        caller::exchange(address, &bytes, REQUEST_TIMEOUT).status == 202
    }
}

/// Reads and checks a job's results at a VM; returns the job's items and the results so far.
pub fn read_job(
    address: SocketAddr,
    job: &str,
    key: &str,
    ledger: &Mutex<Ledger>,
) -> Option<(usize, usize)> {
    let path = format!("/-/lots/{job}?after=0");
    let response =
        caller::exchange(address, &caller::request("GET", &path, &[], key, b""), REQUEST_TIMEOUT);
    if response.status == 404 {
        ledger.lock().violations.push(format!("{job}: an accepted job is unknown"));
    }
    if response.status != 200 || !response.complete {
        return None;
    }
    let page = response.json();
    let text = |value: &serde_json::Value| value.as_str().unwrap_or_default().to_owned();
    let page_results = page["results"].as_array().cloned().unwrap_or_default();
    let results: Vec<(String, String)> =
        page_results.iter().map(|result| (text(&result["id"]), text(&result["output"]))).collect();
    let (total, count) = (page["total"].as_u64().unwrap_or(0) as usize, results.len());
    ledger.lock().check_page(job, results);
    Some((total, count))
}
