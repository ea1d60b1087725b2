//! Input and output: connections with callers, targets and peers, and the state that they share.

mod bounded_tasks;
mod budgets;
mod buffered;
mod caller_socket;
mod client;
mod clients;
mod directory_events;
mod directory_feed;
mod engine_reports;
mod evacuations;
mod explanations;
mod former_runs;
mod forwarder;
mod frame_limit;
mod intake;
mod limited_socket;
mod limits;
mod memory;
mod memory_migration;
mod notices;
mod peer_exchange;
mod peer_links;
mod peer_messages;
mod prompt_parts;
mod rerun;
mod responses;
mod resumption;
mod routes;
mod server;
mod settings;
mod silence;
mod state;
mod stop;
mod stream;
mod stream_migration;
mod suspects;

pub use client::connect;
pub use directory_events::handle_directory_events;
pub use explanations::RequestExplanation;
pub use explanations::ServiceExplanation;
pub use peer_messages::PeerHeartbeat;
pub use peer_messages::PeerMessage;
pub use responses::ResponseBody;
pub use server::start;
pub use settings::RelaySettings;
pub use state::RelaySetup;
pub use state::RelayState;
pub use state::RouteDecoder;
pub use stop::StopPlan;
pub use stop::drain;

use std::io;
use std::net;
use std::result;

use quick_error::quick_error;

/// Result of starting the shell.
pub type Result<T> = result::Result<T, ShellError>;

quick_error! {
    /// Reason why the shell can't start.
    #[derive(Debug)]
    pub enum ShellError {
        /// An address can't be bound.
        Bind(address: net::SocketAddr, error: io::Error) {
            display("can't listen on {}: {}", address, error)
        }
    }
}
