//! Tokens of organisations, taken on this VM or asked for at the holder of their bucket.

use std::time::Duration;

use super::configuration::Tenant;
use super::datagram::{Content, Grant, TokenRequest};
use super::member::{Member, owner};
use super::peers::{Peers, SILENT_AFTER};
use super::rate;

impl Peers {
    /// Answers another VM's request for a token.
    pub(super) fn grant_token(&self, request: &TokenRequest) -> Grant {
        let organisation = request.organisation.as_str().into();
        let context = self.context();
        let configuration = context.configuration();
        let tenant = configuration.as_ref().and_then(|current| current.tenant(&organisation));
        let grant = tenant.map_or(rate::Grant::NotHolder, |tenant| {
            context.limiter.borrow_mut().grant(tenant, context.now())
        });
        let (granted, not_holder, wait_ms) = match grant {
            rate::Grant::Granted => (true, false, 0),
            rate::Grant::NotHolder => (false, true, 0),
            rate::Grant::Exceeded(wait) => (false, false, wait.as_millis() as u64),
        };
        Grant { request_id: request.request_id, granted, not_holder, wait_ms }
    }

    /// Takes a token of an organisation; also returns the source of the token.
    pub async fn take_token(&self, tenant: &Tenant) -> (rate::Grant, &'static str) {
        let context = self.context();
        let own = context.limiter.borrow_mut().take_local(tenant, context.now());
        if own == rate::Grant::Granted {
            return (own, "own piece");
        }
        let holder = {
            let view = context.view.borrow();
            owner(&view.members, tenant.organisation.as_str()).cloned()
        };
        let answer = match holder {
            Some(member) if &member.vm == context.vm() => {
                let grant = context.limiter.borrow_mut().grant(tenant, context.now());
                (grant, "own bucket")
            }
            Some(member) => (self.request_token(&member, tenant).await, "holder"),
            None => (rate::Grant::NotHolder, "no holder"),
        };
        if answer.0 != rate::Grant::NotHolder {
            return answer;
        }
        let grant = context.limiter.borrow_mut().take_reserve(tenant, context.now());
        (grant, "reserve")
    }

    async fn request_token(&self, holder: &Member, tenant: &Tenant) -> rate::Grant {
        if self.is_silent(&holder.vm, SILENT_AFTER) {
            return rate::Grant::NotHolder;
        }
        let organisation = tenant.organisation.to_string();
        let request = |request_id| {
            Content::TokenRequest(TokenRequest { request_id, organisation: organisation.clone() })
        };
        match self.ask(holder.peer, request).await {
            Some(Grant { granted: true, .. }) => rate::Grant::Granted,
            Some(Grant { not_holder: true, .. }) | None => rate::Grant::NotHolder,
            Some(Grant { wait_ms, .. }) => rate::Grant::Exceeded(Duration::from_millis(wait_ms)),
        }
    }
}
