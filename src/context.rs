//! What every part of a process is given.

use std::sync::Arc;

use slog::{Logger, o};

use crate::clock::{Clock, Monotonic};
use crate::id::{DataCentre, Vm};
use crate::view::Shared;
use crate::wire::Pool;

/// The surroundings of one VM's process, shared by all its threads.
#[derive(Clone)]
pub struct Context {
    /// Name of this VM.
    pub vm: Vm,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Source of `now`.
    pub clock: Arc<dyn Clock>,
    /// Root logger.
    pub log: Logger,
    /// What the fleet looks like.
    pub shared: Shared,
    /// Connections to peers.
    pub peers: Pool,
}

impl Context {
    /// The surroundings of a VM that has just started.
    pub fn new(vm: &Vm, data_centre: &DataCentre, fleet_secret: &str, log: &Logger) -> Self {
        Self {
            vm: vm.clone(),
            data_centre: data_centre.clone(),
            clock: Arc::new(Monotonic::new()),
            log: log.new(o!("vm" => vm.to_string())),
            shared: Shared::default(),
            peers: Pool::new(vm.clone(), fleet_secret.into()),
        }
    }
}
