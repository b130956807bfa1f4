//! Randomised simulations of membership, contact and configuration replication.

use parsleybeam::member::simulate::{Options, Report, Slope, simulate_with, slope};

/// Number of steps in each run; one step is 50 ms of virtual time.
const STEPS: u32 = 4_000;

fn run(seed: u64, options: Options) -> Report {
    simulate_with(seed, STEPS, options).unwrap_or_else(|violation| panic!("{violation}"))
}

#[test]
fn simulate_single_faults() {
    for seed in 1..=6 {
        let report = run(seed, Options { correlated_faults: false, ..Options::default() });
        println!("{seed}: {report:?}");
        assert!(report.accepted > 0, "seed {seed} accepted nothing");
        assert!(
            report.in_contact > report.out_of_contact,
            "seed {seed}: VMs were mostly out of contact"
        );
    }
}

#[test]
fn simulate_storms() {
    // The first seeds are ones at which a run fails if a protective check is removed;
    // docs/design/contact.md lists them.
    for seed in [9, 1, 2, 3, 4, 5] {
        let report = run(seed, Options::default());
        println!("{seed}: {report:?}");
        assert!(report.accepted > 0, "seed {seed} accepted nothing");
    }
}

#[test]
fn simulate_members_beyond_hubs() {
    // With six VMs per data centre, half of them aren't hubs.
    for seed in 1..=2 {
        let report = run(seed, Options { vms_per_centre: 6, ..Options::default() });
        assert!(report.accepted > 0, "seed {seed} accepted nothing");
    }
}

#[test]
fn simulate_without_vm_list() {
    for seed in 1..=2 {
        let report = run(seed, Options { vm_list: false, ..Options::default() });
        assert!(report.accepted > 0, "seed {seed} accepted nothing");
    }
}

#[test]
fn simulate_without_faults() {
    let report = run(1, Options { faults_per_mille: 0, ..Options::default() });
    println!("{report:?}");
    assert_eq!(report.stored + report.refused, 0);
    assert!(report.longest_spread_ms <= 1_000, "replication without faults must take at most 1 s");
}

/// Maximum control traffic of a node, in bytes per second.
const MAX_BYTES: f64 = 5_000.0;

fn print(slope: &Slope) {
    println!("{slope:?}");
}

#[test]
fn slope_small_fleets() {
    for members in [9, 50] {
        for outage in [false, true] {
            let slope = slope(1, members, outage);
            print(&slope);
            assert!(slope.most_bytes <= MAX_BYTES, "{members} members, outage {outage}");
            assert_eq!(slope.out_of_contact, 0.0, "{members} members, outage {outage}");
        }
    }
}
