//! This VM's entries in the key-value service: a leased one that says that it
//! lives, and its description in the configuration.

use std::rc::Rc;
use std::time::Duration;

use crate::error::{Kind, Result};
use crate::id::Vm;
use crate::kv::{KeyValue, LeaseId, Swap, Swapped};
use crate::member::{Description, vm_key};
use crate::view::Member;

use super::Platform;

/// Time after which a silent VM's entry vanishes.
const LEASE_TTL: Duration = Duration::from_secs(30);
/// Time between renewals; two may fail before the lease lapses.
pub(super) const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// Keeps this VM's entries.
pub(super) struct Registration {
    key_value: Rc<dyn KeyValue>,
    lease_key: String,
    description_key: String,
    marker: String,
    lease: Option<LeaseId>,
    described: Option<Member>,
}

impl Registration {
    pub(super) fn new(platform: &Platform, prefix: &str, vm: &Vm) -> Self {
        Self {
            key_value: platform.key_value.clone(),
            lease_key: format!("{prefix}vms/{vm}"),
            description_key: format!("{prefix}config/{}", vm_key(vm)),
            marker: format!("{prefix}head"),
            lease: None,
            described: None,
        }
    }

    /// Describes this VM where that differs, and renews its lease.
    pub(super) async fn keep(&mut self, member: &Member) -> Result<()> {
        if self.described.as_ref() != Some(member) {
            self.describe(member).await?;
            self.described = Some(member.clone());
        }
        self.renew().await?;
        if self.lease.is_none() {
            let lease = self.key_value.grant(LEASE_TTL).await?;
            self.take_lease(member, lease).await?;
            self.lease = Some(lease);
        }
        Ok(())
    }

    /// Says that this VM is gone for good.
    pub(super) async fn leave(&mut self) -> Result<()> {
        let stored = crate::config::Record { write: fresh(), spec: None };
        self.write(self.description_key.clone(), stored.encode(), None, true).await?;
        match self.lease.take() {
            Some(lease) => self.key_value.revoke(lease).await,
            None => Ok(()),
        }
    }

    async fn renew(&mut self) -> Result<()> {
        let Some(lease) = self.lease else { return Ok(()) };
        match self.key_value.renew(lease).await {
            Err(error) if error.kind == Kind::NotFound => {
                self.lease = None;
                Ok(())
            }
            renewed => renewed,
        }
    }

    async fn describe(&self, member: &Member) -> Result<()> {
        let description = Description { write: fresh(), member: member.clone() };
        let value = serde_json::to_vec(&description).expect("plain data becomes JSON");
        self.write(self.description_key.clone(), value, None, true).await
    }

    async fn take_lease(&self, member: &Member, lease: LeaseId) -> Result<()> {
        let value = member.data_centre.as_str().as_bytes().to_vec();
        self.write(self.lease_key.clone(), value, Some(lease), false).await
    }

    /// Writes a key that only this VM writes.
    async fn write(
        &self,
        key: String,
        value: Vec<u8>,
        lease: Option<LeaseId>,
        marked: bool,
    ) -> Result<()> {
        let found = self.key_value.get(&key).await?;
        let mut swap = Swap {
            key,
            expected: found.map_or(0, |entry| entry.version),
            value: Some(value),
            lease,
        };
        loop {
            let swapped = match marked {
                true => self.key_value.swap_marked(swap.clone(), &self.marker).await?,
                false => self.key_value.swap(swap.clone()).await?,
            };
            match swapped {
                Swapped::Applied(_) => return Ok(()),
                Swapped::Refused(found) => swap.expected = found.map_or(0, |entry| entry.version),
            }
        }
    }
}

/// An identifier for a write.
pub(super) fn fresh() -> String {
    format!("{:032x}", rand::random::<u128>())
}
