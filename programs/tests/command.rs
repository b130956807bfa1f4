//! The command line: settings checks and exit codes.

use assert_cmd::Command;
use std::io::Write;

const GOOD: &str = r#"{
    "vm": "entry-1", "data_centre": "porto", // comments are allowed
    "caller": "127.0.0.1:0", "operator": "127.0.0.1:0", "peer": "127.0.0.1:0",
    "fleet_secret": "0123456789abcdef", "operators": [],
    "platform": { "key_value": ["127.0.0.1:2379"] }
}"#;

fn check(text: &str) -> assert_cmd::assert::Assert {
    let mut file = tempfile::NamedTempFile::new().expect("a temporary file");
    file.write_all(text.as_bytes()).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_parsleybeam"));
    command.arg("check").arg(file.path()).assert()
}

#[test]
fn check_good() {
    check(GOOD).success();
}

#[test]
fn check_unknown_field() {
    let output = check(&GOOD.replace("operators", "operatrs")).code(2).get_output().clone();
    let line = String::from_utf8(output.stderr).expect("text");
    assert_eq!(line.lines().count(), 1, "{line}");
    assert!(line.contains("operatrs: unknown field"), "{line}");
}

#[test]
fn help_every_program() {
    let programs = [
        env!("CARGO_BIN_EXE_parsleybeam"),
        env!("CARGO_BIN_EXE_parsleybeam-entry"),
        env!("CARGO_BIN_EXE_parsleybeam-store"),
    ];
    for program in programs {
        let output = Command::new(program).arg("--help").assert().success().get_output().clone();
        assert!(String::from_utf8_lossy(&output.stdout).contains("Usage"), "{program}");
    }
}

#[test]
fn daemon_bad_settings() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_parsleybeam-entry"));
    command.arg("no-such-file.json").assert().code(2);
}
