//! Start and stop of the HTTP server of a stand-in.

use std::io;
use std::net;
use std::result;

use ntex::web;

/// Result of starting a stand-in.
pub type Result<T> = result::Result<T, io::Error>;

/// Largest request body that a stand-in accepts.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// HTTP server of one stand-in.
#[derive(Clone)]
pub struct StandinServer {
    address: net::SocketAddr,
    server: ntex::server::Server,
}

impl StandinServer {
    /// Creates a handle of the running `server` that listens on `address`.
    pub fn new(address: net::SocketAddr, server: ntex::server::Server) -> Self {
        Self { address, server }
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops the server at once and closes all its connections.
    pub async fn kill(&self) {
        self.server.stop(false).await;
    }
}

/// Binds `address` and returns the listener with its actual address; port 0 selects a free port.
///
/// # Errors
///
/// The error of the operating system, for example if the address is in use.
pub fn bind(address: net::SocketAddr) -> Result<(net::TcpListener, net::SocketAddr)> {
    let listener = net::TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Returns a limit on JSON bodies that is large enough for all bodies that the system sends.
pub fn json_config() -> web::types::JsonConfig {
    web::types::JsonConfig::default().limit(MAX_BODY_BYTES)
}

/// Returns a limit on plain bodies that is large enough for all bodies that the system sends.
pub fn payload_config() -> web::types::PayloadConfig {
    web::types::PayloadConfig::new(MAX_BODY_BYTES)
}
