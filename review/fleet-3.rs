//! Stand-ins and a small fleet for the cases of the third review.
//!
//! The platform's store, replicas and clients run in this process, one thread a
//! connection. The entry VMs are the project's own program, each a process of its own,
//! started with the `run` line of the deploy file and settings rendered from its template.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the cases take from a site's sheet.
pub struct Site {
    /// Memory of an entry VM, and its share of a core.
    pub memory_mb: u64,
    pub cpu_share: f64,
    /// Tokens of a tenant that may wait on the batch route.
    pub cap: u64,
    pub config_apply_ms: u64,
    pub drain_ms: u64,
    pub contact_ms: u64,
    /// Events of the longest item, and bytes of data of the largest event.
    pub events: usize,
    pub event_bytes: usize,
}

pub const JADRANKA: Site = Site {
    memory_mb: 110,
    cpu_share: 0.25,
    cap: 750_000,
    config_apply_ms: 2_000,
    drain_ms: 2_000,
    contact_ms: 3_000,
    events: 379,
    event_bytes: 345,
};

pub const VESIVERKKO: Site = Site {
    memory_mb: 160,
    cpu_share: 0.12,
    cap: 2_900_000,
    config_apply_ms: 3_000,
    drain_ms: 3_000,
    contact_ms: 4_000,
    events: 246,
    event_bytes: 465,
};

pub const HOST: &str = "nony24.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
pub const TENANT: &str = "kaje80";
const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let word = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(BASE64[(word >> (18 - 6 * digit)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// A parsed JSON value; numbers stay text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Plain(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut rest = text.as_bytes();
        value(&mut rest)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Table(fields) = self else { return None };
        fields.iter().find(|(field, _)| field == name).map(|(_, value)| value)
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(items) = self { items } else { &[] }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Plain(text) | Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        self.text().parse().unwrap_or(0)
    }
}

fn skip(rest: &mut &[u8]) {
    while rest.first().is_some_and(u8::is_ascii_whitespace) {
        *rest = &rest[1..];
    }
}

fn take(rest: &mut &[u8], byte: u8) -> Option<()> {
    skip(rest);
    (rest.first() == Some(&byte)).then(|| *rest = &rest[1..])
}

fn string(rest: &mut &[u8]) -> Option<String> {
    take(rest, b'"')?;
    let mut bytes = Vec::new();
    loop {
        let (first, left) = rest.split_first()?;
        *rest = left;
        match first {
            b'"' => return String::from_utf8(bytes).ok(),
            b'\\' => {
                let (escaped, left) = rest.split_first()?;
                *rest = left;
                match escaped {
                    b'n' => bytes.push(b'\n'),
                    b't' => bytes.push(b'\t'),
                    b'r' => bytes.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(rest.get(..4)?).ok()?;
                        let code = char::from_u32(u32::from_str_radix(code, 16).ok()?)?;
                        bytes.extend_from_slice(code.to_string().as_bytes());
                        *rest = &rest[4..];
                    }
                    other => bytes.push(*other),
                }
            }
            other => bytes.push(*other),
        }
    }
}

fn value(rest: &mut &[u8]) -> Option<Json> {
    skip(rest);
    match rest.first()? {
        b'"' => string(rest).map(Json::Text),
        b'[' => {
            take(rest, b'[')?;
            let mut items = Vec::new();
            while take(rest, b']').is_none() {
                items.push(value(rest)?);
                let _ = take(rest, b',');
            }
            Some(Json::List(items))
        }
        b'{' => {
            take(rest, b'{')?;
            let mut fields = Vec::new();
            while take(rest, b'}').is_none() {
                skip(rest);
                let name = string(rest)?;
                take(rest, b':')?;
                fields.push((name, value(rest)?));
                let _ = take(rest, b',');
            }
            Some(Json::Table(fields))
        }
        _ => {
            let end = rest.iter().position(|byte| b",]} \n".contains(byte)).unwrap_or(rest.len());
            let (plain, left) = rest.split_at(end);
            *rest = left;
            Some(Json::Plain(String::from_utf8_lossy(plain).into_owned()))
        }
    }
}

/// What is written to `record.txt`: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<String>>>,
    started: Instant,
}

impl Record {
    pub fn new() -> Self {
        Self { lines: Arc::default(), started: Instant::now() }
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!("{:9.3} {}", self.started.elapsed().as_secs_f64(), line.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Whether a line contains `text`.
    pub fn has(&self, text: &str) -> bool {
        self.lines.lock().unwrap().iter().any(|line| line.contains(text))
    }

    /// All lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }

    pub fn write(&self, path: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        let _ = fs::write(path, text);
    }
}

/// Head of a request or an answer, with lower-case header names.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// `METHOD TARGET HTTP/1.1` or `HTTP/1.1 STATUS TEXT`.
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|value| value.trim().parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }
}

pub type Reader = BufReader<TcpStream>;

pub fn read_head(reader: &mut Reader) -> io::Result<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(head);
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

pub fn read_body(reader: &mut Reader, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if !head.is_chunked() {
        body.resize(head.length(), 0);
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let from = body.len();
        body.resize(from + size, 0);
        reader.read_exact(&mut body[from..])?;
        reader.read_exact(&mut [0; 2])?;
        if size == 0 {
            return Ok(body);
        }
    }
}

pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves connections of `listener`, one thread each, until the process ends. `handler` has a
/// state for each connection.
pub fn serve<S, H>(listener: TcpListener, handler: H)
where
    S: Default,
    H: Fn(Head, &mut Reader, &mut TcpStream, &mut S) -> io::Result<()> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let builder = thread::Builder::new().stack_size(256 << 10);
            let _ = builder.spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut writer = stream.try_clone()?;
                let mut reader = BufReader::new(stream);
                let mut state = S::default();
                loop {
                    let head = read_head(&mut reader)?;
                    handler(head, &mut reader, &mut writer, &mut state)?;
                }
            });
        }
    });
}

#[derive(Clone, Debug)]
struct Item {
    /// In base64.
    value: String,
    revision: u64,
    created: u64,
}

/// The platform's store: linearizable, with the limits of its page.
pub struct Store {
    items: Mutex<(u64, BTreeMap<String, Item>)>,
}

/// Time that an answer of the store takes.
const STORE_ANSWER: Duration = Duration::from_millis(4);
const VALUE_BYTES: usize = 1_048_576;

impl Store {
    pub fn start() -> io::Result<(Arc<Store>, SocketAddr)> {
        let store = Arc::new(Store { items: Mutex::new((100, BTreeMap::new())) });
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let served = store.clone();
        serve(listener, move |head, reader, writer, (): &mut ()| served.call(head, reader, writer));
        Ok((store, address))
    }

    /// What the operator and the replicas write.
    pub fn put(&self, key: &str, value: &str) {
        let mut items = self.items.lock().unwrap();
        items.0 += 1;
        let revision = items.0;
        let created = items.1.get(key).map_or(revision, |item| item.created);
        let value = base64(value.as_bytes());
        items.1.insert(key.to_owned(), Item { value, revision, created });
    }

    fn call(&self, head: Head, reader: &mut Reader, writer: &mut TcpStream) -> io::Result<()> {
        let body = read_body(reader, &head)?;
        thread::sleep(STORE_ANSWER);
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let (status, text) = match (head.method(), path) {
            ("GET", "/-/kv-key") => self.key(query),
            ("GET", "/-/kv-range") => self.range(query),
            ("POST", "/-/kv-txn") => self.change(&String::from_utf8_lossy(&body)),
            _ => ("404 Not Found", "{}".to_owned()),
        };
        answer(writer, status, "Content-Type: application/json\r\n", text.as_bytes())
    }

    fn key(&self, query: &str) -> (&'static str, String) {
        let key = parameter(query, "key");
        let items = self.items.lock().unwrap();
        match items.1.get(&key) {
            Some(item) => {
                let text = item_text(&key, item);
                let text = &text[..text.len() - 1];
                ("200 OK", format!("{text},\"store_revision\":{}}}", items.0))
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, query: &str) -> (&'static str, String) {
        let (prefix, after) = (parameter(query, "path_prefix"), parameter(query, "after"));
        let items = self.items.lock().unwrap();
        let mut listed = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, item) in items.1.range(prefix.clone()..) {
            if !key.starts_with(&prefix) {
                break;
            }
            if *key <= after {
                continue;
            }
            if listed.len() == 500 || bytes > 1 << 20 {
                more = true;
                break;
            }
            bytes += item.value.len();
            listed.push(item_text(key, item));
        }
        let (listed, revision) = (listed.join(","), items.0);
        let text =
            format!("{{\"items\":[{listed}],\"has_more\":{more},\"store_revision\":{revision}}}");
        ("200 OK", text)
    }

    fn change(&self, text: &str) -> (&'static str, String) {
        let Some(change) = Json::parse(text) else { return ("400 Bad Request", "{}".to_owned()) };
        let field = |name: &str| change.get(name).map(|rows| rows.list().to_vec());
        let expected = field("expected_revision").unwrap_or_default();
        let puts = field("puts").unwrap_or_default();
        let removed = field("remove").unwrap_or_default();
        let named = |row: &Json, name: &str| row.get(name).map_or("", Json::text).to_owned();
        let too_large = puts.iter().any(|put| named(put, "value").len() / 4 * 3 > VALUE_BYTES + 2);
        if expected.len() + puts.len() + removed.len() > 32 || too_large {
            return ("400 Bad Request", "{}".to_owned());
        }
        let mut items = self.items.lock().unwrap();
        let holds = |row: &Json| {
            let current = items.1.get(&named(row, "key")).map_or(0, |item| item.revision);
            current == row.get("revision").map_or(0, Json::number)
        };
        if !expected.iter().all(holds) {
            let current: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = named(row, "key");
                    items.1.get(&key).map(|item| item_text(&key, item))
                })
                .collect();
            return ("412 Precondition Failed", format!("{{\"items\":[{}]}}", current.join(",")));
        }
        items.0 += 1;
        let revision = items.0;
        for put in &puts {
            let key = named(put, "key");
            let created = items.1.get(&key).map_or(revision, |item| item.created);
            items.1.insert(key, Item { value: named(put, "value"), revision, created });
        }
        for key in &removed {
            items.1.remove(key.text());
        }
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }
}

fn item_text(key: &str, item: &Item) -> String {
    let Item { value, revision, created } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":{created},\"lease\":0}}"
    )
}

fn parameter(query: &str, name: &str) -> String {
    let raw = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    let mut bytes = Vec::new();
    let mut rest = raw.unwrap_or_default().as_bytes();
    while let Some((first, left)) = rest.split_first() {
        let code = std::str::from_utf8(left.get(..2).unwrap_or_default()).unwrap_or_default();
        match (first, u8::from_str_radix(code, 16)) {
            (b'%', Ok(byte)) => {
                bytes.push(byte);
                rest = &left[2..];
            }
            _ => {
                bytes.push(*first);
                rest = left;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// What the replicas do with requests.
pub struct Work {
    /// Time from the whole request to a whole answer.
    pub work_ms: AtomicU64,
    /// Events of an item, and bytes of data in each.
    pub item_events: AtomicUsize,
    pub event_bytes: AtomicUsize,
    /// Pause between two events of an item, in microseconds.
    pub event_us: AtomicU64,
    /// Bytes of a request's body that a replica reads a second; 0: as they come.
    pub read_bytes_per_s: AtomicUsize,
    /// Replicas started so far.
    started: AtomicUsize,
    /// Number of replicas that send extra answers, each after one in `extra_every` of its
    /// answers; 0: none.
    pub faulty: AtomicUsize,
    pub extra_every: AtomicUsize,
    spoilt: AtomicUsize,
}

impl Work {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            work_ms: AtomicU64::new(20),
            item_events: AtomicUsize::new(30),
            event_bytes: AtomicUsize::new(60),
            event_us: AtomicU64::new(1_000),
            read_bytes_per_s: AtomicUsize::new(0),
            started: AtomicUsize::new(0),
            faulty: AtomicUsize::new(0),
            extra_every: AtomicUsize::new(0),
            spoilt: AtomicUsize::new(0),
        })
    }
}

pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
}

impl Replica {
    pub fn start(id: &str, work: &Arc<Work>, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let number = work.started.fetch_add(1, Ordering::Relaxed);
        let replica =
            Running { name: id.to_owned(), number, work: work.clone(), record: record.clone() };
        serve(listener, move |head, reader, writer, extra: &mut bool| {
            replica.run(head, reader, writer, extra)
        });
        Ok(Self { id: id.to_owned(), address })
    }

    pub fn register(&self, store: &Store, zone: &str, sequence: u64) {
        let Replica { id, address } = self;
        store.put(
            &format!("servers/{id}"),
            &format!(
                "{{\"service\":\"huvo11a\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\
                 \"sequence\":{sequence}}}"
            ),
        );
    }
}

fn read_slowly(reader: &mut Reader, head: &Head, work: &Work) -> io::Result<Vec<u8>> {
    let mut body = vec![0; head.length()];
    let mut done = 0;
    while done < body.len() {
        let rate = work.read_bytes_per_s.load(Ordering::Relaxed);
        let step = if rate == 0 { body.len() } else { (rate / 20).max(1) };
        let end = (done + step).min(body.len());
        reader.read_exact(&mut body[done..end])?;
        done = end;
        if rate > 0 && done < body.len() {
            thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(body)
}

/// A replica at work.
struct Running {
    name: String,
    number: usize,
    work: Arc<Work>,
    record: Record,
}

impl Running {
    /// Answers one request. `extra`: an extra answer is due on this connection, at the point
    /// where the next answer is expected.
    fn run(
        &self,
        head: Head,
        reader: &mut Reader,
        writer: &mut TcpStream,
        extra: &mut bool,
    ) -> io::Result<()> {
        let Running { name, work, record, .. } = self;
        let served = format!("Parsleybeam-Served-By: {name}\r\n");
        if head.target() == "/health" {
            return answer(writer, "200 OK", &served, b"");
        }
        if head.header("parsleybeam-expect-instance").is_some_and(|expected| expected != name) {
            let _ = read_body(reader, &head)?;
            return answer(writer, "421 Misdirected Request", &served, b"");
        }
        let id = head.header("parsleybeam-request-id").unwrap_or_default().to_owned();
        let body = read_slowly(reader, &head, work)?;
        record.add(format!("{name} runs {id} {} bytes={}", head.target(), body.len()));
        if std::mem::take(extra) {
            record.add(format!("{name} sends an extra answer, before that to {id}"));
            answer(writer, "503 Service Unavailable", "Parsleybeam-Not-Executed: 1\r\n", b"")?;
        }
        let own = format!(
            "Parsleybeam-Request-Id: {id}\r\n\
             Parsleybeam-Response-Signature: 3e1b.{id}.c9f2a4d1\r\n"
        );
        if !head.target().contains("/batch/") {
            thread::sleep(Duration::from_millis(work.work_ms.load(Ordering::Relaxed)));
            answer(writer, "200 OK", &own, b"done")?;
            record.add(format!("{name} answers {id}"));
            *extra = self.is_spoilt();
            return Ok(());
        }
        let start = format!(
            "HTTP/1.1 200 OK\r\n{own}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(start.as_bytes())?;
        let last = head.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        let data = "x".repeat(work.event_bytes.load(Ordering::Relaxed));
        for event in last + 1..=work.item_events.load(Ordering::Relaxed) {
            let event = format!("id: {event}\ndata: {data}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(Duration::from_micros(work.event_us.load(Ordering::Relaxed)));
        }
        writer.write_all(b"0\r\n\r\n")?;
        record.add(format!("{name} answers {id}"));
        Ok(())
    }

    /// Whether an extra answer follows the one just sent.
    fn is_spoilt(&self) -> bool {
        let every = self.work.extra_every.load(Ordering::Relaxed);
        let is_faulty = self.number < self.work.faulty.load(Ordering::Relaxed);
        is_faulty && every > 0 && self.work.spoilt.fetch_add(1, Ordering::Relaxed) % every == 0
    }
}

/// A replica that can crash and start again under its id, with another version of its software.
pub struct Versioned {
    id: String,
    zone: &'static str,
    store: Arc<Store>,
    record: Record,
    state: Mutex<Process>,
}

#[derive(Default)]
struct Process {
    /// Number of the process; 0: none has begun.
    number: u64,
    is_up: bool,
    version: u32,
    born_ms: u64,
    address: Option<SocketAddr>,
    connections: Vec<TcpStream>,
}

/// Events of a stream and the pause after each.
const STREAM_EVENTS: u64 = 34;
const STREAM_PAUSE: Duration = Duration::from_millis(20);

impl Versioned {
    pub fn new(id: &str, zone: &'static str, store: &Arc<Store>, record: &Record) -> Arc<Self> {
        let (id, store, record) = (id.to_owned(), store.clone(), record.clone());
        Arc::new(Self { id, zone, store, record, state: Mutex::default() })
    }

    /// Starts a process of `version`: it registers before it takes requests.
    pub fn start(self: &Arc<Self>, version: u32) -> io::Result<()> {
        let mut state = self.state.lock().unwrap();
        let address = state.address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        state.address = Some(listener.local_addr()?);
        state.number += 1;
        (state.is_up, state.version, state.born_ms) = (true, version, unix_ms());
        let number = state.number;
        drop(state);
        self.register(0);
        self.record.add(format!("{} starts as v{version}", self.id));
        let replica = self.clone();
        thread::spawn(move || {
            while replica.is_process(number) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let Ok(kept) = stream.try_clone() else { continue };
                let mut state = replica.state.lock().unwrap();
                // The process may have ended since the connection was accepted.
                if !state.is_up || state.number != number {
                    break;
                }
                state.connections.push(kept);
                drop(state);
                let replica = replica.clone();
                let builder = thread::Builder::new().stack_size(256 << 10);
                let _ = builder.spawn(move || replica.serve(stream, version));
            }
        });
        Ok(())
    }

    /// Ends the process: nobody listens and its connections are closed.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_up = false;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        self.record.add(format!("{} crashes", self.id));
    }

    fn is_process(&self, number: u64) -> bool {
        let state = self.state.lock().unwrap();
        state.is_up && state.number == number
    }

    /// Writes the replica's entry, if its process runs.
    pub fn register(&self, sequence: u64) {
        let state = self.state.lock().unwrap();
        let Process { is_up: true, version, born_ms, address: Some(address), .. } = &*state else {
            return;
        };
        let zone = self.zone;
        self.store.put(
            &format!("servers/{}", self.id),
            &format!(
                "{{\"service\":\"huvo11a\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v{version}\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\
                 \"sequence\":{sequence},\"born\":{born_ms}}}"
            ),
        );
    }

    fn serve(&self, stream: TcpStream, version: u32) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let head = read_head(&mut reader)?;
            let _ = read_body(&mut reader, &head)?;
            let served = format!("Parsleybeam-Served-By: {}\r\n", self.id);
            if head.header("parsleybeam-expect-instance").is_some_and(|id| id != self.id) {
                answer(&mut writer, "421 Misdirected Request", &served, b"")?;
                continue;
            }
            let id = head.header("parsleybeam-request-id").unwrap_or_default();
            let last = head.header("last-event-id").and_then(|last| last.parse().ok());
            let last: u64 = last.unwrap_or(0);
            self.record.add(format!("{} (v{version}) runs {id} from {}", self.id, last + 1));
            let head = format!(
                "HTTP/1.1 200 OK\r\nParsleybeam-Request-Id: {id}\r\n\
                 Parsleybeam-Response-Signature: 3e1b.{id}.c9f2a4d1\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            writer.write_all(head.as_bytes())?;
            for number in last + 1..=STREAM_EVENTS {
                let event = format!("id: {number}\ndata: v{version} {id} {number}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                writer.write_all(chunk.as_bytes())?;
                thread::sleep(STREAM_PAUSE);
            }
            writer.write_all(b"0\r\n\r\n")?;
        }
    }
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Reads a body to its end, or to where it breaks off; whether it is whole.
pub fn read_to_break(reader: &mut Reader, head: &Head) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    let whole = chunks(reader, head, &mut body).is_ok();
    (body, whole)
}

fn chunks(reader: &mut Reader, head: &Head, body: &mut Vec<u8>) -> io::Result<()> {
    if !head.is_chunked() {
        *body = read_body(reader, head)?;
        return Ok(());
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// An entry VM: the project's own program in a process of its own.
pub struct Vm {
    pub name: String,
    pub caller: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
}

/// The entry VMs' loopback address, another one in each process of this program, so that cases
/// which run at the same time don't meet.
fn vm_address() -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(127, 1 + (process >> 8) as u8 % 200, process as u8, 1)
}

fn free_ports(count: usize) -> io::Result<Vec<u16>> {
    let mut held = Vec::new();
    while held.len() < count {
        let tcp = TcpListener::bind((vm_address(), 0))?;
        let port = tcp.local_addr()?.port();
        if let Ok(udp) = UdpSocket::bind((vm_address(), port)) {
            held.push((tcp, udp, port));
        }
    }
    Ok(held.into_iter().map(|(_, _, port)| port).collect())
}

impl Vm {
    /// Renders the deploy file's template for a VM; `root` is the repository.
    pub fn new(
        root: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        site: &Site,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let ports = free_ports(5)?;
        let ip = vm_address();
        let address = |at: usize| format!("{ip}:{}", ports[at]);
        let plain = |value: String| value;
        let text = |value: &str| format!("\"{value}\"");
        let values = [
            ("node|json", text(name)),
            ("zone|json", text(zone)),
            ("listen.front|json", text(&address(0))),
            ("listen.ready|json", text(&address(1))),
            ("listen.directory|json", text(&address(2))),
            ("ip", plain(ip.to_string())),
            ("internal_ports.0", plain(ports[3].to_string())),
            ("internal_ports.1", plain(ports[4].to_string())),
            ("platform.address|json", text(&store.to_string())),
            ("limits.cpu_share|json", site.cpu_share.to_string()),
            ("limits.memory_mb|json", site.memory_mb.to_string()),
            ("bounds.config_apply_ms|json", site.config_apply_ms.to_string()),
            ("bounds.revoke_ms|json", "5000".to_owned()),
            ("bounds.drain_ms|json", site.drain_ms.to_string()),
            ("bounds.contact_ms|json", site.contact_ms.to_string()),
            ("bounds.grace_s|json", "8".to_owned()),
            ("bounds.ttl_max_s|json", "5".to_owned()),
            ("bounds.quota_window_s|json", "5".to_owned()),
            ("bounds.quota_overrun|json", "0.1".to_owned()),
            ("bounds.quota_slack|json", "20".to_owned()),
            ("bounds.status_ttl_s|json", "120".to_owned()),
        ];
        let mut settings = fs::read_to_string(root.join("deploy/entry.json"))?;
        // Sections of bounds that this deployment doesn't have.
        for section in ["bounds.evacuate_ms", "bounds.cold_overrun"] {
            let (open, close) = (format!("{{{{#{section}}}}}"), format!("{{{{/{section}}}}}"));
            while let (Some(from), Some(to)) = (settings.find(&open), settings.find(&close)) {
                settings.replace_range(from..to + close.len(), "");
            }
        }
        for (field, value) in values {
            settings = settings.replace(&format!("{{{{{field}}}}}"), &value);
        }
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings)?;
        let socket = |at: usize| SocketAddr::from((ip, ports[at]));
        Ok(Self {
            name: name.to_owned(),
            caller: socket(0),
            readiness: socket(1),
            settings: path,
            log: folder.join(format!("{name}.log")),
            process: Mutex::new(None),
        })
    }

    pub fn start(&self, root: &Path) -> io::Result<()> {
        let log = fs::File::options().create(true).append(true).open(&self.log)?;
        let program = root.join("target/release/parsleybeam-serve");
        let process = Command::new(program)
            .arg(&self.settings)
            .env("PARSLEYBEAM_BOOT", &self.settings)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *self.process.lock().unwrap() = Some(process);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        get(self.readiness, "/-/readiness", "").is_ok_and(|(head, _)| head.status() == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn id(&self) -> Option<u32> {
        self.process.lock().unwrap().as_ref().map(Child::id)
    }

    /// Memory of the process that isn't of files, in bytes.
    pub fn memory(&self) -> u64 {
        self.id().map_or(0, memory_of)
    }

    pub fn kill(&self) {
        if let Some(mut process) = self.process.lock().unwrap().take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Memory of a process that isn't of files, in bytes.
pub fn memory_of(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// One call on a new connection.
pub fn get(address: SocketAddr, target: &str, headers: &str) -> io::Result<(Head, Vec<u8>)> {
    call(address, "GET", target, headers, b"", Duration::from_secs(5))
}

pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<(Head, Vec<u8>)> {
    let mut client = Client::connect(address, limit)?;
    client.send(method, target, headers, body)?;
    client.receive()
}

/// A client's connection.
pub struct Client {
    pub reader: Reader,
    pub writer: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(limit))?;
        writer.set_write_timeout(Some(limit))?;
        Ok(Self { reader: BufReader::new(writer.try_clone()?), writer })
    }

    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &str,
        body: &[u8],
    ) -> io::Result<()> {
        let length = match body.is_empty() {
            true => String::new(),
            false => format!("Content-Length: {}\r\n", body.len()),
        };
        let head = format!("{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n{headers}{length}\r\n");
        self.writer.write_all(head.as_bytes())?;
        self.writer.write_all(body)
    }

    pub fn receive(&mut self) -> io::Result<(Head, Vec<u8>)> {
        let head = read_head(&mut self.reader)?;
        let body = read_body(&mut self.reader, &head)?;
        Ok((head, body))
    }
}

/// Headers of a request of the tenant.
pub fn caller_headers(id: &str) -> String {
    format!("Parsleybeam-Request-Id: {id}\r\nAuthorization: Bearer {KEY}\r\n")
}

/// Manifest with an idempotent route, one whose requests may run once, one of streams that may be
/// resumed, and a batch route, of one service, and one tenant.
pub fn manifest(version: u64, cap: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-plain\",\"host\":\"{HOST}\",\"path_prefix\":\"/plain/\",\
         \"kind\":\"idempotent\",\"timeout_ms\":5000,\"latency_target_ms\":0,\"priority\":0,\
         \"service\":\"huvo11a\",\"max_attempts\":2,\"anonymous\":false}},\
         {{\"name\":\"r-once\",\"host\":\"{HOST}\",\"path_prefix\":\"/once/\",\
         \"kind\":\"non_idempotent\",\"timeout_ms\":5000,\"latency_target_ms\":300,\"priority\":0,\
         \"service\":\"huvo11a\",\"max_attempts\":1,\"anonymous\":false}},\
         {{\"name\":\"r-stream\",\"host\":\"{HOST}\",\"path_prefix\":\"/stream/\",\
         \"kind\":\"streaming\",\"timeout_ms\":5000,\"latency_target_ms\":300,\"priority\":0,\
         \"service\":\"huvo11a\",\"max_attempts\":2,\"anonymous\":false,\"resumable\":true,\
         \"gap_target_ms\":250}},\
         {{\"name\":\"r-batch\",\"host\":\"{HOST}\",\"path_prefix\":\"/batch/\",\
         \"kind\":\"batch\",\"timeout_ms\":15000,\"latency_target_ms\":500,\"priority\":2,\
         \"service\":\"huvo11a\",\"max_attempts\":3,\"anonymous\":false,\
         \"run_target_ms\":18000,\"retention_s\":60,\"cap\":{cap}}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/health\",\
         \"max_connections\":360,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"rate_per_s\":0,\"burst\":0}}]}}"
    )
}

/// Body of a batch job.
pub fn job(items: usize, name: &str, body: &[u8], tokens: u64) -> Vec<u8> {
    let body = base64(body);
    let item = |index: usize| {
        format!(
            "{{\"id\":\"{name}{index:04x}\",\"path\":\"/batch/3/{index}\",\
             \"headers\":{{\"Parsleybeam-Model\":\"m\",\
             \"Parsleybeam-Token-Usage\":\"450,379\",\
             \"Parsleybeam-Prompt-Prefix\":\"9c2e41:100,{name}{index:04x}:350\"}},\
             \"body\":\"{body}\",\"tokens\":{tokens}}}"
        )
    };
    let items: Vec<String> = (0..items).map(item).collect();
    format!("{{\"items\":[{}]}}", items.join(",")).into_bytes()
}

/// A fleet that serves: the store, replicas with their heartbeats, and entry VMs.
pub struct Fleet {
    pub site: &'static Site,
    pub root: PathBuf,
    folder: PathBuf,
    pub store: Arc<Store>,
    pub work: Arc<Work>,
    pub vms: Vec<Arc<Vm>>,
    pub record: Record,
}

impl Fleet {
    /// `vms` entry VMs with the settings of `site`, and `replicas` replicas of 8 slots.
    pub fn start(
        root: &Path,
        vms: usize,
        replicas: usize,
        site: &'static Site,
        record: &Record,
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let (store, address) = Store::start()?;
        store.put("op/config", &manifest(7, site.cap));
        let work = Work::new();
        let zones = ["split-luka", "zadar-kali", "sibenik-obala"];
        let mut started = Vec::new();
        for index in 0..replicas {
            started.push(Replica::start(&format!("i-7f3a91c{index:x}"), &work, record)?);
        }
        let beaten = store.clone();
        thread::spawn(move || {
            for sequence in 0.. {
                for (index, replica) in started.iter().enumerate() {
                    replica.register(&beaten, zones[index % zones.len()], sequence);
                }
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        let mut fleet = Self {
            site,
            root: root.to_owned(),
            folder: folder.clone(),
            store,
            work,
            vms: Vec::new(),
            record: record.clone(),
        };
        for index in 0..vms {
            let zone = zones[index % zones.len()];
            let name = format!("edge-{zone}-{}", index / zones.len() + 1);
            fleet.vms.push(Arc::new(Vm::new(root, &folder, &name, zone, site, address)?));
        }
        for vm in &fleet.vms {
            vm.start(root)?;
        }
        for vm in &fleet.vms {
            if !vm.wait_until_ready(Duration::from_secs(15)) {
                return Err(io::Error::other(format!("{} isn't ready", vm.name)));
            }
        }
        record.add(format!("{vms} entry VMs of {} MB are ready", site.memory_mb));
        Ok(fleet)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in &self.vms {
            vm.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
