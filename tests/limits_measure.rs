//! Simulated measurements against baselines: requests refused although within their rate, fairness
//! of waiting times, and capacity during a rollout.

use parsleybeam::admission::queue::Policy;
use parsleybeam::order::Limits;
use parsleybeam::simulate::refusals::Scheme;
use parsleybeam::simulate::{latency, refusals, rollout};

const SEED: u64 = 1;

#[test]
fn refusals_stay_below_target() {
    let run = |scheme, crash| refusals::simulate(scheme, SEED, 300, crash);
    let shares = run(Scheme::Shares, false);
    println!("300 s, seed {SEED}, no fault");
    println!("shares {shares:?} {:.3} %", shares.percent());
    for scheme in [Scheme::Equal, Scheme::Owner] {
        let outcome = run(scheme, false);
        println!("{scheme:?} {outcome:?} {:.3} %", outcome.percent());
    }
    println!("the same with the end of one VM");
    for scheme in [Scheme::Shares, Scheme::Equal, Scheme::Owner] {
        let outcome = run(scheme, true);
        println!("{scheme:?} {outcome:?} {:.3} %", outcome.percent());
    }
    assert!(shares.percent() < 0.1, "{shares:?}");
}

#[test]
fn refusals_stay_far_below_equal_split() {
    let run = |scheme| refusals::simulate(scheme, SEED, 60, false);
    let (shares, equal) = (run(Scheme::Shares), run(Scheme::Equal));
    assert!(shares.percent() * 10.0 < equal.percent(), "{shares:?}, {equal:?}");
}

#[test]
fn waits_stay_fair() {
    let fair = latency::simulate(Policy::Fair, SEED, 300);
    let arrival = latency::simulate(Policy::Arrival, SEED, 300);
    println!("fair {fair:?} worst to median {:.2}", fair.worst_to_median());
    println!("arrival {arrival:?} worst to median {:.2}", arrival.worst_to_median());
    assert!(fair.worst_to_median() < 1.2, "{fair:?}");
    assert!(fair.median_ms() < arrival.median_ms(), "{fair:?}, {arrival:?}");
}

#[test]
fn rollout_keeps_capacity() {
    let capped = rollout::simulate(Limits::default());
    let free = rollout::simulate(Limits { max_changing: 1.0, max_loads: 10 });
    println!("capped {capped:?}");
    println!("free {free:?}");
    assert!(capped.fewest >= 8, "{capped:?}");
}
