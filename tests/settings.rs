//! Parsing and validation of settings files.

use parsleybeam::settings::{self, Entry};

const GOOD: &str = r#"{
    // name and location of this VM
    "vm": "entry-1", "data_centre": "porto",
    "caller": "127.0.0.1:8080", "operator": "127.0.0.1:8081", "peer": "127.0.0.1:8082",
    "fleet_secret": "0123456789abcdef",
    "operators": [],
    "platform": { "key_value": ["127.0.0.1:2379"] },
}"#;

fn refusal(from: &str, to: &str) -> String {
    assert!(GOOD.contains(from), "{from} must occur in the valid settings");
    let text = GOOD.replace(from, to);
    settings::parse::<Entry>("entry.json", &text).expect_err("the settings must be rejected").detail
}

#[test]
fn parse_comments() {
    let entry: Entry = settings::parse("entry.json", GOOD).expect("the settings are valid");
    assert_eq!(entry.vm.as_str(), "entry-1");
    assert_eq!(entry.threads, 2);
}

#[test]
fn parse_mistakes() {
    let cases = [
        refusal("\"operators\": []", "\"operatrs\": []"),
        refusal("127.0.0.1:8080", "localhost"),
        refusal("0123456789abcdef", "short"),
        refusal("\"operators\": []", "\"operators\": [\"xyz\"]"),
        refusal("\"operators\": []", "\"operators\": [], \"threads\": 0"),
        refusal("[\"127.0.0.1:2379\"]", "[]"),
        refusal("{\n", "[\n"),
    ];
    for line in &cases {
        assert!(!line.contains('\n'), "one line: {line}");
    }
    insta::assert_snapshot!(cases.join("\n"));
}
