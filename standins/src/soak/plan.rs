//! Schedule of faults, generated from a seed.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::proxy::Mode;
use crate::platform::replica::Behaviour;

/// Mean time between the starts of two faults.
const MEAN_INTERVAL: Duration = Duration::from_millis(700);
/// Maximum duration of a fault, in milliseconds.
const MAX_DURATION_MS: u64 = 3_500;
/// Minimum duration of a fault, in milliseconds.
const MIN_DURATION_MS: u64 = 300;

/// A fault. A `usize` is the index of a VM or replica.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Kills a VM's process and restarts it later.
    Kill(usize),
    /// Asks a VM to shut down gracefully, and restarts it once it has exited.
    Stop(usize),
    /// Suspends a VM's process.
    Pause(usize),
    /// Makes a VM reload its settings.
    Reload(usize),
    /// Kills all VMs at once and restarts them later.
    KillAll,
    /// Makes the store close connections without processing calls.
    StoreOutage,
    /// Delays the calls of the store.
    StoreSlow,
    /// Makes the store process this many transactions without a reply.
    StoreLostReplies(u64),
    /// Disturbs the connections between a VM and the store.
    StoreLink(usize, Mode),
    /// Disturbs the connections to a replica.
    ReplicaLink(usize, Mode),
    /// Closes the open connections to a replica.
    ReplicaReset(usize),
    /// Sets the behaviour of a replica for its next requests.
    Respond(usize, Behaviour),
    /// Registers a replica as draining, and as ready again later.
    Drain(usize),
    /// Replaces the tenant's key.
    RotateKey,
}

/// A fault with its start and duration.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Start, relative to the start of the run.
    pub at: Duration,
    /// Fault to inject.
    pub fault: Fault,
    /// Duration; ignored by faults without one, such as `Reload`.
    pub duration: Duration,
}

/// Generates the faults of a run, in order of their start.
pub fn generate(seed: u64, run_duration: Duration, vms: usize, replicas: usize) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::ZERO;
    let mut steps = Vec::new();
    loop {
        at += MEAN_INTERVAL.mul_f64(random.random_range(0.1..1.9));
        if at >= run_duration {
            return steps;
        }
        let duration = Duration::from_millis(random.random_range(MIN_DURATION_MS..MAX_DURATION_MS));
        steps.push(Step { at, fault: fault(&mut random, vms, replicas), duration });
    }
}

fn fault(random: &mut ChaCha8Rng, vms: usize, replicas: usize) -> Fault {
    let modes = [Mode::Slow, Mode::Stall, Mode::StallResponses, Mode::Refuse];
    let behaviours = [
        Behaviour::Truncated(2),
        Behaviour::WrongRequestId,
        Behaviour::ExtraResponse,
        Behaviour::NotExecuted,
        Behaviour::Status(500),
        Behaviour::DuplicateEvent,
    ];
    let (vm, replica) = (random.random_range(0..vms), random.random_range(0..replicas));
    let mode = *modes.choose(random).expect("modes isn't empty");
    let behaviour = *behaviours.choose(random).expect("behaviours isn't empty");
    match random.random_range(0..20) {
        0..=2 => Fault::Kill(vm),
        3..=5 => Fault::Stop(vm),
        6 => Fault::Pause(vm),
        7 => Fault::Reload(vm),
        8 => Fault::KillAll,
        9 => Fault::StoreOutage,
        10 => Fault::StoreSlow,
        11 => Fault::StoreLostReplies(random.random_range(1..4)),
        12 | 13 => Fault::StoreLink(vm, mode),
        14 | 15 => Fault::ReplicaLink(replica, mode),
        16 => Fault::ReplicaReset(replica),
        17 => Fault::Respond(replica, behaviour),
        18 => Fault::Drain(replica),
        _ => Fault::RotateKey,
    }
}
