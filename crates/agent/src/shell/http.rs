//! Target driver over HTTP.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::work;
use ntex::client;
use ntex::client::error;
use ntex::http;
use tokio::sync::mpsc;
use tokio::time;

use super::Result;
use super::ShellError;
use super::TargetDriver;
use super::event_loop;
use super::stream;
use crate::reducer;

/// Maximum size of a plain service's response, which must fit into one frame of a link.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Maximum number of connections to the target. Without a limit, the client library's pool never
/// wakes requests that wait for a connection.
const MAX_CONNECTIONS: usize = 65_536;

/// Media type of a response without a content type.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

type CommandSender = mpsc::UnboundedSender<stream::StreamCommand>;

/// Driver that talks to a target over HTTP/1.1.
pub struct HttpDriver {
    client: client::Client,
    address: net::SocketAddr,
    service_timeout: Duration,
    events: mpsc::Sender<event_loop::ShellEvent>,
    streams: Rc<RefCell<BTreeMap<ids::AttemptId, CommandSender>>>,
}

impl HttpDriver {
    /// Creates a driver for the target at `address` that sends its events to `events`.
    pub(super) fn new(
        client: client::Client,
        address: net::SocketAddr,
        service_timeout: Duration,
        events: mpsc::Sender<event_loop::ShellEvent>,
    ) -> Self {
        Self {
            client,
            address,
            service_timeout,
            events,
            streams: Rc::default(),
        }
    }

    fn send_command(&self, attempt: ids::AttemptId, command: stream::StreamCommand) {
        if let Some(sender) = self.streams.borrow().get(&attempt) {
            // The receiver is gone if the stream has just ended; the command is then not needed.
            let _ = sender.send(command);
        }
    }
}

impl TargetDriver for HttpDriver {
    fn generate(&self, command: reducer::GenerateCommand) {
        let attempt = command.attempt;
        let (sender, commands) = mpsc::unbounded_channel();
        self.streams.borrow_mut().insert(attempt, sender);

        let task = stream::StreamTask {
            client: self.client.clone(),
            address: self.address,
            events: self.events.clone(),
            commands,
        };
        let streams = Rc::clone(&self.streams);
        ntex::rt::spawn(async move {
            task.run(command).await;
            streams.borrow_mut().remove(&attempt);
        });
    }

    fn pause(&self, attempt: ids::AttemptId) {
        self.send_command(attempt, stream::StreamCommand::Pause);
    }

    fn resume(&self, attempt: ids::AttemptId) {
        self.send_command(attempt, stream::StreamCommand::Resume);
    }

    fn cancel(&self, attempt: ids::AttemptId) {
        self.send_command(attempt, stream::StreamCommand::Cancel);
    }

    fn set_service_timeout(&mut self, timeout: Duration) {
        self.service_timeout = timeout;
    }

    fn call_service(&self, attempt: ids::AttemptId, request: work::ServiceRequest) {
        let url = format!("http://{}/{}", self.address, request.path);
        let call = self
            .client
            .post(url)
            .content_type(request.content_type.as_ref())
            .force_close()
            .timeout(ntex::time::Millis::ZERO);
        let events = self.events.clone();
        let timeout = self.service_timeout;

        ntex::rt::spawn(async move {
            let response = receive_response(call, request.body);
            let result = match time::timeout(timeout, response).await {
                Ok(result) => result,
                Err(_) => Err(reducer::WorkFailure::Lost),
            };
            let event = match result {
                Ok(response) => reducer::AgentEvent::Responded { attempt, response },
                Err(failure) => reducer::AgentEvent::WorkFailed { attempt, failure },
            };
            event_loop::send_event(&events, event).await;
        });
    }
}

/// Creates the HTTP client for requests to the target.
pub(crate) async fn build_client() -> Result<client::Client> {
    let connector = client::Connector::new().limit(MAX_CONNECTIONS);
    client::Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .build(ntex::SharedCfg::default())
        .await
        .map_err(|_| ShellError::Client)
}

/// Classifies a failed request; only a refused connection proves that nothing was sent.
pub(super) fn classify_failure(error: &error::ClientError) -> reducer::WorkFailure {
    match error {
        error::ClientError::Connect(error::ConnectError::Disconnected(Some(cause)))
            if cause.kind() == io::ErrorKind::ConnectionRefused =>
        {
            reducer::WorkFailure::NotSent
        }
        error::ClientError::Connect(_)
        | error::ClientError::Url(_)
        | error::ClientError::Send(_)
        | error::ClientError::Request(_)
        | error::ClientError::Response(_)
        | error::ClientError::Http(_)
        | error::ClientError::H2(_)
        | error::ClientError::Timeout
        | error::ClientError::TunnelNotSupported
        | error::ClientError::Error(_) => reducer::WorkFailure::Lost,
    }
}

async fn receive_response(
    call: client::ClientRequest,
    body: Vec<u8>,
) -> std::result::Result<work::ServiceResponse, reducer::WorkFailure> {
    let response = call
        .send_body(body)
        .await
        .map_err(|error| classify_failure(&error))?;
    let status = response.status().as_u16();
    let content_type = content_type(&response);
    let body = response
        .body()
        .limit(MAX_RESPONSE_BYTES)
        .timeout(ntex::time::Millis::ZERO)
        .await
        .map_err(|_| reducer::WorkFailure::Lost)?;

    Ok(work::ServiceResponse {
        status,
        content_type,
        body: body.to_vec(),
    })
}

fn content_type(response: &client::ClientResponse) -> Box<str> {
    response
        .header(http::header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or(DEFAULT_CONTENT_TYPE)
        .into()
}
