//! Client of a gateway's caller API, for the demonstration, tests and benchmarks.

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

/// Maximum number of open connections of a caller. Needed because a connection pool without a
/// limit never wakes the requests that wait for a connection.
const MAX_CONNECTIONS: usize = 65_536;

/// Result of a call to a gateway.
pub type Result<T> = result::Result<T, CallerError>;

quick_error! {
    /// Error of a call to a gateway.
    #[derive(Debug)]
    pub enum CallerError {
        /// The request could not be sent, or the response did not arrive completely.
        NoResponse(reason: Box<str>) {
            display("no response: {}", reason)
        }
        /// The gateway responded with a problem.
        Problem(problem: Box<ProblemBody>) {
            display("{} ({}): {}", problem.code, problem.outcome, problem.detail)
        }
        /// The response does not have the expected format.
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
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Class of the request.
    pub class: Box<str>,
    /// Whether tokens are streamed as they are generated.
    pub stream: bool,
}

/// Problem body of a gateway's response.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ProblemBody {
    /// What is known of the call.
    pub outcome: work::CallOutcome,
    /// Stable code of the reason.
    pub code: Box<str>,
    /// Explanation in words; empty if the gateway sends none.
    #[serde(default)]
    pub detail: Box<str>,
}

/// Response to a generation that is not streamed.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct BufferedResponse {
    /// What is known of the call.
    pub outcome: work::CallOutcome,
    /// Id of the generation.
    pub generation: kingcupfall_core::ids::AttemptId,
    /// Complete generated text.
    pub text: Box<str>,
    /// Number of generated tokens.
    pub total: u64,
}

/// Client of one gateway, with the key of one organisation.
#[derive(Clone)]
pub struct CallerClient {
    client: client::Client,
    address: net::SocketAddr,
    key: Box<str>,
}

impl CallerClient {
    /// Creates a client of the gateway at `address`.
    ///
    /// # Panics
    ///
    /// Panics outside of an ntex system.
    pub async fn new(address: net::SocketAddr, key: &str) -> Self {
        let client = client::Client::builder()
            .connector::<()>(client::Connector::new().limit(MAX_CONNECTIONS))
            .disable_timeout()
            .build(ntex::SharedCfg::default())
            .await
            .expect("a client without TLS can always be created");

        Self {
            client,
            address,
            key: key.into(),
        }
    }

    /// Returns the same client for the gateway at `address`.
    pub fn at_gateway(&self, address: net::SocketAddr) -> Self {
        Self {
            address,
            ..self.clone()
        }
    }

    /// Starts a streamed generation.
    ///
    /// # Errors
    ///
    /// [`CallerError::Problem`] if the gateway refused the call; otherwise any [`CallerError`].
    pub async fn stream(&self, call: &GenerationCall) -> Result<CallerStream> {
        let request = self.post("v1/generations");
        let response = request.send_json(call).await.map_err(no_response)?;
        open_stream(response).await
    }

    /// Resumes a stream after the event `last_event_id`.
    ///
    /// # Errors
    ///
    /// [`CallerError::Problem`] if the stream has expired or belongs to another organisation;
    /// otherwise any [`CallerError`].
    pub async fn resume(&self, last_event_id: &str) -> Result<CallerStream> {
        let request = self
            .post("v1/generations")
            .set_header("last-event-id", last_event_id);
        open_stream(request.send().await.map_err(no_response)?).await
    }

    /// Requests a generation and waits for its buffered response.
    ///
    /// # Errors
    ///
    /// [`CallerError::Problem`] if the generation was refused or failed; otherwise any
    /// [`CallerError`].
    pub async fn generate(&self, call: &GenerationCall) -> Result<BufferedResponse> {
        let request = self.post("v1/generations");
        let response = check_response(request.send_json(call).await.map_err(no_response)?).await?;
        response.json().await.map_err(|error| malformed(&error))
    }

    /// Builds a POST request to `path` with the organisation's key.
    pub fn post(&self, path: &str) -> client::ClientRequest {
        self.client
            .post(format!("http://{}/{path}", self.address))
            .bearer_auth(&self.key)
    }
}

/// Returns the response if it is successful, and its problem as an error otherwise.
///
/// # Errors
///
/// [`CallerError::Problem`], or [`CallerError::Malformed`] if the body is not a problem.
pub async fn check_response(response: client::ClientResponse) -> Result<client::ClientResponse> {
    if response.status().is_success() {
        return Ok(response);
    }
    let body = response.body().await.map_err(|error| malformed(&error))?;
    let problem = serde_json::from_slice(&body).map_err(|error| malformed(&error))?;
    Err(CallerError::Problem(Box::new(problem)))
}

async fn open_stream(response: client::ClientResponse) -> Result<CallerStream> {
    Ok(CallerStream::new(check_response(response).await?))
}

fn no_response(error: client::error::ClientError) -> CallerError {
    CallerError::NoResponse(error.to_string().into())
}

fn malformed(error: &dyn std::fmt::Display) -> CallerError {
    CallerError::Malformed(error.to_string().into())
}
