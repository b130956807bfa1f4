//! The entry VMs: leave to run, choice of upstream, what failures mean.

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

/// How long a VM waits for a keeper.
const ASK_TIMEOUT: Duration = Duration::from_millis(50);
/// Requests that one VM has at one upstream.
const SLOTS: usize = 4;

/// One VM, as far as it remembers.
pub(super) struct Entry {
    pub(super) vm: Vm,
    pub(super) up: bool,
    pub(super) life: u64,
    pub(super) poison: Crashes,
    balance: Balancer,
    budget: Budget,
    runs: u64,
}

impl Entry {
    pub(super) fn new(n: usize, life: u64, shared: &Shared, seed: u64) -> Self {
        let vm = Vm::from(format!("entry-{n}"));
        Self {
            balance: Balancer::new(vm.clone(), shared.clone(), seed ^ n as u64),
            vm,
            up: true,
            life,
            poison: Crashes::default(),
            budget: Budget::default(),
            runs: life << 32,
        }
    }
}

impl World {
    /// Asks the keepers and the VM itself whether a copy may run.
    pub(super) fn ask(&mut self, copy: usize) -> Result<(), Violation> {
        if self.copies[copy].ended {
            return Ok(());
        }
        let (print, entry, now) = (self.print(copy), self.copies[copy].entry, self.now);
        if self.entries[entry].poison.is_quarantined(print, now) {
            return self.quarantined(copy);
        }
        if self.entries[entry].poison.is_cleared(print, now) {
            self.copies[copy].asked.clear();
            self.copies[copy].alone = false;
            return self.choose(copy);
        }
        self.entries[entry].runs += 1;
        let run = self.entries[entry].runs;
        let vms: Vec<Vm> = self.entries.iter().map(|entry| entry.vm.clone()).collect();
        let kept = owners(print, &vms);
        let asked: Vec<usize> =
            (0..vms.len()).filter(|n| *n != entry && kept.contains(&&vms[*n])).collect();
        let deadline = self.copies[copy].deadline;
        let own = Run { vm: vms[entry].clone(), number: run };
        let verdict = self.entries[entry].poison.begin(print, own, deadline, now);
        let state = &mut self.copies[copy];
        state.run = run;
        state.round += 1;
        state.votes = vec![Some(verdict)];
        state.asked.clone_from(&asked);
        let round = state.round;
        if asked.is_empty() {
            return self.decide(copy);
        }
        for keeper in asked {
            let delay = self.delay();
            self.after(delay, Event::Asked { copy, keeper, round });
        }
        Ok(())
    }

    pub(super) fn asked(&mut self, copy: usize, keeper: usize, round: u32) {
        let delay = self.delay();
        if !self.entries[keeper].up {
            self.after(ASK_TIMEOUT, Event::Told { copy, round, verdict: None });
            return;
        }
        let (print, deadline, now) = (self.print(copy), self.copies[copy].deadline, self.now);
        let run = self.run_of(copy, self.copies[copy].run);
        let verdict = Some(self.entries[keeper].poison.begin(print, run, deadline, now));
        self.after(delay, Event::Told { copy, round, verdict });
    }

    pub(super) fn told(
        &mut self,
        copy: usize,
        round: u32,
        verdict: Option<Verdict>,
    ) -> Result<(), Violation> {
        let state = &mut self.copies[copy];
        if state.ended || state.round != round {
            return Ok(());
        }
        state.votes.push(verdict);
        match state.votes.len() > state.asked.len() {
            true => self.decide(copy),
            false => Ok(()),
        }
    }

    fn decide(&mut self, copy: usize) -> Result<(), Violation> {
        let verdict = Verdict::strictest(self.copies[copy].votes.iter().flatten().copied());
        self.copies[copy].alone = verdict == Verdict::Alone;
        if verdict.allows() {
            return self.choose(copy);
        }
        self.give_up_run(copy);
        if verdict == Verdict::Quarantined {
            return self.quarantined(copy);
        }
        let pause = self.delay() * 4;
        self.after(pause, Event::Ask { copy });
        Ok(())
    }

    fn quarantined(&mut self, copy: usize) -> Result<(), Violation> {
        self.report.quarantined += 1;
        let error = self.copies[copy].course.caller_error(Error::new(Kind::Quarantined, "crashes"));
        self.refuse(copy, &error)
    }

    pub(super) fn choose(&mut self, copy: usize) -> Result<(), Violation> {
        if self.copies[copy].ended {
            return Ok(());
        }
        let (entry, now) = (self.copies[copy].entry, self.now);
        let free = self.free(copy);
        let ticket = self.ticket(copy);
        let Some(upstream) = self.entries[entry].balance.pick(&ticket, &free, now) else {
            if self.copies[copy].excluded.len() >= self.engines.len() {
                let error = Error::new(Kind::NoUpstream, "all were tried");
                let error = self.copies[copy].course.caller_error(error);
                return self.refuse(copy, &error);
            }
            self.after(Duration::from_millis(5), Event::Choose { copy });
            return Ok(());
        };
        if self.copies[copy].course.start(now).is_err() {
            return self.deadline(copy);
        }
        self.start(copy, &upstream);
        Ok(())
    }

    fn start(&mut self, copy: usize, upstream: &Upstream) {
        let (entry, now) = (self.copies[copy].entry, self.now);
        let number = self.attempts.len();
        let engine = (0..self.engines.len()).find(|n| engine_name(*n) == *upstream);
        let name = format!("attempt-{number}");
        let organisation = "all".into();
        self.entries[entry].budget.deposit(&organisation, upstream, now);
        self.entries[entry].balance.started(upstream);
        let delay = self.delay();
        let assembly = &mut self.copies[copy].assembly;
        assembly.start_attempt(name.clone());
        let from = assembly.next_position();
        let resumed = from > 0;
        self.attempts.push(Attempt {
            copy,
            engine: engine.unwrap_or_default(),
            upstream: upstream.clone(),
            name,
            from,
            delay,
            open: true,
            running: false,
        });
        self.copies[copy].attempt = Some(number);
        self.copies[copy].engine = engine;
        self.report.resumes += u32::from(resumed);
        self.after(delay, Event::Reach { attempt: number });
    }

    fn free(&self, copy: usize) -> Vec<Upstream> {
        let entry = self.copies[copy].entry;
        let alone = self.copies[copy].alone;
        let room = |upstream: &Upstream| {
            let there = self.attempts.iter().rev().take(400).filter(|attempt| {
                attempt.open
                    && attempt.upstream == *upstream
                    && self.copies[attempt.copy].entry == entry
            });
            there.count() < if alone { 1 } else { SLOTS }
        };
        let all = (0..self.engines.len()).map(engine_name);
        all.filter(|name| !self.copies[copy].excluded.contains(name) && room(name)).collect()
    }

    fn ticket(&self, copy: usize) -> Ticket {
        let copy = &self.copies[copy];
        Ticket {
            organisation: "all".into(),
            target: Serves::Model("m".into()),
            cost: 1,
            deadline: copy.deadline,
            excluded: copy.excluded.clone(),
            exclusive: copy.alone,
            prefix: None,
        }
    }

    /// An event of a stream came.
    pub(super) fn deliver(
        &mut self,
        attempt: usize,
        event: &[u8],
        job: usize,
    ) -> Result<(), Violation> {
        if !self.attempts[attempt].open {
            return Ok(());
        }
        let copy = self.attempts[attempt].copy;
        let before = self.copies[copy].assembly.next_position();
        match self.copies[copy].assembly.accept(event) {
            Action::Forward(event) => self.check_token(copy, job, &event),
            Action::Done(_) => {
                let wanted = self.jobs[self.copies[copy].job].tokens.unwrap_or(0);
                self.rule(before == wanted, Rule::Tokens, || {
                    format!("copy {copy} ended after {before} of {wanted} tokens")
                })?;
                self.complete(copy);
                Ok(())
            }
            Action::Drop => {
                self.report.dropped += 1;
                Ok(())
            }
            Action::Abort(error) => {
                self.report.dropped += 1;
                self.fail(attempt, Failure::Sent(error))
            }
        }
    }

    fn check_token(&mut self, copy: usize, job: usize, event: &[u8]) -> Result<(), Violation> {
        let own = self.copies[copy].job;
        self.rule(job == own, Rule::Crossed, || format!("copy {copy} got a token of job {job}"))?;
        let text = String::from_utf8_lossy(event).into_owned();
        let expected = format!("\"position\":{},", self.copies[copy].tokens);
        let named = text.contains(&format!("caller-{copy}\""));
        self.rule(text.contains(&expected) && named, Rule::Tokens, || {
            format!("copy {copy} expected {expected} and got {text}")
        })?;
        self.copies[copy].tokens += 1;
        Ok(())
    }

    /// A whole answer came.
    pub(super) fn answer(
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
            return self.fail(attempt, failure);
        }
        let copy = self.attempts[attempt].copy;
        let own = self.copies[copy].job;
        self.rule(job == own, Rule::Crossed, || format!("copy {copy} got job {job}'s answer"))?;
        self.complete(copy);
        Ok(())
    }

    pub(super) fn fail(&mut self, attempt: usize, failure: Failure) -> Result<(), Violation> {
        if !self.attempts[attempt].open {
            return Ok(());
        }
        let copy = self.attempts[attempt].copy;
        let (entry, now) = (self.copies[copy].entry, self.now);
        let upstream = self.attempts[attempt].upstream.clone();
        let balance = &self.entries[entry].balance;
        match &failure {
            Failure::Sent(_) if !failure.is_interrupted() => balance.failed(&upstream, now),
            _ => balance.connection_failed(&upstream, now),
        }
        let died = failure.is_interrupted();
        self.stop_attempt(copy);
        if !died {
            if matches!(failure, Failure::NotSent(_)) {
                self.copies[copy].engine = None;
            }
            self.give_up_run(copy);
            return self.resume(copy, failure, &upstream);
        }
        self.tell(copy, Outcome::Crashed);
        // The keepers' answers are waited for before anything goes on.
        self.after(Duration::from_millis(7), Event::Resume { copy, failure, upstream });
        Ok(())
    }

    pub(super) fn resume(
        &mut self,
        copy: usize,
        failure: Failure,
        upstream: &Upstream,
    ) -> Result<(), Violation> {
        if self.copies[copy].ended {
            return Ok(());
        }
        let (entry, now) = (self.copies[copy].entry, self.now);
        self.copies[copy].excluded.push(upstream.clone());
        let budget = &mut self.entries[entry].budget;
        let organisation = "all".into();
        let allowed = || budget.withdraw(&organisation, upstream, now);
        match self.copies[copy].course.failed(failure, now, allowed) {
            Ok(()) => {
                self.report.retries += 1;
                self.ask(copy)
            }
            Err(error) => self.refuse(copy, &error),
        }
    }

    /// Lets a copy's attempt go; its upstream learns of it.
    pub(super) fn stop_attempt(&mut self, copy: usize) {
        let entry = self.copies[copy].entry;
        let Some(attempt) = self.copies[copy].attempt.take() else { return };
        self.entries[entry].balance.ended(&self.attempts[attempt].upstream);
        self.let_go(attempt);
    }

    /// As `stop_attempt`, on a VM that is gone.
    pub(super) fn close_attempt(&mut self, copy: usize) {
        if let Some(attempt) = self.copies[copy].attempt.take() {
            self.let_go(attempt);
        }
    }

    fn let_go(&mut self, attempt: usize) {
        self.attempts[attempt].open = false;
        // An upstream takes its time to notice.
        let delay = self.delay() * 10;
        self.after(delay, Event::Cancel { attempt });
    }

    /// A copy's answer came whole.
    pub(super) fn finish_attempt(&mut self, copy: usize) {
        self.stop_attempt(copy);
        self.tell(copy, Outcome::Completed);
    }

    /// A copy's run is taken back.
    ///
    /// What was sent may still crash its upstream before the cancellation
    /// arrives, so such a run counts until the upstream was seen alive.
    pub(super) fn give_up_run(&mut self, copy: usize) {
        let state = &mut self.copies[copy];
        let (Some(engine), entry) = (state.engine.take(), state.entry) else {
            return self.tell(copy, Outcome::Other);
        };
        let (run, asked) = (std::mem::take(&mut state.run), state.asked.clone());
        let life = self.entries[entry].life;
        if run > 0 {
            self.after(PROBE_DELAY, Event::Probe { copy, run, asked, engine, life });
        }
    }

    /// A VM looks whether the upstream of a cancelled run is alive.
    pub(super) fn probe(&mut self, copy: usize, run: u64, asked: Vec<usize>, up: bool, life: u64) {
        if self.entries[self.copies[copy].entry].life != life {
            return;
        }
        let how = if up { Outcome::Other } else { Outcome::Crashed };
        self.tell_run(copy, run, &asked, how);
    }

    /// Tells a run's end: a death to all, anything else to those that know.
    fn tell(&mut self, copy: usize, how: Outcome) {
        let run = std::mem::take(&mut self.copies[copy].run);
        self.copies[copy].engine = None;
        if run > 0 || how == Outcome::Crashed {
            let asked = self.copies[copy].asked.clone();
            self.tell_run(copy, run, &asked, how);
        }
    }

    fn tell_run(&mut self, copy: usize, run: u64, asked: &[usize], how: Outcome) {
        let (entry, print, now) = (self.copies[copy].entry, self.print(copy), self.now);
        let own = self.run_of(copy, run);
        self.entries[entry].poison.end(print, &own, how, now);
        let told = match how {
            Outcome::Crashed => (0..self.entries.len()).filter(|n| *n != entry).collect(),
            Outcome::Completed | Outcome::Other => asked.to_vec(),
        };
        for keeper in told {
            let delay = self.delay();
            self.after(delay, Event::Ended { keeper, copy, run, how });
        }
    }

    pub(super) fn ended(&mut self, keeper: usize, copy: usize, run: u64, how: Outcome) {
        let (print, now) = (self.print(copy), self.now);
        let run = self.run_of(copy, run);
        if self.entries[keeper].up {
            self.entries[keeper].poison.end(print, &run, how, now);
        }
    }

    fn run_of(&self, copy: usize, number: u64) -> Run {
        Run { vm: self.entries[self.copies[copy].entry].vm.clone(), number }
    }
}
