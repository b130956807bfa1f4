//! What callers sent and saw, and what must hold of it.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::platform::caller::Response;
use crate::platform::payload::MAX_ATTEMPTS;
use crate::platform::replica::{EVENTS, Request, SIGNATURE};

/// Longest time for which a withdrawn key may still work.
pub const WITHDRAWAL: Duration = Duration::from_millis(3_000);

/// A request that a caller sent.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Route's name.
    pub route: &'static str,
    /// Its key.
    pub key: String,
    /// When it was sent.
    pub at: Instant,
    /// Status of the answer; zero if none came.
    pub status: u16,
}

/// All that callers did.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Requests by identifier.
    pub sent: HashMap<String, Sent>,
    /// When each key was withdrawn.
    pub withdrawn: HashMap<String, Instant>,
    /// Accepted jobs with the results that were read.
    pub jobs: BTreeMap<String, Vec<(String, String)>>,
    /// Identifiers of items that were submitted.
    pub items: Vec<String>,
    /// Promises that were broken.
    pub violations: Vec<String>,
    /// Requests that were answered well.
    pub served: u64,
}

/// The body of a whole answer.
pub fn whole_body() -> String {
    (1..=EVENTS).map(|id| format!("id: {id}\ndata: event {id}\n\n")).collect()
}

/// The output of a whole item.
pub fn whole_output() -> String {
    (1..=EVENTS).map(|id| format!("event {id}")).collect::<Vec<_>>().join("\n")
}

impl Ledger {
    /// Notes a request before it is sent.
    pub fn send(&mut self, id: &str, route: &'static str, key: &str) {
        let sent = Sent { route, key: key.to_owned(), at: Instant::now(), status: 0 };
        self.sent.insert(id.to_owned(), sent);
    }

    /// Checks an answer.
    pub fn answered(&mut self, id: &str, answer: &Response) {
        if let Some(sent) = self.sent.get_mut(id) {
            sent.status = answer.status;
        }
        if !(200..300).contains(&answer.status) || !answer.complete {
            return;
        }
        self.served += 1;
        if answer.text() != whole_body() {
            self.violations
                .push(format!("{id}: the body is not the replica's: {:?}", answer.text()));
        }
        if answer.header("parsleybeam-response-signature") != Some(SIGNATURE) {
            self.violations.push(format!("{id}: no signature"));
        }
        if answer.header("parsleybeam-request-id") != Some(id) {
            self.violations.push(format!("{id}: the answer names another request"));
        }
    }

    /// Checks a page of a job's results: positions never change.
    pub fn listed(&mut self, job: &str, results: Vec<(String, String)>) {
        let known = self.jobs.entry(job.to_owned()).or_default();
        let common = known.len().min(results.len());
        if known[..common] != results[..common] {
            self.violations.push(format!("{job}: a position changed"));
        }
        if results.len() > known.len() {
            *known = results;
        }
    }

    /// Checks that a job has all results, each item once and whole.
    pub fn finished(&mut self, job: &str, total: usize) {
        let results = self.jobs.get(job).cloned().unwrap_or_default();
        let mut items: Vec<&String> = results.iter().map(|(item, _)| item).collect();
        items.sort();
        items.dedup();
        if results.len() != total || items.len() != total {
            self.violations.push(format!("{job}: {} of {total} results", items.len()));
        }
        // An item whose upstreams all failed it ends without output.
        let odd =
            results.iter().find(|(_, output)| !output.is_empty() && *output != whole_output());
        if let Some((item, output)) = odd {
            self.violations.push(format!("{job}: output of {item}: {output:?}"));
        }
    }

    /// Checks what replicas saw against what callers sent and were told.
    pub fn compare(&mut self, seen: &[Request]) {
        let mut runs: HashMap<&str, u32> = HashMap::new();
        for one in seen {
            let id = one.header("parsleybeam-request-id").unwrap_or_default();
            let known = self.sent.contains_key(id) || self.items.iter().any(|item| item == id);
            if !known {
                self.violations.push(format!("{id}: no caller sent it"));
            }
            if one.header("authorization").is_some()
                || one.header("parsleybeam-tenant") != Some("tenant")
            {
                self.violations.push(format!("{id}: the key or a wrong tenant was passed on"));
            }
            *runs.entry(id).or_default() += 1;
        }
        for (id, sent) in &self.sent {
            let runs = runs.get(id.as_str()).copied().unwrap_or(0);
            self.violations.extend(fault_of(id, sent, runs));
            let late = self.withdrawn.get(&sent.key).is_some_and(|at| sent.at > *at + WITHDRAWAL);
            if runs > 0 && late {
                self.violations.push(format!("{id}: ran with a withdrawn key"));
            }
        }
    }
}

fn fault_of(id: &str, sent: &Sent, runs: u32) -> Option<String> {
    let refused = matches!(sent.status, 408 | 421 | 429 | 503);
    match sent.route {
        "once" if runs > 1 => Some(format!("{id}: ran {runs} times")),
        "once" if refused && runs > 0 => Some(format!("{id}: ran though refused")),
        _ if runs > MAX_ATTEMPTS => Some(format!("{id}: sent {runs} times")),
        _ => None,
    }
}
