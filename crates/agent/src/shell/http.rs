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
use super::stream;
use super::turn;
use crate::reducer;

/// Largest answer of a plain service; it must fit into a frame of a link.
const ANSWER_LIMIT_BYTES: usize = 1024 * 1024;

/// Connections to the target at a time. The library's pool never wakes those that wait for a
/// connection when it has no limit.
const CONNECTION_LIMIT: usize = 65_536;

/// Media type of an answer that names none.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

type CommandSender = mpsc::UnboundedSender<stream::StreamCommand>;

/// Talks to a target over HTTP/1.1.
pub struct HttpDriver {
    client: client::Client,
    address: net::SocketAddr,
    service_timeout: Duration,
    events: mpsc::Sender<turn::ShellEvent>,
    streams: Rc<RefCell<BTreeMap<ids::AttemptId, CommandSender>>>,
}

impl HttpDriver {
    /// Makes a driver for the target at `address` that reports to `events`.
    pub(super) fn new(
        client: client::Client,
        address: net::SocketAddr,
        service_timeout: Duration,
        events: mpsc::Sender<turn::ShellEvent>,
    ) -> Self {
        Self {
            client,
            address,
            service_timeout,
            events,
            streams: Rc::default(),
        }
    }

    fn command(&self, attempt: ids::AttemptId, command: stream::StreamCommand) {
        if let Some(sender) = self.streams.borrow().get(&attempt) {
            // A stream that has just ended needs no command.
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
        self.command(attempt, stream::StreamCommand::Pause);
    }

    fn resume(&self, attempt: ids::AttemptId) {
        self.command(attempt, stream::StreamCommand::Resume);
    }

    fn cancel(&self, attempt: ids::AttemptId) {
        self.command(attempt, stream::StreamCommand::Cancel);
    }

    fn set_service_timeout(&mut self, timeout: Duration) {
        self.service_timeout = timeout;
    }

    fn call(&self, attempt: ids::AttemptId, request: work::ServiceRequest) {
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
            let answering = answer_call(call, request.body);
            let answered = match time::timeout(timeout, answering).await {
                Ok(answered) => answered,
                Err(_) => Err(reducer::WorkFailure::Lost),
            };
            let event = match answered {
                Ok(answer) => reducer::AgentEvent::Answered { attempt, answer },
                Err(failure) => reducer::AgentEvent::WorkFailed { attempt, failure },
            };
            turn::report(&events, event).await;
        });
    }
}

/// Makes the HTTP client that an agent uses for its target.
pub(crate) async fn make_client() -> Result<client::Client> {
    let connector = client::Connector::new().limit(CONNECTION_LIMIT);
    client::Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .build(ntex::SharedCfg::default())
        .await
        .map_err(|_| ShellError::Client)
}

/// Tells how a request failed; only a refused connection proves that nothing was sent.
pub(super) fn classify(error: &error::ClientError) -> reducer::WorkFailure {
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

async fn answer_call(
    call: client::ClientRequest,
    body: Vec<u8>,
) -> std::result::Result<work::ServiceResponse, reducer::WorkFailure> {
    let response = call
        .send_body(body)
        .await
        .map_err(|error| classify(&error))?;
    let status = response.status().as_u16();
    let content_type = content_type(&response);
    let body = response
        .body()
        .limit(ANSWER_LIMIT_BYTES)
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
