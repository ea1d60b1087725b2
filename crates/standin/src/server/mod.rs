//! Starting and ending the HTTP server of a stand-in.

use std::io;
use std::net;
use std::result;

use ntex::web;

/// Result of starting a stand-in.
pub type Result<T> = result::Result<T, io::Error>;

/// Largest body that a stand-in takes.
pub const BODY_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Server of one stand-in.
#[derive(Clone)]
pub struct StandinServer {
    address: net::SocketAddr,
    server: ntex::server::Server,
}

impl StandinServer {
    /// Wraps a server that runs at `address`.
    pub fn new(address: net::SocketAddr, server: ntex::server::Server) -> Self {
        Self { address, server }
    }

    /// Returns where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Ends it at once, with all its connections.
    pub async fn kill(&self) {
        self.server.stop(false).await;
    }
}

/// Binds `address`; port 0 takes a free one.
///
/// # Errors
///
/// The operating system's, when the address is taken.
pub fn bind(address: net::SocketAddr) -> Result<(net::TcpListener, net::SocketAddr)> {
    let listener = net::TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Returns limits on JSON bodies that fit everything the system sends.
pub fn json_config() -> web::types::JsonConfig {
    web::types::JsonConfig::default().limit(BODY_LIMIT_BYTES)
}

/// Returns limits on plain bodies that fit everything the system sends.
pub fn payload_config() -> web::types::PayloadConfig {
    web::types::PayloadConfig::new(BODY_LIMIT_BYTES)
}
