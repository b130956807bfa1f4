//! Answers to peers' calls.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;

use super::shell::Shell;
use crate::error::{Error, Kind, Result};
use crate::wire::{Body, Handler, Peer, config, member};

/// Handlers of the control thread's message areas.
#[derive(Clone)]
pub struct Handlers {
    /// Membership and gossip.
    pub member: Rc<dyn Handler>,
    /// Configuration spread.
    pub config: Rc<dyn Handler>,
}

impl Handlers {
    pub(super) fn new(shell: Rc<Shell>) -> Self {
        Self {
            member: Rc::new(MemberHandler(shell.clone())),
            config: Rc::new(ConfigHandler(shell)),
        }
    }
}

struct MemberHandler(Rc<Shell>);

impl Handler for MemberHandler {
    fn handle(&self, peer: Peer, body: Body) -> LocalBoxFuture<'_, Result<Body>> {
        Box::pin(async move {
            let Body::Member(message) = body else { return Err(unknown()) };
            let answer = match message.body {
                Some(member::Body::Heartbeat(beat)) => {
                    let now = self.0.now();
                    let known = &mut *self.0.state.borrow_mut();
                    let (answer, actions) =
                        known.machine.on_heartbeat_request(now, &peer.vm, &beat);
                    self.0.act(actions);
                    member::Body::Heartbeat(answer)
                }
                Some(member::Body::GetLeaving(())) => {
                    let names = self.0.state.borrow().leaving.iter().cloned().collect();
                    member::Body::Leaving(member::Leaving { names })
                }
                _ => return Err(unknown()),
            };
            Ok(Body::Member(member::Message { body: Some(answer) }))
        })
    }
}

struct ConfigHandler(Rc<Shell>);

impl Handler for ConfigHandler {
    fn handle(&self, _: Peer, body: Body) -> LocalBoxFuture<'_, Result<Body>> {
        Box::pin(async move {
            let Body::Config(message) = body else { return Err(unknown()) };
            let answer = match message.body {
                Some(config::Body::Fetch(version)) => {
                    let delta = self.0.state.borrow().machine.delta_since(version);
                    config::Body::Delta(delta.into())
                }
                Some(config::Body::Delta(delta)) => {
                    self.0.adopt(delta.into());
                    config::Body::Version(self.held())
                }
                Some(config::Body::Version(_)) => config::Body::Version(self.held()),
                _ => return Err(unknown()),
            };
            Ok(Body::Config(config::Message { body: Some(answer) }))
        })
    }
}

impl ConfigHandler {
    fn held(&self) -> u64 {
        self.0.state.borrow().machine.cache().version()
    }
}

fn unknown() -> Error {
    Error::new(Kind::Peer, "a message that isn't known here")
}
