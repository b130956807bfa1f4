//! An HTTP client that reports partial responses, on plain sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

use super::Headers;

/// A response, which may be incomplete.
#[derive(Debug, Default)]
pub struct Response {
    /// HTTP status; zero if no response was received.
    pub status: u16,
    /// Headers of the response.
    pub headers: Headers,
    /// Body as far as it was received.
    pub body: Vec<u8>,
    /// Whether the whole body was received.
    pub complete: bool,
}

impl Response {
    /// Returns the value of a header, given its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)
    }

    /// Returns the body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON; panics if it isn't.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }
}

/// Encodes a request that is authorized with a key.
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
    /// Connects; the timeout applies to connecting and to each read.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sends the first part of a request.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Sends a request, or the rest of it, and reads the response. If the connection fails, the
    /// error comes with the part of the response that was received.
    pub fn exchange(&mut self, bytes: &[u8]) -> (Response, io::Result<()>) {
        let mut response = Response::default();
        let outcome = self.try_exchange(bytes, &mut response);
        (response, outcome)
    }

    fn try_exchange(&mut self, bytes: &[u8], response: &mut Response) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)?;
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        response.status = line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        response.headers = Headers::read(&mut self.reader)?;
        if response.header("transfer-encoding").is_some() {
            return self.read_chunks(response);
        }
        response.body = vec![0; response.headers.length()];
        self.reader.read_exact(&mut response.body)?;
        response.complete = true;
        Ok(())
    }

    fn read_chunks(&mut self, response: &mut Response) -> io::Result<()> {
        loop {
            let mut line = String::new();
            self.reader.read_line(&mut line)?;
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            let mut chunk = vec![0; length + 2];
            self.reader.read_exact(&mut chunk)?;
            if length == 0 {
                response.complete = true;
                return Ok(());
            }
            response.body.extend_from_slice(&chunk[..length]);
        }
    }
}

/// Sends a request on a new connection; the status is zero if it fails.
pub fn exchange(address: SocketAddr, bytes: &[u8], timeout: Duration) -> Response {
    match Connection::open(address, timeout) {
        Ok(mut connection) => connection.exchange(bytes).0,
        Err(_) => Response::default(),
    }
}
