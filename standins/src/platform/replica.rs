//! A replica of the HTTP platform that streams events and can misbehave on request.
//!
//! It uses plain sockets, so that it can violate every rule of the protocol.

use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use super::Headers;
use super::endless;
pub use super::endless::Endless;

/// How the replica responds to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Sends all events.
    Complete,
    /// Sends this many events and part of the next one, then closes the connection.
    Truncated(usize),
    /// Sends this many events, then nothing, and keeps the connection open for 60 s.
    Stalled(usize),
    /// Sends the request identifier of another request.
    WrongRequestId,
    /// Sends a refusal of another request with this status, and then all events.
    EarlierRefusal(u16),
    /// Sends a refusal that names no request, and then all events.
    NamelessRefusal(u16),
    /// Sends a second response after the complete one.
    ExtraResponse,
    /// Responds 503 and states that the request wasn't executed.
    NotExecuted,
    /// Responds with this status and an empty body.
    Status(u16),
    /// Sends one event twice.
    DuplicateEvent,
    /// Crashes: closes the connection and accepts no others.
    Crash,
    /// Sends bytes that are no answer until the connection is closed.
    Endless(Endless),
    /// Sends all events; the second and the third after a pause of this many milliseconds.
    Slow(u64),
    /// Sends all events; the data of the first has this many bytes.
    Large(usize),
    /// Sends this many events with 1 KB of data each, at full speed.
    Many(u64),
    /// The same, but closes the connection once it stays unread for `UNREAD_TIMEOUT`.
    Impatient(u64),
    /// Sends an answer of this many bytes that isn't a stream.
    Whole(usize),
    /// Sends all events, and bytes of this number after the end of the answer.
    Extra(usize),
    /// Sends this text, with the request's identifier for `{id}`, and closes the connection.
    Raw(&'static str),
    /// Sends this many events of an answer without a length, and closes the connection.
    Unframed(u64),
    /// The same, and crashes.
    UnframedCrash(u64),
}

/// A received request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Request line, with its line end.
    pub line: String,
    /// Headers of the request.
    pub headers: Headers,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Whether the replica executed it.
    pub executed: bool,
}

impl Request {
    /// Returns the value of a header, given its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)
    }
}

/// A part of prompts under which the replica crashes.
#[derive(Clone, Debug)]
struct CrashingPart {
    id: String,
    down_for: Duration,
}

#[derive(Debug, Default)]
struct State {
    down: bool,
    leaving: bool,
    limit_per_s: Option<f64>,
    cold_left_ms: Option<f64>,
    arrivals: Vec<Instant>,
    crashing_part: Option<CrashingPart>,
    behaviours: VecDeque<Behaviour>,
    /// Behaviour for requests that resume a stream.
    resumed: Option<Behaviour>,
    requests: Vec<Request>,
}

/// A running replica. It listens until a crash or the end of the process.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// Time after which `Behaviour::Impatient` cuts a response that isn't read.
const UNREAD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause before the bytes of `Behaviour::Extra`, so that they come apart from the answer.
const EXTRA_PAUSE: Duration = Duration::from_millis(20);
/// Number of events in a complete response.
pub const EVENTS: u64 = 6;
/// Signature header of every event stream.
pub const SIGNATURE: &str = "3e1b.07.5a2";

/// Starts a replica that sends an event every `pause`.
pub fn start(pause: Duration) -> io::Result<Replica> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let state = Arc::<Mutex<State>>::default();
    let replica = Replica { address: listener.local_addr()?, state: state.clone() };
    accept(listener, state, pause);
    Ok(replica)
}

/// Serves connections on a thread of its own until the replica is down.
fn accept(listener: TcpListener, state: Arc<Mutex<State>>, pause: Duration) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if state.lock().down {
                return;
            }
            let state = state.clone();
            // An I/O error only ends its own connection.
            thread::spawn(move || drop(serve(stream, &state, pause)));
        }
    });
}

/// Starts the replica again at its address once it has been down for a while.
fn restart_after(
    down_for: Duration,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    pause: Duration,
) {
    thread::spawn(move || {
        thread::sleep(down_for);
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        };
        state.lock().down = false;
        accept(listener, state, pause);
    });
}

impl Replica {
    /// Queues the behaviours of the next requests; once none is left, requests are completed.
    pub fn enqueue(&self, behaviours: &[Behaviour]) {
        self.state.lock().behaviours.extend(behaviours);
    }

    /// Sets the behaviour for all requests that resume a stream.
    pub fn set_resumed(&self, behaviour: Behaviour) {
        self.state.lock().resumed = Some(behaviour);
    }

    /// Makes each request whose prompt has the part `id`, but not as its last, crash the
    /// replica, which is back after `down_for`.
    pub fn crash_on(&self, id: &str, down_for: Duration) {
        self.state.lock().crashing_part = Some(CrashingPart { id: id.to_owned(), down_for });
    }

    /// Makes the replica say in all its answers whether it leaves.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.lock().leaving = leaving;
    }

    /// Makes the replica name a limit in all its answers, or none; it doesn't enforce it.
    pub fn set_limit(&self, per_s: Option<f64>) {
        self.state.lock().limit_per_s = per_s;
    }

    /// Makes the replica state a remaining cold time in all its answers, or none.
    pub fn set_cold_left(&self, left_ms: Option<f64>) {
        self.state.lock().cold_left_ms = left_ms;
    }

    /// Returns when each request arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state.lock().arrivals.clone()
    }

    /// Drops the queued behaviours, so that the next requests are completed.
    pub fn clear(&self) {
        self.state.lock().behaviours.clear();
    }

    /// Returns all requests received so far.
    pub fn requests(&self) -> Vec<Request> {
        self.state.lock().requests.clone()
    }
}

impl CrashingPart {
    fn is_in(&self, request: &Request) -> bool {
        let prompt = request.header("parsleybeam-prompt-prefix").unwrap_or_default();
        let shared = prompt.rsplit(',').skip(1);
        shared.into_iter().any(|part| part.split(':').next() == Some(self.id.as_str()))
    }
}

fn serve(stream: TcpStream, state: &Arc<Mutex<State>>, pause: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = read(&mut reader)? {
        let (behaviour, down_for) = {
            let mut state = state.lock();
            if state.down {
                return Ok(());
            }
            let crashing = state.crashing_part.clone().filter(|part| part.is_in(&request));
            let resumed = state.resumed.filter(|_| request.header("last-event-id").is_some());
            let behaviour = match crashing {
                Some(_) => Behaviour::Crash,
                None => {
                    resumed.or_else(|| state.behaviours.pop_front()).unwrap_or(Behaviour::Complete)
                }
            };
            state.arrivals.push(Instant::now());
            state
                .requests
                .push(Request { executed: behaviour != Behaviour::NotExecuted, ..request.clone() });
            state.down |= matches!(behaviour, Behaviour::Crash | Behaviour::UnframedCrash(_));
            (behaviour, crashing.map(|part| part.down_for))
        };
        if let Behaviour::UnframedCrash(events) = behaviour {
            write_unframed(&mut writer, &request, events, pause)?;
        }
        if matches!(behaviour, Behaviour::Crash | Behaviour::UnframedCrash(_)) {
            // The first connection unblocks `accept`, after which the listener thread exits.
            while TcpStream::connect(writer.local_addr()?).is_ok() {
                thread::sleep(Duration::from_millis(1));
            }
            if let Some(down_for) = down_for {
                restart_after(down_for, writer.local_addr()?, state.clone(), pause);
            }
            return Ok(());
        }
        if !respond(&mut writer, &request, behaviour, state, pause)? {
            return Ok(());
        }
    }
    Ok(())
}

fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut request = Request::default();
    if reader.read_line(&mut request.line)? == 0 {
        return Ok(None);
    }
    request.headers = Headers::read(reader)?;
    request.body = vec![0; request.headers.length()];
    reader.read_exact(&mut request.body)?;
    Ok(Some(request))
}

/// Header lines in which the replica speaks of itself.
fn words(state: &State) -> String {
    let mut words = String::new();
    if state.leaving {
        words.push_str("server-leaving: 1\r\n");
    }
    if let Some(per_s) = state.limit_per_s {
        words.push_str(&format!("server-limit: {per_s}\r\n"));
    }
    if let Some(left_ms) = state.cold_left_ms {
        words.push_str(&format!("parsleybeam-cold-remaining: {left_ms}\r\n"));
    }
    words
}

/// Responds to one request; returns whether the connection stays open.
fn respond(
    out: &mut TcpStream,
    request: &Request,
    behaviour: Behaviour,
    state: &Mutex<State>,
    pause: Duration,
) -> io::Result<bool> {
    let request_id = request.header("parsleybeam-request-id").unwrap_or_default();
    let request_id = if behaviour == Behaviour::WrongRequestId { "another" } else { request_id };
    let words = words(&state.lock());
    let empty_response = |status: u16, more: &str| {
        format!(
            "HTTP/1.1 {status} X\r\nparsleybeam-request-id: {request_id}\r\n{words}{more}\
             content-length: 0\r\n\r\n"
        )
    };
    match behaviour {
        Behaviour::Raw(text) => {
            out.write_all(text.replace("{id}", request_id).as_bytes())?;
            return Ok(false);
        }
        Behaviour::NotExecuted => {
            out.write_all(empty_response(503, "parsleybeam-not-executed: 1\r\n").as_bytes())?;
            return Ok(true);
        }
        Behaviour::Status(status) => {
            out.write_all(empty_response(status, "").as_bytes())?;
            return Ok(true);
        }
        _ => {}
    }
    if let Behaviour::EarlierRefusal(status) = behaviour {
        let earlier = format!(
            "HTTP/1.1 {status} X\r\nparsleybeam-request-id: another\r\n{words}\
             parsleybeam-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
        );
        out.write_all(earlier.as_bytes())?;
    }
    if let Behaviour::NamelessRefusal(status) = behaviour {
        let earlier = format!(
            "HTTP/1.1 {status} X\r\n{words}parsleybeam-not-executed: 1\r\n\
             content-length: 0\r\n\r\n"
        );
        out.write_all(earlier.as_bytes())?;
    }
    if let Behaviour::Unframed(events) = behaviour {
        write_unframed(out, request, events, pause)?;
        return Ok(false);
    }
    if let Behaviour::Endless(endless) = behaviour {
        return endless.send(out, request_id, &words);
    }
    if let Behaviour::Whole(bytes) = behaviour {
        let head = format!(
            "HTTP/1.1 200 OK\r\nparsleybeam-request-id: {request_id}\r\n{words}\
             content-type: application/json\r\ncontent-length: {bytes}\r\n\r\n"
        );
        out.write_all(head.as_bytes())?;
        write_filler(out, bytes)?;
        return Ok(true);
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nparsleybeam-request-id: {request_id}\r\n\
         parsleybeam-response-signature: {SIGNATURE}\r\n{words}\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    out.write_all(head.as_bytes())?;
    let last_event_id: u64 =
        request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    if let Behaviour::Many(events) | Behaviour::Impatient(events) = behaviour {
        let sent = Arc::<AtomicU64>::default();
        if behaviour == Behaviour::Impatient(events) {
            cut_once_unread(out.try_clone()?, sent.clone(), events);
        }
        let data = "x".repeat(1_000);
        for id in last_event_id + 1..=events {
            chunk(out, &format!("id: {id}\ndata: {data}\n\n"))?;
            sent.store(id, Ordering::Relaxed);
        }
        out.write_all(b"0\r\n\r\n")?;
        return Ok(true);
    }
    for (sent, id) in (last_event_id + 1..=EVENTS).enumerate() {
        match behaviour {
            Behaviour::Truncated(events) if events == sent => {
                chunk(out, &format!("id: {id}\nda"))?;
                return Ok(false);
            }
            Behaviour::Stalled(events) if events == sent => {
                thread::sleep(Duration::from_secs(60));
                return Ok(false);
            }
            _ => {}
        }
        thread::sleep(pause);
        if state.lock().down {
            // A crash breaks off all that the replica runs.
            return Ok(false);
        }
        if let Behaviour::Large(bytes) = behaviour
            && sent == 0
        {
            let begin = format!("id: {id}\ndata: ");
            out.write_all(format!("{:x}\r\n{begin}", begin.len() + bytes + 2).as_bytes())?;
            write_filler(out, bytes)?;
            out.write_all(b"\n\n\r\n")?;
            continue;
        }
        if let Behaviour::Slow(millis) = behaviour
            && (sent == 1 || sent == 2)
        {
            thread::sleep(Duration::from_millis(millis));
        }
        chunk(out, &format!("id: {id}\ndata: event {id}\n\n"))?;
        if behaviour == Behaviour::DuplicateEvent && sent == 1 {
            chunk(out, &format!("id: {id}\ndata: event {id}\n\n"))?;
        }
    }
    out.write_all(b"0\r\n\r\n")?;
    if let Behaviour::Extra(bytes) = behaviour {
        thread::sleep(EXTRA_PAUSE);
        out.write_all(&vec![b'x'; bytes])?;
    }
    if behaviour == Behaviour::ExtraResponse {
        out.write_all(empty_response(200, "").as_bytes())?;
    }
    Ok(true)
}

/// Sends events up to `events` as an answer that ends with its connection.
fn write_unframed(
    out: &mut TcpStream,
    request: &Request,
    events: u64,
    pause: Duration,
) -> io::Result<()> {
    let request_id = request.header("parsleybeam-request-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nparsleybeam-request-id: {request_id}\r\n\
         parsleybeam-response-signature: {SIGNATURE}\r\ncontent-type: text/event-stream\r\n\r\n"
    );
    out.write_all(head.as_bytes())?;
    let last_event_id = request.header("last-event-id").and_then(|text| text.parse().ok());
    for id in last_event_id.unwrap_or(0) + 1..=events {
        thread::sleep(pause);
        out.write_all(format!("id: {id}\ndata: event {id}\n\n").as_bytes())?;
    }
    Ok(())
}

/// Cuts a response once no further one of its `events` could be sent for `UNREAD_TIMEOUT`.
fn cut_once_unread(out: TcpStream, sent: Arc<AtomicU64>, events: u64) {
    thread::spawn(move || {
        let mut before = 0;
        loop {
            thread::sleep(UNREAD_TIMEOUT);
            let now = sent.load(Ordering::Relaxed);
            if now == events {
                return;
            }
            if now == before {
                // It fails if the other side has closed the connection.
                let _ = out.shutdown(Shutdown::Both);
                return;
            }
            before = now;
        }
    });
}

/// Sends bytes without a meaning.
fn write_filler(out: &mut TcpStream, bytes: usize) -> io::Result<()> {
    let block = [b'x'; 4_096];
    let mut left = bytes;
    while left > 0 {
        let count = left.min(block.len());
        out.write_all(&block[..count])?;
        left -= count;
    }
    Ok(())
}

fn chunk(out: &mut TcpStream, text: &str) -> io::Result<()> {
    out.write_all(endless::chunk(text).as_bytes())
}
