//! Refusals of requests that were within an organisation's rate, for
//! conserved shares and for two baselines, on the same requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Conformance, Timeline};
use crate::admission::rendezvous;
use crate::admission::share::{Allocation, Denial, Holder, Slice, Table, allocate, quota};
use crate::clock::Time;
use crate::config::resource;
use crate::id::{Organisation, Vm};
use crate::view::{Member, Role, State, View};

/// Entry VMs.
const VMS: u16 = 9;
/// Organisations: requests a second and burst; the first sends five times that.
const ORGANISATIONS: [(f64, u32); 8] =
    [(20.0, 20), (40.0, 40), (30.0, 30), (10.0, 10), (8.0, 10), (5.0, 5), (3.0, 5), (2.0, 5)];
/// What the first organisation sends, in parts of its rate.
const GREEDY: f64 = 5.0;
/// What the others send, in parts of their rates.
const ORDINARY: f64 = 0.8;
/// Share of requests that come to a home VM of their organisation.
const STEERED: f64 = 0.9;
/// One way between VMs.
const ONE_WAY: Duration = Duration::from_micros(500);
/// Span before requests count, in which buckets fill.
const WARM_UP: Duration = Duration::from_secs(10);
/// When one VM ends, after the start.
const CRASH: Duration = Duration::from_secs(60);
/// From the crash until a pending table without that VM is adopted.
const NOTICED: Duration = Duration::from_secs(3);
/// From the pending table until it settles.
const SETTLED: Duration = Duration::from_millis(5_400);
/// Bound on a call to a lender that has ended.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);

key! {
    /// How rates are held.
    pub enum Scheme {
        /// Home VMs with slices, and loans.
        Shares,
        /// Every VM has the same slice, nothing moves.
        Equal,
        /// One VM owns an organisation's whole rate, others ask it.
        Owner,
    }
}

/// What a scheme did.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Requests within rate, of organisations that keep to theirs.
    pub within: u64,
    /// Those of them that were refused.
    pub refused: u64,
    /// Part of its rate that the organisation sending five times it got.
    pub greedy: f64,
}

impl Outcome {
    /// Refusals within rate, in percent.
    pub fn percent(&self) -> f64 {
        100.0 * self.refused as f64 / self.within.max(1) as f64
    }
}

enum Event {
    Tick,
    Arrive(usize),
    Reply { index: usize, vm: Vm, lender: Vm, asked: Time, tries: u32, within: bool },
    Crash,
    Move { settled: bool },
}

struct World {
    scheme: Scheme,
    random: ChaCha8Rng,
    arrivals: ChaCha8Rng,
    now: Time,
    timeline: Timeline<Event>,
    view: View,
    table: Arc<Table>,
    nodes: BTreeMap<Vm, Holder>,
    offered: Vec<Conformance>,
    outcome: Outcome,
    greedy: u64,
}

/// Runs one scheme for `seconds`, with or without the end of a VM.
pub fn simulate(scheme: Scheme, seed: u64, seconds: u64, crash: bool) -> Outcome {
    let mut world = World::new(scheme, seed);
    let start = world.now.after(WARM_UP);
    let end = start.after(Duration::from_secs(seconds));
    if crash {
        world.timeline.add(start.after(CRASH), Event::Crash);
    }
    while let Some((now, event)) = world.timeline.pop() {
        if now >= end {
            break;
        }
        world.now = now;
        world.handle(event, now >= start);
    }
    let allowed = ORGANISATIONS[0].0 * seconds as f64;
    Outcome { greedy: world.greedy as f64 / allowed, ..world.outcome }
}

fn name(index: usize) -> Organisation {
    format!("organisation-{index}").into()
}

impl World {
    fn new(scheme: Scheme, seed: u64) -> Self {
        let now = Time::from_millis(1_000);
        let view = view();
        let table = Arc::new(table(scheme, &view, 1));
        let specs = (0..ORGANISATIONS.len()).map(|index| quota(&view.organisations[&name(index)]));
        let offered = specs.map(Conformance::new).collect();
        let mut world = Self {
            scheme,
            random: ChaCha8Rng::seed_from_u64(seed),
            // Apart from all other draws, so that every scheme meets the same.
            arrivals: ChaCha8Rng::seed_from_u64(!seed),
            now,
            timeline: Timeline::default(),
            nodes: view.members.keys().map(|vm| (vm.clone(), Holder::new(vm.clone(), 1))).collect(),
            view,
            table,
            offered,
            outcome: Outcome::default(),
            greedy: 0,
        };
        world.adopt();
        world.timeline.add(now, Event::Tick);
        (0..ORGANISATIONS.len()).for_each(|index| world.timeline.add(now, Event::Arrive(index)));
        world
    }

    fn adopt(&mut self) {
        for holder in self.nodes.values_mut() {
            holder.adopt(self.table.clone(), self.now);
            holder.confirm(self.table.step(), self.now, self.now);
        }
    }

    fn handle(&mut self, event: Event, counts: bool) {
        match event {
            Event::Tick => {
                self.adopt();
                self.timeline.add(self.now.after(Duration::from_secs(1)), Event::Tick);
            }
            Event::Arrive(index) => self.arrive(index, counts),
            Event::Reply { index, vm, lender, asked, tries, within } => {
                self.reply(index, vm, lender, asked, tries, within);
            }
            Event::Crash => {
                // A home of the largest organisation.
                let Some(vm) = self.table_homes(1).into_iter().next() else { return };
                self.nodes.remove(&vm);
                self.view.members.remove(&vm);
                if self.scheme != Scheme::Equal {
                    self.timeline.add(self.now.after(NOTICED), Event::Move { settled: false });
                }
            }
            Event::Move { settled } => {
                let epoch = 2;
                self.table = Arc::new(Table { settled, ..table(self.scheme, &self.view, epoch) });
                self.adopt();
                if !settled {
                    self.timeline.add(self.now.after(SETTLED), Event::Move { settled: true });
                }
            }
        }
    }

    fn arrive(&mut self, index: usize, counts: bool) {
        let (rate, _) = ORGANISATIONS[index];
        let load = if index == 0 { GREEDY } else { ORDINARY };
        let gap = -self.arrivals.random::<f64>().max(f64::MIN_POSITIVE).ln() / (rate * load);
        self.timeline.add(self.now.after(Duration::from_secs_f64(gap)), Event::Arrive(index));
        let within = self.offered[index].grant(self.now) && counts;
        if index > 0 && within {
            self.outcome.within += 1;
        }
        let vm = self.choose(index);
        self.take(index, vm, 0, within, counts);
    }

    fn choose(&mut self, index: usize) -> Vm {
        let homes: Vec<Vm> =
            self.table_homes(index).into_iter().filter(|vm| self.nodes.contains_key(vm)).collect();
        let steered = self.scheme != Scheme::Equal && self.random.random_bool(STEERED);
        let all: Vec<Vm> = self.nodes.keys().cloned().collect();
        let from = if steered && !homes.is_empty() { &homes } else { &all };
        from.choose(&mut self.random).cloned().unwrap_or_else(|| "none".into())
    }

    fn table_homes(&self, index: usize) -> Vec<Vm> {
        let holds = |holding: &Allocation| holding.slices.contains_key(&name(index));
        let homes = self.table.holders.iter().filter(|(_, holding)| holds(holding));
        homes.map(|(vm, _)| vm.clone()).collect()
    }

    fn take(&mut self, index: usize, vm: Vm, tries: u32, within: bool, counts: bool) {
        let now = self.now;
        let Some(holder) = self.nodes.get_mut(&vm) else { return };
        match holder.take(&name(index), now) {
            Ok(()) => {
                self.greedy += u64::from(index == 0 && counts);
                return;
            }
            Err(Denial::Until(_)) if self.scheme != Scheme::Equal && tries < 2 => {}
            Err(_) => return self.refuse(index, within),
        }
        let Some(lender) = holder.lender(&name(index), now) else {
            return self.refuse(index, within);
        };
        let alive = self.nodes.contains_key(&lender);
        let span = if alive { 2 * ONE_WAY } else { CALL_TIMEOUT };
        let reply = Event::Reply { index, vm, lender, asked: now, tries, within };
        self.timeline.add(now.after(span), reply);
    }

    fn reply(&mut self, index: usize, vm: Vm, lender: Vm, asked: Time, tries: u32, within: bool) {
        let now = self.now;
        // The lender decides half a round trip before; no event lies between
        // that matters to its order by more than the same span.
        let want = self.nodes.get(&vm).map_or(0, |holder| holder.missing(&name(index)));
        let lent = self.nodes.get_mut(&lender).map(|holder| holder.lend(&name(index), want, now));
        let Some(holder) = self.nodes.get_mut(&vm) else { return };
        match lent {
            Some((count, _)) if count > 0 || want == 0 => {
                holder.receive(&name(index), count, asked, now);
            }
            Some((_, next)) => holder.mark_empty(&name(index), lender, Some(next), now),
            None => holder.mark_empty(&name(index), lender, None, now),
        }
        self.take(index, vm, tries + 1, within, true);
    }

    fn refuse(&mut self, index: usize, within: bool) {
        self.outcome.refused += u64::from(index > 0 && within);
    }
}

fn view() -> View {
    let mut view = View::default();
    for index in 0..VMS {
        let member = Member {
            vm: format!("entry-{index}").into(),
            incarnation: 1,
            role: Role::Entry,
            data_centre: ["porto", "braga", "viana"][usize::from(index) % 3].into(),
            peer: ([127, 0, 0, 1], 7_000 + index).into(),
            caller: None,
            state: State::Live,
        };
        view.members.insert(member.vm.clone(), member);
    }
    for (index, (rate, burst)) in ORGANISATIONS.into_iter().enumerate() {
        let spec = resource::Organisation { rate, burst, weight: 1 };
        view.organisations.insert(name(index), spec);
    }
    view
}

fn table(scheme: Scheme, view: &View, epoch: u64) -> Table {
    let holders = match scheme {
        Scheme::Shares => allocate(view),
        Scheme::Equal => spread(view, |_| view.members.keys().cloned().collect()),
        Scheme::Owner => spread(view, |organisation| {
            rendezvous::order(organisation, view.members.keys().cloned())
                .into_iter()
                .take(1)
                .collect()
        }),
    };
    Table { epoch, settled: true, holders, previous: BTreeMap::new() }
}

fn spread<H>(view: &View, homes: H) -> BTreeMap<Vm, Allocation>
where
    H: Fn(&Organisation) -> Vec<Vm>,
{
    let mut holders: BTreeMap<Vm, Allocation> = BTreeMap::new();
    for (name, spec) in &view.organisations {
        let (homes, whole) = (homes(name), quota(spec));
        let parts = homes.len() as u64;
        for vm in homes {
            let holding = holders.entry(vm).or_default();
            holding.incarnation = 1;
            let slice = Slice { rate: whole.rate / parts, burst: whole.burst / parts };
            holding.slices.insert(name.clone(), slice);
        }
    }
    holders
}
