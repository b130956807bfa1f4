//! Writes of resources requested by operators.

use std::rc::Rc;
use std::time::Duration;

use super::command::{Request, Resource, Written};
use super::driver::Driver;
use super::register::write_id;
use super::serve::spec_to_json;
use crate::config::{Step, Write};
use crate::error::{Error, Kind, Result};

/// Pause before a swap whose reply was lost is retried, and between checks for acceptance.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long a write waits for acceptance before the operator is told that it is only stored.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);

impl Driver {
    /// Applies a write, waits for its acceptance and sends the reply.
    pub(super) async fn write(self: Rc<Self>, request: Request) {
        let result = match self.apply(&request).await {
            Ok(version) => Ok(self.written(&request, version).await),
            Err(error) => Err(error),
        };
        let _ = request.reply.send(result);
    }

    /// Applies a write in the key-value service and returns its version.
    async fn apply(&self, request: &Request) -> Result<u64> {
        let (mut write, mut step) = {
            let inner = self.state.borrow();
            if !inner.machine.platform_reachable() {
                let detail = "the platform can't be reached; nothing was written";
                return Err(Error::new(Kind::PlatformUnavailable, detail));
            }
            let held = inner.machine.cache().get(&request.id.key());
            let (id, spec) = (request.id.clone(), request.spec.clone());
            Write::begin(&self.keys.config, id, spec, request.precondition, write_id(), held)
        };
        loop {
            let swap = match step {
                Step::Swap(swap) => swap,
                Step::Retry(swap) => {
                    tokio::time::sleep(RETRY_PAUSE).await;
                    swap
                }
                Step::Done(result) => return result,
            };
            let reply = self.platform.key_value.swap_marked(swap, &self.keys.marker).await;
            step = write.on_reply(reply);
        }
    }

    /// Propagates an applied write and waits for `ACCEPT_TIMEOUT` until it is accepted.
    async fn written(self: &Rc<Self>, request: &Request, version: u64) -> Written {
        let wait_result = tokio::time::timeout(ACCEPT_TIMEOUT, self.wait_accepted(version)).await;
        let (kind, name) = (request.id.kind, request.id.name.clone());
        let spec = request.spec.as_ref().map(spec_to_json);
        let status = self.status(version);
        let accepted = wait_result.is_ok();
        Written { resource: Resource { kind, name, version, spec, status }, accepted }
    }

    async fn wait_accepted(self: &Rc<Self>, version: u64) {
        while self.state.borrow().machine.cache().version() < version {
            if self.catch_up().await.is_err() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        self.state.borrow_mut().machine.propagate(self.now());
        self.tick();
        loop {
            let progress = self.progress.notified();
            let now = self.now();
            if self.state.borrow_mut().machine.accepted(now, version) {
                return;
            }
            let _ = tokio::time::timeout(RETRY_PAUSE, progress).await;
        }
    }
}
