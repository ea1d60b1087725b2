//! The gateway: takes calls, chooses targets, and brings each answer back whole and once.
//!
//! One [`reducer::GatewayReducer`] takes every event and answers with effects; it does no I/O and
//! reads no clock. The shell turns sockets into events and carries the effects out.

pub mod administration;
pub mod intake;
pub mod reducer;
pub mod shell;
pub mod state;
