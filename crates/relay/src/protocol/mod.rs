//! The interface to a deployment's wire protocol: headers, paths and bodies that callers and
//! targets use. An implementation of [`WireProtocol`] decodes and encodes them.

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
use kingcupfall_core::measures;
use kingcupfall_core::work;

use crate::directory;

/// Maximum number of shared prompt parts that are known of one request: the first ones.
pub const MAX_PROMPT_PARTS: usize = 16;

/// Metadata that a caller sends with its request, apart from method, path and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's id of the request; empty if it sent none. A retry of the caller has another id.
    pub request_id: Box<str>,
    /// API key of the caller, if it sent one.
    pub key: Option<Box<str>>,
    /// Time for which the caller waits; `None` if it stated none.
    pub timeout: Option<Duration>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of output tokens that the caller expects, or its maximum if it states no estimate.
    pub output_tokens: u64,
    /// Id of the last event that the caller has, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Parts of the prompt that other requests may share, in their order in the prompt, each once;
    /// at most [`MAX_PROMPT_PARTS`].
    pub prompt_parts: Box<[work::PromptPartId]>,
}

/// The copy from which a target resumes a stream that another target began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamResumption {
    /// Address under which the copy of the stream's memory is identified: the copy holder's for a
    /// copy that the source keeps up to date, the source's for a migrated one.
    pub handle_address: net::SocketAddr,
    /// Handle that identifies the copy at this address.
    pub handle: Box<str>,
}

/// Metadata that the relay adds to a request when it forwards it to a target.
#[derive(Debug, Clone)]
pub struct ForwardedHead<'a> {
    /// Target that is to run the request; another one at the same address refuses it.
    pub target: &'a directory::TargetKey,
    /// Time that remains until the request's deadline.
    pub time_left: Duration,
    /// Organisation of the caller; `None` for a request without a key.
    pub organisation: Option<&'a str>,
    /// Urgency among the target's requests, 0 is first; `None` leaves it to the target.
    pub urgency: Option<u8>,
    /// Address of the target that is to hold a copy of the request's memory.
    pub copy_to: Option<net::SocketAddr>,
    /// Copy from which the target is to resume a stream.
    pub resumption: Option<&'a StreamResumption>,
    /// Id of the last event that the caller has; the target continues after it.
    pub last_event: Option<u64>,
}

/// How a response to a forwarded request is classified.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The request succeeded. Only the head has been classified; the body may still follow.
    Success,
    /// The target reported a failure after it had begun to run the request.
    Failure,
    /// The target states that it did not run the request.
    NotRun,
    /// The response belongs to another request or does not come from a target, so that it is
    /// unknown whether the request ran.
    Foreign,
}

/// What the head of a response says of a limit on the requests that its target takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitNotice {
    /// Nothing: it may be of another target, or can't be decoded.
    #[default]
    Unknown,
    /// The target has no limit.
    Unlimited,
    /// The target takes this many requests from all relays together.
    Limited(measures::RequestRate),
}

/// Load that a target states in the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that it runs, from all relays.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs concurrently at most.
    pub slots: u32,
    /// Time that work takes on its machine at this moment, in percent of the usual time; `None` if
    /// it does not state it. Other work on the machine changes it several times a second.
    pub slowdown_percent: Option<u32>,
}

/// What a target says of itself in the head of a response, whatever became of the request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetNotice {
    /// Whether the target leaves: it accepts no new work from now on.
    pub is_leaving: bool,
    /// Time for which the target wants no requests of this relay.
    pub pause: Option<Duration>,
    /// Limit on the requests that the target takes.
    pub limit: LimitNotice,
    /// Load of the target, if it states it.
    pub load: Option<TargetLoad>,
}

/// What a model engine reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Start of the incarnation that reports, in Unix milliseconds on its clock, if it states it.
    pub started_ms: Option<u64>,
    /// Whether the engine leaves soon.
    pub is_leaving: bool,
}

/// Response to a request to copy a stream's memory to another target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MigrationResponse {
    /// The other target holds a copy of the memory.
    Copied {
        /// Handle with which the stream can be resumed from the copy.
        handle: Box<str>,
    },
    /// The other target has no capacity or can't be reached.
    Refused {
        /// Handle under which the source keeps the memory after a final migration.
        handle: Option<Box<str>>,
    },
    /// A migration of the stream is already in progress.
    Busy,
    /// The target does not run the stream.
    NotRunning,
    /// The response can't be interpreted.
    Unknown,
}

/// What becomes of a run whose memory is migrated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MigrationMode {
    /// The source keeps running the stream.
    Copy,
    /// The source stops the run before it copies the memory.
    Final,
}

/// Decodes and encodes a deployment's messages.
pub trait WireProtocol {
    /// Decodes the metadata of a caller's request.
    fn read_call_head(&self, headers: &HeaderMap) -> CallHead;

    /// Returns the headers with which a caller's request is forwarded to a target.
    fn forwarded_headers(&self, headers: &HeaderMap, head: &ForwardedHead<'_>) -> HeaderMap;

    /// Classifies the head of a response to the request with this id.
    fn classify_response(&self, response: &response::Parts, request_id: &str) -> ResponseClass;

    /// Decodes what a target says of itself in the head of a response. Nothing is taken from the
    /// response of another target at the same address.
    fn read_notice(&self, response: &response::Parts) -> TargetNotice;

    /// Returns those headers of a target's response that are forwarded to the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Returns the request for the report of the model engine at an address.
    fn report_request(&self, at: net::SocketAddr) -> Request<Full<Bytes>>;

    /// Decodes the report of a model engine; `None` if it is malformed or the engine has none.
    fn read_report(&self, status: http::StatusCode, body: &[u8]) -> Option<EngineReport>;

    /// Returns the request that makes `source` copy the memory of a stream to `destination`.
    fn migration_request(
        &self,
        request_id: &str,
        source: net::SocketAddr,
        destination: net::SocketAddr,
        mode: MigrationMode,
    ) -> Request<Full<Bytes>>;

    /// Returns the request that frees a copy of a stream's memory at one of the two targets
    /// involved; `None` if the handle can't be written in a path.
    fn discard_request(&self, handle: &str, at: net::SocketAddr) -> Option<Request<Full<Bytes>>>;

    /// Decodes the response to a request that copies memory.
    fn read_migration_response(&self, status: http::StatusCode, body: &[u8]) -> MigrationResponse;
}
