//! A fleet of daemon processes and the stand-ins that it runs against.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::client::{Request, Response};
use super::eventually;
use super::process::Process;

/// Credential of the operator.
pub const OPERATOR: &str = "an-operator-of-the-fleet";
/// Secret that the VMs of the fleet share.
const SECRET: &str = "a-secret-of-the-fleet-under-test";
/// Data centres over which the VMs and upstreams are spread.
const DATA_CENTRES: [&str; 3] = ["porto", "braga", "viana"];

/// Number of processes of each kind to start.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Number of entry VMs.
    pub entries: usize,
    /// Number of store VMs.
    pub stores: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Command-line arguments of each engine.
    pub engine_arguments: Vec<String>,
    /// Number of plain services.
    pub plain: usize,
}

impl Default for Topology {
    fn default() -> Self {
        Self { entries: 2, stores: 2, engines: 2, engine_arguments: vec![], plain: 0 }
    }
}

/// A running stand-in.
pub struct Standin {
    /// Process that runs it.
    pub process: Process,
    /// Address that it listens on.
    pub address: SocketAddr,
}

impl Standin {
    /// Injects the given faults.
    pub async fn set_faults(&self, faults: Value) {
        let set = Request::post(self.address, "/standin/faults", &faults).send().await;
        assert_eq!(set.expect("the stand-in responds").status, 204);
    }

    /// Sends a GET request; returns null if there is no JSON response.
    pub async fn get(&self, path: &str) -> Value {
        let response = Request::new("GET", self.address, path).send().await;
        response.map(|response| response.json()).unwrap_or_default()
    }
}

/// A VM of the fleet, which runs one daemon.
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Process that runs it.
    pub process: Process,
    /// Address for callers; for store VMs, the operator address.
    pub caller: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    program: &'static str,
    settings: Value,
    path: PathBuf,
}

/// The running processes.
pub struct Fleet {
    /// Entry VMs.
    pub entries: Vec<Vm>,
    /// Store VMs.
    pub stores: Vec<Vm>,
    /// Model engines.
    pub engines: Vec<Standin>,
    /// Plain services.
    pub plain: Vec<Standin>,
    /// Stand-in for the platform's key-value service.
    pub kv: Standin,
    /// Directory of logs, settings and data.
    pub folder: tempfile::TempDir,
}

/// Returns the SHA-256 digest in hexadecimal, the form used in settings and keys.
pub fn sha256_hex(text: &str) -> String {
    Sha256::digest(text).iter().map(|byte| format!("{byte:02x}")).collect()
}

impl Fleet {
    /// Starts all processes and waits until the VMs are ready.
    pub async fn start(topology: Topology) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let kv = start_standin(&folder, "kv", &["kv"]).await;
        let mut fleet =
            Self { entries: vec![], stores: vec![], engines: vec![], plain: vec![], kv, folder };
        for number in 0..topology.engines {
            let mut arguments = vec!["engine"];
            arguments.extend(topology.engine_arguments.iter().map(String::as_str));
            let name = format!("engine-{number}");
            fleet.engines.push(start_standin(&fleet.folder, &name, &arguments).await);
        }
        for number in 0..topology.plain {
            let name = format!("plain-{number}");
            fleet.plain.push(start_standin(&fleet.folder, &name, &["plain"]).await);
        }
        for number in 0..topology.stores {
            let vm = fleet.start_vm("parsleybeam-store", &format!("store-{number}"), number).await;
            fleet.stores.push(vm);
        }
        for number in 0..topology.entries {
            let vm = fleet.start_vm("parsleybeam-entry", &format!("entry-{number}"), number).await;
            fleet.entries.push(vm);
        }
        fleet.wait_ready().await;
        fleet
    }

    /// Restarts an engine at the same address, killing it if it is running.
    pub async fn restart_engine(&mut self, number: usize) {
        let address = self.engines[number].address;
        self.engines[number].process.kill();
        let listen = address.to_string();
        let arguments = ["engine", "--listen", listen.as_str()];
        let name = format!("engine-{number}");
        self.engines[number] = start_standin(&self.folder, &name, &arguments).await;
    }

    /// Starts another entry VM.
    pub async fn add_entry(&mut self) {
        let number = self.entries.len();
        let vm = self.start_vm("parsleybeam-entry", &format!("entry-{number}"), number).await;
        self.entries.push(vm);
    }

    /// Waits until every running VM reports that it is ready.
    pub async fn wait_ready(&mut self) {
        for vm in self.entries.iter_mut().chain(&mut self.stores) {
            if vm.process.is_running() {
                vm.wait_ready().await;
            }
        }
    }

    async fn start_vm(&self, program: &'static str, name: &str, index: usize) -> Vm {
        let mut settings = json!({
            "vm": name,
            "data_centre": DATA_CENTRES[index % DATA_CENTRES.len()],
            "operator": "127.0.0.1:0",
            "peer": "127.0.0.1:0",
            "fleet_secret": SECRET,
            "platform": {"key_value": [self.kv.address]},
            "log": {"format": "json"},
        });
        if program == "parsleybeam-store" {
            let data = self.folder.path().join(format!("{name}.data"));
            std::fs::create_dir_all(&data).expect("a data folder");
            settings["data"] = json!(data);
        } else {
            settings["caller"] = json!("127.0.0.1:0");
            settings["operators"] = json!([sha256_hex(OPERATOR)]);
        }
        let path = self.folder.path().join(format!("{name}.json"));
        Vm::start(program, name, settings, path).await
    }

    /// Writes a resource and waits until it is accepted.
    pub async fn apply(&self, kind: &str, name: &str, spec: Value) {
        let what = format!("{kind} {name} is accepted");
        let path = format!("/api/v1/{kind}s/{name}");
        eventually(&what, async || {
            let response = self.send_as_operator("PUT", &path, &json!({"spec": spec})).await?;
            assert!(response.status < 300 || response.status >= 500, "{what}: {}", response.text());
            (response.status == 200).then_some(())
        })
        .await;
    }

    /// Deletes a resource and waits until the deletion is accepted.
    pub async fn delete(&self, kind: &str, name: &str) {
        let path = format!("/api/v1/{kind}s/{name}");
        eventually(&format!("{kind} {name} is deleted"), async || {
            let response = self.send_as_operator("DELETE", &path, &Value::Null).await?;
            (response.status == 200 || response.status == 404).then_some(())
        })
        .await;
    }

    /// Sends an operator's request to the first entry VM.
    pub async fn send_as_operator(
        &self,
        method: &str,
        path: &str,
        body: &Value,
    ) -> Option<Response> {
        let request = Request::new(method, self.entries[0].operator, path).key(OPERATOR);
        let request = if body.is_null() { request } else { request.body(body.to_string()) };
        request.send().await.ok()
    }

    /// Creates two organisations with one key each, the model, the upstreams and the
    /// routes.
    pub async fn create_resources(&self) {
        self.apply("organisation", "limpa", json!({"rate": 500.0, "burst": 500})).await;
        self.apply("key", "limpa-1", json!({"organisation": "limpa", "sha256": sha256_hex(KEY)}))
            .await;
        self.apply("organisation", "jadranka", json!({"rate": 500.0, "burst": 500})).await;
        let other = json!({"organisation": "jadranka", "sha256": sha256_hex(OTHER_KEY)});
        self.apply("key", "jadranka-1", other).await;
        let replicas = self.engines.len();
        self.apply("model", "notes", json!({"version": "1", "replicas": replicas})).await;
        for (number, engine) in self.engines.iter().enumerate() {
            let spec = json!({
                "address": engine.address, "data_centre": DATA_CENTRES[number % DATA_CENTRES.len()],
                "serves": {"model": "notes"}, "capacity": 8, "fenced": true,
            });
            self.apply("upstream", &format!("engine-{number}"), spec).await;
        }
        for (number, plain) in self.plain.iter().enumerate() {
            let spec = json!({
                "address": plain.address, "data_centre": DATA_CENTRES[number % DATA_CENTRES.len()],
                "serves": {"service": "billing"}, "capacity": 8,
            });
            self.apply("upstream", &format!("plain-{number}"), spec).await;
        }
        if !self.plain.is_empty() {
            let target = json!({"service": "billing"});
            self.apply("route", "billing", json!({"path": "/bill", "target": target})).await;
        }
        let route = json!({"path": "/v1/completions", "target": "models", "idempotent": true});
        self.apply("route", "completions", route).await;
    }

    /// Waits until every entry VM serves completions.
    pub async fn wait_serving(&self) {
        let body = super::client::completion("warm up", 1, false);
        for vm in &self.entries {
            eventually(&format!("{} serves completions", vm.name), async || {
                let call = Request::post(vm.caller, "/v1/completions", &body).key(KEY);
                call.send().await.ok().filter(|response| response.status == 200)
            })
            .await;
        }
    }
}

/// Key of a caller of the other organisation.
pub const OTHER_KEY: &str = "sk-jadranka-0123456789";
/// Key of a caller.
pub const KEY: &str = "sk-limpa-0123456789";

impl Vm {
    async fn start(program: &'static str, name: &str, settings: Value, path: PathBuf) -> Self {
        std::fs::write(&path, settings.to_string()).expect("settings are written");
        let folder = path.parent().expect("a folder").to_path_buf();
        let argument = path.to_str().expect("a path in UTF-8").to_owned();
        let mut process = Process::start(&folder, name, program, &[&argument]);
        let started = process.wait_started().await;
        let address = |field: &str| started[field].as_str().and_then(|text| text.parse().ok());
        let operator = address("operator").expect("an operators' address");
        let caller = address("caller").unwrap_or(operator);
        Self { name: name.into(), process, caller, operator, program, settings, path }
    }

    /// Kills the VM and starts it again at the same addresses.
    pub async fn restart(&mut self) {
        self.process.kill();
        self.settings["operator"] = json!(self.operator);
        if self.program == "parsleybeam-entry" {
            self.settings["caller"] = json!(self.caller);
        }
        *self =
            Self::start(self.program, &self.name, self.settings.clone(), self.path.clone()).await;
    }

    /// Waits until the VM reports that it is ready.
    pub async fn wait_ready(&mut self) {
        eventually(&format!("{} is ready", self.name), async || {
            assert!(self.process.is_running(), "{} exited:\n{}", self.name, self.process.output());
            let response = Request::new("GET", self.operator, "/readyz").send().await.ok()?;
            (response.status == 200).then_some(())
        })
        .await;
    }
}

async fn start_standin(folder: &tempfile::TempDir, name: &str, arguments: &[&str]) -> Standin {
    let mut process = Process::start(folder.path(), name, "standins", arguments);
    let address = process.wait_listening().await;
    Standin { process, address }
}
