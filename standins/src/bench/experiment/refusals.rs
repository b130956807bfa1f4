//! Requests refused within their organisation's rate, and grants beyond it, with the production
//! code for shared rates on a virtual clock.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parsleybeam::admission::share::{Allocation, Holder, TOKEN, Table, allocate, quota};
use parsleybeam::clock::Time;
use parsleybeam::config::resource;
use parsleybeam::id::{Organisation, Vm};
use parsleybeam::simulate::{Conformance, Timeline};
use parsleybeam::view::View;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::bench::{Figure, Outcome, Setup, Target};

/// Average load of an organisation, as a fraction of its rate.
const LOAD: f64 = 0.8;
/// Burst size, in seconds of the organisation's rate.
const BURST_SECONDS: f64 = 2.0;
/// Fraction of requests sent to a home VM of the organisation, as steered callers do.
const STEERED_SHARE: f64 = 0.9;
/// Maximum number of requests that arrive at the same time.
const MAX_GROUP_SIZE: u32 = 4;
/// Maximum number of lenders asked for one request, as in production.
const MAX_LENDERS: u32 = 2;
/// Guaranteed upper bound on the fraction of requests refused within the rate.
const MAX_REFUSED_FRACTION: f64 = 0.001;
/// Interval between confirmations of the allocation table.
const CONFIRM_PERIOD: Duration = Duration::from_secs(1);

pub(super) fn run(setup: &Setup) -> Outcome {
    let shares = Simulation::new(setup, Split::Homes).run();
    let equal = Simulation::new(setup, Split::Equal).run();
    let name = "fixed equal split";
    let figures = vec![
        Figure::new("refused within the rate", shares.refused_fraction(), "part")
            .against(name, equal.refused_fraction())
            .target(Target::AtMost(MAX_REFUSED_FRACTION)),
        Figure::new(
            "worst organisation, refused within the rate",
            shares.max_refused_fraction(),
            "part",
        )
        .against(name, equal.max_refused_fraction())
        .target(Target::AtMostBaseline),
        Figure::new("grants beyond rate and burst", shares.excess_grants as f64, "requests")
            .against(name, equal.excess_grants as f64)
            .target(Target::AtMost(0.0)),
        Figure::new("granted to the flooding organisation", shares.flood_fraction(), "of its rate")
            .against(name, equal.flood_fraction()),
        Figure::new("grants that were borrowed", shares.borrowed_fraction(), "part"),
    ];
    Outcome { figures, ..Outcome::default() }
}

#[derive(Clone, Copy, PartialEq)]
enum Split {
    /// Slices at the home VMs, with borrowing between them.
    Homes,
    /// The same slice at every VM, without borrowing.
    Equal,
}

#[derive(Clone, Debug, Default)]
struct Count {
    granted: u64,
    refused: u64,
}

#[derive(Default)]
struct Tally {
    counts: Vec<Count>,
    borrowed: u64,
    excess_grants: u64,
    flood_allowance: f64,
}

impl Tally {
    fn refused_fraction(&self) -> f64 {
        let (granted, refused) = self.counts[1..]
            .iter()
            .fold((0, 0), |sum, count| (sum.0 + count.granted, sum.1 + count.refused));
        fraction(refused, granted)
    }

    fn max_refused_fraction(&self) -> f64 {
        self.counts[1..]
            .iter()
            .map(|count| fraction(count.refused, count.granted))
            .fold(0.0, f64::max)
    }

    fn flood_fraction(&self) -> f64 {
        self.counts[0].granted as f64 / self.flood_allowance
    }

    fn borrowed_fraction(&self) -> f64 {
        let granted: u64 = self.counts.iter().map(|count| count.granted).sum();
        self.borrowed as f64 / granted.max(1) as f64
    }
}

fn fraction(refused: u64, granted: u64) -> f64 {
    refused as f64 / (refused + granted).max(1) as f64
}

enum Event {
    Arrive(usize),
    Confirm,
    Ask(Loan),
    Lent { loan: Loan, count: u64, next: Time },
}

#[derive(Clone)]
struct Loan {
    organisation: usize,
    borrower: usize,
    lender: usize,
    requested_at: Time,
    lenders_tried: u32,
}

struct Simulation {
    random: ChaCha8Rng,
    split: Split,
    latency: Duration,
    end: Time,
    names: Vec<Organisation>,
    rates: Vec<f64>,
    vms: Vec<Vm>,
    holders: Vec<Holder>,
    homes: Vec<Vec<usize>>,
    offered: Vec<Conformance>,
    granted: Vec<Conformance>,
    timeline: Timeline<Event>,
    tally: Tally,
}

impl Simulation {
    fn new(setup: &Setup, split: Split) -> Self {
        let site = &setup.site;
        let names = site.organisations();
        let specs: Vec<_> = site.rates.iter().map(|rate| organisation(*rate)).collect();
        let organisations: BTreeMap<_, _> =
            names.iter().cloned().zip(specs.iter().cloned()).collect();
        let view = View { organisations, ..site.view(1) };
        let table = table(&view, split);
        let vms: Vec<Vm> = table.holders.keys().cloned().collect();
        let buckets = || specs.iter().map(|spec| Conformance::new(quota(spec))).collect();
        let homes = names.iter().map(|name| homes(&table, &vms, name)).collect();
        let mut simulation = Self {
            random: ChaCha8Rng::seed_from_u64(setup.seed),
            split,
            latency: Duration::from_micros(site.data_centre_latency_us),
            end: Time::from_millis(setup.seconds * 1_000),
            rates: site.rates.to_vec(),
            holders: vms.iter().map(|vm| Holder::new(vm.clone(), 1)).collect(),
            homes,
            offered: buckets(),
            granted: buckets(),
            timeline: Timeline::default(),
            tally: Tally { counts: vec![Count::default(); names.len()], ..Tally::default() },
            names,
            vms,
        };
        let table = Arc::new(table);
        simulation.holders.iter_mut().for_each(|holder| {
            holder.adopt(table.clone(), Time(1));
        });
        let allowed_seconds = setup.seconds as f64 + BURST_SECONDS;
        simulation.tally.flood_allowance = site.rates[0] * allowed_seconds;
        simulation.timeline.add(Time(1), Event::Confirm);
        (0..simulation.names.len()).for_each(|number| simulation.schedule_arrival(number, Time(1)));
        simulation
    }

    fn run(mut self) -> Tally {
        while let Some((now, event)) = self.timeline.pop() {
            match event {
                Event::Confirm => self.confirm(now),
                Event::Arrive(organisation) => self.arrive(organisation, now),
                Event::Ask(loan) => self.lend(loan, now),
                Event::Lent { loan, count, next } => self.receive(&loan, count, next, now),
            }
        }
        self.tally
    }

    fn confirm(&mut self, now: Time) {
        for holder in &mut self.holders {
            let step = holder.table().step();
            holder.confirm(step, now, now);
        }
        if now < self.end {
            self.timeline.add(now.after(CONFIRM_PERIOD), Event::Confirm);
        }
    }

    fn schedule_arrival(&mut self, organisation: usize, now: Time) {
        let flood_factor = if organisation == 0 { 4.0 } else { 1.0 };
        let groups_per_s =
            self.rates[organisation] * LOAD * flood_factor / f64::from(MAX_GROUP_SIZE + 1) * 2.0;
        let wait = -self.random.random_range(f64::EPSILON..1.0).ln() / groups_per_s;
        let at = now.after(Duration::from_secs_f64(wait));
        if at < self.end {
            self.timeline.add(at, Event::Arrive(organisation));
        }
    }

    fn arrive(&mut self, organisation: usize, now: Time) {
        for _ in 0..self.random.random_range(1..=MAX_GROUP_SIZE) {
            // The flooding organisation ignores its rate.
            if organisation == 0 || self.offered[organisation].clone().grant(now) {
                self.offered[organisation].grant(now);
                let vm = self.choose_vm(organisation);
                self.acquire(organisation, vm, 0, now);
            }
        }
        self.schedule_arrival(organisation, now);
    }

    fn choose_vm(&mut self, organisation: usize) -> usize {
        let homes = &self.homes[organisation];
        if self.random.random_bool(STEERED_SHARE) {
            return homes[self.random.random_range(0..homes.len())];
        }
        self.random.random_range(0..self.vms.len())
    }

    fn acquire(&mut self, organisation: usize, vm: usize, lenders_tried: u32, now: Time) {
        let name = self.names[organisation].clone();
        if self.holders[vm].take(&name, now).is_ok() {
            return self.record_grant(organisation, lenders_tried > 0, now);
        }
        let lender = match self.split {
            Split::Homes if lenders_tried < MAX_LENDERS => self.holders[vm].lender(&name, now),
            _ => None,
        };
        let Some(lender) = lender.and_then(|name| self.vms.iter().position(|vm| *vm == name))
        else {
            self.tally.counts[organisation].refused += 1;
            return;
        };
        let loan = Loan {
            organisation,
            borrower: vm,
            lender,
            requested_at: now,
            lenders_tried: lenders_tried + 1,
        };
        self.timeline.add(now.after(self.latency), Event::Ask(loan));
    }

    fn lend(&mut self, loan: Loan, now: Time) {
        let name = self.names[loan.organisation].clone();
        let (count, next) = self.holders[loan.lender].lend(&name, TOKEN, now);
        self.timeline.add(now.after(self.latency), Event::Lent { loan, count, next });
    }

    fn receive(&mut self, loan: &Loan, count: u64, next: Time, now: Time) {
        let name = self.names[loan.organisation].clone();
        let holder = &mut self.holders[loan.borrower];
        if count > 0 {
            holder.receive(&name, count, loan.requested_at, now);
        } else {
            holder.mark_empty(&name, self.vms[loan.lender].clone(), Some(next), now);
        }
        self.acquire(loan.organisation, loan.borrower, loan.lenders_tried, now);
    }

    fn record_grant(&mut self, organisation: usize, borrowed: bool, now: Time) {
        self.tally.counts[organisation].granted += 1;
        self.tally.borrowed += u64::from(borrowed);
        if !self.granted[organisation].grant(now) {
            self.tally.excess_grants += 1;
        }
    }
}

fn organisation(rate: f64) -> resource::Organisation {
    let burst = (rate * BURST_SECONDS).ceil() as u32;
    resource::Organisation { rate, burst, weight: 1 }
}

fn table(view: &View, split: Split) -> Table {
    let mut holders = allocate(view);
    if split == Split::Equal {
        let parts = holders.len() as u64;
        for Allocation { slices, .. } in holders.values_mut() {
            *slices = view
                .organisations
                .iter()
                .map(|(name, spec)| {
                    let mut slice = quota(spec);
                    slice.rate /= parts;
                    slice.burst /= parts;
                    (name.clone(), slice)
                })
                .collect();
        }
    }
    Table { epoch: 1, settled: true, holders, ..Table::default() }
}

/// Returns the indices of the VMs that hold a slice of an organisation's rate.
fn homes(table: &Table, vms: &[Vm], name: &Organisation) -> Vec<usize> {
    let holds = |vm: &Vm| {
        table.holders.get(vm).is_some_and(|allocation| allocation.slices.contains_key(name))
    };
    (0..vms.len()).filter(|index| holds(&vms[*index])).collect()
}
