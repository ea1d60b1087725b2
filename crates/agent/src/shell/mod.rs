//! Sockets, timers and HTTP around the agent's reducer.
//!
//! One task owns the reducer. All other tasks send it events through one bounded channel.

mod administration;
mod clock;
mod config;
mod driver;
mod event_loop;
mod fleet;
mod http;
mod links;
mod metrics;
mod probe;
mod scheduler;
mod stream;

use std::io;
use std::net;
use std::result;

use quick_error::quick_error;

pub use clock::ShellClock;
pub use config::AgentConfig;
pub use config::TargetAddress;
pub use driver::TargetDriver;
pub use event_loop::AgentHandle;
pub use event_loop::AgentShell;
pub use fleet::DocumentWatch;
pub use http::HttpDriver;
pub use metrics::MetricSource;
pub use scheduler::default_scheduler;

/// Result of starting or running an agent.
pub type Result<T> = result::Result<T, ShellError>;

quick_error! {
    /// Reason why an agent can't start.
    #[derive(Debug)]
    pub enum ShellError {
        /// An address can't be bound.
        Bind(address: net::SocketAddr, error: io::Error) {
            source(error)
            display("can't listen on {}: {}", address, error)
        }
        /// Another agent of the same target runs on this VM.
        Occupied(address: net::SocketAddr, error: io::Error) {
            source(error)
            display("another agent of this target is running; can't bind {}: {}", address, error)
        }
        /// An HTTP client can't be created.
        Client {
            display("can't create an HTTP client")
        }
    }
}
