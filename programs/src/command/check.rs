//! `parsleybeam check`: reads a settings file as the daemons do.

use std::path::PathBuf;

use gumdrop::Options;
use parsleybeam::settings::{self, Entry, Serve, Standby, Store};

use super::Failure;

/// Reads a settings file as the daemons do and says what is wrong with it.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the settings file")]
    file: PathBuf,
    #[options(
        help = "whose settings: entry, store, serve or standby (default entry)",
        meta = "ROLE"
    )]
    role: Option<String>,
}

/// Checks one file.
pub fn run(arguments: &Arguments) -> Result<(), Failure> {
    match arguments.role.as_deref().unwrap_or("entry") {
        "entry" => settings::load::<Entry>(&arguments.file).map(drop)?,
        "store" => settings::load::<Store>(&arguments.file).map(drop)?,
        "serve" => settings::load::<Serve>(&arguments.file).map(drop)?,
        "standby" => settings::load::<Standby>(&arguments.file).map(drop)?,
        other => {
            return Err(Failure::Input(format!(
                "--role: {other:?} is not entry, store, serve or standby"
            )));
        }
    }
    println!("{}: good", arguments.file.display());
    Ok(())
}
