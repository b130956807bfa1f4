//! Which parts of prompts are held off after crashes of upstreams, and for how long:
//! the parts that crash them soon, parts of sound requests hardly ever, and none for good.

use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::route::Fingerprint;
use parsleybeam::serve::crash::{Crash, Held, HeldRow, Parts, Reporter, Requests, Run};
use parsleybeam::serve::protocol::Part;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: Time = Time(100_000_000);
/// Part of every request.
const COMMON: Part = Part(1);
/// Part that crashes upstreams.
const BAD: Part = Part(2);

fn millis(count: u64) -> Time {
    NOW.after(Duration::from_millis(count))
}

fn run(crash: u64, request: u128, parts: &[Part]) -> Run {
    Run { crash: Crash(crash), fingerprint: Fingerprint(request), shared_parts: parts.to_vec() }
}

/// Records crash `number` of a request with `parts`, seen by one of two VMs.
fn crash(parts: &mut Parts, number: u64, request: u128, shared: &[Part], at: Time) {
    parts.record_crash(run(number, request, shared), Reporter(number % 2), at);
}

/// Decides once all evidence has settled.
fn decide(parts: &mut Parts, now: Time) -> Vec<Part> {
    let mut held = parts.decide(now);
    held.extend(parts.decide(now.after(Duration::from_millis(200))));
    held
}

#[test]
fn decide_bad_part_of_different_requests() {
    let mut parts = Parts::default();
    parts.record_completed(&[COMMON], NOW);
    for number in 0..4 {
        assert!(decide(&mut parts, millis(number)).is_empty());
        crash(&mut parts, number, number.into(), &[COMMON, BAD], millis(10 + number));
    }
    assert_eq!(decide(&mut parts, millis(20)), [BAD]);
    assert!(parts.held_part(&[COMMON, Part(9)]).is_none(), "sound requests go on");
    assert_eq!(parts.held_part(&[COMMON, BAD]).map(|(part, _)| part), Some(BAD));
    assert!(parts.explains(Crash(0)));
}

#[test]
fn decide_one_request_sent_again_is_no_bad_part() {
    let mut parts = Parts::default();
    for number in 0..10 {
        crash(&mut parts, number, 7, &[COMMON, BAD], millis(number));
    }
    assert!(decide(&mut parts, millis(20)).is_empty());
}

#[test]
fn decide_requests_that_were_merely_there() {
    let mut parts = Parts::default();
    parts.record_completed(&[COMMON], NOW);
    // At each upstream that the bad part crashes run sound requests of four sessions.
    for number in 0..4u64 {
        let at = millis(10 + number);
        crash(&mut parts, number, number.into(), &[COMMON, BAD], at);
        for session in 0..4u64 {
            let request = u128::from(100 + number * 10 + session);
            crash(&mut parts, number, request, &[COMMON, Part(50 + session + number)], at);
        }
    }
    assert_eq!(decide(&mut parts, millis(20)), [BAD]);
    assert!(decide(&mut parts, millis(5_000)).is_empty(), "nothing is left to explain");
}

#[test]
fn decide_without_memory_takes_the_most_specific_part() {
    let mut parts = Parts::default();
    // All VMs have just started: no answer was ever completed.
    for number in 0..5u64 {
        crash(&mut parts, number, number.into(), &[COMMON, BAD], millis(number));
        crash(&mut parts, number, u128::from(100 + number), &[COMMON, Part(9)], millis(number));
        crash(&mut parts, number, u128::from(200 + number), &[COMMON, Part(9)], millis(number));
    }
    assert_eq!(decide(&mut parts, millis(20)), [BAD]);
    assert!(decide(&mut parts, millis(3_000)).is_empty());
}

#[test]
fn decide_upstreams_out_of_reach_of_one_vm() {
    let mut parts = Parts::default();
    parts.record_completed(&[COMMON, BAD], NOW);
    for number in 0..9u64 {
        let cut_off = Reporter(1);
        parts.record_crash(run(number, number.into(), &[COMMON, BAD]), cut_off, millis(10));
    }
    assert!(decide(&mut parts, millis(20)).is_empty());
    assert!(decide(&mut parts, millis(5_000)).is_empty(), "other VMs would have seen it too");
}

#[test]
fn decide_part_that_was_sound_once() {
    let mut parts = Parts::default();
    parts.record_completed(&[COMMON, BAD], NOW);
    for number in 0..5u64 {
        crash(&mut parts, number, number.into(), &[COMMON, BAD], millis(10 + number));
        parts.record_completed(&[COMMON], millis(100 + number));
    }
    assert!(decide(&mut parts, millis(300)).is_empty(), "reports are still on their way");
    assert_eq!(decide(&mut parts, millis(2_000)), [BAD]);
}

#[test]
fn record_completed_ends_it_everywhere() {
    let mut parts = Parts::default();
    for number in 0..4 {
        crash(&mut parts, number, number.into(), &[COMMON, BAD], millis(number));
    }
    let held = decide(&mut parts, millis(20));
    let wrong = held[0];
    assert!(parts.record_completed(&[wrong], NOW).is_empty(), "an answer from before the crashes");
    assert_eq!(parts.record_completed(&[wrong], millis(900)), [wrong]);
    assert!(parts.held_part(&[wrong]).is_none());
    assert!(
        !parts.adopt(wrong, Held::new(millis(3), 0)),
        "a late report of another VM changes nothing"
    );
    assert!(parts.held_part(&[wrong]).is_none());
}

#[test]
fn begin_trial_has_a_deadline_that_doubles() {
    let mut parts = Parts::default();
    assert!(parts.adopt(BAD, Held::new(NOW, 0)));
    let seconds = |count: u64| NOW.after(Duration::from_secs(count));
    assert!(!parts.begin_trial(BAD, seconds(29)));
    assert!(parts.begin_trial(BAD, seconds(30)));
    assert!(!parts.begin_trial(BAD, seconds(31)), "one at a time");
    assert!(!parts.begin_trial(BAD, seconds(89)));
    assert!(parts.begin_trial(BAD, seconds(90)), "also if the first one had no outcome");
    crash(&mut parts, 9, 9, &[BAD], seconds(91));
    let (_, held) = parts.held_part(&[BAD]).expect("it is held off");
    assert_eq!((held.trials, held.trial_at), (2, seconds(91 + 120)));
}

#[test]
fn begin_trial_not_hastened_by_repeated_reports() {
    let mut parts = Parts::default();
    let seconds = |count: u64| NOW.after(Duration::from_secs(count));
    for number in 0..4 {
        crash(&mut parts, number, number.into(), &[BAD], millis(number));
    }
    assert_eq!(decide(&mut parts, millis(20)), [BAD]);
    assert!(parts.begin_trial(BAD, seconds(31)));
    let before = parts.held_part(&[BAD]);
    for number in 0..4 {
        // The age in a report is a little off each time.
        crash(&mut parts, number, number.into(), &[BAD], millis(number + 5));
    }
    assert_eq!(parts.held_part(&[BAD]), before);
    assert!(
        !parts.adopt(BAD, Held::new(millis(9), 0)),
        "told by a VM that doesn't know of the trial"
    );
    assert!(!parts.begin_trial(BAD, seconds(80)));
}

#[test]
fn adopt_keeps_the_later_deadline() {
    let mut parts = Parts::default();
    assert!(parts.adopt(BAD, Held::new(millis(500), 2)));
    let before = parts.held_part(&[BAD]);
    assert!(!parts.adopt(BAD, Held::new(millis(100), 1)));
    assert_eq!(parts.held_part(&[BAD]), before);
}

#[test]
fn held_is_forgotten_in_the_end() {
    let mut parts = Parts::default();
    parts.adopt(BAD, Held::new(NOW, 0));
    parts.decide(NOW.after(Duration::from_secs(5 * 3_600)));
    assert!(parts.held_part(&[BAD]).is_none());
}

#[test]
fn requests_quarantine_has_an_end() {
    let (mut requests, request) = (Requests::default(), Fingerprint(7));
    let quarantined = |requests: &Requests| requests.is_quarantined(request);
    for number in 0..3 {
        requests.record(request, Crash(number), millis(number), millis(number));
    }
    assert!(quarantined(&requests));
    let later = NOW.after(Duration::from_secs(601));
    requests.record(Fingerprint(8), Crash(9), later, later);
    assert!(!quarantined(&requests));
}

#[test]
fn requests_forgiven_for_explained_crashes() {
    let (mut requests, request) = (Requests::default(), Fingerprint(7));
    for number in 0..3 {
        requests.record(request, Crash(number), millis(number), millis(number));
    }
    requests.forgive(|crash| crash == Crash(1));
    assert!(!requests.is_quarantined(request));
    requests.forgive(|_| true);
    assert!(requests.is_empty());
}

/// A service of upstreams that crash at random, and under `BAD` if it is sent.
struct Service {
    random: ChaCha8Rng,
    parts: Parts,
    running: Vec<Vec<(u128, Vec<Part>, Time)>>,
    next: u64,
}

impl Service {
    const UPSTREAMS: usize = 9;
    const ANSWER: Duration = Duration::from_millis(600);

    fn new(seed: u64) -> Self {
        let running = vec![Vec::new(); Self::UPSTREAMS];
        let parts = Parts::default();
        Self { random: ChaCha8Rng::seed_from_u64(seed), parts, running, next: 0 }
    }

    /// Sends a request of a random session, or a bad one; whether it was sent.
    fn send(&mut self, bad: bool, now: Time) -> bool {
        let session = Part(100 + self.random.random_range(0..60));
        let shared = [COMMON, if bad { BAD } else { session }];
        if self.parts.held_part(&shared).is_some() {
            return false;
        }
        self.next += 1;
        let upstream = self.random.random_range(0..Self::UPSTREAMS);
        let request = (u128::from(self.next), shared.to_vec(), now.after(Self::ANSWER));
        self.running[upstream].push(request);
        if bad {
            self.crash(upstream, now);
        }
        true
    }

    fn crash(&mut self, upstream: usize, now: Time) {
        self.next += 1;
        for (request, shared, _) in std::mem::take(&mut self.running[upstream]) {
            let reporter = Reporter((request % 7) as u64);
            self.parts.record_crash(run(self.next, request, &shared), reporter, now);
        }
    }

    /// Completes the answers that are due and decides.
    fn step(&mut self, now: Time) -> Vec<Part> {
        for running in &mut self.running {
            let done: Vec<Vec<Part>> = running
                .extract_if(.., |(_, _, due)| due.passed(now))
                .map(|(_, shared, _)| shared)
                .collect();
            for shared in done {
                self.parts.record_completed(&shared, now);
            }
        }
        self.parts.decide(now)
    }
}

/// Plays 40 s with a sound request every 25 ms, a bad one every 100 ms if `bad`, and from
/// 10 to 16 s a crash every `crash_ms`. Returns the bad requests sent, the parts held off
/// and the share of sound requests that were sent.
fn play(seed: u64, bad: bool, crash_ms: u64) -> (usize, Vec<Part>, f64) {
    let mut service = Service::new(seed);
    let (mut bad_sent, mut held, mut sound, mut sent) = (0, Vec::new(), 0, 0);
    for step in 0..1_600u64 {
        let (ms, now) = (step * 25, millis(step * 25));
        sound += 1;
        sent += usize::from(service.send(false, now));
        if bad && ms >= 10_000 && ms % 100 == 0 {
            bad_sent += usize::from(service.send(true, now));
        }
        if crash_ms > 0 && (10_000..16_000).contains(&ms) && ms % crash_ms == 0 {
            let upstream = service.random.random_range(0..Service::UPSTREAMS);
            service.crash(upstream, now);
        }
        held.extend(service.step(now));
    }
    (bad_sent, held, sent as f64 / sound as f64)
}

#[test]
fn random_bad_part_is_found_and_sound_requests_go_on() {
    for seed in 0..50 {
        let (bad_sent, held, share) = play(seed, true, 0);
        assert!(bad_sent <= 8, "seed {seed}: {bad_sent} bad requests were sent");
        assert!(held.contains(&BAD), "seed {seed}: {held:?}");
        assert!(share > 0.97, "seed {seed}: {share} of the sound requests were sent");
    }
}

#[test]
fn random_crashes_without_a_bad_part_hold_hardly_anything_off() {
    for seed in 0..50 {
        let (_, held, share) = play(seed, false, 100);
        assert!(share > 0.97, "seed {seed}: {share} of the sound requests were sent, {held:?}");
        assert!(!held.contains(&COMMON), "seed {seed}");
    }
}

#[test]
fn random_crashes_beside_a_bad_part() {
    for seed in 0..50 {
        let (bad_sent, held, share) = play(seed, true, 200);
        assert!(bad_sent <= 8, "seed {seed}: {bad_sent} bad requests were sent");
        assert!(held.contains(&BAD) && !held.contains(&COMMON), "seed {seed}: {held:?}");
        assert!(share > 0.95, "seed {seed}: {share} of the sound requests were sent");
    }
}

/// Guards against evidence that is lost in a kill of all VMs just before a part is held off, and
/// against evidence that blames sound parts when their completed answers are forgotten.
#[test]
fn open_evidence_decides_after_a_kill_of_all() {
    let mut parts = Parts::default();
    for number in 0..5 {
        crash(&mut parts, number, number.into(), &[COMMON, BAD], millis(number));
    }
    parts.record_completed(&[COMMON], millis(10));
    let kept: Vec<(Run, Time)> = parts.open_evidence().collect();
    assert_eq!(kept.len(), 5);
    assert!(kept.iter().all(|(run, _)| run.shared_parts == [BAD]), "{kept:?}");
    let mut next = Parts::default();
    for (run, at) in kept {
        next.record_crash(run, Reporter(0), at);
    }
    assert_eq!(decide(&mut next, millis(20)), [BAD]);
    assert_eq!(next.open_evidence().count(), 0, "it is held off now");
}

/// Guards against writes to the store for each ordinary crash of an upstream.
#[test]
fn open_evidence_of_single_crash() {
    let mut parts = Parts::default();
    for request in 0..8 {
        crash(&mut parts, 1, request, &[COMMON, Part(50)], millis(1));
    }
    assert_eq!(parts.open_evidence().count(), 0);
}

/// Guards against a trial that comes again, or at once, after what a VM knows was told or stored.
#[test]
fn held_row_keeps_the_time_of_the_next_trial() {
    let mut parts = Parts::default();
    parts.adopt(BAD, Held::new(NOW, 0));
    let due = millis(30_000);
    assert!(parts.begin_trial(BAD, due));
    let (part, held) = parts.held().next().expect("it is held off");
    let told = HeldRow::new(part, held, due).held(due);
    assert_eq!((told.trial_at, told.trials), (held.trial_at, 1));
    assert!(told.trial_at > due.after(Duration::from_secs(59)));
}
