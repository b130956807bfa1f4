//! The cases of the third review that are scripts: `cases-3 NAME FOLDER`, from the
//! repository's root. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.

#[path = "fleet-3.rs"]
mod fleet;

use std::collections::HashMap;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fleet::{
    Client, Fleet, JADRANKA, Record, VESIVERKKO, Versioned, call, caller_headers, get, job,
    read_head, read_to_break,
};

/// Kept connections with online requests.
const ONLINE_CLIENTS: usize = 8;
/// Requests on kept connections that may be lost.
const MAX_LOST: usize = 3;
/// Job that is read.
const JOB: &str = "7c41e09b52d6a3f8";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: cases-3 NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let root = std::env::current_dir().unwrap_or_else(|_| PathBuf::from("."));
    let outcome = match name.as_str() {
        "extra-refusals" => extra_refusals(&root, trouble, &record),
        "versions" => versions(&root, trouble, &record),
        "slow-readers" => slow_readers(&root, trouble, &record),
        "slow-replicas" => slow_replicas(&root, trouble, &record),
        "large-job" => large_job(&root, trouble, &record),
        _ => Err(io::Error::other("no such case")),
    };
    let (line, code) = match outcome {
        Ok(None) => ("the rule held".to_owned(), 0),
        Ok(Some(broken)) => (format!("the rule was broken: {broken}"), 1),
        Err(error) => (format!("the case couldn't run: {error}"), 2),
    };
    record.add(&line);
    println!("{line}");
    record.write(&Path::new(folder).join("record.txt"));
    ExitCode::from(code)
}

/// How the rule was broken; none if it held.
type Outcome = io::Result<Option<String>>;

/// The platform's limit of memory: a process over it is killed, and started again after
/// half a second. Pages of files and what the kernel holds don't count here.
struct Guard {
    stop: Arc<AtomicBool>,
    killed: Arc<Mutex<Vec<(String, u64)>>>,
    peaks: Arc<Vec<AtomicU64>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Guard {
    fn new(fleet: &Fleet) -> Self {
        let (vms, root, record) = (fleet.vms.clone(), fleet.root.clone(), fleet.record.clone());
        let memory_mb = fleet.site.memory_mb;
        let peaks: Arc<Vec<AtomicU64>> = Arc::new(vms.iter().map(|_| AtomicU64::new(0)).collect());
        let (stop, killed) = (Arc::<AtomicBool>::default(), Arc::<Mutex<Vec<_>>>::default());
        let (stopped, kills, tops) = (stop.clone(), killed.clone(), peaks.clone());
        let thread = thread::spawn(move || {
            let mut restarts: Vec<Option<Instant>> = vec![None; vms.len()];
            while !stopped.load(Ordering::Relaxed) {
                for (index, vm) in vms.iter().enumerate() {
                    if restarts[index].is_some_and(|at| at <= Instant::now()) {
                        restarts[index] = None;
                        let _ = vm.start(&root);
                        record.add(format!("{} started again", vm.name));
                    }
                    let bytes = vm.memory();
                    tops[index].fetch_max(bytes, Ordering::Relaxed);
                    if bytes > memory_mb * 1_000_000 {
                        vm.kill();
                        restarts[index] = Some(Instant::now() + Duration::from_millis(500));
                        record.add(format!(
                            "{} uses {bytes} bytes of memory, over {memory_mb} MB: killed",
                            vm.name
                        ));
                        kills.lock().unwrap().push((vm.name.clone(), bytes));
                    }
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        Self { stop, killed, peaks, thread: Some(thread) }
    }

    /// The VMs that were killed, with their memory.
    fn end(&mut self, record: &Record) -> Vec<(String, u64)> {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        let megabytes =
            |peak: &AtomicU64| format!("{:.1}", peak.load(Ordering::Relaxed) as f64 / 1e6);
        let peaks: Vec<String> = self.peaks.iter().map(megabytes).collect();
        record.add(format!("most memory of each entry VM, MB: {}", peaks.join(" ")));
        self.killed.lock().unwrap().clone()
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Online requests on kept connections of the first entry VM, one at a time each. The first
/// request of a connection doesn't count.
struct Online {
    lost: Arc<AtomicUsize>,
    done: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Online {
    fn start(fleet: &Fleet) -> Self {
        // Long enough that each client has a request in progress at any time.
        fleet.work.work_ms.store(600, Ordering::Relaxed);
        let (lost, done) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let stop = Arc::<AtomicBool>::default();
        let address = fleet.vms[0].caller;
        let client = |client: usize| {
            let (lost, done, stop) = (lost.clone(), done.clone(), stop.clone());
            let record = fleet.record.clone();
            thread::spawn(move || {
                let (mut number, mut kept) = (0, None);
                while !stop.load(Ordering::Relaxed) {
                    let was_kept = kept.is_some();
                    let connected = match kept.take() {
                        Some(kept) => Ok(kept),
                        None => Client::connect(address, Duration::from_secs(5)),
                    };
                    let Ok(mut connection) = connected else {
                        thread::sleep(Duration::from_millis(200));
                        continue;
                    };
                    number += 1;
                    let id = format!("0a{client:04x}{number:010x}");
                    record.add(format!("sent {id}, connection kept: {was_kept}"));
                    let headers = caller_headers(&id);
                    let sent = connection.send("POST", "/plain/1", &headers, b"a question");
                    match sent.and_then(|()| connection.receive()) {
                        Ok((head, _)) => {
                            record.add(format!("answered {id} {}", head.status()));
                            done.fetch_add(1, Ordering::Relaxed);
                            kept = Some(connection);
                        }
                        Err(error) => {
                            record.add(format!("closed without an answer {id}: {error}"));
                            if was_kept && record.has(&format!("runs {id} ")) {
                                lost.fetch_add(1, Ordering::Relaxed);
                            }
                        }
                    }
                }
            })
        };
        let threads = (0..ONLINE_CLIENTS).map(client).collect();
        Self { lost, done, stop, threads }
    }

    /// Ends the clients. The rule is broken if more than `MAX_LOST` requests on kept connections
    /// were passed on to a replica and got no answer.
    fn end(self, guard: &mut Guard, record: &Record) -> Option<String> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let (lost, done) = (self.lost.load(Ordering::Relaxed), self.done.load(Ordering::Relaxed));
        let killed = guard.end(record);
        record.add(format!("online requests: {done} answered, {lost} lost"));
        let (name, bytes) = killed.first()?;
        (lost > MAX_LOST).then(|| {
            format!(
                "LOST: {name} used {:.1} MB and was killed, {} kills in all; {lost} \
                 requests on kept connections were passed on to sound replicas and got no answer",
                *bytes as f64 / 1e6,
                killed.len()
            )
        })
    }
}

fn submit(fleet: &Fleet, vm: usize, name: &str, body: &[u8]) -> io::Result<u16> {
    let headers = caller_headers(name) + "Content-Type: application/json\r\n";
    fleet.record.add(format!("sent job {name} of {} bytes to {}", body.len(), fleet.vms[vm].name));
    let limit = Duration::from_millis(4_000);
    let (head, _) = call(fleet.vms[vm].caller, "POST", "/batch/7c41e0", &headers, body, limit)?;
    fleet.record.add(format!("answered job {name} {}", head.status()));
    Ok(head.status())
}

/// Items as long as the site's longest.
fn long_items(fleet: &Fleet) {
    fleet.work.item_events.store(fleet.site.events, Ordering::Relaxed);
    fleet.work.event_bytes.store(fleet.site.event_bytes, Ordering::Relaxed);
    fleet.work.event_us.store(3_000, Ordering::Relaxed);
}

/// Replicas that send an extra answer after some of their answers: a refusal that names no
/// request, at the point where the next answer is expected.
fn extra_refusals(root: &Path, trouble: bool, record: &Record) -> Outcome {
    // Two in five requests of the site may run once; all together come 42 times a second.
    const CLIENTS: u64 = 14;
    const PAUSE: Duration = Duration::from_millis(330);
    // Six in ten replicas spoil three in a hundred of their answers, for 5 s each time.
    const FAULTY: usize = 5;
    const EXTRA_EVERY: usize = 34;
    let fleet = Fleet::start(root, 3, 9, &JADRANKA, record)?;
    fleet.work.faulty.store(FAULTY, Ordering::Relaxed);
    let ends = Instant::now() + Duration::from_secs(90);
    let client = |client: u64| {
        let (record, address) = (record.clone(), fleet.vms[client as usize % 3].caller);
        thread::spawn(move || {
            thread::sleep(PAUSE * client as u32 / CLIENTS as u32);
            let (mut number, mut kept) = (0_u64, None);
            while Instant::now() < ends {
                number += 1;
                let id = format!("0e{client:04x}{number:010x}");
                let target = if number % 5 < 2 { "/once/1" } else { "/plain/1" };
                record.add(format!("sent {id} {target}"));
                let connected = match kept.take() {
                    Some(kept) => Ok(kept),
                    None => Client::connect(address, Duration::from_secs(6)),
                };
                let answered = connected.and_then(|mut connection| {
                    connection.send("POST", target, &caller_headers(&id), b"a question")?;
                    let (head, _) = connection.receive()?;
                    Ok((connection, head.status()))
                });
                match answered {
                    Ok((connection, status)) => {
                        record.add(format!("answered {id} {status}"));
                        kept = Some(connection);
                    }
                    Err(error) => record.add(format!("no answer {id}: {error}")),
                }
                thread::sleep(PAUSE);
            }
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    while trouble && Instant::now() + Duration::from_secs(8) < ends {
        fleet.work.extra_every.store(EXTRA_EVERY, Ordering::Relaxed);
        record.add("some replicas send extra answers");
        thread::sleep(Duration::from_secs(5));
        fleet.work.extra_every.store(0, Ordering::Relaxed);
        record.add("no replica sends extra answers");
        thread::sleep(Duration::from_secs(3));
    }
    for client in clients {
        let _ = client.join();
    }
    let lines = record.lines();
    let named = |line: &str, word: &str| {
        let rest = line.split_once(&format!(" {word} "))?.1;
        rest.split(' ').next().map(str::to_owned)
    };
    let mut runs: HashMap<String, usize> = HashMap::new();
    for id in lines.iter().filter(|line| line.contains(" /once/")).filter_map(|l| named(l, "runs"))
    {
        *runs.entry(id).or_default() += 1;
    }
    let twice = runs.values().filter(|count| **count > 1).count();
    let refused = lines.iter().filter(|line| {
        let is_promise = [" 503", " 429", " 408", " 421"].iter().any(|end| line.ends_with(end));
        is_promise && named(line, "answered").is_some_and(|id| runs.contains_key(&id))
    });
    let refused = refused.count();
    record.add(format!(
        "{} requests that may run once ran; {twice} ran more than once; {refused} ran and were \
         answered as not run",
        runs.len()
    ));
    Ok((twice > 0).then(|| format!("TWICE: {twice} requests that may run once ran more than once")))
}

/// Replicas that crash, are back under their ids with another version of their software, and
/// crash once more.
fn versions(root: &Path, trouble: bool, record: &Record) -> Outcome {
    const REPLICAS: usize = 9;
    // Two in nine replicas crash at a time.
    const CRASHING: usize = 2;
    const CLIENTS: u64 = 36;
    const PAUSE: Duration = Duration::from_millis(150);
    const DOWN: Duration = Duration::from_millis(400);
    const UP: Duration = Duration::from_millis(700);
    const EPISODES: usize = 8;
    let fleet = Fleet::start(root, 3, 0, &JADRANKA, record)?;
    let zones = ["split-luka", "zadar-kali", "sibenik-obala"];
    let replicas: Vec<Arc<Versioned>> = (0..REPLICAS)
        .map(|index| {
            let id = format!("i-7f3a91c{index:x}");
            Versioned::new(&id, zones[index % 3], &fleet.store, record)
        })
        .collect();
    for replica in &replicas {
        replica.start(1)?;
    }
    let beating = replicas.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            thread::sleep(Duration::from_millis(1_200));
            beating.iter().for_each(|replica| replica.register(sequence));
        }
    });
    thread::sleep(Duration::from_secs(3));
    let stop = Arc::<AtomicBool>::default();
    let (streams, mixed) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let client = |client: u64| {
        let (record, address) = (record.clone(), fleet.vms[client as usize % 3].caller);
        let (stop, streams, mixed) = (stop.clone(), streams.clone(), mixed.clone());
        thread::spawn(move || {
            thread::sleep(PAUSE * client as u32 / CLIENTS as u32);
            let (mut number, mut kept) = (0_u64, None);
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("0f{client:04x}{number:010x}");
                record.add(format!("sent {id}"));
                let connected = match kept.take() {
                    Some(kept) => Ok(kept),
                    None => Client::connect(address, Duration::from_secs(6)),
                };
                let answered = connected.and_then(|mut connection: Client| {
                    // No two requests are alike: those that crash replicas are another matter.
                    connection.send("POST", "/stream/1", &caller_headers(&id), id.as_bytes())?;
                    let head = read_head(&mut connection.reader)?;
                    let (body, whole) = read_to_break(&mut connection.reader, &head);
                    Ok((connection, head.status(), body, whole))
                });
                match answered {
                    Ok((connection, status, body, whole)) => {
                        let text = String::from_utf8_lossy(&body).into_owned();
                        let mut made_by: Vec<&str> = text
                            .lines()
                            .filter_map(|line| line.strip_prefix("data: ")?.split(' ').next())
                            .collect();
                        made_by.dedup();
                        let by = made_by.join(" ");
                        record.add(format!("answered {id} {status}, whole: {whole}, by {by}"));
                        streams.fetch_add(1, Ordering::Relaxed);
                        if made_by.len() > 1 {
                            mixed.fetch_add(1, Ordering::Relaxed);
                        }
                        kept = whole.then_some(connection);
                    }
                    Err(error) => record.add(format!("no answer {id}: {error}")),
                }
                thread::sleep(PAUSE);
            }
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    thread::sleep(Duration::from_secs(3));
    for episode in 0..EPISODES {
        let crashing = |at: usize| &replicas[(episode * CRASHING + at) % REPLICAS];
        if trouble {
            let version = 2 + (episode * CRASHING / REPLICAS) as u32;
            (0..CRASHING).for_each(|at| crashing(at).crash());
            thread::sleep(DOWN);
            for at in 0..CRASHING {
                crashing(at).start(version)?;
            }
            thread::sleep(UP);
            (0..CRASHING).for_each(|at| crashing(at).crash());
            thread::sleep(DOWN);
            for at in 0..CRASHING {
                crashing(at).start(version)?;
            }
        }
        thread::sleep(Duration::from_secs(7));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let (streams, mixed) = (streams.load(Ordering::Relaxed), mixed.load(Ordering::Relaxed));
    record.add(format!("{streams} streams, {mixed} with events of two versions"));
    Ok((mixed > 2).then(|| format!("ORDER: {mixed} streams hold events of two versions")))
}

/// Clients that read the results of a finished job slowly.
fn slow_readers(root: &Path, trouble: bool, record: &Record) -> Outcome {
    const READERS: usize = 200;
    // A client's read waits 1 s for results, and the client 1.5 s longer.
    const PATIENCE: Duration = Duration::from_millis(2_500);
    let fleet = Fleet::start(root, 3, 9, &VESIVERKKO, record)?;
    long_items(&fleet);
    submit(&fleet, 0, JOB, &job(10, "e5b2907c14da", &[b'q'; 1_000], 2_874))?;
    let target = format!("/-/lots/{JOB}?after=0");
    let until = Instant::now() + Duration::from_secs(18);
    loop {
        let (head, page) = get(fleet.vms[0].caller, &target, &caller_headers("ab01"))?;
        let next = next_position(&page);
        if head.status() == 200 && next >= 8 {
            record.add(format!("a page of {next} results has {} bytes", page.len()));
            break;
        }
        if Instant::now() > until {
            return Err(io::Error::other("the job isn't done"));
        }
        thread::sleep(Duration::from_millis(500));
    }
    let mut guard = Guard::new(&fleet);
    let online = Online::start(&fleet);
    thread::sleep(Duration::from_secs(2));
    let address = fleet.vms[0].caller;
    let ends = Instant::now() + Duration::from_secs(8);
    let reader = |reader: usize| {
        let (target, record) = (target.clone(), record.clone());
        thread::spawn(move || {
            // All begin within half a second, and read about twice a second.
            thread::sleep(Duration::from_millis(500 * reader as u64 / READERS as u64));
            while Instant::now() < ends {
                let began = Instant::now();
                let headers =
                    caller_headers(&format!("0b{reader:06x}")) + "Parsleybeam-Poll-Wait: 1000\r\n";
                let read = || -> io::Result<usize> {
                    let mut client = Client::connect(address, PATIENCE)?;
                    client.send("GET", &target, &headers, b"")?;
                    if !trouble {
                        return client.receive().map(|(_, body)| body.len());
                    }
                    let (mut total, mut part) = (0, [0; 1_000]);
                    while began.elapsed() < PATIENCE {
                        client.writer.read_exact(&mut part)?;
                        total += part.len();
                        thread::sleep(Duration::from_millis(100));
                    }
                    Ok(total)
                };
                match read() {
                    Ok(bytes) => record.add(format!("reader {reader} read {bytes} bytes")),
                    Err(error) => record.add(format!("reader {reader}: {error}")),
                }
                thread::sleep(Duration::from_millis(500).saturating_sub(began.elapsed()));
            }
        })
    };
    let readers: Vec<_> = (0..READERS).map(reader).collect();
    for reader in readers {
        let _ = reader.join();
    }
    Ok(online.end(&mut guard, record))
}

/// Replicas that read large requests slowly.
fn slow_replicas(root: &Path, trouble: bool, record: &Record) -> Outcome {
    const REQUESTS: usize = 40;
    // Below `max_body_bytes` of the manifest, 4,194,304.
    const BODY_BYTES: usize = 3_500_000;
    const READ_BYTES_PER_S: usize = 500_000;
    let fleet = Fleet::start(root, 3, 9, &JADRANKA, record)?;
    let mut guard = Guard::new(&fleet);
    let online = Online::start(&fleet);
    thread::sleep(Duration::from_secs(2));
    if trouble {
        fleet.work.read_bytes_per_s.store(READ_BYTES_PER_S, Ordering::Relaxed);
    }
    let address = fleet.vms[0].caller;
    let body = Arc::new(vec![b'b'; BODY_BYTES]);
    let client = |client: usize| {
        let (body, record) = (body.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(100 * client as u64));
            let id = format!("0c{client:06x}");
            record.add(format!("sent {id} of {} bytes", body.len()));
            let limit = Duration::from_secs(5);
            match call(address, "POST", "/plain/2", &caller_headers(&id), &body, limit) {
                Ok((head, _)) => record.add(format!("answered {id} {}", head.status())),
                Err(error) => record.add(format!("no answer {id}: {error}")),
            }
        })
    };
    let clients: Vec<_> = (0..REQUESTS).map(client).collect();
    for client in clients {
        let _ = client.join();
    }
    Ok(online.end(&mut guard, record))
}

/// A job of the largest number of items, read at all entry VMs while it runs.
fn large_job(root: &Path, trouble: bool, record: &Record) -> Outcome {
    const READERS: usize = 9;
    let fleet = Fleet::start(root, 3, 9, &JADRANKA, record)?;
    long_items(&fleet);
    let mut guard = Guard::new(&fleet);
    let online = Online::start(&fleet);
    thread::sleep(Duration::from_secs(2));
    let items = if trouble { 200 } else { 10 };
    submit(&fleet, 0, JOB, &job(items, "e5b2907c14da", &[b'q'; 1_000], 2_874))?;
    let ends = Instant::now() + Duration::from_secs(45);
    let reader = |reader: usize| {
        let (record, address) = (record.clone(), fleet.vms[reader % 3].caller);
        thread::spawn(move || {
            let (mut after, mut reads) = (0, 0);
            while Instant::now() < ends {
                reads += 1;
                let from = if reads % 5 == 0 { after / 2 } else { after };
                let target = format!("/-/lots/{JOB}?after={from}");
                let headers = caller_headers(&format!("0d{reader:02x}{reads:06x}"))
                    + "Parsleybeam-Poll-Wait: 1000\r\n";
                match get(address, &target, &headers) {
                    Ok((head, page)) => {
                        let next = next_position(&page);
                        record.add(format!(
                            "reader {reader} from {from}: {} to {next}, {} bytes",
                            head.status(),
                            page.len()
                        ));
                        after = after.max(next);
                    }
                    Err(error) => record.add(format!("reader {reader} from {from}: {error}")),
                }
                thread::sleep(Duration::from_millis(500));
            }
        })
    };
    let readers: Vec<_> = (0..READERS).map(reader).collect();
    for reader in readers {
        let _ = reader.join();
    }
    Ok(online.end(&mut guard, record))
}

/// `next` of a page of results; 0 if it has none.
fn next_position(page: &[u8]) -> usize {
    let text = String::from_utf8_lossy(page);
    let next = text.split("\"next\":").nth(1).unwrap_or_default();
    next.split([',', '}']).next().unwrap_or_default().parse().unwrap_or(0)
}
