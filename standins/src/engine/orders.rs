//! Orders to an engine, and the state they leave.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::Options;

/// An order as a controller sends it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Order {
    /// Fencing number of the controller.
    pub fence: u64,
    /// `load`, `unload`, `adapter` or `role`.
    pub action: String,
    /// Model that it concerns.
    pub model: String,
    /// Version to load.
    pub version: String,
    /// Adapter to load.
    pub adapter: String,
    /// Role to take.
    pub role: String,
}

/// A model as the engine has it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// Version.
    pub version: String,
    /// Adapters beside it.
    pub adapters: Vec<String>,
}

/// The state that orders change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Models by name.
    pub models: BTreeMap<String, Loaded>,
    /// Role that was last ordered.
    pub role: String,
    /// Highest fencing number seen.
    pub fence: u64,
    /// Orders taken, in order.
    pub orders: Vec<Order>,
}

pub(super) struct Orders {
    fenced: bool,
    pub(super) order_ms: u64,
    first: State,
    state: Mutex<State>,
}

impl Orders {
    pub(super) fn new(options: &Options) -> Self {
        let models = options.models.iter().map(|name| (name.clone(), Loaded::default())).collect();
        let first = State { models, ..State::default() };
        let state = Mutex::new(first.clone());
        Self { fenced: options.fenced, order_ms: options.order_ms, first, state }
    }

    pub(super) fn forget(&self) {
        *self.state.lock() = self.first.clone();
    }

    pub(super) fn state(&self) -> State {
        self.state.lock().clone()
    }

    /// Whether a request for `model` can be served.
    pub(super) fn serves(&self, model: &str) -> bool {
        let state = self.state.lock();
        let untold = state.models.is_empty() && state.orders.is_empty();
        untold || state.models.contains_key(model)
    }

    /// Takes an order, or gives the higher fencing number that bars it.
    pub(super) fn take(&self, order: Order) -> Result<(), u64> {
        let mut state = self.state.lock();
        if self.fenced && order.fence < state.fence {
            return Err(state.fence);
        }
        state.fence = state.fence.max(order.fence);
        match order.action.as_str() {
            "load" => {
                let model = state.models.entry(order.model.clone()).or_default();
                model.version.clone_from(&order.version);
            }
            "unload" => {
                state.models.remove(&order.model);
            }
            "adapter" => {
                let model = state.models.entry(order.model.clone()).or_default();
                model.adapters.push(order.adapter.clone());
            }
            _ => state.role.clone_from(&order.role),
        }
        state.orders.push(order);
        Ok(())
    }
}
