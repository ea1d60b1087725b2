//! What a gateway is started with.

use std::net;
use std::time::Duration;

use kingcupfall_core::keys;

use super::links;
use crate::reducer;

/// Limits that protect the gateway from its callers.
#[derive(Debug, Clone)]
pub struct ShellLimits {
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Most headers of a request.
    pub headers: usize,
    /// Connections open at a time.
    pub connections: usize,
    /// Calls in progress at a time.
    pub concurrent_calls: usize,
    /// Time that an idle connection is kept.
    pub keep_alive: Duration,
    /// Time that a caller has for the head of its request.
    pub head_timeout: Duration,
    /// Time that a caller has for the body of its request.
    pub body_timeout: Duration,
    /// Time without reading anything after which a caller counts as gone.
    pub write_timeout: Duration,
    /// Time within which a call is to start.
    pub start_timeout: Duration,
    /// Silence of a stream after which a comment keeps its connection alive.
    pub stream_comment_interval: Duration,
    /// Threads that serve callers.
    pub workers: usize,
    /// Time that the health endpoint answers 503 before the listeners close.
    pub shutdown_delay: Duration,
}

impl Default for ShellLimits {
    fn default() -> Self {
        Self {
            body_bytes: 1024 * 1024,
            head_bytes: 16 * 1024,
            headers: 64,
            connections: 20_000,
            concurrent_calls: 10_000,
            keep_alive: Duration::from_secs(30),
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(60),
            start_timeout: Duration::from_secs(60),
            stream_comment_interval: Duration::from_secs(15),
            workers: 2,
            shutdown_delay: Duration::from_secs(2),
        }
    }
}

/// Everything that a gateway is started with.
pub struct GatewaySetup {
    /// Who the gateway is.
    pub identity: reducer::GatewayIdentity,
    /// Its decisions.
    pub policies: reducer::GatewayPolicies,
    /// Secret that signs idempotency keys; the same in all gateways.
    pub signing_key: keys::SigningKey,
    /// Address at which callers are served; port 0 takes a free one.
    pub caller_address: net::SocketAddr,
    /// Address of the administration API and the metrics; port 0 takes a free one.
    pub administration_address: net::SocketAddr,
    /// Hash of the administration API's bearer key.
    pub administration_key: keys::KeyHash,
    /// Limits on callers.
    pub limits: ShellLimits,
    /// Opens links to agents.
    pub connector: Box<dyn links::LinkConnector>,
}
