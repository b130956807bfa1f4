//! A soak test that runs the real programs under injected faults.
//!
//! Entry VMs run as processes; the store and the replicas are stand-ins in this
//! process, behind proxies that disturb connections. Faults are generated from a
//! seed and overlap. Callers keep their connections open until the process at the
//! other end has exited. Guarantees are checked against what callers and replicas
//! observe, during the run and at its end, when every VM must serve again.
//!
//! Not covered: clock steps (processes may not set the clock here), full disks
//! (the programs store nothing on disk), lost datagrams between VMs, multiple data
//! centres, rate limits, storage VMs.

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

/// Number of callers that send requests.
const CALLERS: usize = 6;
/// Time limit of a graceful shutdown of a VM.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after the last fault within which every VM serves and all jobs are finished.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(25);
/// Interval between two checks for recovery after the last fault.
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the faults.
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Number of entry VMs.
    pub vms: usize,
    /// Number of replicas.
    pub replicas: usize,
    /// Path of the program of an entry VM.
    pub program: PathBuf,
    /// Folder for settings and logs; it isn't deleted.
    pub folder: PathBuf,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of injected faults.
    pub faults: usize,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests with a complete successful response.
    pub served: u64,
    /// Number of accepted jobs.
    pub jobs: usize,
    /// Guarantees that were violated, as messages.
    pub violations: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { faults, requests, served, jobs, violations } = self;
        writeln!(out, "{faults} faults, {requests} requests, {served} served, {jobs} jobs")?;
        violations.iter().try_for_each(|violation| writeln!(out, "broken: {violation}"))
    }
}

/// Runs the soak test.
pub fn run(options: &Options) -> std::io::Result<Report> {
    let ledger = Arc::<Mutex<Ledger>>::default();
    let mut site = Site::start(options, ledger.clone())?;
    let stop = Arc::<AtomicBool>::default();
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let caller = callers::Caller::new(number as u64, &site, ledger.clone());
        let stop = stop.clone();
        callers.push(thread::spawn(move || caller.run(&stop)));
    }
    let submitter = callers::Submitter::new(&site, ledger.clone());
    let stop_submitter = stop.clone();
    let submitter_thread = thread::spawn(move || submitter.run(&stop_submitter));
    let steps = plan::generate(options.seed, options.duration, options.vms, options.replicas);
    let started = Instant::now();
    for step in &steps {
        site.run_until(started + step.at);
        site.inject(step);
    }
    site.run_until(started + options.duration);
    site.clear_faults();
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    // Waits for the end of graceful shutdowns that have started.
    site.run_until(Instant::now() + STOP_TIMEOUT);
    while !site.serves_everywhere() {
        if Instant::now() >= deadline {
            ledger.lock().violations.push("not all VMs serve after the last fault".to_owned());
            break;
        }
        site.run_until(Instant::now() + RECOVERY_POLL_INTERVAL);
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().expect("a caller thread doesn't panic");
    }
    submitter_thread.join().expect("the submitter thread doesn't panic");
    site.check_jobs(deadline);
    let mut ledger = ledger.lock();
    ledger.check_executions(&site.executed_requests());
    Ok(Report {
        faults: steps.len(),
        requests: ledger.sent.len(),
        served: ledger.served,
        jobs: ledger.jobs.len(),
        violations: ledger.violations.clone(),
    })
}
