//! A replica of the users' machines: streams of events, well or badly.
//!
//! Written on plain sockets, so that it can break every rule of the protocol.

use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use parking_lot::Mutex;

use super::Headers;

/// How one request is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// All events.
    Complete,
    /// This many events and half of the next one; then the connection ends.
    Truncated(usize),
    /// This many events; then nothing more comes.
    Stalled(usize),
    /// The answer names another request.
    WrongRequestId,
    /// A further answer follows the whole one.
    ExtraResponse,
    /// Says that it hasn't run the request.
    NotExecuted,
    /// Fails with a status of its own.
    Status(u16),
    /// One event comes twice.
    DuplicateEvent,
    /// The replica crashes: the connection ends and no other is taken.
    Crash,
}

/// A request as it arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// First line.
    pub line: String,
    /// Headers.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the replica began to run it.
    pub executed: bool,
}

impl Request {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)
    }
}

#[derive(Debug, Default)]
struct State {
    down: bool,
    behaviours: VecDeque<Behaviour>,
    requests: Vec<Request>,
}

/// A running replica. It listens until the process ends.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// Events of one answer.
pub const EVENTS: u64 = 6;
/// Signature of every answer.
pub const SIGNATURE: &str = "3e1b.07.5a2";

/// Starts a replica that makes an event every `pause`.
pub fn start(pause: Duration) -> io::Result<Replica> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let state = Arc::<Mutex<State>>::default();
    let replica = Replica { address: listener.local_addr()?, state: state.clone() };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if state.lock().down {
                return;
            }
            let state = state.clone();
            // A broken connection concerns only its caller.
            thread::spawn(move || drop(serve(stream, &state, pause)));
        }
    });
    Ok(replica)
}

impl Replica {
    /// Says how the next requests are answered; later ones whole.
    pub fn enqueue(&self, behaviours: &[Behaviour]) {
        self.state.lock().behaviours.extend(behaviours);
    }

    /// All requests so far.
    pub fn requests(&self) -> Vec<Request> {
        self.state.lock().requests.clone()
    }
}

fn serve(stream: TcpStream, state: &Mutex<State>, pause: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = read(&mut reader)? {
        let behaviour = {
            let mut state = state.lock();
            if state.down {
                return Ok(());
            }
            let behaviour = state.behaviours.pop_front().unwrap_or(Behaviour::Complete);
            state
                .requests
                .push(Request { executed: behaviour != Behaviour::NotExecuted, ..request.clone() });
            state.down = behaviour == Behaviour::Crash;
            behaviour
        };
        if behaviour == Behaviour::Crash {
            // The first connection wakes the listener, which then ends.
            while TcpStream::connect(writer.local_addr()?).is_ok() {
                thread::sleep(Duration::from_millis(1));
            }
            return Ok(());
        }
        if !answer(&mut writer, &request, behaviour, pause)? {
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

/// Answers one request; whether the connection goes on.
fn answer(
    out: &mut TcpStream,
    request: &Request,
    behaviour: Behaviour,
    pause: Duration,
) -> io::Result<bool> {
    let name = request.header("parsleybeam-request-id").unwrap_or_default();
    let name = if behaviour == Behaviour::WrongRequestId { "another" } else { name };
    let plain = |status: u16, more: &str| {
        format!(
            "HTTP/1.1 {status} X\r\nparsleybeam-request-id: {name}\r\n{more}content-length: 0\r\n\r\n"
        )
    };
    match behaviour {
        Behaviour::NotExecuted => {
            out.write_all(plain(503, "parsleybeam-not-executed: 1\r\n").as_bytes())?;
            return Ok(true);
        }
        Behaviour::Status(status) => {
            out.write_all(plain(status, "").as_bytes())?;
            return Ok(true);
        }
        _ => {}
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nparsleybeam-request-id: {name}\r\n\
         parsleybeam-response-signature: {SIGNATURE}\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    out.write_all(head.as_bytes())?;
    let last: u64 = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    for (count, id) in (last + 1..=EVENTS).enumerate() {
        match behaviour {
            Behaviour::Truncated(after) if after == count => {
                chunk(out, &format!("id: {id}\nda"))?;
                return Ok(false);
            }
            Behaviour::Stalled(after) if after == count => {
                thread::sleep(Duration::from_secs(60));
                return Ok(false);
            }
            _ => {}
        }
        thread::sleep(pause);
        chunk(out, &format!("id: {id}\ndata: event {id}\n\n"))?;
        if behaviour == Behaviour::DuplicateEvent && count == 1 {
            chunk(out, &format!("id: {id}\ndata: event {id}\n\n"))?;
        }
    }
    out.write_all(b"0\r\n\r\n")?;
    if behaviour == Behaviour::ExtraResponse {
        out.write_all(plain(200, "").as_bytes())?;
    }
    Ok(true)
}

fn chunk(out: &mut TcpStream, text: &str) -> io::Result<()> {
    out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
