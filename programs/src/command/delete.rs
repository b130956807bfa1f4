//! `parsleybeam delete`: takes a resource away.

use awc::http::Method;
use parsleybeam::control::Resource;

use super::print::{self, Format};
use super::remote::arguments;
use super::{Failure, apply, path, read_kind};

arguments! {
    /// Deletes a resource; a deleted key stops working within seconds.
    {
        #[options(free, required, help = "organisations, keys, routes, models or upstreams")]
        kind: String,
        #[options(free, required, help = "name of the resource")]
        name: String,
        #[options(help = "delete only if it still stands at this version", meta = "VERSION")]
        version: Option<u64>,
    }
}

/// Deletes and says whether the deletion is accepted.
pub async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let (remote, format) = (arguments.remote()?, arguments.format()?);
    let path = path(read_kind(&arguments.kind)?, &arguments.name);
    let deleted = remote.call(Method::DELETE, &path, String::new(), arguments.version).await?;
    let (status, resource): (u16, Resource) = deleted;
    match format {
        Format::Json => print::json(&resource),
        Format::Table => println!("deleted: {}", apply::line(status, &resource)),
    }
    Ok(())
}
