//! A caller of a gateway, for demonstrations, tests and measurements.

mod stream;

use std::net;
use std::result;

use kingcupfall_core::work;
use ntex::client;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

pub use stream::CallerStream;
pub use stream::StreamItem;

/// Connections of a caller at a time. The library's pool never wakes those that wait for a
/// connection when it has no limit.
const CONNECTION_LIMIT: usize = 65_536;

/// Result of a call.
pub type Result<T> = result::Result<T, CallerError>;

quick_error! {
    /// Reason why a call has no answer.
    #[derive(Debug)]
    pub enum CallerError {
        /// No response came.
        Unanswered(reason: Box<str>) {
            display("no response: {}", reason)
        }
        /// The gateway answered with a problem.
        Problem(problem: Box<ProblemBody>) {
            display("{} ({}): {}", problem.code, problem.outcome, problem.detail)
        }
        /// The response is not of the expected shape.
        Malformed(reason: Box<str>) {
            display("malformed response: {}", reason)
        }
    }
}

/// Body of `POST /v1/generations`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct GenerationCall {
    /// Model that generates.
    pub model: Box<str>,
    /// Prompt text.
    pub prompt: Box<str>,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Class of the request.
    pub class: Box<str>,
    /// Whether tokens are sent as they come.
    pub stream: bool,
}

/// A problem as the gateway writes it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ProblemBody {
    /// What is known of the call.
    pub outcome: work::CallOutcome,
    /// Stable text of the reason.
    pub code: Box<str>,
    /// Explanation.
    #[serde(default)]
    pub detail: Box<str>,
}

/// A whole answer to a generation.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct WholeAnswer {
    /// What is known of the call.
    pub outcome: work::CallOutcome,
    /// Id of the generation.
    pub generation: kingcupfall_core::ids::AttemptId,
    /// All its text.
    pub text: Box<str>,
    /// Number of its tokens.
    pub total: u64,
}

/// Calls one gateway with one organisation's key.
#[derive(Clone)]
pub struct CallerClient {
    client: client::Client,
    address: net::SocketAddr,
    key: Box<str>,
}

impl CallerClient {
    /// Makes a caller of the gateway at `address`.
    ///
    /// # Panics
    ///
    /// Outside of an ntex system.
    pub async fn new(address: net::SocketAddr, key: &str) -> Self {
        let client = client::Client::builder()
            .connector::<()>(client::Connector::new().limit(CONNECTION_LIMIT))
            .disable_timeout()
            .build(ntex::SharedCfg::default())
            .await
            .expect("a client without TLS can always be made");

        Self {
            client,
            address,
            key: key.into(),
        }
    }

    /// Returns the same caller at another gateway.
    pub fn at(&self, address: net::SocketAddr) -> Self {
        Self {
            address,
            ..self.clone()
        }
    }

    /// Starts a streamed generation.
    ///
    /// # Errors
    ///
    /// [`CallerError::Problem`] when the gateway refused it.
    pub async fn stream(&self, call: &GenerationCall) -> Result<CallerStream> {
        let request = self.post("v1/generations");
        let response = request.send_json(call).await.map_err(unanswered)?;
        open_stream(response).await
    }

    /// Asks for the rest of a stream after the event `last_event_id`.
    ///
    /// # Errors
    ///
    /// [`CallerError::Problem`] when the rest is not kept or belongs to another organisation.
    pub async fn resume(&self, last_event_id: &str) -> Result<CallerStream> {
        let request = self
            .post("v1/generations")
            .set_header("last-event-id", last_event_id);
        open_stream(request.send().await.map_err(unanswered)?).await
    }

    /// Asks for a whole answer.
    ///
    /// # Errors
    ///
    /// [`CallerError::Problem`] when there is none.
    pub async fn generate(&self, call: &GenerationCall) -> Result<WholeAnswer> {
        let request = self.post("v1/generations");
        let response = check(request.send_json(call).await.map_err(unanswered)?).await?;
        response.json().await.map_err(|error| malformed(&error))
    }

    /// Starts a request to `path` with the caller's key.
    pub fn post(&self, path: &str) -> client::ClientRequest {
        self.client
            .post(format!("http://{}/{path}", self.address))
            .bearer_auth(&self.key)
    }
}

/// Turns a response with a problem into an error.
///
/// # Errors
///
/// [`CallerError::Problem`].
pub async fn check(response: client::ClientResponse) -> Result<client::ClientResponse> {
    if response.status().is_success() {
        return Ok(response);
    }
    let body = response.body().await.map_err(|error| malformed(&error))?;
    let problem = serde_json::from_slice(&body).map_err(|error| malformed(&error))?;
    Err(CallerError::Problem(Box::new(problem)))
}

async fn open_stream(response: client::ClientResponse) -> Result<CallerStream> {
    Ok(CallerStream::new(check(response).await?))
}

fn unanswered(error: client::error::ClientError) -> CallerError {
    CallerError::Unanswered(error.to_string().into())
}

fn malformed(error: &dyn std::fmt::Display) -> CallerError {
    CallerError::Malformed(error.to_string().into())
}
