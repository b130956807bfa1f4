//! Batch items next to online requests that come in steps, on a fleet whose VMs
//! learn each other's loads with a delay: what callers get, by design.

mod fleet_load;

use fleet_load::{Design, Load, Outcome, play};

/// Seeds of the simulations on the small fleet.
const SEEDS: u64 = 3;

/// Seven VMs before 18 upstreams; three upstreams leave, and what is left is
/// less than the load needs.
const SMALL: Load = Load {
    vms: 7,
    upstreams: 18,
    leaving: 3,
    online_per_s: 90.0,
    online_ms: 755,
    step_ms: (3_400, 2_400),
    relative: (0.383, 1.87),
    jobs_per_s: 1.1,
    items: 10,
    item_ms: 5_200,
    length_ms: 90_000,
};

/// Eighty VMs before 42 upstreams.
const LARGE: Load = Load {
    vms: 80,
    upstreams: 42,
    leaving: 5,
    online_per_s: 195.0,
    online_ms: 720,
    step_ms: (3_800, 2_800),
    relative: (0.377, 1.84),
    jobs_per_s: 2.4,
    items: 10,
    item_ms: 4_940,
    length_ms: 40_000,
};

fn mean(load: Load, design: Design, seeds: u64) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..seeds {
        let outcome = play(load, design, seed);
        sum.online_on_time += outcome.online_on_time / seeds as f64;
        sum.refused += outcome.refused / seeds as f64;
        sum.items_in_time += outcome.items_in_time / seeds as f64;
        sum.preemptions += outcome.preemptions / seeds as f64;
    }
    eprintln!("{design:?} on {} VMs: {sum:?}", load.vms);
    sum
}

#[test]
fn online_and_items_on_small_fleet() {
    let load = Load { leaving: 0, ..SMALL };
    let (former, current) = (mean(load, Design::Due, SEEDS), mean(load, Design::Current, SEEDS));
    assert!(current.online_on_time >= 0.99, "{current:?}");
    assert!(current.refused <= 0.01, "{current:?}");
    assert!(current.items_in_time >= 0.99, "{current:?}");
    assert!(current.preemptions <= former.preemptions / 3.0, "{current:?}, before {former:?}");
}

/// More items come than can run: those that can't end in time must not delay the others.
#[test]
fn items_beyond_capacity_end_in_time() {
    let load = Load { jobs_per_s: 1.3, ..SMALL };
    let (former, current) = (mean(load, Design::Due, SEEDS), mean(load, Design::Current, SEEDS));
    let headroom = mean(load, Design::Headroom, SEEDS);
    assert!(current.items_in_time >= former.items_in_time + 0.02, "{current:?}, before {former:?}");
    assert!(current.items_in_time >= headroom.items_in_time + 0.02, "{current:?}, {headroom:?}");
    assert!(current.online_on_time >= former.online_on_time - 0.005, "{current:?}");
}

#[test]
fn online_and_items_on_large_fleet() {
    let load = Load { length_ms: 25_000, ..LARGE };
    let (former, current) = (mean(load, Design::Reserve, 1), mean(load, Design::Current, 1));
    assert!(current.online_on_time >= former.online_on_time - 0.005, "{current:?}, {former:?}");
    assert!(current.preemptions <= former.preemptions, "{current:?}, before {former:?}");
    assert!(current.items_in_time >= 0.99, "{current:?}");
}
