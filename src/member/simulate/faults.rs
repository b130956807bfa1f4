//! Fault injection.

use std::time::Duration;

use rand::Rng;

use super::node::Node;
use super::world::World;
use crate::clock::Time;

impl World {
    /// Injects a random fault, or heals all faults, with the configured
    /// probability.
    pub(super) fn inject_faults(&mut self) {
        if self.storm_ends_at.passed(self.now) {
            self.storm_ends_at = Time::NEVER;
            self.end_storm();
        }
        let chance = self.options.faults_per_mille;
        if !self.random.random_ratio(chance, 1_000) {
            return;
        }
        self.report.faults += 1;
        let kinds = if self.options.correlated_faults { 18 } else { 16 };
        match self.random.random_range(0..kinds) {
            0 => self.start_outage(),
            1 => self.start_slowdown(),
            2 | 3 => self.pause_vm(),
            4 | 5 => self.partition_vm(),
            6 => self.partition_data_centre(),
            7 => self.split_fleet(),
            8 => self.disconnect_from_platform(),
            9 | 10 => self.restart_random_vm(),
            11 => self.kill_vm(),
            12 => self.replace_vm(),
            16 | 17 => self.start_storm(),
            _ => self.heal_all(),
        }
    }

    fn random_duration(&mut self, max_ms: u64) -> Duration {
        Duration::from_millis(self.random.random_range(100..max_ms))
    }

    fn random_vm(&mut self) -> usize {
        self.random.random_range(0..self.nodes.len())
    }

    fn start_outage(&mut self) {
        let duration = self.random_duration(60_000);
        self.service.start_outage(self.now, duration);
        self.log(format!("platform down for {duration:?}"));
    }

    fn start_slowdown(&mut self) {
        let duration = self.random_duration(30_000);
        self.service.start_slowdown(self.now, duration);
        self.log(format!("platform slow for {duration:?}"));
    }

    fn pause_vm(&mut self) {
        let (index, duration) = (self.random_vm(), self.random_duration(15_000));
        self.nodes[index].paused_until = self.now.after(duration);
        self.last_fault_at = self.last_fault_at.max(self.now.after(duration));
        self.log(format!("{} paused for {duration:?}", self.nodes[index].vm));
    }

    fn partition_vm(&mut self) {
        let index = self.random_vm();
        self.nodes[index].partition = self.random.random_range(1..4);
        self.nodes[index].reaches_platform = self.random.random_ratio(1, 3);
        self.last_fault_at = self.now;
        self.log(format!("{} cut off", self.nodes[index].vm));
    }

    fn partition_data_centre(&mut self) {
        let data_centre =
            self.nodes[self.random.random_range(0..self.nodes.len())].data_centre.clone();
        let reaches_platform = self.random.random_ratio(1, 3);
        for node in self.nodes.iter_mut().filter(|node| node.data_centre == data_centre) {
            node.partition = 1;
            node.reaches_platform = reaches_platform;
        }
        self.last_fault_at = self.now;
        self.log(format!("{data_centre} cut off, reaches the platform: {reaches_platform}"));
    }

    /// Splits the fleet at random; at most one side reaches the platform.
    fn split_fleet(&mut self) {
        let reachable_partition = self.random.random_range(0..3);
        for index in 0..self.nodes.len() {
            let partition = self.random.random_range(0..2);
            self.nodes[index].partition = partition;
            self.nodes[index].reaches_platform = partition == reachable_partition;
        }
        self.last_fault_at = self.now;
        self.log(format!("fleet split, side {reachable_partition} reaches the platform"));
    }

    /// Starts a sequence of faults that only in combination could restore a
    /// withdrawn resource: a split, writes on the side that reaches the
    /// platform, then an outage in which VMs of that side restart and end up on
    /// the other side.
    fn start_storm(&mut self) {
        for index in 0..self.nodes.len() {
            let partition = u8::from(self.random.random_ratio(4, 9));
            self.nodes[index].partition = partition;
            self.nodes[index].reaches_platform = partition == 0;
        }
        let duration = self.random_duration(6_000);
        self.storm_ends_at = self.now.after(duration);
        self.last_fault_at = self.storm_ends_at;
        self.log(format!("fleet split for {duration:?}, side 0 reaches the platform"));
    }

    fn end_storm(&mut self) {
        let duration = Duration::from_millis(self.random.random_range(10_000..40_000));
        self.service.start_outage(self.now, duration);
        let change = self.random.random_ratio(3, 4);
        for index in 0..self.nodes.len() {
            if self.nodes[index].partition != 0 || !self.random.random_ratio(1, 3) {
                continue;
            }
            if change {
                self.nodes[index].partition = 1;
            }
            if self.nodes[index].up && self.random.random_ratio(2, 3) {
                self.restart_vm(index);
            }
        }
        self.last_fault_at = self.now;
        self.log(format!("platform down for {duration:?}, VMs restart and change sides"));
    }

    fn disconnect_from_platform(&mut self) {
        let index = self.random_vm();
        self.nodes[index].reaches_platform = false;
        self.last_fault_at = self.now;
        self.log(format!("{} cut off from the platform", self.nodes[index].vm));
    }

    /// Restarts a VM immediately, with all its state lost.
    fn restart_random_vm(&mut self) {
        let index = self.random_vm();
        self.restart_vm(index);
        self.last_fault_at = self.now;
        self.log(format!("{} restarted", self.nodes[index].vm));
    }

    fn kill_vm(&mut self) {
        if self.nodes.iter().filter(|node| !node.up).count() >= 2 {
            return;
        }
        let index = self.random_vm();
        self.nodes[index].up = false;
        self.last_fault_at = self.now;
        self.log(format!("{} killed", self.nodes[index].vm));
    }

    /// Removes a VM permanently and starts another in its place.
    fn replace_vm(&mut self) {
        let index = self.random_vm();
        let node = &mut self.nodes[index];
        let (vm, data_centre) = (node.vm.clone(), node.data_centre.clone());
        node.up = false;
        self.service.listed.remove(&vm);
        let data_centre = data_centre.as_str().trim_start_matches("dc-").parse().unwrap_or(0);
        self.add_vm(data_centre);
        let mut replacement = self.nodes.pop().expect("a VM was just added");
        replacement.incarnation = self.nodes[index].incarnation + 1;
        self.log(format!("{vm} replaced by {}", replacement.vm));
        self.nodes[index] = replacement;
        self.last_fault_at = self.now;
    }

    fn heal_all(&mut self) {
        for index in 0..self.nodes.len() {
            self.nodes[index].partition = 0;
            self.nodes[index].reaches_platform = true;
            if !self.nodes[index].up {
                self.restart_vm(index);
            }
        }
        self.last_fault_at = self.now;
        self.log("healed".into());
    }

    fn restart_vm(&mut self, index: usize) {
        let offset = self.random.random();
        let old = &self.nodes[index];
        let (vm, data_centre, partition) = (old.vm.clone(), old.data_centre.clone(), old.partition);
        let (skew, incarnation) = (old.skew, old.incarnation + 1);
        let reaches_platform = old.reaches_platform;
        let mut node = Node::new(vm, data_centre, self.now, skew, incarnation, offset);
        node.partition = partition;
        node.reaches_platform = reaches_platform;
        self.nodes[index] = node;
    }
}
