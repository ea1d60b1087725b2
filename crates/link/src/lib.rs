//! Protocol between gateways, agents and gateways of other VMs.
//!
//! Frames are CBOR in binary WebSocket messages. Each end sends its hello first; a peer whose
//! version or proof does not fit is dropped.

pub mod codec;
pub mod frames;
pub mod transport;
