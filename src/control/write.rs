//! Writing resources for operators.

use std::rc::Rc;
use std::time::Duration;

use super::command::{Order, Resource, Written};
use super::register::fresh;
use super::serve::plain;
use super::shell::Shell;
use crate::config::{Step, Write};
use crate::error::{Error, Kind, Result};

/// Pause before a swap whose reply was lost is sent again.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);
/// Time that an operator waits for acceptance before the answer says that the
/// write is only stored.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);

impl Shell {
    /// Writes, waits for acceptance and answers.
    pub(super) async fn write(self: Rc<Self>, order: Order) {
        let result = match self.apply(&order).await {
            Ok(version) => Ok(self.written(&order, version).await),
            Err(error) => Err(error),
        };
        let _ = order.reply.send(result);
    }

    /// Applies a write and returns its version.
    async fn apply(&self, order: &Order) -> Result<u64> {
        let (mut write, mut step) = {
            let known = self.state.borrow();
            if !known.machine.platform_reachable() {
                let detail = "the platform can't be reached; nothing was written";
                return Err(Error::new(Kind::PlatformUnavailable, detail));
            }
            let held = known.machine.cache().get(&order.address.key());
            let (address, spec) = (order.address.clone(), order.spec.clone());
            Write::begin(&self.keys.config, address, spec, order.expected, fresh(), held)
        };
        loop {
            let swap = match step {
                Step::Swap(swap) => swap,
                Step::Retry(swap) => {
                    tokio::time::sleep(SETTLE_PAUSE).await;
                    swap
                }
                Step::Done(result) => return result,
            };
            let reply = self.platform.key_value.swap_marked(swap, &self.keys.marker).await;
            step = write.on_reply(reply);
        }
    }

    /// Spreads an applied write and waits until it is accepted.
    async fn written(self: &Rc<Self>, order: &Order, version: u64) -> Written {
        let waited = tokio::time::timeout(ACCEPT_TIMEOUT, self.until_accepted(version)).await;
        let (kind, name) = (order.address.kind, order.address.name.clone());
        let spec = order.spec.as_ref().map(plain);
        let status = self.status(version);
        let accepted = waited.is_ok();
        Written { resource: Resource { kind, name, version, spec, status }, accepted }
    }

    async fn until_accepted(self: &Rc<Self>, version: u64) {
        while self.state.borrow().machine.cache().version() < version {
            if self.catch_up().await.is_err() {
                tokio::time::sleep(SETTLE_PAUSE).await;
            }
        }
        self.state.borrow_mut().machine.propagate(self.now());
        self.tick();
        loop {
            let moved = self.moved.notified();
            let now = self.now();
            if self.state.borrow_mut().machine.accepted(now, version) {
                return;
            }
            let _ = tokio::time::timeout(SETTLE_PAUSE, moved).await;
        }
    }
}
