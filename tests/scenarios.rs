//! Runs the scenario files in `scenarios/` in virtual time.

mod scenario;

use scenario::Scenario;

fn run_scenario(name: &str) {
    let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let mut scenario = Scenario::default();
    datadriven::walk(&path, |file| file.run(|case| scenario.run_command(case.clone())));
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
            let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
            let files = std::fs::read_dir(directory).expect("read the scenario directory").count();
            assert_eq!(files, [$(stringify!($name)),*].len());
        }
    };
}

scenarios! {
    rate_across_vms
    rate_paused_holder
    rate_cut_and_restarted
    rate_platform_outage
}
