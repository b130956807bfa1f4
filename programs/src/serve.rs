//! `parsleybeam-serve`: the daemon of an entry VM on the users' platform, whose
//! protocols are in `parsleybeam_platform`.

mod arguments;
mod daemon;

use std::process::ExitCode;
use std::rc::Rc;

use parsleybeam::serve::node;
use parsleybeam::settings;
use parsleybeam::transport::Direct;
use parsleybeam_platform::{Client, Codec};

fn main() -> ExitCode {
    let arguments: daemon::Arguments = arguments::parse();
    daemon::run("parsleybeam-serve", async {
        let path = arguments.settings;
        let settings: settings::Serve = settings::load(&path)?;
        let log = parsleybeam::log::standard_output(&settings.log);
        let node = node::start(path, settings, log, |settings, channel| node::Adapter {
            store: Rc::new(Client::new(settings.key_value, channel)),
            protocol: Rc::new(Codec),
            network: Rc::new(Direct),
        })
        .await?;
        daemon::wait_for_stop(|| node.reload()).await;
        node.drain().await;
        Ok(())
    })
}
