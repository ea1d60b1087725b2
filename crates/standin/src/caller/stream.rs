//! Tokens of a generation as a caller receives them.

use futures_util::StreamExt;
use kingcupfall_agent::protocol;
use kingcupfall_core::work;
use ntex::client;
use serde::Deserialize;

use super::CallerError;
use super::ProblemBody;
use super::Result;

/// Data of an event `tokens`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct TokensData {
    /// Place of the first token.
    pub index: u64,
    /// Texts of the tokens.
    pub tokens: Vec<Box<str>>,
}

/// Data of an event `end`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct EndData {
    /// What is known of the call.
    pub outcome: work::CallOutcome,
    /// Number of tokens.
    pub total: u64,
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamItem {
    /// Tokens, and the id after which the stream can be resumed.
    Tokens {
        /// Id of the event.
        id: Box<str>,
        /// The tokens.
        data: TokensData,
    },
    /// The end of a complete answer.
    End(EndData),
    /// The end of an answer that is not complete.
    Problem(ProblemBody),
}

/// A stream that is being read.
pub struct CallerStream {
    response: client::ClientResponse,
    decoder: protocol::EventDecoder,
}

impl CallerStream {
    pub(super) fn new(response: client::ClientResponse) -> Self {
        Self {
            response,
            decoder: protocol::EventDecoder::default(),
        }
    }

    /// Waits for the next event; `None` when the connection ended.
    ///
    /// # Errors
    ///
    /// [`CallerError::Unanswered`] when the connection broke, [`CallerError::Malformed`].
    pub async fn next(&mut self) -> Option<Result<StreamItem>> {
        loop {
            if let Some(event) = self.decoder.pop_event() {
                match read_item(event).transpose() {
                    Some(item) => return Some(item),
                    // A comment that keeps the connection alive.
                    None => continue,
                }
            }
            let chunk = match self.response.next().await? {
                Ok(chunk) => chunk,
                Err(error) => {
                    return Some(Err(CallerError::Unanswered(error.to_string().into())));
                }
            };
            if let Err(error) = self.decoder.push(&chunk) {
                return Some(Err(super::malformed(&error)));
            }
        }
    }
}

fn read_item(event: protocol::ServerEvent) -> Result<Option<StreamItem>> {
    match event.name.as_ref() {
        "tokens" => Ok(Some(StreamItem::Tokens {
            id: event.id.unwrap_or_default(),
            data: read_data(&event.data)?,
        })),
        "end" => Ok(Some(StreamItem::End(read_data(&event.data)?))),
        "problem" => Ok(Some(StreamItem::Problem(read_data(&event.data)?))),
        "" => Ok(None),
        name => Err(super::malformed(&format!("unknown event {name}"))),
    }
}

fn read_data<'a, T: Deserialize<'a>>(data: &'a str) -> Result<T> {
    serde_json::from_str(data).map_err(|error| super::malformed(&error))
}
