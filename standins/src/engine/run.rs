//! Running requests of the engine: token timing, cancellation and crash.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::web::Data;
use parking_lot::Mutex;

use super::Options;
use crate::faults::Faults;
use crate::server::{Abort, is_disconnected};

/// Factor of the time to the first token when the prefix is cached.
const CACHE_HIT_FACTOR: f64 = 0.25;
/// Increase of the time between tokens at full load, as a fraction of an idle engine's.
const FULL_LOAD_SLOWDOWN: f64 = 0.5;
/// Maximum interval between two checks of the client's connection.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A request that ended before its response was complete.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Cancelled {
    /// Identifier of the request.
    pub id: String,
    /// Full prompt of the request.
    pub prompt: String,
}

pub(super) struct Runs {
    options: Options,
    abort: Arc<Abort>,
    active: AtomicU32,
    cancel_flags: Mutex<HashMap<String, Vec<Arc<AtomicBool>>>>,
    cancelled: Mutex<Vec<Cancelled>>,
}

impl Runs {
    pub(super) fn new(options: &Options, abort: Arc<Abort>) -> Self {
        Self {
            options: options.clone(),
            abort,
            active: AtomicU32::new(0),
            cancel_flags: Mutex::default(),
            cancelled: Mutex::default(),
        }
    }

    pub(super) fn reset(&self) {
        self.cancel_flags.lock().clear();
    }

    pub(super) fn active(&self) -> u32 {
        self.active.load(Ordering::SeqCst)
    }

    /// Crashes the engine if the prompt contains the poison text.
    pub(super) fn crash_if_poisoned(&self, prompt: &str) {
        if !self.options.poison.is_empty() && prompt.contains(&self.options.poison) {
            self.abort.trigger();
        }
    }

    /// Cancels the running requests with this identifier; returns whether there are any.
    pub(super) fn cancel(&self, id: &str) -> bool {
        let cancel_flags = self.cancel_flags.lock();
        let Some(matching) = cancel_flags.get(id) else { return false };
        matching.iter().for_each(|cancel_flag| cancel_flag.store(true, Ordering::SeqCst));
        true
    }

    /// Returns the requests that ended before their response was complete.
    pub(super) fn cancelled(&self) -> Vec<Cancelled> {
        self.cancelled.lock().clone()
    }

    fn token_time(&self) -> Duration {
        let load = f64::from(self.active()) / f64::from(self.options.capacity.max(1));
        let slowdown = if load <= 1.0 {
            1.0 + FULL_LOAD_SLOWDOWN * load
        } else {
            (1.0 + FULL_LOAD_SLOWDOWN) * load
        };
        Duration::from_micros(self.options.token_us).mul_f64(slowdown)
    }

    fn first_token_time(&self, hit: bool) -> Duration {
        let factor = if hit { CACHE_HIT_FACTOR } else { 1.0 };
        Duration::from_micros(self.options.first_token_us).mul_f64(factor)
    }
}

/// One running request; it is recorded as cancelled if dropped before `finished` is set.
pub(super) struct Run {
    runs: Data<Runs>,
    faults: Data<Faults>,
    request: HttpRequest,
    cancelled: Cancelled,
    cancel_flag: Arc<AtomicBool>,
    next_token_at: actix_rt::time::Instant,
    pub(super) finished: bool,
}

impl Run {
    pub(super) fn start(
        runs: Data<Runs>,
        faults: Data<Faults>,
        request: HttpRequest,
        cancelled: Cancelled,
        hit: bool,
    ) -> Self {
        runs.active.fetch_add(1, Ordering::SeqCst);
        let cancel_flag = Arc::new(AtomicBool::new(false));
        runs.cancel_flags.lock().entry(cancelled.id.clone()).or_default().push(cancel_flag.clone());
        let next_token_at = actix_rt::time::Instant::now() + runs.first_token_time(hit);
        Self { runs, faults, request, cancelled, cancel_flag, next_token_at, finished: false }
    }

    /// Waits until the next token is due; returns false if the request was cancelled.
    pub(super) async fn next_token(&mut self) -> bool {
        self.next_token_at += self.runs.token_time();
        loop {
            self.faults.wait_unfrozen().await;
            if self.cancel_flag.load(Ordering::SeqCst) || is_disconnected(&self.request) {
                return false;
            }
            let now = actix_rt::time::Instant::now();
            if now >= self.next_token_at {
                return true;
            }
            actix_rt::time::sleep_until(self.next_token_at.min(now + DISCONNECT_POLL_INTERVAL))
                .await;
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.runs.active.fetch_sub(1, Ordering::SeqCst);
        let mut cancel_flags = self.runs.cancel_flags.lock();
        if let Some(matching) = cancel_flags.get_mut(&self.cancelled.id) {
            matching.retain(|cancel_flag| !Arc::ptr_eq(cancel_flag, &self.cancel_flag));
            if matching.is_empty() {
                cancel_flags.remove(&self.cancelled.id);
            }
        }
        if !self.finished {
            self.runs.cancelled.lock().push(self.cancelled.clone());
        }
    }
}
