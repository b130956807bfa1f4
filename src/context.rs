//! Context shared by all components of a process.

use std::sync::Arc;

use slog::{Logger, o};

use crate::clock::{Clock, Monotonic};
use crate::id::{DataCentre, Vm};
use crate::view::Shared;
use crate::wire::Pool;

/// Context of a VM's process, shared by all threads.
#[derive(Clone)]
pub struct Context {
    /// Name of this VM.
    pub vm: Vm,
    /// Data centre of this VM.
    pub data_centre: DataCentre,
    /// Source of `now`.
    pub clock: Arc<dyn Clock>,
    /// Root logger.
    pub log: Logger,
    /// Current view of the fleet.
    pub shared: Shared,
    /// Connection pool to peers.
    pub peers: Pool,
}

impl Context {
    /// Creates the context of a starting VM.
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
