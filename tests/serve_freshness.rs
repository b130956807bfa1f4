//! How long a VM acts on its view: never past a bound while it is in contact, whatever makes the
//! view old, and through an outage of the store.

use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::serve::freshness::{Freshness, TRANSIT, Terms, WATCH_INTERVAL};
use parsleybeam::serve::source::{Plan, Role};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: Time = Time(100_000_000);
/// Bounds and contact times of the deployments.
const TERMS: [Terms; 3] = [terms(2_000, 3_000), terms(3_000, 4_000), terms(4_000, 5_000)];
const STEP: Duration = Duration::from_millis(10);
/// Pause of a VM that reads for itself.
const POLL: Duration = Duration::from_millis(900);
/// Minimum pause between two reads.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Maximum pause after reads of such a VM that have failed.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Timeout of an attempt of a read.
const TIMEOUT: Duration = Duration::from_millis(1_100);

const fn terms(bound_ms: u64, contact_ms: u64) -> Terms {
    Terms { bound: Duration::from_millis(bound_ms), contact: Duration::from_millis(contact_ms) }
}

fn millis(count: u64) -> Time {
    NOW.after(Duration::from_millis(count))
}

#[test]
fn valid_until_bound_of_the_view() {
    let mut freshness = Freshness::default();
    freshness.record_view(NOW);
    freshness.record_view(NOW.before_millis(500));
    let until = freshness.valid_until(TERMS[0]);
    assert_eq!(until.after(TRANSIT), millis(2_000), "an older view changes nothing");
    assert!(!freshness.may_lag(TERMS[0], millis(1_800)) && freshness.may_lag(TERMS[0], until));
}

#[test]
fn valid_until_contact_after_a_failed_read() {
    let mut freshness = Freshness::default();
    freshness.record_view(NOW);
    freshness.record_sent(millis(900));
    freshness.record_failed(millis(910));
    assert_eq!(freshness.valid_until(TERMS[0]).after(TRANSIT), millis(3_900));
}

#[test]
fn valid_until_contact_while_a_read_is_unanswered() {
    let mut freshness = Freshness::default();
    freshness.record_view(NOW);
    freshness.record_sent(millis(900));
    freshness.record_waiting(millis(1_150));
    assert_eq!(freshness.valid_until(TERMS[0]).after(TRANSIT), millis(2_000));
    freshness.record_waiting(millis(1_400));
    assert_eq!(freshness.valid_until(TERMS[0]).after(TRANSIT), millis(3_900));
}

/// A process that was held up finds its timeouts passed although the answer may be there.
#[test]
fn failure_of_a_process_that_was_held_up_says_nothing() {
    let mut freshness = Freshness::default();
    freshness.record_view(NOW);
    freshness.record_sent(millis(900));
    freshness.record_waiting(millis(3_500));
    assert!(freshness.may_lag(TERMS[0], millis(3_500)));
    freshness.record_sent(millis(3_600));
    freshness.record_failed(millis(6_000));
    assert!(freshness.may_lag(TERMS[0], millis(6_000)));
}

/// What the store does with reads.
#[derive(Clone, Copy, PartialEq)]
enum Store {
    Answers,
    Slow,
    Silent,
    Refuses,
}

/// A read under way.
#[derive(Clone, Copy)]
struct Read {
    sent_at: Time,
    /// When its attempt ends, and whether by an answer.
    ends_at: Time,
    answered: bool,
    /// Whether it makes a second attempt.
    repeats: bool,
}

/// A VM whose peers don't help it, and the store.
struct World {
    role: Role,
    terms: Terms,
    plan: Plan,
    freshness: Freshness,
    reading: Option<Read>,
    next_at: Time,
    watch_at: Time,
    pause: Duration,
    held_up_until: Time,
    store: Store,
    /// Last time at which the store wasn't sound.
    impaired_at: Time,
    /// When the upstream left, by the store.
    left_at: Option<Time>,
    /// Whether this VM knows it.
    knows: bool,
    now: Time,
    random: ChaCha8Rng,
    seed: u64,
}

impl World {
    fn new(role: Role, terms: Terms, seed: u64) -> Self {
        let mut freshness = Freshness::default();
        freshness.record_view(NOW);
        Self {
            role,
            terms,
            plan: Plan::default(),
            freshness,
            reading: None,
            next_at: NOW,
            watch_at: Time::NEVER,
            pause: MIN_PAUSE,
            held_up_until: NOW,
            store: Store::Answers,
            impaired_at: Time(0),
            left_at: None,
            knows: false,
            now: NOW,
            random: ChaCha8Rng::seed_from_u64(seed),
            seed,
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        if self.store != Store::Answers {
            self.impaired_at = self.now;
        }
        if !self.held_up_until.passed(self.now) {
            return;
        }
        // What waited comes before the answer of a read.
        self.check();
        if self.watch_at.passed(self.now) {
            self.freshness.record_waiting(self.now);
            self.watch_at = self.now.after(WATCH_INTERVAL);
        }
        match self.reading {
            Some(read) if read.ends_at.passed(self.now) => self.end_attempt(read),
            None if self.next_at.passed(self.now) => self.begin_read(),
            Some(_) | None => {}
        }
        self.check();
    }

    fn begin_read(&mut self) {
        let age_limit = self.now.before_millis(self.freshness_age_ms());
        if !self.plan.is_due(self.role, age_limit, 7, self.now) {
            self.next_at = self.now.after(MIN_PAUSE);
            return;
        }
        self.begin_attempt(self.now, self.role == Role::Alone);
        self.freshness.record_sent(self.now);
        self.watch_at = self.now.after(WATCH_INTERVAL);
    }

    fn begin_attempt(&mut self, sent_at: Time, repeats: bool) {
        let (took, answered) = match self.store {
            Store::Answers => (Duration::from_millis(self.random.random_range(2..30)), true),
            Store::Slow => (Duration::from_millis(300), true),
            Store::Silent => (TIMEOUT, false),
            Store::Refuses => (Duration::from_millis(3), false),
        };
        let ends_at = self.now.after(took);
        self.reading = Some(Read { sent_at, ends_at, answered, repeats });
    }

    fn end_attempt(&mut self, read: Read) {
        if read.answered || !read.repeats {
            self.end_read(read.sent_at, read.answered);
        } else {
            self.begin_attempt(read.sent_at, false);
        }
    }

    fn freshness_age_ms(&self) -> u32 {
        let endless = Terms { bound: Duration::from_secs(1_000), contact: Duration::ZERO };
        let until = self.freshness.valid_until(endless).after(TRANSIT);
        u32::try_from(1_000_000 - self.now.until(until).as_millis()).expect("a run is short")
    }

    fn end_read(&mut self, sent_at: Time, answered: bool) {
        (self.reading, self.watch_at) = (None, Time::NEVER);
        if answered {
            self.freshness.record_answered();
            self.freshness.record_view(sent_at);
            self.plan.answered();
            self.knows = self.left_at.is_some_and(|left_at| left_at <= sent_at);
            self.pause = MIN_PAUSE;
            self.next_at = sent_at.after(POLL).max(self.now.after(MIN_PAUSE));
            return;
        }
        self.freshness.record_failed(self.now);
        self.plan.failed(self.role, 7, sent_at);
        self.next_at = self.now.after(self.plan.pause(self.pause, self.now));
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }

    /// Asserts that a send which is decided now, as late as it may be, keeps the bound.
    fn check(&self) {
        let Some(left_at) = self.left_at.filter(|_| !self.knows) else { return };
        if self.freshness.may_lag(self.terms, self.now) {
            return;
        }
        let arrives = self.freshness.valid_until(self.terms).after(TRANSIT);
        let in_contact_at = self.impaired_at.after(self.terms.contact);
        let allowed = left_at.after(self.terms.bound).max(in_contact_at);
        let late = allowed.until(arrives);
        assert!(late.is_zero(), "seed {}: {late:?} late at {:?}", self.seed, self.now);
    }

    fn disturb(&mut self) {
        match self.random.random_range(0..6) {
            0 => self.store = Store::Silent,
            1 => self.store = Store::Refuses,
            2 => self.store = Store::Slow,
            3 => {
                let span = Duration::from_millis(self.random.random_range(200..6_000));
                self.held_up_until = self.now.after(span);
            }
            4 => (self.left_at, self.knows) = (Some(self.now), false),
            _ => self.store = Store::Answers,
        }
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.now.after(span);
        while !end.passed(self.now) {
            self.step();
        }
    }
}

#[test]
fn leaving_upstream_gets_nothing_past_the_bound_whatever_fails() {
    for seed in 0..600 {
        let role = [Role::Alone, Role::Follower, Role::Reader(3)][seed as usize % 3];
        let mut world = World::new(role, TERMS[seed as usize / 3 % 3], seed);
        for _ in 0..120 {
            let span = Duration::from_millis(world.random.random_range(50..2_500));
            world.run_for(span);
            world.disturb();
        }
    }
}

/// Guards against refusing requests in every outage of the store, which no promise asks for.
#[test]
fn view_serves_through_an_outage() {
    for (terms, role) in [(TERMS[0], Role::Alone), (TERMS[1], Role::Follower)] {
        for store in [Store::Silent, Store::Refuses, Store::Slow] {
            let mut world = World::new(role, terms, 1);
            world.run_for(Duration::from_secs(3));
            world.store = store;
            for _ in 0..1_200 {
                world.step();
                assert!(!world.freshness.may_lag(terms, world.now), "at {:?}", world.now);
            }
        }
    }
}

/// Guards against keeping upstreams that are gone since this VM alone saw nothing.
#[test]
fn kept_until_only_after_reads_that_failed() {
    let mut freshness = Freshness::default();
    assert_eq!(freshness.kept_until(millis(0), TERMS[0]), None, "nothing was read before");
    freshness.record_view(NOW);
    assert_eq!(freshness.kept_until(millis(2_600), TERMS[0]), None, "the store was there");
    freshness.record_sent(millis(900));
    freshness.record_failed(millis(902));
    assert_eq!(freshness.kept_until(millis(1_400), TERMS[0]), None, "entries outlast this");
    assert_eq!(
        freshness.kept_until(millis(2_100), TERMS[0]).map(|until| until.after(TRANSIT)),
        Some(millis(3_900)),
        "from then on it may be in contact"
    );
    freshness.record_sent(millis(5_400));
    freshness.record_failed(millis(5_402));
    assert_eq!(freshness.kept_until(millis(5_500), TERMS[0]), Some(millis(7_700)));
    freshness.record_view(millis(5_500));
    assert_eq!(freshness.kept_until(millis(8_000), TERMS[0]), None, "a view came since");
}
