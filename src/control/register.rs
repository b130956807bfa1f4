//! Registration of this VM in the key-value service: an entry bound to a lease, which shows that
//! the VM is alive, and its description in the configuration.

use std::rc::Rc;
use std::time::Duration;

use crate::error::{Kind, Result};
use crate::id::Vm;
use crate::kv::{KeyValue, LeaseId, Swap, Swapped};
use crate::member::{Description, vm_key};
use crate::view::Member;

use super::Platform;

/// Time without a renewal after which a VM's lease entry expires.
const LEASE_TTL: Duration = Duration::from_secs(30);
/// Time between renewals; two consecutive ones may fail before the lease expires.
pub(super) const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// Maintains this VM's entries.
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

    /// Writes this VM's description if it changed, then renews its lease or acquires a new one.
    pub(super) async fn ensure(&mut self, member: &Member) -> Result<()> {
        if self.described.as_ref() != Some(member) {
            self.describe(member).await?;
            self.described = Some(member.clone());
        }
        self.renew().await?;
        if self.lease.is_none() {
            let lease = self.key_value.grant(LEASE_TTL).await?;
            self.write_lease_entry(member, lease).await?;
            self.lease = Some(lease);
        }
        Ok(())
    }

    /// Deregisters this VM permanently: writes a tombstone in place of its description and revokes
    /// its lease.
    pub(super) async fn deregister(&mut self) -> Result<()> {
        let tombstone = crate::config::Record { write: write_id(), spec: None };
        self.write(self.description_key.clone(), tombstone.encode(), None, true).await?;
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
        let description = Description { write: write_id(), member: member.clone() };
        let value = serde_json::to_vec(&description).expect("description serializes to JSON");
        self.write(self.description_key.clone(), value, None, true).await
    }

    async fn write_lease_entry(&self, member: &Member, lease: LeaseId) -> Result<()> {
        let value = member.data_centre.as_str().as_bytes().to_vec();
        self.write(self.lease_key.clone(), value, Some(lease), false).await
    }

    /// Writes a key that no other VM writes; with `marked`, also updates the version marker.
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

/// Returns a random identifier for a write.
pub(super) fn write_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
