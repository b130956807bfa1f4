//! HTTP/1.1 on plain sockets: a server with a thread for each connection, and a client.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as a server read it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name).unwrap_or("")
    }

    /// Value of a query parameter.
    pub fn parameter(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map(|(_, value)| decode(value)).unwrap_or_default()
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        let code = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A connection of a server, and the requests read from it so far.
pub struct Peer {
    pub out: TcpStream,
    pub reader: BufReader<TcpStream>,
}

fn read_headers<R>(reader: &mut R) -> io::Result<Vec<(String, String)>>
where
    R: BufRead,
{
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
            None => return Ok(headers),
        }
    }
}

fn read_chunks<R>(reader: &mut R, body: &mut Vec<u8>) -> io::Result<()>
where
    R: BufRead,
{
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let length = line.trim().split(';').next().unwrap_or("");
        let length = usize::from_str_radix(length, 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk)?;
        if length == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

impl Peer {
    /// Reads the next request; none at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut words = line.split_whitespace();
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut request = Request {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            headers: read_headers(&mut self.reader)?,
            body: Vec::new(),
        };
        if request.header("transfer-encoding").contains("chunked") {
            read_chunks(&mut self.reader, &mut request.body)?;
        } else {
            request.body = vec![0; request.header("content-length").parse().unwrap_or(0)];
            self.reader.read_exact(&mut request.body)?;
        }
        Ok(Some(request))
    }

    /// Answers with a whole body.
    pub fn answer(&mut self, status: u16, headers: &str, body: &str) -> io::Result<()> {
        let answer =
            format!("HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n{body}", body.len());
        self.out.write_all(answer.as_bytes())
    }

    /// Begins an answer in chunks.
    pub fn begin_chunks(&mut self, status: u16, headers: &str) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status} X\r\n{headers}transfer-encoding: chunked\r\n\r\n");
        self.out.write_all(head.as_bytes())
    }

    /// Sends one chunk.
    pub fn chunk(&mut self, text: &str) -> io::Result<()> {
        self.out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
    }

    /// Ends an answer in chunks.
    pub fn end_chunks(&mut self) -> io::Result<()> {
        self.out.write_all(b"0\r\n\r\n")
    }

    /// Whether the other side has closed the connection.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.out.set_nonblocking(true);
        let mut byte = [0];
        let closed = match self.out.peek(&mut byte) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
        let _ = self.out.set_nonblocking(false);
        closed
    }
}

/// Serves connections at `address`, each on a thread of its own; `serve` handles one.
pub fn listen<S>(address: SocketAddr, serve: S) -> io::Result<SocketAddr>
where
    S: Fn(Peer) -> io::Result<()> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(reader) = stream.try_clone() else { return };
                // An error only ends its own connection.
                let _ = serve(Peer { out: stream, reader: BufReader::new(reader) });
            });
        }
    });
    Ok(address)
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; zero if no head arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer arrived to its end.
    pub complete: bool,
    /// How the connection failed, if it did.
    pub error: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// In one line.
    pub fn summary(&self) -> String {
        let end = if self.complete { "complete" } else { "not complete" };
        let error =
            if self.error.is_empty() { String::new() } else { format!(" ({})", self.error) };
        format!("status {}, {} bytes, {end}{error}", self.status, self.body.len())
    }
}

/// A kept connection of a client.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sends a request and reads its answer to the end.
    pub fn exchange(&mut self, head: &str, body: &[u8]) -> Answer {
        let mut answer = Answer::default();
        match self.try_exchange(head, body, &mut answer) {
            Ok(()) => answer.complete = true,
            Err(error) => answer.error = error.to_string(),
        }
        answer
    }

    fn try_exchange(&mut self, head: &str, body: &[u8], answer: &mut Answer) -> io::Result<()> {
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes)?;
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        answer.status = line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        answer.headers = read_headers(&mut self.reader)?;
        if answer.header("transfer-encoding").contains("chunked") {
            return read_chunks(&mut self.reader, &mut answer.body);
        }
        let length: usize = answer.header("content-length").parse().unwrap_or(0);
        answer.body = vec![0; length];
        self.reader.read_exact(&mut answer.body)
    }
}

/// The head of a request; `headers` are whole lines.
pub fn head(method: &str, target: &str, host: &str, headers: &[String], body: &[u8]) -> String {
    let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    for line in headers {
        head.push_str(line);
        head.push_str("\r\n");
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    head
}

/// Sends a request on a new connection.
pub fn call(address: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> Answer {
    match Connection::open(address, timeout) {
        Ok(mut connection) => connection.exchange(head, body),
        Err(error) => Answer { error: error.to_string(), ..Answer::default() },
    }
}
