//! Counts requests refused although their organisation was within its rate,
//! for rate shares with loans and for two baselines, under the same load.

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

/// Number of entry VMs.
const VMS: u16 = 9;
/// Rate in requests per second and burst of each organisation. The first
/// organisation sends `OVERLOAD_FACTOR` times its rate.
const ORGANISATIONS: [(f64, u32); 8] =
    [(20.0, 20), (40.0, 40), (30.0, 30), (10.0, 10), (8.0, 10), (5.0, 5), (3.0, 5), (2.0, 5)];
/// Load of the first organisation as a multiple of its rate.
const OVERLOAD_FACTOR: f64 = 5.0;
/// Load of the other organisations as a fraction of their rates.
const NORMAL_FACTOR: f64 = 0.8;
/// Fraction of requests routed to a home VM of their organisation.
const HOME_FRACTION: f64 = 0.9;
/// One-way network latency between VMs.
const ONE_WAY_LATENCY: Duration = Duration::from_micros(500);
/// Time before requests are counted, in which buckets fill.
const WARM_UP: Duration = Duration::from_secs(10);
/// Time from the end of the warm-up until one VM crashes.
const CRASH_AFTER: Duration = Duration::from_secs(60);
/// Time from the crash until a pending table without that VM is adopted.
const DETECTION_DELAY: Duration = Duration::from_secs(3);
/// Time from adoption of the pending table until it settles.
const SETTLE_DELAY: Duration = Duration::from_millis(5_400);
/// Timeout of a call to a crashed lender.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);

key! {
    /// How rate limits are distributed over VMs.
    pub enum Scheme {
        /// Home VMs hold slices of the rate and lend tokens.
        Shares,
        /// Every VM holds the same slice; there are no loans.
        Equal,
        /// One VM holds an organisation's whole rate; the others borrow from it.
        Owner,
    }
}

/// Result of a run of one scheme.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Requests within rate, of all organisations but the overloading one.
    pub within: u64,
    /// Number of those requests that were refused.
    pub refused: u64,
    /// Granted fraction of its rate for the overloading organisation.
    pub greedy: f64,
}

impl Outcome {
    /// Percentage of requests within rate that were refused.
    pub fn percent(&self) -> f64 {
        100.0 * self.refused as f64 / self.within.max(1) as f64
    }
}

enum Event {
    Tick,
    Arrive(usize),
    LoanReply { index: usize, vm: Vm, lender: Vm, requested_at: Time, tries: u32, within: bool },
    Crash,
    Publish { settled: bool },
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
    overload_granted: u64,
}

/// Runs one scheme for `seconds`, optionally with a VM crash.
pub fn simulate(scheme: Scheme, seed: u64, seconds: u64, crash: bool) -> Outcome {
    let mut world = World::new(scheme, seed);
    let start = world.now.after(WARM_UP);
    let end = start.after(Duration::from_secs(seconds));
    if crash {
        world.timeline.add(start.after(CRASH_AFTER), Event::Crash);
    }
    while let Some((now, event)) = world.timeline.pop() {
        if now >= end {
            break;
        }
        world.now = now;
        world.handle(event, now >= start);
    }
    let allowed = ORGANISATIONS[0].0 * seconds as f64;
    Outcome { greedy: world.overload_granted as f64 / allowed, ..world.outcome }
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
            // Arrivals use a separate generator so that every scheme sees the same load.
            arrivals: ChaCha8Rng::seed_from_u64(!seed),
            now,
            timeline: Timeline::default(),
            nodes: view.members.keys().map(|vm| (vm.clone(), Holder::new(vm.clone(), 1))).collect(),
            view,
            table,
            offered,
            outcome: Outcome::default(),
            overload_granted: 0,
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

    fn handle(&mut self, event: Event, measured: bool) {
        match event {
            Event::Tick => {
                self.adopt();
                self.timeline.add(self.now.after(Duration::from_secs(1)), Event::Tick);
            }
            Event::Arrive(index) => self.handle_arrival(index, measured),
            Event::LoanReply { index, vm, lender, requested_at, tries, within } => {
                self.receive_loan(index, vm, lender, requested_at, tries, within);
            }
            Event::Crash => {
                // Crashes a home VM of the organisation with the highest rate.
                let Some(vm) = self.table_homes(1).into_iter().next() else { return };
                self.nodes.remove(&vm);
                self.view.members.remove(&vm);
                if self.scheme != Scheme::Equal {
                    self.timeline
                        .add(self.now.after(DETECTION_DELAY), Event::Publish { settled: false });
                }
            }
            Event::Publish { settled } => {
                let epoch = 2;
                self.table = Arc::new(Table { settled, ..table(self.scheme, &self.view, epoch) });
                self.adopt();
                if !settled {
                    self.timeline
                        .add(self.now.after(SETTLE_DELAY), Event::Publish { settled: true });
                }
            }
        }
    }

    fn handle_arrival(&mut self, index: usize, measured: bool) {
        let (rate, _) = ORGANISATIONS[index];
        let factor = if index == 0 { OVERLOAD_FACTOR } else { NORMAL_FACTOR };
        let interarrival =
            -self.arrivals.random::<f64>().max(f64::MIN_POSITIVE).ln() / (rate * factor);
        self.timeline
            .add(self.now.after(Duration::from_secs_f64(interarrival)), Event::Arrive(index));
        let within = self.offered[index].grant(self.now) && measured;
        if index > 0 && within {
            self.outcome.within += 1;
        }
        let vm = self.choose_vm(index);
        self.take(index, vm, 0, within, measured);
    }

    fn choose_vm(&mut self, index: usize) -> Vm {
        let homes: Vec<Vm> =
            self.table_homes(index).into_iter().filter(|vm| self.nodes.contains_key(vm)).collect();
        let routed_home = self.scheme != Scheme::Equal && self.random.random_bool(HOME_FRACTION);
        let all: Vec<Vm> = self.nodes.keys().cloned().collect();
        let from = if routed_home && !homes.is_empty() { &homes } else { &all };
        from.choose(&mut self.random).cloned().unwrap_or_else(|| "none".into())
    }

    fn table_homes(&self, index: usize) -> Vec<Vm> {
        let holds = |holding: &Allocation| holding.slices.contains_key(&name(index));
        let homes = self.table.holders.iter().filter(|(_, holding)| holds(holding));
        homes.map(|(vm, _)| vm.clone()).collect()
    }

    fn take(&mut self, index: usize, vm: Vm, tries: u32, within: bool, measured: bool) {
        let now = self.now;
        let Some(holder) = self.nodes.get_mut(&vm) else { return };
        match holder.take(&name(index), now) {
            Ok(()) => {
                self.overload_granted += u64::from(index == 0 && measured);
                return;
            }
            Err(Denial::Until(_)) if self.scheme != Scheme::Equal && tries < 2 => {}
            Err(_) => return self.count_refusal(index, within),
        }
        let Some(lender) = holder.lender(&name(index), now) else {
            return self.count_refusal(index, within);
        };
        let alive = self.nodes.contains_key(&lender);
        let latency = if alive { 2 * ONE_WAY_LATENCY } else { CALL_TIMEOUT };
        let reply = Event::LoanReply { index, vm, lender, requested_at: now, tries, within };
        self.timeline.add(now.after(latency), reply);
    }

    fn receive_loan(
        &mut self,
        index: usize,
        vm: Vm,
        lender: Vm,
        requested_at: Time,
        tries: u32,
        within: bool,
    ) {
        let now = self.now;
        // The lender decides half a round trip earlier. Handling it here shifts its order
        // relative to other events by at most that time.
        let want = self.nodes.get(&vm).map_or(0, |holder| holder.missing(&name(index)));
        let loan = self.nodes.get_mut(&lender).map(|holder| holder.lend(&name(index), want, now));
        let Some(holder) = self.nodes.get_mut(&vm) else { return };
        match loan {
            Some((count, _)) if count > 0 || want == 0 => {
                holder.receive(&name(index), count, requested_at, now);
            }
            Some((_, next)) => holder.mark_empty(&name(index), lender, Some(next), now),
            None => holder.mark_empty(&name(index), lender, None, now),
        }
        self.take(index, vm, tries + 1, within, true);
    }

    fn count_refusal(&mut self, index: usize, within: bool) {
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
        Scheme::Equal => split_evenly(view, |_| view.members.keys().cloned().collect()),
        Scheme::Owner => split_evenly(view, |organisation| {
            rendezvous::order(organisation, view.members.keys().cloned())
                .into_iter()
                .take(1)
                .collect()
        }),
    };
    Table { epoch, settled: true, holders, previous: BTreeMap::new() }
}

fn split_evenly<H>(view: &View, homes: H) -> BTreeMap<Vm, Allocation>
where
    H: Fn(&Organisation) -> Vec<Vm>,
{
    let mut holders: BTreeMap<Vm, Allocation> = BTreeMap::new();
    for (name, spec) in &view.organisations {
        let (homes, limit) = (homes(name), quota(spec));
        let parts = homes.len() as u64;
        for vm in homes {
            let holding = holders.entry(vm).or_default();
            holding.incarnation = 1;
            let slice = Slice { rate: limit.rate / parts, burst: limit.burst / parts };
            holding.slices.insert(name.clone(), slice);
        }
    }
    holders
}
