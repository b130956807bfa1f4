//! Selection of the upstream of an attempt, and how long to wait if there is none.

use std::time::Duration;

use super::context::Context;
use super::exchange::{Admitted, History};
use super::place::{self, Choice, Criteria};
use super::refusal::{at_limit_error, no_upstream_error};
use crate::clock::Time;
use crate::error::{Kind, Result};

/// Refusals by upstreams after which a request is refused.
const MAX_REFUSALS: usize = 4;
/// Pause before the next selection when no upstream is usable.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Maximum time to wait for a usable upstream.
const TIMEOUT: Duration = Duration::from_millis(250);
/// The same for a stream that has begun, while all its upstreams are at their limits.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What a request may still wait for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Patience {
    /// Refusals by upstreams so far, and times at which all were tried again.
    refusals: usize,
    /// Time until which it waits for a usable upstream.
    until: Time,
    /// Time until which it waits for one that is at its limit.
    until_open: Time,
}

impl Patience {
    /// Patience of a request that begins to look for an upstream; `resumed` for a stream that
    /// goes on within its answer.
    pub fn new(context: &Context, admitted: &Admitted, resumed: bool) -> Self {
        let now = context.now();
        let until = now.after(TIMEOUT);
        let has_begun = resumed || admitted.version.is_some();
        let until_open = match admitted.route.latency_target_ms {
            _ if has_begun => now.after(RESUME_TIMEOUT),
            0 => until,
            target_ms => {
                let timing = context.table.borrow().timing(&admitted.service);
                let first_event = Duration::from_secs_f64(timing.first_event_ms / 1e3);
                let wait = Duration::from_millis(target_ms).saturating_sub(first_event);
                until.min(admitted.started_at.after(wait))
            }
        };
        Self { refusals: 0, until, until_open }
    }

    /// Records a refusal by an upstream; whether the request is to be refused.
    pub fn record_refusal(&mut self) -> bool {
        self.refusals += 1;
        self.refusals >= MAX_REFUSALS
    }
}

/// Selects the upstream for the next attempt; none if none is usable.
pub(super) fn select(context: &Context, admitted: &Admitted, history: &History) -> Option<Choice> {
    let criteria = criteria(context, admitted, history);
    place::online(&context.table.borrow(), criteria, context.now())
}

/// Waits for the next selection after one that found none; an error if that is in vain.
pub(super) async fn wait(
    context: &Context,
    admitted: &Admitted,
    history: &mut History,
    patience: &mut Patience,
) -> Result<()> {
    let now = context.now();
    let opens_at =
        place::opens_at(&context.table.borrow(), criteria(context, admitted, history), now);
    if !history.tried.is_empty() && patience.refusals < MAX_REFUSALS {
        history.tried.clear();
        patience.refusals += 1;
    } else if let Some(opens_at) = opens_at {
        if opens_at > patience.until_open {
            return Err(at_limit_error(context, admitted, history, opens_at));
        }
        tokio::time::sleep(now.until(opens_at)).await;
        return Ok(());
    } else if context.table.borrow().all_leave(&admitted.service) {
        let detail = format!("all upstreams of {} leave or are evacuated", admitted.service);
        return Err(no_upstream_error(context, history, Kind::NoUpstream, &detail));
    } else if patience.until.passed(now) {
        let detail = "no upstream is usable";
        return Err(no_upstream_error(context, history, Kind::NoUpstream, detail));
    }
    tokio::time::sleep(RETRY_PAUSE).await;
    Ok(())
}

fn criteria<'a>(
    context: &'a Context,
    admitted: &'a Admitted,
    history: &'a History,
) -> Criteria<'a> {
    Criteria {
        service: &admitted.service,
        version: admitted.version.as_ref(),
        data_centre: &context.member.data_centre,
        tried: &history.tried,
        // Limited upstreams are left to items only while online requests don't lack grants.
        items_wait: context.items_wait()
            && !context.priority.borrow().is_online_short(context.now()),
        tie_breaker: context.random(),
    }
}
