//! A sound platform store: keys, ranges and transactions.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::base64;
use super::http::{self, Peer, Request};
use super::json::{Json, quote};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Most items in one page of a range, and most bytes of their values.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// Most entries of a transaction.
const TRANSACTION_ENTRIES: usize = 32;

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct Keys {
    revision: u64,
    items: BTreeMap<String, Item>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    keys: Arc<Mutex<Keys>>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let keys = Arc::<Mutex<Keys>>::default();
        let shared = keys.clone();
        let address = http::listen(address, move |peer| serve(peer, &shared))?;
        Ok(Self { address, keys })
    }

    /// Writes a key as the operator or a replica does.
    pub fn put(&self, key: &str, value: &str) {
        let mut keys = self.keys.lock().expect("the store's keys");
        keys.revision += 1;
        let revision = keys.revision;
        let created = keys.items.get(key).map_or(revision, |item| item.created);
        let value = base64::encode(value.as_bytes());
        keys.items.insert(key.to_owned(), Item { value, revision, created });
    }

    /// Number of keys that begin with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let keys = self.keys.lock().expect("the store's keys");
        keys.items.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// Value of a key, decoded; none if there is no such key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let keys = self.keys.lock().expect("the store's keys");
        keys.items.get(key).map(|item| base64::decode(&item.value))
    }
}

fn serve(mut peer: Peer, keys: &Mutex<Keys>) -> io::Result<()> {
    while let Some(request) = peer.request()? {
        thread::sleep(ANSWER_TIME);
        let (status, body) = {
            let mut keys = keys.lock().expect("the store's keys");
            match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/-/kv-key") => key(&keys, &request),
                ("GET", "/-/kv-range") => range(&keys, &request),
                ("POST", "/-/kv-txn") => transaction(&mut keys, &request),
                _ => (404, String::new()),
            }
        };
        peer.answer(status, "content-type: application/json\r\n", &body)?;
    }
    Ok(())
}

fn shown(key: &str, item: &Item, more: &str) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":0{more}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created
    )
}

fn key(keys: &Keys, request: &Request) -> (u16, String) {
    let key = request.parameter("key");
    match keys.items.get(&key) {
        Some(item) => (200, shown(&key, item, &format!(",\"store_revision\":{}", keys.revision))),
        None => (404, String::new()),
    }
}

fn range(keys: &Keys, request: &Request) -> (u16, String) {
    let (prefix, after) = (request.parameter("path_prefix"), request.parameter("after"));
    let mut items = Vec::new();
    let mut bytes = 0;
    let mut more = false;
    for (key, item) in keys.items.iter() {
        if !key.starts_with(&prefix) || key.as_str() <= after.as_str() {
            continue;
        }
        if items.len() == PAGE_ITEMS || (bytes > 0 && bytes + item.value.len() > PAGE_BYTES) {
            more = true;
            break;
        }
        bytes += item.value.len();
        items.push(shown(key, item, ""));
    }
    let body = format!(
        "{{\"items\":[{}],\"has_more\":{more},\"store_revision\":{}}}",
        items.join(","),
        keys.revision
    );
    (200, body)
}

fn transaction(keys: &mut Keys, request: &Request) -> (u16, String) {
    let Some(body) = Json::parse(&request.body) else { return (400, String::new()) };
    let list = |name: &str| body.get(name).map(|list| list.list().to_vec()).unwrap_or_default();
    let (expected, puts, remove) = (list("expected_revision"), list("puts"), list("remove"));
    if expected.len() + puts.len() + remove.len() > TRANSACTION_ENTRIES {
        return (400, String::new());
    }
    let name = |row: &Json| row.get("key").and_then(Json::text).unwrap_or("").to_owned();
    let holds = |row: &Json| {
        let revision = row.get("revision").and_then(Json::number).unwrap_or(0.0) as u64;
        keys.items.get(&name(row)).map_or(0, |item| item.revision) == revision
    };
    if !expected.iter().all(holds) {
        let current = expected.iter().filter_map(|row| {
            let key = name(row);
            keys.items.get(&key).map(|item| shown(&key, item, ""))
        });
        let current: Vec<String> = current.collect();
        return (412, format!("{{\"items\":[{}]}}", current.join(",")));
    }
    let removed: Vec<String> = remove.iter().filter_map(Json::text).map(str::to_owned).collect();
    let written: Vec<String> = puts.iter().map(name).collect();
    let is_closed = |key: &String| key.starts_with("op/") || key.starts_with("servers/");
    if removed.iter().chain(&written).any(is_closed) {
        return (403, String::new());
    }
    keys.revision += 1;
    let revision = keys.revision;
    for put in &puts {
        let key = name(put);
        let value = put.get("value").and_then(Json::text).unwrap_or("").to_owned();
        let created = keys.items.get(&key).map_or(revision, |item| item.created);
        keys.items.insert(key, Item { value, revision, created });
    }
    for key in removed {
        keys.items.remove(&key);
    }
    (200, format!("{{\"revision\":{revision}}}"))
}
