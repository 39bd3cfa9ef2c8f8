//! A connection whose peer may send only a limited number of bytes, until the limit is lifted.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Largest number of bytes read at once under a limit.
const MAX_READ: usize = 8 << 10;

/// Number of bytes that the peer may still send; no limit by default.
#[derive(Debug, Default)]
pub struct Allowance(Cell<Option<usize>>);

impl Allowance {
    /// Allows at most `bytes` from now on.
    ///
    /// ```
    /// let allowance = gateway::guard::Allowance::default();
    /// allowance.limit(10);
    /// assert_eq!(allowance.left(), Some(10));
    /// allowance.lift();
    /// assert_eq!(allowance.left(), None);
    /// ```
    pub fn limit(&self, bytes: usize) {
        self.0.set(Some(bytes));
    }

    /// Lifts the limit.
    pub fn lift(&self) {
        self.0.set(None);
    }

    /// Returns the number of bytes left, if there is a limit.
    pub fn left(&self) -> Option<usize> {
        self.0.get()
    }

    fn use_up(&self, bytes: usize) {
        self.0.set(self.0.get().map(|left| left.saturating_sub(bytes)));
    }
}

/// Fails reads from `inner` beyond the allowance.
#[derive(Debug)]
pub struct Guard<T> {
    inner: T,
    allowance: Rc<Allowance>,
}

impl<T> Guard<T> {
    /// Guards a connection.
    pub fn new(inner: T, allowance: Rc<Allowance>) -> Guard<T> {
        Guard { inner, allowance }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Guard<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(left) = self.allowance.left() else {
            return Pin::new(&mut self.inner).poll_read(cx, buffer);
        };
        if left == 0 {
            let why = "the peer sent too many bytes before the head of its answer was complete";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, why)));
        }
        let length = left.min(MAX_READ).min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let read = Pin::new(&mut self.inner).poll_read(cx, &mut part);
        let length = part.filled().len();
        buffer.advance(length);
        self.allowance.use_up(length);
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Guard<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
