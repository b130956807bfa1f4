//! What every part of a process is given.

use std::sync::Arc;

use slog::Logger;

use crate::clock::Clock;
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
