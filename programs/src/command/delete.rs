//! `parsleybeam delete`: deletes a resource.

use awc::http::Method;
use parsleybeam::control::Resource;

use super::print::{self, Format};
use super::remote::arguments;
use super::{Failure, apply, parse_kind, path};

arguments! {
    /// Deletes a resource. A deleted key stops working within seconds.
    {
        #[options(free, required, help = "organisations, keys, routes, models or upstreams")]
        kind: String,
        #[options(free, required, help = "name of the resource")]
        name: String,
        #[options(help = "delete only if this is still the current version", meta = "VERSION")]
        version: Option<u64>,
    }
}

/// Deletes the resource and prints whether the deletion is in force yet.
pub async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let (remote, format) = (arguments.remote()?, arguments.format()?);
    let path = path(parse_kind(&arguments.kind)?, &arguments.name);
    let deleted = remote.call(Method::DELETE, &path, String::new(), arguments.version).await?;
    let (status, resource): (u16, Resource) = deleted;
    match format {
        Format::Json => print::json(&resource),
        Format::Table => println!("deleted: {}", apply::outcome_line(status, &resource)),
    }
    Ok(())
}
