//! `parsleybeam watch`: a kind's changes as they come.

use serde_json::Value;

use super::print::Format;
use super::remote::arguments;
use super::{Failure, list_path, read_kind};

arguments! {
    /// Prints changes of a kind as they come, until interrupted. Where the
    /// version is too old, list again (`get`) and watch from its version.
    {
        #[options(free, required, help = "organisations, keys, routes, models or upstreams")]
        kind: String,
        #[options(help = "version to watch from (default 0: everything)", meta = "VERSION")]
        from: u64,
        #[options(help = "end after this many changes (default 0: never)", meta = "COUNT")]
        count: u64,
    }
}

/// Prints one line for each change.
pub async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let (remote, format) = (arguments.remote()?, arguments.format()?);
    let kind = read_kind(&arguments.kind)?;
    let path = format!("{}?watch=1&from={}", list_path(kind), arguments.from);
    let mut seen = 0;
    let print = |text: &str| {
        let line: Value = serde_json::from_str(text).unwrap_or_default();
        let changed = line["type"] != "bookmark";
        seen += u64::from(changed);
        match format {
            Format::Json => println!("{text}"),
            Format::Table if changed => println!("{}", row(&line)),
            Format::Table => {}
        }
        arguments.count == 0 || seen < arguments.count
    };
    remote.lines(&path, print).await
}

fn row(line: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or("?").to_owned();
    let resource = &line["resource"];
    let (kind, name) = (text(&resource["kind"]), text(&resource["name"]));
    format!("{} {kind}/{name} version {}", text(&line["type"]), resource["version"])
}
