//! Streams the replies of a call as server-sent events.

use futures_util::stream;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use ntex::http;
use ntex::util;
use ntex::web;
use quick_error::quick_error;
use serde::Serialize;

use super::context;
use super::respond;
use super::session;
use crate::intake;
use crate::reducer;
use crate::state;

const STREAM_TYPE: &str = "text/event-stream";

/// Server-sent comment that keeps a connection alive while there are no events.
const KEEP_ALIVE_COMMENT: &[u8] = b": waiting\n\n";

quick_error! {
    /// Reason why a stream ends early.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StreamError {
        /// The call was dropped without its final reply.
        Dropped {
            display("the call was dropped without its final reply")
        }
    }
}

/// Data of a `tokens` event.
#[derive(Debug, Serialize)]
struct TokensData<'a> {
    index: measures::SequenceNumber,
    tokens: &'a [Box<str>],
}

/// Data of an `end` event.
#[derive(Debug, Serialize)]
struct EndData {
    outcome: work::CallOutcome,
    total: measures::SequenceNumber,
    reason: work::FinishReason,
}

/// Waits for the first reply, and builds the response that streams it and the replies after it.
///
/// A call that fails before its first token gets a response with the status of its problem.
pub async fn stream_response(
    context: &context::ServerContext,
    request: &web::HttpRequest,
    organisation: ids::OrganisationName,
    mut session: session::CallSession,
) -> web::HttpResponse {
    let first = match session.next().await {
        Some(reducer::CallReply::Problem(problem)) => {
            return respond::call_problem_response(context, &organisation, &problem);
        }
        Some(reply) => reply,
        None => return respond::stopping_response(context, work::CallOutcome::Unknown),
    };
    close_when_stalled(request, &mut session);

    let encoder = EventEncoder {
        session,
        first: Some(first),
        chunk_end: None,
        has_ended: false,
        organisation,
        context: context.clone(),
    };
    // Without the outcome header: the outcome is only known at the last event.
    let mut builder = web::HttpResponse::build(http::StatusCode::OK);
    builder.set_header("cache-control", "no-store");
    if context.is_stopping() {
        builder.force_close();
    }
    builder
        .content_type(STREAM_TYPE)
        .streaming(Box::pin(stream::unfold(encoder, EventEncoder::next_chunk)))
}

/// Closes the caller's connection when the driver signals that it has stalled.
///
/// A connection whose buffer is full does not poll for the next chunk, so the stream itself could
/// not end the connection.
fn close_when_stalled(request: &web::HttpRequest, session: &mut session::CallSession) {
    let Some(connection) = request.io().cloned() else {
        return;
    };
    let Some(abort) = session.take_abort() else {
        return;
    };
    ntex::rt::spawn(async move {
        if abort.await.is_ok() {
            connection.terminate();
        }
    });
}

/// Encodes the replies of a call as server-sent events.
struct EventEncoder {
    session: session::CallSession,
    first: Option<reducer::CallReply>,
    /// Index after the last token of the last chunk.
    ///
    /// The connection has consumed that chunk when it polls for the next one.
    chunk_end: Option<measures::SequenceNumber>,
    has_ended: bool,
    organisation: ids::OrganisationName,
    context: context::ServerContext,
}

/// Next chunk of the response's body.
type ChunkResult = std::result::Result<util::Bytes, StreamError>;

impl EventEncoder {
    async fn next_chunk(mut self) -> Option<(ChunkResult, Self)> {
        if let Some(next) = self.chunk_end.take() {
            self.session.report_consumed(next);
        }
        if self.has_ended {
            return None;
        }

        let chunk = match self.next_reply().await {
            Ok(Some(reply)) => Ok(self.encode_event(&reply)),
            Ok(None) => {
                self.has_ended = true;
                Err(StreamError::Dropped)
            }
            Err(_) => Ok(util::Bytes::from_static(KEEP_ALIVE_COMMENT)),
        };
        Some((chunk, self))
    }

    async fn next_reply(
        &mut self,
    ) -> std::result::Result<Option<reducer::CallReply>, tokio::time::error::Elapsed> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        let interval = self.context.limits().stream_comment_interval;
        tokio::time::timeout(interval, self.session.next()).await
    }

    fn encode_event(&mut self, reply: &reducer::CallReply) -> util::Bytes {
        match reply {
            reducer::CallReply::Tokens(tokens) => self.encode_tokens(tokens),
            reducer::CallReply::Finished { total, reason } => {
                self.has_ended = true;
                let data = EndData {
                    outcome: work::CallOutcome::Completed,
                    total: *total,
                    reason: *reason,
                };
                event_text(None, "end", &data)
            }
            reducer::CallReply::Problem(problem) => {
                self.has_ended = true;
                let key = self.context.signing_key();
                let details = intake::ProblemDetails::of_call(problem, key, &self.organisation);
                self.context.metrics().calls().record_problem(details.code);
                event_text(None, "problem", &details)
            }
            reducer::CallReply::Buffered(_)
            | reducer::CallReply::Service(_)
            | reducer::CallReply::Key(_) => {
                // The reducer sends no such reply to a stream; the stream ends without an `end`
                // event.
                self.has_ended = true;
                util::Bytes::new()
            }
        }
    }

    fn encode_tokens(&mut self, reply: &reducer::TokenReply) -> util::Bytes {
        let count = measures::SequenceNumber::new(reply.tokens.len() as u64);
        let next = reply.first + count;
        self.chunk_end = Some(next);

        let id = state::ResumeToken {
            target: reply.target.clone(),
            incarnation: reply.incarnation,
            attempt: reply.attempt,
            sequence: next.saturating_sub(measures::SequenceNumber::new(1)),
        };
        let data = TokensData {
            index: reply.first,
            tokens: &reply.tokens,
        };
        event_text(Some(&id), "tokens", &data)
    }
}

fn event_text(id: Option<&state::ResumeToken>, name: &str, data: &impl Serialize) -> util::Bytes {
    let id = id.map_or(String::new(), |id| format!("id: {id}\n"));
    // JSON escapes line ends, so the data is one line, as the event format requires.
    let data = respond::json_text(data);
    format!("{id}event: {name}\ndata: {data}\n\n").into()
}
