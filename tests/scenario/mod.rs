//! Commands of the scenario files, run on the holders of rate shares.
//!
//! `start` creates a fleet and its share table, or restarts one VM; `call`
//! takes tokens; `freeze` and `cut` isolate a VM until `thaw` and `join`;
//! `kill` stops a VM; `outage` makes the platform unreachable or reachable
//! again; `advance` lets time pass, with an exchange of reports every 500 ms;
//! `expect table` prints the state of the table.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use datadriven::{DataDrivenError, TestCase};
use parsleybeam::admission::share::{
    Denial, Holder, Publisher, Table, allocate, next_table, quota,
};
use parsleybeam::clock::Time;
use parsleybeam::config::resource;
use parsleybeam::id::{DataCentre, Organisation, Vm};
use parsleybeam::simulate::Conformance;
use parsleybeam::view::{Member, Role, State, View};

/// Interval between exchanges of the table and of reports.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

type Output = Result<String, DataDrivenError>;

/// The fleet of one scenario.
#[derive(Default)]
pub struct Scenario {
    now: Time,
    view: View,
    table: Arc<Table>,
    publisher: Publisher,
    holders: BTreeMap<Vm, Holder>,
    paused: BTreeSet<Vm>,
    partitioned: BTreeSet<Vm>,
    outage: bool,
    conformance: Option<Conformance>,
}

fn organisation() -> Organisation {
    Organisation::from("limpa")
}

impl Scenario {
    /// Runs one command and returns its output.
    pub fn run_command(&mut self, mut case: TestCase) -> Output {
        let command = case.directive.clone();
        let output = match command.as_str() {
            "start" => self.start(&mut case)?,
            "call" => self.call(&mut case)?,
            "freeze" => self.change_vm(&mut case, |scenario, vm| scenario.paused.insert(vm))?,
            "thaw" => self.change_vm(&mut case, |scenario, vm| scenario.paused.remove(&vm))?,
            "cut" => self.change_vm(&mut case, |scenario, vm| scenario.partitioned.insert(vm))?,
            "join" => self.change_vm(&mut case, |scenario, vm| scenario.partitioned.remove(&vm))?,
            "kill" => self.change_vm(&mut case, Self::kill)?,
            "outage" => {
                self.outage = case.take_flag("on")?;
                case.take_flag("off")?;
                "ok".into()
            }
            "advance" => {
                self.advance(Duration::from_millis(case.take_arg("ms")?));
                "ok".into()
            }
            "expect" => self.describe_table(&mut case)?,
            other => format!("unknown command: {other}"),
        };
        case.expect_empty()?;
        Ok(output + "\n")
    }

    fn start(&mut self, case: &mut TestCase) -> Output {
        if let Some(name) = case.try_take_arg::<String>("vm")? {
            self.restart(Vm::from(name));
            return Ok("ok".into());
        }
        self.now = Time::from_millis(1_000);
        let spec = resource::Organisation {
            rate: case.take_arg("rate")?,
            burst: case.take_arg("burst")?,
            weight: 1,
        };
        self.conformance = Some(Conformance::new(quota(&spec)));
        self.view.organisations.insert(organisation(), spec);
        for index in 0..case.take_arg::<usize>("vms")? {
            let member = member(index);
            self.holders.insert(member.vm.clone(), Holder::new(member.vm.clone(), 1));
            self.view.members.insert(member.vm.clone(), member);
        }
        self.advance(Duration::from_secs(10));
        Ok("ok".into())
    }

    fn restart(&mut self, vm: Vm) {
        let member = self.view.members.get_mut(&vm).expect("the VM is a member");
        member.incarnation += 1;
        self.holders.insert(vm.clone(), Holder::new(vm, member.incarnation));
    }

    fn kill(&mut self, vm: Vm) -> bool {
        self.holders.remove(&vm).is_some()
    }

    fn change_vm<F>(&mut self, case: &mut TestCase, change: F) -> Output
    where
        F: FnOnce(&mut Self, Vm) -> bool,
    {
        let vm = Vm::from(case.take_arg::<String>("vm")?);
        let changed = change(self, vm);
        Ok(if changed { "ok" } else { "it is so already" }.into())
    }

    /// Takes tokens at one VM, or at all VMs in turn, and counts the results.
    fn call(&mut self, case: &mut TestCase) -> Output {
        let count: usize = case.take_arg("take")?;
        let at = case.try_take_arg::<String>("at")?.map(Vm::from);
        let vms: Vec<Vm> = match at {
            Some(vm) => vec![vm],
            None => self.holders.keys().cloned().collect(),
        };
        let (mut granted, mut refused, mut unconfirmed) = (0, 0, 0);
        for vm in vms.iter().cycle().take(count) {
            match self.take(vm) {
                Ok(()) => granted += 1,
                Err(Denial::Until(_)) => refused += 1,
                Err(Denial::Unconfirmed) => unconfirmed += 1,
            }
        }
        Ok(format!("granted {granted}, refused {refused}, unconfirmed {unconfirmed}"))
    }

    fn take(&mut self, vm: &Vm) -> Result<(), Denial> {
        let holder = self.holders.get_mut(vm).expect("the VM is running");
        holder.take(&organisation(), self.now)?;
        let fits = self.conformance.as_mut().expect("the fleet has been started").grant(self.now);
        assert!(fits, "grants exceed rate and burst");
        Ok(())
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = Time(self.now.after(ROUND_INTERVAL).0.min(end.0));
            self.publish();
            self.read_table();
            self.exchange_reports();
        }
    }

    /// Publishes the table that the view requires, and settles it once that is
    /// safe.
    fn publish(&mut self) {
        if self.outage {
            return;
        }
        let mut table = (*self.table).clone();
        self.publisher.observe_table(&table);
        for (vm, holder) in &mut self.holders {
            if !self.paused.contains(vm) && !self.partitioned.contains(vm) {
                self.publisher.observe_report(&table, vm, &holder.report(self.now), self.now);
            }
        }
        if table.settled || table.epoch == 0 {
            if let Some(next) = next_table(&table, allocate(&self.view)) {
                self.table = Arc::new(next);
            }
        } else if self.publisher.may_settle(&table, self.now) {
            table.settled = true;
            self.table = Arc::new(table);
        }
    }

    /// Lets every connected VM read the table from the platform.
    fn read_table(&mut self) {
        if self.outage {
            return;
        }
        for (vm, holder) in &mut self.holders {
            if !self.paused.contains(vm) && !self.partitioned.contains(vm) {
                holder.adopt(self.table.clone(), self.now);
                holder.confirm(self.table.step(), self.now, self.now);
            }
        }
    }

    /// Exchanges reports between all connected VMs.
    fn exchange_reports(&mut self) {
        let is_connected = |vm: &Vm| !self.paused.contains(vm) && !self.partitioned.contains(vm);
        let now = self.now;
        let reports: Vec<_> = self
            .holders
            .iter_mut()
            .filter(|(vm, _)| is_connected(vm))
            .map(|(vm, holder)| (vm.clone(), holder.report(now)))
            .collect();
        for (vm, holder) in self.holders.iter_mut().filter(|(vm, _)| is_connected(vm)) {
            for (peer, report) in reports.iter().filter(|(peer, _)| peer != vm) {
                holder.observe_report(peer, report, now, now);
            }
        }
    }

    fn describe_table(&mut self, case: &mut TestCase) -> Output {
        case.take_flag("table")?;
        let phase = if self.table.settled { "settled" } else { "pending" };
        let total = self.table.total(&organisation());
        let limit = quota(&self.view.organisations[&organisation()]);
        let sum = if total == limit { "whole" } else { "less" };
        Ok(format!("{phase}, {sum}"))
    }
}

fn member(index: usize) -> Member {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], index as u16 + 1));
    Member {
        vm: Vm::from(format!("entry-{index}")),
        incarnation: 1,
        role: Role::Entry,
        data_centre: DataCentre::from(["porto", "braga", "viana"][index % 3]),
        peer: address,
        caller: Some(address),
        state: State::Live,
    }
}
