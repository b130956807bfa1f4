//! `parsleybeam explain`: extracts the log lines of a request or job.

use std::path::PathBuf;

use gumdrop::Options;
use parsleybeam::log::timeline;

use super::Failure;

/// Prints the lines of saved logs, from any VMs, that concern one request, job or
/// item, in order of time, with what held for its upstreams: cold times, quotas and
/// evacuations.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "identifier of the request, job or item")]
    id: String,
    #[options(free, help = "log files, from any VMs")]
    files: Vec<PathBuf>,
}

/// Prints the matching lines. Fails if there are none.
pub fn run(arguments: &Arguments) -> Result<(), Failure> {
    let mut logs = String::new();
    for file in &arguments.files {
        let text = std::fs::read(file)
            .map_err(|error| Failure::Input(format!("{}: {error}", file.display())))?;
        logs += &String::from_utf8_lossy(&text);
        logs.push('\n');
    }
    let lines = timeline::build(logs.lines(), &arguments.id);
    if lines.is_empty() {
        return Err(Failure::Input(format!("no log line mentions {}", arguments.id)));
    }
    lines.iter().for_each(|line| println!("{line}"));
    Ok(())
}
