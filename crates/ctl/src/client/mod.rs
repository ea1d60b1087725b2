//! Client of the administration API.

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

/// Largest answer that is read.
const ANSWER_LIMIT_BYTES: usize = 32 * 1024 * 1024;

/// Result of asking a gateway.
pub type Result<T> = result::Result<T, ClientError>;

quick_error! {
    /// Reason why a gateway gave no answer.
    #[derive(Debug)]
    pub enum ClientError {
        /// The gateway can't be reached, or broke off.
        Unreachable(gateway: net::SocketAddr, reason: Box<str>) {
            display("no answer from the gateway at {}: {}", gateway, reason)
        }
        /// The gateway refused the question.
        Refused(status: u16, detail: Box<str>) {
            display("the gateway refused the question ({}): {}", status, detail)
        }
        /// The answer is not what this version expects.
        Unreadable(reason: Box<str>) {
            display("the gateway's answer can't be read: {}", reason)
        }
    }
}

/// Asks one gateway.
pub struct AdministrationClient {
    client: client::Client,
    gateway: net::SocketAddr,
    key: Box<str>,
}

impl AdministrationClient {
    /// Makes a client of the gateway in `options`.
    pub async fn new(options: &command::GatewayOptions) -> Self {
        Self {
            client: client::Client::new().await,
            gateway: options.gateway,
            key: options.key.as_str().into(),
        }
    }

    /// Returns the sections.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub async fn sections(&self) -> Result<Vec<administration::SectionReport>> {
        self.get("/v1/sections").await
    }

    /// Returns the targets.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub async fn targets(&self) -> Result<Vec<administration::TargetReport>> {
        self.get("/v1/targets").await
    }

    /// Returns the quarantine.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub async fn quarantine(&self) -> Result<Vec<administration::QuarantineReport>> {
        self.get("/v1/quarantine").await
    }

    /// Returns the gateway's view of its fleet, when it is a member of one.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub async fn fleet(&self) -> Result<Option<administration::FleetReport>> {
        self.get("/v1/fleet").await
    }

    /// Returns how the targets stand for a caller's work.
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

    /// Tries a changed section.
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
        self.exchange(request, body).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let request = self.client.get(self.url(path));
        self.exchange(request, util::Bytes::new()).await
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        request: client::ClientRequest,
        body: util::Bytes,
    ) -> Result<T> {
        let call = request.bearer_auth(&self.key).send_body(body);
        let response = call.await.map_err(|error| self.unreachable(&error))?;
        let status = response.status();
        let body = response
            .body()
            .limit(ANSWER_LIMIT_BYTES)
            .await
            .map_err(|error| self.unreachable(&error))?;

        if status != http::StatusCode::OK {
            return Err(refused(status, &body));
        }
        serde_json::from_slice(&body)
            .map_err(|error| ClientError::Unreadable(error.to_string().into()))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.gateway)
    }

    fn unreachable(&self, error: &dyn std::fmt::Display) -> ClientError {
        ClientError::Unreachable(self.gateway, error.to_string().into())
    }
}

/// Writes the question; names hold no characters that would have to be escaped.
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

fn refused(status: http::StatusCode, body: &[u8]) -> ClientError {
    let refusal: serde_json::Result<administration::ErrorReport> = serde_json::from_slice(body);
    let detail = match refusal {
        Ok(refusal) => refusal.detail,
        Err(_) => String::from_utf8_lossy(body).into(),
    };
    ClientError::Refused(status.as_u16(), detail)
}
