//! The operator subcommands against an entry VM and a stand-in key-value service.

use std::net::SocketAddr;
use std::process::Output;

use assert_cmd::Command;
use parsleybeam::{log, node::entry, settings};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use standins::{Handle, kv};

const CREDENTIAL: &str = "operator-of-the-test";

struct EntryVm {
    operator: SocketAddr,
    caller: SocketAddr,
    _service: Handle,
}

/// Starts an entry VM on its own thread, where it runs until the test process exits.
fn start_vm() -> EntryVm {
    let service = kv::start(kv::Options::default()).expect("started");
    let digest: String =
        Sha256::digest(CREDENTIAL).iter().map(|byte| format!("{byte:02x}")).collect();
    let text = json!({
        "vm": "entry-1", "data_centre": "porto",
        "caller": "127.0.0.1:0", "operator": "127.0.0.1:0", "peer": "127.0.0.1:0",
        "fleet_secret": "0123456789abcdef", "operators": [digest],
        "platform": { "key_value": [service.address.to_string()] },
    });
    let settings: settings::Entry =
        settings::parse("test", &text.to_string()).expect("valid settings");
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let node = entry::start(settings, log::silent()).await.expect("started");
            sender.send((node.operator, node.caller)).expect("the test is receiving");
            std::future::pending::<()>().await;
        });
    });
    let (operator, caller) = receiver.recv().expect("started");
    EntryVm { operator, caller, _service: service }
}

impl EntryVm {
    fn run(&self, arguments: &[&str]) -> Output {
        run(&self.operator.to_string(), arguments)
    }

    fn json(&self, arguments: &[&str]) -> Value {
        let output = self.run(&[arguments, &["-o", "json"]].concat());
        assert!(output.status.success(), "{arguments:?}: {output:?}");
        serde_json::from_slice(&output.stdout).expect("JSON")
    }

    fn apply(&self, text: &str) -> Output {
        let file = tempfile::NamedTempFile::new().expect("a temporary file");
        std::fs::write(file.path(), text).expect("written");
        self.run(&["apply", "-f", &file.path().display().to_string()])
    }
}

fn run(server: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_parsleybeam"));
    command.env("PARSLEYBEAM_SERVER", server).env("PARSLEYBEAM_CREDENTIAL", CREDENTIAL);
    command.args(arguments).output().expect("the command runs")
}

const RESOURCES: &str = r#"[
    // an organisation and a model
    { "kind": "organisation", "name": "norte", "spec": { "rate": 5, "burst": 10 } },
    { "kind": "model", "name": "notes", "spec": { "version": "1", "replicas": 2 } },
]"#;

#[test]
fn apply_to_delete() {
    let vm = start_vm();
    let applied = vm.apply(RESOURCES);
    assert!(applied.status.success(), "{applied:?}");
    assert!(String::from_utf8_lossy(&applied.stdout).contains("organisation/norte"));

    let list = vm.json(&["get", "organisations"]);
    assert_eq!(list["items"][0]["spec"]["rate"], 5.0);
    let described = vm.json(&["describe", "organisation", "norte"]);
    assert_eq!(described["status"]["accepted"], true);
    assert!(described["status"]["in_force"]["entry-1"].as_u64() >= described["version"].as_u64());

    let watched = vm.run(&["watch", "models", "--count", "1"]);
    assert!(String::from_utf8_lossy(&watched.stdout).starts_with("changed model/notes"));
    let status = vm.json(&["status"]);
    assert_eq!(status["in_contact"], true);
    assert_eq!(status["members"][0]["vm"], "entry-1");

    let entries = run(&vm.caller.to_string(), &["entries", "-o", "json"]);
    assert!(entries.status.success(), "{entries:?}");
    let stale = vm.run(&["delete", "model", "notes", "--version", "1"]);
    assert_eq!(stale.status.code(), Some(1));
    assert!(vm.run(&["delete", "model", "notes"]).status.success());
    assert_eq!(vm.run(&["get", "model", "notes"]).status.code(), Some(1));
}

#[test]
fn exit_codes_bad_input() {
    let vm = start_vm();
    let invalid = r#"{ "kind": "organisation", "name": "x", "spec": { "rate": 0, "burst": 1 } }"#;
    let refused = vm.apply(invalid);
    assert_eq!(refused.status.code(), Some(2));
    let line = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(line.contains("organisation/x: spec.rate: must be above 0"), "{line}");
    assert_eq!(vm.run(&["get", "nothing"]).status.code(), Some(2));
    assert_eq!(vm.run(&["get", "keys", "-o", "xml"]).status.code(), Some(2));
    let unauthorized = vm.run(&["get", "keys", "--credential", "wrong"]);
    assert_eq!(unauthorized.status.code(), Some(1));
}

#[test]
fn exit_codes_unreachable() {
    // A port that was bound and released, so nothing listens on it.
    let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = socket.local_addr().expect("address").to_string();
    drop(socket);
    assert_eq!(run(&address, &["get", "keys"]).status.code(), Some(3));
}
