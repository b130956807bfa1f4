//! Calls to the key-value service: confirmations, reads, writes, leases.

use super::*;

impl World {
    pub(super) fn confirm(&mut self, index: usize) {
        let asked = self.nodes[index].local(self.now);
        let (delay, version) = match self.platform_delay(index) {
            Some(delay) if delay < PLATFORM_TIMEOUT => (delay, Some(self.service.head)),
            Some(_) => (PLATFORM_TIMEOUT, None),
            None => (Duration::from_millis(2), None),
        };
        self.send(index, delay, Message::Confirmed { asked, version });
    }

    pub(super) fn confirmed(&mut self, index: usize, asked: Time, version: Option<u64>) {
        let jitter = self.random.random();
        let node = &mut self.nodes[index];
        let now = node.local(self.now);
        match version {
            Some(version) => {
                if node.machine.on_confirmed(asked, version) {
                    self.read_since(index);
                }
            }
            None => node.machine.on_confirm_failed(now, jitter),
        }
    }

    pub(super) fn read_since(&mut self, index: usize) {
        let version = self.nodes[index].machine.cache().version();
        if let Some(delay) = self.platform_delay(index) {
            let range = self.service.since(version);
            self.send(index, delay, Message::Range { range });
        }
    }

    pub(super) fn catch_up(&mut self, index: usize, range: Range) {
        let node = &mut self.nodes[index];
        let from = node.machine.cache().version();
        let entries = range.entries.into_iter().filter(|entry| entry.version > from);
        let items: Vec<Item> = entries.map(item).collect();
        let to = items.iter().map(|item| item.revision.version).max().unwrap_or(from);
        let from = if from == 0 { 0 } else { from };
        node.machine.apply(Delta { from, to, floor: 0, items });
        // A write of this VM is spread as soon as the VM holds it.
        let applied = node.jobs.iter().any(|job| job.applied.is_some());
        let now = node.local(self.now);
        if applied {
            node.machine.propagate(now);
        }
    }

    pub(super) fn swap(&mut self, index: usize, ticket: Ticket, swap: Swap, pause: Duration) {
        let unavailable = |kind| error::Error::new(kind, "the run says so");
        let Some(delay) = self.platform_delay(index) else {
            let reply = Err(unavailable(error::Kind::PlatformUnavailable));
            self.send(index, pause, Message::Swapped { ticket, reply });
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
        self.send(index, pause + delay, Message::Swapped { ticket, reply });
    }

    pub(super) fn swapped(&mut self, index: usize, ticket: Ticket, reply: error::Result<Swapped>) {
        let number = match ticket {
            Ticket::Table => {
                self.nodes[index].table_under_way = false;
                self.read_since(index);
                return;
            }
            Ticket::Write(number) => number,
        };
        let node = &mut self.nodes[index];
        let Some(job) = node.jobs.iter_mut().find(|job| job.number == number) else { return };
        let step = job.write.on_reply(reply);
        self.step_write(index, number, step);
    }

    pub(super) fn step_write(&mut self, index: usize, number: u64, step: Step) {
        match step {
            Step::Swap(swap) => self.swap(index, Ticket::Write(number), swap, Duration::ZERO),
            Step::Retry(swap) => {
                self.swap(index, Ticket::Write(number), swap, Duration::from_millis(200));
            }
            Step::Done(Ok(version)) => {
                let until = self.now.after(ACCEPT_TIMEOUT);
                let jobs = &mut self.nodes[index].jobs;
                if let Some(job) = jobs.iter_mut().find(|job| job.number == number) {
                    job.applied = Some((version, until));
                }
                self.read_since(index);
            }
            Step::Done(Err(error)) => {
                let jobs = &mut self.nodes[index].jobs;
                let Some(place) = jobs.iter().position(|job| job.number == number) else { return };
                let job = jobs.remove(place);
                self.note_refusal(&job, &error);
            }
        }
    }

    pub(super) fn renew(&mut self, index: usize) {
        let now = self.now;
        if !self.nodes[index].next_lease.passed(now) {
            return;
        }
        self.nodes[index].next_lease = now.after(RENEW_INTERVAL);
        if self.platform_delay(index).is_some() {
            let node = &self.nodes[index];
            let lease = (node.centre.clone(), now.after(LEASE_TTL));
            self.service.leases.insert(node.vm.clone(), lease);
        }
    }

    pub(super) fn publish_table(&mut self, index: usize) {
        let now = self.now;
        let node = &self.nodes[index];
        if !node.next_table.passed(now) || node.table_under_way || !node.machine.is_hub() {
            return;
        }
        self.nodes[index].next_table = now.after(TABLE_INTERVAL);
        if self.platform_delay(index).is_none() {
            return;
        }
        let (leased, listed) = (self.service.leased(now), self.service.listed.clone());
        let with_list = self.options.vm_list;
        let node = &mut self.nodes[index];
        let local = node.local(now);
        node.roster.set_leased(leased);
        if with_list {
            node.roster.set_listed(listed);
        }
        let table = node.machine.table().clone();
        node.machine.set_terminated(node.roster.terminated(&table));
        let wanted = node.roster.desired_members(local, &table, |_| false);
        self.numbers += 1;
        let write = format!("{}-{}", self.nodes[index].vm, self.numbers);
        let node = &mut self.nodes[index];
        let Some(stored) = node.machine.next_table(local, &wanted, &write) else { return };
        let value = serde_json::to_vec(&stored).expect("plain data becomes JSON");
        node.table_under_way = true;
        let swap = Swap {
            key: TABLE_KEY.into(),
            expected: table.version,
            value: Some(value),
            lease: None,
        };
        self.swap(index, Ticket::Table, swap, Duration::ZERO);
    }

    // Operators.

    pub(super) fn operate(&mut self) {
        let chance = self.options.writes_per_mille;
        if !self.random.random_ratio(chance, 1_000) {
            return;
        }
        let index = self.random.random_range(0..self.nodes.len());
        if !self.nodes[index].up || self.nodes[index].is_frozen(self.now) {
            return;
        }
        if !self.nodes[index].machine.platform_reachable() {
            self.report.refused += 1;
            return;
        }
        self.numbers += 1;
        let number = self.numbers;
        let name = format!("key-{}", self.random.random_range(0..6));
        let address = Id { kind: Kind::Key, name };
        let live = self.random.random_ratio(1, 2);
        let key = Key { organisation: "norte".into(), sha256: format!("{number:064x}") };
        let spec = live.then_some(Spec::Key(key));
        let held = self.nodes[index].machine.cache().get(&address.key()).cloned();
        let expected = match (&held, self.random.random_ratio(1, 3)) {
            (Some(held), true) => Precondition::Version(held.version),
            _ => Precondition::Any,
        };
        let identifier = format!("write-{number}");
        let (write, step) =
            Write::begin("", address.clone(), spec, expected, identifier, held.as_ref());
        let job = Job { number, address, live, write, applied: None };
        self.nodes[index].jobs.push(job);
        self.step_write(index, number, step);
    }

    /// Answers operators whose writes were accepted or waited long enough.
    pub(super) fn settle_jobs(&mut self, index: usize) {
        let now = self.now;
        let mut jobs = std::mem::take(&mut self.nodes[index].jobs);
        let local = self.nodes[index].local(now);
        jobs.retain(|job| {
            let Some((version, until)) = job.applied else { return true };
            if self.nodes[index].machine.accepted(local, version) {
                self.note_accepted(job, version);
                return false;
            }
            if until.passed(now) {
                self.report.stored += 1;
                return false;
            }
            true
        });
        self.nodes[index].jobs = jobs;
    }
}
