//! The demo's fleet: two entry VMs, two store VMs, and stand-ins for the platform and
//! the engines.

use std::net::SocketAddr;
use std::time::Duration;

use parsleybeam::id::Vm;
use parsleybeam::node::{entry, store};
use parsleybeam::settings::{self, Log, Platform};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use slog::Logger;
use standins::{Handle, engine, kv, plain, server, vms, weights};
use tempfile::TempDir;

use super::client::Client;
use crate::command::Failure;

/// API key of the example organisation.
pub const KEY: &str = "demo-key";
/// Credential of the example operator.
pub const CREDENTIAL: &str = "demo-operator";
/// Name of the example model.
pub const MODEL: &str = "visit-notes";

/// Secret that the VMs of the fleet share.
const FLEET_SECRET: &str = "secret of the demo's fleet";
/// Data centres of the VMs and upstreams.
const DATA_CENTRES: [&str; 2] = ["porto", "braga"];
/// Number of engines that serve the example model.
const ENGINES: usize = 3;
/// Requests that an engine runs at once without overload.
const ENGINE_CAPACITY: u32 = 8;
/// Time within which the fleet must become ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Polling interval while the fleet starts.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The running VMs and stand-ins.
pub struct Fleet {
    entries: Vec<entry::Node>,
    stores: Vec<store::Node>,
    standins: Vec<Handle>,
    log: Logger,
    _folders: Vec<TempDir>,
}

impl Fleet {
    /// Starts the fleet, creates the example resources and waits until the fleet is ready.
    pub async fn start(log: Log) -> Result<Self, Failure> {
        let kv = kv::start(kv::Options::default()).map_err(io_failure)?;
        let vms = vms::start(vms::Options::default()).map_err(io_failure)?;
        let weights = weights::start(weights::Options::default()).map_err(io_failure)?;
        let platform = Platform {
            key_value: vec![kv.address],
            vm_list: Some(vms.address),
            weight_store: Some(weights.address),
            prefix: "/demo/".into(),
        };
        let mut fleet = Self {
            entries: vec![],
            stores: vec![],
            standins: vec![kv, vms, weights],
            log: parsleybeam::log::logger(&log),
            _folders: vec![],
        };
        for data_centre in DATA_CENTRES {
            fleet.start_store(data_centre, &platform, log).await?;
        }
        for data_centre in DATA_CENTRES {
            fleet.start_entry(data_centre, &platform, log).await?;
        }
        fleet.create_resources().await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Returns the names and caller addresses of the entry VMs.
    pub fn callers(&self) -> impl Iterator<Item = (&Vm, SocketAddr)> {
        self.entries.iter().map(|node| (&node.context.vm, node.caller))
    }

    /// Returns the caller address of the first entry VM.
    pub fn caller(&self) -> SocketAddr {
        self.entries[0].caller
    }

    /// Returns the operator address of the first entry VM.
    pub fn operator(&self) -> SocketAddr {
        self.entries[0].operator
    }

    /// Creates a client of the resource API.
    pub fn operator_client(&self) -> Client {
        Client::new(self.operator(), CREDENTIAL)
    }

    /// Stops the VMs.
    pub async fn stop(self) {
        for node in self.entries {
            node.stop().await;
        }
        for node in self.stores {
            node.stop().await;
        }
    }

    async fn start_store(
        &mut self,
        data_centre: &str,
        platform: &Platform,
        log: Log,
    ) -> Result<(), Failure> {
        let folder = TempDir::new().map_err(io_failure)?;
        let settings = settings::Store {
            vm: format!("store-{data_centre}").into(),
            data_centre: data_centre.into(),
            peer: server::any_port(),
            operator: server::any_port(),
            fleet_secret: FLEET_SECRET.into(),
            data: folder.path().into(),
            platform: platform.clone(),
            log,
        };
        let node = store::start(settings, self.log.clone()).await?;
        self.stores.push(node);
        self._folders.push(folder);
        Ok(())
    }

    async fn start_entry(
        &mut self,
        data_centre: &str,
        platform: &Platform,
        log: Log,
    ) -> Result<(), Failure> {
        let settings = settings::Entry {
            vm: format!("entry-{data_centre}").into(),
            data_centre: data_centre.into(),
            caller: server::any_port(),
            operator: server::any_port(),
            peer: server::any_port(),
            fleet_secret: FLEET_SECRET.into(),
            operators: vec![sha256_hex(CREDENTIAL)],
            platform: platform.clone(),
            seeds: vec![],
            threads: 1,
            body_limit: 1 << 20,
            log,
        };
        let node = entry::start(settings, self.log.clone()).await?;
        self.entries.push(node);
        Ok(())
    }

    async fn create_resources(&mut self) -> Result<(), Failure> {
        let mut resources = vec![
            ("organisations/demo", json!({"rate": 200.0, "burst": 200})),
            ("keys/demo", json!({"organisation": "demo", "sha256": sha256_hex(KEY)})),
            ("models/visit-notes", json!({"version": "1", "replicas": ENGINES})),
            (
                "routes/completions",
                json!({"path": "/v1/completions", "target": "models", "idempotent": true}),
            ),
            (
                "routes/ledger",
                json!({"path": "/ledger", "target": {"service": "ledger"}, "idempotent": false}),
            ),
        ]
        .into_iter()
        .map(|(path, spec)| (path.to_owned(), spec))
        .collect::<Vec<_>>();
        for index in 0..ENGINES {
            let options = engine::Options { capacity: ENGINE_CAPACITY, ..Default::default() };
            let engine = engine::start(options).map_err(io_failure)?;
            let serves = json!({"model": MODEL});
            resources.push(upstream_resource(&format!("engine-{index}"), index, &engine, serves));
            self.standins.push(engine);
        }
        let ledger = plain::start(plain::Options::default()).map_err(io_failure)?;
        resources.push(upstream_resource("ledger-0", 0, &ledger, json!({"service": "ledger"})));
        self.standins.push(ledger);
        let deadline = std::time::Instant::now() + START_TIMEOUT;
        for (path, spec) in resources {
            self.put(&path, &json!({"spec": spec}), deadline).await?;
        }
        Ok(())
    }

    /// Writes a resource. Retries while the fleet is starting and responds with 503.
    async fn put(
        &self,
        path: &str,
        body: &Value,
        deadline: std::time::Instant,
    ) -> Result<(), Failure> {
        loop {
            let path = format!("/api/v1/{path}");
            let response = self
                .operator_client()
                .call(awc::http::Method::PUT, &path, body.to_string())
                .await?;
            if response.status != 503 || std::time::Instant::now() > deadline {
                return response.success(&path).map(drop);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every entry VM completes a request with the example key.
    async fn wait_ready(&self) -> Result<(), Failure> {
        let deadline = std::time::Instant::now() + START_TIMEOUT;
        for (_, address) in self.callers() {
            let caller = Client::new(address, KEY);
            let body = json!({"model": MODEL, "prompt": "ready?", "max_tokens": 1});
            loop {
                let response = caller.post("/v1/completions", &body).await?;
                if response.status == 200 {
                    break;
                }
                if std::time::Instant::now() > deadline {
                    return response.success("start").map(drop);
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}

fn upstream_resource(name: &str, index: usize, standin: &Handle, serves: Value) -> (String, Value) {
    let spec = json!({
        "address": standin.address.to_string(),
        "data_centre": DATA_CENTRES[index % DATA_CENTRES.len()],
        "serves": serves,
        "capacity": ENGINE_CAPACITY,
    });
    (format!("upstreams/{name}"), spec)
}

fn sha256_hex(text: &str) -> String {
    Sha256::digest(text).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn io_failure(error: std::io::Error) -> Failure {
    Failure::Refused(error.to_string())
}
