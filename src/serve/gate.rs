//! Grants of sends to upstreams that have named a limit, and what VMs tell each other of
//! limits.

use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::cold;
use super::datagram::{self, Content, Grant, Limited, SendRequest};
use super::departure::Process;
use super::limit::{Admission, Gate, Granted, Row, Word};
use super::member::{Member, rank};
use super::peers::{Peers, SILENT_AFTER};
use super::priority;
use super::upstream::Use;
use crate::clock::Time;
use crate::emit;
use crate::event::Event;
use crate::id::Vm;

/// Number of VMs that are asked for one send.
const MAX_ASKED: usize = 2;
/// Time for which a VM that didn't answer isn't asked.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(500);
/// Time for which an upstream gets no requests after no VM could be asked.
const NO_ANSWER_PAUSE: Duration = Duration::from_millis(200);
/// Part of a quota that a VM grants while one that comes before it isn't silent yet: both
/// together stay within half of the tolerated excess of 1.5.
const SUBSTITUTE_SHARE: f64 = 0.2;

/// Name by which the VM that grants sends to a process is chosen.
fn granted_name(process: Process) -> String {
    format!("{:08x} {}", process.number, process.started_unix_ms)
}

impl Gate for Peers {
    fn admit(&self, process: Process, kind: Use) -> LocalBoxFuture<'_, Admission> {
        self.admit_send(process, kind).boxed_local()
    }
}

impl Peers {
    async fn admit_send(&self, process: Process, kind: Use) -> Admission {
        let granters = self.granters(process);
        for granter in granters.iter().take(MAX_ASKED) {
            if &granter.vm == self.context().vm() {
                return self.grant_here(process, kind);
            }
            let request = |request_id| {
                let limited = self.limited_row(process);
                let cold = self.cold_row(process);
                let batch = kind == Use::Batch;
                Content::SendRequest(SendRequest { request_id, limited, batch, cold })
            };
            match self.ask(granter.peer, request).await {
                Some(Grant { granted: true, .. }) => return Admission::Granted,
                // It doesn't know the upstream; the next one may.
                Some(Grant { not_holder: true, .. }) => {}
                Some(Grant { wait_ms, .. }) => {
                    let wait = Duration::from_millis(wait_ms);
                    return Admission::Denied(self.context().now().after(wait));
                }
                None => self.record_unanswered(&granter.vm),
            }
        }
        if granters.is_empty() {
            return self.grant_here(process, kind);
        }
        Admission::Denied(self.context().now().after(NO_ANSWER_PAUSE))
    }

    /// VMs that may grant sends to a process, the first one being who does so for all.
    fn granters(&self, process: Process) -> Vec<Member> {
        let (context, now) = (self.context(), self.context().now());
        let name = granted_name(process);
        let unanswered = self.unanswered.borrow();
        let is_asked = |member: &&Member| {
            &member.vm == context.vm()
                || !self.is_silent(&member.vm, SILENT_AFTER)
                    && unanswered.get(&member.vm).is_none_or(|until| until.passed(now))
        };
        let view = context.view.borrow();
        let members = view.members.iter().map(|listed| &listed.member);
        let mut granters: Vec<Member> =
            members.filter(|member| !member.leaving).filter(is_asked).cloned().collect();
        granters.sort_by_key(|member| std::cmp::Reverse(rank(&member.vm, &name)));
        granters
    }

    pub(super) fn record_unanswered(&self, vm: &Vm) {
        let now = self.context().now();
        let mut unanswered = self.unanswered.borrow_mut();
        unanswered.retain(|_, until| !until.passed(now));
        unanswered.insert(vm.clone(), now.after(UNANSWERED_PAUSE));
    }

    fn grant_here(&self, process: Process, kind: Use) -> Admission {
        if cold::is_key(process) {
            return self.grant_quota(process);
        }
        let (heard_share, now) = (self.heard_share(), self.context().now());
        let mut table = self.context().table.borrow_mut();
        let mut priority = self.context().priority.borrow_mut();
        priority::grant(table.limits_mut(), &mut priority, process, kind, heard_share, now)
    }

    /// Part of the members that this VM hears. It counts itself, also while it isn't listed.
    fn heard_share(&self) -> f64 {
        let view = self.context().view.borrow();
        let others = view.members.iter().map(|listed| &listed.member);
        let (mut all, mut heard) = (1_u32, 1_u32);
        for member in others.filter(|member| !member.leaving && &member.vm != self.context().vm()) {
            all += 1;
            heard += u32::from(!self.is_silent(&member.vm, SILENT_AFTER));
        }
        f64::from(heard) / f64::from(all)
    }

    /// Part of a quota that this VM may grant. Until a VM that comes before it is silent for
    /// long enough, others may still get grants there.
    pub(super) fn granting_share(&self, key: Process) -> f64 {
        let name = granted_name(key);
        let view = self.context().view.borrow();
        let own = self.context().vm();
        let others = view.members.iter().map(|listed| &listed.member).filter(|member| {
            &member.vm != own && !member.leaving && !self.is_silent(&member.vm, SILENT_AFTER)
        });
        let own_rank = rank(own, &name);
        let is_first = others.into_iter().all(|member| rank(&member.vm, &name) < own_rank);
        self.heard_share() * if is_first { 1.0 } else { SUBSTITUTE_SHARE }
    }

    /// Tells the VM that grants next, if this one is lost, of a grant: the others hear of it
    /// with a later load report.
    pub(super) fn tell_next_granter(&self, key: Process) {
        let own = self.context().vm();
        let next = self.granters(key).into_iter().find(|member| &member.vm != own);
        let table = self.context().table.borrow();
        let row = table.limits().row(key);
        if let (Some(next), Some(row)) = (next, row) {
            let limited = vec![Limited::new(row, self.context().now())];
            self.send_to(Content::Granted(datagram::Granted { limited }), next.peer);
        }
    }

    /// Answers another VM's request to grant a send.
    pub(super) fn grant_send(&self, vm: &str, request: &SendRequest) -> Grant {
        let request_id = request.request_id;
        let Some(limited) = request.limited else {
            return Grant { request_id, not_holder: true, ..Grant::default() };
        };
        self.record_cold(vm, request.cold.as_slice());
        self.record_word(vm, &limited);
        if self.is_unknown_quota(Process::from(limited)) {
            return Grant { request_id, not_holder: true, ..Grant::default() };
        }
        let kind = if request.batch { Use::Batch } else { Use::Online };
        match self.grant_here(Process::from(limited), kind) {
            Admission::Granted => Grant { request_id, granted: true, ..Grant::default() },
            Admission::Denied(until) => {
                let wait_ms = self.context().now().until(until).as_millis() as u64;
                Grant { request_id, wait_ms, ..Grant::default() }
            }
        }
    }

    /// Records how many online requests another VM reports as denied.
    pub(super) fn record_online_denied(&self, vm: &Vm, count: u32) {
        let (context, now) = (self.context(), self.context().now());
        if !context.priority.borrow_mut().record_reported(count, now) {
            emit!(context.log, Event::PeerRefused, "address" => vm.as_str(),
                "reason" => format!("{count} denials within a second"));
            metrics::counter!("serve_denial_reports_refused_total").increment(1);
        }
    }

    fn limited_row(&self, process: Process) -> Option<Limited> {
        if cold::is_key(process) {
            let (upstream, started_unix_ms) = (process.number, process.started_unix_ms);
            return Some(Limited { upstream, started_unix_ms, ..Limited::default() });
        }
        let word = self.context().table.borrow().limits().word(process)?;
        Some(Limited::new(Row { process, word, granted: 0 }, self.context().now()))
    }

    /// Records what another VM tells of limits.
    pub(super) fn record_limited(&self, vm: &Vm, incarnation: u64, rows: &[Limited]) {
        let now = self.context().now();
        for row in rows {
            self.record_word(vm.as_str(), row);
            let granted = Granted { incarnation, count: row.granted };
            let mut table = self.context().table.borrow_mut();
            table.limits_mut().record_granted(Process::from(*row), vm, granted, now);
        }
    }

    fn record_word(&self, vm: &str, row: &Limited) {
        let (context, now) = (self.context(), self.context().now());
        let word = Word { per_s: row.per_s, at: now.before_millis(row.age_ms) };
        let process = Process::from(*row);
        // Quotas follow from what is known of the upstream, not from a word on the limit.
        if cold::is_key(process) {
            return;
        }
        if !context.table.borrow_mut().record_limit(process, word, false, now) {
            return;
        }
        let table = context.table.borrow();
        let upstream = table.name(process).map(ToString::to_string).unwrap_or_default();
        emit!(context.log, Event::UpstreamLimited, "upstream" => upstream, "told_by" => vm,
            "limit_per_s" => row.per_s.unwrap_or(-1.0), "age_ms" => row.age_ms);
        metrics::counter!("serve_limits_learnt_total", "told_by" => "peer").increment(1);
        drop(table);
        context.work_changed.notify_one();
    }
}

impl Limited {
    /// The row as other VMs are told.
    pub fn new(row: Row, now: Time) -> Self {
        Self {
            upstream: row.process.number,
            started_unix_ms: row.process.started_unix_ms,
            per_s: row.word.per_s,
            age_ms: row.word.at.age_millis(now),
            granted: row.granted,
        }
    }
}
