//! The agent that runs beside one target and is the only process that talks to it.
//!
//! [`reducer::AgentReducer`] turns every event into effects; it does no I/O and reads no clock.
//! The [`shell`] turns network and timer activity into events and executes the effects.

pub mod protocol;
pub mod reducer;
pub mod shell;
pub mod state;
