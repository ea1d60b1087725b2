//! Clients of the administration API of gateways, and of relays.

pub mod relay;

use std::net;
use std::result;

use kingcupfall_core::ids;
use kingcupfall_document::sections;
use kingcupfall_gateway::administration;
use ntex::client;
use ntex::http;
use ntex::util;
use quick_error::quick_error;
use serde::de::DeserializeOwned;

use crate::command;

/// Largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Result of a request to a gateway.
pub type Result<T> = result::Result<T, ClientError>;

quick_error! {
    /// Error of a request to a gateway.
    #[derive(Debug)]
    pub enum ClientError {
        /// The gateway can't be reached, or its response did not arrive completely.
        Unreachable(gateway: net::SocketAddr, reason: Box<str>) {
            display("no response from the gateway at {}: {}", gateway, reason)
        }
        /// The gateway responded with a status other than 200.
        Refused(status: u16, detail: Box<str>) {
            display("the gateway refused the request with status {}: {}", status, detail)
        }
        /// The response does not have the format that this version expects.
        Malformed(reason: Box<str>) {
            display("can't decode the response of the gateway: {}", reason)
        }
    }
}

/// Client of one gateway's administration API.
pub struct AdministrationClient {
    client: client::Client,
    gateway: net::SocketAddr,
    key: Box<str>,
}

impl AdministrationClient {
    /// Creates a client of the gateway in `options`.
    pub async fn new(options: &command::GatewayOptions) -> Self {
        Self {
            client: client::Client::new().await,
            gateway: options.gateway,
            key: options.key.as_str().into(),
        }
    }

    /// Returns the state of each section of the document.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub async fn sections(&self) -> Result<Vec<administration::SectionReport>> {
        self.get("/v1/sections").await
    }

    /// Returns the state and load of each target.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub async fn targets(&self) -> Result<Vec<administration::TargetReport>> {
        self.get("/v1/targets").await
    }

    /// Returns the suspected and quarantined requests.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub async fn quarantine(&self) -> Result<Vec<administration::QuarantineReport>> {
        self.get("/v1/quarantine").await
    }

    /// Returns the gateway's view of its fleet; `None` if it is not a member of one.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub async fn fleet(&self) -> Result<Option<administration::FleetReport>> {
        self.get("/v1/fleet").await
    }

    /// Returns the state and cost of each target for a request.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub async fn explain(
        &self,
        options: &command::ExplainOptions,
    ) -> Result<administration::ExplainReport> {
        self.get(&explain_path(options)).await
    }

    /// Validates the changed text of a section against the other active sections.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub async fn dry_run(
        &self,
        section: sections::SectionName,
        text: &str,
    ) -> Result<administration::DryRunReport> {
        let path = format!("/v1/dry-run?section={section}");
        let request = self.client.post(self.url(&path));
        let body = util::Bytes::copy_from_slice(text.as_bytes());
        self.send_request(request, body).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let request = self.client.get(self.url(path));
        self.send_request(request, util::Bytes::new()).await
    }

    async fn send_request<T: DeserializeOwned>(
        &self,
        request: client::ClientRequest,
        body: util::Bytes,
    ) -> Result<T> {
        let call = request.bearer_auth(&self.key).send_body(body);
        let response = call.await.map_err(|error| self.unreachable_error(&error))?;
        let status = response.status();
        let body = response
            .body()
            .limit(MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| self.unreachable_error(&error))?;

        if status != http::StatusCode::OK {
            return Err(refusal_error(status, &body));
        }
        serde_json::from_slice(&body)
            .map_err(|error| ClientError::Malformed(error.to_string().into()))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.gateway)
    }

    fn unreachable_error(&self, error: &dyn std::fmt::Display) -> ClientError {
        ClientError::Unreachable(self.gateway, error.to_string().into())
    }
}

/// Returns path and query string; names contain no characters that need escaping.
fn explain_path(options: &command::ExplainOptions) -> String {
    let organisation: &ids::OrganisationName = &options.organisation;
    let mut path = format!("/v1/explain?organisation={organisation}");
    if let Some(model) = &options.model {
        path.push_str(&format!("&model={model}"));
    }
    if let Some(service) = &options.service {
        path.push_str(&format!("&service={service}"));
    }
    if let Some(class) = &options.class {
        path.push_str(&format!("&class={class}"));
    }
    path
}

fn refusal_error(status: http::StatusCode, body: &[u8]) -> ClientError {
    let report: serde_json::Result<administration::ErrorReport> = serde_json::from_slice(body);
    let detail = match report {
        Ok(report) => report.detail,
        Err(_) => String::from_utf8_lossy(body).into(),
    };
    ClientError::Refused(status.as_u16(), detail)
}
