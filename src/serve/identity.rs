//! Checks that a connection leads to the process that an upstream's entry names.
//!
//! An upstream may start again under its identifier and address with another version of its
//! software, and a stream may go on only at the version that began it. An upstream registers
//! before it takes requests. So the entry, read once a connection is open, is that of the process
//! at its other end; an entry read before may be that of an earlier process.
//!
//! While the store can't be asked, an upstream is believed to be the same as long as no run or
//! connect has failed there since its last first event, and no VM has seen its process gone since
//! that was last shown to be the same: by its entry, or by a read of the store while a
//! connection was open that is younger. That it answers again shows nothing, as the next process
//! does so too.
//!
//! Load: streams that go on without an older connection to their upstream, one read of the store
//! each, and none while it is away. Items go on far more often, and by `Slot::may_be_another`.

use std::time::Duration;

use super::context::Context;
use super::origin::Origin;
use super::reading::CONNECT_TIMEOUT;
use super::slot::Slot;
use crate::clock::Time;
use crate::transport::Failure;

/// Timeout of the read of an entry: the store answers in milliseconds, or in a quarter of a
/// second when it is slow.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Age of the view from which on the store isn't asked: it is away, or this VM can't reach it.
const STORE_AWAY: Duration = Duration::from_millis(1_500);

/// Which process the connections to an upstream lead to.
pub(super) enum Identity {
    /// That of the slot, for connections that were open by this time.
    Confirmed(Time),
    /// Another one, or none that is known.
    Other,
    /// No connection could be opened.
    Unreached(Failure),
}

/// The process at the address of a slot, by the view if it was read after a connection had been
/// opened, else by the upstream's entry.
pub(super) async fn identity(context: &Context, slot: &Slot) -> Identity {
    let confirmed_at = context.view.borrow().confirmed_at;
    if context.pool.has_idle_opened_by(slot.address, confirmed_at) {
        return Identity::Confirmed(confirmed_at);
    }
    if confirmed_at.after(STORE_AWAY).passed(context.now()) {
        return believed(context, slot);
    }
    let is_open = context.pool.has_idle_opened_by(slot.address, context.now());
    if !is_open && let Err(failure) = context.pool.open(slot.address, CONNECT_TIMEOUT).await {
        return Identity::Unreached(failure);
    }
    let asked_at = context.now();
    let read = context.store.registration(&slot.upstream);
    let Ok(Ok(entry)) = tokio::time::timeout(READ_TIMEOUT, read).await else {
        return believed(context, slot);
    };
    let is_same = entry.is_some_and(|entry| {
        entry.process() == slot.process() && Origin::of(&entry) == slot.origin
    });
    if !is_same {
        return Identity::Other;
    }
    context.table.borrow_mut().confirm(slot.key);
    Identity::Confirmed(asked_at)
}

/// Confirms the upstreams that a read of the store, sent at `sent_at`, shows to be the processes
/// that their entries name.
pub(super) fn confirm(context: &Context, sent_at: Time) {
    let doubted = context.table.borrow().doubted();
    for (key, address, doubted_at) in doubted {
        if context.pool.has_idle_opened_within(address, doubted_at, sent_at) {
            context.table.borrow_mut().confirm(key);
        }
    }
}

/// The process that is believed to be there while the store can't be asked.
fn believed(context: &Context, slot: &Slot) -> Identity {
    let table = context.table.borrow();
    let is_doubted = table.get(slot.key).is_none_or(|entry| {
        entry.failures > 0 || entry.peer_failures > 0 || entry.doubted_at.is_some()
    });
    if is_doubted { Identity::Other } else { Identity::Confirmed(Time::NEVER) }
}
