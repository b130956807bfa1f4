//! `parsleybeam demo`: runs a complete fleet in one process.

mod check;
mod client;
mod fleet;

use gumdrop::Options;
use parsleybeam::id::Vm;
use parsleybeam::settings::{Format, Level, Log};

use super::Failure;
use fleet::Fleet;

/// Starts a fleet in this process, with stand-ins for the platform and the engines,
/// on free loopback ports, and prints commands to try.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "test each feature once over HTTP and exit")]
    check: bool,
    #[options(help = "print the log of the fleet", no_short)]
    verbose: bool,
}

/// Runs the demo until Ctrl-C or, with `--check`, until the checks have ended.
pub async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let level = if arguments.verbose { Level::Info } else { Level::Error };
    let fleet = Fleet::start(Log { format: Format::Terminal, level, ..Log::default() }).await?;
    let outcome = if arguments.check {
        check::run(&fleet).await
    } else {
        print_usage(&fleet);
        tokio::signal::ctrl_c().await.map_err(|error| Failure::Refused(error.to_string()))
    };
    fleet.stop().await;
    outcome
}

fn print_usage(fleet: &Fleet) {
    for (vm, address) in fleet.callers() {
        let vm: &Vm = vm;
        println!("callers    {vm}  http://{address}");
    }
    println!("operators  http://{}", fleet.operator());
    println!("key        {}", fleet::KEY);
    println!("credential {}", fleet::CREDENTIAL);
    println!();
    println!("try a request:");
    println!(
        "  curl -H 'Authorization: Bearer {}' -H 'Content-Type: application/json' \\\n    \
         -d '{{\"model\": \"{}\", \"prompt\": \"grease reading 3 mm\", \"max_tokens\": 16}}' \\\n    \
         http://{}/v1/completions",
        fleet::KEY,
        fleet::MODEL,
        fleet.caller(),
    );
    println!("see the resources:");
    println!(
        "  parsleybeam get routes --server {} --credential {}",
        fleet.operator(),
        fleet::CREDENTIAL
    );
    println!();
    println!("Press Ctrl-C to stop.");
}
