//! Servers for callers, for readiness probes of the platform, and for metrics.

use std::convert::Infallible;
use std::io;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use http::Uri;
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time::Instant;

use super::Result;
use super::ShellError;
use super::bounded_tasks;
use super::buffered;
use super::caller_socket;
use super::client;
use super::clients;
use super::engine_reports;
use super::explanations;
use super::intake;
use super::peer_links;
use super::responses;
use super::state::RelayState;
use super::state::StopPhase;
use super::stream;
use crate::directory;
use crate::telemetry;

/// Size of the buffers that the system has for each connection of a client, each way. The system
/// doubles it for its own records.
pub(super) const CLIENT_BUFFER_BYTES: usize = 16 * 1024;

/// Smallest header buffer that the HTTP library accepts.
const MIN_HEADER_BUFFER_BYTES: usize = 8_192;

/// Connections of each endpoint for probes and metrics; few clients use them, and each keeps one.
const MAX_ENDPOINT_CONNECTIONS: usize = 32;

/// Idle timeout of readiness and metrics connections.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time after its opening in which a connection without a request stays open while the process
/// closes idle connections, as its first request may be on its way.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

/// Connections, and memory for them, beyond the limits when none yields, so that callers get a
/// refusal.
const MAX_REFUSED_CONNECTIONS: i64 = 64;
const MAX_REFUSED_BYTES: u64 = 1024 * 1024;

/// Delay after a connection could not be accepted, most often because file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binds all addresses and starts the servers.
///
/// # Errors
///
/// [`ShellError::Bind`] if an address can't be bound.
pub async fn start(state: &Rc<RelayState>) -> Result<()> {
    let settings = state.settings.borrow().clone();
    let caller_listener = bind_for_clients(settings.caller_address).await?;
    let readiness_listener = bind_for_clients(settings.readiness_address).await?;
    let peer_listener = bind(settings.peer_address).await?;
    let metrics_listener = bind_for_clients(settings.metrics_address).await?;

    let caller_server = task::spawn_local(serve_callers(Rc::clone(state), caller_listener));
    state.caller_server.set(Some(caller_server));
    task::spawn_local(serve_endpoint(
        Rc::clone(state),
        readiness_listener,
        readiness_response,
    ));
    task::spawn_local(serve_endpoint(
        Rc::clone(state),
        metrics_listener,
        metrics_response,
    ));
    peer_links::start(state, peer_listener);
    task::spawn_local(engine_reports::poll_reports(Rc::clone(state)));
    Ok(())
}

async fn bind(address: net::SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| ShellError::Bind(address, error))
}

/// Binds an address for clients, whose unread bytes take little memory.
async fn bind_for_clients(address: net::SocketAddr) -> Result<TcpListener> {
    let listener = bind(address).await?;
    limit_buffers(&listener).map_err(|error| ShellError::Bind(address, error))?;
    Ok(listener)
}

/// Limits the buffers of the connections that are accepted, which inherit the sizes of the listener.
fn limit_buffers(listener: &TcpListener) -> io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(CLIENT_BUFFER_BYTES)?;
    socket.set_send_buffer_size(CLIENT_BUFFER_BYTES)
}

/// Stops accepting callers' connections. Returns once the connections that had been opened by then
/// are counted and the listener is closed.
pub(super) async fn close_caller_listener(state: &RelayState) {
    state.stop_phase.send_replace(StopPhase::Refusing);
    if let Some(server) = state.caller_server.take() {
        // A server that panicked has closed its listener, too.
        let _ = server.await;
    }
}

async fn serve_callers(state: Rc<RelayState>, listener: TcpListener) {
    let mut phase = state.stop_phase.subscribe();
    tokio::select! {
        // `wait_for` can't fail, as the state is held here and thereby the sender.
        _ = phase.wait_for(|phase| *phase == StopPhase::Refusing) => {}
        () = accept_callers(&state, &listener) => {}
    }
    if let Err(error) = accept_queued_callers(&state, listener) {
        log::warn!("can't accept the last connections of callers: {error}");
    }
}

/// Accepts connections until it is cancelled.
async fn accept_callers(state: &Rc<RelayState>, listener: &TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                while !make_room(state) {
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
                spawn_connection(state, stream);
                if state.clients.has_yielding() {
                    // The connection that yields is closed before a further one is accepted.
                    task::yield_now().await;
                }
            }
            Err(error) => {
                log::warn!("can't accept a caller's connection, trying again: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts the connections that wait in the system's queue, and closes the listener.
fn accept_queued_callers(state: &Rc<RelayState>, listener: TcpListener) -> io::Result<()> {
    // The runtime may not have noticed the latest connections yet, so the system is asked directly.
    let listener = listener.into_std()?;
    while make_room(state) {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) => return Err(error),
        };
        stream.set_nonblocking(true)?;
        spawn_connection(state, TcpStream::from_std(stream)?);
    }
    Ok(())
}

/// Makes room for a further connection of a caller, for which another yields if there are too many.
/// Returns whether there is room.
fn make_room(state: &RelayState) -> bool {
    let descriptors = state.free_descriptors();
    let excess_bytes = state.memory.clients.excess();
    if state.clients.has_claims() {
        return false;
    }
    if descriptors > 0 && excess_bytes == 0 {
        return true;
    }
    match state.clients.reclaim_connection() {
        clients::ReclaimOutcome::Yields => true,
        clients::ReclaimOutcome::YieldsSoon => false,
        clients::ReclaimOutcome::Busy => {
            descriptors > -MAX_REFUSED_CONNECTIONS && excess_bytes < MAX_REFUSED_BYTES
        }
    }
}

/// Starts serving a connection, which counts as open at once.
fn spawn_connection(state: &Rc<RelayState>, stream: TcpStream) {
    let guard = state.clients.open();
    task::spawn_local(serve_connection(Rc::clone(state), guard, stream));
}

async fn serve_connection(state: Rc<RelayState>, guard: clients::ClientGuard, stream: TcpStream) {
    let client = Rc::clone(&guard.connection);
    tokio::select! {
        biased;
        () = client.yielded() => record_yield(&state, &client),
        () = serve_client(&state, &client, stream) => {}
    }
}

/// Writes to the log that a connection was closed for others.
fn record_yield(state: &RelayState, client: &clients::ClientConnection) {
    let record = telemetry::DecisionRecord::new(telemetry::RecordKind::ClientYielded)
        .count(client.held().total());
    let record = match client.wait() {
        Some(wait) => record
            .outcome(wait.input.label())
            .after(wait.since.elapsed()),
        None => record,
    };
    state.record(&record);
    state.metrics.record_yield();
}

async fn serve_client(
    state: &Rc<RelayState>,
    client: &Rc<clients::ClientConnection>,
    stream: TcpStream,
) {
    let opened_at = Instant::now();
    // The system would take a caller that reads late for one that is lost.
    if client::enable_keepalive(&stream).is_err() {
        // The caller has already left.
        return;
    }
    // The size of the buffer can't be changed on an open connection.
    let max_header_bytes = state.routes().map_or(0, |routes| {
        usize::try_from(routes.table.limits().header.get()).unwrap_or(usize::MAX)
    });
    let tracker = caller_socket::ConnectionTracker::new(Rc::clone(state), Rc::clone(client));
    let socket = caller_socket::CallerSocket::new(stream, tracker.clone());
    let service_state = Rc::clone(state);
    let service_tracker = tracker.clone();
    let service = service::service_fn(move |request| {
        let state = Rc::clone(&service_state);
        let tracker = service_tracker.clone();
        // Not in the future: the connection is read again before that runs.
        tracker.record_head();
        async move {
            let response = handle_request(state, &tracker, request).await;
            response.map(|response| response.map(|body| tracker.track_body(body)))
        }
    });
    let connection = http1::Builder::new()
        // The socket limits the time for heads.
        .header_read_timeout(None)
        .max_buf_size(max_header_bytes.max(MIN_HEADER_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);

    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // A request that has arrived by now is read before the connection counts as idle.
        biased;
        // An error is on the caller's side: it left, or sent an invalid request.
        _ = connection.as_mut() => return,
        () = wait_until_closable(state, &tracker, opened_at) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.as_mut().await;
}

/// Waits until a connection is to be closed as soon as it is idle.
async fn wait_until_closable(
    state: &RelayState,
    tracker: &caller_socket::ConnectionTracker,
    opened_at: Instant,
) {
    let mut phase = state.stop_phase.subscribe();
    // `wait_for` can't fail, as the caller holds the state and thereby the sender.
    let _ = phase.wait_for(|phase| *phase >= StopPhase::Closing).await;
    if tracker.is_unused() {
        tokio::time::sleep_until(opened_at + FIRST_REQUEST_TIME).await;
    }
}

async fn handle_request(
    state: Rc<RelayState>,
    tracker: &caller_socket::ConnectionTracker,
    request: Request<body::Incoming>,
) -> std::result::Result<responses::CallResponse, Infallible> {
    let mut response = match intake::accept(&state, tracker, request).await {
        Ok(call) => match call.route.kind {
            directory::CallKind::Stream => stream::serve(&state, call).await,
            directory::CallKind::Idempotent | directory::CallKind::AtMostOnce => {
                buffered::serve(&state, call).await
            }
        },
        Err(response) => *response,
    };
    if state.is_stopping() {
        responses::close_connection_after(&mut response);
    }
    Ok(response)
}

type EndpointHandler = fn(&RelayState, &Uri) -> responses::CallResponse;

async fn serve_endpoint(state: Rc<RelayState>, listener: TcpListener, handler: EndpointHandler) {
    let connections = bounded_tasks::BoundedTasks::new(MAX_ENDPOINT_CONNECTIONS);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("can't accept a readiness or metrics connection, trying again: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let state = Rc::clone(&state);
        connections.spawn(|place| async move {
            let _place = place;
            let service = service::service_fn(move |request: Request<body::Incoming>| {
                let response = handler(&state, request.uri());
                async move { Ok::<_, Infallible>(response) }
            });
            // An error is on the client's side: it left.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
                .max_buf_size(MIN_HEADER_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn readiness_response(state: &RelayState, _uri: &Uri) -> responses::CallResponse {
    match state.is_ready() {
        true => responses::text_response(StatusCode::OK, "ready"),
        false => responses::text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}

fn metrics_response(state: &RelayState, uri: &Uri) -> responses::CallResponse {
    if uri.path() == explanations::PATH {
        return explanations::respond(state, uri.query().unwrap_or_default());
    }
    responses::text_response(StatusCode::OK, &state.metrics_text())
}
