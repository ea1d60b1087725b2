//! Sockets, timers and HTTP calls around the fleet reducer, for gateways and agents.
//!
//! One task owns the reducer. The shell opens and accepts the links between gateways, and reads the
//! configuration service and the VM list. The links between gateways and agents belong to the host,
//! which passes the fleet frames received on them to the shell.

mod driver;
mod handle;
mod host;
mod peers;
mod platform;

use std::io;
use std::net;
use std::result;

use quick_error::quick_error;

pub use handle::FleetHandle;
pub use handle::FleetSetup;
pub use handle::start;
pub use host::DocumentNotice;
pub use host::FleetHost;
pub use platform::PlatformAddresses;

/// Result of starting the fleet shell.
pub type Result<T> = result::Result<T, ShellError>;

quick_error! {
    /// Reason why the fleet shell could not start.
    #[derive(Debug)]
    pub enum ShellError {
        /// The address for links from other gateways could not be bound.
        Bind(address: net::SocketAddr, error: io::Error) {
            source(error)
            display("can't listen for gateway links on {}: {}", address, error)
        }
        /// The HTTP client for the platform's services could not be created.
        Client {
            display("can't create the HTTP client for the platform's services")
        }
    }
}
