//! Giving jobs away at a planned stop, with what their items have so far.

use std::rc::Rc;
use std::time::Duration;

use prost::Message;

use super::manager::Jobs;
use super::record::{Partial, partial_key, pending_key};
use crate::emit;
use crate::event::Event;
use crate::serve::store::{Expectation, Transaction};

/// Time in which interrupted items end and results that wait are stored.
const SETTLE: Duration = Duration::from_millis(60);
/// Most items in one write.
const MAX_PARTIALS: usize = 16;
/// Most bytes of items in one write.
const MAX_PARTIAL_BYTES: usize = 600_000;

impl Jobs {
    /// Interrupts all items and stores what they have, for the VMs that take
    /// the jobs over once this one gives up its entry.
    pub async fn hand_over(self: &Rc<Self>) {
        for running in self.running.borrow().iter() {
            running.interrupt.notify_one();
        }
        self.leaving.notify_waiters();
        tokio::time::sleep(SETTLE).await;
        for transaction in self.partials() {
            if let Err(error) = self.fleet.store.commit(transaction).await {
                emit!(self.fleet.log, Event::StoreCallFailed, "reason" => error.detail.as_str());
            }
        }
    }

    /// Writes of all that items have, each under the condition that the job is
    /// still this VM's.
    fn partials(&self) -> Vec<Transaction> {
        let owned = self.owned.borrow();
        let mut writes = Vec::new();
        for owned in owned.values() {
            let (id, fence) = (&owned.job.id, owned.job.fence);
            let mut puts = Vec::new();
            let mut bytes = 0;
            for (index, partial) in owned.job.partials() {
                let value = Partial::encode_to_vec(&partial);
                bytes += value.len();
                puts.push((partial_key(id, index), value));
                if puts.len() == MAX_PARTIALS || bytes >= MAX_PARTIAL_BYTES {
                    writes.push(write(id, fence, std::mem::take(&mut puts)));
                    bytes = 0;
                }
            }
            if !puts.is_empty() {
                writes.push(write(id, fence, puts));
            }
        }
        writes
    }
}

fn write(job: &str, fence: u64, puts: Vec<(String, Vec<u8>)>) -> Transaction {
    let expected = vec![Expectation { key: pending_key(job), version: fence }];
    Transaction { expected, puts, deletes: Vec::new() }
}
