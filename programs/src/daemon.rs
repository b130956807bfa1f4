//! What the daemons have in common: arguments, signals, exit codes.

use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use parsleybeam::error::{Error, Kind};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for wrong settings.
const BAD_SETTINGS: u8 = 2;

/// Runs one VM of a parsleybeam fleet until SIGTERM, which is a planned stop.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    /// The settings file.
    #[options(free, required, help = "settings file, JSON with comments (docs/SETTINGS.md)")]
    pub settings: PathBuf,
}

/// Runs a daemon to its end.
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

/// Waits for SIGTERM or SIGINT; calls `reload` at each SIGHUP meanwhile.
pub async fn until_stopped_or<R>(reload: R)
where
    R: Fn(),
{
    let mut terminate = signal(SignalKind::terminate()).expect("signals can be watched");
    let mut interrupt = signal(SignalKind::interrupt()).expect("signals can be watched");
    let mut hangup = signal(SignalKind::hangup()).expect("signals can be watched");
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = hangup.recv() => reload(),
        }
    }
}
