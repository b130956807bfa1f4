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
pub enum Manner {
    /// All events.
    Whole,
    /// This many events and half of the next one; then the connection ends.
    Cut(usize),
    /// This many events; then nothing more comes.
    Silent(usize),
    /// The answer names another request.
    Crossed,
    /// A further answer follows the whole one.
    Surplus,
    /// Says that it hasn't run the request.
    Refused,
    /// Fails with a status of its own.
    Failed(u16),
    /// One event comes twice.
    Doubled,
    /// The replica crashes: the connection ends and no other is taken.
    Crash,
}

/// A request as it arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// First line.
    pub line: String,
    /// Headers.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the replica began to run it.
    pub ran: bool,
}

impl Seen {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)
    }
}

#[derive(Debug, Default)]
struct State {
    down: bool,
    manners: VecDeque<Manner>,
    seen: Vec<Seen>,
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
    pub fn next(&self, manners: &[Manner]) {
        self.state.lock().manners.extend(manners);
    }

    /// All requests so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.state.lock().seen.clone()
    }
}

fn serve(stream: TcpStream, state: &Mutex<State>, pause: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(seen) = read(&mut reader)? {
        let manner = {
            let mut state = state.lock();
            if state.down {
                return Ok(());
            }
            let manner = state.manners.pop_front().unwrap_or(Manner::Whole);
            state.seen.push(Seen { ran: manner != Manner::Refused, ..seen.clone() });
            state.down = manner == Manner::Crash;
            manner
        };
        if manner == Manner::Crash {
            // The first connection wakes the listener, which then ends.
            while TcpStream::connect(writer.local_addr()?).is_ok() {
                thread::sleep(Duration::from_millis(1));
            }
            return Ok(());
        }
        if !answer(&mut writer, &seen, manner, pause)? {
            return Ok(());
        }
    }
    Ok(())
}

fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Seen>> {
    let mut seen = Seen::default();
    if reader.read_line(&mut seen.line)? == 0 {
        return Ok(None);
    }
    seen.headers = Headers::read(reader)?;
    seen.body = vec![0; seen.headers.length()];
    reader.read_exact(&mut seen.body)?;
    Ok(Some(seen))
}

/// Answers one request; whether the connection goes on.
fn answer(out: &mut TcpStream, seen: &Seen, manner: Manner, pause: Duration) -> io::Result<bool> {
    let name = seen.header("parsleybeam-request-id").unwrap_or_default();
    let name = if manner == Manner::Crossed { "another" } else { name };
    let plain = |status: u16, more: &str| {
        format!(
            "HTTP/1.1 {status} X\r\nparsleybeam-request-id: {name}\r\n{more}content-length: 0\r\n\r\n"
        )
    };
    match manner {
        Manner::Refused => {
            out.write_all(plain(503, "parsleybeam-not-executed: 1\r\n").as_bytes())?;
            return Ok(true);
        }
        Manner::Failed(status) => {
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
    let last: u64 = seen.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    for (count, id) in (last + 1..=EVENTS).enumerate() {
        match manner {
            Manner::Cut(after) if after == count => {
                chunk(out, &format!("id: {id}\nda"))?;
                return Ok(false);
            }
            Manner::Silent(after) if after == count => {
                thread::sleep(Duration::from_secs(60));
                return Ok(false);
            }
            _ => {}
        }
        thread::sleep(pause);
        chunk(out, &format!("id: {id}\ndata: event {id}\n\n"))?;
        if manner == Manner::Doubled && count == 1 {
            chunk(out, &format!("id: {id}\ndata: event {id}\n\n"))?;
        }
    }
    out.write_all(b"0\r\n\r\n")?;
    if manner == Manner::Surplus {
        out.write_all(plain(200, "").as_bytes())?;
    }
    Ok(true)
}

fn chunk(out: &mut TcpStream, text: &str) -> io::Result<()> {
    out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
