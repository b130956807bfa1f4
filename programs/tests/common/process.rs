//! One process: started, signalled and ended by its own id.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use serde_json::Value;

use super::eventually;

/// Number of the log event that tells a daemon's addresses.
const STARTED: u64 = 101;

/// A running process; dropping it kills it.
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program of this workspace; what it prints goes to a file.
    pub fn start(folder: &Path, name: &str, program: &str, arguments: &[&str]) -> Self {
        let log = folder.join(format!("{name}.log"));
        let output = File::create(&log).expect("a log file");
        let child = Command::new(path_of(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("a second handle"))
            .stderr(output)
            .spawn()
            .unwrap_or_else(|error| panic!("{program}: {error}"));
        Self { name: name.into(), child, log }
    }

    /// What it has printed so far.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
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
        if let Ok(Some(status)) = self.child.try_wait() {
            panic!("{} ended with {status}:\n{}", self.name, self.output());
        }
    }

    /// Whether it still runs.
    pub fn alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops its clock until `thaw`.
    pub fn freeze(&self) {
        self.signal("STOP");
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal("CONT");
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Waits for the end after `terminate`.
    pub async fn ended(&mut self) -> ExitStatus {
        let what = format!("{} ends", self.name);
        eventually(&what, async || self.child.try_wait().ok().flatten()).await.0
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("sh").args(["-c", "kill -s \"$0\" \"$1\"", signal, &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "signal {signal} to {}", self.name);
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
        self.kill();
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
