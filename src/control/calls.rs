//! Calls to peers that the machine asks for.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::shell::Shell;
use crate::config::Delta;
use crate::error::Result;
use crate::id::Vm;
use crate::wire::{Body, config, member};

/// Bound on a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Bound on a call that may bring a whole configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

impl Shell {
    /// Where a VM's peers connect.
    fn address(&self, vm: &Vm) -> Option<SocketAddr> {
        self.context.shared.load().members.get(vm).map(|member| member.peer)
    }

    /// Calls a member with a beat.
    pub(super) async fn beat(self: Rc<Self>, vm: Vm, beat: member::Heartbeat) {
        let call = member::Body::Heartbeat(beat);
        match self.call_member(&vm, call).await {
            Some(member::Body::Heartbeat(answer)) => {
                let now = self.now();
                let actions = self.state.borrow_mut().machine.on_heartbeat(now, &vm, &answer);
                self.act(actions);
                self.ask_leaving().await;
            }
            _ => self.state.borrow_mut().machine.on_heartbeat_failed(&vm),
        }
    }

    async fn call_member(&self, vm: &Vm, body: member::Body) -> Option<member::Body> {
        let client = self.context.peers.get(self.address(vm)?);
        let body = Body::Member(member::Message { body: Some(body) });
        match client.call(body, CALL_TIMEOUT).await {
            Ok(Body::Member(message)) => message.body,
            _ => None,
        }
    }

    async fn call_config(
        &self,
        address: SocketAddr,
        body: config::Body,
        timeout: Duration,
    ) -> Result<Option<config::Body>> {
        let body = Body::Config(config::Message { body: Some(body) });
        match self.context.peers.get(address).call(body, timeout).await? {
            Body::Config(message) => Ok(message.body),
            _ => Ok(None),
        }
    }

    /// Asks a member for the writes that this VM lacks.
    pub(super) async fn fetch_from(self: Rc<Self>, vm: Vm) {
        if let Some(address) = self.address(&vm) {
            self.fetch(address).await;
        }
    }

    /// Asks a peer for the writes that this VM lacks.
    pub(super) async fn fetch(&self, address: SocketAddr) {
        let version = self.state.borrow().machine.cache().version();
        let call = config::Body::Fetch(version);
        if let Ok(Some(config::Body::Delta(delta))) =
            self.call_config(address, call, FETCH_TIMEOUT).await
        {
            self.adopt(delta.into());
        }
    }

    /// Gives a member what it lacks.
    pub(super) async fn push(self: Rc<Self>, vm: Vm, delta: Delta) {
        let call = config::Body::Delta(delta.into());
        self.hold(&vm, call).await;
        self.moved.notify_waiters();
    }

    /// Asks a member which version it holds.
    pub(super) async fn ask_held(self: Rc<Self>, vm: Vm) {
        self.hold(&vm, config::Body::Version(0)).await;
    }

    async fn hold(&self, vm: &Vm, call: config::Body) {
        let asked = self.now();
        let answer = match self.address(vm) {
            Some(address) => self.call_config(address, call, CALL_TIMEOUT).await,
            None => Ok(None),
        };
        let machine = &mut self.state.borrow_mut().machine;
        match answer {
            Ok(Some(config::Body::Version(version))) => machine.on_pushed(vm, version, asked),
            _ => machine.on_push_failed(vm),
        }
    }

    /// Asks the hub for the names that are leaving, where its list differs.
    async fn ask_leaving(&self) {
        let Some((hub, _)) = self.state.borrow().machine.other_leaving() else { return };
        let answer = self.call_member(&hub, member::Body::GetLeaving(())).await;
        if let Some(member::Body::Leaving(leaving)) = answer {
            self.state.borrow_mut().listed_leaving = leaving.names.into_iter().collect();
            self.refresh_leaving();
        }
    }
}
