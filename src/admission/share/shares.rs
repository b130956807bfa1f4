//! Rate limiter over conserved shares.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use parking_lot::Mutex;

use super::{Denial, Holder, Report, Table, codec};
use crate::admission::{Limiter, refusal};
use crate::clock::Time;
use crate::context::Context;
use crate::error::{Error, Kind, Result};
use crate::id::{Organisation, Vm};
use crate::wire::limits;

/// Maximum number of lenders that one request tries.
const MAX_LENDERS: usize = 2;
/// Timeout of one request to a lender; tokens that arrive later have expired.
const BORROW_TIMEOUT: Duration = super::LOAN_TTL;

/// Rate limiter over this VM's shares; cheap to clone.
#[derive(Clone)]
pub struct Shares {
    inner: Arc<Inner>,
}

struct Inner {
    context: Context,
    holder: Mutex<Option<Holder>>,
}

impl Shares {
    /// Creates a limiter that grants nothing until `follow` runs on the control arbiter.
    pub fn new(context: Context) -> Self {
        Self { inner: Arc::new(Inner { context, holder: Mutex::new(None) }) }
    }

    /// Context of this VM.
    pub fn context(&self) -> &Context {
        &self.inner.context
    }

    /// Runs `operation` on the holder; returns `None` until this VM is a member.
    pub(super) fn with<F, R>(&self, operation: F) -> Option<R>
    where
        F: FnOnce(&mut Holder, Time) -> R,
    {
        let now = self.inner.context.clock.now();
        let mut holder = self.inner.holder.lock();
        if holder.is_none() {
            let view = self.inner.context.shared.load();
            let own = view.members.get(&self.inner.context.vm)?;
            *holder = Some(Holder::new(own.vm.clone(), own.incarnation));
        }
        holder.as_mut().map(|holder| operation(holder, now))
    }

    /// Answers a peer's query about the table.
    pub fn report(&self, query: &limits::Query) -> Result<limits::Report> {
        if let Some(table) = query.table.as_deref().and_then(codec::decode_table) {
            self.with(|holder, now| holder.adopt(Arc::new(table), now));
        }
        self.with(|holder, now| {
            let report = holder.report(now);
            let newer = holder.table().step() > (query.epoch, query.settled);
            codec::encode_report(&report, newer.then(|| holder.table()))
        })
        .ok_or_else(|| Error::new(Kind::Peer, "not a member yet"))
    }

    /// Lends tokens to a peer.
    pub fn lend(&self, borrow: &limits::Borrow) -> limits::Loan {
        let organisation = Organisation::from(borrow.organisation.as_str());
        let contact = self.inner.context.shared.contact.clone();
        let lent = self.with(|holder, now| {
            let want = if contact.holds(now) { borrow.want } else { 0 };
            let (count, next) = holder.lend(&organisation, want, now);
            let next_us = (next != Time::NEVER).then(|| now.until(next).as_micros() as u64);
            limits::Loan { count, next_us }
        });
        lent.unwrap_or_default()
    }

    /// Records a peer's report and adopts its table if that is newer.
    pub(super) fn observe_report(
        &self,
        peer: &Vm,
        answer: &limits::Report,
        requested_at: Time,
    ) -> Option<Report> {
        let report = codec::decode_report(answer);
        self.with(|holder, now| {
            if let Some(table) = answer.table.as_deref().and_then(codec::decode_table) {
                holder.adopt(Arc::new(table), now);
            }
            holder.observe_report(peer, &report, requested_at, now);
        })?;
        Some(report)
    }

    /// The adopted table.
    pub(super) fn table(&self) -> Arc<Table> {
        self.with(|holder, _| holder.table().clone()).unwrap_or_default()
    }

    fn take_local(&self, organisation: &Organisation) -> std::result::Result<(), Denial> {
        let contact = self.inner.context.shared.contact.clone();
        let taken = self.with(|holder, now| match contact.holds(now) {
            true => holder.take(organisation, now),
            false => Err(Denial::Unconfirmed),
        });
        taken.unwrap_or(Err(Denial::Unconfirmed))
    }

    async fn borrow(&self, organisation: &Organisation) -> Result<bool> {
        let lender = self.with(|holder, now| {
            Some((holder.lender(organisation, now)?, holder.missing(organisation)))
        });
        let Some((lender, want)) = lender.flatten() else { return Ok(false) };
        let view = self.inner.context.shared.load();
        let requested_at = self.inner.context.clock.now();
        let want = limits::Borrow { organisation: organisation.to_string(), want };
        let lent = match view.members.get(&lender) {
            Some(member) => {
                let client = self.inner.context.peers.get(member.peer);
                client.call(codec::message(limits::Body::Borrow(want)), BORROW_TIMEOUT).await.ok()
            }
            None => None,
        };
        let lent = lent.and_then(codec::decode_loan);
        let taken = self.with(|holder, now| match lent {
            Some(lent) if lent.count > 0 => {
                holder.receive(organisation, lent.count, requested_at, now);
                holder.take(organisation, now).is_ok()
            }
            answer => {
                let next = answer.map(|lent| match lent.next_us {
                    Some(micros) => now.after(Duration::from_micros(micros)),
                    None => Time::NEVER,
                });
                holder.mark_empty(organisation, lender, next, now);
                false
            }
        });
        Ok(taken.unwrap_or(false))
    }

    async fn take_any(&self, organisation: &Organisation) -> Result<()> {
        for _ in 0..MAX_LENDERS {
            match self.take_local(organisation) {
                Ok(()) => return Ok(()),
                Err(Denial::Unconfirmed) => return Err(refusal::out_of_contact()),
                Err(Denial::Until(_)) => {}
            }
            if self.borrow(organisation).await? {
                return Ok(());
            }
        }
        let next = self.with(|holder, now| (now, holder.next_token(organisation, now)));
        let (now, next) = next.unwrap_or((Time(0), Time::NEVER));
        Err(refusal::rate_exceeded(organisation, now, next))
    }
}

impl Limiter for Shares {
    fn take(&self, organisation: &Organisation) -> LocalBoxFuture<'_, Result<()>> {
        let organisation = organisation.clone();
        Box::pin(async move { self.take_any(&organisation).await })
    }

    fn refund(&self, organisation: &Organisation) {
        self.with(|holder, now| holder.refund(organisation, now));
    }
}
