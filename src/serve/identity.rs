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
//! A stream that begins over a connection that is younger than the view may begin at another
//! process than the view's. Its origin counts once the view is younger, or, if it breaks off
//! before that, by a read of the entry.
//!
//! Load: streams that go on without an older connection to their upstream, one read of the store
//! each, and none while it is away. Items go on far more often, and by `Slot::may_be_another`.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::context::Context;
use super::origin::Origin;
use super::reading::CONNECT_TIMEOUT;
use super::slot::Slot;
use crate::clock::Time;
use crate::transport::{Failure, Response};

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

/// Whether the connection of an answer was open when the view was read, so that the view's entry
/// is that of the process that answers.
pub(super) fn is_by_view(context: &Context, answer: &Response) -> bool {
    answer.opened_at <= context.view.borrow().confirmed_at
}

/// Whether another process may have taken the place of that of a slot.
pub(super) fn is_doubted(context: &Context, slot: &Slot) -> bool {
    let table = context.table.borrow();
    table.get(slot.key).is_none_or(|entry| {
        entry.failures > 0 || entry.peer_failures > 0 || entry.doubted_at.is_some()
    })
}

/// The origin of an answer that has broken off, and whose connection is younger than the view, by
/// its upstream's entry: that of its slot's process, or of one that began before the connection.
/// None if neither is registered now, or the store doesn't answer and `was_doubted`.
pub(super) async fn origin_of_broken(
    context: &Context,
    slot: &Slot,
    opened_at: Time,
    was_doubted: bool,
) -> Option<Origin> {
    let read = context.store.registration(&slot.upstream);
    let Ok(Ok(entry)) = tokio::time::timeout(READ_TIMEOUT, read).await else {
        return (!was_doubted).then(|| slot.origin.clone());
    };
    let entry = entry?;
    let open_for = opened_at.until(context.now());
    let opened_unix = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.checked_sub(open_for)?;
    let began_before = u128::from(entry.started_unix_ms) <= opened_unix.as_millis();
    (entry.process() == slot.process() || began_before).then(|| Origin::of(&entry))
}

/// The process that is believed to be there while the store can't be asked.
fn believed(context: &Context, slot: &Slot) -> Identity {
    if is_doubted(context, slot) { Identity::Other } else { Identity::Confirmed(Time::NEVER) }
}
