//! The verbs of the operator's command, a file each.

mod check;
mod demo;
mod failure;

pub use failure::Failure;

use gumdrop::Options;

/// Operates a parsleybeam fleet.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Prints how to use the command.
    #[options(help = "print this help")]
    help: bool,
    /// Prints the version.
    #[options(help = "print the version", no_short)]
    version: bool,
    /// What to do.
    #[options(command)]
    command: Option<Command>,
}

/// The verbs.
#[derive(Debug, Options)]
enum Command {
    /// `check`
    #[options(help = "check a settings file")]
    Check(check::Arguments),
    /// `demo`
    #[options(help = "start a whole fleet in this process, on loopback")]
    Demo(demo::Arguments),
}

/// Does what the command line asks for.
pub async fn run(arguments: Arguments) -> Result<(), Failure> {
    if arguments.version {
        println!("parsleybeam {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    match arguments.command {
        Some(Command::Check(arguments)) => check::run(&arguments),
        Some(Command::Demo(arguments)) => demo::run(&arguments).await,
        None => Err(Failure::Input("name a command; see parsleybeam --help".into())),
    }
}
