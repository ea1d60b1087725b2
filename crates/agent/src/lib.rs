//! The agent beside a target: the only process that talks to it.
//!
//! One [`reducer::AgentReducer`] takes every event and answers with effects; it does no I/O and
//! reads no clock. The [`shell`] turns sockets into events and carries the effects out.

pub mod protocol;
pub mod reducer;
pub mod shell;
pub mod state;
