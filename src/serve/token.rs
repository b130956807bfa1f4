//! Tokens of organisations, taken on this VM or requested from the holder of their bucket.
//!
//! A VM that doesn't grant may know who does; that VM is asked next. Without a holder the
//! reserve is used (`reserve`).

use std::time::Duration;

use super::configuration::Tenant;
use super::datagram::{Content, Grant, TokenRequest};
use super::member::{Member, owner, ranked};
use super::peers::{Peers, SILENT_AFTER};
use super::rate;
use super::reserve::{DEPUTIES, NO_HOLDER_RETRY};
use crate::id::Vm;

/// Answer of a VM that was asked for a token.
struct Answer {
    grant: rate::Grant,
    /// Who is to be asked instead.
    holder: Option<Vm>,
    /// Why there is none, for the log.
    refusal: &'static str,
}

impl Answer {
    /// The VM wasn't asked, or didn't answer.
    const fn none(refusal: &'static str) -> Self {
        Self { grant: rate::Grant::NotHolder, holder: None, refusal }
    }

    /// The answer of a VM that isn't the holder, or refuses.
    fn of(grant: rate::Grant, holder: Option<Vm>) -> Self {
        let refusal = match grant {
            rate::Grant::Granted => "",
            rate::Grant::Exceeded(_) => "exceeded",
            rate::Grant::Short(_) => "short",
            rate::Grant::NotHolder => "not holder",
        };
        Self { grant, holder, refusal }
    }
}

/// Result of the search for a token.
pub struct Taken {
    /// Whether a token was taken.
    pub grant: rate::Grant,
    /// The source that was asked last.
    pub source: &'static str,
    /// Why each source before it, and that one if it refused, gave none.
    pub refusals: Vec<&'static str>,
}

impl Peers {
    /// Answers another VM's request for a token.
    pub(super) fn grant_token(&self, request: &TokenRequest) -> Grant {
        let organisation = request.organisation.as_str().into();
        let (context, now) = (self.context(), self.context().now());
        let configuration = context.configuration();
        let tenant = configuration.as_ref().and_then(|current| current.tenant(&organisation));
        let mut limiter = context.limiter.borrow_mut();
        let grant = match tenant {
            Some(tenant) if request.reserve => limiter.take_deputy(tenant, now),
            Some(tenant) => limiter.grant(tenant, now),
            None => rate::Grant::NotHolder,
        };
        let (granted, not_holder, wait_ms) = match grant {
            rate::Grant::Granted => (true, false, 0),
            rate::Grant::NotHolder => (false, true, 0),
            rate::Grant::Exceeded(wait) | rate::Grant::Short(wait) => {
                (false, false, wait.as_millis() as u64)
            }
        };
        let short = matches!(grant, rate::Grant::Short(_));
        let holder = limiter.other_holder(&organisation, now).filter(|_| not_holder);
        let holder = holder.map(|vm| vm.to_string()).unwrap_or_default();
        Grant { request_id: request.request_id, granted, not_holder, wait_ms, holder, short }
    }

    /// Takes a token of an organisation.
    pub async fn take_token(&self, tenant: &Tenant) -> Taken {
        let mut refusals = Vec::new();
        let (grant, source) = self.search(tenant, &mut refusals).await;
        Taken { grant, source, refusals }
    }

    async fn search(
        &self,
        tenant: &Tenant,
        refusals: &mut Vec<&'static str>,
    ) -> (rate::Grant, &'static str) {
        let context = self.context();
        let own = context.limiter.borrow_mut().take_local(tenant, context.now());
        if own == rate::Grant::Granted {
            return (own, "own piece");
        }
        refusals.push(Answer::of(own, None).refusal);
        let holder = {
            let view = context.view.borrow();
            owner(&view.members, tenant.organisation.as_str()).cloned()
        };
        let (answer, source) = match holder {
            Some(member) if &member.vm == context.vm() => (self.take_own(tenant), "own bucket"),
            Some(member) => (self.request_token(&member, tenant, false).await, "holder"),
            None => (Answer::none("no holder"), "no holder"),
        };
        if answer.grant == rate::Grant::Granted {
            return (answer.grant, source);
        }
        refusals.push(answer.refusal);
        match answer.grant {
            rate::Grant::NotHolder => {}
            rate::Grant::Short(wait) => {
                return (self.take_short(tenant, wait, refusals).await, "short");
            }
            rate::Grant::Granted | rate::Grant::Exceeded(_) => return (answer.grant, source),
        }
        if !context.limiter.borrow().hands_over() {
            let grant = context.limiter.borrow_mut().take_reserve(tenant, context.now());
            return (grant, "reserve");
        }
        let answer = self.take_from_next_holder(tenant, answer.holder).await;
        if answer.grant == rate::Grant::Granted {
            return (answer.grant, "next holder");
        }
        refusals.push(answer.refusal);
        match answer.grant {
            rate::Grant::NotHolder => {}
            rate::Grant::Short(wait) => {
                return (self.take_short(tenant, wait, refusals).await, "short");
            }
            grant => return (grant, "next holder"),
        }
        if !context.limiter.borrow().is_uniform() {
            return (rate::Grant::Exceeded(NO_HOLDER_RETRY), "no reserve beside older versions");
        }
        (self.take_from_deputies(tenant, refusals).await, "deputy")
    }

    /// Takes a token from the reserve, as the holder's bucket is empty for `wait`.
    async fn take_short(
        &self,
        tenant: &Tenant,
        wait: Duration,
        refusals: &mut Vec<&'static str>,
    ) -> rate::Grant {
        if !self.context().limiter.borrow().is_uniform() {
            return rate::Grant::Exceeded(wait);
        }
        match self.take_from_deputies(tenant, refusals).await {
            rate::Grant::Granted => rate::Grant::Granted,
            _ => rate::Grant::Exceeded(wait),
        }
    }

    fn take_own(&self, tenant: &Tenant) -> Answer {
        let (context, now) = (self.context(), self.context().now());
        let mut limiter = context.limiter.borrow_mut();
        let grant = limiter.grant(tenant, now);
        Answer::of(grant, limiter.other_holder(&tenant.organisation, now))
    }

    /// Takes a token from the VM that another one named as the holder.
    async fn take_from_next_holder(&self, tenant: &Tenant, holder: Option<Vm>) -> Answer {
        let member = holder.and_then(|vm| self.member(&vm));
        match member {
            Some(member) if &member.vm == self.context().vm() => self.take_own(tenant),
            Some(member) => self.request_token(&member, tenant, false).await,
            None => Answer::none("no next holder"),
        }
    }

    /// Takes a token from the reserve.
    async fn take_from_deputies(
        &self,
        tenant: &Tenant,
        refusals: &mut Vec<&'static str>,
    ) -> rate::Grant {
        let context = self.context();
        let deputies: Vec<Member> = {
            let view = context.view.borrow();
            let ranked = ranked(&view.members, tenant.organisation.as_str(), 1 + DEPUTIES);
            ranked.into_iter().skip(1).cloned().collect()
        };
        let mut refusal = rate::Grant::Exceeded(NO_HOLDER_RETRY);
        for deputy in deputies {
            let answer = match &deputy.vm == context.vm() {
                true => {
                    let own = context.limiter.borrow_mut().take_deputy(tenant, context.now());
                    Answer::of(own, None)
                }
                false => self.request_token(&deputy, tenant, true).await,
            };
            if answer.grant == rate::Grant::Granted {
                return answer.grant;
            }
            refusals.push(answer.refusal);
            if matches!(answer.grant, rate::Grant::Exceeded(_)) {
                refusal = answer.grant;
            }
        }
        refusal
    }

    fn member(&self, vm: &Vm) -> Option<Member> {
        let view = self.context().view.borrow();
        let listed = view.members.iter().find(|listed| &listed.member.vm == vm);
        listed.map(|listed| listed.member.clone())
    }

    async fn request_token(&self, member: &Member, tenant: &Tenant, reserve: bool) -> Answer {
        if self.is_silent(&member.vm, SILENT_AFTER) {
            return Answer::none("silent");
        }
        let organisation = tenant.organisation.to_string();
        let request = |request_id| {
            let organisation = organisation.clone();
            Content::TokenRequest(TokenRequest { request_id, organisation, reserve })
        };
        match self.ask(member.peer, request).await {
            Some(Grant { granted: true, .. }) => Answer::of(rate::Grant::Granted, None),
            Some(Grant { not_holder: true, holder, .. }) => {
                let holder = Some(holder).filter(|vm| !vm.is_empty()).map(Vm::from);
                Answer::of(rate::Grant::NotHolder, holder)
            }
            Some(Grant { wait_ms, short, .. }) => {
                let wait = Duration::from_millis(wait_ms);
                let grant = match short {
                    true => rate::Grant::Short(wait),
                    false => rate::Grant::Exceeded(wait),
                };
                Answer::of(grant, None)
            }
            None => Answer::none("no answer"),
        }
    }
}
