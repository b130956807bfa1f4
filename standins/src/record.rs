//! Record of the requests that an upstream stand-in received.

use std::collections::{BTreeMap, VecDeque};

use actix_web::HttpRequest;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Maximum number of raw requests kept for searches.
const MAX_RAW_REQUESTS: usize = 20_000;

/// Name of the header that carries the request identifier.
pub const REQUEST_ID: &str = "x-request-id";

/// Requests received since the start; a restart doesn't clear them.
#[derive(Debug, Default)]
pub struct Record {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<String, u64>,
    bodies: BTreeMap<String, u64>,
    raw: VecDeque<Vec<u8>>,
}

/// Executions by request, and the result of a search.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Number of executions by request identifier.
    pub runs: BTreeMap<String, u64>,
    /// Whether the requested text occurred in a URI, a header or a body.
    pub found: bool,
}

/// A search in the recorded requests.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Search {
    /// Text to search for, such as a caller's key; empty for no search.
    pub key: String,
}

impl Record {
    /// Records a request that is about to run and returns its identifier.
    pub fn add(&self, request: &HttpRequest, body: &[u8]) -> String {
        let id = crate::server::header(request, REQUEST_ID).unwrap_or_default();
        let mut raw = request.uri().to_string().into_bytes();
        for (name, value) in request.headers() {
            raw.extend_from_slice(name.as_str().as_bytes());
            raw.push(b':');
            raw.extend_from_slice(value.as_bytes());
            raw.push(b'\n');
        }
        raw.extend_from_slice(body);
        let mut state = self.state.lock();
        *state.runs.entry(id.clone()).or_default() += 1;
        state.raw.push_back(raw);
        if state.raw.len() > MAX_RAW_REQUESTS {
            state.raw.pop_front();
        }
        id
    }

    /// Counts an execution by its body, whatever the request identifier is.
    pub fn count_body(&self, body: &str) {
        *self.state.lock().bodies.entry(body.to_owned()).or_default() += 1;
    }

    /// Returns the number of executions by body.
    pub fn bodies(&self) -> BTreeMap<String, u64> {
        self.state.lock().bodies.clone()
    }

    /// Returns the executions by request, and whether the searched text occurred.
    pub fn summary(&self, search: &Search) -> Summary {
        let state = self.state.lock();
        let key = search.key.as_bytes();
        let contains = |raw: &Vec<u8>| raw.windows(key.len()).any(|window| window == key);
        let found = !key.is_empty() && state.raw.iter().any(contains);
        Summary { runs: state.runs.clone(), found }
    }
}
