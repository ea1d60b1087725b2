//! Links over TCP: WebSocket messages that carry CBOR lists of frames.
//!
//! Both ends prove that they hold the same [`LinkKey`] before the first frame. Sending never
//! waits: frames go into a bounded queue, and a link whose queue is full is aborted.

mod connect;
mod handshake;
mod key;
mod queue;
mod socket;

use std::io;
use std::result;
use std::time::Duration;

use quick_error::quick_error;

pub use connect::accept;
pub use connect::connect;
pub use key::LinkKey;
pub use key::LinkKeyError;
pub use queue::QUEUE_LIMIT_BYTES;
pub use queue::QUEUE_LIMIT_MESSAGES;
pub use socket::LinkReceiver;
pub use socket::LinkSender;
pub use socket::LinkSocket;

use crate::codec;

/// Time in which a link must be open and both ends proven.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of an operation on a link.
pub type Result<T> = result::Result<T, TransportError>;

quick_error! {
    /// Reason why a link could not be opened, or broke.
    #[derive(Debug)]
    pub enum TransportError {
        /// The TCP connection failed.
        Io(error: io::Error) {
            from()
            source(error)
            display("link: {}", error)
        }
        /// The peer broke the WebSocket protocol, or the connection broke.
        Socket(error: Box<tokio_tungstenite::tungstenite::Error>) {
            from(error: tokio_tungstenite::tungstenite::Error) -> (Box::new(error))
            source(error)
            display("link: {}", error)
        }
        /// The peer sent bytes that are not a list of frames.
        Codec(error: codec::CodecError) {
            from()
            source(error)
            display("link: {}", error)
        }
        /// The peer sent a message of a kind that links do not use.
        UnexpectedMessage {
            display("link: the peer sent a message that is not binary")
        }
        /// The peer did not prove that it holds the link key.
        Unauthenticated {
            display("link: the peer did not prove that it holds the link key")
        }
        /// The link was not open within [`HANDSHAKE_TIMEOUT`].
        HandshakeTimeout {
            display("link: not open after {} s", HANDSHAKE_TIMEOUT.as_secs())
        }
        /// The peer does not take messages as fast as they are sent.
        QueueFull {
            display("link: the send queue is full")
        }
        /// The link is closed.
        Closed {
            display("link: closed")
        }
    }
}

impl TransportError {
    /// Says whether the peer sent something that a correct peer never sends.
    pub fn is_junk(&self) -> bool {
        match self {
            Self::Codec(_) | Self::UnexpectedMessage | Self::Unauthenticated => true,
            Self::Socket(error) => is_protocol_violation(error),
            Self::Io(_) | Self::HandshakeTimeout | Self::QueueFull | Self::Closed => false,
        }
    }
}

fn is_protocol_violation(error: &tokio_tungstenite::tungstenite::Error) -> bool {
    use tokio_tungstenite::tungstenite::Error;
    use tokio_tungstenite::tungstenite::error;

    match error {
        Error::Protocol(error::ProtocolError::ResetWithoutClosingHandshake)
        | Error::Protocol(error::ProtocolError::HandshakeIncomplete) => false,
        Error::Protocol(_)
        | Error::Capacity(_)
        | Error::Utf8(_)
        | Error::AttackAttempt
        | Error::Url(_)
        | Error::Http(_)
        | Error::HttpFormat(_) => true,
        Error::ConnectionClosed
        | Error::AlreadyClosed
        | Error::Io(_)
        | Error::Tls(_)
        | Error::WriteBufferFull(_) => false,
    }
}
