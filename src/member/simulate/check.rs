//! The guarantees that a simulation checks.

use std::time::Duration;

use super::Violation;
use super::node::Operation;
use super::world::World;
use crate::clock::Time;
use crate::error;

/// Time after acceptance within which a withdrawn key must stop working. The
/// simulation applies this limit to all changes, although 5 s are allowed for
/// changes other than withdrawals.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Time without faults after which every VM must serve, even if the platform
/// fails from then on.
const STABILIZATION_TIME: Duration = Duration::from_secs(20);

/// The last accepted change of one resource.
pub(super) struct Accepted {
    pub(super) version: u64,
    pub(super) at: Time,
    pub(super) live: bool,
    /// Whether every serving VM has been observed to hold the change.
    pub(super) propagated: bool,
}

impl World {
    pub(super) fn record_accepted(&mut self, operation: &Operation, version: u64) {
        self.report.accepted += 1;
        self.log(format!("accepted {} at version {version}", operation.id.name));
        let newer = self.accepted.get(&operation.id.key()).is_some_and(|old| old.version > version);
        if !newer {
            let accepted =
                Accepted { version, at: self.now, live: operation.live, propagated: false };
            self.accepted.insert(operation.id.key(), accepted);
        }
    }

    pub(super) fn record_refusal(&mut self, operation: &Operation, error: &error::Error) {
        match error.kind {
            error::Kind::WriteUnknown => self.report.unknown += 1,
            kind => {
                let unavailable = kind == error::Kind::PlatformUnavailable;
                self.report.refused += u32::from(unavailable);
                self.report.conflicts += u32::from(!unavailable);
                self.refused_values.push(operation.write.value());
            }
        }
    }

    pub(super) fn check(&mut self) -> Result<(), Violation> {
        self.check_propagation()?;
        self.check_serving()
    }

    /// Checks that accepted changes are in force on every serving VM.
    pub(super) fn check_propagation(&mut self) -> Result<(), Violation> {
        let now = self.now;
        self.count_contact();
        let serving: Vec<usize> =
            (0..self.nodes.len()).filter(|index| self.nodes[*index].serves(now)).collect();
        let mut longest = 0;
        let mut failure = None;
        for (key, accepted) in &mut self.accepted {
            let holds = |index: &usize| {
                let held = self.nodes[*index].machine.cache().get(key);
                held.is_some_and(|held| held.version >= accepted.version)
            };
            let lagging = serving.iter().find(|index| !holds(index));
            let age = accepted.at.until(now);
            match lagging {
                None if !accepted.propagated => {
                    accepted.propagated = true;
                    longest = longest.max(age.as_millis() as u64);
                }
                Some(index) if age > PROPAGATION_LIMIT => {
                    let change = if accepted.live { "change" } else { "withdrawal" };
                    failure = Some(format!(
                        "{change} of {key} at version {}, accepted {age:?} ago, is not in force \
                         on {}, which serves at version {}",
                        accepted.version,
                        self.nodes[*index].vm,
                        self.nodes[*index].machine.cache().version(),
                    ));
                }
                _ => {}
            }
        }
        self.report.longest_spread_ms = self.report.longest_spread_ms.max(longest);
        if let Some(detail) = failure {
            return Err(self.violation(detail));
        }
        Ok(())
    }

    fn count_contact(&mut self) {
        let down = self.service.is_down(self.now);
        for node in self.nodes.iter().filter(|node| node.up && !node.is_paused(self.now)) {
            if node.serves(self.now) {
                self.report.in_contact += 1;
                self.report.in_contact_in_outage += u64::from(down);
            } else {
                self.report.out_of_contact += 1;
            }
        }
    }

    /// Checks that without other faults every VM serves, even while the platform
    /// is down or slow, provided that the fleet was stable when that began.
    fn check_serving(&self) -> Result<(), Violation> {
        let healthy_at = self.service.last_healthy_at(self.now);
        let stable = self.last_fault_at.after(STABILIZATION_TIME).passed(healthy_at);
        let connected = self.nodes.iter().all(|node| node.partition == 0 && node.reaches_platform);
        if !stable || !connected {
            return Ok(());
        }
        for node in self.nodes.iter().filter(|node| node.up) {
            if !node.serves(self.now) {
                let detail =
                    format!("{} does not serve although only the platform is failing", node.vm);
                return Err(self.violation(detail));
            }
        }
        Ok(())
    }

    /// Checks that accepted changes persist and that refused writes were never
    /// applied.
    pub(super) fn check_end(&self) -> Result<(), Violation> {
        for (key, accepted) in &self.accepted {
            let stored_version = self.service.entries.get(key).map_or(0, |entry| entry.version);
            if stored_version < accepted.version {
                return Err(self.violation(format!("accepted change of {key} was reverted")));
            }
        }
        for value in &self.refused_values {
            if self.service.applied.contains(value) {
                let value = String::from_utf8_lossy(value);
                return Err(self.violation(format!("refused write was applied: {value}")));
            }
        }
        Ok(())
    }
}
