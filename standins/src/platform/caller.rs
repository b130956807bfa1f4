//! A caller of the users' machines, on plain sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

use super::Headers;

/// An answer as a caller sees it.
#[derive(Debug, Default)]
pub struct Response {
    /// HTTP status; zero if no answer came.
    pub status: u16,
    /// Headers.
    pub headers: Headers,
    /// Body as far as it came.
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub complete: bool,
}

impl Response {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }
}

/// The bytes of a request with a key.
pub fn request(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    key: &str,
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer {key}\r\n\
         Parsleybeam-Request-Deadline: 5000\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// An open connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects; reads wait at most for `patience`.
    pub fn open(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, patience)?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sends a request and reads its answer; a connection that breaks leaves
    /// the answer as far as it came, with the error.
    pub fn exchange(&mut self, bytes: &[u8]) -> (Response, io::Result<()>) {
        let mut answer = Response::default();
        let outcome = self.try_exchange(bytes, &mut answer);
        (answer, outcome)
    }

    fn try_exchange(&mut self, bytes: &[u8], answer: &mut Response) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)?;
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        answer.status = line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        answer.headers = Headers::read(&mut self.reader)?;
        if answer.header("transfer-encoding").is_some() {
            return self.read_chunks(answer);
        }
        answer.body = vec![0; answer.headers.length()];
        self.reader.read_exact(&mut answer.body)?;
        answer.complete = true;
        Ok(())
    }

    fn read_chunks(&mut self, answer: &mut Response) -> io::Result<()> {
        loop {
            let mut line = String::new();
            self.reader.read_line(&mut line)?;
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            let mut piece = vec![0; length + 2];
            self.reader.read_exact(&mut piece)?;
            if length == 0 {
                answer.complete = true;
                return Ok(());
            }
            answer.body.extend_from_slice(&piece[..length]);
        }
    }
}

/// Sends a request on a connection of its own.
pub fn exchange(address: SocketAddr, bytes: &[u8], patience: Duration) -> Response {
    match Connection::open(address, patience) {
        Ok(mut connection) => connection.exchange(bytes).0,
        Err(_) => Response::default(),
    }
}
