//! What the cases share: a record, a sound platform store and replicas on loopback addresses,
//! and entry machines that are started with the commands of the deploy file as processes of
//! their own.

#![allow(dead_code)]

pub mod base64;
pub mod http;
pub mod json;
pub mod store;

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use self::http::{Answer, Peer, Request};
use self::json::quote;
use self::store::Store;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;
/// Time after which a case that still runs is ended.
const TIME_LIMIT: Duration = Duration::from_secs(110);

pub const HOST: &str = "nony24.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
pub const TENANT: &str = "kaje80";
pub const SERVICE: &str = "escrita";
pub const ZONES: [&str; 3] = ["porto", "braga", "viana"];

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Lines with their times, on standard output and in `record.txt` of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(folder.join("record.txt"))?));
        Ok(Self { file, started: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}\n", self.seconds(), text.as_ref());
        let mut file = self.file.lock().expect("the record");
        let _ = file.write_all(line.as_bytes());
        print!("{line}");
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// A case that runs: its record, whether it has its disruption, its folders and processes.
pub struct Case {
    pub record: Record,
    pub trouble: bool,
    root: PathBuf,
    temporary: PathBuf,
    processes: Arc<Mutex<Vec<u32>>>,
    network: [u8; 2],
    bounds: Bounds,
}

/// Bounds of an installation, by the names of the pages.
pub type Bounds = [(&'static str, &'static str); 10];

/// Runs a case with the bounds of Limpa Norte's installation and exits with its code. `number`
/// names its folder.
pub fn run<C>(number: &str, case: C) -> !
where
    C: FnOnce(&Case) -> Result<bool, String>,
{
    run_at(number, LIMPA_NORTE, case)
}

/// The same with the bounds of any installation.
pub fn run_at<C>(number: &str, bounds: Bounds, case: C) -> !
where
    C: FnOnce(&Case) -> Result<bool, String>,
{
    let root = std::env::current_dir().expect("a current folder");
    let folder = root.join("review").join(number);
    let record = match Record::create(&folder) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}; run this from the repository's root");
            std::process::exit(COULD_NOT_RUN);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let seed = random() ^ u64::from(std::process::id());
    let temporary = std::env::temp_dir().join(format!("parsleybeam-review-{number}-{seed:x}"));
    let network = [64 + (seed % 128) as u8, (seed >> 8) as u8];
    let processes = Arc::<Mutex<Vec<u32>>>::default();
    let outcome =
        fs::create_dir_all(&temporary).map_err(|error| error.to_string()).and_then(|()| {
            watch(record.clone(), processes.clone(), temporary.clone());
            record.line(format!("the disruption is {}", if trouble { "on" } else { "off" }));
            let running = Case {
                record: record.clone(),
                trouble,
                root,
                temporary: temporary.clone(),
                processes: processes.clone(),
                network,
                bounds,
            };
            case(&running)
        });
    let code = match outcome {
        Ok(true) => HELD,
        Ok(false) => BROKEN,
        Err(reason) => {
            record.line(format!("the case couldn't run: {reason}"));
            COULD_NOT_RUN
        }
    };
    end_all(&processes);
    let _ = fs::remove_dir_all(&temporary);
    record.line(match code {
        HELD => "result: the rule held",
        BROKEN => "result: the rule was broken",
        _ => "result: not run",
    });
    std::process::exit(code);
}

/// Ends the case if it takes too long.
fn watch(record: Record, processes: Arc<Mutex<Vec<u32>>>, temporary: PathBuf) {
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        record.line("the case took too long");
        end_all(&processes);
        let _ = fs::remove_dir_all(&temporary);
        std::process::exit(COULD_NOT_RUN);
    });
}

fn end_all(processes: &Mutex<Vec<u32>>) {
    for process in processes.lock().expect("the processes").drain(..) {
        send_signal(process, SIGCONT);
        send_signal(process, SIGKILL);
    }
}

fn send_signal(process: u32, signal: i32) {
    // Fails only for a process that has ended.
    unsafe { kill(process as i32, signal) };
}

fn random() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (now.as_nanos() as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 16
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Waits until a condition holds; false if it doesn't within `limit`.
pub fn wait_for<C>(limit: Duration, mut condition: C) -> bool
where
    C: FnMut() -> bool,
{
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    condition()
}

/// An entry machine.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    process: u32,
    child: Arc<Mutex<Option<Child>>>,
}

impl Machine {
    pub fn signal(&self, signal: i32) {
        send_signal(self.process, signal);
    }

    /// Whether the machine says that it takes callers.
    pub fn is_ready(&self) -> bool {
        let head = http::head("GET", "/-/readiness", HOST, &[], b"");
        http::call(self.ready, &head, b"", Duration::from_secs(1)).status == 200
    }

    /// Whether its process has ended.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().expect("the process");
        child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Case {
    /// A loopback address of this case; `machine` is its last number.
    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], machine)
    }

    /// An address with a free port.
    pub fn free(&self, machine: u8) -> Result<SocketAddr, String> {
        let ip = IpAddr::V4(self.ip(machine));
        for _ in 0..50 {
            let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
            let address = listener.local_addr().map_err(|error| error.to_string())?;
            if UdpSocket::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err("no free port".to_owned())
    }

    /// Starts the platform's store.
    pub fn start_store(&self) -> Result<Store, String> {
        let address = SocketAddr::new(IpAddr::V4(self.ip(250)), 0);
        Store::start(address).map_err(|error| format!("the store: {error}"))
    }

    /// Starts `count` entry machines with the command and the template of the deploy file, and
    /// waits until they are ready.
    pub fn start_machines(&self, count: u8, store: &Store) -> Result<Vec<Machine>, String> {
        let read = |path: &str| {
            fs::read_to_string(self.root.join(path)).map_err(|error| format!("{path}: {error}"))
        };
        let deploy = read("deploy/system.toml")?;
        let command = setting(&deploy, "[roles.entry]", "run").ok_or("no run line")?;
        let template = setting(&deploy, "[roles.entry]", "template").ok_or("no template")?;
        let template = read(&template)?;
        let machines: Result<Vec<Machine>, String> = (1..=count)
            .map(|number| self.start_machine(number, &command, &template, store))
            .collect();
        let machines = machines?;
        let all_ready =
            || machines.iter().all(Machine::is_ready) && store.count("vm/") == machines.len();
        if !wait_for(Duration::from_secs(20), all_ready) {
            return Err("the machines don't get ready".to_owned());
        }
        // Until all of them know each other.
        thread::sleep(Duration::from_millis(2_500));
        self.record.line(format!("{count} entry machines are ready"));
        Ok(machines)
    }

    fn start_machine(
        &self,
        number: u8,
        command: &str,
        template: &str,
        store: &Store,
    ) -> Result<Machine, String> {
        let zone = ZONES[usize::from(number - 1) % ZONES.len()];
        let name = format!("edge-{zone}-{}", (usize::from(number) - 1) / ZONES.len() + 1);
        let (front, ready) = (self.free(number)?, self.free(number)?);
        let (directory, peer, relay) = (self.free(number)?, self.free(number)?, self.free(number)?);
        let mut values: HashMap<String, String> = self
            .bounds
            .iter()
            .map(|(name, value)| (format!("bounds.{name}"), (*value).to_owned()))
            .collect();
        let mut set = |name: &str, value: String| values.insert(name.to_owned(), value);
        set("node", quote(&name));
        set("zone", quote(zone));
        set("ip", self.ip(number).to_string());
        set("listen.front", quote(&front.to_string()));
        set("listen.ready", quote(&ready.to_string()));
        set("listen.directory", quote(&directory.to_string()));
        set("internal_ports.0", peer.port().to_string());
        set("internal_ports.1", relay.port().to_string());
        set("platform.address", quote(&store.address.to_string()));
        set("limits.cpu_share", "0.25".to_owned());
        set("limits.memory_mb", "260".to_owned());
        let settings = self.temporary.join(format!("{name}.json"));
        fs::write(&settings, fill(template, &values)).map_err(|error| error.to_string())?;
        let log = File::create(self.temporary.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut words = command.split_whitespace();
        let program = words.next().unwrap_or_default();
        let arguments = words.map(|word| match word.ends_with("node.toml") {
            true => settings.clone().into_os_string(),
            false => word.into(),
        });
        let child = Command::new(self.root.join(program))
            .args(arguments)
            .current_dir(&self.root)
            .env_clear()
            .env("PARSLEYBEAM_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        let process = child.id();
        self.processes.lock().expect("the processes").push(process);
        Ok(Machine { name, front, ready, process, child: Arc::new(Mutex::new(Some(child))) })
    }

    /// Lines of a machine's log that hold all of `words`.
    pub fn log_lines(&self, machine: &Machine, words: &[&str]) -> Vec<String> {
        let text = fs::read_to_string(self.temporary.join(format!("{}.log", machine.name)));
        let text = text.unwrap_or_default();
        let lines = text.lines().filter(|line| words.iter().all(|word| line.contains(word)));
        lines.map(str::to_owned).collect()
    }

    /// Starts a replica and registers it. `serve` answers one request and says whether the
    /// connection stays open.
    pub fn start_replica<S>(&self, store: &Store, number: u8, serve: S) -> Result<(), String>
    where
        S: Fn(&Request, &mut Peer) -> io::Result<bool> + Send + Sync + 'static,
    {
        let address = SocketAddr::new(IpAddr::V4(self.ip(200 + number)), 0);
        let id = format!("i-{number:08x}");
        let address = http::listen(address, move |mut peer| {
            while let Some(request) = peer.request()? {
                if !serve(&request, &mut peer)? {
                    return Ok(());
                }
            }
            Ok(())
        })
        .map_err(|error| error.to_string())?;
        let zone = ZONES[usize::from(number - 1) % ZONES.len()];
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\
             \"stage\":\"hybrid\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"sequence\":1,\"born\":{}}}",
            unix_ms()
        );
        store.put(&format!("servers/{id}"), &entry);
        Ok(())
    }

    /// Writes a manifest with these routes, each an object without braces.
    pub fn put_manifest(&self, store: &Store, version: u32, routes: &[&str]) {
        let routes: Vec<String> = routes
            .iter()
            .map(|route| {
                format!(
                    "{{\"host\":\"{HOST}\",\"service\":\"{SERVICE}\",\"anonymous\":false,{route}}}"
                )
            })
            .collect();
        let manifest = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"health_path\":\"/health\",\"max_connections\":370}}],\"limits\":\
             {{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\
             \"{TENANT}\",\"api_keys\":[\"{KEY}\"],\"rate_per_s\":0,\"burst\":0}}]}}",
            routes.join(",")
        );
        store.put("op/config", &manifest);
    }
}

/// The bounds of limpa-norte.
pub const LIMPA_NORTE: Bounds = [
    ("config_apply_ms", "2000"),
    ("revoke_ms", "5000"),
    ("drain_ms", "2000"),
    ("contact_ms", "3000"),
    ("grace_s", "8"),
    ("ttl_max_s", "5"),
    ("quota_window_s", "5"),
    ("quota_overrun", "0.1"),
    ("quota_slack", "20"),
    ("status_ttl_s", "120"),
];

/// The bounds of plr-vesiverkko-grown.
pub const VESIVERKKO: Bounds = [
    ("config_apply_ms", "3000"),
    ("revoke_ms", "5000"),
    ("drain_ms", "3000"),
    ("contact_ms", "4000"),
    ("grace_s", "8"),
    ("ttl_max_s", "5"),
    ("quota_window_s", "5"),
    ("quota_overrun", "0.1"),
    ("quota_slack", "20"),
    ("status_ttl_s", "120"),
];

/// Value of `name = "..."` under a section of the deploy file.
fn setting(deploy: &str, section: &str, name: &str) -> Option<String> {
    let rest = &deploy[deploy.find(section)? + section.len()..];
    let rest = rest.split("\n[").next()?;
    let line = rest.lines().find(|line| line.split('=').next().map(str::trim) == Some(name))?;
    Some(line.split_once('=')?.1.trim().trim_matches('"').to_owned())
}

/// Fills in a template of settings. Sections of values that aren't set are left out.
fn fill(template: &str, values: &HashMap<String, String>) -> String {
    let mut filled = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        filled.push_str(&rest[..start]);
        let Some(end) = rest[start..].find("}}") else { break };
        let name = &rest[start + 2..start + end];
        rest = &rest[start + end + 2..];
        if let Some(section) = name.strip_prefix('#') {
            let close = format!("{{{{/{section}}}}}");
            if !values.contains_key(section) {
                rest = rest.split_once(&close).map_or("", |(_, after)| after);
            }
        } else if !name.starts_with('/') {
            let name = name.split('|').next().unwrap_or_default();
            filled.push_str(values.get(name).map_or("null", String::as_str));
        }
    }
    filled.push_str(rest);
    filled
}

/// Head lines of a request with a key.
pub fn keyed(request_id: &str, more: &[&str]) -> Vec<String> {
    let mut lines = vec![
        format!("Authorization: Bearer {KEY}"),
        format!("Parsleybeam-Request-Id: {request_id}"),
    ];
    lines.extend(more.iter().map(|line| (*line).to_owned()));
    lines
}

/// Hands a batch job in.
pub fn hand_in(machine: &Machine, prefix: &str, job: &str, items: &[String]) -> Answer {
    let items: Vec<String> = items
        .iter()
        .map(|item| {
            format!(
                "{{\"id\":\"{item}\",\"path\":\"{prefix}{item}\",\"headers\":\
                 {{\"Parsleybeam-Model\":\"m\",\"Parsleybeam-Token-Usage\":\"250,247\"}},\
                 \"body\":\"{}\",\"tokens\":497}}",
                base64::encode(item.as_bytes())
            )
        })
        .collect();
    let body = format!("{{\"items\":[{}]}}", items.join(","));
    let lines = keyed(job, &["Content-Type: application/json"]);
    let head = http::head("POST", &format!("{prefix}{job}"), HOST, &lines, body.as_bytes());
    http::call(machine.front, &head, body.as_bytes(), Duration::from_secs(4))
}

/// Reads a batch job's results from a position on.
pub fn read_job(machine: &Machine, job: &str, after: usize) -> Answer {
    let lines = keyed(&format!("read-{job}"), &[]);
    let head = http::head("GET", &format!("/-/lots/{job}?after={after}"), HOST, &lines, b"");
    http::call(machine.front, &head, b"", Duration::from_secs(3))
}

/// Head lines of a replica's answer to a request.
pub fn replica_head(request: &Request, content_type: &str) -> String {
    format!(
        "parsleybeam-request-id: {}\r\nparsleybeam-response-signature: 3e1b.07.5a2\r\n\
         content-type: {content_type}\r\n",
        request.header("parsleybeam-request-id")
    )
}
