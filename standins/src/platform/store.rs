//! The key-value service of the HTTP platform.
//!
//! The `lose_replies` fault applies to transactions only.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use actix_web::HttpResponse;
use actix_web::web::{self, Data, Json, Query, ServiceConfig};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::server::{Abort, Handle, Service};

/// Maximum number of items in one page of a range.
const PAGE_ITEMS: usize = 500;

/// Size of a page with several items, in bytes.
const PAGE_BYTES: usize = 1 << 20;

/// A stored key and its value, in base64.
#[derive(Clone, Debug, Serialize)]
pub struct Item {
    key: String,
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// Contents of the store.
#[derive(Debug, Default)]
pub struct Keys {
    revision: u64,
    items: BTreeMap<String, Item>,
    reads: Vec<String>,
}

/// Contents of the store, shared between the service and a test.
pub type Shared = Arc<Mutex<Keys>>;

impl Keys {
    /// Writes a key directly, without the restrictions on transactions.
    pub fn put(&mut self, key: &str, value: &[u8]) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let (key, value) = (key.to_owned(), STANDARD.encode(value));
        let item = Item { key: key.clone(), value, revision: self.revision, created, lease: 0 };
        self.items.insert(key, item);
    }

    /// Deletes a key directly.
    pub fn delete(&mut self, key: &str) {
        self.revision += 1;
        self.items.remove(key);
    }

    /// Returns the decoded value of a key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        STANDARD.decode(&self.items.get(key)?.value).ok()
    }

    /// Returns the keys and prefixes read over HTTP, oldest first.
    pub fn reads(&self) -> &[String] {
        &self.reads
    }

    /// Returns the keys that begin with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }
}

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
}

#[derive(Deserialize)]
struct RangeQuery {
    #[serde(default)]
    path_prefix: String,
    #[serde(default)]
    after: String,
}

#[derive(Deserialize)]
struct Transaction {
    expected_revision: Vec<Expected>,
    puts: Vec<Put>,
    remove: Vec<String>,
}

#[derive(Deserialize)]
struct Expected {
    key: String,
    revision: u64,
}

#[derive(Deserialize)]
struct Put {
    key: String,
    value: String,
}

struct KeyValue(Shared);

impl Service for KeyValue {
    fn configure(&self, config: &mut ServiceConfig) {
        config
            .app_data(Data::from(self.0.clone()))
            .route("/-/kv-key", web::get().to(key))
            .route("/-/kv-range", web::get().to(range))
            .route("/-/kv-txn", web::post().to(transaction));
    }

    fn may_lose_reply(&self, path: &str) -> bool {
        path == "/-/kv-txn"
    }
}

/// Starts the stand-in on `listen`.
pub fn start(listen: SocketAddr) -> io::Result<(Handle, Shared)> {
    let shared = Shared::default();
    let handle = Handle::start(listen, KeyValue(shared.clone()), Arc::<Abort>::default())?;
    Ok((handle, shared))
}

/// Starts a further listener of a store, with faults and counters of its own. A test that
/// gives each caller a listener counts calls by caller, and turns single callers away.
pub fn open(listen: SocketAddr, shared: &Shared) -> io::Result<Handle> {
    Handle::start(listen, KeyValue(shared.clone()), Arc::<Abort>::default())
}

async fn key(keys: Data<Mutex<Keys>>, query: Query<KeyQuery>) -> HttpResponse {
    let mut keys = keys.lock();
    keys.reads.push(query.key.clone());
    let Some(item) = keys.items.get(&query.key) else { return HttpResponse::NotFound().finish() };
    let mut value = serde_json::to_value(item).unwrap_or_default();
    value["store_revision"] = json!(keys.revision);
    HttpResponse::Ok().json(value)
}

async fn range(keys: Data<Mutex<Keys>>, query: Query<RangeQuery>) -> HttpResponse {
    let mut keys = keys.lock();
    keys.reads.push(query.path_prefix.clone());
    let keys = &*keys;
    let matching: Vec<&Item> = keys
        .items
        .values()
        .filter(|item| item.key.starts_with(&query.path_prefix) && item.key > query.after)
        .collect();
    let mut bytes = 0;
    let fits = |item: &&Item| {
        let is_first = bytes == 0;
        bytes += item.key.len() + item.value.len();
        is_first || bytes <= PAGE_BYTES
    };
    let count = matching.len();
    let items: Vec<&Item> = matching.into_iter().take(PAGE_ITEMS).take_while(fits).collect();
    let more = count > items.len();
    HttpResponse::Ok()
        .json(json!({ "items": items, "has_more": more, "store_revision": keys.revision }))
}

async fn transaction(keys: Data<Mutex<Keys>>, transaction: Json<Transaction>) -> HttpResponse {
    let mut keys = keys.lock();
    let matches = |expected: &Expected| {
        keys.items.get(&expected.key).map_or(0, |item| item.revision) == expected.revision
    };
    if !transaction.expected_revision.iter().all(matches) {
        let current = transaction
            .expected_revision
            .iter()
            .filter_map(|expected| keys.items.get(&expected.key));
        let current: Vec<&Item> = current.collect();
        return HttpResponse::PreconditionFailed().json(json!({ "items": current }));
    }
    let read_only = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
    if transaction.puts.iter().any(|put| read_only(&put.key))
        || transaction.remove.iter().any(|key| read_only(key))
    {
        return HttpResponse::Forbidden().finish();
    }
    keys.revision += 1;
    let revision = keys.revision;
    for put in &transaction.puts {
        let created = keys.items.get(&put.key).map_or(revision, |item| item.created);
        let (key, value) = (put.key.clone(), put.value.clone());
        keys.items.insert(key.clone(), Item { key, value, revision, created, lease: 0 });
    }
    for key in &transaction.remove {
        keys.items.remove(key);
    }
    HttpResponse::Ok().json(json!({ "revision": revision }))
}
