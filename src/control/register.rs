//! This VM's entry in the key-value service, kept alive by a lease.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::error::{Kind, Result};
use crate::id::Vm;
use crate::platform::{KeyValue, LeaseId, Range, Swap, Swapped};
use crate::view::Member;

/// Time after which a silent VM's entry vanishes.
const LEASE_TTL: Duration = Duration::from_secs(30);
/// Time between renewals; two may fail before the lease lapses.
pub(super) const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// Reads the entries of all VMs.
pub(super) fn read_members(range: &Range) -> BTreeMap<Vm, Member> {
    let read = |value: &[u8]| serde_json::from_slice::<Member>(value).ok();
    let members = range.entries.iter().filter_map(|entry| read(&entry.value));
    members.map(|member| (member.vm.clone(), member)).collect()
}

/// Keeps this VM's entry.
pub(super) struct Registration {
    key_value: Rc<dyn KeyValue>,
    key: String,
    lease: Option<LeaseId>,
    written: Option<Member>,
}

impl Registration {
    pub(super) fn new(key_value: Rc<dyn KeyValue>, prefix: &str, vm: &Vm) -> Self {
        Self { key_value, key: format!("{prefix}vms/{vm}"), lease: None, written: None }
    }

    /// Renews the lease and writes the entry where it differs.
    pub(super) async fn keep(&mut self, member: &Member) -> Result<()> {
        self.renew().await?;
        let lease = match self.lease {
            Some(lease) => lease,
            None => self.key_value.grant(LEASE_TTL).await?,
        };
        self.lease = Some(lease);
        if self.written.as_ref() != Some(member) {
            self.write(member, lease).await?;
            self.written = Some(member.clone());
        }
        Ok(())
    }

    async fn renew(&mut self) -> Result<()> {
        let Some(lease) = self.lease else { return Ok(()) };
        match self.key_value.renew(lease).await {
            Err(error) if error.kind == Kind::NotFound => {
                self.lease = None;
                self.written = None;
                Ok(())
            }
            renewed => renewed,
        }
    }

    async fn write(&self, member: &Member, lease: LeaseId) -> Result<()> {
        let value = serde_json::to_vec(member).expect("plain data becomes JSON");
        let mut expected = 0;
        loop {
            let swap = Swap {
                key: self.key.clone(),
                expected,
                value: Some(value.clone()),
                lease: Some(lease),
            };
            match self.key_value.swap(swap).await? {
                Swapped::Applied(_) => return Ok(()),
                Swapped::Refused(found) => expected = found.map_or(0, |entry| entry.version),
            }
        }
    }
}
