//! The words of the scenario language on the holders of shares.
//!
//! `start` makes a fleet and its table; `call` takes tokens; `freeze`, `thaw`
//! and `cut` keep a VM from hearing anything; `outage` takes the platform
//! away; `advance` lets time pass, with a round of questions every second.

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

/// Time between rounds of questions.
const ROUND: Duration = Duration::from_millis(500);

type Word = Result<String, DataDrivenError>;

/// One scenario's fleet.
#[derive(Default)]
pub struct Scenario {
    now: Time,
    view: View,
    table: Arc<Table>,
    publisher: Publisher,
    holders: BTreeMap<Vm, Holder>,
    frozen: BTreeSet<Vm>,
    cut: BTreeSet<Vm>,
    outage: bool,
    granted: Option<Conformance>,
}

fn organisation() -> Organisation {
    Organisation::from("limpa")
}

impl Scenario {
    /// Performs one word.
    pub fn run_command(&mut self, mut case: TestCase) -> Word {
        let word = case.directive.clone();
        let output = match word.as_str() {
            "start" => self.start(&mut case)?,
            "call" => self.call(&mut case)?,
            "freeze" => self.mark(&mut case, |scenario, vm| scenario.frozen.insert(vm))?,
            "thaw" => self.mark(&mut case, |scenario, vm| scenario.frozen.remove(&vm))?,
            "cut" => self.mark(&mut case, |scenario, vm| scenario.cut.insert(vm))?,
            "join" => self.mark(&mut case, |scenario, vm| scenario.cut.remove(&vm))?,
            "kill" => self.mark(&mut case, Self::kill)?,
            "outage" => {
                self.outage = case.take_flag("on")?;
                case.take_flag("off")?;
                "ok".into()
            }
            "advance" => {
                self.advance(Duration::from_millis(case.take_arg("ms")?));
                "ok".into()
            }
            "expect" => self.expect(&mut case)?,
            other => format!("no such word: {other}"),
        };
        case.expect_empty()?;
        Ok(output + "\n")
    }

    fn start(&mut self, case: &mut TestCase) -> Word {
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
        self.granted = Some(Conformance::new(quota(&spec)));
        self.view.organisations.insert(organisation(), spec);
        for number in 0..case.take_arg::<usize>("vms")? {
            let member = member(number);
            self.holders.insert(member.vm.clone(), Holder::new(member.vm.clone(), 1));
            self.view.members.insert(member.vm.clone(), member);
        }
        self.advance(Duration::from_secs(10));
        Ok("ok".into())
    }

    fn restart(&mut self, vm: Vm) {
        let member = self.view.members.get_mut(&vm).expect("a VM that was there");
        member.incarnation += 1;
        self.holders.insert(vm.clone(), Holder::new(vm, member.incarnation));
    }

    fn kill(&mut self, vm: Vm) -> bool {
        self.holders.remove(&vm).is_some()
    }

    fn mark<F>(&mut self, case: &mut TestCase, change: F) -> Word
    where
        F: FnOnce(&mut Self, Vm) -> bool,
    {
        let vm = Vm::from(case.take_arg::<String>("vm")?);
        let changed = change(self, vm);
        Ok(if changed { "ok" } else { "it is so already" }.into())
    }

    /// Takes tokens at one VM, or at each in turn, and tells how that went.
    fn call(&mut self, case: &mut TestCase) -> Word {
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
        let holder = self.holders.get_mut(vm).expect("a VM that runs");
        holder.take(&organisation(), self.now)?;
        let fits = self.granted.as_mut().expect("a fleet").grant(self.now);
        assert!(fits, "more than rate and burst were granted");
        Ok(())
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = Time(self.now.after(ROUND).0.min(end.0));
            self.publish();
            self.confirm();
            self.hear();
        }
    }

    /// Publishes what the view wants, and settles it once that is safe.
    fn publish(&mut self) {
        if self.outage {
            return;
        }
        let mut table = (*self.table).clone();
        self.publisher.observe_table(&table);
        for (vm, holder) in &mut self.holders {
            if !self.frozen.contains(vm) && !self.cut.contains(vm) {
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

    /// Every VM that can reads the table from the platform.
    fn confirm(&mut self) {
        if self.outage {
            return;
        }
        for (vm, holder) in &mut self.holders {
            if !self.frozen.contains(vm) && !self.cut.contains(vm) {
                holder.adopt(self.table.clone(), self.now);
                holder.confirm(self.table.step(), self.now, self.now);
            }
        }
    }

    /// Every VM that can hears the others.
    fn hear(&mut self) {
        let talks = |vm: &Vm| !self.frozen.contains(vm) && !self.cut.contains(vm);
        let now = self.now;
        let reports: Vec<_> = self
            .holders
            .iter_mut()
            .filter(|(vm, _)| talks(vm))
            .map(|(vm, holder)| (vm.clone(), holder.report(now)))
            .collect();
        for (vm, holder) in self.holders.iter_mut().filter(|(vm, _)| talks(vm)) {
            for (peer, report) in reports.iter().filter(|(peer, _)| peer != vm) {
                holder.observe_report(peer, report, now, now);
            }
        }
    }

    fn expect(&mut self, case: &mut TestCase) -> Word {
        case.take_flag("table")?;
        let step = if self.table.settled { "settled" } else { "pending" };
        let total = self.table.total(&organisation());
        let whole = quota(&self.view.organisations[&organisation()]);
        let sum = if total == whole { "whole" } else { "less" };
        Ok(format!("{step}, {sum}"))
    }
}

fn member(number: usize) -> Member {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], number as u16 + 1));
    Member {
        vm: Vm::from(format!("entry-{number}")),
        incarnation: 1,
        role: Role::Entry,
        data_centre: DataCentre::from(["porto", "braga", "viana"][number % 3]),
        peer: address,
        caller: Some(address),
        state: State::Live,
    }
}
