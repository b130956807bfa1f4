//! Requests to other VMs for one grant, and their answers.
//!
//! An answer or a request may be lost, so a VM is asked twice before it counts as
//! not answering. A grant whose answer is lost stays used.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::oneshot;

use super::datagram::{Content, Grant};
use super::peers::Peers;

/// Timeout of each of `ATTEMPTS` requests.
const TIMEOUT: Duration = Duration::from_millis(40);
/// Number of requests to one VM for one grant.
const ATTEMPTS: usize = 2;

/// Requests whose answers are awaited.
#[derive(Debug, Default)]
pub struct Requests(RefCell<HashMap<u64, oneshot::Sender<Grant>>>);

impl Requests {
    /// Passes an answer to who awaits it.
    pub(super) fn deliver(&self, grant: Grant) {
        let Some(waiting) = self.0.borrow_mut().remove(&grant.request_id) else { return };
        // The requester may have stopped waiting meanwhile.
        let _ = waiting.send(grant);
    }
}

impl Peers {
    /// Asks the VM at `address` for a grant; none if it doesn't answer. `content` makes the
    /// message for an identifier that the answer repeats.
    pub(super) async fn ask<C>(&self, address: SocketAddr, content: C) -> Option<Grant>
    where
        C: Fn(u64) -> Content,
    {
        for _ in 0..ATTEMPTS {
            let request_id = self.context().random();
            let (sender, receiver) = oneshot::channel();
            self.grant_requests.0.borrow_mut().insert(request_id, sender);
            self.send_to(content(request_id), address);
            let answer = tokio::time::timeout(TIMEOUT, receiver).await;
            self.grant_requests.0.borrow_mut().remove(&request_id);
            if let Ok(Ok(grant)) = answer {
                return Some(grant);
            }
        }
        None
    }
}
