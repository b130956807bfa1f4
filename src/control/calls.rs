//! Calls to peers on behalf of the state machine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::driver::Driver;
use crate::config::Delta;
use crate::error::Result;
use crate::id::Vm;
use crate::wire::{Body, config, member};

/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a call whose answer may contain a whole configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

impl Driver {
    /// Address that a VM's peers connect to.
    fn peer_address(&self, vm: &Vm) -> Option<SocketAddr> {
        self.context.shared.load().members.get(vm).map(|member| member.peer)
    }

    /// Sends a heartbeat to a member and handles the answer.
    pub(super) async fn heartbeat(self: Rc<Self>, vm: Vm, heartbeat: member::Heartbeat) {
        let call = member::Body::Heartbeat(heartbeat);
        match self.call_member(&vm, call).await {
            Some(member::Body::Heartbeat(answer)) => {
                let now = self.now();
                let actions = self.state.borrow_mut().machine.on_heartbeat(now, &vm, &answer);
                self.execute(actions);
                self.sync_leaving().await;
            }
            _ => self.state.borrow_mut().machine.on_heartbeat_failed(&vm),
        }
    }

    async fn call_member(&self, vm: &Vm, body: member::Body) -> Option<member::Body> {
        let client = self.context.peers.get(self.peer_address(vm)?);
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

    /// Fetches the writes that this VM lacks from a member.
    pub(super) async fn fetch_from_member(self: Rc<Self>, vm: Vm) {
        if let Some(address) = self.peer_address(&vm) {
            self.fetch(address).await;
        }
    }

    /// Fetches the writes that this VM lacks from the peer at `address`.
    pub(super) async fn fetch(&self, address: SocketAddr) {
        let version = self.state.borrow().machine.cache().version();
        let call = config::Body::Fetch(version);
        if let Ok(Some(config::Body::Delta(delta))) =
            self.call_config(address, call, FETCH_TIMEOUT).await
        {
            self.apply_delta(delta.into());
        }
    }

    /// Pushes the writes that a member lacks.
    pub(super) async fn push(self: Rc<Self>, vm: Vm, delta: Delta) {
        let call = config::Body::Delta(delta.into());
        self.call_for_version(&vm, call).await;
        self.progress.notify_waiters();
    }

    /// Asks a member for the configuration version that it holds.
    pub(super) async fn query_version(self: Rc<Self>, vm: Vm) {
        self.call_for_version(&vm, config::Body::Version(0)).await;
    }

    async fn call_for_version(&self, vm: &Vm, call: config::Body) {
        let requested_at = self.now();
        let answer = match self.peer_address(vm) {
            Some(address) => self.call_config(address, call, CALL_TIMEOUT).await,
            None => Ok(None),
        };
        let machine = &mut self.state.borrow_mut().machine;
        match answer {
            Ok(Some(config::Body::Version(version))) => {
                machine.on_pushed(vm, version, requested_at)
            }
            _ => machine.on_push_failed(vm),
        }
    }

    /// Fetches the names that are leaving from the hub, if its list differs from this VM's.
    async fn sync_leaving(&self) {
        let Some((hub, _)) = self.state.borrow().machine.mismatched_hub() else { return };
        let answer = self.call_member(&hub, member::Body::GetLeaving(())).await;
        if let Some(member::Body::Leaving(leaving)) = answer {
            self.state.borrow_mut().listed_leaving = leaving.names.into_iter().collect();
            self.refresh_leaving();
        }
    }
}
