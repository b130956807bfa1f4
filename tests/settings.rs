//! Parsing and validation of settings files.

use parsleybeam::settings::{self, Entry};

const VALID: &str = r#"{
    // name and location of this VM
    "vm": "entry-1", "data_centre": "porto",
    "caller": "127.0.0.1:8080", "operator": "127.0.0.1:8081", "peer": "127.0.0.1:8082",
    "fleet_secret": "0123456789abcdef",
    "operators": [],
    "platform": { "key_value": ["127.0.0.1:2379"] },
}"#;

fn rejection(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "{from} must occur in the valid settings");
    let text = VALID.replace(from, to);
    settings::parse::<Entry>("entry.json", &text).expect_err("the settings must be rejected").detail
}

#[test]
fn parse_comments() {
    let entry: Entry = settings::parse("entry.json", VALID).expect("the settings are valid");
    assert_eq!(entry.vm.as_str(), "entry-1");
    assert_eq!(entry.threads, 2);
}

#[test]
fn parse_invalid() {
    let cases = [
        rejection("\"operators\": []", "\"operatrs\": []"),
        rejection("127.0.0.1:8080", "localhost"),
        rejection("0123456789abcdef", "short"),
        rejection("\"operators\": []", "\"operators\": [\"xyz\"]"),
        rejection("\"operators\": []", "\"operators\": [], \"threads\": 0"),
        rejection("[\"127.0.0.1:2379\"]", "[]"),
        rejection("{\n", "[\n"),
    ];
    for line in &cases {
        assert!(!line.contains('\n'), "one line: {line}");
    }
    insta::assert_snapshot!(cases.join("\n"));
}
