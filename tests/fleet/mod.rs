//! An in-process fleet for tests of batch jobs.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::http::Method;
use parsleybeam::id::{DataCentre, Vm};
use parsleybeam::node::{entry, store};
use parsleybeam::settings::{self, Log, Platform};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use standins::{Handle, engine, kv, plain, server};
use tempfile::TempDir;

pub const KEY: &str = "key-of-limpa-0123456789";
pub const OTHER_KEY: &str = "key-of-jadranka-0123456789";
const CREDENTIAL: &str = "operator-0123456789";
const SECRET: &str = "a secret of the whole fleet";
/// Timeout of every wait in a test.
pub const TIMEOUT: Duration = Duration::from_secs(60);

pub struct Fleet {
    pub kv: Handle,
    pub engines: Vec<Handle>,
    pub plain: Handle,
    pub stores: Vec<Option<store::Node>>,
    pub entries: Vec<entry::Node>,
    data_dirs: Vec<TempDir>,
}

pub struct Response {
    pub status: u16,
    pub text: String,
    pub next: u32,
    pub complete: bool,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text)
            .unwrap_or_else(|_| panic!("response is not JSON: {}", self.text))
    }
}

impl Fleet {
    /// Starts three stores, two entry VMs, one engine and one plain service.
    pub async fn start() -> Self {
        let kv = kv::start(kv::Options::default()).expect("start the key-value service");
        let engine = engine::start(engine::Options::default()).expect("start the engine");
        let plain = plain::start(plain::Options::default()).expect("start the plain service");
        let data_dirs = (0..3).map(|_| TempDir::new().expect("create a data directory")).collect();
        let (engines, stores, entries) = (vec![engine], Vec::new(), Vec::new());
        let mut fleet = Self { kv, engines, plain, stores, entries, data_dirs };
        for index in 0..3 {
            fleet.stores.push(None);
            fleet.start_store(index).await;
        }
        for index in 0..2 {
            let node = entry::start(fleet.entry_settings(index), parsleybeam::log::silent()).await;
            fleet.entries.push(node.expect("start the entry VM"));
        }
        fleet.configure().await;
        fleet
    }

    pub async fn start_store(&mut self, index: usize) {
        let node = store::start(self.store_settings(index), parsleybeam::log::silent()).await;
        self.stores[index] = Some(node.expect("start the store"));
    }

    /// Stops a store; its disk is kept.
    pub async fn kill_store(&mut self, index: usize) {
        let node = self.stores[index].take().expect("the store is running");
        node.segments.stop().await;
        node.stop().await;
    }

    /// Kills a store and restarts it on the same disk.
    pub async fn restart_store(&mut self, index: usize) {
        self.kill_store(index).await;
        self.start_store(index).await;
    }

    /// Number of completion requests that the engine received.
    pub fn engine_requests(&self) -> u64 {
        self.engines[0].counters.all().get("/v1/completions").copied().unwrap_or(0)
    }

    /// Replaces the disk of a killed store by an empty one.
    pub fn replace_disk(&mut self, index: usize) {
        self.data_dirs[index] = TempDir::new().expect("create a data directory");
    }

    pub async fn call(
        &self,
        entry: usize,
        key: &str,
        method: Method,
        path: &str,
        body: String,
    ) -> Response {
        call(self.entries[entry].caller, key, method, path, body).await
    }

    pub async fn get(&self, path: &str) -> Response {
        self.call(0, KEY, Method::GET, path, String::new()).await
    }

    /// Submits a job of completions, and retries while the fleet is starting.
    pub async fn submit(&self, entry: usize, name: &str, body: &str) -> Response {
        let path = format!("/v1/batches?name={name}&path=/v1/completions");
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let answer = self.call(entry, KEY, Method::POST, &path, body.to_owned()).await;
            if answer.status < 500 && answer.status != 404 && answer.status != 401 {
                return answer;
            }
            assert!(Instant::now() < deadline, "{}: {}", answer.status, answer.text);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until a job has ended, and returns its status document.
    pub async fn wait_for_end(&self, name: &str) -> Value {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let answer = self.get(&format!("/v1/batches/{name}")).await;
            if answer.status == 200 && answer.json()["phase"] != "running" {
                return answer.json();
            }
            assert!(Instant::now() < deadline, "{}: {}", answer.status, answer.text);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Reads all results of a job, page by page.
    pub async fn results(&self, name: &str, limit: u32) -> Vec<Value> {
        let mut lines = Vec::new();
        let mut after = 0;
        loop {
            let path = format!("/v1/batches/{name}/results?after={after}&limit={limit}");
            let page = self.get(&path).await;
            assert_eq!(page.status, 200, "{}", page.text);
            lines.extend(
                page.text
                    .lines()
                    .map(|line| serde_json::from_str(line).expect("a result line is JSON")),
            );
            if page.complete || page.next == after {
                return lines;
            }
            after = page.next;
        }
    }

    fn store_settings(&self, index: usize) -> settings::Store {
        let (vm, data_centre) = vm_and_data_centre("store", index);
        settings::Store {
            vm,
            data_centre,
            peer: server::any_port(),
            operator: server::any_port(),
            fleet_secret: SECRET.into(),
            data: self.data_dirs[index].path().into(),
            platform: self.platform_settings(),
            log: Log::default(),
        }
    }

    fn entry_settings(&self, index: usize) -> settings::Entry {
        let (vm, data_centre) = vm_and_data_centre("entry", index);
        settings::Entry {
            vm,
            data_centre,
            caller: server::any_port(),
            operator: server::any_port(),
            peer: server::any_port(),
            fleet_secret: SECRET.into(),
            operators: vec![sha256(CREDENTIAL)],
            platform: self.platform_settings(),
            seeds: Vec::new(),
            threads: 1,
            body_limit: 1 << 20,
            log: Log::default(),
        }
    }

    fn platform_settings(&self) -> Platform {
        Platform {
            key_value: vec![self.kv.address],
            vm_list: None,
            weight_store: None,
            prefix: "/test/".into(),
        }
    }

    async fn configure(&self) {
        let engine = json!({
            "address": self.engines[0].address.to_string(), "data_centre": "porto",
            "serves": {"model": "notes"}, "capacity": 8,
        });
        let plain = json!({
            "address": self.plain.address.to_string(), "data_centre": "porto",
            "serves": {"service": "ledger"}, "capacity": 8,
        });
        let completions = json!({
            "path": "/v1/completions", "target": "models", "idempotent": true,
        });
        let ledger = json!({
            "path": "/ledger", "target": {"service": "ledger"}, "idempotent": false,
        });
        for (path, spec) in [
            ("organisations/limpa", json!({"rate": 1000.0, "burst": 1000})),
            ("organisations/jadranka", json!({"rate": 1000.0, "burst": 1000})),
            ("keys/limpa", json!({"organisation": "limpa", "sha256": sha256(KEY)})),
            ("keys/jadranka", json!({"organisation": "jadranka", "sha256": sha256(OTHER_KEY)})),
            ("models/notes", json!({"version": "1", "replicas": 1})),
            ("routes/completions", completions),
            ("routes/ledger", ledger),
            ("upstreams/engine-0", engine),
            ("upstreams/ledger-0", plain),
        ] {
            self.put(path, &spec).await;
        }
    }

    async fn put(&self, path: &str, spec: &Value) {
        let deadline = Instant::now() + TIMEOUT;
        let path = format!("/api/v1/{path}");
        loop {
            let body = json!({"spec": spec}).to_string();
            let operator = self.entries[0].operator;
            let answer = call(operator, CREDENTIAL, Method::PUT, &path, body).await;
            if answer.status != 503 {
                assert!(answer.status < 300, "{path}: {}: {}", answer.status, answer.text);
                return;
            }
            assert!(Instant::now() < deadline, "{}", answer.text);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn call(
    address: SocketAddr,
    key: &str,
    method: Method,
    path: &str,
    body: String,
) -> Response {
    let client = awc::Client::builder().timeout(Duration::from_secs(30)).finish();
    let request = client
        .request(method, format!("http://{address}{path}"))
        .insert_header(("authorization", format!("Bearer {key}")))
        .insert_header(("content-type", "application/json"));
    let Ok(mut response) = request.send_body(body).await else {
        return Response { status: 599, text: "no answer".into(), next: 0, complete: false };
    };
    let header = |name: &str| {
        let value = response.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let next = header("x-next-after").and_then(|text| text.parse().ok()).unwrap_or(0);
    let complete = header("x-complete").as_deref() == Some("true");
    let status = response.status().as_u16();
    let bytes = response.body().limit(64 << 20).await.unwrap_or_default();
    Response { status, text: String::from_utf8_lossy(&bytes).into_owned(), next, complete }
}

/// Returns the JSON lines of a job of `count` completions.
pub fn completions(count: usize) -> String {
    let line = |item: usize| {
        let body = json!({"model": "notes", "prompt": format!("note {item}"), "max_tokens": 2});
        json!({"custom_id": format!("item-{item}"), "body": body}).to_string()
    };
    (0..count).map(line).collect::<Vec<_>>().join("\n")
}

fn vm_and_data_centre(role: &str, index: usize) -> (Vm, DataCentre) {
    let data_centre = ["porto", "braga", "viana"][index];
    (format!("{role}-{data_centre}").into(), data_centre.into())
}

fn sha256(text: &str) -> String {
    Sha256::digest(text).iter().map(|byte| format!("{byte:02x}")).collect()
}
