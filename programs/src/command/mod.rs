//! Subcommands of `parsleybeam`, one module each.

mod apply;
mod check;
mod delete;
mod demo;
mod describe;
mod entries;
mod explain;
mod failure;
mod get;
mod jobs;
mod print;
mod remote;
mod status;
mod watch;

pub use failure::Failure;

use gumdrop::Options;
use parsleybeam::config::resource::Kind;

/// Operates a parsleybeam fleet.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Prints the usage text.
    #[options(help = "print this help")]
    help: bool,
    /// Prints the version of the program.
    #[options(help = "print the version", no_short)]
    version: bool,
    /// The subcommand and its arguments.
    #[options(command)]
    command: Option<Command>,
}

/// The subcommands.
#[derive(Debug, Options)]
enum Command {
    /// `apply`
    #[options(help = "write resources from a file")]
    Apply(apply::Arguments),
    /// `get`
    #[options(help = "list resources, or read one")]
    Get(get::Arguments),
    /// `describe`
    #[options(help = "show one resource and where it is in force")]
    Describe(describe::Arguments),
    /// `watch`
    #[options(help = "print changes as they happen")]
    Watch(watch::Arguments),
    /// `delete`
    #[options(help = "delete a resource")]
    Delete(delete::Arguments),
    /// `status`
    #[options(help = "show the fleet as one VM sees it")]
    Status(status::Arguments),
    /// `entries`
    #[options(help = "show which addresses callers are given")]
    Entries(entries::Arguments),
    /// `check`
    #[options(help = "check a settings file")]
    Check(check::Arguments),
    /// `explain`
    #[options(help = "print what saved logs say about a request or job")]
    Explain(explain::Arguments),
    /// `demo`
    #[options(help = "start a complete fleet in this process, on loopback")]
    Demo(demo::Arguments),
    /// `jobs`
    #[options(help = "submit, follow, read and cancel batch jobs")]
    Jobs(jobs::Arguments),
}

/// Runs the subcommand given on the command line.
pub async fn run(arguments: Arguments) -> Result<(), Failure> {
    if arguments.version {
        println!("parsleybeam {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    match arguments.command {
        Some(Command::Apply(arguments)) => apply::run(&arguments).await,
        Some(Command::Get(arguments)) => get::run(&arguments).await,
        Some(Command::Describe(arguments)) => describe::run(&arguments).await,
        Some(Command::Watch(arguments)) => watch::run(&arguments).await,
        Some(Command::Delete(arguments)) => delete::run(&arguments).await,
        Some(Command::Status(arguments)) => status::run(&arguments).await,
        Some(Command::Entries(arguments)) => entries::run(&arguments).await,
        Some(Command::Check(arguments)) => check::run(&arguments),
        Some(Command::Explain(arguments)) => explain::run(&arguments),
        Some(Command::Demo(arguments)) => demo::run(&arguments).await,
        Some(Command::Jobs(arguments)) => jobs::run(arguments).await,
        None => Err(Failure::Input("a command is required; see parsleybeam --help".into())),
    }
}

/// Parses the name of a resource kind, in the singular or plural.
fn parse_kind(text: &str) -> Result<Kind, Failure> {
    let singular = text.strip_suffix('s').unwrap_or(text);
    let known = Kind::ALL.into_iter().find(|kind| kind.to_string() == singular);
    known.ok_or_else(|| Failure::Input(format!("unknown resource kind {text:?}")))
}

/// Path that lists the resources of a kind.
fn list_path(kind: Kind) -> String {
    format!("/api/v1/{kind}s")
}

/// Path of one resource.
fn path(kind: Kind, name: &str) -> String {
    format!("{}/{name}", list_path(kind))
}
