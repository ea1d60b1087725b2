//! The gateway: accepts calls, chooses a target for each, and returns each response complete and
//! only once.
//!
//! One [`reducer::GatewayReducer`] handles every event and returns effects; it does no I/O and
//! reads no clock. The shell turns socket activity into events and executes the effects.

pub mod administration;
pub mod intake;
pub mod reducer;
pub mod shell;
pub mod state;
