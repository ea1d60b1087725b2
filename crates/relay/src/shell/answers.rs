//! Answers to callers.

use std::convert::Infallible;
use std::fmt;
use std::pin;
use std::task;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body;
use tokio::sync::mpsc;

use crate::dispatch;

/// A stream that ends before its last event; the caller's connection breaks off, so that its
/// answer does not look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamCut;

impl fmt::Display for StreamCut {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the stream broke off")
    }
}

impl std::error::Error for StreamCut {}

/// Bytes of a stream, or the end that is no end.
pub(super) type StreamPart = Result<Bytes, StreamCut>;

/// Body of an answer.
pub enum AnswerBody {
    /// It is known whole.
    Whole(Full<Bytes>),
    /// It comes in parts.
    Stream(mpsc::Receiver<StreamPart>),
}

impl body::Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, StreamCut>>> {
        match self.get_mut() {
            Self::Whole(whole) => pin::Pin::new(whole)
                .poll_frame(context)
                .map_err(|never: Infallible| match never {}),
            Self::Stream(parts) => parts
                .poll_recv(context)
                .map(|part| part.map(|part| part.map(body::Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(whole) => whole.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Whole(whole) => whole.size_hint(),
            Self::Stream(_) => body::SizeHint::default(),
        }
    }
}

/// An answer to a caller.
pub(super) type CallAnswer = Response<AnswerBody>;

/// Returns an answer of this process with a short text.
pub(super) fn text(status: StatusCode, text: &str) -> CallAnswer {
    let body = AnswerBody::Whole(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    answer.headers_mut().insert(header::CONTENT_TYPE, plain);
    answer
}

/// Returns the answer to a request that has not run and will not.
pub(super) fn refusal(refusal: &dispatch::CallRefusal) -> CallAnswer {
    let mut answer = text(StatusCode::SERVICE_UNAVAILABLE, refusal.reason.label());
    let seconds = seconds_text(refusal.retry_after);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// Closes the caller's connection after an answer.
pub(super) fn close_after(answer: &mut CallAnswer) {
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(header::CONNECTION, close);
}

fn seconds_text(duration: Duration) -> String {
    format!("{:.2}", duration.as_secs_f64())
}
