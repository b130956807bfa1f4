//! What upstream stand-ins remember of the requests that they saw.

use std::collections::{BTreeMap, VecDeque};

use actix_web::HttpRequest;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Raw requests that are kept to be searched for keys.
const RAW_REQUESTS: usize = 20_000;

/// Header that carries a request's identifier.
pub const REQUEST_ID: &str = "x-request-id";

/// Everything seen since the start, restarts included.
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

/// Runs by request, and whether a text was seen.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Seen {
    /// Runs by request identifier.
    pub runs: BTreeMap<String, u64>,
    /// Whether the text that was asked for stood in any header or body.
    pub found: bool,
}

/// Text to search for.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Search {
    /// A caller's key; empty: none.
    pub key: String,
}

impl Record {
    /// Notes a request that is about to run; gives its identifier.
    pub fn note(&self, request: &HttpRequest, body: &[u8]) -> String {
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
        if state.raw.len() > RAW_REQUESTS {
            state.raw.pop_front();
        }
        id
    }

    /// Notes a body whose runs are to be counted, whatever their identifiers.
    pub fn note_body(&self, body: &str) {
        *self.state.lock().bodies.entry(body.to_owned()).or_default() += 1;
    }

    /// Runs by body.
    pub fn bodies(&self) -> BTreeMap<String, u64> {
        self.state.lock().bodies.clone()
    }

    /// Runs by request, and whether `search` was seen.
    pub fn seen(&self, search: &Search) -> Seen {
        let state = self.state.lock();
        let key = search.key.as_bytes();
        let holds = |raw: &Vec<u8>| raw.windows(key.len()).any(|part| part == key);
        let found = !key.is_empty() && state.raw.iter().any(holds);
        Seen { runs: state.runs.clone(), found }
    }
}
