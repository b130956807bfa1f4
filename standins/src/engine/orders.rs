//! Orders to an engine and the state that they change.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::Options;

/// An order sent by a controller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Order {
    /// Fencing token of the controller.
    pub fence: u64,
    /// Action: `load`, `unload`, `adapter` or `role`.
    pub action: String,
    /// Name of the model.
    pub model: String,
    /// Version to load, for `load`.
    pub version: String,
    /// Adapter to load, for `adapter`.
    pub adapter: String,
    /// Role to assign, for `role`.
    pub role: String,
}

/// A loaded model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// Loaded version.
    pub version: String,
    /// Loaded adapters.
    pub adapters: Vec<String>,
}

/// The state that orders change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Loaded models by name.
    pub models: BTreeMap<String, Loaded>,
    /// Role from the last `role` order.
    pub role: String,
    /// Highest fencing token received.
    pub fence: u64,
    /// Applied orders, oldest first.
    pub orders: Vec<Order>,
}

pub(super) struct Orders {
    fenced: bool,
    pub(super) order_ms: u64,
    initial: State,
    state: Mutex<State>,
}

impl Orders {
    pub(super) fn new(options: &Options) -> Self {
        let models = options.models.iter().map(|name| (name.clone(), Loaded::default())).collect();
        let initial = State { models, ..State::default() };
        let state = Mutex::new(initial.clone());
        Self { fenced: options.fenced, order_ms: options.order_ms, initial, state }
    }

    pub(super) fn reset(&self) {
        *self.state.lock() = self.initial.clone();
    }

    pub(super) fn state(&self) -> State {
        self.state.lock().clone()
    }

    /// Returns whether `model` is served: it is loaded, or nothing was loaded or ordered yet.
    pub(super) fn serves(&self, model: &str) -> bool {
        let state = self.state.lock();
        let unmanaged = state.models.is_empty() && state.orders.is_empty();
        unmanaged || state.models.contains_key(model)
    }

    /// Applies an order, or returns the higher fencing token for which it is refused.
    pub(super) fn apply(&self, order: Order) -> Result<(), u64> {
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
