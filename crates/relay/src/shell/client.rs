//! Connections to targets, peers and the platform.

use std::io;
use std::net;
use std::rc::Rc;
use std::result;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::response;
use http_body_util::Full;
use hyper::body;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time;

use super::clients;
use super::limited_socket;
use super::memory;

/// Time limit for opening a connection: some ten round trips between regions, and less than the one
/// second after which the kernel retransmits a lost SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a connection breaks if sent data is not acknowledged.
const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Length of a request body from which the target may leave a part of it unread for any time. The
/// system counts the time for which the window is closed as time without acknowledgement, also if
/// the target confirms that. Shorter bodies fit into the windows of a connection.
const MIN_UNREAD_BODY_BYTES: u64 = 16 * 1024;

/// Size of the buffers that the system has for a connection to a target, each way. The system doubles
/// it for its own records. A stream whose caller doesn't read fills them.
const TARGET_BUFFER_BYTES: u32 = 32 * 1024;

/// Idle time before the first keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection breaks.
const KEEPALIVE_PROBES: u32 = 2;

/// Size limit of a buffered response body.
pub(super) const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Size limit of the body of a response to a request of the relay itself, such as a report.
const MAX_REPLY_BYTES: usize = 256 * 1024;

/// Size limit of the head of a response, and of the part of a body that the connection buffers.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Bytes that may arrive before the head of the response is complete, informational responses
/// included: several heads, and the start of the body that may be read with them.
const MAX_BYTES_BEFORE_BODY: usize = 8 * MAX_HEAD_BYTES;

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
        /// The body broke off, or exceeds its size limit or the memory that is left.
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
    /// Reads the body to its end. Returns it with the memory that is reserved for it, for which
    /// clients may yield.
    ///
    /// # Errors
    ///
    /// [`SendError::Incomplete`] if the body breaks off, or exceeds the size limit or the memory that
    /// is left.
    pub(super) async fn read_buffered(
        self,
        max_bytes: usize,
        mut reservation: memory::MemoryReservation,
        clients: Option<&Rc<clients::ClientTable>>,
    ) -> Result<BufferedResponse> {
        let limits = memory::BodyLimits {
            max_bytes,
            reserved_bytes: 0,
            standstill: None,
            clients,
        };
        match memory::read_body(self.body, limits, &mut reservation).await {
            Ok(body) => Ok(BufferedResponse {
                parts: self.parts,
                body,
                reservation,
            }),
            Err(error) => Err(SendError::Incomplete(error.to_string().into())),
        }
    }
}

/// A response that has been read to its end.
pub(super) struct BufferedResponse {
    pub(super) parts: response::Parts,
    pub(super) body: Bytes,
    /// Memory that the body takes.
    pub(super) reservation: memory::MemoryReservation,
}

/// Opens a connection that detects the loss of the other end.
///
/// # Errors
///
/// The error of the system, or `TimedOut` if the connection is not open in time.
pub async fn connect(address: net::SocketAddr) -> io::Result<TcpStream> {
    connect_socket(new_socket(address)?, address).await
}

/// Opens a connection to a target, whose unread bytes take little memory.
async fn connect_target(address: net::SocketAddr) -> io::Result<TcpStream> {
    let socket = new_socket(address)?;
    // The window is agreed on when the connection is opened.
    socket.set_recv_buffer_size(TARGET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(TARGET_BUFFER_BYTES)?;
    connect_socket(socket, address).await
}

fn new_socket(address: net::SocketAddr) -> io::Result<TcpSocket> {
    match address {
        net::SocketAddr::V4(_) => TcpSocket::new_v4(),
        net::SocketAddr::V6(_) => TcpSocket::new_v6(),
    }
}

async fn connect_socket(socket: TcpSocket, address: net::SocketAddr) -> io::Result<TcpStream> {
    let stream = match time::timeout(CONNECT_TIMEOUT, socket.connect(address)).await {
        Ok(stream) => stream?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    enable_loss_detection(&stream)?;
    Ok(stream)
}

/// Configures a socket to detect the loss of the other end within seconds. An end that reads nothing for
/// as long counts as lost, too.
pub(super) fn enable_loss_detection(stream: &TcpStream) -> io::Result<()> {
    enable_keepalive(stream)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_DATA_TIMEOUT))
}

/// Configures a socket to detect the loss of the other end within seconds while no data that was sent is
/// unacknowledged. The other end may read as late as it wants.
pub(super) fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// A new connection on which nothing has been sent yet.
///
/// Connections are not reused: a late or duplicate response can never be taken for the response to
/// another request, and no request is sent on a connection that the target is closing.
pub(super) struct OpenConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: ConnectionTask,
    /// Bytes that may arrive before the head of the response is complete. The HTTP library skips any
    /// number of informational responses.
    head_limit: limited_socket::ByteLimit,
}

impl OpenConnection {
    /// Sends a request and returns the response once its head has arrived.
    pub(super) async fn send(mut self, request: Request<Full<Bytes>>) -> Result<OpenResponse> {
        let response = self.sender.send_request(request).await?;
        self.head_limit.lift();
        let (parts, body) = response.into_parts();
        Ok(OpenResponse {
            parts,
            body,
            _connection: self.task,
        })
    }
}

/// Opens a connection for a request.
///
/// # Errors
///
/// [`SendError::Unreachable`] if no connection can be opened.
pub(super) async fn open(
    address: net::SocketAddr,
    request: &Request<Full<Bytes>>,
) -> Result<OpenConnection> {
    let stream = connect_target(address)
        .await
        .map_err(SendError::Unreachable)?;
    if body::Body::size_hint(request.body()).lower() >= MIN_UNREAD_BODY_BYTES {
        // The deadline of the call and the probes of a silent target are left to detect a loss.
        SockRef::from(&stream)
            .set_tcp_user_timeout(None)
            .map_err(SendError::Unreachable)?;
    }
    let head_limit = limited_socket::ByteLimit::new(MAX_BYTES_BEFORE_BODY);
    let socket = limited_socket::LimitedSocket::new(stream, head_limit.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake::<_, Full<Bytes>>(TokioIo::new(socket))
        .await?;
    let task = task::spawn_local(async move {
        // `send_request` and the body report a broken connection.
        let _ = connection.await;
    });
    Ok(OpenConnection {
        sender,
        task: ConnectionTask(task),
        head_limit,
    })
}

/// Sends a request on a new connection and returns the response once its head has arrived.
pub(super) async fn send(
    address: net::SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<OpenResponse> {
    open(address, &request).await?.send(request).await
}

/// Sends a request of the relay itself and returns the buffered response, all within `timeout`.
pub(super) async fn exchange(
    address: net::SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
    account: &Rc<memory::MemoryAccount>,
) -> Result<(response::Parts, Bytes)> {
    let exchanged = async {
        let response = send(address, request).await?;
        let reservation = account.reserve_nothing();
        response
            .read_buffered(MAX_REPLY_BYTES, reservation, None)
            .await
    };
    match time::timeout(timeout, exchanged).await {
        Ok(response) => response.map(|response| (response.parts, response.body)),
        Err(_) => Err(SendError::TimedOut),
    }
}
