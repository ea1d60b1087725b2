//! Connections to targets and to the platform.

use std::io;
use std::net;
use std::result;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time;

/// Longest time for a connection: some ten round trips between regions, less than the second
/// after which the kernel repeats a lost opening packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which bytes that nobody acknowledges break a connection.
const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Silence after which the other end is probed, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer that break a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Largest answer that is held whole.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Result of an exchange with a target.
pub(super) type Result<T> = result::Result<T, SendError>;

quick_error! {
    /// Reason why a request has no answer.
    #[derive(Debug)]
    pub enum SendError {
        /// No connection came about; nothing was sent.
        Unreachable(error: io::Error) {
            display("no connection: {}", error)
        }
        /// The connection broke after the request may have been read.
        Broken(error: hyper::Error) {
            from()
            display("the connection broke: {}", error)
        }
        /// The answer does not end as it began to.
        Incomplete(reason: Box<str>) {
            display("the answer is incomplete: {}", reason)
        }
        /// Nothing came in time.
        TimedOut {
            display("no answer in time")
        }
    }
}

/// A connection whose task ends with it.
pub(super) struct ConnectionTask(task::JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        // Closes the socket at once, which tells the target to stop working.
        self.0.abort();
    }
}

/// An answer whose body is still to come.
pub(super) struct OpenResponse {
    pub(super) parts: response::Parts,
    pub(super) body: body::Incoming,
    _connection: ConnectionTask,
}

impl OpenResponse {
    /// Reads the whole body.
    pub(super) async fn read_buffered(self) -> Result<(response::Parts, Bytes)> {
        let limited = Limited::new(self.body, MAX_BUFFERED_RESPONSE_BYTES);
        match limited.collect().await {
            Ok(collected) => Ok((self.parts, collected.to_bytes())),
            Err(error) => Err(SendError::Incomplete(error.to_string().into())),
        }
    }
}

/// Opens a connection that notices when the other end is gone.
///
/// # Errors
///
/// The reason why there is none within the time for it.
pub async fn connect(address: net::SocketAddr) -> io::Result<TcpStream> {
    let stream = match time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(stream) => stream?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    enable_loss_detection(&stream)?;
    Ok(stream)
}

/// Sets a connection up to notice when the other end is gone.
pub(super) fn enable_loss_detection(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_DATA_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Sends a request on a connection of its own and returns the head of the answer.
///
/// Connections are not kept: an answer that comes late, or twice, can then never stand where the
/// answer to another request is due, and a request never meets a connection that is being closed.
pub(super) async fn send(
    address: net::SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<OpenResponse> {
    let stream = connect(address).await.map_err(SendError::Unreachable)?;
    let (mut sender, connection) = http1::Builder::new()
        .handshake::<_, Full<Bytes>>(TokioIo::new(stream))
        .await?;
    let task = task::spawn_local(async move {
        // The exchange itself reports a broken connection.
        let _ = connection.await;
    });
    let connection = ConnectionTask(task);

    let response = sender.send_request(request).await?;
    let (parts, body) = response.into_parts();
    Ok(OpenResponse {
        parts,
        body,
        _connection: connection,
    })
}

/// Sends a request and reads its whole answer within a time.
pub(super) async fn exchange(
    address: net::SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<(response::Parts, Bytes)> {
    let exchanged = async { send(address, request).await?.read_buffered().await };
    time::timeout(timeout, exchanged)
        .await
        .unwrap_or(Err(SendError::TimedOut))
}
