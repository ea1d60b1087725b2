//! Sockets, timers and HTTP around the fleet reducer, for gateways and agents alike.
//!
//! One task owns the reducer. It opens and takes the links between gateways, and reads the
//! configuration service and the VM list. The links between gateways and agents belong to the
//! host, which hands over the fleet's frames on them.

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

/// Result of starting the fleet's shell.
pub type Result<T> = result::Result<T, ShellError>;

quick_error! {
    /// Reason why the fleet's shell could not start.
    #[derive(Debug)]
    pub enum ShellError {
        /// The address for links of other gateways could not be bound.
        Bind(address: net::SocketAddr, error: io::Error) {
            source(error)
            display("can't listen on {}: {}", address, error)
        }
        /// The HTTP client could not be made.
        Client {
            display("can't make an HTTP client")
        }
    }
}
