//! A short soak test of `parsleybeam-serve` processes with a fixed seed.

use std::path::PathBuf;
use std::time::Duration;

use standins::soak::{self, Options, Report};

fn run_seed(seed: u64) -> Report {
    let folder = tempfile::tempdir().expect("a folder");
    let options = Options {
        seed,
        duration: Duration::from_secs(8),
        vms: 3,
        replicas: 4,
        program: PathBuf::from(env!("CARGO_BIN_EXE_parsleybeam-serve")),
        folder: folder.path().to_owned(),
    };
    soak::run(&options).expect("the soak test starts")
}

#[test]
fn soak_short() {
    let report = run_seed(1);
    assert!(report.violations.is_empty(), "{report}");
    assert!(report.faults > 5 && report.served > 20 && report.jobs > 0, "{report}");
}
