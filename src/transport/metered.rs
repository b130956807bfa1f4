//! Stream between hyper and a socket that feeds the bounds of a connection.

use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::bound::Bound;
use super::connector::Stream;
use crate::clock::Clock;

/// Maximum number of bytes of one write: a tunnel passes each on in a frame, whose size its
/// ends bound.
const WRITE_BYTES: usize = 32 << 10;

/// Bounds of a connection, shared by its stream and the reader of its answers.
pub(super) type Shared = Rc<RefCell<Bound>>;

/// A stream whose received bytes are counted; reads fail once a bound is passed.
pub(super) struct Metered {
    pub stream: Box<dyn Stream>,
    pub bound: Shared,
    pub clock: Arc<dyn Clock>,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = buffer.filled().len() - before;
        if received > 0 {
            let now = self.clock.now();
            self.bound.borrow_mut().received(received, now).map_err(io::Error::other)?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let buffer = &buffer[..buffer.len().min(WRITE_BYTES)];
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
