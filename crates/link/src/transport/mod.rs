//! Links over TCP: each WebSocket message contains a list of frames as CBOR.
//!
//! Both ends prove that they hold the same [`LinkKey`] before the first frame. Sending never waits:
//! frames are added to a bounded queue, and a link whose queue is full is aborted.

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
pub use queue::MAX_QUEUED_BYTES;
pub use queue::MAX_QUEUED_MESSAGES;
pub use socket::LinkReceiver;
pub use socket::LinkSender;
pub use socket::LinkSocket;

use crate::codec;

/// Time limit for opening a link, including the authentication of both ends.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of an operation on a link.
pub type Result<T> = result::Result<T, TransportError>;

quick_error! {
    /// Reason why a link could not be opened, or failed.
    #[derive(Debug)]
    pub enum TransportError {
        /// The TCP connection failed.
        Io(error: io::Error) {
            from()
            source(error)
            display("link: {}", error)
        }
        /// The peer violated the WebSocket protocol, or the connection failed.
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
        /// The peer sent a WebSocket message of a type that links do not use.
        UnexpectedMessage {
            display("link: the peer sent a message that is not binary")
        }
        /// The peer did not prove that it holds the link key.
        Unauthenticated {
            display("link: the peer did not prove that it holds the link key")
        }
        /// The link could not be opened within [`HANDSHAKE_TIMEOUT`].
        HandshakeTimeout {
            display("link: handshake not completed within {} s", HANDSHAKE_TIMEOUT.as_secs())
        }
        /// The peer reads messages more slowly than this end sends them.
        QueueFull {
            display("link: the send queue is full because the peer reads too slowly")
        }
        /// The link is closed.
        Closed {
            display("link: closed")
        }
    }
}

impl TransportError {
    /// Returns true if the peer sent something that a correct peer never sends.
    pub fn is_protocol_violation(&self) -> bool {
        match self {
            Self::Codec(_) | Self::UnexpectedMessage | Self::Unauthenticated => true,
            Self::Socket(error) => is_websocket_violation(error),
            Self::Io(_) | Self::HandshakeTimeout | Self::QueueFull | Self::Closed => false,
        }
    }
}

fn is_websocket_violation(error: &tokio_tungstenite::tungstenite::Error) -> bool {
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
