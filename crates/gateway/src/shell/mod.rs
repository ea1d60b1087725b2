//! The shell around the reducer: HTTP servers, links to agents, the clock, starting and stopping.

mod callers;
mod clock;
mod command;
mod context;
mod departures;
mod document;
mod driver;
mod fleet;
mod handle;
mod links;
mod meters;
mod metrics;
mod policies;
mod replies;
mod server;
mod session;
mod setup;
mod transport;

use std::io;
use std::result;

use quick_error::quick_error;

pub use clock::ShellClock;
pub use command::LinkEvent;
pub use command::LinkEventSender;
pub use context::ServerContext;
pub use document::ActiveDocument;
pub use handle::GatewayHandle;
pub use handle::start;
pub use links::LinkConnector;
pub use links::LinkWriter;
pub use metrics::GatewayMetrics;
pub use metrics::GaugeValues;
pub use policies::default_policies;
pub use setup::GatewaySetup;
pub use setup::ShellLimits;
pub use transport::TransportConnector;

/// Result of starting a gateway.
pub type Result<T> = result::Result<T, ShellError>;

quick_error! {
    /// Reason why a gateway can't start.
    #[derive(Debug)]
    pub enum ShellError {
        /// An address can't be bound, for example because it is in use.
        Bind(address: std::net::SocketAddr, error: io::Error) {
            display("can't listen on {}: {}", address, error)
            source(error)
        }
    }
}
