//! The socket of a caller's connection: limits on the time for which it may be idle, that the head of
//! a request may take, and for which a response may stay unread; and the memory that it takes.
//!
//! The times are those in force at present, not at the opening of the connection, as callers reuse
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

use hyper::body;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time;

use super::clients;
use super::memory;
use super::responses;
use super::state::RelayState;

/// Limit before any routes are known.
pub(super) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// Memory of a connection: the buffer that requests are read into, and its task.
const CONNECTION_BYTES: u64 = 16 * 1024;

/// Memory by which the buffer grows for a part of a head. New connections have it from the beginning,
/// so that they are accepted only if there is room for a head.
const HEAD_BUFFER_BYTES: u64 = 16 * 1024;

/// Bytes that the system's buffers hold of a connection, each way.
const SOCKET_BYTES: u64 = 2 * super::server::CLIENT_BUFFER_BYTES as u64;

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeadPhase {
    /// The first byte of the first request.
    Unused,
    /// The first byte of a further request.
    Idle,
    /// The rest of the head.
    Receiving,
    /// The rest of the body, if there is one.
    ReceivingBody,
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
                Some(limits.map_or(DEFAULT_TIMEOUT, |limits| limits.idle_timeout))
            }
            Self::Receiving => Some(limits.map_or(DEFAULT_TIMEOUT, |limits| limits.header_timeout)),
            Self::ReceivingBody | Self::Responding | Self::Flushing => None,
        }
    }
}

/// A wait for the caller.
#[derive(Debug)]
struct TimedWait {
    started_at: time::Instant,
    timer: Pin<Box<time::Sleep>>,
}

impl TimedWait {
    fn new(limit: Duration) -> Self {
        Self {
            started_at: time::Instant::now(),
            timer: Box::pin(time::sleep(limit)),
        }
    }

    /// Returns whether the wait has taken longer than the limit, and goes on after `earliest_end`.
    fn poll_expired(
        &mut self,
        context: &mut Context<'_>,
        limit: Duration,
        earliest_end: Option<time::Instant>,
    ) -> bool {
        while self.timer.as_mut().poll(context).is_ready() {
            // The limit may have been raised in the meantime.
            let ends_at = self.started_at + limit;
            let ends_at = earliest_end.map_or(ends_at, |earliest| earliest.max(ends_at));
            if ends_at <= time::Instant::now() {
                return true;
            }
            self.timer.as_mut().reset(ends_at);
        }
        false
    }
}

/// Bytes of a connection that are not in the reservations of its calls.
#[derive(Debug, Clone, Copy, Default)]
struct ConnectionBytes {
    /// The head of the current request, with its buffer.
    head: u64,
    /// Whatever follows the current request before its response.
    ahead: u64,
    /// What was sent since the caller began its last request, and may not be read yet.
    sent: u64,
}

impl ConnectionBytes {
    fn total(self) -> u64 {
        let waiting = match self.ahead {
            0 => 0,
            ahead => ahead + SOCKET_BYTES,
        };
        CONNECTION_BYTES + self.head + waiting + self.sent
    }
}

/// State of one connection, shared by its service and its socket.
#[derive(Debug)]
struct TrackedConnection {
    phase: HeadPhase,
    /// The wait for bytes of the caller, once it has begun.
    read_wait: Option<TimedWait>,
    /// The wait until the caller reads more of a response, once it has begun.
    write_wait: Option<TimedWait>,
    /// Time before which a response may stay unread: the end of the time that its caller gave it.
    response_due: Option<time::Instant>,
    /// Whether the HTTP library has all of the response that there is by now.
    is_drained: bool,
    bytes: ConnectionBytes,
    reservation: memory::MemoryReservation,
}

/// Follows the phases of one connection.
#[derive(Clone)]
pub(super) struct ConnectionTracker {
    tracked: Rc<RefCell<TrackedConnection>>,
    client: Rc<clients::ClientConnection>,
    state: Rc<RelayState>,
}

impl ConnectionTracker {
    pub(super) fn new(state: Rc<RelayState>, client: Rc<clients::ClientConnection>) -> Self {
        let account = &state.memory.clients;
        let mut reservation = account.reserve_nothing_for(client.held());
        let bytes = ConnectionBytes {
            head: HEAD_BUFFER_BYTES,
            ..ConnectionBytes::default()
        };
        reservation.resize(bytes.total());
        let tracked = TrackedConnection {
            phase: HeadPhase::Unused,
            read_wait: None,
            write_wait: None,
            response_due: None,
            is_drained: true,
            bytes,
            reservation,
        };
        let tracker = Self {
            tracked: Rc::new(RefCell::new(tracked)),
            client,
            state,
        };
        tracker.state.enforce_client_memory();
        tracker
    }

    /// Returns the memory that is held for the caller.
    pub(super) fn held(&self) -> &Rc<memory::HeldMemory> {
        self.client.held()
    }

    /// Returns whether no byte of a request has been received yet.
    pub(super) fn is_unused(&self) -> bool {
        self.phase() == HeadPhase::Unused
    }

    /// Records that a head is complete.
    pub(super) fn record_head(&self) {
        self.enter(HeadPhase::ReceivingBody);
        self.tracked.borrow_mut().response_due = None;
    }

    /// Records that a request is complete, and until when its caller waits for the response.
    pub(super) fn record_request(&self, response_due: time::Instant) {
        self.enter(HeadPhase::Responding);
        self.tracked.borrow_mut().response_due = Some(response_due);
    }

    /// Returns the body of a response. When it is dropped, the HTTP library has all of it.
    pub(super) fn track_body(&self, body: responses::ResponseBody) -> TrackedBody {
        if self.phase() == HeadPhase::ReceivingBody {
            self.enter(HeadPhase::Responding);
        }
        TrackedBody {
            body,
            tracker: self.clone(),
        }
    }

    fn phase(&self) -> HeadPhase {
        self.tracked.borrow().phase
    }

    fn enter(&self, phase: HeadPhase) {
        let mut tracked = self.tracked.borrow_mut();
        tracked.phase = phase;
        tracked.read_wait = None;
        match phase {
            HeadPhase::Unused | HeadPhase::Idle => {
                self.client.await_input(clients::AwaitedInput::Request);
            }
            HeadPhase::Receiving => {}
            HeadPhase::ReceivingBody => self.client.await_input(clients::AwaitedInput::Body),
            HeadPhase::Responding => self.client.end_wait(),
            HeadPhase::Flushing => tracked.is_drained = true,
        }
    }

    /// Counts the memory of the connection anew.
    fn count(&self, change: impl FnOnce(&mut ConnectionBytes)) {
        let mut tracked = self.tracked.borrow_mut();
        change(&mut tracked.bytes);
        let total = tracked.bytes.total();
        let is_more = total > tracked.reservation.bytes();
        if total != tracked.reservation.bytes() {
            tracked.reservation.resize(total);
        }
        drop(tracked);
        if is_more {
            self.state.enforce_client_memory();
        }
    }

    fn record_received(&self, count: usize) {
        let count = count as u64;
        match self.phase() {
            HeadPhase::Unused | HeadPhase::Idle => {
                self.enter(HeadPhase::Receiving);
                self.count(|bytes| {
                    *bytes = ConnectionBytes {
                        head: HEAD_BUFFER_BYTES + count,
                        ..ConnectionBytes::default()
                    };
                });
            }
            HeadPhase::Receiving => self.count(|bytes| bytes.head += count),
            // The reservation of the call counts them.
            HeadPhase::ReceivingBody => {}
            HeadPhase::Responding | HeadPhase::Flushing => self.count(|bytes| bytes.ahead += count),
        }
    }

    fn record_sent(&self, count: usize) {
        self.tracked.borrow_mut().write_wait = None;
        self.count(|bytes| bytes.sent = bytes.sent.saturating_add(count as u64).min(SOCKET_BYTES));
    }

    /// Records that all that there is of a response was passed to the system.
    fn record_flushed(&self) {
        let tracked = self.tracked.borrow();
        let (phase, is_drained) = (tracked.phase, tracked.is_drained);
        drop(tracked);
        match phase {
            HeadPhase::Flushing => {
                self.enter(HeadPhase::Idle);
                // What was sent ahead belongs to the next request.
                self.count(|bytes| bytes.head = std::mem::take(&mut bytes.ahead));
            }
            HeadPhase::Responding if is_drained => self.client.end_wait(),
            _ => {}
        }
    }

    /// Begins or continues to wait for bytes, and returns whether that has taken too long.
    fn poll_read_expired(&self, context: &mut Context<'_>) -> bool {
        let mut tracked = self.tracked.borrow_mut();
        let Some(limit) = tracked.phase.limit(&self.state) else {
            return false;
        };
        let wait = tracked
            .read_wait
            .get_or_insert_with(|| TimedWait::new(limit));
        wait.poll_expired(context, limit, None)
    }

    /// Begins or continues to wait until the caller reads, and returns whether that has taken too
    /// long. Callers may read late as long as they could still wait for the response.
    fn poll_write_expired(&self, context: &mut Context<'_>) -> bool {
        if self.client.wait().is_none() {
            self.client.await_input(clients::AwaitedInput::Reading);
            // The stream may have stalled before the connection was known to wait.
            self.state.enforce_stalled_memory();
        }
        let limits = self.state.routes().map(|routes| routes.table.limits());
        let limit = limits.map_or(DEFAULT_TIMEOUT, |limits| limits.idle_timeout);
        let mut tracked = self.tracked.borrow_mut();
        let response_due = tracked.response_due;
        let wait = tracked
            .write_wait
            .get_or_insert_with(|| TimedWait::new(limit));
        wait.poll_expired(context, limit, response_due)
    }
}

/// The body of a response, whose drop ends the response.
pub(super) struct TrackedBody {
    body: responses::ResponseBody,
    tracker: ConnectionTracker,
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.tracker.enter(HeadPhase::Flushing);
    }
}

impl body::Body for TrackedBody {
    type Data = responses::HeldBytes;
    type Error = responses::StreamInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<body::Frame<responses::HeldBytes>, responses::StreamInterrupted>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let is_drained = polled.is_pending() && !self.body.is_stalled();
        self.tracker.tracked.borrow_mut().is_drained = is_drained;
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

/// A socket that reports the end of its input when a connection is idle for too long, and whose
/// reads and writes fail with `TimedOut` when a head, or the reading of a response, takes too long.
pub(super) struct CallerSocket {
    inner: TcpStream,
    tracker: ConnectionTracker,
}

impl CallerSocket {
    pub(super) const fn new(inner: TcpStream, tracker: ConnectionTracker) -> Self {
        Self { inner, tracker }
    }

    /// Returns the end of a read for which no bytes have arrived.
    fn poll_read_limit(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.tracker.poll_read_expired(context) {
            return Poll::Pending;
        }
        Poll::Ready(match self.tracker.phase() {
            HeadPhase::Receiving => Err(io::ErrorKind::TimedOut.into()),
            _ => Ok(()),
        })
    }

    /// Handles the result of a write.
    fn finish_write(
        &self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(count)) => self.tracker.record_sent(*count),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                if self.tracker.poll_write_expired(context) {
                    return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
                }
            }
        }
        written
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        // Bytes that have arrived count, even if the limit has passed since.
        let Poll::Ready(read) = Pin::new(&mut self.inner).poll_read(context, buffer) else {
            return self.poll_read_limit(context);
        };
        let received = buffer.filled().len() - filled_before;
        if received > 0 {
            self.tracker.record_received(received);
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.finish_write(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = task::ready!(Pin::new(&mut self.inner).poll_flush(context));
        let was_flushing = self.tracker.phase() == HeadPhase::Flushing;
        self.tracker.record_flushed();
        if was_flushing {
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
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, parts);
        self.finish_write(context, written)
    }
}
