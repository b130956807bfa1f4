//! `parsleybeam-standby`: the daemon of a storage VM. It stores nothing, since jobs
//! are kept in the platform's key-value service, and can be stopped or removed at
//! any time.

mod arguments;
mod daemon;

use std::process::ExitCode;

use parsleybeam::emit;
use parsleybeam::event::Event;
use parsleybeam::settings;

fn main() -> ExitCode {
    let arguments: daemon::Arguments = arguments::parse();
    daemon::run("parsleybeam-standby", async {
        let settings: settings::Standby = settings::load(&arguments.settings)?;
        let log = parsleybeam::log::standard_output(&settings.log);
        emit!(log, Event::Started, "vm" => settings.vm.as_str());
        daemon::wait_for_stop(|| {}).await;
        emit!(log, Event::Stopped, "vm" => settings.vm.as_str());
        Ok(())
    })
}
