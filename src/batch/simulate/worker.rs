//! Simulated workers, and checks that they may start an item.

use super::*;

impl World {
    /// Starts the granted items that are still within their start window. The
    /// settlement of each is drawn immediately.
    pub(super) fn start_items(
        &mut self,
        worker: usize,
        requested_at: Time,
        grants: &[Grant],
    ) -> Result<(), Violation> {
        let start_by = requested_at.after(START_WINDOW);
        for grant in grants {
            let attempt = grant.attempt;
            let worker_state = &self.workers[worker];
            if worker_state.running.contains_key(&attempt)
                || worker_state.ended.contains_key(&attempt)
            {
                continue;
            }
            if start_by.passed(self.now()) {
                let late = settlement(attempt, AttemptOutcome::NotSent, 0);
                self.workers[worker].ended.insert(attempt, late);
                continue;
            }
            self.check_start(&attempt)?;
            let ended = self.run_attempt(&attempt);
            let at = self.step + self.random.random_range(1..60);
            self.workers[worker].running.insert(attempt, (at, ended));
        }
        Ok(())
    }

    fn check_start(&mut self, attempt: &Attempt) -> Result<(), Violation> {
        self.report.started += 1;
        let id = JobId(attempt.job);
        if self.cancelled_jobs.contains(&id) {
            return self.violation(format!("{attempt:?} started after its job's cancellation"));
        }
        let starts = self.start_counts.entry((attempt.job, attempt.item)).or_default();
        *starts += 1;
        let starts = *starts;
        let idempotent = self.state.job_by_id(id).is_none_or(|job| job.seal().idempotent);
        if !idempotent && starts > 1 {
            return self.violation(format!("{attempt:?} was sent {starts} times"));
        }
        Ok(())
    }

    /// Draws the settlement of an attempt. Every eleventh item crashes its
    /// upstream.
    fn run_attempt(&mut self, attempt: &Attempt) -> Settlement {
        if attempt.item % 11 == 10 {
            return settlement(*attempt, AttemptOutcome::UpstreamLost, 0);
        }
        let outcome = match self.random.random_range(0..20) {
            0 => AttemptOutcome::UpstreamLost,
            1 => AttemptOutcome::Failed,
            2 => AttemptOutcome::Preempted,
            _ => AttemptOutcome::Answered,
        };
        settlement(*attempt, outcome, self.random.random())
    }

    pub(super) fn run_worker(&mut self, index: usize) {
        if self.workers[index].resumes_at_step > self.step {
            return;
        }
        let (step, incarnation) = (self.step, self.workers[index].incarnation);
        let worker = &mut self.workers[index];
        let finished = worker.running.iter().filter(|(_, (at, _))| *at <= step);
        let finished: Vec<_> =
            finished.map(|(attempt, (_, ended))| (*attempt, ended.clone())).collect();
        finished.iter().for_each(|(attempt, _)| drop(worker.running.remove(attempt)));
        for (attempt, ended) in &finished {
            if attempt.item % 11 == 10 && ended.outcome() == AttemptOutcome::UpstreamLost {
                *self.upstream_losses.entry((attempt.job, attempt.item)).or_default() += 1;
            }
        }
        worker.ended.extend(finished);
        if step % 10 == index as u64 {
            let ended: Vec<Settlement> = worker.ended.values().cloned().collect();
            for settlement in ended {
                let attempt = settlement.attempt;
                let settle = Event::Settle(Settle { settlements: vec![settlement] });
                self.send(Message::Propose(
                    settle,
                    Requester::Settle { worker: index, incarnation, attempt },
                ));
            }
        }
        if step % RENEW_INTERVAL_STEPS == index as u64 {
            let now = self.now();
            let worker = &mut self.workers[index];
            worker
                .open_requests
                .retain(|requested_at| !requested_at.after(START_WINDOW).passed(now));
            let closed = worker.open_requests.first().map_or(now.0, |open| open.0) - 1;
            let attempts = worker.running.keys().chain(worker.ended.keys()).copied().collect();
            self.send(Message::RenewRequest { worker: index, incarnation, closed, attempts });
        }
        if self.workers[index].running.len() < 8 {
            let requested_at = self.now();
            self.workers[index].open_requests.insert(requested_at);
            self.send(Message::LeaseRequest { worker: index, incarnation, requested_at });
        }
    }
}
