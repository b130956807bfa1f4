//! Runs one stand-in as a process until a signal terminates it.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

use gumdrop::Options;
use standins::{Handle, engine, kv, plain, server, vms, weights};

/// Runs one stand-in and prints `listening ADDRESS` once it answers.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// address to listen at (default: a free loopback port)
    #[options(no_short, meta = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// which stand-in to run
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// the key-value service
    Kv(Kv),
    /// the list of VMs
    Vms(Vms),
    /// the weight store
    Weights(Weights),
    /// a model engine
    Engine(Engine),
    /// a plain service
    Plain(Plain),
}

#[derive(Debug, Options)]
struct Kv {
    /// print this help
    help: bool,
    /// address to listen at
    #[options(no_short, meta = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// milliseconds between progress notices
    #[options(no_short, default = "500")]
    progress_ms: u64,
}

#[derive(Debug, Options)]
struct Vms {
    /// print this help
    help: bool,
    /// address to listen at
    #[options(no_short, meta = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// milliseconds until a change shows
    #[options(no_short, default = "0")]
    lag_ms: u64,
}

#[derive(Debug, Options)]
struct Weights {
    /// print this help
    help: bool,
    /// address to listen at
    #[options(no_short, meta = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// reads a second
    #[options(no_short, default = "2")]
    rate: f64,
    /// bytes of each answer
    #[options(no_short, default = "1024")]
    bytes: usize,
}

#[derive(Debug, Options)]
struct Engine {
    /// print this help
    help: bool,
    /// address to listen at
    #[options(no_short, meta = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// requests that run at once without slowing
    #[options(no_short, default = "8")]
    capacity: u32,
    /// microseconds to the first token
    #[options(no_short, default = "4000")]
    first_token_us: u64,
    /// microseconds between tokens
    #[options(no_short, default = "1000")]
    token_us: u64,
    /// refuse orders with an old fencing number
    #[options(no_short)]
    fenced: bool,
    /// a model that is loaded at the start (repeatable)
    #[options(no_short, meta = "NAME")]
    model: Vec<String>,
    /// a prompt with this text crashes the engine
    #[options(no_short, default = "POISON")]
    poison: String,
}

#[derive(Debug, Options)]
struct Plain {
    /// print this help
    help: bool,
    /// address to listen at
    #[options(no_short, meta = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// milliseconds that a call takes
    #[options(no_short, default = "1")]
    work_ms: u64,
}

fn start(command: Command, listen: Option<SocketAddr>) -> std::io::Result<Handle> {
    let listen_address =
        |subcommand: Option<SocketAddr>| subcommand.or(listen).unwrap_or_else(server::any_port);
    match command {
        Command::Kv(options) => kv::start(kv::Options {
            listen: listen_address(options.listen),
            progress_ms: options.progress_ms,
        }),
        Command::Vms(options) => vms::start(vms::Options {
            listen: listen_address(options.listen),
            lag_ms: options.lag_ms,
        }),
        Command::Weights(options) => weights::start(weights::Options {
            listen: listen_address(options.listen),
            rate: options.rate,
            bytes: options.bytes,
        }),
        Command::Engine(options) => engine::start(engine::Options {
            listen: listen_address(options.listen),
            capacity: options.capacity,
            first_token_us: options.first_token_us,
            token_us: options.token_us,
            fenced: options.fenced,
            models: options.model,
            poison: options.poison,
            process: true,
            ..engine::Options::default()
        }),
        Command::Plain(options) => plain::start(plain::Options {
            listen: listen_address(options.listen),
            work_ms: options.work_ms,
            process: true,
        }),
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(command) = arguments.command else {
        eprintln!("standins: name a stand-in; see --help");
        return ExitCode::from(2);
    };
    match start(command, arguments.listen) {
        Ok(mut handle) => {
            println!("listening {}", handle.address);
            let _ = std::io::stdout().flush();
            handle.wait();
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("standins: {error}");
            ExitCode::FAILURE
        }
    }
}
