//! Load and fault testing tool: experiments, randomized runs and the soak test.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::{Options, ParsingStyle};
use standins::bench::experiment;
use standins::bench::{Report, Setup, Site, plot, random, slopes};
use standins::soak;

/// Name of the entry VM's program, which is in the same folder as this one.
const SERVE_PROGRAM: &str = "parsleybeam-serve";
/// Exit code for invalid arguments.
const BAD_ARGUMENTS: u8 = 2;

/// Measures parsleybeam against its promises.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// name the experiments and the random runs
    List(List),
    /// run an experiment; exit 1 when a target isn't kept
    Run(Run),
    /// make a random run; exit 1 when an invariant breaks
    Random(Random),
    /// print what a node spends on control as the fleet grows; exit 1 when a
    /// bound isn't kept
    Slopes(Slopes),
    /// run the real programs as processes under faults; exit 1 when a promise breaks
    Soak(Soak),
}

#[derive(Debug, Options)]
struct List {
    /// print this help
    help: bool,
}

#[derive(Debug, Options)]
struct Run {
    /// print this help
    help: bool,
    #[options(free, required, help = "experiment")]
    name: String,
    /// seed of all that is drawn
    #[options(no_short, default = "1")]
    seed: u64,
    /// length of the load
    #[options(no_short, default = "60")]
    seconds: u64,
    /// output: json or table
    #[options(short = "o", default = "table")]
    output: String,
    /// site whose sizes are used: limpa-norte or jadranka
    #[options(no_short, default = "limpa-norte")]
    site: String,
    /// write the curves as SVG
    #[options(no_short, meta = "FILE")]
    plot: Option<PathBuf>,
}

#[derive(Debug, Options)]
struct Random {
    /// print this help
    help: bool,
    #[options(free, required, help = "random run")]
    name: String,
    /// seed of all that is drawn
    #[options(no_short, default = "1")]
    seed: u64,
    /// number of steps
    #[options(no_short, default = "100000")]
    steps: u64,
}

#[derive(Debug, Options)]
struct Slopes {
    /// print this help
    help: bool,
    /// seed of all that is drawn
    #[options(no_short, default = "1")]
    seed: u64,
}

#[derive(Debug, Options)]
struct Soak {
    /// print this help
    help: bool,
    /// seed of the faults
    #[options(no_short, default = "1")]
    seed: u64,
    /// seconds for which faults strike
    #[options(no_short, long = "for", default = "20")]
    seconds: u64,
    /// entry VMs
    #[options(no_short, default = "4")]
    vms: usize,
    /// replicas
    #[options(no_short, default = "5")]
    replicas: usize,
    /// folder for settings and logs; made new if not named
    #[options(no_short, meta = "DIR")]
    folder: Option<PathBuf>,
}

fn main() -> ExitCode {
    let raw_arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments = match Arguments::parse_args(&raw_arguments, ParsingStyle::AllOptions) {
        Ok(arguments) => arguments,
        Err(error) => return usage_error(&format!("{error}; see parsleybeam-bench --help")),
    };
    if arguments.help_requested() {
        println!("{}", help(&arguments));
        return ExitCode::SUCCESS;
    }
    match arguments.command {
        Some(Command::List(_)) => list(),
        Some(Command::Run(options)) => run(&options),
        Some(Command::Random(options)) => random_run(&options),
        Some(Command::Slopes(options)) => print_slopes(&options),
        Some(Command::Soak(options)) => run_soak(&options),
        None => usage_error("a command is required; see parsleybeam-bench --help"),
    }
}

fn help(arguments: &Arguments) -> String {
    let mut text = format!("Usage: parsleybeam-bench [OPTIONS]\n\n{}", arguments.self_usage());
    if let Some(commands) = arguments.self_command_list() {
        text.push_str("\n\nCommands:\n");
        text.push_str(commands);
    }
    text
}

fn usage_error(reason: &str) -> ExitCode {
    eprintln!("parsleybeam-bench: {reason}");
    ExitCode::from(BAD_ARGUMENTS)
}

fn list() -> ExitCode {
    for experiment in experiment::ALL {
        println!("run {:<12} {}", experiment.name, experiment.about);
    }
    for (name, _) in random::RUNS {
        println!("random {name}");
    }
    ExitCode::SUCCESS
}

fn run(options: &Run) -> ExitCode {
    let Some(experiment) = experiment::find(&options.name) else {
        return usage_error(&format!("no experiment {}; see parsleybeam-bench list", options.name));
    };
    let site: Site = match options.site.parse() {
        Ok(site) => site,
        Err(error) => return usage_error(&format!("{error}")),
    };
    let setup = Setup { site, seed: options.seed, seconds: options.seconds };
    let outcome = (experiment.run)(&setup);
    if let Some(path) = &options.plot
        && let Err(error) = plot::write(path, experiment.name, &outcome)
    {
        return usage_error(&format!("{}: {error}", path.display()));
    }
    let report = Report {
        name: experiment.name.into(),
        site: setup.site.name.into(),
        seed: setup.seed,
        seconds: setup.seconds,
        figures: outcome.figures,
    };
    match options.output.as_str() {
        "json" => println!("{}", serde_json::to_string(&report).unwrap_or_default()),
        _ => print!("{}", report.table()),
    }
    if report.holds() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn random_run(options: &Random) -> ExitCode {
    let Some(run) = random::find(&options.name) else {
        return usage_error(&format!("no random run {}; see parsleybeam-bench list", options.name));
    };
    println!("seed {} steps {}", options.seed, options.steps);
    match run(options.seed, options.steps) {
        Ok(summary) => {
            println!("{summary}");
            ExitCode::SUCCESS
        }
        Err(history) => {
            println!("{history}");
            ExitCode::FAILURE
        }
    }
}

fn print_slopes(options: &Slopes) -> ExitCode {
    let (text, holds) = slopes::run(options.seed);
    print!("{text}");
    if holds { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn run_soak(options: &Soak) -> ExitCode {
    if options.vms == 0 || options.replicas == 0 {
        return usage_error("--vms and --replicas must be 1 or more");
    }
    let folder_result = options.folder.clone().map_or_else(new_folder, Ok);
    let program = std::env::current_exe().map(|path| path.with_file_name(SERVE_PROGRAM));
    let (folder, program) = match (folder_result, program) {
        (Ok(folder), Ok(program)) => (folder, program),
        (Err(error), _) | (_, Err(error)) => return usage_error(&error.to_string()),
    };
    if !program.exists() {
        return usage_error(&format!("{} is missing; build the workspace", program.display()));
    }
    let (seed, duration) = (options.seed, Duration::from_secs(options.seconds));
    let (vms, replicas) = (options.vms, options.replicas);
    let setup = soak::Options { seed, duration, vms, replicas, program, folder: folder.clone() };
    let report = match soak::run(&setup) {
        Ok(report) => report,
        Err(error) => return usage_error(&error.to_string()),
    };
    print!("seed {seed}: {report}");
    if report.violations.is_empty() {
        if options.folder.is_none() {
            // The temporary folder isn't needed after a successful run; failing to remove it does
            // no harm.
            let _ = std::fs::remove_dir_all(&folder);
        }
        return ExitCode::SUCCESS;
    }
    println!("logs: {}", folder.display());
    ExitCode::FAILURE
}

fn new_folder() -> std::io::Result<PathBuf> {
    tempfile::Builder::new().prefix("parsleybeam-soak-").tempdir().map(tempfile::TempDir::keep)
}
