//! `parsleybeam describe`: shows one resource and the VMs where it is in force.

use parsleybeam::control::Resource;

use super::print::{self, Format};
use super::remote::arguments;
use super::{Failure, parse_kind, path};

arguments! {
    /// Shows a resource, whether it is accepted, and the version that each VM has
    /// applied.
    {
        #[options(free, required, help = "organisations, keys, routes, models or upstreams")]
        kind: String,
        #[options(free, required, help = "name of the resource")]
        name: String,
    }
}

/// Prints the resource's spec and status.
pub async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let (remote, format) = (arguments.remote()?, arguments.format()?);
    let kind = parse_kind(&arguments.kind)?;
    let resource: Resource = remote.get(&path(kind, &arguments.name)).await?;
    if format == Format::Json {
        print::json(&resource);
        return Ok(());
    }
    println!("{}/{} version {}", resource.kind, resource.name, resource.version);
    println!("accepted: {}", if resource.status.accepted == Some(true) { "yes" } else { "no" });
    if let Some(spec) = &resource.spec {
        println!("spec: {}", serde_json::to_string_pretty(spec).unwrap_or_default());
    }
    let row = |(vm, version): (&String, &u64)| {
        let holds = if *version >= resource.version { "yes" } else { "no" };
        vec![vm.clone(), version.to_string(), holds.to_owned()]
    };
    let rows: Vec<_> = resource.status.in_force.iter().map(row).collect();
    println!("{}", print::table(&["VM", "HOLDS", "IN FORCE"], &rows));
    Ok(())
}
