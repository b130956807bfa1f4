//! Lease on a model in the platform's key-value service.

use std::rc::Rc;

use super::leadership::{LEASE_TTL, Leadership};
use crate::clock::{Clock, Time};
use crate::error::{Kind, Result};
use crate::id::{Model, Vm};
use crate::kv::{Entry, KeyValue, LeaseId, Swap, Swapped};

/// Key prefix relative to the fleet's prefix; followed by the model's name.
const KEY_PREFIX: &str = "orders/";

/// One VM's lease on a model, held or not.
pub struct Lease {
    key_value: Rc<dyn KeyValue>,
    key: String,
    holder: String,
    lease: Option<LeaseId>,
    leadership: Option<Leadership>,
}

impl Lease {
    /// Creates a lease that isn't held yet. `nonce` distinguishes this process from earlier ones on
    /// the same VM.
    pub fn new(
        key_value: Rc<dyn KeyValue>,
        prefix: &str,
        model: &Model,
        vm: &Vm,
        nonce: u64,
    ) -> Self {
        let key = format!("{prefix}{KEY_PREFIX}{model}");
        Self { key_value, key, holder: format!("{vm}/{nonce}"), lease: None, leadership: None }
    }

    /// The current leadership, if the lease is held.
    pub fn leadership(&self, now: Time) -> Option<Leadership> {
        self.leadership.filter(|leadership| leadership.is_current(now))
    }

    /// Gives up the lease and the leadership, because another VM holds or may acquire the lease.
    pub fn drop_leadership(&mut self) {
        self.leadership = None;
        self.lease = None;
    }

    /// Renews the lease if it is held; otherwise tries to acquire it if nobody holds it.
    pub async fn renew_or_acquire(&mut self, clock: &dyn Clock) -> Result<()> {
        let requested_at = clock.now();
        let Some(lease) = self.lease else { return self.acquire(clock).await };
        match self.key_value.renew(lease).await {
            Ok(()) => self.verify(requested_at, clock).await,
            Err(error) => {
                if error.kind == Kind::NotFound {
                    self.drop_leadership();
                }
                Err(error)
            }
        }
    }

    async fn acquire(&mut self, clock: &dyn Clock) -> Result<()> {
        if self.read_entry().await?.is_some() {
            return Ok(());
        }
        let requested_at = clock.now();
        let lease = self.key_value.grant(LEASE_TTL).await?;
        self.lease = Some(lease);
        let swap = Swap {
            key: self.key.clone(),
            expected: 0,
            value: Some(self.holder.clone().into_bytes()),
            lease: Some(lease),
        };
        // If the answer is lost, `verify` determines the outcome in the next round.
        match self.key_value.swap(swap).await? {
            Swapped::Applied(fencing_token) => {
                self.leadership = Some(Leadership::new(fencing_token, requested_at, clock.now()));
            }
            Swapped::Refused(_) => self.drop_leadership(),
        }
        Ok(())
    }

    /// Extends the leadership after checking that the key is still held by this process.
    async fn verify(&mut self, requested_at: Time, clock: &dyn Clock) -> Result<()> {
        let entry = self.read_entry().await?;
        let Some(entry) = entry.filter(|entry| entry.value == self.holder.as_bytes()) else {
            self.drop_leadership();
            return Ok(());
        };
        let now = clock.now();
        match &mut self.leadership {
            Some(leadership) if leadership.fencing_token() == entry.version => {
                leadership.renew(requested_at)
            }
            other => *other = Some(Leadership::new(entry.version, requested_at, now)),
        }
        Ok(())
    }

    async fn read_entry(&self) -> Result<Option<Entry>> {
        let range = self.key_value.range(&self.key).await?;
        Ok(range.entries.into_iter().find(|entry| entry.key == self.key))
    }
}
