//! Graceful shutdown that doesn't interrupt requests.
//!
//! The VM announces that it is leaving and continues to serve until every answer of
//! `GET /v1/entries` that listed it has expired. Towards the end, responses ask callers to close
//! their connections. The VM then accepts no new connections, finishes running requests and exits.
//! Its shares and leases move to other VMs in the meantime, as leaving members hold none.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::api::entries::MAX_LIFETIME_MS;
use crate::clock::Time;
use crate::context::Context;
use crate::control::Handle;
use crate::view::{Role, State, View};

/// Time within which every VM in contact learns that this one is leaving.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Period before the end of the drain in which responses close their connections.
const CLOSE_PERIOD: Duration = Duration::from_secs(2);
/// Maximum time for running requests to finish, in seconds; no route allows a longer timeout.
pub const FINISH_TIMEOUT_S: u64 = 3_600;
/// Timeout of deregistering this VM at the platform.
const DEREGISTER_TIMEOUT: Duration = Duration::from_secs(2);

/// Deadlines of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Time from which responses close their connections.
    pub close: Time,
    /// Time from which no caller holds an unexpired answer that lists this VM.
    pub end: Time,
}

impl Schedule {
    /// Plans a shutdown that begins at `now`. If this is the last entry VM, there is no other VM
    /// for callers to move to, so the shutdown ends immediately.
    pub fn new(is_last_entry: bool, now: Time) -> Self {
        if is_last_entry {
            return Self { close: now, end: now };
        }
        let end = now.after(PROPAGATION_TIME + Duration::from_millis(MAX_LIFETIME_MS));
        Self { close: Time(end.0 - CLOSE_PERIOD.as_micros() as u64), end }
    }
}

/// Flag, shared by all threads, that makes responses close their connections.
#[derive(Clone, Debug, Default)]
pub struct Closing(Arc<AtomicBool>);

impl Closing {
    /// Whether responses should close their connections.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Marks this VM as leaving and waits until callers are no longer directed to it.
pub async fn run(context: &Context, handle: &Handle, closing: &Closing) {
    handle.set_state(State::Leaving);
    let now = context.clock.now();
    let schedule = Schedule::new(is_last_entry(&context.shared.load(), context), now);
    actix_rt::time::sleep(now.until(schedule.close)).await;
    closing.0.store(true, Ordering::Relaxed);
    actix_rt::time::sleep(context.clock.now().until(schedule.end)).await;
}

/// Deregisters this VM; gives up after a timeout, as the platform may be unreachable.
pub async fn deregister(handle: &Handle) {
    let _ = actix_rt::time::timeout(DEREGISTER_TIMEOUT, handle.deregister()).await;
}

fn is_last_entry(view: &View, context: &Context) -> bool {
    let serves = |member: &&crate::view::Member| {
        member.role == Role::Entry && member.state == State::Live && member.vm != context.vm
    };
    !view.members.values().any(|member| serves(&member))
}
