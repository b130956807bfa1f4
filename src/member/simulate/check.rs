//! The promises that a random run checks.

use std::time::Duration;

use super::Violation;
use super::node::Job;
use super::world::World;
use crate::clock::Time;
use crate::error;

/// Time after acceptance within which a withdrawn key must stop working; every
/// change must meet it, which is stricter than the 5 s for other changes.
const WITHDRAWN_WITHIN: Duration = Duration::from_secs(3);
/// Time without other faults after which every VM must serve, whatever the
/// platform does from then on.
const CALM: Duration = Duration::from_secs(20);

/// The last accepted change of one resource.
pub(super) struct Accepted {
    pub(super) version: u64,
    pub(super) at: Time,
    pub(super) live: bool,
    /// Whether every VM that serves was seen to hold it.
    pub(super) spread: bool,
}

impl World {
    pub(super) fn note_accepted(&mut self, job: &Job, version: u64) {
        self.report.accepted += 1;
        self.log(format!("accepted {} at version {version}", job.address.name));
        let newer = self.accepted.get(&job.address.key()).is_some_and(|old| old.version > version);
        if !newer {
            let accepted = Accepted { version, at: self.now, live: job.live, spread: false };
            self.accepted.insert(job.address.key(), accepted);
        }
    }

    pub(super) fn note_refusal(&mut self, job: &Job, error: &error::Error) {
        match error.kind {
            error::Kind::WriteUnknown => self.report.unknown += 1,
            kind => {
                let unavailable = kind == error::Kind::PlatformUnavailable;
                self.report.refused += u32::from(unavailable);
                self.report.conflicts += u32::from(!unavailable);
                self.denied.push(job.write.value());
            }
        }
    }

    pub(super) fn check(&mut self) -> Result<(), Violation> {
        self.check_changes()?;
        self.check_serving()
    }

    /// Accepted changes are in force wherever keyed work is served.
    pub(super) fn check_changes(&mut self) -> Result<(), Violation> {
        let now = self.now;
        self.count_contact();
        let serving: Vec<usize> =
            (0..self.nodes.len()).filter(|index| self.nodes[*index].serves(now)).collect();
        let mut longest = 0;
        let mut broken = None;
        for (key, accepted) in &mut self.accepted {
            let holds = |index: &usize| {
                let held = self.nodes[*index].machine.cache().get(key);
                held.is_some_and(|held| held.version >= accepted.version)
            };
            let behind = serving.iter().find(|index| !holds(index));
            let age = accepted.at.until(now);
            match behind {
                None if !accepted.spread => {
                    accepted.spread = true;
                    longest = longest.max(age.as_millis() as u64);
                }
                Some(index) if age > WITHDRAWN_WITHIN => {
                    let change = if accepted.live { "change" } else { "withdrawal" };
                    broken = Some(format!(
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
        if let Some(detail) = broken {
            return Err(self.violation(detail));
        }
        Ok(())
    }

    fn count_contact(&mut self) {
        let down = self.service.is_down(self.now);
        for node in self.nodes.iter().filter(|node| node.up && !node.is_frozen(self.now)) {
            if node.serves(self.now) {
                self.report.in_contact += 1;
                self.report.in_contact_in_outage += u64::from(down);
            } else {
                self.report.out_of_contact += 1;
            }
        }
    }

    /// Without other faults every VM serves, also while the platform is down
    /// or slow, provided that the fleet was calm when that began.
    fn check_serving(&self) -> Result<(), Violation> {
        let well = self.service.last_well(self.now);
        let calm = self.last_fault.after(CALM).passed(well);
        let whole = self.nodes.iter().all(|node| node.side == 0 && node.reaches_platform);
        if !calm || !whole {
            return Ok(());
        }
        for node in self.nodes.iter().filter(|node| node.up) {
            if !node.serves(self.now) {
                let detail = format!("{} doesn't serve though only the platform fails", node.vm);
                return Err(self.violation(detail));
            }
        }
        Ok(())
    }

    /// What was accepted stands, what was denied was never applied.
    pub(super) fn check_end(&self) -> Result<(), Violation> {
        for (key, accepted) in &self.accepted {
            let stands = self.service.entries.get(key).map_or(0, |entry| entry.version);
            if stands < accepted.version {
                return Err(self.violation(format!("accepted change of {key} was reverted")));
            }
        }
        for value in &self.denied {
            if self.service.applied.contains(value) {
                let value = String::from_utf8_lossy(value);
                return Err(self.violation(format!("denied write was applied: {value}")));
            }
        }
        Ok(())
    }
}
