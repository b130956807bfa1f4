//! Handlers of calls from peers.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;

use super::driver::Driver;
use crate::error::{Error, Kind, Result};
use crate::wire::{Body, Handler, Peer, config, member};

/// Handlers of the control thread's message areas.
#[derive(Clone)]
pub struct Handlers {
    /// Handler of membership messages: heartbeats and lists of leaving names.
    pub member: Rc<dyn Handler>,
    /// Handler of configuration replication messages.
    pub config: Rc<dyn Handler>,
}

impl Handlers {
    pub(super) fn new(driver: Rc<Driver>) -> Self {
        Self {
            member: Rc::new(MemberHandler(driver.clone())),
            config: Rc::new(ConfigHandler(driver)),
        }
    }
}

struct MemberHandler(Rc<Driver>);

impl Handler for MemberHandler {
    fn handle(&self, peer: Peer, body: Body) -> LocalBoxFuture<'_, Result<Body>> {
        Box::pin(async move {
            let Body::Member(message) = body else { return Err(unknown_message()) };
            let answer = match message.body {
                Some(member::Body::Heartbeat(heartbeat)) => {
                    let now = self.0.now();
                    let inner = &mut *self.0.state.borrow_mut();
                    let (answer, actions) =
                        inner.machine.on_heartbeat_request(now, &peer.vm, &heartbeat);
                    self.0.execute(actions);
                    member::Body::Heartbeat(answer)
                }
                Some(member::Body::GetLeaving(())) => {
                    let names = self.0.state.borrow().leaving.iter().cloned().collect();
                    member::Body::Leaving(member::Leaving { names })
                }
                _ => return Err(unknown_message()),
            };
            Ok(Body::Member(member::Message { body: Some(answer) }))
        })
    }
}

struct ConfigHandler(Rc<Driver>);

impl Handler for ConfigHandler {
    fn handle(&self, _: Peer, body: Body) -> LocalBoxFuture<'_, Result<Body>> {
        Box::pin(async move {
            let Body::Config(message) = body else { return Err(unknown_message()) };
            let answer = match message.body {
                Some(config::Body::Fetch(version)) => {
                    let delta = self.0.state.borrow().machine.delta_since(version);
                    config::Body::Delta(delta.into())
                }
                Some(config::Body::Delta(delta)) => {
                    self.0.apply_delta(delta.into());
                    config::Body::Version(self.held_version())
                }
                Some(config::Body::Version(_)) => config::Body::Version(self.held_version()),
                _ => return Err(unknown_message()),
            };
            Ok(Body::Config(config::Message { body: Some(answer) }))
        })
    }
}

impl ConfigHandler {
    fn held_version(&self) -> u64 {
        self.0.state.borrow().machine.cache().version()
    }
}

fn unknown_message() -> Error {
    Error::new(Kind::Peer, "a message that isn't known here")
}
