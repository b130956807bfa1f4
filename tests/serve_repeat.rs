//! What VMs tell each other of their own accord: that it is bounded while many upstreams
//! are cold, and that nothing is left untold.

use std::ops::Range;
use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::id::Vm;
use parsleybeam::serve::cold::{self, Bounds, Reading, Standing, Upstreams, Word};
use parsleybeam::serve::configuration::Cold;
use parsleybeam::serve::datagram::{self, Content, Datagram, Limited, Load, Row};
use parsleybeam::serve::limit::{Granted, Limits, Part};
use parsleybeam::serve::repeat::{Budget, REPORT_BYTES_PER_S, Repeat};
use prost::Message;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: Time = Time(1_000_000_000);
const STEP: Duration = Duration::from_millis(10);
const HEARTBEAT: Duration = Duration::from_millis(500);
const BOUNDS: Bounds = Bounds { overrun: 1.5, slack: 5.0 };
const PER_S: f64 = 4.0;
/// Interval of reads of the store.
const POLL: Duration = Duration::from_millis(900);
const LASTS: Duration = Duration::from_secs(8);
const VMS: usize = 55;
const UPSTREAMS: u32 = 30;
/// Requests for grants of sends to one upstream, per second.
const ASKED_PER_S: f64 = 16.0;
/// Steps between two changes of a VM's own load.
const LOAD_CHANGE_STEPS: usize = 5;
/// Rows of each kind of news in one report.
const MAX_NEWS: usize = 16;

fn millis(count: u64) -> Time {
    NOW.after(Duration::from_millis(count))
}

struct Member {
    cold: Upstreams,
    limits: Limits,
    budget: Budget,
    next_report: Time,
    is_changed: bool,
    /// Bytes to each other VM, by the second in which they were sent.
    bytes: Vec<usize>,
}

/// VMs of a fleet whose upstreams all come back cold at the same moment.
struct Fleet {
    vms: Vec<Member>,
    random: ChaCha8Rng,
    now: Time,
}

impl Fleet {
    fn new() -> Self {
        let member = |_| Member {
            cold: Upstreams::default(),
            limits: Limits::default(),
            budget: Budget::default(),
            next_report: NOW,
            is_changed: false,
            bytes: vec![0; 42],
        };
        let vms = (0..VMS).map(member).collect();
        Self { vms, random: ChaCha8Rng::seed_from_u64(1), now: NOW }
    }

    /// Has each VM read the upstreams' entries, one after the other within `POLL`.
    fn read(&mut self, revision: u64, left: Duration) {
        let entry = Reading { started_unix_ms: 1, revision, left: Some(left) };
        let rule = Cold { lasts: LASTS, per_s: PER_S };
        let list: Vec<_> = (0..UPSTREAMS).map(|upstream| (upstream, Some(rule), entry)).collect();
        let first = self.now;
        for index in 0..VMS {
            let read_at = first.after(POLL.mul_f64(index as f64 / VMS as f64));
            self.run_for(self.now.until(read_at));
            let (vm, now) = (&mut self.vms[index], self.now);
            vm.is_changed |= !vm.cold.record_list(&list, now, now).is_empty();
        }
    }

    /// Grants what is asked for, reports what is due, and moves the clock.
    fn step(&mut self) {
        let now = self.now;
        for upstream in 0..UPSTREAMS {
            let vm = &mut self.vms[upstream as usize % VMS];
            let Standing::Cold(quota) = vm.cold.standing(upstream, BOUNDS, now) else { continue };
            let part = Part { share: 1.0, phase: 0.0 };
            if self.random.random_bool(ASKED_PER_S * STEP.as_secs_f64()) {
                vm.limits.grant_quota(cold::key(upstream), quota, part, now);
            }
        }
        for vm in 0..VMS {
            let step = NOW.until(now).as_millis() as usize / STEP.as_millis() as usize;
            self.vms[vm].is_changed |= (step + vm).is_multiple_of(LOAD_CHANGE_STEPS);
            let is_heartbeat = now.0.is_multiple_of(HEARTBEAT.as_micros() as u64);
            let may_report = self.vms[vm].is_changed && self.vms[vm].next_report.passed(now);
            if is_heartbeat || may_report {
                self.report(vm);
            }
        }
        self.now = now.after(STEP);
    }

    fn report(&mut self, from: usize) {
        let now = self.now;
        let vm = &mut self.vms[from];
        vm.is_changed = false;
        let words = vm.cold.take_due(MAX_NEWS, now);
        let rows = vm.limits.take_due(MAX_NEWS, now);
        let load = Load {
            rows: vec![Row { upstream: u32::MAX, online: 1, batch: 1 }; 8],
            cold: words
                .iter()
                .map(|(number, word)| datagram::Cold::new(*number, *word, now))
                .collect(),
            limited: rows.iter().map(|row| Limited::new(*row, now)).collect(),
            ..Load::default()
        };
        let name = format!("entry-{from:03}");
        let datagram =
            Datagram { vm: name.clone(), incarnation: 1, content: Some(Content::Load(load)) };
        let bytes = datagram.encoded_len();
        vm.next_report = vm.budget.spend(bytes, now);
        vm.bytes[(NOW.until(now).as_secs()) as usize] += bytes;
        for to in (0..VMS).filter(|to| *to != from) {
            let vm = &mut self.vms[to];
            for (upstream, word) in &words {
                vm.cold.record(*upstream, *word, false, now);
            }
            for row in &rows {
                let granted = Granted { incarnation: 1, count: row.granted };
                vm.limits.record_granted(row.process, &Vm::from(name.as_str()), granted, now);
            }
        }
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.now.after(span);
        while !end.passed(self.now) {
            self.step();
        }
    }
}

/// Guards against reports that repeat a row for each upstream that is or was cold: on a day
/// with cold returns they took the processors of all VMs.
#[test]
fn take_due_many_cold_upstreams_few_bytes() {
    let mut fleet = Fleet::new();
    fleet.read(1, Duration::ZERO);
    fleet.run_for(Duration::from_secs(10));
    fleet.read(2, LASTS);
    fleet.run_for(Duration::from_secs(30));
    let mean = |seconds: Range<usize>| {
        let sent: usize =
            fleet.vms.iter().map(|vm| vm.bytes[seconds.clone()].iter().sum::<usize>()).sum();
        sent as f64 / (seconds.len() * VMS) as f64
    };
    let added = mean(10..40) - mean(1..10);
    // 5 KB a second for control, to all other VMs together.
    let to_all = added * (VMS - 1) as f64;
    assert!(to_all <= 5_000.0, "{to_all:.0} bytes a second for news of cold upstreams");
}

/// Guards against a storm of reports, whatever it is that changes.
#[test]
fn spend_bounds_the_bytes_of_reports() {
    let mut fleet = Fleet::new();
    fleet.read(1, Duration::ZERO);
    for revision in 2..22 {
        fleet.read(revision, LASTS.mul_f64(1.0 + f64::from(revision as u32)));
    }
    for (index, vm) in fleet.vms.iter().enumerate() {
        let sent: usize = vm.bytes.iter().sum();
        // One second's bytes at once, and a last report.
        let allowed = REPORT_BYTES_PER_S * 20.0 + 2_048.0;
        assert!(sent as f64 <= allowed, "VM {index} sent {sent} bytes to each of the others");
    }
}

/// Guards against news that is lost with one datagram.
#[test]
fn repeat_soon_and_then_less_often() {
    let mut repeat = Repeat::word(NOW);
    let due = (0..60_000).step_by(10).filter(|now| {
        let is_due = repeat.is_due(millis(*now));
        if is_due {
            repeat.record_told(millis(*now));
        }
        is_due
    });
    let due: Vec<_> = due.take(8).collect();
    assert_eq!(due, [0, 250, 750, 1_750, 3_750, 7_750, 11_750, 15_750]);
}

#[test]
fn take_due_more_than_fit_in_one_report() {
    let mut cold = Upstreams::default();
    for upstream in 0..UPSTREAMS {
        let until = NOW.after(LASTS);
        cold.record(upstream, Word { started_unix_ms: 1, at: NOW, until, revision: 0 }, true, NOW);
    }
    let first = cold.take_due(MAX_NEWS, NOW).len();
    assert_eq!(
        (first, cold.take_due(MAX_NEWS, NOW).len()),
        (MAX_NEWS, UPSTREAMS as usize - MAX_NEWS)
    );
    assert!(cold.take_due(MAX_NEWS, NOW).is_empty(), "all are told");
    cold.record(1, Word { started_unix_ms: 2, at: NOW, until: NOW, revision: 0 }, false, NOW);
    assert_eq!(cold.take_due(MAX_NEWS, millis(1)).len(), 1, "heard: told once");
    cold.record(1, Word { started_unix_ms: 3, at: NOW, until: NOW, revision: 0 }, false, NOW);
    cold.take_due(MAX_NEWS, millis(2));
    let again = cold.take_due(UPSTREAMS as usize, millis(260));
    assert!(again.iter().all(|(upstream, _)| *upstream != 1), "not repeated");
}
