//! Hand-over of the buckets of rate limits between VMs (`rate::Limiter`).
//!
//! The messages may be lost, doubled or late. A release that is lost loses the tokens that it
//! carries, and the receiver waits as long as if there were none. A release is accepted only
//! if it repeats the nonce of the last request, for a short time, or comes from a VM that
//! stops: one that comes twice or late grants nothing.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::configuration::Tenant;
use super::datagram::{Content, Release, ReleaseRequest};
use super::peers::Peers;
use super::rate::{NO_REQUEST, Offer};
use crate::emit;
use crate::event::Event;
use crate::id::{Organisation, Vm};

/// Pause between two requests for the same buckets.
const REQUEST_PAUSE: Duration = Duration::from_millis(150);
/// Requests in a row, until the next read of the members' list.
const MAX_REQUESTS: usize = 4;

/// Whether this VM is requesting buckets.
#[derive(Debug, Default)]
pub struct Requesting(Cell<bool>);

impl Peers {
    /// Requests the buckets that this VM owns and can't grant from yet, from who may hold them.
    pub fn request_releases(self: &Rc<Self>) {
        if self.awaited_buckets().is_empty() || self.requesting.0.replace(true) {
            return;
        }
        let peers = self.clone();
        actix_rt::spawn(async move {
            for _ in 0..MAX_REQUESTS {
                let awaited = peers.awaited_buckets();
                if awaited.is_empty() {
                    break;
                }
                for (organisation, holders) in awaited {
                    peers.request_release(&organisation, &holders);
                }
                tokio::time::sleep(REQUEST_PAUSE).await;
            }
            peers.requesting.0.set(false);
        });
    }

    fn awaited_buckets(&self) -> Vec<(Organisation, Vec<Vm>)> {
        self.context().limiter.borrow().awaited(self.context().now())
    }

    fn request_release(&self, organisation: &Organisation, holders: &[Vm]) {
        let (context, now) = (self.context(), self.context().now());
        let nonce = context.random().max(NO_REQUEST + 1);
        context.limiter.borrow_mut().record_request(organisation, nonce, now);
        for address in holders.iter().filter_map(|vm| self.address_of(vm)) {
            let organisation = organisation.to_string();
            self.send_to(Content::ReleaseRequest(ReleaseRequest { organisation, nonce }), address);
        }
    }

    /// Lets go of a bucket that another VM requests.
    pub(super) fn release_bucket(&self, vm: &str, request: &ReleaseRequest, from: SocketAddr) {
        let (context, now) = (self.context(), self.context().now());
        let Some(tenant) = self.tenant(&request.organisation) else { return };
        let released = context.limiter.borrow_mut().release(&tenant, &Vm::from(vm), now);
        count(if released.is_some() { "released" } else { "not granting" });
        if let Some(tokens) = released {
            let release = Release {
                organisation: tenant.organisation.to_string(),
                tokens,
                nonce: request.nonce,
            };
            self.send_release(release, vm, from);
        }
    }

    fn send_release(&self, release: Release, to: &str, address: SocketAddr) {
        emit!(self.context().log, Event::RateReleased,
            "organisation" => release.organisation.as_str(), "to" => to,
            "tokens" => release.tokens);
        self.send_to(Content::Release(release), address);
    }

    /// Takes over a bucket that another VM let go of.
    pub(super) fn accept_bucket(&self, vm: &str, release: &Release) {
        let (context, now) = (self.context(), self.context().now());
        let Some(tenant) = self.tenant(&release.organisation) else { return };
        let view = context.view.borrow();
        let offer = Offer { tokens: release.tokens, from: Vm::from(vm), nonce: release.nonce };
        let accepted = context.limiter.borrow_mut().accept(&tenant, &offer, &view.members, now);
        count(if accepted { "accepted" } else { "declined" });
        if accepted {
            emit!(context.log, Event::RateTaken, "organisation" => release.organisation.as_str(),
                "from" => vm, "tokens" => release.tokens);
        }
    }

    /// Hands all buckets over, because this VM has been marked as leaving.
    pub fn hand_over_buckets(&self) {
        let (context, now) = (self.context(), self.context().now());
        let Some(configuration) = context.configuration() else { return };
        let view = context.view.borrow();
        let transfers =
            context.limiter.borrow_mut().hand_over(configuration.tenants(), &view.members, now);
        for transfer in transfers {
            let Some(address) = self.address_of(&transfer.to) else { continue };
            let release = Release {
                organisation: transfer.organisation.to_string(),
                tokens: transfer.tokens,
                nonce: NO_REQUEST,
            };
            self.send_release(release, transfer.to.as_str(), address);
        }
    }

    fn tenant(&self, organisation: &str) -> Option<Tenant> {
        self.context().configuration()?.tenant(&organisation.into()).cloned()
    }
}

fn count(outcome: &'static str) {
    metrics::counter!("serve_rate_releases_total", "outcome" => outcome).increment(1);
}
