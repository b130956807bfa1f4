//! Programs that the soak starts, stops, pauses and kills, each by its own id.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// One program, which may run or not.
pub struct Process {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// A program that isn't started yet.
    pub fn new(program: PathBuf, settings: PathBuf, log: PathBuf) -> Self {
        Self { program, settings, log, child: None }
    }

    /// Starts it, unless it runs; its output is appended to its log.
    pub fn start(&mut self) -> io::Result<()> {
        if self.runs() {
            return Ok(());
        }
        let log: File = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let errors = log.try_clone()?;
        let mut command = Command::new(&self.program);
        command.arg(&self.settings).stdin(Stdio::null()).stdout(log).stderr(errors);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Whether it was started and has not ended.
    pub fn runs(&mut self) -> bool {
        let Some(child) = &mut self.child else { return false };
        matches!(child.try_wait(), Ok(None))
    }

    /// Sends it a signal, if it runs.
    pub fn signal(&mut self, signal: Signal) {
        if !self.runs() {
            return;
        }
        if let Some(child) = &self.child {
            // It may end by itself just now.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills it and waits until it has ended.
    pub fn end(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        // Both fail only for a process that has ended already.
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}
