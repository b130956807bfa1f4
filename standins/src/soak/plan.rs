//! Which fault strikes when, drawn from a seed.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::proxy::Mode;
use crate::platform::replica::Behaviour;

/// Mean time between two faults.
const MEAN_GAP: Duration = Duration::from_millis(700);
/// Longest time that a fault lasts, in milliseconds.
const MAX_SPAN_MS: u64 = 3_500;
/// Shortest time that a fault lasts, in milliseconds.
const MIN_SPAN_MS: u64 = 300;

/// A fault; numbers count VMs or replicas.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A VM's process is killed, and started again later.
    Kill(usize),
    /// A VM is told to stop as planned, and started again once it has ended.
    Stop(usize),
    /// A VM's process stands still.
    Pause(usize),
    /// A VM reads its settings again.
    Reload(usize),
    /// All VMs are killed at once.
    KillAll,
    /// The store closes connections and does nothing.
    StoreAway,
    /// The store takes long.
    StoreSlow,
    /// The store does what is asked and doesn't answer.
    StoreMute(u64),
    /// The way between a VM and the store is harmed.
    StoreWay(usize, Mode),
    /// The way to a replica is harmed.
    ReplicaWay(usize, Mode),
    /// Connections to a replica end.
    ReplicaReset(usize),
    /// A replica answers its next requests like this.
    Answers(usize, Behaviour),
    /// A replica drains, and is ready again later.
    Drain(usize),
    /// The tenant's key is replaced.
    NewKey,
}

/// A fault, when it strikes and how long it lasts.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time from the start.
    pub at: Duration,
    /// What strikes.
    pub fault: Fault,
    /// How long it lasts, where that means something.
    pub span: Duration,
}

/// Draws the faults of a run.
pub fn draw(seed: u64, length: Duration, vms: usize, replicas: usize) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::ZERO;
    let mut steps = Vec::new();
    loop {
        at += MEAN_GAP.mul_f64(random.random_range(0.1..1.9));
        if at >= length {
            return steps;
        }
        let span = Duration::from_millis(random.random_range(MIN_SPAN_MS..MAX_SPAN_MS));
        steps.push(Step { at, fault: fault(&mut random, vms, replicas), span });
    }
}

fn fault(random: &mut ChaCha8Rng, vms: usize, replicas: usize) -> Fault {
    let modes = [Mode::Slow, Mode::Silent, Mode::OneWay, Mode::Refuse];
    let behaviours = [
        Behaviour::Truncated(2),
        Behaviour::WrongRequestId,
        Behaviour::ExtraResponse,
        Behaviour::NotExecuted,
        Behaviour::Status(500),
        Behaviour::DuplicateEvent,
    ];
    let (vm, replica) = (random.random_range(0..vms), random.random_range(0..replicas));
    let mode = *modes.choose(random).expect("there are modes");
    let behaviour = *behaviours.choose(random).expect("there are behaviours");
    match random.random_range(0..20) {
        0..=2 => Fault::Kill(vm),
        3..=5 => Fault::Stop(vm),
        6 => Fault::Pause(vm),
        7 => Fault::Reload(vm),
        8 => Fault::KillAll,
        9 => Fault::StoreAway,
        10 => Fault::StoreSlow,
        11 => Fault::StoreMute(random.random_range(1..4)),
        12 | 13 => Fault::StoreWay(vm, mode),
        14 | 15 => Fault::ReplicaWay(replica, mode),
        16 => Fault::ReplicaReset(replica),
        17 => Fault::Answers(replica, behaviour),
        18 => Fault::Drain(replica),
        _ => Fault::NewKey,
    }
}
