//! `parsleybeam watch`: follows the changes to the resources of a kind.

use serde_json::Value;

use super::print::Format;
use super::remote::arguments;
use super::{Failure, list_path, parse_kind};

arguments! {
    /// Prints the changes to the resources of a kind until interrupted. If the version
    /// is too old to watch from, list the resources again (`get`) and watch from the
    /// version of that list.
    {
        #[options(free, required, help = "organisations, keys, routes, models or upstreams")]
        kind: String,
        #[options(help = "version to watch from (default 0: all resources)", meta = "VERSION")]
        from: u64,
        #[options(help = "exit after this many changes (default 0: never)", meta = "COUNT")]
        count: u64,
    }
}

/// Prints one line per change. Bookmarks are printed as JSON only and not counted.
pub async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let (remote, format) = (arguments.remote()?, arguments.format()?);
    let kind = parse_kind(&arguments.kind)?;
    let path = format!("{}?watch=1&from={}", list_path(kind), arguments.from);
    let mut changes = 0;
    let print = |text: &str| {
        let line: Value = serde_json::from_str(text).unwrap_or_default();
        let is_change = line["type"] != "bookmark";
        changes += u64::from(is_change);
        match format {
            Format::Json => println!("{text}"),
            Format::Table if is_change => println!("{}", change_line(&line)),
            Format::Table => {}
        }
        arguments.count == 0 || changes < arguments.count
    };
    remote.read_lines(&path, print).await
}

fn change_line(line: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or("?").to_owned();
    let resource = &line["resource"];
    let (kind, name) = (text(&resource["kind"]), text(&resource["name"]));
    format!("{} {kind}/{name} version {}", text(&line["type"]), resource["version"])
}
