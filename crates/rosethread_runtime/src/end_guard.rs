//! A socket whose end counts only if nothing went wrong before it.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Turns the end of a socket into an error if a write has failed before.
///
/// The kernel reports a reset once. If a write takes that error, a later read finds a regular end, and a
/// body that ends with its connection would seem to be complete. What has arrived before can be read.
#[derive(Debug)]
pub struct EndGuard<S> {
    socket: S,
    has_failed: bool,
}

impl<S> EndGuard<S> {
    /// Wraps a socket on which no write has failed.
    pub fn new(socket: S) -> EndGuard<S> {
        EndGuard { socket, has_failed: false }
    }

    fn record<T>(&mut self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.has_failed |= matches!(result, Poll::Ready(Err(_)));
        result
    }
}

impl<S> AsyncRead for EndGuard<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        let is_end = buffer.filled().len() == before && buffer.remaining() != 0;
        if is_end && self.has_failed {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl<S> AsyncWrite for EndGuard<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, slices);
        self.record(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.socket).poll_flush(context);
        self.record(flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
