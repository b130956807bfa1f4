//! `parsleybeam-entry`: the daemon of an entry VM.

mod arguments;
mod daemon;

use std::process::ExitCode;

use parsleybeam::node::entry;
use parsleybeam::settings;

fn main() -> ExitCode {
    let arguments: daemon::Arguments = arguments::parse();
    daemon::run("parsleybeam-entry", async {
        let settings: settings::Entry = settings::load(&arguments.settings)?;
        let log = parsleybeam::log::logger(&settings.log);
        let node = entry::start(settings, log).await?;
        daemon::wait_for_stop(|| {}).await;
        node.drain().await;
        Ok(())
    })
}
