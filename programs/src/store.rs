//! `parsleybeam-store`: the daemon of a store VM.

mod arguments;
mod daemon;

use std::process::ExitCode;

use parsleybeam::node::store;
use parsleybeam::settings;

fn main() -> ExitCode {
    let arguments: daemon::Arguments = arguments::parse();
    daemon::run("parsleybeam-store", async {
        let settings: settings::Store = settings::load(&arguments.settings)?;
        let log = parsleybeam::log::logger(&settings.log);
        let node = store::start(settings, log).await?;
        daemon::wait_for_stop(|| {}).await;
        node.stop().await;
        Ok(())
    })
}
