//! A planned stop that cuts no request.
//!
//! The VM says that it is leaving and goes on serving until every answer of
//! `GET /v1/entries` that named it has expired. Near the end it asks callers
//! to close their connections; then it takes no new ones, finishes what runs
//! and ends. Its shares and leases move away meanwhile, as leaving members
//! hold none.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::api::entries::MAX_LIFETIME_MS;
use crate::clock::Time;
use crate::context::Context;
use crate::control::Handle;
use crate::view::{Role, State, View};

/// Time until every VM in contact knows that this one is leaving.
const NEWS: Duration = Duration::from_secs(3);
/// Time before the end in which answers close their connections.
const CLOSING: Duration = Duration::from_secs(2);
/// Bound on finishing what runs: no route lets a request run longer.
pub const FINISH_TIMEOUT_S: u64 = 3_600;
/// Bound on telling the platform that this VM is gone.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Deadlines of one planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// From here on answers close their connections.
    pub close: Time,
    /// From here on no caller comes of an answer that named this VM.
    pub end: Time,
}

impl Schedule {
    /// Plans a stop that begins at `now`. A VM without others that could
    /// serve its callers has nothing to wait for.
    pub fn new(alone: bool, now: Time) -> Self {
        if alone {
            return Self { close: now, end: now };
        }
        let end = now.after(NEWS + Duration::from_millis(MAX_LIFETIME_MS));
        Self { close: Time(end.0 - CLOSING.as_micros() as u64), end }
    }
}

/// Whether answers should close their connections; shared by all threads.
#[derive(Clone, Debug, Default)]
pub struct Closing(Arc<AtomicBool>);

impl Closing {
    /// Whether answers should close their connections.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Marks this VM as leaving and waits until no caller is sent to it any more.
pub async fn run(context: &Context, handle: &Handle, closing: &Closing) {
    handle.set_state(State::Leaving);
    let now = context.clock.now();
    let schedule = Schedule::new(alone(&context.shared.load(), context), now);
    actix_rt::time::sleep(now.until(schedule.close)).await;
    closing.0.store(true, Ordering::Relaxed);
    actix_rt::time::sleep(context.clock.now().until(schedule.end)).await;
}

/// Tells the fleet that this VM is gone; the platform may be unreachable.
pub async fn deregister(handle: &Handle) {
    let _ = actix_rt::time::timeout(LEAVE_TIMEOUT, handle.deregister()).await;
}

fn alone(view: &View, context: &Context) -> bool {
    let serves = |member: &&crate::view::Member| {
        member.role == Role::Entry && member.state == State::Live && member.vm != context.vm
    };
    !view.members.values().any(|member| serves(&member))
}
