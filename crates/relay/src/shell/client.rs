//! Connections to targets, peers and the platform.

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

/// Time limit for opening a connection: some ten round trips between regions, and less than the one
/// second after which the kernel retransmits a lost SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a connection breaks if sent data is not acknowledged.
const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time before the first keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection breaks.
const KEEPALIVE_PROBES: u32 = 2;

/// Size limit of a buffered response body.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Result of a request to a target.
pub(super) type Result<T> = result::Result<T, SendError>;

quick_error! {
    /// Reason why a request has no response.
    #[derive(Debug)]
    pub enum SendError {
        /// No connection could be opened; nothing was sent.
        Unreachable(error: io::Error) {
            display("can't open a connection: {}", error)
        }
        /// The connection broke, possibly after the target read the request.
        Broken(error: hyper::Error) {
            from()
            display("connection broke before the response was received: {}", error)
        }
        /// The body broke off, or exceeds the size limit for buffered responses.
        Incomplete(reason: Box<str>) {
            display("incomplete response body: {}", reason)
        }
        /// The response was not complete within the timeout.
        TimedOut {
            display("no complete response within the timeout")
        }
    }
}

/// Task that drives a connection; dropping it ends the task.
pub(super) struct ConnectionTask(task::JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        // Closes the socket immediately, which makes most targets drop the request.
        self.0.abort();
    }
}

/// A response whose body has not been read yet.
pub(super) struct OpenResponse {
    pub(super) parts: response::Parts,
    pub(super) body: body::Incoming,
    _connection: ConnectionTask,
}

impl OpenResponse {
    /// Reads the body to its end.
    ///
    /// # Errors
    ///
    /// [`SendError::Incomplete`] if the body breaks off or exceeds the size limit.
    pub(super) async fn read_buffered(self) -> Result<(response::Parts, Bytes)> {
        let limited = Limited::new(self.body, MAX_BUFFERED_RESPONSE_BYTES);
        match limited.collect().await {
            Ok(collected) => Ok((self.parts, collected.to_bytes())),
            Err(error) => Err(SendError::Incomplete(error.to_string().into())),
        }
    }
}

/// Opens a connection that detects the loss of the other end.
///
/// # Errors
///
/// The error of the system, or `TimedOut` if the connection is not open in time.
pub async fn connect(address: net::SocketAddr) -> io::Result<TcpStream> {
    let stream = match time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(stream) => stream?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    enable_loss_detection(&stream)?;
    Ok(stream)
}

/// Configures a socket to detect the loss of the other end within seconds.
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

/// A new connection on which nothing has been sent yet.
///
/// Connections are not reused: a late or duplicate response can never be taken for the response to
/// another request, and no request is sent on a connection that the target is closing.
pub(super) struct OpenConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: ConnectionTask,
}

impl OpenConnection {
    /// Sends a request and returns the response once its head has arrived.
    pub(super) async fn send(mut self, request: Request<Full<Bytes>>) -> Result<OpenResponse> {
        let response = self.sender.send_request(request).await?;
        let (parts, body) = response.into_parts();
        Ok(OpenResponse {
            parts,
            body,
            _connection: self.task,
        })
    }
}

/// Opens a connection for one request.
///
/// # Errors
///
/// [`SendError::Unreachable`] if no connection can be opened.
pub(super) async fn open(address: net::SocketAddr) -> Result<OpenConnection> {
    let stream = connect(address).await.map_err(SendError::Unreachable)?;
    let (sender, connection) = http1::Builder::new()
        .handshake::<_, Full<Bytes>>(TokioIo::new(stream))
        .await?;
    let task = task::spawn_local(async move {
        // `send_request` and the body report a broken connection.
        let _ = connection.await;
    });
    Ok(OpenConnection {
        sender,
        task: ConnectionTask(task),
    })
}

/// Sends a request on a new connection and returns the response once its head has arrived.
pub(super) async fn send(
    address: net::SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<OpenResponse> {
    open(address).await?.send(request).await
}

/// Sends a request and returns the buffered response, all within `timeout`.
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
