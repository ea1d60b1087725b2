//! One generation on the engine: receives its tokens and sends its commands in order.

use std::net;
use std::time::Duration;

use futures_util::StreamExt;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use ntex::client;
use tokio::sync::mpsc;
use tokio::time;

use super::event_loop;
use super::http;
use crate::protocol;
use crate::reducer;

/// Response timeout of a stream command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// Command for a running stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamCommand {
    /// Pause the stream.
    Pause,
    /// Resume the stream.
    Resume,
    /// Cancel the stream.
    Cancel,
}

/// Generation over one HTTP connection.
pub(super) struct StreamTask {
    /// HTTP client for the engine.
    pub(super) client: client::Client,
    /// Address on which the engine listens.
    pub(super) address: net::SocketAddr,
    /// Channel to the event loop.
    pub(super) events: mpsc::Sender<event_loop::ShellEvent>,
    /// Commands for the stream.
    pub(super) commands: mpsc::UnboundedReceiver<StreamCommand>,
}

impl StreamTask {
    /// Runs the generation to its end and reports the result.
    pub(super) async fn run(mut self, command: reducer::GenerateCommand) {
        let attempt = command.attempt;
        let url = format!("http://{}/v1/generate", self.address);
        let body = generate_body(command);

        let failure = match self.client.post(url).send_json(&body).await {
            Ok(response) if response.status().is_success() => {
                self.run_stream(attempt, response).await;
                return;
            }
            Ok(response) if response.status().is_server_error() => {
                reducer::WorkFailure::ServerError
            }
            Ok(_) => reducer::WorkFailure::Rejected,
            Err(error) => http::classify_failure(&error),
        };
        let event = reducer::AgentEvent::WorkFailed { attempt, failure };
        event_loop::send_event(&self.events, event).await;
    }

    /// Receives tokens and executes commands until the stream ends or is cancelled.
    async fn run_stream(&mut self, attempt: ids::AttemptId, response: client::ClientResponse) {
        let tokens = read_tokens(attempt, response, &self.events);
        let commands = execute_commands(&self.client, self.address, attempt, &mut self.commands);

        tokio::select! {
            end = tokens => event_loop::send_event(&self.events, end).await,
            () = commands => {}
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

/// Reports tokens as they arrive, and returns the event that ends the stream.
async fn read_tokens(
    attempt: ids::AttemptId,
    mut response: client::ClientResponse,
    events: &mpsc::Sender<event_loop::ShellEvent>,
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
                    event_loop::send_event(events, token).await;
                }
                Ok(Some(protocol::StreamEvent::End { reason })) => {
                    return reducer::AgentEvent::GenerationEnded { attempt, reason };
                }
                Ok(None) => break,
                // An unexpected token index means that the generation is incomplete.
                Ok(Some(protocol::StreamEvent::Token { .. })) | Err(_) => return lost,
            }
        }
    }
    lost
}

/// Executes commands one at a time; returns after a cancel command.
async fn execute_commands(
    client: &client::Client,
    address: net::SocketAddr,
    attempt: ids::AttemptId,
    commands: &mut mpsc::UnboundedReceiver<StreamCommand>,
) {
    let url = format!("http://{address}/v1/streams/{attempt}");

    while let Some(command) = commands.recv().await {
        let request = match command {
            StreamCommand::Pause => client.post(format!("{url}/pause")),
            StreamCommand::Resume => client.post(format!("{url}/resume")),
            StreamCommand::Cancel => client.delete(url.as_str()),
        };
        if let Err(reason) = send_command(request).await {
            log::warn!("engine did not execute {command:?} for stream {attempt}: {reason}");
        }
        if command == StreamCommand::Cancel {
            return;
        }
    }
    std::future::pending::<()>().await;
}

async fn send_command(request: client::ClientRequest) -> Result<(), Box<str>> {
    match time::timeout(COMMAND_TIMEOUT, request.send()).await {
        Ok(Ok(response)) if response.status().is_success() => Ok(()),
        Ok(Ok(response)) => Err(response.status().as_str().into()),
        Ok(Err(error)) => Err(error.to_string().into()),
        Err(_) => Err("no response before the timeout".into()),
    }
}
