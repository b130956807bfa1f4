//! Timeline of a request, job or item, from saved log lines of all VMs.

use std::collections::BTreeSet;

use serde_json::Value;

/// Keys whose values identify the subject of a line.
const SUBJECT_KEYS: [&str; 3] = ["request", "job", "item"];
/// Keys that are printed first.
const LEADING_KEYS: [&str; 4] = ["ts", "vm", "event", "msg"];
/// Keys that are omitted from the output.
const OMITTED_KEYS: [&str; 1] = ["level"];

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
    selected.sort_by(|a, b| text(a, "ts").cmp(text(b, "ts")));
    selected.into_iter().map(format_line).collect()
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
