//! Calls to the key-value service: confirmations, reads, writes and leases.

use super::*;

impl World {
    pub(super) fn request_confirmation(&mut self, index: usize) {
        let requested_at = self.nodes[index].local_time(self.now);
        let (delay, version) = match self.platform_delay(index) {
            Some(delay) if delay < PLATFORM_TIMEOUT => (delay, Some(self.service.head)),
            Some(_) => (PLATFORM_TIMEOUT, None),
            None => (Duration::from_millis(2), None),
        };
        self.send(index, delay, Message::Confirmed { requested_at, version });
    }

    pub(super) fn on_confirm_reply(
        &mut self,
        index: usize,
        requested_at: Time,
        version: Option<u64>,
    ) {
        let jitter = self.random.random();
        let node = &mut self.nodes[index];
        let now = node.local_time(self.now);
        match version {
            Some(version) => {
                if node.machine.on_confirmed(requested_at, version) {
                    self.request_changes(index);
                }
            }
            None => node.machine.on_confirm_failed(now, jitter),
        }
    }

    pub(super) fn request_changes(&mut self, index: usize) {
        let version = self.nodes[index].machine.cache().version();
        if let Some(delay) = self.platform_delay(index) {
            let range = self.service.since(version);
            self.send(index, delay, Message::Range { range });
        }
    }

    pub(super) fn apply_range(&mut self, index: usize, range: Range) {
        let node = &mut self.nodes[index];
        let from = node.machine.cache().version();
        let entries = range.entries.into_iter().filter(|entry| entry.version > from);
        let items: Vec<Item> = entries.map(item).collect();
        let to = items.iter().map(|item| item.revision.version).max().unwrap_or(from);
        let from = if from == 0 { 0 } else { from };
        node.machine.apply(Delta { from, to, floor: 0, items });
        // A VM pushes its own write to its peers as soon as it has applied it.
        let applied = node.operations.iter().any(|operation| operation.applied.is_some());
        let now = node.local_time(self.now);
        if applied {
            node.machine.propagate(now);
        }
    }

    pub(super) fn swap(&mut self, index: usize, purpose: Purpose, swap: Swap, pause: Duration) {
        let unavailable = |kind| error::Error::new(kind, "simulated fault");
        let Some(delay) = self.platform_delay(index) else {
            let reply = Err(unavailable(error::Kind::PlatformUnavailable));
            self.send(index, pause, Message::Swapped { purpose, reply });
            return;
        };
        let value = swap.value.clone().unwrap_or_default();
        let reply = self.service.swap(swap);
        if let Swapped::Applied(version) = reply {
            let text = String::from_utf8_lossy(&value).into_owned();
            self.log(format!("{} wrote version {version}: {text}", self.nodes[index].vm));
        }
        let lost = self.random.random_ratio(1, 15);
        let (delay, reply) = if lost || delay > PLATFORM_TIMEOUT {
            (PLATFORM_TIMEOUT, Err(unavailable(error::Kind::WriteUnknown)))
        } else {
            (delay, Ok(reply))
        };
        self.send(index, pause + delay, Message::Swapped { purpose, reply });
    }

    pub(super) fn on_swap_reply(
        &mut self,
        index: usize,
        purpose: Purpose,
        reply: error::Result<Swapped>,
    ) {
        let number = match purpose {
            Purpose::Table => {
                self.nodes[index].table_swap_pending = false;
                self.request_changes(index);
                return;
            }
            Purpose::Write(number) => number,
        };
        let node = &mut self.nodes[index];
        let Some(operation) =
            node.operations.iter_mut().find(|operation| operation.number == number)
        else {
            return;
        };
        let step = operation.write.on_reply(reply);
        self.step_write(index, number, step);
    }

    pub(super) fn step_write(&mut self, index: usize, number: u64, step: Step) {
        match step {
            Step::Swap(swap) => self.swap(index, Purpose::Write(number), swap, Duration::ZERO),
            Step::Retry(swap) => {
                self.swap(index, Purpose::Write(number), swap, Duration::from_millis(200));
            }
            Step::Done(Ok(version)) => {
                let until = self.now.after(ACCEPT_TIMEOUT);
                let operations = &mut self.nodes[index].operations;
                if let Some(operation) =
                    operations.iter_mut().find(|operation| operation.number == number)
                {
                    operation.applied = Some((version, until));
                }
                self.request_changes(index);
            }
            Step::Done(Err(error)) => {
                let operations = &mut self.nodes[index].operations;
                let Some(position) =
                    operations.iter().position(|operation| operation.number == number)
                else {
                    return;
                };
                let operation = operations.remove(position);
                self.record_refusal(&operation, &error);
            }
        }
    }

    pub(super) fn renew_lease(&mut self, index: usize) {
        let now = self.now;
        if !self.nodes[index].next_renewal_at.passed(now) {
            return;
        }
        self.nodes[index].next_renewal_at = now.after(RENEW_INTERVAL);
        if self.platform_delay(index).is_some() {
            let node = &self.nodes[index];
            let lease = (node.data_centre.clone(), now.after(LEASE_TTL));
            self.service.leases.insert(node.vm.clone(), lease);
        }
    }

    pub(super) fn publish_table(&mut self, index: usize) {
        let now = self.now;
        let node = &self.nodes[index];
        if !node.next_table_at.passed(now) || node.table_swap_pending || !node.machine.is_hub() {
            return;
        }
        self.nodes[index].next_table_at = now.after(TABLE_INTERVAL);
        if self.platform_delay(index).is_none() {
            return;
        }
        let (leased, listed) = (self.service.leased(now), self.service.listed.clone());
        let with_list = self.options.vm_list;
        let node = &mut self.nodes[index];
        let local_time = node.local_time(now);
        node.roster.set_leased(leased);
        if with_list {
            node.roster.set_listed(listed);
        }
        let table = node.machine.table().clone();
        node.machine.set_terminated(node.roster.terminated(&table));
        let desired = node.roster.desired_members(local_time, &table, |_| false);
        self.last_number += 1;
        let write = format!("{}-{}", self.nodes[index].vm, self.last_number);
        let node = &mut self.nodes[index];
        let Some(stored) = node.machine.next_table(local_time, &desired, &write) else { return };
        let value = serde_json::to_vec(&stored).expect("the member table serializes to JSON");
        node.table_swap_pending = true;
        let swap = Swap {
            key: TABLE_KEY.into(),
            expected: table.version,
            value: Some(value),
            lease: None,
        };
        self.swap(index, Purpose::Table, swap, Duration::ZERO);
    }

    // Operators

    pub(super) fn write_randomly(&mut self) {
        let chance = self.options.writes_per_mille;
        if !self.random.random_ratio(chance, 1_000) {
            return;
        }
        let index = self.random.random_range(0..self.nodes.len());
        if !self.nodes[index].up || self.nodes[index].is_paused(self.now) {
            return;
        }
        if !self.nodes[index].machine.platform_reachable() {
            self.report.refused += 1;
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        let name = format!("key-{}", self.random.random_range(0..6));
        let id = Id { kind: Kind::Key, name };
        let live = self.random.random_ratio(1, 2);
        let key = Key { organisation: "norte".into(), sha256: format!("{number:064x}") };
        let spec = live.then_some(Spec::Key(key));
        let held = self.nodes[index].machine.cache().get(&id.key()).cloned();
        let expected = match (&held, self.random.random_ratio(1, 3)) {
            (Some(held), true) => Precondition::Version(held.version),
            _ => Precondition::Any,
        };
        let identifier = format!("write-{number}");
        let (write, step) = Write::begin("", id.clone(), spec, expected, identifier, held.as_ref());
        let operation = Operation { number, id, live, write, applied: None };
        self.nodes[index].operations.push(operation);
        self.step_write(index, number, step);
    }

    /// Finishes writes that were accepted or whose wait timed out.
    pub(super) fn finish_writes(&mut self, index: usize) {
        let now = self.now;
        let mut operations = std::mem::take(&mut self.nodes[index].operations);
        let local_time = self.nodes[index].local_time(now);
        operations.retain(|operation| {
            let Some((version, until)) = operation.applied else { return true };
            if self.nodes[index].machine.accepted(local_time, version) {
                self.record_accepted(operation, version);
                return false;
            }
            if until.passed(now) {
                self.report.stored += 1;
                return false;
            }
            true
        });
        self.nodes[index].operations = operations;
    }
}
