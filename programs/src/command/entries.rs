//! `parsleybeam entries`: shows the entry addresses that callers are given.

use parsleybeam::api::entries::Entries;

use super::Failure;
use super::print::{self, Format};
use super::remote::arguments;

arguments! {
    /// Queries the entry VMs to use, as a caller does. With a caller's key as
    /// `--credential`, the result is that of the key's organisation.
    {
        #[options(help = "data centre of the caller", meta = "NAME")]
        data_centre: Option<String>,
    }
}

/// Prints the addresses in order of preference.
pub async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let (remote, format) = (arguments.remote()?, arguments.format()?);
    let query = arguments.data_centre.as_ref().map(|name| format!("?data_centre={name}"));
    let path = format!("/v1/entries{}", query.unwrap_or_default());
    let entries: Entries = remote.get(&path).await?;
    if format == Format::Json {
        print::json(&entries);
        return Ok(());
    }
    let row = |entry: &parsleybeam::api::entries::Entry| {
        vec![entry.vm.to_string(), entry.data_centre.to_string(), entry.address.to_string()]
    };
    let rows: Vec<_> = entries.entries.iter().map(row).collect();
    println!("{}", print::table(&["VM", "DATA CENTRE", "ADDRESS"], &rows));
    println!("valid for {} ms", entries.lifetime_ms);
    Ok(())
}
