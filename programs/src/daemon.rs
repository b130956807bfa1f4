//! Arguments, signal handling and exit codes shared by the daemons.

use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use parsleybeam::error::{Error, Kind};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for invalid settings.
const BAD_SETTINGS: u8 = 2;

/// Runs one VM of a parsleybeam fleet. SIGTERM or SIGINT stops it gracefully.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    /// Path of the settings file.
    #[options(free, required, help = "settings file, JSON with comments (docs/SETTINGS.md)")]
    pub settings: PathBuf,
}

/// Runs a daemon until `main` returns and gives the process's exit code.
pub fn run<F>(program: &str, main: F) -> ExitCode
where
    F: Future<Output = Result<(), Error>>,
{
    match actix_rt::System::new().block_on(main) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error}");
            match error.kind {
                Kind::Settings => ExitCode::from(BAD_SETTINGS),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

/// Waits for SIGTERM or SIGINT. Calls `reload` on each SIGHUP until then.
pub async fn wait_for_stop<R>(reload: R)
where
    R: Fn(),
{
    let mut terminate = signal(SignalKind::terminate()).expect("signal handlers can be installed");
    let mut interrupt = signal(SignalKind::interrupt()).expect("signal handlers can be installed");
    let mut hangup = signal(SignalKind::hangup()).expect("signal handlers can be installed");
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = hangup.recv() => reload(),
        }
    }
}
