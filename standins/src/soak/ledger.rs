//! Requests and jobs that callers sent, their responses, and the checks on them.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::platform::caller::Response;
use crate::platform::payload::MAX_ATTEMPTS;
use crate::platform::replica::{EVENTS, Request, SIGNATURE};

/// Maximum time for which a withdrawn key may still be accepted.
pub const MAX_WITHDRAWAL_DELAY: Duration = Duration::from_millis(3_000);

/// A request that a caller sent.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Name of the route.
    pub route: &'static str,
    /// API key that was sent.
    pub key: String,
    /// Time at which it was sent.
    pub at: Instant,
    /// Status of the response; zero if none was received.
    pub status: u16,
}

/// Requests and jobs of all callers, and the violations found.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Requests by identifier.
    pub sent: HashMap<String, Sent>,
    /// Time at which each key was withdrawn.
    pub withdrawn: HashMap<String, Instant>,
    /// Accepted jobs by name, with the item and output of each result read so far.
    pub jobs: BTreeMap<String, Vec<(String, String)>>,
    /// Identifiers of all submitted items.
    pub items: Vec<String>,
    /// Guarantees that were violated, as messages.
    pub violations: Vec<String>,
    /// Number of requests with a complete successful response.
    pub served: u64,
}

/// Returns the body of a complete response.
pub fn complete_body() -> String {
    (1..=EVENTS).map(|id| format!("id: {id}\ndata: event {id}\n\n")).collect()
}

/// Returns the output of a completed item.
pub fn complete_output() -> String {
    (1..=EVENTS).map(|id| format!("event {id}")).collect::<Vec<_>>().join("\n")
}

impl Ledger {
    /// Records a request before it is sent.
    pub fn record_request(&mut self, id: &str, route: &'static str, key: &str) {
        let sent = Sent { route, key: key.to_owned(), at: Instant::now(), status: 0 };
        self.sent.insert(id.to_owned(), sent);
    }

    /// Records the status of a response; if it succeeded, checks its body and headers.
    pub fn check_response(&mut self, id: &str, response: &Response) {
        if let Some(sent) = self.sent.get_mut(id) {
            sent.status = response.status;
        }
        if !(200..300).contains(&response.status) || !response.complete {
            return;
        }
        self.served += 1;
        if response.text() != complete_body() {
            self.violations
                .push(format!("{id}: the body is not the replica's: {:?}", response.text()));
        }
        if response.header("parsleybeam-response-signature") != Some(SIGNATURE) {
            self.violations.push(format!("{id}: no signature"));
        }
        if response.header("parsleybeam-request-id") != Some(id) {
            self.violations.push(format!("{id}: the answer names another request"));
        }
    }

    /// Checks that the results of a job read earlier haven't changed their positions.
    pub fn check_page(&mut self, job: &str, results: Vec<(String, String)>) {
        let known = self.jobs.entry(job.to_owned()).or_default();
        let common = known.len().min(results.len());
        if known[..common] != results[..common] {
            self.violations.push(format!("{job}: a position changed"));
        }
        if results.len() > known.len() {
            *known = results;
        }
    }

    /// Checks that a job has one result for each item, with complete output.
    pub fn check_finished(&mut self, job: &str, total: usize) {
        let results = self.jobs.get(job).cloned().unwrap_or_default();
        let mut items: Vec<&String> = results.iter().map(|(item, _)| item).collect();
        items.sort();
        items.dedup();
        if results.len() != total || items.len() != total {
            self.violations.push(format!("{job}: {} of {total} results", items.len()));
        }
        // An item that failed on every attempt has no output.
        let incorrect =
            results.iter().find(|(_, output)| !output.is_empty() && *output != complete_output());
        if let Some((item, output)) = incorrect {
            self.violations.push(format!("{job}: output of {item}: {output:?}"));
        }
    }

    /// Checks the requests that replicas executed against the requests and responses of callers.
    pub fn check_executions(&mut self, executed: &[Request]) {
        let mut runs: HashMap<&str, u32> = HashMap::new();
        for request in executed {
            let id = request.header("parsleybeam-request-id").unwrap_or_default();
            let known = self.sent.contains_key(id) || self.items.iter().any(|item| item == id);
            if !known {
                self.violations.push(format!("{id}: no caller sent it"));
            }
            if request.header("authorization").is_some()
                || request.header("parsleybeam-tenant") != Some("tenant")
            {
                self.violations.push(format!("{id}: the key or a wrong tenant was passed on"));
            }
            *runs.entry(id).or_default() += 1;
        }
        for (id, sent) in &self.sent {
            let runs = runs.get(id.as_str()).copied().unwrap_or(0);
            self.violations.extend(violation(id, sent, runs));
            let late = self
                .withdrawn
                .get(&sent.key)
                .is_some_and(|at| sent.at > *at + MAX_WITHDRAWAL_DELAY);
            if runs > 0 && late {
                self.violations.push(format!("{id}: ran with a withdrawn key"));
            }
        }
    }
}

fn violation(id: &str, sent: &Sent, runs: u32) -> Option<String> {
    let refused = matches!(sent.status, 408 | 421 | 429 | 503);
    match sent.route {
        "once" if runs > 1 => Some(format!("{id}: ran {runs} times")),
        "once" if refused && runs > 0 => Some(format!("{id}: ran though refused")),
        _ if runs > MAX_ATTEMPTS => Some(format!("{id}: sent {runs} times")),
        _ => None,
    }
}
