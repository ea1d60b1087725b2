//! Client of a relay's metrics address.

use std::net;
use std::result;

use kingcupfall_relay::shell;
use ntex::client;
use ntex::http;
use quick_error::quick_error;
use url::form_urlencoded;

use crate::command;

/// Largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Result of a request to a relay.
pub type Result<T> = result::Result<T, RelayError>;

quick_error! {
    /// Error of a request to a relay.
    #[derive(Debug)]
    pub enum RelayError {
        /// The relay can't be reached, or its response did not arrive completely.
        Unreachable(relay: net::SocketAddr, reason: Box<str>) {
            display("no response from the relay at {}: {}", relay, reason)
        }
        /// The relay responded with a status other than 200.
        Refused(status: u16, detail: Box<str>) {
            display("the relay can't explain the request, status {}: {}", status, detail)
        }
        /// The response does not have the format that this version expects.
        Malformed(reason: Box<str>) {
            display("can't decode the response of the relay: {}", reason)
        }
    }
}

/// Asks a relay where a request would go.
///
/// # Errors
///
/// Any [`RelayError`].
pub async fn explain(options: &command::RequestOptions) -> Result<shell::RequestExplanation> {
    let unreachable = |error: &dyn std::fmt::Display| {
        RelayError::Unreachable(options.relay, error.to_string().into())
    };
    let client = client::Client::new().await;
    let request = client.get(explain_url(options)).send();
    let response = request.await.map_err(|error| unreachable(&error))?;
    let status = response.status();
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|error| unreachable(&error))?;

    if status != http::StatusCode::OK {
        let detail = String::from_utf8_lossy(&body).into();
        return Err(RelayError::Refused(status.as_u16(), detail));
    }
    serde_json::from_slice(&body).map_err(|error| RelayError::Malformed(error.to_string().into()))
}

fn explain_url(options: &command::RequestOptions) -> String {
    let mut query = form_urlencoded::Serializer::new(String::new());
    query
        .append_pair("host", &options.host)
        .append_pair("path", &options.path)
        .append_pair("prompt_tokens", &options.prompt_tokens.to_string())
        .append_pair("output_tokens", &options.output_tokens.to_string());
    if let Some(organisation) = &options.organisation {
        query.append_pair("organisation", organisation.as_str());
    }
    format!("http://{}/explain?{}", options.relay, query.finish())
}
