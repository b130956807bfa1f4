//! Reconciles the upstreams of a model with the configured version and adapters.
//!
//! An upstream's state is read before and after each order. An order whose answer was lost is not
//! repeated until its deadline has passed and the state has been read again. Only a few serving
//! upstreams are changed at a time, to preserve capacity, and only a few loads run at a time, so
//! that the weight store isn't overloaded.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ORDER_TIMEOUT;
use crate::clock::Time;
use crate::id::{Model, Upstream};

/// Age at which an observed state is considered stale and read again.
const STATE_MAX_AGE: Duration = Duration::from_secs(3);

/// State reported by an upstream; unknown fields are ignored.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(default)]
pub struct Observed {
    /// Models that the upstream serves.
    pub models: BTreeMap<Model, Loaded>,
    /// Whether the upstream is loading a model.
    pub loading: bool,
}

/// A model that an upstream has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(default)]
pub struct Loaded {
    /// Version of the model.
    pub version: String,
    /// Adapters loaded in addition to the model.
    pub adapters: Vec<String>,
}

value! {
    /// Version and adapters that the upstreams of a model should have loaded.
    #[derive(Eq)]
    pub struct Target {
        /// Name of the model.
        pub model: Model,
        /// Version of the model.
        pub version: String,
        /// Adapters to load in addition to the model.
        pub adapters: Vec<String>,
    }
}

key! {
    /// The action that an order requests.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Action {
        /// Load a version of the model.
        Load,
        /// Load an adapter.
        Adapter,
    }
}

/// Limits on concurrent changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Fraction of a model's upstreams that may be changed at the same time while serving.
    pub max_changing: f64,
    /// Maximum number of concurrent loads.
    pub max_loads: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_changing: 0.2, max_loads: 3 }
    }
}

/// An order to one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Upstream that the order is sent to.
    pub upstream: Upstream,
    /// Requested action.
    pub action: Action,
    /// Version of the model to load.
    pub version: String,
    /// Adapter to load, for `Action::Adapter`.
    pub adapter: Option<String>,
}

/// A step for the caller to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read an upstream's state.
    Read(Upstream),
    /// Send an order, if the leadership still permits it.
    Send(Order),
}

/// What the controller knows of one upstream.
#[derive(Clone, Debug, Default)]
struct Status {
    observed: Option<Observed>,
    /// When the observed state was requested.
    observed_at: Time,
    /// Time until which an unanswered order may still arrive.
    pending_until: Time,
}

/// Controller of one model.
#[derive(Clone, Debug)]
pub struct Controller {
    target: Target,
    limits: Limits,
    upstreams: BTreeMap<Upstream, Status>,
}

impl Controller {
    /// Creates a controller without upstreams.
    pub fn new(target: Target, limits: Limits) -> Self {
        Self { target, limits, upstreams: BTreeMap::new() }
    }

    /// Sets the target and the upstreams to reconcile.
    pub fn configure<L>(&mut self, target: Target, upstreams: L)
    where
        L: IntoIterator<Item = Upstream>,
    {
        let names: Vec<Upstream> = upstreams.into_iter().collect();
        self.target = target;
        self.upstreams.retain(|name, _| names.contains(name));
        for name in names {
            self.upstreams.entry(name).or_default();
        }
    }

    /// Records an upstream's state, requested at `requested_at`.
    pub fn on_state(&mut self, upstream: &Upstream, observed: Observed, requested_at: Time) {
        let Some(status) = self.upstreams.get_mut(upstream) else { return };
        // A state requested before the last order's deadline may not reflect that order.
        if requested_at >= status.pending_until && requested_at >= status.observed_at {
            status.observed = Some(observed);
            status.observed_at = requested_at;
        }
    }

    /// Records that an order is about to be sent; returns false while an earlier one may still
    /// arrive.
    pub fn begin_order(&mut self, upstream: &Upstream, now: Time) -> bool {
        let Some(status) = self.upstreams.get_mut(upstream) else { return false };
        if !status.pending_until.passed(now) {
            return false;
        }
        status.pending_until = now.after(ORDER_TIMEOUT);
        status.observed = None;
        true
    }

    /// Records that an order was answered, so it can no longer arrive.
    pub fn on_answer(&mut self, upstream: &Upstream, now: Time) {
        if let Some(status) = self.upstreams.get_mut(upstream) {
            status.pending_until = status.pending_until.min(now);
        }
    }

    /// Returns the steps to perform now.
    pub fn steps(&self, now: Time) -> Vec<Step> {
        let mut steps: Vec<Step> = self.stale(now).map(|name| Step::Read(name.clone())).collect();
        let mut budget = self.budget(now);
        for (name, status) in &self.upstreams {
            let Some(observed) = status.current(now) else { continue };
            if observed.loading {
                continue;
            }
            let Some(order) = self.next_order(name, observed) else { continue };
            if budget.try_take(!observed.models.is_empty(), order.action) {
                steps.push(Step::Send(order));
            }
        }
        steps
    }

    /// Number of upstreams that match the target, and number of all upstreams.
    pub fn progress(&self) -> (usize, usize) {
        let done = self.upstreams.iter().filter(|(name, status)| {
            let observed = status.observed.as_ref();
            observed.is_some_and(|state| !state.loading && self.next_order(name, state).is_none())
        });
        (done.count(), self.upstreams.len())
    }

    fn stale(&self, now: Time) -> impl Iterator<Item = &Upstream> {
        let due = move |status: &Status| {
            status.pending_until.passed(now)
                && (status.observed.is_none()
                    || status.observed_at.after(STATE_MAX_AGE).passed(now))
        };
        self.upstreams.iter().filter(move |(_, status)| due(status)).map(|(name, _)| name)
    }

    fn next_order(&self, upstream: &Upstream, observed: &Observed) -> Option<Order> {
        let target = &self.target;
        let order = |action, adapter| Order {
            upstream: upstream.clone(),
            action,
            version: target.version.clone(),
            adapter,
        };
        let loaded = observed.models.get(&target.model);
        let Some(loaded) = loaded.filter(|loaded| loaded.version == target.version) else {
            return Some(order(Action::Load, None));
        };
        let missing = target.adapters.iter().find(|adapter| !loaded.adapters.contains(adapter));
        missing.map(|adapter| order(Action::Adapter, Some(adapter.clone())))
    }

    fn budget(&self, now: Time) -> Budget {
        let in_progress = |status: &&Status| {
            let observed = status.current(now);
            !status.pending_until.passed(now) || observed.is_none_or(|state| state.loading)
        };
        let in_progress = self.upstreams.values().filter(in_progress).count();
        let changing = (self.limits.max_changing * self.upstreams.len() as f64) as usize;
        Budget {
            changing: changing.max(1).saturating_sub(in_progress),
            loads: self.limits.max_loads.saturating_sub(in_progress),
        }
    }
}

impl Status {
    fn current(&self, now: Time) -> Option<&Observed> {
        let valid =
            !self.observed_at.after(STATE_MAX_AGE).passed(now) && self.pending_until.passed(now);
        self.observed.as_ref().filter(|_| valid)
    }
}

/// Number of changes that may still begin.
struct Budget {
    changing: usize,
    loads: usize,
}

impl Budget {
    fn try_take(&mut self, serves: bool, action: Action) -> bool {
        let loads = action == Action::Load;
        if (serves && loads && self.changing == 0) || self.loads == 0 {
            return false;
        }
        self.loads -= 1;
        self.changing = self.changing.saturating_sub(1);
        true
    }
}
