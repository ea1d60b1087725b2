//! Settings and dependencies of a gateway.

use std::net;
use std::time::Duration;

use kingcupfall_core::keys;

use super::links;
use crate::reducer;

/// Limits that protect the gateway from its callers.
#[derive(Debug, Clone)]
pub struct ShellLimits {
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum number of headers of a request.
    pub headers: usize,
    /// Maximum number of concurrent connections of callers.
    pub connections: usize,
    /// Maximum number of concurrent calls.
    pub concurrent_calls: usize,
    /// Time after which an idle connection is closed.
    pub keep_alive: Duration,
    /// Time within which the head of a request must arrive.
    pub head_timeout: Duration,
    /// Time within which the body of a request must arrive.
    pub body_timeout: Duration,
    /// Time after which a caller that reads nothing of its response is disconnected.
    pub write_timeout: Duration,
    /// Time within which a call must start at a target.
    pub start_timeout: Duration,
    /// Time without events after which a comment is sent to keep a stream's connection alive.
    pub stream_comment_interval: Duration,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Time for which the health endpoint responds with 503 before the listeners close.
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

/// Identity, policies, addresses and dependencies of a gateway.
pub struct GatewaySetup {
    /// Process id, zone and random seed of the gateway.
    pub identity: reducer::GatewayIdentity,
    /// Policies on placement, retries, limits and quarantine.
    pub policies: reducer::GatewayPolicies,
    /// Secret that signs idempotency keys; the same in all gateways.
    pub signing_key: keys::SigningKey,
    /// Address of the callers' API; port 0 binds a free one.
    pub caller_address: net::SocketAddr,
    /// Address of the administration API and the metrics; port 0 binds a free one.
    pub administration_address: net::SocketAddr,
    /// Hash of the administration API's bearer key.
    pub administration_key: keys::KeyHash,
    /// Limits that protect the gateway from its callers.
    pub limits: ShellLimits,
    /// Opens the links to agents.
    pub connector: Box<dyn links::LinkConnector>,
}
