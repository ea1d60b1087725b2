//! One generation on the engine: its tokens, and its orders in their order.

use std::net;
use std::time::Duration;

use futures_util::StreamExt;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use ntex::client;
use tokio::sync::mpsc;
use tokio::time;

use super::http;
use super::turn;
use crate::protocol;
use crate::reducer;

/// Time in which the engine answers an order about a stream.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// An order about a running stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamCommand {
    /// Pause it.
    Pause,
    /// Resume it.
    Resume,
    /// Cancel it.
    Cancel,
}

/// A generation over one HTTP connection.
pub(super) struct StreamTask {
    /// Client of the engine.
    pub(super) client: client::Client,
    /// Where the engine listens.
    pub(super) address: net::SocketAddr,
    /// Where events go.
    pub(super) events: mpsc::Sender<turn::ShellEvent>,
    /// Orders about the stream.
    pub(super) commands: mpsc::UnboundedReceiver<StreamCommand>,
}

impl StreamTask {
    /// Runs the generation to its end and reports it.
    pub(super) async fn run(mut self, command: reducer::GenerateCommand) {
        let attempt = command.attempt;
        let url = format!("http://{}/v1/generate", self.address);
        let body = generate_body(command);

        let failure = match self.client.post(url).send_json(&body).await {
            Ok(response) if response.status().is_success() => {
                self.follow(attempt, response).await;
                return;
            }
            Ok(response) if response.status().is_server_error() => reducer::WorkFailure::Unable,
            Ok(_) => reducer::WorkFailure::Refused,
            Err(error) => http::classify(&error),
        };
        let event = reducer::AgentEvent::WorkFailed { attempt, failure };
        turn::report(&self.events, event).await;
    }

    /// Reads tokens and carries orders out until either ends the stream.
    async fn follow(&mut self, attempt: ids::AttemptId, response: client::ClientResponse) {
        let reading = read_tokens(attempt, response, &self.events);
        let steering = steer(&self.client, self.address, attempt, &mut self.commands);

        tokio::select! {
            last = reading => turn::report(&self.events, last).await,
            () = steering => {}
        }
    }
}

fn generate_body(command: reducer::GenerateCommand) -> protocol::GenerateBody {
    let request = command.request;

    protocol::GenerateBody {
        stream: command.attempt,
        model: request.model,
        prompt: request.prompt,
        prompt_tokens: request.prompt_tokens,
        prefix: request.prefix,
        max_tokens: request.max_tokens,
        priority: command.priority,
        prefill_chunk: command.prefill_chunk,
    }
}

/// Reports tokens as they come, and returns the event that ends the stream.
async fn read_tokens(
    attempt: ids::AttemptId,
    mut response: client::ClientResponse,
    events: &mpsc::Sender<turn::ShellEvent>,
) -> reducer::AgentEvent {
    let lost = reducer::AgentEvent::WorkFailed {
        attempt,
        failure: reducer::WorkFailure::Lost,
    };
    let mut decoder = protocol::EventDecoder::default();
    let mut next = measures::SequenceNumber::ZERO;

    while let Some(Ok(chunk)) = response.next().await {
        if decoder.push(&chunk).is_err() {
            return lost;
        }
        loop {
            match decoder.pop() {
                Ok(Some(protocol::StreamEvent::Token { index, text })) if index == next => {
                    next += measures::SequenceNumber::new(1);
                    let token = reducer::AgentEvent::Token {
                        attempt,
                        index,
                        text,
                    };
                    turn::report(events, token).await;
                }
                Ok(Some(protocol::StreamEvent::End { reason })) => {
                    return reducer::AgentEvent::GenerationEnded { attempt, reason };
                }
                Ok(None) => break,
                // A token out of order can't be part of a whole answer.
                Ok(Some(protocol::StreamEvent::Token { .. })) | Err(_) => return lost,
            }
        }
    }
    lost
}

/// Carries orders out one after the other; ends after a cancel.
async fn steer(
    client: &client::Client,
    address: net::SocketAddr,
    attempt: ids::AttemptId,
    commands: &mut mpsc::UnboundedReceiver<StreamCommand>,
) {
    let stream = format!("http://{address}/v1/streams/{attempt}");

    while let Some(command) = commands.recv().await {
        let request = match command {
            StreamCommand::Pause => client.post(format!("{stream}/pause")),
            StreamCommand::Resume => client.post(format!("{stream}/resume")),
            StreamCommand::Cancel => client.delete(stream.as_str()),
        };
        if let Err(reason) = send_order(request).await {
            log::warn!("engine did not take {command:?} of stream {attempt}: {reason}");
        }
        if command == StreamCommand::Cancel {
            return;
        }
    }
    std::future::pending::<()>().await;
}

async fn send_order(request: client::ClientRequest) -> Result<(), Box<str>> {
    match time::timeout(COMMAND_TIMEOUT, request.send()).await {
        Ok(Ok(response)) if response.status().is_success() => Ok(()),
        Ok(Ok(response)) => Err(response.status().as_str().into()),
        Ok(Err(error)) => Err(error.to_string().into()),
        Err(_) => Err("no answer in time".into()),
    }
}
