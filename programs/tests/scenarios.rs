//! Scenarios that need real processes. Each is a file in `scenarios/`.

mod common;

use common::permit::Permit;
use common::scenario::Runner;

fn run_scenario(name: &str) {
    let _permit = Permit::acquire();
    let system = actix_rt::System::new();
    let mut runner = Runner::default();
    let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    datadriven::walk(&path, |file| {
        file.run(|case| system.block_on(runner.run_directive(case.clone())));
    });
}

macro_rules! scenarios {
    ($($name:ident)*) => {
        $(
            #[test]
            fn $name() {
                run_scenario(stringify!($name));
            }
        )*

        #[test]
        fn scenarios_all_listed() {
            let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
            let files = std::fs::read_dir(folder).expect("a folder").count();
            assert_eq!(files, [$(stringify!($name)),*].len());
        }
    };
}

scenarios! {
    withdrawn_key_idle
    withdrawn_key_stream
    poison_two_engines
    caller_gone
    lost_replies
    frozen_past_lease
    engine_killed_stream
    operators_race
    plain_once
    planned_stop
    store_killed_after_acknowledgement
    entry_killed_batch
    platform_outage
    job_resent
    cancelled_job
    removed_upstream
    other_organisation
}
