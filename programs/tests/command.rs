//! Command-line behaviour: settings checks, help, exit codes and `explain`.

use assert_cmd::Command;
use std::io::Write;

const ENTRY_SETTINGS: &str = r#"{
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
fn check_valid() {
    check(ENTRY_SETTINGS).success();
}

#[test]
fn check_unknown_field() {
    let output =
        check(&ENTRY_SETTINGS.replace("operators", "operatrs")).code(2).get_output().clone();
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
        env!("CARGO_BIN_EXE_parsleybeam-serve"),
        env!("CARGO_BIN_EXE_parsleybeam-standby"),
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

const SERVE_SETTINGS: &str = r#"{
    "vm": "edge-1", "data_centre": "porto", "caller": "127.0.0.1:0",
    "readiness": "127.0.0.1:0", "addresses": "127.0.0.1:0", "peer": "127.0.0.1:0",
    "relay": "127.0.0.1:0", "key_value": "127.0.0.1:1", "weight": 0.25,
    "bounds": {
        "configuration_ms": 2000, "withdrawal_ms": 5000, "leaving_upstream_ms": 2000,
        "contact_ms": 3000,
        "stop_s": 8, "addresses_lifetime_s": 5, "rate_window_s": 5,
        "rate_overrun": 0.1, "rate_slack": 20, "results_s": 120
    }
}"#;

fn check_serve(text: &str) -> String {
    let mut file = tempfile::NamedTempFile::new().expect("a temporary file");
    file.write_all(text.as_bytes()).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_parsleybeam"));
    let output = command.args(["check", "--role", "serve"]).arg(file.path()).output();
    let output = output.expect("the command runs");
    String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned()
}

#[test]
fn check_serve_settings() {
    assert!(check_serve(SERVE_SETTINGS).contains("good"));
    let line = check_serve(&SERVE_SETTINGS.replace("0.25", "0"));
    assert!(line.contains("weight: is 0, must be above 0"), "{line}");
    let line = check_serve(&SERVE_SETTINGS.replace("\"stop_s\": 8", "\"stop_s\": -1"));
    assert!(line.contains("bounds.stop_s: is -1, must be above 0"), "{line}");
}

#[test]
fn explain_request() {
    let logs = [
        r#"  1.2 edge-1 {"msg":"request answered","ts":"2","vm":"edge-1","event":504,"request":"r-1"}"#,
        r#"{"msg":"a stream goes on","ts":"1","vm":"edge-1","event":505,"request":"r-1"}"#,
        r#"{"msg":"request answered","ts":"3","vm":"edge-2","event":504,"request":"r-2"}"#,
        "no JSON at all",
    ];
    let mut file = tempfile::NamedTempFile::new().expect("a temporary file");
    file.write_all(logs.join("\n").as_bytes()).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_parsleybeam"));
    let output = command.args(["explain", "r-1"]).arg(file.path()).assert().success();
    let text = String::from_utf8_lossy(&output.get_output().stdout).into_owned();
    let expected = "1 edge-1 505 a stream goes on request=r-1\n\
                  2 edge-1 504 request answered request=r-1\n";
    assert_eq!(text, expected);
    let mut command = Command::new(env!("CARGO_BIN_EXE_parsleybeam"));
    command.args(["explain", "r-9"]).arg(file.path()).assert().failure();
}
