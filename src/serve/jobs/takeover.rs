//! Takes over jobs whose owner is gone.
//!
//! One member, determined by the list of members, takes over each such job by
//! writing itself into the pending entry. So does the next process of the owner's VM, which
//! knows first that the owner is gone. The new version of the entry fences
//! off the previous owner.

use std::rc::Rc;

use prost::Message;

use super::manager::Jobs;
use super::record::{Pending, pending_key};
use crate::clock::Time;
use crate::emit;
use crate::error::Result;
use crate::event::Event;
use crate::serve::member::owner;
use crate::serve::store::{Commit, Expectation, Transaction};

impl Jobs {
    /// Compares this VM's jobs with a read of the store that was sent at `requested`:
    /// drops jobs that it no longer owns and takes over orphaned ones.
    pub fn reconcile(self: &Rc<Self>, requested: Time) {
        for id in self.no_longer_owned(requested) {
            self.drop_job(&id, "the store no longer names this VM as its owner");
        }
        if self.taking_over.get() || self.context.stopping.get() {
            return;
        }
        let orphans = self.orphans();
        if orphans.is_empty() {
            return;
        }
        self.taking_over.set(true);
        let jobs = self.clone();
        actix_rt::spawn(async move {
            for (id, pending, version) in orphans {
                if let Err(error) = jobs.take_over(&id, pending, version).await {
                    emit!(jobs.context.log, Event::StoreCallFailed, "job" => id.as_str(),
                        "reason" => error.detail.as_str());
                }
            }
            jobs.taking_over.set(false);
        });
    }

    /// Jobs without a live owner that this VM is to take over.
    fn orphans(&self) -> Vec<(String, Pending, u64)> {
        let view = self.context.view.borrow();
        let owned = self.owned.borrow();
        let accepting = self.accepting.borrow();
        let ended = self.context.ended.borrow();
        // An entry that names this process without a job here was written by a
        // call whose response was lost.
        let is_ours = |pending: &Pending| pending.is_owned_by(&self.context.member);
        let is_live = |pending: &Pending| {
            view.members.iter().any(|listed| pending.is_owned_by(&listed.member))
        };
        view.pending
            .iter()
            .filter(|(id, _)| !owned.contains_key(*id) && !accepting.contains(*id))
            .filter(|(id, _)| !ended.contains(id))
            .filter(|(id, (pending, _))| {
                let chosen = owner(&view.members, id);
                let chosen = chosen.is_some_and(|member| &member.vm == self.context.vm());
                let is_heir = chosen || pending.owner == self.context.vm().as_str();
                is_ours(pending) || (is_heir && !is_live(pending))
            })
            .map(|(id, (pending, version))| (id.clone(), pending.clone(), *version))
            .collect()
    }

    async fn take_over(self: &Rc<Self>, id: &str, pending: Pending, version: u64) -> Result<()> {
        let owner = self.context.vm().to_string();
        let incarnation = self.context.member.incarnation;
        let pending = Pending { owner, incarnation, ..pending };
        let transaction = Transaction {
            expected: vec![Expectation { key: pending_key(id), version }],
            puts: vec![(pending_key(id), pending.encode_to_vec())],
            deletes: Vec::new(),
        };
        let Commit::Applied(fence) = self.context.store.commit(transaction).await? else {
            return Ok(());
        };
        emit!(self.context.log, Event::JobTaken, "job" => id, "fence" => fence);
        match self.cache.load(id).await? {
            Some(stored) => self.adopt(id, stored, fence),
            None => self.remove_pending(id, fence).await?,
        }
        Ok(())
    }

    /// Removes the pending entry of a job that doesn't exist: a job is written with its entry, so
    /// no VM wrote this one.
    async fn remove_pending(&self, id: &str, fence: u64) -> Result<()> {
        let key = pending_key(id);
        let expected = vec![Expectation { key: key.clone(), version: fence }];
        let transaction = Transaction { expected, puts: Vec::new(), deletes: vec![key] };
        self.context.store.commit(transaction).await?;
        emit!(self.context.log, Event::JobLost, "job" => id, "reason" => "there is no such job");
        Ok(())
    }
}
