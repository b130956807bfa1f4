//! The installation under test, and the injection of faults into it.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::json;

use super::Options;
use super::ledger::Ledger;
use super::plan::{Fault, Step};
use super::proxy::{Mode, Proxy};
use crate::Handle;
use crate::faults::Change;
use crate::platform::replica::{self, Replica, Request};
use crate::platform::store::{self, Shared};
use crate::platform::{caller, payload};
use crate::process::{Process, Signal};
use crate::server::any_port;

/// Pause between two events of a replica.
const EVENT_PAUSE: Duration = Duration::from_millis(15);
/// Delay of a slow store, in milliseconds.
const SLOW_STORE_MS: u64 = 250;
/// Interval between two checks for due work.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of the request that checks whether a VM serves.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// An entry VM.
struct Vm {
    process: Process,
    proxy: Proxy,
    /// Time before which its process isn't restarted.
    down_until: Option<Instant>,
    /// Time at which its suspended process is resumed.
    paused_until: Option<Instant>,
}

impl Vm {
    fn signal(&mut self, signal: Signal) {
        // An earlier fault may have killed the process.
        let _ = self.process.signal(signal);
    }
}

/// A fault to undo, and the time at which to do so.
type Repair = (Instant, Fault);

/// An installation with its store, replicas and entry VMs.
pub struct Site {
    /// Addresses for callers, one for each VM.
    pub callers: Vec<SocketAddr>,
    /// Current API key of the tenant.
    pub key: Arc<Mutex<String>>,
    store: Handle,
    keys: Shared,
    vms: Vec<Vm>,
    replicas: Vec<(Replica, Proxy)>,
    ledger: Arc<Mutex<Ledger>>,
    repairs: Vec<Repair>,
    version: u64,
}

impl Site {
    /// Starts the installation and waits until all VMs serve.
    pub fn start(options: &Options, ledger: Arc<Mutex<Ledger>>) -> io::Result<Self> {
        let (store, keys) = store::start(any_port())?;
        let mut replicas = Vec::new();
        for _ in 0..options.replicas {
            let replica = replica::start(EVENT_PAUSE)?;
            let proxy = Proxy::start(replica.address)?;
            replicas.push((replica, proxy));
        }
        let mut site = Self {
            callers: Vec::new(),
            key: Arc::new(Mutex::new("key-1".to_owned())),
            store,
            keys,
            vms: Vec::new(),
            replicas,
            ledger,
            repairs: Vec::new(),
            version: 1,
        };
        site.configure(&["key-1"]);
        for replica in 0..options.replicas {
            site.register(replica, "ready");
        }
        for number in 0..options.vms {
            site.add_vm(number, options)?;
        }
        let deadline = Instant::now() + super::RECOVERY_TIMEOUT;
        while !site.serves_everywhere() {
            if Instant::now() > deadline {
                return Err(io::Error::other("the VMs don't begin to serve"));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(site)
    }

    fn add_vm(&mut self, number: usize, options: &Options) -> io::Result<()> {
        let proxy = Proxy::start(self.store.address)?;
        let ports = free_ports(5)?;
        let settings = json!({
            "vm": format!("vm-{number}"), "data_centre": "porto",
            "caller": ports[0].to_string(), "readiness": ports[1].to_string(),
            "addresses": ports[2].to_string(), "peer": ports[3].to_string(),
            "relay": ports[4].to_string(), "key_value": proxy.address.to_string(),
            "weight": 1.0,
            "bounds": {
                "configuration_ms": 2_000, "withdrawal_ms": 3_000, "leaving_upstream_ms": 2_000,
                "contact_ms": 3_000,
                "stop_s": super::STOP_TIMEOUT.as_secs_f64(), "addresses_lifetime_s": 5.0, "rate_window_s": 5.0,
                "rate_overrun": 0.1, "rate_slack": 20.0, "results_s": 120.0,
            },
        });
        let path = options.folder.join(format!("vm-{number}.json"));
        std::fs::write(&path, settings.to_string())?;
        let log = options.folder.join(format!("vm-{number}.log"));
        let mut process = Process::new(options.program.clone(), [path], log);
        process.start()?;
        self.callers.push(ports[0]);
        self.vms.push(Vm { process, proxy, down_until: None, paused_until: None });
        Ok(())
    }

    fn configure(&self, names: &[&str]) {
        let configuration = payload::configuration(self.version, names, 0.0, 0.0);
        self.keys.lock().put("op/config", configuration.to_string().as_bytes());
    }

    fn register(&self, replica: usize, state: &str) {
        let entry = payload::registration(self.replicas[replica].1.address, state);
        let key = format!("servers/i-{replica}");
        self.keys.lock().put(&key, entry.to_string().as_bytes());
    }

    /// Injects a fault and schedules its repair.
    pub fn inject(&mut self, step: &Step) {
        let end = Instant::now() + step.duration;
        match &step.fault {
            Fault::Kill(vm) => self.kill(*vm, end),
            Fault::KillAll => (0..self.vms.len()).for_each(|vm| self.kill(vm, end)),
            Fault::Stop(vm) => self.vms[*vm].signal(Signal::SIGTERM),
            Fault::Reload(vm) => self.vms[*vm].signal(Signal::SIGHUP),
            Fault::Pause(vm) => {
                self.vms[*vm].signal(Signal::SIGSTOP);
                self.vms[*vm].paused_until = Some(end);
            }
            Fault::StoreOutage => {
                self.set_store_faults(Change { outage: Some(true), ..Change::default() })
            }
            Fault::StoreSlow => {
                self.set_store_faults(Change {
                    delay_ms: Some(SLOW_STORE_MS),
                    ..Change::default()
                });
            }
            Fault::StoreLostReplies(calls) => {
                self.set_store_faults(Change { lose_replies: Some(*calls), ..Change::default() });
            }
            Fault::StoreLink(vm, mode) => set_mode(&self.vms[*vm].proxy, *mode),
            Fault::ReplicaLink(replica, mode) => set_mode(&self.replicas[*replica].1, *mode),
            Fault::ReplicaReset(replica) => self.replicas[*replica].1.reset(),
            Fault::Respond(replica, behaviour) => {
                self.replicas[*replica].0.enqueue(&[*behaviour; 3])
            }
            Fault::Drain(replica) => self.register(*replica, "draining"),
            Fault::RotateKey => self.rotate_key(),
        }
        self.repairs.push((end, step.fault.clone()));
    }

    fn kill(&mut self, vm: usize, end: Instant) {
        let vm = &mut self.vms[vm];
        vm.process.kill();
        vm.down_until = Some(end);
        vm.paused_until = None;
    }

    fn set_store_faults(&self, change: Change) {
        self.store.set_faults(change);
    }

    fn rotate_key(&mut self) {
        self.version += 1;
        let name = format!("key-{}", self.version);
        self.configure(&[&name]);
        let previous = std::mem::replace(&mut *self.key.lock(), name);
        self.ledger.lock().withdrawn.insert(previous, Instant::now());
    }

    /// Undoes faults that are due and restarts exited processes, until `deadline`.
    pub fn run_until(&mut self, deadline: Instant) {
        loop {
            let now = Instant::now();
            self.advance(now);
            if now >= deadline {
                return;
            }
            thread::sleep(POLL_INTERVAL.min(deadline - now));
        }
    }

    fn advance(&mut self, now: Instant) {
        let repairs = std::mem::take(&mut self.repairs);
        let (due, left) = repairs.into_iter().partition(|(at, _)| *at <= now);
        self.repairs = left;
        let due: Vec<Repair> = due;
        due.into_iter().for_each(|(_, fault)| self.repair(&fault));
        for vm in &mut self.vms {
            if vm.paused_until.is_some_and(|deadline| deadline <= now) {
                vm.signal(Signal::SIGCONT);
                vm.paused_until = None;
            }
            if vm.down_until.is_some_and(|deadline| deadline > now) {
                continue;
            }
            vm.down_until = None;
            if let Err(error) = vm.process.start() {
                self.ledger.lock().violations.push(format!("a VM can't be started: {error}"));
            }
        }
    }

    fn repair(&self, fault: &Fault) {
        match fault {
            Fault::StoreOutage => {
                self.set_store_faults(Change { outage: Some(false), ..Change::default() })
            }
            Fault::StoreSlow => {
                self.set_store_faults(Change { delay_ms: Some(0), ..Change::default() })
            }
            Fault::StoreLink(vm, _) => self.vms[*vm].proxy.set(Mode::Pass),
            Fault::ReplicaLink(replica, _) => self.replicas[*replica].1.set(Mode::Pass),
            Fault::Drain(replica) => self.register(*replica, "ready"),
            _ => {}
        }
    }

    /// Undoes all faults at once.
    pub fn clear_faults(&mut self) {
        let repairs = std::mem::take(&mut self.repairs);
        repairs.iter().for_each(|(_, fault)| self.repair(fault));
        for vm in &mut self.vms {
            vm.down_until = None;
            vm.paused_until = Some(Instant::now());
        }
        self.advance(Instant::now());
    }

    /// Returns whether every VM serves a request.
    pub fn serves_everywhere(&self) -> bool {
        let key = self.key.lock().clone();
        self.callers.iter().enumerate().all(|(number, address)| {
            let id = format!("look-{number}-{}", self.ledger.lock().sent.len());
            self.ledger.lock().record_request(&id, "again", &key);
            let headers = [("Parsleybeam-Request-Id", id.as_str())];
            let bytes = caller::request("POST", "/again/look", &headers, &key, b"");
            let response = caller::exchange(*address, &bytes, REQUEST_TIMEOUT);
            self.ledger.lock().check_response(&id, &response);
            response.status == 200 && response.complete
        })
    }

    /// Reads the results of all accepted jobs at every VM until they are complete there, or until
    /// `deadline`.
    pub fn check_jobs(&mut self, deadline: Instant) {
        let accepted: Vec<String> = self.ledger.lock().jobs.keys().cloned().collect();
        for job in accepted {
            for vm in self.callers.clone() {
                let total = self.read_to_end(vm, &job, deadline);
                self.ledger.lock().check_finished(&job, total);
            }
        }
    }

    /// Reads a job at a VM until all its results are there; the number of its items.
    fn read_to_end(&mut self, vm: SocketAddr, job: &str, deadline: Instant) -> usize {
        loop {
            let key = self.key.lock().clone();
            match super::callers::read_job(vm, job, &key, &self.ledger) {
                Some((total, count)) if total == count => return total,
                // Results are missing here, whatever another VM has shown.
                _ if Instant::now() > deadline => return usize::MAX,
                _ => self.run_until(Instant::now() + super::RECOVERY_POLL_INTERVAL),
            }
        }
    }

    /// Returns the requests that replicas executed.
    pub fn executed_requests(&self) -> Vec<Request> {
        let all = self.replicas.iter().flat_map(|(replica, _)| replica.requests());
        all.filter(|request| request.executed).collect()
    }
}

/// Sets a proxy's mode; `Refuse` also closes its open connections.
fn set_mode(proxy: &Proxy, mode: Mode) {
    proxy.set(mode);
    if mode == Mode::Refuse {
        proxy.reset();
    }
}

/// Returns loopback addresses whose ports are currently free.
fn free_ports(count: usize) -> io::Result<Vec<SocketAddr>> {
    let bind = |_| TcpListener::bind(("127.0.0.1", 0));
    let listeners = (0..count).map(bind).collect::<io::Result<Vec<_>>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
