//! One process: started, signalled and ended by its own id.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

use serde_json::Value;
use standins::process;

use super::eventually;

/// Number of the log event that tells a daemon's addresses.
const STARTED: u64 = 101;

/// A running process; dropping it kills it.
pub struct Process {
    name: String,
    inner: process::Process,
}

impl Process {
    /// Starts a program of this workspace; what it prints goes to a file.
    pub fn start(folder: &Path, name: &str, program: &str, arguments: &[&str]) -> Self {
        let log = folder.join(format!("{name}.log"));
        // Lines of an earlier process of this name would be taken for its own.
        std::fs::write(&log, "").expect("a log file");
        let mut inner = process::Process::new(path_of(program), arguments, log);
        inner.start().unwrap_or_else(|error| panic!("{program}: {error}"));
        Self { name: name.into(), inner }
    }

    /// What it has printed so far.
    pub fn output(&self) -> String {
        self.inner.output()
    }

    /// Waits for the address that a stand-in prints.
    pub async fn listening(&mut self) -> SocketAddr {
        let what = format!("{} listens", self.name);
        eventually(&what, async || {
            self.check();
            let text = self.output();
            let line = text.lines().find_map(|line| line.strip_prefix("listening "))?;
            line.parse().ok()
        })
        .await
        .0
    }

    /// Waits for a daemon's log line with its addresses.
    pub async fn started(&mut self) -> Value {
        let what = format!("{} starts", self.name);
        eventually(&what, async || {
            self.check();
            let text = self.output();
            let mut lines = text.lines().filter_map(|line| serde_json::from_str(line).ok());
            lines.find(|line: &Value| line["event"] == STARTED)
        })
        .await
        .0
    }

    fn check(&mut self) {
        if let Some(status) = self.inner.exit_status() {
            panic!("{} ended with {status}:\n{}", self.name, self.output());
        }
    }

    /// Whether it still runs.
    pub fn alive(&mut self) -> bool {
        self.inner.is_running()
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        self.inner.kill();
    }

    /// Stops its clock until `thaw`.
    pub fn freeze(&mut self) {
        self.signal(process::Signal::SIGSTOP);
    }

    /// Lets it go on.
    pub fn thaw(&mut self) {
        self.signal(process::Signal::SIGCONT);
    }

    /// Asks for a planned stop.
    pub fn terminate(&mut self) {
        self.signal(process::Signal::SIGTERM);
    }

    fn signal(&mut self, signal: process::Signal) {
        let sent = self.inner.signal(signal);
        sent.unwrap_or_else(|error| panic!("{signal} to {}: {error}", self.name));
    }

    /// Waits for the end after `terminate`.
    pub async fn ended(&mut self) -> ExitStatus {
        let what = format!("{} ends", self.name);
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

/// Lines of each process's log that a failed test prints.
const PRINTED_LINES: usize = 4;

fn path_of(program: &str) -> PathBuf {
    let own = match program {
        "parsleybeam" => env!("CARGO_BIN_EXE_parsleybeam"),
        "parsleybeam-store" => env!("CARGO_BIN_EXE_parsleybeam-store"),
        _ => env!("CARGO_BIN_EXE_parsleybeam-entry"),
    };
    let path = Path::new(own).with_file_name(program);
    assert!(path.exists(), "{} is missing: cargo build --workspace", path.display());
    path
}

/// What a scenario does to a process.
#[derive(Clone, Copy)]
pub enum Signal {
    Kill,
    Freeze,
    Thaw,
    Stop,
}

impl Signal {
    /// Sends it.
    pub fn send(self, process: &mut Process) {
        match self {
            Signal::Kill => process.kill(),
            Signal::Freeze => process.freeze(),
            Signal::Thaw => process.thaw(),
            Signal::Stop => process.terminate(),
        }
    }
}
