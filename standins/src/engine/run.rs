//! Requests that run in the engine: pace, cancellation, crash.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::web::Data;
use parking_lot::Mutex;

use super::Options;
use crate::faults::Faults;
use crate::server::{Lifeline, hung_up};

/// Part of the first token's time that a held prefix leaves.
const HIT_SHARE: f64 = 0.25;
/// Slowing of a token when the engine is just full, against an idle one.
const FULL_SLOWING: f64 = 0.5;
/// Longest time between two looks at the caller's connection.
const LOOK: Duration = Duration::from_millis(20);

/// A request that ended before its answer was whole.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Cancelled {
    /// Its identifier.
    pub id: String,
    /// Its prompt.
    pub prompt: String,
}

pub(super) struct Runs {
    options: Options,
    lifeline: Arc<Lifeline>,
    active: AtomicU32,
    flags: Mutex<HashMap<String, Vec<Arc<AtomicBool>>>>,
    cancelled: Mutex<Vec<Cancelled>>,
}

impl Runs {
    pub(super) fn new(options: &Options, lifeline: Arc<Lifeline>) -> Self {
        Self {
            options: options.clone(),
            lifeline,
            active: AtomicU32::new(0),
            flags: Mutex::default(),
            cancelled: Mutex::default(),
        }
    }

    pub(super) fn forget(&self) {
        self.flags.lock().clear();
    }

    pub(super) fn active(&self) -> u32 {
        self.active.load(Ordering::SeqCst)
    }

    /// Crashes if the prompt is poison.
    pub(super) fn swallow(&self, prompt: &str) {
        if !self.options.poison.is_empty() && prompt.contains(&self.options.poison) {
            self.lifeline.crash();
        }
    }

    /// Cancels a running request by its identifier.
    pub(super) fn cancel(&self, id: &str) -> bool {
        let flags = self.flags.lock();
        let Some(found) = flags.get(id) else { return false };
        found.iter().for_each(|flag| flag.store(true, Ordering::SeqCst));
        true
    }

    /// Requests that ended before their answer was whole.
    pub(super) fn cancelled(&self) -> Vec<Cancelled> {
        self.cancelled.lock().clone()
    }

    fn token_time(&self) -> Duration {
        let load = f64::from(self.active()) / f64::from(self.options.capacity.max(1));
        let slowing =
            if load <= 1.0 { 1.0 + FULL_SLOWING * load } else { (1.0 + FULL_SLOWING) * load };
        Duration::from_micros(self.options.token_us).mul_f64(slowing)
    }

    fn first_token_time(&self, hit: bool) -> Duration {
        let share = if hit { HIT_SHARE } else { 1.0 };
        Duration::from_micros(self.options.first_token_us).mul_f64(share)
    }
}

/// One running request; dropping it before its end counts as cancelled.
pub(super) struct Run {
    runs: Data<Runs>,
    faults: Data<Faults>,
    request: HttpRequest,
    ended: Cancelled,
    flag: Arc<AtomicBool>,
    next: actix_rt::time::Instant,
    pub(super) finished: bool,
}

impl Run {
    pub(super) fn start(
        runs: Data<Runs>,
        faults: Data<Faults>,
        request: HttpRequest,
        ended: Cancelled,
        hit: bool,
    ) -> Self {
        runs.active.fetch_add(1, Ordering::SeqCst);
        let flag = Arc::new(AtomicBool::new(false));
        runs.flags.lock().entry(ended.id.clone()).or_default().push(flag.clone());
        let next = actix_rt::time::Instant::now() + runs.first_token_time(hit);
        Self { runs, faults, request, ended, flag, next, finished: false }
    }

    /// Waits for the next token's time; false if the request was cancelled.
    pub(super) async fn token(&mut self) -> bool {
        self.next += self.runs.token_time();
        loop {
            self.faults.thawed().await;
            if self.flag.load(Ordering::SeqCst) || hung_up(&self.request) {
                return false;
            }
            let now = actix_rt::time::Instant::now();
            if now >= self.next {
                return true;
            }
            actix_rt::time::sleep_until(self.next.min(now + LOOK)).await;
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.runs.active.fetch_sub(1, Ordering::SeqCst);
        let mut flags = self.runs.flags.lock();
        if let Some(found) = flags.get_mut(&self.ended.id) {
            found.retain(|flag| !Arc::ptr_eq(flag, &self.flag));
            if found.is_empty() {
                flags.remove(&self.ended.id);
            }
        }
        if !self.finished {
            self.runs.cancelled.lock().push(self.ended.clone());
        }
    }
}
