//! Small stand-ins for the components around the system: model engine, plain service,
//! configuration service and VM list, and a client for callers.
//!
//! The demonstration, tests and benchmarks use them on loopback. Each server listens on an address
//! of its own and is controlled through a handle.

pub mod caller;
pub mod configuration;
pub mod demo;
pub mod engine;
pub mod proxy;
pub mod server;
pub mod service;
pub mod system;
pub mod text;
pub mod vms;
