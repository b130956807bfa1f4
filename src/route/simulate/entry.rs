//! Simulated entry VMs: run permits, upstream selection and failure handling.

use std::time::Duration;

use super::engine::Attempt;
use super::world::{Event, World, engine_name};
use super::{Rule, Violation};
use crate::admission::{Pick, Ticket};
use crate::config::resource::Serves;
use crate::error::{Error, Kind};
use crate::id::{Upstream, Vm};
use crate::route::{Balancer, Budget, Crashes, Outcome, PROBE_DELAY, Run, Verdict, owners};
use crate::stream::Action;
use crate::upstream::{Failure, check_request_id};
use crate::view::Shared;

/// Time after which an unreachable owner VM counts as having given no verdict.
const BEGIN_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum number of concurrent requests from one VM to one upstream.
const SLOTS_PER_UPSTREAM: usize = 4;

/// State of an entry VM, which is lost when the VM crashes.
pub(super) struct Entry {
    pub(super) vm: Vm,
    pub(super) up: bool,
    pub(super) incarnation: u64,
    pub(super) crashes: Crashes,
    balancer: Balancer,
    budget: Budget,
    runs: u64,
}

impl Entry {
    pub(super) fn new(n: usize, incarnation: u64, shared: &Shared, seed: u64) -> Self {
        let vm = Vm::from(format!("entry-{n}"));
        Self {
            balancer: Balancer::new(vm.clone(), shared.clone(), seed ^ n as u64),
            vm,
            up: true,
            incarnation,
            crashes: Crashes::default(),
            budget: Budget::default(),
            runs: incarnation << 32,
        }
    }
}

impl World {
    /// Asks the fingerprint's owner VMs and the VM itself whether a submission
    /// may run.
    pub(super) fn request_permit(&mut self, submission: usize) -> Result<(), Violation> {
        if self.submissions[submission].ended {
            return Ok(());
        }
        let (fingerprint, entry, now) =
            (self.fingerprint(submission), self.submissions[submission].entry, self.now);
        if self.entries[entry].crashes.is_quarantined(fingerprint, now) {
            return self.refuse_quarantined(submission);
        }
        if self.entries[entry].crashes.is_cleared(fingerprint, now) {
            self.submissions[submission].asked_owners.clear();
            self.submissions[submission].exclusive = false;
            return self.choose_upstream(submission);
        }
        self.entries[entry].runs += 1;
        let run = self.entries[entry].runs;
        let vms: Vec<Vm> = self.entries.iter().map(|entry| entry.vm.clone()).collect();
        let owner_vms = owners(fingerprint, &vms);
        let asked_owners: Vec<usize> =
            (0..vms.len()).filter(|n| *n != entry && owner_vms.contains(&&vms[*n])).collect();
        let deadline = self.submissions[submission].deadline;
        let own = Run { vm: vms[entry].clone(), number: run };
        let verdict = self.entries[entry].crashes.begin(fingerprint, own, deadline, now);
        let state = &mut self.submissions[submission];
        state.run = run;
        state.round += 1;
        state.verdicts = vec![Some(verdict)];
        state.asked_owners.clone_from(&asked_owners);
        let round = state.round;
        if asked_owners.is_empty() {
            return self.decide(submission);
        }
        for owner in asked_owners {
            let delay = self.delay();
            self.schedule(delay, Event::BeginReceived { submission, owner, round });
        }
        Ok(())
    }

    pub(super) fn receive_begin(&mut self, submission: usize, owner: usize, round: u32) {
        let delay = self.delay();
        if !self.entries[owner].up {
            self.schedule(
                BEGIN_TIMEOUT,
                Event::VerdictReceived { submission, round, verdict: None },
            );
            return;
        }
        let (fingerprint, deadline, now) =
            (self.fingerprint(submission), self.submissions[submission].deadline, self.now);
        let run = self.run_of(submission, self.submissions[submission].run);
        let verdict = Some(self.entries[owner].crashes.begin(fingerprint, run, deadline, now));
        self.schedule(delay, Event::VerdictReceived { submission, round, verdict });
    }

    pub(super) fn receive_verdict(
        &mut self,
        submission: usize,
        round: u32,
        verdict: Option<Verdict>,
    ) -> Result<(), Violation> {
        let state = &mut self.submissions[submission];
        if state.ended || state.round != round {
            return Ok(());
        }
        state.verdicts.push(verdict);
        match state.verdicts.len() > state.asked_owners.len() {
            true => self.decide(submission),
            false => Ok(()),
        }
    }

    fn decide(&mut self, submission: usize) -> Result<(), Violation> {
        let verdict =
            Verdict::strictest(self.submissions[submission].verdicts.iter().flatten().copied());
        self.submissions[submission].exclusive = verdict == Verdict::Isolated;
        if verdict.allows() {
            return self.choose_upstream(submission);
        }
        self.cancel_run(submission);
        if verdict == Verdict::Quarantined {
            return self.refuse_quarantined(submission);
        }
        let pause = self.delay() * 4;
        self.schedule(pause, Event::RequestPermit { submission });
        Ok(())
    }

    fn refuse_quarantined(&mut self, submission: usize) -> Result<(), Violation> {
        self.report.quarantined += 1;
        let error = self.submissions[submission]
            .retry
            .caller_error(Error::new(Kind::Quarantined, "crashes"));
        self.refuse(submission, &error)
    }

    pub(super) fn choose_upstream(&mut self, submission: usize) -> Result<(), Violation> {
        if self.submissions[submission].ended {
            return Ok(());
        }
        let (entry, now) = (self.submissions[submission].entry, self.now);
        let free = self.free_upstreams(submission);
        let ticket = self.ticket(submission);
        let Some(upstream) = self.entries[entry].balancer.pick(&ticket, &free, now) else {
            if self.submissions[submission].excluded.len() >= self.engines.len() {
                let error = Error::new(Kind::NoUpstream, "all upstreams were tried");
                let error = self.submissions[submission].retry.caller_error(error);
                return self.refuse(submission, &error);
            }
            self.schedule(Duration::from_millis(5), Event::ChooseUpstream { submission });
            return Ok(());
        };
        if self.submissions[submission].retry.start(now).is_err() {
            return self.deadline(submission);
        }
        self.start_attempt(submission, &upstream);
        Ok(())
    }

    fn start_attempt(&mut self, submission: usize, upstream: &Upstream) {
        let (entry, now) = (self.submissions[submission].entry, self.now);
        let number = self.attempts.len();
        let engine = (0..self.engines.len()).find(|n| engine_name(*n) == *upstream);
        let name = format!("attempt-{number}");
        let organisation = "all".into();
        self.entries[entry].budget.deposit(&organisation, upstream, now);
        self.entries[entry].balancer.started(upstream);
        let delay = self.delay();
        let assembler = &mut self.submissions[submission].assembler;
        assembler.start_attempt(name.clone());
        let resume_from = assembler.next_position();
        let resumed = resume_from > 0;
        self.attempts.push(Attempt {
            submission,
            engine: engine.unwrap_or_default(),
            upstream: upstream.clone(),
            name,
            resume_from,
            delay,
            open: true,
            running: false,
        });
        self.submissions[submission].attempt = Some(number);
        self.submissions[submission].engine = engine;
        self.report.resumes += u32::from(resumed);
        self.schedule(delay, Event::RequestReceived { attempt: number });
    }

    fn free_upstreams(&self, submission: usize) -> Vec<Upstream> {
        let entry = self.submissions[submission].entry;
        let exclusive = self.submissions[submission].exclusive;
        let has_free_slot = |upstream: &Upstream| {
            let open_attempts = self.attempts.iter().rev().take(400).filter(|attempt| {
                attempt.open
                    && attempt.upstream == *upstream
                    && self.submissions[attempt.submission].entry == entry
            });
            open_attempts.count() < if exclusive { 1 } else { SLOTS_PER_UPSTREAM }
        };
        let all = (0..self.engines.len()).map(engine_name);
        all.filter(|name| {
            !self.submissions[submission].excluded.contains(name) && has_free_slot(name)
        })
        .collect()
    }

    fn ticket(&self, submission: usize) -> Ticket {
        let submission = &self.submissions[submission];
        Ticket {
            organisation: "all".into(),
            target: Serves::Model("m".into()),
            cost: 1,
            deadline: submission.deadline,
            excluded: submission.excluded.clone(),
            exclusive: submission.exclusive,
            prefix: None,
        }
    }

    /// Handles a stream event.
    pub(super) fn receive_event(
        &mut self,
        attempt: usize,
        event: &[u8],
        job: usize,
    ) -> Result<(), Violation> {
        if !self.attempts[attempt].open {
            return Ok(());
        }
        let submission = self.attempts[attempt].submission;
        let before = self.submissions[submission].assembler.next_position();
        match self.submissions[submission].assembler.accept(event) {
            Action::Forward(event) => self.check_token(submission, job, &event),
            Action::Done(_) => {
                let wanted = self.jobs[self.submissions[submission].job].tokens.unwrap_or(0);
                self.require(before == wanted, Rule::Tokens, || {
                    format!("submission {submission} ended after {before} of {wanted} tokens")
                })?;
                self.complete_submission(submission);
                Ok(())
            }
            Action::Drop => {
                self.report.dropped += 1;
                Ok(())
            }
            Action::Abort(error) => {
                self.report.dropped += 1;
                self.fail_attempt(attempt, Failure::Sent(error))
            }
        }
    }

    fn check_token(
        &mut self,
        submission: usize,
        job: usize,
        event: &[u8],
    ) -> Result<(), Violation> {
        let own = self.submissions[submission].job;
        self.require(job == own, Rule::Crossed, || {
            format!("submission {submission} received a token of job {job}")
        })?;
        let text = String::from_utf8_lossy(event).into_owned();
        let expected = format!("\"position\":{},", self.submissions[submission].tokens);
        let has_request_id = text.contains(&format!("caller-{submission}\""));
        self.require(text.contains(&expected) && has_request_id, Rule::Tokens, || {
            format!("submission {submission} expected {expected} and received {text}")
        })?;
        self.submissions[submission].tokens += 1;
        Ok(())
    }

    /// Handles an answer that is not streamed.
    pub(super) fn receive_answer(
        &mut self,
        attempt: usize,
        name: &str,
        job: usize,
    ) -> Result<(), Violation> {
        if !self.attempts[attempt].open {
            return Ok(());
        }
        if let Err(failure) = check_request_id(Some(name), &self.attempts[attempt].name) {
            self.report.dropped += 1;
            return self.fail_attempt(attempt, failure);
        }
        let submission = self.attempts[attempt].submission;
        let own = self.submissions[submission].job;
        self.require(job == own, Rule::Crossed, || {
            format!("submission {submission} received the answer of job {job}")
        })?;
        self.complete_submission(submission);
        Ok(())
    }

    pub(super) fn fail_attempt(
        &mut self,
        attempt: usize,
        failure: Failure,
    ) -> Result<(), Violation> {
        if !self.attempts[attempt].open {
            return Ok(());
        }
        let submission = self.attempts[attempt].submission;
        let (entry, now) = (self.submissions[submission].entry, self.now);
        let upstream = self.attempts[attempt].upstream.clone();
        let balancer = &self.entries[entry].balancer;
        match &failure {
            Failure::Sent(_) if !failure.is_interrupted() => balancer.failed(&upstream, now),
            _ => balancer.connection_failed(&upstream, now),
        }
        let interrupted = failure.is_interrupted();
        self.stop_attempt(submission);
        if !interrupted {
            if matches!(failure, Failure::NotSent(_)) {
                self.submissions[submission].engine = None;
            }
            self.cancel_run(submission);
            return self.retry_or_refuse(submission, failure, &upstream);
        }
        self.report_outcome(submission, Outcome::Crashed);
        // Retries only after all VMs have learned of the crash.
        self.schedule(Duration::from_millis(7), Event::Retry { submission, failure, upstream });
        Ok(())
    }

    pub(super) fn retry_or_refuse(
        &mut self,
        submission: usize,
        failure: Failure,
        upstream: &Upstream,
    ) -> Result<(), Violation> {
        if self.submissions[submission].ended {
            return Ok(());
        }
        let (entry, now) = (self.submissions[submission].entry, self.now);
        self.submissions[submission].excluded.push(upstream.clone());
        let budget = &mut self.entries[entry].budget;
        let organisation = "all".into();
        let allowed = || budget.withdraw(&organisation, upstream, now);
        match self.submissions[submission].retry.failed(failure, now, allowed) {
            Ok(()) => {
                self.report.retries += 1;
                self.request_permit(submission)
            }
            Err(error) => self.refuse(submission, &error),
        }
    }

    /// Closes a submission's attempt and cancels it at the upstream.
    pub(super) fn stop_attempt(&mut self, submission: usize) {
        let entry = self.submissions[submission].entry;
        let Some(attempt) = self.submissions[submission].attempt.take() else { return };
        self.entries[entry].balancer.ended(&self.attempts[attempt].upstream);
        self.close(attempt);
    }

    /// Like `stop_attempt`, for a VM that has crashed.
    pub(super) fn close_attempt(&mut self, submission: usize) {
        if let Some(attempt) = self.submissions[submission].attempt.take() {
            self.close(attempt);
        }
    }

    fn close(&mut self, attempt: usize) {
        self.attempts[attempt].open = false;
        // The upstream notices the cancellation only after a while.
        let delay = self.delay() * 10;
        self.schedule(delay, Event::Cancel { attempt });
    }

    /// Finishes the attempt of a submission that was answered completely.
    pub(super) fn finish_attempt(&mut self, submission: usize) {
        self.stop_attempt(submission);
        self.report_outcome(submission, Outcome::Completed);
    }

    /// Cancels a submission's run.
    ///
    /// A request that was sent may still crash its upstream before the
    /// cancellation arrives, so the run counts until a probe has shown that the
    /// upstream is alive.
    pub(super) fn cancel_run(&mut self, submission: usize) {
        let state = &mut self.submissions[submission];
        let (Some(engine), entry) = (state.engine.take(), state.entry) else {
            return self.report_outcome(submission, Outcome::Other);
        };
        let (run, asked_owners) = (std::mem::take(&mut state.run), state.asked_owners.clone());
        let incarnation = self.entries[entry].incarnation;
        if run > 0 {
            self.schedule(
                PROBE_DELAY,
                Event::Probe { submission, run, asked_owners, engine, incarnation },
            );
        }
    }

    /// Handles the probe of a cancelled run's upstream.
    pub(super) fn probe_upstream(
        &mut self,
        submission: usize,
        run: u64,
        asked_owners: Vec<usize>,
        up: bool,
        incarnation: u64,
    ) {
        if self.entries[self.submissions[submission].entry].incarnation != incarnation {
            return;
        }
        let outcome = if up { Outcome::Other } else { Outcome::Crashed };
        self.report_run_outcome(submission, run, &asked_owners, outcome);
    }

    /// Reports the outcome of the current run: a crash to all VMs, any other
    /// outcome to the owner VMs that were asked about the run.
    fn report_outcome(&mut self, submission: usize, outcome: Outcome) {
        let run = std::mem::take(&mut self.submissions[submission].run);
        self.submissions[submission].engine = None;
        if run > 0 || outcome == Outcome::Crashed {
            let asked_owners = self.submissions[submission].asked_owners.clone();
            self.report_run_outcome(submission, run, &asked_owners, outcome);
        }
    }

    fn report_run_outcome(
        &mut self,
        submission: usize,
        run: u64,
        asked_owners: &[usize],
        outcome: Outcome,
    ) {
        let (entry, fingerprint, now) =
            (self.submissions[submission].entry, self.fingerprint(submission), self.now);
        let own = self.run_of(submission, run);
        self.entries[entry].crashes.end(fingerprint, &own, outcome, now);
        let receivers = match outcome {
            Outcome::Crashed => (0..self.entries.len()).filter(|n| *n != entry).collect(),
            Outcome::Completed | Outcome::Other => asked_owners.to_vec(),
        };
        for owner in receivers {
            let delay = self.delay();
            self.schedule(delay, Event::OutcomeReceived { owner, submission, run, outcome });
        }
    }

    pub(super) fn receive_outcome(
        &mut self,
        owner: usize,
        submission: usize,
        run: u64,
        outcome: Outcome,
    ) {
        let (fingerprint, now) = (self.fingerprint(submission), self.now);
        let run = self.run_of(submission, run);
        if self.entries[owner].up {
            self.entries[owner].crashes.end(fingerprint, &run, outcome, now);
        }
    }

    fn run_of(&self, submission: usize, number: u64) -> Run {
        Run { vm: self.entries[self.submissions[submission].entry].vm.clone(), number }
    }
}
