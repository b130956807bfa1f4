//! Holding a model's lease in the platform's service.

use std::rc::Rc;

use super::leadership::{LEASE_TTL, Leadership};
use crate::clock::{Clock, Time};
use crate::error::{Kind, Result};
use crate::id::{Model, Vm};
use crate::kv::{Entry, KeyValue, LeaseId, Swap, Swapped};

/// Below the fleet's prefix; the model's name follows.
const KEY_PREFIX: &str = "orders/";

/// One VM's claim to a model.
pub struct Claim {
    key_value: Rc<dyn KeyValue>,
    key: String,
    owner: String,
    lease: Option<LeaseId>,
    tenure: Option<Leadership>,
}

impl Claim {
    /// Makes a claim that holds nothing yet; `nonce` tells this process from
    /// earlier ones of the same VM.
    pub fn new(
        key_value: Rc<dyn KeyValue>,
        prefix: &str,
        model: &Model,
        vm: &Vm,
        nonce: u64,
    ) -> Self {
        let key = format!("{prefix}{KEY_PREFIX}{model}");
        Self { key_value, key, owner: format!("{vm}/{nonce}"), lease: None, tenure: None }
    }

    /// The tenure, while it lasts.
    pub fn tenure(&self, now: Time) -> Option<Leadership> {
        self.tenure.filter(|tenure| tenure.is_current(now))
    }

    /// Gives the tenure up: a newer holder was met.
    pub fn drop_tenure(&mut self) {
        self.tenure = None;
        self.lease = None;
    }

    /// Renews what is held, or tries to get it if nobody holds it.
    pub async fn keep(&mut self, clock: &dyn Clock) -> Result<()> {
        let asked = clock.now();
        let Some(lease) = self.lease else { return self.acquire(clock).await };
        match self.key_value.renew(lease).await {
            Ok(()) => self.confirm(asked, clock).await,
            Err(error) => {
                if error.kind == Kind::NotFound {
                    self.drop_tenure();
                }
                Err(error)
            }
        }
    }

    async fn acquire(&mut self, clock: &dyn Clock) -> Result<()> {
        if self.entry().await?.is_some() {
            return Ok(());
        }
        let asked = clock.now();
        let lease = self.key_value.grant(LEASE_TTL).await?;
        self.lease = Some(lease);
        let swap = Swap {
            key: self.key.clone(),
            expected: 0,
            value: Some(self.owner.clone().into_bytes()),
            lease: Some(lease),
        };
        // If the answer is lost, `confirm` finds out in the next round.
        match self.key_value.swap(swap).await? {
            Swapped::Applied(fence) => {
                self.tenure = Some(Leadership::new(fence, asked, clock.now()));
            }
            Swapped::Refused(_) => self.drop_tenure(),
        }
        Ok(())
    }

    /// Checks that the key is this claim's own before the tenure is extended.
    async fn confirm(&mut self, asked: Time, clock: &dyn Clock) -> Result<()> {
        let entry = self.entry().await?;
        let Some(entry) = entry.filter(|entry| entry.value == self.owner.as_bytes()) else {
            self.drop_tenure();
            return Ok(());
        };
        let now = clock.now();
        match &mut self.tenure {
            Some(tenure) if tenure.fencing_token() == entry.version => tenure.renew(asked),
            other => *other = Some(Leadership::new(entry.version, asked, now)),
        }
        Ok(())
    }

    async fn entry(&self) -> Result<Option<Entry>> {
        let range = self.key_value.range(&self.key).await?;
        Ok(range.entries.into_iter().find(|entry| entry.key == self.key))
    }
}
