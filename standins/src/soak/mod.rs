//! A soak of the real programs under faults from outside.
//!
//! Entry VMs run as processes; the store and the replicas are stand-ins in
//! this process, behind proxies that harm connections. Faults are drawn from a
//! seed and overlap. Callers keep their connections open until the process at
//! the other end is gone. Promises are checked from what callers and replicas
//! see, while it runs and at its end, when all must serve again.
//!
//! Not tried: steps of clocks (no process may set them here), full disks (the
//! programs keep none), losses of datagrams between VMs, several data centres,
//! rates, storage VMs.

mod callers;
mod ledger;
mod plan;
mod proxy;
mod site;

use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use self::ledger::Ledger;
use self::site::Site;

/// Callers of requests.
const CALLERS: usize = 6;
/// Time that a VM is given for a planned stop.
const STOP: Duration = Duration::from_secs(4);
/// Time after the last fault by which everything serves and all jobs are done.
const SETTLE: Duration = Duration::from_secs(25);
/// How often the end looks whether all is well again.
const SETTLE_POLL: Duration = Duration::from_millis(200);

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the faults.
    pub seed: u64,
    /// How long faults strike.
    pub duration: Duration,
    /// Entry VMs.
    pub vms: usize,
    /// Replicas.
    pub replicas: usize,
    /// The program of an entry VM.
    pub program: PathBuf,
    /// Folder for settings and logs; kept.
    pub folder: PathBuf,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Faults that struck.
    pub faults: usize,
    /// Requests sent.
    pub requests: usize,
    /// Requests answered well.
    pub served: u64,
    /// Jobs accepted.
    pub jobs: usize,
    /// Guarantees that were violated.
    pub violations: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { faults, requests, served, jobs, violations } = self;
        writeln!(out, "{faults} faults, {requests} requests, {served} served, {jobs} jobs")?;
        violations.iter().try_for_each(|one| writeln!(out, "broken: {one}"))
    }
}

/// Runs the soak.
pub fn run(options: &Options) -> std::io::Result<Report> {
    let ledger = Arc::<Mutex<Ledger>>::default();
    let mut site = Site::start(options, ledger.clone())?;
    let ending = Arc::<AtomicBool>::default();
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let caller = callers::Caller::new(number as u64, &site, ledger.clone());
        let ending = ending.clone();
        callers.push(thread::spawn(move || caller.run(&ending)));
    }
    let submitter = callers::Submitter::new(&site, ledger.clone());
    let submitting = ending.clone();
    let jobs = thread::spawn(move || submitter.run(&submitting));
    let steps = plan::draw(options.seed, options.duration, options.vms, options.replicas);
    let begun = Instant::now();
    for step in &steps {
        site.run_until(begun + step.at);
        site.strike(step);
    }
    site.run_until(begun + options.duration);
    site.heal();
    let until = Instant::now() + SETTLE;
    // Planned stops that have begun must end first.
    site.run_until(Instant::now() + STOP);
    while !site.serves_everywhere() {
        if Instant::now() >= until {
            ledger.lock().violations.push("not all VMs serve after the last fault".to_owned());
            break;
        }
        site.run_until(Instant::now() + SETTLE_POLL);
    }
    ending.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().expect("a caller ends well");
    }
    jobs.join().expect("the submitter ends well");
    site.check_jobs(until);
    let mut ledger = ledger.lock();
    ledger.compare(&site.seen());
    Ok(Report {
        faults: steps.len(),
        requests: ledger.sent.len(),
        served: ledger.served,
        jobs: ledger.jobs.len(),
        violations: ledger.violations.clone(),
    })
}
