//! Protocol of the links between gateways and agents, and among gateways.
//!
//! Frames are encoded as CBOR in binary WebSocket messages. Both ends first prove that they hold
//! the link key, then each sends a hello. A link to a peer with another protocol version is closed.

pub mod codec;
pub mod frames;
pub mod transport;
