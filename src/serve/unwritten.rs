//! Connections of callers with bytes of an answer that wait for the caller to read.
//!
//! actix takes an answer into its write buffer and drops it; the process must not end before
//! the buffer has been written.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of connections with unwritten bytes.
#[derive(Clone, Debug, Default)]
pub struct Count(Rc<Cell<usize>>);

impl Count {
    /// The number now.
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

/// A caller's connection, counted while bytes wait.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    waits: bool,
    count: Count,
}

impl Connection {
    /// A connection on which nothing waits.
    pub fn new(stream: TcpStream, count: Count) -> Self {
        Self { stream, waits: false, count }
    }

    fn set_waits(&mut self, waits: bool) {
        if self.waits == waits {
            return;
        }
        self.waits = waits;
        let count = self.count.get();
        self.count.0.set(if waits { count + 1 } else { count - 1 });
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        // Whoever writes goes on until nothing is left, unless the socket takes no more.
        self.set_waits(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.set_waits(false);
    }
}
