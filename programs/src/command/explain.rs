//! `parsleybeam explain`: what the logs say about a request or job.

use std::path::PathBuf;

use gumdrop::Options;
use parsleybeam::log::timeline;

use super::Failure;

/// Prints what the saved logs of all VMs say about one request, job or item,
/// in order of time.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "identifier of the request, job or item")]
    id: String,
    #[options(free, help = "files with log lines of any VMs")]
    files: Vec<PathBuf>,
}

/// Tells one story.
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
        return Err(Failure::Input(format!("no line names {}", arguments.id)));
    }
    lines.iter().for_each(|line| println!("{line}"));
    Ok(())
}
