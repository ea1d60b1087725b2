//! The border to the words of a deployment: headers, paths and bodies that callers and targets
//! use. What stands beyond it is decoded once, by an implementation of [`WireProtocol`].

mod events;

pub use events::EventParser;
pub use events::StreamEvent;

use std::net;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::response;
use http_body_util::Full;

use crate::directory;

/// What a caller says of its request beside method, path and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's id of this attempt; empty when it has none.
    pub request: Box<str>,
    /// Its key.
    pub key: Option<Box<str>>,
    /// How long it waits.
    pub patience: Option<Duration>,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Output tokens that it expects, or else the most that it takes.
    pub output_tokens: u64,
}

/// Where a stream goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamResumption {
    /// Address that the copy of its memory is named by.
    pub holder: net::SocketAddr,
    /// Name of the copy.
    pub handle: Box<str>,
    /// Last event that was passed on.
    pub last_event: Option<u64>,
}

/// What is added to a request on its way to a target.
#[derive(Debug, Clone)]
pub struct ForwardedHead<'a> {
    /// Target that is to run it; another one at the same address refuses it.
    pub target: &'a directory::TargetKey,
    /// Time that is left for it.
    pub time_left: Duration,
    /// Organisation of the caller.
    pub organisation: Option<&'a str>,
    /// Urgency among the target's requests, 0 is first; `None` leaves it to the target.
    pub urgency: Option<u8>,
    /// Where the target is to keep a copy of the request's memory.
    pub copy_to: Option<net::SocketAddr>,
    /// Set when a stream goes on.
    pub resumption: Option<&'a StreamResumption>,
}

/// What an answer of a target means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// A success; its body is still to come.
    Success,
    /// A failure that the target answered after it began to work on the request.
    Failure,
    /// The target says that it did not run the request.
    NotRun,
    /// It belongs to another request, or is no answer of a target.
    Foreign,
}

/// Answer to the wish to move a stream's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MoveAnswer {
    /// The memory is at the other target.
    Copied {
        /// Name of the copy, to go on with.
        handle: Box<str>,
    },
    /// The other target has no room or can't be reached.
    Refused,
    /// A move of the stream is in progress.
    Busy,
    /// The target does not run the stream.
    Unknown,
}

/// Reads and writes the words of a deployment.
pub trait WireProtocol {
    /// Reads what a caller says.
    fn read_call(&self, headers: &HeaderMap) -> CallHead;

    /// Returns the headers with which a caller's request goes to a target.
    fn forward(&self, headers: &HeaderMap, head: &ForwardedHead<'_>) -> HeaderMap;

    /// Judges the head of an answer to the request that its caller calls `request`.
    fn judge_answer(&self, answer: &response::Parts, request: &str) -> AnswerVerdict;

    /// Returns the headers of an answer that go to the caller.
    fn answer_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Returns the request that copies the memory of a stream from the target that runs it, and
    /// goes on running it.
    fn move_request(
        &self,
        request: &str,
        source: net::SocketAddr,
        to: net::SocketAddr,
    ) -> Request<Full<Bytes>>;

    /// Returns the request that frees a copy of a stream's memory at one of its two ends; `None`
    /// when its name can't be written in one.
    fn discard_request(&self, handle: &str, at: net::SocketAddr) -> Option<Request<Full<Bytes>>>;

    /// Reads the answer to a request that copies memory.
    fn read_move(&self, status: http::StatusCode, body: &[u8]) -> MoveAnswer;
}
