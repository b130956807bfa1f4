//! The process of one entry VM: start, reload and graceful shutdown.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, o};
use tokio::net::UdpSocket;

use super::channel::{Channel, Relays};
use super::context::Context;
use super::frontend::Frontend;
use super::internal::Server;
use super::jobs::Jobs;
use super::member::Member;
use super::path::{self, Helpers, Paths};
use super::peers::Peers;
use super::poller::Poller;
use super::protocol::Protocol;
use super::reader::Reader;
use super::stop::Stop;
use super::store::Store;
use super::unwritten;
use crate::clock::{Boottime, Clock, Time};
use crate::emit;
use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::node::Listener;
use crate::settings;
use crate::transport::Connector;

/// Pause between two checks whether requests are still in progress.
const DRAIN_CHECK_PAUSE: Duration = Duration::from_millis(50);
/// Timeout of storing the partial output of all items.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Timeout of marking this VM as leaving in the store.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(800);

/// The platform-specific parts.
pub struct Adapter {
    /// Client of the platform's key-value service.
    pub store: Rc<dyn Store>,
    /// Encoder and decoder of the platform's requests and responses.
    pub protocol: Rc<dyn Protocol>,
    /// Opens connections to upstreams.
    pub network: Rc<dyn Connector>,
}

/// A running entry VM.
pub struct Node {
    /// Address that callers connect to.
    pub caller: SocketAddr,
    /// Address that serves requests for addresses.
    pub addresses: SocketAddr,
    /// Address of the internal server for peers and metrics.
    pub relay: SocketAddr,
    context: Rc<Context>,
    peers: Rc<Peers>,
    jobs: Rc<Jobs>,
    poller: Rc<Poller>,
    frontend: Frontend,
    path: PathBuf,
}

/// Starts an entry VM. `path` is the settings file to reload; `adapt` creates
/// the platform-specific parts.
pub async fn start<A>(
    path: PathBuf,
    settings: settings::Serve,
    log: Logger,
    adapt: A,
) -> Result<Node>
where
    A: FnOnce(&settings::Serve, Rc<Channel>) -> Adapter,
{
    let callers = Listener::bind("caller", settings.caller)?;
    let readiness = Listener::bind("readiness", settings.readiness)?;
    let addresses = Listener::bind("addresses", settings.addresses)?;
    let relay = Listener::bind("relay", settings.relay)?;
    let bind_error =
        |error| Error::new(Kind::Settings, format!("peer: {}: {error}", settings.peer));
    let datagrams = UdpSocket::bind(settings.peer).await.map_err(bind_error)?;
    let peer = datagrams.local_addr().map_err(bind_error)?;
    let tunnels = Listener::bind("peer", settings.peer)?;
    let clock: Arc<dyn Clock> = Arc::new(Boottime);
    let relays = Relays::default();
    let channel = Rc::new(Channel::new(settings.key_value, clock.clone(), relays.clone()));
    let adapter = adapt(&settings, channel.clone());
    let member = Member {
        vm: settings.vm.clone(),
        incarnation: rand::random(),
        data_centre: settings.data_centre.clone(),
        caller: callers.address,
        peer,
        relay: relay.address,
        tunnel: Some(tunnels.address),
        rates: None,
        weight: settings.weight,
        leaving: false,
    };
    let log = log.new(o!("vm" => settings.vm.to_string()));
    emit!(log, Event::Started, "incarnation" => format!("{:x}", member.incarnation),
        "caller" => callers.address.to_string());
    let Adapter { store, protocol, network } = adapter;
    let helpers = Helpers::default();
    let paths = Paths::new(network, clock.clone(), log.clone(), helpers.clone());
    let context = Context::new(member, settings, clock, log, store, protocol, paths);
    let peers = Peers::new(context.clone(), datagrams, relays, helpers);
    let jobs = Jobs::new(context.clone());
    let reader = Reader::new(context.clone());
    let poller = Poller::new(context.clone(), peers.clone(), jobs.clone(), reader.clone());
    let frontend = Frontend {
        context: context.clone(),
        peers: peers.clone(),
        jobs: jobs.clone(),
        active: Rc::default(),
        unwritten: unwritten::Count::default(),
        stop: Rc::default(),
    };
    frontend.serve_callers(callers.socket)?;
    frontend.serve_checks(readiness.socket)?;
    frontend.serve_checks(addresses.socket)?;
    let server = Server { channel, reader, context: context.clone(), jobs: jobs.clone() };
    let relay_address = relay.address;
    server.serve(relay.socket)?;
    path::serve(&context, tunnels.socket)?;
    actix_rt::spawn(path::watch(context.clone()));
    actix_rt::spawn(peers.clone().listen(jobs.clone()));
    actix_rt::spawn(peers.clone().announce());
    actix_rt::spawn(peers.clone().announce_crashes());
    actix_rt::spawn(peers.clone().keep_crashes());
    actix_rt::spawn(peers.clone().announce_origins());
    actix_rt::spawn(poller.clone().run());
    actix_rt::spawn(jobs.clone().dispatch());
    Ok(Node {
        caller: callers.address,
        addresses: addresses.address,
        relay: relay_address,
        context,
        peers,
        jobs,
        poller,
        frontend,
        path,
    })
}

impl Node {
    /// Reloads the settings; keeps the current ones if the file is invalid.
    pub fn reload(&self) {
        match settings::load::<settings::Serve>(&self.path) {
            Ok(settings) => {
                *self.context.settings.borrow_mut() = Rc::new(settings);
                emit!(self.context.log, Event::SettingsReloaded);
            }
            Err(error) => {
                emit!(self.context.log, Event::SettingsRefused, "reason" => error.detail.as_str());
            }
        }
    }

    /// Leaves the fleet and waits until the requests in progress are done or the
    /// time to stop is used up.
    pub async fn drain(self) {
        let grace = Duration::from_secs_f64(self.context.settings().bounds.stop_s);
        let stop = Stop::new(self.context.now(), grace);
        self.context.stopping.set(true);
        self.frontend.stop.set(Some(stop));
        let left_ms = |until: Time| self.context.now().until(until).as_millis() as u64;
        emit!(self.context.log, Event::Stopping, "active" => self.frontend.active.count(),
            "accepts_ms" => left_ms(stop.accepts_until), "left_ms" => left_ms(stop.end));
        // VMs of older versions take a VM that is marked as leaving to grant no more.
        let hands_over = self.context.limiter.borrow().is_uniform();
        if !hands_over {
            self.context.limiter.borrow_mut().resign();
        }
        self.peers.send_load();
        self.peers.hand_over_origins();
        self.hand_over_jobs().await;
        let is_marked = self.mark_leaving().await;
        tokio::time::sleep(self.context.now().until(stop.accepts_until)).await;
        while self.is_busy() && !stop.end.passed(self.context.now()) {
            tokio::time::sleep(DRAIN_CHECK_PAUSE).await;
        }
        if hands_over && is_marked {
            // The next process of this VM waits for the buckets, since it finds its entry marked.
            self.peers.hand_over_buckets();
        }
        self.log_cut();
        emit!(self.context.log, Event::Stopped, "active" => self.frontend.active.count());
    }

    /// Whether the end of the process would cut an answer, of this VM or of a peer.
    fn is_busy(&self) -> bool {
        self.frontend.active.count() > 0
            || self.frontend.unwritten.get() > 0
            || self.context.paths.is_relaying()
    }

    /// Hands the jobs over, as far as the store takes them in time.
    async fn hand_over_jobs(&self) {
        if tokio::time::timeout(HAND_OVER_TIMEOUT, self.jobs.hand_over()).await.is_err() {
            let reason = "the partial output of items wasn't stored in time";
            emit!(self.context.log, Event::StoreCallFailed, "reason" => reason);
        }
    }

    /// Logs the requests that the end of the process cuts.
    fn log_cut(&self) {
        let now = self.context.now();
        for request in self.frontend.active.requests() {
            emit!(self.context.log, Event::RequestCut, "request" => request.id,
                "age_ms" => request.arrived.age_millis(now),
                "left_ms" => now.until(request.deadline).as_millis() as u64);
        }
    }

    /// Marks this VM as leaving in the store; whether that is known to be done.
    async fn mark_leaving(&self) -> bool {
        let marked = tokio::time::timeout(LEAVE_TIMEOUT, self.poller.leave()).await;
        let reason = match marked {
            Ok(Ok(())) => return true,
            Ok(Err(error)) => error.detail,
            Err(_) => "no answer in time".to_owned(),
        };
        emit!(self.context.log, Event::StoreCallFailed, "reason" => reason);
        false
    }
}
