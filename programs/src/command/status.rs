//! `parsleybeam status`: shows the fleet as one VM sees it.

use parsleybeam::control::Fleet;

use super::Failure;
use super::print::{self, Format};
use super::remote::arguments;

arguments! {
    /// Shows the members, the configuration version that each has applied, and whether the
    /// platform is reachable.
    {}
}

/// Prints the state of the fleet.
pub async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let (remote, format) = (arguments.remote()?, arguments.format()?);
    let fleet: Fleet = remote.get("/api/v1/status").await?;
    if format == Format::Json {
        print::json(&fleet);
        return Ok(());
    }
    let yes_or_no = |value: bool| if value { "yes" } else { "no" };
    println!("as seen by {}, configuration version {}", fleet.vm, fleet.version);
    println!("in contact: {}", yes_or_no(fleet.in_contact));
    println!("platform reachable: {}", yes_or_no(fleet.platform_reachable));
    let row = |member: &parsleybeam::control::Member| {
        let text = |value: &serde_json::Value| value.as_str().unwrap_or("?").to_owned();
        let json = serde_json::to_value(member).unwrap_or_default();
        let data_centre = text(&json["data_centre"]);
        let version = member.version.to_string();
        vec![member.vm.to_string(), data_centre, text(&json["role"]), text(&json["state"]), version]
    };
    let rows: Vec<_> = fleet.members.iter().map(row).collect();
    println!("{}", print::table(&["VM", "DATA CENTRE", "ROLE", "STATE", "HOLDS"], &rows));
    Ok(())
}
