//! `parsleybeam check`: validates a settings file.

use std::path::PathBuf;

use gumdrop::Options;
use parsleybeam::settings::{self, Entry, Serve, Standby, Store};

use super::Failure;

/// Validates a settings file with the daemons' own checks and reports the first error.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "settings file to check")]
    file: PathBuf,
    #[options(
        help = "daemon that the settings are for: entry, store, serve or standby (default entry)",
        meta = "ROLE"
    )]
    role: Option<String>,
}

/// Loads the file as the daemon of the given role does at start.
pub fn run(arguments: &Arguments) -> Result<(), Failure> {
    match arguments.role.as_deref().unwrap_or("entry") {
        "entry" => settings::load::<Entry>(&arguments.file).map(drop)?,
        "store" => settings::load::<Store>(&arguments.file).map(drop)?,
        "serve" => settings::load::<Serve>(&arguments.file).map(drop)?,
        "standby" => settings::load::<Standby>(&arguments.file).map(drop)?,
        other => {
            return Err(Failure::Input(format!(
                "--role: {other:?} is not one of entry, store, serve, standby"
            )));
        }
    }
    println!("{}: good", arguments.file.display());
    Ok(())
}
