//! Child processes that a test or the soak starts, signals and kills by process id.

use std::ffi::OsString;
use std::fs::OpenOptions;
use std::io;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

pub use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

/// A program and, while it runs, its child process; dropping it kills the child.
pub struct Process {
    program: PathBuf,
    arguments: Vec<OsString>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Describes a program without starting it; stdout and stderr go to the file `log`.
    pub fn new<A>(program: PathBuf, arguments: A, log: PathBuf) -> Self
    where
        A: IntoIterator,
        A::Item: Into<OsString>,
    {
        let arguments = arguments.into_iter().map(Into::into).collect();
        Self { program, arguments, log, child: None }
    }

    /// Starts the program unless it is running; its output is appended to the log file.
    pub fn start(&mut self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let stderr = log.try_clone()?;
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).stdin(Stdio::null()).stdout(log).stderr(stderr);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Returns everything printed so far.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the exit status; `None` while it runs and after `kill`.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    /// Returns whether it was started and hasn't exited.
    pub fn is_running(&mut self) -> bool {
        self.child.is_some() && self.exit_status().is_none()
    }

    /// Sends a signal; fails if the program isn't running.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        let running = self.is_running();
        let child = self.child.as_ref().filter(|_| running).ok_or(io::ErrorKind::NotFound)?;
        Ok(kill(Pid::from_raw(child.id() as i32), signal)?)
    }

    /// Kills the child process and waits until it has exited.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        // Both calls fail only if the process has exited already.
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
