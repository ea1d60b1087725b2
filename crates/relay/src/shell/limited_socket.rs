//! Sockets whose reads fail when too many bytes arrive before something is known of the other end.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use super::frame_limit;
use super::memory;

/// Bytes that may still arrive on a socket; any number once the limit is lifted.
#[derive(Debug, Clone)]
pub(super) struct ByteLimit(Rc<LimitState>);

#[derive(Debug)]
struct LimitState {
    left: Cell<Option<usize>>,
    /// Memory for the bytes beyond the limit, as far as it lasts.
    beyond: RefCell<Option<memory::MemoryReservation>>,
    /// Set once frames arrive, which are limited too.
    frames: RefCell<Option<FrameLimit>>,
}

#[derive(Debug)]
struct FrameLimit {
    meter: frame_limit::FrameMeter,
    max_bytes: u64,
}

impl ByteLimit {
    /// Allows this many bytes.
    pub(super) fn new(bytes: usize) -> Self {
        Self(Rc::new(LimitState {
            left: Cell::new(Some(bytes)),
            beyond: RefCell::default(),
            frames: RefCell::default(),
        }))
    }

    /// Allows this many bytes, and further ones as far as memory can be reserved for them.
    pub(super) fn with_reservation(bytes: usize, beyond: memory::MemoryReservation) -> Self {
        let limit = Self::new(bytes);
        limit.0.beyond.replace(Some(beyond));
        limit
    }

    /// Takes all further bytes for frames of at most this length.
    pub(super) fn limit_frames(&self, max_bytes: u64) {
        self.0.frames.replace(Some(FrameLimit {
            meter: frame_limit::FrameMeter::default(),
            max_bytes,
        }));
    }

    /// Allows any number of bytes.
    pub(super) fn unlimited() -> Self {
        let limit = Self::new(0);
        limit.lift();
        limit
    }

    /// Allows any number of further bytes, and returns the memory.
    pub(super) fn lift(&self) {
        self.0.left.set(None);
        self.0.beyond.replace(None);
    }

    /// Counts bytes, and returns whether they were allowed.
    fn take(&self, bytes: &[u8]) -> bool {
        let Some(left) = self.0.left.get() else {
            return true;
        };
        if let Some(frames) = self.0.frames.borrow_mut().as_mut()
            && frames.meter.longest_frame(bytes) > frames.max_bytes
        {
            return false;
        }
        self.0.left.set(Some(left.saturating_sub(bytes.len())));
        let excess = bytes.len().saturating_sub(left);
        let mut beyond = self.0.beyond.borrow_mut();
        excess == 0
            || beyond
                .as_mut()
                .is_some_and(|beyond| beyond.grow(excess as u64, memory::GrowthRule::Fair))
    }
}

/// A socket with a limit on the bytes that arrive.
#[derive(Debug)]
pub(super) struct LimitedSocket {
    inner: TcpStream,
    limit: ByteLimit,
}

impl LimitedSocket {
    pub(super) const fn new(inner: TcpStream, limit: ByteLimit) -> Self {
        Self { inner, limit }
    }
}

impl AsyncRead for LimitedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        match self.limit.take(&buffer.filled()[filled_before..]) {
            true => polled,
            false => Poll::Ready(Err(io::ErrorKind::InvalidData.into())),
        }
    }
}

impl AsyncWrite for LimitedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, parts)
    }
}
