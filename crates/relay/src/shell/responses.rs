//! Responses to callers.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::pin;
use std::rc::Rc;
use std::task;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use super::memory;
use super::state::RelayState;
use crate::dispatch;

/// Error that ends a stream before its last event. It breaks the caller's connection, so that the
/// response does not look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamInterrupted;

impl fmt::Display for StreamInterrupted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("stream interrupted before its last event")
    }
}

impl std::error::Error for StreamInterrupted {}

/// Bytes of events that are queued for a caller that reads slowly; beyond that, its target is slowed
/// down.
const MAX_QUEUED_BYTES: usize = 64 * 1024;

/// Memory that a stream takes beside its queue while its caller doesn't read: the buffers of its
/// connection to the target.
const STALLED_STREAM_BYTES: u64 = 256 * 1024;

/// What the sender and the response of a stream share.
#[derive(Debug, Default)]
struct StreamProgress {
    is_complete: Cell<bool>,
    /// Bytes of the events that the caller has not read yet.
    queued_bytes: Cell<usize>,
    /// Whether an event waits until the caller has read others.
    is_stalled: Cell<bool>,
    /// Notified when an event is read.
    event_read: Notify,
}

/// Bytes of a response, and what is released when they are written.
#[derive(Debug)]
pub struct HeldBytes {
    bytes: Bytes,
    _hold: BytesHold,
}

#[derive(Debug)]
enum BytesHold {
    /// The memory that is reserved for a body, if there is any.
    Body {
        _reservation: Option<memory::MemoryReservation>,
    },
    /// The place of an event in the queue of its stream.
    Event { _place: QueuedEvent },
}

impl Buf for HeldBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}

/// Counts an event as queued until it is written.
#[derive(Debug)]
struct QueuedEvent {
    progress: Rc<StreamProgress>,
    length: usize,
}

impl QueuedEvent {
    fn new(progress: &Rc<StreamProgress>, length: usize) -> Self {
        let queued_bytes = &progress.queued_bytes;
        queued_bytes.set(queued_bytes.get() + length);
        Self {
            progress: Rc::clone(progress),
            length,
        }
    }
}

impl Drop for QueuedEvent {
    fn drop(&mut self) {
        let queued_bytes = &self.progress.queued_bytes;
        queued_bytes.set(queued_bytes.get().saturating_sub(self.length));
        self.progress.event_read.notify_one();
    }
}

/// Memory of a stream whose caller reads too slowly.
struct BacklogMemory {
    state: Rc<RelayState>,
    /// Memory of the queued events, but for the first ones.
    queue: memory::MemoryReservation,
    /// Memory of the connection to the target.
    connection: memory::MemoryReservation,
}

impl BacklogMemory {
    /// Returns whether a further event may be queued.
    fn has_room(&mut self, queued_bytes: usize, length: usize) -> bool {
        let needed = (queued_bytes + length).saturating_sub(memory::UNCOUNTED_BYTES) as u64;
        if queued_bytes == 0 || needed == 0 {
            self.queue.resize(0);
            return true;
        }
        let more = needed.saturating_sub(self.queue.bytes());
        queued_bytes < MAX_QUEUED_BYTES && self.queue.grow(more, memory::GrowthRule::Fair)
    }

    /// Counts the connection to the target while the stream waits for its caller.
    fn set_stalled(&mut self, is_stalled: bool) {
        match is_stalled {
            true => {
                self.connection.resize(STALLED_STREAM_BYTES);
                self.state.enforce_stalled_memory();
            }
            false => self.connection.resize(0),
        }
    }
}

/// Sends the events of a stream to the response that its caller reads. Dropped without
/// [`StreamSender::complete`], it interrupts the response, however its task ended.
pub(super) struct StreamSender {
    events: mpsc::Sender<HeldBytes>,
    progress: Rc<StreamProgress>,
    memory: RefCell<BacklogMemory>,
}

impl StreamSender {
    /// Queues an event; waits while the caller reads too slowly.
    ///
    /// # Errors
    ///
    /// [`StreamInterrupted`] if the caller has left.
    pub(super) async fn send(&self, event: Bytes) -> Result<(), StreamInterrupted> {
        let has_room = || {
            let queued_bytes = self.progress.queued_bytes.get();
            let mut memory = self.memory.borrow_mut();
            memory.has_room(queued_bytes, event.len())
        };
        if !has_room() {
            self.progress.is_stalled.set(true);
            self.memory.borrow_mut().set_stalled(true);
            while !has_room() {
                tokio::select! {
                    () = self.progress.event_read.notified() => {}
                    () = self.events.closed() => return Err(StreamInterrupted),
                }
            }
            self.memory.borrow_mut().set_stalled(false);
            self.progress.is_stalled.set(false);
        }
        let place = QueuedEvent::new(&self.progress, event.len());
        let event = HeldBytes {
            bytes: event,
            _hold: BytesHold::Event { _place: place },
        };
        self.events.send(event).await.map_err(|_| StreamInterrupted)
    }

    /// Waits until the caller has left.
    pub(super) async fn closed(&self) {
        self.events.closed().await;
    }

    /// Returns whether the caller has left.
    pub(super) fn is_closed(&self) -> bool {
        self.events.is_closed()
    }

    /// Lets the response end as complete once all queued events are read.
    pub(super) fn complete(&self) {
        self.progress.is_complete.set(true);
    }
}

/// Events of a stream that a caller reads.
#[derive(Debug)]
pub struct StreamEvents {
    events: mpsc::Receiver<HeldBytes>,
    progress: Rc<StreamProgress>,
}

/// Creates a stream's sender, and the body that holds up to `max_queued` events for the caller.
pub(super) fn stream_channel(
    max_queued: usize,
    state: &Rc<RelayState>,
    held: &Rc<memory::HeldMemory>,
) -> (StreamSender, ResponseBody) {
    let (sender, receiver) = mpsc::channel(max_queued);
    let progress = Rc::<StreamProgress>::default();
    let memory = BacklogMemory {
        state: Rc::clone(state),
        queue: state.memory.responses.reserve_nothing_for(held),
        connection: state.memory.clients.reserve_nothing_for(held),
    };
    let sender = StreamSender {
        events: sender,
        progress: Rc::clone(&progress),
        memory: RefCell::new(memory),
    };
    let body = ResponseBody::Stream(StreamEvents {
        events: receiver,
        progress,
    });
    (sender, body)
}

/// A body that is completely known.
pub struct BufferedBody {
    bytes: Bytes,
    /// Memory that is reserved for the body.
    reservation: Option<memory::MemoryReservation>,
}

impl BufferedBody {
    pub(super) const fn new(bytes: Bytes, reservation: Option<memory::MemoryReservation>) -> Self {
        Self { bytes, reservation }
    }

    /// Returns all of the body, unless it is empty or has been taken before. The memory stays
    /// reserved until the bytes are written, which may be long after the body was dropped.
    fn take(&mut self) -> Option<HeldBytes> {
        let bytes = std::mem::take(&mut self.bytes);
        let hold = BytesHold::Body {
            _reservation: self.reservation.take(),
        };
        (!bytes.is_empty()).then_some(HeldBytes { bytes, _hold: hold })
    }
}

/// Body of a response.
pub enum ResponseBody {
    /// A body that is completely known.
    Buffered(BufferedBody),
    /// A body that is forwarded in chunks.
    Stream(StreamEvents),
}

impl ResponseBody {
    /// Returns whether more of the response waits until the caller has read what there is.
    pub(super) fn is_stalled(&self) -> bool {
        match self {
            Self::Buffered(_) => false,
            Self::Stream(stream) => stream.progress.is_stalled.get(),
        }
    }
}

impl body::Body for ResponseBody {
    type Data = HeldBytes;
    type Error = StreamInterrupted;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<HeldBytes>, StreamInterrupted>>> {
        match self.get_mut() {
            Self::Buffered(buffered) => {
                let frame = buffered.take().map(body::Frame::data);
                task::Poll::Ready(frame.map(Ok))
            }
            Self::Stream(stream) => stream.events.poll_recv(context).map(|event| match event {
                Some(event) => Some(Ok(body::Frame::data(event))),
                None if stream.progress.is_complete.get() => None,
                None => Some(Err(StreamInterrupted)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(buffered) => buffered.bytes.is_empty(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Buffered(buffered) => body::SizeHint::with_exact(buffered.bytes.len() as u64),
            Self::Stream(_) => body::SizeHint::default(),
        }
    }
}

/// A response to a caller.
pub(super) type CallResponse = Response<ResponseBody>;

/// Returns a response with a short plain text.
pub(super) fn text_response(status: StatusCode, text: &str) -> CallResponse {
    let body = BufferedBody::new(Bytes::copy_from_slice(text.as_bytes()), None);
    let mut response = Response::new(ResponseBody::Buffered(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns the response to a request that has not run and will not be run.
pub(super) fn refusal_response(refusal: &dispatch::CallRefusal) -> CallResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, refusal.reason.label());
    let seconds = format_seconds(refusal.retry_after);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Sets the header which states that the connection is closed after the response.
pub(super) fn close_connection_after(response: &mut CallResponse) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

fn format_seconds(duration: Duration) -> String {
    format!("{:.2}", duration.as_secs_f64())
}
