//! Programs that a test or the soak starts, signals and ends, each by its own id.

use std::ffi::OsString;
use std::fs::OpenOptions;
use std::io;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

pub use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

/// One program, which may run or not; dropping it kills it.
pub struct Process {
    program: PathBuf,
    arguments: Vec<OsString>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// A program that isn't started yet; what it prints goes to `log`.
    pub fn new<A>(program: PathBuf, arguments: A, log: PathBuf) -> Self
    where
        A: IntoIterator,
        A::Item: Into<OsString>,
    {
        let arguments = arguments.into_iter().map(Into::into).collect();
        Self { program, arguments, log, child: None }
    }

    /// Starts it, unless it runs; its output is appended to its log.
    pub fn start(&mut self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let errors = log.try_clone()?;
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).stdin(Stdio::null()).stdout(log).stderr(errors);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// What it has printed so far.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// How it ended; none while it runs, and after it was killed here.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    /// Whether it was started and has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.is_some() && self.exit_status().is_none()
    }

    /// Sends it a signal; an error if it doesn't run.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        let runs = self.is_running();
        let child = self.child.as_ref().filter(|_| runs).ok_or(io::ErrorKind::NotFound)?;
        Ok(kill(Pid::from_raw(child.id() as i32), signal)?)
    }

    /// Kills it and waits until it has ended.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        // Both fail only for a process that has ended already.
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
