//! Stream of a generation as a caller receives it.

use futures_util::StreamExt;
use kingcupfall_agent::protocol;
use kingcupfall_core::work;
use ntex::client;
use serde::Deserialize;

use super::CallerError;
use super::ProblemBody;
use super::Result;

/// Data of a `tokens` event.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct TokensData {
    /// Index of the first token in the generation.
    pub index: u64,
    /// Texts of the tokens.
    pub tokens: Vec<Box<str>>,
}

/// Data of an `end` event.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct EndData {
    /// What is known of the call.
    pub outcome: work::CallOutcome,
    /// Number of tokens of the complete generation.
    pub total: u64,
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamItem {
    /// Tokens, with the event id after which the stream can be resumed.
    Tokens {
        /// Id of the event.
        id: Box<str>,
        /// The tokens.
        data: TokensData,
    },
    /// End of a complete generation.
    End(EndData),
    /// End of a generation that is not complete.
    Problem(ProblemBody),
}

/// Reader of one stream.
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

    /// Waits for the next event; returns `None` once the connection is closed.
    ///
    /// # Errors
    ///
    /// [`CallerError::NoResponse`] if the connection was lost, [`CallerError::Malformed`] if an
    /// event can't be decoded.
    pub async fn next(&mut self) -> Option<Result<StreamItem>> {
        loop {
            if let Some(event) = self.decoder.pop_event() {
                match decode_item(event).transpose() {
                    Some(item) => return Some(item),
                    // An event without a name is a comment that keeps the connection alive.
                    None => continue,
                }
            }
            let chunk = match self.response.next().await? {
                Ok(chunk) => chunk,
                Err(error) => {
                    return Some(Err(CallerError::NoResponse(error.to_string().into())));
                }
            };
            if let Err(error) = self.decoder.push(&chunk) {
                return Some(Err(super::malformed(&error)));
            }
        }
    }
}

fn decode_item(event: protocol::ServerEvent) -> Result<Option<StreamItem>> {
    match event.name.as_ref() {
        "tokens" => Ok(Some(StreamItem::Tokens {
            id: event.id.unwrap_or_default(),
            data: decode_data(&event.data)?,
        })),
        "end" => Ok(Some(StreamItem::End(decode_data(&event.data)?))),
        "problem" => Ok(Some(StreamItem::Problem(decode_data(&event.data)?))),
        "" => Ok(None),
        name => Err(super::malformed(&format!("unknown event {name}"))),
    }
}

fn decode_data<'a, T: Deserialize<'a>>(data: &'a str) -> Result<T> {
    serde_json::from_str(data).map_err(|error| super::malformed(&error))
}
