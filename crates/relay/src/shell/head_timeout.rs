//! Limits on the time for which a caller's connection may be idle, and on the time that the head of
//! a request may take.
//!
//! Both are those in force at present, not at the opening of the connection, as callers reuse
//! connections by the limits that they know. The HTTP library can't change its own timeout on an
//! open connection.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time;

use super::responses;
use super::state::RelayState;

/// Limit before any routes are known.
const DEFAULT_LIMIT: Duration = Duration::from_secs(15);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeadPhase {
    /// The first byte of the first request.
    Unused,
    /// The first byte of a further request.
    Idle,
    /// The rest of the head.
    Receiving,
    /// The end of the response.
    Responding,
    /// The caller, which has to read the rest of the response.
    Flushing,
}

impl HeadPhase {
    /// Returns the limit in force on the time in this phase, if there is one.
    fn limit(self, state: &RelayState) -> Option<Duration> {
        let limits = state.routes().map(|routes| routes.table.limits());
        match self {
            Self::Unused | Self::Idle => {
                Some(limits.map_or(DEFAULT_LIMIT, |limits| limits.idle_timeout))
            }
            Self::Receiving => Some(limits.map_or(DEFAULT_LIMIT, |limits| limits.header_timeout)),
            Self::Responding | Self::Flushing => None,
        }
    }
}

/// A wait for bytes of the caller.
#[derive(Debug)]
struct HeadWait {
    started_at: time::Instant,
    timer: Pin<Box<time::Sleep>>,
}

impl HeadWait {
    fn new(limit: Duration) -> Self {
        Self {
            started_at: time::Instant::now(),
            timer: Box::pin(time::sleep(limit)),
        }
    }
}

/// Phase of a connection, and the wait for its end once that has begun.
#[derive(Debug)]
struct TrackedPhase {
    phase: HeadPhase,
    wait: Option<HeadWait>,
}

/// Phase of one connection, shared by its service and its socket.
#[derive(Debug, Clone)]
pub(super) struct HeadTracker(Rc<RefCell<TrackedPhase>>);

impl HeadTracker {
    pub(super) fn new() -> Self {
        Self(Rc::new(RefCell::new(TrackedPhase {
            phase: HeadPhase::Unused,
            wait: None,
        })))
    }

    /// Returns whether no byte of a request has been received yet.
    pub(super) fn is_unused(&self) -> bool {
        self.phase() == HeadPhase::Unused
    }

    /// Records that a head is complete.
    pub(super) fn record_head(&self) {
        self.enter(HeadPhase::Responding);
    }

    /// Returns the body of a response. When it is dropped, the HTTP library has all of it.
    pub(super) fn track_body(&self, body: responses::ResponseBody) -> TrackedBody {
        TrackedBody {
            body,
            tracker: self.clone(),
        }
    }

    fn phase(&self) -> HeadPhase {
        self.0.borrow().phase
    }

    fn enter(&self, phase: HeadPhase) {
        *self.0.borrow_mut() = TrackedPhase { phase, wait: None };
    }

    fn record_bytes(&self) {
        if matches!(self.phase(), HeadPhase::Unused | HeadPhase::Idle) {
            self.enter(HeadPhase::Receiving);
        }
    }

    /// Begins or continues to wait, and returns whether that has taken too long.
    fn poll_expired(&self, context: &mut Context<'_>, state: &RelayState) -> bool {
        let mut tracked = self.0.borrow_mut();
        let phase = tracked.phase;
        let Some(limit) = phase.limit(state) else {
            return false;
        };
        let wait = tracked.wait.get_or_insert_with(|| HeadWait::new(limit));
        while wait.timer.as_mut().poll(context).is_ready() {
            // The limit may have been raised in the meantime.
            let ends_at = wait.started_at + limit;
            if ends_at <= time::Instant::now() {
                return true;
            }
            wait.timer.as_mut().reset(ends_at);
        }
        false
    }
}

/// The body of a response, whose drop ends the response.
pub(super) struct TrackedBody {
    body: responses::ResponseBody,
    tracker: HeadTracker,
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.tracker.enter(HeadPhase::Flushing);
    }
}

impl body::Body for TrackedBody {
    type Data = Bytes;
    type Error = responses::StreamInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<body::Frame<Bytes>, responses::StreamInterrupted>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

/// A socket that reports the end of its input when a connection is idle for too long, and whose
/// reads fail with `TimedOut` when a head takes too long.
pub(super) struct HeadTimeoutSocket<S> {
    inner: S,
    tracker: HeadTracker,
    state: Rc<RelayState>,
}

impl<S> HeadTimeoutSocket<S> {
    pub(super) fn new(inner: S, tracker: HeadTracker, state: Rc<RelayState>) -> Self {
        Self {
            inner,
            tracker,
            state,
        }
    }

    /// Returns the end of a read for which no bytes have arrived.
    fn poll_limit(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.tracker.poll_expired(context, &self.state) {
            return Poll::Pending;
        }
        Poll::Ready(match self.tracker.phase() {
            HeadPhase::Receiving => Err(io::ErrorKind::TimedOut.into()),
            _ => Ok(()),
        })
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadTimeoutSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        // Bytes that have arrived count, even if the limit has passed since.
        let Poll::Ready(read) = Pin::new(&mut self.inner).poll_read(context, buffer) else {
            return self.poll_limit(context);
        };
        if buffer.filled().len() > filled_before {
            self.tracker.record_bytes();
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
        let flushed = task::ready!(Pin::new(&mut self.inner).poll_flush(context));
        if self.tracker.phase() == HeadPhase::Flushing {
            self.tracker.enter(HeadPhase::Idle);
            // The HTTP library doesn't read again by itself, which the idle timeout needs.
            context.waker().wake_by_ref();
        }
        Poll::Ready(flushed)
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
