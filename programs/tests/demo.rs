//! `parsleybeam demo --check`, the first command in the README, passes in time.

use assert_cmd::Command;
use std::time::Duration;

/// Time within which the check must end.
const CHECK_TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn demo_check() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_parsleybeam"));
    let output = command
        .args(["demo", "--check"])
        .timeout(CHECK_TIMEOUT)
        .assert()
        .success()
        .get_output()
        .clone();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    for step in ["online answer", "streamed answer", "batch job", "key withdrawal"] {
        assert!(text.contains(&format!("ok    {step}")), "{text}");
    }
}
