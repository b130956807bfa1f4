//! A whole fleet of processes with the stand-ins around it.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::client::{Answer, Request};
use super::eventually;
use super::process::Process;

/// The operator's credential.
pub const OPERATOR: &str = "an-operator-of-the-fleet";
/// Secret of the fleet.
const SECRET: &str = "a-secret-of-the-fleet-under-test";
/// Data centres that the VMs are spread over.
const DATA_CENTRES: [&str; 3] = ["porto", "braga", "viana"];

/// How many processes of each kind to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Entry VMs.
    pub entries: usize,
    /// Store VMs.
    pub stores: usize,
    /// Model engines.
    pub engines: usize,
    /// Arguments of each engine.
    pub engine: Vec<String>,
    /// Plain services.
    pub plain: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Self { entries: 2, stores: 2, engines: 2, engine: vec![], plain: 0 }
    }
}

/// A stand-in with its address.
pub struct Standin {
    /// The process.
    pub process: Process,
    /// Where it answers.
    pub address: SocketAddr,
}

impl Standin {
    /// Sets fault switches.
    pub async fn set(&self, faults: Value) {
        let set = Request::post(self.address, "/standin/faults", &faults).send().await;
        assert_eq!(set.expect("the stand-in answers").status, 204);
    }

    /// Reads one of its pages.
    pub async fn get(&self, path: &str) -> Value {
        let answer = Request::new("GET", self.address, path).send().await;
        answer.map(|answer| answer.json()).unwrap_or_default()
    }
}

/// A VM of the fleet.
pub struct Vm {
    /// Its name.
    pub name: String,
    /// The process.
    pub process: Process,
    /// Where callers connect; for stores, the operators' address.
    pub caller: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    program: &'static str,
    settings: Value,
    path: PathBuf,
}

/// Everything that runs.
pub struct Fleet {
    /// Entry VMs.
    pub entries: Vec<Vm>,
    /// Store VMs.
    pub stores: Vec<Vm>,
    /// Model engines.
    pub engines: Vec<Standin>,
    /// Plain services.
    pub plain: Vec<Standin>,
    /// The key-value service.
    pub kv: Standin,
    /// Keeps logs, settings and data.
    pub folder: tempfile::TempDir,
}

/// SHA-256 in hexadecimal, as settings and keys want it.
pub fn digest(text: &str) -> String {
    Sha256::digest(text).iter().map(|byte| format!("{byte:02x}")).collect()
}

impl Fleet {
    /// Starts everything and waits until all VMs are ready.
    pub async fn start(plan: Plan) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let kv = standin(&folder, "kv", &["kv"]).await;
        let mut fleet =
            Self { entries: vec![], stores: vec![], engines: vec![], plain: vec![], kv, folder };
        for number in 0..plan.engines {
            let mut arguments = vec!["engine"];
            arguments.extend(plan.engine.iter().map(String::as_str));
            let name = format!("engine-{number}");
            fleet.engines.push(standin(&fleet.folder, &name, &arguments).await);
        }
        for number in 0..plan.plain {
            let name = format!("plain-{number}");
            fleet.plain.push(standin(&fleet.folder, &name, &["plain"]).await);
        }
        for number in 0..plan.stores {
            let vm = fleet.start_vm("parsleybeam-store", &format!("store-{number}"), number).await;
            fleet.stores.push(vm);
        }
        for number in 0..plan.entries {
            let vm = fleet.start_vm("parsleybeam-entry", &format!("entry-{number}"), number).await;
            fleet.entries.push(vm);
        }
        fleet.ready().await;
        fleet
    }

    /// Starts an engine again at its address, after it died.
    pub async fn restart_engine(&mut self, number: usize) {
        let address = self.engines[number].address;
        self.engines[number].process.kill();
        let listen = address.to_string();
        let arguments = ["engine", "--listen", listen.as_str()];
        let name = format!("engine-{number}");
        self.engines[number] = standin(&self.folder, &name, &arguments).await;
    }

    /// Starts one more entry VM.
    pub async fn add_entry(&mut self) {
        let number = self.entries.len();
        let vm = self.start_vm("parsleybeam-entry", &format!("entry-{number}"), number).await;
        self.entries.push(vm);
    }

    /// Waits until every VM that runs says it is ready.
    pub async fn ready(&mut self) {
        for vm in self.entries.iter_mut().chain(&mut self.stores) {
            if vm.process.alive() {
                vm.ready().await;
            }
        }
    }

    async fn start_vm(&self, program: &'static str, name: &str, place: usize) -> Vm {
        let mut settings = json!({
            "vm": name,
            "data_centre": DATA_CENTRES[place % DATA_CENTRES.len()],
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
            settings["operators"] = json!([digest(OPERATOR)]);
        }
        let path = self.folder.path().join(format!("{name}.json"));
        Vm::start(program, name, settings, path).await
    }

    /// Writes a resource and waits until it is accepted.
    pub async fn apply(&self, kind: &str, name: &str, spec: Value) {
        let what = format!("{kind} {name} is accepted");
        let path = format!("/api/v1/{kind}s/{name}");
        eventually(&what, async || {
            let answer = self.operate("PUT", &path, &json!({"spec": spec})).await?;
            assert!(answer.status < 300 || answer.status >= 500, "{what}: {}", answer.text());
            (answer.status == 200).then_some(())
        })
        .await;
    }

    /// Deletes a resource and waits until that is accepted.
    pub async fn delete(&self, kind: &str, name: &str) {
        let path = format!("/api/v1/{kind}s/{name}");
        eventually(&format!("{kind} {name} is deleted"), async || {
            let answer = self.operate("DELETE", &path, &Value::Null).await?;
            (answer.status == 200 || answer.status == 404).then_some(())
        })
        .await;
    }

    /// One operator's call at the first entry VM.
    pub async fn operate(&self, method: &str, path: &str, body: &Value) -> Option<Answer> {
        let request = Request::new(method, self.entries[0].operator, path).key(OPERATOR);
        let request = if body.is_null() { request } else { request.body(body.to_string()) };
        request.send().await.ok()
    }

    /// Creates an organisation with one key, a route, the model and its engines.
    pub async fn furnish(&self) {
        self.apply("organisation", "limpa", json!({"rate": 500.0, "burst": 500})).await;
        self.apply("key", "limpa-1", json!({"organisation": "limpa", "sha256": digest(KEY)})).await;
        self.apply("organisation", "jadranka", json!({"rate": 500.0, "burst": 500})).await;
        let other = json!({"organisation": "jadranka", "sha256": digest(OTHER_KEY)});
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

    /// Waits until every entry VM answers a completion.
    pub async fn serving(&self) {
        let body = super::client::completion("warm up", 1, false);
        for vm in &self.entries {
            eventually(&format!("{} serves", vm.name), async || {
                let call = Request::post(vm.caller, "/v1/completions", &body).key(KEY);
                call.send().await.ok().filter(|answer| answer.status == 200)
            })
            .await;
        }
    }
}

/// A key of another organisation.
pub const OTHER_KEY: &str = "sk-jadranka-0123456789";
/// A caller's key.
pub const KEY: &str = "sk-limpa-0123456789";

impl Vm {
    async fn start(program: &'static str, name: &str, settings: Value, path: PathBuf) -> Self {
        std::fs::write(&path, settings.to_string()).expect("settings are written");
        let folder = path.parent().expect("a folder").to_path_buf();
        let argument = path.to_str().expect("a path in UTF-8").to_owned();
        let mut process = Process::start(&folder, name, program, &[&argument]);
        let started = process.started().await;
        let address = |field: &str| started[field].as_str().and_then(|text| text.parse().ok());
        let operator = address("operator").expect("an operators' address");
        let caller = address("caller").unwrap_or(operator);
        Self { name: name.into(), process, caller, operator, program, settings, path }
    }

    /// Starts it again at the same addresses, after a kill.
    pub async fn restart(&mut self) {
        self.process.kill();
        self.settings["operator"] = json!(self.operator);
        if self.program == "parsleybeam-entry" {
            self.settings["caller"] = json!(self.caller);
        }
        *self =
            Self::start(self.program, &self.name, self.settings.clone(), self.path.clone()).await;
    }

    /// Waits until it says that it is ready.
    pub async fn ready(&mut self) {
        eventually(&format!("{} is ready", self.name), async || {
            assert!(self.process.alive(), "{} ended:\n{}", self.name, self.process.output());
            let answer = Request::new("GET", self.operator, "/readyz").send().await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
}

async fn standin(folder: &tempfile::TempDir, name: &str, arguments: &[&str]) -> Standin {
    let mut process = Process::start(folder.path(), name, "standins", arguments);
    let address = process.listening().await;
    Standin { process, address }
}
