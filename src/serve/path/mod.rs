//! Ways to the upstreams: this VM's own links, or another VM's.
//!
//! A VM may lose its links to all upstreams while callers, the store and the
//! other VMs still reach it. It then opens its connections through a peer
//! (`tunnel`, `helper`); all else stays as it is: the VM chooses upstreams, keeps
//! its callers' requests and runs its items. What it sees on its own links says
//! nothing of the upstreams meanwhile, so neither ejections nor crashes follow.

mod helper;
mod links;
mod tunnel;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use slog::Logger;
use tokio::sync::Notify;

pub use helper::serve;
pub use links::Links;
pub use tunnel::{Answer, Chunk, Open, Outcome, open, receive, send};

use super::context::Context;
use crate::clock::{Clock, Time};
use crate::emit;
use crate::event::Event;
use crate::transport::{Connector, Opened};

/// Timeout of opening a tunnel: above a peer's connect timeout and the way to it.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of peers that are asked for one connection.
const MAX_ASKED: usize = 2;
/// Interval at which a VM that is cut off tries its own links again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Connect timeout of such a try.
const RECHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without bytes after which a tunnel counts as idle: above the silence of a sound upstream
/// within an answer.
const IDLE_AFTER: Duration = Duration::from_millis(2_000);

/// Addresses at which peers that reach the upstreams serve tunnels.
pub type Helpers = Rc<RefCell<Vec<SocketAddr>>>;

/// Opens connections to upstreams, by the way that works.
pub struct Paths {
    direct: Rc<dyn Connector>,
    clock: Arc<dyn Clock>,
    log: Logger,
    links: RefCell<Links>,
    helpers: Helpers,
    next_helper: Cell<usize>,
    /// Upstream that this VM last failed to connect to.
    last_failed: Cell<Option<SocketAddr>>,
    /// When a tunnel that this VM serves last carried bytes.
    relayed_at: Cell<Time>,
    /// Notified when a cut begins or ends.
    changed: Notify,
}

/// What peers say of an upstream.
enum Through {
    Opened(Opened),
    /// A peer reaches other upstreams, but not this one.
    Refused,
    /// No peer could tell.
    Unknown,
}

impl Paths {
    /// Creates the paths of a VM whose own links are `direct`; `helpers` is kept up to date.
    pub fn new(
        direct: Rc<dyn Connector>,
        clock: Arc<dyn Clock>,
        log: Logger,
        helpers: Helpers,
    ) -> Rc<Self> {
        Rc::new(Self {
            direct,
            clock,
            log,
            links: RefCell::default(),
            helpers,
            next_helper: Cell::new(0),
            last_failed: Cell::new(None),
            relayed_at: Cell::new(Time(0)),
            changed: Notify::new(),
        })
    }

    /// Whether this VM is cut off from the upstreams.
    pub fn is_cut(&self) -> bool {
        self.links.borrow().is_cut()
    }

    /// Whether this VM may be cut off from the upstreams.
    pub fn is_suspect(&self) -> bool {
        self.links.borrow().is_suspect(self.clock.now())
    }

    /// Whether a run that breaks off now is to be laid to this VM's links.
    pub fn is_to_blame(&self) -> bool {
        self.links.borrow().is_to_blame(self.clock.now())
    }

    /// Whether an upstream accepts connections, of this VM or another one.
    pub async fn reaches(&self, address: SocketAddr, timeout: Duration) -> bool {
        if !self.is_cut() && self.connect_directly(address, timeout).await.is_ok() {
            return true;
        }
        match self.connect_through_peer(address).await {
            Through::Opened(_) => true,
            Through::Refused => false,
            // Who is cut off and finds nobody to ask can't tell.
            Through::Unknown => self.is_cut(),
        }
    }

    /// Connects by this VM's own links.
    pub(super) async fn connect_directly(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Opened, String> {
        let outcome = self.direct.connect(address, timeout).await;
        count("direct", outcome.is_ok());
        if outcome.is_err() {
            self.last_failed.set(Some(address));
        }
        let has_ended = self.links.borrow_mut().record_direct(outcome.is_ok(), self.clock.now());
        if has_ended {
            emit!(self.log, Event::UpstreamsReached, "address" => address.to_string());
            self.changed.notify_one();
        }
        outcome
    }

    async fn connect_through_peer(&self, address: SocketAddr) -> Through {
        let helpers = self.helpers.borrow().clone();
        let first = self.next_helper.replace(self.next_helper.get().wrapping_add(1));
        for offset in 0..helpers.len().min(MAX_ASKED) {
            let peer = helpers[first.wrapping_add(offset) % helpers.len()];
            let opened = open(peer, address, TUNNEL_TIMEOUT).await;
            count("peer", matches!(opened, Ok(Ok(_))));
            match opened {
                Ok(Ok(stream)) => {
                    self.record_through_peer(address, peer);
                    return Through::Opened(Opened { stream, through: Some(peer) });
                }
                Ok(Err(Outcome::Refused)) => return Through::Refused,
                // The next one may know more.
                Ok(Err(_)) | Err(_) => {}
            }
        }
        Through::Unknown
    }

    /// Records that a peer connected where this VM couldn't, or didn't try.
    fn record_through_peer(&self, address: SocketAddr, peer: SocketAddr) {
        let now = self.clock.now();
        let mut links = self.links.borrow_mut();
        if !links.is_suspect(now) || !links.record_through_peer(now) {
            return;
        }
        drop(links);
        emit!(self.log, Event::UpstreamsCutOff, "address" => address.to_string(),
            "peer" => peer.to_string());
        self.changed.notify_one();
    }

    /// Records that a tunnel which this VM serves carried bytes.
    pub(super) fn record_relayed(&self) {
        self.relayed_at.set(self.clock.now());
    }

    /// Whether a tunnel that this VM serves is in use.
    pub fn is_relaying(&self) -> bool {
        !self.relayed_at.get().after(IDLE_AFTER).passed(self.clock.now())
    }

    async fn connect_by_any_way(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Opened, String> {
        if self.is_cut() {
            return match self.connect_through_peer(address).await {
                Through::Opened(opened) => Ok(opened),
                Through::Refused => Err("not reached by another VM either".to_owned()),
                Through::Unknown => self.connect_directly(address, timeout).await,
            };
        }
        let reason = match self.connect_directly(address, timeout).await {
            Ok(opened) => return Ok(opened),
            Err(reason) => reason,
        };
        if !self.is_suspect() {
            return Err(reason);
        }
        match self.connect_through_peer(address).await {
            Through::Opened(opened) => Ok(opened),
            Through::Refused | Through::Unknown => Err(reason),
        }
    }
}

impl Connector for Paths {
    fn connect(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<Opened, String>> {
        self.connect_by_any_way(address, timeout).boxed_local()
    }
}

/// Applies the begin and end of cuts, and looks for their end, until the process exits.
pub async fn watch(context: Rc<Context>) {
    let paths = &context.paths;
    loop {
        let wait = if paths.is_cut() { RECHECK_INTERVAL } else { Duration::MAX };
        if tokio::time::timeout(wait, paths.changed.notified()).await.is_ok() {
            // Connections over the other way are lost, or take a detour.
            context.pool.close_all_idle();
            context.table.borrow_mut().clear_ejections();
            context.load_changed.notify_one();
            context.work_changed.notify_one();
            continue;
        }
        if let Some(address) = paths.last_failed.get() {
            // Its outcome is recorded; the connection isn't needed.
            let _ = paths.connect_directly(address, RECHECK_TIMEOUT).await;
        }
    }
}

fn count(way: &'static str, connected: bool) {
    let outcome = if connected { "connected" } else { "failed" };
    metrics::counter!("serve_upstream_connects_total", "way" => way, "outcome" => outcome)
        .increment(1);
}
