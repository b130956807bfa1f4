//! `parsleybeam get`: lists resources or shows one.

use parsleybeam::api::operator::List;
use parsleybeam::control::Resource;

use super::print::{self, Format};
use super::remote::arguments;
use super::{Failure, list_path, parse_kind, path};

arguments! {
    /// Lists the resources of a kind, or shows one.
    {
        #[options(free, required, help = "organisations, keys, routes, models or upstreams")]
        kind: String,
        #[options(free, help = "name of one resource")]
        name: Option<String>,
    }
}

/// Prints the list or the resource.
pub async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let (remote, format) = (arguments.remote()?, arguments.format()?);
    let kind = parse_kind(&arguments.kind)?;
    let Some(name) = &arguments.name else {
        let list: List = remote.get(&list_path(kind)).await?;
        match format {
            Format::Json => print::json(&list),
            Format::Table => println!("{}", table(&list.items)),
        }
        return Ok(());
    };
    let resource: Resource = remote.get(&path(kind, name)).await?;
    match format {
        Format::Json => print::json(&resource),
        Format::Table => println!("{}", table(&[resource])),
    }
    Ok(())
}

fn table(resources: &[Resource]) -> String {
    let row = |resource: &Resource| {
        let spec = resource.spec.as_ref().map(ToString::to_string).unwrap_or_default();
        vec![resource.name.clone(), resource.version.to_string(), spec]
    };
    let rows: Vec<_> = resources.iter().map(row).collect();
    print::table(&["NAME", "VERSION", "SPEC"], &rows)
}
