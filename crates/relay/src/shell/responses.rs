//! Responses to callers.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt;
use std::pin;
use std::rc::Rc;
use std::task;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use super::memory;
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

/// What the sender and the response of a stream share.
#[derive(Debug, Default)]
struct StreamProgress {
    is_complete: Cell<bool>,
    /// Bytes of the events that the caller has not read yet.
    queued_bytes: Cell<usize>,
    /// Notified when an event is read.
    event_read: Notify,
}

/// Sends the events of a stream to the response that its caller reads. Dropped without
/// [`StreamSender::complete`], it interrupts the response, however its task ended.
#[derive(Debug)]
pub(super) struct StreamSender {
    events: mpsc::Sender<Bytes>,
    progress: Rc<StreamProgress>,
}

impl StreamSender {
    /// Queues an event; waits while the caller reads too slowly.
    ///
    /// # Errors
    ///
    /// [`StreamInterrupted`] if the caller has left.
    pub(super) async fn send(&self, event: Bytes) -> Result<(), StreamInterrupted> {
        let queued_bytes = &self.progress.queued_bytes;
        while queued_bytes.get() >= MAX_QUEUED_BYTES {
            tokio::select! {
                () = self.progress.event_read.notified() => {}
                () = self.events.closed() => return Err(StreamInterrupted),
            }
        }
        queued_bytes.set(queued_bytes.get() + event.len());
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
    events: mpsc::Receiver<Bytes>,
    progress: Rc<StreamProgress>,
}

/// Creates a stream's sender, and the body that holds up to `max_queued` events for the caller.
pub(super) fn stream_channel(max_queued: usize) -> (StreamSender, ResponseBody) {
    let (sender, receiver) = mpsc::channel(max_queued);
    let progress = Rc::<StreamProgress>::default();
    let sender = StreamSender {
        events: sender,
        progress: Rc::clone(&progress),
    };
    let body = ResponseBody::Stream(StreamEvents {
        events: receiver,
        progress,
    });
    (sender, body)
}

/// A body that is completely known.
pub struct BufferedBody {
    bytes: Full<Bytes>,
    /// Memory that is reserved for the body.
    _reservation: Option<memory::MemoryReservation>,
}

impl BufferedBody {
    pub(super) fn new(bytes: Bytes, reservation: Option<memory::MemoryReservation>) -> Self {
        Self {
            bytes: Full::new(bytes),
            _reservation: reservation,
        }
    }
}

/// Body of a response.
pub enum ResponseBody {
    /// A body that is completely known.
    Buffered(BufferedBody),
    /// A body that is forwarded in chunks.
    Stream(StreamEvents),
}

impl body::Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamInterrupted;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, StreamInterrupted>>> {
        match self.get_mut() {
            Self::Buffered(buffered) => pin::Pin::new(&mut buffered.bytes)
                .poll_frame(context)
                .map_err(|infallible: Infallible| match infallible {}),
            Self::Stream(stream) => stream.events.poll_recv(context).map(|event| match event {
                Some(event) => {
                    let queued_bytes = &stream.progress.queued_bytes;
                    queued_bytes.set(queued_bytes.get().saturating_sub(event.len()));
                    stream.progress.event_read.notify_one();
                    Some(Ok(body::Frame::data(event)))
                }
                None if stream.progress.is_complete.get() => None,
                None => Some(Err(StreamInterrupted)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(buffered) => buffered.bytes.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Buffered(buffered) => buffered.bytes.size_hint(),
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
