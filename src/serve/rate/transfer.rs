//! Buckets that pass from one VM to another.

use super::{
    HeldBucket, Limiter, MEMBERS_MARGIN, NO_REQUEST, Offer, RELEASE_REPEATED_FOR, REQUEST_LIFETIME,
    Release, Request, Transfer, Window, holder_max_age,
};
use crate::clock::Time;
use crate::id::{Organisation, Vm};
use crate::serve::bucket::Bucket;
use crate::serve::configuration::Tenant;
use crate::serve::member::{Listed, ranked};

impl Limiter {
    /// Lets go of all buckets, because this VM has been marked as leaving: each goes to the VM
    /// that owns it without this one.
    pub fn hand_over(
        &mut self,
        tenants: &[Tenant],
        members: &[Listed],
        now: Time,
    ) -> Vec<Transfer> {
        let mut transfers = Vec::new();
        for tenant in tenants {
            let highest = ranked(members, tenant.organisation.as_str(), 2);
            let Some(heir) = highest.into_iter().find(|member| member.vm != self.vm) else {
                continue;
            };
            if !self.grants(&tenant.organisation, now) {
                continue;
            }
            let Some(tokens) = self.release(tenant, &heir.vm, now) else { continue };
            let organisation = tenant.organisation.clone();
            transfers.push(Transfer { organisation, to: heir.vm.clone(), tokens });
        }
        transfers
    }

    /// Lets go of a bucket in favour of `to`; the tokens that are left in it, or none if this
    /// VM doesn't grant from it. Repeats its answer for a while. A VM that waits to grant
    /// waits anew: `to` has a list that names it as the owner.
    pub fn release(&mut self, tenant: &Tenant, to: &Vm, now: Time) -> Option<f64> {
        if !self.hands_over {
            return None;
        }
        let organisation = &tenant.organisation;
        if self.grants(organisation, now) {
            let tokens = self.balance(tenant, now);
            self.held_buckets.remove(organisation);
            self.releases.insert(organisation.clone(), Release { to: to.clone(), tokens, at: now });
            return Some(tokens);
        }
        let wait = holder_max_age(self.max_members() + MEMBERS_MARGIN);
        if let Some(held) = self.held_buckets.get_mut(organisation) {
            held.from = now.after(wait);
        }
        let release = self.releases.get(organisation)?;
        let is_repeated = &release.to == to && !release.at.after(RELEASE_REPEATED_FOR).passed(now);
        is_repeated.then_some(release.tokens)
    }

    /// Takes a bucket that was let go of; whether this VM grants from it now. It doesn't if
    /// it has not requested it of late, its list is too old, or the list names another VM as
    /// the owner even without the sender.
    pub fn accept(
        &mut self,
        tenant: &Tenant,
        offer: &Offer,
        members: &[Listed],
        now: Time,
    ) -> bool {
        let Offer { tokens, from, nonce } = offer;
        let organisation = &tenant.organisation;
        let sender = members.iter().find(|listed| &listed.member.vm == from);
        let stops = sender.is_some_and(|listed| listed.member.leaving);
        if !self.is_expected(organisation, *nonce, stops, now) {
            return false;
        }
        let highest = ranked(members, organisation.as_str(), 2);
        let heir = highest.into_iter().find(|member| &member.vm != from);
        let is_heir = heir.is_some_and(|member| member.vm == self.vm);
        let is_valid = tokens.is_finite() && *tokens >= 0.0;
        let may_take = !self.holder_until().passed(now) && !self.grants(organisation, now);
        if !self.hands_over || !is_heir || !is_valid || !may_take {
            return false;
        }
        self.requests.remove(organisation);
        let bucket = Bucket::new(tokens.min(tenant.burst), now);
        let granted = Window::default();
        let held_bucket = HeldBucket { from: now, bucket, granted, accepted_at: Some(now) };
        self.held_buckets.insert(organisation.clone(), held_bucket);
        self.releases.remove(organisation);
        true
    }

    /// Buckets that this VM owns by its list but can't grant from yet, each with the VMs that
    /// may hold it.
    pub fn awaited(&self, now: Time) -> Vec<(Organisation, Vec<Vm>)> {
        if !self.hands_over || self.holder_until().passed(now) {
            return Vec::new();
        }
        let waiting = self.held_buckets.iter().filter(|(_, held)| !held.from.passed(now));
        waiting.map(|(organisation, _)| (organisation.clone(), self.rivals(organisation))).collect()
    }

    /// VMs other than this one that may hold a bucket.
    fn rivals(&self, organisation: &Organisation) -> Vec<Vm> {
        let Some(ownership) = self.ownerships.get(organisation) else { return Vec::new() };
        let mut rivals: Vec<Vm> = Vec::new();
        for vm in [&ownership.earlier, &ownership.second].into_iter().flatten() {
            if vm != &self.vm && !rivals.contains(vm) {
                rivals.push(vm.clone());
            }
        }
        rivals
    }

    /// Who is to be asked for a token instead of this VM, if it knows.
    pub fn other_holder(&self, organisation: &Organisation, now: Time) -> Option<Vm> {
        if self.grants(organisation, now) {
            return None;
        }
        if let Some(release) = self.releases.get(organisation) {
            return Some(release.to.clone());
        }
        let owner = self.ownerships.get(organisation)?.owner.as_ref()?;
        if owner != &self.vm {
            return Some(owner.clone());
        }
        self.rivals(organisation).into_iter().next()
    }

    /// Whether buckets are handed over.
    pub fn hands_over(&self) -> bool {
        self.hands_over
    }

    /// Whether all members of the fleet hand buckets over, by the last list.
    pub fn is_uniform(&self) -> bool {
        self.is_uniform
    }

    /// Records that this VM requests a bucket; the answer repeats `nonce`.
    pub fn record_request(&mut self, organisation: &Organisation, nonce: u64, now: Time) {
        let request = Request { nonce, until: now.after(REQUEST_LIFETIME) };
        self.requests.insert(organisation.clone(), request);
    }

    /// Whether a release answers the last request, or comes from a VM that stops.
    fn is_expected(&self, organisation: &Organisation, nonce: u64, stops: bool, now: Time) -> bool {
        let request = self.requests.get(organisation);
        let is_answer =
            request.is_some_and(|request| request.nonce == nonce && !request.until.passed(now));
        is_answer || (nonce == NO_REQUEST && stops)
    }
}
