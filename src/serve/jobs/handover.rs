//! Hands jobs over on a planned stop, with the partial output of their items.

use std::rc::Rc;
use std::time::Duration;

use prost::Message;

use super::manager::Jobs;
use super::record::{Partial, partial_key, pending_key};
use crate::emit;
use crate::event::Event;
use crate::serve::store::{Expectation, Transaction};

/// Time for interrupted items to end and for pending results to be stored.
const INTERRUPT_GRACE: Duration = Duration::from_millis(60);
/// Maximum number of items in one write.
const MAX_PARTIALS: usize = 16;
/// Size of partial output after which a write is closed, in bytes.
const PARTIAL_BYTES: usize = 600_000;

impl Jobs {
    /// Interrupts all items and stores their partial output for the VMs that
    /// take over the jobs once this VM removes its member entry.
    pub async fn hand_over(self: &Rc<Self>) {
        for running in self.running.borrow().iter() {
            running.interrupt.notify_one();
        }
        self.leaving.notify_waiters();
        tokio::time::sleep(INTERRUPT_GRACE).await;
        for transaction in self.partial_writes() {
            if let Err(error) = self.context.store.commit(transaction).await {
                emit!(self.context.log, Event::StoreCallFailed, "reason" => error.detail.as_str());
            }
        }
    }

    /// Transactions that store all partial output, each on the condition that
    /// this VM still owns the job.
    fn partial_writes(&self) -> Vec<Transaction> {
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
                if puts.len() == MAX_PARTIALS || bytes >= PARTIAL_BYTES {
                    writes.push(partial_write(id, fence, std::mem::take(&mut puts)));
                    bytes = 0;
                }
            }
            if !puts.is_empty() {
                writes.push(partial_write(id, fence, puts));
            }
        }
        writes
    }
}

fn partial_write(job: &str, fence: u64, puts: Vec<(String, Vec<u8>)>) -> Transaction {
    let expected = vec![Expectation { key: pending_key(job), version: fence }];
    Transaction { expected, puts, deletes: Vec::new() }
}
