//! Faults, and what must hold at all times and at the end of a run.

use super::*;

impl World {
    /// A reader compares what it sees with all that was read before.
    pub(super) fn read(&mut self) -> Result<(), Violation> {
        let name = self.name();
        let Some(job) = self.state.job(&name) else { return Ok(()) };
        let (id, slots) = (job.id(), job.results().to_vec());
        let before = self.read.entry(id).or_default();
        if slots.len() < before.len() || slots[..before.len()] != before[..] {
            return self.violation(format!("results of {name:?} changed after they were read"));
        }
        *before = slots;
        Ok(())
    }

    pub(super) fn fault(&mut self) {
        let index = self.random.random_range(0..WORKERS);
        match self.random.random_range(0..1_000) {
            0..3 => {
                let life = self.workers[index].life + 1;
                // It can't tell any more of the upstreams that were lost.
                for attempt in self.workers[index].ended.keys() {
                    if let Some(losses) = self.losses.get_mut(&(attempt.job, attempt.item)) {
                        *losses -= 1;
                    }
                }
                self.workers[index] = Worker { life, ..Worker::default() };
                self.report.deaths += 1;
            }
            3..8 => {
                let span = self.random.random_range(1..MAX_PAUSE_STEPS);
                self.workers[index].resumes = self.step + span;
            }
            8..11 => self.change_primary(),
            _ => {}
        }
    }

    /// Another primary takes over: some of what isn't committed is lost, and
    /// nobody is answered for the rest.
    pub(super) fn change_primary(&mut self) {
        let kept = self.random.random_range(self.committed..=self.log.len());
        self.log.truncate(kept);
        self.log[self.committed..].iter_mut().for_each(|(_, asker)| *asker = Asker::Nobody);
        self.leases = Leases::new(&self.state, self.now());
        (self.busy, self.own_busy) = (false, false);
        self.held.clear();
        self.report.primaries += 1;
    }

    /// Ends all faults and expects every job to end, with each item complete
    /// exactly once and the same state after a replay of the compacted log.
    pub(super) fn finish(&mut self) -> Result<(), Violation> {
        self.calm = true;
        self.workers.iter_mut().for_each(|worker| worker.resumes = 0);
        for _ in 0..CALM_STEPS {
            self.advance()?;
        }
        let jobs: Vec<(Name, u32)> = self.accepted.clone().into_iter().collect();
        for (name, total) in jobs {
            self.check_job(&name, total)?;
        }
        if let Some((item, losses)) = self.losses.iter().find(|(_, losses)| **losses > MAX_LOSSES) {
            return self.violation(format!("{item:?} took down {losses} upstreams"));
        }
        self.check_replay()
    }

    fn check_job(&mut self, name: &Name, total: u32) -> Result<(), Violation> {
        let Some(job) = self.state.job(name) else {
            return self.violation(format!("the accepted job {name:?} is lost"));
        };
        let items: BTreeSet<u32> = job.results().iter().map(|slot| slot.item).collect();
        let (complete, slots) = (items.len(), job.results().len());
        if job.phase() == Phase::Running || complete != total as usize || slots != complete {
            let seen = format!("{name:?}: {complete} of {total} items in {slots} results");
            return self.violation(seen);
        }
        self.report.completed += u64::from(total);
        Ok(())
    }

    fn check_replay(&self) -> Result<(), Violation> {
        let mut replayed = State::default();
        for (index, (record, _)) in self.log[..self.committed].iter().enumerate() {
            let seq = index as u64 + 1;
            if self.dead.contains(&seq) {
                continue;
            }
            let bytes = record.encode_to_vec();
            let record = Record::decode(bytes.as_slice()).expect("just encoded");
            replayed.apply(seq, &record);
        }
        for name in self.accepted.keys() {
            let slots = |state: &State| state.job(name).map(|job| job.results().to_vec());
            if slots(&replayed) != slots(&self.state) {
                return self.violation(format!("a replay gives {name:?} other results"));
            }
        }
        Ok(())
    }
}
