//! Stand-ins and drivers of cases 6 to 10, with the standard library alone.
//!
//! `standin replica ...` is a replica in a process of its own; `standin drive CASE DIR` starts
//! the project's programs, a store and replicas, sends requests and judges what clients and
//! replicas have seen.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval at which a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Silence after which a replica's entry is removed: three heartbeat intervals.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);
/// Answer time of the store.
const STORE_DELAY: Duration = Duration::from_millis(4);
/// Time after which a driver gives up; a script may run for 120 s.
const LONGEST: Duration = Duration::from_secs(112);
const HOST: &str = "host.example";
const KEY: &str = "key-of-the-tenant";
const SERVICE: &str = "writer";

/// Processes that were started, for the case that a driver gives up.
fn started() -> &'static Mutex<Vec<u32>> {
    static STARTED: OnceLock<Mutex<Vec<u32>>> = OnceLock::new();
    STARTED.get_or_init(Mutex::default)
}

fn spawn(command: &mut Command) -> Child {
    let child = command.spawn().expect("a process starts");
    started().lock().expect("no panic").push(child.id());
    child
}

/// Forgets a process that has ended.
fn forget(child: &Child) {
    started().lock().expect("no panic").retain(|id| *id != child.id());
}

/// Ends all processes that were started, and the driver, if it takes too long.
fn watch() {
    thread::spawn(|| {
        thread::sleep(LONGEST);
        for id in started().lock().expect("no panic").iter() {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        std::process::exit(2);
    });
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// A port that is free for TCP and UDP, below those that outgoing connections take.
fn free_port() -> u16 {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let first = std::process::id() as usize * 97;
    loop {
        let next = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 12_000 + ((first + next) % 18_000) as u16;
        let address = ("127.0.0.1", port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
}

// ---- JSON and base64 ----

#[derive(Clone, Debug, PartialEq)]
enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Self::skip(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    match bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Object(fields));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Text(name) = Self::value(bytes, at)? else { return None };
                            Self::skip(bytes, at);
                            *at += 1;
                            fields.push((name, Self::value(bytes, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    match bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match *bytes.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return String::from_utf8(text).ok().map(Json::Text);
                        }
                        b'\\' => {
                            let escaped = *bytes.get(*at + 1)?;
                            *at += 2;
                            match escaped {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'r' => text.push(b'\r'),
                                b'u' => {
                                    let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                    let code = u32::from_str_radix(hex, 16).ok()?;
                                    let letter = char::from_u32(code)?;
                                    text.extend(letter.to_string().bytes());
                                    *at += 4;
                                }
                                other => text.push(other),
                            }
                        }
                        byte => {
                            text.push(byte);
                            *at += 1;
                        }
                    }
                }
            }
            b't' => {
                *at += 4;
                Some(Json::Bool(true))
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool(false))
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let from = *at;
                while bytes.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                    *at += 1;
                }
                std::str::from_utf8(&bytes[from..*at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn get(&self, name: &str) -> Option<&Json> {
        let Json::Object(fields) = self else { return None };
        fields.iter().find(|(field, _)| field == name).map(|(_, value)| value)
    }

    fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Json::Text(text)) => text,
            _ => "",
        }
    }

    fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group
            .iter()
            .enumerate()
            .fold(0_u32, |bits, (index, byte)| bits | u32::from(*byte) << (16 - 8 * index));
        for index in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= group.len() { letter } else { '=' });
        }
    }
    text
}

// ---- HTTP ----

struct Request {
    method: String,
    target: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl Request {
    fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut words = line.split_whitespace();
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let headers = read_headers(reader)?;
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        Ok(Some(Request { method, target, headers, body }))
    }

    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        unescape(pair.unwrap_or_default())
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// What a client has read of an answer.
#[derive(Clone, Debug, Default)]
struct Answer {
    status: u16,
    headers: HashMap<String, String>,
    body: Vec<u8>,
    /// Whether it ended as its framing says.
    complete: bool,
}

impl Answer {
    fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and reads its answer; status 0 if there is none.
fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Answer {
    let mut answer = Answer::default();
    // Whatever breaks off leaves what was read so far.
    let _ = exchange(address, method, target, headers, body, timeout, &mut answer);
    answer
}

fn exchange(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    answer.headers = read_headers(&mut reader)?;
    answer.status = status;
    if answer.headers.get("transfer-encoding").is_some_and(|value| value == "chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return Ok(()) };
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                answer.complete = true;
                return Ok(());
            }
            answer.body.extend_from_slice(&chunk[..size]);
        }
    }
    match answer.headers.get("content-length").and_then(|text| text.parse::<usize>().ok()) {
        Some(length) => {
            let mut buffer = vec![0; length];
            reader.read_exact(&mut buffer)?;
            answer.body = buffer;
        }
        None => {
            reader.read_to_end(&mut answer.body)?;
        }
    }
    answer.complete = true;
    Ok(())
}

fn respond(out: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    out.write_all(head.as_bytes())
}

// ---- the platform's store ----

#[derive(Clone, Debug)]
struct Item {
    /// In base64.
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct Keys {
    revision: u64,
    items: BTreeMap<String, Item>,
    beats: HashMap<String, Instant>,
}

impl Keys {
    fn put(&mut self, key: &str, value: String) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items.insert(key.to_owned(), Item { value, revision, created });
    }

    fn json(&self, key: &str, item: &Item) -> String {
        let Item { value, revision, created } = item;
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0"
        )
    }

    fn expire(&mut self) {
        let late: Vec<String> = self
            .beats
            .iter()
            .filter(|(_, at)| at.elapsed() > ENTRY_LIFETIME)
            .map(|(key, _)| key.clone())
            .collect();
        for key in late {
            self.beats.remove(&key);
            self.items.remove(&key);
            self.revision += 1;
        }
    }
}

#[derive(Clone)]
struct Store {
    address: SocketAddr,
    keys: Arc<Mutex<Keys>>,
    /// Whether it answers each call with 503: nothing was done.
    is_down: Arc<AtomicBool>,
}

impl Store {
    fn start() -> Store {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("the store listens");
        let address = listener.local_addr().expect("an address");
        let keys = Arc::<Mutex<Keys>>::default();
        let is_down = Arc::<AtomicBool>::default();
        let store = Store { address, keys, is_down };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || drop(serve_store(stream, &store)));
            }
        });
        store
    }

    /// Writes a key as the operator does.
    fn put(&self, key: &str, value: &str) {
        self.keys.lock().expect("no panic").put(key, base64(value.as_bytes()));
    }

    fn count(&self, prefix: &str) -> usize {
        let keys = self.keys.lock().expect("no panic");
        keys.items.keys().filter(|key| key.starts_with(prefix)).count()
    }
}

fn serve_store(stream: TcpStream, store: &Store) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = Request::read(&mut reader)? {
        thread::sleep(STORE_DELAY);
        if store.is_down.load(Ordering::SeqCst) {
            respond(&mut out, "503 Service Unavailable", "{}")?;
            continue;
        }
        let (status, body) = answer_store(&request, &mut store.keys.lock().expect("no panic"));
        respond(&mut out, status, &body)?;
    }
    Ok(())
}

fn answer_store(request: &Request, keys: &mut Keys) -> (&'static str, String) {
    keys.expire();
    match (request.method.as_str(), request.path()) {
        ("GET", "/-/kv-key") => {
            let key = request.query("key");
            match keys.items.get(&key) {
                Some(item) => {
                    let json = keys.json(&key, item);
                    ("200 OK", format!("{json},\"store_revision\":{}}}", keys.revision))
                }
                None => ("404 Not Found", "{}".to_owned()),
            }
        }
        ("GET", "/-/kv-range") => {
            let (prefix, after) = (request.query("path_prefix"), request.query("after"));
            let matching: Vec<_> = keys
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                .collect();
            let (mut bytes, mut items) = (0, Vec::new());
            for (key, item) in &matching {
                bytes += key.len() + item.value.len();
                if items.len() == 500 || bytes > 1 << 20 && !items.is_empty() {
                    break;
                }
                items.push(keys.json(key, item) + "}");
            }
            let more = items.len() < matching.len();
            let list = items.join(",");
            let revision = keys.revision;
            let body =
                format!("{{\"items\":[{list}],\"has_more\":{more},\"store_revision\":{revision}}}");
            ("200 OK", body)
        }
        ("POST", "/-/kv-txn") => transact(&String::from_utf8_lossy(&request.body), keys),
        // How this file's replicas write their entries.
        ("POST", "/replica/beat") => {
            let key = request.query("key");
            let value = base64(&request.body);
            if keys.items.get(&key).is_none_or(|item| item.value != value) {
                keys.put(&key, value);
            }
            keys.beats.insert(key, Instant::now());
            ("200 OK", "{}".to_owned())
        }
        _ => ("404 Not Found", "{}".to_owned()),
    }
}

fn transact(body: &str, keys: &mut Keys) -> (&'static str, String) {
    let Some(txn) = Json::parse(body) else { return ("400 Bad Request", "{}".to_owned()) };
    let expected = txn.list("expected_revision");
    let holds = |row: &Json| {
        keys.items.get(row.text("key")).map_or(0, |item| item.revision) == row.number("revision")
    };
    if !expected.iter().all(holds) {
        let current = expected.iter().filter_map(|row| {
            let key = row.text("key");
            keys.items.get(key).map(|item| keys.json(key, item) + "}")
        });
        let current: Vec<String> = current.collect();
        return ("412 Precondition Failed", format!("{{\"items\":[{}]}}", current.join(",")));
    }
    keys.revision += 1;
    let revision = keys.revision;
    for put in txn.list("puts") {
        let (key, value) = (put.text("key").to_owned(), put.text("value").to_owned());
        let created = keys.items.get(&key).map_or(revision, |item| item.created);
        keys.items.insert(key, Item { value, revision, created });
    }
    for key in txn.list("remove") {
        if let Json::Text(key) = key {
            keys.items.remove(key);
        }
    }
    ("200 OK", format!("{{\"revision\":{revision}}}"))
}

// ---- a replica ----

/// How a replica answers.
#[derive(Clone)]
struct Manner {
    id: String,
    address: SocketAddr,
    store: SocketAddr,
    /// Whether answers have a framing, or end with their connection.
    framed: bool,
    events: u64,
    prefill: Duration,
    gap: Duration,
    /// Part of prompts under which the replica crashes.
    bad: String,
    /// Version of its software.
    version: String,
}

const SLOTS: usize = 8;
const QUEUE: usize = 24;

fn log(line: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{} {line}", unix_ms());
    let _ = out.flush();
}

/// Data of an event of an answer, by the first version of the replicas' software.
fn data(request_id: &str, event: u64) -> String {
    format!("word {event} of {request_id}")
}

/// What a later version writes after the data of its events.
const LATER: &str = " by v2";

fn run_replica(arguments: &[String]) {
    let text = |name: &str| {
        let at = arguments.iter().position(|argument| argument == name);
        at.and_then(|at| arguments.get(at + 1)).cloned().unwrap_or_default()
    };
    let millis = |name: &str| Duration::from_millis(text(name).parse().unwrap_or(0));
    let manner = Manner {
        id: text("--id"),
        address: text("--address").parse().expect("an address"),
        store: text("--store").parse().expect("an address"),
        framed: text("--framing") != "close",
        events: text("--events").parse().unwrap_or(40),
        prefill: millis("--prefill"),
        gap: millis("--gap"),
        bad: text("--bad"),
        version: text("--version"),
    };
    let listener = loop {
        match TcpListener::bind(manner.address) {
            Ok(listener) => break listener,
            Err(_) => thread::sleep(Duration::from_millis(20)),
        }
    };
    log(&format!("started {}", manner.id));
    let (beats, born) = (manner.clone(), unix_ms());
    thread::spawn(move || {
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"porto\",\"version\":\"{}\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold_left_ms\":0,\"born\":{born},\"sequence\":1}}",
            beats.address, beats.version
        );
        let target = format!("/replica/beat?key=servers/{}", beats.id);
        loop {
            call(beats.store, "POST", &target, &[], entry.as_bytes(), Duration::from_secs(1));
            thread::sleep(HEARTBEAT);
        }
    });
    let running = Arc::new(AtomicUsize::new(0));
    let waiting = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming().flatten() {
        let (manner, running, waiting) = (manner.clone(), running.clone(), waiting.clone());
        thread::spawn(move || drop(serve_replica(stream, &manner, &running, &waiting)));
    }
}

/// Takes a place; whether there was one at once.
fn take(count: &AtomicUsize, most: usize) -> bool {
    let next = |now| (now < most).then_some(now + 1);
    count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, next).is_ok()
}

fn serve_replica(
    stream: TcpStream,
    manner: &Manner,
    running: &AtomicUsize,
    waiting: &AtomicUsize,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = Request::read(&mut reader)? {
        let id = request.header("parsleybeam-request-id").to_owned();
        let empty = |status: &str, more: &str| {
            format!(
                "HTTP/1.1 {status}\r\nParsleybeam-Request-Id: {id}\r\n{more}Content-Length: 0\r\n\r\n"
            )
        };
        let expected = request.header("parsleybeam-expect-instance");
        if !expected.is_empty() && expected != manner.id {
            let served_by = format!("Parsleybeam-Served-By: {}\r\n", manner.id);
            out.write_all(empty("421 Misdirected Request", &served_by).as_bytes())?;
            continue;
        }
        if id.is_empty() {
            let answer = empty("400 Bad Request", "Parsleybeam-Not-Executed: 1\r\n");
            out.write_all(answer.as_bytes())?;
            continue;
        }
        if !take(running, SLOTS) {
            if !take(waiting, QUEUE) {
                let answer = empty("503 Service Unavailable", "Parsleybeam-Not-Executed: 1\r\n");
                out.write_all(answer.as_bytes())?;
                continue;
            }
            while !take(running, SLOTS) {
                thread::sleep(Duration::from_millis(2));
            }
            waiting.fetch_sub(1, Ordering::SeqCst);
        }
        let outcome = run(&mut out, &request, &id, manner);
        running.fetch_sub(1, Ordering::SeqCst);
        if let Err(error) = &outcome {
            log(&format!("dropped {id} at {}: {error}", manner.id));
        }
        outcome?;
        if !manner.framed {
            return Ok(());
        }
    }
    Ok(())
}

fn run(out: &mut TcpStream, request: &Request, id: &str, manner: &Manner) -> io::Result<()> {
    let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let prompt = request.header("parsleybeam-prompt-prefix");
    let mut shared: Vec<&str> = prompt.split(',').collect();
    shared.pop();
    let is_bad = !manner.bad.is_empty()
        && shared.iter().any(|part| part.split(':').next() == Some(&manner.bad));
    log(&format!("runs {id} at {} {} after {last}", manner.id, manner.version));
    let framing = if manner.framed { "Transfer-Encoding: chunked" } else { "Connection: close" };
    let head = format!(
        "HTTP/1.1 200 OK\r\nParsleybeam-Request-Id: {id}\r\n\
         Parsleybeam-Response-Signature: 3e1b.{id}\r\nContent-Type: text/event-stream\r\n\
         {framing}\r\n\r\n"
    );
    out.write_all(head.as_bytes())?;
    if is_bad {
        log(&format!("crashes {id} at {}", manner.id));
        std::process::abort();
    }
    if last < manner.events {
        thread::sleep(manner.prefill);
    }
    for event in last + 1..=manner.events {
        let by = if manner.version == "v2" { LATER } else { "" };
        let text = format!("id: {event}\ndata: {}{by}\n\n", data(id, event));
        let text = if manner.framed { format!("{:x}\r\n{text}\r\n", text.len()) } else { text };
        out.write_all(text.as_bytes())?;
        log(&format!("event {event} of {id} at {} {}", manner.id, manner.version));
        thread::sleep(manner.gap);
    }
    if manner.framed {
        out.write_all(b"0\r\n\r\n")?;
    }
    log(&format!("ended {id} at {}", manner.id));
    Ok(())
}

// ---- the deployment ----

/// Shape of the replicas of a case.
#[derive(Clone, Copy)]
struct Shape {
    framing: &'static str,
    events: u64,
    prefill_ms: u64,
    gap_ms: u64,
    bad: &'static str,
    /// Number of replicas of version v1; the others have v2.
    old: usize,
}

struct Replica {
    child: Child,
    id: String,
    address: SocketAddr,
    log: PathBuf,
    /// When it was seen to have ended by itself.
    ended: Option<Instant>,
}

struct Vm {
    child: Child,
    caller: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

/// All processes of a case; they end with it.
struct Site {
    folder: PathBuf,
    store: Store,
    shape: Shape,
    replicas: Vec<Replica>,
    vms: Vec<Vm>,
    boots: usize,
    record: Arc<Mutex<File>>,
}

impl Drop for Site {
    fn drop(&mut self) {
        let replicas = self.replicas.iter_mut().map(|replica| &mut replica.child);
        for child in replicas.chain(self.vms.iter_mut().map(|vm| &mut vm.child)) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Site {
    fn start(folder: &Path, record: &Path, shape: Shape, replicas: usize, vms: usize) -> Site {
        let record = File::create(record).expect("record.txt can be written");
        let mut site = Site {
            folder: folder.to_owned(),
            store: Store::start(),
            shape,
            replicas: Vec::new(),
            vms: Vec::new(),
            boots: 0,
            record: Arc::new(Mutex::new(record)),
        };
        site.store.put("op/config", &manifest(1));
        for index in 0..replicas {
            let address = SocketAddr::from(([127, 0, 0, 1], free_port()));
            let id = format!("i-{:04x}", 0xa001 + index);
            let version = if index < shape.old { "v1" } else { "v2" };
            let replica = site.boot_as(&id, address, version);
            site.replicas.push(replica);
        }
        for index in 0..vms {
            site.start_vm(index);
        }
        site.wait("replicas are registered", |site| site.store.count("servers/") == replicas);
        site.wait("all entry VMs are members", |site| site.store.count("vm/") == vms);
        for index in 0..vms {
            site.wait("an entry VM is ready", |site| site.is_ready(index));
        }
        // Longer than contact_ms: all machines are in touch.
        thread::sleep(Duration::from_millis(3_500));
        site
    }

    fn is_ready(&self, index: usize) -> bool {
        let timeout = Duration::from_millis(500);
        call(self.vms[index].ready, "GET", "/-/readiness", &[], b"", timeout).status == 200
    }

    fn wait<C>(&self, what: &str, holds: C)
    where
        C: Fn(&Site) -> bool,
    {
        let until = Instant::now() + Duration::from_secs(20);
        while !holds(self) {
            if Instant::now() > until {
                self.note(&format!("not so in 20 s: {what}"));
                panic!("not so in 20 s: {what}");
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn note(&self, line: &str) {
        let mut record = self.record.lock().expect("no panic");
        let _ = writeln!(record, "{} {line}", unix_ms());
    }

    /// Boots a replica at an address, under a new identifier.
    fn boot(&mut self, address: SocketAddr) -> Replica {
        let id = format!("i-{:04x}", 0xa000 + self.boots + 1);
        self.boot_as(&id, address, "v1")
    }

    /// Boots a replica at an address, under an identifier, with a version of its software.
    fn boot_as(&mut self, id: &str, address: SocketAddr, version: &str) -> Replica {
        self.boots += 1;
        let path = self.folder.join(format!("boot-{}.log", self.boots));
        let log = File::create(&path).expect("a log");
        let Shape { framing, events, prefill_ms, gap_ms, bad, .. } = self.shape;
        let mut command = Command::new(std::env::current_exe().expect("a path"));
        command
            .arg("replica")
            .args(["--id", id, "--address", &address.to_string(), "--version", version])
            .args(["--store", &self.store.address.to_string(), "--framing", framing])
            .args(["--events", &events.to_string(), "--prefill", &prefill_ms.to_string()])
            .args(["--gap", &gap_ms.to_string(), "--bad", bad])
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null());
        let child = spawn(&mut command);
        Replica { child, id: id.to_owned(), address, log: path, ended: None }
    }

    /// Kills a replica with SIGKILL.
    fn kill_replica(&mut self, index: usize) {
        let replica = &mut self.replicas[index];
        let _ = replica.child.kill();
        let _ = replica.child.wait();
        forget(&replica.child);
        let line = format!("SIGKILL to replica {}", replica.id);
        self.note(&line);
    }

    /// Boots a replica that has ended again, at its address.
    fn reboot(&mut self, index: usize) {
        let address = self.replicas[index].address;
        let replica = self.boot(address);
        self.note(&format!(
            "replica {} is started at the address of {}",
            replica.id, self.replicas[index].id
        ));
        self.replicas[index] = replica;
    }

    /// Boots each replica again that has ended by itself `after` ago.
    fn reboot_ended(&mut self, after: Duration) {
        for index in 0..self.replicas.len() {
            let replica = &mut self.replicas[index];
            if replica.ended.is_none() && matches!(replica.child.try_wait(), Ok(Some(_))) {
                replica.ended = Some(Instant::now());
                forget(&replica.child);
            }
            if replica.ended.is_some_and(|ended| ended.elapsed() >= after) {
                self.reboot(index);
            }
        }
    }

    /// Boots a replica that has ended again, under its identifier, with another version.
    fn reboot_as(&mut self, index: usize, version: &str) {
        let (id, address) = (self.replicas[index].id.clone(), self.replicas[index].address);
        self.replicas[index] = self.boot_as(&id, address, version);
        self.note(&format!("replica {id} is started again, its software is {version}"));
    }

    fn start_vm(&mut self, index: usize) {
        let name = format!("edge-porto-{}", index + 1);
        let settings = self.folder.join(format!("{name}.json"));
        let log = self.folder.join(format!("{name}.log"));
        let port = |_| SocketAddr::from(([127, 0, 0, 1], free_port()));
        let [caller, ready, addresses, peer, relay] = std::array::from_fn(port);
        // As deploy/entry.json has it, with the values of limpa-norte.
        let text = format!(
            r#"{{ "vm": "{name}", "data_centre": "porto", "caller": "{caller}",
            "readiness": "{ready}", "addresses": "{addresses}", "peer": "{peer}",
            "relay": "{relay}", "key_value": "{}", "weight": 0.25, "memory_mb": 260,
            "bounds": {{ "configuration_ms": 2000, "withdrawal_ms": 5000,
            "leaving_upstream_ms": 2000, "contact_ms": 3000, "stop_s": 8,
            "addresses_lifetime_s": 5, "rate_window_s": 5, "rate_overrun": 0.1,
            "rate_slack": 20, "results_s": 120 }}, "rates": {{ "hand_over": true }},
            "log": {{ "format": "json" }} }}"#,
            self.store.address
        );
        std::fs::write(&settings, text).expect("settings can be written");
        let child = spawn_vm(&settings, &log);
        self.vms.push(Vm { child, caller, ready, settings, log });
    }

    /// Kills all entry VMs at once, and starts them again after `down`.
    fn kill_all_vms(&mut self, down: Duration) {
        for vm in &mut self.vms {
            let _ = vm.child.kill();
        }
        for vm in &mut self.vms {
            let _ = vm.child.wait();
            forget(&vm.child);
        }
        self.note("SIGKILL to all processes of the system");
        thread::sleep(down);
        for vm in &mut self.vms {
            vm.child = spawn_vm(&vm.settings, &vm.log);
        }
        self.note("all processes of the system are started again");
    }

    /// Lines of the logs of all replicas that have run, with their times.
    fn replica_lines(&self) -> Vec<(u128, String)> {
        let mut lines = Vec::new();
        for boot in 1..=self.boots {
            let path = self.folder.join(format!("boot-{boot}.log"));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            for line in text.lines() {
                let Some((at, rest)) = line.split_once(' ') else { continue };
                lines.push((at.parse().unwrap_or(0), rest.to_owned()));
            }
        }
        lines.sort();
        lines
    }

    /// Adds what the replicas ran to the record.
    fn note_replicas(&self) {
        let mut record = self.record.lock().expect("no panic");
        let _ = writeln!(record, "what the replicas did (events but the last of a run left out):");
        let lines = self.replica_lines();
        for (index, (at, line)) in lines.iter().enumerate() {
            let stem = |line: &str| line.split_once(" of ").map(|(_, rest)| rest.to_owned());
            let is_event = line.starts_with("event ");
            let has_next = lines[index + 1..]
                .iter()
                .any(|(_, next)| next.starts_with("event ") && stem(next) == stem(line));
            if !is_event || !has_next {
                let _ = writeln!(record, "{at} {line}");
            }
        }
    }
}

fn spawn_vm(settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("a log");
    let mut command = Command::new("target/release/parsleybeam-serve");
    command
        .arg(settings)
        .env_clear()
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log"))
        .stderr(log);
    spawn(&mut command)
}

/// The operator's manifest: routes and limits as limpa-norte's.
fn manifest(version: u64) -> String {
    let route = |name: &str, kind: &str, attempts: u32, resumable: bool, more: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"/{name}/","kind":"{kind}","timeout_ms":5000,"latency_target_ms":300,"priority":0,"service":"{SERVICE}","max_attempts":{attempts},"anonymous":false,"sticky":true,"resumable":{resumable}{more}}}"#
        )
    };
    let routes = [
        route("notes", "streaming", 2, true, r#","gap_target_ms":200"#),
        route("replies", "streaming", 1, false, r#","gap_target_ms":200"#),
        route(
            "reports",
            "batch",
            3,
            true,
            r#","run_target_ms":18000,"retention_s":60,"cap":940000"#,
        ),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{SERVICE}","health_path":"/health","max_connections":370,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"tenant","api_keys":["{KEY}"],"priority":1,"rate_per_s":35,"burst":35}}]}}"#,
        routes.join(",")
    )
}

/// Sends an online request as a client does.
fn ask(caller: SocketAddr, route: &str, id: &str, prompt: &str) -> Answer {
    let bearer = format!("Bearer {KEY}");
    let headers = [
        ("Parsleybeam-Request-Id", id),
        ("Parsleybeam-Model", "m"),
        ("Parsleybeam-Token-Usage", "450,80"),
        ("Parsleybeam-Prompt-Prefix", prompt),
        ("Parsleybeam-Request-Deadline", "5000"),
        ("Authorization", &bearer),
        ("Content-Type", "application/json"),
    ];
    let target = format!("/{route}/{id}");
    call(caller, "POST", &target, &headers, id.as_bytes(), Duration::from_secs(7))
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("replica") => run_replica(&arguments[1..]),
        Some("drive") if arguments.len() == 4 => {
            let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
            watch();
            let folder = PathBuf::from(&arguments[2]);
            let record = PathBuf::from(&arguments[3]);
            let drive = || cases::drive(&arguments[1], &folder, &record, trouble);
            let code = std::panic::catch_unwind(drive).unwrap_or(2);
            std::process::exit(code);
        }
        _ => {
            eprintln!("usage: standin replica OPTIONS | drive CASE FOLDER RECORD");
            std::process::exit(2);
        }
    }
}

#[path = "cases-2.rs"]
mod cases;
