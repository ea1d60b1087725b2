//! Limit on the time that a caller may take to send the head of a request.
//!
//! The HTTP library's own limit runs from the end of the request before, so that it serves for
//! connections that stay idle; callers may do that for longer than they may take for a head.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time;

/// What a connection waits for.
#[derive(Debug)]
enum HeadPhase {
    /// The first byte of a request.
    Idle,
    /// The rest of its head, until the time is over.
    Receiving(Pin<Box<time::Sleep>>),
    /// The answer.
    Answering,
}

/// Phase of one connection; the service and the socket share it.
#[derive(Debug, Clone)]
pub(super) struct HeadWatch(Rc<RefCell<HeadPhase>>);

impl HeadWatch {
    pub(super) fn new() -> Self {
        Self(Rc::new(RefCell::new(HeadPhase::Idle)))
    }

    /// Notes that a head is complete.
    pub(super) fn note_head(&self) {
        *self.0.borrow_mut() = HeadPhase::Answering;
    }

    /// Notes that the answer is decided, so that what comes next is another head.
    pub(super) fn note_answer(&self) {
        *self.0.borrow_mut() = HeadPhase::Idle;
    }

    fn note_bytes(&self, limit: Duration) {
        let mut phase = self.0.borrow_mut();
        if matches!(*phase, HeadPhase::Idle) {
            *phase = HeadPhase::Receiving(Box::pin(time::sleep(limit)));
        }
    }

    fn poll_late(&self, context: &mut Context<'_>) -> bool {
        match &mut *self.0.borrow_mut() {
            HeadPhase::Receiving(limit) => limit.as_mut().poll(context).is_ready(),
            HeadPhase::Idle | HeadPhase::Answering => false,
        }
    }
}

/// A socket that ends when a head takes too long.
#[derive(Debug)]
pub(super) struct LimitedSocket<S> {
    inner: S,
    watch: HeadWatch,
    limit: Duration,
}

impl<S> LimitedSocket<S> {
    pub(super) fn new(inner: S, watch: HeadWatch, limit: Duration) -> Self {
        Self {
            inner,
            watch,
            limit,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.watch.poll_late(context) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let filled = buffer.filled().len();
        let read = task::ready!(Pin::new(&mut self.inner).poll_read(context, buffer));
        if buffer.filled().len() > filled {
            self.watch.note_bytes(self.limit);
        }
        Poll::Ready(read)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedSocket<S> {
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
