//! Distributed rate limiting over simulated VMs: the limit holds when VMs are
//! lost, cut off, suspended or restarted, and requests within the rate are
//! seldom refused.

use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::id::{Organisation, Vm};
use parsleybeam::serve::configuration::Tenant;
use parsleybeam::serve::member::{Listed, Member, owner};
use parsleybeam::serve::rate::{Bucket, Grant, Limiter, Predecessor, Tolerance};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TOLERANCE: Tolerance = Tolerance { window_s: 5.0, overrun: 0.1, slack: 20.0 };
const POLL: Duration = Duration::from_millis(900);
const STEP: Duration = Duration::from_millis(10);

fn tenant(rate_per_s: f64, burst: f64) -> Tenant {
    let organisation = Organisation::from("large");
    Tenant { organisation, keys: Vec::new(), rate_per_s, burst }
}

fn member(index: usize, incarnation: u64) -> Member {
    let address = "127.0.0.1:1".parse().expect("the address is valid");
    Member {
        vm: Vm::from(format!("vm-{index}")),
        incarnation,
        data_centre: "porto".into(),
        caller: address,
        peer: address,
        relay: address,
        tunnel: None,
        weight: 1.0,
        leaving: false,
    }
}

struct Process {
    limiter: Limiter,
    list: Vec<Listed>,
    next_poll: Time,
    /// The VM can't reach the store before this time.
    store_unreachable_until: Time,
    /// The process doesn't run before this time.
    down_until: Time,
    predecessor: Predecessor,
    starting: bool,
}

struct Simulation {
    now: Time,
    random: ChaCha8Rng,
    tenant: Tenant,
    members: Vec<Listed>,
    version: u64,
    processes: Vec<Process>,
    granted: Vec<Time>,
    refused: u64,
}

impl Simulation {
    fn new(seed: u64, count: usize, tenant: Tenant) -> Self {
        let now = Time(1_000_000);
        let process = |index: usize| Process {
            limiter: Limiter::new(Vm::from(format!("vm-{index}")), TOLERANCE),
            list: Vec::new(),
            next_poll: now,
            store_unreachable_until: now,
            down_until: now,
            predecessor: Predecessor::None,
            starting: true,
        };
        Self {
            now,
            random: ChaCha8Rng::seed_from_u64(seed),
            tenant,
            members: Vec::new(),
            version: 1,
            processes: (0..count).map(process).collect(),
            granted: Vec::new(),
            refused: 0,
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        for index in 0..self.processes.len() {
            let process = &self.processes[index];
            if process.down_until.passed(self.now) && process.next_poll.passed(self.now) {
                self.poll(index);
            }
        }
    }

    fn poll(&mut self, index: usize) {
        let now = self.now;
        self.processes[index].next_poll = now.after(POLL);
        if !self.processes[index].store_unreachable_until.passed(now) {
            return;
        }
        let vm = Vm::from(format!("vm-{index}"));
        let listed = self.members.iter().any(|listed| listed.member.vm == vm);
        let process = &mut self.processes[index];
        if process.starting {
            process.starting = false;
            process.predecessor = if listed { Predecessor::Crashed } else { Predecessor::None };
        }
        if !listed {
            self.version += 1;
            let member = member(index, self.version);
            self.members.push(Listed { member, version: self.version });
        }
        process.list = self.members.clone();
        let tenants = [self.tenant.clone()];
        process.limiter.update(&self.members, &tenants, process.predecessor, now, now);
    }

    /// Sends one request to a VM; ignored while its process is down.
    fn request(&mut self, index: usize) {
        let now = self.now;
        if !self.processes[index].down_until.passed(now) {
            return;
        }
        let tenant = self.tenant.clone();
        let process = &mut self.processes[index];
        if process.limiter.take_local(&tenant, now) == Grant::Granted {
            return self.granted.push(now);
        }
        let holder = owner(&process.list, "large").map(|member| member.vm.clone());
        let holder = holder.and_then(|vm| vm.as_str().strip_prefix("vm-")?.parse::<usize>().ok());
        let answer = holder
            .filter(|holder| self.processes[*holder].down_until.passed(now))
            .map(|holder| self.processes[holder].limiter.grant(&tenant, now));
        let answer = match answer {
            Some(Grant::NotHolder) | None => {
                self.processes[index].limiter.take_reserve(&tenant, now)
            }
            Some(answer) => answer,
        };
        match answer {
            Grant::Granted => self.granted.push(now),
            Grant::Exceeded(_) | Grant::NotHolder => self.refused += 1,
        }
    }

    fn remove(&mut self, index: usize) {
        let vm = Vm::from(format!("vm-{index}"));
        self.members.retain(|listed| listed.member.vm != vm);
    }

    /// Maximum number of requests granted in any window of the tolerance.
    fn max_in_window(&self) -> usize {
        let window = Duration::from_secs_f64(TOLERANCE.window_s);
        let mut peak = 0;
        let mut first = 0;
        for (last, at) in self.granted.iter().enumerate() {
            while self.granted[first].after(window).passed(*at) {
                first += 1;
            }
            peak = peak.max(last + 1 - first);
        }
        peak
    }

    fn limit(&self) -> f64 {
        let within = self.tenant.rate_per_s * TOLERANCE.window_s + self.tenant.burst;
        within * (1.0 + TOLERANCE.overrun) + TOLERANCE.slack
    }
}

/// Plays overload with faults on `vms` VMs and checks the limit in every window.
fn check_overload_with_faults(seed: u64, vms: usize, tenant: Tenant) {
    let mut simulation = Simulation::new(seed, vms, tenant);
    for step in 0..6_000 {
        simulation.step();
        for _ in 0..3 {
            let index = simulation.random.random_range(0..vms);
            simulation.request(index);
        }
        if step % 150 == 0 {
            inject_fault(&mut simulation);
        }
    }
    let peak = simulation.max_in_window() as f64;
    let limit = simulation.limit();
    assert!(peak <= limit, "seed {seed}, {vms} VMs: {peak} granted in a window, limit {limit}");
}

#[test]
fn take_overload_with_faults() {
    for seed in 0..60 {
        check_overload_with_faults(seed, 7, tenant(35.0, 35.0));
    }
}

#[test]
fn take_overload_with_faults_large_fleet() {
    for seed in 0..20 {
        check_overload_with_faults(seed, 40, tenant(16.0, 16.0));
    }
}

/// Cuts one VM off from the store, also removes it from the list, suspends or restarts it.
fn inject_fault(simulation: &mut Simulation) {
    let index = simulation.random.random_range(0..simulation.processes.len());
    let span = Duration::from_millis(simulation.random.random_range(500..9_000));
    let until = simulation.now.after(span);
    match simulation.random.random_range(0..4) {
        0 => simulation.processes[index].store_unreachable_until = until,
        1 => {
            simulation.processes[index].store_unreachable_until = until;
            simulation.remove(index);
        }
        2 => simulation.processes[index].down_until = until,
        _ => {
            let process = &mut simulation.processes[index];
            process.limiter = Limiter::new(Vm::from(format!("vm-{index}")), TOLERANCE);
            process.starting = true;
            process.next_poll = simulation.now;
        }
    }
}

/// Share of refused requests among those that a single bucket for all VMs would
/// have granted. The load is 1 / 1.6 of the rate, which is usual for the users.
fn refused_share(
    mut simulation: Simulation,
    mut each_step: impl FnMut(&mut Simulation, usize),
) -> f64 {
    for _ in 0..1_000 {
        simulation.step();
    }
    let count = simulation.processes.len();
    let Tenant { rate_per_s, burst, .. } = simulation.tenant;
    let probability = rate_per_s / 1.6 * STEP.as_secs_f64();
    let mut ideal = Bucket::new(burst, simulation.now);
    let (mut within, mut refused) = (0, 0);
    for step in 0..4_000 {
        simulation.step();
        each_step(&mut simulation, step);
        if simulation.random.random_bool(probability) {
            let index = simulation.random.random_range(0..count);
            let before = simulation.refused;
            simulation.request(index);
            if ideal.take(rate_per_s, burst, simulation.now).is_ok() {
                within += 1;
                refused += simulation.refused - before;
            }
        }
    }
    refused as f64 / f64::from(within)
}

#[test]
fn take_within_rate() {
    for (rate, burst) in [(35.0, 35.0), (4.0, 4.0)] {
        let share = refused_share(Simulation::new(1, 7, tenant(rate, burst)), |_, _| {});
        assert!(share <= 0.001, "refused share of the requests within a rate of {rate}: {share}");
    }
}

#[test]
fn take_within_rate_holder_lost() {
    let share = refused_share(Simulation::new(2, 7, tenant(35.0, 35.0)), |simulation, step| {
        if step == 500 {
            let holder = owner(&simulation.members, "large").expect("the list has members");
            let index: usize = holder.vm.as_str()[3..].parse().expect("VM names end in a number");
            simulation.processes[index].down_until = Time::NEVER;
        }
        if step == 720 {
            let down = |process: &Process| process.down_until == Time::NEVER;
            let index = simulation.processes.iter().position(down).expect("the holder is down");
            simulation.remove(index);
        }
    });
    assert!(share <= 0.02, "refused share of the requests within the rate: {share}");
}

/// In a large fleet bursts are too small for local shares, so that an outage of the store
/// concerns all requests of all organisations.
#[test]
fn take_within_rate_outage_large_fleet() {
    let simulation = Simulation::new(3, 60, tenant(16.0, 16.0));
    let share = refused_share(simulation, |simulation, step| {
        if step == 500 {
            let until = simulation.now.after(Duration::from_millis(3_700));
            simulation
                .processes
                .iter_mut()
                .for_each(|process| process.store_unreachable_until = until);
        }
    });
    assert!(share <= 0.001, "refused share of the requests within the rate: {share}");
}

/// Another VM is replaced while the store is away: the holder stayed on the list and may
/// go on at once.
#[test]
fn grant_after_outage_with_other_members_changed() {
    let tenant = tenant(10.0, 10.0);
    let listed = |index, version| Listed { member: member(index, version), version };
    let before: Vec<Listed> = (0..30).map(|index| listed(index, 1)).collect();
    let holder = owner(&before, "large").expect("the list has members").clone();
    let is_other = |entry: &&Listed| entry.member.vm != holder.vm;
    let replaced = before.iter().find(is_other).expect("there are others").member.vm.clone();
    let mut after = before.clone();
    after.iter_mut().filter(|entry| entry.member.vm == replaced).for_each(|entry| {
        entry.version = 2;
    });
    let mut limiter = Limiter::new(holder.vm, TOLERANCE);
    let tenants = std::slice::from_ref(&tenant);
    let now = Time(1_000_000);
    limiter.update(&before, tenants, Predecessor::Crashed, now, now);
    let back = now.after(Duration::from_millis(5_700));
    assert_eq!(limiter.grant(&tenant, back), Grant::NotHolder);
    limiter.update(&after, tenants, Predecessor::Crashed, back, back);
    assert_eq!(limiter.grant(&tenant, back.after(Duration::from_millis(10))), Grant::Granted);
    let late = back.after(Duration::from_millis(7_500));
    limiter.update(&before, tenants, Predecessor::Crashed, late, late);
    let soon = late.after(Duration::from_millis(10));
    assert_eq!(limiter.grant(&tenant, soon), Grant::NotHolder, "another may have held it");
}

#[test]
fn grant_stale_members() {
    let tenant = tenant(10.0, 10.0);
    let listed = Listed { member: member(0, 1), version: 2 };
    let mut limiter = Limiter::new(Vm::from("vm-0"), TOLERANCE);
    let now = Time(1_000_000);
    limiter.update(&[listed], std::slice::from_ref(&tenant), Predecessor::Crashed, now, now);
    let soon = now.after(Duration::from_secs(2));
    assert_eq!(limiter.grant(&tenant, soon), Grant::Granted);
    let late = now.after(Duration::from_secs(3));
    assert_eq!(limiter.grant(&tenant, late), Grant::NotHolder);
    let later = now.after(Duration::from_secs(5));
    assert_eq!(limiter.take_local(&tenant, later), Grant::NotHolder);
}

#[test]
fn grant_after_resign() {
    let tenant = tenant(10.0, 10.0);
    let listed = Listed { member: member(0, 1), version: 2 };
    let mut limiter = Limiter::new(Vm::from("vm-0"), TOLERANCE);
    let now = Time(1_000_000);
    limiter.update(&[listed], std::slice::from_ref(&tenant), Predecessor::Crashed, now, now);
    limiter.resign();
    assert_eq!(limiter.grant(&tenant, now.after(Duration::from_secs(1))), Grant::NotHolder);
}
