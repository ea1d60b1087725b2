//! Input and output: callers' connections, targets, peers and signals.

mod answers;
mod client;
mod directory;
mod evacuation;
mod head_limit;
mod intake;
mod messages;
mod moves;
mod peers;
mod plain;
mod pump;
mod server;
mod settings;
mod state;
mod stop;
mod stream;

pub use answers::AnswerBody;
pub use client::connect;
pub use directory::run as run_directory;
pub use messages::PeerMessage;
pub use messages::PeerPulse;
pub use server::start;
pub use settings::RelaySettings;
pub use state::RelaySetup;
pub use state::RelayState;
pub use state::RouteDecoder;
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
        /// An address can't be listened on.
        Bind(address: net::SocketAddr, error: io::Error) {
            display("can't listen on {}: {}", address, error)
        }
    }
}
