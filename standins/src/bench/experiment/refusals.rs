//! Requests refused although they are within their organisation's rate, and
//! grants beyond it, on the product's holders of shares in virtual time.

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

/// Part of its rate that an organisation sends on average.
const LOAD: f64 = 0.8;
/// Seconds of its rate that an organisation may send at once.
const BURST_SECONDS: f64 = 2.0;
/// Part of the requests that come to a VM that callers were steered to.
const STEERED: f64 = 0.9;
/// Requests that come together, at most.
const TOGETHER: u32 = 4;
/// Lenders that are asked for one request, as in the product.
const MAX_LENDERS: u32 = 2;
/// Part of the requests within the rate that may be refused, from the promise.
const REFUSED_PART: f64 = 0.001;
/// Time between confirmations of the table.
const CONFIRM_PERIOD: Duration = Duration::from_secs(1);

pub(super) fn run(setup: &Setup) -> Outcome {
    let shares = World::new(setup, Split::Homes).run();
    let equal = World::new(setup, Split::Equal).run();
    let name = "fixed equal split";
    let figures = vec![
        Figure::new("refused within the rate", shares.refused_part(), "part")
            .against(name, equal.refused_part())
            .target(Target::AtMost(REFUSED_PART)),
        Figure::new("worst organisation, refused within the rate", shares.worst(), "part")
            .against(name, equal.worst())
            .target(Target::AtMostBaseline),
        Figure::new("grants beyond rate and burst", shares.beyond as f64, "requests")
            .against(name, equal.beyond as f64)
            .target(Target::AtMost(0.0)),
        Figure::new("granted to the flooding organisation", shares.flood_part(), "of its rate")
            .against(name, equal.flood_part()),
        Figure::new("grants that were borrowed", shares.borrowed_part(), "part"),
    ];
    Outcome { figures, ..Outcome::default() }
}

#[derive(Clone, Copy, PartialEq)]
enum Split {
    /// Slices at the home VMs, and borrowing.
    Homes,
    /// The same slice at every VM, and nothing moves.
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
    beyond: u64,
    flood_allowance: f64,
}

impl Tally {
    fn refused_part(&self) -> f64 {
        let (granted, refused) = self.counts[1..]
            .iter()
            .fold((0, 0), |sum, one| (sum.0 + one.granted, sum.1 + one.refused));
        part(refused, granted)
    }

    fn worst(&self) -> f64 {
        self.counts[1..].iter().map(|one| part(one.refused, one.granted)).fold(0.0, f64::max)
    }

    fn flood_part(&self) -> f64 {
        self.counts[0].granted as f64 / self.flood_allowance
    }

    fn borrowed_part(&self) -> f64 {
        let granted: u64 = self.counts.iter().map(|one| one.granted).sum();
        self.borrowed as f64 / granted.max(1) as f64
    }
}

fn part(refused: u64, granted: u64) -> f64 {
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
    asked: Time,
    tries: u32,
}

struct World {
    random: ChaCha8Rng,
    split: Split,
    one_way: Duration,
    end: Time,
    names: Vec<Organisation>,
    rates: Vec<f64>,
    vms: Vec<Vm>,
    holders: Vec<Holder>,
    homes: Vec<Vec<usize>>,
    within: Vec<Conformance>,
    granted: Vec<Conformance>,
    timeline: Timeline<Event>,
    tally: Tally,
}

impl World {
    fn new(setup: &Setup, split: Split) -> Self {
        let site = &setup.site;
        let names = site.organisations();
        let specs: Vec<_> = site.rates.iter().map(|rate| organisation(*rate)).collect();
        let organisations: BTreeMap<_, _> =
            names.iter().cloned().zip(specs.iter().cloned()).collect();
        let view = View { organisations, ..site.view(1) };
        let table = table(&view, split);
        let vms: Vec<Vm> = table.holders.keys().cloned().collect();
        let wholes = || specs.iter().map(|spec| Conformance::new(quota(spec))).collect();
        let homes = names.iter().map(|name| homes(&table, &vms, name)).collect();
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(setup.seed),
            split,
            one_way: Duration::from_micros(site.between_us),
            end: Time::from_millis(setup.seconds * 1_000),
            rates: site.rates.to_vec(),
            holders: vms.iter().map(|vm| Holder::new(vm.clone(), 1)).collect(),
            homes,
            within: wholes(),
            granted: wholes(),
            timeline: Timeline::default(),
            tally: Tally { counts: vec![Count::default(); names.len()], ..Tally::default() },
            names,
            vms,
        };
        let table = Arc::new(table);
        world.holders.iter_mut().for_each(|holder| {
            holder.adopt(table.clone(), Time(1));
        });
        let whole_run = setup.seconds as f64 + BURST_SECONDS;
        world.tally.flood_allowance = site.rates[0] * whole_run;
        world.timeline.add(Time(1), Event::Confirm);
        (0..world.names.len()).for_each(|number| world.plan(number, Time(1)));
        world
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

    fn plan(&mut self, organisation: usize, now: Time) {
        let flood = if organisation == 0 { 4.0 } else { 1.0 };
        let groups = self.rates[organisation] * LOAD * flood / f64::from(TOGETHER + 1) * 2.0;
        let wait = -self.random.random_range(f64::EPSILON..1.0).ln() / groups;
        let at = now.after(Duration::from_secs_f64(wait));
        if at < self.end {
            self.timeline.add(at, Event::Arrive(organisation));
        }
    }

    fn arrive(&mut self, organisation: usize, now: Time) {
        for _ in 0..self.random.random_range(1..=TOGETHER) {
            // The flooding organisation sends whatever its rate is.
            if organisation == 0 || self.within[organisation].clone().grant(now) {
                self.within[organisation].grant(now);
                let vm = self.steer(organisation);
                self.take(organisation, vm, 0, now);
            }
        }
        self.plan(organisation, now);
    }

    fn steer(&mut self, organisation: usize) -> usize {
        let homes = &self.homes[organisation];
        if self.random.random_bool(STEERED) {
            return homes[self.random.random_range(0..homes.len())];
        }
        self.random.random_range(0..self.vms.len())
    }

    fn take(&mut self, organisation: usize, vm: usize, tries: u32, now: Time) {
        let name = self.names[organisation].clone();
        if self.holders[vm].take(&name, now).is_ok() {
            return self.grant(organisation, tries > 0, now);
        }
        let lender = match self.split {
            Split::Homes if tries < MAX_LENDERS => self.holders[vm].lender(&name, now),
            _ => None,
        };
        let Some(lender) = lender.and_then(|name| self.vms.iter().position(|vm| *vm == name))
        else {
            self.tally.counts[organisation].refused += 1;
            return;
        };
        let loan = Loan { organisation, borrower: vm, lender, asked: now, tries: tries + 1 };
        self.timeline.add(now.after(self.one_way), Event::Ask(loan));
    }

    fn lend(&mut self, loan: Loan, now: Time) {
        let name = self.names[loan.organisation].clone();
        let (count, next) = self.holders[loan.lender].lend(&name, TOKEN, now);
        self.timeline.add(now.after(self.one_way), Event::Lent { loan, count, next });
    }

    fn receive(&mut self, loan: &Loan, count: u64, next: Time, now: Time) {
        let name = self.names[loan.organisation].clone();
        let holder = &mut self.holders[loan.borrower];
        if count > 0 {
            holder.receive(&name, count, loan.asked, now);
        } else {
            holder.mark_empty(&name, self.vms[loan.lender].clone(), Some(next), now);
        }
        self.take(loan.organisation, loan.borrower, loan.tries, now);
    }

    fn grant(&mut self, organisation: usize, borrowed: bool, now: Time) {
        self.tally.counts[organisation].granted += 1;
        self.tally.borrowed += u64::from(borrowed);
        if !self.granted[organisation].grant(now) {
            self.tally.beyond += 1;
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

/// Places of the VMs that hold a slice of an organisation.
fn homes(table: &Table, vms: &[Vm], name: &Organisation) -> Vec<usize> {
    let holds = |vm: &Vm| table.holders.get(vm).is_some_and(|one| one.slices.contains_key(name));
    (0..vms.len()).filter(|place| holds(&vms[*place])).collect()
}
