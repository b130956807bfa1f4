//! Fault injection and invariant checks during and at the end of a run.

use super::*;

impl World {
    /// Reads a random job's results and compares them with those read before.
    pub(super) fn check_reader(&mut self) -> Result<(), Violation> {
        let name = self.random_name();
        let Some(job) = self.state.job(&name) else { return Ok(()) };
        let (id, results) = (job.id(), job.results().to_vec());
        let before = self.read_results.entry(id).or_default();
        if results.len() < before.len() || results[..before.len()] != before[..] {
            return self.violation(format!("results of {name:?} changed after they were read"));
        }
        *before = results;
        Ok(())
    }

    pub(super) fn inject_fault(&mut self) {
        let index = self.random.random_range(0..WORKERS);
        match self.random.random_range(0..1_000) {
            0..3 => {
                let incarnation = self.workers[index].incarnation + 1;
                // The crashed worker can no longer report these upstream losses.
                for attempt in self.workers[index].ended.keys() {
                    if let Some(losses) = self.upstream_losses.get_mut(&(attempt.job, attempt.item))
                    {
                        *losses -= 1;
                    }
                }
                self.workers[index] = Worker { incarnation, ..Worker::default() };
                self.report.deaths += 1;
            }
            3..8 => {
                let span = self.random.random_range(1..MAX_PAUSE_STEPS);
                self.workers[index].resumes_at_step = self.step + span;
            }
            8..11 => self.change_primary(),
            _ => {}
        }
    }

    /// Changes the primary: some uncommitted records are lost, and requesters
    /// get no reply for the rest.
    pub(super) fn change_primary(&mut self) {
        let kept = self.random.random_range(self.committed..=self.log.len());
        self.log.truncate(kept);
        self.log[self.committed..]
            .iter_mut()
            .for_each(|(_, requester)| *requester = Requester::Nobody);
        self.leases = Leases::new(&self.state, self.now());
        (self.lease_pending, self.primary_record_pending) = (false, false);
        self.pending_cancellations.clear();
        self.report.primaries += 1;
    }

    /// Stops fault injection and checks that every job ends, that each item is
    /// completed exactly once and that a replay of the compacted log gives the
    /// same results.
    pub(super) fn finish(&mut self) -> Result<(), Violation> {
        self.fault_free = true;
        self.workers.iter_mut().for_each(|worker| worker.resumes_at_step = 0);
        for _ in 0..FAULT_FREE_STEPS {
            self.advance()?;
        }
        let jobs: Vec<(Name, u32)> = self.accepted_jobs.clone().into_iter().collect();
        for (name, total) in jobs {
            self.check_job(&name, total)?;
        }
        if let Some((item, losses)) =
            self.upstream_losses.iter().find(|(_, losses)| **losses > MAX_UPSTREAM_LOSSES)
        {
            return self.violation(format!("{item:?} crashed {losses} upstreams"));
        }
        self.check_replay()
    }

    fn check_job(&mut self, name: &Name, total: u32) -> Result<(), Violation> {
        let Some(job) = self.state.job(name) else {
            return self.violation(format!("accepted job {name:?} was lost"));
        };
        let items: BTreeSet<u32> = job.results().iter().map(|slot| slot.item).collect();
        let (complete, results) = (items.len(), job.results().len());
        if job.phase() == Phase::Running || complete != total as usize || results != complete {
            let detail = format!("{name:?}: {complete} of {total} items in {results} results");
            return self.violation(detail);
        }
        self.report.completed += u64::from(total);
        Ok(())
    }

    fn check_replay(&self) -> Result<(), Violation> {
        let mut replayed = State::default();
        for (index, (record, _)) in self.log[..self.committed].iter().enumerate() {
            let seq = index as u64 + 1;
            if self.compacted.contains(&seq) {
                continue;
            }
            let bytes = record.encode_to_vec();
            let record = Record::decode(bytes.as_slice()).expect("just encoded");
            replayed.apply(seq, &record);
        }
        for name in self.accepted_jobs.keys() {
            let results = |state: &State| state.job(name).map(|job| job.results().to_vec());
            if results(&replayed) != results(&self.state) {
                return self.violation(format!("a replay gives different results for {name:?}"));
            }
        }
        Ok(())
    }
}
