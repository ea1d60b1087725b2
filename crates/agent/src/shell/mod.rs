//! Sockets, timers and HTTP around the agent's reducer.
//!
//! One task owns the reducer. Everything else sends it events through one bounded channel.

mod administration;
mod clock;
mod config;
mod driver;
mod fleet;
mod http;
mod links;
mod metrics;
mod probe;
mod scheduler;
mod stream;
mod turn;

use std::io;
use std::net;
use std::result;

use quick_error::quick_error;

pub use clock::ShellClock;
pub use config::AgentConfig;
pub use config::TargetAddress;
pub use driver::TargetDriver;
pub use fleet::DocumentWatch;
pub use http::HttpDriver;
pub use metrics::MetricSource;
pub use scheduler::standard_scheduler;
pub use turn::AgentHandle;
pub use turn::AgentShell;

/// Result of starting or running an agent.
pub type Result<T> = result::Result<T, ShellError>;

quick_error! {
    /// Reason why an agent could not start.
    #[derive(Debug)]
    pub enum ShellError {
        /// An address could not be bound.
        Bind(address: net::SocketAddr, error: io::Error) {
            source(error)
            display("can't listen on {}: {}", address, error)
        }
        /// Another agent of the same target runs on this VM.
        Occupied(address: net::SocketAddr, error: io::Error) {
            source(error)
            display("another agent of this target holds {}: {}", address, error)
        }
        /// The HTTP client could not be made.
        Client {
            display("can't make an HTTP client")
        }
    }
}
