//! Limit on the time that a caller may take to send the head of a request.
//!
//! The HTTP library's own timeout starts at the end of the previous request, so it is used as the
//! timeout of idle connections. Callers may stay idle for longer than they may take for a head.

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
    /// The first byte of the first request.
    Unused,
    /// The first byte of a further request.
    Idle,
    /// The rest of the head, until the timer expires.
    Receiving(Pin<Box<time::Sleep>>),
    /// The response.
    Responding,
}

/// Phase of one connection, shared by its service and its socket.
#[derive(Debug, Clone)]
pub(super) struct HeadTracker(Rc<RefCell<HeadPhase>>);

impl HeadTracker {
    pub(super) fn new() -> Self {
        Self(Rc::new(RefCell::new(HeadPhase::Unused)))
    }

    /// Returns whether no byte of a request has been received yet.
    pub(super) fn is_unused(&self) -> bool {
        matches!(*self.0.borrow(), HeadPhase::Unused)
    }

    /// Records that a head is complete.
    pub(super) fn record_head(&self) {
        *self.0.borrow_mut() = HeadPhase::Responding;
    }

    /// Records that the response is ready, so that the next bytes belong to another head.
    pub(super) fn record_response(&self) {
        *self.0.borrow_mut() = HeadPhase::Idle;
    }

    fn record_bytes(&self, timeout: Duration) {
        let mut phase = self.0.borrow_mut();
        if matches!(*phase, HeadPhase::Unused | HeadPhase::Idle) {
            *phase = HeadPhase::Receiving(Box::pin(time::sleep(timeout)));
        }
    }

    fn poll_expired(&self, context: &mut Context<'_>) -> bool {
        match &mut *self.0.borrow_mut() {
            HeadPhase::Receiving(timer) => timer.as_mut().poll(context).is_ready(),
            HeadPhase::Unused | HeadPhase::Idle | HeadPhase::Responding => false,
        }
    }
}

/// A socket whose reads fail with `TimedOut` when a head takes too long.
#[derive(Debug)]
pub(super) struct HeadTimeoutSocket<S> {
    inner: S,
    tracker: HeadTracker,
    timeout: Duration,
}

impl<S> HeadTimeoutSocket<S> {
    pub(super) fn new(inner: S, tracker: HeadTracker, timeout: Duration) -> Self {
        Self {
            inner,
            tracker,
            timeout,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadTimeoutSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.tracker.poll_expired(context) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let filled_before = buffer.filled().len();
        let read = task::ready!(Pin::new(&mut self.inner).poll_read(context, buffer));
        if buffer.filled().len() > filled_before {
            self.tracker.record_bytes(self.timeout);
        }
        Poll::Ready(read)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadTimeoutSocket<S> {
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
