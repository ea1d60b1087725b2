//! The HTTP servers of a gateway: listening, limits and graceful shutdown.

use std::net;
use std::time::Duration;

use kingcupfall_core::keys;
use ntex::http;
use ntex::io;
use ntex::server;
use ntex::time;
use ntex::web;
use tokio::sync::watch;

use super::Result;
use super::ShellError;
use super::callers;
use super::context;
use super::driver;
use super::setup;
use crate::administration;

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1_024;

/// Maximum number of concurrent connections to the administration API.
const MAX_ADMINISTRATION_CONNECTIONS: usize = 64;

/// Maximum wait for connections to close after the last call has ended.
const CLOSE_TIMEOUT: time::Seconds = time::Seconds(5);

/// Interval of polling for calls whose connections have not finished.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum rate at which a request's head must arrive, in bytes per
/// [`head_timeout`](setup::ShellLimits::head_timeout).
const MIN_HEAD_BYTES_PER_TIMEOUT: u32 = 256;

/// The servers of one gateway.
pub struct GatewayServers {
    /// Server of the callers' API, at the callers' address.
    pub callers: server::Server,
    /// Server of the administration API, the metrics and the health endpoint.
    pub administration: server::Server,
}

/// Binds a listening socket to `address`.
pub fn listen(address: net::SocketAddr) -> Result<net::TcpListener> {
    server::create_tcp_listener(address, LISTEN_BACKLOG)
        .map_err(|error| ShellError::Bind(address, error))
}

/// Returns the address that a listener is bound to; differs from `requested` if that has port 0.
pub fn local_address(
    listener: &net::TcpListener,
    requested: net::SocketAddr,
) -> Result<net::SocketAddr> {
    listener
        .local_addr()
        .map_err(|error| ShellError::Bind(requested, error))
}

/// Starts the server of the callers' API.
pub fn run_callers(listener: net::TcpListener, context: &context::ServerContext) -> server::Server {
    let limits = context.limits().clone();
    let context = context.clone();
    let factory = async move || {
        web::App::new()
            .state(context.clone())
            .configure(callers::add_routes)
            .default_service(web::to(callers::refuse_path))
    };

    web::HttpServer::new(factory)
        .workers(limits.workers)
        .maxconn(limits.connections.div_ceil(limits.workers))
        .disable_signals()
        .shutdown_timeout(CLOSE_TIMEOUT)
        .config(server_config("callers", &limits))
        .listen(listener)
        .expect("the listener is bound")
        .run()
}

/// Starts the server of the administration API.
pub fn run_administration(
    listener: net::TcpListener,
    context: &context::ServerContext,
    key: keys::KeyHash,
) -> server::Server {
    let limits = context.limits().clone();
    let context = context.clone();
    let factory = async move || {
        web::App::new()
            .state(context.clone())
            .state(administration::AdministrationKey::new(key))
            .configure(administration::add_routes)
            .configure(callers::add_health)
            .default_service(web::to(administration::refuse_path))
    };

    web::HttpServer::new(factory)
        .workers(1)
        .maxconn(MAX_ADMINISTRATION_CONNECTIONS)
        .disable_signals()
        .shutdown_timeout(CLOSE_TIMEOUT)
        .config(server_config("administration", &limits))
        .listen(listener)
        .expect("the listener is bound")
        .run()
}

/// Runs the driver until it ends, waits until the last responses are written, and stops the
/// servers.
///
/// The receiver becomes true when the servers have stopped.
pub fn run_until_stopped(
    driver: driver::ReducerDriver,
    servers: GatewayServers,
    context: context::ServerContext,
) -> watch::Receiver<bool> {
    let (sender, ended) = watch::channel(false);
    ntex::rt::spawn(async move {
        driver.run().await;
        let listeners_close_at = tokio::time::Instant::now() + context.limits().shutdown_delay;

        // Slow connections may still be reading responses that the reducer has completed.
        let write_deadline = tokio::time::Instant::now() + context.limits().write_timeout;
        while context.open_calls() > 0 && tokio::time::Instant::now() < write_deadline {
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
        // The load balancer sees 503 from the health endpoint before connections are refused.
        tokio::time::sleep_until(listeners_close_at).await;

        servers.callers.stop(true).await;
        servers.administration.stop(true).await;
        sender.send_replace(true);
    });
    ended
}

fn server_config(name: &'static str, limits: &setup::ShellLimits) -> ntex::SharedCfg {
    let head_timeout = seconds(limits.head_timeout);
    let http = http::HttpServiceConfig::new()
        .set_max_headers(limits.headers)
        .set_max_buf_size(limits.head_bytes)
        .set_keepalive(seconds(limits.keep_alive))
        .set_headers_read_rate(head_timeout, head_timeout, MIN_HEAD_BYTES_PER_TIMEOUT);
    let io = io::IoConfig::new().set_disconnect_timeout(time::Seconds(1));

    ntex::SharedCfg::new(name).add(http).add(io).into()
}

/// Rounds down to whole seconds, at least one and at most `u16::MAX`.
fn seconds(duration: Duration) -> time::Seconds {
    let seconds = u16::try_from(duration.as_secs()).unwrap_or(u16::MAX);
    time::Seconds(seconds.max(1))
}
