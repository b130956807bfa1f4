//! Loads of a simulated fleet, ways to choose items, and what callers got.

/// Load of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Number of VMs.
    pub vms: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Number of upstreams that leave at half of the time.
    pub leaving: usize,
    /// Mean rate of online requests, per second.
    pub online_per_s: f64,
    /// Time for which an online request holds its slot.
    pub online_ms: u64,
    /// Length of a step of low and of a step of high load.
    pub step_ms: (u64, u64),
    /// Rates in these steps, relative to the mean.
    pub relative: (f64, f64),
    /// Rate of jobs, per second.
    pub jobs_per_s: f64,
    /// Items of each job.
    pub items: usize,
    /// Mean time for which an item runs.
    pub item_ms: u64,
    /// Length of the simulation.
    pub length_ms: u64,
}

/// How items are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Design {
    /// By due time alone; all free slots; equal turns; the newest one is preempted.
    Due,
    /// As before, but leaves one slot of each upstream free.
    Reserve,
    /// As the first, but leaves `place::headroom`.
    Headroom,
    /// As the third, and late items last, and turns by the number of items.
    Current,
}

impl Design {
    /// Whether items that can't end in time any more go last.
    pub fn defers_late(self) -> bool {
        self == Design::Current
    }
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Share of online requests whose first event was on time.
    pub online_on_time: f64,
    /// Share of online requests that were refused.
    pub refused: f64,
    /// Share of items that ended in time, of those due within the simulation.
    pub items_in_time: f64,
    /// Preemptions per item that ended.
    pub preemptions: f64,
}
