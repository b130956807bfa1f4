//! Timeline of a request, job or item, from saved log lines of all VMs.
//!
//! It includes what a VM that handled the subject knew by then of its upstreams' cold time
//! and of evacuations in force, and the last line that a quota was used up.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::event::Event;

/// Keys whose values identify the subject of a line.
const SUBJECT_KEYS: [&str; 3] = ["request", "job", "item"];
/// Keys that are printed first.
const LEADING_KEYS: [&str; 4] = ["ts", "vm", "event", "msg"];
/// Keys that are omitted from the output.
const OMITTED_KEYS: [&str; 1] = ["level"];

/// Keys whose values name upstreams, separated by commas.
const UPSTREAM_KEYS: [&str; 3] = ["upstream", "attempts", "at_limit"];

/// Returns the lines that name `id`, ordered by time. For an item, the lines of
/// its job are included, since the job's owner decides about the item.
pub fn build<'a, L>(lines: L, id: &str) -> Vec<String>
where
    L: IntoIterator<Item = &'a str>,
{
    let parsed: Vec<Value> = lines.into_iter().filter_map(parse).collect();
    let mut ids = BTreeSet::from([id.to_owned()]);
    for line in parsed.iter().filter(|line| text(line, "item") == id) {
        ids.insert(text(line, "job").to_owned());
    }
    let mut selected: Vec<&Value> = parsed
        .iter()
        .filter(|line| SUBJECT_KEYS.iter().any(|name| ids.contains(text(line, name))))
        .filter(|line| is_relevant(line, id))
        .collect();
    let standing = standing(&parsed, &selected);
    selected.extend(standing);
    selected.sort_by(|a, b| text(a, "ts").cmp(text(b, "ts")));
    selected.into_iter().map(format_line).collect()
}

/// The last lines before the end of the selected ones that tell what held for their
/// upstreams: one per event, VM and upstream or data centre.
fn standing<'a>(parsed: &'a [Value], selected: &[&'a Value]) -> Vec<&'a Value> {
    let [cold, used_up, evacuated] = [Event::UpstreamCold, Event::QuotaUsedUp, Event::Evacuated]
        .map(|event| u64::from(event.number()));
    let vms: BTreeSet<&str> = selected.iter().map(|line| text(line, "vm")).collect();
    let names = selected.iter().flat_map(|line| UPSTREAM_KEYS.map(|key| text(line, key)));
    let upstreams: BTreeSet<&str> = names.flat_map(|names| names.split(',')).collect();
    let Some(end) = selected.iter().map(|line| text(line, "ts")).max() else { return Vec::new() };
    let mut last: BTreeMap<(u64, &str, &str), &Value> = BTreeMap::new();
    for line in parsed.iter().filter(|line| text(line, "ts") <= end) {
        let event = line.get("event").and_then(Value::as_u64).unwrap_or_default();
        let is_known_there = vms.contains(text(line, "vm"));
        let concerns = upstreams.contains(text(line, "upstream"));
        let key = match event {
            _ if event == cold && is_known_there && concerns => (event, text(line, "vm")),
            _ if event == evacuated && is_known_there => (event, text(line, "vm")),
            // The VM that grants says so for all.
            _ if event == used_up && concerns => (event, ""),
            _ => continue,
        };
        let subject = if event == evacuated { "data_centre" } else { "upstream" };
        let line_before = last.entry((key.0, key.1, text(line, subject))).or_insert(line);
        if text(line_before, "ts") <= text(line, "ts") {
            *line_before = line;
        }
    }
    last.into_values()
        .filter(|line| !matches!(text(line, "state"), "ended" | "taken back"))
        .collect()
}

/// Excludes lines about other items of the same job.
fn is_relevant(line: &Value, id: &str) -> bool {
    let item = text(line, "item");
    item.is_empty() || item == id || text(line, "job") == id
}

/// Parses a line, skipping any prefix that a log collector added.
fn parse(line: &str) -> Option<Value> {
    let object = &line[line.find('{')?..];
    serde_json::from_str(object).ok()
}

fn text<'a>(line: &'a Value, key: &str) -> &'a str {
    line.get(key).and_then(Value::as_str).unwrap_or_default()
}

fn format_line(line: &Value) -> String {
    let display = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let mut parts: Vec<String> =
        LEADING_KEYS.iter().filter_map(|key| line.get(*key)).map(display).collect();
    let rest = line.as_object().into_iter().flatten().filter(|(key, value)| {
        let known = LEADING_KEYS.contains(&key.as_str()) || OMITTED_KEYS.contains(&key.as_str());
        !known && value.as_str() != Some("")
    });
    parts.extend(rest.map(|(key, value)| format!("{key}={}", display(value))));
    parts.join(" ")
}
