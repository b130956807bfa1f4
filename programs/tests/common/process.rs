//! A child process, signalled and killed by its own process id.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

use serde_json::Value;
use standins::process;

use super::eventually;

/// Number of the log event that carries a daemon's addresses.
const STARTED: u64 = 101;

/// A running process. Dropping it kills the process; if the test is failing, the end of
/// its output is printed.
pub struct Process {
    name: String,
    inner: process::Process,
}

impl Process {
    /// Starts a program of this workspace with its output written to a file.
    pub fn start(folder: &Path, name: &str, program: &str, arguments: &[&str]) -> Self {
        let log = folder.join(format!("{name}.log"));
        // Lines left by an earlier process of this name would be taken for this one's.
        std::fs::write(&log, "").expect("a log file");
        let mut inner = process::Process::new(program_path(program), arguments, log);
        inner.start().unwrap_or_else(|error| panic!("{program}: {error}"));
        Self { name: name.into(), inner }
    }

    /// Returns the output so far.
    pub fn output(&self) -> String {
        self.inner.output()
    }

    /// Waits until a stand-in prints the address that it listens on, and returns it.
    pub async fn wait_listening(&mut self) -> SocketAddr {
        let what = format!("{} is listening", self.name);
        eventually(&what, async || {
            self.assert_running();
            let text = self.output();
            let line = text.lines().find_map(|line| line.strip_prefix("listening "))?;
            line.parse().ok()
        })
        .await
        .0
    }

    /// Waits for the daemon's log line with its addresses, and returns it.
    pub async fn wait_started(&mut self) -> Value {
        let what = format!("{} has started", self.name);
        eventually(&what, async || {
            self.assert_running();
            let text = self.output();
            let mut lines = text.lines().filter_map(|line| serde_json::from_str(line).ok());
            lines.find(|line: &Value| line["event"] == STARTED)
        })
        .await
        .0
    }

    fn assert_running(&mut self) {
        if let Some(status) = self.inner.exit_status() {
            panic!("{} exited with {status}:\n{}", self.name, self.output());
        }
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.inner.is_running()
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.inner.kill();
    }

    /// Suspends the process with SIGSTOP until `resume`.
    pub fn suspend(&mut self) {
        self.signal(process::Signal::SIGSTOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&mut self) {
        self.signal(process::Signal::SIGCONT);
    }

    /// Sends SIGTERM, on which a daemon drains and exits.
    pub fn terminate(&mut self) {
        self.signal(process::Signal::SIGTERM);
    }

    fn signal(&mut self, signal: process::Signal) {
        let sent = self.inner.signal(signal);
        sent.unwrap_or_else(|error| panic!("{signal} to {}: {error}", self.name));
    }

    /// Waits until the process has exited.
    pub async fn wait_exit(&mut self) -> ExitStatus {
        let what = format!("{} exits", self.name);
        eventually(&what, async || self.inner.exit_status()).await.0
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let text = self.output();
            let tail: Vec<_> = text.lines().rev().take(PRINTED_LINES).collect();
            let tail: Vec<_> = tail.into_iter().rev().collect();
            eprintln!("--- {}\n{}", self.name, tail.join("\n"));
        }
    }
}

/// Number of lines of each process's log that a failing test prints.
const PRINTED_LINES: usize = 4;

fn program_path(program: &str) -> PathBuf {
    let binary = match program {
        "parsleybeam" => env!("CARGO_BIN_EXE_parsleybeam"),
        "parsleybeam-store" => env!("CARGO_BIN_EXE_parsleybeam-store"),
        _ => env!("CARGO_BIN_EXE_parsleybeam-entry"),
    };
    let path = Path::new(binary).with_file_name(program);
    assert!(path.exists(), "{} is missing: cargo build --workspace", path.display());
    path
}

/// Signal that a scenario sends to a process.
#[derive(Clone, Copy)]
pub enum Signal {
    Kill,
    Suspend,
    Resume,
    Terminate,
}

impl Signal {
    /// Sends the signal to a process.
    pub fn send(self, process: &mut Process) {
        match self {
            Signal::Kill => process.kill(),
            Signal::Suspend => process.suspend(),
            Signal::Resume => process.resume(),
            Signal::Terminate => process.terminate(),
        }
    }
}
