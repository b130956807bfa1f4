//! The story of one request or job, from saved log lines of all VMs.

use std::collections::BTreeSet;

use serde_json::Value;

/// Keys whose values name what a line is about.
const NAMES: [&str; 3] = ["request", "job", "item"];
/// Keys that are printed before the others.
const FIRST: [&str; 4] = ["ts", "vm", "event", "msg"];
/// Keys that say nothing to a reader of one story.
const LEFT_OUT: [&str; 1] = ["level"];

/// Lines that name `id`, in order of their time. With an item its job's lines
/// are taken too, since the job's owner decided about it.
pub fn build<'a, L>(lines: L, id: &str) -> Vec<String>
where
    L: IntoIterator<Item = &'a str>,
{
    let read: Vec<Value> = lines.into_iter().filter_map(parse).collect();
    let mut ids = BTreeSet::from([id.to_owned()]);
    for line in read.iter().filter(|line| text(line, "item") == id) {
        ids.insert(text(line, "job").to_owned());
    }
    let mut story: Vec<&Value> = read
        .iter()
        .filter(|line| NAMES.iter().any(|name| ids.contains(text(line, name))))
        .filter(|line| concerns(line, id))
        .collect();
    story.sort_by(|one, other| text(one, "ts").cmp(text(other, "ts")));
    story.into_iter().map(print).collect()
}

/// Lines about other items of the same job are left out.
fn concerns(line: &Value, id: &str) -> bool {
    let item = text(line, "item");
    item.is_empty() || item == id || text(line, "job") == id
}

/// Reads a line; a collector may have put a prefix before the object.
fn parse(line: &str) -> Option<Value> {
    let object = &line[line.find('{')?..];
    serde_json::from_str(object).ok()
}

fn text<'a>(line: &'a Value, key: &str) -> &'a str {
    line.get(key).and_then(Value::as_str).unwrap_or_default()
}

fn print(line: &Value) -> String {
    let shown = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let mut words: Vec<String> = FIRST.iter().filter_map(|key| line.get(*key)).map(shown).collect();
    let rest = line.as_object().into_iter().flatten().filter(|(key, value)| {
        let known = FIRST.contains(&key.as_str()) || LEFT_OUT.contains(&key.as_str());
        !known && value.as_str() != Some("")
    });
    words.extend(rest.map(|(key, value)| format!("{key}={}", shown(value))));
    words.join(" ")
}
