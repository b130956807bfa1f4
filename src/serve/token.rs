//! Tokens of organisations, taken on this VM or requested from the holder of their bucket.
//!
//! A VM that doesn't grant may know who does; that VM is asked next. Who gets no token there asks
//! the deputies for one of the reserve (`reserve`): a few of them for a new request, all of them
//! for a stream that is taken up. It has run already, and its caller, who has read a part of it
//! and has little time left, comes back once; a new request can go elsewhere or come later.

use std::time::Duration;

use super::configuration::Tenant;
use super::datagram::{self, Content, Grant, TokenRequest};
use super::member::{Member, owner, ranked};
use super::peers::{Peers, SILENT_AFTER};
use super::rate;
use super::reserve::{Claim, MAX_DEPUTIES, NO_HOLDER_RETRY};
use crate::id::Vm;

/// Number of other deputies that are asked for a new request.
const MAX_ASKED: usize = 3;
/// Time for which deputies that had nothing left aren't asked for new requests.
const EMPTY_PAUSE: Duration = Duration::from_millis(100);

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
            Some(tenant) if request.reserve => {
                limiter.take_deputy(tenant, request.claim().into(), now)
            }
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

    /// Takes a token of an organisation, for a new request or for a stream that is taken up.
    pub async fn take_token(&self, tenant: &Tenant, is_resumed: bool) -> Taken {
        let mut refusals = Vec::new();
        let (grant, source) = self.search(tenant, is_resumed, &mut refusals).await;
        Taken { grant, source, refusals }
    }

    async fn search(
        &self,
        tenant: &Tenant,
        is_resumed: bool,
        refusals: &mut Vec<&'static str>,
    ) -> (rate::Grant, &'static str) {
        let context = self.context();
        let own = context.limiter.borrow_mut().take_local(tenant, context.now());
        if own == rate::Grant::Granted {
            return (own, "own piece");
        }
        refusals.push(Answer::of(own, None).refusal);
        let (held, source) = self.take_held(tenant, refusals).await;
        if held == rate::Grant::Granted {
            return (held, source);
        }
        let (hands_over, is_uniform) = {
            let limiter = context.limiter.borrow();
            (limiter.hands_over(), limiter.is_uniform())
        };
        let (claim, wait) = match held {
            rate::Grant::NotHolder if !hands_over => {
                let grant = context.limiter.borrow_mut().take_reserve(tenant, context.now());
                return (grant, "reserve");
            }
            rate::Grant::NotHolder => (Claim::Tolerance, NO_HOLDER_RETRY),
            rate::Grant::Short(wait) => (Claim::Tolerance, wait),
            rate::Grant::Exceeded(wait) => (Claim::Limit, wait),
            rate::Grant::Granted => return (held, source),
        };
        if !is_uniform {
            return (rate::Grant::Exceeded(wait), "no reserve beside older versions");
        }
        let claim = if is_resumed { Claim::Resumption } else { claim };
        match self.take_from_deputies(tenant, claim, refusals).await {
            true => (rate::Grant::Granted, "deputy"),
            false => (rate::Grant::Exceeded(wait), "deputy"),
        }
    }

    /// Takes a token from the holder of the shared bucket; also returns who was asked last.
    async fn take_held(
        &self,
        tenant: &Tenant,
        refusals: &mut Vec<&'static str>,
    ) -> (rate::Grant, &'static str) {
        let context = self.context();
        let holder = {
            let view = context.view.borrow();
            owner(&view.members, tenant.organisation.as_str()).cloned()
        };
        let (answer, source) = match holder {
            Some(member) if &member.vm == context.vm() => (self.take_own(tenant), "own bucket"),
            Some(member) => (self.request_token(&member, tenant, None).await, "holder"),
            None => (Answer::none("no holder"), "no holder"),
        };
        if answer.grant != rate::Grant::Granted {
            refusals.push(answer.refusal);
        }
        if answer.grant != rate::Grant::NotHolder || !context.limiter.borrow().hands_over() {
            return (answer.grant, source);
        }
        let answer = self.take_from_next_holder(tenant, answer.holder).await;
        if answer.grant != rate::Grant::Granted {
            refusals.push(answer.refusal);
        }
        (answer.grant, "next holder")
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
            Some(member) => self.request_token(&member, tenant, None).await,
            None => Answer::none("no next holder"),
        }
    }

    /// Whether a token was taken from the reserve: this VM's own part is asked first, then other
    /// deputies, beginning with a random one.
    async fn take_from_deputies(
        &self,
        tenant: &Tenant,
        claim: Claim,
        refusals: &mut Vec<&'static str>,
    ) -> bool {
        let (context, now) = (self.context(), self.context().now());
        let own = context.limiter.borrow_mut().take_deputy(tenant, claim, now);
        if own == rate::Grant::Granted {
            return true;
        }
        refusals.push(Answer::of(own, None).refusal);
        let is_new = claim != Claim::Resumption;
        if is_new && self.is_reserve_empty(tenant) {
            refusals.push("empty lately");
            return false;
        }
        let deputies = self.other_deputies(tenant);
        let asked = if is_new { MAX_ASKED } else { deputies.len() };
        for deputy in deputies.iter().take(asked) {
            let answer = self.request_token(deputy, tenant, Some(claim)).await;
            if answer.grant == rate::Grant::Granted {
                return true;
            }
            refusals.push(answer.refusal);
        }
        self.record_empty_reserve(tenant);
        false
    }

    /// The other VMs that keep a part of the reserve and may answer, in a random rotation.
    fn other_deputies(&self, tenant: &Tenant) -> Vec<Member> {
        let context = self.context();
        let count = context.limiter.borrow().deputies(tenant);
        let view = context.view.borrow();
        let ranked = ranked(&view.members, tenant.organisation.as_str(), 1 + MAX_DEPUTIES);
        let others = ranked.into_iter().skip(1).take(count);
        let others = others.filter(|member| &member.vm != context.vm() && self.is_asked(member));
        let mut others: Vec<Member> = others.cloned().collect();
        if !others.is_empty() {
            let first = context.random() as usize % others.len();
            others.rotate_left(first);
        }
        others
    }

    fn is_reserve_empty(&self, tenant: &Tenant) -> bool {
        let empty = self.empty_reserves.borrow();
        empty.get(&tenant.organisation).is_some_and(|until| !until.passed(self.context().now()))
    }

    fn record_empty_reserve(&self, tenant: &Tenant) {
        let now = self.context().now();
        let mut empty = self.empty_reserves.borrow_mut();
        empty.retain(|_, until| !until.passed(now));
        empty.insert(tenant.organisation.clone(), now.after(EMPTY_PAUSE));
    }

    /// Whether a VM is asked for tokens: it isn't silent, and has answered the last request.
    fn is_asked(&self, member: &Member) -> bool {
        let unanswered = self.unanswered.borrow();
        let is_paused =
            unanswered.get(&member.vm).is_some_and(|until| !until.passed(self.context().now()));
        !is_paused && !self.is_silent(&member.vm, SILENT_AFTER)
    }

    fn member(&self, vm: &Vm) -> Option<Member> {
        let view = self.context().view.borrow();
        let listed = view.members.iter().find(|listed| &listed.member.vm == vm);
        listed.map(|listed| listed.member.clone())
    }

    /// Requests a token from the holder of a bucket, or with `claim` from a deputy.
    async fn request_token(
        &self,
        member: &Member,
        tenant: &Tenant,
        claim: Option<Claim>,
    ) -> Answer {
        if !self.is_asked(member) {
            return Answer::none("silent");
        }
        let organisation = tenant.organisation.to_string();
        let request = |request_id| {
            let claim_kind = claim.map_or(datagram::Claim::Limit, datagram::Claim::from);
            Content::TokenRequest(TokenRequest {
                request_id,
                organisation: organisation.clone(),
                reserve: claim.is_some(),
                claim: claim_kind.into(),
            })
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
            None => {
                self.record_unanswered(&member.vm);
                Answer::none("no answer")
            }
        }
    }
}

impl From<Claim> for datagram::Claim {
    fn from(claim: Claim) -> Self {
        match claim {
            Claim::Limit => Self::Limit,
            Claim::Tolerance => Self::Tolerance,
            Claim::Resumption => Self::Resumption,
        }
    }
}

impl From<datagram::Claim> for Claim {
    fn from(claim: datagram::Claim) -> Self {
        match claim {
            datagram::Claim::Limit => Self::Limit,
            datagram::Claim::Tolerance => Self::Tolerance,
            datagram::Claim::Resumption => Self::Resumption,
        }
    }
}
