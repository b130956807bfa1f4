//! What this VM reads in the store of evacuations, and what VMs tell each other of them.

use super::context::Context;
use super::datagram::Evacuated;
use super::departure::Process;
use super::evacuation::Change;
use super::peers::Peers;
use super::store::Snapshot;
use crate::clock::Time;
use crate::emit;
use crate::event::Event;
use crate::id::DataCentre;

/// Value of `told_by` for what this VM has read itself.
const STORE: &str = "store";

impl Context {
    /// Whether evacuations are followed.
    fn follows_evacuations(&self) -> bool {
        self.settings().bounds.evacuation_ms.is_some()
    }

    /// Applies the evacuations of a snapshot that was current at `current_at`.
    pub(super) fn apply_evacuations(&self, snapshot: &Snapshot, current_at: Time) {
        if !self.follows_evacuations() {
            return;
        }
        let mut evacuations = self.evacuations.borrow_mut();
        let change = evacuations.record_read(&snapshot.evacuated, current_at);
        drop(evacuations);
        self.mark_evacuated();
        let age_ms = current_at.age_millis(self.now());
        let Change { learnt, taken_back } = change;
        for data_centre in &learnt {
            self.log_evacuated(data_centre, "learnt", STORE, age_ms);
        }
        for data_centre in &taken_back {
            self.suspect_upstreams_of(data_centre);
            self.log_evacuated(data_centre, "taken back", STORE, age_ms);
        }
    }

    /// Supposes that the upstreams of a data centre that is used again are cold: they may
    /// have become so unnoticed.
    fn suspect_upstreams_of(&self, data_centre: &DataCentre) {
        let table = self.table.borrow();
        let entries = table.iter().map(|(_, entry)| &entry.registration);
        let processes = entries
            .filter(|registration| &registration.data_centre == data_centre)
            .map(|registration| registration.process());
        let processes: Vec<Process> = processes.collect();
        drop(table);
        for process in processes {
            self.suspect_cold(process, "evacuation");
        }
    }

    /// Marks the upstreams of evacuated data centres.
    fn mark_evacuated(&self) {
        let evacuations = self.evacuations.borrow();
        for entry in self.table.borrow_mut().iter_mut() {
            entry.evacuated = evacuations.contains(&entry.registration.data_centre);
        }
    }

    fn log_evacuated(&self, data_centre: &DataCentre, state: &str, told_by: &str, age_ms: u32) {
        emit!(self.log, Event::Evacuated, "data_centre" => data_centre.as_str(),
            "state" => state, "told_by" => told_by, "age_ms" => age_ms);
        self.load_changed.notify_one();
        self.work_changed.notify_one();
    }
}

impl Peers {
    /// What this VM tells the others of evacuations.
    pub(super) fn evacuated(&self) -> Vec<Evacuated> {
        let now = self.context().now();
        let evacuations = self.context().evacuations.borrow();
        let row = |(data_centre, at): (&DataCentre, Time)| Evacuated {
            data_centre: data_centre.to_string(),
            age_ms: at.age_millis(now),
        };
        evacuations.report().map(row).collect()
    }

    /// Records what another VM tells of evacuations.
    pub(super) fn record_evacuated(&self, vm: &str, rows: &[Evacuated]) {
        let (context, now) = (self.context(), self.context().now());
        if !context.follows_evacuations() {
            return;
        }
        for row in rows {
            let data_centre = DataCentre::from(row.data_centre.as_str());
            let table = context.table.borrow();
            let is_known =
                table.iter().any(|(_, entry)| entry.registration.data_centre == data_centre);
            drop(table);
            if !is_known {
                drop_statement("evacuated");
                continue;
            }
            let at = now.before_millis(row.age_ms);
            if context.evacuations.borrow_mut().record_hint(&data_centre, at) {
                context.mark_evacuated();
                context.log_evacuated(&data_centre, "learnt", vm, row.age_ms);
            }
        }
    }
}

/// Counts a peer's statement that can't be true.
pub(super) fn drop_statement(kind: &'static str) {
    metrics::counter!("serve_peer_statements_dropped_total", "kind" => kind).increment(1);
}
