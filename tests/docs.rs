//! Checks that the tables of events and errors in docs/ match the code.
//!
//! `UPDATE_DOCS=1 cargo test -p parsleybeam --test docs` regenerates the tables
//! between their markers.

use std::path::PathBuf;

use parsleybeam::error::Kind;
use parsleybeam::event::Event;

const BEGIN: &str = "<!-- table: written from the code -->";
const END: &str = "<!-- end of table -->";

fn compare_table(file: &str, table: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("docs").join(file);
    let text = std::fs::read_to_string(&path).expect("the page must be readable");
    let (before, rest) = text.split_once(BEGIN).expect("the page must contain the begin marker");
    let (written, after) = rest.split_once(END).expect("the page must contain the end marker");
    if std::env::var_os("UPDATE_DOCS").is_some() {
        let text = format!("{before}{BEGIN}\n{table}{END}{after}");
        std::fs::write(&path, text).expect("the page must be writable");
        return;
    }
    assert_eq!(written.trim(), table.trim(), "docs/{file} differs; run with UPDATE_DOCS=1");
}

#[test]
fn events_catalogue() {
    let mut table = String::from("| number | event | level | text |\n|---|---|---|---|\n");
    for event in Event::ALL {
        let level = event.level().as_str().to_lowercase();
        table += &format!("| {} | {event:?} | {level} | {} |\n", event.number(), event.text());
    }
    compare_table("EVENTS.md", &table);
}

#[test]
fn events_numbers_ascend() {
    let numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    assert!(numbers.is_sorted_by(|one, next| one < next), "{numbers:?}");
}

#[test]
fn errors_table() {
    let mut table = String::from("| kind | status | run | title |\n|---|---|---|---|\n");
    for kind in Kind::ALL {
        let answer = kind.answer();
        let run = answer.run.as_str();
        table += &format!("| {} | {} | {run} | {} |\n", answer.code, answer.status, answer.title);
    }
    compare_table("ERRORS.md", &table);
}
