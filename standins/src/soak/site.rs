//! The installation that the soak harms.

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
/// How often the site looks what is due.
const LOOK: Duration = Duration::from_millis(10);
/// Longest wait of a question whether a VM serves.
const PATIENCE: Duration = Duration::from_secs(2);

/// An entry VM.
struct Vm {
    process: Process,
    way: Proxy,
    /// Its process isn't started again before this time.
    down_until: Option<Instant>,
    /// Its process stands still until this time.
    paused_until: Option<Instant>,
}

impl Vm {
    fn signal(&mut self, signal: Signal) {
        // An earlier fault may have ended it.
        let _ = self.process.signal(signal);
    }
}

/// What must be undone, and when.
type Repair = (Instant, Fault);

/// The installation.
pub struct Site {
    /// Where callers connect, one address for each VM.
    pub callers: Vec<SocketAddr>,
    /// The key in force.
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
    /// Starts everything and waits until all VMs serve.
    pub fn start(options: &Options, ledger: Arc<Mutex<Ledger>>) -> io::Result<Self> {
        let (store, keys) = store::start(any_port())?;
        let mut replicas = Vec::new();
        for _ in 0..options.replicas {
            let replica = replica::start(EVENT_PAUSE)?;
            let way = Proxy::start(replica.address)?;
            replicas.push((replica, way));
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
        let until = Instant::now() + super::SETTLE;
        while !site.serves_everywhere() {
            if Instant::now() > until {
                return Err(io::Error::other("the VMs don't begin to serve"));
            }
            thread::sleep(LOOK);
        }
        Ok(site)
    }

    fn add_vm(&mut self, number: usize, options: &Options) -> io::Result<()> {
        let way = Proxy::start(self.store.address)?;
        let ports = free_ports(5)?;
        let settings = json!({
            "vm": format!("vm-{number}"), "data_centre": "porto",
            "caller": ports[0].to_string(), "readiness": ports[1].to_string(),
            "addresses": ports[2].to_string(), "peer": ports[3].to_string(),
            "relay": ports[4].to_string(), "key_value": way.address.to_string(),
            "weight": 1.0,
            "bounds": {
                "configuration_ms": 2_000, "withdrawal_ms": 3_000, "leaving_upstream_ms": 2_000,
                "stop_s": super::STOP.as_secs_f64(), "addresses_lifetime_s": 5.0, "rate_window_s": 5.0,
                "rate_overrun": 0.1, "rate_slack": 20.0, "results_s": 120.0,
            },
        });
        let path = options.folder.join(format!("vm-{number}.json"));
        std::fs::write(&path, settings.to_string())?;
        let log = options.folder.join(format!("vm-{number}.log"));
        let mut process = Process::new(options.program.clone(), [path], log);
        process.start()?;
        self.callers.push(ports[0]);
        self.vms.push(Vm { process, way, down_until: None, paused_until: None });
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

    /// Lets a fault strike.
    pub fn strike(&mut self, step: &Step) {
        let end = Instant::now() + step.span;
        match &step.fault {
            Fault::Kill(vm) => self.kill(*vm, end),
            Fault::KillAll => (0..self.vms.len()).for_each(|vm| self.kill(vm, end)),
            Fault::Stop(vm) => self.vms[*vm].signal(Signal::SIGTERM),
            Fault::Reload(vm) => self.vms[*vm].signal(Signal::SIGHUP),
            Fault::Pause(vm) => {
                self.vms[*vm].signal(Signal::SIGSTOP);
                self.vms[*vm].paused_until = Some(end);
            }
            Fault::StoreAway => self.change(Change { outage: Some(true), ..Change::default() }),
            Fault::StoreSlow => {
                self.change(Change { delay_ms: Some(SLOW_STORE_MS), ..Change::default() });
            }
            Fault::StoreMute(calls) => {
                self.change(Change { lose_replies: Some(*calls), ..Change::default() });
            }
            Fault::StoreWay(vm, mode) => harm(&self.vms[*vm].way, *mode),
            Fault::ReplicaWay(replica, mode) => harm(&self.replicas[*replica].1, *mode),
            Fault::ReplicaReset(replica) => self.replicas[*replica].1.reset(),
            Fault::Answers(replica, behaviour) => {
                self.replicas[*replica].0.enqueue(&[*behaviour; 3])
            }
            Fault::Drain(replica) => self.register(*replica, "draining"),
            Fault::NewKey => self.replace_key(),
        }
        self.repairs.push((end, step.fault.clone()));
    }

    fn kill(&mut self, vm: usize, end: Instant) {
        let vm = &mut self.vms[vm];
        vm.process.kill();
        vm.down_until = Some(end);
        vm.paused_until = None;
    }

    fn change(&self, change: Change) {
        self.store.set_faults(change);
    }

    fn replace_key(&mut self) {
        self.version += 1;
        let name = format!("key-{}", self.version);
        self.configure(&[&name]);
        let before = std::mem::replace(&mut *self.key.lock(), name);
        self.ledger.lock().withdrawn.insert(before, Instant::now());
    }

    /// Repairs what is due and starts what has ended, until a time.
    pub fn run_until(&mut self, until: Instant) {
        loop {
            let now = Instant::now();
            self.tend(now);
            if now >= until {
                return;
            }
            thread::sleep(LOOK.min(until - now));
        }
    }

    fn tend(&mut self, now: Instant) {
        let repairs = std::mem::take(&mut self.repairs);
        let (due, left) = repairs.into_iter().partition(|(at, _)| *at <= now);
        self.repairs = left;
        let due: Vec<Repair> = due;
        due.into_iter().for_each(|(_, fault)| self.repair(&fault));
        for vm in &mut self.vms {
            if vm.paused_until.is_some_and(|until| until <= now) {
                vm.signal(Signal::SIGCONT);
                vm.paused_until = None;
            }
            if vm.down_until.is_some_and(|until| until > now) {
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
            Fault::StoreAway => self.change(Change { outage: Some(false), ..Change::default() }),
            Fault::StoreSlow => self.change(Change { delay_ms: Some(0), ..Change::default() }),
            Fault::StoreWay(vm, _) => self.vms[*vm].way.set(Mode::Pass),
            Fault::ReplicaWay(replica, _) => self.replicas[*replica].1.set(Mode::Pass),
            Fault::Drain(replica) => self.register(*replica, "ready"),
            _ => {}
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        let repairs = std::mem::take(&mut self.repairs);
        repairs.iter().for_each(|(_, fault)| self.repair(fault));
        for vm in &mut self.vms {
            vm.down_until = None;
            vm.paused_until = Some(Instant::now());
        }
        self.tend(Instant::now());
    }

    /// Whether every VM serves a request now.
    pub fn serves_everywhere(&self) -> bool {
        let key = self.key.lock().clone();
        self.callers.iter().enumerate().all(|(number, address)| {
            let id = format!("look-{number}-{}", self.ledger.lock().sent.len());
            self.ledger.lock().send(&id, "again", &key);
            let headers = [("Parsleybeam-Request-Id", id.as_str())];
            let bytes = caller::request("POST", "/again/look", &headers, &key, b"");
            let answer = caller::exchange(*address, &bytes, PATIENCE);
            self.ledger.lock().answered(&id, &answer);
            answer.status == 200 && answer.complete
        })
    }

    /// Reads all accepted jobs until they are whole, at the latest until a time.
    pub fn check_jobs(&mut self, until: Instant) {
        let accepted: Vec<String> = self.ledger.lock().jobs.keys().cloned().collect();
        for job in accepted {
            let total = loop {
                let key = self.key.lock().clone();
                let page = super::callers::read(self.callers[0], &job, &key, &self.ledger);
                match page {
                    Some((total, count)) if total == count || Instant::now() > until => {
                        break total;
                    }
                    None if Instant::now() > until => break usize::MAX,
                    _ => self.run_until(Instant::now() + super::SETTLE_POLL),
                }
            };
            self.ledger.lock().finished(&job, total);
        }
    }

    /// Runs that replicas saw.
    pub fn seen(&self) -> Vec<Request> {
        let all = self.replicas.iter().flat_map(|(replica, _)| replica.requests());
        all.filter(|seen| seen.executed).collect()
    }
}

/// Sets what happens on a way; connections that exist are harmed too.
fn harm(way: &Proxy, mode: Mode) {
    way.set(mode);
    if mode == Mode::Refuse {
        way.reset();
    }
}

/// Ports that nothing uses now.
fn free_ports(count: usize) -> io::Result<Vec<SocketAddr>> {
    let bind = |_| TcpListener::bind(("127.0.0.1", 0));
    let held = (0..count).map(bind).collect::<io::Result<Vec<_>>>()?;
    held.iter().map(TcpListener::local_addr).collect()
}
