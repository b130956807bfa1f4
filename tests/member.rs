//! Random runs of membership, contact and the spread of the configuration.

use parsleybeam::member::simulate::{Options, simulate, simulate_with};

/// Steps of 50 ms: five minutes of virtual time.
const STEPS: u32 = 6_000;

#[test]
fn simulate_fixed_seeds() {
    for seed in 1..=8 {
        let report = simulate(seed, STEPS).unwrap_or_else(|violation| panic!("{violation}"));
        println!("{seed}: {report:?}");
        assert!(report.accepted > 0, "seed {seed} accepted nothing");
        assert!(report.in_contact > report.out_of_contact, "seed {seed} hardly served");
    }
}

#[test]
fn simulate_without_faults() {
    let options = Options { faults_per_mille: 0, ..Options::default() };
    let report = simulate_with(1, STEPS, options).unwrap_or_else(|violation| panic!("{violation}"));
    println!("{report:?}");
    assert_eq!(report.stored + report.refused, 0);
}
