//! Which orders bring a model's upstreams to what operators want.
//!
//! State is read before each order and after it; an order whose answer was
//! lost is not repeated before its deadline has passed and the state has been
//! read again. Upstreams that serve are changed a few at a time, so capacity
//! doesn't vanish at once; loads are few at a time, so the weight store isn't
//! overrun.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ORDER_TIMEOUT;
use crate::clock::Time;
use crate::id::{Model, Upstream};

/// Age at which an observed state is read again.
const FRESH: Duration = Duration::from_secs(3);

/// What an upstream has loaded, as it says; it may say more.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(default)]
pub struct Observed {
    /// Models that it serves.
    pub models: BTreeMap<Model, Loaded>,
    /// Whether a load is running.
    pub loading: bool,
}

/// A loaded model.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(default)]
pub struct Loaded {
    /// Its version.
    pub version: String,
    /// Adapters beside it.
    pub adapters: Vec<String>,
}

value! {
    /// What upstreams of a model should have loaded.
    #[derive(Eq)]
    pub struct Target {
        /// The model.
        pub model: Model,
        /// Its version.
        pub version: String,
        /// Adapters beside it.
        pub adapters: Vec<String>,
    }
}

key! {
    /// What an order asks for.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Action {
        /// Load a version of the model.
        Load,
        /// Load an adapter.
        Adapter,
    }
}

/// Bounds on changes that run at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Share of a model's upstreams that may be changed while they serve.
    pub max_changing: f64,
    /// Loads that may run at once.
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
    /// Which upstream.
    pub upstream: Upstream,
    /// What it should do.
    pub action: Action,
    /// Version to load.
    pub version: String,
    /// Adapter to load.
    pub adapter: Option<String>,
}

/// What the controller wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read an upstream's state.
    Read(Upstream),
    /// Send an order, if the tenure still allows it.
    Send(Order),
}

#[derive(Clone, Debug, Default)]
struct Known {
    observed: Option<Observed>,
    read_at: Time,
    /// Until when an unanswered order may still arrive.
    pending: Time,
}

/// Controller of one model.
#[derive(Clone, Debug)]
pub struct Controller {
    target: Target,
    limits: Limits,
    upstreams: BTreeMap<Upstream, Known>,
}

impl Controller {
    /// Makes a controller that knows nothing of its upstreams yet.
    pub fn new(target: Target, limits: Limits) -> Self {
        Self { target, limits, upstreams: BTreeMap::new() }
    }

    /// Sets what is wanted and of whom.
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

    /// An upstream's state, asked for at `asked`.
    pub fn on_state(&mut self, upstream: &Upstream, observed: Observed, asked: Time) {
        let Some(known) = self.upstreams.get_mut(upstream) else { return };
        // A state from before the last order's deadline may not show it.
        if asked >= known.pending && asked >= known.read_at {
            known.observed = Some(observed);
            known.read_at = asked;
        }
    }

    /// Notes that an order is sent; false while an earlier one may arrive.
    pub fn begin_order(&mut self, upstream: &Upstream, now: Time) -> bool {
        let Some(known) = self.upstreams.get_mut(upstream) else { return false };
        if !known.pending.passed(now) {
            return false;
        }
        known.pending = now.after(ORDER_TIMEOUT);
        known.observed = None;
        true
    }

    /// An order was answered: it can't arrive any more.
    pub fn on_answer(&mut self, upstream: &Upstream, now: Time) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.pending = known.pending.min(now);
        }
    }

    /// What to do now.
    pub fn steps(&self, now: Time) -> Vec<Step> {
        let mut steps: Vec<Step> = self.stale(now).map(|name| Step::Read(name.clone())).collect();
        let mut room = self.room(now);
        for (name, known) in &self.upstreams {
            let Some(observed) = known.current(now) else { continue };
            if observed.loading {
                continue;
            }
            let Some(order) = self.order(name, observed) else { continue };
            if room.take(!observed.models.is_empty(), order.action) {
                steps.push(Step::Send(order));
            }
        }
        steps
    }

    /// Upstreams that serve what is wanted, and all.
    pub fn progress(&self) -> (usize, usize) {
        let done = self.upstreams.iter().filter(|(name, known)| {
            let observed = known.observed.as_ref();
            observed.is_some_and(|one| !one.loading && self.order(name, one).is_none())
        });
        (done.count(), self.upstreams.len())
    }

    fn stale(&self, now: Time) -> impl Iterator<Item = &Upstream> {
        let due = move |known: &Known| {
            known.pending.passed(now)
                && (known.observed.is_none() || known.read_at.after(FRESH).passed(now))
        };
        self.upstreams.iter().filter(move |(_, known)| due(known)).map(|(name, _)| name)
    }

    fn order(&self, upstream: &Upstream, observed: &Observed) -> Option<Order> {
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

    fn room(&self, now: Time) -> Room {
        let moving = |known: &&Known| {
            let observed = known.current(now);
            !known.pending.passed(now) || observed.is_none_or(|one| one.loading)
        };
        let moving = self.upstreams.values().filter(moving).count();
        let changing = (self.limits.max_changing * self.upstreams.len() as f64) as usize;
        Room {
            changing: changing.max(1).saturating_sub(moving),
            loads: self.limits.max_loads.saturating_sub(moving),
        }
    }
}

impl Known {
    fn current(&self, now: Time) -> Option<&Observed> {
        let fresh = !self.read_at.after(FRESH).passed(now) && self.pending.passed(now);
        self.observed.as_ref().filter(|_| fresh)
    }
}

/// Changes that may still begin.
struct Room {
    changing: usize,
    loads: usize,
}

impl Room {
    fn take(&mut self, serves: bool, action: Action) -> bool {
        let loads = action == Action::Load;
        if (serves && loads && self.changing == 0) || self.loads == 0 {
            return false;
        }
        self.loads -= 1;
        self.changing = self.changing.saturating_sub(1);
        true
    }
}
