//! The faults that a random run injects.

use std::time::Duration;

use rand::Rng;

use super::node::Node;
use super::world::World;
use crate::clock::Time;

impl World {
    /// Injects a fault now and then, and heals.
    pub(super) fn inject(&mut self) {
        if self.storm_at.passed(self.now) {
            self.storm_at = Time::NEVER;
            self.break_storm();
        }
        let chance = self.options.faults_per_mille;
        if !self.random.random_ratio(chance, 1_000) {
            return;
        }
        self.report.faults += 1;
        let kinds = if self.options.correlated_faults { 18 } else { 16 };
        match self.random.random_range(0..kinds) {
            0 => self.outage(),
            1 => self.slowness(),
            2 | 3 => self.freeze(),
            4 | 5 => self.cut_vm(),
            6 => self.cut_centre(),
            7 => self.cut_half(),
            8 => self.cut_from_platform(),
            9 | 10 => self.restart(),
            11 => self.kill(),
            12 => self.replace(),
            16 | 17 => self.storm(),
            _ => self.heal(),
        }
    }

    fn span(&mut self, most_ms: u64) -> Duration {
        Duration::from_millis(self.random.random_range(100..most_ms))
    }

    fn any(&mut self) -> usize {
        self.random.random_range(0..self.nodes.len())
    }

    fn outage(&mut self) {
        let span = self.span(60_000);
        self.service.fail(self.now, span);
        self.log(format!("platform down for {span:?}"));
    }

    fn slowness(&mut self) {
        let span = self.span(30_000);
        self.service.slow_down(self.now, span);
        self.log(format!("platform slow for {span:?}"));
    }

    fn freeze(&mut self) {
        let (index, span) = (self.any(), self.span(15_000));
        self.nodes[index].frozen_until = self.now.after(span);
        self.last_fault = self.last_fault.max(self.now.after(span));
        self.log(format!("{} frozen for {span:?}", self.nodes[index].vm));
    }

    fn cut_vm(&mut self) {
        let index = self.any();
        self.nodes[index].side = self.random.random_range(1..4);
        self.nodes[index].reaches_platform = self.random.random_ratio(1, 3);
        self.last_fault = self.now;
        self.log(format!("{} cut off", self.nodes[index].vm));
    }

    fn cut_centre(&mut self) {
        let centre = self.nodes[self.random.random_range(0..self.nodes.len())].centre.clone();
        let reaches = self.random.random_ratio(1, 3);
        for node in self.nodes.iter_mut().filter(|node| node.centre == centre) {
            node.side = 1;
            node.reaches_platform = reaches;
        }
        self.last_fault = self.now;
        self.log(format!("{centre} cut off, reaches the platform: {reaches}"));
    }

    /// Splits the fleet at random; at most one part reaches the platform.
    fn cut_half(&mut self) {
        let with = self.random.random_range(0..3);
        for index in 0..self.nodes.len() {
            let side = self.random.random_range(0..2);
            self.nodes[index].side = side;
            self.nodes[index].reaches_platform = side == with;
        }
        self.last_fault = self.now;
        self.log(format!("fleet split, side {with} reaches the platform"));
    }

    /// Several faults that only together could bring back what was withdrawn:
    /// a split, writes on the side that reaches the platform, then an outage
    /// in which VMs of that side restart and find themselves on the other.
    fn storm(&mut self) {
        for index in 0..self.nodes.len() {
            let side = u8::from(self.random.random_ratio(4, 9));
            self.nodes[index].side = side;
            self.nodes[index].reaches_platform = side == 0;
        }
        let span = self.span(6_000);
        self.storm_at = self.now.after(span);
        self.last_fault = self.storm_at;
        self.log(format!("fleet split for {span:?}, side 0 reaches the platform"));
    }

    fn break_storm(&mut self) {
        let span = Duration::from_millis(self.random.random_range(10_000..40_000));
        self.service.fail(self.now, span);
        let change = self.random.random_ratio(3, 4);
        for index in 0..self.nodes.len() {
            if self.nodes[index].side != 0 || !self.random.random_ratio(1, 3) {
                continue;
            }
            if change {
                self.nodes[index].side = 1;
            }
            if self.nodes[index].up && self.random.random_ratio(2, 3) {
                self.start_again(index);
            }
        }
        self.last_fault = self.now;
        self.log(format!("platform down for {span:?}, VMs restart and change sides"));
    }

    fn cut_from_platform(&mut self) {
        let index = self.any();
        self.nodes[index].reaches_platform = false;
        self.last_fault = self.now;
        self.log(format!("{} cut off from the platform", self.nodes[index].vm));
    }

    /// Restarts a VM at once: it forgets everything.
    fn restart(&mut self) {
        let index = self.any();
        self.start_again(index);
        self.last_fault = self.now;
        self.log(format!("{} restarted", self.nodes[index].vm));
    }

    fn kill(&mut self) {
        if self.nodes.iter().filter(|node| !node.up).count() >= 2 {
            return;
        }
        let index = self.any();
        self.nodes[index].up = false;
        self.last_fault = self.now;
        self.log(format!("{} killed", self.nodes[index].vm));
    }

    /// Takes a VM away for good and starts another.
    fn replace(&mut self) {
        let index = self.any();
        let node = &mut self.nodes[index];
        let (vm, centre) = (node.vm.clone(), node.centre.clone());
        node.up = false;
        self.service.listed.remove(&vm);
        let centre = centre.as_str().trim_start_matches("dc-").parse().unwrap_or(0);
        self.add(centre);
        let mut fresh = self.nodes.pop().expect("just added");
        fresh.incarnation = self.nodes[index].incarnation + 1;
        self.log(format!("{vm} replaced by {}", fresh.vm));
        self.nodes[index] = fresh;
        self.last_fault = self.now;
    }

    fn heal(&mut self) {
        for index in 0..self.nodes.len() {
            self.nodes[index].side = 0;
            self.nodes[index].reaches_platform = true;
            if !self.nodes[index].up {
                self.start_again(index);
            }
        }
        self.last_fault = self.now;
        self.log("healed".into());
    }

    fn start_again(&mut self, index: usize) {
        let offset = self.random.random();
        let old = &self.nodes[index];
        let (vm, centre, side) = (old.vm.clone(), old.centre.clone(), old.side);
        let (skew, incarnation) = (old.skew, old.incarnation + 1);
        let reaches_platform = old.reaches_platform;
        let mut node = Node::new(vm, centre, self.now, skew, incarnation, offset);
        node.side = side;
        node.reaches_platform = reaches_platform;
        self.nodes[index] = node;
    }
}
