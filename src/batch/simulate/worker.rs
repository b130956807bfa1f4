//! Workers: what they start, and that they may.

use super::*;

impl World {
    /// A worker starts what it may; its answers are decided at once.
    pub(super) fn start(
        &mut self,
        worker: usize,
        asked: Time,
        grants: &[Grant],
    ) -> Result<(), Violation> {
        let start_by = asked.after(START_WINDOW);
        for grant in grants {
            let attempt = grant.attempt;
            let known = &self.workers[worker];
            if known.running.contains_key(&attempt) || known.ended.contains_key(&attempt) {
                continue;
            }
            if start_by.passed(self.now()) {
                let late = settlement(attempt, AttemptOutcome::NotSent, 0);
                self.workers[worker].ended.insert(attempt, late);
                continue;
            }
            self.check_start(&attempt)?;
            let ended = self.run(&attempt);
            let at = self.step + self.random.random_range(1..60);
            self.workers[worker].running.insert(attempt, (at, ended));
        }
        Ok(())
    }

    fn check_start(&mut self, attempt: &Attempt) -> Result<(), Violation> {
        self.report.started += 1;
        let id = JobId(attempt.job);
        if self.stopped.contains(&id) {
            return self.violation(format!("{attempt:?} started after its job's cancellation"));
        }
        let starts = self.starts.entry((attempt.job, attempt.item)).or_default();
        *starts += 1;
        let starts = *starts;
        let idempotent = self.state.job_by_id(id).is_none_or(|job| job.seal().idempotent);
        if !idempotent && starts > 1 {
            return self.violation(format!("{attempt:?} was sent {starts} times"));
        }
        Ok(())
    }

    /// How an attempt ends at its upstream; every eleventh item crashes it.
    fn run(&mut self, attempt: &Attempt) -> Settlement {
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

    pub(super) fn work(&mut self, index: usize) {
        if self.workers[index].resumes > self.step {
            return;
        }
        let (step, life) = (self.step, self.workers[index].life);
        let worker = &mut self.workers[index];
        let over = worker.running.iter().filter(|(_, (at, _))| *at <= step);
        let over: Vec<_> = over.map(|(attempt, (_, ended))| (*attempt, ended.clone())).collect();
        over.iter().for_each(|(attempt, _)| drop(worker.running.remove(attempt)));
        for (attempt, ended) in &over {
            if attempt.item % 11 == 10 && ended.outcome() == AttemptOutcome::UpstreamLost {
                *self.losses.entry((attempt.job, attempt.item)).or_default() += 1;
            }
        }
        worker.ended.extend(over);
        if step % 10 == index as u64 {
            let ended: Vec<Settlement> = worker.ended.values().cloned().collect();
            for each in ended {
                let attempt = each.attempt;
                let settle = Event::Settle(Settle { settlements: vec![each] });
                self.send(Message::Propose(settle, Asker::Settle { worker: index, life, attempt }));
            }
        }
        if step % RENEW_STEPS == index as u64 {
            let now = self.now();
            let worker = &mut self.workers[index];
            worker.asked.retain(|asked| !asked.after(START_WINDOW).passed(now));
            let closed = worker.asked.first().map_or(now.0, |open| open.0) - 1;
            let attempts = worker.running.keys().chain(worker.ended.keys()).copied().collect();
            self.send(Message::Renew { worker: index, life, closed, attempts });
        }
        if self.workers[index].running.len() < 8 {
            let asked = self.now();
            self.workers[index].asked.insert(asked);
            self.send(Message::Ask { worker: index, life, asked });
        }
    }
}
